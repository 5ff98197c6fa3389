"""TDS data types: their length on the wire, and conversion of values to text."""

from __future__ import annotations

import struct

from . import Malformed

# data type -> bytes of a value, for types of fixed length
FIXED_SIZES = {
    0x1F: 0,
    0x30: 1,
    0x32: 1,
    0x34: 2,
    0x38: 4,
    0x3A: 4,
    0x3B: 4,
    0x3C: 8,
    0x3D: 8,
    0x3E: 8,
    0x7A: 4,
    0x7F: 8,
}
# types whose values have a length of one byte, and of two
BYTE_LENGTH_TYPES = {0x24, 0x26, 0x68, 0x6A, 0x6C, 0x6D, 0x6E, 0x6F, 0x28, 0x29, 0x2A, 0x2B}
SHORT_LENGTH_TYPES = {0xA5, 0xA7, 0xAD, 0xAF, 0xE7, 0xEF}
TEXT_TYPES = {0xA7, 0xAF, 0xE7, 0xEF}
# struct formats of fixed-length numbers
VALUE_FORMATS = {0x30: "<B", 0x34: "<h", 0x38: "<i", 0x7F: "<q", 0x32: "<?", 0x3B: "<f", 0x3E: "<d"}


def cell_text(kind: int, data: bytes | None) -> str | None:
    """Converts a value to text. Raises Malformed for types that are not supported."""
    if data is None:
        return None
    if kind in (0xE7, 0xEF):
        return data.decode("utf-16-le")
    if kind in (0xA7, 0xAF):
        return data.decode("cp1252")
    if kind in VALUE_FORMATS:
        return str(struct.unpack(VALUE_FORMATS[kind], data)[0])
    if kind == 0x26:
        return str(int.from_bytes(data, "little", signed=len(data) > 1))
    if kind in (0x6D, 0x68):
        form = {(0x6D, 4): "<f", (0x6D, 8): "<d", (0x68, 1): "<?"}.get((kind, len(data)))
        if form:
            return str(struct.unpack(form, data)[0])
    raise Malformed(f"type {kind:#x} has no text here")
