"""Merges the engine lists of any number of sources into one list. docs/design/srv.md states the same rules.

(a) An address and port is one engine at a time, whichever source names it. An engine has an id, to which its
    connection pools belong. If a source with ids of its own (bulletin, file list, DNS-SD) changes the id at
    an address, that is another engine; SRV records name addresses only and change no id.
(b) An engine takes new work only while at least one source lists it as live and no source that names it
    reports it draining or gone.
(c) A source withdraws only entries of its own. A withdrawal is a drain as soon as it is received.
(d) A source that fails, is silent or whose data has expired keeps its last good list and cannot withdraw
    anything.
(e) The source highest in the configured order determines kind, zone, cell and start time; the highest that
    has an SRV record determines priority and weight.
(f) An engine that appears, or that returns after being away long enough to have restarted, is cold: its start
    time is now. Engines in a source's first list were serving before and are not cold.

Entries missing from a list that shrank by more than a configured share are withdrawn only after a second
lookup also lacks them (`source`). Flapping engines are held out (`flaps`). Engines of a lower tier wait until
they are needed (`tiers`).

No module of this package does I/O. Times are seconds of a monotonic clock and come in as arguments.
"""
