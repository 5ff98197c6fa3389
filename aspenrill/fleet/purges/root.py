"""The coordinator's state: purges that are requested, proposed, agreed and complete.

Used only while the authority is settled. One record of a scope is in flight at a time; requests for that
scope meanwhile go into the next one. Each record has a serial, without gaps, so that a process that has
missed one notices. This state is lost with the coordinator role: origins repeat their requests, and a purge
that is agreed twice is harmless.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .wire import Item, Status

AGREEMENT_TIMEOUT = 3.0  # seconds until a record that is not agreed is proposed again
MAX_IN_FLIGHT = 64  # records that are proposed and not agreed
MAX_KNOWN = 8192  # purges remembered at the same time
PurgeId = tuple[str, int, int]  # origin, incarnation, number


@dataclass(slots=True)
class PurgeState:
    """State of one purge; `serial` is 0 until it is agreed."""

    scope: str
    serial: int = 0
    agreed: bool = False
    complete: bool = False


class Coordinator:
    """Purges at the coordinator. The caller checks the authority before each use."""

    def __init__(self) -> None:
        self.epoch: int | None = None
        self._reset()

    def _reset(self) -> None:
        self.known: OrderedDict[PurgeId, PurgeState] = OrderedDict()
        self.queued: dict[str, list[PurgeId]] = {}  # by scope: purges for the next proposal
        # by scope: serial, purges, when proposed
        self.in_flight: dict[str, tuple[int, list[PurgeId], float]] = {}
        self.agreed: dict[int, list[PurgeId]] = {}  # by serial: purges that are not complete
        self.serial = 0  # the last one proposed

    def set_epoch(self, epoch: int | None, seen: int) -> None:
        """Sets the epoch in which this process coordinates (None: it does not); resets the state."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._reset()
            self.serial = seen

    def on_request(self, origin: str, purges: list[Item]) -> Status:
        """An origin requests agreement on purges; the status of those that are agreed."""
        items = []
        for incarnation, number, scope in purges:
            purge_id = (origin, incarnation, number)
            state = self.known.get(purge_id)
            if state is None:
                if len(self.known) >= MAX_KNOWN and not self._evict_complete():
                    continue
                self.known[purge_id] = PurgeState(scope)
                self.queued.setdefault(scope, []).append(purge_id)
            elif state.agreed:
                items.append((incarnation, number, state.serial, state.complete))
        return Status(items)

    def _evict_complete(self) -> bool:
        """Removes the oldest complete purge; whether there was one."""
        purge_id = next((purge_id for purge_id, state in self.known.items() if state.complete), None)
        if purge_id is not None:
            del self.known[purge_id]
        return purge_id is not None

    def proposals(self, now: float) -> list[tuple[str, int]]:
        """Scopes to propose, with their serials; also those whose records were not agreed in time."""
        timed_out = [
            scope for scope, (_, _, since) in self.in_flight.items() if now >= since + AGREEMENT_TIMEOUT
        ]
        for scope in timed_out:
            self.queued[scope] = self.in_flight.pop(scope)[1] + self.queued.get(scope, [])
        found = []
        for scope in [scope for scope in self.queued if scope not in self.in_flight]:
            if len(self.in_flight) >= MAX_IN_FLIGHT:
                break
            self.serial += 1
            self.in_flight[scope] = self.serial, self.queued.pop(scope), now
            found.append((scope, self.serial))
        return found

    def on_agreed(self, scope: str, serial: int) -> dict[str, Status]:
        """A record is agreed; the messages to its origins.

        A record that is not in flight here is of an earlier coordinator or was given up, and may use a serial
        a second time. The state is reset then, and serials continue beyond any used one.
        """
        if self.epoch is None:
            return {}
        if self.in_flight.get(scope, (0,))[0] != serial:
            used = max(self.serial, serial)
            self._reset()
            self.serial = used
            return {}
        purge_ids = self.agreed[serial] = self.in_flight.pop(scope)[1]
        for purge_id in purge_ids:
            state = self.known[purge_id]
            state.serial, state.agreed = serial, True
        return self._statuses(purge_ids)

    def on_cleared(self, serial: int) -> dict[str, Status]:
        """No process serves answers older than this serial; the messages to the origins of its purges."""
        completed = [
            purge_id for at in [at for at in self.agreed if at <= serial] for purge_id in self.agreed.pop(at)
        ]
        for purge_id in completed:
            self.known[purge_id].complete = True
        return self._statuses(completed)

    def _statuses(self, purge_ids: list[PurgeId]) -> dict[str, Status]:
        found: dict[str, Status] = {}
        for purge_id in purge_ids:
            state = self.known.get(purge_id)
            if state is not None:
                status = found.setdefault(purge_id[0], Status([]))
                status.items.append((*purge_id[1:], state.serial, state.complete))
        return found
