"""The bench's wire only: parse, translate to the interface's words, encode, loop."""

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
    "410": api.Outcome.MOOT,
}
STATES = {"live": api.EngineState.LIVE, "quiescing": api.EngineState.DRAINING, "dead": api.EngineState.GONE}
MODES = {
    "changes": api.ListMode.CHANGES,
    "all": api.ListMode.COMPLETE,
    "remembered": api.ListMode.REMEMBERED,
    "refused": api.ListMode.REFUSED,
}
RETRY_BIT = 2
COST_BIT = 1
# messages with the number of their values; the last one of BORN is text to the line's end
WIDTHS = {
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
    """A line that cannot be read; the text says which and what was expected."""


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


def _either(text: str, what: str, read: Callable[[str, str], Any], absent: Any) -> Any:
    return absent if text == "-" else read(text, what)


def _seconds(text: str, what: str) -> float:
    return _integer(text, what) / NS


def _bool(text: str, what: str) -> bool:
    if text not in ("0", "1", "-"):
        raise WireError(f"{what}: expected 0 or 1, got {text!r}")
    return text == "1"


def _word(text: str, what: str, table: dict[str, Any]) -> Any:
    if text not in table:
        raise WireError(f"{what}: expected one of {', '.join(table)}, got {text!r}")
    return table[text]


def _report(text: str, what: str) -> tuple[float, ...] | None:
    if text in ("-", ""):
        return None
    return tuple(_number(part, what) for part in text.split(","))


def encode(action: api.Action) -> str:
    """One action as a line of the wire."""
    match action:
        case api.Send(request, engine, timeout, _):
            return f"TRANSMIT\t{request}\t{round(timeout * NS)}\t{engine}"
        case api.SetTerms(request, memory, priority):
            return f"EQUIP\t{request}\t{memory:.6g}\t{priority}"
        case api.Refuse(request, come_back):
            return f"REJECT\t{request}\t{round(come_back * NS)}"
        case api.Fail(request):
            return f"GIVE_UP\t{request}"
        case api.Cancel(request, attempt):
            return f"DROP_ATTEMPT\t{request}\t{attempt}"
        case api.Probe(engine):
            return f"TOUCH\t{engine}"
        case api.Tell(data):
            return f"WRITE_PEER\t-1\t{data.hex()}"
        case api.WatchList():
            return "TAIL\t1"
        case api.SetTimer(delay, name):
            return f"REMIND\t{max(0, round(delay * NS))}\t{name}"
        case api.Log(text):
            return f"RECORD\t{text}"
    raise TypeError(f"no such action: {action!r}")


class Link:
    """Reads batches, keeps one Gateway an instance and a numbered list for each census."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.lists: dict[int, tuple[api.EngineEntry, ...]] = {}

    def split(self, line: str) -> tuple[str, list[str]]:
        """Name and values of a line, their number checked."""
        name, *values = line.rstrip("\n").split("\t")
        if name not in WIDTHS:
            raise WireError(f"expected a message of the wire, got {name!r}")
        if name in ("BORN", "DEADLINE_HIT") and len(values) > WIDTHS[name]:
            keep = WIDTHS[name] - 1
            values = values[:keep] + ["\t".join(values[keep:])]
        if len(values) != WIDTHS[name]:
            raise WireError(f"{name}: expected {WIDTHS[name]} values, got {len(values)}")
        return name, values

    def event(self, name: str, v: list[str]) -> api.Event:
        """One indication in the interface's words."""
        if name == "HEARD":
            try:
                data = bytes.fromhex("" if v[1] == "-" else v[1])
            except ValueError:
                raise WireError(f"HEARD data: expected hex digits, got {v[1]!r}") from None
            return api.PeerMessage(_integer(v[0], "HEARD neighbour"), data)
        if name == "UPDATE":
            mode = _word(v[2], "UPDATE mode", MODES)
            if mode is api.ListMode.REFUSED:
                return api.ListUpdate(mode)
            ref = _integer(v[0], "UPDATE ref")
            if ref not in self.lists:
                raise WireError(f"UPDATE ref: expected the number of a CENSUS, got {ref}")
            return api.ListUpdate(mode, self.lists[ref])
        if name == "WORK_ITEM":
            flags = _either(v[5], "WORK_ITEM bitmap", _integer, 0)
            work = _either(v[7], "WORK_ITEM expected_ns", _seconds, None)
            return api.Request(
                request=v[0],
                tenant=_either(v[1], "WORK_ITEM project", _integer, 0),
                key=None if v[2] == "-" else v[2],
                patience=_seconds(v[3], "WORK_ITEM patience_left_ns"),
                memory_mb=_either(v[4], "WORK_ITEM ram_mb", _number, 0.0),
                cls=_integer(v[6], "WORK_ITEM kind"),
                work=work if flags & COST_BIT and work else None,
                data_set=_either(v[8], "WORK_ITEM tables", lambda t, w: int(_number(t, w)), None),
                client_retry=bool(flags & RETRY_BIT),
            )
        if name == "VERDICT":
            note = _either(v[6], "VERDICT stats", _integer, 0)
            return api.AttemptEnded(
                request=v[0],
                attempt=_integer(v[1], "VERDICT n"),
                engine=v[2],
                outcome=_word(v[3], "VERDICT status", OUTCOMES),
                latency=_seconds(v[4], "VERDICT lag_ns"),
                closed=_bool(v[5], "VERDICT closed"),
                work=(note >> 12) / 1000 if note else None,
                memory_mb=(note & 4095) * 4.0 if note else None,
                report=_report(v[7], "VERDICT pressure"),
            )
        if name == "NOTE":
            kinds = {str(k.value): k for k in api.NoteKind}
            return api.AttemptNote(
                v[0],
                _integer(v[1], "NOTE n"),
                v[2],
                _word(v[3], "NOTE kind", kinds),
                _number(v[4], "NOTE amount"),
            )
        if name == "GONE":
            return api.ClientGone(v[0])
        if name == "STARTED":
            _integer(v[1], "STARTED lag_ns")
            return api.StreamStarted(v[0], _integer(v[3], "STARTED n"), v[2])
        if name == "STATUS_BACK":
            return api.ProbeEnded(
                v[0],
                _word(v[1], "STATUS_BACK status", OUTCOMES),
                _seconds(v[2], "STATUS_BACK lag_ns"),
                _report(v[3], "STATUS_BACK pressure"),
            )
        if name == "DEADLINE_HIT":
            return api.TimerDue(v[0])
        raise WireError(f"{name}: not expected here")

    def batch(self, lines: list[str]) -> list[str]:
        """The reply to one batch (MARK first, without OVER_TO_YOU)."""
        name, v = self.split(lines[0])
        if name != "MARK":
            raise WireError(f"expected MARK at the head of a batch, got {name!r}")
        now, number = _seconds(v[0], "MARK clock"), _integer(v[1], "MARK batch number")
        reply: list[str] = []
        here, spoken, at = "", None, 1
        while at < len(lines):
            try:
                name, v = self.split(lines[at])
                at += 1
                if name == "CENSUS":
                    ref, count = _integer(v[0], "CENSUS ref"), _integer(v[1], "CENSUS items")
                    rows = [self.split(row) for row in lines[at : at + count]]
                    if len(rows) != count or any(row[0] != "M" for row in rows):
                        raise WireError(f"CENSUS: expected {count} M lines after it")
                    self.lists[ref] = tuple(self._entry(row[1]) for row in rows)
                    at += count
                    continue
                if name == "ABOUT":
                    here = v[0]
                    continue
                if not here:
                    raise WireError(f"{name}: expected an ABOUT line before it")
                if name == "BORN":
                    try:
                        settings = settings_from(json.loads(v[1]))
                    except (ValueError, KeyError, TypeError, AttributeError) as why:
                        raise WireError(f"BORN info: expected a usable settings object: {why!r}") from None
                    self.gateways[here] = Gateway(settings, _integer(v[0], "BORN rng_seed"), now)
                    continue
                if name == "HALT":
                    self.gateways.pop(here, None)
                    continue
                gateway = self.gateways.get(here)
                if gateway is None:
                    raise WireError(f"{name}: expected BORN for {here} first")
                event = self.event(name, v)
            except WireError as why:
                raise WireError(f"{why} (line {lines[min(at, len(lines)) - 1].rstrip()!r})") from None
            try:
                actions = gateway.handle(now, event)
            except Exception as why:  # the wire has a message for a broken module
                traceback.print_exc(file=sys.stderr)
                reply += [f"BY\t{here}", f"DIE\t{type(why).__name__}: {why}".replace("\n", " ")]
                break
            if actions and spoken != here:
                reply.append(f"BY\t{here}")
                spoken = here
            reply += [encode(a) for a in actions]
        return reply + [f"ACK\t{number}"]

    def _entry(self, v: list[str]) -> api.EngineEntry:
        return api.EngineEntry(
            engine=v[6],
            state=_word(v[0], "M readiness", STATES),
            zone=_either(v[1], "M zone", _integer, 0),
            started=_either(v[2], "M ready_at_ns", _seconds, 0.0),
            kind=_either(v[4], "M kind", _integer, 0),
            cell=_either(v[5], "M pack", _integer, 0),
        )


def serve(stdin: TextIO, stdout: TextIO, stderr: TextIO) -> int:
    """Answer batches until end of input; 0 on a clean end, 2 on a line that cannot be read."""
    link, lines = Link(), []
    for line in stdin:
        if line.rstrip("\n") != "OVER_TO_YOU":
            lines.append(line)
            continue
        try:
            if not lines:
                raise WireError("expected MARK before OVER_TO_YOU")
            reply = link.batch(lines)
        except WireError as why:
            stderr.write(f"adapter: {why}\n")
            return 2
        stdout.write("\n".join(reply) + "\n")
        stdout.flush()
        lines = []
    if lines:
        stderr.write("adapter: expected OVER_TO_YOU before the end of input\n")
        return 2
    return 0


def main() -> int:
    """Run on standard input and output."""
    stdin = open(0, encoding="utf-8", newline="\n", closefd=False)
    stdout = open(1, "w", encoding="utf-8", newline="\n", closefd=False)
    return serve(stdin, stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
