"""Reads and checks the configuration of this balancer: the file that NODE_CONFIG names."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass, field, replace
from typing import Any

from dykeshift.interface import Settings
from dykeshift.node.address import Address, parse_address
from dykeshift.node.json_cursor import JsonCursor
from dykeshift.node.listing import ServerListing, ServerRow, parse_listing
from dykeshift.node.tenants import TenantTable
from dykeshift.node.transient_errors import is_transient
from dykeshift.settings import MalformedInputError, SettingsError, require, parse_settings

log = logging.getLogger(__name__)

CONNECTION_DESCRIPTOR_SHARE = 0.4  # of the descriptors, for client connections, and as many for upstreams
BASE_MEMORY_MB = 16.0  # memory of the process without open connections, including a reserve
MAX_CONNECTION_MEMORY_MB = 0.128  # a connection buffers a whole body, and once more while forwarding it


class ConfigError(Exception):
    """The configuration cannot be used; the text is one line for people."""


class TransientReadError(ConfigError):
    """The file could not be read because of a transient error."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of this balancer, parsed and checked."""

    raw: dict[str, Any]  # the decoded JSON without tenants and known servers
    listen: Address
    discovery: Address
    seed: int
    max_connections: int  # to clients, and as many to upstreams
    known_list: ServerListing[ServerRow] | None  # server list from before the start, if there is a valid one
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tenants: TenantTable
    keepalive_s: float  # idle time after which an upstream closes a connection
    connect_timeout_s: float
    drain_grace_s: float  # time from the notice of a drain until requests to that server have to stop
    settings_version: int  # 0 if the deployment does not number its settings
    control: Address | None  # the settings agent, if settings may change while the balancer serves


@dataclass(frozen=True, slots=True)
class TenantList:
    """Names and quotas in the order of the settings.

    The tenants' JSON objects would take several times the memory.
    """

    names: list[bytes] = field(default_factory=list)
    quotas_per_s: list[float] = field(default_factory=list)
    interned_quotas: dict[float, float] = field(default_factory=dict)  # one object for all equal quotas

    def add(self, members: list[tuple[str, Any]]) -> dict[str, Any] | None:
        """Add the tenant with these members, or return an object that is not a tenant as a dict.

        The JSON decoder calls this method for each object that it has read.
        """
        fields = dict(members)
        if "name" not in fields or "quotaPerS" not in fields:
            return fields
        quota = float(fields["quotaPerS"])
        self.names.append(str(fields["name"]).encode())
        self.quotas_per_s.append(self.interned_quotas.setdefault(quota, quota))
        return None


def load(path: str, with_known_list: bool = True) -> Config:
    """Read the configuration file. Raises ConfigError, or TransientReadError after a transient error."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        error_class = TransientReadError if is_transient(exc) else ConfigError
        raise error_class(f"cannot read the configuration {path!r}: {exc}") from None
    except ValueError as exc:
        raise ConfigError(f"cannot read the configuration {path!r}: {exc}") from None
    try:
        return parse(text, with_known_list)
    except (MalformedInputError, ValueError, TypeError, AttributeError, RecursionError) as exc:
        raise ConfigError(f"invalid configuration {path!r}: {exc}") from None


def parse(text: str, with_known_list: bool = True) -> Config:
    """Parse the configuration from JSON text. Its long lists are never in memory as objects all at once."""
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
    """Read the settings that begin here; the tenants are returned separately."""
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
        raise SettingsError("settings.parties is not a list")
    tenants = TenantList()
    parties = cursor.read_value(json.JSONDecoder(object_pairs_hook=tenants.add).raw_decode)
    if len(parties) != len(tenants.quotas_per_s) or any(party is not None for party in parties):
        raise SettingsError("required key settings.parties[].name or quotaPerS is missing")
    return tenants


def read_known_list(cursor: JsonCursor) -> ServerListing[ServerRow] | None:
    """Read the server list that begins here; None if it is null or invalid, which is not an error."""
    is_null = cursor.is_at("null")
    start = cursor.position
    try:
        return parse_listing(cursor)
    except ValueError as exc:
        if not is_null:
            log.warning("ignoring the invalid known server list: %s", exc)
    cursor.position = start
    cursor.read_value()
    return None


def skip_known_list(cursor: JsonCursor) -> None:
    """Skip the server list that begins here row by row; all its objects at once would take much memory."""
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
    """Return the limit for client connections, which is also the one for upstream connections.

    Neither descriptors nor memory may run out when all connections buffer as much as they can. The remaining
    descriptors are for accepting, discovery and sockets that are being closed.
    """
    sockets, memory_mb = int(limits.get("sockets", 1024)), float(limits.get("memory_mb", 192))
    return max(
        4,
        min(
            int(sockets * CONNECTION_DESCRIPTOR_SHARE),
            int((memory_mb - BASE_MEMORY_MB) / 2 / MAX_CONNECTION_MEMORY_MB),
        ),
    )


def build(raw: Any, tenants: TenantList, known_list: ServerListing[ServerRow] | None) -> Config:
    settings = require(raw, "settings", "")
    bounds = require(settings, "bounds", "settings.")
    obligations = require(settings, "obligations", "settings.")
    seed = str(require(raw, "seed", ""))
    control = parse_address(raw["control"]) if "control" in raw else None
    # The decision module needs the tenants' names only if the settings may change. Requests are read with
    # the tenant table, which takes far less memory.
    tenant_indexes = {} if control is None else {name: index for index, name in enumerate(tenants.names)}
    return Config(
        raw=raw,
        listen=parse_address(require(raw, "listen", "")),
        discovery=parse_address(require(raw, "discovery", "")),
        seed=int.from_bytes(seed.encode(), "big"),
        max_connections=max_connections(raw.get("limits", {})),
        known_list=known_list,
        settings=replace(
            parse_settings(settings, tuple(tenants.quotas_per_s)), tenant_indexes=tenant_indexes
        ),
        zones=tuple(map(str, settings.get("failureDomains", ()))),
        kinds=tuple(map(str, settings.get("kinds", ()))),
        tenants=TenantTable.from_names(tenants.names),
        keepalive_s=float(require(bounds, "keepaliveNs", "bounds.")) / 1e9,
        connect_timeout_s=float(require(bounds, "connectTimeoutNs", "bounds.")) / 1e9,
        drain_grace_s=float(require(obligations, "drainGraceNs", "obligations.")) / 1e9,
        settings_version=int(raw.get("settings_version", 0)),
        control=control,
    )


def with_settings(base: Config, settings: Any) -> Config:
    """Return the same configuration with other settings and without a known list."""
    tenants = TenantList()
    for party in settings.get("parties", ()):
        tenants.add(list(party.items()))
    return build({**base.raw, "settings": settings}, tenants, None)
