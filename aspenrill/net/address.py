"""Numeric IPv4 and IPv6 addresses: parsing and formatting."""

from __future__ import annotations

import socket

IPV4_MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"  # prefix of an IPv4-mapped IPv6 address


def family_of(host: str) -> int:
    """Returns the address family of a numeric host."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def canonical_host(host: str) -> str:
    """Returns a numeric host in its canonical form, so that equal addresses compare equal as text.

    An IPv4-mapped IPv6 address (RFC 4291, 2.5.5.2) becomes the IPv4 address. Raises ValueError if the host is
    not numeric.
    """
    family = family_of(host)
    try:
        packed = socket.inet_pton(family, host)
    except OSError:
        raise ValueError(f"{host!r} is not a numeric address") from None
    if packed[:12] == IPV4_MAPPED_PREFIX and len(packed) == 16:
        family, packed = socket.AF_INET, packed[12:]
    return socket.inet_ntop(family, packed)


def parse_address(text: str) -> tuple[str, int]:
    """Parses ADDRESS:PORT, with an IPv6 address in brackets (RFC 3986, 3.2.2). Raises ValueError."""
    host, _, port = text.rpartition(":")
    bare = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    if (":" in bare) is (bare is host):
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    host = canonical_host(bare)
    if not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} has no port")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Formats an address in the form that `parse_address` reads."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
