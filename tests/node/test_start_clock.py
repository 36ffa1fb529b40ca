"""Servers' starts by a wall clock that is off when the process starts, or that is stepped while it serves."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from dykeshift.node.listing import ListReader
from tests.node.stubs import instance, listing, run

S = 1_000_000_000
HOUR = 3600
OLD, FRESH, LATER = ("old", 7200.0), ("fresh", 1.0), ("later", 0.5)  # name, true age in seconds


class Machine:
    """A reader on a machine whose wall clock is off; servers' starts are told by the true one."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, off_by: int) -> None:
        true_time = time.time_ns
        self.off_by = off_by
        self.true_time = true_time
        monkeypatch.setattr(time, "time_ns", lambda: true_time() + self.off_by * S)
        self.reader = ListReader(("a",), ("m",))

    def row(self, server: tuple[str, float]) -> dict[str, Any]:
        name, age = server
        return instance(name, ("127.0.0.1", 1), startedAtMs=int(self.true_time() / 1e6 - age * 1000))

    async def ages(self, whole: bool, *rows: dict[str, Any]) -> list[float]:
        """Servers' ages in seconds as the reader of this list has them."""
        update = await self.reader.read(json.dumps(listing(1, whole, *rows)))
        return [(time.monotonic_ns() - one.entry.started_at) / S for one in update.servers]


@pytest.mark.parametrize("off_by", [0, 5, -5, HOUR, -HOUR])
def test_a_server_that_starts_in_service_is_cold_whatever_the_wall_clock_says(
    off_by: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        machine = Machine(monkeypatch, off_by)
        old = machine.row(OLD)
        (first,) = await machine.ages(True, old)
        fresh, later = machine.row(FRESH), machine.row(LATER)
        ages = await machine.ages(False, later, fresh)
        assert all(-1.5 <= age <= 1.5 for age in ages)
        again = await machine.ages(True, later, fresh, old)
        assert again == pytest.approx([*ages, first], abs=0.5)  # none looks restarted

    run(main())


def test_a_clock_that_is_behind_at_the_start_makes_no_server_cold_for_an_hour(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        machine = Machine(monkeypatch, -HOUR)
        ages = await machine.ages(True, machine.row(FRESH), machine.row(("warm", 120.0)))
        assert ages[0] == pytest.approx(0.0, abs=0.5) and ages[1] == pytest.approx(119.0, abs=1.0)

    run(main())


def test_a_clock_stepped_in_service_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        machine = Machine(monkeypatch, 0)
        await machine.ages(True, machine.row(OLD))
        machine.off_by = HOUR
        ages = await machine.ages(False, machine.row(FRESH))
        assert ages == pytest.approx([1.0], abs=0.5)

    run(main())
