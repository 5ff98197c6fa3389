"""The simulator's protocol: replies, clean ends, and one line of error for a malformed message."""

from __future__ import annotations

import io
import json

import pytest

from aspenrill.adapter import serve

INFO = {
    "classes": [{"effect": "repeatable", "on_time_ns": 10**9, "give_up_ns": 5 * 10**9, "new": 1}],
    "kinds": ["k"],
    "family_info": {"cores_by_kind": [8]},
    "unknown": {"x": 1},
    "group_size": 2,
}
START = (
    "MARK\t1000000000\t1\nABOUT\tgateway-0\nBORN\t7\t"
    + json.dumps(INFO)
    + "\nCENSUS\t0\t1\nM\tlive\t0\t-\t1\t0\t0\tengine.a\nUPDATE\t0\t1\tremembered\nOVER_TO_YOU\n"
)
ITEM = "WORK_ITEM\tr-1\t0\t-\t4000000000\t0\t0\t0\t-\t-\n"


def run(text: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    return serve(io.StringIO(text), out, err), out.getvalue(), err.getvalue()


def test_request_is_sent_and_unknown_keys_are_ignored():
    code, out, err = run(START + "MARK\t1000000001\t2\nABOUT\tgateway-0\n" + ITEM + "OVER_TO_YOU\n")
    assert code == 0 and not err
    assert "BY\tgateway-0\nTRANSMIT\tr-1\t0\tengine.a\nREMIND\t250000000\tlook\nACK\t2\n" in out


@pytest.mark.parametrize(
    "line, message",
    [
        ("NONSENSE\t1", "NONSENSE"),
        ("GONE", "expected 1 values"),
        (ITEM.replace("4000000000", "soon"), "soon"),
        ("UPDATE\t9\t1\tall", "CENSUS"),
        ("VERDICT\tr\t0\te\t777\t1\t0\t-\t-", "777"),
        ("CENSUS\t0\t3", "3 M lines"),
    ],
)
def test_malformed_message_gives_one_line_of_error(line, message):
    batch = "MARK\t1000000001\t2\nABOUT\tgateway-0\n" + line.rstrip() + "\nOVER_TO_YOU\n"
    code, out, err = run(START + batch)
    assert code != 0 and err.count("\n") == 1 and message in err and "ACK\t2" not in out


def test_exception_in_the_module_is_reported_as_die(capsys):
    bad = ITEM.replace("\t0\t0\t0\t-", "\t0\t0\t9\t-")
    code, out, _ = run(START + "MARK\t1000000001\t2\nABOUT\tgateway-0\n" + bad + "OVER_TO_YOU\n")
    assert code == 0 and "DIE\tIndexError" in out and "Traceback" in capsys.readouterr().err
