"""Many front ends without shared state: their decisions must be harmless in sum, not only one by one."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import PROBE_RESULT_SHARE, Gateway
from aspenrill.policy.choice import SHORT_SHARE_HEADROOM
from aspenrill.policy.figures import MAX_CANDIDATES, MAX_PROBES, MAX_THREADS_PER_CORE
from aspenrill.state import pack_gossip

LOOKUP = api.QueryClass(latency_target=1.0, time_budget=5.0, effect=Effect.SAFE)
REPORT = api.QueryClass(
    latency_target=2.0, time_budget=20.0, effect=Effect.SAFE, worth=8, threads=2, target_per_work=2.5
)
GATEWAYS = 40
NAMES = tuple(f"e{i}" for i in range(30))


def make_gateways(names=NAMES, count: int = GATEWAYS, step: int = 1, **more) -> list[Gateway]:
    rules = (
        dict(
            may_probe=True,
            probe_price=0.08,
            may_cancel=True,
            start_capacity=0.3,
            cold_for=12.0,
            fall_multiple=2.5,
            fall_window=1.5,
            reports_work=True,
            report_fields=("util", "queue"),
        )
        | more
    )
    update = ListUpdate(
        ListMode.REMEMBERED, tuple(EngineEntry(n, EngineState.LIVE, kind=i % 2) for i, n in enumerate(names))
    )
    base = api.Settings(classes=(LOOKUP, REPORT), cores_by_kind=(8, 16), gateways=count, **rules)
    made = [Gateway(replace(base, gateway_index=me), me, 0.0) for me in range(0, count, step)]
    for g in made:
        g.handle(0.0, update)
    return made


def of_type(kind, actions) -> list:
    return [a for a in actions if isinstance(a, kind)]


def test_probes_of_all_gateways_stay_within_their_budget():
    # One probe for each request costs 0.08 of the result: two or three before each start cost a quarter.
    gateways, probes, asked = make_gateways(), 0, 0
    for step in range(50):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.settings.gateway_index}/{step}"
            actions, asked = g.handle(now, api.Request(name, 0, 5.0)), asked + 1
            assert len(of_type(api.Send, actions)) == 1  # without waiting for a probe
            probes += len(of_type(api.Probe, actions))
            outcome = Outcome.ERROR if step % 2 else Outcome.OK  # each error probes its engine
            at = g.pending[name].engine.entry.engine
            probes += len(
                of_type(api.Probe, g.handle(now + 0.05, AttemptEnded(name, 0, at, outcome, 0.05, True)))
            )
    assert 0 < probes * 0.08 / asked <= PROBE_RESULT_SHARE + 0.08 * MAX_PROBES / 50


def test_idle_engines_are_used_by_their_cores():
    # Each front end preferred an idle engine of 16 cores to one of 8, so all chose the same half.
    sent, gateways = Counter(), make_gateways()
    for step in range(20):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.settings.gateway_index}/{step}"
            at = of_type(api.Send, g.handle(now, api.Request(name, 0, 5.0)))[0].engine
            sent[at] += 1
            g.handle(now + 0.05, AttemptEnded(name, 0, at, Outcome.OK, 0.05, True))
    small = sum(sent[n] for n in NAMES[::2])
    assert 0.25 < small / sum(sent.values()) < 0.42  # small engines have a third of the cores
    assert max(sent[n] for n in NAMES[::2]) < 4 * min(sent[n] for n in NAMES[::2])


def test_all_gateways_keep_to_the_thread_limit_when_nothing_is_answered():
    gateways, kinds = make_gateways(), {n: (8, 16)[i % 2] for i, n in enumerate(NAMES)}
    for step in range(60):
        for g in gateways:
            g.handle(0.1 + step * 0.01, api.Request(f"{g.settings.gateway_index}/{step}", 1, 20.0))
    threads = sum(e.threads for g in gateways for e in g.fleet.engines.values())
    assert threads <= MAX_THREADS_PER_CORE * SHORT_SHARE_HEADROOM * sum(kinds.values())
    assert threads > sum(kinds.values())  # and no core is idle


def test_thread_limit_shrinks_at_once_when_engines_leave():
    # Six in ten engines leave: the thread limit of each share must shrink at once, or the rest is overloaded.
    gateways, left = make_gateways(), NAMES[18:]
    for g in gateways:
        g.handle(
            0.1,
            ListUpdate(
                ListMode.CHANGES,
                tuple(EngineEntry(n, EngineState.DRAINING, kind=i % 2) for i, n in enumerate(NAMES[:18])),
            ),
        )
    for step in range(60):
        for g in gateways:
            g.handle(0.2 + step * 0.01, api.Request(f"{g.settings.gateway_index}/{step}", 1, 20.0))
    threads = sum(e.threads for g in gateways for e in g.fleet.engines.values())
    assert threads <= MAX_THREADS_PER_CORE * SHORT_SHARE_HEADROOM * 12 * len(left)


def test_attempts_at_draining_engines_use_no_headroom_elsewhere():
    for g in make_gateways():
        for i in range(20):
            g.handle(0.1, api.Request(f"r{i}", 1, 20.0))
        out = sum(e.threads for e in g.fleet.engines.values())
        leaving = [e for e in g.live if e.threads][:4]
        g.handle(
            0.2,
            ListUpdate(
                ListMode.CHANGES, tuple(replace(e.entry, state=EngineState.DRAINING) for e in leaving)
            ),
        )
        for i in range(20):
            g.handle(0.3, api.Request(f"s{i}", 1, 20.0))
        assert sum(e.threads for e in g.fleet.engines.values()) > out


def test_short_worthy_work_bypasses_the_gap_at_any_level():
    (g, *_), passed = make_gateways(), 0
    g.classes[0].work, g.classes[1].work = 0.2, 3.0
    g.mix.update()
    for gap_level in range(6):
        g.gap_level, g.base_gap, g.next_entry_at, g.classes[1].credit = gap_level, 1.0, 99.0, -9.0
        passed += len(of_type(api.Send, g.handle(0.1, api.Request(f"r{gap_level}", 0, 5.0))))
    assert passed == 6 and not of_type(api.Send, g.handle(0.1, api.Request("long", 1, 20.0)))


def test_unresponsive_engine_loses_its_work_before_any_attempt_ends():
    (g, *_), now, late = make_gateways(NAMES[:4], 5), 0.1, Counter()
    for step in range(400):
        now, name = now + 0.1, f"r{step}"
        for sent in of_type(api.Send, g.handle(now, api.Request(name, 0, 60.0))):
            late[sent.engine] += step > 200
            if sent.engine != "e1":  # as many cores as e3
                g.handle(now + 0.05, AttemptEnded(name, 0, sent.engine, Outcome.OK, 0.05, True, 0.05))
    assert late["e1"] < late["e3"] / 10


def test_slot_at_a_cold_engine_is_used_when_due():
    # An unused slot is lost, while the warm engines are overloaded.
    for g in make_gateways():
        g.handle(1.0, ListUpdate(ListMode.CHANGES, (EngineEntry("new", EngineState.LIVE, started=0.9),)))
        g.fleet.engines["new"].cold_slots = {0: 1.1, 1: 1.2}
        assert [s.engine for s in of_type(api.Send, g.handle(1.15, api.Request("a", 0, 5.0)))] == ["new"]
        assert [s.engine for s in of_type(api.Send, g.handle(1.16, api.Request("b", 0, 5.0)))] != ["new"]
        assert [s.engine for s in of_type(api.Send, g.handle(1.17, api.Request("c", 1, 20.0)))] != ["new"]
        assert [s.engine for s in of_type(api.Send, g.handle(1.25, api.Request("d", 1, 20.0)))] == ["new"]


def test_each_gateway_uses_few_engines_and_engines_have_equally_many_gateways():
    # With every front end at every engine there were 1,200 connections for 10 requests in flight at each, and
    # a front end had one answer of an engine in 4 s.
    users, gateways = {n: set() for n in NAMES}, make_gateways()
    for step in range(40):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.settings.gateway_index}/{step}"
            at = of_type(api.Send, g.handle(now, api.Request(name, 0, 5.0)))[0].engine
            users[at].add(g.settings.gateway_index)
            g.handle(now + 0.05, AttemptEnded(name, 0, at, Outcome.OK, 0.05, True, 0.05))
    assert max(map(len, users.values())) <= 17 and min(map(len, users.values())) >= 8
    counts = Counter(e.entry.engine for g in gateways for e in g.affinity_engines)
    assert set(counts) == set(NAMES) and set(counts.values()) <= {15, 16, 17}
    for g in gateways[:1]:  # where none of them has headroom, another engine is used
        before = {e.entry.engine for e in g.affinity_engines}
        for e in g.affinity_engines:
            e.full_until = 99.0
        assert of_type(api.Send, g.handle(9.0, api.Request("x", 0, 5.0)))[0].engine not in before
        g.handle(9.1, ListUpdate(ListMode.CHANGES, (EngineEntry("e7", EngineState.GONE, kind=1),)))
        assert (
            len(before & {e.entry.engine for e in g.affinity_engines}) >= 9
        )  # one engine that leaves changes few


def test_zone_that_returns_cold_is_not_overloaded():
    # A zone fails and returns under the same ids. Every front end gets the update, one restarts meanwhile.
    gateways, zone, sent, due = make_gateways(), NAMES[:10], [], []
    state = {n: EngineEntry(n, EngineState.LIVE, kind=i % 2) for i, n in enumerate(NAMES)}
    work = (0.2, 3.0)

    def update_list(g, now, names, **more):
        entries = tuple(replace(state[n], **more) for n in names)
        state.update((e.engine, e) for e in entries)
        process(g, now, g.handle(now, ListUpdate(ListMode.CHANGES, entries)))

    def process(g, now, actions):
        for a in of_type(api.Send, actions):
            cls = 0 if a.request.endswith("l") else 1
            sent.append((now, a.engine, work[cls]))
            due.append((now + work[cls], g, a.request, len(g.pending[a.request].attempts) - 1, a.engine, cls))

    for step in range(800):
        now = 0.1 + step * 0.02
        for item in [d for d in due if d[0] <= now]:
            due.remove(item)
            _, g, name, number, at, cls = item
            if name in g.in_flight:
                end = AttemptEnded(name, number, at, Outcome.OK, work[cls], True, work[cls])
                process(g, now, g.handle(now, end))
        for g in gateways:
            if g.timer_at <= now:
                process(g, now, g.handle(now, api.TimerDue("look")))
            i = g.settings.gateway_index
            if step == 50 + i % 5:
                update_list(g, now, zone, state=EngineState.GONE)
            elif step == 250 + i % 5:
                update_list(g, now, zone, state=EngineState.LIVE, started=4.9)
            if (step + i) % 6 == 0:
                name = f"{i}/{step}" + ("l" if (step + i) % 24 else "r")
                process(g, now, g.handle(now, api.Request(name, int(name[-1] == "r"), 20.0)))
        if step == 300:
            gateways[7] = Gateway(gateways[7].settings, 99, now)
            gateways[7].handle(now, ListUpdate(ListMode.REMEMBERED, tuple(state.values())))
            due[:] = [d for d in due if d[1].settings.gateway_index != 7]
    for i, name in enumerate(zone):
        mine = [(t, w) for t, at, w in sent if at == name and t > 4.9]
        for end in (5.0 + 0.25 * k for k in range(44)):
            capacity = (0.3 + 0.7 * (end - 4.9) / 12.0) * (8, 16)[i % 2]
            assert sum(w for t, w in mine if end - 1.5 < t <= end) <= 2.5 * capacity * 1.5, (name, end)
        assert sum(w for _, w in mine) > 0.3 * 0.3 * (8, 16)[i % 2] * 11.0  # but not starved


def test_engine_that_fails_two_in_five_loses_its_work_after_three_answers():
    # The engine never failed five times in a row, which would eject it; the slowdown by errors must act.
    share = Counter()
    for g in make_gateways(NAMES[:4], 5):
        now, seen = 0.1, 0
        for step in range(300):
            now, name = now + 0.1, f"r{step}"
            for sent in of_type(api.Send, g.handle(now, api.Request(name, 0, 60.0))):
                share[sent.engine] += seen >= 3
                bad = sent.engine == "e1" and step % 5 < 2
                seen += sent.engine == "e1"
                g.handle(
                    now + 0.05,
                    AttemptEnded(
                        name, 0, sent.engine, Outcome.ERROR if bad else Outcome.OK, 0.05, True, 0.05
                    ),
                )
    assert share["e1"] < share["e3"] / 2


def test_long_work_does_not_block_short_worthy_work():
    for g in make_gateways(honors_priorities=True)[:5]:
        g.classes[0].work, g.classes[1].work = 0.2, 3.0
        g.mix.update()
        for i in range(30):
            g.handle(0.1, api.Request(f"long{i}", 1, 20.0))
        assert g.queued  # the thread limit is reached
        short = [
            s for i in range(30) for s in of_type(api.Send, g.handle(0.2, api.Request(f"short{i}", 0, 5.0)))
        ]
        assert (
            g.capacity_share - 1
            < len(short)
            <= MAX_THREADS_PER_CORE * SHORT_SHARE_HEADROOM**2 * g.capacity_share
        )


def test_repeated_complete_list_does_not_reset_cold_slots():
    # Repeated lists name the same engines: if each reset the cold slots, every gateway would send a burst.
    old = tuple(EngineEntry(n, EngineState.LIVE, kind=i % 2) for i, n in enumerate(NAMES))
    new = tuple(EngineEntry(f"new{i}", EngineState.LIVE, kind=i % 2, started=0.9) for i in range(18))
    leaving = tuple(replace(e, state=EngineState.DRAINING) for e in old[:18])
    counts = []
    for again in (False, True):
        sent = 0
        for g in make_gateways():
            g.handle(1.0, ListUpdate(ListMode.CHANGES, leaving + new))
            for step in range(60):
                now, name = 1.0 + step * 0.05, f"r{step}"
                if again and step % 5 == 4:
                    g.handle(now, ListUpdate(ListMode.COMPLETE, leaving + new + old[18:]))
                for at in of_type(api.Send, g.handle(now, api.Request(name, 0, 5.0))):
                    assert at.engine not in NAMES[:18]
                    sent += at.engine.startswith("new")
                    g.handle(now + 0.04, AttemptEnded(name, 0, at.engine, Outcome.OK, 0.04, True, 0.3))
        counts.append(sent)
    assert counts[0] > 50 and 0.8 * counts[0] < counts[1] < 1.25 * counts[0]


def test_endless_errors_keep_slowdown_finite():
    # Each of some hundred errors a second triples the slowdown, which would exceed the range of floats.
    (g, *_) = make_gateways(NAMES[:4], 5)
    for step in range(3000):
        now, name = 0.1 + step * 0.001, f"r{step}"
        for sent in of_type(api.Send, g.handle(now, api.Request(name, 0, 5.0))):
            g.handle(now, AttemptEnded(name, 0, sent.engine, Outcome.ERROR, 0.001, True))
    assert max(e.recent_slowdown for e in g.live) <= 1e3


def test_engines_that_share_a_gossip_tag_are_not_gossiped():
    # Tags have 16 bits: of 1,100 engines some share one, and the load of one was taken for the other's.
    names = [f"s-{i * 2654435761 % 2**32:08x}" for i in range(1100)]
    (g,) = make_gateways(names, 1100, 1100, may_probe=False, may_gossip=True)
    shared = Counter(e.gossip_tag for e in g.live)
    pair = [e for e in g.live if shared[e.gossip_tag] > 1]
    alone = next(e for e in g.live if shared[e.gossip_tag] == 1)
    assert pair and g.fleet.unpack_gossip(pack_gossip([(e, 1.0) for e in (*pair, alone)])) == [(alone, 1.0)]


def test_affinity_order_does_not_depend_on_the_order_of_the_list():
    # The order has 1,024 places for 1,100 engines: those in the same place stood in the order of the list.
    names = [f"e{i}" for i in range(1100)]
    (g,), (other,) = make_gateways(names, 1100, 1100), make_gateways(names[::-1], 1100, 1100)
    assert [e.entry.engine for e in g.fleet.affinity_order(-1)] == [
        e.entry.engine for e in other.fleet.affinity_order(-1)
    ]
    users = Counter(
        e.entry.engine for g in make_gateways(names, 1100, MAX_CANDIDATES) for e in g.affinity_engines
    )
    assert (
        len(users) == 1100 and max(users.values()) == 2
    )  # every twelfth gateway: together they cover all engines


def test_cached_affinity_orders_are_bounded():
    (g, *_) = make_gateways()
    for data_set in range(2000):
        g.fleet.affinity_order(data_set)
    assert len(g.fleet.affinity_orders) <= 260 and len(g.fleet.affinity_order(1)) == len(NAMES)


def test_cost_of_a_decision_does_not_depend_on_the_number_of_engines():
    # Sums over all live engines for each candidate made it grow with the fleet. Counted, not timed.
    class Counted(list):
        items_read = 0

        def __iter__(self):
            Counted.items_read += len(self)
            return super().__iter__()

    items_read = []
    for count in (60, 1100):
        (g,) = make_gateways(
            [f"e{i}" for i in range(count)], count, count, honors_priorities=True, max_attempts=1
        )
        g.live, Counted.items_read, g.classes[0].latency = Counted(g.live), 0, 0.1
        for step in range(200):
            name = f"r{step}"
            for sent in of_type(api.Send, g.handle(0.1, api.Request(name, step % 2, 5.0))):
                if step % 3 == 0:
                    g.handle(0.1, AttemptEnded(name, 0, sent.engine, Outcome.ERROR, 0.05, False))
        items_read.append(Counted.items_read)
        assert g.queued
    assert items_read[1] < 1100, items_read


def test_lookups_are_queued_apart_from_reports():
    # With one queue for all classes reports filled it, and lookups were refused although they had time left.
    (g, *_) = make_gateways(honors_priorities=True)
    g.classes[0].work, g.classes[0].latency, g.classes[1].work, g.classes[1].latency = 0.2, 0.1, 3.0, 1.5
    g.mix.update()
    for i in range(40):
        g.handle(0.1, api.Request(f"long{i}", 1, 20.0))
    waiting = len(g.queued)
    for i in range(20):
        g.handle(0.2, api.Request(f"short{i}", 0, 5.0))
    assert waiting > 5 and sum(q.arrival.cls == 0 for q in g.queued.values()) > 2


def test_slow_long_work_is_pressure_despite_many_fast_lookups():
    # Engines serve urgent requests first. Counted by number, these made the fleet look fast.
    (g, *_), now = make_gateways(honors_priorities=True), 0.1
    for step in range(330):
        now, cls = now + 0.1, int(step % 11 == 10)
        name, work = f"r{step}", (0.05, 3.0)[cls]
        for at in of_type(api.Send, g.handle(now, api.Request(name, cls, 20.0))):
            latency = (0.05, 6.0)[cls]  # a report on two threads takes four times as long as its work needs
            g.handle(now + 0.05, AttemptEnded(name, 0, at.engine, Outcome.OK, latency, True, work))
    assert g.fleet_slowdown > 1.7
