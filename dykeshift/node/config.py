"""What this balancer is told at its start: the file that NODE_CONFIG names, checked and typed."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass, field, replace
from typing import Any

from dykeshift.interface import Settings
from dykeshift.node.address import Address, parse_address
from dykeshift.node.json_cursor import JsonCursor
from dykeshift.node.listing import ServerListing, ServerRow, parse_listing
from dykeshift.node.passing_errors import is_transient
from dykeshift.node.tenants import TenantTable
from dykeshift.settings import MalformedInputError, SettingsError, require, parse_settings

log = logging.getLogger(__name__)

CONNECTION_DESCRIPTOR_SHARE = (
    0.4  # of the descriptors, for the connections to clients and again for those to upstreams
)
BASE_MEMORY_MB = 16.0  # MB that the program needs with no connection open, measured, with some room
CONNECTION_MEMORY_MB = (
    0.128  # MB that one connection holds at the most: a whole body, and again while it is passed on
)


class ConfigError(Exception):
    """The configuration cannot be used; its text is one plain line for people."""


class TransientReadError(ConfigError):
    """The file could not be read, for a reason that may pass within a moment."""


@dataclass(frozen=True, slots=True)
class Config:
    raw: dict[str, Any]  # as it was read, but for tenants and known servers
    listen: Address
    discovery: Address
    seed: int
    max_connections: int  # most that may be open to clients, and as many to upstreams
    known_list: (
        ServerListing[ServerRow] | None
    )  # the list as this balancer last had it; None: none that is sound
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tenants: TenantTable
    keepalive_s: float  # seconds after which an upstream closes an idle connection
    connect_timeout_s: float  # seconds
    drain_grace_s: float  # seconds after a drain is told in which sends to that server have to stop
    settings_version: int  # of the settings; 0 where the deployment counts none
    control: Address | None  # the agent that tells of new settings in service, where there is one


@dataclass(frozen=True, slots=True)
class TenantList:
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


def load(path: str, with_known_list: bool = True) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        kind = TransientReadError if is_transient(exc) else ConfigError
        raise kind(f"cannot read the configuration {path!r}: {exc}") from None
    except ValueError as exc:
        raise ConfigError(f"cannot read the configuration {path!r}: {exc}") from None
    try:
        return parse(text, with_known_list)
    except (MalformedInputError, ValueError, TypeError, AttributeError, RecursionError) as exc:
        raise ConfigError(f"bad configuration {path!r}: {exc}") from None


def parse(text: str, with_known_list: bool = True) -> Config:
    """The configuration from its JSON, whose longest parts are never held as objects all at once."""
    cursor = JsonCursor(text)
    raw: dict[str, Any] = {}
    tenants, known_list = TenantList(), None
    for key in cursor.read_keys():
        if key == "known" and with_known_list:
            known_list = read_known_list(cursor)
        elif key == "known":
            skip_known_list(cursor)
        elif key == "settings" and cursor.is_at("{"):
            raw[key], tenants = read_settings_members(cursor)
        else:
            raw[key] = cursor.read_value()
    cursor.expect_end()
    return build(raw, tenants, known_list)


def read_settings_members(cursor: JsonCursor) -> tuple[dict[str, Any], TenantList]:
    """The settings that begin here, and apart from them their tenants."""
    raw: dict[str, Any] = {}
    tenants = TenantList()
    for key in cursor.read_keys():
        if key == "parties":
            tenants = read_tenants(cursor)
        else:
            raw[key] = cursor.read_value()
    return raw, tenants


def read_tenants(cursor: JsonCursor) -> TenantList:
    if not cursor.is_at("["):
        raise SettingsError("settings.parties is no list")
    tenants = TenantList()
    parties = cursor.read_value(json.JSONDecoder(object_pairs_hook=tenants.add).raw_decode)
    if len(parties) != len(tenants.shares) or any(party is not None for party in parties):
        raise SettingsError("settings lack settings.parties[].name or quotaPerS")
    return tenants


def read_known_list(cursor: JsonCursor) -> ServerListing[ServerRow] | None:
    """The list that begins here; one that is unsound is dropped, the rest of the configuration holds."""
    unknown = cursor.is_at("null")
    start = cursor.position
    try:
        return parse_listing(cursor)
    except ValueError as exc:
        if not unknown:
            log.warning("the known list is dropped: %s", exc)
    cursor.position = start
    cursor.read_value()
    return None


def skip_known_list(cursor: JsonCursor) -> None:
    """Pass over the list that begins here, row by row, as its objects at once would take much memory."""
    if not cursor.is_at("{"):
        cursor.read_value()
        return
    for key in cursor.read_keys():
        if key == "instances" and cursor.is_at("["):
            for _ in cursor.read_elements():
                pass
        else:
            cursor.read_value()


def max_connections(limits: dict[str, Any]) -> int:
    """Of either kind, so that neither descriptors nor memory run out when all of them are full.

    What is left of the descriptors is for accepting, discovery and sockets that are being closed.
    """
    sockets, memory = int(limits.get("sockets", 1024)), float(limits.get("memory_mb", 192))
    return max(
        4,
        min(
            int(sockets * CONNECTION_DESCRIPTOR_SHARE),
            int((memory - BASE_MEMORY_MB) / 2 / CONNECTION_MEMORY_MB),
        ),
    )


def build(raw: Any, tenants: TenantList, known_list: ServerListing[ServerRow] | None) -> Config:
    given = require(raw, "settings", "")
    limits = require(given, "bounds", "settings.")
    rules = require(given, "obligations", "settings.")
    seed = str(require(raw, "seed", ""))
    control = parse_address(raw["control"]) if "control" in raw else None
    # By name only where they may change: the table that requests are read with takes far less memory.
    numbers = {} if control is None else {name: number for number, name in enumerate(tenants.names)}
    return Config(
        raw=raw,
        listen=parse_address(require(raw, "listen", "")),
        discovery=parse_address(require(raw, "discovery", "")),
        seed=int.from_bytes(seed.encode(), "big"),
        max_connections=max_connections(raw.get("limits", {})),
        known_list=known_list,
        settings=replace(parse_settings(given, tuple(tenants.shares)), tenant_indexes=numbers),
        zones=tuple(map(str, given.get("failureDomains", ()))),
        kinds=tuple(map(str, given.get("kinds", ()))),
        tenants=TenantTable.from_names(tenants.names),
        keepalive_s=float(require(limits, "keepaliveNs", "bounds.")) / 1e9,
        connect_timeout_s=float(require(limits, "connectTimeoutNs", "bounds.")) / 1e9,
        drain_grace_s=float(require(rules, "drainGraceNs", "obligations.")) / 1e9,
        settings_version=int(raw.get("settings_version", 0)),
        control=control,
    )


def with_settings(base: Config, given: Any) -> Config:
    """The same configuration with other settings."""
    tenants = TenantList()
    for party in given.get("parties", ()):
        tenants.add(list(party.items()))
    return build({**base.raw, "settings": given}, tenants, None)
