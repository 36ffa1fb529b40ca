"""Connects the sockets with the decision module: reports events to it and carries out its actions."""

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
from dykeshift.node.responses import FAILED_RESPONSE, TIMEOUT_RESPONSE, ClientResponse
from dykeshift.node.upstream import Attempt, AttemptResult, Pool
from dykeshift.rules import Balancer

log = logging.getLogger(__name__)

# Part of the client's timeout that is reserved for the response's way to the client, which ignores a response
# that arrives just as it gives up.
RETURN_MARGIN_NS = 5_000_000
# A response that misses the latency target is sent at least this long before the client's timeout. The
# process may be stalled for 0.15 s just when a response is due, and clients wait for about 0.06 s beyond
# their timeout.
STALL_MARGIN_NS = 90_000_000
TIMER_RETRY_DELAY_S = 1.0  # until a timer is reported again after the decision module raised an exception


def response_time_limit_ns(client_timeout_ns: int, latency_target_ns: int) -> int:
    """Time after a request's arrival within which its final response must be sent, in nanoseconds.

    The margin for a stall never shortens the time to below the latency target: responses until then have the
    full worth, and the stall may not happen.
    """
    return max(
        0, client_timeout_ns - STALL_MARGIN_NS, min(latency_target_ns, client_timeout_ns - RETURN_MARGIN_NS)
    )


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request, kept until it has had its response and all its attempts have ended."""

    request_id: str  # unique, unlike the client's id: see `new_request_id`
    client_request: ClientRequest
    answer_deadline: int  # clock time by which its final response must be sent
    send_response: Callable[[ClientResponse], None]
    is_client_waiting: Callable[[], bool]
    attempts: list[Attempt | None] = field(default_factory=list)  # None: has ended
    sent_at_ns: list[int] = field(default_factory=list)
    attempts_in_flight: int = 0
    closed: bool = False  # has had its response, or the client has gone
    deadline_timer: asyncio.TimerHandle | None = None


class Driver:
    """Carries requests from clients to servers as the decision module decides.

    All times are integers in nanoseconds of the monotonic clock.
    """

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
        self.request_count = 0  # since the start
        self.stop_deadline: int | None = None  # during a shutdown: by then all requests must have a response

    # ---- events ----

    def start(self) -> None:
        self._notify_module(self.decision_module.on_start)

    def is_id_in_use(self, client_request: ClientRequest) -> bool:
        """Whether a request must be refused because another one with the same id is still known.

        That is so while the other one is open, and while it may still be executed and one of the two must not
        be executed twice. A request with a response, or without its client, is known until its attempts have
        ended; its id may be used again before that, for example after a broken connection. What may be sent
        for it then, and after the attempts have ended, the decision module decides.
        """
        return any(
            open_request.client_request.id == client_request.id
            and (not open_request.closed or client_request.is_unsafe or open_request.client_request.is_unsafe)
            for open_request in self.open_requests.values()
        )

    def new_request_id(self, client_request: ClientRequest) -> str:
        """A unique id for the request. The client's own id may be in use twice: see `is_id_in_use`."""
        self.request_count += 1
        return f"{client_request.id}/{self.request_count}"

    def submit(
        self,
        request_id: str,
        client_request: ClientRequest,
        arrived_at: int,
        send_response: Callable[[ClientResponse], None],
        is_client_waiting: Callable[[], bool] = lambda: True,
    ) -> None:
        """Accept a request; `send_response` is called exactly once, unless the client disconnects first."""
        deadline = arrived_at + max(0, client_request.client_timeout_ns - RETURN_MARGIN_NS)
        answer_deadline = arrived_at + response_time_limit_ns(
            client_request.client_timeout_ns, client_request.latency_target_ns
        )
        if self.stop_deadline is not None:
            deadline, answer_deadline = (
                min(deadline, self.stop_deadline),
                min(answer_deadline, self.stop_deadline),
            )
        open_request = self.open_requests[request_id] = OpenRequest(
            request_id, client_request, answer_deadline, send_response, is_client_waiting
        )
        self._set_deadline_timer(open_request)
        request = Request(
            id=request_id,
            class_index=client_request.class_index,
            deadline=deadline,
            answer_deadline=answer_deadline,
            cost_hint=client_request.cost_hint,
            is_retry=client_request.is_retry,
            tenant_index=client_request.tenant_index,
            client_id=client_request.id,
        )
        self._notify_module(self.decision_module.on_request, request, open_request=open_request)

    def set_stop_deadline(self, stop_deadline: int) -> None:
        """Make all requests end by then, even those with a later deadline, because the process will exit."""
        self.stop_deadline = stop_deadline
        for open_request in self.open_requests.values():
            if open_request.answer_deadline > stop_deadline:
                open_request.answer_deadline = stop_deadline
                for attempt in open_request.attempts:
                    if attempt is not None:
                        attempt.deadline_ns = min(attempt.deadline_ns, stop_deadline)
                self._set_deadline_timer(open_request)

    def _set_deadline_timer(self, open_request: OpenRequest) -> None:
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()
        remaining = max(0, open_request.answer_deadline - time.monotonic_ns())
        # Rounded up: if the timer fired early, the decision module could still start an attempt just before
        # the deadline.
        open_request.deadline_timer = self.loop.call_later(
            remaining / 1e9 + 0.001, self._on_deadline, open_request
        )

    def client_disconnected(self, request_id: str) -> None:
        open_request = self.open_requests.get(request_id)
        if open_request is not None and not open_request.closed:
            self._close(open_request)
            self._notify_module(self.decision_module.on_client_gone, request_id, open_request=open_request)
            self._remove_if_done(open_request)

    def apply_list(self, kind: ListKind, listed: list[ListedServer], is_late: bool) -> bool:
        """Apply an update of the server list to the pool and then to the decision module.

        `is_late` says that the response of discovery came late.

        The pool comes first, as the module's actions on the update already need the new addresses. Returns
        False if the module raised an exception; it may then have applied only a part of the update.
        """
        if kind is ListKind.DELTA:
            for server in listed:
                self.pool.update_server(server)
        else:
            self.pool.replace_servers(listed)
        update = ServerListUpdate(kind, tuple(server.entry for server in listed), is_late)
        return self._notify_module(self.decision_module.on_list, update)

    def discovery_failed(self, kind: ListKind) -> None:
        self._notify_module(self.decision_module.on_list, ServerListUpdate(kind))

    def discovery_address_changed(self) -> None:
        self._notify_module(self.decision_module.on_discovery_moved)

    def apply_settings(self, settings: Settings) -> bool:
        """Use these settings for all further requests; False if the decision module raised an exception."""
        return self._notify_module(self.decision_module.on_settings, settings)

    def _on_deadline(self, open_request: OpenRequest) -> None:
        """Abort all attempts as timed out, and respond to the client in any case.

        Attempts of a request that already has its response are aborted as well: those that must not be
        cancelled would otherwise stay open for as long as a server hangs.
        """
        for attempt in open_request.attempts:
            if attempt is not None:
                attempt.abort(Outcome.TIMEOUT)
        if open_request.attempts_in_flight:
            # The module learns first how the attempts ended: it can decide whether the response may be a
            # refusal.
            self.loop.call_soon(self._respond_without_decision, open_request, TIMEOUT_RESPONSE)
        else:
            self._respond_without_decision(open_request, TIMEOUT_RESPONSE)

    def _on_attempt_end(
        self, open_request: OpenRequest, attempt_index: int, server_id: int, result: AttemptResult
    ) -> None:
        open_request.attempts[attempt_index] = None
        open_request.attempts_in_flight -= 1
        if result.outcome is Outcome.OK and result.response is not None and not open_request.closed:
            content_type = result.response.headers.get(b"content-type", b"application/octet-stream")
            self._close_and_respond(open_request, ClientResponse(200, result.response.body, content_type))
        elif not open_request.closed and not open_request.is_client_waiting():
            # Otherwise the module might start another attempt.
            self.client_disconnected(open_request.request_id)
        event = AttemptEnd(
            open_request.request_id,
            attempt_index,
            server_id,
            result.outcome,
            time.monotonic_ns() - open_request.sent_at_ns[attempt_index],
            open_request.closed,
            result.load_report,
        )
        self._notify_module(self.decision_module.on_attempt_end, event, open_request=open_request)
        self._remove_if_done(open_request)

    # ---- the decision module ----

    def _notify_module(
        self, method: Callable[..., list[Action]], *args: object, open_request: OpenRequest | None = None
    ) -> bool:
        """Report an event to the decision module and carry out the actions that it returns.

        If the module raises an exception, only the request of the event fails, and its attempts are
        cancelled. The actions that the module had recorded before the exception are still carried out, so
        that its counts stay correct. Returns whether the module handled the event.
        """
        try:
            actions = method(time.monotonic_ns(), *args)
        except Exception:
            log.exception("the decision module raised an exception in %s", method.__name__)
            if open_request is not None:
                self._respond_without_decision(open_request, FAILED_RESPONSE)
            return False
        self._execute(actions)
        return True

    def _on_timer(self, token: str) -> None:
        """Report a timer; repeat it after an exception, so that the module's periodic work does not stop.

        That work includes the watch of discovery.
        """
        if not self._notify_module(self.decision_module.on_timer, token):
            self.loop.call_later(TIMER_RETRY_DELAY_S, self._on_timer, token)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                wait = max(0, action.fire_at - time.monotonic_ns()) / 1e9
                self.loop.call_later(wait, self._on_timer, action.token)
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, Refuse):
                self._respond(
                    action.request_id,
                    ClientResponse(503, b"refused: try again\n", retry_after_ns=action.retry_after),
                )
            elif isinstance(action, Fail):
                self._respond(action.request_id, FAILED_RESPONSE)
            elif isinstance(action, Watch):
                self.start_watch()
            elif isinstance(action, Log):
                log.info("%s", action.text)

    def _send(self, action: Send) -> None:
        open_request = self.open_requests.get(action.request_id)
        if open_request is None:
            log.error("the decision module sent an attempt for unknown request %s", action.request_id)
            return
        attempt_index, now = len(open_request.attempts), time.monotonic_ns()
        deadline = (
            min(open_request.answer_deadline, now + action.timeout)
            if action.timeout
            else open_request.answer_deadline
        )
        if open_request.closed:
            deadline = 0  # nothing is sent any more, but the module is informed of the attempt's outcome
        on_end = partial(self._on_attempt_end, open_request, attempt_index, action.server_id)
        attempt = self.pool.start_attempt(
            action.server_id,
            open_request.client_request.build_message,
            deadline,
            on_end,
            partial(self._try_start, open_request.request_id, attempt_index),
            open_request.is_client_waiting,
        )
        open_request.attempts.append(attempt)
        open_request.sent_at_ns.append(now)
        open_request.attempts_in_flight += 1
        if action.timeout and deadline < open_request.answer_deadline:
            self.loop.call_later((deadline - now) / 1e9, attempt.abort, Outcome.TIMEOUT)

    def _try_start(self, request_id: str, attempt_index: int, now: int) -> bool:
        """Ask the decision module whether an attempt that has its connection may be written at this time."""
        try:
            return self.decision_module.try_start_attempt(now, request_id, attempt_index)
        except Exception:
            log.exception("the decision module raised an exception in try_start_attempt")
            return False

    def _cancel(self, action: Cancel) -> None:
        open_request = self.open_requests.get(action.request_id)
        if open_request is None or action.attempt_index >= len(open_request.attempts):
            return
        attempt = open_request.attempts[action.attempt_index]
        if attempt is not None:
            attempt.abort(Outcome.CANCELLED)

    # ---- responses ----

    def _respond(self, request_id: str, response: ClientResponse) -> None:
        open_request = self.open_requests.get(request_id)
        if open_request is not None and not open_request.closed:
            self._close_and_respond(open_request, response)
            self._remove_if_done(open_request)

    def _respond_without_decision(self, open_request: OpenRequest, response: ClientResponse) -> None:
        """Respond without a decision of the module, and inform it that the request has ended."""
        if open_request.closed:
            return
        self._close_and_respond(open_request, response)
        self._notify_module(
            self.decision_module.on_client_gone, open_request.request_id, open_request=open_request
        )
        for attempt in open_request.attempts:
            if attempt is not None:
                attempt.abort(Outcome.CANCELLED)
        self._remove_if_done(open_request)

    def _close_and_respond(self, open_request: OpenRequest, response: ClientResponse) -> None:
        self._close(open_request)
        open_request.send_response(response)

    def _close(self, open_request: OpenRequest) -> None:
        """Mark the request as closed and withdraw its attempts that still wait for a connection.

        The module is not asked, because an attempt that was never sent may be withdrawn even where the
        settings forbid cancelling.
        """
        open_request.closed = True
        for attempt in open_request.attempts:
            if attempt is not None and attempt.connection is None:
                attempt.abort(Outcome.NOT_SENT)

    def _remove_if_done(self, open_request: OpenRequest) -> None:
        if open_request.closed and not open_request.attempts_in_flight:
            self.open_requests.pop(open_request.request_id, None)
            if open_request.deadline_timer is not None:
                open_request.deadline_timer.cancel()
