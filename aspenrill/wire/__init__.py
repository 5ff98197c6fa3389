"""Parsers and encoders of the wire formats. No I/O."""


class Malformed(ValueError):
    """The input violates the protocol; the text says where."""
