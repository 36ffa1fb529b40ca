"""A synthetic deployment of a given scale: its settings, server list and request attributes."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any

import msgspec

from dykeshift.interface import ServerEntry, ServerState
from emulator.discovery_schema import Instance, Listing
from emulator.slopes.sizes import Scale

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
ZONES = ("a", "b", "c")
MACHINE_TYPES = ("small", "large")
SERVERS_PER_CELL = 8
QUOTA_TRAFFIC_MULTIPLE = 1.5  # sum of all tenant quotas, as a multiple of the traffic
CLIENT_TIMEOUT_MS = 900  # X-Deadline-Ms of each request: how long its client waits for a response
_IDEMPOTENCY_VALUES = ("pure", "token", "side_effect")
_MAX_CLIENT_TIMEOUT_NS = 1_000 * NS_PER_MS  # in the settings, of each class; the clients use less of it


class DiscoveryMode(Enum):
    """How changes of the server list reach a balancer; the values are those of the setting `discovery`."""

    PUSH = "push"
    ASK = "ask"


def class_name(class_index: int) -> str:
    """Return the name of a request class."""
    return f"class-{class_index}"


def tenant_name(tenant_index: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{tenant_index}"


def class_idempotency(class_index: int) -> str:
    """Return the setting `idempotency` of a request class: whether its requests may be repeated."""
    return _IDEMPOTENCY_VALUES[class_index % len(_IDEMPOTENCY_VALUES)]


def _build_class(class_index: int) -> dict[str, Any]:
    return {
        "name": class_name(class_index),
        "goalTimeNs": 250 * NS_PER_MS,
        "deadlineNs": _MAX_CLIENT_TIMEOUT_NS,
        "worth": 1.0 + class_index % 5,
        "idempotency": class_idempotency(class_index),
        "group": "all",
        "windowNs": _MAX_CLIENT_TIMEOUT_NS,
        "lateShare": 0.0,
        "stream": False,
    }


def build_settings(
    scale: Scale, mode: DiscoveryMode = DiscoveryMode.PUSH, balancer_index: int = 0
) -> dict[str, Any]:
    """Return the settings object of one balancer, in the format of its configuration file."""
    quota = QUOTA_TRAFFIC_MULTIPLE * scale.requests * scale.balancers / scale.tenants
    return {
        "az": balancer_index % len(ZONES),
        "me": balancer_index,
        "balancers": scale.balancers,
        "discovery": mode.value,
        "stepNs": 2 * NS_PER_MS,
        "failureDomains": list(ZONES),
        "kinds": list(MACHINE_TYPES),
        "report": {"fields": [], "how": "silent"},
        "overShareWorth": 0.2,
        "goal": {"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.05},
        "parties": [
            {"name": tenant_name(n), "quotaPerS": quota, "share": 1 / scale.tenants}
            for n in range(scale.tenants)
        ],
        "bounds": {
            "cancelling": True,
            "maxAttempts": 3,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterNs": 2 * NS_PER_S,
            "keepaliveNs": 15 * NS_PER_S,
            "connectTimeoutNs": 120 * NS_PER_MS,
        },
        "obligations": {
            "answerSlackNs": 8 * NS_PER_MS,
            "askEveryNs": 10 * NS_PER_S,
            "coldFrom": 0.36,
            "coldNs": 8_600 * NS_PER_MS,
            "drainGraceNs": 300 * NS_PER_MS,
            "fallNs": 3 * NS_PER_S,
            "tipMultiple": 3.0,
        },
        "services": [_build_class(n) for n in range(scale.services)],
    }


def build_server_entry(server_id: int, state: ServerState = ServerState.READY) -> ServerEntry:
    """Return the entry of a server in the list that the decision module gets."""
    return ServerEntry(
        id=server_id,
        zone=server_id % len(ZONES),
        cell=server_id // SERVERS_PER_CELL,
        kind=server_id % len(MACHINE_TYPES),
        state=state,
        weight=1.0,
        started_at=0,
    )


def server_host(server_id: int) -> str:
    """Return the loopback address of a server; each server has a different one."""
    high, low = divmod(server_id, 254)
    return f"127.64.{high}.{low + 1}"


def build_instance(server_id: int, port: int, lifecycle: str = "active") -> Instance:
    """Return the entry of a server in the list of discovery."""
    entry = build_server_entry(server_id)
    return Instance(
        instance_id=f"s-{server_id:08x}",
        host_port=f"{server_host(server_id)}:{port}",
        zone=ZONES[entry.zone],
        machine_type=MACHINE_TYPES[entry.kind],
        cell=entry.cell,
        lifecycle=lifecycle,
    )


def encode_full_list(servers: int, port: int, generation: int = 1) -> bytes:
    """Return the response body of discovery with the full list."""
    return msgspec.json.encode(Listing(generation, True, [build_instance(n, port) for n in range(servers)]))


def encode_delta(server_id: int, port: int, lifecycle: str, generation: int = 2) -> bytes:
    """Return the response body of discovery with one changed entry."""
    return msgspec.json.encode(Listing(generation, False, [build_instance(server_id, port, lifecycle)]))


def exponential_quantile(fraction: float, mean: float) -> float:
    """Return a quantile of an exponential distribution: turns a uniform draw into an exponential interval."""
    return -mean * math.log(1.0 - fraction)
