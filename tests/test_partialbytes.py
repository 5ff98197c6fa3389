"""The limit on buffered bytes of incomplete messages."""

from __future__ import annotations

from aspenrill.net.partialbytes import PartialMessageBytes


class Holder:
    """Records the reason for which reading stopped."""

    def __init__(self, busy: int = 0) -> None:
        self.busy, self.reason = busy, ""

    def stop_reading(self, reason: str) -> None:
        self.reason = reason


def test_the_longest_silent_connection_without_requests_is_stopped_first():
    held, busy, first, second, third = PartialMessageBytes(100), Holder(busy=1), Holder(), Holder(), Holder()
    for holder in (busy, first, second):
        held.set_bytes(holder, 30)
    held.set_bytes(first, 35)  # it received more data: the second is the longest silent now
    held.set_bytes(third, 20)
    assert [each.reason != "" for each in (busy, first, second, third)] == [False, False, True, False]
    assert held.total == 85


def test_a_connection_with_open_requests_is_stopped_only_if_no_other_is_left():
    held, busy, other = PartialMessageBytes(50), Holder(busy=1), Holder(busy=2)
    held.set_bytes(busy, 40)
    held.set_bytes(other, 40)
    assert busy.reason and not other.reason and held.total == 40
    held.release(other)
    held.release(other)
    assert held.total == 0
