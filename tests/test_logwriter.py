"""Log lines: their time, a reader that stands still, and what is never left out."""

from __future__ import annotations

import fcntl
import os

from aspenrill.net.eventlog import MOST_PER_SECOND, EventLog
from aspenrill.net.logwriter import MOST_HELD, LogWriter

PIPE = 4096  # bytes


def taken(reader: int) -> bytes:
    """What lies in the pipe."""
    try:
        return os.read(reader, PIPE)
    except BlockingIOError:
        return b""


def test_lines_that_a_pipe_does_not_take_are_held_and_those_beyond_counted():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE)
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    log, count = LogWriter(writer, lambda: "T"), 1200
    for number in range(count):
        log(f"{number:05d} " + "x" * 93)  # 100 bytes and more with its time
    read = b""
    while part := taken(reader):
        read += part
        log.flush()
    log("the last")
    read += taken(reader)
    os.close(reader)
    os.close(writer)
    lines = read.decode().splitlines()
    numbers = [int(line.split()[1]) for line in lines[:-2]]
    assert numbers == list(range(len(numbers))) and len(numbers) > MOST_HELD // 110
    assert lines[-2:] == [f"T log_lines_lost count={count - len(numbers)}", "T the last"]


def test_an_error_of_the_disk_costs_no_line_and_no_program(monkeypatch):
    reader, writer = os.pipe()
    log = LogWriter(writer, lambda: "T")
    with monkeypatch.context() as failing:
        failing.setattr(os, "write", lambda *_: (_ for _ in ()).throw(OSError(28, "ENOSPC")))
        log("one")
    log("two")
    assert os.read(reader, PIPE) == b"T one\nT two\n"
    os.close(reader)
    os.close(writer)


def test_what_must_not_be_missed_is_written_in_a_flood_of_its_name():
    lines: list[str] = []
    events = EventLog(lines.append, lambda: 0.0)
    for number in range(2 * MOST_PER_SECOND):
        events.event("closed", number=number)
    events.always("closed", number="owing")
    assert len(lines) == MOST_PER_SECOND + 1 and lines[-1] == "closed number=owing"
