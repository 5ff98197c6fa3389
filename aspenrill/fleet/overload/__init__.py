"""Overload handled by the fleet as one: parts of a whole under leases, one cut line of worth, bounded
probes.

Free of I/O: `part.OverloadPart` is an `interface.Part`, `bridge.Bridge` stands between it and the decision
module. docs/design/together-overload.md has the options weighed and the proofs.
"""
