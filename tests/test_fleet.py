"""Many front ends that share nothing: what is harmless from one must stay harmless from all together."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, EngineEntry, EngineState, ListMode, ListUpdate, Outcome
from aspenrill.control import PROBED, Gateway
from aspenrill.policy.choice import AT_EASE
from aspenrill.policy.figures import LOOK, PROBES, THREADS_A_CORE
from aspenrill.state import pack_news

LOOKUP = api.QueryClass(aim=1.0, patience=5.0, effect=Effect.SAFE)
REPORT = api.QueryClass(aim=2.0, patience=20.0, effect=Effect.SAFE, worth=8, threads=2, aim_stretch=2.5)
GATEWAYS = 40
NAMES = tuple(f"e{i}" for i in range(30))


def fleet(names=NAMES, count: int = GATEWAYS, step: int = 1, **more) -> list[Gateway]:
    rules = (
        dict(
            may_probe=True,
            probe_price=0.08,
            may_cancel=True,
            start_capacity=0.3,
            cold_for=12.0,
            fall_multiple=2.5,
            fall_window=1.5,
            costs_told=True,
            report_fields=("util", "queue"),
        )
        | more
    )
    told = ListUpdate(
        ListMode.REMEMBERED, tuple(EngineEntry(n, EngineState.LIVE, kind=i % 2) for i, n in enumerate(names))
    )
    base = api.Settings(classes=(LOOKUP, REPORT), cores_by_kind=(8, 16), gateways=count, **rules)
    made = [Gateway(replace(base, me=me), me, 0.0) for me in range(0, count, step)]
    for g in made:
        g.handle(0.0, told)
    return made


def of(kind, actions) -> list:
    return [a for a in actions if isinstance(a, kind)]


def test_probes_of_all_together_stay_under_what_the_result_may_pay_for_them():
    # at 0.08 of the result for one a request, two or three before each start cost a quarter of it
    gateways, probes, asked = fleet(), 0, 0
    for step in range(50):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.set.me}/{step}"
            actions, asked = g.handle(now, api.Request(name, 0, 5.0)), asked + 1
            assert len(of(api.Send, actions)) == 1  # and none waits for a probe
            probes += len(of(api.Probe, actions))
            outcome = Outcome.ERROR if step % 2 else Outcome.OK  # each error asks after its engine
            at = g.queries[name].engine.entry.engine
            probes += len(of(api.Probe, g.handle(now + 0.05, AttemptEnded(name, 0, at, outcome, 0.05, True))))
    assert 0 < probes * 0.08 / asked <= PROBED + 0.08 * PROBES / 50


def test_a_quiet_fleet_uses_engines_by_their_cores_and_not_the_largest_alone():
    # each saw an idle engine of sixteen cores as better than one of eight: all chose the same half
    sent, gateways = Counter(), fleet()
    for step in range(20):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.set.me}/{step}"
            at = of(api.Send, g.handle(now, api.Request(name, 0, 5.0)))[0].engine
            sent[at] += 1
            g.handle(now + 0.05, AttemptEnded(name, 0, at, Outcome.OK, 0.05, True))
    small = sum(sent[n] for n in NAMES[::2])
    assert 0.25 < small / sum(sent.values()) < 0.42  # a third of the cores
    assert max(sent[n] for n in NAMES[::2]) < 4 * min(sent[n] for n in NAMES[::2])


def test_all_together_keep_to_the_thread_cap_when_nothing_comes_back():
    gateways, kinds = fleet(), {n: (8, 16)[i % 2] for i, n in enumerate(NAMES)}
    for step in range(60):
        for g in gateways:
            g.handle(0.1 + step * 0.01, api.Request(f"{g.set.me}/{step}", 1, 20.0))
    threads = sum(e.threads for g in gateways for e in g.fleet.engines.values())
    assert threads <= THREADS_A_CORE * AT_EASE * sum(kinds.values())
    assert threads > sum(kinds.values())  # and leave no core idle


def test_the_cap_counts_what_is_left_of_the_fleet_at_once():
    # six in ten engines are gone: what is out elsewhere of each share must not all meet at the others
    gateways, left = fleet(), NAMES[18:]
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
            g.handle(0.2 + step * 0.01, api.Request(f"{g.set.me}/{step}", 1, 20.0))
    threads = sum(e.threads for g in gateways for e in g.fleet.engines.values())
    assert threads <= THREADS_A_CORE * AT_EASE * 12 * len(left)


def test_what_still_runs_at_engines_that_leave_takes_no_room_at_those_that_stay():
    for g in fleet():
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


def test_short_worthy_work_passes_beside_the_gap_at_any_rung():
    (g, *_), passed = fleet(), 0
    g.classes[0].work, g.classes[1].work = 0.2, 3.0
    g.mix.update()
    for rung in range(6):
        g.rung, g.base_gap, g.next_entry, g.classes[1].credit = rung, 1.0, 99.0, -9.0
        passed += len(of(api.Send, g.handle(0.1, api.Request(f"r{rung}", 0, 5.0))))
    assert passed == 6 and not of(api.Send, g.handle(0.1, api.Request("long", 1, 20.0)))


def test_an_engine_that_answers_nothing_loses_its_work_before_anything_has_ended():
    (g, *_), now, late = fleet(NAMES[:4], 5), 0.1, Counter()
    for step in range(400):
        now, name = now + 0.1, f"r{step}"
        for sent in of(api.Send, g.handle(now, api.Request(name, 0, 60.0))):
            late[sent.engine] += step > 200
            if sent.engine != "e1":  # as large as e3
                g.handle(now + 0.05, AttemptEnded(name, 0, sent.engine, Outcome.OK, 0.05, True, 0.05))
    assert late["e1"] < late["e3"] / 10


def test_a_turn_at_a_cold_engine_is_taken_when_it_is_due():
    # what the turns deal out is lost where it is not used, while warm engines carry too much
    for g in fleet():
        g.handle(1.0, ListUpdate(ListMode.CHANGES, (EngineEntry("new", EngineState.LIVE, started=0.9),)))
        g.fleet.engines["new"].turns = {0: 1.1, 1: 1.2}
        assert [s.engine for s in of(api.Send, g.handle(1.15, api.Request("a", 0, 5.0)))] == ["new"]
        assert [s.engine for s in of(api.Send, g.handle(1.16, api.Request("b", 0, 5.0)))] != ["new"]
        assert [s.engine for s in of(api.Send, g.handle(1.17, api.Request("c", 1, 20.0)))] != ["new"]
        assert [s.engine for s in of(api.Send, g.handle(1.25, api.Request("d", 1, 20.0)))] == ["new"]


def test_each_gateway_keeps_to_few_engines_and_each_engine_has_as_many_gateways():
    # all at all engines: 1,200 connections for 10 requests out at each, and of each engine an answer in 4 s
    met, gateways = {n: set() for n in NAMES}, fleet()
    for step in range(40):
        for g in gateways:
            now, name = 0.1 + step * 0.1, f"{g.set.me}/{step}"
            at = of(api.Send, g.handle(now, api.Request(name, 0, 5.0)))[0].engine
            met[at].add(g.set.me)
            g.handle(now + 0.05, AttemptEnded(name, 0, at, Outcome.OK, 0.05, True, 0.05))
    assert max(map(len, met.values())) <= 17 and min(map(len, met.values())) >= 8
    homes = Counter(e.entry.engine for g in gateways for e in g.homes)
    assert set(homes) == set(NAMES) and set(homes.values()) <= {15, 16, 17}
    for g in gateways[:1]:  # where none of them takes it, another does
        before = {e.entry.engine for e in g.homes}
        for e in g.homes:
            e.full_until = 99.0
        assert of(api.Send, g.handle(9.0, api.Request("x", 0, 5.0)))[0].engine not in before
        g.handle(9.1, ListUpdate(ListMode.CHANGES, (EngineEntry("e7", EngineState.GONE, kind=1),)))
        assert len(before & {e.entry.engine for e in g.homes}) >= 9  # one that leaves moves few


def test_a_zone_that_comes_back_cold_to_all_at_once_is_not_pushed_over():
    # lost without a word, back under the same ids; each front end hears of it, and one is restarted meanwhile
    gateways, zone, sent, due = fleet(), NAMES[:10], [], []
    state = {n: EngineEntry(n, EngineState.LIVE, kind=i % 2) for i, n in enumerate(NAMES)}
    work = (0.2, 3.0)

    def told(g, now, names, **more):
        entries = tuple(replace(state[n], **more) for n in names)
        state.update((e.engine, e) for e in entries)
        carry(g, now, g.handle(now, ListUpdate(ListMode.CHANGES, entries)))

    def carry(g, now, actions):
        for a in of(api.Send, actions):
            cls = 0 if a.request.endswith("l") else 1
            sent.append((now, a.engine, work[cls]))
            due.append((now + work[cls], g, a.request, len(g.queries[a.request].attempts) - 1, a.engine, cls))

    for step in range(800):
        now = 0.1 + step * 0.02
        for item in [d for d in due if d[0] <= now]:
            due.remove(item)
            _, g, name, number, at, cls = item
            if name in g.out:
                end = AttemptEnded(name, number, at, Outcome.OK, work[cls], True, work[cls])
                carry(g, now, g.handle(now, end))
        for g in gateways:
            if g.timer_at <= now:
                carry(g, now, g.handle(now, api.TimerDue("look")))
            i = g.set.me
            if step == 50 + i % 5:
                told(g, now, zone, state=EngineState.GONE)
            elif step == 250 + i % 5:
                told(g, now, zone, state=EngineState.LIVE, started=4.9)
            if (step + i) % 6 == 0:
                name = f"{i}/{step}" + ("l" if (step + i) % 24 else "r")
                carry(g, now, g.handle(now, api.Request(name, int(name[-1] == "r"), 20.0)))
        if step == 300:
            gateways[7] = Gateway(gateways[7].set, 99, now)
            gateways[7].handle(now, ListUpdate(ListMode.REMEMBERED, tuple(state.values())))
            due[:] = [d for d in due if d[1].set.me != 7]
    for i, name in enumerate(zone):
        mine = [(t, w) for t, at, w in sent if at == name and t > 4.9]
        for end in (5.0 + 0.25 * k for k in range(44)):
            able = (0.3 + 0.7 * (end - 4.9) / 12.0) * (8, 16)[i % 2]
            assert sum(w for t, w in mine if end - 1.5 < t <= end) <= 2.5 * able * 1.5, (name, end)
        assert sum(w for _, w in mine) > 0.3 * 0.3 * (8, 16)[i % 2] * 11.0  # nor starved


def test_an_engine_that_fails_two_in_five_loses_its_work_after_three_answers():
    # one error is much where the fleet makes one in a thousand: five in a row, as put it out, never came
    share = Counter()
    for g in fleet(NAMES[:4], 5):
        now, seen = 0.1, 0
        for step in range(300):
            now, name = now + 0.1, f"r{step}"
            for sent in of(api.Send, g.handle(now, api.Request(name, 0, 60.0))):
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


def test_long_work_does_not_keep_short_worthy_work_out():
    for g in fleet(priorities_heeded=True)[:5]:
        g.classes[0].work, g.classes[1].work = 0.2, 3.0
        g.mix.update()
        for i in range(30):
            g.handle(0.1, api.Request(f"long{i}", 1, 20.0))
        assert g.held  # the cap is reached
        short = [s for i in range(30) for s in of(api.Send, g.handle(0.2, api.Request(f"short{i}", 0, 5.0)))]
        assert g.part - 1 < len(short) <= THREADS_A_CORE * AT_EASE**2 * g.part


def test_a_list_told_whole_again_during_a_release_gives_no_cold_engine_its_turns_anew():
    # late, broken and repeated feeds tell the same engines again: forty fresh starts would be forty bursts
    old = tuple(EngineEntry(n, EngineState.LIVE, kind=i % 2) for i, n in enumerate(NAMES))
    new = tuple(EngineEntry(f"new{i}", EngineState.LIVE, kind=i % 2, started=0.9) for i in range(18))
    leaving = tuple(replace(e, state=EngineState.DRAINING) for e in old[:18])
    counts = []
    for again in (False, True):
        sent = 0
        for g in fleet():
            g.handle(1.0, ListUpdate(ListMode.CHANGES, leaving + new))
            for step in range(60):
                now, name = 1.0 + step * 0.05, f"r{step}"
                if again and step % 5 == 4:
                    g.handle(now, ListUpdate(ListMode.COMPLETE, leaving + new + old[18:]))
                for at in of(api.Send, g.handle(now, api.Request(name, 0, 5.0))):
                    assert at.engine not in NAMES[:18]
                    sent += at.engine.startswith("new")
                    g.handle(now + 0.04, AttemptEnded(name, 0, at.engine, Outcome.OK, 0.04, True, 0.3))
        counts.append(sent)
    assert counts[0] > 50 and 0.8 * counts[0] < counts[1] < 1.25 * counts[0]


def test_errors_without_end_leave_every_engine_in_the_choice():
    # three times slower with each of some hundred errors a second: the figure would leave the floats
    (g, *_) = fleet(NAMES[:4], 5)
    for step in range(3000):
        now, name = 0.1 + step * 0.001, f"r{step}"
        for sent in of(api.Send, g.handle(now, api.Request(name, 0, 5.0))):
            g.handle(now, AttemptEnded(name, 0, sent.engine, Outcome.ERROR, 0.001, True))
    assert max(e.slow for e in g.live) <= 1e3


def test_engines_whose_names_in_news_are_the_same_are_told_of_by_none():
    # 16 bits: of 1,100 engines some share theirs, and one's load was taken for the other's
    names = [f"s-{i * 2654435761 % 2**32:08x}" for i in range(1100)]
    (g,) = fleet(names, 1100, 1100, may_probe=False, may_tell=True)
    shared = Counter(e.tag for e in g.live)
    pair = [e for e in g.live if shared[e.tag] > 1]
    alone = next(e for e in g.live if shared[e.tag] == 1)
    assert pair and g.fleet.read_news(pack_news([(e, 1.0) for e in (*pair, alone)])) == [(alone, 1.0)]


def test_a_large_fleet_is_dealt_out_in_one_order_however_the_list_comes():
    # 1,100 engines in an order of 1,024 places: what shared one stood as each gateway's list had it
    names = [f"e{i}" for i in range(1100)]
    (g,), (other,) = fleet(names, 1100, 1100), fleet(names[::-1], 1100, 1100)
    assert [e.entry.engine for e in g.fleet.order(-1)] == [e.entry.engine for e in other.fleet.order(-1)]
    met = Counter(e.entry.engine for g in fleet(names, 1100, LOOK) for e in g.homes)
    assert len(met) == 1100 and max(met.values()) == 2  # each twelfth gateway: together all of them


def test_orders_of_data_sets_that_clients_make_up_are_bounded():
    (g, *_) = fleet()
    for data_set in range(2000):
        g.fleet.order(data_set)
    assert len(g.fleet.orders) <= 260 and len(g.fleet.order(1)) == len(NAMES)


def test_a_decision_costs_the_same_at_any_number_of_engines():
    # sums over all live engines for each candidate made it grow with the fleet: counted, not timed
    class Counted(list):
        looks = 0

        def __iter__(self):
            Counted.looks += len(self)
            return super().__iter__()

    looks = []
    for count in (60, 1100):
        (g,) = fleet([f"e{i}" for i in range(count)], count, count, priorities_heeded=True, most_attempts=1)
        g.live, Counted.looks, g.classes[0].latency = Counted(g.live), 0, 0.1
        for step in range(200):
            name = f"r{step}"
            for sent in of(api.Send, g.handle(0.1, api.Request(name, step % 2, 5.0))):
                if step % 3 == 0:
                    g.handle(0.1, AttemptEnded(name, 0, sent.engine, Outcome.ERROR, 0.05, False))
        looks.append(Counted.looks)
        assert g.held
    assert looks[1] < 1100, looks


def test_lookups_have_a_line_of_their_own_while_reports_wait():
    # one line for all was full of reports: lookups were refused at once though their own time was not up
    (g, *_) = fleet(priorities_heeded=True)
    g.classes[0].work, g.classes[0].latency, g.classes[1].work, g.classes[1].latency = 0.2, 0.1, 3.0, 1.5
    g.mix.update()
    for i in range(40):
        g.handle(0.1, api.Request(f"long{i}", 1, 20.0))
    waiting = len(g.held)
    for i in range(20):
        g.handle(0.2, api.Request(f"short{i}", 0, 5.0))
    assert waiting > 5 and sum(q.ask.cls == 0 for q in g.held.values()) > 2


def test_long_work_that_is_slow_is_pressure_though_ten_times_as_many_lookups_are_not():
    # urgent queries take their cores first: by their number they told that nothing was slow
    (g, *_), now = fleet(priorities_heeded=True), 0.1
    for step in range(330):
        now, cls = now + 0.1, int(step % 11 == 10)
        name, work = f"r{step}", (0.05, 3.0)[cls]
        for at in of(api.Send, g.handle(now, api.Request(name, cls, 20.0))):
            latency = (0.05, 6.0)[cls]  # a report on two threads takes four times what its work wants
            g.handle(now + 0.05, AttemptEnded(name, 0, at.engine, Outcome.OK, latency, True, work))
    assert g.ordinary > 1.7
