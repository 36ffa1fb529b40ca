"""The log file of one process: bounded on disk, its growth measured, its last lines at hand."""

from __future__ import annotations

from pathlib import Path
from typing import IO

MAX_LOG_BYTES = 8 * 1024 * 1024  # a log that has grown beyond this is emptied
TAIL_BYTES = 4096
TAIL_LINES = 5


class ProcessLog:
    """Written by the process itself, appending; read and emptied by the supervisor."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._seen = 0  # its size at the last look
        self._tail_before = b""  # of what has been emptied

    def open(self) -> IO[bytes]:
        """For a process to write to."""
        return self.path.open("ab")

    def take_growth(self) -> int:
        """Bytes written since the last call; empties a log that has grown too large."""
        size = self.path.stat().st_size if self.path.exists() else 0
        growth = max(0, size - self._seen)
        self._seen = size
        if size > MAX_LOG_BYTES:
            self._tail_before = self._read_tail()
            with self.path.open("r+b") as file:
                file.truncate(0)
            self._seen = 0
        return growth

    def last_lines(self) -> list[str]:
        """The last lines, for a message about the end of the process."""
        text = (self._tail_before + self._read_tail())[-TAIL_BYTES:].decode(errors="replace")
        return [line for line in text.splitlines() if line.strip()][-TAIL_LINES:]

    def _read_tail(self) -> bytes:
        if not self.path.exists():
            return b""
        with self.path.open("rb") as file:
            file.seek(max(0, self.path.stat().st_size - TAIL_BYTES))
            return file.read()
