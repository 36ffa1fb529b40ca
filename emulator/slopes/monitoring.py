"""Counts executed lines with `sys.monitoring`, which exists from Python 3.12 on."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import CodeType

if sys.version_info >= (3, 12):
    TOOL_ID = sys.monitoring.PROFILER_ID

    def count_lines_by_monitoring(work: Callable[[], object], folder: str) -> int:
        """Count the lines of files below `folder` that `work` executes."""
        lines = 0

        def on_line(code: CodeType, _: int) -> object:
            nonlocal lines
            if not code.co_filename.startswith(folder):
                return sys.monitoring.DISABLE
            lines += 1
            return None

        sys.monitoring.use_tool_id(TOOL_ID, "emulator slopes")
        sys.monitoring.register_callback(TOOL_ID, sys.monitoring.events.LINE, on_line)
        sys.monitoring.restart_events()
        sys.monitoring.set_events(TOOL_ID, sys.monitoring.events.LINE)
        try:
            work()
        finally:
            sys.monitoring.set_events(TOOL_ID, sys.monitoring.events.NO_EVENTS)
            sys.monitoring.free_tool_id(TOOL_ID)
        return lines
