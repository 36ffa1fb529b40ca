"""One hollow balancer: the real decision module with simulated connections, without sockets of its own.

It calls the decision module as the driver of a real balancer does: with the same outcomes, request_closed
flags and deadlines, and with NOT_SENT for attempts that cannot be sent. Every method takes the current time
in nanoseconds; every action is carried out by `Effects`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    ListKind,
    LoadReport,
    Log,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SetTimer,
    Settings,
    Watch,
)
from dykeshift.rules import Balancer
from emulator.fleet.client_model import ClientTry, TryOutcome

# As in the driver of a real balancer: time kept of the client's timeout for the way back of the response.
RETURN_MARGIN_NS = 5_000_000
# One in so many calls to the decision module is measured; its processor time counts this many times.
CPU_SAMPLE_INTERVAL = 16


class NumberedEntry(Protocol):
    """One entry of a server list, with the number of the stand-in photo server that it names."""

    @property
    def entry(self) -> ServerEntry: ...

    @property
    def number(self) -> int: ...


@dataclass(slots=True, eq=False)
class OpenTry:
    """A client's try until it has a final answer and all its attempts have ended."""

    name: str  # its request id in the decision module
    client_try: ClientTry
    arrived_at: int
    deadline: int  # time of the latest final answer
    attempts: list[HollowAttempt | None] = field(default_factory=list)  # None: the attempt has ended
    attempts_in_flight: int = 0
    is_closed: bool = False  # it has its final answer, or the client has disconnected


@dataclass(slots=True, eq=False)
class HollowAttempt:
    """One attempt at a stand-in photo server."""

    balancer: HollowBalancer
    open_try: OpenTry
    index: int  # among the attempts of its try
    server_id: int  # the decision module's id of the server
    server_number: int  # the stand-in's number; -1: the server is not listed as ready
    sent_at: int
    number: int = -1  # on its connection to the photo servers, set by `Effects.send`


class Effects(Protocol):
    """Carries out the actions of a hollow balancer."""

    def send(self, attempt: HollowAttempt, work_us: int, wait_us: int) -> None:
        """Send an attempt and set its number; the balancer waits for the result for at most `wait_us`."""

    def cancel(self, attempt: HollowAttempt) -> None:
        """Cancel an attempt; drop a result that still arrives for it."""

    def add_timer(self, at: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with the current time, once `at` has passed."""

    def start_watch(self) -> None:
        """Start a watch of discovery."""

    def on_final_answer(
        self, now: int, client_try: ClientTry, outcome: TryOutcome, unloaded_us: int, retry_after_ns: int
    ) -> None:
        """Give the client its final answer; `unloaded_us` as in `HollowBalancer.end_attempt`."""


@dataclass(slots=True)
class HollowCounts:
    """Counts of one or several hollow balancers since they were last taken."""

    attempts: int = 0
    cancels: int = 0
    not_sent: int = 0
    log_bytes: int = 0
    decision_calls: int = 0
    decision_ns: int = 0  # estimated from a sample of the calls

    def add(self, other: HollowCounts) -> None:
        """Add the counts of another balancer."""
        self.attempts += other.attempts
        self.cancels += other.cancels
        self.not_sent += other.not_sent
        self.log_bytes += other.log_bytes
        self.decision_calls += other.decision_calls
        self.decision_ns += other.decision_ns


class HollowBalancer:
    """The decision module, its open tries and the servers that it may send to."""

    def __init__(self, settings: Settings, seed: int, effects: Effects) -> None:
        self.effects = effects
        self.counts = HollowCounts()
        self.is_stopped = False
        self._decision_module = Balancer(settings, seed)
        self._open_tries: dict[str, OpenTry] = {}
        self._servers: dict[int, int] = {}  # decision module's id -> stand-in's number, of ready servers
        self._try_count = 0
        self._call_number = seed % CPU_SAMPLE_INTERVAL  # of all calls; selects the measured ones

    @property
    def open_try_count(self) -> int:
        """Tries without a final answer or with attempts in flight."""
        return len(self._open_tries)

    def take_counts(self) -> HollowCounts:
        """The counts since the last call."""
        counts, self.counts = self.counts, HollowCounts()
        return counts

    # ---- events ----

    def start(self, now: int) -> None:
        """Start the decision module."""
        self._call_module(now, self._decision_module.on_start)

    def stop(self, now: int) -> list[ClientTry]:
        """Stop at once, as by SIGKILL; returns the tries whose clients lose their connection."""
        self.is_stopped = True
        lost_tries = [open_try.client_try for open_try in self._open_tries.values() if not open_try.is_closed]
        for open_try in self._open_tries.values():
            for attempt in open_try.attempts:
                if attempt is not None:
                    self.effects.cancel(attempt)
        self._open_tries.clear()
        return lost_tries

    def submit(self, now: int, client_try: ClientTry) -> str:
        """Accept a client's try; returns its name, which is its request id."""
        self._try_count += 1
        name = f"{client_try.request.number}.{client_try.index}/{self._try_count}"
        deadline = now + max(0, client_try.timeout_ns - RETURN_MARGIN_NS)
        open_try = self._open_tries[name] = OpenTry(name, client_try, now, deadline)
        self.effects.add_timer(deadline, partial(self._expire, open_try))
        request = Request(
            id=name,
            class_index=client_try.request.class_index,
            deadline=deadline,
            is_retry=client_try.is_retry,
            tenant_index=client_try.request.tenant_index,
        )
        self._call_module(now, self._decision_module.on_request, request)
        return name

    def disconnect_client(self, now: int, name: str) -> bool:
        """End a try whose client has disconnected; False if it already had its final answer."""
        open_try = self._open_tries.get(name)
        if open_try is None or open_try.is_closed:
            return False
        open_try.is_closed = True
        self._call_module(now, self._decision_module.on_client_gone, name)
        self._remove_if_finished(open_try)
        return True

    def update_server_list(
        self, now: int, kind: ListKind, listed: Sequence[NumberedEntry], is_late: bool = False
    ) -> None:
        """Apply a full server list or a delta."""
        if kind is not ListKind.DELTA:
            self._servers.clear()
        for listed_server in listed:
            if listed_server.entry.state is ServerState.READY:
                self._servers[listed_server.entry.id] = listed_server.number
            else:
                self._servers.pop(listed_server.entry.id, None)
        entries = tuple(listed_server.entry for listed_server in listed)
        self._call_module(now, self._decision_module.on_list, ServerListUpdate(kind, entries, is_late))

    def report_discovery_failure(self, now: int, kind: ListKind) -> None:
        """Report a failed call to discovery to the decision module."""
        self._call_module(now, self._decision_module.on_list, ServerListUpdate(kind))

    def end_attempt(
        self,
        now: int,
        attempt: HollowAttempt,
        outcome: Outcome,
        report: LoadReport | None = None,
        unloaded_us: int = 0,
    ) -> None:
        """End an attempt with its outcome; the first successful one answers the client.

        `unloaded_us` is how long the attempt would have taken on an idle, warm server; the measures
        subtract it from the latency.
        """
        open_try = attempt.open_try
        if self.is_stopped or open_try.attempts[attempt.index] is None:
            return
        open_try.attempts[attempt.index] = None
        open_try.attempts_in_flight -= 1
        if outcome is Outcome.OK and not open_try.is_closed:
            open_try.is_closed = True
            self.effects.on_final_answer(now, open_try.client_try, TryOutcome.SERVED, unloaded_us, 0)
        end = AttemptEnd(
            request_id=open_try.name,
            attempt_index=attempt.index,
            server_id=attempt.server_id,
            outcome=outcome,
            latency=now - attempt.sent_at,
            request_closed=open_try.is_closed,
            load_report=report,
        )
        self._call_module(now, self._decision_module.on_attempt_end, end)
        self._remove_if_finished(open_try)

    # ---- actions of the decision module ----

    def _call_module(self, now: int, method: Callable[..., list[Action]], *arguments: object) -> None:
        if self.is_stopped:
            return
        self.counts.decision_calls += 1
        self._call_number += 1
        if self._call_number % CPU_SAMPLE_INTERVAL == 0:
            before = time.thread_time_ns()
            actions = method(now, *arguments)
            self.counts.decision_ns += (time.thread_time_ns() - before) * CPU_SAMPLE_INTERVAL
        else:
            actions = method(now, *arguments)
        for action in actions:
            if type(action) is Log:  # by far the most frequent action: one for each server
                self.counts.log_bytes += len(action.text)
            else:
                self._execute(now, action)

    def _execute(self, now: int, action: Action) -> None:
        if isinstance(action, Send):
            self._send(now, action)
        elif isinstance(action, SetTimer):
            self.effects.add_timer(action.fire_at, partial(self._fire_timer, action.token))
        elif isinstance(action, Cancel):
            self._cancel(now, action)
        elif isinstance(action, Refuse):
            self._answer(now, action.request_id, TryOutcome.REFUSED, action.retry_after)
        elif isinstance(action, Fail):
            self._answer(now, action.request_id, TryOutcome.FAILED, 0)
        elif isinstance(action, Watch):
            self.effects.start_watch()

    def _fire_timer(self, token: str, now: int) -> None:
        self._call_module(now, self._decision_module.on_timer, token)

    def _send(self, now: int, action: Send) -> None:
        open_try = self._open_tries[action.request_id]
        until = min(open_try.deadline, now + action.timeout) if action.timeout else open_try.deadline
        server = self._servers.get(action.server_id)
        attempt = HollowAttempt(
            self, open_try, len(open_try.attempts), action.server_id, -1 if server is None else server, now
        )
        open_try.attempts.append(attempt)
        open_try.attempts_in_flight += 1
        if (
            server is None
            or open_try.is_closed
            or until <= now
            or not self._decision_module.try_start_attempt(now, open_try.name, attempt.index)
        ):
            self.counts.not_sent += 1
            self.effects.add_timer(now, partial(self._end_without_response, attempt, Outcome.NOT_SENT))
            return
        self.counts.attempts += 1
        self.effects.send(attempt, open_try.client_try.request.work_us, (until - now) // 1000)
        if until < open_try.deadline:
            self.effects.add_timer(until, partial(self._time_out, attempt, Outcome.TIMEOUT))

    def _cancel(self, now: int, action: Cancel) -> None:
        open_try = self._open_tries.get(action.request_id)
        if open_try is None or action.attempt_index >= len(open_try.attempts):
            return
        attempt = open_try.attempts[action.attempt_index]
        if attempt is not None:
            self.counts.cancels += 1
            self.effects.cancel(attempt)
            # Deferred by a timer: the decision module must not be called for the end of the attempt while
            # the actions of the current event are still being carried out.
            self.effects.add_timer(now, partial(self._end_without_response, attempt, Outcome.CANCELLED))

    def _end_without_response(self, attempt: HollowAttempt, outcome: Outcome, now: int) -> None:
        self.end_attempt(now, attempt, outcome)

    def _time_out(self, attempt: HollowAttempt, outcome: Outcome, now: int) -> None:
        if not self.is_stopped and attempt.open_try.attempts[attempt.index] is not None:
            self.effects.cancel(attempt)
            self.end_attempt(now, attempt, outcome)

    def _expire(self, open_try: OpenTry, now: int) -> None:
        """At the deadline, time out all attempts in flight and fail the try if it has no final answer."""
        if self.is_stopped:
            return
        for attempt in list(open_try.attempts):
            if attempt is not None:
                self._time_out(attempt, Outcome.TIMEOUT, now)
        if not open_try.is_closed:
            open_try.is_closed = True
            self.effects.on_final_answer(now, open_try.client_try, TryOutcome.FAILED, 0, 0)
            self._call_module(now, self._decision_module.on_client_gone, open_try.name)
        self._remove_if_finished(open_try)

    def _answer(self, now: int, name: str, outcome: TryOutcome, retry_after_ns: int) -> None:
        open_try = self._open_tries.get(name)
        if open_try is not None and not open_try.is_closed:
            open_try.is_closed = True
            self.effects.on_final_answer(now, open_try.client_try, outcome, 0, retry_after_ns)
            self._remove_if_finished(open_try)

    def _remove_if_finished(self, open_try: OpenTry) -> None:
        if open_try.is_closed and not open_try.attempts_in_flight:
            self._open_tries.pop(open_try.name, None)
