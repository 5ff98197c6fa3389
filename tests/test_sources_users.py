"""Users of sources: the decision module with SRV weights, a platform node, and the command-line tool."""

from __future__ import annotations

import json
import subprocess
import sys
import time

import pytest
from merged import SRV_SERVICE
from test_tool import NODE_CONFIGURATION, PLATFORM_SETTINGS, VALID_FILE

from aspenrill import api, application
from aspenrill.control import Gateway
from aspenrill.net.hub import Hub
from aspenrill.node import ConfigError, platform
from aspenrill.tool.sources import print_report, query_sources
from aspenrill.wire import dns
from standins.nameserver import NameServer
from standins.scenario import run_scenario

# ---- decision module: weights -------------------------------------------------------------------------


@pytest.mark.parametrize(
    "weights, keeps_in_flight",
    [((1, 3), False), ((1, 3), True), ((10, 30, 0), True), ((0, 0), False), ((None, 2, 2), True)],
)
def test_srv_weights_are_applied_as_shares_of_the_requests(weights, keeps_in_flight):
    # RFC 2782: engines are chosen in proportion to the weight, one of 0 rarely, and all equally if all are 0
    spec = api.QueryClass(1.0, 5.0, api.Effect.SAFE)
    gateway = Gateway(api.Settings((spec,), (1000,)), 3, 0.0)
    gateway.handle(
        0.0,
        api.ListUpdate(
            api.ListMode.COMPLETE,
            tuple(api.EngineEntry(f"e{i}", api.EngineState.LIVE, weight=w) for i, w in enumerate(weights)),
        ),
    )
    sent_counts, now, in_flight = [0] * len(weights), 0.0, []
    for index in range(2000):
        now += 0.01
        for action in gateway.handle(now, api.Request(f"r{index}", 0, 5.0)):
            if isinstance(action, api.Send):
                sent_counts[int(action.engine[1:])] += 1
                in_flight.append(action)
        while len(in_flight) > (40 if keeps_in_flight else 0):
            attempt = in_flight.pop(0)
            gateway.handle(
                now, api.AttemptEnded(attempt.request, 0, attempt.engine, api.Outcome.OK, 0.01, True, 0.01)
            )
    stated_weights = [w for w in weights if w is not None]
    mean_weight = sum(stated_weights) / len(stated_weights) or 1
    expected_weights = [
        1.0 if w is None or not sum(stated_weights) else max(0.01, w / mean_weight) for w in weights
    ]
    for count, share in zip(sent_counts, expected_weights, strict=True):
        assert count / 2000 == pytest.approx(share / sum(expected_weights), abs=0.04)


# ---- platform and tool --------------------------------------------------------------------------------

SOURCES_TOML = """enabled = true
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


def test_a_platform_node_with_further_sources(tmp_path):
    hub, log_lines = Hub(), []
    hub.log = log_lines.append
    server = NameServer(hub)
    server.srv(SRV_SERVICE, (0, 1, 7001, "a.example.", "127.0.0.1"), (0, 1, 7002, "b.example.", "127.0.0.1"))
    initial_list = {
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
    path, sources_file = tmp_path / "config.json", tmp_path / "sources.toml"
    sources_text = SOURCES_TOML.replace("@", f"127.0.0.1:{server.address[1]}")
    path.write_text(
        json.dumps(
            NODE_CONFIGURATION | {"settings": PLATFORM_SETTINGS, "known": {"no": 1, "items": [initial_list]}}
        )
    )
    sources_file.write_text(sources_text)
    node = platform(hub, {"NODE_CONFIG": str(path)}, tmp_path / "none.toml", sources_file)

    def scenario():
        until = time.monotonic() + 8
        while len(node.owner.peers) < 1 and time.monotonic() < until:
            hub.sleep(0.02)
        assert [p.address[1] for p in node.owner.peers.values() if p.takes_work] == [7002]
        sources_file.write_text("enabled = true\n")
        node.reload()
        assert any("configuration not taken" in line and "source" in line for line in log_lines)

    run_scenario(hub, scenario)
    sources_file.write_text(sources_text.replace('type = "bulletin"', 'type = "list"'))
    with pytest.raises(ConfigError, match=r"sources.toml: source\[0\].engine"):
        platform(Hub(), {"NODE_CONFIG": str(path)}, tmp_path / "none.toml", sources_file)


def test_a_platform_node_imports_no_unused_module():
    code = (
        "import sys; from aspenrill import start; print(' '.join(m for m in sys.modules if m.startswith("
        "('aspenrill.resolver', 'aspenrill.membership', 'aspenrill.sources', 'aspenrill.application', "
        "'aspenrill.gathering', 'aspenrill.roster.dnssd', 'aspenrill.sidecar', 'netaddr'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and done.stdout.strip() == "", done


def test_the_tool_reports_the_list_of_each_source_and_why_an_engine_is_in_or_out(capsys):
    hub = Hub()
    server = NameServer(hub)
    server.srv(
        "_tds._tcp.engines.example.",
        (0, 5, 14331, "a.example.", "127.0.0.1"),
        (3, 5, 14332, "b.example.", "127.0.0.1"),
        (0, 5, 14333, "c.example.", "192.0.2.1"),
    )
    text = (
        VALID_FILE.replace('state = "live"', 'state = "draining"')
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
    report, log_lines = query_sources(app, 5.0, hub)
    print_report(report, log_lines)
    out, err = capsys.readouterr()
    rows = {one["address"]: (one["in"], one["why"]) for one in report["engines"]}
    assert rows["127.0.0.1:14331"] == (False, "file says that it drains")
    assert rows["127.0.0.1:14332"][1] in ("tier 3 is not needed", "named live by records")
    assert "192.0.2.1:14333" not in rows and "not allowed" in err
    states = {one["name"]: one["state"] for one in report["sources"]}
    assert states == {"file": "answers", "records": "answers", "others": "fails"}
    assert "source others (dns-sd) fails, 0 entries: 127.0.0.1:9" in out and "out 127.0.0.1:14331" in out


def test_service_names_survive_encoding_and_decoding():
    assert dns.format_name(dns.parse_name(SRV_SERVICE)) == SRV_SERVICE
