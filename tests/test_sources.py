"""Sources over sockets: scripted name servers, the merged list, and engines that record their requests."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest
from merged import BULLETIN_SOURCE, DNS_SD_SERVICE, SRV_SERVICE, Merged

from aspenrill import api
from aspenrill.gathering import SourceSetup
from standins.nameserver import AnswerBehaviour, NameServer
from standins.world import ROWS, SETTINGS, EngineBehaviour, World

for_each_protocol = pytest.mark.parametrize("protocol", ["thrift", "tds"])


@for_each_protocol
def test_an_engine_that_the_bulletin_drains_gets_no_requests_although_srv_lists_it(protocol):
    # the engine itself records that no request begins later than 500 ms after the drain was received
    setup = Merged(protocol)
    a, b = setup.engines

    def scenario():
        setup.srv(a, b)
        setup.begin()
        setup.listed(a, b)
        setup.roster(setup.world.member(a), setup.world.member(b), whole=True)
        client = setup.world.client()
        for _ in range(20):
            assert client.request("select 1").rows == ROWS
        assert a.began and b.began
        setup.roster(setup.world.member(a, api.EngineState.DRAINING))
        learned_at = time.monotonic()
        asked = len(setup.server.questions)
        while time.monotonic() < learned_at + 2.0:
            assert client.request("select 1").rows == ROWS
        assert (
            max(at for at, _ in a.began) < learned_at + 0.5
            and max(at for at, _ in b.began) > learned_at + 1.5
        )
        assert len(setup.server.questions) > asked, "the records were not queried again in the meantime"

    setup.run(scenario)


@for_each_protocol
def test_a_withdrawn_record_drains_the_engine(protocol):
    setup = Merged(protocol, 3, "srv")

    def scenario():
        setup.srv(*setup.engines)
        setup.begin()
        setup.listed(*setup.engines)
        removed, client = setup.engines[2], setup.world.client()
        removed.behaviour = lambda s: EngineBehaviour(after=1.5 if "long" in s else 0)
        slow_client = setup.world.client("usage-report")
        for engine in setup.engines[:2]:
            engine.behaviour = removed.behaviour
        while not any("long" in s for s in removed.statements):
            slow_client = setup.world.client("usage-report")
            slow_client.send("select long from sales_1.x")
            setup.hub.sleep(0.1)
        setup.srv(*setup.engines[:2])
        setup.listed(*setup.engines[:2])
        learned_at = time.monotonic()
        while time.monotonic() < learned_at + 0.8:
            assert client.request("select 1").rows == ROWS
        assert max(at for at, _ in removed.began) < learned_at + 0.05
        assert slow_client.read(10).rows == ROWS and not removed.stopped  # the running request is completed

    setup.run(scenario)


def test_while_the_resolver_is_silent_the_last_list_is_used_and_a_new_one_follows():
    setup = Merged("thrift", 3, "srv")

    def scenario():
        setup.srv(*setup.engines[:2])
        setup.begin()
        setup.listed(*setup.engines[:2])
        setup.server.behaviour = lambda asked: AnswerBehaviour(drop=True)
        client, deadline = setup.world.client(), time.monotonic() + 3.0
        while time.monotonic() < deadline:
            assert client.request("select 1").rows == ROWS
            assert setup.live == {e.listener.address[1] for e in setup.engines[:2]}
            setup.hub.sleep(0.02)
        assert sum("its last list of 2 stays" in line for line in setup.world.logged) == 1
        setup.srv(*setup.engines)
        setup.server.behaviour = lambda asked: AnswerBehaviour()
        setup.listed(*setup.engines)
        assert any("answers again" in line for line in setup.world.logged)

    setup.run(scenario)


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
def test_negative_answers_empty_the_list_after_confirmation_and_failures_never_do(act, kept):
    # a negative answer takes effect after a second query confirms it; a failure has no effect
    setup = Merged("thrift", 3, "srv")

    def scenario():
        setup.srv(*setup.engines)
        setup.begin()
        setup.listed(*setup.engines)
        if not kept:
            setup.server.put(SRV_SERVICE, "SRV")
            setup.server.put("more." + SRV_SERVICE, "TXT", '"x"')
        setup.server.behaviour = lambda asked: act if asked.kind == "SRV" else AnswerBehaviour()
        setup.world.until(lambda: any("stays" in s or "second look" in s for s in setup.world.logged))
        assert len(setup.live) == 3
        if kept:
            setup.hub.sleep(1.5)
            assert len(setup.live) == 3
        else:
            setup.listed()
            assert sum("second look" in line for line in setup.world.logged) == 2

    setup.run(scenario)


@for_each_protocol
def test_an_address_moves_to_another_id_with_requests_in_flight(protocol):
    # connection pools belong to an engine id, not an address: running requests end on the old connections,
    # and new requests do not use these
    setup = Merged(protocol, 1, "dns-sd")
    [engine] = setup.engines

    def scenario():
        engine.behaviour = lambda s: EngineBehaviour(after=1.2 if "long" in s else 0)
        setup.server.put(DNS_SD_SERVICE, "PTR", f"old.{DNS_SD_SERVICE}")
        setup.instance("old", engine)
        setup.instance("new", engine)
        setup.begin()
        setup.listed(engine)
        slow_client, client = setup.world.client("usage-report"), setup.world.client()
        assert client.request("select 1").rows == ROWS
        before = next(iter(setup.world.node.owner.peers.values()))
        idle = list(before.idle)
        slow_client.send("select long from sales_1.x")
        setup.world.until(lambda: engine.running)
        setup.server.put(DNS_SD_SERVICE, "PTR", f"new.{DNS_SD_SERVICE}")
        setup.world.until(
            lambda: any("new" in name and p.takes_work for name, p in setup.world.node.owner.peers.items())
        )
        assert client.request("select 2").rows == ROWS
        assert slow_client.read(10).rows == ROWS and not engine.stopped
        now = setup.world.node.owner.peers[f"new.{DNS_SD_SERVICE}".rstrip(".")]
        assert now is not before and now.started > 0 and not before.idle
        assert idle and now.idle and not set(idle) & set(now.idle)

    setup.run(scenario)


def test_dns_sd_instances_have_kind_zone_and_state():
    setup = Merged("thrift", 2, "dns-sd")
    a, b = setup.engines

    def scenario():
        setup.server.put(DNS_SD_SERVICE, "PTR", f"a.{DNS_SD_SERVICE}", f"b.{DNS_SD_SERVICE}")
        setup.instance("a", a, "kind=std", "zone=3", "cell=9", "started=5000")
        setup.instance("b", b)
        begun = time.monotonic()
        setup.begin()
        setup.listed(a, b)
        entry = setup.world.node.owner.gateway.fleet.engines[f"a.{DNS_SD_SERVICE}".rstrip(".")].entry
        assert (entry.zone, entry.cell, entry.weight) == (3, 9, None)
        assert (
            begun <= entry.started <= time.monotonic()
        )  # no clock offset is known yet, so the start may be recent
        setup.instance("b", b, "state=draining")
        setup.listed(a)
        assert (
            setup.world.node.owner.peers[f"b.{DNS_SD_SERVICE}".rstrip(".")].state is api.EngineState.DRAINING
        )

    setup.run(scenario)


@for_each_protocol
def test_ipv6_from_records_to_connections(protocol):
    setup = Merged(protocol, 2, "srv", host="::1")

    def scenario():
        setup.srv(*setup.engines)
        setup.begin()
        setup.listed(*setup.engines)
        for _ in range(8):
            assert setup.world.client().request("select 1").rows == ROWS
        assert all(e.began for e in setup.engines)
        assert all(":" in p.address[0] for p in setup.world.node.owner.peers.values())

    setup.run(scenario)


def test_a_lower_tier_opens_while_the_first_is_unreachable():
    setup = Merged("thrift", 4, "srv")
    first, second = setup.engines[:2], setup.engines[2:]

    def scenario():
        setup.server.srv(
            SRV_SERVICE,
            *(
                (0 if e in first else 7, 5, e.listener.address[1], f"{e.name}.example.", "127.0.0.1")
                for e in setup.engines
            ),
        )
        setup.begin()
        setup.listed(*first)
        client = setup.world.client()
        for _ in range(8):
            assert client.request("select 1").rows == ROWS
        for engine in first:
            engine.shut_down()
        kinds, deadline = [], time.monotonic() + 6
        while time.monotonic() < deadline and not all(e.began for e in second):
            kinds.append(client.request("select 1").kind)
            setup.hub.sleep(0.01)
        assert all(e.began for e in second), "the second tier got no requests"
        assert any("tier 7 opens" in line for line in setup.world.logged)
        assert set(kinds) <= {"served", "refused", "failed"}
        cold = [p for p in setup.world.node.owner.peers.values() if p.started > time.monotonic() - 10]
        assert {p.address[1] for p in cold} == {e.listener.address[1] for e in second}

    setup.run(scenario)


@for_each_protocol
def test_three_front_ends_together_do_not_overload_a_cold_engine(protocol):
    # a cold engine has 31% of its capacity at first; in any 1.5 s, all front ends together must send it at
    # most 2.5 times its capacity
    work, cores = 0.04, 1
    front_settings = replace(SETTINGS, cores_by_kind=(cores,), gateways=3)
    first_setup = Merged(protocol, 2, "srv", settings=front_settings)
    warm, cold = first_setup.engines
    for engine in (warm, cold):
        engine.behaviour = lambda s: EngineBehaviour(after=work)
    front_ends = []
    for me in range(3):
        world = World(
            protocol, 0, replace(front_settings, gateway_index=me), listed=False, hub=first_setup.hub
        )
        front_ends.append(
            (world, SourceSetup(first_setup.hub, first_setup.sources, ("std",), world.node.post))
        )

    def scenario():
        first_setup.srv(warm)
        clients = [world.client() for world, _ in front_ends for _ in range(8)]
        first_setup.world.until(lambda: all(len(w.node.owner.peers) == 1 for w, _ in front_ends))
        announced_at, deadline = time.monotonic(), time.monotonic() + 4.5
        first_setup.srv(warm, cold)
        while time.monotonic() < deadline:
            for client in clients:
                client.send("select 1")
            for client in clients:
                client.read(10)
        assert all(len(w.node.owner.peers) == 2 for w, _ in front_ends) and cold.began
        times = [at for at, _ in cold.began]
        for begin in times:
            sent = sum(begin <= at < begin + 1.5 for at in times) * work
            capacity = 0.31 + 0.69 * max(0.0, begin - announced_at) / 12
            assert sent <= 2.5 * capacity * cores * 1.5, (
                f"{sent:.2f} s of work in a window, capacity {capacity:.2f}"
            )
        assert len(warm.began) > 2 * len(cold.began)

    first_setup.run(scenario)


def test_a_configuration_change_of_sources_keeps_engines_and_requests():
    setup = Merged("thrift", 2, "bulletin srv")
    a, b = setup.engines

    def scenario():
        a.behaviour = b.behaviour = lambda s: EngineBehaviour(after=1.0 if "long" in s else 0)
        setup.srv(a, b)
        setup.begin()
        setup.listed(a, b)
        slow_client = setup.world.client("usage-report")
        slow_client.send("select long from sales_1.x")
        setup.world.until(lambda: a.running or b.running)
        peers = dict(setup.world.node.owner.peers)
        other_server = NameServer(setup.hub)
        other_server.zone, other_server.behaviour = (
            setup.server.zone,
            lambda asked: AnswerBehaviour(delay=0.15),
        )
        records = replace(setup.sources.sources[1], name="others")
        setup.server.behaviour = lambda asked: AnswerBehaviour(drop=True)
        setup.source_setup.reconfigure(
            replace(
                setup.sources,
                sources=(records, BULLETIN_SOURCE),
                resolvers=(replace(setup.resolver, servers=(other_server.address,)),),
            )
        )
        setup.world.until(lambda: other_server.questions)
        assert setup.live == {e.listener.address[1] for e in setup.engines}
        setup.hub.sleep(0.6)
        assert dict(setup.world.node.owner.peers) == peers  # the same engines and connection pools
        assert slow_client.read(10).rows == ROWS
        setup.server.behaviour = lambda asked: AnswerBehaviour()
        asked = len(setup.server.questions)
        setup.hub.sleep(1.2)
        assert len(setup.server.questions) == asked, "the old resolver is still queried"

    setup.run(scenario)
