"""Who uses sources: the module by their weights, a node of the platform, and the tool."""

from __future__ import annotations

import json
import subprocess
import sys
import time

import pytest
from merged import SRV_SERVICE
from test_tool import CONFIG, GOOD, INFO

from aspenrill import api, application
from aspenrill.control import Gateway
from aspenrill.net.hub import Hub
from aspenrill.node import ConfigError, platform
from aspenrill.tool.sources import gather, print_report
from aspenrill.wire import dns
from standins.nameserver import NameServer
from standins.scenario import run_scenario

# ---- the module: weights ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "weights, busy",
    [((1, 3), False), ((1, 3), True), ((10, 30, 0), True), ((0, 0), False), ((None, 2, 2), True)],
)
def test_srv_weights_reach_the_module_as_shares(weights, busy):
    # RFC 2782: chosen in proportion, 0 seldom, and as often as any where all are 0
    spec = api.QueryClass(1.0, 5.0, api.Effect.SAFE)
    gateway = Gateway(api.Settings((spec,), (1000,)), 3, 0.0)
    gateway.handle(
        0.0,
        api.ListUpdate(
            api.ListMode.COMPLETE,
            tuple(api.EngineEntry(f"e{i}", api.EngineState.LIVE, weight=w) for i, w in enumerate(weights)),
        ),
    )
    sent, now, out = [0] * len(weights), 0.0, []
    for at in range(2000):
        now += 0.01
        for action in gateway.handle(now, api.Request(f"r{at}", 0, 5.0)):
            if isinstance(action, api.Send):
                sent[int(action.engine[1:])] += 1
                out.append(action)
        while len(out) > (40 if busy else 0):
            one = out.pop(0)
            gateway.handle(
                now, api.AttemptEnded(one.request, 0, one.engine, api.Outcome.OK, 0.01, True, 0.01)
            )
    stated = [w for w in weights if w is not None]
    mean = sum(stated) / len(stated) or 1
    wanted = [1.0 if w is None or not sum(stated) else max(0.01, w / mean) for w in weights]
    for got, share in zip(sent, wanted, strict=True):
        assert got / 2000 == pytest.approx(share / sum(wanted), abs=0.04)


# ---- platform and tool --------------------------------------------------------------------------------

FILE = """enabled = true
[[source]]
name = "roster"
type = "bulletin"
[[source]]
name = "weekend"
type = "srv"
service = "_data._tcp.x.example"
[[resolver]]
servers = ["@"]
"""


def test_a_node_of_the_platform_with_further_sources(tmp_path):
    hub, lines = Hub(), []
    hub.log = lines.append
    server = NameServer(hub)
    server.srv(SRV_SERVICE, (0, 1, 7001, "a.example.", "127.0.0.1"), (0, 1, 7002, "b.example.", "127.0.0.1"))
    item = {
        "no": 1,
        "roster": {
            "seq": 1,
            "whole": True,
            "hosts": [
                {
                    "host": "s-00000001",
                    "dial": "127.0.0.1:7001",
                    "site": "z",
                    "class": "k",
                    "block": 0,
                    "health": "terminating",
                    "share": 1,
                    "born_ms": 0,
                }
            ],
        },
    }
    path, table = tmp_path / "config.json", tmp_path / "sources.toml"
    good = FILE.replace("@", f"127.0.0.1:{server.address[1]}")
    path.write_text(json.dumps(CONFIG | {"settings": INFO, "known": {"no": 1, "items": [item]}}))
    table.write_text(good)
    node = platform(hub, {"NODE_CONFIG": str(path)}, tmp_path / "none.toml", table)

    def scenario():
        until = time.monotonic() + 8
        while len(node.owner.peers) < 1 and time.monotonic() < until:
            hub.sleep(0.02)
        assert [p.address[1] for p in node.owner.peers.values() if p.takes_work] == [7002]
        table.write_text("enabled = true\n")
        node.reload()
        assert any("configuration not taken" in line and "source" in line for line in lines)

    run_scenario(hub, scenario)
    table.write_text(good.replace('type = "bulletin"', 'type = "list"'))
    with pytest.raises(ConfigError, match=r"sources.toml: source\[0\].engine"):
        platform(Hub(), {"NODE_CONFIG": str(path)}, tmp_path / "none.toml", table)


def test_a_node_of_the_platform_imports_nothing_that_it_does_not_use():
    code = (
        "import sys; from aspenrill import start; print(' '.join(m for m in sys.modules if m.startswith("
        "('aspenrill.resolver', 'aspenrill.membership', 'aspenrill.sources', 'aspenrill.application', "
        "'aspenrill.gathering', 'aspenrill.roster.dnssd', 'aspenrill.sidecar', 'netaddr'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and done.stdout.strip() == "", done


def test_the_tool_tells_what_each_source_says_and_why_an_engine_is_in_or_out(capsys):
    hub = Hub()
    server = NameServer(hub)
    server.srv(
        "_tds._tcp.engines.example.",
        (0, 5, 14331, "a.example.", "127.0.0.1"),
        (3, 5, 14332, "b.example.", "127.0.0.1"),
        (0, 5, 14333, "c.example.", "192.0.2.1"),
    )
    text = (
        GOOD.replace('state = "live"', 'state = "draining"')
        + f"""
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
"""
    )
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
    assert dns.format_name(dns.parse_name(SRV_SERVICE)) == SRV_SERVICE
