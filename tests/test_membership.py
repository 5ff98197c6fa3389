"""The rule by which sources make one list, on a clock of the tests' own."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from membership_world import DRAINING, GONE, LIVE, ROSTER, SRV, World, at, srv

from aspenrill.members import Member
from aspenrill.membership.addresses import AddressPolicy, networks
from aspenrill.membership.flaps import Damping
from aspenrill.membership.rule import Spec
from aspenrill.membership.tiers import TierRules


def test_one_address_is_one_engine_whoever_names_it():
    w = World()
    w.whole("roster", at(1), at(2))
    assert w.whole("srv", srv(2, 0, 7), srv(3)) and w.live == {"e1", "e2", "h3:1"}
    assert w.list["e2"].weight == 7 and w.list["e1"].weight is None
    w.whole("roster", at(1), at(2), at(3))
    assert w.live == {"e1", "e2", "h3:1"}  # it keeps the id under which its pools are


def test_srv_names_what_the_roster_says_drains():
    # the drain counts: nothing that SRV says brings it back, whatever comes first
    w = World()
    w.whole("srv", srv(1), srv(2))
    w.whole("roster", at(1), at(2))
    w.change("roster", at(1, state=DRAINING))
    assert w.live == {"h2:1"} and w.list["h1:1"].state is DRAINING
    w.whole("srv", srv(1, 0, 9), srv(2))
    assert w.live == {"h2:1"}
    w.change("roster", at(1, state=GONE))  # the roster names it no more, SRV does: its word is all there is
    assert w.live == {"h1:1", "h2:1"}


def test_a_source_withdraws_only_what_it_has_named():
    w = World()
    w.whole("roster", at(1), at(2), at(3))
    w.whole("srv", srv(2), srv(3), srv(4))
    w.change("roster", at(4, state=GONE), at(9, state=GONE))
    assert w.live == {"e1", "e2", "e3", "h4:1"}
    w.whole("srv", srv(3), srv(4))
    assert w.live == {"e1", "e2", "e3", "h4:1"}
    w.whole("roster", at(1), at(3))
    assert w.live == {"e1", "e3", "h4:1"} and w.heard[-1].engine == "e2" and w.heard[-1].state is GONE


def test_a_source_that_fails_withdraws_nothing_for_however_long():
    w = World()
    w.whole("srv", srv(1), srv(2))
    for _ in range(120):
        w.m.failed(w.now, "srv", "no answer in time")
        w.wait(0.5)
    assert w.live == {"h1:1", "h2:1"} and not w.heard[2:]
    assert w.notes("fails, its last list of 2 stays") == 1
    w.whole("srv", srv(1), srv(2))
    assert w.notes("answers again") == 1 and not w.heard[2:]


def test_the_highest_source_gives_kind_zone_cell_and_start():
    w = World(Spec("high"), Spec("low"), SRV)
    w.whole("low", at(1, "low-1", zone=2, kind=3, cell=4, started=900.0))
    w.whole("srv", srv(1, 0, 5))
    assert w.list["low-1"].zone == 2
    w.whole("high", at(1, "high-1", zone=5, kind=6, cell=7, started=950.0))
    found = w.list["low-1"]
    assert (found.zone, found.kind, found.cell, found.started, found.weight) == (5, 6, 7, 950.0, 5)
    w.m.configure(w.now, (Spec("low"), Spec("high"), SRV))
    w.hear()
    assert w.list["low-1"].zone == 2 and w.list["low-1"].started == 950.0  # a start is not taken back


def test_what_comes_up_anew_is_cold_and_what_was_there_is_not():
    w = World()
    w.whole("srv", srv(1))
    assert not w.cold("h1:1")
    w.wait(1)
    w.whole("srv", srv(1), srv(2))
    assert w.cold("h2:1") and not w.cold("h1:1")
    w.wait(20)
    w.whole("srv", srv(1), asked=w.now)
    w.wait(0.5)
    w.whole("srv", srv(1), srv(2))
    assert not w.cold("h2:1")  # back too soon to have restarted
    w.wait(20)
    w.whole("srv", srv(1))
    w.wait(2)
    w.whole("srv", srv(1), srv(2))
    assert w.cold("h2:1") and w.list["h2:1"].address[1] == 2


def test_another_id_at_an_address_is_another_engine():
    # the pools of the old id must not serve the new one: the owner hears that the old one is gone
    w = World()
    w.whole("srv", srv(1))
    w.whole("roster", at(1, "a"))
    news = w.change("roster", at(1, "a", state=DRAINING), at(1, "b"))
    assert [(m.engine, m.state) for m in news] == [("h1:1", GONE), ("b", LIVE)] and w.cold("b")
    w.change("roster", at(1, "a", state=GONE))  # the old one's end says nothing of the new one
    assert w.live == {"b"}
    assert w.change("roster", at(1, "a", state=DRAINING)) == [] and w.live == {"b"}


def test_two_ids_that_change_places():
    w = World()
    w.whole("roster", at(1, "a"), at(2, "b"))
    w.wait(30)
    w.whole("roster", at(1, "b"), at(2, "a"))
    assert {m.engine: m.address[1] for m in w.list.values()} == {"b": 1, "a": 2} and w.live == {"a", "b"}
    assert w.cold("a") and w.cold("b")


def test_an_id_that_moves_while_another_still_names_its_old_place():
    w = World()
    w.whole("roster", at(1, "a"))
    w.whole("srv", srv(1))
    w.change("roster", at(2, "a"))
    assert {m.address[1]: m.engine for m in w.list.values() if m.state is LIVE} == {1: "a", 2: "a@10.0.0.1:2"}


def test_of_two_entries_at_one_address_the_live_one_counts():
    w = World()
    w.whole("roster", at(1, "new"), at(1, "old", state=DRAINING))
    w.whole("srv", srv(5, 3, 1, "x:5"), srv(5, 0, 9, "y:5"), srv(5, 0, 2, "z:5"))
    assert w.live == {"new", "y:5"} and w.list["y:5"].weight == 9


@pytest.mark.parametrize("left", [0, 3])
def test_a_list_that_shrinks_much_is_looked_at_twice(left):
    w = World()
    w.whole("srv", *map(srv, range(1, 9)), asked=w.now)
    rest = [srv(port) for port in range(1, left + 1)]
    w.whole("srv", *rest, srv(20), asked=w.now)
    assert len(w.live) == 9 and w.m.looks == [("srv", w.now + 2.0)]  # what is new counts at once
    w.whole("srv", *rest, srv(20), asked=w.now)  # the same answer again is no second look
    assert len(w.live) == 9
    w.wait(2)
    w.whole("srv", *rest, srv(20), asked=w.now)
    assert len(w.live) == left + 1 and w.notes("a second look") == 2


def test_a_list_that_is_whole_again_at_the_second_look_has_lost_nothing():
    w = World()
    w.whole("srv", *map(srv, range(1, 9)))
    w.whole("srv")
    w.wait(2)
    w.whole("srv", *map(srv, range(1, 8)))
    assert len(w.live) == 7
    w.wait(2)
    w.whole("srv")  # the doubt begins anew
    assert len(w.live) == 7


def test_what_flaps_is_held_out_for_a_growing_time_and_let_in_cold():
    w = World(Spec("roster"), Spec("srv", False, 1.0), damping=Damping())
    w.whole("srv", srv(1), srv(2))
    end, seen, ins = w.now + 60, [], 0
    while w.now < end:
        w.whole("srv", srv(1))
        w.wait(1)
        w.whole("srv", srv(1), srv(2))
        w.wait(1)
        seen.append("h2:1" in w.live)
    ins = sum(1 for a, b in zip([True, *seen], seen, strict=False) if b and not a)
    assert ins <= 1 and sum(seen) <= 3, "it was let in again and again"
    holds = [note for note in w.m.notes if "held out" in note]
    assert [h.split("for ")[1] for h in holds] == ["5 s", "10 s", "20 s", "40 s"]
    w.wait(60)
    assert w.live == {"h1:1", "h2:1"}
    back = next(m for m in reversed(w.heard) if m.engine == "h2:1")
    assert back.started > end and len([n for n in w.m.notes if "held out" in n]) == 4


def test_an_address_that_is_not_allowed_is_never_told_and_logged_once():
    policy = AddressPolicy(["10.0.0.0/8", "fd00::/8"], ["10.9.0.0/16"])
    w = World(allows=policy.allows)
    rows = [
        Member(f"x{i}", (host, 80), LIVE)
        for i, host in enumerate(
            ["10.1.2.3", "10.9.1.1", "192.168.1.1", "fd00::1", "fe80::1", "0.0.0.0", "::", "224.0.0.1"]
        )
    ]
    for _ in range(5):
        w.whole("roster", *rows)
        w.change("roster", rows[1])
    assert w.live == {"x0", "x3"} and {m.engine for m in w.heard} == {"x0", "x3"}
    assert w.notes("not allowed") == 6
    w.m.configure(w.now, (ROSTER, SRV), allows=AddressPolicy([], ["10.0.0.0/8"]).allows)
    w.hear()
    assert w.live == {"x3"}  # a new policy counts at once


@pytest.mark.parametrize(
    "host, allowed",
    [
        ("::ffff:10.9.1.1", False),
        ("::ffff:10.1.1.1", True),
        ("10.9.255.255", False),
        ("ff02::1", False),
        ("255.255.255.255", False),
        ("nonsense", False),
        ("fd00:1::1", False),
    ],
)
def test_addresses_in_other_clothes(host, allowed):
    assert AddressPolicy(["10.0.0.0/8"], ["10.9.0.0/16"]).allows(host) is allowed


@pytest.mark.parametrize("text", ["10.0.0.1/8", "10.0.0.0/33", "x", "::/129", ""])
def test_networks_that_are_none(text):
    with pytest.raises(ValueError):
        networks([text])


def test_sources_that_are_taken_out_are_believed_until_new_ones_speak():
    w = World(Spec("old"))
    w.whole("old", at(1), at(2))
    w.m.configure(w.now, (Spec("new"),))
    assert w.hear() == [] and w.live == {"e1", "e2"}
    w.wait(5)
    w.whole("new", at(2, "n2"), at(3, "n3"))
    assert w.live == {"e2", "n3"} and "old" not in w.m.sources and not w.cold("e2")
    w.m.configure(w.now, (Spec("silent"),))
    w.wait(29)
    assert w.live == {"e2", "n3"}
    w.wait(2)
    assert w.live == set() and list(w.m.sources) == ["silent"]


# ---- tiers --------------------------------------------------------------------------------------------


def tiered(*counts: int, **rules) -> tuple[World, list[Member]]:
    w = World(Spec("roster"), Spec("srv", False, 1.0), tiers=TierRules(**rules))
    rows = [srv(100 * p + n, p, 10) for p, count in enumerate(counts) for n in range(1, count + 1)]
    w.whole("srv", *rows)
    return w, rows


def inside(w: World, tier: int) -> int:
    return sum(w.list[name].priority == tier for name in w.live)


def test_a_lower_tier_stays_out_while_the_first_is_well():
    w, _ = tiered(4, 4)
    w.wait(30)
    assert inside(w, 0) == 4 and inside(w, 1) == 0 and len(w.heard) == 4


def test_what_is_gone_from_a_tier_lacks_no_more_unless_a_least_number_is_set():
    for least, opens in ((1, 0), (3, 1)):
        w, rows = tiered(4, 4, least=least)
        w.whole("srv", *rows[3:])
        w.wait(6)
        assert inside(w, 0) == 1 and w.notes("tier 1 opens") == opens and inside(w, 1) == 2 * opens


def test_a_lower_tier_comes_in_one_by_one_and_cold_and_goes_when_the_first_has_settled():
    w, rows = tiered(4, 4, 4)
    w.whole("roster", *(at(port, f"r{port}", DRAINING) for port in (1, 2, 3)))
    counts = []
    for _ in range(6):
        w.wait(1)
        counts.append(inside(w, 1))
        assert all(w.cold(n) for n in w.live if w.list[n].priority == 1)
    assert counts[0] in (0, 1, 2) and counts == sorted(counts) and counts[-1] == 2  # 1 + 2 make 3 of 4
    assert all(b - a <= 1 for a, b in zip(counts, counts[1:], strict=False))
    assert w.notes("tier 1 opens") == 1 and inside(w, 2) == 0
    w.whole("roster")  # all four are back
    w.wait(10)
    assert inside(w, 1) == 2  # until those above are warm
    w.wait(10)
    assert inside(w, 0) == 4 and inside(w, 1) == 0 and w.notes("tier 1 is closed") == 1
    w.wait(60)
    assert w.notes("tier 1 opens") == 1  # and it stays so


def test_the_second_tier_failing_too_opens_the_third():
    w, rows = tiered(2, 2, 2)
    w.m.unfit(w.now, [m.engine for m in rows[:4]])
    w.wait(5)
    assert inside(w, 2) == 2
    assert w.live >= {m.engine for m in rows[:2]}  # whom to leave out is the module's to decide
    w.m.unfit(w.now, [])
    w.wait(60)
    assert (inside(w, 0), inside(w, 1), inside(w, 2)) == (2, 0, 0)


def test_a_first_tier_that_vanishes_leaves_its_place_to_the_next_gradually():
    w, rows = tiered(3, 3)
    w.whole("srv", *rows[3:])
    assert inside(w, 1) <= 1
    w.wait(5)
    assert inside(w, 1) == 3 and all(w.cold(n) for n in w.live)
    w.whole("srv", *rows)  # it comes back, cold: the others stay until it is warm
    w.wait(5)
    assert inside(w, 0) == 3 and inside(w, 1) == 3
    w.wait(20)
    assert inside(w, 0) == 3 and inside(w, 1) == 0


# ---- any sources, any order ---------------------------------------------------------------------------

STATE = st.sampled_from([LIVE, LIVE, LIVE, DRAINING, GONE])


@settings(derandomize=True, deadline=None, max_examples=150, database=None)
@given(st.integers(0, 10**6))
def test_the_rule_holds_under_any_events(seed):
    rng = random.Random(seed)
    w = World(Spec("a"), Spec("b"), Spec("c", False, 0.5), most_engines=50)
    said: dict[str, dict[int, Member]] = {"a": {}, "b": {}, "c": {}}
    for _ in range(60):
        w.wait(rng.choice([0.25, 0.5, 3.0, 15.0]))
        name = rng.choice("abc")
        if rng.random() < 0.15:
            w.m.failed(w.now, name, "no answer")
            w.hear()
            continue
        rows = {}
        for port in rng.sample(range(1, 7), rng.randrange(0, 6)):
            ident = f"h{port}:1" if name == "c" else rng.choice([f"{name}{port}", f"{name}{port}'"])
            rows[port] = at(
                port,
                ident,
                LIVE if name == "c" else rng.choice([LIVE, LIVE, DRAINING]),
                weight=1.0 if name == "c" else None,
            )
        w.whole(name, *rows.values())
        missing = said[name].keys() - rows.keys()
        if name == "c" and len(missing) > 0.5 * len(said["c"]):
            w.wait(2.0)
            w.whole(name, *rows.values())
        said[name] = rows
        by_port: dict[int, list[Member]] = {}
        for source in said.values():
            for port, member in source.items():
                by_port.setdefault(port, []).append(member)
        ports = [m.address[1] for m in w.list.values()]
        assert len(ports) == len(set(ports)), "two engines at one address"
        for member in w.list.values():
            words = by_port.get(member.address[1])
            assert words, "an engine that nobody names"
            if member.state is LIVE:
                assert all(m.state is LIVE for m in words)
        held = {e.address[1] for e in w.m.engines.values() if e.flaps.held(w.now)}
        for port, words in by_port.items():
            if all(m.state is LIVE for m in words) and port not in held:
                assert port in {m.address[1] for m in w.list.values() if m.state is LIVE}
        assert set(w.m.engines) == {("10.0.0.1", port) for port in by_port}
        assert all(w.m.ids[e.id] == e.address for e in w.m.engines.values())
        assert len(w.m.ids) <= len(w.m.engines) + len(w.m.away)
