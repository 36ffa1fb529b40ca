"""Parses and validates server lists in discovery's JSON format, a bounded number of rows at a time."""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import re
import sys
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, Generic, NamedTuple, TypeVar

from dykeshift.interface import ServerEntry, ServerState
from dykeshift.node.address import parse_address
from dykeshift.node.json_cursor import JsonCursor
from dykeshift.node.start_times import StartTimeConverter

ROWS_PER_STEP = 100  # one to two milliseconds of work, after which other tasks may run
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}

# How a document usually begins; JSON allows any order and layout.
_USUAL_HEAD = re.compile(
    r'\s*\{\s*"generation"\s*:\s*(?P<generation>[0-9]{1,18})\s*,\s*"reset"\s*:\s*(?P<reset>true|false)\s*,'
)

ServerT = TypeVar("ServerT")


class ServerRow(NamedTuple):
    """One server in the terms of discovery, validated."""

    server_id: int
    address: str  # host:port; empty for a server that is gone
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_ms: int  # Unix time; 0: long ago


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One server in the terms of this balancer.

    The address is kept as text, because most servers are never connected to.
    """

    entry: ServerEntry
    address: str  # host:port; empty for a server that is gone


@dataclass(frozen=True, slots=True)
class ServerListing(Generic[ServerT]):
    """A full list, or the changes since an earlier one."""

    generation: int
    is_full: bool
    servers: list[ServerT]


class ListingHead(NamedTuple):
    """What a document says about its list before the servers."""

    generation: int
    is_full: bool


# Returns the entry of an earlier list for a server ID, or None.
FindServer = Callable[[int], ListedServer | None]


def find_no_server(_: int) -> ListedServer | None:
    """Return None: there is no earlier list."""
    return None


def server_id_of(instance_id: str) -> int:
    """Return the server ID for an instance ID.

    It is a hash, so that it is the same after each start, and nothing is kept for servers that are gone.
    """
    return int.from_bytes(hashlib.blake2b(instance_id.encode(), digest_size=8).digest(), "big")


def decode_text(body: bytes) -> str:
    """Decode a JSON document in the way that json.loads does."""
    return body.decode(json.detect_encoding(body), "surrogatepass")


def read_usual_head(text: str) -> ListingHead | None:
    """Read the head of a document without reading the rest; return None if it begins in another way."""
    match = _USUAL_HEAD.match(text)
    return match and ListingHead(int(match["generation"]), match["reset"] == "true")


@lru_cache(maxsize=64)
def shared_weight(weight: float) -> float:
    """Return one object for all servers of equal weight, as a fleet has few different weights."""
    return weight


def parse_row(raw: Any) -> ServerRow:
    """Validate one server of a list.

    Raises ValueError, KeyError, TypeError, AttributeError or OverflowError if it is invalid.
    """
    state = _STATES.get(raw["lifecycle"])
    if state is None:
        raise ValueError(f"unknown lifecycle {raw['lifecycle']!r}")
    weight = float(raw.get("weight", 1.0))
    if not 0 <= weight < math.inf:
        raise ValueError(f"weight is {weight}, expected a finite number of at least 0")
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
    """Parse the list at the cursor, ROWS_PER_STEP rows in each step.

    Raises ValueError if any part is invalid.
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
    generation, is_full, servers = fields["generation"], fields["reset"], fields["instances"]
    if type(generation) is not int or type(is_full) is not bool or type(servers) is not list:
        raise ValueError("generation, reset or instances has the wrong type")
    return ServerListing(generation, is_full, servers)


def _parse_rows(
    cursor: JsonCursor, convert: Callable[[ServerRow], ServerT]
) -> Generator[None, None, list[ServerT]]:
    servers: list[ServerT] = []
    for raw in cursor.read_elements():
        servers.append(convert(parse_row(raw)))
        if len(servers) % ROWS_PER_STEP == 0:
            yield
    return servers


def parse_listing(cursor: JsonCursor) -> ServerListing[ServerRow]:
    """Parse the list at the cursor at once; raise ValueError if any part is invalid."""
    steps = parse_listing_steps(cursor, lambda row: row)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            listing: ServerListing[ServerRow] = stop.value
            return listing


class ListReader:
    """Reads lists and converts them to this balancer's zone numbers, kind numbers and clock."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.start_times = StartTimeConverter()

    def convert(self, row: ServerRow) -> ListedServer:
        """Convert one row; an unknown zone or kind becomes -1."""
        entry = ServerEntry(
            id=row.server_id,
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
        """Read a list, giving other tasks a turn after each step; raise ValueError if any part is invalid.

        A server that is unchanged since an earlier list is represented by the object that `find_server`
        returns, so that a list takes memory only for its changes.

        From `yield_until` (time.monotonic) on, the rest is read without giving other tasks a turn, so that
        no more requests are sent according to the old list. If the call is cancelled, nothing has been
        applied.
        """

        def convert(row: ServerRow) -> ListedServer:
            new, old = self.convert(row), find_server(row.server_id)
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
