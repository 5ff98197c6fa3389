"""Sources on sockets: scripted name servers, the merged list, and engines whose own logs tell what came."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest
from merged import BULLETIN_SOURCE, DNS_SD_SERVICE, SRV_SERVICE, Merged

from aspenrill import api
from aspenrill.gathering import Gathering
from standins.nameserver import AnswerBehaviour, NameServer
from standins.world import ROWS, SETTINGS, World
from standins.world import EngineBehaviour as Work

PROTOCOLS = pytest.mark.parametrize("protocol", ["thrift", "tds"])


@PROTOCOLS
def test_srv_names_an_engine_that_the_roster_says_drains(protocol):
    # the engine's own log tells: nothing new later than 500 ms after the drain was learned
    m = Merged(protocol)
    a, b = m.engines

    def play():
        m.srv(a, b)
        m.begin()
        m.listed(a, b)
        m.roster(m.world.member(a), m.world.member(b), whole=True)
        client = m.world.client()
        for _ in range(20):
            assert client.request("select 1").rows == ROWS
        assert a.began and b.began
        m.roster(m.world.member(a, api.EngineState.DRAINING))
        told = time.monotonic()
        asked = len(m.server.questions)
        while time.monotonic() < told + 2.0:
            assert client.request("select 1").rows == ROWS
        assert max(at for at, _ in a.began) < told + 0.5 and max(at for at, _ in b.began) > told + 1.5
        assert len(m.server.questions) > asked, "the records were not asked for again meanwhile"

    m.run(play)


@PROTOCOLS
def test_a_record_that_is_withdrawn_is_a_drain(protocol):
    m = Merged(protocol, 3, "srv")

    def play():
        m.srv(*m.engines)
        m.begin()
        m.listed(*m.engines)
        gone, client = m.engines[2], m.world.client()
        gone.behaviour = lambda s: Work(after=1.5 if "long" in s else 0)
        report = m.world.client("usage-report")
        for engine in m.engines[:2]:
            engine.behaviour = gone.behaviour
        while not any("long" in s for s in gone.statements):
            report = m.world.client("usage-report")
            report.send("select long from sales_1.x")
            m.hub.sleep(0.1)
        m.srv(*m.engines[:2])
        m.listed(*m.engines[:2])
        learned = time.monotonic()
        while time.monotonic() < learned + 0.8:
            assert client.request("select 1").rows == ROWS
        assert max(at for at, _ in gone.began) < learned + 0.05
        assert report.read(10).rows == ROWS and not gone.stopped  # what it has, it ends

    m.run(play)


def test_a_resolver_that_is_silent_loses_nothing_and_what_is_new_comes_after_it():
    m = Merged("thrift", 3, "srv")

    def play():
        m.srv(*m.engines[:2])
        m.begin()
        m.listed(*m.engines[:2])
        m.server.behaviour = lambda asked: AnswerBehaviour(drop=True)
        client, until = m.world.client(), time.monotonic() + 3.0
        while time.monotonic() < until:
            assert client.request("select 1").rows == ROWS
            assert m.live == {e.listener.address[1] for e in m.engines[:2]}
            m.hub.sleep(0.02)
        assert sum("its last list of 2 stays" in line for line in m.world.logged) == 1
        m.srv(*m.engines)
        m.server.behaviour = lambda asked: AnswerBehaviour()
        m.listed(*m.engines)
        assert any("answers again" in line for line in m.world.logged)

    m.run(play)


@pytest.mark.parametrize(
    "act, kept",
    [
        (AnswerBehaviour(code=3), False),
        (AnswerBehaviour(), False),
        (AnswerBehaviour(code=2), True),
        (AnswerBehaviour(code=5), True),
        (AnswerBehaviour(truncate=True, stream="stall"), True),
        (AnswerBehaviour(truncate=True, stream="cut"), True),
    ],
    ids=["NXDOMAIN", "empty", "code 2", "code 5", "TCP stalls", "TCP cut"],
)
def test_no_such_name_an_empty_answer_and_failures_differ(act, kept):
    # "there is none" counts once a second look says so too; a failure never does
    m = Merged("thrift", 3, "srv")

    def play():
        m.srv(*m.engines)
        m.begin()
        m.listed(*m.engines)
        if not kept:
            m.server.put(SRV_SERVICE, "SRV")
            m.server.put("more." + SRV_SERVICE, "TXT", '"x"')
        m.server.behaviour = lambda asked: act if asked.kind == "SRV" else AnswerBehaviour()
        m.world.until(lambda: any("stays" in s or "second look" in s for s in m.world.logged))
        assert len(m.live) == 3
        if kept:
            m.hub.sleep(1.5)
            assert len(m.live) == 3
        else:
            m.listed()
            assert sum("second look" in line for line in m.world.logged) == 2

    m.run(play)


@PROTOCOLS
def test_an_address_moves_to_another_id_while_requests_are_out(protocol):
    # pools are the engine's, not the address's: what is out ends where it is, what is new uses none of it
    m = Merged(protocol, 1, "dns-sd")
    [engine] = m.engines

    def play():
        engine.behaviour = lambda s: Work(after=1.2 if "long" in s else 0)
        m.server.put(DNS_SD_SERVICE, "PTR", f"old.{DNS_SD_SERVICE}")
        m.instance("old", engine)
        m.instance("new", engine)
        m.begin()
        m.listed(engine)
        report, client = m.world.client("usage-report"), m.world.client()
        assert client.request("select 1").rows == ROWS
        before = next(iter(m.world.node.owner.peers.values()))
        idle = list(before.idle)
        report.send("select long from sales_1.x")
        m.world.until(lambda: engine.running)
        m.server.put(DNS_SD_SERVICE, "PTR", f"new.{DNS_SD_SERVICE}")
        m.world.until(
            lambda: any("new" in name and p.takes_work for name, p in m.world.node.owner.peers.items())
        )
        assert client.request("select 2").rows == ROWS
        assert report.read(10).rows == ROWS and not engine.stopped
        now = m.world.node.owner.peers[f"new.{DNS_SD_SERVICE}".rstrip(".")]
        assert now is not before and now.started > 0 and not before.idle
        assert idle and now.idle and not set(idle) & set(now.idle)

    m.run(play)


def test_instances_tell_kind_zone_and_state():
    m = Merged("thrift", 2, "dns-sd")
    a, b = m.engines

    def play():
        m.server.put(DNS_SD_SERVICE, "PTR", f"a.{DNS_SD_SERVICE}", f"b.{DNS_SD_SERVICE}")
        m.instance("a", a, "kind=std", "zone=3", "cell=9", "started=5000")
        m.instance("b", b)
        begun = time.monotonic()
        m.begin()
        m.listed(a, b)
        entry = m.world.node.owner.gateway.fleet.engines[f"a.{DNS_SD_SERVICE}".rstrip(".")].entry
        assert (entry.zone, entry.cell, entry.weight) == (3, 9, None)
        assert begun <= entry.started <= time.monotonic()  # the latest start that is known may be quite new
        m.instance("b", b, "state=draining")
        m.listed(a)
        assert m.world.node.owner.peers[f"b.{DNS_SD_SERVICE}".rstrip(".")].state is api.EngineState.DRAINING

    m.run(play)


@PROTOCOLS
def test_ipv6_from_records_to_connections(protocol):
    m = Merged(protocol, 2, "srv", host="::1")

    def play():
        m.srv(*m.engines)
        m.begin()
        m.listed(*m.engines)
        for _ in range(8):
            assert m.world.client().request("select 1").rows == ROWS
        assert all(e.began for e in m.engines)
        assert all(":" in p.address[0] for p in m.world.node.owner.peers.values())

    m.run(play)


def test_a_lower_tier_is_let_in_while_the_first_cannot_be_reached():
    m = Merged("thrift", 4, "srv")
    first, second = m.engines[:2], m.engines[2:]

    def play():
        m.server.srv(
            SRV_SERVICE,
            *(
                (0 if e in first else 7, 5, e.listener.address[1], f"{e.name}.example.", "127.0.0.1")
                for e in m.engines
            ),
        )
        m.begin()
        m.listed(*first)
        client = m.world.client()
        for _ in range(8):
            assert client.request("select 1").rows == ROWS
        for engine in first:
            engine.shut_down()
        kinds, until = [], time.monotonic() + 6
        while time.monotonic() < until and not all(e.began for e in second):
            kinds.append(client.request("select 1").kind)
            m.hub.sleep(0.01)
        assert all(e.began for e in second), "the second tier got no work"
        assert any("tier 7 opens" in line for line in m.world.logged)
        assert set(kinds) <= {"served", "refused", "failed"}
        cold = [p for p in m.world.node.owner.peers.values() if p.started > time.monotonic() - 10]
        assert {p.address[1] for p in cold} == {e.listener.address[1] for e in second}

    m.run(play)


@PROTOCOLS
def test_three_front_ends_meet_a_cold_engine_together(protocol):
    # it does 31% of its capacity at first; all together stay under 2.5 times what it can do, in any 1.5 s
    work, cores = 0.04, 1
    setup = replace(SETTINGS, cores_by_kind=(cores,), gateways=3)
    lead = Merged(protocol, 2, "srv", settings=setup)
    warm, cold = lead.engines
    for engine in (warm, cold):
        engine.behaviour = lambda s: Work(after=work)
    nodes = []
    for me in range(3):
        world = World(protocol, 0, replace(setup, gateway_index=me), listed=False, hub=lead.hub)
        nodes.append((world, Gathering(lead.hub, lead.sources, ("std",), world.node.post)))

    def play():
        lead.srv(warm)
        clients = [world.client() for world, _ in nodes for _ in range(8)]
        lead.world.until(lambda: all(len(w.node.owner.peers) == 1 for w, _ in nodes))
        announced, until = time.monotonic(), time.monotonic() + 4.5
        lead.srv(warm, cold)
        while time.monotonic() < until:
            for client in clients:
                client.send("select 1")
            for client in clients:
                client.read(10)
        assert all(len(w.node.owner.peers) == 2 for w, _ in nodes) and cold.began
        times = [at for at, _ in cold.began]
        for begin in times:
            sent = sum(begin <= at < begin + 1.5 for at in times) * work
            able = 0.31 + 0.69 * max(0.0, begin - announced) / 12
            assert sent <= 2.5 * able * cores * 1.5, f"{sent:.2f} s of work in a window, {able:.2f} able"
        assert len(warm.began) > 2 * len(cold.began)

    lead.run(play)


def test_sighup_changes_sources_order_and_resolvers_with_engines_and_requests_kept():
    m = Merged("thrift", 2, "bulletin srv")
    a, b = m.engines

    def play():
        a.behaviour = b.behaviour = lambda s: Work(after=1.0 if "long" in s else 0)
        m.srv(a, b)
        m.begin()
        m.listed(a, b)
        report = m.world.client("usage-report")
        report.send("select long from sales_1.x")
        m.world.until(lambda: a.running or b.running)
        peers = dict(m.world.node.owner.peers)
        other = NameServer(m.hub)
        other.zone, other.behaviour = m.server.zone, lambda asked: AnswerBehaviour(delay=0.15)
        records = replace(m.sources.sources[1], name="others")
        m.server.behaviour = lambda asked: AnswerBehaviour(drop=True)
        m.gathering.change(
            replace(
                m.sources,
                sources=(records, BULLETIN_SOURCE),
                resolvers=(replace(m.resolver, servers=(other.address,)),),
            )
        )
        m.world.until(lambda: other.questions)
        assert m.live == {e.listener.address[1] for e in m.engines}
        m.hub.sleep(0.6)
        assert dict(m.world.node.owner.peers) == peers  # the same engines, the same pools
        assert report.read(10).rows == ROWS
        m.server.behaviour = lambda asked: AnswerBehaviour()
        asked = len(m.server.questions)
        m.hub.sleep(1.2)
        assert len(m.server.questions) == asked, "the old resolver is still asked"

    m.run(play)
