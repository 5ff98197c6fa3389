"""What has been said once already, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

MOST = 4096  # that are remembered; what was longest not heard of is said again


class Once:
    """Remembers keys."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[str, str], None] = OrderedDict()

    def first(self, key: tuple[str, str]) -> bool:
        """Whether it comes for the first time, as far as is remembered."""
        new = key not in self._seen
        self._seen[key] = None
        self._seen.move_to_end(key)
        if len(self._seen) > MOST:
            self._seen.popitem(last=False)
        return new

    def clear(self) -> None:
        """Forget all."""
        self._seen.clear()
