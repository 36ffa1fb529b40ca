"""Converts settings and load reports from the deployment's names to those of the decision module.

The simulator adapter and the real balancer both use it.
"""

from __future__ import annotations

import json
from typing import Any

from dykeshift.interface import DedupScope, Idempotency, LoadReport, RequestClass, Settings


class MalformedInputError(Exception):
    """Input that cannot be accepted; the text is meant for people."""


class SettingsError(MalformedInputError):
    """The settings lack a required key or contain an invalid value."""


_IDEMPOTENCY = {"pure": Idempotency.SAFE, "token": Idempotency.KEYED, "side_effect": Idempotency.UNSAFE}
_DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
LOAD_REPORT_FIELDS = {  # name in a report: field of LoadReport
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilization",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}


def require(table: dict[str, Any], key: str, path: str) -> Any:
    """Return the value of a required key. `path` precedes the key in the text of the SettingsError."""
    if not isinstance(table, dict) or key not in table:
        raise SettingsError(f"required key {path}{key} is missing")
    return table[key]


def parse_choice(choices: dict[str, Any], text: Any, name: str) -> Any:
    """Return the value that `choices` has for this text. `name` names the value in the error."""
    try:
        return choices[text]
    except (KeyError, TypeError):
        raise MalformedInputError(f"{name} is {text!r}, expected one of {', '.join(choices)}") from None


def parse_tenant_quotas(raw: Any) -> tuple[float, ...]:
    """Return each tenant's quota in requests per second, in the order of the settings."""
    return tuple(float(require(party, "quotaPerS", "parties[].")) for party in raw.get("parties", ()))


def parse_settings_json(text: str) -> Settings:
    """Parse settings from JSON text. Raises SettingsError, or MalformedInputError for an unknown keyword."""
    try:
        raw = json.loads(text)
    except ValueError as exc:
        raise SettingsError(f"settings are not valid JSON: {exc}") from None
    return parse_settings(raw)


def parse_settings(raw: Any, tenant_quotas: tuple[float, ...] | None = None) -> Settings:
    """Parse settings from decoded JSON. Unknown keys are ignored.

    `tenant_quotas` are the tenants' quotas, if they were read separately from the rest. Raises SettingsError,
    which names a missing key, or MalformedInputError for an unknown keyword.
    """
    bounds, obligations = require(raw, "bounds", ""), require(raw, "obligations", "")
    try:
        worst_class_share = min(0.99, float(raw.get("goal", {}).get("worstClass", 0.0)))
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
                dedup_scope=parse_choice(_DEDUP_SCOPES, c.get("group", "all"), "group"),
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
            max_watch_interval=int(obligations.get("askEveryNs", 10_000_000_000)),
            max_attempts=max(1, int(require(bounds, "maxAttempts", "bounds."))),
            copies_allowed=bool(require(bounds, "secondCopies", "bounds.")),
            cancel_allowed=bool(require(bounds, "cancelling", "bounds.")),
            cold_capacity_share=float(require(obligations, "coldFrom", "obligations.")),
            warm_up_time=int(require(obligations, "coldNs", "obligations.")),
            overload_multiple=float(require(obligations, "tipMultiple", "obligations.")),
            overload_window=int(require(obligations, "fallNs", "obligations.")),
            answer_grace=int(require(obligations, "answerSlackNs", "obligations.")),
            min_call_interval=int(raw.get("stepNs", 0)),
            worth_per_work_unit=raw.get("valueBy") == "work",
            worst_class_weight=worst_class_share / (1 - worst_class_share),
            tenant_quotas_per_s=parse_tenant_quotas(raw) if tenant_quotas is None else tenant_quotas,
            over_quota_worth_share=float(raw.get("overShareWorth", 1.0)),
            max_retry_after=int(bounds.get("maxRetryAfterNs", 0)) if bounds.get("retryAfter") else 0,
        )
    except (TypeError, ValueError, AttributeError) as exc:
        raise SettingsError(f"settings contain a value of the wrong type: {exc}") from None


def build_load_report(values: dict[str, float]) -> LoadReport | None:
    """Convert the reported values that the decision module uses; None if there are none."""
    known = {LOAD_REPORT_FIELDS[name]: value for name, value in values.items() if name in LOAD_REPORT_FIELDS}
    return LoadReport(**known) if known else None
