"""The record of a run while it is collected: measures in memory and as lines in files."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from emulator.fleet.measures import ClientMeasure, HollowMeasure, ProcessMeasure
from emulator.fleet.scenario import Scenario
from emulator.fleet.timeline import Event, build_timeline

MEASURES_FILE = "measures.jsonl"
EVENTS_FILE = "events.jsonl"
TypedMeasure = HollowMeasure | ClientMeasure | ProcessMeasure


@dataclass(frozen=True, slots=True)
class FailedProcess:
    """A process that ended unexpectedly or did not become ready.

    For a failure without an exit code, `name` is the whole message.
    """

    name: str
    exit_code: int | None
    last_lines: tuple[str, ...]


@dataclass(slots=True)
class RunRecord:
    """One run: its scenario, its seed, its folder and what was measured."""

    scenario: Scenario
    seed: int
    folder: Path
    elapsed_s: float = 0.0  # time of the scenario
    starting_s: float = 0.0  # until all processes were ready
    interrupted: bool = False
    failed_processes: list[FailedProcess] = field(default_factory=list)
    real_ready_ms: list[float] = field(default_factory=list)  # restarts of real balancers
    hollow: list[HollowMeasure] = field(default_factory=list)
    clients: list[ClientMeasure] = field(default_factory=list)
    processes: list[ProcessMeasure] = field(default_factory=list)
    stand_in_measures: dict[str, list[dict[str, Any]]] = field(default_factory=dict)  # by role

    def add(self, measure: TypedMeasure) -> None:
        """Add one measure."""
        match measure:
            case HollowMeasure():
                self.hollow.append(measure)
            case ClientMeasure():
                self.clients.append(measure)
            case ProcessMeasure():
                self.processes.append(measure)

    def played_events(self) -> list[Event]:
        """The events of the timeline up to the elapsed time."""
        return [
            event
            for event in build_timeline(self.scenario, self.seed)
            if event.at_s <= min(self.elapsed_s, self.scenario.duration_s)
        ]

    def write_events(self) -> None:
        """Write the events as JSON lines; they depend on the scenario, the seed and the elapsed time only."""
        with (self.folder / EVENTS_FILE).open("wb") as file:
            file.writelines(msgspec.json.encode(event) + b"\n" for event in self.played_events())


class MeasureLog:
    """Adds each measure to the record, and to the run's file of measures."""

    def __init__(self, record: RunRecord) -> None:
        self._record = record
        self._file = (record.folder / MEASURES_FILE).open("wb")
        self._decoder: msgspec.json.Decoder[TypedMeasure] = msgspec.json.Decoder(TypedMeasure)

    def add_line(self, role: str, index: int, line: bytes) -> None:
        """Add a line that a child has printed; lines of the stand-ins get the child's role and index."""
        if role in ("hollow", "clients"):
            self._record.add(self._decoder.decode(line))
            self._file.write(line)
            return
        values = {"kind": role, "index": index} | msgspec.json.decode(line)
        self._record.stand_in_measures.setdefault(role, []).append(values)
        self._file.write(msgspec.json.encode(values) + b"\n")

    def add(self, measure: ProcessMeasure) -> None:
        """Add a measure of the supervisor."""
        self._record.add(measure)
        self._file.write(msgspec.json.encode(measure) + b"\n")

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()
