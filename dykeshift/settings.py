"""The settings and load reports as the deployment words them, for the adapter and the real balancer alike."""

from __future__ import annotations

import json
from typing import Any

from dykeshift.interface import DedupScope, Idempotency, LoadReport, RequestClass, Settings


class MalformedInputError(Exception):
    """A message that the wire does not allow; its text is for people."""


class SettingsError(MalformedInputError):
    """The settings lack something or hold something impossible."""


_IDEMPOTENCY = {"pure": Idempotency.SAFE, "token": Idempotency.KEYED, "side_effect": Idempotency.UNSAFE}
_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
LOAD_REPORT_FIELDS = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilization",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}


def require(table: dict[str, Any], key: str, path: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise SettingsError(f"settings lack {path}{key}")
    return table[key]


def parse_choice(table: dict[str, Any], text: Any, what: str) -> Any:
    try:
        return table[text]
    except (KeyError, TypeError):
        raise MalformedInputError(f"{what} is {text!r}, expected one of {', '.join(table)}") from None


def parse_tenant_shares(raw: Any) -> tuple[float, ...]:
    return tuple(float(require(party, "quotaPerS", "parties[].")) for party in raw.get("parties", ()))


def parse_settings_json(text: str) -> Settings:
    """Settings from the wire's JSON."""
    try:
        raw = json.loads(text)
    except ValueError as exc:
        raise SettingsError(f"settings are not JSON: {exc}") from None
    return parse_settings(raw)


def parse_settings(raw: Any, shares: tuple[float, ...] | None = None) -> Settings:
    """Settings from parsed JSON; unknown keys are skipped, a missing one is named.

    `shares`: those of the tenants, where they have been read apart from the rest.
    """
    limits, rules = require(raw, "bounds", ""), require(raw, "obligations", "")
    try:
        worst = min(0.99, float(raw.get("goal", {}).get("worstClass", 0.0)))
        classes = tuple(
            RequestClass(
                name=str(c.get("name", n)),
                latency_target=int(require(c, "goalTimeNs", f"services[{n}].")),
                client_timeout=int(require(c, "deadlineNs", f"services[{n}].")),
                worth=float(require(c, "worth", f"services[{n}].")),
                late_worth_share=float(c.get("lateShare", 0.0)),
                idempotency=parse_choice(
                    _IDEMPOTENCY, require(c, "idempotency", f"services[{n}]."), "idempotency"
                ),
                dedup_scope=parse_choice(_SCOPES, c.get("group", "all"), "group"),
                dedup_window=int(c.get("windowNs", 0)),
                stream=bool(c.get("stream", False)),
            )
            for n, c in enumerate(require(raw, "services", ""))
        )
        return Settings(
            classes=classes,
            balancer_count=max(1, int(require(raw, "balancers", ""))),
            zone=int(raw.get("az", 0)),
            balancer_index=int(raw.get("me", 0)),
            watch_discovery=require(raw, "discovery", "") == "ask",
            max_watch_interval=int(rules.get("askEveryNs", 10_000_000_000)),
            max_attempts=max(1, int(require(limits, "maxAttempts", "bounds."))),
            copies_allowed=bool(require(limits, "secondCopies", "bounds.")),
            cancel_allowed=bool(require(limits, "cancelling", "bounds.")),
            cold_capacity_share=float(require(rules, "coldFrom", "obligations.")),
            warm_up_time=int(require(rules, "coldNs", "obligations.")),
            overload_multiple=float(require(rules, "tipMultiple", "obligations.")),
            overload_window=int(require(rules, "fallNs", "obligations.")),
            answer_grace=int(require(rules, "answerSlackNs", "obligations.")),
            min_call_interval=int(raw.get("stepNs", 0)),
            worth_per_work_unit=raw.get("valueBy") == "work",
            worst_class_weight=worst / (1 - worst),
            tenant_quotas_per_s=parse_tenant_shares(raw) if shares is None else shares,
            over_quota_worth_share=float(raw.get("overShareWorth", 1.0)),
            max_retry_after=int(limits.get("maxRetryAfterNs", 0)) if limits.get("retryAfter") else 0,
        )
    except (TypeError, ValueError, AttributeError) as exc:
        raise SettingsError(f"settings hold a value of the wrong kind: {exc}") from None


def build_load_report(values: dict[str, float]) -> LoadReport | None:
    """The figures that the module knows; others are skipped."""
    known = {LOAD_REPORT_FIELDS[name]: value for name, value in values.items() if name in LOAD_REPORT_FIELDS}
    return LoadReport(**known) if known else None
