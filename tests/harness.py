"""Test harness: runs one balancer on a simulated clock and checks that each of its actions is allowed."""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.interface import (
    UNEXECUTED_OUTCOMES,
    Action,
    AttemptEnd,
    Cancel,
    DedupScope,
    Fail,
    Idempotency,
    ListKind,
    LoadReport,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SetTimer,
    Settings,
    Watch,
)
from dykeshift.rules import Balancer

# In nanoseconds, as all times of the decision module.
MS = 1_000_000
S = 1000 * MS

SAFE = RequestClass("read", 200 * MS, 500 * MS, 2.0, 0.0, Idempotency.SAFE, DedupScope.ALL, 0)
KEYED_CELL = RequestClass("put", 400 * MS, 800 * MS, 3.0, 0.25, Idempotency.KEYED, DedupScope.CELL, 300 * MS)
UNSAFE = RequestClass("post", 400 * MS, 1500 * MS, 5.0, 0.2, Idempotency.UNSAFE, DedupScope.ALL, 0)
KEYED_ALL = RequestClass("set", 400 * MS, 800 * MS, 3.0, 0.25, Idempotency.KEYED, DedupScope.ALL, 300 * MS)
KEYED_ZONE = RequestClass("zset", 400 * MS, 800 * MS, 3.0, 0.25, Idempotency.KEYED, DedupScope.ZONE, 300 * MS)
CLASSES = (SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE)


def make_settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "balancer_count": 4,
        "zone": 0,
        "watch_discovery": False,
        "max_watch_interval": 10 * S,
        "max_attempts": 3,
        "copies_allowed": True,
        "cancel_allowed": True,
        "cold_capacity_share": 0.12,
        "warm_up_time": 24 * S,
        "overload_multiple": 2.5,
        "overload_window": 1500 * MS,
        "answer_grace": 20 * MS,
        "min_call_interval": 5 * MS,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def server_entry(
    server_id: int, state: ServerState = ServerState.READY, started_at: int = 0, **placement: int
) -> ServerEntry:
    """Return an entry; without `placement` the ids alternate between two zones and three cells."""
    return ServerEntry(
        id=server_id,
        zone=placement.get("zone", server_id % 2),
        cell=placement.get("cell", server_id % 3),
        kind=placement.get("kind", 0),
        state=state,
        weight=1.0,
        started_at=started_at,
    )


@dataclass
class RequestRecord:
    """A submitted request and what became of it; the lists have one element for each attempt."""

    request: Request
    request_class: RequestClass
    server_ids: list[int] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)
    outcomes: list[Outcome | None] = field(default_factory=list)  # None: in flight
    final_answer: str = ""  # OK, Refuse or Fail, "gone" if the client has disconnected; empty: none yet


class BalancerHarness:
    """Feeds one balancer with events, executes its actions and fires its timers.

    Raises AssertionError as soon as an action breaks a rule, such as a second attempt of an unsafe request.
    """

    def __init__(self, settings: Settings | None = None, seed: int = 1, start: int = 100 * S) -> None:
        self.settings = settings or make_settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = start
        self.requests: dict[str, RequestRecord] = {}
        self.timers: list[tuple[int, str]] = []
        self.listed_entries: dict[int, ServerEntry] = {}
        self.ever: set[int] = set()
        self.actions: list[Action] = []
        self.watch_count = 0
        self.request_count = 0
        self.execute(self.balancer.on_start(self.now))

    # ---- actions of the balancer ----

    def execute(self, actions: list[Action]) -> list[Action]:
        """Check, record and execute the balancer's actions, and return them."""
        self.actions += actions
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                record = self.requests[action.request_id]
                assert not record.final_answer, "a second final answer"
                if isinstance(action, Refuse):
                    self.check_refuse(record)
                record.final_answer = type(action).__name__
            elif isinstance(action, Cancel):
                assert action.attempt_index < len(
                    self.requests[action.request_id].server_ids
                ), "cancelled an attempt that was never sent"
            elif isinstance(action, SetTimer):
                assert action.fire_at > self.now and " " not in action.token and len(action.token) <= 64
                self.timers.append((action.fire_at, action.token))
            elif isinstance(action, Watch):
                self.watch_count += 1
        return actions

    @staticmethod
    def first_possibly_executed(record: RequestRecord) -> int | None:
        """The index of the first attempt that a server may have executed."""
        return next(
            (n for n, outcome in enumerate(record.outcomes) if outcome not in UNEXECUTED_OUTCOMES), None
        )

    def check_send(self, send: Send) -> None:
        """Check that the attempt is allowed, and record it."""
        record, entry = self.requests[send.request_id], self.listed_entries.get(send.server_id)
        assert not record.final_answer, "sent after the final answer"
        assert self.now < record.request.deadline
        assert len(record.server_ids) < self.settings.max_attempts
        assert entry is not None and entry.state is ServerState.READY, "sent to a server that is not ready"
        assert send.timeout >= 0
        if None in record.outcomes:
            assert self.settings.copies_allowed
        first = self.first_possibly_executed(record)
        if first is not None:
            idempotency, first_entry = (
                record.request_class.idempotency,
                self.listed_entries.get(record.server_ids[first]),
            )
            assert idempotency is not Idempotency.UNSAFE, "an unsafe request was sent twice"
            if idempotency is Idempotency.KEYED:
                assert self.now < record.sent_at[first] + record.request_class.dedup_window
                if record.request_class.dedup_scope is DedupScope.CELL:
                    assert first_entry is None or first_entry.cell == entry.cell
                if record.request_class.dedup_scope is DedupScope.ZONE:
                    assert first_entry is None or first_entry.zone == entry.zone
        record.server_ids.append(send.server_id)
        record.sent_at.append(self.now)
        record.outcomes.append(None)

    def check_refuse(self, record: RequestRecord) -> None:
        """Check that the client may repeat the refused request without harm."""
        idempotency, may_have_run = (
            record.request_class.idempotency,
            self.first_possibly_executed(record) is not None,
        )
        if may_have_run and idempotency is Idempotency.UNSAFE:
            raise AssertionError("refused an unsafe request that may have been executed")
        if may_have_run and idempotency is Idempotency.KEYED:
            assert (
                record.request_class.dedup_scope is DedupScope.ALL
            ), "refused a keyed request that may have been executed and is not deduplicated everywhere"

    # ---- events ----

    def submit(
        self,
        class_index: int = 0,
        timeout: int | None = None,
        cost_hint: int = 0,
        tenant_index: int = 0,
        client_id: str = "",
    ) -> str:
        """Submit a request, by default with the timeout of its class, and return its id."""
        self.request_count += 1
        request_id, request_class = f"q{self.request_count}", self.settings.classes[class_index]
        request = Request(
            id=request_id,
            class_index=class_index,
            deadline=self.now + (timeout or request_class.client_timeout),
            cost_hint=cost_hint,
            tenant_index=tenant_index,
            client_id=client_id,
        )
        self.requests[request_id] = RequestRecord(request, request_class)
        self.execute(self.balancer.on_request(self.now, request))
        return request_id

    def end_attempt(
        self, request_id: str, attempt_index: int, outcome: Outcome, report: LoadReport | None = None
    ) -> list[Action]:
        """End one attempt that is in flight, and return the actions that follow."""
        record = self.requests[request_id]
        assert record.outcomes[attempt_index] is None
        record.outcomes[attempt_index] = outcome
        if outcome is Outcome.OK and not record.final_answer:
            record.final_answer = "OK"
        return self.execute(
            self.balancer.on_attempt_end(
                self.now,
                AttemptEnd(
                    request_id,
                    attempt_index,
                    record.server_ids[attempt_index],
                    outcome,
                    self.now - record.sent_at[attempt_index],
                    bool(record.final_answer),
                    report,
                ),
            )
        )

    def end_all_attempts(self, request_id: str, outcome: Outcome = Outcome.OK) -> None:
        """End all attempts of a request that are in flight, including those that are sent as a result."""
        for n, current in enumerate(self.requests[request_id].outcomes):
            if current is None:
                self.end_attempt(request_id, n, outcome)

    def disconnect_client(self, request_id: str) -> None:
        self.requests[request_id].final_answer = self.requests[request_id].final_answer or "gone"
        self.execute(self.balancer.on_client_gone(self.now, request_id))

    def update_server_list(self, kind: ListKind, *entries: ServerEntry) -> None:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.listed_entries = {}
        for entry in entries:
            self.listed_entries[entry.id] = entry
        self.execute(self.balancer.on_list(self.now, ServerListUpdate(kind, tuple(entries))))

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        """Request id and attempt index of each attempt that has not ended."""
        return [
            (request_id, n)
            for request_id, record in self.requests.items()
            for n, outcome in enumerate(record.outcomes)
            if outcome is None
        ]

    def advance(self, duration: int) -> None:
        """Advance the clock, fire the timers that are due and time out attempts at the request's deadline.

        Stops the clock at each timer and each deadline, so that none is handled late.
        """
        target = self.now + duration
        while True:
            timeouts = [
                (self.requests[request_id].request.deadline, request_id, n)
                for request_id, n in self.attempts_in_flight()
            ]
            at = min(
                [fire_at for fire_at, _ in self.timers] + [deadline for deadline, _, _ in timeouts],
                default=target + 1,
            )
            if at > target:
                break
            self.now = max(self.now, at)
            for fire_at, token in sorted(timer for timer in self.timers if timer[0] <= self.now):
                self.timers.remove((fire_at, token))
                self.execute(self.balancer.on_timer(self.now, token))
            for deadline, request_id, n in timeouts:
                if deadline <= self.now and self.requests[request_id].outcomes[n] is None:
                    self.end_attempt(request_id, n, Outcome.TIMEOUT)
            self.check_answered_in_time()
        self.now = target
        self.check_answered_in_time()

    def check_answered_in_time(self) -> None:
        """Check that each request has its final answer by its deadline, plus the allowed grace."""
        for request_id, record in self.requests.items():
            latest = record.request.deadline + self.settings.answer_grace
            assert record.final_answer or self.now <= latest, f"{request_id} has no final answer in time"

    def finish_all_requests(self) -> None:
        """Let all requests reach their deadlines and end all attempts; the balancer must keep no request."""
        self.advance(max(c.client_timeout for c in self.settings.classes) + S)
        for request_id, n in self.attempts_in_flight():
            self.end_attempt(request_id, n, Outcome.CANCELLED)
        assert all(record.final_answer for record in self.requests.values())
        assert not self.balancer.open_requests, "requests that have ended are kept"
