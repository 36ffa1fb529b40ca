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
from dykeshift.node.requests import Incoming
from dykeshift.node.upstream import Attempt, AttemptResult, Pool
from dykeshift.rules import Balancer

log = logging.getLogger(__name__)

# Nanoseconds kept of the client's time for the way back: an answer that comes as it gives up is none.
RETURN = 5_000_000
# Nanoseconds before the end of that time by which a final answer leaves if its class's aim is over by then:
# the process may be held up for 0.15 s just as it is due, and clients wait for some 0.06 s beyond their time.
HOLD = 90_000_000
TIMER_RETRY = 1.0  # seconds until a timer that the module failed in is told again


@dataclass(frozen=True, slots=True)
class Reply:
    """A final answer. `content_type` is the upstream's."""

    status: int
    body: bytes
    content_type: bytes = b"text/plain"
    retry_after: int = 0  # nanoseconds; 0: not said


def answer_within(patience: int, aim: int) -> int:
    """How long after its request a final answer leaves at the latest; all in nanoseconds.

    Before the aim nothing is given up for a hold that may not come: answers until then are worth most.
    """
    return max(0, patience - HOLD, min(aim, patience - RETURN))


FAILED = Reply(500, b"failed: it may have had its effect\n")
LATE = Reply(504, b"failed: no answer in time\n")


@dataclass(slots=True, eq=False)
class Job:
    """A request until it is answered and all its attempts have come back."""

    name: str  # what the module knows it by: the client's id may come again while this one winds up
    incoming: Incoming
    deadline: int  # clock time by which its final answer leaves
    reply: Callable[[Reply], None]
    wanted: Callable[[], bool]  # whether the client still waits
    attempts: list[Attempt | None] = field(default_factory=list)  # None: has come back
    sent: list[int] = field(default_factory=list)
    out: int = 0
    closed: bool = False
    guard: asyncio.TimerHandle | None = None


class Driver:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, balancer: Balancer, pool: Pool, watch: Callable[[], None]
    ) -> None:
        self.loop = loop
        self.balancer = balancer
        self.pool = pool
        self.watch = watch
        self.jobs: dict[str, Job] = {}
        self.named = 0  # requests since the start
        self.until: int | None = None  # when all must be answered: the program is being stopped

    # ---- events ----

    def start(self) -> None:
        self._tell(self.balancer.on_start)

    def in_use(self, incoming: Incoming) -> bool:
        """Whether a request of this id may not be taken: it is open, or may still run and must not run twice.

        One that is answered, or whose client has gone, stays until its attempts have come back: others
        may come with its id again by then, as after a connection that broke.
        """
        return any(
            job.incoming.id == incoming.id and (not job.closed or incoming.unsafe or job.incoming.unsafe)
            for job in self.jobs.values()
        )

    def name(self, incoming: Incoming) -> str:
        """A name of its own for the request, which its id is not: see `in_use`."""
        self.named += 1
        return f"{incoming.id}/{self.named}"

    def submit(
        self,
        name: str,
        incoming: Incoming,
        arrived: int,
        reply: Callable[[Reply], None],
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Take a request; `reply` is called exactly once, unless the client goes first."""
        deadline = arrived + max(0, incoming.patience - RETURN)
        answer_by = arrived + answer_within(incoming.patience, incoming.aim)
        if self.until is not None:
            deadline, answer_by = min(deadline, self.until), min(answer_by, self.until)
        job = self.jobs[name] = Job(name, incoming, answer_by, reply, wanted)
        self._set_guard(job)
        request = Request(
            id=name,
            class_index=incoming.klass,
            deadline=deadline,
            answer_deadline=answer_by,
            cost_hint=incoming.cost_hint,
            is_retry=incoming.retry,
            tenant_index=incoming.tenant,
        )
        self._tell(self.balancer.on_request, request, job=job)

    def stop_by(self, until: int) -> None:
        """The program ends then: what is open is answered by then too, be its client more patient."""
        self.until = until
        for job in self.jobs.values():
            if job.deadline > until:
                job.deadline = until
                for attempt in job.attempts:
                    if attempt is not None:
                        attempt.deadline_ns = min(attempt.deadline_ns, until)
                self._set_guard(job)

    def _set_guard(self, job: Job) -> None:
        if job.guard is not None:
            job.guard.cancel()
        left = max(0, job.deadline - time.monotonic_ns())
        # Rounded up: a timer that fires early would let the module begin once more in the last instant.
        job.guard = self.loop.call_later(left / 1e9 + 0.001, self._expire, job)

    def client_gone(self, name: str) -> None:
        job = self.jobs.get(name)
        if job is not None and not job.closed:
            self._close(job)
            self._tell(self.balancer.on_client_gone, name, job=job)
            self._forget(job)

    def apply(self, kind: ListKind, listed: list[ListedServer]) -> bool:
        """Take over a list. Addresses first: what the module decides on it already goes by them.

        False: the module failed over it and may hold only part of it.
        """
        if kind is ListKind.DELTA:
            for one in listed:
                self.pool.update_server(one)
        else:
            self.pool.replace_servers(listed)
        return self._tell(self.balancer.on_list, ServerListUpdate(kind, tuple(one.entry for one in listed)))

    def discovery_failed(self, kind: ListKind) -> None:
        self._tell(self.balancer.on_list, ServerListUpdate(kind))

    def discovery_moved(self) -> None:
        self._tell(self.balancer.on_discovery_moved)

    def settings_changed(self, settings: Settings) -> bool:
        """Requests that come from now on go by these; False: the module failed over them."""
        return self._tell(self.balancer.on_settings, settings)

    def _expire(self, job: Job) -> None:
        """The client's time is over: what is out has timed out, and the client is told, whatever follows.

        After the answer too: what may not be cancelled would be waited for as long as a server hangs.
        """
        for attempt in job.attempts:
            if attempt is not None:
                attempt.abort(Outcome.TIMEOUT)
        if job.out:
            # The ends come first: the module knows better whether the answer may be a refusal.
            self.loop.call_soon(self._answer, job, LATE)
        else:
            self._answer(job, LATE)

    def _ended(self, job: Job, number: int, server: int, end: AttemptResult) -> None:
        job.attempts[number] = None
        job.out -= 1
        if end.outcome is Outcome.OK and end.response is not None and not job.closed:
            kind = end.response.headers.get(b"content-type", b"application/octet-stream")
            self._finish(job, Reply(200, end.response.body, kind))
        elif not job.closed and not job.wanted():
            self.client_gone(job.name)  # else the module would look for another upstream
        told = AttemptEnd(
            job.name,
            number,
            server,
            end.outcome,
            time.monotonic_ns() - job.sent[number],
            job.closed,
            end.report,
        )
        self._tell(self.balancer.on_attempt_end, told, job=job)
        self._forget(job)

    # ---- the module ----

    def _tell(self, method: Callable[..., list[Action]], *args: object, job: Job | None = None) -> bool:
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
                self._answer(job, FAILED)
            return False
        self._do(actions)
        return True

    def _timer(self, token: str) -> None:
        """Protects what the module does again and again, its watch among it, from ending with one fault."""
        if not self._tell(self.balancer.on_timer, token):
            self.loop.call_later(TIMER_RETRY, self._timer, token)

    def _do(self, actions: list[Action]) -> None:
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
                    action.request_id, Reply(503, b"refused: try again\n", retry_after=action.retry_after)
                )
            elif isinstance(action, Fail):
                self._final(action.request_id, FAILED)
            elif isinstance(action, Watch):
                self.watch()
            elif isinstance(action, Log):
                log.info("%s", action.text)

    def _send(self, action: Send) -> None:
        job = self.jobs.get(action.request_id)
        if job is None:
            log.error("the module sends for a request that is over: %s", action.request_id)
            return
        number, now = len(job.attempts), time.monotonic_ns()
        until = min(job.deadline, now + action.timeout) if action.timeout else job.deadline
        if job.closed:
            until = 0  # nothing more goes out for it, yet the module gets its outcome
        ended = partial(self._ended, job, number, action.server_id)
        attempt = self.pool.start_attempt(
            action.server_id, job.incoming.message, until, ended, action.start_before, job.wanted
        )
        job.attempts.append(attempt)
        job.sent.append(now)
        job.out += 1
        if action.timeout and until < job.deadline:
            self.loop.call_later((until - now) / 1e9, attempt.abort, Outcome.TIMEOUT)

    def _cancel(self, action: Cancel) -> None:
        job = self.jobs.get(action.request_id)
        if job is None or action.attempt_index >= len(job.attempts):
            return
        attempt = job.attempts[action.attempt_index]
        if attempt is not None:
            attempt.abort(Outcome.CANCELLED)

    # ---- answers ----

    def _final(self, request_id: str, reply: Reply) -> None:
        job = self.jobs.get(request_id)
        if job is not None and not job.closed:
            self._finish(job, reply)
            self._forget(job)

    def _answer(self, job: Job, reply: Reply) -> None:
        """An answer that is this program's own: the module is told that the request is over."""
        if job.closed:
            return
        self._finish(job, reply)
        self._tell(self.balancer.on_client_gone, job.name, job=job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.abort(Outcome.CANCELLED)
        self._forget(job)

    def _finish(self, job: Job, reply: Reply) -> None:
        self._close(job)
        job.reply(reply)

    def _close(self, job: Job) -> None:
        """Nothing is sent for it from here on: what waits for a connection is withdrawn.

        Not the module's to say: to withdraw what was never written is no cancel, and always allowed.
        """
        job.closed = True
        for attempt in job.attempts:
            if attempt is not None and attempt.connection is None:
                attempt.abort(Outcome.NOT_SENT)

    def _forget(self, job: Job) -> None:
        if job.closed and not job.out:
            self.jobs.pop(job.name, None)
            if job.guard is not None:
                job.guard.cancel()
