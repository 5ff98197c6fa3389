"""What a gateway remembers of classes, engines and requests: plain records, no decisions."""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import replace

from . import api

LEAST_SHARE = 0.01  # of the mean weight, that an engine of weight 0 counts for
MOST_ORDERS = 256  # data sets whose order of engines is kept
SLOW_FOR = 5.0  # seconds in which an engine's own slowdown fades to the fleet's
HOLDS_FOR = 2.0  # seconds that a load told of by a query that waits is taken to hold its group
STEP = 0.1  # weight of a new answer in a running mean
FLOOR_DOWN, FLOOR_UP = 0.005, 0.002  # steps of the running low quantile that stands for the work of a query
GROW, SHRINK, HASTE = 1.03, 0.99, 20  # steps of the memory factor; how many for the first


def trim(times: deque, before: float) -> deque:
    """Forget what is older than `before`."""
    while times and times[0] <= before:
        times.popleft()
    return times


def blend(old: float | None, new: float, weight: float) -> float:
    """A running geometric mean: stragglers weigh little."""
    return new if old is None else old * (new / old) ** weight


def weighed(values: list[float], weights: list[float]) -> float:
    """The mean of values by weight."""
    return sum(v * w for v, w in zip(values, weights, strict=True)) / sum(weights)


def pack_news(items: list[tuple[Engine, float]]) -> bytes:
    """Loads of engines as a message, three bytes each; infinite where an engine fails."""
    return b"".join(
        e.tag + bytes([255 if load == math.inf else min(254, round(load * 32))]) for e, load in items
    )


class Learned:
    """What the answers of one class have taught."""

    def __init__(self, spec: api.QueryClass) -> None:
        self.spec, self.latency, self.work, self.scale = spec, None, None, None
        self.guess = max(1e-3, spec.aim) * spec.threads  # work until learned; an aim may be stretch alone
        self.need = 0.0  # memory of a usual query, in MB
        self.threads, self.credit, self.credit_at = 0, 0.0, 0.0  # out; thread-seconds that it has not used
        self.plans = 4.0  # starts afresh to its credit, spent on queries that look like bad plans
        self.memory, self.fitted = 1.0, 0  # need over estimate, and how often it was stepped
        self.asked = self.usual_work()  # work asked so far; only its share among the classes counts

    def answered(self, latency: float, hint: float | None, told: float | None) -> tuple[float, float]:
        """Core-seconds of a query that took `latency`, and its slowdown: by what its answer told, else by the
        estimate `hint` and a low quantile of time over estimate, which stands for the work."""
        latency = max(1e-3, latency)
        spent = latency * self.spec.threads
        self.latency = blend(self.latency, latency, STEP)
        hint = hint or self.work or spent
        ratio = (told or spent) / hint
        if told or self.scale is None:
            self.scale = blend(self.scale, ratio, STEP)
        else:
            self.scale *= 1 + FLOOR_UP if ratio > self.scale else 1 - FLOOR_DOWN
        busy = told or self.scale * hint
        self.work = busy + (1 - STEP) * ((self.work or busy) - busy)
        return busy, max(0.1, spent / max(1e-3, busy))

    def step(self, short: bool) -> None:
        """Step the factor of the memory wanted: far at first, then ever less. One in four wants more."""
        self.fitted += 1
        self.memory *= (GROW if short else SHRINK) ** max(1.0, HASTE / self.fitted)

    def account(self, now: float, share: float, debt: float) -> float:
        """Thread-seconds of its share, `share` threads since last asked, that it has not used, within bounds:
        one usual query's, and `debt` usual queries' over it."""
        most, spare = self.usual_work(), (share - self.threads) * (now - self.credit_at)
        self.credit, self.credit_at = max(-debt * most, min(most, self.credit + spare)), now
        return self.credit

    def careful_work(self) -> float:
        """Core-seconds of a usual query, on the high side: until learned, between what its aim and its
        patience would allow. An aim that is mostly stretch says little of the work."""
        most = self.spec.threads * math.sqrt(self.spec.aim * self.spec.patience)
        return self.work if self.work is not None else max(self.usual_work(), most)

    def usual_work(self) -> float:
        """Core-seconds of a usual query; the aim stands in, on the high side, until learned."""
        return self.work if self.work is not None else self.guess


class Mix:
    """Means over the classes: work for worth; as asked, work of a request; of one that runs the rest."""

    def __init__(self, classes: list[Learned]) -> None:
        self.classes = classes
        self.update()

    def count(self, learned: Learned, fade: float, memory: float) -> None:
        """One more request of a class, with its memory; what was asked before fades by this share."""
        learned.need = memory * STEP + learned.need * (1 - STEP)
        for known in self.classes:
            known.asked *= 1 - fade
        learned.asked += learned.usual_work()
        self.update()

    def update(self) -> None:
        """Something was learned since: the means are taken anew when next asked for."""
        self._price = None

    @property
    def price(self) -> float:
        """Work for worth of the classes."""
        if self._price is None:
            total = 0.0
            for c in self.classes:
                total += c.usual_work() / max(1e-3, c.spec.worth)
            self._price = max(1e-6, total / len(self.classes))
        return self._price

    def share(self, learned: Learned) -> float:
        """A class's share of the worth that is asked."""
        asked = [n * c.spec.worth for n, c in zip(self._counts(), self.classes, strict=True)]
        return asked[self.classes.index(learned)] / max(1e-9, sum(asked))

    def _counts(self) -> list[float]:
        return [c.asked / c.usual_work() for c in self.classes]

    def _running(self) -> list[float]:
        return [n * (c.latency or c.spec.aim) for n, c in zip(self._counts(), self.classes, strict=True)]

    @property
    def work(self) -> float:
        """Work of a request, as they are asked."""
        return weighed([c.usual_work() for c in self.classes], self._counts())

    @property
    def threads(self) -> float:
        """Threads of one that runs."""
        return weighed([c.spec.threads for c in self.classes], self._running())

    @property
    def memory(self) -> float:
        """Memory of one that runs."""
        return weighed([c.need for c in self.classes], self._running())

    @property
    def stay(self) -> float:
        """Latency of one that runs."""
        return weighed([c.latency or c.spec.aim for c in self.classes], self._running())


class Engine:
    """This gateway's view of one engine."""

    def __init__(self, entry: api.EngineEntry, cores: int, memory: float, now: float) -> None:
        self.entry, self.cores, self.memory = entry, cores, memory
        self.tag = (zlib.crc32(entry.engine.encode()) & 0xFFFF).to_bytes(2, "big")  # its name in news
        self.out: dict[str, Query] = {}  # attempts out, by request
        self.threads = 0
        self.share = 1.0  # in choosing, against the mean of its tier
        self.loads: dict[int | None, int] = {}  # own loads out, by the group that they hold
        self.forget(now)

    def count(self, spec: api.QueryClass, group: int | None, step: int) -> None:
        """One more attempt of a class out here (1), or one fewer (-1); of a load, its group."""
        self.threads += step * spec.threads
        if spec.is_load and group is not None:
            self.loads[group] = self.loads.get(group, 0) + step
            if not self.loads[group]:
                del self.loads[group]

    def forget(self, now: float) -> None:
        """As it is when first told of, and after a restart."""
        self.told_at, self.cold_until = now, 0.0
        self.ejected_until, self.penalty, self.full_until = 0.0, 0.0, 0.0
        self.slow, self.slow_at = 1.0, -math.inf  # slowdown of its last answers here, and when one came
        self.strikes = 0  # errors and broken connections since its last good answer
        self.failed_at = -math.inf  # news of a failure, not yet contradicted
        self.load, self.heard_at = 0.0, -math.inf  # as reported, and when it was told
        self.holds: dict[int | None, float] = {}  # when queries of ours were told to wait for loads there
        self.mine, self.others = 0, None  # own threads then, and others'; None where nothing tells of them
        self.turns: dict[int, float] = {}  # while cold: when each class may next go there
        self.waits: dict[int, float] = {}  # and the seconds between its turns, from which that was taken

    def hold(self, group: int | None, now: float) -> None:
        """A query of ours is told to stand still there for a load of this group."""
        self.holds = {g: at for g, at in self.holds.items() if at > now - HOLDS_FOR}
        self.holds[group] = now

    def held(self, group: int | None, now: float) -> bool:
        """Whether readers of the group stand still there, as far as is known."""
        return bool(self.loads.get(group)) or now < self.holds.get(group, -math.inf) + HOLDS_FOR

    def slowdown(self, now: float, ordinary: float) -> float:
        """That of its last answers, which fades to the fleet's `ordinary` one."""
        return ordinary * (self.slow / ordinary) ** math.exp((self.slow_at - now) / SLOW_FOR)

    @property
    def healthy(self) -> bool:
        """Not ejected."""
        return self.ejected_until == 0.0


class Query:
    """One request that this gateway took."""

    __slots__ = (
        "spec",
        "kind",
        "ask",
        "came",
        "deadline",
        "attempts",
        "known_until",
        "begin_by",
        "sent_at",
        "expected",
        "engine",
        "ended",
        "spilled",
        "suspect",
        "afresh",
        "asked",
        "asked_at",
        "ran_at",
        "ran_on",
        "in_line",
    )

    def __init__(self, ask: api.Request, now: float, spec: api.QueryClass) -> None:
        self.spec = spec
        self.kind = (ask.cls, ask.data_set if spec.is_load else None)  # finds room where another of it does
        self.ask, self.came, self.deadline = ask, now, now + ask.patience
        self.attempts: list[str] = []  # the engine of each attempt
        self.known_until = math.inf  # keyed: until when engines know a repeat of what may have run
        self.begin_by = math.inf  # the last moment for the first byte of the attempt sent last
        self.sent_at, self.expected, self.engine = 0.0, 0.0, None  # of the attempt that is out
        self.ended, self.spilled, self.suspect, self.afresh = False, False, False, False
        self.asked: list[Engine] = []  # probed for it at asked_at
        self.asked_at = -math.inf
        self.ran_at: float | None = None  # when the first attempt that may have run was sent
        self.ran_on: Engine | None = None
        self.in_line = False  # of its ordered key

    def sent(self, engine: Engine, now: float) -> None:
        """One more attempt is out."""
        self.attempts.append(engine.entry.engine)
        self.engine, self.sent_at, self.suspect, self.begin_by = engine, now, False, self.known_until

    def within(self, now: float) -> float:
        """Seconds left for the first byte of the attempt sent last; 0 where nothing bounds them."""
        return self.begin_by - now if self.begin_by < math.inf else 0.0

    def may_have_run(self, engine: Engine | None, may: bool) -> None:
        """If the attempt sent last may have run there, and none before it: that counts from now on."""
        if may and self.ran_at is None:
            self.ran_at, self.ran_on = self.sent_at, engine
            if self.spec.effect is api.Effect.KEYED:
                self.known_until = self.sent_at + self.spec.dedup_window


class Fleet:
    """The engine list as this gateway was told it."""

    def __init__(self, cores_by_kind: tuple[int, ...], memory_by_kind: tuple[float, ...]) -> None:
        self.cores_by_kind, self.memory_by_kind = cores_by_kind, memory_by_kind or (math.inf,)
        self.engines, self.orders = {}, {None: []}
        self.tags: dict[bytes, Engine | None] = {}
        self.weighed = False  # whether engines differ in their shares

    def apply(self, update: api.ListUpdate, now: float) -> list[Engine]:
        """Take in news; the engines that are live. One that is gone is kept until its work is over."""
        for entry in update.entries:
            known = self.engines.get(entry.engine)
            if known is None:
                known = Engine(
                    entry,
                    self.cores_by_kind[entry.kind % len(self.cores_by_kind)],
                    self.memory_by_kind[entry.kind % len(self.memory_by_kind)],
                    now,
                )
                self.engines[entry.engine] = known
            elif entry.started > known.entry.started:
                known.forget(now)
            known.entry = entry
        if update.mode in (api.ListMode.COMPLETE, api.ListMode.REMEMBERED):
            named = {entry.engine for entry in update.entries}
            for name, known in self.engines.items():
                if name not in named:
                    known.entry = replace(known.entry, state=api.EngineState.GONE)
        self.engines = {
            name: known
            for name, known in self.engines.items()
            if known.out or known.entry.state is not api.EngineState.GONE
        }
        self.tags = {}
        for known in self.engines.values():  # what two engines share tells of neither
            self.tags[known.tag] = None if known.tag in self.tags else known
        self.orders = {None: [e for e in self.engines.values() if e.entry.state is api.EngineState.LIVE]}
        self._weigh(self.orders[None])
        return self.orders[None]

    def _weigh(self, live: list[Engine]) -> None:
        """Shares by SRV weights (RFC 2782): against the mean of those of its tier that have one; 0 is little,
        but something, and as good as any where all have 0."""
        means: dict[int, tuple[float, int]] = {}
        for engine in live:
            if engine.entry.weight is not None:
                total, count = means.get(engine.entry.tier, (0.0, 0))
                means[engine.entry.tier] = total + engine.entry.weight, count + 1
        for engine in live if means or self.weighed else ():
            total, count = means.get(engine.entry.tier, (0.0, 1))
            stated = engine.entry.weight is not None and total > 0
            engine.share = max(LEAST_SHARE, engine.entry.weight * count / total) if stated else 1.0
        self.weighed = any(engine.share != 1.0 for engine in live) if means else False

    def read_news(self, data: bytes) -> list[tuple[Engine, float]]:
        """The message of `pack_news`; engines not known here are left out."""
        found = [(self.tags.get(data[at : at + 2]), data[at + 2]) for at in range(0, len(data) - 2, 3)]
        return [(e, math.inf if level == 255 else level / 32) for e, level in found if e is not None]

    def order(self, data_set: int | None) -> list[Engine]:
        """The live engines in an order of this data set's own, the same at every gateway: ties go by name."""
        if data_set not in self.orders:
            if len(self.orders) > MOST_ORDERS:  # clients name data sets as they like
                self.orders = {None: self.orders[None]}
            self.orders[data_set] = sorted(
                self.orders[None],
                key=lambda e: (
                    zlib.crc32(f"{data_set}/{e.entry.engine}".encode()) * 2654435761 >> 7 & 1023,
                    e.entry.engine,
                ),
            )
        return self.orders[data_set]


class Lines:
    """Requests of each ordered key, in order of arrival, until they are over."""

    def __init__(self) -> None:
        self.by_key: dict[str, deque[Query]] = {}

    def join(self, query: Query) -> None:
        """To the end of its key's line; without a key there is none."""
        if query.ask.key is not None:
            self.by_key.setdefault(query.ask.key, deque()).append(query)
            query.in_line = True

    def first(self, query: Query) -> bool:
        """Whether it heads its line."""
        return self.by_key[query.ask.key][0] is query

    def leave(self, query: Query) -> None:
        """Out of its line, if it is in one."""
        if query.in_line:
            query.in_line = False
            self.by_key[query.ask.key].remove(query)
            if not self.by_key[query.ask.key]:
                del self.by_key[query.ask.key]
