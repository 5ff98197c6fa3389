"""A process of a fleet without a front end: python -m aspenrill.fleet.peer FILE.toml

It is a member and a voter like the others. It logs `member NAME INCARNATION STATE` at each change and writes
the members to members.json in the state folder, which is replaced atomically. It runs the enabled components;
see `operator_interface` for their log lines. SIGHUP reloads keys, seeds and the purge folder.
"""

from __future__ import annotations

import os
import random
import signal
import sys
from collections.abc import Sequence

import msgspec

from ..errors import Trouble
from ..net.hub import Hub
from ..net.logwriter import LogWriter
from ..start import on_signal, open_log
from .atomic_file import write_atomically
from .components import FrontEndNames, build
from .config import read_file
from .interface import Member, State
from .operator_interface import OperatorInterface
from .service import Service

WRITE_DELAY = 0.05  # seconds in which changes are combined into one write


class MemberFile:
    """Writes members.json."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.service, self._write_pending = hub, None, False

    def on_change(self, member: Member) -> None:
        """Log a change and schedule a write."""
        self.hub.log(f"member {member.name} {member.incarnation} {State(member.state).name}")
        if not self._write_pending:
            self._write_pending = True
            self.hub.timers.after(WRITE_DELAY, self.write)

    def write(self) -> None:
        """Write the file."""
        self._write_pending = False
        rows = [
            {
                "name": m.name,
                "incarnation": m.incarnation,
                "state": State(m.state).name,
                "host": m.host,
                "port": m.port,
                "place": [m.place.site, m.place.building, m.place.hall],
            }
            for _, m in sorted(self.service.view.members().items())
        ]
        try:
            write_atomically(
                self.service.store.folder / "members.json",
                msgspec.json.encode(
                    {"name": self.service.view.name, "fenced": self.service.fenced, "members": rows}
                ),
            )
        except Trouble as why:
            self.service.log("disk", why.line())


def main(args: Sequence[str] | None = None) -> int:
    """Run until SIGTERM. Returns 2 if the configuration cannot be used."""
    args = sys.argv[1:] if args is None else args
    hub = Hub(LogWriter(open_log()))
    if len(args) != 1:
        print("usage: python -m aspenrill.fleet.peer FILE.toml", file=sys.stderr)
        return 2
    member_file = MemberFile(hub)
    service: Service | None = None

    def reload() -> None:
        try:
            config = read_file(args[0])
            new_components = build(config, FrontEndNames(), random.Random(0))
            service.reload(config)
            operator.reload(config, new_components)
        except Trouble as why:
            hub.log(f"configuration not taken, the old one stays: {why.line()}")

    def leave() -> None:
        service.leave()
        hub.stop()

    on_signal(hub, signal.SIGHUP, reload)
    try:
        config = read_file(args[0])
        components = build(config, FrontEndNames(), random.Random(os.urandom(16)))
        operator = OperatorInterface(hub, components)
        service = member_file.service = Service(
            hub, config, components.all(), operator.on_fact, member_file.on_change
        )
        service.start()
    except Trouble as why:
        print(f"aspenrill: {why.line()}", file=sys.stderr)
        return 2
    except OSError as why:
        print(f"aspenrill: fleet: listen: {why}", file=sys.stderr)
        return 2
    on_signal(hub, signal.SIGTERM, leave)
    operator.start(service)
    hub.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
