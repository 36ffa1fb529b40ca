"""Discovery's answers as bytes: each whole list and each set of changes is encoded once."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache

import msgspec

from emulator.discovery_schema import Instance, Listing
from emulator.fleet.contract import AddressPlan
from emulator.fleet.discovery_list import (
    FIRST_GENERATION,
    Lifecycle,
    ListEntry,
    ListVersion,
    build_full_list,
    merge_versions,
)
from emulator.fleet.layout import Layout, instance_id
from emulator.fleet.settings_for_balancers import format_host_port

MAX_CACHED_LISTS = 4  # agents of one region are at most a few versions apart
MAX_CACHED_DELTAS = 1024


class InstanceBuilder:
    """Turns entries into their published form."""

    def __init__(
        self,
        layout: Layout,
        addresses: AddressPlan,
        kinds: Sequence[str],
        unix_ms: Callable[[float], int],
    ) -> None:
        self._layout = layout
        self._kinds = kinds
        self._unix_ms = unix_ms
        self._host_ports = [
            format_host_port(addresses.server_address(place.number)) for place in layout.servers
        ]

    def build(self, entry: ListEntry) -> Instance:
        """One entry in its published form."""
        place = self._layout.servers[entry.server]
        return Instance(
            instance_id=instance_id(entry.server, entry.replacements),
            host_port=self._host_ports[entry.server],
            zone=self._layout.zone_names[place.zone],
            machine_type=self._kinds[place.kind],
            cell=place.cell,
            lifecycle=entry.lifecycle.value,
            weight=1.0,
            started_at_ms=0 if entry.started_s is None else self._unix_ms(entry.started_s),
        )


class RegionEncoder:
    """The answers that the agents of one region give.

    A whole list is joined from entries that are encoded already: to encode all of them for each new version
    would keep every agent from answering in time.
    """

    def __init__(self, versions: Sequence[ListVersion], servers: int, builder: InstanceBuilder) -> None:
        self._versions = versions
        self._builder = builder
        first = build_full_list(servers, ())
        self._first_rows = {(entry.server, entry.replacements): self._row(entry) for entry in first}
        self.full_list = lru_cache(MAX_CACHED_LISTS)(self._full_list)
        self.delta = lru_cache(MAX_CACHED_DELTAS)(self._delta)

    def _full_list(self, generation: int) -> bytes:
        """The body of the whole list of a generation."""
        rows = self._first_rows.copy()
        for entry in merge_versions(self._versions[: generation - FIRST_GENERATION]):
            key = (entry.server, entry.replacements)
            if entry.lifecycle is Lifecycle.LEFT:
                rows.pop(key, None)
            else:
                rows[key] = self._row(entry)
        return _listing(generation, b"true", rows.values())

    def _delta(self, begin: int, end: int) -> bytes:
        """The body of the changes from one generation to a later one."""
        between = self._versions[begin - FIRST_GENERATION : end - FIRST_GENERATION]
        return _listing(end, b"false", map(self._row, merge_versions(between)))

    def _row(self, entry: ListEntry) -> bytes:
        return msgspec.json.encode(self._builder.build(entry))


def _listing(generation: int, reset: bytes, rows: Iterable[bytes]) -> bytes:
    """`Listing` from entries that are encoded already."""
    return b'{"generation":%d,"reset":%s,"instances":[%s]}' % (generation, reset, b",".join(rows))


def known_list(
    layout: Layout, addresses: AddressPlan, kinds: Sequence[str], servers: int | None = None
) -> Listing:
    """The list at the start of a run, for a balancer's `known`; of the first servers only, if told."""
    builder = InstanceBuilder(layout, addresses, kinds, lambda _: 0)
    entries = build_full_list(len(layout.servers) if servers is None else servers, ())
    return Listing(FIRST_GENERATION, True, [builder.build(entry) for entry in entries])
