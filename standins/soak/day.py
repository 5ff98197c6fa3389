"""Plays one day: real front ends as processes, everything else in this one."""

from __future__ import annotations

import os
import random
import signal
import time
from pathlib import Path

from aspenrill.net.connecting import Refused, connect
from aspenrill.net.hub import Closed, Hub, TimedOut
from aspenrill.wire import bulletin as wire
from aspenrill.wire import thrift

from ..discovery import DRAINING, GONE, LIVE, Feed, host
from ..frontprocess import FrontProcess
from ..scene import play
from ..slowlink import Course, Rough, SlowLink, straight
from ..steppedclock import step_to
from .clients import Behaviour, SoakClient
from .engines import SoakEngine
from .plan import CLASS_NAMES, EFFECTS, DayPlan, Kind, SignalAt
from .records import DayRecords, FrontLife
from .strangers import IS_WELL, Stranger

READY_WITHIN = 30.0  # seconds
CLUMSY_EVERY = 3  # of the honest clients, one sends messages that cannot be used, where bad clients are about
LOOK = 0.01  # seconds between two looks at a process
LATE, BEAT = 0.1, 0.02  # seconds by which the driver's task wakes late that count as a stall, and between two
DRAIN_FOR = 1.0  # seconds from draining to gone
END_WITHIN = 30.0  # seconds from the last planned signal to the end of all processes


def settings_of(plan: DayPlan) -> dict:
    """The settings object of the day."""
    classes = [
        {
            "name": name,
            "effect": effect,
            "on_time_ns": int(0.8 * deadline * 1e9),
            "give_up_ns": int(deadline * 1e9),
            "window_ns": int(window * 1e9),
        }
        for name, effect, deadline, window in zip(
            CLASS_NAMES, EFFECTS, plan.deadlines, plan.windows, strict=True
        )
    ]
    return {
        "classes": classes,
        "kinds": ["k"],
        "areas": ["z"],
        "tenants": [{"name": "main"}],
        "family_info": {"cores_by_kind": [8]},
        "group_size": plan.fronts,
        "me": 0,
        "limits": {"most_tries": 4, "may_probe": True, "cancel": True},
        "prices": {"probe": 0.08},
        "guarantees": {
            "start_capacity": 0.31,
            "cold_ns": 12 * 10**9,
            "fall_multiple": 2.5,
            "fall_ns": 15 * 10**8,
        },
    }


class Day:
    """A day and all who take part. `folder` keeps configurations and logs."""

    def __init__(self, plan: DayPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.lines: list[str] = []
        self.hub = Hub(self.lines.append)
        self.records = DayRecords(plan.seed)
        self.over = False
        self.began = 0.0
        self.feed = Feed(self.hub, [(1, wire.NOTHING, b"")])
        self.engines: list[SoakEngine] = []
        self.ports: dict[str, int] = {}  # by engine, where front ends reach it
        for _ in range(plan.engines):
            self._add_engine()
        self.fronts = [self._front(number) for number in range(plan.fronts)]
        self.lives: list[FrontLife | None] = [None] * plan.fronts
        self.shutdowns: dict[int, FrontLife] = {}  # by number
        self.links: list[SlowLink] = []

    def play(self) -> DayRecords:
        """From the start of the front ends to the end of the last one."""
        try:
            play(self.hub, self._scene)
        finally:
            for front in self.fronts:
                front.close()
            for link in self.links:
                link.close()
        traces = {link.address: link.traces for link in self.links}
        for request in self.records.requests:
            connection = request.connection
            connection.trace = traces[connection.link].get(connection.peer)
        self.records.attempts = [note for engine in self.engines for note in engine.notes]
        self.records.logs = {front.name: front.log() for front in self.fronts}
        return self.records

    def _stream(self, concern: str) -> random.Random:
        return random.Random(f"{self.plan.seed}/{concern}")

    # ---- who takes part -------------------------------------------------------------------------------

    def _add_engine(self) -> SoakEngine:
        name = f"s-{len(self.engines) + 1:08x}"
        engine = SoakEngine(self.hub, name, self._stream(f"engine {name}"), self.plan.trouble)
        self.engines.append(engine)
        address = engine.listener.address
        if self.plan.engine_link is not None:
            link = SlowLink(self.hub, address, lambda at: self._courses(f"engine link {name} {at}"))
            address = link.address
        self.ports[name] = address[1]
        return engine

    def _courses(self, concern: str) -> tuple[Course, Course]:
        rough = self.plan.engine_link
        return rough.course(self._stream(f"{concern} there")), rough.course(self._stream(f"{concern} back"))

    def _front(self, number: int) -> FrontProcess:
        words = ["-m"]
        if Kind.CLOCKS in self.plan.kinds:
            step_to(self._offset(number), 0.0)
            words += ["standins.steppedclock", str(self._offset(number))]
        if self.plan.call_failures:
            words += [
                "standins.failingcalls",
                f"{self.plan.seed}{number}",
                str(self.plan.call_failures),
                "serving",
            ]
        front = FrontProcess(self.folder, f"n{number}", words)
        hosts = [host(name, port) for name, port in self.ports.items()]
        front.configure(settings_of(self.plan), hosts, self.feed.listener.address, self.plan.sockets)
        return front

    def _offset(self, number: int) -> Path:
        return self.folder / f"offset{number}"

    def _start(self, number: int) -> FrontLife:
        life = FrontLife(self.fronts[number].name, time.monotonic())
        self.records.lives.append(life)
        self.lives[number] = life
        self.fronts[number].start(descriptors=self.plan.sockets)
        return life

    def _await_ready(self, number: int) -> None:
        life, until = self.lives[number], time.monotonic() + READY_WITHIN
        while life.ready is None and life.exited is None and time.monotonic() < until:
            if self._is_well(number):
                life.ready = time.monotonic()
            else:
                self.hub.sleep(0.05)

    def _is_well(self, number: int) -> bool:
        until = time.monotonic() + 5.0
        try:
            conn = connect(self.hub, self.fronts[number].address, until)
        except Refused:
            return False
        try:
            conn.write(IS_WELL, until)
            data, start, end = conn.frame(4096, until)
            return thrift.read_message(data[start:end]).args[0][3] is True
        except (Closed, TimedOut):
            return False
        finally:
            conn.close()

    # ---- the day --------------------------------------------------------------------------------------

    def _scene(self) -> None:
        plan, spawn = self.plan, self.hub.spawn
        spawn(self._watch_stalls, name="stalls")
        for number in range(plan.fronts):
            self._begin_life(number)
        for number in range(plan.fronts):
            self._await_ready(number)
        self.began = time.monotonic()
        self._begin_clients()
        for each in plan.signals:
            spawn(self._signal, each, name="signal")
        for at, front, offset in plan.clock_steps:
            spawn(self._at, at, step_to, self._offset(front), offset, name="clock")
        for at, number in plan.list_changes:
            spawn(self._at, at, self._replace, number, name="list")
        for begin, end in plan.discovery_outages:
            spawn(self._at, begin, self._discovery, False, name="discovery")
            spawn(self._at, end, self._discovery, True, name="discovery")
        until = self.began + max(each.at for each in plan.signals) + END_WITHIN
        self.hub.sleep(plan.seconds)
        while any(life.exited is None for life in self.lives) and time.monotonic() < until:
            self.hub.sleep(0.05)
        self.over = True
        self.hub.sleep(0.3)

    def _begin_life(self, number: int) -> None:
        life = self._start(number)
        self.hub.spawn(self._watch_process, number, life, name="process")

    def _begin_clients(self) -> None:
        plan = self.plan
        for number, client in enumerate(plan.clients):
            address = self.fronts[client.front].address

            def courses(at: int, number: int = number) -> tuple[Course, Course]:
                return self._client_courses(number, at)

            link = SlowLink(self.hub, address, courses)
            self.links.append(link)
            behaviour = Behaviour(
                f"client {number}",
                self.fronts[client.front].name,
                client.rate,
                client.there is None and client.back is None,
                plan.deadlines,
                Kind.BAD_CLIENTS in plan.kinds and number % CLUMSY_EVERY == 0,
            )
            rng = self._stream(f"client {number}")
            made = SoakClient(
                self.hub, link.address, behaviour, rng, self.records.requests, lambda: self.over
            )
            self.hub.spawn(made.run, name="client")
        for front in self.fronts:
            for number in range(plan.crowd):
                rng = self._stream(f"crowd {front.name} {number}")
                self.hub.spawn(Stranger(self.hub, front.address, rng, lambda: self.over).stay)
            for number in range(plan.bad_clients):
                rng = self._stream(f"bad client {front.name} {number}")
                self.hub.spawn(Stranger(self.hub, front.address, rng, lambda: self.over).misbehave)

    def _client_courses(self, number: int, at: int) -> tuple[Course, Course]:
        client = self.plan.clients[number]

        def course(rough: Rough | None, way: str) -> Course:
            return straight if rough is None else rough.course(self._stream(f"link {number} {at} {way}"))

        return course(client.there, "there"), course(client.back, "back")

    # ---- what goes wrong ------------------------------------------------------------------------------

    def _at(self, at: float, act, *words) -> None:
        self.hub.sleep(max(0.0, self.began + at - time.monotonic()))
        act(*words)

    def _signal(self, each: SignalAt) -> None:
        self.hub.sleep(max(0.0, self.began + each.at - time.monotonic()))
        life, front = self.lives[each.front], self.fronts[each.front]
        if each.shutdown:
            life = self.shutdowns.get(each.shutdown, life)
        if life is not self.lives[each.front] or life.exited is not None:
            return
        if each.number is signal.SIGTERM:
            self.shutdowns.setdefault(each.shutdown, life)
            if life.terminated is None:
                self._note_limits(front, life)
                life.terminated = time.monotonic()
                self.hub.spawn(self._kill, each.front, life, name="kill")
        front.signal(each.number)
        if each.number is signal.SIGSTOP:
            begin = time.monotonic()
            self.hub.sleep(each.stopped)
            front.signal(signal.SIGCONT)
            life.stops.append((begin, time.monotonic()))

    def _note_limits(self, front: FrontProcess, life: FrontLife) -> None:
        folder = Path(f"/proc/{front.process.pid}")
        try:
            life.descriptors = len(os.listdir(folder / "fd"))
            status = (folder / "status").read_text()
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                life.memory_mb = int(line.split()[1]) / 1024

    def _kill(self, number: int, life: FrontLife) -> None:
        self.hub.sleep(max(0.0, life.terminated + self.plan.kill_after - time.monotonic()))
        if life.exited is None and self.fronts[number].process.poll() is None:
            life.killed = time.monotonic()
            self.fronts[number].process.kill()

    def _watch_process(self, number: int, life: FrontLife) -> None:
        process = self.fronts[number].process
        while process.poll() is None:
            self.hub.sleep(LOOK)
        life.exited, life.exit_code = time.monotonic(), process.returncode
        restarts = Kind.RESTARTS in self.plan.kinds and self.began
        if restarts and time.monotonic() < self.began + self.plan.seconds - 1.0:
            self._begin_life(number)
            self._await_ready(number)

    def _replace(self, number: int) -> None:
        """An engine drains and goes; a new one comes."""
        old = self.engines[number]
        self.feed.tell(old.name, self.ports[old.name], DRAINING)
        self.records.drains[old.name] = time.monotonic()
        self.hub.sleep(DRAIN_FOR)
        new = self._add_engine()
        self.feed.tell(old.name, self.ports[old.name], GONE)
        self.feed.tell(new.name, self.ports[new.name], LIVE, int(time.time() * 1000))

    def _discovery(self, up: bool) -> None:
        self.feed.tells = up
        if not up:
            for conn in list(self.feed.listener.connections):
                conn.close()

    def _watch_stalls(self) -> None:
        while True:
            due = time.monotonic() + BEAT
            self.hub.sleep(BEAT)
            now = time.monotonic()
            if now - due > LATE:
                self.records.stalls.append((due, now))
