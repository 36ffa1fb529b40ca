"""Agreement of the control machines on one sequence of settings versions, without I/O.

Each version is one instance of single-decree Paxos as in L. Lamport, "Paxos Made Simple" (ACM SIGACT News 32,
2001): any machine may propose, a change is chosen once a majority has accepted it, and every later proposal
for that version finds it. A machine proposes a version only when it knows all those before. What a step
returns as records must be durable before its messages are sent or its outcomes told.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random

from emulator.control.messages import (
    Accept,
    Accepted,
    AcceptRecord,
    Change,
    Chosen,
    ChosenRecord,
    Fetch,
    Message,
    Prepare,
    Promise,
    PromiseRecord,
    Record,
    Refused,
)

ROUND_TIMEOUT = 0.4  # seconds until a ballot that found no majority is given up
CHANGE_TIMEOUT = 1.5  # seconds until a change that found none is turned down
LEAST_BACKOFF, MOST_BACKOFF = 0.01, 0.1  # seconds before the next ballot, so that two proposers part
HEARTBEAT = 0.25  # seconds from one Fetch to the next
FETCH_MOST = 64  # versions in one answer to it


class DivergedError(Exception):
    """Two changes have been chosen for one version: the algorithm or a log is broken."""


class Verdict(Enum):
    """What became of a change."""

    ACCEPTED = auto()
    REJECTED = auto()  # this submission left no trace at any machine
    UNKNOWN = auto()  # some machine may have accepted it: to be sent again under the same id


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the publisher of a change is told."""

    change_id: str
    verdict: Verdict
    version: int = 0
    reason: str = ""


@dataclass(slots=True)
class ReplicaOutput:
    """What one event brings about, in this order."""

    records: list[Record] = field(default_factory=list)
    messages: list[tuple[int, Message]] = field(default_factory=list)  # with their receivers
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(slots=True)
class Pending:
    """A change that waits for its version."""

    change: Change
    until: float
    proposed: bool = False  # an Accept with it may have been sent
    answered: int = 1  # most machines that answered one ballot, this one included


@dataclass(slots=True)
class Round:
    """One ballot of this machine."""

    version: int
    ballot: int
    until: float
    promises: dict[int, Promise] = field(default_factory=dict)  # by machine
    value: Change | None = None  # None: still in phase 1
    accepted_by: set[int] = field(default_factory=set)


class Replica:
    """Proposer, acceptor and learner of one machine."""

    def __init__(self, index: int, machines: int, records: list[Record], seed: int) -> None:
        self.index = index
        self.machines = machines
        self.majority = machines // 2 + 1
        self.random = Random(seed)
        self.promised: dict[int, int] = {}  # by version
        self.accepted: dict[int, tuple[int, Change]] = {}  # by version, with the ballot
        self.refused: dict[int, int] = {}  # by version: the highest ballot heard of elsewhere
        self.chosen: dict[int, Change] = {}  # by version
        self.newest_version = 0  # all versions up to it are known
        self.pending: deque[Pending] = deque()
        self.round: Round | None = None
        self.next_round = 0.0  # not before this time
        self.next_heartbeat = 0.0
        self.step = ReplicaOutput()
        for record in records:
            self._restore(record)

    def _restore(self, record: Record) -> None:
        if isinstance(record, PromiseRecord):
            self.promised[record.version] = record.ballot
        elif isinstance(record, AcceptRecord):
            self.promised[record.version] = record.ballot
            self.accepted[record.version] = (record.ballot, record.change)
        else:
            self.chosen[record.version] = record.change
        while self.newest_version + 1 in self.chosen:
            self.newest_version += 1

    def _take_step(self) -> ReplicaOutput:
        step, self.step = self.step, ReplicaOutput()
        return step

    # ---- events ----

    def submit(self, now: float, change: Change) -> ReplicaOutput:
        """A publisher asks for a change; its outcome follows in this step or a later one."""
        version = next((v for v, c in self.chosen.items() if c.change_id == change.change_id), None)
        if version is not None and version <= self.newest_version:
            self.step.outcomes.append(Outcome(change.change_id, Verdict.ACCEPTED, version))
        elif all(pending.change.change_id != change.change_id for pending in self.pending):
            self.pending.append(Pending(change, now + CHANGE_TIMEOUT, self._has_accepted(change)))
            self._propose(now)
        return self._take_step()

    def _has_accepted(self, change: Change) -> bool:
        """Whether an earlier submission of it got as far as this machine's log."""
        open_versions = [held for version, held in self.accepted.items() if version > self.newest_version]
        return any(held.change_id == change.change_id for _, held in open_versions)

    def tick(self, now: float) -> ReplicaOutput:
        """Time has passed: time-outs, the next ballot, the heartbeat."""
        if self.round is not None and now >= self.round.until:
            self._abandon(now)
        for pending in [p for p in self.pending if now >= p.until]:
            self._give_up(pending)
        self._propose(now)
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + HEARTBEAT
            self._broadcast(Fetch(self.newest_version + 1))
        return self._take_step()

    def receive(self, now: float, sender: int, message: Message) -> ReplicaOutput:
        """A message has come; it may be old, or come twice."""
        if isinstance(message, Prepare):
            self._on_prepare(sender, message)
        elif isinstance(message, Accept):
            self._on_accept(sender, message)
        elif isinstance(message, Promise):
            self._on_promise(now, sender, message)
        elif isinstance(message, Accepted):
            self._on_accepted(now, sender, message)
        elif isinstance(message, Refused):
            self._on_refused(now, message)
        elif isinstance(message, Chosen):
            self._learn(now, message.version, message.change)
        else:
            self._on_fetch(sender, message)
        return self._take_step()

    # ---- acceptor ----

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        answer = self._stale(message) or self._promise(message.version, message.ballot)
        self._send(sender, answer)

    def _stale(self, message: Prepare | Accept) -> Chosen | Refused | None:
        """The answer to a proposal that comes too late; None if it may still be taken up."""
        version, ballot = message.version, message.ballot
        if version in self.chosen:
            return Chosen(version, self.chosen[version])
        if ballot < self.promised.get(version, 0):
            return Refused(version, ballot, self.promised[version])
        return None

    def _promise(self, version: int, ballot: int) -> Promise:
        if ballot > self.promised.get(version, 0):
            self.promised[version] = ballot
            self.step.records.append(PromiseRecord(version, ballot))
        accepted_ballot, change = self.accepted.get(version, (0, None))
        return Promise(version, ballot, accepted_ballot, change)

    def _on_accept(self, sender: int, message: Accept) -> None:
        answer = self._stale(message)
        if answer is not None:
            self._send(sender, answer)
            return
        self._accept(message.version, message.ballot, message.change)
        self._send(sender, Accepted(message.version, message.ballot))

    def _accept(self, version: int, ballot: int, change: Change) -> None:
        if self.accepted.get(version) == (ballot, change):
            return  # the message came twice
        self.promised[version] = ballot
        self.accepted[version] = (ballot, change)
        self.step.records.append(AcceptRecord(version, ballot, change))

    # ---- proposer ----

    def _propose(self, now: float) -> None:
        """Begin a ballot for the next version, if a change waits and none is on."""
        if self.round is not None or not self.pending or now < self.next_round:
            return
        version = self.newest_version + 1
        ballot = self._ballot_above(max(self.promised.get(version, 0), self.refused.get(version, 0)))
        self.round = Round(version, ballot, now + ROUND_TIMEOUT)
        self.round.promises[self.index] = self._promise(version, ballot)
        self._broadcast(Prepare(version, ballot))

    def _ballot_above(self, ballot: int) -> int:
        """The lowest one of this machine's own."""
        return (ballot // self.machines + 1) * self.machines + self.index

    def _on_promise(self, now: float, sender: int, message: Promise) -> None:
        current = self._current_round(message.version, message.ballot)
        if current is None or current.value is not None:
            return
        current.promises[sender] = message
        pending = self.pending[0]
        pending.answered = max(pending.answered, len(current.promises))
        if len(current.promises) < self.majority:
            return
        if self.promised[current.version] > current.ballot:
            self._abandon(now)  # another proposer has come in between
            return
        highest = max(current.promises.values(), key=lambda promise: promise.accepted_ballot)
        current.value = highest.accepted or pending.change
        pending.proposed = pending.proposed or current.value == pending.change
        self._accept(current.version, current.ballot, current.value)
        current.accepted_by.add(self.index)
        self._broadcast(Accept(current.version, current.ballot, current.value))

    def _on_accepted(self, now: float, sender: int, message: Accepted) -> None:
        current = self._current_round(message.version, message.ballot)
        if current is None or current.value is None:
            return
        current.accepted_by.add(sender)
        if len(current.accepted_by) >= self.majority:
            self._broadcast(Chosen(current.version, current.value))
            self._learn(now, current.version, current.value)

    def _on_refused(self, now: float, message: Refused) -> None:
        current = self._current_round(message.version, message.ballot)
        if current is None:
            return
        # No promise of this machine's own, so not durable: only its next ballot goes by it.
        self.refused[message.version] = max(self.refused.get(message.version, 0), message.promised)
        self._abandon(now)

    def _current_round(self, version: int, ballot: int) -> Round | None:
        current = self.round
        return current if current and (current.version, current.ballot) == (version, ballot) else None

    def _abandon(self, now: float) -> None:
        self.round = None
        self.next_round = now + self.random.uniform(LEAST_BACKOFF, MOST_BACKOFF)

    def _give_up(self, pending: Pending) -> None:
        self.pending.remove(pending)
        if self.round is not None and self.round.value is None and not self.pending:
            self.round = None
        change_id = pending.change.change_id
        counted = f"{pending.answered} of {self.machines} control machines"
        if pending.proposed:
            reason = f"not known whether it is accepted: {counted} answered, send it again under its id"
            self.step.outcomes.append(Outcome(change_id, Verdict.UNKNOWN, reason=reason))
        else:
            reason = f"turned down: {counted} answered, {self.majority} are needed"
            self.step.outcomes.append(Outcome(change_id, Verdict.REJECTED, reason=reason))

    # ---- learner ----

    def _learn(self, now: float, version: int, change: Change) -> None:
        if version in self.chosen:
            if self.chosen[version] != change:
                raise DivergedError(f"version {version} is two things")
            return
        self.chosen[version] = change
        self.step.records.append(ChosenRecord(version, change))
        while self.newest_version + 1 in self.chosen:
            self.newest_version += 1
            self._tell_publisher(self.newest_version)
        if self.round is not None and self.round.version <= self.newest_version:
            self.round = None
        self._propose(now)

    def _tell_publisher(self, version: int) -> None:
        change_id = self.chosen[version].change_id
        for pending in [p for p in self.pending if p.change.change_id == change_id]:
            self.pending.remove(pending)
            self.step.outcomes.append(Outcome(change_id, Verdict.ACCEPTED, version))

    def _on_fetch(self, sender: int, message: Fetch) -> None:
        for version in range(message.version, min(self.newest_version, message.version + FETCH_MOST - 1) + 1):
            self._send(sender, Chosen(version, self.chosen[version]))

    # ---- sending ----

    def _send(self, receiver: int, message: Message) -> None:
        self.step.messages.append((receiver, message))

    def _broadcast(self, message: Message) -> None:
        for machine in range(self.machines):
            if machine != self.index:
                self._send(machine, message)
