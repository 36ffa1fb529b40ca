"""The settings of a fleet's balancers in their JSON form, and the documents that NODE_CONFIG names."""

from __future__ import annotations

from typing import Any

from emulator.fleet.contract import Address, AddressPlan
from emulator.fleet.layout import Layout
from emulator.fleet.scenario import Balancers, RequestClass, Scenario, Tenants

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

CONNECT_TIMEOUT_S = 0.12
KEEPALIVE_S = 15.0  # idle time after which a server closes a connection
DRAIN_GRACE_S = 0.3
ANSWER_GRACE_S = 0.008
MAX_WATCH_INTERVAL_S = 10.0
MIN_CALL_INTERVAL_S = 0.002
MAX_ATTEMPTS = 3
MAX_RETRY_AFTER_S = 2.0
MAX_HELD_REQUESTS = 20_000
MAX_CPU_US_PER_S = 8_000
LOAD_REPORT_FIELDS = ("busy_reqs", "svc_ms")  # requests in flight; recent service time in ms

IDEMPOTENCY_SETTINGS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def build_settings(scenario: Scenario, layout: Layout, balancer: int) -> dict[str, Any]:
    """The settings of one balancer, as `dykeshift.settings.parse_settings` accepts them."""
    return {
        "az": layout.balancer_zones[balancer],
        "balancers": scenario.balancers.total,
        "bounds": _build_bounds(),
        "clients": {"marksRetry": True},
        "discovery": "push",
        "failureDomains": list(layout.zone_names),
        "goal": {"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.05},
        "kinds": [kind.name for kind in scenario.servers.kinds],
        "me": balancer,
        "obligations": _build_obligations(scenario),
        "overShareWorth": scenario.tenants.over_share_worth,
        "parties": _build_tenants(scenario.tenants, scenario.requests_per_s, layout.tenant_shares),
        "report": {"fields": list(LOAD_REPORT_FIELDS), "how": "piggyback"},
        "services": [_build_service(request_class) for request_class in scenario.classes],
        "stepNs": int(MIN_CALL_INTERVAL_S * NS_PER_S),
        "valueBy": "request",
        "weights": "silent",
    }


def build_node_config(
    scenario: Scenario,
    layout: Layout,
    addresses: AddressPlan,
    balancer: int,
    seed: str,
    known: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """The document that NODE_CONFIG names for one balancer.

    `known` is the server list known from before the start, in the published form of discovery.
    """
    return {
        "name": f"n{balancer}",
        "listen": format_host_port(addresses.balancer_address(balancer)),
        "discovery": format_host_port(addresses.agent_address(balancer)),
        "seed": seed,
        "limits": _build_limits(scenario.balancers),
        "known": known,
        "settings": build_settings(scenario, layout, balancer),
    }


def format_host_port(address: Address) -> str:
    """An address as "host:port", as in discovery and in NODE_CONFIG."""
    return f"{address.host}:{address.port}"


def tenant_name(rank: int) -> str:
    """Name of the tenant at a rank, counted from 0."""
    return f"t{rank:05d}"


def _build_limits(balancers: Balancers) -> dict[str, float]:
    return {"cores": balancers.cores, "memory_mb": balancers.memory_mb, "sockets": balancers.sockets}


def _build_bounds() -> dict[str, Any]:
    return {
        "cancelling": True,
        "connectTimeoutNs": int(CONNECT_TIMEOUT_S * NS_PER_S),
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": MAX_CPU_US_PER_S,
        "keepaliveNs": int(KEEPALIVE_S * NS_PER_S),
        "maxAttempts": MAX_ATTEMPTS,
        "maxRetryAfterNs": int(MAX_RETRY_AFTER_S * NS_PER_S),
        "mayTell": False,
        "mostHeld": MAX_HELD_REQUESTS,
        "multiplex": 1,
        "probes": False,
        "retryAfter": True,
        "secondCopies": True,
    }


def _build_obligations(scenario: Scenario) -> dict[str, Any]:
    cold = scenario.cold_start
    return {
        "answerSlackNs": int(ANSWER_GRACE_S * NS_PER_S),
        "askEveryNs": int(MAX_WATCH_INTERVAL_S * NS_PER_S),
        "coldFrom": cold.from_share,
        "coldNs": int(cold.warm_s * NS_PER_S),
        "drainGraceNs": int(DRAIN_GRACE_S * NS_PER_S),
        "fallNs": int(cold.overload_window_s * NS_PER_S),
        "tipMultiple": cold.overload_multiple,
    }


def _build_tenants(
    tenants: Tenants, requests_per_s: float, shares: tuple[float, ...]
) -> list[dict[str, str | float]]:
    named_shares = shares if tenants.in_settings is None else shares[: tenants.in_settings]
    return [
        {
            "name": tenant_name(rank),
            "quotaPerS": round(share * requests_per_s * tenants.quota_factor, 6),
            "share": round(share, 9),
        }
        for rank, share in enumerate(named_shares)
    ]


def _build_service(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "goalTimeNs": int(request_class.aim_ms * NS_PER_MS),
        "deadlineNs": int(request_class.deadline_ms * NS_PER_MS),
        "worth": request_class.worth,
        "lateShare": 0.0,
        "idempotency": IDEMPOTENCY_SETTINGS[request_class.idempotency],
        "group": request_class.scope,
        "windowNs": int(request_class.window_ms * NS_PER_MS),
        "stream": False,
    }
