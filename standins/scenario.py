"""Runs a test's or benchmark's own code as a task of the hub, next to the test doubles."""

from __future__ import annotations

from collections.abc import Callable

from aspenrill.net.hub import Hub


def run_scenario(hub: Hub, scenario: Callable[[], object]) -> None:
    """Run the hub until `scenario` returns; an exception that it raises is raised here."""
    failure: list[BaseException] = []

    def run() -> None:
        try:
            scenario()
        except BaseException as why:
            failure.append(why)
        hub.stop()

    hub.spawn(run, name="scenario")
    hub.run()
    if failure:
        raise failure[0]
