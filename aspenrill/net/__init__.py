"""The event loop, tasks, timers, TCP connections and logging: greenlet over select.poll."""
