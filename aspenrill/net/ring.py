"""A bounded ring buffer of bytes, one for each direction of a connection."""

from __future__ import annotations

MAX_FREE_BUFFERS = 64  # buffers of one size kept for reuse
_free_buffers: dict[int, list[memoryview]] = {}


class Ring:
    """A FIFO of bytes. `space` and `data` return views to receive into and send from without a copy.

    The memory is allocated when data arrives and returned to a free list by `release_buffer` once the ring is
    empty: most connections are idle, and allocating and freeing buffers with each one fragmented the heap.
    """

    __slots__ = ("_view", "_start", "_size", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._view: memoryview | None = None
        self._start = self._size = 0

    def _buffer(self) -> memoryview:
        if self._view is None:
            buffers = _free_buffers.get(self.capacity)
            self._view = buffers.pop() if buffers else memoryview(bytearray(self.capacity))
        return self._view

    def release_buffer(self) -> None:
        """Returns the memory to the free list if the ring is empty."""
        if self._view is not None and not self._size:
            buffers = _free_buffers.setdefault(self.capacity, [])
            if len(buffers) < MAX_FREE_BUFFERS:
                buffers.append(self._view)
            self._view, self._start = None, 0

    def clear(self) -> None:
        """Drops all data and releases the memory."""
        self._size = 0
        self.release_buffer()

    def __len__(self) -> int:
        return self._size

    @property
    def free(self) -> int:
        """The number of bytes that still fit."""
        return self.capacity - self._size

    def _views(self, start: int, size: int) -> list[memoryview]:
        view, start = self._buffer(), start % self.capacity
        end = start + size
        if end <= self.capacity:
            return [view[start:end]] if size else []
        return [view[start:], view[: end - self.capacity]]

    def space(self) -> memoryview:
        """Returns the first contiguous free range; `commit` marks what was written to it."""
        view, at = self._buffer(), self._start + self._size
        if at >= self.capacity:
            return view[at - self.capacity : self._start]
        return view[at:]

    def commit(self, count: int) -> None:
        """Marks `count` bytes of `space` as filled."""
        if not 0 <= count <= self.free:
            raise ValueError(f"added {count} with {self.free} free")
        self._size += count

    def data(self) -> memoryview:
        """Returns the first contiguous range of data; `drop` consumes it."""
        return self._buffer()[self._start : min(self._start + self._size, self.capacity)]

    def drop(self, count: int) -> None:
        """Discards the oldest `count` bytes."""
        if not 0 <= count <= self._size:
            raise ValueError(f"dropped {count} of {self._size}")
        self._size -= count
        self._start = (self._start + count) % self.capacity if self._size else 0

    def push(self, data: bytes | memoryview) -> int:
        """Appends as much of `data` as fits; returns the number of bytes."""
        count = min(len(data), self.free)
        done = 0
        for part in self._views(self._start + self._size, count):
            part[:] = data[done : done + len(part)]
            done += len(part)
        self._size += count
        return count

    def peek(self, count: int) -> bytes:
        """Returns up to `count` of the oldest bytes without consuming them."""
        if not self._size:
            return b""
        end = self._start + min(count, self._size)
        if end <= self.capacity:
            return bytes(self._view[self._start : end])
        return b"".join((self._view[self._start :], self._view[: end - self.capacity]))

    def pull(self, count: int) -> bytes:
        """Returns and consumes up to `count` of the oldest bytes."""
        taken = self.peek(count)
        self.drop(len(taken))
        return taken
