"""The operator interface of a process: log lines, the purges' folder and state file, the splits file.

Log lines that an operator or a test harness can wait for:

    authority coordinates EPOCH      this process was elected
    authority settled EPOCH          and the leases of its predecessors have ended
    authority rests                  it is no longer the coordinator
    purge ID complete                of a purge that began here
    part 0.166667 of the whole       its share of the threads: logged after any fall, and after a rise of 10%
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..errors import Trouble
from ..net.hub import Hub
from .components import Components
from .config import Config
from .groups import owner_file
from .groups.splits import SplitsUpdate
from .overload.part import THREADS
from .purges.folder import Folder, write_state
from .purges.origin import Accepted, Complete
from .purges.report import log_line
from .service import RateLimitedLog, Service, boottime

CHECK_INTERVAL = 0.1  # seconds between checks for changes
STATE_FILE_INTERVAL = 1.0  # seconds
OPEN_PURGES_INTERVAL = 10.0  # seconds between log lines of open purges
RISE_FACTOR = 1.1  # relative to the last logged share
FALL_FACTOR = 0.999


def _restart_tables(config: Config) -> dict[str, Any]:
    """The components' tables without the fields that a reload applies."""
    return {
        name: {key: value for key, value in row.table.items() if key != "call_off"}
        for name, row in config.tables.items()
    }


class OperatorInterface:
    """Receives the components' facts, so it is created before the service. `classes`: those a purge may
    name."""

    def __init__(self, hub: Hub, components: Components, classes: tuple[str, ...] = ()) -> None:
        self.hub, self.components, self.classes = hub, components, classes
        self.service: Service | None = None
        self.log = RateLimitedLog(hub.log, boottime)
        purge_settings = components.purge_settings
        self.folder = (
            Folder(purge_settings.folder, hub.log) if components.purges and purge_settings.folder else None
        )
        self._role: tuple[int | None, bool] = (None, False)
        self._logged_share = 0.0
        self._state_at = self._open_purges_at = 0.0
        self._state: dict[str, Any] = {}

    def start(self, service: Service) -> None:
        """Start after the service has started."""
        self.service = service
        self.start_purges()
        self.hub.spawn(self._run, name="operator interface")

    def on_fact(self, component: str, fact: Any) -> None:
        """Process a fact of a component."""
        match fact:
            case Accepted(tag) if self.folder is not None:
                self.folder.accepted(tag)
            case Complete(origin, incarnation, number):
                self.hub.log(f"purge {origin}/{incarnation}/{number} complete")
                self._state_at = 0.0
            case SplitsUpdate() if self.components.splits_file:
                self._write_logged(lambda: owner_file.write(Path(self.components.splits_file), fact))

    # ---- requests of the operator --------------------------------------------------------------------

    def reload(self, config: Config, components: Components) -> None:
        """Apply a reload after SIGHUP: cancelled splits and the purge folder. `components`: built from the
        new configuration."""
        if _restart_tables(self.service.config) != _restart_tables(config):
            self.hub.log(
                "fleet: changes of the components' tables take effect at the next start, except for call_off"
            )
        groups = self.components.groups
        for ident in components.cancelled_splits if groups is not None else ():
            self.service.execute(groups, groups.cancel_split(boottime(), ident))
        self.start_purges()

    def start_purges(self) -> None:
        """Start the purges that are in the folder."""
        purges = self.components.purges
        for order in self.folder.read(self.classes) if self.folder is not None else ():
            self.service.execute(purges, purges.purge(boottime(), order.scope, order.reason, order.tag))
        self.service.dispatch()
        self._state_at = 0.0

    # ---- changes of state ----------------------------------------------------------------------------------

    def _run(self) -> None:
        while self.service.link.open:
            now = boottime()
            self._log_role(now)
            self._log_share(now)
            if self.components.purges is not None and now >= self._state_at + STATE_FILE_INTERVAL:
                self._state_at = now
                self._report_purges(now)
            self.hub.sleep(CHECK_INTERVAL)

    def _log_role(self, now: float) -> None:
        authority = self.components.authority
        if authority is None:
            return
        role = authority.coordinating(now), authority.settled(now)
        if role[0] != self._role[0]:
            self.hub.log(f"authority coordinates {role[0]}" if role[0] is not None else "authority rests")
        if role[1] and role != self._role:
            self.hub.log(f"authority settled {role[0]}")
        self._role = role

    def _log_share(self, now: float) -> None:
        overload = self.components.overload
        if overload is None:
            return
        share = overload.ledger.share(now, THREADS)
        if share < self._logged_share * FALL_FACTOR or share > self._logged_share * RISE_FACTOR:
            self._logged_share = share
            self.hub.log(f"part {share:.6f} of the whole")

    def _report_purges(self, now: float) -> None:
        report = self.components.purges.report(now)
        if self.components.purge_settings.state and report != self._state:
            self._state = report
            self._write_logged(lambda: write_state(self.components.purge_settings.state, report))
        if report["open"] and now >= self._open_purges_at + OPEN_PURGES_INTERVAL:
            self._open_purges_at = now
            self.hub.log(log_line(report))

    def _write_logged(self, write: Any) -> None:
        try:
            write()
        except Trouble as why:
            self.log("disk", why.line())
