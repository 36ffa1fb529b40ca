"""Lists of servers in discovery's form, checked and read a bounded number of rows at a time."""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import time
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from dykeshift.interface import ServerEntry, ServerState
from dykeshift.node.config import read_address
from dykeshift.node.json_cursor import JsonCursor

ROWS_PER_TURN = 100  # rows read between two turns of the event loop: one to two milliseconds of work
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


@dataclass(frozen=True, slots=True)
class Listed:
    """One server of a list; its address is kept as text, since most servers are never connected to."""

    entry: ServerEntry
    address: str  # host:port, checked; empty for a server that is gone


@dataclass(frozen=True, slots=True)
class Listing:
    """A whole list or the changes since an earlier one."""

    generation: int
    whole: bool
    servers: list[Listed]


ListingSteps = Generator[None, None, Listing]


def number_of(instance: str) -> int:
    """The same number for the same id, at every start and with nothing kept for those long gone."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=8).digest(), "big")


def decode(body: bytes) -> str:
    """The text of a JSON document, as the json module takes it from bytes."""
    return body.decode(json.detect_encoding(body), "surrogatepass")


class ListReader:
    """Reads lists in discovery's form, for this balancer's clock."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        # One offset for the whole run: starts are compared with one another.
        self.offset = time.monotonic_ns() - time.time_ns()

    def read(self, text: str) -> Listing:
        """The whole text at once; ValueError if any part is unsound."""
        steps = self.steps(text)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                listing: Listing = stop.value
                return listing

    async def read_in_turns(self, text: str) -> Listing:
        """The same with turns of the event loop in between. Cancelled, it has had no effect."""
        steps = self.steps(text)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                listing: Listing = stop.value
                return listing
            await asyncio.sleep(0)

    def steps(self, text: str) -> ListingSteps:
        """Read ROWS_PER_TURN rows in each step; ValueError if any part is unsound."""
        try:
            return (yield from self._steps(JsonCursor(text)))
        except (KeyError, TypeError, AttributeError, OverflowError, RecursionError) as exc:
            raise ValueError(f"{type(exc).__name__}: {exc}") from None

    def _steps(self, cursor: JsonCursor) -> ListingSteps:
        fields: dict[str, Any] = {}
        for key in cursor.members():
            if key == "instances" and cursor.begins("["):
                fields[key] = yield from self._rows(cursor)
            else:
                fields[key] = cursor.value()
        cursor.end()
        generation, whole, servers = fields["generation"], fields["reset"], fields["instances"]
        if type(generation) is not int or type(whole) is not bool or type(servers) is not list:
            raise ValueError("generation, reset or instances is of the wrong kind")
        return Listing(generation, whole, servers)

    def _rows(self, cursor: JsonCursor) -> Generator[None, None, list[Listed]]:
        servers: list[Listed] = []
        for row in cursor.elements():
            servers.append(self._row(row))
            if len(servers) % ROWS_PER_TURN == 0:
                yield
        return servers

    def _row(self, row: Any) -> Listed:
        state = _STATES.get(row["lifecycle"])
        if state is None:
            raise ValueError(f"lifecycle is {row['lifecycle']!r}")
        weight = float(row.get("weight", 1.0))
        if not 0 <= weight < math.inf:
            raise ValueError(f"weight is {weight}")
        began = int(row.get("startedAtMs", 0)) * 1_000_000
        entry = ServerEntry(
            id=number_of(str(row["instanceId"])),
            zone=self.zones.get(str(row.get("zone")), -1),
            cell=int(row.get("cell", 0)),
            kind=self.kinds.get(str(row.get("machineType")), -1),
            state=state,
            weight=weight,
            started=max(1, began + self.offset) if began > 0 else 0,
        )
        if state is ServerState.GONE:
            return Listed(entry, "")
        address = str(row["hostPort"])
        read_address(address)
        return Listed(entry, address)
