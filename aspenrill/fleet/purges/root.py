"""The coordinator's side: which purges are wanted, proposed, agreed and complete. Only while the authority
is settled.

One record of a scope is under way at a time: what is wanted of that scope meanwhile goes into the next. Each
record has a serial of this part's own, without gaps, so that who has missed one knows it. With the office
all of this is lost; origins say again what they want, and a purge that is agreed twice does no harm.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .wire import Item, Told

PATIENCE = 3.0  # seconds for a record to be agreed, until it is proposed again
MOST_FLYING = 64  # records that are proposed and not agreed
MOST_WANTED = 8192  # purges that are known here at once
Id = tuple[str, int, int]  # origin, incarnation, number


@dataclass(slots=True)
class Standing:
    """Of one purge: `serial` 0: not proposed yet."""

    scope: str
    serial: int = 0
    agreed: bool = False
    complete: bool = False


class Root:
    """Its caller asks the authority before each use, and says when another office begins."""

    def __init__(self) -> None:
        self.epoch: int | None = None
        self._reset()

    def _reset(self) -> None:
        self.known: OrderedDict[Id, Standing] = OrderedDict()
        self.waiting: dict[str, list[Id]] = {}  # by scope: for the next proposal
        self.flying: dict[str, tuple[int, list[Id], float]] = {}  # by scope: serial, whose purges, since when
        self.agreed: dict[int, list[Id]] = {}  # by serial: until complete
        self.serial = 0  # the last that was proposed

    def office(self, epoch: int | None, seen: int) -> None:
        """The epoch in which this process coordinates and is settled; None: it does not."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._reset()
            self.serial = seen

    def want(self, origin: str, purges: list[Item]) -> Told:
        """An origin wants purges agreed; gives how those stand that are known."""
        items = []
        for incarnation, number, scope in purges:
            ident = (origin, incarnation, number)
            standing = self.known.get(ident)
            if standing is None:
                if len(self.known) >= MOST_WANTED and not self._forget():
                    continue
                self.known[ident] = Standing(scope)
                self.waiting.setdefault(scope, []).append(ident)
            elif standing.agreed:
                items.append((incarnation, number, standing.serial, standing.complete))
        return Told(items)

    def _forget(self) -> bool:
        """The oldest that is complete makes room."""
        ident = next((ident for ident, standing in self.known.items() if standing.complete), None)
        if ident is not None:
            del self.known[ident]
        return ident is not None

    def proposals(self, now: float) -> list[tuple[str, int]]:
        """Scopes to be proposed now, with their serials; again what the authority seems to have left out."""
        late = [scope for scope, (_, _, since) in self.flying.items() if now >= since + PATIENCE]
        for scope in late:
            self.waiting[scope] = self.flying.pop(scope)[1] + self.waiting.get(scope, [])
        found = []
        for scope in [scope for scope in self.waiting if scope not in self.flying]:
            if len(self.flying) >= MOST_FLYING:
                break
            self.serial += 1
            self.flying[scope] = self.serial, self.waiting.pop(scope), now
            found.append((scope, self.serial))
        return found

    def on_agreed(self, scope: str, serial: int) -> dict[str, Told]:
        """A record is on the disks of a majority; what its origins are told. One that is not known here, of a
        former office or given up, may have taken a serial twice: all begins anew, beyond any serial used."""
        if self.epoch is None:
            return {}
        if self.flying.get(scope, (0,))[0] != serial:
            used = max(self.serial, serial)
            self._reset()
            self.serial = used
            return {}
        idents = self.agreed[serial] = self.flying.pop(scope)[1]
        for ident in idents:
            standing = self.known[ident]
            standing.serial, standing.agreed = serial, True
        return self._told(idents)

    def cleared(self, serial: int) -> dict[str, Told]:
        """Nothing older than this serial is served anywhere; what the origins are told."""
        done = [ident for at in [at for at in self.agreed if at <= serial] for ident in self.agreed.pop(at)]
        for ident in done:
            self.known[ident].complete = True
        return self._told(done)

    def _told(self, idents: list[Id]) -> dict[str, Told]:
        found: dict[str, Told] = {}
        for ident in idents:
            standing = self.known.get(ident)
            if standing is not None:
                told = found.setdefault(ident[0], Told([]))
                told.items.append((*ident[1:], standing.serial, standing.complete))
        return found
