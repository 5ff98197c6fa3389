"""A bare process of a fleet, without any front: python -m aspenrill.fleet.peer FILE.toml

It is a member and a voter like all others. Its log says `member NAME INCARNATION STATE` at each change; who
is there stands in members.json in the state folder, whole at any time. It runs the parts that its tables have
on; `desk` says what they log. SIGHUP reads keys, seeds and the folder of purges.
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
from .config import read_file
from .desk import Desk
from .interface import Member, State
from .parts import Names, build
from .service import Service
from .whole import write_whole

SOON = 0.05  # seconds within which changes come to the file together


class Listing:
    """members.json, as of now."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.service, self._due = hub, None, False

    def changed(self, member: Member) -> None:
        """A line for each change; the file soon."""
        self.hub.log(f"member {member.name} {member.incarnation} {State(member.state).name}")
        if not self._due:
            self._due = True
            self.hub.timers.after(SOON, self.write)

    def write(self) -> None:
        """The file anew."""
        self._due = False
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
            write_whole(
                self.service.store.folder / "members.json",
                msgspec.json.encode(
                    {"name": self.service.view.name, "fenced": self.service.fenced, "members": rows}
                ),
            )
        except Trouble as why:
            self.service.log("disk", why.line())


def main(words: Sequence[str] | None = None) -> int:
    """Run until SIGTERM; 2 where the configuration cannot be used."""
    words = sys.argv[1:] if words is None else words
    hub = Hub(LogWriter(open_log()))
    if len(words) != 1:
        print("usage: python -m aspenrill.fleet.peer FILE.toml", file=sys.stderr)
        return 2
    listing = Listing(hub)
    service: Service | None = None

    def reload() -> None:
        try:
            config = read_file(words[0])
            wanted = build(config, Names(), random.Random(0))
            service.reload(config)
            desk.reload(config, wanted)
        except Trouble as why:
            hub.log(f"configuration not taken, the old one stays: {why.line()}")

    def leave() -> None:
        service.leave()
        hub.stop()

    on_signal(hub, signal.SIGHUP, reload)
    try:
        config = read_file(words[0])
        parts = build(config, Names(), random.Random(os.urandom(16)))
        desk = Desk(hub, parts)
        service = listing.service = Service(hub, config, parts.all(), desk.inform, listing.changed)
        service.start()
    except Trouble as why:
        print(f"aspenrill: {why.line()}", file=sys.stderr)
        return 2
    except OSError as why:
        print(f"aspenrill: fleet: listen: {why}", file=sys.stderr)
        return 2
    on_signal(hub, signal.SIGTERM, leave)
    desk.start(service)
    hub.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
