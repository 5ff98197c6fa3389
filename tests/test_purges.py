"""Purges: records on disk, messages, leases, the tree, operators' files."""

from __future__ import annotations

import json
import os
import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from aspenrill.errors import DiskTrouble, PurgeFileTrouble
from aspenrill.fleet.interface import MAX_BODY, Agreed, LogLine, Member, Notify, Place, Post, State
from aspenrill.fleet.interface import Store as Saves
from aspenrill.fleet.kept.store import Store
from aspenrill.fleet.purges import wire
from aspenrill.fleet.purges.folder import Folder, write_state
from aspenrill.fleet.purges.leases import LeaseNode, longest
from aspenrill.fleet.purges.orders import parse
from aspenrill.fleet.purges.origin import Accepted, Complete, Origin
from aspenrill.fleet.purges.part import Purges
from aspenrill.fleet.purges.report import line
from aspenrill.fleet.purges.root import Coordinator
from aspenrill.fleet.purges.tree import Tree
from standins.purging import build, purge

LEVEL = st.integers(0, 3)
FEW = st.integers(0, 9)


class Alone:
    """View and authority of a single process, which coordinates."""

    name, incarnation, place = "a", 5, Place("s", "b")

    def members(self):
        return {"a": Member("a", 5, "", 1, self.place)}

    def entries(self, topic):
        return []

    def coordinating(self, now):
        return 1

    settled = coordinating

    def propose(self, now, kind, key, body):
        self.proposed = kind, key, body
        return []


def alone(stored=()) -> tuple[Purges, Alone, list]:
    view = Alone()
    part = Purges(random.Random(1), Store(), view)
    return part, view, part.on_start(0.0, view, dict(stored))


def test_purge_is_stored_first_and_removed_when_complete():
    part, view, _ = alone()
    effects = part.purge(1.0, "g17", "operator", "tag")
    assert isinstance(effects[0], Saves) and Notify(Accepted("tag")) in effects
    assert part.purge(1.1, "g17", "operator", "tag") == [Notify(Accepted("tag"))]  # once
    assert part.report(2.0)["open"][0]["state"] == "acknowledged, not complete"
    effects = part.on_agreed(2.0, Agreed(9, 1, *view.proposed))
    assert Notify(Complete("a", 5, 1, "g17", "tag")) in effects and Saves("purge/5/1", None) in effects
    found = part.report(3.0)
    assert found["complete"][0]["complete_s"] == 1.0 and line(found) == "purges: none open, 1 complete"


def test_restart_resumes_purges_and_purges_scopes_of_open_loads():
    saved = wire.encode(wire.Saved(3, 7, "g1", "operator", "t"))
    part, _, effects = alone({"purge/3/7": saved, "load/g9": b"1", "purge/3/8": saved[:5]})
    scopes = [purge.item for purge in part.origin.out.values()]
    assert scopes == [(3, 7, "g1"), (5, 1, "g9"), (5, 2, "all")]
    assert any(isinstance(e, LogLine) and "purge/3/8 is damaged" in e.text for e in effects)
    assert Saves("load/g9", None) in effects


def test_full_disk_stops_no_purge_and_store_is_retried():
    part, _, _ = alone()
    part.purge(1.0, "g1", "operator", "t")
    assert "fleet-disk" in part.on_disk(1.0, "purge/5/1")[0].text
    assert part.report(1.0)["open"][0]["on_disk"] is False
    effects = part.on_tick(20.0)
    assert any(isinstance(e, Saves) and e.key == "purge/5/1" for e in effects)
    assert Notify(Accepted("t")) in effects


def test_too_many_open_purges_are_replaced_by_one_of_everything():
    origin = Origin("a", 1)
    for at in range(100):
        origin.accept(0.0, f"g{at}", "load")
        assert len(wire.encode(wire.Spread(2, "a", origin.items))) <= MAX_BODY
    assert any(purge.item[2] == "all" for purge in origin.out.values()) and len(origin.out) < 40


def test_consecutive_serials_purge_their_scope_and_gaps_purge_everything():
    part, _, _ = alone()
    record = Agreed(1, 1, "purge", "g1", wire.encode(wire.Record(1)))
    part.on_agreed(0.0, record)
    assert part.store.versions == {"all": 1} or part.seen == 1
    before = dict(part.store.versions)
    part.on_agreed(0.0, Agreed(2, 1, "purge", "g2", wire.encode(wire.Record(2))))
    assert part.store.versions == {**before, "g2": 1}
    part.on_agreed(0.0, Agreed(5, 1, "purge", "g3", wire.encode(wire.Record(4))))
    assert part.store.versions["all"] == before.get("all", 0) + 1 and part.seen == 4
    part.on_agreed(0.0, record)  # again
    assert part.seen == 4


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.binary(max_size=80)
    | st.lists(
        st.none()
        | st.integers(-9, 1 << 60)
        | st.text(max_size=9)
        | st.lists(st.integers(0, 9), max_size=3)
        | st.sampled_from(["a", "g", "s", "h", "w", "t", "g1", "all"]),
        max_size=9,
    ).map(wire.encode)
)
def test_malformed_messages_raise_nothing(body):
    part, _, _ = alone()
    part.on_message(1.0, "z", 1, body)
    part.on_agreed(1.0, Agreed(1, 1, "purge", "g1", body))
    if wire.decode(body) is None and wire.record(body) is None:
        assert not part.store.versions and part.seen == 0 and not part.flows.relay.flows


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.builds(wire.LeaseRequest, LEVEL, *[FEW] * 5, st.just([]), st.booleans())
    | st.builds(wire.Grant, LEVEL, FEW, st.floats(0, 9), FEW, st.just(["g1"]))
    | st.builds(wire.Spread, LEVEL, st.just("z"), st.just([(1, 2, "g3"), (1, 1, "all")]))
    | st.builds(wire.SpreadAck, LEVEL, st.just("a"), st.just((9, 9)), FEW, FEW, st.just([]))
)
def test_messages_of_unknown_senders_raise_nothing_and_give_no_lease(message):
    part, _, _ = alone()
    part.on_message(1.0, "stranger", 1, wire.encode(message))
    assert not part.store.serves(1.0)


def test_relays_are_live_consistent_and_have_successors():
    members = {n: Member(n, 1, "", 1, Place("s", f"b{at % 2}")) for at, n in enumerate("abcdefgh")}
    trees = [Tree(lambda: members), Tree(lambda: dict(reversed(members.items())))]
    for building in (None, "b0", "b1"):
        assert trees[0].relay("s", building) == trees[1].relay("s", building)
    first = trees[0].relay("s")
    assert trees[0].relay("s", None, 2) != first and trees[0].relay("t") is None
    for state in (State.SUSPECT, State.DEAD):
        members[first] = Member(first, 1, "", 1, members[first].place, state)
        trees[0].invalidate()
        assert trees[0].relay("s") != first


def test_duplicate_serial_resets_and_unagreed_records_are_proposed_again():
    coordinator = Coordinator()
    coordinator.set_epoch(1, 6)
    coordinator.on_request("a", [(1, 1, "g2")])
    assert coordinator.proposals(0.0) == [("g2", 7)]
    coordinator.on_agreed("g1", 7)  # of an earlier coordinator: serial 7 is g1 at all processes now
    assert coordinator.on_agreed("g2", 7) == {} and coordinator.on_cleared(7) == {}
    coordinator.on_request("a", [(1, 1, "g2")])
    assert coordinator.proposals(1.0) == [("g2", 8)] and coordinator.proposals(2.0) == []
    assert coordinator.proposals(5.0) == [("g2", 9)]
    coordinator.on_agreed("g2", 9)
    assert coordinator.on_cleared(8) == {} and coordinator.on_cleared(9)["a"].items == [(1, 1, 9, True)]


# ---- leases of one node, against all that its holders may do --------------------------------------------


class Leases(RuleBasedStateMachine):
    """A node with a lease of its own, and holders whose clocks differ by the allowed drift."""

    node_class = LeaseNode

    def __init__(self) -> None:
        super().__init__()
        self.now, self.seen = 0.0, 0
        self.node = self.node_class(1)
        self.holders = [(LeaseNode(0), rate) for rate in (0.995, 1.0, 1.005)]
        self.has = [0, 0, 0]  # the serial that each holder has applied
        self.grants: list[tuple[int, int, float, int]] = []  # in transit

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def time(self, seconds):
        self.now += seconds

    @rule()
    def renewed(self):
        self.node.lease_end = self.now + 5.0

    @rule(who=st.integers(0, 2))
    def asks(self, who):
        node, rate = self.holders[who]
        seq = node.start_request(self.now * rate, "above")
        seconds = self.node.grant(self.now, (f"{who}", 1), self.seen)
        if seconds:
            self.grants.append((who, seq, seconds, self.seen))

    @precondition(lambda self: self.grants)
    @rule(data=st.data())
    def comes(self, data):
        who, seq, seconds, serial = self.grants.pop(data.draw(st.integers(0, len(self.grants) - 1)))
        self.has[who] = max(self.has[who], serial)
        node, rate = self.holders[who]
        node.on_grant(self.now * rate, "above", seq, seconds)

    @rule()
    def purged(self):
        self.seen += 1
        self.node.mark_all_lagging()

    @rule(who=st.integers(0, 2))
    def applied(self, who):
        self.has[who] = self.seen
        self.node.on_acknowledged((f"{who}", 1), self.seen, self.seen, 1, 0, [])

    @invariant()
    def clear_means_clear(self):
        cleared = self.node.update_clear(self.now, self.seen)
        for (node, rate), has in zip(self.holders, self.has, strict=True):
            assert self.now * rate >= node.lease_end or has >= cleared, "served after it was called clear"


def run_machine(machine) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=80,
            stateful_step_count=30,
            database=None,
            phases=(Phase.generate,),
        ),
    )  # without shrinking


def test_node_is_clear_only_if_all_below_are():
    run_machine(Leases)


def test_node_that_forgets_early_leases_is_detected():
    class Forgetful(LeaseNode):
        def grant(self, now, who, serial, root_lease=None):
            seconds = super().grant(now, who, serial, root_lease)
            self.holders[who].grants.clear() if seconds else None
            self.holders[who].grants.append((self.lease_end, serial)) if seconds else None
            return seconds

    with pytest.raises(AssertionError, match="served after"):
        run_machine(type("M", (Leases,), {"node_class": Forgetful}))


def test_coordinator_records_a_lease_past_any_drift():
    node = LeaseNode(3)
    assert node.grant(0.0, ("a", 1), 0, root_lease=6.0) == 6.0
    node.mark_all_lagging()
    assert node.update_clear(longest(6.0) - 0.01, 1) == 0 and longest(6.0) > 6.06
    assert node.update_clear(longest(6.0), 1) == 1


# ---- faults at each step, one at a time ------------------------------------------------------------------


@pytest.mark.parametrize("who", ["relay", "origin", "coordinator"])
@pytest.mark.parametrize("steps", range(4))
def test_kill_at_any_step_loses_no_purge(who, steps):
    world, truth = build(steps, 7, sites=2, buildings=1, rate=0.5, loads=0.0)
    world.run(8.0)
    root = next(p.name for p in world.running if p.part("authority").settled(0.0))
    origin = next(n for n in world.names if n != root)
    relay = world.procs[root].part("purges").tree.relay("s1")
    victim = {"relay": relay, "origin": origin, "coordinator": root}[who]
    world.fail_after(
        victim, steps if who != "origin" else steps + 1, "crash"
    )  # its first effect stores the record
    purge(world, origin, "g1")
    world.run(1.0)
    purge_id = next(iter(truth.floors))
    world.start(victim)
    assert world.until(lambda: purge_id in truth.complete, 25.0)


def test_without_a_majority_a_purge_is_acknowledged_and_not_complete():
    world, truth = build(3, 5, sites=1, buildings=1, loads=0.0)
    world.run(8.0)
    world.net.partition(world.names[:2])
    world.run(8.0)
    purge(world, "m0000", "all")
    world.run(8.0)
    part = world.procs["m0000"].part("purges")
    found = part.report(world.procs["m0000"].clock())
    assert found["open"][0]["state"] == "acknowledged, not complete" and not found["serves_kept"]
    world.net.heal()
    assert world.until(lambda: not part.origin.out, 15.0)


# ---- operators' files -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text, wrong",
    [
        ('what = "group"', "group: missing"),
        ('what = "class"\nclass = "no"', "class: one of lookup"),
        ('what = "each"', "what: one of"),
        ('what = "all"\ngroup = 1', "group: no such field"),
        ("what", "Expected"),
        ('what = "group"\ngroup = -1', "group: must be"),
        ('what = "group"\ngroup = "1"', "group: the number"),
    ],
)
def test_bad_file_is_reported_by_field(text, wrong):
    with pytest.raises(PurgeFileTrouble, match=wrong):
        parse("f.toml", text.encode(), ("lookup",))


def test_files_are_processed_once_also_after_a_crash_before_renaming(tmp_path):
    lines: list[str] = []
    (tmp_path / "a.toml").write_text('what = "group"\ngroup = 1041\nwhy = "prices"')
    (tmp_path / "b.toml").write_text('what = "nothing"')
    folder = Folder(str(tmp_path), lines.append)
    (order,) = folder.read(("lookup",))
    assert order.scope == "g17" and order.why == "operator: prices"
    assert len(lines) == 1 and "b.toml" in lines[0]
    assert Folder(str(tmp_path), lines.append).read(("lookup",)) == [order]  # not renamed: the same tag
    folder.accepted(order.tag)
    assert sorted(os.listdir(tmp_path)) == ["a.toml.done", "b.toml"] and folder.read(("lookup",)) == []
    assert Folder(str(tmp_path / "none"), lines.append).read(()) == [] and "fleet-purge-file" in lines[-1]


def test_state_file_is_written_atomically(tmp_path):
    path = tmp_path / "state.json"
    write_state(str(path), {"a": 1})
    with pytest.raises(TypeError):
        write_state(str(path), {"a": object()})
    assert json.loads(path.read_text()) == {"a": 1}
    with pytest.raises(DiskTrouble):
        write_state(str(tmp_path / "no" / "state.json"), {})


def test_messages_of_large_fleets_fit_a_datagram():
    # the world checks the size of each message
    world, _ = build(1, 40, sites=1, buildings=1, loads=0.0, rate=0.1)
    world.run(6.0)
    for at in range(30):
        purge(world, "m0003", f"g{at}")
    world.run(0.3)
    assert any(isinstance(e, Post) for e in world.procs["m0003"].part("purges").on_tick(1e9))
