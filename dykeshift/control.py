"""Decides which version of the settings is in force and what to request from the agent next. Does no I/O.

An agent on the balancer's own machine serves documents of the form `{"version": 12, "settings": {...}}`, or
without `settings` if it has no version that matches the query. The version in force never decreases: a
document that is not newer is ignored. An invalid version is rejected as a whole and remembered, and the
balancer requests the newest version below it instead. A newly started process thus arrives at the same
version as a process that was already running when the invalid one was published.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Generic, TypeVar

from dykeshift.settings import MalformedInputError
from dykeshift.settings_check import check_settings, with_fixed_keys

# Longest time that the agent may hold back a response. If it stops responding, that is noticed soon after.
LONG_POLL_MS = 2_000
FIRST_BACKOFF_S = 0.2  # doubled with each consecutive failure
MAX_BACKOFF_S = 1.6
MIN_BACKOFF_SHARE = 0.5  # of the back-off; the rest is random jitter
MAX_REMEMBERED_REJECTIONS = 64

ParsedSettings = TypeVar("ParsedSettings")


class DocumentError(MalformedInputError):
    """The agent's response is not a settings document."""


@dataclass(frozen=True, slots=True)
class Document:
    """The body of an agent's response; `settings` is None if no version matches the query."""

    version: int
    settings: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class Apply(Generic[ParsedSettings]):
    """The caller has to apply these settings and then call `on_applied`, or `reject` if that failed."""

    version: int
    parsed: ParsedSettings


@dataclass(frozen=True, slots=True)
class Ignore:
    """The document holds nothing new to apply."""


@dataclass(frozen=True, slots=True)
class Reject:
    """The version was rejected as a whole; `reason` is the complete log line."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class Query:
    """The next request to the agent."""

    path: str
    hold_s: float  # how long the agent may hold the response back


def parse_document(raw: Any) -> Document:
    """Return the document in this decoded JSON without checking its settings. Raises DocumentError."""
    if type(raw) is not dict:
        raise DocumentError("the settings document is not an object")
    version, settings = raw.get("version"), raw.get("settings")
    if type(version) is not int or version < 0:
        raise DocumentError(
            f"the settings document has the version {version!r}, expected a non-negative integer"
        )
    if settings is None and "settings" in raw:
        raise DocumentError(f"the settings of version {version} are null")
    if settings is not None and type(settings) is not dict:
        # The substitute lacks all required keys, so that this version is rejected as invalid.
        return Document(version, {"settings": settings})
    return Document(version, settings)


class SettingsControl(Generic[ParsedSettings]):
    """The settings versions that one balancer knows of: the one in force, the newest, the rejected ones."""

    def __init__(
        self,
        base: Mapping[str, Any],
        version: int,
        parse: Callable[[dict[str, Any]], ParsedSettings],
        seed: int,
    ) -> None:
        self.base = base  # the settings that the balancer was started with
        self.version = version  # in force
        self.newest_seen = version  # valid or not
        self.parse = parse
        self.random = Random(seed).random
        self.rejected: dict[int, None] = {}  # versions in the order of their rejection
        self.search_below: int | None = None  # request the newest version below this rejected one next
        self.consecutive_failures = 0  # of calls to the agent
        self.last_call_answered = False  # False before the first call too

    def is_up_to_date(self) -> bool:
        """Whether the newest valid version that the agent has is in force."""
        return self.last_call_answered and self.search_below is None

    def next_query(self) -> Query:
        """Return the request to send to the agent now."""
        if self.search_below is not None:
            return Query(f"/v1/settings?before={self.search_below}", 0.0)
        # At the start and after a failure the agent may have a newer version: it is to respond at once.
        hold_ms = LONG_POLL_MS if self.last_call_answered else 0
        return Query(f"/v1/settings?from={self.newest_seen}&hold_ms={hold_ms}", hold_ms / 1000)

    def on_document(self, raw: Any) -> Apply[ParsedSettings] | Ignore | Reject:
        """Decide about the agent's response. Raises DocumentError, which counts as a failed call."""
        document = parse_document(raw)
        self.consecutive_failures, self.last_call_answered = 0, True
        searched_below, self.search_below = self.search_below, None
        version = document.version
        if document.settings is None or version <= self.version:
            return Ignore()
        if searched_below is not None and version >= searched_below:
            raise DocumentError(
                f"the agent returned version {version} to a request for one below {searched_below}"
            )
        self.newest_seen = max(self.newest_seen, version)
        if version in self.rejected:
            self.search_below = version
            return Ignore()
        try:
            completed = with_fixed_keys(document.settings, self.base)
            check_settings(completed)
            return Apply(version, self.parse(completed))
        except (MalformedInputError, ValueError, TypeError, AttributeError, ArithmeticError) as exc:
            return self.reject(version, str(exc))

    def on_applied(self, version: int) -> None:
        """Record that this version is in force."""
        self.version = version
        self.rejected = {n: None for n in self.rejected if n > version}

    def reject(self, version: int, reason: str) -> Reject:
        """Record that this version cannot be used, for whatever reason; the one in force stays."""
        self.rejected[version] = None
        if len(self.rejected) > MAX_REMEMBERED_REJECTIONS:
            del self.rejected[next(iter(self.rejected))]
        self.search_below = version
        line = " ".join(reason.split())
        return Reject(
            version, f"settings version {version} is turned down, version {self.version} stays: {line}"
        )

    def on_call_failed(self) -> float:
        """Record a failed call and return the back-off until the next one in seconds."""
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.consecutive_failures, 10))
        self.consecutive_failures, self.last_call_answered = self.consecutive_failures + 1, False
        return float(backoff_s * (MIN_BACKOFF_SHARE + (1 - MIN_BACKOFF_SHARE) * self.random()))
