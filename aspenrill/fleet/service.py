"""The fleet's side of one process: the peers and the parts on the hub, and their effects carried out."""

from __future__ import annotations

import os
import random
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from ..errors import DiskTrouble, FleetConfigTrouble, NameTrouble
from ..net.hub import Closed, Hub, TimedOut
from .config import Config
from .durable import Durable
from .interface import Agreed, Effect, Entry, Inform, Member, Note, Part, Place, Post, Put, Store
from .peers.events import Posted, Renamed, Self
from .peers.keys import read_keys
from .peers.link import Link
from .peers.node import Peers
from .peers.wire import BOOT_ID_BYTES

LONGEST_WAIT = 0.1  # seconds between two looks at what is due
NOTES, NOTES_IN = 30, 60.0  # log lines of one part, and of one reason to refuse, in so many seconds
SOME = 5  # lines of one reason to refuse in that time
LEAVE_FOR = 0.5  # seconds given to the news that this process leaves
COUNTS_EVERY = 600.0  # seconds between two log lines of the counters
MOST_ROUNDS = 10_000  # of events that parts cause to each other at once; more is a loop
OWN = "peers"  # under which the service keeps its own records


def boottime() -> float:
    """Seconds of a clock that also runs while this process or the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Limited:
    """A log of bounded length: by subject so many lines in a span of time, then how many were left out."""

    def __init__(self, log: Callable[[str], None], clock: Callable[[], float]) -> None:
        self._log, self._clock = log, clock
        self._from = clock()
        self._lines: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def __call__(self, subject: str, text: str, most: int = NOTES) -> None:
        """One line, if it has its turn."""
        now = self._clock()
        if now >= self._from + NOTES_IN:
            for name, count in self._left_out.items():
                self._log(f"fleet {name}: {count} further lines")
            self._from = now
            self._lines.clear()
            self._left_out.clear()
        if self._lines[subject] < most and len(self._lines) < 256:
            self._lines[subject] += 1
            self._log(f"fleet {subject}: {text}")
        else:
            self._left_out[subject] += 1


class Seen:
    """What parts may look at: `interface.View`."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    @property
    def name(self) -> str:
        """Of this process."""
        return self._peers.table.me.name

    @property
    def incarnation(self) -> int:
        """Of this process."""
        return self._peers.table.me.incarnation

    @property
    def place(self) -> Place:
        """Of this process."""
        return self._peers.table.me.member().place

    def members(self) -> Mapping[str, Member]:
        """All by name, this process among them."""
        return self._peers.table.members

    def entry(self, origin: str, topic: str) -> Entry | None:
        """The latest of an origin."""
        return self._peers.board.entry(origin, topic)

    def entries(self, topic: str) -> Iterable[Entry]:
        """The latest of each that is not dead."""
        return self._peers.board.entries(topic)


class Service:
    """Runs peers and parts. Facts of the parts go to `inform(part's name, fact)`, changes of members also to
    `watch`. `fenced`: an elder process has this one's name; parts are called no more, leases run out."""

    def __init__(
        self,
        hub: Hub,
        config: Config,
        parts: Sequence[Part],
        inform: Callable[[str, Any], None] = lambda part, fact: None,
        watch: Callable[[Member], None] = lambda member: None,
    ) -> None:
        self.hub, self.config, self.parts, self.inform, self.watch = hub, config, tuple(parts), inform, watch
        self.log = Limited(hub.log, boottime)
        self.faults = 0
        self.trouble: NameTrouble | None = None
        keys = read_keys(config.key_file, config.fleet)
        self.store = Durable(config.state)
        try:
            incarnation = self._incarnation()
            self.link = Link(hub, config.listen, boottime, self.pump)
        except BaseException:
            self.store.close()
            raise
        address = config.advertise or self.link.address
        self.peers = self.link.peers = Peers(
            Self(config.name, incarnation, os.urandom(BOOT_ID_BYTES), address, config.place, config.seeds),
            keys,
            config.pace,
            random.Random(os.urandom(16)),
            boottime(),
        )
        self.view = Seen(self.peers)
        self._by_name = {part.name: part for part in self.parts}
        self._tick_at = dict.fromkeys(self._by_name, 0.0)
        self._own_mail: deque[tuple[str, bytes]] = deque()
        self._pumping = self._leaving = False
        self._counts_at = boottime() + COUNTS_EVERY
        self._refused: Counter[str] = Counter()

    @property
    def fenced(self) -> bool:
        """This process has stepped back: another one has its name."""
        return self.trouble is not None

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.link.address

    def _incarnation(self) -> int:
        """Higher than that of each former life: Unix time in ms, or one more than the last."""
        last = self.store.records(OWN).get("incarnation", b"")
        return self._keep_incarnation(max(time.time_ns() // 1_000_000, int.from_bytes(last, "big") + 1))

    def _keep_incarnation(self, incarnation: int) -> int:
        """On disk; where it cannot be, the clock alone makes the next one higher."""
        try:
            self.store.put(OWN, "incarnation", incarnation.to_bytes(8, "big"))
        except DiskTrouble as why:
            self.log("disk", why.line())
        return incarnation

    # ---- running --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Parts first, then the peers. Effects of the parts' starts are carried out once all have started, so
        that none hears of an agreed record before. StateTrouble where a part's records are damaged."""
        self.hub.log(
            f"fleet: {self.config.name} at {self.address[0]}:{self.address[1]}, "
            f"incarnation {self.view.incarnation}"
        )
        started: list[tuple[Part, list[Effect]]] = []
        try:
            for part in self.parts:
                records = self.store.records(part.name)
                started.append((part, part.on_start(boottime(), self.view, records)))
        except BaseException:
            self.stop()
            raise
        for part, effects in started:
            self.carry_out(part, effects)
        self.hub.spawn(self._run, name="fleet")

    def _run(self) -> None:
        while self.link.open:
            try:
                now = boottime()
                due = min([self.peers.next_due(), now + LONGEST_WAIT, *self._tick_at.values()])
                try:
                    self.link.read(max(0.0, due - now))
                except Closed:
                    return
                self.turn()
            except TimedOut:
                pass
            except Exception:
                self.faults += 1
                self.hub.report("fleet", traceback.format_exc())
                self.hub.sleep(LONGEST_WAIT)

    def turn(self) -> None:
        """All that is due now."""
        now = boottime()
        if now >= self.peers.next_due():
            self.peers.on_tick(now)
        self.pump()
        for part in self.parts:
            now = boottime()
            if now >= self._tick_at[part.name]:
                self._tick_at[part.name] = now + part.period
                if not self.fenced and not self._leaving:
                    self._call(part, part.on_tick, now)
        self.pump()
        if now >= self._counts_at:
            self._counts_at = now + COUNTS_EVERY
            self.hub.log("fleet counters: " + ", ".join(f"{k} {v}" for k, v in self.counters().items()))

    def pump(self) -> None:
        """Pass on what has happened until nothing more does, and send what comes of it."""
        if self._pumping:
            return
        self._pumping = True
        try:
            for _ in range(MOST_ROUNDS):
                events = self.peers.take_events()
                if not events and not self._own_mail:
                    break
                for event in events:
                    self._event(event)
                for _ in range(len(self._own_mail)):
                    name, body = self._own_mail.popleft()
                    self._mail(name, self.view.name, self.view.incarnation, body)
        finally:
            self._pumping = False
        self._log_refused()
        self.link.flush()

    def _event(self, event: Any) -> None:
        now = boottime()
        match event:
            case Member():
                self.watch(event)
                for part in self._active():
                    self._call(part, part.on_member, now, event)
            case Entry():
                for part in self._active():
                    if event.topic in part.topics:
                        self._call(part, part.on_entry, now, event)
            case Posted(part, sender, incarnation, body):
                self._mail(part, sender, incarnation, body)
            case Renamed(incarnation, trouble):
                self._renamed(incarnation, trouble)

    def _active(self) -> Sequence[Part]:
        return () if self.fenced or self._leaving else self.parts

    def _mail(self, name: str, sender: str, incarnation: int, body: bytes) -> None:
        part = self._by_name.get(name)
        if part is not None and not self.fenced:
            self._call(part, part.on_message, boottime(), sender, incarnation, body)

    def _renamed(self, incarnation: int, trouble: NameTrouble | None) -> None:
        if trouble is not None:
            self.hub.log(trouble.line())
        elif self.fenced:
            self.hub.log(f"fleet: {self.view.name} is ours again, incarnation {incarnation}")
        self.trouble = trouble
        self._keep_incarnation(incarnation)

    # ---- effects --------------------------------------------------------------------------------------

    def _call(self, part: Part, call: Callable[..., list[Effect]], *args: Any) -> None:
        """Call a part; a fault of its own ends this one call."""
        try:
            effects = call(*args)
        except Exception:
            self.faults += 1
            self.hub.report(f"fleet {part.name}, {call.__name__}", traceback.format_exc())
            return
        self.carry_out(part, effects)

    def carry_out(self, part: Part, effects: Sequence[Effect]) -> None:
        """Effects in their order. Whoever calls a part from outside hands its effects over here."""
        for effect in effects:
            match effect:
                case Store(key, value):
                    try:
                        self.store.put(part.name, key, value)
                    except DiskTrouble as why:
                        self.log("disk", why.line())
                        self._call(part, part.on_disk, boottime(), key)
                        return
                case Post(to, body):
                    if to == self.view.name:
                        self._own_mail.append((part.name, body))
                    else:
                        self._checked(part, self.peers.post, boottime(), to, part.name, body)
                case Put(topic, value):
                    self._checked(part, self.peers.put, boottime(), topic, value)
                case Inform(fact):
                    self._fact(part, fact)
                case Note(text):
                    self.log(part.name, text)

    def _checked(self, part: Part, call: Callable[..., Any], *args: Any) -> None:
        try:
            call(*args)
        except ValueError as why:
            self.faults += 1
            self.hub.report(f"fleet {part.name}: {why}")

    def _fact(self, part: Part, fact: Any) -> None:
        if part.name == "authority" and isinstance(fact, Agreed):
            for other in self.parts:
                if fact.kind in getattr(other, "kinds", ()):
                    self._call(other, other.on_agreed, boottime(), fact)
            return
        try:
            self.inform(part.name, fact)
        except Exception:
            self.faults += 1
            self.hub.report(f"fleet {part.name}: a fact", traceback.format_exc())

    # ---- signals, counters ----------------------------------------------------------------------------

    def reload(self, config: Config) -> None:
        """After SIGHUP: other keys and seeds. KeyTrouble or FleetConfigTrouble where they cannot be used, and
        all stays as it was."""
        config.check()
        if config.name != self.config.name or config.fleet != self.config.fleet:
            raise FleetConfigTrouble("name and fleet cannot change without a new start")
        self.peers.keys = read_keys(config.key_file, config.fleet)
        self.peers.seeds = config.seeds
        if (config.listen, config.advertise, config.place, config.voters, config.pace) != (
            self.config.listen,
            self.config.advertise,
            self.config.place,
            self.config.voters,
            self.config.pace,
        ):
            self.hub.log("fleet: addresses, place, voters and times take effect at the next start")
        self.hub.log("fleet: keys and seeds read again")

    def leave(self) -> None:
        """After SIGTERM: parts hand back, then all are told; in half a second it is over."""
        if self._leaving:
            return
        if not self.fenced:
            for part in self.parts:
                self._call(part, part.on_leave, boottime())
            self.pump()
        self._leaving = True
        self.peers.leave(boottime())
        self.link.flush()
        self.hub.sleep(LEAVE_FOR)
        self.stop()

    def stop(self) -> None:
        """Over at once. May be called twice."""
        self._leaving = True
        if self.link.open:
            self.link.close()
            self.store.close()

    def counters(self) -> dict[str, int]:
        """What has been counted since the start."""
        peers, link = self.peers, self.link
        return {
            "members": len(peers.table),
            "sent": link.sent,
            "unsent": link.unsent,
            "got": link.received,
            "exchanges": link.exchanges,
            "failed exchanges": link.failed_exchanges,
            "failed probes": peers.detector.failed,
            "deaths": peers.detector.deaths,
            "false alarms": peers.detector.false_alarms,
            "faults": self.faults,
            **{f"refused: {reason}": count for reason, count in sorted(peers.refused.items())},
        }

    def _log_refused(self) -> None:
        """One line for each reason to refuse that is new, a few in a minute."""
        refused = self.peers.refused
        if refused.total() == self._refused.total():
            return
        text, address = self.peers.last_refused
        for reason, count in refused.items():
            if count > self._refused[reason]:
                more = f": {text}, from {address[0]}:{address[1]}" if text.startswith(reason) else ""
                self.log(f"refused {reason}", f"{count} so far{more}", SOME)
        self._refused = refused.copy()
