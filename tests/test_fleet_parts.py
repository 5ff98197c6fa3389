"""The fleet's components in real processes behind a relay, with and without a sidecar, and their
configuration."""

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
from aspenrill.fleet.components import FrontEndNames, build
from aspenrill.fleet.config import read
from aspenrill.fleet.kept.front import AnswerCache
from aspenrill.fleet.kept.policy import Policy, Rule
from aspenrill.fleet.kept.store import AnswerStore
from aspenrill.fleet.request_feed import RequestFeed
from aspenrill.net.hub import Hub
from aspenrill.reader import Reader
from standins.clients import TdsClient
from standins.fleet import Fleet, Process
from standins.scenario import run_scenario
from standins.world import TdsEngine

LEASE = 1.0
COMPONENTS = {
    "overload": {"enabled": True, "lease_s": 1.0, "loan_s": 0.5, "beat_s": 0.25, "margin_s": 0.1},
    "authority": {"enabled": True, "lease_s": 1.0, "renew_s": 0.2},
    "kept": {"enabled": True},
    "groups": {"enabled": True, "schedule": {"bytes": 1e9}},
}
ELECTED = re.compile(r"^authority coordinates (\d+)$", re.M)
SHARE_LINE = re.compile(r"^part ([\d.]+) of the whole$", re.M)
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
        **COMPONENTS,
    )


def coordinators(fleet: Fleet) -> dict[str, int]:
    """The coordinators and their epochs, according to their logs."""
    found = {}
    for process in fleet:
        text = process.log_text()
        epochs = ELECTED.findall(text)
        if process.popen and epochs and text.rfind("authority coordinates") > text.rfind("authority rests"):
            found[process.label] = int(epochs[-1])
    return found


def settled(fleet: Fleet) -> str:
    """Wait until one process coordinates and has settled and all voters vote; return its name. A voter
    without a stored record cannot replace one that is lost."""

    def one() -> bool:
        now = coordinators(fleet)
        return len(now) == 1 and any(f"authority settled {now[p]}" in fleet[p].log_text() for p in now)

    fleet.until(one, "one process coordinates and has settled")
    fleet.until(
        lambda: all("a voter from now on" in fleet[name].log_text() for name in "abc"), "all voters vote"
    )
    return next(iter(coordinators(fleet)))


def order(fleet: Fleet, at: Process, name: str) -> None:
    (fleet.folder / f"{at.label}.purges" / f"{name}.toml").write_text('what = "group"\ngroup = 17\n')
    at.reload()


def complete(fleet: Fleet, at: Process, count: int = 1) -> float:
    return fleet.until(
        lambda: len(re.findall(rf"^purge {at.label}/\S+ complete$", at.log_text(), re.M)) >= count,
        "the purge is complete",
    )


def serves(fleet: Fleet, label: str) -> bool:
    """Whether it serves cached answers, according to its state file."""
    return (fleet.folder / f"{label}.json").exists() and state(fleet, label)["serves_kept"]


def state(fleet: Fleet, label: str) -> dict:
    """Its state file."""
    return json.loads((fleet.folder / f"{label}.json").read_text())


def test_another_process_coordinates_after_a_kill_and_purges_continue(fleet):
    first = settled(fleet)
    epoch = coordinators(fleet)[first]
    order(fleet, fleet["e"], "one")
    complete(fleet, fleet["e"])
    fleet.until(lambda: (fleet.folder / "e.purges" / "one.toml.done").exists(), "the purge file is renamed")
    fleet[first].kill()
    fleet.until(lambda: len(coordinators(fleet)) == 1, "another process coordinates")
    ((second, later),) = coordinators(fleet).items()
    assert second in set("abc") - {first} and later > epoch
    order(fleet, fleet["e"], "two")
    complete(fleet, fleet["e"], 2)
    assert "error" not in fleet["e"].log_text() + fleet[second].log_text()


def test_a_purge_completes_with_a_killed_relay_and_a_process_paused_beyond_its_lease(fleet):
    root = settled(fleet)
    fleet.until(lambda: all(serves(fleet, label) for label in PLACES), "all have leases")
    paused, relay = "f", next(label for label in "bc" if label != root)
    fleet[paused].pause()
    fleet[relay].kill()  # it may relay for its site, its building, or both
    order(fleet, fleet["e"], "one")
    complete(fleet, fleet["e"])
    fleet[paused].resume()
    serial = state(fleet, "e")["serial"]
    fleet.until(
        lambda: state(fleet, paused)["serial"] >= serial and serves(fleet, paused),
        "the paused process knows the purge",
    )
    order(fleet, fleet[paused], "two")
    complete(fleet, fleet[paused])
    found = state(fleet, "e")
    assert not found["open"] and found["complete"][0]["state"] == "complete"


def test_capacity_shares_never_exceed_the_total_after_a_third_is_killed(fleet):
    each = 1 / len(PLACES)
    fleet.until(lambda: all(share(fleet[label]) > 0.99 * each for label in PLACES), "all have an equal share")
    assert total(fleet) <= 1.0001
    before = share(fleet["a"])
    for label in "ef":
        fleet[label].kill()
    fleet.until(
        lambda: all(
            share(fleet[label]) > 1.1 * before or share(fleet[label]) > 1.05 * each for label in "abcd"
        ),
        "the others have larger shares",
    )
    assert total(fleet) + 2 * 0.5 * each <= 1.0001  # the dead keep their floor shares
    fleet.start("e", "f")
    fleet.until(
        lambda: all(share(fleet[label]) > 0.99 * each for label in "ef"), "they have their shares again"
    )
    assert total(fleet) <= 1.0001


def share(process: Process) -> float:
    shares = SHARE_LINE.findall(process.log_text())
    return float(shares[-1]) if shares else 0.0


def total(fleet: Fleet) -> float:
    return sum(share(process) for process in fleet if process.popen)


def test_a_full_disk_ends_leadership_and_a_damaged_file_is_rejected(fleet):
    first = settled(fleet)
    # the limit does not stop the process's log file, which is far smaller
    full = (fleet[first].folder / "state" / "fleet.sqlite3-wal").stat().st_size
    resource.prlimit(fleet[first].pid, resource.RLIMIT_FSIZE, (full, full))
    order(fleet, fleet["e"], "one")  # the coordinator cannot write its record
    fleet.until(
        lambda: "fleet-disk" in fleet[first].log_text() and "authority rests" in fleet[first].log_text(),
        "it no longer coordinates",
    )
    complete(fleet, fleet["e"])
    assert coordinators(fleet).keys() < set("abc") - {first} and fleet[first].popen.poll() is None
    assert fleet["d"].terminate() == 0
    file = fleet["d"].folder / "state" / "fleet.sqlite3"
    file.write_bytes(b"\x55" * file.stat().st_size)
    fleet["d"].start()
    assert fleet["d"].wait_exit() == 2
    assert fleet["d"].log_text().startswith(f"aspenrill: fleet-state: {file}")


def test_a_sidecar_serves_cached_answers_until_a_purge_or_a_load(tmp_path):
    hub = Hub(print)
    engine = TdsEngine(hub, "engine-1")
    text = "select * from sales_17.orders"

    def scenario() -> None:
        with Fleet(tmp_path, 1, hub.sleep) as fleet:
            for label in "abc":
                add(fleet, label, "s/b/h")
            on = {
                **COMPONENTS,
                "kept": {"enabled": True, "class": [{"name": "lookup", "seconds": 600}]},
                "purges": {"enabled": True, "lease_s": LEASE, "state": str(tmp_path / "app.json")},
            }
            process = fleet.sidecar(
                "app", [engine.listener.address], front_ends=6, voters=["a", "b", "c"], **on
            )
            fleet.start()
            fleet.until(lambda: serves(fleet, "app"), "it may serve cached answers")
            lookup = TdsClient(SimpleNamespace(hub=hub, address=process.front), "lookup", 5.0)
            load = TdsClient(SimpleNamespace(hub=hub, address=process.front), "scanner", 25.0)

            def reached(statement: str, client: TdsClient = lookup) -> bool:
                before = len(engine.began)
                fleet.until(lambda: served(statement, client), "the request is served")
                return len(engine.began) > before

            def served(statement: str, client: TdsClient) -> bool:
                kind = client.request(statement).kind  # refused while the sidecar has no core: sent again
                assert kind in ("served", "refused")
                return kind == "served"

            def cached() -> bool:
                reached(text)
                return not reached(text)

            fleet.until(cached, "an answer is cached")
            order(fleet, fleet["b"], "one")
            complete(fleet, fleet["b"])
            assert reached(text), "an answer from before the purge was served"
            fleet.until(cached, "it is cached again")
            assert reached("/* key: k1 */ insert into sales_18.orders values (1)", load) and not reached(text)
            assert reached("/* key: k2 */ insert into sales_17.orders values (1)", load)
            assert reached(text), "the load did not purge the answer"
            lookup.close()
            load.close()
            assert not any("error" in p.log_text() or "Traceback" in p.log_text() for p in fleet)

    run_scenario(hub, scenario)


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
def test_configuration_faults_name_the_field(tables, fault):
    with pytest.raises(FleetConfigTrouble, match=f"^{re.escape(fault)}"):
        build(read(Reader({**BASE, **tables}, "fleet.", [])), FrontEndNames(), None)


def test_only_enabled_components_are_built_authority_first():
    assert build(read(Reader(BASE, "", [])), FrontEndNames(), None).all() == ()
    on = {**COMPONENTS, "purges": {"enabled": True, "lease_s": 20.0}}
    parts = build(read(Reader({**BASE, **on}, "", [])), FrontEndNames(), None)
    assert [p.name for p in parts.all()] == ["authority", "purges", "groups", "overload"]
    assert parts.authority.rules.max_grant == 20.0 and parts.purges.caching


# ---- the owner and its request feed ----------------------------------------------------------------------


@pytest.fixture
def front() -> Front:
    found = Front()
    store = AnswerStore()
    store.lease_end = 100.0
    found.owner.answer_cache = AnswerCache(
        store, Policy({0: Rule("lookup", 60.0)}, frozenset({1})), lambda news: None
    )
    return found


def test_requests_join_one_fetch_and_share_its_answer_or_continue(front):
    for ident in "abc":
        front.ask(ident)
    assert len(front.engines.started) == 1
    front.owner.take(books.WaitExpired(front.owner.open["b"]))  # continues on its own
    assert len(front.engines.started) == 2
    front.end(0)
    assert [ident for ident, _ in front.answers] == ["a", "c"] and "b" in front.owner.open
    front.ask("d")  # served from the cache
    assert front.answers[-1][0] == "d" and len(front.engines.started) == 2
    front.ask("l", b"insert into sales_17.t values (1)", 1)
    front.ask("e")  # purged when the load was sent
    front.ask("f")
    assert len(front.engines.started) == 4 and len(front.answers) == 3
    front.owner.take(books.ClientLeft(front.owner.open["e"]))  # the request that was fetching
    assert len(front.engines.started) == 5 and front.engines.started[-1].client_request.id == "f"
    front.end(1)
    front.end(4)
    assert {ident for ident, _ in front.answers} == set("abcdf")


def test_the_feed_passes_on_demand_engines_and_loads(front):
    bridge = SimpleNamespace(calls=[])
    for name in ("on_request", "on_refused", "set_load", "set_engines", "on_ejected", "on_probed"):
        setattr(bridge, name, lambda *args, name=name: bridge.calls.append((name, *args)))
    counted = []
    groups = SimpleNamespace(
        count=lambda *args: counted.append(args), update_owner=lambda now, facts: counted.append(facts)
    )
    feed = front.owner.fleet_feed = RequestFeed(front.owner, SimpleNamespace(groups=groups), bridge)
    front.ask("a")
    front.ask("l", b"insert into sales_17.t values (1)", 1)
    front.end(1)
    assert counted == [(17, 1, 33, 250)]
    feed.flush(5.0)
    names = [call[0] for call in bridge.calls]
    assert names == ["on_request", "on_request", "set_load", "set_engines"]
    assert bridge.calls[0][:4] == ("on_request", 5.0, 0, 0) and bridge.calls[0][5] == 2.0
    assert bridge.calls[2][1] == 1 and bridge.calls[3][1:] == (
        [("x", pytest.approx(13.6)), ("y", pytest.approx(13.6))],
        [],
    )
    assert counted[1].engines == ("x", "y") and not counted[1].storm
    engine = front.owner.gateway.fleet.engines["x"]
    front.owner.gateway.ejected, engine.ejected_until = [engine], 1e12
    front.owner.take(books.ProbeFinished(front.owner.peers["x"], api.Outcome.TIMEOUT, 0.1))
    bridge.calls.clear()
    feed.flush(5.5)
    probe_calls = [call for call in bridge.calls if call[0] in ("on_ejected", "on_probed")]
    assert probe_calls == [("on_ejected", 5.5, "x"), ("on_probed", 5.5, "x", False)] and counted[2].outage
    engine.ejected_until = 0.0
    bridge.calls.clear()
    feed.flush(6.0)
    assert ("on_probed", 6.0, "x", True) in bridge.calls and not counted[3].outage
