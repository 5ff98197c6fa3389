"""The fleet service of one process: runs the peer protocol and the components on the hub and executes
effects."""

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
from .durable import DurableStore
from .interface import Agreed, Component, Effect, Entry, LogLine, Member, Notify, Place, Post, Put, Store
from .peers.events import IdentityChanged, LocalNode, MessageReceived
from .peers.keys import read_keys
from .peers.link import Link
from .peers.node import PeerNode
from .peers.wire import BOOT_ID_BYTES

MAX_WAIT = 0.1  # seconds
MAX_LINES = 30  # log lines of one subject in one window
LINES_WINDOW = 60.0  # seconds
MAX_REFUSAL_LINES = 5  # log lines of one reason for refused datagrams in one window
LEAVE_TIME = 0.5  # seconds for which the announcement that this process leaves is gossiped
COUNTERS_INTERVAL = 600.0  # seconds between log lines of the counters
MAX_ROUNDS = 10_000  # rounds of events that components cause to each other; more is an endless loop
OWN_RECORDS = "peers"  # the name under which the service stores its own records


def boottime() -> float:
    """Seconds of a clock that continues while the process is paused or the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RateLimitedLog:
    """A rate-limited log: a number of lines for each subject in a window, then how many were suppressed."""

    def __init__(self, log: Callable[[str], None], clock: Callable[[], float]) -> None:
        self._log, self._clock = log, clock
        self._window_start = clock()
        self._lines: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def __call__(self, subject: str, text: str, limit: int = MAX_LINES) -> None:
        """Write a line, unless the subject's limit is reached."""
        now = self._clock()
        if now >= self._window_start + LINES_WINDOW:
            for name, count in self._suppressed.items():
                self._log(f"fleet {name}: {count} further lines")
            self._window_start = now
            self._lines.clear()
            self._suppressed.clear()
        if self._lines[subject] < limit and len(self._lines) < 256:
            self._lines[subject] += 1
            self._log(f"fleet {subject}: {text}")
        else:
            self._suppressed[subject] += 1


class MemberView:
    """Implements `interface.View` for the components."""

    def __init__(self, peers: PeerNode) -> None:
        self._peers = peers

    @property
    def name(self) -> str:
        """The name of this process."""
        return self._peers.table.me.name

    @property
    def incarnation(self) -> int:
        """The incarnation of this process."""
        return self._peers.table.me.incarnation

    @property
    def place(self) -> Place:
        """The place of this process."""
        return self._peers.table.me.member().place

    def members(self) -> Mapping[str, Member]:
        """All members by name, including this process."""
        return self._peers.table.members

    def entry(self, origin: str, topic: str) -> Entry | None:
        """The latest entry of an origin."""
        return self._peers.shared.entry(origin, topic)

    def entries(self, topic: str) -> Iterable[Entry]:
        """The latest entry of each origin that is not dead."""
        return self._peers.shared.entries(topic)


class Service:
    """Runs the peer protocol and the components. Facts go to `on_fact(component's name, fact)`, member
    changes also to `on_member_change`. `fenced`: an elder process has this name; components are no longer
    called, leases expire."""

    def __init__(
        self,
        hub: Hub,
        config: Config,
        components: Sequence[Component],
        on_fact: Callable[[str, Any], None] = lambda component, fact: None,
        on_member_change: Callable[[Member], None] = lambda member: None,
    ) -> None:
        self.hub, self.config, self.components = hub, config, tuple(components)
        self.on_fact, self.on_member_change = on_fact, on_member_change
        self.log = RateLimitedLog(hub.log, boottime)
        self.faults = 0
        self.trouble: NameTrouble | None = None
        keys = read_keys(config.key_file, config.fleet)
        self.store = DurableStore(config.state)
        try:
            incarnation = self._incarnation()
            self.link = Link(hub, config.listen, boottime, self.dispatch)
        except BaseException:
            self.store.close()
            raise
        address = config.advertise or self.link.address
        self.peers = self.link.peers = PeerNode(
            LocalNode(
                config.name, incarnation, os.urandom(BOOT_ID_BYTES), address, config.place, config.seeds
            ),
            keys,
            config.timing,
            random.Random(os.urandom(16)),
            boottime(),
        )
        self.view = MemberView(self.peers)
        self._by_name = {component.name: component for component in self.components}
        self._tick_at = dict.fromkeys(self._by_name, 0.0)
        self._local_messages: deque[tuple[str, bytes]] = deque()
        self._dispatching = self._leaving = False
        self._counters_at = boottime() + COUNTERS_INTERVAL
        self._refused: Counter[str] = Counter()

    @property
    def fenced(self) -> bool:
        """Whether this process has withdrawn because another one has its name."""
        return self.trouble is not None

    @property
    def address(self) -> tuple[str, int]:
        """The listening address."""
        return self.link.address

    def _incarnation(self) -> int:
        """An incarnation above those of earlier runs: Unix time in ms, or the last one plus one."""
        last = self.store.records(OWN_RECORDS).get("incarnation", b"")
        return self._store_incarnation(max(time.time_ns() // 1_000_000, int.from_bytes(last, "big") + 1))

    def _store_incarnation(self, incarnation: int) -> int:
        """Store the incarnation. If that fails, the next one is higher by the clock alone."""
        try:
            self.store.put(OWN_RECORDS, "incarnation", incarnation.to_bytes(8, "big"))
        except DiskTrouble as why:
            self.log("disk", why.line())
        return incarnation

    # ---- running --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the components, then the peer protocol. The effects of the starts are executed once all
        components have started, so that none receives a committed record before. StateTrouble if stored
        records are damaged."""
        self.hub.log(
            f"fleet: {self.config.name} at {self.address[0]}:{self.address[1]}, "
            f"incarnation {self.view.incarnation}"
        )
        started: list[tuple[Component, list[Effect]]] = []
        try:
            for component in self.components:
                records = self.store.records(component.name)
                started.append((component, component.on_start(boottime(), self.view, records)))
        except BaseException:
            self.stop()
            raise
        for component, effects in started:
            self.execute(component, effects)
        self.hub.spawn(self._run, name="fleet")

    def _run(self) -> None:
        while self.link.open:
            try:
                now = boottime()
                due = min([self.peers.next_due(), now + MAX_WAIT, *self._tick_at.values()])
                try:
                    self.link.read(max(0.0, due - now))
                except Closed:
                    return
                self.run_due()
            except TimedOut:
                pass
            except Exception:
                self.faults += 1
                self.hub.report_error("fleet", traceback.format_exc())
                self.hub.sleep(MAX_WAIT)

    def run_due(self) -> None:
        """Run everything that is due."""
        now = boottime()
        if now >= self.peers.next_due():
            self.peers.on_tick(now)
        self.dispatch()
        for component in self.components:
            now = boottime()
            if now >= self._tick_at[component.name]:
                self._tick_at[component.name] = now + component.period
                if not self.fenced and not self._leaving:
                    self._call(component, component.on_tick, now)
        self.dispatch()
        if now >= self._counters_at:
            self._counters_at = now + COUNTERS_INTERVAL
            self.hub.log("fleet counters: " + ", ".join(f"{k} {v}" for k, v in self.counters().items()))

    def dispatch(self) -> None:
        """Dispatch events and local messages until there are none, then send the resulting datagrams."""
        if self._dispatching:
            return
        self._dispatching = True
        try:
            for _ in range(MAX_ROUNDS):
                events = self.peers.take_events()
                if not events and not self._local_messages:
                    break
                for event in events:
                    self._on_event(event)
                for _ in range(len(self._local_messages)):
                    name, body = self._local_messages.popleft()
                    self._deliver(name, self.view.name, self.view.incarnation, body)
        finally:
            self._dispatching = False
        self._log_refused()
        self.link.flush()

    def _on_event(self, event: Any) -> None:
        now = boottime()
        match event:
            case Member():
                self.on_member_change(event)
                for component in self._active_components():
                    self._call(component, component.on_member, now, event)
            case Entry():
                for component in self._active_components():
                    if event.topic in component.topics:
                        self._call(component, component.on_entry, now, event)
            case MessageReceived(component, sender, incarnation, body):
                self._deliver(component, sender, incarnation, body)
            case IdentityChanged(incarnation, trouble):
                self._on_identity_changed(incarnation, trouble)

    def _active_components(self) -> Sequence[Component]:
        return () if self.fenced or self._leaving else self.components

    def _deliver(self, name: str, sender: str, incarnation: int, body: bytes) -> None:
        component = self._by_name.get(name)
        if component is not None and not self.fenced:
            self._call(component, component.on_message, boottime(), sender, incarnation, body)

    def _on_identity_changed(self, incarnation: int, trouble: NameTrouble | None) -> None:
        if trouble is not None:
            self.hub.log(trouble.line())
        elif self.fenced:
            self.hub.log(f"fleet: {self.view.name} is ours again, incarnation {incarnation}")
        self.trouble = trouble
        self._store_incarnation(incarnation)

    # ---- effects --------------------------------------------------------------------------------------

    def _call(self, component: Component, call: Callable[..., list[Effect]], *args: Any) -> None:
        """Call a component; an exception ends only this call."""
        try:
            effects = call(*args)
        except Exception:
            self.faults += 1
            self.hub.report_error(f"fleet {component.name}, {call.__name__}", traceback.format_exc())
            return
        self.execute(component, effects)

    def execute(self, component: Component, effects: Sequence[Effect]) -> None:
        """Execute effects in order. Callers of a component from outside the service pass its effects here."""
        for effect in effects:
            match effect:
                case Store(key, value):
                    try:
                        self.store.put(component.name, key, value)
                    except DiskTrouble as why:
                        self.log("disk", why.line())
                        self._call(component, component.on_disk, boottime(), key)
                        return
                case Post(to, body):
                    if to == self.view.name:
                        self._local_messages.append((component.name, body))
                    else:
                        self._call_checked(component, self.peers.post, boottime(), to, component.name, body)
                case Put(topic, value):
                    self._call_checked(component, self.peers.put, boottime(), topic, value)
                case Notify(fact):
                    self._on_fact(component, fact)
                case LogLine(text):
                    self.log(component.name, text)

    def _call_checked(self, component: Component, call: Callable[..., Any], *args: Any) -> None:
        try:
            call(*args)
        except ValueError as why:
            self.faults += 1
            self.hub.report_error(f"fleet {component.name}: {why}")

    def _on_fact(self, component: Component, fact: Any) -> None:
        if component.name == "authority" and isinstance(fact, Agreed):
            for other in self.components:
                if fact.kind in getattr(other, "kinds", ()):
                    self._call(other, other.on_agreed, boottime(), fact)
            return
        try:
            self.on_fact(component.name, fact)
        except Exception:
            self.faults += 1
            self.hub.report_error(f"fleet {component.name}: handling a fact", traceback.format_exc())

    # ---- signals, counters ----------------------------------------------------------------------------

    def reload(self, config: Config) -> None:
        """Apply other keys and seeds after SIGHUP. KeyTrouble or FleetConfigTrouble if they cannot be used;
        nothing is changed then."""
        config.check()
        if config.name != self.config.name or config.fleet != self.config.fleet:
            raise FleetConfigTrouble("name and fleet cannot change without a new start")
        self.peers.keys = read_keys(config.key_file, config.fleet)
        self.peers.seeds = config.seeds
        if (config.listen, config.advertise, config.place, config.voters, config.timing) != (
            self.config.listen,
            self.config.advertise,
            self.config.place,
            self.config.voters,
            self.config.timing,
        ):
            self.hub.log("fleet: addresses, place, voters and times take effect at the next start")
        self.hub.log("fleet: keys and seeds read again")

    def leave(self) -> None:
        """Stop after SIGTERM: the components release leases and loans, then the departure is gossiped for
        half a second."""
        if self._leaving:
            return
        if not self.fenced:
            for component in self.components:
                self._call(component, component.on_leave, boottime())
            self.dispatch()
        self._leaving = True
        self.peers.leave(boottime())
        self.link.flush()
        self.hub.sleep(LEAVE_TIME)
        self.stop()

    def stop(self) -> None:
        """Stop at once. May be called twice."""
        self._leaving = True
        if self.link.open:
            self.link.close()
            self.store.close()

    def counters(self) -> dict[str, int]:
        """The counters since the start."""
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
        """Log the reasons for refused datagrams and streams, at a limited rate."""
        refused = self.peers.refused
        if refused.total() == self._refused.total():
            return
        text, address = self.peers.last_refused
        for reason, count in refused.items():
            if count > self._refused[reason]:
                details = f": {text}, from {address[0]}:{address[1]}" if text.startswith(reason) else ""
                self.log(f"refused {reason}", f"{count} so far{details}", MAX_REFUSAL_LINES)
        self._refused = refused.copy()
