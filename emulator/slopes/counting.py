"""Work counted instead of timed: lines executed in the balancer, objects held; the same on any machine."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from pathlib import Path
from types import CodeType, FrameType, FunctionType, ModuleType
from typing import Any

import msgspec

import dykeshift

BALANCER_FOLDER = str(Path(dykeshift.__file__).parent)
_NOT_STATE = (type, ModuleType, FunctionType, CodeType, FrameType)


class ReachableObjects(msgspec.Struct, frozen=True):
    """What a structure holds, itself included; what is reached twice counts once."""

    objects: int
    size: int  # bytes


def measure_reachable(root: object) -> ReachableObjects:
    """Objects and bytes reachable from `root`; code, classes and modules are not part of it."""
    seen = {id(root)}
    waiting: list[object] = [root]
    size = 0
    while waiting:
        one = waiting.pop()
        size += sys.getsizeof(one)
        for other in gc.get_referents(one):
            if id(other) not in seen and not isinstance(other, _NOT_STATE):
                seen.add(id(other))
                waiting.append(other)
    return ReachableObjects(len(seen), size)


def count_executed_lines(work: Callable[[], object]) -> int:
    """Lines of the balancer's own code that `work` executes; a loop's line counts each time round."""
    if sys.version_info >= (3, 12):
        from emulator.slopes.monitoring import count_lines_by_monitoring

        return count_lines_by_monitoring(work, BALANCER_FOLDER)
    return _count_lines_by_tracing(work)


def _count_lines_by_tracing(work: Callable[[], object]) -> int:
    lines = 0

    def on_line(_: FrameType, event: str, __: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return on_line

    def on_call(frame: FrameType, _: str, __: Any) -> Any:
        return on_line if frame.f_code.co_filename.startswith(BALANCER_FOLDER) else None

    before = sys.gettrace()
    sys.settrace(on_call)
    try:
        work()
    finally:
        sys.settrace(before)
    return lines
