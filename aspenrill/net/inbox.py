"""What has come on a connection and is not taken yet.

A message that came whole in one read is taken from the bytes of that read and passes no ring. What did not
come whole moves on into the ring, bounded as ever, and is filled up there. Never are both in use: bytes are
read only where nothing is held, and the ring only once what was held has moved.
"""

from __future__ import annotations

from .ring import Ring


class Inbox:
    """Bytes in the order in which they came; at most what the ring holds."""

    __slots__ = ("ring", "data", "at", "capacity")

    def __init__(self, capacity: int) -> None:
        self.ring, self.capacity = Ring(capacity), capacity
        self.data, self.at = b"", 0  # the last read, and how much of it is taken

    def __len__(self) -> int:
        return len(self.data) - self.at + len(self.ring)

    @property
    def free(self) -> int:
        """How many bytes still fit."""
        return self.capacity - len(self)

    def took(self, data: bytes) -> None:
        """A read, while nothing was held."""
        self.data, self.at = data, 0

    def space(self) -> memoryview:
        """Where to read on into; what was held has moved into the ring."""
        if self.data:
            self.ring.push(memoryview(self.data)[self.at :])
            self.data, self.at = b"", 0
        return self.ring.space()

    def added(self, count: int) -> None:
        """So many bytes of `space` now hold data."""
        self.ring.added(count)

    def rest(self) -> None:
        """Give the ring's buffer back if nothing is held there."""
        self.ring.rest()

    def clear(self) -> None:
        """Drop all."""
        self.data, self.at = b"", 0
        self.ring.clear()

    def find(self, mark: bytes, start: int = 0) -> int:
        """Where the mark lies among what is held, from `start` on; -1 where it does not."""
        if self.data:
            found = self.data.find(mark, self.at + start)
            return found - self.at if found >= 0 else -1
        return self.ring.peek(len(self.ring)).find(mark, start) if len(self.ring) else -1

    def peek(self, count: int) -> bytes:
        """The oldest bytes, which stay."""
        if self.data:
            return self.data[self.at : self.at + count]
        return self.ring.peek(count)

    def drop(self, count: int) -> None:
        """The oldest bytes are done with."""
        if not self.data:
            self.ring.drop(count)
            return
        self.at += count
        if self.at >= len(self.data):
            if self.at > len(self.data):
                raise ValueError(f"dropped {count} beyond the end")
            self.data, self.at = b"", 0

    def pull(self, count: int) -> bytes:
        """The oldest bytes, which go."""
        if not self.data:
            return self.ring.pull(count)
        taken = self.data[self.at : self.at + count]
        self.drop(len(taken))
        return taken
