"""Table groups: counts of writes, growth forecasts, and splits of groups that outgrow an engine.

Nothing here is imported unless groups are enabled in the fleet's settings. `part.Groups` is the component
that drivers run.
"""
