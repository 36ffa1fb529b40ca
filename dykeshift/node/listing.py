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

ServerT = TypeVar("ServerT")


class ServerRow(NamedTuple):
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
class ListedServer:
    """One server of a list; its address is kept as text, since most servers are never connected to."""

    entry: ServerEntry
    address: str  # host:port; empty for a server that is gone


@dataclass(frozen=True, slots=True)
class ServerListing(Generic[ServerT]):
    """A whole list or the changes since an earlier one."""

    generation: int
    is_full: bool
    servers: list[ServerT]


FindServer = Callable[[int], ListedServer | None]  # what an earlier list said of the server of this number


def find_no_server(_: int) -> ListedServer | None:
    """No earlier list."""
    return None


def server_id_of(instance: str) -> int:
    """The same number for the same id, at every start and with nothing kept for those long gone."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=8).digest(), "big")


def decode_text(body: bytes) -> str:
    """The text of a JSON document, as the json module takes it from bytes."""
    return body.decode(json.detect_encoding(body), "surrogatepass")


@lru_cache(maxsize=64)
def shared_weight(weight: float) -> float:
    """One object for all servers of this weight; a fleet has few of them."""
    return weight


def parse_row(raw: Any) -> ServerRow:
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
    return ServerRow(
        server_id_of(str(raw["instanceId"])),
        address,
        sys.intern(str(raw.get("zone"))),
        sys.intern(str(raw.get("machineType"))),
        int(raw.get("cell", 0)),
        state,
        shared_weight(weight),
        max(0, int(raw.get("startedAtMs", 0))),
    )


def parse_listing_steps(
    cursor: JsonCursor, convert: Callable[[ServerRow], ServerT]
) -> Generator[None, None, ServerListing[ServerT]]:
    """Read the list that begins here, ROWS_PER_TURN rows in each step.

    ValueError if any part is unsound.
    """
    try:
        return (yield from _parse_members(cursor, convert))
    except (KeyError, TypeError, AttributeError, OverflowError, RecursionError) as exc:
        raise ValueError(f"{type(exc).__name__}: {exc}") from None


def _parse_members(
    cursor: JsonCursor, convert: Callable[[ServerRow], ServerT]
) -> Generator[None, None, ServerListing[ServerT]]:
    fields: dict[str, Any] = {}
    for key in cursor.read_keys():
        if key == "instances" and cursor.is_at("["):
            fields[key] = yield from _parse_rows(cursor, convert)
        else:
            fields[key] = cursor.read_value()
    generation, whole, servers = fields["generation"], fields["reset"], fields["instances"]
    if type(generation) is not int or type(whole) is not bool or type(servers) is not list:
        raise ValueError("generation, reset or instances is of the wrong kind")
    return ServerListing(generation, whole, servers)


def _parse_rows(
    cursor: JsonCursor, convert: Callable[[ServerRow], ServerT]
) -> Generator[None, None, list[ServerT]]:
    servers: list[ServerT] = []
    for raw in cursor.read_elements():
        servers.append(convert(parse_row(raw)))
        if len(servers) % ROWS_PER_TURN == 0:
            yield
    return servers


def parse_listing(cursor: JsonCursor) -> ServerListing[ServerRow]:
    """The list that begins here, at once; ValueError if any part is unsound."""
    steps = parse_listing_steps(cursor, lambda row: row)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            listing: ServerListing[ServerRow] = stop.value
            return listing


class ListReader:
    """Reads lists for this balancer: its numbers for zones and kinds, and its clock."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.start_times = StartTimeConverter()

    def convert(self, row: ServerRow) -> ListedServer:
        entry = ServerEntry(
            id=row.number,
            zone=self.zones.get(row.zone, -1),
            cell=row.cell,
            kind=self.kinds.get(row.kind, -1),
            state=row.state,
            weight=row.weight,
            started_at=self.start_times.monotonic_start_ns(row.started_ms),
        )
        return ListedServer(entry, row.address)

    async def read(
        self, text: str, yield_until: float = math.inf, find_server: FindServer = find_no_server
    ) -> ServerListing[ListedServer]:
        """Read a list with turns of the event loop in between; ValueError if any part is unsound.

        What is unchanged since an earlier list is the object that is `held`, so that a list takes memory
        only for what is new in it.

        From `turns_until` (time.monotonic) on there are no more turns: nothing goes out any more by the
        old list. Cancelled, it has had no effect.
        """

        def convert(row: ServerRow) -> ListedServer:
            new, old = self.convert(row), find_server(row.number)
            return old if old is not None and old == new else new

        cursor = JsonCursor(text)
        steps = parse_listing_steps(cursor, convert)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                cursor.expect_end()
                self.start_times.note_list_read()
                listing: ServerListing[ListedServer] = stop.value
                return listing
            if time.monotonic() < yield_until:
                await asyncio.sleep(0)
