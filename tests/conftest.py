"""Marks the tests of KNOWN-RED.txt, and no others, as expected to fail, and prints their results at the end.

A run fails if a listed test passes, is skipped, or does not run although it was selected.
"""

from __future__ import annotations

import known_red
import pytest


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin; an unusable list raises pytest.UsageError, which ends the run."""
    file = config.rootpath / "KNOWN-RED.txt"
    try:
        listed = known_red.parse(file.read_text()) if file.exists() else []
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    config.pluginmanager.register(KnownRed(config, listed), "known-red")


class KnownRed:
    """The plugin: marks the listed tests and judges their results."""

    def __init__(self, config: pytest.Config, listed: list[known_red.KnownFailure]) -> None:
        self.config, self.listed = config, {known.test: known for known in listed}
        self.ends: dict[str, str] = {}  # results of the listed tests that ran

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as expected to fail."""
        for item in items:
            if known := self.listed.get(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=known.cause, strict=True), append=False)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the result of a listed test."""
        if report.nodeid in self.listed:
            if hasattr(report, "wasxfail"):
                self.ends.setdefault(report.nodeid, "passed over")
            elif report.failed:
                self.ends[report.nodeid] = "FAULT, no longer red"
            elif report.skipped:
                self.ends[report.nodeid] = "FAULT, skipped"

    def end(self, test: str) -> str:
        """Return the test's result as it is printed; it begins with FAULT if the run must fail."""
        config, option = self.config, self.config.option
        part = option.collectonly or option.keyword or option.markexpr or option.deselect
        asked = known_red.is_selected(test, config.args, config.rootpath, config.invocation_params.dir)
        return self.ends.get(test) or ("not asked for" if part or not asked else "FAULT, did not run")

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run on a fault; under xdist only in the process that sees all reports."""
        faults = any(self.end(test).startswith("FAULT") for test in self.listed)
        if (
            faults
            and not hasattr(self.config, "workerinput")
            and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
        ):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the results of the listed tests."""
        if self.listed:
            terminalreporter.section("KNOWN-RED.txt")
            for known in self.listed.values():
                end = self.end(known.test)
                terminalreporter.write_line(f"{end}: {known.test}: {known.cause} ({known.issue})")
