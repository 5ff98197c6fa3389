"""Figures that more than one concern of the decisions looks at. What acts when: docs/design.md."""

WINDOW, FULL_FOR = 2.0, 1.0  # tm, seconds over which r is counted, and a change waits; of a full engine
THREADS_A_CORE = 1.7  # limit under pressure: near where engines with many threads begin to lose work
PRESSURE, OVERDUE = 1.7, 3.0  # slowdown of the fleet that presses; times the expected latency that is overdue
LOOK, JAMMED = 12, 2.0  # engines looked at for one query, at most; told load of one that is left out
NEWS_COST, PROBES = 16.0, 4.0  # bytes of a message as priced; most probes that a request earns
TICK, WATCH = 0.05, 0.25  # seconds between looks at what is held, at what is out; later means an own stall
