"""Sources on sockets: scripted name servers, the merged list, and engines whose own logs tell what came."""
from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import replace

import pytest
from test_tool import CONFIG, GOOD, INFO

from aspenrill import api, application
from aspenrill import sources as config
from aspenrill.control import Gateway
from aspenrill.gathering import Gathering
from aspenrill.membership.flaps import Damping
from aspenrill.membership.rule import Rules, Spec
from aspenrill.membership.tiers import TierRules
from aspenrill.net.hub import Hub
from aspenrill.node import ConfigError, platform
from aspenrill.resolver.cache import Lifetimes
from aspenrill.resolver.lookup import Patience
from aspenrill.tool.sources import gather, print_report
from aspenrill.wire import dns
from standins.nameserver import Act, NameServer
from standins.scene import play
from standins.world import ROWS, SETTINGS, World
from standins.world import Act as Work

PROTOCOLS = pytest.mark.parametrize("protocol", ["thrift", "tds"])
SERVICE, SD = "_data._tcp.x.example.", "_tds._tcp.x.example."
ROSTER = config.SourceSpec("roster", "bulletin", Spec("roster"))
RULES = Rules(confirm=0.4, restart=0.5, damping=Damping(), tiers=TierRules(step=0.1, settle=0.5))


class Merged:
    """A world whose engines come from sources: a bulletin that the test speaks for, and a name server."""

    def __init__(self, protocol: str, engines: int = 2, types: str = "bulletin srv", host: str = "127.0.0.1",
                 settings: api.Settings = SETTINGS, rules: Rules = RULES) -> None:
        self.world = World(protocol, engines, settings, listed=False, host=host)
        self.hub, self.engines = self.world.hub, self.world.engines
        self.server = NameServer(self.hub)
        self.resolver = config.ResolverSpec("main", (self.server.address,), Patience(0.2, 0.5),
                                            Lifetimes(least=0.1, early=(0.5, 0.6)))
        rows = {"bulletin": ROSTER,
                "srv": config.SourceSpec("records", "srv", Spec("records", False, 0.5), "main", SERVICE),
                "dns-sd": config.SourceSpec("instances", "dns-sd", Spec("instances", True, 0.5), "main", SD)}
        self.sources = config.Sources(tuple(rows[name] for name in types.split()), (self.resolver,), rules)
        self.gathering: Gathering | None = None

    def begin(self) -> None:
        self.gathering = Gathering(self.hub, self.world.node.owner.clock, self.sources, ("std",),
                                   self.world.node.post)

    def roster(self, *rows, whole: bool = False) -> None:
        (self.gathering.roster.told if whole else self.gathering.roster.changed)("roster", rows)

    def srv(self, *engines, ttl: int = 1, **more) -> None:
        self.server.srv(SERVICE, *((more.get("priority", 0), more.get("weight", 1), e.listener.address[1],
                                    f"{e.name}.example.", e.listener.address[0]) for e in engines), ttl=ttl)

    def instance(self, name: str, engine, *texts: str) -> None:
        self.server.put(f"{name}.{SD}", "SRV", f"0 0 {engine.listener.address[1]} {engine.name}.example.")
        self.server.put(f"{name}.{SD}", "TXT", *(" ".join(f'"{text}"' for text in texts or ("v=1",)),))
        self.server.put(f"{engine.name}.example.", "A", engine.listener.address[0])

    @property
    def live(self) -> set[int]:
        return {p.address[1] for p in self.world.node.owner.peers.values() if p.takes_work}

    def listed(self, *engines, within: float = 8.0) -> None:
        wanted = {e.listener.address[1] for e in engines}
        self.world.until(lambda: self.live == wanted, within)

    def run(self, play: Callable[[], None]) -> None:
        self.world.run(play)


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
            assert client.ask("select 1").rows == ROWS
        assert a.began and b.began
        m.roster(m.world.member(a, api.EngineState.DRAINING))
        told = time.monotonic()
        asked = len(m.server.asked)
        while time.monotonic() < told + 2.0:
            assert client.ask("select 1").rows == ROWS
        assert max(at for at, _ in a.began) < told + 0.5 and max(at for at, _ in b.began) > told + 1.5
        assert len(m.server.asked) > asked, "the records were not asked for again meanwhile"
    m.run(play)


@PROTOCOLS
def test_a_record_that_is_withdrawn_is_a_drain(protocol):
    m = Merged(protocol, 3, "srv")

    def play():
        m.srv(*m.engines)
        m.begin()
        m.listed(*m.engines)
        gone, client = m.engines[2], m.world.client()
        gone.act = lambda s: Work(after=1.5 if "long" in s else 0)
        report = m.world.client("usage-report")
        for engine in m.engines[:2]:
            engine.act = gone.act
        while not any("long" in s for s in gone.statements):
            report = m.world.client("usage-report")
            report.send("select long from sales_1.x")
            m.hub.sleep(0.1)
        m.srv(*m.engines[:2])
        m.listed(*m.engines[:2])
        learned = time.monotonic()
        while time.monotonic() < learned + 0.8:
            assert client.ask("select 1").rows == ROWS
        assert max(at for at, _ in gone.began) < learned + 0.05
        assert report.read(10).rows == ROWS and not gone.stopped  # what it has, it ends
    m.run(play)


def test_a_resolver_that_is_silent_loses_nothing_and_what_is_new_comes_after_it():
    m = Merged("thrift", 3, "srv")

    def play():
        m.srv(*m.engines[:2])
        m.begin()
        m.listed(*m.engines[:2])
        m.server.act = lambda asked: Act(lose=True)
        client, until = m.world.client(), time.monotonic() + 3.0
        while time.monotonic() < until:
            assert client.ask("select 1").rows == ROWS
            assert m.live == {e.listener.address[1] for e in m.engines[:2]}
            m.hub.sleep(0.02)
        assert sum("its last list of 2 stays" in line for line in m.world.logged) == 1
        m.srv(*m.engines)
        m.server.act = lambda asked: Act()
        m.listed(*m.engines)
        assert any("answers again" in line for line in m.world.logged)
    m.run(play)


@pytest.mark.parametrize("act, kept", [
    (Act(code=3), False), (Act(), False), (Act(code=2), True), (Act(code=5), True),
    (Act(truncate=True, stream="stall"), True), (Act(truncate=True, stream="cut"), True)],
    ids=["NXDOMAIN", "empty", "code 2", "code 5", "TCP stalls", "TCP cut"])
def test_no_such_name_an_empty_answer_and_failures_differ(act, kept):
    # "there is none" counts once a second look says so too; a failure never does
    m = Merged("thrift", 3, "srv")

    def play():
        m.srv(*m.engines)
        m.begin()
        m.listed(*m.engines)
        if not kept:
            m.server.put(SERVICE, "SRV")
            m.server.put("more." + SERVICE, "TXT", '"x"')
        m.server.act = lambda asked: act if asked.kind == "SRV" else Act()
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
        engine.act = lambda s: Work(after=1.2 if "long" in s else 0)
        m.server.put(SD, "PTR", f"old.{SD}")
        m.instance("old", engine)
        m.instance("new", engine)
        m.begin()
        m.listed(engine)
        report, client = m.world.client("usage-report"), m.world.client()
        assert client.ask("select 1").rows == ROWS
        before = next(iter(m.world.node.owner.peers.values()))
        idle = list(before.idle)
        report.send("select long from sales_1.x")
        m.world.until(lambda: engine.running)
        m.server.put(SD, "PTR", f"new.{SD}")
        m.world.until(lambda: any("new" in name and p.takes_work for name, p in
                                  m.world.node.owner.peers.items()))
        assert client.ask("select 2").rows == ROWS
        assert report.read(10).rows == ROWS and not engine.stopped
        now = m.world.node.owner.peers[f"new.{SD}".rstrip(".")]
        assert now is not before and now.started > 0 and not before.idle
        assert idle and now.idle and not set(idle) & set(now.idle)
    m.run(play)


def test_instances_tell_kind_zone_and_state():
    m = Merged("thrift", 2, "dns-sd")
    a, b = m.engines

    def play():
        m.server.put(SD, "PTR", f"a.{SD}", f"b.{SD}")
        m.instance("a", a, "kind=std", "zone=3", "cell=9", "started=5000")
        m.instance("b", b)
        m.begin()
        m.listed(a, b)
        entry = m.world.node.owner.gateway.fleet.engines[f"a.{SD}".rstrip(".")].entry
        assert (entry.zone, entry.cell, entry.started, entry.weight) == (3, 9, 5.0, None)
        m.instance("b", b, "state=draining")
        m.listed(a)
        assert m.world.node.owner.peers[f"b.{SD}".rstrip(".")].state is api.EngineState.DRAINING
    m.run(play)


@PROTOCOLS
def test_ipv6_from_records_to_connections(protocol):
    m = Merged(protocol, 2, "srv", host="::1")

    def play():
        m.srv(*m.engines)
        m.begin()
        m.listed(*m.engines)
        for _ in range(8):
            assert m.world.client().ask("select 1").rows == ROWS
        assert all(e.began for e in m.engines)
        assert all(":" in p.address[0] for p in m.world.node.owner.peers.values())
    m.run(play)


def test_a_lower_tier_is_let_in_while_the_first_cannot_be_reached():
    m = Merged("thrift", 4, "srv")
    first, second = m.engines[:2], m.engines[2:]

    def play():
        m.server.srv(SERVICE, *((0 if e in first else 7, 5, e.listener.address[1], f"{e.name}.example.",
                                 "127.0.0.1") for e in m.engines))
        m.begin()
        m.listed(*first)
        client = m.world.client()
        for _ in range(8):
            assert client.ask("select 1").rows == ROWS
        for engine in first:
            engine.down()
        kinds, until = [], time.monotonic() + 6
        while time.monotonic() < until and not all(e.began for e in second):
            kinds.append(client.ask("select 1").kind)
            m.hub.sleep(0.01)
        assert all(e.began for e in second), "the second tier got no work"
        assert any("tier 7 opens" in line for line in m.world.logged)
        assert set(kinds) <= {"served", "refused", "failed"}
        cold = [p for p in m.world.node.owner.peers.values() if p.started > time.time() - 10]
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
        engine.act = lambda s: Work(after=work)
    nodes = []
    for me in range(3):
        world = World(protocol, 0, replace(setup, me=me), listed=False, hub=lead.hub)
        nodes.append((world, Gathering(lead.hub, world.node.owner.clock, lead.sources, ("std",),
                                       world.node.post)))

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
        a.act = b.act = lambda s: Work(after=1.0 if "long" in s else 0)
        m.srv(a, b)
        m.begin()
        m.listed(a, b)
        report = m.world.client("usage-report")
        report.send("select long from sales_1.x")
        m.world.until(lambda: a.running or b.running)
        peers = dict(m.world.node.owner.peers)
        other = NameServer(m.hub)
        other.zone, other.act = m.server.zone, lambda asked: Act(delay=0.15)
        records = replace(m.sources.sources[1], name="others")
        m.server.act = lambda asked: Act(lose=True)
        m.gathering.change(replace(m.sources, sources=(records, ROSTER), resolvers=(
            replace(m.resolver, servers=(other.address,)),)))
        m.world.until(lambda: other.asked)
        assert m.live == {e.listener.address[1] for e in m.engines}
        m.hub.sleep(0.6)
        assert dict(m.world.node.owner.peers) == peers  # the same engines, the same pools
        assert report.read(10).rows == ROWS
        m.server.act = lambda asked: Act()
        asked = len(m.server.asked)
        m.hub.sleep(1.2)
        assert len(m.server.asked) == asked, "the old resolver is still asked"
    m.run(play)


# ---- the module: weights ------------------------------------------------------------------------------

@pytest.mark.parametrize("weights, busy", [
    ((1, 3), False), ((1, 3), True), ((10, 30, 0), True), ((0, 0), False), ((None, 2, 2), True)])
def test_srv_weights_reach_the_module_as_shares(weights, busy):
    # RFC 2782: chosen in proportion, 0 seldom, and as often as any where all are 0
    spec = api.QueryClass(1.0, 5.0, api.Effect.SAFE)
    gateway = Gateway(api.Settings((spec,), (1000,)), 3, 0.0)
    gateway.handle(0.0, api.ListUpdate(api.ListMode.COMPLETE, tuple(
        api.EngineEntry(f"e{i}", api.EngineState.LIVE, weight=w) for i, w in enumerate(weights))))
    sent, now, out = [0] * len(weights), 0.0, []
    for at in range(2000):
        now += 0.01
        for action in gateway.handle(now, api.Request(f"r{at}", 0, 5.0)):
            if isinstance(action, api.Send):
                sent[int(action.engine[1:])] += 1
                out.append(action)
        while len(out) > (40 if busy else 0):
            one = out.pop(0)
            gateway.handle(now, api.AttemptEnded(one.request, 0, one.engine, api.Outcome.OK, 0.01, True,
                                                 0.01))
    stated = [w for w in weights if w is not None]
    mean = sum(stated) / len(stated) or 1
    wanted = [1.0 if w is None or not sum(stated) else max(0.01, w / mean) for w in weights]
    for got, share in zip(sent, wanted, strict=True):
        assert got / 2000 == pytest.approx(share / sum(wanted), abs=0.04)


# ---- platform and tool --------------------------------------------------------------------------------

FILE = '''enabled = true
[[source]]
name = "roster"
type = "bulletin"
[[source]]
name = "weekend"
type = "srv"
service = "_data._tcp.x.example"
[[resolver]]
servers = ["@"]
'''


def test_a_node_of_the_platform_with_further_sources(tmp_path):
    hub, lines = Hub(), []
    hub.log = lines.append
    server = NameServer(hub)
    server.srv(SERVICE, (0, 1, 7001, "a.example.", "127.0.0.1"), (0, 1, 7002, "b.example.", "127.0.0.1"))
    item = {"no": 1, "roster": {"seq": 1, "whole": True, "hosts": [
        {"host": "s-00000001", "dial": "127.0.0.1:7001", "site": "z", "class": "k", "block": 0,
         "health": "terminating", "share": 1, "born_ms": 0}]}}
    path, table = tmp_path / "config.json", tmp_path / "sources.toml"
    good = FILE.replace("@", f"127.0.0.1:{server.address[1]}")
    path.write_text(json.dumps(CONFIG | {"settings": INFO, "known": {"no": 1, "items": [item]}}))
    table.write_text(good)
    node = platform(hub, {"NODE_CONFIG": str(path)}, tmp_path / "none.toml", table)

    def scene():
        until = time.monotonic() + 8
        while len(node.owner.peers) < 1 and time.monotonic() < until:
            hub.sleep(0.02)
        assert [p.address[1] for p in node.owner.peers.values() if p.takes_work] == [7002]
        table.write_text("enabled = true\n")
        node.reload()
        assert any("configuration not taken" in line and "source" in line for line in lines)

    play(hub, scene)
    table.write_text(good.replace('type = "bulletin"', 'type = "list"'))
    with pytest.raises(ConfigError, match=r"sources.toml: source\[0\].engine"):
        platform(Hub(), {"NODE_CONFIG": str(path)}, tmp_path / "none.toml", table)


def test_a_node_of_the_platform_imports_nothing_that_it_does_not_use():
    code = ("import sys; from aspenrill import start; print(' '.join(m for m in sys.modules if m.startswith("
            "('aspenrill.resolver', 'aspenrill.membership', 'aspenrill.sources', 'aspenrill.application', "
            "'aspenrill.gathering', 'aspenrill.roster.dnssd', 'aspenrill.sidecar', 'netaddr'))))")
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and done.stdout.strip() == "", done


def test_the_tool_tells_what_each_source_says_and_why_an_engine_is_in_or_out(capsys):
    hub = Hub()
    server = NameServer(hub)
    server.srv("_tds._tcp.engines.example.", (0, 5, 14331, "a.example.", "127.0.0.1"),
               (3, 5, 14332, "b.example.", "127.0.0.1"), (0, 5, 14333, "c.example.", "192.0.2.1"))
    text = GOOD.replace('state = "live"', 'state = "draining"') + f'''
[[source]]
name = "records"
type = "srv"
service = "_tds._tcp.engines.example"
[[source]]
name = "others"
type = "dns-sd"
service = "_tds._tcp.nobody.example"
resolver = "dead"
[[resolver]]
name = "main"
servers = ["127.0.0.1:{server.address[1]}"]
[[resolver]]
name = "dead"
servers = ["127.0.0.1:9"]
question_ms = 100
lookup_ms = 200
[addresses]
deny = ["192.0.2.0/24"]
'''
    app, faults = application.read(text)
    assert not faults
    found, lines = gather(app, 5.0, hub)
    print_report(found, lines)
    out, err = capsys.readouterr()
    rows = {one["address"]: (one["in"], one["why"]) for one in found["engines"]}
    assert rows["127.0.0.1:14331"] == (False, "file says that it drains")
    assert rows["127.0.0.1:14332"][1] in ("tier 3 is not needed", "named live by records")
    assert "192.0.2.1:14333" not in rows and "not allowed" in err
    states = {one["name"]: one["state"] for one in found["sources"]}
    assert states == {"file": "answers", "records": "answers", "others": "fails"}
    assert "source others (dns-sd) fails, 0 entries: 127.0.0.1:9" in out and "out 127.0.0.1:14331" in out


def test_names_of_services_are_as_dns_has_them():
    assert dns.text_of(dns.name_of(SERVICE)) == SERVICE
