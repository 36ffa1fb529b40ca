"""A made-up deployment of a given scale: its settings object, its server list and its requests."""

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
QUOTA_TRAFFIC_MULTIPLE = 1.5  # tenants' quotas together, as a multiple of the traffic
REQUEST_TIMEOUT_MS = 900
_IDEMPOTENCY = ("pure", "token", "side_effect")
_DEADLINE = 1_000 * NS_PER_MS


class DiscoveryMode(Enum):
    """How changes of the list reach a balancer; the values are the settings' own words."""

    PUSH = "push"
    ASK = "ask"


def class_name(number: int) -> str:
    """Name of a request class."""
    return f"class-{number}"


def tenant_name(number: int) -> str:
    """Name of a tenant."""
    return f"tenant-{number}"


def class_idempotency(number: int) -> str:
    """Whether requests of a class may be repeated, in the settings' words."""
    return _IDEMPOTENCY[number % len(_IDEMPOTENCY)]


def _service(number: int) -> dict[str, Any]:
    return {
        "name": class_name(number),
        "goalTimeNs": 250 * NS_PER_MS,
        "deadlineNs": _DEADLINE,
        "worth": 1.0 + number % 5,
        "idempotency": class_idempotency(number),
        "group": "all",
        "windowNs": _DEADLINE,
        "lateShare": 0.0,
        "stream": False,
    }


def build_settings(
    scale: Scale, mode: DiscoveryMode = DiscoveryMode.PUSH, balancer_index: int = 0
) -> dict[str, Any]:
    """The settings object as the deployment words it."""
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
        "services": [_service(n) for n in range(scale.services)],
    }


def build_server_entry(number: int, state: ServerState = ServerState.READY) -> ServerEntry:
    """Server `number` as the decision module is told of it."""
    return ServerEntry(
        id=number,
        zone=number % len(ZONES),
        cell=number // SERVERS_PER_CELL,
        kind=number % len(MACHINE_TYPES),
        state=state,
        weight=1.0,
        started_at=0,
    )


def server_host(number: int) -> str:
    """A loopback address of its own for each server."""
    high, low = divmod(number, 254)
    return f"127.64.{high}.{low + 1}"


def build_instance(number: int, port: int, lifecycle: str = "active") -> Instance:
    """Server `number` as discovery lists it."""
    entry = build_server_entry(number)
    return Instance(
        instance_id=f"s-{number:08x}",
        host_port=f"{server_host(number)}:{port}",
        zone=ZONES[entry.zone],
        machine_type=MACHINE_TYPES[entry.kind],
        cell=entry.cell,
        lifecycle=lifecycle,
    )


def encode_full_list(servers: int, port: int, generation: int = 1) -> bytes:
    """The body that tells the whole list."""
    return msgspec.json.encode(Listing(generation, True, [build_instance(n, port) for n in range(servers)]))


def encode_delta(number: int, port: int, lifecycle: str, generation: int = 2) -> bytes:
    """The body that tells one changed entry."""
    return msgspec.json.encode(Listing(generation, False, [build_instance(number, port, lifecycle)]))


def exponential_quantile(fraction: float, mean: float) -> float:
    """Quantile of an exponential distribution, to turn uniform draws into gaps and service times."""
    return -mean * math.log(1.0 - fraction)
