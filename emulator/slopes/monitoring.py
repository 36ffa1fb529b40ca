"""Count executed lines by `sys.monitoring`, where the interpreter has it (3.12 and later)."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import CodeType

if sys.version_info >= (3, 12):
    TOOL = sys.monitoring.PROFILER_ID

    def count_lines_by_monitoring(work: Callable[[], object], folder: str) -> int:
        """Lines of files under `folder` that `work` executes."""
        lines = 0

        def on_line(code: CodeType, _: int) -> object:
            nonlocal lines
            if not code.co_filename.startswith(folder):
                return sys.monitoring.DISABLE
            lines += 1
            return None

        sys.monitoring.use_tool_id(TOOL, "emulator slopes")
        sys.monitoring.register_callback(TOOL, sys.monitoring.events.LINE, on_line)
        sys.monitoring.restart_events()
        sys.monitoring.set_events(TOOL, sys.monitoring.events.LINE)
        try:
            work()
        finally:
            sys.monitoring.set_events(TOOL, sys.monitoring.events.NO_EVENTS)
            sys.monitoring.free_tool_id(TOOL)
        return lines
