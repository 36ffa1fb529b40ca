"""CPU time, memory and log growth of the processes of a run, as reported by the operating system."""

from __future__ import annotations

import time

import psutil

from emulator.fleet.measures import ProcessMeasure
from emulator.fleet.process_logs import ProcessLog

BYTES_PER_MB = 1e6


class ProcessMonitor:
    """Monitors one member of a role over all its restarts."""

    def __init__(self, role: str, index: int, log: ProcessLog | None) -> None:
        self.role = role
        self.index = index
        self._log = log
        self._process: psutil.Process | None = None
        self._cpu_s = 0.0
        self._measured_at = time.monotonic()

    def measure(self, at_s: float, pid: int | None) -> ProcessMeasure | None:
        """Figures since the last call; None for a process that has started or ended since then."""
        now = time.monotonic()
        elapsed_s, self._measured_at = now - self._measured_at, now
        log_growth = self._log.take_growth() if self._log is not None else 0
        try:
            if pid is None:
                self._process = None
                return None
            is_same_process = self._process is not None and self._process.pid == pid
            if not is_same_process:
                self._process = psutil.Process(pid)
            assert self._process is not None
            with self._process.oneshot():
                times, memory = self._process.cpu_times(), self._process.memory_info()
        except psutil.Error:
            self._process = None
            return None
        cpu_s, cpu_s_before = times.user + times.system, self._cpu_s
        self._cpu_s = cpu_s
        if not is_same_process or elapsed_s <= 0:
            return None
        return ProcessMeasure(
            at_s=round(at_s, 3),
            role=self.role,
            index=self.index,
            cpu_share=(cpu_s - cpu_s_before) / elapsed_s,
            resident_mb=memory.rss / BYTES_PER_MB,
            log_bytes_per_s=log_growth / elapsed_s,
        )
