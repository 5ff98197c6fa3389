"""The log writer under a full pipe and disk errors, and events exempt from the rate limit."""

from __future__ import annotations

import fcntl
import os

from aspenrill.net.eventlog import MAX_PER_SECOND, EventLog
from aspenrill.net.logwriter import MAX_BUFFERED, LogWriter

PIPE_SIZE = 4096  # bytes


def read_pipe(reader: int) -> bytes:
    """Reads what the pipe holds."""
    try:
        return os.read(reader, PIPE_SIZE)
    except BlockingIOError:
        return b""


def test_lines_for_a_full_pipe_are_buffered_up_to_a_limit_and_then_counted():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_SIZE)
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    log, count = LogWriter(writer, lambda: "T"), 1200
    for number in range(count):
        log(f"{number:05d} " + "x" * 93)  # over 100 bytes with the timestamp
    read = b""
    while part := read_pipe(reader):
        read += part
        log.flush()
    log("the last")
    read += read_pipe(reader)
    os.close(reader)
    os.close(writer)
    lines = read.decode().splitlines()
    numbers = [int(line.split()[1]) for line in lines[:-2]]
    assert numbers == list(range(len(numbers))) and len(numbers) > MAX_BUFFERED // 110
    assert lines[-2:] == [f"T log_lines_lost count={count - len(numbers)}", "T the last"]


def test_a_disk_error_loses_no_line_and_does_not_raise(monkeypatch):
    reader, writer = os.pipe()
    log = LogWriter(writer, lambda: "T")
    with monkeypatch.context() as failing:
        failing.setattr(os, "write", lambda *_: (_ for _ in ()).throw(OSError(28, "ENOSPC")))
        log("one")
    log("two")
    assert os.read(reader, PIPE_SIZE) == b"T one\nT two\n"
    os.close(reader)
    os.close(writer)


def test_always_bypasses_the_rate_limit():
    lines: list[str] = []
    events = EventLog(lines.append, lambda: 0.0)
    for number in range(2 * MAX_PER_SECOND):
        events.event("closed", number=number)
    events.always("closed", number="owing")
    assert len(lines) == MAX_PER_SECOND + 1 and lines[-1] == "closed number=owing"
