"""Numeric addresses, IPv4 and IPv6, as text and as sockets want them."""

from __future__ import annotations

import socket

MAPPED = b"\0" * 10 + b"\xff\xff"


def family_of(host: str) -> int:
    """The address family of a numeric host."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def plain(host: str) -> str:
    """A numeric host in its usual spelling; an IPv4 one that stands within IPv6 (RFC 4291, 2.5.5.2) as what
    it is, so that one address has one name. ValueError where it is none."""
    family = family_of(host)
    try:
        packed = socket.inet_pton(family, host)
    except OSError:
        raise ValueError(f"{host!r} is not a numeric address") from None
    if packed[:12] == MAPPED and len(packed) == 16:
        family, packed = socket.AF_INET, packed[12:]
    return socket.inet_ntop(family, packed)


def parse(text: str) -> tuple[str, int]:
    """ADDRESS:PORT, an IPv6 address in brackets (RFC 3986, 3.2.2); ValueError where it is not that."""
    host, _, port = text.rpartition(":")
    bare = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    if (":" in bare) is (bare is host):
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    host = plain(bare)
    if not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} has no port")
    return host, int(port)


def show(address: tuple[str, int]) -> str:
    """As `parse` reads it."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
