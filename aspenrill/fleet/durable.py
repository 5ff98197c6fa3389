"""What must outlive the process: one sqlite3 file in the state folder, which one process at a time may use.

Write-ahead log, synchronous=FULL: `put` returns once the record is on disk. A damaged file is refused whole.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
import zlib
from pathlib import Path

from ..errors import DiskTrouble, FleetConfigTrouble, StateTrouble

FILE, LOCK = "fleet.sqlite3", "lock"
LAYOUT = 1  # sqlite's user_version


def _sum(part: str, key: str, value: bytes) -> int:
    return zlib.crc32(value, zlib.crc32(f"{part}\0{key}\0".encode()))


class Durable:
    """Values by part and key. DiskTrouble where a write fails, StateTrouble where the file is damaged."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as why:
            raise DiskTrouble(f"{self.folder}: {why.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise FleetConfigTrouble(f"state: another process uses {self.folder}") from None
        try:
            self._open()
        except BaseException:
            os.close(self._lock)
            raise

    def _open(self) -> None:
        path = self.folder / FILE
        try:
            self._db = sqlite3.connect(path, isolation_level=None)
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            found = self._db.execute("PRAGMA integrity_check").fetchone()[0]
            if found != "ok":
                raise StateTrouble(f"{path}: {found.splitlines()[0]}")
            layout = self._db.execute("PRAGMA user_version").fetchone()[0]
            if layout not in (0, LAYOUT):
                raise StateTrouble(f"{path}: of layout {layout}, {LAYOUT} is known here")
            self._db.execute(
                "CREATE TABLE IF NOT EXISTS records (part TEXT NOT NULL, key TEXT NOT NULL, "
                "value BLOB NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (part, key)) "
                "WITHOUT ROWID"
            )
            self._db.execute(f"PRAGMA user_version={LAYOUT}")
            for part, key, value, total in self._db.execute("SELECT part, key, value, sum FROM records"):
                if _sum(part, key, value) != total:  # the check above looks at the structure only
                    raise StateTrouble(f"{path}: the record {key} of {part} is damaged")
        except sqlite3.OperationalError as why:
            raise DiskTrouble(f"{path}: {why}") from None
        except sqlite3.DatabaseError as why:
            raise StateTrouble(f"{path}: {why}") from None

    def records(self, part: str) -> dict[str, bytes]:
        """All that is kept for a part."""
        try:
            return {
                key: bytes(value)
                for key, value in self._db.execute("SELECT key, value FROM records WHERE part = ?", (part,))
            }
        except sqlite3.DatabaseError as why:
            raise StateTrouble(f"{self.folder / FILE}: {why}") from None

    def put(self, part: str, key: str, value: bytes | None) -> None:
        """Keep this value, or none any more; on disk when this returns."""
        try:
            if value is None:
                self._db.execute("DELETE FROM records WHERE part = ? AND key = ?", (part, key))
            else:
                self._db.execute(
                    "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?)",
                    (part, key, value, _sum(part, key, value)),
                )
        except sqlite3.Error as why:
            raise DiskTrouble(f"{self.folder / FILE}: {why}") from None

    def close(self) -> None:
        """Others may use the folder from here on."""
        self._db.close()
        os.close(self._lock)
