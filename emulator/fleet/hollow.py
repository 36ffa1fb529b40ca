"""One hollow balancer: the real decision module with modelled connections, and no sockets of its own.

It mirrors what the real balancer's driver tells the module: outcomes, final flags, deadlines and attempts
that cannot be sent. Every method takes the time; what is to be done goes to `Effects`.
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

RETURN_MARGIN_NS = 5_000_000  # the real driver keeps so much of the client's time for the way back
# The processor time of every 16th call into the module is measured, and counts 16 times.
CPU_SAMPLE_INTERVAL = 16


class NumberedEntry(Protocol):
    """One entry of a list, with the number of the stand-in that it names."""

    @property
    def entry(self) -> ServerEntry: ...

    @property
    def number(self) -> int: ...


@dataclass(slots=True, eq=False)
class OpenTry:
    """A client's try until it is answered and all its attempts have come back."""

    name: str
    client_try: ClientTry
    arrived: int
    deadline: int
    attempts: list[HollowAttempt | None] = field(default_factory=list)  # None: has come back
    out: int = 0
    closed: bool = False


@dataclass(slots=True, eq=False)
class HollowAttempt:
    """One attempt that is out at a stand-in photo server."""

    balancer: HollowBalancer
    open_try: OpenTry
    index: int  # among the attempts of its try
    server_id: int  # as the module knows it
    server: int  # as the stand-ins know it
    sent: int
    number: int = -1  # on its connection, set by whoever sends it


class Effects(Protocol):
    """Carries out what a hollow balancer wants done."""

    def send(self, attempt: HollowAttempt, work_us: int, wait_us: int) -> None:
        """Send it, and set its number."""

    def cancel(self, attempt: HollowAttempt) -> None:
        """Give it up: nothing that comes back for it is wanted any more."""

    def add_timer(self, at: int, callback: Callable[[int], None]) -> None:
        """Call back at that time."""

    def start_watch(self) -> None:
        """Begin to watch discovery."""

    def on_final_answer(
        self, now: int, client_try: ClientTry, end: TryOutcome, unloaded_us: int, retry_after: int
    ) -> None:
        """The client has its final answer; `unloaded_us` as in `end_attempt`."""


@dataclass(slots=True)
class HollowCounts:
    """What one hollow balancer has done since the counts were last taken."""

    attempts: int = 0
    cancels: int = 0
    not_sent: int = 0
    log_bytes: int = 0
    calls: int = 0
    decision_ns: int = 0  # estimated from a sample of the calls

    def add(self, other: HollowCounts) -> None:
        """Sum up two balancers' counts."""
        self.attempts += other.attempts
        self.cancels += other.cancels
        self.not_sent += other.not_sent
        self.log_bytes += other.log_bytes
        self.calls += other.calls
        self.decision_ns += other.decision_ns


class HollowBalancer:
    """The decision module, the tries that are open at it and the servers that it may send to."""

    def __init__(self, settings: Settings, seed: int, effects: Effects) -> None:
        self.effects = effects
        self.counts = HollowCounts()
        self.stopped = False
        self._decision_module = Balancer(settings, seed)
        self._open: dict[str, OpenTry] = {}
        self._servers: dict[int, int] = {}  # module's id -> stand-in's number, of those that are ready
        self._named = 0
        self._calls = seed % CPU_SAMPLE_INTERVAL  # since the start: which calls are measured

    @property
    def open_try_count(self) -> int:
        """How many tries are answered by nobody yet, or have attempts out."""
        return len(self._open)

    def take_counts(self) -> HollowCounts:
        """What it has done since the last call."""
        counts, self.counts = self.counts, HollowCounts()
        return counts

    # ---- what happens ----

    def start(self, now: int) -> None:
        """Tell the module that it runs."""
        self._tell(now, self._decision_module.on_start)

    def stop(self, now: int) -> list[ClientTry]:
        """Die: nothing more is answered or told. The tries whose clients lose their connection."""
        self.stopped = True
        lost = [one.client_try for one in self._open.values() if not one.closed]
        for one in self._open.values():
            for attempt in one.attempts:
                if attempt is not None:
                    self.effects.cancel(attempt)
        self._open.clear()
        return lost

    def submit(self, now: int, client_try: ClientTry) -> str:
        """Take a client's try; its name."""
        self._named += 1
        name = f"{client_try.request.number}.{client_try.index}/{self._named}"
        deadline = now + max(0, client_try.timeout_ns - RETURN_MARGIN_NS)
        open_try = self._open[name] = OpenTry(name, client_try, now, deadline)
        self.effects.add_timer(deadline, partial(self._expire, open_try))
        request = Request(
            id=name,
            class_index=client_try.request.class_index,
            deadline=deadline,
            is_retry=client_try.is_retry,
            tenant_index=client_try.request.tenant_index,
        )
        self._tell(now, self._decision_module.on_request, request)
        return name

    def disconnect_client(self, now: int, name: str) -> bool:
        """The client has left without its answer; False if it had one before."""
        open_try = self._open.get(name)
        if open_try is None or open_try.closed:
            return False
        open_try.closed = True
        self._tell(now, self._decision_module.on_client_gone, name)
        self._forget(open_try)
        return True

    def update_server_list(self, now: int, kind: ListKind, listed: Sequence[NumberedEntry]) -> None:
        """Take over a list, or what has changed on it."""
        if kind is not ListKind.DELTA:
            self._servers.clear()
        for one in listed:
            if one.entry.state is ServerState.READY:
                self._servers[one.entry.id] = one.number
            else:
                self._servers.pop(one.entry.id, None)
        self._tell(
            now, self._decision_module.on_list, ServerListUpdate(kind, tuple(one.entry for one in listed))
        )

    def discovery_failed(self, now: int, kind: ListKind) -> None:
        """A call to discovery was refused or broke off."""
        self._tell(now, self._decision_module.on_list, ServerListUpdate(kind))

    def end_attempt(
        self,
        now: int,
        attempt: HollowAttempt,
        outcome: Outcome,
        report: LoadReport | None = None,
        unloaded_us: int = 0,
    ) -> None:
        """One attempt has its outcome; the first good one answers the client.

        `unloaded_us` is what the attempt would have taken at an idle server, for the client's measures.
        """
        open_try = attempt.open_try
        if self.stopped or open_try.attempts[attempt.index] is None:
            return
        open_try.attempts[attempt.index] = None
        open_try.out -= 1
        if outcome is Outcome.OK and not open_try.closed:
            open_try.closed = True
            self.effects.on_final_answer(now, open_try.client_try, TryOutcome.SERVED, unloaded_us, 0)
        end = AttemptEnd(
            request_id=open_try.name,
            attempt_index=attempt.index,
            server_id=attempt.server_id,
            outcome=outcome,
            latency=now - attempt.sent,
            request_closed=open_try.closed,
            load_report=report,
        )
        self._tell(now, self._decision_module.on_attempt_end, end)
        self._forget(open_try)

    # ---- what the module wants done ----

    def _tell(self, now: int, method: Callable[..., list[Action]], *arguments: object) -> None:
        if self.stopped:
            return
        self.counts.calls += 1
        self._calls += 1
        if self._calls % CPU_SAMPLE_INTERVAL == 0:
            before = time.thread_time_ns()
            actions = method(now, *arguments)
            self.counts.decision_ns += (time.thread_time_ns() - before) * CPU_SAMPLE_INTERVAL
        else:
            actions = method(now, *arguments)
        for action in actions:
            if type(action) is Log:  # by far the most: one for each server
                self.counts.log_bytes += len(action.text)
            else:
                self._carry_out(now, action)

    def _carry_out(self, now: int, action: Action) -> None:
        if isinstance(action, Send):
            self._send(now, action)
        elif isinstance(action, SetTimer):
            self.effects.add_timer(action.fire_at, partial(self._timer, action.token))
        elif isinstance(action, Cancel):
            self._cancel(now, action)
        elif isinstance(action, Refuse):
            self._final(now, action.request_id, TryOutcome.REFUSED, action.retry_after)
        elif isinstance(action, Fail):
            self._final(now, action.request_id, TryOutcome.FAILED, 0)
        elif isinstance(action, Watch):
            self.effects.start_watch()

    def _timer(self, token: str, now: int) -> None:
        self._tell(now, self._decision_module.on_timer, token)

    def _send(self, now: int, action: Send) -> None:
        open_try = self._open[action.request_id]
        until = min(open_try.deadline, now + action.timeout) if action.timeout else open_try.deadline
        server = self._servers.get(action.server_id)
        attempt = HollowAttempt(
            self, open_try, len(open_try.attempts), action.server_id, -1 if server is None else server, now
        )
        open_try.attempts.append(attempt)
        open_try.out += 1
        begun_too_late = 0 < action.start_before <= now
        if server is None or open_try.closed or until <= now or begun_too_late:
            self.counts.not_sent += 1
            self.effects.add_timer(now, partial(self._end_without_answer, attempt, Outcome.NOT_SENT))
            return
        self.counts.attempts += 1
        self.effects.send(attempt, open_try.client_try.request.work_us, (until - now) // 1000)
        if until < open_try.deadline:
            self.effects.add_timer(until, partial(self._give_up, attempt, Outcome.TIMEOUT))

    def _cancel(self, now: int, action: Cancel) -> None:
        open_try = self._open.get(action.request_id)
        if open_try is None or action.attempt_index >= len(open_try.attempts):
            return
        attempt = open_try.attempts[action.attempt_index]
        if attempt is not None:
            self.counts.cancels += 1
            self.effects.cancel(attempt)
            # Not at once: the module is told of the end only after it has had its say on this event.
            self.effects.add_timer(now, partial(self._end_without_answer, attempt, Outcome.CANCELLED))

    def _end_without_answer(self, attempt: HollowAttempt, outcome: Outcome, now: int) -> None:
        self.end_attempt(now, attempt, outcome)

    def _give_up(self, attempt: HollowAttempt, outcome: Outcome, now: int) -> None:
        if not self.stopped and attempt.open_try.attempts[attempt.index] is not None:
            self.effects.cancel(attempt)
            self.end_attempt(now, attempt, outcome)

    def _expire(self, open_try: OpenTry, now: int) -> None:
        """The client's time is over: what is out has timed out, and the client is told, whatever follows."""
        if self.stopped:
            return
        for attempt in list(open_try.attempts):
            if attempt is not None:
                self._give_up(attempt, Outcome.TIMEOUT, now)
        if not open_try.closed:
            open_try.closed = True
            self.effects.on_final_answer(now, open_try.client_try, TryOutcome.FAILED, 0, 0)
            self._tell(now, self._decision_module.on_client_gone, open_try.name)
        self._forget(open_try)

    def _final(self, now: int, name: str, end: TryOutcome, retry_after: int) -> None:
        open_try = self._open.get(name)
        if open_try is not None and not open_try.closed:
            open_try.closed = True
            self.effects.on_final_answer(now, open_try.client_try, end, 0, retry_after)
            self._forget(open_try)

    def _forget(self, open_try: OpenTry) -> None:
        if open_try.closed and not open_try.out:
            self._open.pop(open_try.name, None)
