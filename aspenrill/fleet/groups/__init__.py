"""Table groups: what is written to each, how it will grow, and splits of those that outgrow an engine.

Nothing here is imported unless the fleet's groups are switched on. `part.Groups` is the part that drivers
run.
"""
