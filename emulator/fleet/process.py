"""What every child process of a fleet run does alike: configuration, start signal, measures and its end.

A child reads its `ProcessConfig`, listens, says `Ready`, waits for `Start`, and ends when its standard input
ends. Its measures are JSON lines on standard output; its log goes to standard error.
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

MEASURE_PERIOD_S = 1.0
COLLECTION_THRESHOLDS = (50_000, 20, 100)  # rare: hardly anything here is in a cycle
MAX_LINE = 1 << 20  # bytes of one line on standard input


Message = TypeVar("Message", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class FleetContext:
    """What a child works out for itself from its configuration."""

    config: ProcessConfig
    scenario: Scenario
    layout: Layout
    timeline: tuple[Event, ...]


def load_fleet_context(config: ProcessConfig) -> FleetContext:
    """Build the fleet that a configuration describes; BadInputError if its scenario cannot be used."""
    scenario = load_scenario(config.scenario)
    layout = build_layout(scenario, config.seed)
    return FleetContext(config, scenario, layout, build_timeline(scenario, config.seed))


class ScenarioClock:
    """Seconds since the scenario's start, on the machine's monotonic clock."""

    def __init__(self, start_ns: int) -> None:
        self._start_ns = start_ns
        # Taken once: the same moment has to be the same Unix time whenever it is told.
        self._unix_start_ns = time.time_ns() + start_ns - time.monotonic_ns()

    def now_s(self) -> float:
        """Seconds since the start; negative before it."""
        return (time.monotonic_ns() - self._start_ns) / 1e9

    def unix_ms(self, at_s: float) -> int:
        """The Unix time of a moment of the scenario, in milliseconds."""
        return int(self._unix_start_ns / 1e6 + at_s * 1e3)


class ChildRole(Protocol):
    """What one kind of child does between its start and its end."""

    async def listen(self) -> None:
        """Open everything that others connect to."""

    def start(self, clock: ScenarioClock) -> None:
        """Begin to act: the scenario's time 0 is known."""

    def apply(self, event: Event) -> None:
        """Take note of one event of the timeline, at its time."""

    def measure(self, at_s: float) -> None:
        """Report what happened since the last call."""

    def finish(self) -> None:
        """Report what happened over the whole run, and stop."""


def print_message(message: msgspec.Struct) -> None:
    """Write one JSON line to standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


class TimelinePlayer:
    """Tells each event of a timeline at its time."""

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
        self._next = 0

    def play(self) -> None:
        """Tell what is due and set a timer for the next event."""
        now_s = self._clock.now_s()
        while self._next < len(self._timeline) and self._timeline[self._next].at_s <= now_s:
            self._next += 1
            self._apply(self._timeline[self._next - 1])
        if self._next < len(self._timeline):
            self._loop.call_later(max(0.0, self._timeline[self._next].at_s - now_s), self.play)


class _Measurer:
    """Asks for measures once a second of the scenario."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: ScenarioClock, part: ChildRole) -> None:
        self._loop = loop
        self._clock = clock
        self._part = part
        self._due_s = MEASURE_PERIOD_S
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def schedule(self) -> None:
        self._timer = self._loop.call_later(max(0.0, self._due_s - self._clock.now_s()), self._measure)

    def _measure(self) -> None:
        self._part.measure(self._due_s)
        self._due_s += MEASURE_PERIOD_S
        self.schedule()


def run_child(role: str, build: Callable[[FleetContext], ChildRole]) -> int:
    """Run one child process to its end; returns its exit code."""
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    try:
        uvloop.run(_run(role, build))
    except BadInputError as error:
        print(f"{role}: {error.message}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


async def _run(role: str, build: Callable[[FleetContext], ChildRole]) -> None:
    loop = asyncio.get_running_loop()
    lines = await _standard_input(loop)
    config = await _read(lines, ProcessConfig)
    if config is None:
        return
    fleet = load_fleet_context(config)
    part = build(fleet)
    await part.listen()
    gc.collect()
    gc.freeze()  # what lives as long as the process is not walked again by each collection
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    print_message(Ready(role, config.index))
    start = await _read(lines, Start)
    if start is None:
        return
    clock = ScenarioClock(start.monotonic_ns)
    part.start(clock)
    TimelinePlayer(loop, clock, fleet.timeline, part.apply).play()
    measurer = _Measurer(loop, clock, part)
    measurer.schedule()
    while await lines.readline():
        pass  # nothing more is said; its end is the signal
    measurer.stop()
    part.finish()


async def _standard_input(loop: asyncio.AbstractEventLoop) -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def _read(lines: asyncio.StreamReader, kind: type[Message]) -> Message | None:
    """The next line as a message; None if the input has ended; BadInputError if it is something else."""
    line = await lines.readline()
    if not line:
        return None
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as error:
        raise BadInputError(f"standard input: no {kind.__name__}: {error}") from None
