"""Fleet-wide overload control: leased capacity shares, one shedding threshold, one retry budget, shared
probes.

No I/O: `part.OverloadComponent` implements `interface.Component`; `bridge.Bridge` connects it to the decision
module. docs/design/together-overload.md compares the alternatives and has the proofs.
"""
