"""The event loop: tasks run on greenlets, and one loop over select.poll wakes them.

A task blocks only in `park`, each wait with a timer of its own. A wake-up names the wait it is for, so that a
late one cannot end a later wait of the same task.
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

READ = select.POLLIN  # poll event: readable
WRITE = select.POLLOUT  # poll event: writable
ERROR_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL
MAX_SWITCHES_PER_ROUND = 256  # task switches between two polls of descriptors and timers
LAG_CHECK_INTERVAL = 0.02  # seconds between two measurements of the event loop lag
STALL_THRESHOLD = 0.2  # seconds of event loop lag that are logged: the process was stopped or had no CPU
MAX_IDLE_WORKERS = 256  # idle workers kept for reuse
TIMER_EXPIRED = object()  # wake-up value of an expired timer
POLL_OVERRUN = 0.005  # seconds by which a poll may exceed its time-out before the process counts as stopped
POLL_RETRY_DELAY = 0.005  # seconds to wait after a poll that failed for lack of memory


class TimedOut(Exception):
    """A wait reached its time-out."""


class Closed(Exception):
    """The connection has ended, closed by either side."""


class Task:
    """A unit of concurrent work, run by a worker. `interrupt` ends its current or next wait."""

    __slots__ = ("hub", "name", "work", "args", "worker", "pending", "done", "__weakref__")

    def __init__(self, hub: Hub, name: str, work: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.hub, self.name, self.work, self.args = hub, name, work, args
        self.worker: Worker | None = None
        self.pending: BaseException | None = None
        self.done = False

    def interrupt(self, error: BaseException) -> None:
        """Raises `error` in the task where it waits, or at its next wait."""
        if self.done:
            return
        if self.worker.wait:
            self.hub.wake(self.worker, self.worker.wait, error)
        else:
            self.pending = error


class Worker(greenlet):
    """A greenlet that runs tasks one after another: a new stack for each would cost more than most tasks."""

    def __init__(self, hub: Hub) -> None:
        super().__init__(self._run, hub.loop)
        self.hub = hub
        self.wait = 0  # id of the current wait; 0 while it runs
        self.task: Task | None = None

    def _run(self, _: Any) -> None:
        while self.task is not None:
            self._run_task(self.task)
            self.task = None
            if len(self.hub.idle_workers) >= MAX_IDLE_WORKERS:
                return
            self.hub.idle_workers.append(self)
            self.hub.loop.switch()

    def _run_task(self, task: Task) -> None:
        try:
            task.work(*task.args)
        except Exception:
            self.hub.report_error(f"task {task.name} ended", traceback.format_exc())
        finally:
            task.done, task.work, task.args, task.worker, task.pending = True, None, (), None, None


class Hub:
    """The event loop. Runs tasks until `stop`; all times are seconds of the monotonic clock."""

    def __init__(self, log: Callable[[str], None] | None = None) -> None:
        self.timers = Timers(time.monotonic)
        self.log = log or (lambda text: print(text, file=sys.stderr, flush=True))
        self.events = EventLog(lambda text: self.log(text))
        self.loop = getcurrent()
        self._poll = select.poll()
        self._waits: dict[int, dict[int, tuple[Worker, int]]] = {READ: {}, WRITE: {}}  # by event, descriptor
        self._masks: dict[int, int] = {}  # events registered with poll, by descriptor
        self._ready: deque[tuple[Worker, Any]] = deque()
        self._yielded: list[tuple[Worker, Any]] = []  # tasks that yielded: ready again after the next poll
        self._before_poll: list[Callable[[], None]] = []  # called before the next poll
        self._idle_watches: dict[
            int, tuple[Callable[..., None], tuple[Any, ...]]
        ] = {}  # callbacks, by descriptor
        self.idle_workers: list[Worker] = []
        self._last_wait = 0
        self._running = False
        self._polled_at = self.arrivals_after = time.monotonic()  # see `_update_arrivals_after`
        self._lag, self._lag_check_due = 0.0, time.monotonic() + LAG_CHECK_INTERVAL
        self.spawn(self._measure_lag, name="event loop lag")

    def report_error(self, what: str, detail: str = "") -> None:
        """Logs an unexpected error for the operators; the program continues."""
        self.log(f"error: {what}" + (f"\n{detail.rstrip()}" if detail else ""))

    def spawn(self, work: Callable[..., Any], *args: Any, name: str = "") -> Task:
        """Creates a task, which starts in the next round."""
        task = Task(self, name or work.__qualname__, work, args)
        task.worker = worker = self.idle_workers.pop() if self.idle_workers else Worker(self)
        worker.task = task
        self._ready.append((worker, None))
        return task

    def call_before_poll(self, call: Callable[[], None]) -> None:
        """Schedules a call after the ready tasks have run and before the next poll; it must not block."""
        self._before_poll.append(call)

    # ---- waits ----------------------------------------------------------------------------------------

    def begin_wait(self) -> int:
        """Returns the id of the wait that the running task is about to begin; raises a pending interrupt."""
        worker = getcurrent()
        task = worker.task
        if task.pending is not None:
            error, task.pending = task.pending, None
            try:
                raise error
            finally:
                del error  # its traceback references this frame: a cycle until the next garbage collection
        self._last_wait += 1
        worker.wait = self._last_wait
        return self._last_wait

    def park(self, timeout: float | None) -> Any:
        """Blocks the task until it is woken; returns the wake-up value or raises it. Raises TimedOut."""
        if timeout is None:
            value = self.loop.switch()
        else:
            worker = getcurrent()
            timer = self.timers.after(timeout, self.wake, worker, worker.wait, TIMER_EXPIRED)
            value = self.loop.switch()
            timer.cancel()
        if value is None:
            return None
        if value is TIMER_EXPIRED:
            raise TimedOut
        if isinstance(value, BaseException):
            try:
                raise value
            finally:
                del value  # as above: the cycle would keep the connection and its tasks alive
        return value

    def wake(self, worker: Worker, wait: int, value: Any = None) -> bool:
        """Ends the given wait if it is still current; returns whether it was."""
        if worker.wait != wait:
            return False
        worker.wait = 0
        self._ready.append((worker, value))
        return True

    def sleep(self, seconds: float) -> None:
        """Blocks the task for `seconds`."""
        self.begin_wait()
        try:
            self.park(seconds)
        except TimedOut:
            pass

    def yield_now(self) -> None:
        """Yields to all ready tasks and to the next poll of descriptors and timers."""
        wait, worker = self.begin_wait(), getcurrent()
        self._yielded.append((worker, wait))
        self.park(None)

    def wait_fd(self, fd: int, mask: int, timeout: float | None) -> None:
        """Blocks until the descriptor is readable (READ) or writable (WRITE), or has an error."""
        waits = self._waits[mask]
        if fd in waits:
            raise RuntimeError(f"two tasks wait for descriptor {fd}")
        entry = waits[fd] = (getcurrent(), self.begin_wait())
        have = self._masks.get(fd, 0)
        if not have & mask:
            self._masks[fd] = have | mask
            self._poll.register(fd, have | mask)
        try:
            self.park(timeout)
        finally:
            if waits.get(fd) is entry:  # not the entry of a later user of the same descriptor number
                del waits[fd]

    def watch_idle(self, fd: int, call: Callable[..., None], *args: Any) -> None:
        """Calls `call` once when an idle descriptor becomes readable: end of stream, or unexpected data."""
        self._idle_watches[fd] = call, args
        if not self._masks.get(fd, 0) & READ:
            self._masks[fd] = self._masks.get(fd, 0) | READ
            self._poll.register(fd, self._masks[fd])

    def unwatch_idle(self, fd: int) -> None:
        """Cancels `watch_idle`: the descriptor is in use again."""
        self._idle_watches.pop(fd, None)

    def unregister_fd(self, fd: int) -> None:
        """Unregisters the descriptor from poll until the next wait for it."""
        if self._masks.pop(fd, 0):
            self._poll.unregister(fd)

    def end_wait(self, fd: int, mask: int, error: BaseException) -> None:
        """Raises the error in the task that waits for READ or WRITE; the descriptor stays registered."""
        waiter = self._waits[mask].pop(fd, None)
        if waiter is not None:
            self.wake(*waiter, error)

    def forget_fd(self, fd: int) -> None:
        """Removes a descriptor that is about to be closed; tasks that wait for it get Closed."""
        self._idle_watches.pop(fd, None)
        self.unregister_fd(fd)
        for waits in self._waits.values():
            if fd in waits:
                self.wake(*waits.pop(fd), Closed("closed here"))

    # ---- event loop lag -------------------------------------------------------------------------------

    def _measure_lag(self) -> None:
        """Task body: measures how late it is woken, which `lag` reports."""
        while True:
            self._lag_check_due = time.monotonic() + LAG_CHECK_INTERVAL
            self.sleep(LAG_CHECK_INTERVAL)
            self._lag = max(0.0, time.monotonic() - self._lag_check_due)
            if self._lag >= STALL_THRESHOLD:
                self.events.event("program_stalled", seconds=self._lag)

    def lag(self) -> float:
        """Returns the event loop lag in seconds: the last measurement, or more if the next one is overdue."""
        return max(self._lag, time.monotonic() - self._lag_check_due)

    # ---- the loop -------------------------------------------------------------------------------------

    def run(self) -> None:
        """Runs tasks until `stop`."""
        self.loop, self._running = getcurrent(), True
        while self._running:
            self.round()

    def stop(self) -> None:
        """Makes `run` return after the current round."""
        self._running = False

    def round(self) -> None:
        """Runs ready tasks, then polls descriptors and timers."""
        ready, loop, switches_left = self._ready, self.loop, MAX_SWITCHES_PER_ROUND
        while ready and switches_left:
            switches_left -= 1
            worker, value = ready.popleft()
            worker.parent = loop
            worker.switch(value)
        if self._before_poll:
            self._run_before_poll()
        if not self._running:
            return
        timeout, began = 0.0, time.monotonic()
        if not ready and not self._yielded:
            due = self.timers.next_due()
            timeout = None if due is None else max(0.0, due - began) * 1000
        for fd, got in self._poll_once(began, timeout):
            self._dispatch(fd, got)
        self.timers.run_due()
        if self._yielded:
            later, self._yielded = self._yielded, []
            for task, wait in later:
                self.wake(task, wait)

    def _update_arrivals_after(self, began: float, timeout: float | None) -> None:
        """Sets `arrivals_after`: what the poll that began at `began` found cannot have arrived before that.

        Usually that is now minus the time that tasks took between this poll and the previous one. If the poll
        took longer than its time-out, the process was stopped meanwhile, and data may have arrived during all
        of that time.
        """
        now, before = time.monotonic(), self._polled_at
        stopped = timeout is None or now - began > timeout / 1000 + POLL_OVERRUN
        self.arrivals_after = before if stopped else now - (began - before)
        self._polled_at = now

    def _poll_once(self, began: float, timeout: float | None) -> list[tuple[int, int]]:
        """Polls descriptors; returns nothing after a transient failure (ENOMEM), which counts as no poll."""
        try:
            happened = self._poll.poll(timeout)
        except OSError as why:
            self.events.event("poll_failed", reason=why.strerror)
            time.sleep(POLL_RETRY_DELAY)
            return []
        self._update_arrivals_after(began, timeout)
        return happened

    def _run_before_poll(self) -> None:
        calls, self._before_poll = self._before_poll, []
        for call in calls:
            try:
                call()
            except Exception:
                self.report_error("a call before the next poll", traceback.format_exc())

    def _dispatch(self, fd: int, got: int) -> None:
        """Wakes the waiting tasks; unregisters a descriptor once an event finds nobody waiting."""
        if fd in self._idle_watches:
            call, args = self._idle_watches.pop(fd)
            try:
                call(*args)
            except Exception:
                self.report_error("the callback of an idle descriptor", traceback.format_exc())
            return
        idle = 0
        for mask, waits in self._waits.items():
            if got & (mask | ERROR_EVENTS):
                waiter = waits.pop(fd, None)
                if waiter is not None:
                    self.wake(*waiter)
                else:
                    idle |= mask
        if idle and fd in self._masks:
            keep = self._masks[fd] & ~idle
            if keep and not got & ERROR_EVENTS:
                self._masks[fd] = keep
                self._poll.register(fd, keep)
            elif not any(fd in waits for waits in self._waits.values()) or not keep:
                self.unregister_fd(fd)


class Queue:
    """Unbounded FIFO queue for one consumer task; `put` never blocks."""

    def __init__(self, hub: Hub) -> None:
        self.hub, self.items = hub, deque()
        self._consumer: tuple[Worker, int] | None = None

    def put(self, item: Any) -> None:
        """Adds an item and wakes the consumer."""
        self.items.append(item)
        if self._consumer is not None:
            consumer, self._consumer = self._consumer, None
            self.hub.wake(*consumer)

    def get(self, timeout: float | None = None) -> Any:
        """Returns the oldest item, waiting for one. Raises TimedOut."""
        while not self.items:
            wait = self.hub.begin_wait()
            self._consumer = (getcurrent(), wait)
            try:
                self.hub.park(timeout)
            finally:
                self._consumer = None
        return self.items.popleft()


class Signal:
    """Wakes all waiting tasks when it is set."""

    def __init__(self, hub: Hub) -> None:
        self.hub = hub
        self._waiters: list[tuple[Worker, int]] = []

    def wait(self, timeout: float | None) -> None:
        """Blocks until the next `set`. Raises TimedOut."""
        entry = getcurrent(), self.hub.begin_wait()
        self._waiters.append(entry)
        try:
            self.hub.park(timeout)
        finally:
            if entry in self._waiters:  # not woken by `set`
                self._waiters.remove(entry)

    def set(self) -> None:
        """Wakes all waiting tasks."""
        waiters, self._waiters = self._waiters, []
        for task, wait in waiters:
            self.hub.wake(task, wait)
