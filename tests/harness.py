"""A bookkeeper around one balancer: plays events, fires timers, checks every action by the rules."""

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
    request: Request
    request_class: RequestClass
    server_ids: list[int] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)
    outcomes: list[Outcome | None] = field(default_factory=list)
    final_answer: str = ""


class BalancerHarness:
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

    # -- what the module does --

    def execute(self, actions: list[Action]) -> list[Action]:
        self.actions += actions
        for a in actions:
            if isinstance(a, Send):
                self.check_send(a)
            elif isinstance(a, Refuse | Fail):
                record = self.requests[a.request_id]
                assert not record.final_answer, "a second final answer"
                if isinstance(a, Refuse):
                    self.check_refuse(record)
                record.final_answer = type(a).__name__
            elif isinstance(a, Cancel):
                assert a.attempt_index < len(
                    self.requests[a.request_id].server_ids
                ), "cancelled what was never sent"
            elif isinstance(a, SetTimer):
                assert a.fire_at > self.now and " " not in a.token and len(a.token) <= 64
                self.timers.append((a.fire_at, a.token))
            elif isinstance(a, Watch):
                self.watch_count += 1
        return actions

    @staticmethod
    def first_possibly_executed(record: RequestRecord) -> int | None:
        return next((n for n, end in enumerate(record.outcomes) if end not in UNEXECUTED_OUTCOMES), None)

    def check_send(self, a: Send) -> None:
        record, e = self.requests[a.request_id], self.listed_entries.get(a.server_id)
        assert not record.final_answer, "sent after the final answer"
        assert self.now < record.request.deadline
        assert len(record.server_ids) < self.settings.max_attempts
        assert e is not None and e.state is ServerState.READY, "sent to a draining or gone server"
        assert a.timeout >= 0
        if None in record.outcomes:
            assert self.settings.copies_allowed
        first = self.first_possibly_executed(record)
        if first is not None:
            kind, old = record.request_class.idempotency, self.listed_entries.get(record.server_ids[first])
            assert kind is not Idempotency.UNSAFE, "an unsafe request was sent twice"
            if kind is Idempotency.KEYED:
                assert self.now < record.sent_at[first] + record.request_class.dedup_window
                if record.request_class.dedup_scope is DedupScope.CELL:
                    assert old is None or old.cell == e.cell
                if record.request_class.dedup_scope is DedupScope.ZONE:
                    assert old is None or old.zone == e.zone
        record.server_ids.append(a.server_id)
        record.sent_at.append(self.now)
        record.outcomes.append(None)

    def check_refuse(self, record: RequestRecord) -> None:
        kind, ran = record.request_class.idempotency, self.first_possibly_executed(record) is not None
        if ran and kind is Idempotency.UNSAFE:
            raise AssertionError("refused an unsafe request that may have run")
        if ran and kind is Idempotency.KEYED:
            assert (
                record.request_class.dedup_scope is DedupScope.ALL
            ), "refused a keyed request that may have run"

    # -- what happens to it --

    def submit(
        self, class_index: int = 0, timeout: int | None = None, cost_hint: int = 0, tenant_index: int = 0
    ) -> str:
        self.request_count += 1
        request_id, request_class = f"q{self.request_count}", self.settings.classes[class_index]
        request = Request(
            id=request_id,
            class_index=class_index,
            deadline=self.now + (timeout or request_class.client_timeout),
            cost_hint=cost_hint,
            tenant_index=tenant_index,
        )
        self.requests[request_id] = RequestRecord(request, request_class)
        self.execute(self.balancer.on_request(self.now, request))
        return request_id

    def end_attempt(
        self, request_id: str, attempt_index: int, outcome: Outcome, report: LoadReport | None = None
    ) -> list[Action]:
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
        """End every attempt of a request that is out, also those that an end before it brings about."""
        for n, end in enumerate(self.requests[request_id].outcomes):
            if end is None:
                self.end_attempt(request_id, n, outcome)

    def disconnect_client(self, request_id: str) -> None:
        self.requests[request_id].final_answer = self.requests[request_id].final_answer or "gone"
        self.execute(self.balancer.on_client_gone(self.now, request_id))

    def update_server_list(self, kind: ListKind, *entries: ServerEntry) -> None:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.listed_entries = {}
        for e in entries:
            self.listed_entries[e.id] = e
        self.execute(self.balancer.on_list(self.now, ServerListUpdate(kind, tuple(entries))))

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        return [(r, n) for r, s in self.requests.items() for n, end in enumerate(s.outcomes) if end is None]

    def advance(self, duration: int) -> None:
        """Let time pass: timers fire a step late at the most, and what reaches its deadline times out."""
        target = self.now + duration
        while True:
            overdue = [(self.requests[r].request.deadline, r, n) for r, n in self.attempts_in_flight()]
            at = min([t for t, _ in self.timers] + [t for t, _, _ in overdue], default=target + 1)
            if at > target:
                break
            self.now = max(self.now, at)
            for t, token in sorted(x for x in self.timers if x[0] <= self.now):
                self.timers.remove((t, token))
                self.execute(self.balancer.on_timer(self.now, token))
            for t, r, n in overdue:
                if t <= self.now and self.requests[r].outcomes[n] is None:
                    self.end_attempt(r, n, Outcome.TIMEOUT)
            self.check_answered_in_time()
        self.now = target
        self.check_answered_in_time()

    def check_answered_in_time(self) -> None:
        for request_id, record in self.requests.items():
            last = record.request.deadline + self.settings.answer_grace
            assert record.final_answer or self.now <= last, f"{request_id} is overdue"

    def finish_all_requests(self) -> None:
        """All attempts come back and all clients are answered; nothing may be left behind."""
        self.advance(max(k.client_timeout for k in self.settings.classes) + S)
        for request_id, n in self.attempts_in_flight():
            self.end_attempt(request_id, n, Outcome.CANCELLED)
        assert all(s.final_answer for s in self.requests.values())
        assert not self.balancer.open_requests, "closed requests are kept"
