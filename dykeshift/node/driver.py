"""Between the sockets and the decision module: tells it what happens and does what it says, nothing else."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerListUpdate,
    SetTimer,
    Settings,
    Watch,
)
from dykeshift.node.listing import ListedServer
from dykeshift.node.requests import ClientRequest
from dykeshift.node.upstream import Attempt, AttemptResult, Pool
from dykeshift.rules import Balancer

log = logging.getLogger(__name__)

# Nanoseconds kept of the client's time for the way back: an answer that comes as it gives up is none.
RETURN_MARGIN_NS = 5_000_000
# Nanoseconds before the end of that time by which a final answer leaves if its class's aim is over by then:
# the process may be held up for 0.15 s just as it is due, and clients wait for some 0.06 s beyond their time.
STALL_MARGIN_NS = 90_000_000
TIMER_RETRY_DELAY_S = 1.0  # seconds until a timer that the module failed in is told again


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A final answer. `content_type` is the upstream's."""

    status: int
    body: bytes
    content_type: bytes = b"text/plain"
    retry_after_ns: int = 0  # nanoseconds; 0: not said


def response_time_limit_ns(client_timeout_ns: int, latency_target_ns: int) -> int:
    """How long after its request a final answer leaves at the latest; all in nanoseconds.

    Before the aim nothing is given up for a hold that may not come: answers until then are worth most.
    """
    return max(
        0, client_timeout_ns - STALL_MARGIN_NS, min(latency_target_ns, client_timeout_ns - RETURN_MARGIN_NS)
    )


FAILED_RESPONSE = ClientResponse(500, b"failed: it may have had its effect\n")
TIMEOUT_RESPONSE = ClientResponse(504, b"failed: no answer in time\n")


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request until it is answered and all its attempts have come back."""

    request_id: str  # what the module knows it by: the client's id may come again while this one winds up
    client_request: ClientRequest
    answer_deadline: int  # clock time by which its final answer leaves
    send_response: Callable[[ClientResponse], None]
    is_client_waiting: Callable[[], bool]  # whether the client still waits
    attempts: list[Attempt | None] = field(default_factory=list)  # None: has come back
    sent_at_ns: list[int] = field(default_factory=list)
    attempts_in_flight: int = 0
    closed: bool = False
    deadline_timer: asyncio.TimerHandle | None = None


class Driver:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decision_module: Balancer,
        pool: Pool,
        start_watch: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.decision_module = decision_module
        self.pool = pool
        self.start_watch = start_watch
        self.open_requests: dict[str, OpenRequest] = {}
        self.request_count = 0  # requests since the start
        self.stop_deadline: int | None = None  # when all must be answered: the program is being stopped

    # ---- events ----

    def start(self) -> None:
        self._notify_module(self.decision_module.on_start)

    def is_id_in_use(self, client_request: ClientRequest) -> bool:
        """Whether a request of this id may not be taken: it is open, or may still run and must not run twice.

        One that is answered, or whose client has gone, stays until its attempts have come back: others
        may come with its id again by then, as after a connection that broke.
        """
        return any(
            job.client_request.id == client_request.id
            and (not job.closed or client_request.is_unsafe or job.client_request.is_unsafe)
            for job in self.open_requests.values()
        )

    def new_request_id(self, client_request: ClientRequest) -> str:
        """A name of its own for the request, which its id is not: see `in_use`."""
        self.request_count += 1
        return f"{client_request.id}/{self.request_count}"

    def submit(
        self,
        request_id: str,
        client_request: ClientRequest,
        arrived: int,
        send_response: Callable[[ClientResponse], None],
        is_client_waiting: Callable[[], bool] = lambda: True,
    ) -> None:
        """Take a request; `reply` is called exactly once, unless the client goes first."""
        deadline = arrived + max(0, client_request.client_timeout_ns - RETURN_MARGIN_NS)
        answer_deadline = arrived + response_time_limit_ns(
            client_request.client_timeout_ns, client_request.latency_target_ns
        )
        if self.stop_deadline is not None:
            deadline, answer_deadline = (
                min(deadline, self.stop_deadline),
                min(answer_deadline, self.stop_deadline),
            )
        job = self.open_requests[request_id] = OpenRequest(
            request_id, client_request, answer_deadline, send_response, is_client_waiting
        )
        self._set_deadline_timer(job)
        request = Request(
            id=request_id,
            class_index=client_request.class_index,
            deadline=deadline,
            answer_deadline=answer_deadline,
            cost_hint=client_request.cost_hint,
            is_retry=client_request.is_retry,
            tenant_index=client_request.tenant_index,
        )
        self._notify_module(self.decision_module.on_request, request, job=job)

    def set_stop_deadline(self, stop_deadline: int) -> None:
        """The program ends then: what is open is answered by then too, be its client more patient."""
        self.stop_deadline = stop_deadline
        for job in self.open_requests.values():
            if job.answer_deadline > stop_deadline:
                job.answer_deadline = stop_deadline
                for attempt in job.attempts:
                    if attempt is not None:
                        attempt.deadline_ns = min(attempt.deadline_ns, stop_deadline)
                self._set_deadline_timer(job)

    def _set_deadline_timer(self, job: OpenRequest) -> None:
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        left = max(0, job.answer_deadline - time.monotonic_ns())
        # Rounded up: a timer that fires early would let the module begin once more in the last instant.
        job.deadline_timer = self.loop.call_later(left / 1e9 + 0.001, self._expire, job)

    def client_disconnected(self, request_id: str) -> None:
        job = self.open_requests.get(request_id)
        if job is not None and not job.closed:
            self._close(job)
            self._notify_module(self.decision_module.on_client_gone, request_id, job=job)
            self._forget(job)

    def apply_list(self, kind: ListKind, listed: list[ListedServer]) -> bool:
        """Take over a list. Addresses first: what the module decides on it already goes by them.

        False: the module failed over it and may hold only part of it.
        """
        if kind is ListKind.DELTA:
            for one in listed:
                self.pool.update_server(one)
        else:
            self.pool.replace_servers(listed)
        return self._notify_module(
            self.decision_module.on_list, ServerListUpdate(kind, tuple(one.entry for one in listed))
        )

    def discovery_failed(self, kind: ListKind) -> None:
        self._notify_module(self.decision_module.on_list, ServerListUpdate(kind))

    def discovery_address_changed(self) -> None:
        self._notify_module(self.decision_module.on_discovery_moved)

    def apply_settings(self, settings: Settings) -> bool:
        """Requests that come from now on go by these; False: the module failed over them."""
        return self._notify_module(self.decision_module.on_settings, settings)

    def _expire(self, job: OpenRequest) -> None:
        """The client's time is over: what is out has timed out, and the client is told, whatever follows.

        After the answer too: what may not be cancelled would be waited for as long as a server hangs.
        """
        for attempt in job.attempts:
            if attempt is not None:
                attempt.abort(Outcome.TIMEOUT)
        if job.attempts_in_flight:
            # The ends come first: the module knows better whether the answer may be a refusal.
            self.loop.call_soon(self._answer, job, TIMEOUT_RESPONSE)
        else:
            self._answer(job, TIMEOUT_RESPONSE)

    def _ended(self, job: OpenRequest, number: int, server: int, end: AttemptResult) -> None:
        job.attempts[number] = None
        job.attempts_in_flight -= 1
        if end.outcome is Outcome.OK and end.response is not None and not job.closed:
            kind = end.response.headers.get(b"content-type", b"application/octet-stream")
            self._finish(job, ClientResponse(200, end.response.body, kind))
        elif not job.closed and not job.is_client_waiting():
            self.client_disconnected(job.request_id)  # else the module would look for another upstream
        told = AttemptEnd(
            job.request_id,
            number,
            server,
            end.outcome,
            time.monotonic_ns() - job.sent_at_ns[number],
            job.closed,
            end.load_report,
        )
        self._notify_module(self.decision_module.on_attempt_end, told, job=job)
        self._forget(job)

    # ---- the module ----

    def _notify_module(
        self, method: Callable[..., list[Action]], *args: object, job: OpenRequest | None = None
    ) -> bool:
        """One event to the module, and what it wants done.

        Protects every other request from a fault in the module: this one fails, its attempts are
        called off, and what the module had noted so far is carried out, so that its counts stay true.
        Says whether the module did its part.
        """
        try:
            actions = method(time.monotonic_ns(), *args)
        except Exception:
            log.exception("the module failed in %s", method.__name__)
            if job is not None:
                self._answer(job, FAILED_RESPONSE)
            return False
        self._execute(actions)
        return True

    def _timer(self, token: str) -> None:
        """Protects what the module does again and again, its watch among it, from ending with one fault."""
        if not self._notify_module(self.decision_module.on_timer, token):
            self.loop.call_later(TIMER_RETRY_DELAY_S, self._timer, token)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                wait = max(0, action.fire_at - time.monotonic_ns()) / 1e9
                self.loop.call_later(wait, self._timer, action.token)
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, Refuse):
                self._final(
                    action.request_id,
                    ClientResponse(503, b"refused: try again\n", retry_after_ns=action.retry_after),
                )
            elif isinstance(action, Fail):
                self._final(action.request_id, FAILED_RESPONSE)
            elif isinstance(action, Watch):
                self.start_watch()
            elif isinstance(action, Log):
                log.info("%s", action.text)

    def _send(self, action: Send) -> None:
        job = self.open_requests.get(action.request_id)
        if job is None:
            log.error("the module sends for a request that is over: %s", action.request_id)
            return
        number, now = len(job.attempts), time.monotonic_ns()
        until = min(job.answer_deadline, now + action.timeout) if action.timeout else job.answer_deadline
        if job.closed:
            until = 0  # nothing more goes out for it, yet the module gets its outcome
        ended = partial(self._ended, job, number, action.server_id)
        attempt = self.pool.start_attempt(
            action.server_id,
            job.client_request.message,
            until,
            ended,
            action.start_before,
            job.is_client_waiting,
        )
        job.attempts.append(attempt)
        job.sent_at_ns.append(now)
        job.attempts_in_flight += 1
        if action.timeout and until < job.answer_deadline:
            self.loop.call_later((until - now) / 1e9, attempt.abort, Outcome.TIMEOUT)

    def _cancel(self, action: Cancel) -> None:
        job = self.open_requests.get(action.request_id)
        if job is None or action.attempt_index >= len(job.attempts):
            return
        attempt = job.attempts[action.attempt_index]
        if attempt is not None:
            attempt.abort(Outcome.CANCELLED)

    # ---- answers ----

    def _final(self, request_id: str, response: ClientResponse) -> None:
        job = self.open_requests.get(request_id)
        if job is not None and not job.closed:
            self._finish(job, response)
            self._forget(job)

    def _answer(self, job: OpenRequest, response: ClientResponse) -> None:
        """An answer that is this program's own: the module is told that the request is over."""
        if job.closed:
            return
        self._finish(job, response)
        self._notify_module(self.decision_module.on_client_gone, job.request_id, job=job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.abort(Outcome.CANCELLED)
        self._forget(job)

    def _finish(self, job: OpenRequest, response: ClientResponse) -> None:
        self._close(job)
        job.send_response(response)

    def _close(self, job: OpenRequest) -> None:
        """Nothing is sent for it from here on: what waits for a connection is withdrawn.

        Not the module's to say: to withdraw what was never written is no cancel, and always allowed.
        """
        job.closed = True
        for attempt in job.attempts:
            if attempt is not None and attempt.connection is None:
                attempt.abort(Outcome.NOT_SENT)

    def _forget(self, job: OpenRequest) -> None:
        if job.closed and not job.attempts_in_flight:
            self.open_requests.pop(job.request_id, None)
            if job.deadline_timer is not None:
                job.deadline_timer.cancel()
