"""What the parts' facts come to in a process: log lines, the purges' folder and state file, the splits' file.

Lines that a harness or an operator can wait for:

    authority coordinates EPOCH      this process was elected
    authority settled EPOCH          and what its predecessors granted is over
    authority rests                  it coordinates no more
    purge ID complete                of a purge that began here
    part 0.166667 of the whole       its share of the threads: a fall at once, a rise of a tenth
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..errors import Trouble
from ..net.hub import Hub
from .config import Config
from .groups import owner_file
from .groups.splits import SplitNews
from .overload.part import THREADS
from .parts import Parts
from .purges.folder import Folder, write_state
from .purges.origin import Accepted, Complete
from .purges.report import line
from .service import Limited, Service, boottime

LOOK = 0.1  # seconds between two looks at what stands
STATE, LINE = 1.0, 10.0  # seconds between two state files, and two lines of purges that are open
RISE, FALL = 1.1, 0.999  # of the part that was told last


def _tables(config: Config) -> dict[str, Any]:
    """Of the parts, but for what is read anew."""
    return {
        name: {key: value for key, value in row.table.items() if key != "call_off"}
        for name, row in config.tables.items()
    }


class Desk:
    """Made before the service, since its facts come here. `classes` are those that a purge may name."""

    def __init__(self, hub: Hub, parts: Parts, classes: tuple[str, ...] = ()) -> None:
        self.hub, self.parts, self.classes = hub, parts, classes
        self.service: Service | None = None
        self.log = Limited(hub.log, boottime)
        purging = parts.purging
        self.folder = Folder(purging.folder, hub.log) if parts.purges and purging.folder else None
        self._office: tuple[int | None, bool] = (None, False)
        self._part = 0.0
        self._state_at = self._line_at = 0.0
        self._state: dict[str, Any] = {}

    def start(self, service: Service) -> None:
        """Once the service has started."""
        self.service = service
        self.orders()
        self.hub.spawn(self._look, name="desk")

    def inform(self, part: str, fact: Any) -> None:
        """A fact of a part."""
        match fact:
            case Accepted(tag) if self.folder is not None:
                self.folder.accepted(tag)
            case Complete(origin, incarnation, number):
                self.hub.log(f"purge {origin}/{incarnation}/{number} complete")
                self._state_at = 0.0
            case SplitNews() if self.parts.splits_file:
                self._tried(lambda: owner_file.write(Path(self.parts.splits_file), fact))

    # ---- what an operator asks for --------------------------------------------------------------------

    def reload(self, config: Config, parts: Parts) -> None:
        """After SIGHUP: splits called off, and the folder of purges. `parts` are as they would be now."""
        if _tables(self.service.config) != _tables(config):
            self.hub.log("fleet: tables of the parts take effect at the next start, but for call_off")
        groups = self.parts.groups
        for ident in parts.called_off if groups is not None else ():
            self.service.carry_out(groups, groups.call_off(boottime(), ident))
        self.orders()

    def orders(self) -> None:
        """Begin the purges that lie in the folder."""
        purges = self.parts.purges
        for order in self.folder.read(self.classes) if self.folder is not None else ():
            self.service.carry_out(purges, purges.purge(boottime(), order.scope, order.why, order.tag))
        self.service.pump()
        self._state_at = 0.0

    # ---- what stands ----------------------------------------------------------------------------------

    def _look(self) -> None:
        while self.service.link.open:
            now = boottime()
            self._say_office(now)
            self._say_part(now)
            if self.parts.purges is not None and now >= self._state_at + STATE:
                self._state_at = now
                self._say_purges(now)
            self.hub.sleep(LOOK)

    def _say_office(self, now: float) -> None:
        authority = self.parts.authority
        if authority is None:
            return
        office = authority.coordinating(now), authority.settled(now)
        if office[0] != self._office[0]:
            self.hub.log(f"authority coordinates {office[0]}" if office[0] is not None else "authority rests")
        if office[1] and office != self._office:
            self.hub.log(f"authority settled {office[0]}")
        self._office = office

    def _say_part(self, now: float) -> None:
        overload = self.parts.overload
        if overload is None:
            return
        part = overload.ledger.share(now, THREADS)
        if part < self._part * FALL or part > self._part * RISE:
            self._part = part
            self.hub.log(f"part {part:.6f} of the whole")

    def _say_purges(self, now: float) -> None:
        found = self.parts.purges.report(now)
        if self.parts.purging.state and found != self._state:
            self._state = found
            self._tried(lambda: write_state(self.parts.purging.state, found))
        if found["open"] and now >= self._line_at + LINE:
            self._line_at = now
            self.hub.log(line(found))

    def _tried(self, write: Any) -> None:
        try:
            write()
        except Trouble as why:
            self.log("disk", why.line())
