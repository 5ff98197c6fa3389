"""Errors that an operator can correct: each type has a code and a remedy.

`docs/operations/errors.md` lists them; a test compares the page with the types. Failures of single requests
are not among them: they go into the request's final answer.
"""

from __future__ import annotations

from typing import ClassVar


class Trouble(Exception):
    """An error with a code for logs and documentation; `remedy` is what an operator can do about it."""

    code: ClassVar[str] = ""
    remedy: ClassVar[str] = ""

    def line(self) -> str:
        """The log line: code, message and remedy."""
        return f"{self.code}: {self}; {self.remedy}"


class FleetConfigTrouble(Trouble):
    """The fleet's configuration is invalid; the message names the field."""

    code = "fleet-config"
    remedy = "mend the field in deploy/fleet.toml or in [fleet], then start again or send SIGHUP"


class KeyTrouble(Trouble):
    """A key file cannot be read or contains no usable key."""

    code = "fleet-key"
    remedy = "write one or two keys of 32 bytes or more in hex, a line each, readable by this user alone"


class NameTrouble(Trouble):
    """Another live process has the name of this process."""

    code = "fleet-name"
    remedy = "give one of the two another name, or end it; the younger one has stepped back until then"


class WireTrouble(Trouble):
    """A datagram or stream is foreign, truncated, too old, too large or malformed."""

    code = "fleet-wire"
    remedy = "compare keys, versions and clocks of the process named; nothing was changed by what it sent"

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(text or reason)
        self.reason = reason  # one of a fixed set, for counters


class DiskTrouble(Trouble):
    """The state folder cannot be written, so an action that needs its record on disk first was not taken."""

    code = "fleet-disk"
    remedy = "make room on the disk of [fleet] state, or move it; this process votes and coordinates no more"


class StateTrouble(Trouble):
    """A state file is damaged; nothing in it is used."""

    code = "fleet-state"
    remedy = "move the named file away and start again: the process joins as new and learns from the others"


class PurgeFileTrouble(Trouble):
    """A file in the purge folder is invalid; the message names file and field."""

    code = "fleet-purge-file"
    remedy = "mend the field, and send SIGHUP again; nothing was purged by this file"
