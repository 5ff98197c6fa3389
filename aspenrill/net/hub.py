"""The scheduler: tasks run on greenlets, and one loop over select.poll wakes them.

A task waits in `park` only, each wait with a timer of its own. A wake-up names the wait it is for, so that
one that comes late wakes nothing else.
"""

from __future__ import annotations

import select
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

from .eventlog import EventLog
from .timers import Timers

READ, WRITE = select.POLLIN, select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
SLICE = 256  # turns of tasks between two looks at descriptors and timers
BEAT = 0.02  # seconds between two looks at how far behind the program is
STALLED = 0.2  # seconds by which a task woke late that are told in the log: stopped, or without a core
SPARE = 256  # workers kept without a task
LATE = object()  # what a wait's timer brings
OVERSLEPT = 0.005  # seconds by which a look may last longer than asked
POLL_PAUSE = 0.005  # seconds after a look at descriptors for which the system had no memory


class TimedOut(Exception):
    """A wait ended without what it waited for."""


class Closed(Exception):
    """The connection is over, by the other side's doing or our own."""


class Task:
    """One line of work. `interrupt` ends its present or next wait with an exception."""

    __slots__ = ("hub", "name", "work", "args", "worker", "pending", "dead", "__weakref__")

    def __init__(self, hub: Hub, name: str, work: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.hub, self.name, self.work, self.args = hub, name, work, args
        self.worker: Worker | None = None
        self.pending: BaseException | None = None
        self.dead = False

    def interrupt(self, error: BaseException) -> None:
        """Raise `error` where the task waits, or where it waits next."""
        if self.dead:
            return
        if self.worker.wait:
            self.hub.wake(self.worker, self.worker.wait, error)
        else:
            self.pending = error


class Worker(greenlet):
    """Carries out tasks, one after another: a new stack for each would cost more than most tasks do."""

    def __init__(self, hub: Hub) -> None:
        super().__init__(self._run, hub.loop)
        self.hub = hub
        self.wait = 0  # number of the present wait; 0 while it runs
        self.task: Task | None = None

    def _run(self, _: Any) -> None:
        while self.task is not None:
            self._carry_out(self.task)
            self.task = None
            if len(self.hub.spare) >= SPARE:
                return
            self.hub.spare.append(self)
            self.hub.loop.switch()

    def _carry_out(self, task: Task) -> None:
        try:
            task.work(*task.args)
        except Exception:
            self.hub.report(f"task {task.name} ended", traceback.format_exc())
        finally:
            task.dead, task.work, task.args, task.worker, task.pending = True, None, (), None, None


class Hub:
    """Runs tasks until `stop`; `monotonic` seconds for every wait."""

    def __init__(self, log: Callable[[str], None] | None = None) -> None:
        self.timers = Timers(time.monotonic)
        self.log = log or (lambda text: print(text, file=sys.stderr, flush=True))
        self.events = EventLog(lambda text: self.log(text))
        self.loop = getcurrent()
        self._poll = select.poll()
        self._waits: dict[int, dict[int, tuple[Worker, int]]] = {READ: {}, WRITE: {}}  # by descriptor
        self._masks: dict[int, int] = {}  # what of each descriptor is registered
        self._ready: deque[tuple[Worker, Any]] = deque()
        self._later: list[tuple[Worker, Any]] = []  # ready again behind the next look at descriptors
        self._soon: list[Callable[[], None]] = []  # called before the next look at descriptors
        self._idle: dict[int, tuple[Callable[..., None], tuple[Any, ...]]] = {}  # descriptors nobody reads
        self.spare: list[Worker] = []  # without a task
        self._number = 0
        self._running = False
        self._looked_at = self.news_since = time.monotonic()  # see `_date_news`
        self._lag, self._beat_due = 0.0, time.monotonic() + BEAT
        self.spawn(self.beat, name="beat")

    def report(self, what: str, detail: str = "") -> None:
        """An error for the people on call: never lost, never fatal."""
        self.log(f"error: {what}" + (f"\n{detail.rstrip()}" if detail else ""))

    def spawn(self, work: Callable[..., Any], *args: Any, name: str = "") -> Task:
        """A new task, started in the next round."""
        task = Task(self, name or work.__qualname__, work, args)
        task.worker = worker = self.spare.pop() if self.spare else Worker(self)
        worker.task = task
        self._ready.append((worker, None))
        return task

    def soon(self, call: Callable[[], None]) -> None:
        """Call once what is ready has run, before the next look at descriptors; it must not wait."""
        self._soon.append(call)

    # ---- waits ----------------------------------------------------------------------------------------

    def begin_wait(self) -> int:
        """The number of the wait that the running task is about to begin."""
        worker = getcurrent()
        task = worker.task
        if task.pending is not None:
            error, task.pending = task.pending, None
            try:
                raise error
            finally:
                del error  # its traceback holds this frame: together they would stay until a collection
        self._number += 1
        worker.wait = self._number
        return self._number

    def park(self, timeout: float | None) -> Any:
        """Wait until woken; what the wake-up brought, or TimedOut."""
        if timeout is None:
            value = self.loop.switch()
        else:
            worker = getcurrent()
            timer = self.timers.after(timeout, self.wake, worker, worker.wait, LATE)
            value = self.loop.switch()
            timer.cancel()
        if value is None:
            return None
        if value is LATE:
            raise TimedOut
        if isinstance(value, BaseException):
            try:
                raise value
            finally:
                del value  # as above: with them would stay the connection, and all that its tasks hold
        return value

    def wake(self, worker: Worker, wait: int, value: Any = None) -> bool:
        """End that wait, unless it is over already; whether it was this that ended it."""
        if worker.wait != wait:
            return False
        worker.wait = 0
        self._ready.append((worker, value))
        return True

    def sleep(self, seconds: float) -> None:
        """Wait for that long."""
        self.begin_wait()
        try:
            self.park(seconds)
        except TimedOut:
            pass

    def give_way(self) -> None:
        """Go on behind all that is ready, and behind the next look at descriptors and timers."""
        wait, worker = self.begin_wait(), getcurrent()
        self._later.append((worker, wait))
        self.park(None)

    def wait_fd(self, fd: int, mask: int, timeout: float | None) -> None:
        """Wait until the descriptor can be read (READ) or written (WRITE), or is broken."""
        waits = self._waits[mask]
        if fd in waits:
            raise RuntimeError(f"two tasks wait for descriptor {fd}")
        mine = waits[fd] = (getcurrent(), self.begin_wait())
        have = self._masks.get(fd, 0)
        if not have & mask:
            self._masks[fd] = have | mask
            self._poll.register(fd, have | mask)
        try:
            self.park(timeout)
        finally:
            if waits.get(fd) is mine:  # not another's, who has the same number by now
                del waits[fd]

    def watch(self, fd: int, call: Callable[..., None], *args: Any) -> None:
        """Call once the descriptor, which nobody reads, has news: an end, or what nobody asked for."""
        self._idle[fd] = call, args
        if not self._masks.get(fd, 0) & READ:
            self._masks[fd] = self._masks.get(fd, 0) | READ
            self._poll.register(fd, self._masks[fd])

    def unidle(self, fd: int) -> None:
        """Somebody reads it again."""
        self._idle.pop(fd, None)

    def unwatch(self, fd: int) -> None:
        """Nobody will wait for it for a while."""
        if self._masks.pop(fd, 0):
            self._poll.unregister(fd)

    def end_wait(self, fd: int, mask: int, error: BaseException) -> None:
        """Whoever waits to read it (READ), or to write it (WRITE), gets the error; the descriptor stays."""
        waiter = self._waits[mask].pop(fd, None)
        if waiter is not None:
            self.wake(*waiter, error)

    def forget_fd(self, fd: int) -> None:
        """The descriptor is about to be closed: whoever waits for it gets Closed."""
        self._idle.pop(fd, None)
        self.unwatch(fd)
        for waits in self._waits.values():
            if fd in waits:
                self.wake(*waits.pop(fd), Closed("closed here"))

    # ---- falling behind -------------------------------------------------------------------------------

    def beat(self) -> None:
        """A task's work: notice how late it is woken, by which `lag` tells how far behind this program is."""
        while True:
            self._beat_due = time.monotonic() + BEAT
            self.sleep(BEAT)
            self._lag = max(0.0, time.monotonic() - self._beat_due)
            if self._lag >= STALLED:
                self.events.event("program_stalled", seconds=self._lag)

    def lag(self) -> float:
        """Seconds that what is ready has to wait here, as seen last, or more if that is overdue by now."""
        return max(self._lag, time.monotonic() - self._beat_due)

    # ---- the loop -------------------------------------------------------------------------------------

    def run(self) -> None:
        """Run tasks until `stop`."""
        self.loop, self._running = getcurrent(), True
        while self._running:
            self.round()

    def stop(self) -> None:
        """End `run` after this round."""
        self._running = False

    def round(self) -> None:
        """Run what is ready, then look for descriptors and timers."""
        ready, loop, turns = self._ready, self.loop, SLICE
        while ready and turns:
            turns -= 1
            worker, value = ready.popleft()
            worker.parent = loop
            worker.switch(value)
        if self._soon:
            self._call_soon()
        if not self._running:
            return
        timeout, began = 0.0, time.monotonic()
        if not ready and not self._later:
            due = self.timers.next_due()
            timeout = None if due is None else max(0.0, due - began) * 1000
        for fd, got in self._look(began, timeout):
            self._happened(fd, got)
        self.timers.run_due()
        if self._later:
            later, self._later = self._later, []
            for task, wait in later:
                self.wake(task, wait)

    def _date_news(self, began: float, timeout: float | None) -> None:
        """`news_since`: no earlier than this came what the look that began then has found, and the one before
        it had not. That is now, less what tasks took between the looks; behind a look that took longer than
        it was to, the program was stopped meanwhile, and bytes may have come all that time."""
        now, before = time.monotonic(), self._looked_at
        stopped = timeout is None or now - began > timeout / 1000 + OVERSLEPT
        self.news_since = before if stopped else now - (began - before)
        self._looked_at = now

    def _look(self, began: float, timeout: float | None) -> list[tuple[int, int]]:
        """What has happened; nothing where the system has no memory for the wait (ENOMEM): that passes, and
        was no look."""
        try:
            happened = self._poll.poll(timeout)
        except OSError as why:
            self.events.event("poll_failed", reason=why.strerror)
            time.sleep(POLL_PAUSE)
            return []
        self._date_news(began, timeout)
        return happened

    def _call_soon(self) -> None:
        calls, self._soon = self._soon, []
        for call in calls:
            try:
                call()
            except Exception:
                self.report("a call before the next look", traceback.format_exc())

    def _happened(self, fd: int, got: int) -> None:
        """Wake who waits; a descriptor stays registered until it has news for nobody."""
        if fd in self._idle:
            call, args = self._idle.pop(fd)
            try:
                call(*args)
            except Exception:
                self.report("news of a descriptor that nobody reads", traceback.format_exc())
            return
        idle = 0
        for mask, waits in self._waits.items():
            if got & (mask | BROKEN):
                waiter = waits.pop(fd, None)
                if waiter is not None:
                    self.wake(*waiter)
                else:
                    idle |= mask
        if idle and fd in self._masks:
            keep = self._masks[fd] & ~idle
            if keep and not got & BROKEN:
                self._masks[fd] = keep
                self._poll.register(fd, keep)
            elif not any(fd in waits for waits in self._waits.values()) or not keep:
                self.unwatch(fd)


class Queue:
    """First in, first out; `put` never waits, and one task gets."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.items = hub, deque()
        self._getter: tuple[Worker, int] | None = None

    def put(self, item: Any) -> None:
        """Add an item and wake the getter."""
        self.items.append(item)
        if self._getter is not None:
            getter, self._getter = self._getter, None
            self.hub.wake(*getter)

    def get(self, timeout: float | None = None) -> Any:
        """The oldest item; TimedOut if none comes in time."""
        while not self.items:
            wait = self.hub.begin_wait()
            self._getter = (getcurrent(), wait)
            try:
                self.hub.park(timeout)
            finally:
                self._getter = None
        return self.items.popleft()


class Signal:
    """Wakes all that wait when it is set."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self._waiters: list[tuple[Worker, int]] = []

    def wait(self, timeout: float | None) -> None:
        """Until the next `set`; TimedOut if it does not come in time."""
        mine = getcurrent(), self.hub.begin_wait()
        self._waiters.append(mine)
        try:
            self.hub.park(timeout)
        finally:
            if mine in self._waiters:  # nothing set it
                self._waiters.remove(mine)

    def set(self) -> None:
        """Wake them."""
        waiters, self._waiters = self._waiters, []
        for task, wait in waiters:
            self.hub.wake(task, wait)
