"""A client cancels its batch halfway through the answer: the next client's answer must have all rows."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.record import REPOSITORY, Case, NotRun, free_port, play
from lib2.tds import TdsClient, TdsEngine

QUERY = "select bag from scans_7.bags"
LIMITED = f"set rowcount 2 {QUERY} set rowcount 0"  # a clerk's tool shows two rows, and sets its option back
ROWS = 6
CANCEL_AFTER = 0.3  # seconds; the first row has come, the others have not


def text_of(port: int, engine: TdsEngine) -> str:
    return f'''
name = "billing"
enabled = true
listen = "127.0.0.1:{port}"

[[class]]
name = "lookup"
wanted_ms = 1000
give_up_ms = 5000
effect = "repeatable"

[[class]]
name = "booking"
wanted_ms = 3000
give_up_ms = 25000
effect = "once"

[[tenant]]
name = "main"
per_s = 100.0

[[login]]
user = "scanner"
class = "booking"
tenant = "main"
timeout_ms = 25000

[[login]]
user = "*"
class = "lookup"
tenant = "main"
timeout_ms = 5000

[engines]
[[engines.kind]]
name = "eight-core"
cores = 8

[[source]]
name = "file"
type = "list"
[[source.engine]]
name = "{engine.name}"
address = "127.0.0.1:{engine.port}"

'''


def scene(case: Case) -> list[str]:
    engine, port = TdsEngine("engine-1", case.record, ROWS), free_port()
    file = case.temporary / "billing.toml"
    file.write_text(text_of(port, engine))
    run = tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text())["run"] + f" {file}"
    with open(case.log_path("billing"), "ab") as log:
        case.processes["billing"] = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=REPOSITORY, env=os.environ, stdout=log, stderr=log
        )
    clients: dict[str, TdsClient] = {}

    def connects() -> bool:
        case.check_alive()
        try:
            for user in ("clerk", "planner"):
                clients[user] = TdsClient(("127.0.0.1", port), user)
        except OSError:
            return False
        return True

    case.until(connects, 30, "the sidecar is ready")

    def look_up(user: str) -> int:
        served, count = clients[user].request(QUERY)
        case.record(f"{user}: {QUERY!r} is {'served' if served else 'not served'} with {count} rows")
        if not served:
            raise NotRun("a look-up was not served")
        return count

    breaks = []
    for _ in range(5):
        served, count = clients["clerk"].request(LIMITED, CANCEL_AFTER if case.trouble else 0.0)
        case.record(f"clerk: {LIMITED!r} is {f'served with {count} rows' if served else 'cancelled'}")
        if served == case.trouble:
            raise NotRun("the clerk's batch did not end as it was to")
        for _ in range(3):
            if (found := look_up("planner")) != ROWS:
                breaks.append(f"the planner's {QUERY!r} was served with {found} of {ROWS} rows")
        time.sleep(0.2)
    return breaks


play(__file__, scene)
