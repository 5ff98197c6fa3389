"""Five to nine real processes of a fleet behind a relay, and what goes wrong between and with them."""

from __future__ import annotations

import secrets
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest

from aspenrill.net.connecting import Refused
from aspenrill.net.hub import Hub
from standins.clients import TdsClient
from standins.fleet import Fleet
from standins.scene import play
from standins.world import TdsEngine


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path, 1) as found:
        yield found


def grow(fleet: Fleet, labels: str, **config: object) -> None:
    """So many processes that all know each other."""
    for label in labels:
        fleet.add(label, **config)
    fleet.start(*labels)
    fleet.until(lambda: fleet.all_have(labels, "ALIVE"), "all know each other")


def found_dead(fleet: Fleet, at: str) -> set[str]:
    """Whom these processes have ever taken for dead, in any of their lives."""
    return {
        name
        for label in at
        for life in range(len(fleet[label].lives))
        for name, _, state in fleet[label].said(life)
        if state == "DEAD"
    }


def settle(fleet: Fleet, datagrams: int = 50) -> None:
    """Until so many more datagrams have gone through the relay: enough for probes and news to come of it."""
    enough = fleet.relay.counts()["datagrams"] + datagrams
    fleet.until(lambda: fleet.relay.counts()["datagrams"] > enough, "datagrams go on")


def test_a_third_is_killed_at_once_and_comes_back(fleet):
    grow(fleet, "abcdefghi")
    before = {label: fleet[label].incarnation for label in "adg"}
    for label in "adg":
        fleet[label].kill()
    fleet.until(lambda: fleet.all_have("adg", "DEAD", at="bcefhi"), "all others find three dead")
    assert found_dead(fleet, "bcefhi") == set("adg")
    fleet.start(*"adg")
    fleet.until(lambda: fleet.all_have("abcdefghi", "ALIVE"), "all are back")
    for label in "adg":
        assert fleet[label].incarnation > before[label]
        assert (label, fleet[label].incarnation, "ALIVE") in fleet["b"].said()
    counts = fleet.relay.counts()
    assert counts["streams"] and "stranger" not in counts  # all goes by the relay, which knows each sender


def test_a_partition_in_three_heals_in_another_shape(fleet):
    grow(fleet, "abcdef", times={"period_ms": 200, "suspect_most_ms": 1000, "reconnect_ms": 500})
    for shape in (("ab", "cd", "ef"), ("ace", "bdf")):
        fleet.relay("part", *(",".join(group) for group in shape))
        for group in shape:
            others = set("abcdef") - set(group)
            fleet.until(
                lambda g=group, o=others: fleet.all_have(g, "ALIVE") and fleet.all_have(o, "DEAD", at=g),
                f"{group} is one side of {shape}",
            )
    fleet.relay("heal")
    fleet.until(lambda: fleet.all_have("abcdef", "ALIVE"), "all are one again")
    for process in fleet:  # nobody took it for a restart
        assert {inc for name, inc, _ in fleet["a"].said() if name == process.label} <= {process.incarnation}


def test_one_pair_that_does_not_hear_each_other_is_kept_alive_by_the_others(fleet):
    grow(fleet, "abcde")
    fleet.relay("cut", "a", "b")
    lost = fleet.relay.counts()["lost"]
    fleet.until(lambda: fleet.relay.counts()["lost"] > lost + 6, "six datagrams are lost")
    assert not found_dead(fleet, "abcde")
    fleet["e"].kill()
    fleet.until(lambda: fleet.all_have("e", "DEAD", at="abcd"), "a death is still noticed by all")


@pytest.mark.parametrize("way", [("*", "a"), ("a", "*")], ids=["deaf", "dumb"])
def test_who_is_heard_or_hears_one_way_only_is_dead_until_it_heals(fleet, way):
    grow(fleet, "abcde")
    fleet.relay("cut", *way)
    fleet.until(lambda: fleet.all_have("a", "DEAD", at="bcde"), "all others take it for dead")
    assert found_dead(fleet, "bcde") == {"a"}
    fleet.relay("heal")
    fleet.until(lambda: fleet.all_have("abcde", "ALIVE"), "it is back")
    assert fleet["a"].running.poll() is None and ("a", fleet["a"].incarnation, "ALIVE") in fleet["b"].said()


def test_a_link_of_300_ms_that_loses_a_fifth(fleet):
    for label in "abcdef":
        fleet.add(label)
    for way in (("f", "*"), ("*", "f")):
        fleet.relay("link", *way, "delay_ms=150", "jitter_ms=20", "loss=0.2")
    fleet.start()
    fleet.until(lambda: fleet.all_have("abcdef", "ALIVE"), "all find each other")
    settle(fleet, 120)
    fleet.until(lambda: fleet.all_have("abcdef", "ALIVE"), "all are there")
    assert found_dead(fleet, "abcdef") <= {"f"}
    fleet["e"].kill()
    fleet.until(lambda: fleet.all_have("e", "DEAD", at="abcdf"), "a death is noticed over it")


def test_a_process_paused_for_longer_than_it_takes_to_be_dead_goes_on(fleet):
    grow(fleet, "abcde")
    fleet["c"].pause()
    fleet.until(lambda: fleet.all_have("c", "DEAD", at="abde"), "all take it for dead")
    settle(fleet)
    fleet["c"].go_on()
    fleet.until(lambda: fleet.all_have("abcde", "ALIVE"), "it is back")
    assert not found_dead(fleet, "c")  # it was away, not the others
    assert fleet["c"].incarnation == next(i for n, i, s in reversed(fleet["a"].said()) if n == "c")


def test_rolling_restarts_of_all(fleet):
    grow(fleet, "abcde")
    for label in "abcde":
        others = set("abcde") - {label}
        assert fleet[label].end() == 0
        fleet.until(lambda one=label, o=others: fleet.all_have(one, "LEFT", at=o), f"{label} has left")
        fleet[label].start()
        fleet.until(lambda: fleet.all_have("abcde", "ALIVE"), f"{label} is back")
    assert not found_dead(fleet, "abcde")


def test_all_are_killed_and_started_one_after_another_without_a_wait(fleet):
    grow(fleet, "abcde")
    for process in fleet:
        process.kill()
        process.start()
    fleet.until(
        lambda: (
            all(p.incarnation for p in fleet)
            and all((p.label, p.incarnation, "ALIVE") in q.said() for p in fleet for q in fleet if p is not q)
        ),
        "all know all new lives",
    )
    fleet.until(lambda: fleet.all_have("abcde", "ALIVE"), "and no former one comes between")


def test_of_two_processes_of_one_name_the_younger_steps_back_and_takes_over(fleet):
    grow(fleet, "abc")
    twin = fleet.add("twin", name="b")
    twin.start()
    fleet.until(lambda: "fleet-name: " in twin.text(), "the younger is told")
    assert f"{fleet['b'].door[0]}:{fleet['b'].door[1]}" in twin.text()
    fleet.until(lambda: fleet["a"].states()["b"] == fleet["c"].states()["b"] == "ALIVE", "the elder stays")
    assert "fleet-name: " not in fleet["b"].text()
    fleet["b"].kill()
    fleet.until(lambda: "is ours again" in twin.text(), "the younger takes over")
    fleet.until(lambda: fleet["a"].states()["b"] == fleet["c"].states()["b"] == "ALIVE", "all know it")


def test_wrong_and_old_keys_are_kept_out_and_a_key_changes_without_a_gap(fleet):
    old, new, wrong = (secrets.token_hex(32) for _ in range(3))
    fleet.write_key("key", old)
    grow(fleet, "abcde")
    fleet.relay("link", "*", "*", "loss=0.05", "jitter_ms=10")
    for step, keys in enumerate([(old, new), (new, old), (new,)], 1):
        fleet.write_key("key", *keys)
        for process in list(fleet):
            process.hangup()
            fleet.until(lambda p=process, n=step: p.text().count("keys and seeds read again") == n, "it has")
    settle(fleet)
    assert fleet.all_have("abcde", "ALIVE") and not found_dead(fleet, "abcde")
    # strangers are met at joins, docs/operations/fleet-peers.md
    refused = [line for process in fleet for line in process.text().splitlines() if "refused" in line]
    assert all("refused stranger: " in line for line in refused), refused
    fleet.add("w", key_file=str(fleet.write_key("wrong", wrong)))
    fleet.add("o", key_file=str(fleet.write_key("old", old)))
    fleet.add("n", key_file=str(fleet.write_key("two", new, old)))
    fleet.start("w", "o", "n")
    fleet.until(lambda: fleet.all_have("n", "ALIVE", at="abcde"), "who has the new key among others joins")
    fleet.until(
        lambda: all(
            "fleet refused key" in fleet["a"].text() and fleet[x].door[0] in fleet["a"].text() for x in "wo"
        ),
        "the others are turned away and named",
    )
    assert all(not {"w", "o"} & process.states().keys() for process in fleet)
    assert not {name for name, _, _ in fleet["w"].said() + fleet["o"].said()} & set("abcde")


def test_whole_sidecars_answer_while_one_of_them_is_killed_and_comes_back(tmp_path):
    hub = Hub(print)
    engines = [TdsEngine(hub, f"engine-{n}") for n in (1, 2)]

    def scene() -> None:
        with Fleet(tmp_path, 1, hub.sleep) as fleet:
            for label in "abc":
                fleet.sidecar(label, [engine.listener.address for engine in engines])
            fleet.add("w")
            fleet.start()
            fleet.until(lambda: all(served(fleet[label]) for label in "abc"), "all answer")
            fleet.until(lambda: fleet.all_have("abc", "ALIVE", at="w"), "a bare process knows them")
            fleet["b"].kill()
            assert served(fleet["a"]) and served(fleet["c"]) and not served(fleet["b"])
            fleet.until(lambda: fleet.all_have("b", "DEAD", at="w"), "its death is noticed")
            fleet["b"].start()
            fleet.until(lambda: served(fleet["b"]), "it answers again")
            assert fleet["a"].end() == 0
            fleet.until(lambda: fleet.all_have("a", "LEFT", at="w"), "it has left in good order")
            assert not any("error" in p.text() or "Traceback" in p.text() for p in fleet)

    def served(process) -> bool:
        try:
            client = TdsClient(SimpleNamespace(hub=hub, address=process.front), "lookup", 5.0)
        except Refused:
            return False
        try:
            return client.ask("select * from sales_1.x").kind == "served"
        finally:
            client.close()

    play(hub, scene)
