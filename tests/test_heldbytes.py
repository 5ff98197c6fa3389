"""The bound on bytes of messages that have not come whole."""

from __future__ import annotations

from aspenrill.net.heldbytes import HeldBytes


class Holder:
    """Notes why it is read no more."""

    def __init__(self, busy: int = 0) -> None:
        self.busy, self.reason = busy, ""

    def stop_reading(self, reason: str) -> None:
        self.reason = reason


def test_the_longest_silent_with_nothing_open_gives_way_first():
    held, busy, first, second, third = HeldBytes(100), Holder(busy=1), Holder(), Holder(), Holder()
    for holder in (busy, first, second):
        held.hold(holder, 30)
    held.hold(first, 35)  # a byte more of it has come: the second is the longest silent now
    held.hold(third, 20)
    assert [each.reason != "" for each in (busy, first, second, third)] == [False, False, True, False]
    assert held.total == 85


def test_one_with_open_requests_gives_way_only_where_no_other_is_left():
    held, busy, other = HeldBytes(50), Holder(busy=1), Holder(busy=2)
    held.hold(busy, 40)
    held.hold(other, 40)
    assert busy.reason and not other.reason and held.total == 40
    held.release(other)
    held.release(other)
    assert held.total == 0
