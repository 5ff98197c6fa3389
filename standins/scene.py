"""A scene played as a task of a hub: what a test or a benchmark does among the stand-ins."""

from __future__ import annotations

from collections.abc import Callable

from aspenrill.net.hub import Hub


def play(hub: Hub, scene: Callable[[], object]) -> None:
    """Run the hub until the scene has come to its end; its failure is raised here."""
    failure: list[BaseException] = []

    def run() -> None:
        try:
            scene()
        except BaseException as why:
            failure.append(why)
        hub.stop()

    hub.spawn(run, name="scene")
    hub.run()
    if failure:
        raise failure[0]
