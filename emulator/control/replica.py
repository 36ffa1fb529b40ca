"""Consensus of the control machines on one sequence of settings versions, without I/O.

Each version is one instance of single-decree Paxos as in L. Lamport, "Paxos Made Simple" (ACM SIGACT News 32,
2001): any machine may propose, a change is chosen once a majority has accepted it, and every later proposal
for that version carries the same change. A machine proposes a version only when it knows all earlier ones.
The records in the output of an event must be durable before its messages are sent and its outcomes reported.
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

ROUND_TIMEOUT_S = 0.4  # until a ballot without a majority is abandoned
CHANGE_TIMEOUT_S = 1.5  # until a change without a majority is reported as rejected or unknown
# Random back-off before the next ballot, so that two competing proposers do not collide again.
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.1
HEARTBEAT_INTERVAL_S = 0.25  # from one Fetch to the next
MAX_VERSIONS_PER_FETCH = 64


class DivergedError(Exception):
    """Two different changes were chosen for one version: the algorithm or a log is faulty."""


class Verdict(Enum):
    """The result of a submission."""

    ACCEPTED = auto()
    REJECTED = auto()  # no machine has accepted the change as a result of this submission
    UNKNOWN = auto()  # some machine may have accepted it: to be sent again with the same ID


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a change, for its publisher."""

    change_id: str
    verdict: Verdict
    version: int = 0
    reason: str = ""


@dataclass(slots=True)
class ReplicaOutput:
    """What one event produces, to be processed in the order of the fields."""

    records: list[Record] = field(default_factory=list)
    messages: list[tuple[int, Message]] = field(default_factory=list)  # (receiver, message)
    outcomes: list[Outcome] = field(default_factory=list)


@dataclass(slots=True)
class PendingChange:
    """A submitted change that has not been chosen yet."""

    change: Change
    expires_at: float
    may_be_accepted: bool = False  # an Accept with it may have been sent
    max_promise_count: int = 1  # most promises for one ballot, including this machine's own


@dataclass(slots=True)
class ProposalRound:
    """One ballot of this machine as the proposer."""

    version: int
    ballot: int
    expires_at: float
    promises: dict[int, Promise] = field(default_factory=dict)  # by machine
    proposed_change: Change | None = None  # None: still in phase 1
    accepted_by: set[int] = field(default_factory=set)  # machines


class Replica:
    """The proposer, acceptor and learner of one machine."""

    def __init__(self, machine_index: int, machine_count: int, records: list[Record], seed: int) -> None:
        self.machine_index = machine_index
        self.machine_count = machine_count
        self.majority = machine_count // 2 + 1
        self.random = Random(seed)
        self.promised: dict[int, int] = {}  # highest promised ballot by version
        self.accepted: dict[int, tuple[int, Change]] = {}  # last accepted (ballot, change) by version
        self.competing_ballots: dict[int, int] = {}  # highest ballot promised elsewhere, by version
        self.chosen: dict[int, Change] = {}  # by version
        self.newest_version = 0  # all versions up to this one are known
        self.pending_changes: deque[PendingChange] = deque()
        self.current_round: ProposalRound | None = None
        self.next_round_at = 0.0  # no new ballot before this time
        self.next_heartbeat_at = 0.0
        self.output = ReplicaOutput()
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

    def _take_output(self) -> ReplicaOutput:
        output, self.output = self.output, ReplicaOutput()
        return output

    # ---- events ----

    def submit(self, now: float, change: Change) -> ReplicaOutput:
        """Submit a change for a publisher; its outcome is part of this output or of a later one."""
        version = next((v for v, c in self.chosen.items() if c.change_id == change.change_id), None)
        if version is not None and version <= self.newest_version:
            self.output.outcomes.append(Outcome(change.change_id, Verdict.ACCEPTED, version))
        elif all(pending.change.change_id != change.change_id for pending in self.pending_changes):
            self.pending_changes.append(
                PendingChange(change, now + CHANGE_TIMEOUT_S, self._has_accepted(change))
            )
            self._propose(now)
        return self._take_output()

    def _has_accepted(self, change: Change) -> bool:
        """Whether an earlier submission of the change was accepted here for a version that is still open."""
        open_versions = [held for version, held in self.accepted.items() if version > self.newest_version]
        return any(held.change_id == change.change_id for _, held in open_versions)

    def tick(self, now: float) -> ReplicaOutput:
        """Process timeouts, the start of the next ballot and the heartbeat."""
        if self.current_round is not None and now >= self.current_round.expires_at:
            self._abandon_round(now)
        for pending in [p for p in self.pending_changes if now >= p.expires_at]:
            self._expire_change(pending)
        self._propose(now)
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._broadcast(Fetch(self.newest_version + 1))
        return self._take_output()

    def receive(self, now: float, sender: int, message: Message) -> ReplicaOutput:
        """Process a message, which may be outdated or a duplicate."""
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
        return self._take_output()

    # ---- acceptor ----

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        response = self._response_if_stale(message) or self._promise(message.version, message.ballot)
        self._send(sender, response)

    def _response_if_stale(self, message: Prepare | Accept) -> Chosen | Refused | None:
        """Return the response to an outdated proposal, or None if the proposal is still valid."""
        version, ballot = message.version, message.ballot
        if version in self.chosen:
            return Chosen(version, self.chosen[version])
        if ballot < self.promised.get(version, 0):
            return Refused(version, ballot, self.promised[version])
        return None

    def _promise(self, version: int, ballot: int) -> Promise:
        if ballot > self.promised.get(version, 0):
            self.promised[version] = ballot
            self.output.records.append(PromiseRecord(version, ballot))
        accepted_ballot, change = self.accepted.get(version, (0, None))
        return Promise(version, ballot, accepted_ballot, change)

    def _on_accept(self, sender: int, message: Accept) -> None:
        response = self._response_if_stale(message)
        if response is not None:
            self._send(sender, response)
            return
        self._accept(message.version, message.ballot, message.change)
        self._send(sender, Accepted(message.version, message.ballot))

    def _accept(self, version: int, ballot: int, change: Change) -> None:
        if self.accepted.get(version) == (ballot, change):
            return  # duplicate message
        self.promised[version] = ballot
        self.accepted[version] = (ballot, change)
        self.output.records.append(AcceptRecord(version, ballot, change))

    # ---- proposer ----

    def _propose(self, now: float) -> None:
        """Start a ballot for the next version if a change is pending and no ballot is running."""
        if self.current_round is not None or not self.pending_changes or now < self.next_round_at:
            return
        version = self.newest_version + 1
        ballot = self._ballot_above(
            max(self.promised.get(version, 0), self.competing_ballots.get(version, 0))
        )
        self.current_round = ProposalRound(version, ballot, now + ROUND_TIMEOUT_S)
        self.current_round.promises[self.machine_index] = self._promise(version, ballot)
        self._broadcast(Prepare(version, ballot))

    def _ballot_above(self, ballot: int) -> int:
        """Return the lowest higher ballot that belongs to this machine."""
        return (ballot // self.machine_count + 1) * self.machine_count + self.machine_index

    def _on_promise(self, now: float, sender: int, message: Promise) -> None:
        current = self._matching_round(message.version, message.ballot)
        if current is None or current.proposed_change is not None:
            return
        current.promises[sender] = message
        pending = self.pending_changes[0]
        pending.max_promise_count = max(pending.max_promise_count, len(current.promises))
        if len(current.promises) < self.majority:
            return
        if self.promised[current.version] > current.ballot:
            self._abandon_round(now)  # this machine has promised a competing ballot since
            return
        highest = max(current.promises.values(), key=lambda promise: promise.accepted_ballot)
        current.proposed_change = highest.accepted or pending.change
        pending.may_be_accepted = pending.may_be_accepted or current.proposed_change == pending.change
        self._accept(current.version, current.ballot, current.proposed_change)
        current.accepted_by.add(self.machine_index)
        self._broadcast(Accept(current.version, current.ballot, current.proposed_change))

    def _on_accepted(self, now: float, sender: int, message: Accepted) -> None:
        current = self._matching_round(message.version, message.ballot)
        if current is None or current.proposed_change is None:
            return
        current.accepted_by.add(sender)
        if len(current.accepted_by) >= self.majority:
            self._broadcast(Chosen(current.version, current.proposed_change))
            self._learn(now, current.version, current.proposed_change)

    def _on_refused(self, now: float, message: Refused) -> None:
        current = self._matching_round(message.version, message.ballot)
        if current is None:
            return
        # Not a promise of this machine and so not durable: it is only used to choose the next ballot.
        self.competing_ballots[message.version] = max(
            self.competing_ballots.get(message.version, 0), message.promised
        )
        self._abandon_round(now)

    def _matching_round(self, version: int, ballot: int) -> ProposalRound | None:
        current = self.current_round
        return current if current and (current.version, current.ballot) == (version, ballot) else None

    def _abandon_round(self, now: float) -> None:
        self.current_round = None
        self.next_round_at = now + self.random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)

    def _expire_change(self, pending: PendingChange) -> None:
        self.pending_changes.remove(pending)
        if (
            self.current_round is not None
            and self.current_round.proposed_change is None
            and not self.pending_changes
        ):
            self.current_round = None
        change_id = pending.change.change_id
        responders = f"{pending.max_promise_count} of {self.machine_count} control machines"
        if pending.may_be_accepted:
            reason = f"not known whether it is accepted: {responders} answered, send it again under its id"
            self.output.outcomes.append(Outcome(change_id, Verdict.UNKNOWN, reason=reason))
        else:
            reason = f"turned down: {responders} answered, {self.majority} are needed"
            self.output.outcomes.append(Outcome(change_id, Verdict.REJECTED, reason=reason))

    # ---- learner ----

    def _learn(self, now: float, version: int, change: Change) -> None:
        if version in self.chosen:
            if self.chosen[version] != change:
                raise DivergedError(f"two different changes were chosen for version {version}")
            return
        self.chosen[version] = change
        self.output.records.append(ChosenRecord(version, change))
        while self.newest_version + 1 in self.chosen:
            self.newest_version += 1
            self._report_acceptance(self.newest_version)
        if self.current_round is not None and self.current_round.version <= self.newest_version:
            self.current_round = None
        self._propose(now)

    def _report_acceptance(self, version: int) -> None:
        change_id = self.chosen[version].change_id
        for pending in [p for p in self.pending_changes if p.change.change_id == change_id]:
            self.pending_changes.remove(pending)
            self.output.outcomes.append(Outcome(change_id, Verdict.ACCEPTED, version))

    def _on_fetch(self, sender: int, message: Fetch) -> None:
        for version in range(
            message.version, min(self.newest_version, message.version + MAX_VERSIONS_PER_FETCH - 1) + 1
        ):
            self._send(sender, Chosen(version, self.chosen[version]))

    # ---- sending ----

    def _send(self, receiver: int, message: Message) -> None:
        self.output.messages.append((receiver, message))

    def _broadcast(self, message: Message) -> None:
        for machine in range(self.machine_count):
            if machine != self.machine_index:
                self._send(machine, message)
