"""Tests of merging the lists of several sources into one, on a simulated clock."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from membership_world import DRAINING, GONE, LIVE, ROSTER, SRV, MembershipWorld, entry, srv_entry

from aspenrill.members import Member
from aspenrill.membership.addresses import AddressPolicy, parse_networks
from aspenrill.membership.flaps import Damping
from aspenrill.membership.rule import MergeSpec
from aspenrill.membership.tiers import TierRules


def test_sources_naming_one_address_share_one_engine():
    w = MembershipWorld()
    w.replace_list("roster", entry(1), entry(2))
    assert w.replace_list("srv", srv_entry(2, 0, 7), srv_entry(3)) and w.live == {"e1", "e2", "h3:1"}
    assert w.listed["e2"].weight == 7 and w.listed["e1"].weight is None
    w.replace_list("roster", entry(1), entry(2), entry(3))
    assert w.live == {"e1", "e2", "h3:1"}  # the engine keeps its id, to which its connection pools belong


def test_srv_does_not_undrain_an_engine_that_the_roster_drains():
    # a drain in one source takes precedence over SRV records, in either order
    w = MembershipWorld()
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    w.replace_list("roster", entry(1), entry(2))
    w.apply_changes("roster", entry(1, state=DRAINING))
    assert w.live == {"h2:1"} and w.listed["h1:1"].state is DRAINING
    w.replace_list("srv", srv_entry(1, 0, 9), srv_entry(2))
    assert w.live == {"h2:1"}
    w.apply_changes("roster", entry(1, state=GONE))  # only SRV names it now, so its entry alone counts
    assert w.live == {"h1:1", "h2:1"}


def test_a_source_withdraws_only_its_own_entries():
    w = MembershipWorld()
    w.replace_list("roster", entry(1), entry(2), entry(3))
    w.replace_list("srv", srv_entry(2), srv_entry(3), srv_entry(4))
    w.apply_changes("roster", entry(4, state=GONE), entry(9, state=GONE))
    assert w.live == {"e1", "e2", "e3", "h4:1"}
    w.replace_list("srv", srv_entry(3), srv_entry(4))
    assert w.live == {"e1", "e2", "e3", "h4:1"}
    w.replace_list("roster", entry(1), entry(3))
    assert w.live == {"e1", "e3", "h4:1"} and w.received[-1].engine == "e2" and w.received[-1].state is GONE


def test_a_failing_source_withdraws_nothing():
    w = MembershipWorld()
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    for _ in range(120):
        w.membership.record_failure(w.now, "srv", "no answer in time")
        w.advance(0.5)
    assert w.live == {"h1:1", "h2:1"} and not w.received[2:]
    assert w.count_logged("fails, its last list of 2 stays") == 1
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    assert w.count_logged("answers again") == 1 and not w.received[2:]


def test_the_highest_source_determines_kind_zone_cell_and_start():
    w = MembershipWorld(MergeSpec("high"), MergeSpec("low"), SRV)
    w.replace_list("low", entry(1, "low-1", zone=2, kind=3, cell=4, started=900.0))
    w.replace_list("srv", srv_entry(1, 0, 5))
    assert w.listed["low-1"].zone == 2
    w.replace_list("high", entry(1, "high-1", zone=5, kind=6, cell=7, started=950.0))
    found = w.listed["low-1"]
    assert (found.zone, found.kind, found.cell, found.started, found.weight) == (5, 6, 7, 950.0, 5)
    w.membership.configure(w.now, (MergeSpec("low"), MergeSpec("high"), SRV))
    w.drain_updates()
    assert w.listed["low-1"].zone == 2 and w.listed["low-1"].started == 950.0  # a start time never moves back


def test_new_engines_are_cold_and_known_ones_are_not():
    w = MembershipWorld()
    w.replace_list("srv", srv_entry(1))
    assert not w.is_cold("h1:1")
    w.advance(1)
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    assert w.is_cold("h2:1") and not w.is_cold("h1:1")
    w.advance(20)
    w.replace_list("srv", srv_entry(1), learned_at=w.now)
    w.advance(0.5)
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    assert not w.is_cold("h2:1")  # it was away too briefly to have restarted
    w.advance(20)
    w.replace_list("srv", srv_entry(1))
    w.advance(2)
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    assert w.is_cold("h2:1") and w.listed["h2:1"].address[1] == 2


def test_another_id_at_an_address_is_another_engine():
    # the pools of the old id must not serve the new engine, so the owner is told that the old one is gone
    w = MembershipWorld()
    w.replace_list("srv", srv_entry(1))
    w.replace_list("roster", entry(1, "a"))
    updates = w.apply_changes("roster", entry(1, "a", state=DRAINING), entry(1, "b"))
    assert [(m.engine, m.state) for m in updates] == [("h1:1", GONE), ("b", LIVE)] and w.is_cold("b")
    w.apply_changes("roster", entry(1, "a", state=GONE))  # removing the old id leaves the new engine alone
    assert w.live == {"b"}
    assert w.apply_changes("roster", entry(1, "a", state=DRAINING)) == [] and w.live == {"b"}


def test_two_ids_that_swap_addresses():
    w = MembershipWorld()
    w.replace_list("roster", entry(1, "a"), entry(2, "b"))
    w.advance(30)
    w.replace_list("roster", entry(1, "b"), entry(2, "a"))
    assert {m.engine: m.address[1] for m in w.listed.values()} == {"b": 1, "a": 2} and w.live == {"a", "b"}
    assert w.is_cold("a") and w.is_cold("b")


def test_an_id_that_moves_while_another_source_names_its_old_address():
    w = MembershipWorld()
    w.replace_list("roster", entry(1, "a"))
    w.replace_list("srv", srv_entry(1))
    w.apply_changes("roster", entry(2, "a"))
    assert {m.address[1]: m.engine for m in w.listed.values() if m.state is LIVE} == {
        1: "a",
        2: "a@10.0.0.1:2",
    }


def test_of_two_entries_at_one_address_the_live_one_is_used():
    w = MembershipWorld()
    w.replace_list("roster", entry(1, "new"), entry(1, "old", state=DRAINING))
    w.replace_list("srv", srv_entry(5, 3, 1, "x:5"), srv_entry(5, 0, 9, "y:5"), srv_entry(5, 0, 2, "z:5"))
    assert w.live == {"new", "y:5"} and w.listed["y:5"].weight == 9


@pytest.mark.parametrize("remaining", [0, 3])
def test_a_list_that_shrinks_much_needs_a_second_lookup(remaining):
    w = MembershipWorld()
    w.replace_list("srv", *map(srv_entry, range(1, 9)), learned_at=w.now)
    remaining_entries = [srv_entry(port) for port in range(1, remaining + 1)]
    w.replace_list("srv", *remaining_entries, srv_entry(20), learned_at=w.now)
    assert len(w.live) == 9 and w.membership.rechecks == [("srv", w.now + 2.0)]  # new entries count at once
    w.replace_list(
        "srv", *remaining_entries, srv_entry(20), learned_at=w.now
    )  # a cached answer is no second lookup
    assert len(w.live) == 9
    w.advance(2)
    w.replace_list("srv", *remaining_entries, srv_entry(20), learned_at=w.now)
    assert len(w.live) == remaining + 1 and w.count_logged("a second look") == 2


def test_entries_that_return_in_the_second_lookup_are_not_withdrawn():
    w = MembershipWorld()
    w.replace_list("srv", *map(srv_entry, range(1, 9)))
    w.replace_list("srv")
    w.advance(2)
    w.replace_list("srv", *map(srv_entry, range(1, 8)))
    assert len(w.live) == 7
    w.advance(2)
    w.replace_list("srv")  # needs a new confirmation
    assert len(w.live) == 7


def test_a_flapping_engine_is_held_out_for_doubling_times_and_returns_cold():
    w = MembershipWorld(MergeSpec("roster"), MergeSpec("srv", False, 1.0), damping=Damping())
    w.replace_list("srv", srv_entry(1), srv_entry(2))
    end, seen, readmissions = w.now + 60, [], 0
    while w.now < end:
        w.replace_list("srv", srv_entry(1))
        w.advance(1)
        w.replace_list("srv", srv_entry(1), srv_entry(2))
        w.advance(1)
        seen.append("h2:1" in w.live)
    readmissions = sum(1 for a, b in zip([True, *seen], seen, strict=False) if b and not a)
    assert readmissions <= 1 and sum(seen) <= 3, "admitted repeatedly while flapping"
    holds = [note for note in w.membership.log_lines if "held out" in note]
    assert [h.split("for ")[1] for h in holds] == ["5 s", "10 s", "20 s", "40 s"]
    w.advance(60)
    assert w.live == {"h1:1", "h2:1"}
    back = next(m for m in reversed(w.received) if m.engine == "h2:1")
    assert back.started > end and len([n for n in w.membership.log_lines if "held out" in n]) == 4


def test_an_address_that_is_not_allowed_is_never_published_and_logged_once():
    policy = AddressPolicy(["10.0.0.0/8", "fd00::/8"], ["10.9.0.0/16"])
    w = MembershipWorld(allows=policy.allows)
    rows = [
        Member(f"x{i}", (host, 80), LIVE)
        for i, host in enumerate(
            ["10.1.2.3", "10.9.1.1", "192.168.1.1", "fd00::1", "fe80::1", "0.0.0.0", "::", "224.0.0.1"]
        )
    ]
    for _ in range(5):
        w.replace_list("roster", *rows)
        w.apply_changes("roster", rows[1])
    assert w.live == {"x0", "x3"} and {m.engine for m in w.received} == {"x0", "x3"}
    assert w.count_logged("not allowed") == 6
    w.membership.configure(w.now, (ROSTER, SRV), allows=AddressPolicy([], ["10.0.0.0/8"]).allows)
    w.drain_updates()
    assert w.live == {"x3"}  # a new policy applies at once


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
def test_ipv4_mapped_and_unusual_addresses(host, allowed):
    assert AddressPolicy(["10.0.0.0/8"], ["10.9.0.0/16"]).allows(host) is allowed


@pytest.mark.parametrize("text", ["10.0.0.1/8", "10.0.0.0/33", "x", "::/129", ""])
def test_invalid_networks(text):
    with pytest.raises(ValueError):
        parse_networks([text])


def test_removed_sources_count_until_new_ones_deliver_a_list():
    w = MembershipWorld(MergeSpec("old"))
    w.replace_list("old", entry(1), entry(2))
    w.membership.configure(w.now, (MergeSpec("new"),))
    assert w.drain_updates() == [] and w.live == {"e1", "e2"}
    w.advance(5)
    w.replace_list("new", entry(2, "n2"), entry(3, "n3"))
    assert w.live == {"e2", "n3"} and "old" not in w.membership.sources and not w.is_cold("e2")
    w.membership.configure(w.now, (MergeSpec("silent"),))
    w.advance(29)
    assert w.live == {"e2", "n3"}
    w.advance(2)
    assert w.live == set() and list(w.membership.sources) == ["silent"]


# ---- tiers --------------------------------------------------------------------------------------------


def tiered(*counts: int, **rules) -> tuple[MembershipWorld, list[Member]]:
    w = MembershipWorld(MergeSpec("roster"), MergeSpec("srv", False, 1.0), tiers=TierRules(**rules))
    rows = [srv_entry(100 * p + n, p, 10) for p, count in enumerate(counts) for n in range(1, count + 1)]
    w.replace_list("srv", *rows)
    return w, rows


def live_in_tier(w: MembershipWorld, tier: int) -> int:
    return sum(w.listed[name].priority == tier for name in w.live)


def test_a_lower_tier_stays_closed_while_the_first_is_healthy():
    w, _ = tiered(4, 4)
    w.advance(30)
    assert live_in_tier(w, 0) == 4 and live_in_tier(w, 1) == 0 and len(w.received) == 4


def test_withdrawn_engines_do_not_count_as_missing_unless_a_minimum_is_set():
    for min_engines, opens in ((1, 0), (3, 1)):
        w, rows = tiered(4, 4, min_engines=min_engines)
        w.replace_list("srv", *rows[3:])
        w.advance(6)
        assert (
            live_in_tier(w, 0) == 1
            and w.count_logged("tier 1 opens") == opens
            and live_in_tier(w, 1) == 2 * opens
        )


def test_a_lower_tier_is_admitted_one_by_one_and_cold_and_closes_when_the_first_has_settled():
    w, rows = tiered(4, 4, 4)
    w.replace_list("roster", *(entry(port, f"r{port}", DRAINING) for port in (1, 2, 3)))
    counts = []
    for _ in range(6):
        w.advance(1)
        counts.append(live_in_tier(w, 1))
        assert all(w.is_cold(n) for n in w.live if w.listed[n].priority == 1)
    # 1 + 2 = 3, the 75% of 4 that are needed
    assert counts[0] in (0, 1, 2) and counts == sorted(counts) and counts[-1] == 2
    assert all(b - a <= 1 for a, b in zip(counts, counts[1:], strict=False))
    assert w.count_logged("tier 1 opens") == 1 and live_in_tier(w, 2) == 0
    w.replace_list("roster")  # all four return
    w.advance(10)
    assert live_in_tier(w, 1) == 2  # until the engines of the first tier are warm
    w.advance(10)
    assert live_in_tier(w, 0) == 4 and live_in_tier(w, 1) == 0 and w.count_logged("tier 1 is closed") == 1
    w.advance(60)
    assert w.count_logged("tier 1 opens") == 1  # no further opening


def test_the_second_tier_failing_too_opens_the_third():
    w, rows = tiered(2, 2, 2)
    w.membership.set_unhealthy(w.now, [m.engine for m in rows[:4]])
    w.advance(5)
    assert live_in_tier(w, 2) == 2
    assert w.live >= {m.engine for m in rows[:2]}  # the decision module chooses which to avoid
    w.membership.set_unhealthy(w.now, [])
    w.advance(60)
    assert (live_in_tier(w, 0), live_in_tier(w, 1), live_in_tier(w, 2)) == (2, 0, 0)


def test_a_vanished_first_tier_is_replaced_gradually_by_the_next():
    w, rows = tiered(3, 3)
    w.replace_list("srv", *rows[3:])
    assert live_in_tier(w, 1) <= 1
    w.advance(5)
    assert live_in_tier(w, 1) == 3 and all(w.is_cold(n) for n in w.live)
    w.replace_list("srv", *rows)  # it returns cold, so the other tier stays until it is warm
    w.advance(5)
    assert live_in_tier(w, 0) == 3 and live_in_tier(w, 1) == 3
    w.advance(20)
    assert live_in_tier(w, 0) == 3 and live_in_tier(w, 1) == 0


# ---- random events ------------------------------------------------------------------------------------

STATE = st.sampled_from([LIVE, LIVE, LIVE, DRAINING, GONE])


@settings(derandomize=True, deadline=None, max_examples=150, database=None)
@given(st.integers(0, 10**6))
def test_the_merge_rules_hold_under_random_events(seed):
    rng = random.Random(seed)
    w = MembershipWorld(MergeSpec("a"), MergeSpec("b"), MergeSpec("c", False, 0.5), max_engines=50)
    entries_by_source: dict[str, dict[int, Member]] = {"a": {}, "b": {}, "c": {}}
    for _ in range(60):
        w.advance(rng.choice([0.25, 0.5, 3.0, 15.0]))
        name = rng.choice("abc")
        if rng.random() < 0.15:
            w.membership.record_failure(w.now, name, "no answer")
            w.drain_updates()
            continue
        rows = {}
        for port in rng.sample(range(1, 7), rng.randrange(0, 6)):
            engine_id = f"h{port}:1" if name == "c" else rng.choice([f"{name}{port}", f"{name}{port}'"])
            rows[port] = entry(
                port,
                engine_id,
                LIVE if name == "c" else rng.choice([LIVE, LIVE, DRAINING]),
                weight=1.0 if name == "c" else None,
            )
        w.replace_list(name, *rows.values())
        missing = entries_by_source[name].keys() - rows.keys()
        if name == "c" and len(missing) > 0.5 * len(entries_by_source["c"]):
            w.advance(2.0)
            w.replace_list(name, *rows.values())
        entries_by_source[name] = rows
        by_port: dict[int, list[Member]] = {}
        for source in entries_by_source.values():
            for port, member in source.items():
                by_port.setdefault(port, []).append(member)
        ports = [m.address[1] for m in w.listed.values()]
        assert len(ports) == len(set(ports)), "two engines at one address"
        for member in w.listed.values():
            port_entries = by_port.get(member.address[1])
            assert port_entries, "an engine that no source names"
            if member.state is LIVE:
                assert all(m.state is LIVE for m in port_entries)
        held = {e.address[1] for e in w.membership.engines.values() if e.flap_damper.is_held(w.now)}
        for port, port_entries in by_port.items():
            if all(m.state is LIVE for m in port_entries) and port not in held:
                assert port in {m.address[1] for m in w.listed.values() if m.state is LIVE}
        assert set(w.membership.engines) == {("10.0.0.1", port) for port in by_port}
        assert all(w.membership.address_by_id[e.id] == e.address for e in w.membership.engines.values())
        assert len(w.membership.address_by_id) <= len(w.membership.engines) + len(w.membership.retired)
