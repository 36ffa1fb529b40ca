"""CPU, memory and log growth of the processes of a run, as the operating system tells them."""

from __future__ import annotations

import time

import psutil

from emulator.fleet.measures import ProcessMeasure
from emulator.fleet.process_logs import ProcessLog

BYTES_PER_MB = 1e6


class ProcessMonitor:
    """Follows one member of a role over all its processes."""

    def __init__(self, role: str, index: int, log: ProcessLog | None) -> None:
        self.role = role
        self.index = index
        self._log = log
        self._process: psutil.Process | None = None
        self._cpu_s = 0.0
        self._looked_at = time.monotonic()

    def measure(self, at_s: float, pid: int | None) -> ProcessMeasure | None:
        """Figures since the last look; None for a process that has just begun or ended."""
        now = time.monotonic()
        passed, self._looked_at = now - self._looked_at, now
        growth = self._log.take_growth() if self._log is not None else 0
        try:
            if pid is None:
                self._process = None
                return None
            known = self._process is not None and self._process.pid == pid
            if not known:
                self._process = psutil.Process(pid)
            assert self._process is not None
            with self._process.oneshot():
                times, memory = self._process.cpu_times(), self._process.memory_info()
        except psutil.Error:
            self._process = None
            return None
        cpu_s, before = times.user + times.system, self._cpu_s
        self._cpu_s = cpu_s
        if not known or passed <= 0:
            return None
        return ProcessMeasure(
            at_s=round(at_s, 3),
            role=self.role,
            index=self.index,
            cpu_share=(cpu_s - before) / passed,
            resident_mb=memory.rss / BYTES_PER_MB,
            log_bytes_per_s=growth / passed,
        )
