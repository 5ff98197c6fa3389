"""Parsers and encoders: bytes in, values out; no sockets and no waiting."""


class Malformed(ValueError):
    """What came breaks the protocol; the text says where."""
