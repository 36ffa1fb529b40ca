"""Lists of servers in discovery's form, checked and read a bounded number of rows at a time."""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import sys
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, Generic, NamedTuple, TypeVar

from dykeshift.interface import ServerEntry, ServerState
from dykeshift.node.address import parse_address
from dykeshift.node.json_cursor import JsonCursor
from dykeshift.node.start_clock import StartTimeConverter

ROWS_PER_TURN = 100  # rows read between two turns of the event loop: one to two milliseconds of work
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}

Entry = TypeVar("Entry")


class Row(NamedTuple):
    """One server as discovery words it, checked."""

    number: int
    address: str  # host:port; empty for a server that is gone
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_ms: int  # Unix time; 0: long ago


@dataclass(frozen=True, slots=True)
class Listed:
    """One server of a list; its address is kept as text, since most servers are never connected to."""

    entry: ServerEntry
    address: str  # host:port; empty for a server that is gone


@dataclass(frozen=True, slots=True)
class Listing(Generic[Entry]):
    """A whole list or the changes since an earlier one."""

    generation: int
    whole: bool
    servers: list[Entry]


Held = Callable[[int], Listed | None]  # what an earlier list said of the server of this number


def nothing_held(_: int) -> Listed | None:
    """No earlier list."""
    return None


def number_of(instance: str) -> int:
    """The same number for the same id, at every start and with nothing kept for those long gone."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=8).digest(), "big")


def decode(body: bytes) -> str:
    """The text of a JSON document, as the json module takes it from bytes."""
    return body.decode(json.detect_encoding(body), "surrogatepass")


@lru_cache(maxsize=64)
def shared(weight: float) -> float:
    """One object for all servers of this weight; a fleet has few of them."""
    return weight


def read_row(raw: Any) -> Row:
    state = _STATES.get(raw["lifecycle"])
    if state is None:
        raise ValueError(f"lifecycle is {raw['lifecycle']!r}")
    weight = float(raw.get("weight", 1.0))
    if not 0 <= weight < math.inf:
        raise ValueError(f"weight is {weight}")
    address = ""
    if state is not ServerState.GONE:
        address = str(raw["hostPort"])
        parse_address(address)
    return Row(
        number_of(str(raw["instanceId"])),
        address,
        sys.intern(str(raw.get("zone"))),
        sys.intern(str(raw.get("machineType"))),
        int(raw.get("cell", 0)),
        state,
        shared(weight),
        max(0, int(raw.get("startedAtMs", 0))),
    )


def listing_steps(
    cursor: JsonCursor, convert: Callable[[Row], Entry]
) -> Generator[None, None, Listing[Entry]]:
    """Read the list that begins here, ROWS_PER_TURN rows in each step.

    ValueError if any part is unsound.
    """
    try:
        return (yield from _members(cursor, convert))
    except (KeyError, TypeError, AttributeError, OverflowError, RecursionError) as exc:
        raise ValueError(f"{type(exc).__name__}: {exc}") from None


def _members(cursor: JsonCursor, convert: Callable[[Row], Entry]) -> Generator[None, None, Listing[Entry]]:
    fields: dict[str, Any] = {}
    for key in cursor.read_keys():
        if key == "instances" and cursor.is_at("["):
            fields[key] = yield from _rows(cursor, convert)
        else:
            fields[key] = cursor.read_value()
    generation, whole, servers = fields["generation"], fields["reset"], fields["instances"]
    if type(generation) is not int or type(whole) is not bool or type(servers) is not list:
        raise ValueError("generation, reset or instances is of the wrong kind")
    return Listing(generation, whole, servers)


def _rows(cursor: JsonCursor, convert: Callable[[Row], Entry]) -> Generator[None, None, list[Entry]]:
    servers: list[Entry] = []
    for raw in cursor.read_elements():
        servers.append(convert(read_row(raw)))
        if len(servers) % ROWS_PER_TURN == 0:
            yield
    return servers


def read_rows(cursor: JsonCursor) -> Listing[Row]:
    """The list that begins here, at once; ValueError if any part is unsound."""
    steps = listing_steps(cursor, lambda row: row)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            listing: Listing[Row] = stop.value
            return listing


class ListReader:
    """Reads lists for this balancer: its numbers for zones and kinds, and its clock."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.start_clock = StartTimeConverter()

    def convert(self, row: Row) -> Listed:
        entry = ServerEntry(
            id=row.number,
            zone=self.zones.get(row.zone, -1),
            cell=row.cell,
            kind=self.kinds.get(row.kind, -1),
            state=row.state,
            weight=row.weight,
            started_at=self.start_clock.monotonic_start_ns(row.started_ms),
        )
        return Listed(entry, row.address)

    async def read(
        self, text: str, turns_until: float = math.inf, held: Held = nothing_held
    ) -> Listing[Listed]:
        """Read a list with turns of the event loop in between; ValueError if any part is unsound.

        What is unchanged since an earlier list is the object that is `held`, so that a list takes memory
        only for what is new in it.

        From `turns_until` (time.monotonic) on there are no more turns: nothing goes out any more by the
        old list. Cancelled, it has had no effect.
        """

        def convert(row: Row) -> Listed:
            new, old = self.convert(row), held(row.number)
            return old if old is not None and old == new else new

        cursor = JsonCursor(text)
        steps = listing_steps(cursor, convert)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                cursor.expect_end()
                self.start_clock.note_list_read()
                listing: Listing[Listed] = stop.value
                return listing
            if time.monotonic() < turns_until:
                await asyncio.sleep(0)
