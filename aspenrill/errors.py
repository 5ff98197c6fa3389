"""Errors that an operator can do something about: each type has a code, and says what to do.

`docs/operations/errors.md` lists them; a test holds page and types together. Faults of single requests are no
errors here: they end in the request's one final answer.
"""

from __future__ import annotations

from typing import ClassVar


class Trouble(Exception):
    """An error with a code for logs and pages; `remedy` is what an operator can do about it."""

    code: ClassVar[str] = ""
    remedy: ClassVar[str] = ""

    def line(self) -> str:
        """One log line: the code, what happened, what to do."""
        return f"{self.code}: {self}; {self.remedy}"


class FleetConfigTrouble(Trouble):
    """The fleet's part of a configuration cannot be used; the text names the field."""

    code = "fleet-config"
    remedy = "mend the field in deploy/fleet.toml or in [fleet], then start again or send SIGHUP"


class KeyTrouble(Trouble):
    """A key file cannot be read, or holds no usable key."""

    code = "fleet-key"
    remedy = "write one or two keys of 32 bytes or more in hex, a line each, readable by this user alone"


class NameTrouble(Trouble):
    """Another live process has this process's name."""

    code = "fleet-name"
    remedy = "give one of the two another name, or end it; the younger one has stepped back until then"


class WireTrouble(Trouble):
    """A datagram or a stream that is foreign, cut, too old, too large or not of the checked form."""

    code = "fleet-wire"
    remedy = "compare keys, versions and clocks of the process named; nothing was changed by what it sent"

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(text or reason)
        self.reason = reason  # one of a few words, for counters


class DiskTrouble(Trouble):
    """The state folder cannot be written: what had to be on disk first was not done."""

    code = "fleet-disk"
    remedy = "make room on the disk of [fleet] state, or move it; this process votes and coordinates no more"


class StateTrouble(Trouble):
    """A state file is damaged; it is refused whole."""

    code = "fleet-state"
    remedy = "move the named file away and start again: the process joins as new and learns from the others"


class PurgeFileTrouble(Trouble):
    """A file in the folder for purges cannot be used; the text names file and field."""

    code = "fleet-purge-file"
    remedy = "mend the field, and send SIGHUP again; nothing was purged by this file"
