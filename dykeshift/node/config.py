"""What this balancer is told at its start: the file that NODE_CONFIG names, checked and typed."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass, field, replace
from typing import Any

from dykeshift.interface import Settings
from dykeshift.node.address import Address, read_address
from dykeshift.node.json_cursor import JsonCursor
from dykeshift.node.listing import Listing, Row, read_rows
from dykeshift.node.passing_errors import is_transient
from dykeshift.node.tenants import TenantTable
from dykeshift.settings import Malformed, SettingsError, need, parse_settings

log = logging.getLogger(__name__)

SHARE = 0.4  # of the descriptors, for the connections to clients and again for those to upstreams
PROGRAM = 16.0  # MB that the program needs with no connection open, measured, with some room
BUFFERS = 0.128  # MB that one connection holds at the most: a whole body, and again while it is passed on


class ConfigError(Exception):
    """The configuration cannot be used; its text is one plain line for people."""


class UnreadableError(ConfigError):
    """The file could not be read, for a reason that may pass within a moment."""


@dataclass(frozen=True, slots=True)
class Config:
    raw: dict[str, Any]  # as it was read, but for tenants and known servers
    listen: Address
    discovery: Address
    seed: int
    connections: int  # most that may be open to clients, and as many to upstreams
    known: Listing[Row] | None  # the list as this balancer last had it; None: none that is sound
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tenants: TenantTable
    keepalive: float  # seconds after which an upstream closes an idle connection
    connect_timeout: float  # seconds
    drain_grace: float  # seconds after a drain is told in which sends to that server have to stop
    settings_version: int  # of the settings; 0 where the deployment counts none
    control: Address | None  # the agent that tells of new settings in service, where there is one


@dataclass(frozen=True, slots=True)
class Tenants:
    """In the settings' order. As the objects of their JSON they would take several times the memory."""

    names: list[bytes] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    held: dict[float, float] = field(default_factory=dict)  # one object for all shares of one size

    def add(self, members: list[tuple[str, Any]]) -> dict[str, Any] | None:
        """Called by the JSON decoder for each object; what is no tenant remains an object."""
        fields = dict(members)
        if "name" not in fields or "quotaPerS" not in fields:
            return fields
        share = float(fields["quotaPerS"])
        self.names.append(str(fields["name"]).encode())
        self.shares.append(self.held.setdefault(share, share))
        return None


def load(path: str, with_known: bool = True) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        kind = UnreadableError if is_transient(exc) else ConfigError
        raise kind(f"cannot read the configuration {path!r}: {exc}") from None
    except ValueError as exc:
        raise ConfigError(f"cannot read the configuration {path!r}: {exc}") from None
    try:
        return read(text, with_known)
    except (Malformed, ValueError, TypeError, AttributeError, RecursionError) as exc:
        raise ConfigError(f"bad configuration {path!r}: {exc}") from None


def read(text: str, with_known: bool = True) -> Config:
    """The configuration from its JSON, whose longest parts are never held as objects all at once."""
    cursor = JsonCursor(text)
    raw: dict[str, Any] = {}
    tenants, known = Tenants(), None
    for key in cursor.members():
        if key == "known" and with_known:
            known = read_known(cursor)
        elif key == "known":
            skip_known(cursor)
        elif key == "settings" and cursor.begins("{"):
            raw[key], tenants = read_settings_members(cursor)
        else:
            raw[key] = cursor.value()
    cursor.end()
    return parse(raw, tenants, known)


def read_settings_members(cursor: JsonCursor) -> tuple[dict[str, Any], Tenants]:
    """The settings that begin here, and apart from them their tenants."""
    raw: dict[str, Any] = {}
    tenants = Tenants()
    for key in cursor.members():
        if key == "parties":
            tenants = read_tenants(cursor)
        else:
            raw[key] = cursor.value()
    return raw, tenants


def read_tenants(cursor: JsonCursor) -> Tenants:
    if not cursor.begins("["):
        raise SettingsError("settings.parties is no list")
    tenants = Tenants()
    parties = cursor.value(json.JSONDecoder(object_pairs_hook=tenants.add).raw_decode)
    if len(parties) != len(tenants.shares) or any(party is not None for party in parties):
        raise SettingsError("settings lack settings.parties[].name or quotaPerS")
    return tenants


def read_known(cursor: JsonCursor) -> Listing[Row] | None:
    """The list that begins here; one that is unsound is dropped, the rest of the configuration holds."""
    unknown = cursor.begins("null")
    start = cursor.position
    try:
        return read_rows(cursor)
    except ValueError as exc:
        if not unknown:
            log.warning("the known list is dropped: %s", exc)
    cursor.position = start
    cursor.value()
    return None


def skip_known(cursor: JsonCursor) -> None:
    """Pass over the list that begins here, row by row, as its objects at once would take much memory."""
    if not cursor.begins("{"):
        cursor.value()
        return
    for key in cursor.members():
        if key == "instances" and cursor.begins("["):
            for _ in cursor.elements():
                pass
        else:
            cursor.value()


def most_connections(limits: dict[str, Any]) -> int:
    """Of either kind, so that neither descriptors nor memory run out when all of them are full.

    What is left of the descriptors is for accepting, discovery and sockets that are being closed.
    """
    sockets, memory = int(limits.get("sockets", 1024)), float(limits.get("memory_mb", 192))
    return max(4, min(int(sockets * SHARE), int((memory - PROGRAM) / 2 / BUFFERS)))


def parse(raw: Any, tenants: Tenants, known: Listing[Row] | None) -> Config:
    given = need(raw, "settings", "")
    limits = need(given, "bounds", "settings.")
    rules = need(given, "obligations", "settings.")
    seed = str(need(raw, "seed", ""))
    control = read_address(raw["control"]) if "control" in raw else None
    # By name only where they may change: the table that requests are read with takes far less memory.
    numbers = {} if control is None else {name: number for number, name in enumerate(tenants.names)}
    return Config(
        raw=raw,
        listen=read_address(need(raw, "listen", "")),
        discovery=read_address(need(raw, "discovery", "")),
        seed=int.from_bytes(seed.encode(), "big"),
        connections=most_connections(raw.get("limits", {})),
        known=known,
        settings=replace(parse_settings(given, tuple(tenants.shares)), tenants=numbers),
        zones=tuple(map(str, given.get("failureDomains", ()))),
        kinds=tuple(map(str, given.get("kinds", ()))),
        tenants=TenantTable.of(tenants.names),
        keepalive=float(need(limits, "keepaliveNs", "bounds.")) / 1e9,
        connect_timeout=float(need(limits, "connectTimeoutNs", "bounds.")) / 1e9,
        drain_grace=float(need(rules, "drainGraceNs", "obligations.")) / 1e9,
        settings_version=int(raw.get("settings_version", 0)),
        control=control,
    )


def with_settings(base: Config, given: Any) -> Config:
    """The same configuration with other settings."""
    tenants = Tenants()
    for party in given.get("parties", ()):
        tenants.add(list(party.items()))
    return parse({**base.raw, "settings": given}, tenants, None)
