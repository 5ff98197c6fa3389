"""Runs one seed: front ends as real processes; clients, engines, links and discovery in this process."""

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

from ..discovery import DRAINING, GONE, LIVE, BulletinServer, engine_entry
from ..frontprocess import FrontProcess
from ..scenario import run_scenario
from ..slowlink import RandomShaping, Shaper, SlowLink, unshaped
from ..steppedclock import step_to
from .badclients import IS_WELL_CALL, BadClient
from .clients import ClientBehaviour, SoakClient
from .engines import SoakEngine
from .plan import CLASS_NAMES, EFFECTS, FaultKind, RunPlan, SignalAt
from .records import FrontProcessRecord, RunRecords

READY_TIMEOUT = 30.0  # seconds
UNUSABLE_SENDER_STEP = 3  # with BAD_CLIENTS, every third regular client sends unusable calls too
PROCESS_POLL_INTERVAL = 0.01  # seconds
STALL_THRESHOLD = 0.1  # seconds by which the driver's own timer is late when it counts as a stall
STALL_CHECK_INTERVAL = 0.02  # seconds
DRAIN_DURATION = 1.0  # seconds an engine is listed as draining before it is gone
END_TIMEOUT = 30.0  # seconds from the last planned signal to the end of all processes


def build_settings(plan: RunPlan) -> dict:
    """Return the settings object of the front ends."""
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


class SoakRun:
    """One run with its front ends, engines and clients. `folder` keeps configurations and logs."""

    def __init__(self, plan: RunPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.lines: list[str] = []
        self.hub = Hub(self.lines.append)
        self.records = RunRecords(plan.seed)
        self.finished = False
        self.began_at = 0.0
        self.feed = BulletinServer(self.hub, [(1, wire.UNCHANGED, b"")])
        self.engines: list[SoakEngine] = []
        self.ports: dict[str, int] = {}  # by engine, where front ends reach it
        for _ in range(plan.engines):
            self._add_engine()
        self.fronts = [self._make_front(number) for number in range(plan.fronts)]
        self.current: list[FrontProcessRecord | None] = [None] * plan.fronts
        self.shutdowns: dict[int, FrontProcessRecord] = {}  # by number
        self.links: list[SlowLink] = []

    def run(self) -> RunRecords:
        """Run from the start of the front ends to the end of the last one; return the records."""
        try:
            run_scenario(self.hub, self._run_faults)
        finally:
            for front in self.fronts:
                front.close()
            for link in self.links:
                link.close()
        traces = {link.address: link.traces for link in self.links}
        for request in self.records.requests:
            connection = request.connection
            connection.trace = traces[connection.link].get(connection.peer)
        self.records.attempts = [attempt for engine in self.engines for attempt in engine.attempts]
        self.records.logs = {front.name: front.log() for front in self.fronts}
        return self.records

    def _stream(self, concern: str) -> random.Random:
        return random.Random(f"{self.plan.seed}/{concern}")

    # ---- engines and front ends -----------------------------------------------------------------------

    def _add_engine(self) -> SoakEngine:
        name = f"s-{len(self.engines) + 1:08x}"
        engine = SoakEngine(self.hub, name, self._stream(f"engine {name}"), self.plan.engine_fault_share)
        engine.state_short_lengths(self._stream(f"lengths {name}"), self.plan.short_length_share)
        self.engines.append(engine)
        address = engine.listener.address
        if self.plan.engine_link is not None:
            link = SlowLink(
                self.hub, address, lambda at: self._engine_link_shapers(f"engine link {name} {at}")
            )
            address = link.address
        self.ports[name] = address[1]
        return engine

    def _engine_link_shapers(self, concern: str) -> tuple[Shaper, Shaper]:
        shaping = self.plan.engine_link
        return shaping.shaper(self._stream(f"{concern} there")), shaping.shaper(
            self._stream(f"{concern} back")
        )

    def _make_front(self, number: int) -> FrontProcess:
        words = ["-m"]
        if FaultKind.CLOCKS in self.plan.kinds:
            step_to(self._clock_offset_file(number), 0.0)
            words += ["standins.steppedclock", str(self._clock_offset_file(number))]
        if self.plan.call_failures:
            words += [
                "standins.failingcalls",
                f"{self.plan.seed}{number}",
                str(self.plan.call_failures),
                "serving",
            ]
        front = FrontProcess(self.folder, f"n{number}", words)
        hosts = [engine_entry(name, port) for name, port in self.ports.items()]
        front.configure(build_settings(self.plan), hosts, self.feed.listener.address, self.plan.sockets)
        return front

    def _clock_offset_file(self, number: int) -> Path:
        return self.folder / f"offset{number}"

    def _launch(self, number: int) -> FrontProcessRecord:
        record = FrontProcessRecord(self.fronts[number].name, time.monotonic())
        self.records.processes.append(record)
        self.current[number] = record
        self.fronts[number].start(descriptors=self.plan.sockets)
        return record

    def _await_ready(self, number: int) -> None:
        record, until = self.current[number], time.monotonic() + READY_TIMEOUT
        while record.ready_at is None and record.exited_at is None and time.monotonic() < until:
            if self._probe_is_well(number):
                record.ready_at = time.monotonic()
            else:
                self.hub.sleep(0.05)

    def _probe_is_well(self, number: int) -> bool:
        until = time.monotonic() + 5.0
        try:
            conn = connect(self.hub, self.fronts[number].address, until)
        except Refused:
            return False
        try:
            conn.write(IS_WELL_CALL, until)
            data, start, end = conn.read_frame(4096, until)
            return thrift.read_message(data[start:end]).args[0][3] is True
        except (Closed, TimedOut):
            return False
        finally:
            conn.close()

    # ---- the run --------------------------------------------------------------------------------------

    def _run_faults(self) -> None:
        plan, spawn = self.plan, self.hub.spawn
        spawn(self._watch_stalls, name="stalls")
        for number in range(plan.fronts):
            self._start_process(number)
        for number in range(plan.fronts):
            self._await_ready(number)
        self.began_at = time.monotonic()
        self._start_clients()
        for each in plan.signals:
            spawn(self._send_signal, each, name="signal")
        for at, front, offset in plan.clock_steps:
            spawn(self._call_at, at, step_to, self._clock_offset_file(front), offset, name="clock")
        for at, number in plan.list_changes:
            spawn(self._call_at, at, self._replace_engine, number, name="list")
        for begin, end in plan.discovery_outages:
            spawn(self._call_at, begin, self._set_discovery, False, name="discovery")
            spawn(self._call_at, end, self._set_discovery, True, name="discovery")
        until = self.began_at + max(each.at for each in plan.signals) + END_TIMEOUT
        self.hub.sleep(plan.seconds)
        while any(record.exited_at is None for record in self.current) and time.monotonic() < until:
            self.hub.sleep(0.05)
        self.finished = True
        self.hub.sleep(0.3)

    def _start_process(self, number: int) -> None:
        record = self._launch(number)
        self.hub.spawn(self._watch_process, number, record, name="process")

    def _start_clients(self) -> None:
        plan = self.plan
        for number, client in enumerate(plan.clients):
            address = self.fronts[client.front].address

            def shapers(at: int, number: int = number) -> tuple[Shaper, Shaper]:
                return self._client_link_shapers(number, at)

            link = SlowLink(self.hub, address, shapers)
            self.links.append(link)
            behaviour = ClientBehaviour(
                f"client {number}",
                self.fronts[client.front].name,
                client.rate,
                client.to_front is None and client.to_client is None,
                plan.deadlines,
                FaultKind.BAD_CLIENTS in plan.kinds and number % UNUSABLE_SENDER_STEP == 0,
            )
            rng = self._stream(f"client {number}")
            made = SoakClient(
                self.hub, link.address, behaviour, rng, self.records.requests, lambda: self.finished
            )
            self.hub.spawn(made.run, name="client")
        for front in self.fronts:
            for number in range(plan.crowd_per_front):
                rng = self._stream(f"crowd {front.name} {number}")
                self.hub.spawn(BadClient(self.hub, front.address, rng, lambda: self.finished).hold_connection)
            for number in range(plan.bad_clients_per_front):
                rng = self._stream(f"bad client {front.name} {number}")
                self.hub.spawn(
                    BadClient(self.hub, front.address, rng, lambda: self.finished).send_bad_messages
                )
            for number in range(plan.rough_clients_per_front):
                rng = self._stream(f"rough client {front.name} {number}")
                self.hub.spawn(BadClient(self.hub, front.address, rng, lambda: self.finished).write_roughly)

    def _client_link_shapers(self, number: int, at: int) -> tuple[Shaper, Shaper]:
        client = self.plan.clients[number]

        def shaper(shaping: RandomShaping | None, way: str) -> Shaper:
            return unshaped if shaping is None else shaping.shaper(self._stream(f"link {number} {at} {way}"))

        return shaper(client.to_front, "there"), shaper(client.to_client, "back")

    # ---- faults ---------------------------------------------------------------------------------------

    def _call_at(self, at: float, act, *words) -> None:
        self.hub.sleep(max(0.0, self.began_at + at - time.monotonic()))
        act(*words)

    def _send_signal(self, each: SignalAt) -> None:
        self.hub.sleep(max(0.0, self.began_at + each.at - time.monotonic()))
        record, front = self.current[each.front], self.fronts[each.front]
        if each.shutdown:
            record = self.shutdowns.get(each.shutdown, record)
        if record is not self.current[each.front] or record.exited_at is not None:
            return
        if each.number is signal.SIGTERM:
            self.shutdowns.setdefault(each.shutdown, record)
            if record.terminated_at is None:
                self._record_usage(front, record)
                record.terminated_at = time.monotonic()
                self.hub.spawn(self._kill_at_deadline, each.front, record, name="kill")
        front.signal(each.number)
        if each.number is signal.SIGSTOP:
            begin = time.monotonic()
            self.hub.sleep(each.stopped)
            front.signal(signal.SIGCONT)
            record.stopped_spans.append((begin, time.monotonic()))

    def _record_usage(self, front: FrontProcess, record: FrontProcessRecord) -> None:
        folder = Path(f"/proc/{front.process.pid}")
        try:
            record.descriptors = len(os.listdir(folder / "fd"))
            status = (folder / "status").read_text()
        except OSError:
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                record.memory_mb = int(line.split()[1]) / 1024

    def _kill_at_deadline(self, number: int, record: FrontProcessRecord) -> None:
        self.hub.sleep(max(0.0, record.terminated_at + self.plan.kill_after - time.monotonic()))
        if record.exited_at is None and self.fronts[number].process.poll() is None:
            record.killed_at = time.monotonic()
            self.fronts[number].process.kill()

    def _watch_process(self, number: int, record: FrontProcessRecord) -> None:
        process = self.fronts[number].process
        while process.poll() is None:
            self.hub.sleep(PROCESS_POLL_INTERVAL)
        record.exited_at, record.exit_code = time.monotonic(), process.returncode
        restarts = FaultKind.RESTARTS in self.plan.kinds and self.began_at
        if restarts and time.monotonic() < self.began_at + self.plan.seconds - 1.0:
            self._start_process(number)
            self._await_ready(number)

    def _replace_engine(self, number: int) -> None:
        """Drain an engine, remove it and add a new one."""
        old = self.engines[number]
        self.feed.publish(old.name, self.ports[old.name], DRAINING)
        self.records.drains[old.name] = time.monotonic()
        self.hub.sleep(DRAIN_DURATION)
        new = self._add_engine()
        self.feed.publish(old.name, self.ports[old.name], GONE)
        self.feed.publish(new.name, self.ports[new.name], LIVE, int(time.time() * 1000))

    def _set_discovery(self, up: bool) -> None:
        self.feed.sending = up
        if not up:
            for conn in list(self.feed.listener.connections):
                conn.close()

    def _watch_stalls(self) -> None:
        while True:
            due = time.monotonic() + STALL_CHECK_INTERVAL
            self.hub.sleep(STALL_CHECK_INTERVAL)
            now = time.monotonic()
            if now - due > STALL_THRESHOLD:
                self.records.driver_stalls.append((due, now))
