"""Adapter for the simulator: reads its line protocol, translates to aspenrill/api.py, writes the replies."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from . import api
from .control import Gateway
from .settings import settings_from

NS = 1_000_000_000
OUTCOMES = {
    "200": api.Outcome.OK,
    "500": api.Outcome.ERROR,
    "503": api.Outcome.FULL,
    "504": api.Outcome.TIMEOUT,
    "502": api.Outcome.CONNECT_FAILED,
    "598": api.Outcome.RESET,
    "499": api.Outcome.CANCELLED,
    "410": api.Outcome.NOT_STARTED,
}
STATES = {"live": api.EngineState.LIVE, "quiescing": api.EngineState.DRAINING, "dead": api.EngineState.GONE}
MODES = {
    "changes": api.ListMode.CHANGES,
    "all": api.ListMode.COMPLETE,
    "remembered": api.ListMode.REMEMBERED,
    "refused": api.ListMode.REFUSED,
}
# Flags of WORK_ITEM: the client repeats a request; the expected work is known.
RETRY_BIT = 2
COST_BIT = 1
# Number of values of each message. The last value of BORN and DEADLINE_HIT may contain tabs.
VALUE_COUNTS = {
    "MARK": 2,
    "OVER_TO_YOU": 0,
    "ABOUT": 1,
    "BORN": 2,
    "CENSUS": 2,
    "UPDATE": 3,
    "WORK_ITEM": 9,
    "DEADLINE_HIT": 1,
    "NOTE": 5,
    "GONE": 1,
    "VERDICT": 8,
    "HEARD": 2,
    "STARTED": 4,
    "STATUS_BACK": 4,
    "HALT": 0,
    "M": 7,
}


class WireError(Exception):
    """A malformed line. The text names the line and what was expected."""


def _number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{what}: expected a number, got {text!r}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"{what}: expected a finite number, got {text!r}")
    return value


def _integer(text: str, what: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise WireError(f"{what}: expected a whole number, got {text!r}") from None


def _optional(text: str, what: str, read: Callable[[str, str], Any], default: Any) -> Any:
    return default if text == "-" else read(text, what)


def _seconds(text: str, what: str) -> float:
    return _integer(text, what) / NS


def _bool(text: str, what: str) -> bool:
    if text not in ("0", "1", "-"):
        raise WireError(f"{what}: expected 0 or 1, got {text!r}")
    return text == "1"


def _choice(text: str, what: str, table: dict[str, Any]) -> Any:
    if text not in table:
        raise WireError(f"{what}: expected one of {', '.join(table)}, got {text!r}")
    return table[text]


def _report(text: str, what: str) -> tuple[float, ...] | None:
    if text in ("-", ""):
        return None
    return tuple(_number(value, what) for value in text.split(","))


def encode(action: api.Action) -> str:
    """Encode one action as a line."""
    match action:
        case api.Send(request, engine, timeout, _):
            return f"TRANSMIT\t{request}\t{round(timeout * NS)}\t{engine}"
        case api.SetTerms(request, memory, priority):
            return f"EQUIP\t{request}\t{memory:.6g}\t{priority}"
        case api.Refuse(request, retry_after):
            return f"REJECT\t{request}\t{round(retry_after * NS)}"
        case api.Fail(request):
            return f"GIVE_UP\t{request}"
        case api.Cancel(request, attempt):
            return f"DROP_ATTEMPT\t{request}\t{attempt}"
        case api.Probe(engine):
            return f"TOUCH\t{engine}"
        case api.SendGossip(data):
            return f"WRITE_PEER\t-1\t{data.hex()}"
        case api.WatchList():
            return "TAIL\t1"
        case api.SetTimer(delay, name):
            return f"REMIND\t{max(0, round(delay * NS))}\t{name}"
        case api.Log(text):
            return f"RECORD\t{text}"
    raise TypeError(f"no such action: {action!r}")


class BatchProcessor:
    """Processes batches. Keeps a Gateway for each instance and the engine list of each CENSUS by number."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.lists: dict[int, tuple[api.EngineEntry, ...]] = {}

    def split(self, line: str) -> tuple[str, list[str]]:
        """Split a line into its name and values and check the number of values."""
        name, *values = line.rstrip("\n").split("\t")
        if name not in VALUE_COUNTS:
            raise WireError(f"expected a message of the wire, got {name!r}")
        if name in ("BORN", "DEADLINE_HIT") and len(values) > VALUE_COUNTS[name]:
            kept = VALUE_COUNTS[name] - 1
            values = values[:kept] + ["\t".join(values[kept:])]
        if len(values) != VALUE_COUNTS[name]:
            raise WireError(f"{name}: expected {VALUE_COUNTS[name]} values, got {len(values)}")
        return name, values

    def event(self, name: str, values: list[str]) -> api.Event:
        """Translate one message to an event."""
        if name == "HEARD":
            try:
                data = bytes.fromhex("" if values[1] == "-" else values[1])
            except ValueError:
                raise WireError(f"HEARD data: expected hex digits, got {values[1]!r}") from None
            return api.PeerMessage(_integer(values[0], "HEARD neighbour"), data)
        if name == "UPDATE":
            mode = _choice(values[2], "UPDATE mode", MODES)
            if mode is api.ListMode.REFUSED:
                return api.ListUpdate(mode)
            ref = _integer(values[0], "UPDATE ref")
            if ref not in self.lists:
                raise WireError(f"UPDATE ref: expected the number of a CENSUS, got {ref}")
            return api.ListUpdate(mode, self.lists[ref])
        if name == "WORK_ITEM":
            flags = _optional(values[5], "WORK_ITEM bitmap", _integer, 0)
            work = _optional(values[7], "WORK_ITEM expected_ns", _seconds, None)
            return api.Request(
                request=values[0],
                tenant=_optional(values[1], "WORK_ITEM project", _integer, 0),
                key=None if values[2] == "-" else values[2],
                time_budget=_seconds(values[3], "WORK_ITEM patience_left_ns"),
                memory_mb=_optional(values[4], "WORK_ITEM ram_mb", _number, 0.0),
                cls=_integer(values[6], "WORK_ITEM kind"),
                work=work if flags & COST_BIT and work else None,
                data_set=_optional(values[8], "WORK_ITEM tables", lambda t, w: int(_number(t, w)), None),
                client_retry=bool(flags & RETRY_BIT),
            )
        if name == "VERDICT":
            note = _optional(values[6], "VERDICT stats", _integer, 0)
            return api.AttemptEnded(
                request=values[0],
                attempt=_integer(values[1], "VERDICT n"),
                engine=values[2],
                outcome=_choice(values[3], "VERDICT status", OUTCOMES),
                latency=_seconds(values[4], "VERDICT lag_ns"),
                closed=_bool(values[5], "VERDICT closed"),
                work=(note >> 12) / 1000 if note else None,
                memory_mb=(note & 4095) * 4.0 if note else None,
                report=_report(values[7], "VERDICT pressure"),
            )
        if name == "NOTE":
            kinds = {str(k.value): k for k in api.NoteKind}
            return api.AttemptNote(
                values[0],
                _integer(values[1], "NOTE n"),
                values[2],
                _choice(values[3], "NOTE kind", kinds),
                _number(values[4], "NOTE amount"),
            )
        if name == "GONE":
            return api.ClientGone(values[0])
        if name == "STARTED":
            _integer(values[1], "STARTED lag_ns")
            return api.StreamStarted(values[0], _integer(values[3], "STARTED n"), values[2])
        if name == "STATUS_BACK":
            return api.ProbeEnded(
                values[0],
                _choice(values[1], "STATUS_BACK status", OUTCOMES),
                _seconds(values[2], "STATUS_BACK lag_ns"),
                _report(values[3], "STATUS_BACK pressure"),
            )
        if name == "DEADLINE_HIT":
            return api.TimerDue(values[0])
        raise WireError(f"{name}: not expected here")

    def process(self, lines: list[str]) -> list[str]:
        """Process one batch, from its MARK up to OVER_TO_YOU, and return the lines of the reply."""
        name, values = self.split(lines[0])
        if name != "MARK":
            raise WireError(f"expected MARK at the head of a batch, got {name!r}")
        now, number = _seconds(values[0], "MARK clock"), _integer(values[1], "MARK batch number")
        reply: list[str] = []
        instance, last_instance, position = "", None, 1
        while position < len(lines):
            try:
                name, values = self.split(lines[position])
                position += 1
                if name == "CENSUS":
                    ref, count = _integer(values[0], "CENSUS ref"), _integer(values[1], "CENSUS items")
                    rows = [self.split(row) for row in lines[position : position + count]]
                    if len(rows) != count or any(row[0] != "M" for row in rows):
                        raise WireError(f"CENSUS: expected {count} M lines after it")
                    self.lists[ref] = tuple(self._entry(row[1]) for row in rows)
                    position += count
                    continue
                if name == "ABOUT":
                    instance = values[0]
                    continue
                if not instance:
                    raise WireError(f"{name}: expected an ABOUT line before it")
                if name == "BORN":
                    try:
                        settings = settings_from(json.loads(values[1]))
                    except (ValueError, KeyError, TypeError, AttributeError) as error:
                        raise WireError(f"BORN info: expected a usable settings object: {error!r}") from None
                    self.gateways[instance] = Gateway(settings, _integer(values[0], "BORN rng_seed"), now)
                    continue
                if name == "HALT":
                    self.gateways.pop(instance, None)
                    continue
                gateway = self.gateways.get(instance)
                if gateway is None:
                    raise WireError(f"{name}: expected BORN for {instance} first")
                event = self.event(name, values)
            except WireError as error:
                raise WireError(f"{error} (line {lines[min(position, len(lines)) - 1].rstrip()!r})") from None
            try:
                actions = gateway.handle(now, event)
            except Exception as error:  # the protocol reports an error of the module as DIE
                traceback.print_exc(file=sys.stderr)
                reply += [f"BY\t{instance}", f"DIE\t{type(error).__name__}: {error}".replace("\n", " ")]
                break
            if actions and last_instance != instance:
                reply.append(f"BY\t{instance}")
                last_instance = instance
            reply += [encode(a) for a in actions]
        return reply + [f"ACK\t{number}"]

    def _entry(self, values: list[str]) -> api.EngineEntry:
        return api.EngineEntry(
            engine=values[6],
            state=_choice(values[0], "M readiness", STATES),
            zone=_optional(values[1], "M zone", _integer, 0),
            started=_optional(values[2], "M ready_at_ns", _seconds, 0.0),
            kind=_optional(values[4], "M kind", _integer, 0),
            cell=_optional(values[5], "M pack", _integer, 0),
        )


def serve(stdin: TextIO, stdout: TextIO, stderr: TextIO) -> int:
    """Process batches until the end of input. Returns 0 at a clean end, 2 after a malformed line."""
    processor, lines = BatchProcessor(), []
    for line in stdin:
        if line.rstrip("\n") != "OVER_TO_YOU":
            lines.append(line)
            continue
        try:
            if not lines:
                raise WireError("expected MARK before OVER_TO_YOU")
            reply = processor.process(lines)
        except WireError as error:
            stderr.write(f"adapter: {error}\n")
            return 2
        stdout.write("\n".join(reply) + "\n")
        stdout.flush()
        lines = []
    if lines:
        stderr.write("adapter: expected OVER_TO_YOU before the end of input\n")
        return 2
    return 0


def main() -> int:
    """Run the adapter on standard input and output."""
    stdin = open(0, encoding="utf-8", newline="\n", closefd=False)
    stdout = open(1, "w", encoding="utf-8", newline="\n", closefd=False)
    return serve(stdin, stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
