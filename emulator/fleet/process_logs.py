"""The log file of one process: bounds its size, measures its growth and reads its last lines."""

from __future__ import annotations

from pathlib import Path
from typing import IO

MAX_LOG_BYTES = 8 * 1024 * 1024  # a larger log file is truncated
TAIL_BYTES = 4096
TAIL_LINES = 5


class ProcessLog:
    """A log file that the process appends to, and that the supervisor reads and truncates."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._last_size = 0  # size at the last call of take_growth
        self._tail_before = b""  # last bytes before the file was truncated

    def open(self) -> IO[bytes]:
        """Open the file for a process to append to."""
        return self.path.open("ab")

    def take_growth(self) -> int:
        """Bytes written since the last call; truncates the file if it is larger than MAX_LOG_BYTES."""
        size = self.path.stat().st_size if self.path.exists() else 0
        growth = max(0, size - self._last_size)
        self._last_size = size
        if size > MAX_LOG_BYTES:
            self._tail_before = self._read_tail()
            with self.path.open("r+b") as file:
                file.truncate(0)
            self._last_size = 0
        return growth

    def last_lines(self) -> list[str]:
        """The last non-empty lines, for the report of a process that died."""
        text = (self._tail_before + self._read_tail())[-TAIL_BYTES:].decode(errors="replace")
        return [line for line in text.splitlines() if line.strip()][-TAIL_LINES:]

    def _read_tail(self) -> bytes:
        if not self.path.exists():
            return b""
        with self.path.open("rb") as file:
            file.seek(max(0, self.path.stat().st_size - TAIL_BYTES))
            return file.read()
