"""What the balancers of a fleet are told at their start: the settings in the wire's form, and NODE_CONFIG."""

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
CPU_US_PER_S = 8_000
LOAD_REPORT_FIELDS = ("busy_reqs", "svc_ms")

IDEMPOTENCY_SETTINGS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def build_settings(scenario: Scenario, layout: Layout, balancer: int) -> dict[str, Any]:
    """The settings of one balancer, as `dykeshift.settings.parse_settings` reads them."""
    return {
        "az": layout.balancer_zones[balancer],
        "balancers": scenario.balancers.total,
        "bounds": _bounds(),
        "clients": {"marksRetry": True},
        "discovery": "push",
        "failureDomains": list(layout.zone_names),
        "goal": {"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.05},
        "kinds": [kind.name for kind in scenario.servers.kinds],
        "me": balancer,
        "obligations": _obligations(scenario),
        "overShareWorth": scenario.tenants.over_share_worth,
        "parties": _parties(scenario.tenants, scenario.requests_per_s, layout.tenant_shares),
        "report": {"fields": list(LOAD_REPORT_FIELDS), "how": "piggyback"},
        "services": [_service(klass) for klass in scenario.classes],
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
    """The document that NODE_CONFIG names for one balancer; `known` is a list in discovery's form."""
    return {
        "name": f"n{balancer}",
        "listen": format_host_port(addresses.balancer_address(balancer)),
        "discovery": format_host_port(addresses.agent_address(balancer)),
        "seed": seed,
        "limits": _limits(scenario.balancers),
        "known": known,
        "settings": build_settings(scenario, layout, balancer),
    }


def format_host_port(address: Address) -> str:
    """An address as discovery and NODE_CONFIG write it."""
    return f"{address.host}:{address.port}"


def tenant_name(rank: int) -> str:
    """The name of the tenant at a rank, counted from 0."""
    return f"t{rank:05d}"


def _limits(balancers: Balancers) -> dict[str, float]:
    return {"cores": balancers.cores, "memory_mb": balancers.memory_mb, "sockets": balancers.sockets}


def _bounds() -> dict[str, Any]:
    return {
        "cancelling": True,
        "connectTimeoutNs": int(CONNECT_TIMEOUT_S * NS_PER_S),
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": CPU_US_PER_S,
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


def _obligations(scenario: Scenario) -> dict[str, Any]:
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


def _parties(
    tenants: Tenants, requests_per_s: float, shares: tuple[float, ...]
) -> list[dict[str, str | float]]:
    named = shares if tenants.in_settings is None else shares[: tenants.in_settings]
    return [
        {
            "name": tenant_name(rank),
            "quotaPerS": round(share * requests_per_s * tenants.quota_factor, 6),
            "share": round(share, 9),
        }
        for rank, share in enumerate(named)
    ]


def _service(klass: RequestClass) -> dict[str, Any]:
    return {
        "name": klass.name,
        "goalTimeNs": int(klass.aim_ms * NS_PER_MS),
        "deadlineNs": int(klass.deadline_ms * NS_PER_MS),
        "worth": klass.worth,
        "lateShare": 0.0,
        "idempotency": IDEMPOTENCY_SETTINGS[klass.idempotency],
        "group": klass.scope,
        "windowNs": int(klass.window_ms * NS_PER_MS),
        "stream": False,
    }
