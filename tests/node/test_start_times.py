"""Server start times under a wall clock that is wrong at the start, or stepped while the process serves."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from dykeshift.node.listing import ListReader
from tests.node.stubs import instance, listing, run

NS_PER_S = 1_000_000_000
HOUR_S = 3600
# Name and true age in seconds.
OLD_SERVER = ("old", 7200.0)
NEW_SERVER = ("fresh", 1.0)
NEWER_SERVER = ("later", 0.5)


class ListReaderWithClockError:
    """A reader on a machine whose wall clock is wrong; lists give servers' starts by the correct clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, clock_error_s: int) -> None:
        true_time_ns = time.time_ns
        self.clock_error_s = clock_error_s
        self.true_time_ns = true_time_ns
        monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + self.clock_error_s * NS_PER_S)
        self.reader = ListReader(("a",), ("m",))

    def list_entry(self, server: tuple[str, float]) -> dict[str, Any]:
        name, age = server
        return instance(name, ("127.0.0.1", 1), startedAtMs=int(self.true_time_ns() / 1e6 - age * 1000))

    async def ages(self, is_full: bool, *entries: dict[str, Any]) -> list[float]:
        """Return the servers' ages in seconds, as they result from reading this list."""
        listing_update = await self.reader.read(json.dumps(listing(1, is_full, *entries)))
        return [
            (time.monotonic_ns() - listed.entry.started_at) / NS_PER_S for listed in listing_update.servers
        ]


@pytest.mark.parametrize("clock_error_s", [0, 5, -5, HOUR_S, -HOUR_S])
def test_server_that_starts_during_service_is_cold_whatever_the_wall_clock_says(
    clock_error_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        reader = ListReaderWithClockError(monkeypatch, clock_error_s)
        old = reader.list_entry(OLD_SERVER)
        (first,) = await reader.ages(True, old)
        new, newer = reader.list_entry(NEW_SERVER), reader.list_entry(NEWER_SERVER)
        ages = await reader.ages(False, newer, new)
        assert all(-1.5 <= age <= 1.5 for age in ages)
        again = await reader.ages(True, newer, new, old)
        assert again == pytest.approx([*ages, first], abs=0.5)  # no server looks restarted

    run(main())


def test_clock_behind_at_start_makes_no_server_cold_for_an_hour(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        reader = ListReaderWithClockError(monkeypatch, -HOUR_S)
        ages = await reader.ages(True, reader.list_entry(NEW_SERVER), reader.list_entry(("warm", 120.0)))
        assert ages[0] == pytest.approx(0.0, abs=0.5) and ages[1] == pytest.approx(119.0, abs=1.0)

    run(main())


def test_clock_step_during_service_has_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        reader = ListReaderWithClockError(monkeypatch, 0)
        await reader.ages(True, reader.list_entry(OLD_SERVER))
        reader.clock_error_s = HOUR_S
        ages = await reader.ages(False, reader.list_entry(NEW_SERVER))
        assert ages == pytest.approx([1.0], abs=0.5)

    run(main())
