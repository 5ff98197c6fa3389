"""Constants that several parts of the decision module share. docs/design.md explains where each applies."""

# Seconds over which the entry gap's loss ratio is counted, and for which a load report counts as fresh.
WINDOW = 2.0
# Seconds for which an engine that refused work as full gets no more.
FULL_INTERVAL = 1.0
# Own threads per core under pressure; engines with many threads begin to lose work near this value.
MAX_THREADS_PER_CORE = 1.7
# The fleet counts as under pressure above this slowdown (latency over the latency without contention).
PRESSURE_SLOWDOWN = 1.7
# An attempt is overdue after this many times its expected latency.
OVERDUE_FACTOR = 3.0
# Upper bound of the engines examined for one request, so that a decision costs the same in a large fleet.
MAX_CANDIDATES = 12
# An engine whose estimated load is above this gets no work.
JAMMED_LOAD = 2.0
# Bytes that one gossip message costs in the gossip budget.
GOSSIP_COST = 16.0
# Upper bound of the probes that one request adds to the probe budget.
MAX_PROBES = 4.0
# Seconds between two checks of the queue.
QUEUE_CHECK_INTERVAL = 0.05
# Seconds between two checks of the attempts in flight. A timer that is later still means a stalled process.
IN_FLIGHT_CHECK_INTERVAL = 0.25
