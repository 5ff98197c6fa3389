"""The parts in real processes: bare ones behind a relay, and one whole sidecar. Waits are for conditions."""

from __future__ import annotations

import json
import re
import resource
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest
from silentfront import Front

from aspenrill import api
from aspenrill.core import books
from aspenrill.errors import FleetConfigTrouble
from aspenrill.fleet.config import read
from aspenrill.fleet.feed import Feed
from aspenrill.fleet.kept.front import Kept
from aspenrill.fleet.kept.policy import Policy, Rule
from aspenrill.fleet.kept.store import Store
from aspenrill.fleet.parts import Names, build
from aspenrill.net.hub import Hub
from aspenrill.reader import Reader
from standins.clients import TdsClient
from standins.fleet import Fleet, Process
from standins.scene import play
from standins.world import TdsEngine

LEASE = 1.0
PARTS = {
    "overload": {"enabled": True, "lease_s": 1.0, "loan_s": 0.5, "beat_s": 0.25, "margin_s": 0.1},
    "authority": {"enabled": True, "lease_s": 1.0, "renew_s": 0.2},
    "kept": {"enabled": True},
    "groups": {"enabled": True, "schedule": {"bytes": 1e9}},
}
ELECTED = re.compile(r"^authority coordinates (\d+)$", re.M)
PART = re.compile(r"^part ([\d.]+) of the whole$", re.M)
PLACES = {"a": "s1/b1/h", "b": "s2/b1/h", "c": "s2/b2/h", "d": "s1/b2/h", "e": "s1/b1/h", "f": "s2/b1/h"}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path, 1) as found:
        for label, place in PLACES.items():
            add(found, label, place)
        found.start()
        yield found


def add(fleet: Fleet, label: str, place: str) -> None:
    folder = fleet.folder / f"{label}.purges"
    folder.mkdir()
    fleet.add(
        label,
        place=place,
        voters=["a", "b", "c"],
        front_ends=len(PLACES),
        alone=0.5,
        purges={
            "enabled": True,
            "lease_s": LEASE,
            "folder": str(folder),
            "state": str(fleet.folder / f"{label}.json"),
        },
        **PARTS,
    )


def coordinators(fleet: Fleet) -> dict[str, int]:
    """Who coordinates by what they have logged, and in which epoch."""
    found = {}
    for process in fleet:
        text = process.text()
        epochs = ELECTED.findall(text)
        if process.running and epochs and text.rfind("authority coordinates") > text.rfind("authority rests"):
            found[process.label] = int(epochs[-1])
    return found


def settled(fleet: Fleet) -> str:
    """Wait until one coordinates and has settled, and all voters vote; who coordinates. A voter that has no
    record yet can't stand in for one that is lost."""

    def one() -> bool:
        now = coordinators(fleet)
        return len(now) == 1 and any(f"authority settled {now[p]}" in fleet[p].text() for p in now)

    fleet.until(one, "one coordinates, settled")
    fleet.until(lambda: all("a voter from now on" in fleet[name].text() for name in "abc"), "all voters vote")
    return next(iter(coordinators(fleet)))


def order(fleet: Fleet, at: Process, name: str) -> None:
    (fleet.folder / f"{at.label}.purges" / f"{name}.toml").write_text('what = "group"\ngroup = 17\n')
    at.hangup()


def complete(fleet: Fleet, at: Process, count: int = 1) -> float:
    return fleet.until(
        lambda: len(re.findall(rf"^purge {at.label}/\S+ complete$", at.text(), re.M)) >= count,
        "the purge is complete",
    )


def serves(fleet: Fleet, label: str) -> bool:
    """Whether it has a lease, by its state file."""
    return (fleet.folder / f"{label}.json").exists() and state(fleet, label)["serves_kept"]


def state(fleet: Fleet, label: str) -> dict:
    """Its state file."""
    return json.loads((fleet.folder / f"{label}.json").read_text())


def test_another_coordinates_after_a_kill_with_a_higher_epoch_and_purges_go_on(fleet):
    first = settled(fleet)
    epoch = coordinators(fleet)[first]
    order(fleet, fleet["e"], "one")
    complete(fleet, fleet["e"])
    fleet.until(lambda: (fleet.folder / "e.purges" / "one.toml.done").exists(), "the file is done with")
    fleet[first].kill()
    fleet.until(lambda: len(coordinators(fleet)) == 1, "another one")
    ((second, later),) = coordinators(fleet).items()
    assert second in set("abc") - {first} and later > epoch
    order(fleet, fleet["e"], "two")
    complete(fleet, fleet["e"], 2)
    assert "error" not in fleet["e"].text() + fleet[second].text()


def test_a_purge_is_complete_where_a_relay_is_killed_and_one_stands_still_beyond_its_lease(fleet):
    root = settled(fleet)
    fleet.until(lambda: all(serves(fleet, label) for label in PLACES), "all have leases")
    quiet, relay = "f", next(label for label in "bc" if label != root)
    fleet[quiet].pause()
    fleet[relay].kill()  # it may relay for its site, its building, or both
    order(fleet, fleet["e"], "one")
    complete(fleet, fleet["e"])
    fleet[quiet].go_on()
    serial = state(fleet, "e")["serial"]
    fleet.until(lambda: state(fleet, quiet)["serial"] >= serial and serves(fleet, quiet), "it knows it")
    order(fleet, fleet[quiet], "two")
    complete(fleet, fleet[quiet])
    found = state(fleet, "e")
    assert not found["open"] and found["complete"][0]["state"] == "complete"


def test_parts_sum_to_the_whole_at_most_after_a_third_is_killed(fleet):
    each = 1 / len(PLACES)
    fleet.until(lambda: all(part(fleet[label]) > 0.99 * each for label in PLACES), "all have an equal part")
    assert total(fleet) <= 1.0001
    before = part(fleet["a"])
    for label in "ef":
        fleet[label].kill()
    fleet.until(
        lambda: all(
            part(fleet[label]) > 1.1 * before or part(fleet[label]) > 1.05 * each for label in "abcd"
        ),
        "the others have more",
    )
    assert total(fleet) + 2 * 0.5 * each <= 1.0001  # floors of the dead belong to them
    fleet.start("e", "f")
    fleet.until(lambda: all(part(fleet[label]) > 0.99 * each for label in "ef"), "they are back")
    assert total(fleet) <= 1.0001


def part(process: Process) -> float:
    parts = PART.findall(process.text())
    return float(parts[-1]) if parts else 0.0


def total(fleet: Fleet) -> float:
    return sum(part(process) for process in fleet if process.running)


def test_a_full_disk_ends_a_coordinators_term_and_a_damaged_file_is_refused_whole(fleet):
    first = settled(fleet)
    full = (fleet[first].folder / "state" / "fleet.sqlite3-wal").stat().st_size  # its log is far smaller
    resource.prlimit(fleet[first].pid, resource.RLIMIT_FSIZE, (full, full))
    order(fleet, fleet["e"], "one")  # its record cannot be written there
    fleet.until(
        lambda: "fleet-disk" in fleet[first].text() and "authority rests" in fleet[first].text(),
        "it has given up its office",
    )
    complete(fleet, fleet["e"])
    assert coordinators(fleet).keys() < set("abc") - {first} and fleet[first].running.poll() is None
    assert fleet["d"].end() == 0
    file = fleet["d"].folder / "state" / "fleet.sqlite3"
    file.write_bytes(b"\x55" * file.stat().st_size)
    fleet["d"].start()
    assert fleet["d"].ended() == 2
    assert fleet["d"].text().startswith(f"aspenrill: fleet-state: {file}")


def test_a_sidecar_serves_what_it_keeps_until_a_purge_or_a_load(tmp_path):
    hub = Hub(print)
    engine = TdsEngine(hub, "engine-1")
    text = "select * from sales_17.orders"

    def scene() -> None:
        with Fleet(tmp_path, 1, hub.sleep) as fleet:
            for label in "abc":
                add(fleet, label, "s/b/h")
            on = {
                **PARTS,
                "kept": {"enabled": True, "class": [{"name": "lookup", "seconds": 600}]},
                "purges": {"enabled": True, "lease_s": LEASE, "state": str(tmp_path / "app.json")},
            }
            process = fleet.sidecar(
                "app", [engine.listener.address], front_ends=6, voters=["a", "b", "c"], **on
            )
            fleet.start()
            fleet.until(lambda: serves(fleet, "app"), "it may serve what it keeps")
            lookup = TdsClient(SimpleNamespace(hub=hub, address=process.front), "lookup", 5.0)
            load = TdsClient(SimpleNamespace(hub=hub, address=process.front), "scanner", 25.0)

            def reached(statement: str, client: TdsClient = lookup) -> bool:
                before = len(engine.began)
                fleet.until(lambda: served(statement, client), "it is served")
                return len(engine.began) > before

            def served(statement: str, client: TdsClient) -> bool:
                kind = client.ask(statement).kind  # where the machine stood still it is refused: asked again
                assert kind in ("served", "refused")
                return kind == "served"

            def kept() -> bool:
                reached(text)
                return not reached(text)

            fleet.until(kept, "an answer is kept")
            order(fleet, fleet["b"], "one")
            complete(fleet, fleet["b"])
            assert reached(text), "not served from before the purge"
            fleet.until(kept, "it is kept anew")
            assert reached("/* key: k1 */ insert into sales_18.orders values (1)", load) and not reached(text)
            assert reached("/* key: k2 */ insert into sales_17.orders values (1)", load)
            assert reached(text), "a load has purged it"
            lookup.close()
            load.close()
            assert not any("error" in p.text() or "Traceback" in p.text() for p in fleet)

    play(hub, scene)


# ---- the configuration --------------------------------------------------------------------------------

BASE = {"name": "a", "key_file": "k", "state": "s", "voters": ["a", "b", "c"]}


@pytest.mark.parametrize(
    "tables, fault",
    [
        ({"overload": {"enabled": True, "leese_s": 3}}, "fleet.overload.leese_s: no such field"),
        ({"overload": {"enabled": True, "beat_s": 2}}, "fleet.overload.beat_s: a third of lease_s"),
        ({"overload": {"enabled": True}, "voters": []}, "fleet.overload.enabled: voters"),
        ({"authority": {"enabled": True}, "voters": []}, "fleet.authority.enabled: voters"),
        ({"authority": {"enabled": True, "renew_s": 2}}, "fleet.authority.renew_s: a third"),
        ({"authority": {"longest_s": 1}}, "fleet.authority.longest_s: at least lease_s of purges"),
        ({"purges": {"enabled": True}}, "fleet.purges.enabled: authority must be enabled"),
        ({"kept": {"enabled": True}}, "fleet.kept.enabled: purges must be enabled"),
        ({"groups": {"enabled": True, "schedule": {"bytes": 1}}}, "fleet.groups.enabled: authority must"),
        (
            {"authority": {"enabled": True}, "groups": {"enabled": True}},
            "fleet.groups.schedule.bytes: missing",
        ),
        ({"groups": {"sizes": {"x": 1}}}, "fleet.groups.sizes.x: the number"),
        ({"groups": {"splits": {"wurm_s": 1}}}, "fleet.groups.splits.wurm_s: no such field"),
    ],
)
def test_each_fault_is_named_by_its_field(tables, fault):
    with pytest.raises(FleetConfigTrouble, match=f"^{re.escape(fault)}"):
        build(read(Reader({**BASE, **tables}, "fleet.", [])), Names(), None)


def test_only_what_is_on_is_made_and_the_authority_comes_first():
    assert build(read(Reader(BASE, "", [])), Names(), None).all() == ()
    on = {**PARTS, "purges": {"enabled": True, "lease_s": 20.0}}
    parts = build(read(Reader({**BASE, **on}, "", [])), Names(), None)
    assert [p.name for p in parts.all()] == ["authority", "purges", "groups", "overload"]
    assert parts.authority.rules.longest == 20.0 and parts.purges.keeps


# ---- a front end's owner and its feed -----------------------------------------------------------------


@pytest.fixture
def front() -> Front:
    found = Front()
    store = Store()
    store.lease_end = 100.0
    found.owner.kept = Kept(store, Policy({0: Rule("lookup", 60.0)}, frozenset({1})), lambda news: None)
    return found


def test_requests_join_one_fetch_and_are_served_with_it_or_go_on(front):
    for ident in "abc":
        front.ask(ident)
    assert len(front.engines.started) == 1
    front.owner.take(books.Tired(front.owner.open["b"]))  # goes on by itself
    assert len(front.engines.started) == 2
    front.end(0)
    assert [ident for ident, _ in front.answers] == ["a", "c"] and "b" in front.owner.open
    front.ask("d")  # kept
    assert front.answers[-1][0] == "d" and len(front.engines.started) == 2
    front.ask("l", b"insert into sales_17.t values (1)", 1)
    front.ask("e")  # purged as the load was sent
    front.ask("f")
    assert len(front.engines.started) == 4 and len(front.answers) == 3
    front.owner.take(books.Left(front.owner.open["e"]))  # whose fetch it was
    assert len(front.engines.started) == 5 and front.engines.started[-1].call.id == "f"
    front.end(1)
    front.end(4)
    assert {ident for ident, _ in front.answers} == set("abcdf")


def test_the_feed_tells_demand_engines_and_loads(front):
    bridge = SimpleNamespace(calls=[])
    for name in ("asked", "on_refused", "set_load", "engines", "on_ejected", "on_probed"):
        setattr(bridge, name, lambda *told, name=name: bridge.calls.append((name, *told)))
    counted = []
    groups = SimpleNamespace(
        count=lambda *told: counted.append(told), tell=lambda now, facts: counted.append(facts)
    )
    feed = front.owner.fleet = Feed(front.owner, SimpleNamespace(groups=groups), bridge)
    front.ask("a")
    front.ask("l", b"insert into sales_17.t values (1)", 1)
    front.end(1)
    assert counted == [(17, 1, 33, 250)]
    feed.turn(5.0)
    names = [call[0] for call in bridge.calls]
    assert names == ["asked", "asked", "set_load", "engines"]
    assert bridge.calls[0][:4] == ("asked", 5.0, 0, 0) and bridge.calls[0][5] == 2.0
    assert bridge.calls[2][1] == 1 and bridge.calls[3][1:] == (
        [("x", pytest.approx(13.6)), ("y", pytest.approx(13.6))],
        [],
    )
    assert counted[1].engines == ("x", "y") and not counted[1].storm
    engine = front.owner.gateway.fleet.engines["x"]
    front.owner.gateway.ejected, engine.ejected_until = [engine], 1e12
    front.owner.take(books.Probed(front.owner.peers["x"], api.Outcome.TIMEOUT, 0.1))
    bridge.calls.clear()
    feed.turn(5.5)
    told = [call for call in bridge.calls if call[0] in ("on_ejected", "on_probed")]
    assert told == [("on_ejected", 5.5, "x"), ("on_probed", 5.5, "x", False)] and counted[2].outage
    engine.ejected_until = 0.0
    bridge.calls.clear()
    feed.turn(6.0)
    assert ("on_probed", 6.0, "x", True) in bridge.calls and not counted[3].outage
