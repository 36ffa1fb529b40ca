"""What all child processes of a fleet run share: configuration, start, events, measures and shutdown.

A child reads its `ProcessConfig`, listens, prints `Ready`, waits for `Start`, and stops when its standard
input is closed. Its measures are JSON lines on standard output; its log goes to standard error.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

import msgspec
import structlog
import uvloop

from emulator.errors import EXIT_BAD_INPUT, BadInputError
from emulator.fleet.contract import ProcessConfig, Ready, Start
from emulator.fleet.layout import Layout, build_layout
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.fleet.timeline import Event, build_timeline

MEASURE_INTERVAL_S = 1.0
# Garbage collections can be rare, as hardly any object of a child process is in a reference cycle.
GC_THRESHOLDS = (50_000, 20, 100)
MAX_LINE_BYTES = 1 << 20  # on standard input


Message = TypeVar("Message", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class FleetContext:
    """The fleet as a child process builds it from its configuration."""

    config: ProcessConfig
    scenario: Scenario
    layout: Layout
    timeline: tuple[Event, ...]


def load_fleet_context(config: ProcessConfig) -> FleetContext:
    """Build the fleet of a configuration; raises BadInputError if its scenario is invalid."""
    scenario = load_scenario(config.scenario)
    layout = build_layout(scenario, config.seed)
    return FleetContext(config, scenario, layout, build_timeline(scenario, config.seed))


class ScenarioClock:
    """Time in seconds since the scenario's start, from the machine's monotonic clock."""

    def __init__(self, start_ns: int) -> None:
        self._start_ns = start_ns
        # Computed once, so that the same time of the scenario always gives the same Unix time.
        self._unix_start_ns = time.time_ns() + start_ns - time.monotonic_ns()

    def now_s(self) -> float:
        """Seconds since the start; negative before it."""
        return (time.monotonic_ns() - self._start_ns) / 1e9

    def unix_ms(self, at_s: float) -> int:
        """Unix time, in milliseconds, of a time of the scenario."""
        return int(self._unix_start_ns / 1e6 + at_s * 1e3)


class ChildRole(Protocol):
    """The behaviour of one role of child processes."""

    async def listen(self) -> None:
        """Open all listening sockets, and all connections that are needed before the start."""

    def start(self, clock: ScenarioClock) -> None:
        """Start the role's work; `clock` has the time of the scenario's start."""

    def apply(self, event: Event) -> None:
        """Apply one event of the timeline, at its time."""

    def measure(self, at_s: float) -> None:
        """Print the measures since the last call."""

    def finish(self) -> None:
        """Print the measures of the whole run, and stop."""


def print_message(message: msgspec.Struct) -> None:
    """Print a message as one JSON line on standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


class EventScheduler:
    """Applies each event of a timeline at its time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: ScenarioClock,
        timeline: Sequence[Event],
        apply: Callable[[Event], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._timeline = timeline
        self._apply = apply
        self._next_event = 0

    def apply_due_events(self) -> None:
        """Apply the events that are due and set a timer for the next one."""
        now_s = self._clock.now_s()
        while self._next_event < len(self._timeline) and self._timeline[self._next_event].at_s <= now_s:
            self._next_event += 1
            self._apply(self._timeline[self._next_event - 1])
        if self._next_event < len(self._timeline):
            self._loop.call_later(
                max(0.0, self._timeline[self._next_event].at_s - now_s), self.apply_due_events
            )


class _MeasureTimer:
    """Asks the role for its measures once per second of the scenario."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: ScenarioClock, child: ChildRole) -> None:
        self._loop = loop
        self._clock = clock
        self._child = child
        self._due_s = MEASURE_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def schedule(self) -> None:
        self._timer = self._loop.call_later(max(0.0, self._due_s - self._clock.now_s()), self._measure)

    def _measure(self) -> None:
        self._child.measure(self._due_s)
        self._due_s += MEASURE_INTERVAL_S
        self.schedule()


def run_child(role: str, build_role: Callable[[FleetContext], ChildRole]) -> int:
    """Run one child process until it stops; returns its exit code."""
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    try:
        uvloop.run(_run(role, build_role))
    except BadInputError as error:
        print(f"{role}: {error.message}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


async def _run(role: str, build_role: Callable[[FleetContext], ChildRole]) -> None:
    loop = asyncio.get_running_loop()
    lines = await _open_standard_input(loop)
    config = await _read_message(lines, ProcessConfig)
    if config is None:
        return
    fleet = load_fleet_context(config)
    child = build_role(fleet)
    await child.listen()
    gc.collect()
    gc.freeze()  # keeps long-lived objects out of later garbage collections
    gc.set_threshold(*GC_THRESHOLDS)
    print_message(Ready(role, config.index))
    start = await _read_message(lines, Start)
    if start is None:
        return
    clock = ScenarioClock(start.monotonic_ns)
    child.start(clock)
    EventScheduler(loop, clock, fleet.timeline, child.apply).apply_due_events()
    measure_timer = _MeasureTimer(loop, clock, child)
    measure_timer.schedule()
    while await lines.readline():
        pass  # no further messages are expected; the child stops at the end of the input
    measure_timer.stop()
    child.finish()


async def _open_standard_input(loop: asyncio.AbstractEventLoop) -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def _read_message(lines: asyncio.StreamReader, kind: type[Message]) -> Message | None:
    """Read the next line as a message of this type; None at the end of the input.

    Raises BadInputError if the line is not such a message.
    """
    line = await lines.readline()
    if not line:
        return None
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as error:
        raise BadInputError(f"standard input: not a valid {kind.__name__}: {error}") from None
