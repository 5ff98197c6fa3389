"""The receive buffer of a connection.

A message that arrives in one read is parsed from the bytes of that read, without a copy. An incomplete
message is moved into a ring buffer of bounded size and completed there. The two are never in use together:
plain reads happen only while nothing is buffered, and the ring is used only after the rest of the last read
was moved to it.
"""

from __future__ import annotations

from .ring import Ring


class Inbox:
    """Received bytes in order, at most `capacity` of them."""

    __slots__ = ("ring", "data", "at", "capacity")

    def __init__(self, capacity: int) -> None:
        self.ring, self.capacity = Ring(capacity), capacity
        self.data, self.at = b"", 0  # the last read and the number of bytes consumed from it

    def __len__(self) -> int:
        return len(self.data) - self.at + len(self.ring)

    @property
    def free(self) -> int:
        """The number of bytes that still fit."""
        return self.capacity - len(self)

    def store(self, data: bytes) -> None:
        """Stores the result of a read while the buffer is empty."""
        self.data, self.at = data, 0

    def space(self) -> memoryview:
        """Returns free space to read into, after moving buffered data into the ring."""
        if self.data:
            self.ring.push(memoryview(self.data)[self.at :])
            self.data, self.at = b"", 0
        return self.ring.space()

    def commit(self, count: int) -> None:
        """Marks `count` bytes of `space` as filled."""
        self.ring.commit(count)

    def release_buffer(self) -> None:
        """Returns the ring's memory to the free list if the ring is empty."""
        self.ring.release_buffer()

    def clear(self) -> None:
        """Drops all data."""
        self.data, self.at = b"", 0
        self.ring.clear()

    def find(self, delimiter: bytes, start: int = 0) -> int:
        """Returns the position of the delimiter at or after `start`, -1 if it is absent."""
        if self.data:
            found = self.data.find(delimiter, self.at + start)
            return found - self.at if found >= 0 else -1
        return self.ring.peek(len(self.ring)).find(delimiter, start) if len(self.ring) else -1

    def peek(self, count: int) -> bytes:
        """Returns up to `count` of the oldest bytes without consuming them."""
        if self.data:
            return self.data[self.at : self.at + count]
        return self.ring.peek(count)

    def drop(self, count: int) -> None:
        """Discards the oldest `count` bytes."""
        if not self.data:
            self.ring.drop(count)
            return
        self.at += count
        if self.at >= len(self.data):
            if self.at > len(self.data):
                raise ValueError(f"dropped {count} beyond the end")
            self.data, self.at = b"", 0

    def pull(self, count: int) -> bytes:
        """Returns and consumes up to `count` of the oldest bytes."""
        if not self.data:
            return self.ring.pull(count)
        taken = self.data[self.at : self.at + count]
        self.drop(len(taken))
        return taken
