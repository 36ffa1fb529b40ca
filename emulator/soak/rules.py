"""Checks the rules of the protocol, using only the records of a run."""

from __future__ import annotations

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from emulator.soak.records import (
    AttemptOutcome,
    AttemptRecord,
    Idempotency,
    ProcessRecord,
    RequestRecord,
    RunRecords,
)

# Up to this long after the client timeout a response earns nothing, but does not count as lost.
LATE_RESPONSE_GRACE_S = 0.5
# Real clients wait this long beyond their timeout; a later response is late. Simulated clients wait longer.
CLIENT_WAIT_MARGIN_S = 0.06
MAX_LATE_RESPONSE_SHARE = 1 / 500  # of a balancer's requests may be answered late
ATTEMPT_AFTER_CLOSE_GRACE_S = 0.1  # an attempt may still start this long after its request was closed
MAX_DEADLINE_EXCESS_S = 0.15  # by which the deadline sent to a server may exceed the remaining time
MAX_STARTUP_S = 10.0
SOCKET_MARGIN_S = 0.05  # added to each time limit, for the way over sockets
REJECTION_STATUSES = (429, 503)
# Steps of a proxied request in the recording process, each delayed by its lag: connect, read, write, arrive.
PROXY_STEP_COUNT = 4
SMALL_REQUEST_COUNT = 30  # below this expected number, the slow-start limit allows more for chance


class Rule(enum.Enum):
    """A rule of the protocol; the value is its name in reports and for `--plant`."""

    LOST = "lost"
    WRONG_RESPONSE = "wrong answer"
    FORWARDED_AFTER_CLOSE = "forwarded after the end"
    DUPLICATE = "duplicate"
    REJECTED_POSSIBLY_EXECUTED = "refused though it may have run"
    SENT_TO_DRAINING = "sent to a draining server"
    SLOW_START = "slow start"
    FORWARDED_DEADLINE = "deadline passed on"
    NOT_READY = "not ready"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule.

    `subject` is the id of a request, the name of a server or "balancer" with an index.
    """

    rule: Rule
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class ProtocolLimits:
    """Limits that the settings of the run state."""

    longest_client_timeout_s: float
    drain_grace_s: float
    dedup_window_s: float  # within which servers drop repeats of a keyed request
    cold_capacity_share: float
    warm_up_s: float
    overload_multiple: float  # a cold server crashes above this multiple of its current capacity
    overload_window_s: float  # time over which its requests are counted for that
    max_attempts: int


class RuleChecker:
    """Checks the records of one run; delays (lag) of the recording process itself are no breach.

    `proxied`: requests pass through proxies in the recording process, so that its lag adds up several times.
    """

    def __init__(self, run_records: RunRecords, limits: ProtocolLimits, proxied: bool = False) -> None:
        self.run_records = run_records
        self.limits = limits
        self.lag_s = run_records.max_lag_s() * (PROXY_STEP_COUNT if proxied else 1)
        self.timing_margin_s = SOCKET_MARGIN_S + self.lag_s
        self.attempts_by_request: defaultdict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in sorted(run_records.attempts, key=lambda attempt: attempt.last_byte_at):
            self.attempts_by_request[attempt.request_id].append(attempt)

    def find_breaches(self) -> list[Breach]:
        """Return all breaches of rules."""
        breaches: list[Breach] = []
        for request in self.run_records.requests.values():
            breaches += self._check_request(request)
        breaches += self._check_late_responses()
        for process in self.run_records.processes:
            breaches += self._check_process(process)
        breaches += self._check_drains()
        breaches += self._check_slow_starts()
        return breaches

    # ---- requests ----

    def _check_request(self, request: RequestRecord) -> Iterator[Breach]:
        attempts = self.attempts_by_request[request.id]
        if reason := self._loss_reason(request, attempts):
            yield Breach(Rule.LOST, request.id, reason)
        if request.status == 200 and request.body not in [attempt.body for attempt in attempts]:
            yield Breach(
                Rule.WRONG_RESPONSE, request.id, f"no server sent the response {request.body[:60]!r} for it"
            )
        yield from self._check_attempts_after_close(request, attempts)
        yield from self._check_executions(request, attempts)
        yield from self._check_forwarded_deadlines(request, attempts)

    def _loss_reason(self, request: RequestRecord, attempts: list[AttemptRecord]) -> str:
        """Return why a request counts as lost, or an empty string if it does not."""
        if request.client_closed_at is not None or self._was_killed_without_sigterm(request):
            return ""
        if request.status is None:
            was_reused_and_unanswered = (
                request.earlier_response_count > 0
                and not request.response_bytes
                and request.ended_at is not None
            )
            if was_reused_and_unanswered and not attempts:
                # The balancer closed the idle connection while the request was on its way. The client sends
                # it again.
                return ""
            return (
                "the connection ended without a complete response"
                if request.ended_at
                else "no response was received"
            )
        assert request.ended_at is not None
        lateness_s = request.ended_at - request.sent_at - request.client_timeout_s
        if lateness_s > LATE_RESPONSE_GRACE_S + self.timing_margin_s:
            return f"response {lateness_s:.3f} s after the client timeout"
        return ""

    def _check_late_responses(self) -> Iterator[Breach]:
        """Check that few responses of each balancer come after their clients have stopped waiting."""
        request_counts: Counter[int] = Counter()
        late_request_ids: defaultdict[int, list[str]] = defaultdict(list)
        for request in self.run_records.requests.values():
            request_counts[request.balancer_index] += 1
            if (
                request.client_closed_at is None
                and request.status is not None
                and request.ended_at is not None
            ):
                lateness_s = request.ended_at - request.sent_at - request.client_timeout_s
                if lateness_s > CLIENT_WAIT_MARGIN_S + self.lag_s:
                    late_request_ids[request.balancer_index].append(request.id)
        for balancer_index, request_ids in late_request_ids.items():
            if len(request_ids) > max(1.0, request_counts[balancer_index] * MAX_LATE_RESPONSE_SHARE):
                detail = (
                    f"{len(request_ids)} of {request_counts[balancer_index]} requests "
                    f"to balancer {balancer_index} answered after the client timeout"
                )
                yield Breach(Rule.LOST, request_ids[0], detail)

    def _was_killed_without_sigterm(self, request: RequestRecord) -> bool:
        """Whether SIGKILL without SIGTERM ended its balancer during the request: it may be lost then."""
        ended_at = request.ended_at if request.ended_at is not None else math.inf
        return any(
            process.balancer_index == request.balancer_index
            and process.sigkill_at is not None
            and process.sigterm_at is None
            and process.started_at <= request.sent_at <= process.sigkill_at + self.timing_margin_s
            and ended_at >= process.sigkill_at
            for process in self.run_records.processes
        )

    def _check_attempts_after_close(
        self, request: RequestRecord, attempts: list[AttemptRecord]
    ) -> Iterator[Breach]:
        closed_at = request.closed_at()
        for attempt in attempts:
            lateness_s = attempt.first_byte_at - closed_at if closed_at is not None else 0.0
            if lateness_s > ATTEMPT_AFTER_CLOSE_GRACE_S + self.timing_margin_s:
                yield Breach(
                    Rule.FORWARDED_AFTER_CLOSE,
                    request.id,
                    f"attempt at {attempt.server_name} {lateness_s:.3f} s after the request was closed",
                )

    def _check_executions(self, request: RequestRecord, attempts: list[AttemptRecord]) -> Iterator[Breach]:
        possibly_executed = [
            attempt for attempt in attempts if attempt.outcome is not AttemptOutcome.REJECTED
        ]
        if request.idempotency is Idempotency.UNSAFE and len(possibly_executed) > 1:
            yield Breach(Rule.DUPLICATE, request.id, f"possibly executed {len(possibly_executed)} times")
        if request.idempotency is Idempotency.KEYED and possibly_executed:
            span_s = possibly_executed[-1].first_byte_at - possibly_executed[0].first_byte_at
            if span_s > self.limits.dedup_window_s + self.timing_margin_s:
                yield Breach(Rule.DUPLICATE, request.id, f"repeated {span_s:.3f} s after the first attempt")
        if len(attempts) > self.limits.max_attempts:
            yield Breach(
                Rule.DUPLICATE, request.id, f"{len(attempts)} attempts, more than the settings allow"
            )
        if (
            request.idempotency is Idempotency.UNSAFE
            and request.status in REJECTION_STATUSES
            and possibly_executed
        ):
            yield Breach(
                Rule.REJECTED_POSSIBLY_EXECUTED,
                request.id,
                f"answered {request.status}, but possibly executed",
            )

    def _check_forwarded_deadlines(
        self, request: RequestRecord, attempts: list[AttemptRecord]
    ) -> Iterator[Breach]:
        for attempt in attempts:
            remaining_s = request.sent_at + request.client_timeout_s - attempt.first_byte_at
            excess_s = attempt.deadline_ms / 1000 - remaining_s
            if excess_s > MAX_DEADLINE_EXCESS_S + self.timing_margin_s:
                yield Breach(
                    Rule.FORWARDED_DEADLINE,
                    request.id,
                    f"deadline sent to {attempt.server_name} exceeds the remaining time by {excess_s:.3f} s",
                )

    # ---- processes ----

    def _check_process(self, process: ProcessRecord) -> Iterator[Breach]:
        subject = f"balancer {process.balancer_index}"
        ready_at = process.ready_at if process.ready_at is not None else math.inf
        end_requested_at = min(
            process.sigterm_at or math.inf,
            process.sigkill_at or math.inf,
            self.run_records.clients_stopped_at,
        )
        if min(ready_at, end_requested_at) - process.started_at > MAX_STARTUP_S + self.timing_margin_s:
            yield Breach(Rule.NOT_READY, subject, f"not ready within {MAX_STARTUP_S:.0f} s after its start")
        if process.exit_code is not None and process.exit_code != 0 and process.sigkill_at is None:
            yield Breach(Rule.CRASH, subject, f"exited with code {process.exit_code}")
        if process.exit_code == 0 and process.sigterm_at is None:
            yield Breach(Rule.CRASH, subject, "exited without having been sent SIGTERM")

    # ---- servers ----

    def _check_drains(self) -> Iterator[Breach]:
        for drain in self.run_records.drains:
            for attempt in self.run_records.attempts:
                request = self.run_records.requests.get(attempt.request_id)
                if (
                    attempt.server_name != drain.server_name
                    or request is None
                    or request.balancer_index not in drain.informed_at
                ):
                    continue
                lateness_s = (
                    attempt.first_byte_at
                    - drain.informed_at[request.balancer_index]
                    - self.limits.drain_grace_s
                )
                if lateness_s > self.timing_margin_s:
                    yield Breach(
                        Rule.SENT_TO_DRAINING,
                        request.id,
                        f"attempt at {drain.server_name} {lateness_s:.3f} s after the drain grace",
                    )

    def _check_slow_starts(self) -> Iterator[Breach]:
        for server in self.run_records.servers.values():
            if server.started_at is None:
                continue
            arrival_times = sorted(
                a.first_byte_at for a in self.run_records.attempts if a.server_name == server.name
            )
            warm_up_arrivals = [
                arrived_at
                for arrived_at in arrival_times
                if arrived_at < server.started_at + self.limits.warm_up_s
            ]
            window_start = 0
            for index, arrived_at in enumerate(warm_up_arrivals):
                while warm_up_arrivals[window_start] <= arrived_at - self.limits.overload_window_s:
                    window_start += 1
                max_count = self._max_slow_start_requests(
                    server.warm_requests_per_s, arrived_at - server.started_at
                )
                if index - window_start + 1 > max_count:
                    yield Breach(
                        Rule.SLOW_START,
                        server.name,
                        f"{index - window_start + 1} requests in an overload window, {max_count:.1f} at most",
                    )
                    break

    def _max_slow_start_requests(self, warm_requests_per_s: float, age_s: float) -> float:
        capacity_share = (
            self.limits.cold_capacity_share
            + (1 - self.limits.cold_capacity_share) * max(0.0, age_s) / self.limits.warm_up_s
        )
        expected_count = (
            self.limits.overload_multiple
            * capacity_share
            * warm_requests_per_s
            * self.limits.overload_window_s
        )
        if expected_count < SMALL_REQUEST_COUNT:
            return expected_count + 3 * math.sqrt(expected_count) + 3
        return expected_count + 2 * math.sqrt(expected_count) + 2


def request_timeline(run_records: RunRecords, request_id: str) -> list[str]:
    """Describe a request, its attempts and its balancer's processes in a line each.

    Times are relative to when the request's last byte was sent. Returns no lines if there is no such request.
    """
    request = run_records.requests.get(request_id)
    if request is None:
        return []
    ended = f"{request.ended_at - request.sent_at:+.3f} s" if request.ended_at is not None else "never"
    closed = (
        f", closed by its client {request.client_closed_at - request.sent_at:+.3f} s"
        if request.client_closed_at
        else ""
    )
    kind = request.idempotency.name.lower()
    lines = [
        f"{kind} request to balancer {request.balancer_index}, "
        f"client timeout {request.client_timeout_s:.3f} s, "
        f"{request.earlier_response_count} earlier responses on its connection: status {request.status}, "
        f"{request.response_bytes} response bytes, ended {ended}{closed}"
    ]
    for attempt in run_records.attempts_of(request_id):
        end = f"{attempt.ended_at - request.sent_at:+.3f} s" if attempt.ended_at is not None else ""
        lines.append(
            f"attempt at {attempt.server_name} {attempt.first_byte_at - request.sent_at:+.3f} s, "
            f"forwarded deadline {attempt.deadline_ms} ms: {attempt.outcome.value} {end}"
        )
    for process in run_records.processes:
        if process.balancer_index == request.balancer_index:
            marks = {"SIGTERM": process.sigterm_at, "SIGKILL": process.sigkill_at, "end": process.ended_at}
            times = [f"{name} {at - request.sent_at:+.3f} s" for name, at in marks.items() if at is not None]
            lines.append(
                f"balancer process: start {process.started_at - request.sent_at:+.3f} s, {', '.join(times)}"
            )
    return lines
