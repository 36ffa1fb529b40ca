"""Encodes the responses of discovery; full lists and deltas are cached."""

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

MAX_CACHED_LISTS = 4  # per region, whose agents are at most a few versions apart
MAX_CACHED_DELTAS = 1024


class InstanceBuilder:
    """Builds the published form of list entries."""

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
        """The published form of one entry."""
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
    """Encodes the responses of the agents of one region.

    A full list is joined from entries that are already encoded: encoding all entries again for each new
    version would delay the responses of all agents too long.
    """

    def __init__(self, versions: Sequence[ListVersion], servers: int, builder: InstanceBuilder) -> None:
        self._versions = versions
        self._builder = builder
        initial_entries = build_full_list(servers, ())
        self._initial_rows = {
            (entry.server, entry.replacements): self._encode_entry(entry) for entry in initial_entries
        }
        self.full_list = lru_cache(MAX_CACHED_LISTS)(self._encode_full_list)
        self.delta = lru_cache(MAX_CACHED_DELTAS)(self._encode_delta)

    def _encode_full_list(self, generation: int) -> bytes:
        """Response body with the full list of a generation."""
        rows = self._initial_rows.copy()
        for entry in merge_versions(self._versions[: generation - FIRST_GENERATION]):
            key = (entry.server, entry.replacements)
            if entry.lifecycle is Lifecycle.LEFT:
                rows.pop(key, None)
            else:
                rows[key] = self._encode_entry(entry)
        return _encode_listing(generation, b"true", rows.values())

    def _encode_delta(self, begin: int, end: int) -> bytes:
        """Response body with the changes from one generation to a later one."""
        versions = self._versions[begin - FIRST_GENERATION : end - FIRST_GENERATION]
        return _encode_listing(end, b"false", map(self._encode_entry, merge_versions(versions)))

    def _encode_entry(self, entry: ListEntry) -> bytes:
        return msgspec.json.encode(self._builder.build(entry))


def _encode_listing(generation: int, reset: bytes, rows: Iterable[bytes]) -> bytes:
    """Encode a `Listing` from encoded entries."""
    return b'{"generation":%d,"reset":%s,"instances":[%s]}' % (generation, reset, b",".join(rows))


def known_list(
    layout: Layout, addresses: AddressPlan, kinds: Sequence[str], servers: int | None = None
) -> Listing:
    """Server list at the start of a run, for `known` in a balancer's configuration.

    If `servers` is given, the list has only that many servers, by number.
    """
    builder = InstanceBuilder(layout, addresses, kinds, lambda _: 0)
    entries = build_full_list(len(layout.servers) if servers is None else servers, ())
    return Listing(FIRST_GENERATION, True, [builder.build(entry) for entry in entries])
