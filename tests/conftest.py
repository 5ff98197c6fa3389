"""Passes over the tests of KNOWN-RED.txt, and over no others: they run, and each is printed at the end.

A run fails if a listed test passes, is skipped, or does not run though the run asked for it.
"""

from __future__ import annotations

import known_red
import pytest


def pytest_configure(config: pytest.Config) -> None:
    """pytest.UsageError, which ends the run, if the list can't be used."""
    file = config.rootpath / "KNOWN-RED.txt"
    try:
        listed = known_red.parse(file.read_text()) if file.exists() else []
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    config.pluginmanager.register(KnownRed(config, listed), "known-red")


class KnownRed:
    def __init__(self, config: pytest.Config, listed: list[known_red.Known]) -> None:
        self.config, self.listed = config, {known.test: known for known in listed}
        self.ends: dict[str, str] = {}  # of listed tests that ran

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if known := self.listed.get(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=known.cause, strict=True), append=False)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self.listed:
            if hasattr(report, "wasxfail"):
                self.ends.setdefault(report.nodeid, "passed over")
            elif report.failed:
                self.ends[report.nodeid] = "FAULT, no longer red"
            elif report.skipped:
                self.ends[report.nodeid] = "FAULT, skipped"

    def end(self, test: str) -> str:
        """How the test ended, as it is printed; a fault begins with FAULT."""
        config, option = self.config, self.config.option
        part = option.collectonly or option.keyword or option.markexpr or option.deselect
        asked = known_red.is_asked(test, config.args, config.rootpath, config.invocation_params.dir)
        return self.ends.get(test) or ("not asked for" if part or not asked else "FAULT, did not run")

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Under xdist only the process that sees all reports judges."""
        faults = any(self.end(test).startswith("FAULT") for test in self.listed)
        if (
            faults
            and not hasattr(self.config, "workerinput")
            and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
        ):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.listed:
            terminalreporter.section("KNOWN-RED.txt")
            for known in self.listed.values():
                end = self.end(known.test)
                terminalreporter.write_line(f"{end}: {known.test}: {known.cause} ({known.issue})")
