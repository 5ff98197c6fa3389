"""What a gateway remembers of classes, engines and requests. The decisions are in aspenrill/policy."""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import replace

from . import api

MIN_SHARE = 0.01  # share of an engine of weight 0, as a part of the mean weight
MAX_AFFINITY_ORDERS = 256  # data sets whose affinity order is cached
SLOWDOWN_FADE = 5.0  # seconds in which an engine's own slowdown decays to the fleet's
BLOCKED_INTERVAL = 2.0  # seconds for which a WAITS note means that a load blocks its group
ANSWER_WEIGHT = 0.1  # weight of a new answer in a running mean
QUANTILE_DOWN = 0.005  # step down of the running low quantile that estimates the work of a request
QUANTILE_UP = 0.002  # step up of this quantile
MEMORY_GROWTH = 1.03  # step of the memory factor when a grant was too small
MEMORY_SHRINK = 0.99  # step when it was enough
FIRST_MEMORY_STEPS = 20  # size of the first step, in such steps


def trim(times: deque, before: float) -> deque:
    """Remove the moments up to `before`."""
    while times and times[0] <= before:
        times.popleft()
    return times


def running_mean(old: float | None, new: float, weight: float) -> float:
    """A running geometric mean, in which outliers count little."""
    return new if old is None else old * (new / old) ** weight


def weighted_mean(values: list[float], weights: list[float]) -> float:
    """The arithmetic mean of the values by weight."""
    return sum(v * w for v, w in zip(values, weights, strict=True)) / sum(weights)


def pack_gossip(items: list[tuple[Engine, float]]) -> bytes:
    """A gossip message: three bytes for each engine and its load. An infinite load means that it fails."""
    return b"".join(
        e.gossip_tag + bytes([255 if load == math.inf else min(254, round(load * 32))]) for e, load in items
    )


class ClassStats:
    """What the answers of one class of requests have shown."""

    def __init__(self, spec: api.QueryClass) -> None:
        self.spec, self.latency, self.work, self.work_scale = spec, None, None, None
        # Work until an answer shows it. The target may be zero, where all of it depends on the work.
        self.initial_work = max(1e-3, spec.latency_target) * spec.threads
        self.typical_memory = 0.0  # in MB
        self.threads = 0  # in flight
        self.credit, self.credit_at = 0.0, 0.0  # thread-seconds of its share not used, and when computed
        self.restart_credit = 4.0  # restarts of requests that seem to have a bad plan
        self.memory_factor, self.memory_steps = 1.0, 0  # memory needed over the estimate; steps taken
        self.requested_work = self.typical_work()  # decays; only its share among the classes counts

    def record_answer(
        self, latency: float, estimate: float | None, reported: float | None
    ) -> tuple[float, float]:
        """Core-seconds and slowdown of a request that took `latency`: by the work that its answer reported,
        else by the estimate times a low quantile of time over estimate."""
        latency = max(1e-3, latency)
        spent = latency * self.spec.threads
        self.latency = running_mean(self.latency, latency, ANSWER_WEIGHT)
        estimate = estimate or self.work or spent
        ratio = (reported or spent) / estimate
        if reported or self.work_scale is None:
            self.work_scale = running_mean(self.work_scale, ratio, ANSWER_WEIGHT)
        else:
            self.work_scale *= 1 + QUANTILE_UP if ratio > self.work_scale else 1 - QUANTILE_DOWN
        busy = reported or self.work_scale * estimate
        self.work = busy + (1 - ANSWER_WEIGHT) * ((self.work or busy) - busy)
        return busy, max(0.1, spent / max(1e-3, busy))

    def step_memory(self, short: bool) -> None:
        """Adapt the memory factor, in ever smaller steps. It settles where one in four lacks memory."""
        self.memory_steps += 1
        self.memory_factor *= (MEMORY_GROWTH if short else MEMORY_SHRINK) ** max(
            1.0, FIRST_MEMORY_STEPS / self.memory_steps
        )

    def update_credit(self, now: float, share: float, debt: float) -> float:
        """Thread-seconds not used of a share of `share` threads, between one typical request and minus `debt`
        typical requests."""
        limit, unused = self.typical_work(), (share - self.threads) * (now - self.credit_at)
        self.credit, self.credit_at = max(-debt * limit, min(limit, self.credit + unused)), now
        return self.credit

    def conservative_work(self) -> float:
        """Core-seconds of a typical request, on the high side: until an answer shows it, between the latency
        target and the time budget, because a target that grows with the work says little of the work."""
        limit = self.spec.threads * math.sqrt(self.spec.latency_target * self.spec.time_budget)
        return self.work if self.work is not None else max(self.typical_work(), limit)

    def typical_work(self) -> float:
        """Core-seconds of a typical request; until an answer shows it, by the latency target."""
        return self.work if self.work is not None else self.initial_work


class ClassMix:
    """Means over the classes, by what is requested or by what is in flight."""

    def __init__(self, classes: list[ClassStats]) -> None:
        self.classes = classes
        self.update()

    def add_request(self, stats: ClassStats, fade: float, memory: float) -> None:
        """Count a request of a class and its memory. Earlier requests decay by the share `fade`."""
        stats.typical_memory = memory * ANSWER_WEIGHT + stats.typical_memory * (1 - ANSWER_WEIGHT)
        for other in self.classes:
            other.requested_work *= 1 - fade
        stats.requested_work += stats.typical_work()
        self.update()

    def update(self) -> None:
        """Drop the cached mean, because the statistics changed."""
        self._work_per_worth = None

    @property
    def work_per_worth(self) -> float:
        """Mean work per worth of the classes."""
        if self._work_per_worth is None:
            total = 0.0
            for c in self.classes:
                total += c.typical_work() / max(1e-3, c.spec.worth)
            self._work_per_worth = max(1e-6, total / len(self.classes))
        return self._work_per_worth

    def share(self, stats: ClassStats) -> float:
        """A class's share of the worth requested."""
        worth = [n * c.spec.worth for n, c in zip(self._request_counts(), self.classes, strict=True)]
        return worth[self.classes.index(stats)] / max(1e-9, sum(worth))

    def _request_counts(self) -> list[float]:
        return [c.requested_work / c.typical_work() for c in self.classes]

    def _in_flight_weights(self) -> list[float]:
        return [
            n * (c.latency or c.spec.latency_target)
            for n, c in zip(self._request_counts(), self.classes, strict=True)
        ]

    @property
    def work(self) -> float:
        """Mean work of the requests that arrive."""
        return weighted_mean([c.typical_work() for c in self.classes], self._request_counts())

    @property
    def threads(self) -> float:
        """Mean threads of the requests in flight."""
        return weighted_mean([c.spec.threads for c in self.classes], self._in_flight_weights())

    @property
    def memory(self) -> float:
        """Mean memory of the requests in flight."""
        return weighted_mean([c.typical_memory for c in self.classes], self._in_flight_weights())

    @property
    def latency(self) -> float:
        """Mean latency of the requests in flight."""
        return weighted_mean(
            [c.latency or c.spec.latency_target for c in self.classes], self._in_flight_weights()
        )


class Engine:
    """This gateway's view of one engine."""

    def __init__(self, entry: api.EngineEntry, cores: int, memory: float, now: float) -> None:
        self.entry, self.cores, self.memory = entry, cores, memory
        self.gossip_tag = (zlib.crc32(entry.engine.encode()) & 0xFFFF).to_bytes(2, "big")
        self.in_flight: dict[str, PendingRequest] = {}  # attempts in flight, by request
        self.threads = 0
        self.share = 1.0  # by weight, against the mean of its tier
        self.loads: dict[int | None, int] = {}  # own loads in flight, by the group that they block
        self.reset(now)

    def count_attempt(self, spec: api.QueryClass, group: int | None, step: int) -> None:
        """Count one more attempt in flight here (1), or one fewer (-1); a load also by its group."""
        self.threads += step * spec.threads
        if spec.is_load and group is not None:
            self.loads[group] = self.loads.get(group, 0) + step
            if not self.loads[group]:
                del self.loads[group]

    def reset(self, now: float) -> None:
        """Set the state of an engine that is new in the list or has restarted."""
        self.listed_at, self.cold_until = now, 0.0
        self.ejected_until, self.penalty, self.full_until = 0.0, 0.0, 0.0
        self.recent_slowdown, self.recent_slowdown_at = 1.0, -math.inf  # by its last answers to this gateway
        self.consecutive_failures = 0
        self.failed_at = -math.inf  # last failure, own or gossiped
        self.load, self.load_at = 0.0, -math.inf  # as last reported, and when
        self.blocked_at: dict[int | None, float] = {}  # by group: when a request here last waited for a load
        self.own_threads, self.other_threads = 0, None  # at the last report; None: reports don't include them
        self.cold_slots: dict[int, float] = {}  # while cold, by class: the moment of its next slot
        self.cold_slot_intervals: dict[int, float] = {}  # and the seconds between slots used to set it

    def mark_blocked(self, group: int | None, now: float) -> None:
        """Record that a request waits here for a load of this group."""
        self.blocked_at = {g: at for g, at in self.blocked_at.items() if at > now - BLOCKED_INTERVAL}
        self.blocked_at[group] = now

    def readers_blocked(self, group: int | None, now: float) -> bool:
        """Whether, as far as is known, a load blocks the readers of the group here."""
        return bool(self.loads.get(group)) or now < self.blocked_at.get(group, -math.inf) + BLOCKED_INTERVAL

    def slowdown(self, now: float, fleet_slowdown: float) -> float:
        """The slowdown by its last answers, which decays to the fleet's."""
        return fleet_slowdown * (self.recent_slowdown / fleet_slowdown) ** math.exp(
            (self.recent_slowdown_at - now) / SLOWDOWN_FADE
        )

    @property
    def healthy(self) -> bool:
        """Whether it is not ejected."""
        return self.ejected_until == 0.0


class PendingRequest:
    """A request that has not ended, and its attempts."""

    __slots__ = (
        "spec",
        "slot_group",
        "arrival",
        "arrived_at",
        "deadline",
        "attempts",
        "dedup_until",
        "begin_by",
        "sent_at",
        "expected_latency",
        "engine",
        "ended",
        "spilled",
        "suspect",
        "restarted",
        "probed",
        "probed_at",
        "ran_at",
        "ran_on",
        "in_key_queue",
    )

    def __init__(self, arrival: api.Request, now: float, spec: api.QueryClass) -> None:
        self.spec = spec
        # A slot that one request of a group can use, the others can use too.
        self.slot_group = (arrival.cls, arrival.data_set if spec.is_load else None)
        self.arrival, self.arrived_at, self.deadline = arrival, now, now + arrival.time_budget
        self.attempts: list[str] = []  # the engine of each attempt
        self.dedup_until = math.inf  # keyed: until when engines recognize a repeat of what may have run
        self.begin_by = math.inf  # the last moment for the first byte of the last attempt
        self.sent_at, self.expected_latency, self.engine = 0.0, 0.0, None  # of the attempt in flight
        self.ended, self.spilled, self.suspect, self.restarted = False, False, False, False
        self.probed: list[Engine] = []  # for this request, at probed_at
        self.probed_at = -math.inf
        self.ran_at: float | None = None  # when the first attempt that may have run was sent
        self.ran_on: Engine | None = None
        self.in_key_queue = False

    def record_send(self, engine: Engine, now: float) -> None:
        """Record an attempt that is sent now."""
        self.attempts.append(engine.entry.engine)
        self.engine, self.sent_at, self.suspect, self.begin_by = engine, now, False, self.dedup_until

    def time_to_begin(self, now: float) -> float:
        """Seconds left for the first byte of the last attempt; 0 where nothing limits them."""
        return self.begin_by - now if self.begin_by < math.inf else 0.0

    def record_run(self, engine: Engine | None, may_have_run: bool) -> None:
        """Record that the last attempt may have run on the engine. The first one that may have run counts."""
        if may_have_run and self.ran_at is None:
            self.ran_at, self.ran_on = self.sent_at, engine
            if self.spec.effect is api.Effect.KEYED:
                self.dedup_until = self.sent_at + self.spec.dedup_window


class Fleet:
    """The engines of the engine list, with this gateway's view of each."""

    def __init__(self, cores_by_kind: tuple[int, ...], memory_by_kind: tuple[float, ...]) -> None:
        self.cores_by_kind, self.memory_by_kind = cores_by_kind, memory_by_kind or (math.inf,)
        self.engines, self.affinity_orders = {}, {None: []}
        self.gossip_tags: dict[bytes, Engine | None] = {}
        self.has_weights = False  # whether engines differ in their shares

    def apply(self, update: api.ListUpdate, now: float) -> list[Engine]:
        """Apply a list update and return the live engines. One that is gone is kept while attempts are in
        flight there."""
        for entry in update.entries:
            engine = self.engines.get(entry.engine)
            if engine is None:
                engine = Engine(
                    entry,
                    self.cores_by_kind[entry.kind % len(self.cores_by_kind)],
                    self.memory_by_kind[entry.kind % len(self.memory_by_kind)],
                    now,
                )
                self.engines[entry.engine] = engine
            elif entry.started > engine.entry.started:
                engine.reset(now)
            engine.entry = entry
        if update.mode in (api.ListMode.COMPLETE, api.ListMode.REMEMBERED):
            named = {entry.engine for entry in update.entries}
            for name, engine in self.engines.items():
                if name not in named:
                    engine.entry = replace(engine.entry, state=api.EngineState.GONE)
        self.engines = {
            name: engine
            for name, engine in self.engines.items()
            if engine.in_flight or engine.entry.state is not api.EngineState.GONE
        }
        self.gossip_tags = {}
        for engine in self.engines.values():  # a tag that two engines share identifies neither
            self.gossip_tags[engine.gossip_tag] = None if engine.gossip_tag in self.gossip_tags else engine
        self.affinity_orders = {
            None: [e for e in self.engines.values() if e.entry.state is api.EngineState.LIVE]
        }
        self._update_shares(self.affinity_orders[None])
        return self.affinity_orders[None]

    def _update_shares(self, live: list[Engine]) -> None:
        """Set the shares by SRV weights (RFC 2782), against the mean of those engines of the tier that have
        one. A weight of 0 gets a small share; where all are 0, all are equal."""
        means: dict[int, tuple[float, int]] = {}
        for engine in live:
            if engine.entry.weight is not None:
                total, count = means.get(engine.entry.tier, (0.0, 0))
                means[engine.entry.tier] = total + engine.entry.weight, count + 1
        for engine in live if means or self.has_weights else ():
            total, count = means.get(engine.entry.tier, (0.0, 1))
            has_weight = engine.entry.weight is not None and total > 0
            engine.share = max(MIN_SHARE, engine.entry.weight * count / total) if has_weight else 1.0
        self.has_weights = any(engine.share != 1.0 for engine in live) if means else False

    def unpack_gossip(self, data: bytes) -> list[tuple[Engine, float]]:
        """The engines and loads of a message of `pack_gossip`, without unknown engines."""
        found = [(self.gossip_tags.get(data[at : at + 2]), data[at + 2]) for at in range(0, len(data) - 2, 3)]
        return [(e, math.inf if level == 255 else level / 32) for e, level in found if e is not None]

    def affinity_order(self, data_set: int | None) -> list[Engine]:
        """The live engines in the order for this data set, the same at every gateway: ties go by name."""
        if data_set not in self.affinity_orders:
            if len(self.affinity_orders) > MAX_AFFINITY_ORDERS:  # clients choose the names of data sets
                self.affinity_orders = {None: self.affinity_orders[None]}
            self.affinity_orders[data_set] = sorted(
                self.affinity_orders[None],
                key=lambda e: (
                    zlib.crc32(f"{data_set}/{e.entry.engine}".encode()) * 2654435761 >> 7 & 1023,
                    e.entry.engine,
                ),
            )
        return self.affinity_orders[data_set]


class KeyQueues:
    """The requests of each ordered key that have not ended, in order of arrival."""

    def __init__(self) -> None:
        self.by_key: dict[str, deque[PendingRequest]] = {}

    def append(self, pending: PendingRequest) -> None:
        """Append a request to the queue of its key, if it has a key."""
        if pending.arrival.key is not None:
            self.by_key.setdefault(pending.arrival.key, deque()).append(pending)
            pending.in_key_queue = True

    def is_first(self, pending: PendingRequest) -> bool:
        """Whether the request is the first of its key."""
        return self.by_key[pending.arrival.key][0] is pending

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request from the queue of its key, if it is in one."""
        if pending.in_key_queue:
            pending.in_key_queue = False
            self.by_key[pending.arrival.key].remove(pending)
            if not self.by_key[pending.arrival.key]:
                del self.by_key[pending.arrival.key]
