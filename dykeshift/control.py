"""Decides which version of the settings is in force, and what to ask the agent for next. No I/O.

An agent on the balancer's own machine hands out documents `{"version": 12, "settings": {...}}`, or without
settings where it has nothing that was asked for. Versions only rise: a document that is not newer is ignored,
and one that is bad is turned down whole, remembered, and the newest one below it is asked for instead, so
that a new process comes to the same version as one that was running when the bad one was published.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Generic, TypeVar

from dykeshift.settings import MalformedInputError
from dykeshift.settings_check import check_settings, with_fixed_keys

LONG_POLL_HOLD_MS = 2_000  # how long a watch may wait at the agent; one that fell silent shows soon after
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.2, 1.6  # seconds; doubled with each failure in a row
MIN_BACKOFF_SHARE = 0.5  # of the pause; the rest is at random
MAX_REMEMBERED_REJECTIONS = 64  # bad versions

Parsed = TypeVar("Parsed")


class DocumentError(MalformedInputError):
    """An answer of the agent that is no settings document."""


@dataclass(frozen=True, slots=True)
class Document:
    """What an agent answers; `settings` is None where it has none that was asked for."""

    version: int
    settings: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class Apply(Generic[Parsed]):
    """Put these into force, then say so by `applied` or `failed`."""

    version: int
    parsed: Parsed


@dataclass(frozen=True, slots=True)
class Ignore:
    """Nothing new."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Bad as a whole; `reason` is one line for the log."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class Query:
    """The next call to the agent."""

    path: str
    hold_s: float  # seconds that the answer may be held back


def parse_document(raw: Any) -> Document:
    """The document in parsed JSON; its settings are not looked into."""
    if type(raw) is not dict:
        raise DocumentError("a settings document is no object")
    version, settings = raw.get("version"), raw.get("settings")
    if type(version) is not int or version < 0:
        raise DocumentError(f"a settings document has the version {version!r}")
    if settings is None and "settings" in raw:
        raise DocumentError(f"the settings of version {version} are null")
    if settings is not None and type(settings) is not dict:
        return Document(version, {"settings": settings})  # lacks all that is needed: turned down as bad
    return Document(version, settings)


class SettingsControl(Generic[Parsed]):
    """The versions that one balancer has heard of."""

    def __init__(
        self, base: Mapping[str, Any], version: int, parse: Callable[[dict[str, Any]], Parsed], seed: int
    ) -> None:
        self.base = base  # the settings that the balancer was started with
        self.version = version  # in force
        self.newest_seen = version  # the newest heard of, sound or not
        self.parse = parse
        self.random = Random(seed).random
        self.rejected: dict[int, None] = {}  # in the order of their coming
        self.search_below: int | None = None  # a bad version: the newest one before it is wanted
        self.consecutive_failures = 0  # calls in a row
        self.last_call_answered = False  # since the start or the last failure

    def is_up_to_date(self) -> bool:
        """Whether the newest sound version that the agent holds is in force."""
        return self.last_call_answered and self.search_below is None

    def next_query(self) -> Query:
        """What to ask for now."""
        if self.search_below is not None:
            return Query(f"/v1/settings?before={self.search_below}", 0.0)
        hold_ms = (
            LONG_POLL_HOLD_MS if self.last_call_answered else 0
        )  # an agent that may hold news is asked to answer at once
        return Query(f"/v1/settings?from={self.newest_seen}&hold_ms={hold_ms}", hold_ms / 1000)

    def on_document(self, raw: Any) -> Apply[Parsed] | Ignore | Reject:
        """Judge an answer; DocumentError if it is none, which counts as a failed call."""
        document = parse_document(raw)
        self.consecutive_failures, self.last_call_answered = 0, True
        searched, self.search_below = self.search_below, None
        version = document.version
        if document.settings is None or version <= self.version:
            return Ignore()
        if searched is not None and version >= searched:
            raise DocumentError(f"version {version} came where one before {searched} was asked for")
        self.newest_seen = max(self.newest_seen, version)
        if version in self.rejected:
            self.search_below = version
            return Ignore()
        try:
            whole = with_fixed_keys(document.settings, self.base)
            check_settings(whole)
            return Apply(version, self.parse(whole))
        except (MalformedInputError, ValueError, TypeError, AttributeError, ArithmeticError) as exc:
            return self.reject(version, str(exc))

    def on_applied(self, version: int) -> None:
        """This version is in force."""
        self.version = version
        self.rejected = {n: None for n in self.rejected if n > version}

    def reject(self, version: int, reason: str) -> Reject:
        """This version cannot be used, whatever the reason; the one in force stays."""
        self.rejected[version] = None
        if len(self.rejected) > MAX_REMEMBERED_REJECTIONS:
            del self.rejected[next(iter(self.rejected))]
        self.search_below = version
        line = " ".join(reason.split())
        return Reject(
            version, f"settings version {version} is turned down, version {self.version} stays: {line}"
        )

    def on_call_failed(self) -> float:
        """A call failed: the seconds until the next one."""
        pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.consecutive_failures, 10))
        self.consecutive_failures, self.last_call_answered = self.consecutive_failures + 1, False
        return float(pause * (MIN_BACKOFF_SHARE + (1 - MIN_BACKOFF_SHARE) * self.random()))
