"""A name server: SRV and A records over UDP, as RFC 1035 and RFC 2782 say."""

from __future__ import annotations

import socket
import struct
import threading

A, SOA, SRV = 1, 6, 33
IN = 1
AUTHORITATIVE_REPLY = 0x8580  # QR, AA, RD, RA


class NameServer:
    """Answers questions from `records`: by name in lower case and kind, the data of each record."""

    def __init__(self, ttl: int) -> None:
        self.ttl = ttl
        self.records: dict[tuple[str, int], list[bytes]] = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port: int = self.sock.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def add_engine(self, service: str, host: str, port: int) -> None:
        """Name an engine on this machine by SRV, and its host by A."""
        self.records.setdefault((service, SRV), []).append(struct.pack(">HHH", 10, 1, port) + encode(host))
        self.records[host, A] = [socket.inet_aton("127.0.0.1")]

    def _run(self) -> None:
        while True:
            data, sender = self.sock.recvfrom(4096)
            number, _, questions = struct.unpack_from(">HHH", data)
            if questions != 1:
                continue
            name, at = decode(data, 12)
            kind = struct.unpack_from(">H", data, at)[0]
            question, found = data[12 : at + 4], self.records.get((name.lower(), kind), [])
            answer = b"".join(
                encode(name) + struct.pack(">HHIH", kind, IN, self.ttl, len(one)) + one for one in found
            )
            authority = b""
            if not found:
                soa = encode("ns.example") + encode("op.example") + struct.pack(">IIIII", 1, 60, 60, 60, 5)
                authority = encode("example") + struct.pack(">HHIH", SOA, IN, 5, len(soa)) + soa
            head = struct.pack(">HHHHHH", number, AUTHORITATIVE_REPLY, 1, len(found), bool(authority), 0)
            self.sock.sendto(head + question + answer + authority, sender)


def encode(name: str) -> bytes:
    """A name as labels."""
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def decode(data: bytes, at: int) -> tuple[str, int]:
    """The name at a place, without pointers, and where it ends."""
    labels = []
    while size := data[at]:
        labels.append(data[at + 1 : at + 1 + size].decode())
        at += 1 + size
    return ".".join(labels), at + 1
