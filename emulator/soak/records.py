"""Records of clients, servers, discovery and balancer processes during a soak run.

Clients, servers, discovery and the proxies between them and the balancers run in one process, the recording
process. All times are seconds of one monotonic clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Idempotency(enum.Enum):
    """Whether a request may be executed twice; the values are those of the settings."""

    SAFE = "pure"
    KEYED = "token"
    UNSAFE = "side_effect"


class AttemptOutcome(enum.Enum):
    """How an attempt ended at its server."""

    OPEN = "open"
    ANSWERED = "answered"
    REJECTED = "turned away"  # with a response which promises that it was not executed
    RESET = "reset"
    CANCELLED = "given up"  # by the balancer, which closed the connection or sent more data


@dataclass(slots=True)
class RequestRecord:
    """A request as its client saw it."""

    id: str
    balancer_index: int
    idempotency: Idempotency
    client_timeout_s: float
    earlier_response_count: int  # received before on the same connection
    sent_at: float = 0.0  # last byte
    client_closed_at: float | None = None  # the client closed the connection before a response
    ended_at: float | None = None  # last byte of the response, or the connection ended
    status: int | None = None  # None: no complete response was received
    body: bytes = b""  # of the response
    response_bytes: int = 0  # 0: nothing was received; otherwise 1 plus the length of a complete body
    retry_id: str | None = None  # the id under which the client sent the request again

    def closed_at(self) -> float | None:
        """Return when the request was closed: no attempt may start for it after that."""
        times = [time for time in (self.client_closed_at, self.ended_at) if time is not None]
        return min(times, default=None)


@dataclass(slots=True)
class AttemptRecord:
    """An attempt as its server saw it."""

    request_id: str
    server_name: str
    first_byte_at: float
    last_byte_at: float
    deadline_ms: int  # X-Deadline-Ms as the balancer forwarded it
    body: bytes = b""  # of the response
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    ended_at: float | None = None


@dataclass(slots=True)
class ServerRecord:
    """A server process."""

    name: str
    started_at: float | None = None  # None: long before the run
    warm_requests_per_s: float = 0.0  # its capacity when warm


@dataclass(slots=True)
class ProcessRecord:
    """A balancer process."""

    balancer_index: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None  # SIGTERM sent
    sigkill_at: float | None = None  # SIGKILL sent
    ended_at: float | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class DrainRecord:
    """A change of the server list that takes a server out of service."""

    server_name: str
    changed_at: float
    # Index of a balancer to the time from which it counts as informed of the change.
    informed_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Lag:
    """A delay of the recording process itself, which delays whatever it sends, receives and records."""

    measured_at: float
    lag_s: float


@dataclass(slots=True)
class RunRecords:
    """All records of a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)  # by id
    attempts: list[AttemptRecord] = field(default_factory=list)  # in the order of their last bytes
    processes: list[ProcessRecord] = field(default_factory=list)
    servers: dict[str, ServerRecord] = field(default_factory=dict)  # by name
    drains: list[DrainRecord] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    clients_stopped_at: float = 0.0  # the clients have sent their last requests and stopped waiting

    def attempts_of(self, request_id: str) -> list[AttemptRecord]:
        """Return the attempts of a request, ordered by their last byte."""
        attempts = [attempt for attempt in self.attempts if attempt.request_id == request_id]
        return sorted(attempts, key=lambda attempt: attempt.last_byte_at)

    def max_lag_s(self) -> float:
        """Return the longest delay of the recording process in seconds."""
        return max((lag.lag_s for lag in self.lags), default=0.0)
