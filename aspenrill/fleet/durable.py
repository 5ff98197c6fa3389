"""Persistent records: one SQLite file in the state folder, locked by one process at a time.

Write-ahead log with synchronous=FULL: `put` returns once the record is on disk. A damaged file is rejected.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
import zlib
from pathlib import Path

from ..errors import DiskTrouble, FleetConfigTrouble, StateTrouble

DATABASE_FILE = "fleet.sqlite3"
LOCK_FILE = "lock"
SCHEMA_VERSION = 1  # schema version, stored as SQLite's user_version


def _checksum(component: str, key: str, value: bytes) -> int:
    return zlib.crc32(value, zlib.crc32(f"{component}\0{key}\0".encode()))


class DurableStore:
    """Records by component and key. DiskTrouble if a write fails, StateTrouble if the file is damaged."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock_fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as why:
            raise DiskTrouble(f"{self.folder}: {why.strerror}") from None
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_fd)
            raise FleetConfigTrouble(f"state: another process uses {self.folder}") from None
        try:
            self._open()
        except BaseException:
            os.close(self._lock_fd)
            raise

    def _open(self) -> None:
        path = self.folder / DATABASE_FILE
        try:
            self._database = sqlite3.connect(path, isolation_level=None)
            self._database.execute("PRAGMA journal_mode=WAL")
            self._database.execute("PRAGMA synchronous=FULL")
            result = self._database.execute("PRAGMA integrity_check").fetchone()[0]
            if result != "ok":
                raise StateTrouble(f"{path}: {result.splitlines()[0]}")
            version = self._database.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, SCHEMA_VERSION):
                raise StateTrouble(
                    f"{path}: schema version {version} is not supported, only {SCHEMA_VERSION}"
                )
            self._database.execute(
                "CREATE TABLE IF NOT EXISTS records (part TEXT NOT NULL, key TEXT NOT NULL, "
                "value BLOB NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (part, key)) "
                "WITHOUT ROWID"
            )
            self._database.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
            for component, key, value, checksum in self._database.execute(
                "SELECT part, key, value, sum FROM records"
            ):
                if (
                    _checksum(component, key, value) != checksum
                ):  # integrity_check verifies the structure only
                    raise StateTrouble(f"{path}: the record {key} of {component} is damaged")
        except sqlite3.OperationalError as why:
            raise DiskTrouble(f"{path}: {why}") from None
        except sqlite3.DatabaseError as why:
            raise StateTrouble(f"{path}: {why}") from None

    def records(self, component: str) -> dict[str, bytes]:
        """All records of a component."""
        try:
            return {
                key: bytes(value)
                for key, value in self._database.execute(
                    "SELECT key, value FROM records WHERE part = ?", (component,)
                )
            }
        except sqlite3.DatabaseError as why:
            raise StateTrouble(f"{self.folder / DATABASE_FILE}: {why}") from None

    def put(self, component: str, key: str, value: bytes | None) -> None:
        """Write a record, or delete it if `value` is None; on disk when this returns."""
        try:
            if value is None:
                self._database.execute("DELETE FROM records WHERE part = ? AND key = ?", (component, key))
            else:
                self._database.execute(
                    "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?)",
                    (component, key, value, _checksum(component, key, value)),
                )
        except sqlite3.Error as why:
            raise DiskTrouble(f"{self.folder / DATABASE_FILE}: {why}") from None

    def close(self) -> None:
        """Close the file and release the lock of the folder."""
        self._database.close()
        os.close(self._lock_fd)
