"""The command-line tool, and how the program reads and reloads its configuration."""

from __future__ import annotations

import json
import re
import signal
import socket
import struct
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest

from aspenrill import application
from aspenrill.net.hub import Hub
from aspenrill.node import ConfigError, platform
from aspenrill.tool.__main__ import main
from aspenrill.tool.template import TEMPLATE
from aspenrill.wire import tds, tds_tokens, thrift
from standins.clients import Reply, TdsClient
from standins.world import ROWS, HttpEngine

VALID_FILE = TEMPLATE.replace("@NAME@", "billing").replace("@LISTEN@", "127.0.0.1:0")


def test_write_then_check_then_records(tmp_path, capsys):
    path = str(tmp_path / "billing.toml")
    assert main(["write", path]) == 0 and main(["check", path]) == 0
    assert "billing listens on 127.0.0.1:1433" in capsys.readouterr().out
    assert main(["write", path]) == 1 and "--force" in capsys.readouterr().err
    assert main(["records", path]) == 0
    assert capsys.readouterr().out.splitlines() == [
        "_tds._tcp.local. 120 IN PTR billing._tds._tcp.local.",
        "billing._tds._tcp.local. 120 IN SRV 0 0 1433 billing.local.",
        'billing._tds._tcp.local. 120 IN TXT "txtvers=1" "app=billing"',
        "billing.local. 120 IN A 127.0.0.1",
    ]


@pytest.mark.parametrize(
    "old, new, faults",
    [
        ('listen = "127.0.0.1:0"', 'listen = "here"', ["listen"]),
        ('name = "billing"', "", ["name"]),
        ("wanted_ms = 1000", "wanted_ms = 9000", ["class[0].wanted_ms"]),
        ("wanted_ms = 1000 ", 'wanted_ms = "1 s" ', ["class[0].wanted_ms"]),
        ('effect = "by_key"', 'effect = "maybe"', ["class[2].effect"]),
        ("repeat_window_ms = 15000", "", ["class[2].repeat_window_ms"]),
        ('key = "comment"', "", ["login[1].key"]),
        ('class = "report"', 'class = "reprot"', ["login[0].class"]),
        ('tenant = "main"', 'tenant = "mian"', ["login[0].tenant"]),
        ("cores = 8", "cores = 0", ["engines.kind[0].cores"]),
        (
            'type = "list" ',
            'type = "dns-sd" ',
            ["source[0].service", "source[0].resolver", "source[0].engine"],
        ),
        ('type = "list" ', 'type = "bulletin" ', ["source[0].type"]),
        ('state = "live"', 'state = "well"', ["source[0].engine[0].state"]),
        ("[engines]\n", '[engines]\nsource = "list"\n', ["engines.source"]),
        ("front_end = 1 ", "front_end = 2 ", ["rules.front_end"]),
        ("# [addresses] ", '[addresses]\nallow = ["10.0.0.0/8", "10.1"]\n# ', ["addresses.allow[1]"]),
        ("# [addresses] ", '[addresses]\nallow = ["10.0.0.0/8"]\n# ', ["source[0].engine[0].address"]),
        ("# [tiers] ", "[tiers]\nlack = 0.9\n# ", ["tiers.full"]),
        ("# [membership]\n", "[membership]\nhold_s = 900\n", ["membership.hold_most_s"]),
        (
            "# [[resolver]]",
            '[[resolver]]\nservers = ["here", "127.0.0.1:53"]\nlookup_ms = 20\n# ',
            ["resolver[0].servers[0]", "resolver[0].lookup_ms"],
        ),
        ("sockets = 1024", "sockets = 8\nspeed = 2", ["limits.sockets", "limits.speed"]),
        ('name = "billing"', "name = ", ["file"]),
        ("worth = 8.0", "worth = true", ["class[1].worth"]),
        ('address = "127.0.0.1:14331"', 'address = "localhost:1"', ["source[0].engine[0].address"]),
    ],
)
def test_check_reports_every_fault_by_its_field(tmp_path, capsys, old, new, faults):
    assert old in VALID_FILE
    path = tmp_path / "a.toml"
    path.write_text(VALID_FILE.replace(old, new, 1))
    assert main(["check", str(path)]) == 1
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(": ")[1] for line in lines] == faults


LEGACY_FILE = re.sub(
    r"# Sources of the list of engines.*?(?=# Limits that protect engines)", "", VALID_FILE, flags=re.S
)


@pytest.mark.parametrize(
    "more, found",
    [
        ('source = "dns-sd"\nresolver = "[::1]:53"\nservice = "_tds._tcp.x.local"', ("dns-sd", "default", 0)),
        ('source = "list"\nengine = [{name = "e", address = "127.0.0.1:1"}]', ("list", "", 1)),
    ],
)
def test_the_older_form_with_one_source_is_still_accepted(more, found):
    app, faults = application.read(LEGACY_FILE.replace("[engines]\n", f"[engines]\n{more}\n"))
    assert not faults
    [source] = app.sources.sources
    assert (source.type, source.resolver, len(source.engines)) == found
    assert [r.servers for r in app.sources.resolvers] == ([(("::1", 53),)] if found[1] else [])


def test_the_template_with_all_fields_uncommented_is_valid():
    text = re.sub(r"^# (?=\[|[a-z_]+ = )", "", VALID_FILE, flags=re.M)
    app, faults = application.read(text.replace('allow = ["10.0.0.0/8"', 'allow = ["127.0.0.0/8"'))
    assert not faults and app.sources.summary == "list, srv" and app.sources.allow


PLATFORM_SETTINGS = {
    "classes": [
        {"name": "lookup", "effect": "repeatable", "on_time_ns": 10**9, "give_up_ns": 5 * 10**9, "new": 1}
    ],
    "kinds": ["k"],
    "areas": ["z"],
    "unknown": {"x": 1},
    "tenants": [],
}
NODE_CONFIGURATION = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": "1f",
    "limits": {"sockets": 256},
    "bulletin": "127.0.0.1:9",
    "known": {"no": 0, "items": []},
    "settings": PLATFORM_SETTINGS,
    "more": 1,
}


def start_program(tmp_path, config, *arguments):
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "aspenrill", *arguments],
        stderr=subprocess.PIPE,
        text=True,
        env={"NODE_CONFIG": str(path), "PATH": ""},
    )


@pytest.mark.parametrize(
    "override, expected_text",
    [
        ({"listen": "nowhere"}, "listen"),
        ({"bulletin": 5}, "bulletin"),
        ({"settings": None}, "settings"),
        ({"settings": {**PLATFORM_SETTINGS, "classes": [{"name": "a"}]}}, "effect"),
        ({"known": {"no": 0}}, "known.items"),
        ({"known": {"no": 1, "items": [{}]}}, "known.items[0]"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 1}}, "limits.sockets"),
        ("{", "NODE_CONFIG"),
        ({"limits": {"memory_mb": "much"}}, "limits.memory_mb"),
        (
            {
                "limits": {"memory_mb": 32},
                "known": {
                    "no": 1,
                    "items": [
                        {
                            "no": 1,
                            "roster": {
                                "whole": True,
                                "hosts": [
                                    {
                                        "host": f"s-{i:08x}",
                                        "dial": "127.0.0.1:80",
                                        "site": "z",
                                        "class": "k",
                                        "health": "in_service",
                                    }
                                    for i in range(2049)
                                ],
                            },
                        }
                    ],
                },
            },
            "a list of 2049 engines, limits.memory_mb 32 takes 2048",
        ),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, override, expected_text):
    child = start_program(tmp_path, override if isinstance(override, str) else NODE_CONFIGURATION | override)
    err = child.communicate(timeout=20)[1]
    assert child.returncode == 2 and err.count("\n") == 1 and expected_text in err


def port_of(pid: int) -> int:
    """Wait until a process listens, and return the port from /proc/net/tcp."""
    import os

    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            fds = [os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")]
        except OSError:
            fds = []
        for line in open("/proc/net/tcp").read().splitlines()[1:]:
            fields = line.split()
            if fields[3] == "0A" and f"socket:[{fields[9]}]" in fds:
                return int(fields[1].split(":")[1], 16)
        time.sleep(0.05)
    raise AssertionError("the process does not listen")


def receive(sock: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        chunk = sock.recv(count - len(data))
        assert chunk, "closed"
        data += chunk
    return data


def test_the_program_serves_thrift_and_ends_after_sigterm(tmp_path):
    # without engines, requests are still answered, also after SIGTERM, and the process exits with 0
    child = start_program(tmp_path, NODE_CONFIGURATION)
    port = port_of(child.pid)

    def call(sock, seqid: int, name: str, body: bytes):
        sock.sendall(thrift.frame(thrift.CALL, name, seqid, body))
        return thrift.read_message(receive(sock, int.from_bytes(receive(sock, 4), "big")))

    body = thrift.field(
        thrift.MAP, 1, thrift.text_map({"kind": "lookup", "req": "0" * 16, "timeout": "900", "owner": "x"})
    ) + thrift.field(thrift.STRING, 2, thrift.binary(b"select 1"))
    with socket.create_connection(("127.0.0.1", port), 10) as sock:
        sock.settimeout(10)
        assert call(sock, 1, "isWell", b"").args[0][3] is True
        assert 1 in call(sock, 2, "serve", body).args
        child.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        assert call(sock, 3, "isWell", b"").args[0][3] is False
        assert 1 in call(sock, 4, "serve", body).args
    assert child.wait(10) == 0 and "Traceback" not in child.stderr.read()


def accept_bulletin_client(listener: socket.socket) -> tuple[socket.socket, bytes]:
    """Accept the connection of a front end to a bulletin, and read its first 8 bytes."""
    listener.settimeout(10)
    conn = listener.accept()[0]
    conn.settimeout(10)
    return conn, receive(conn, 8)


def test_sighup_reloads_the_file_and_an_invalid_one_changes_nothing(tmp_path):
    # the default action of SIGHUP would end the program and lose its requests
    old, new = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
    document = NODE_CONFIGURATION | {
        "bulletin": f"127.0.0.1:{old.getsockname()[1]}",
        "known": {"no": 7, "items": []},
    }
    child = start_program(tmp_path, document)
    conn, number = accept_bulletin_client(old)
    assert int.from_bytes(number, "big") == 7
    path = tmp_path / "config.json"
    new_text = json.dumps(document | {"bulletin": f"127.0.0.1:{new.getsockname()[1]}"})
    path.write_text(new_text[: len(new_text) // 2])
    child.send_signal(signal.SIGHUP)
    line = child.stderr.readline()
    assert "old one stays" in line and "NODE_CONFIG" in line and child.poll() is None
    path.write_text(new_text)
    child.send_signal(signal.SIGHUP)
    assert int.from_bytes(accept_bulletin_client(new)[1], "big") == 7
    assert conn.recv(1) == b""  # the connection to the old bulletin is closed
    child.send_signal(signal.SIGTERM)
    assert child.wait(10) == 0 and "Traceback" not in child.stderr.read()


def wait_for_log_line(child, text: str) -> str:
    """The next log line that contains the text. Others, as of closed connections, are skipped."""
    line = child.stderr.readline()
    while text not in line:
        assert line, f"its log ended without {text!r}"
        line = child.stderr.readline()
    return line


def test_sighup_gives_a_sidecar_new_logins_and_keeps_its_port(tmp_path):
    path = tmp_path / "billing.toml"
    valid_text = VALID_FILE.replace('user = "*"', 'user = "other"')
    path.write_text(valid_text)
    child = start_program(tmp_path, NODE_CONFIGURATION, str(path))
    port = port_of(child.pid)

    def login_reply(user: str) -> int:
        with socket.create_connection(("127.0.0.1", port), 10) as sock:
            sock.settimeout(10)
            sock.sendall(tds.packets(tds.LOGIN7, tds.login7(tds.Login(user, "settle"))))
            return receive(sock, tds.parse_packet_header(receive(sock, 8))[2])[0]

    assert (login_reply("clerk"), login_reply("newcomer")) == (tds.LOGINACK, tds.ERROR)
    path.write_text("[")
    child.send_signal(signal.SIGHUP)
    assert wait_for_log_line(child, "old one stays")
    path.write_text(valid_text.replace('user = "clerk"', 'user = "newcomer"'))
    child.send_signal(signal.SIGHUP)
    assert wait_for_log_line(child, "read again")
    assert (login_reply("clerk"), login_reply("newcomer")) == (tds.ERROR, tds.LOGINACK)
    child.send_signal(signal.SIGTERM)
    assert child.wait(10) == 0 and "Traceback" not in child.stderr.read()


def test_the_program_serves_an_application_over_tds(tmp_path):
    path = tmp_path / "billing.toml"
    path.write_text(VALID_FILE)
    child = start_program(tmp_path, NODE_CONFIGURATION, str(path))
    port = port_of(child.pid)
    with socket.create_connection(("127.0.0.1", port), 10) as sock:
        sock.settimeout(10)

        def call(kind: int, body: bytes) -> bytes:
            sock.sendall(tds.packets(kind, body))
            return receive(sock, tds.parse_packet_header(receive(sock, 8))[2])

        tds.read_prelogin(call(tds.PRELOGIN, tds.prelogin()))
        assert call(tds.LOGIN7, tds.login7(tds.Login("clerk", "settle")))[0] == tds.LOGINACK
        reader = tds_tokens.TokenReader(4096)
        reader.feed(call(tds.SQL_BATCH, tds.sql_batch("select 1")))  # there is no engine
        assert reader.answer.error[0] in (50001, 50002)
        sock.sendall(struct.pack(">BBHHBB", 1, 1, 2, 0, 0, 0))
    child.send_signal(signal.SIGTERM)
    assert child.wait(10) == 0 and "Traceback" not in child.stderr.read()


def test_a_platform_node_serves_tds_if_its_file_enables_it(tmp_path):
    # TDS clients are served by HTTP engines: rows of text are converted to TDS rows
    log_lines = []
    hub = Hub(log_lines.append)
    engine = HttpEngine(hub, "s-00000001")
    host = {
        "host": engine.name,
        "dial": f"127.0.0.1:{engine.listener.address[1]}",
        "site": "z",
        "class": "k",
        "health": "in_service",
    }
    initial_lists = {"no": 1, "items": [{"no": 1, "roster": {"whole": True, "hosts": [host]}}]}
    config, front = tmp_path / "config.json", tmp_path / "tds.toml"
    config.write_text(json.dumps(NODE_CONFIGURATION | {"known": initial_lists}))
    text = (
        'name = "n"\nenabled = %s\nlisten = "127.0.0.1:0"\n[[login]]\nuser = "*"\nclass = "lookup"\n'
        "timeout_ms = 5000\n"
    )
    front.write_text(text % "false")
    assert len(platform(hub, {"NODE_CONFIG": str(config)}, front).fronts) == 1
    front.write_text(text % "true")
    node = platform(hub, {"NODE_CONFIG": str(config)}, front)
    replies = []

    def scenario():
        world = SimpleNamespace(hub=hub, address=node.fronts[1][1].address)
        replies.append(TdsClient(world, "anyone", 5).request("select 1 from sales_1.x"))
        hub.stop()

    hub.spawn(scenario)
    hub.run()
    assert replies == [Reply("served", ROWS)], log_lines
    assert engine.statements == ["select 1 from sales_1.x"]
    front.write_text(text.replace("lookup", "nothing") % "true")
    with pytest.raises(ConfigError, match=r"login\[0\].class"):
        platform(hub, {"NODE_CONFIG": str(config)}, front)


def test_front_ends_is_limited_to_65536():
    # a former limit of 1,000 was too low for large trials
    for count, faults in ((1024, 0), (65536, 0), (0, 1), (65537, 1)):
        text = re.sub(r"(?m)^front_ends = .*$", f"front_ends = {count}", VALID_FILE)
        found, found_faults = application.read(text)
        assert len(found_faults) == faults and (faults or found.settings.gateways == count), (
            count,
            found_faults,
        )
