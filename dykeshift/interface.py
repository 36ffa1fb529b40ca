"""Settings, events and actions: the inputs and outputs of the decision module. No logic.

All times and durations are integers in nanoseconds on one monotonic clock. Ids are opaque.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto


class Idempotency(Enum):
    SAFE = auto()  # may be executed any number of times
    KEYED = auto()  # servers within one scope drop repeats for a limited time
    UNSAFE = auto()  # must never be executed twice


class DedupScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class ServerState(Enum):
    READY = auto()
    DRAINING = auto()  # finishes its requests and gets no new ones
    GONE = auto()


class ListKind(Enum):
    FULL = auto()  # the complete list; servers that are not on it are gone
    CACHED = auto()  # the complete list as known before a restart, possibly stale
    DELTA = auto()  # changed entries only
    FAILED = auto()  # discovery refused a call or answered it wrongly; the current list stays valid
    INTERRUPTED = auto()  # a call to discovery stalled or its connection broke; the current list stays valid


class Outcome(Enum):
    OK = auto()
    ERROR = auto()
    FULL = auto()  # rejected by the server without being executed
    TIMEOUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


# Outcomes which prove that the server executed nothing.
UNEXECUTED_OUTCOMES = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_target: int  # an answer within this time earns the full worth
    client_timeout: int  # how long a client waits in total, over all its retries
    worth: float
    late_worth_share: float  # share of the worth that an answer between target and timeout still earns
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window: int  # how long servers drop repeats of a keyed request
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    balancer_count: int  # how many balancers share this fleet
    zone: int
    watch_discovery: bool  # changes arrive only after a Watch
    max_watch_interval: int  # longest time between two Watch actions
    max_attempts: int  # of one request
    copies_allowed: bool  # whether two attempts of one request may be in flight at once
    cancel_allowed: bool
    cold_capacity_share: float  # a server has at least this share of its capacity when it starts
    warm_up_time: int  # and its full capacity after this time at the latest
    overload_multiple: float  # a cold server fails if it gets more than this multiple of its present capacity
    overload_window: int  # for this long
    answer_grace: int  # how long after the client's deadline a final answer may still be sent
    min_call_interval: int  # shortest time between two calls
    worth_per_work_unit: bool = False  # worth counts for each unit of work instead of each request
    worst_class_weight: float = 0.0  # weight of the worst-served class, as a multiple of that of all requests
    max_retry_after: int = 0  # longest Retry-After that a client respects; 0: clients do not receive it
    tenant_quotas_per_s: tuple[float, ...] = ()  # requests per second by tenant index, over all balancers
    tenant_indexes: Mapping[bytes, int] = field(default_factory=dict)  # by tenant name, if it may change
    balancer_index: int = 0  # which of the balancers this is, from 0
    over_quota_worth_share: float = 1.0  # worth of a request over its tenant's quota, relative to its class


@dataclass(frozen=True, slots=True)
class ServerEntry:
    id: int
    zone: int
    cell: int
    kind: int
    state: ServerState
    weight: float  # relative size as reported by discovery; 1 if unknown
    started_at: int  # clock time of its latest start; 0: long ago


@dataclass(frozen=True, slots=True)
class Request:
    id: str
    class_index: int
    deadline: int  # clock time at which the client stops waiting for this try
    cost_hint: int = 0  # expected work; 0: unknown
    is_retry: bool = False
    tenant_index: int = 0
    idempotency_key: str | None = None
    answer_deadline: int = 0  # clock time by which the final answer has to be sent; 0: the deadline
    client_id: str = ""  # the client's own id, which may come again unlike `id`; empty: it never does


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a server reported; None for values that it did not report."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    request_id: str
    attempt_index: int  # counted from 0 in the order of the Send actions
    server_id: int
    outcome: Outcome
    latency: int
    request_closed: bool  # the client has its final answer, from this attempt or earlier
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Send:
    request_id: str
    server_id: int
    timeout: int  # 0: until the client's deadline


@dataclass(frozen=True, slots=True)
class Cancel:
    request_id: str
    attempt_index: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request was not executed, or a retry is harmless."""

    request_id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed; it may or may not have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: str
    fire_at: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the changes of discovery's list."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | Log


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    kind: ListKind
    entries: tuple[ServerEntry, ...] = field(default=())
    is_late: bool = False  # discovery is slow: the response came late, maybe after a failure was reported
