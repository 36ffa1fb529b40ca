"""What clients, servers and discovery note while a soak runs; times are seconds of one monotonic clock."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Idempotency(enum.Enum):
    """What it does to run a request twice."""

    SAFE = "pure"  # the words of the settings
    KEYED = "token"
    UNSAFE = "side_effect"


class AttemptOutcome(enum.Enum):
    """What became of an attempt at its server."""

    OPEN = "open"
    ANSWERED = "answered"
    REJECTED = "turned away"  # with a promise that it never ran
    RESET = "reset"
    CANCELLED = "given up"  # by the balancer


@dataclass(slots=True)
class RequestRecord:
    """One request as its client saw it."""

    id: str
    balancer_index: int
    idempotency: Idempotency
    client_timeout_s: float
    earlier_response_count: int  # on the same connection
    sent_at: float = 0.0  # its last byte
    client_closed_at: float | None = None  # its client closed the connection
    ended_at: float | None = None  # the last byte of its answer, or the end of its connection
    status: int | None = None  # None: no whole answer has come
    body: bytes = b""
    response_bytes: int = 0  # that came, be the answer whole or not
    retry_id: str | None = None  # the id by which the client sent it once more

    def closed_at(self) -> float | None:
        """When nothing more may be begun for it."""
        times = [time for time in (self.client_closed_at, self.ended_at) if time is not None]
        return min(times, default=None)


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its server saw it."""

    request_id: str
    server_name: str
    first_byte_at: float  # its first byte
    last_byte_at: float  # its last byte
    deadline_ms: int
    body: bytes = b""  # of the answer
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    ended_at: float | None = None


@dataclass(slots=True)
class ServerRecord:
    """What the rules need to know of one server process."""

    name: str
    started_at: float | None = None  # None: long ago
    warm_requests_per_s: float = 0.0  # when warm


@dataclass(slots=True)
class ProcessRecord:
    """One balancer process."""

    balancer_index: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    sigkill_at: float | None = None  # when SIGKILL was sent
    ended_at: float | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class DrainRecord:
    """A change that takes a server out of service, and when each balancer counts as told of it."""

    server_name: str
    changed_at: float
    informed_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Lag:
    """How late the recording process itself was."""

    measured_at: float
    lag_s: float


@dataclass(slots=True)
class RunRecords:
    """All records of one run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    drains: list[DrainRecord] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    clients_stopped_at: float = 0.0  # when the clients stopped asking

    def attempts_of(self, request_id: str) -> list[AttemptRecord]:
        """The attempts of one request, in the order of their arrival."""
        attempts = [attempt for attempt in self.attempts if attempt.request_id == request_id]
        return sorted(attempts, key=lambda attempt: attempt.last_byte_at)

    def max_lag_s(self) -> float:
        """The longest that the recording process was late."""
        return max((lag.lag_s for lag in self.lags), default=0.0)
