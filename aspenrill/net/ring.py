"""A bounded ring of bytes: one for each direction of a connection."""

from __future__ import annotations

SPARE = 64  # buffers of one size that are kept for another use
_spare: dict[int, list[memoryview]] = {}


class Ring:
    """First in, first out. `space` and `data` give views to read into and to send from without a copy.

    A buffer is taken when bytes come, and given back by `rest` once none is held: most connections are quiet,
    and buffers made and dropped with each one left the heap full of holes.
    """

    __slots__ = ("_view", "_start", "_size", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._view: memoryview | None = None
        self._start = self._size = 0

    def _buffer(self) -> memoryview:
        if self._view is None:
            spare = _spare.get(self.capacity)
            self._view = spare.pop() if spare else memoryview(bytearray(self.capacity))
        return self._view

    def rest(self) -> None:
        """Give the buffer back if nothing is held."""
        if self._view is not None and not self._size:
            spare = _spare.setdefault(self.capacity, [])
            if len(spare) < SPARE:
                spare.append(self._view)
            self._view, self._start = None, 0

    def clear(self) -> None:
        """Drop all, and the buffer."""
        self._size = 0
        self.rest()

    def __len__(self) -> int:
        return self._size

    @property
    def free(self) -> int:
        """How many bytes still fit."""
        return self.capacity - self._size

    def _views(self, start: int, size: int) -> list[memoryview]:
        view, start = self._buffer(), start % self.capacity
        end = start + size
        if end <= self.capacity:
            return [view[start:end]] if size else []
        return [view[start:], view[: end - self.capacity]]

    def space(self) -> memoryview:
        """The first free stretch; `added` says how much of it was filled."""
        view, at = self._buffer(), self._start + self._size
        if at >= self.capacity:
            return view[at - self.capacity : self._start]
        return view[at:]

    def added(self, count: int) -> None:
        """So many bytes of `space` now hold data."""
        if not 0 <= count <= self.free:
            raise ValueError(f"added {count} with {self.free} free")
        self._size += count

    def data(self) -> memoryview:
        """The first stretch of what is held; `drop` says how much of it is done with."""
        return self._buffer()[self._start : min(self._start + self._size, self.capacity)]

    def drop(self, count: int) -> None:
        """The oldest bytes are done with."""
        if not 0 <= count <= self._size:
            raise ValueError(f"dropped {count} of {self._size}")
        self._size -= count
        self._start = (self._start + count) % self.capacity if self._size else 0

    def push(self, data: bytes | memoryview) -> int:
        """Take in what fits of `data`; how much that was."""
        count = min(len(data), self.free)
        done = 0
        for part in self._views(self._start + self._size, count):
            part[:] = data[done : done + len(part)]
            done += len(part)
        self._size += count
        return count

    def peek(self, count: int) -> bytes:
        """The oldest bytes, which stay."""
        if not self._size:
            return b""
        end = self._start + min(count, self._size)
        if end <= self.capacity:
            return bytes(self._view[self._start : end])
        return b"".join((self._view[self._start :], self._view[: end - self.capacity]))

    def pull(self, count: int) -> bytes:
        """The oldest bytes, which go."""
        taken = self.peek(count)
        self.drop(len(taken))
        return taken
