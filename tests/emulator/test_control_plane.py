"""Control machines agree on one sequence of versions despite lost messages, splits and crashes."""

from __future__ import annotations

import asyncio
import errno
import os
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import pytest

from emulator.control.agents import SettingsAgent
from emulator.control.contract import AddressPlan, MachineConfig
from emulator.control.durable_log import DurableLog, decode_records, encode_record
from emulator.control.history import SettingsHistory
from emulator.control.http_server import HttpRequest, HttpResponse, HttpServer
from emulator.control.machine import ControlMachine
from emulator.control.messages import (
    Accepted,
    AcceptRecord,
    Change,
    ChosenRecord,
    Message,
    PromiseRecord,
    Record,
)
from emulator.control.replica import Outcome, Replica, ReplicaOutput, Verdict
from emulator.free_ports import find_free_ports

MACHINE_COUNT = 3
TICK_INTERVAL_S = 0.02


class CrashError(Exception):
    """The machine crashes here; nothing more is written."""


@dataclass
class CrashInjector:
    """Counts the fault points of all machines and crashes the machine that reaches the given one."""

    crash_at: int = 0  # number of the fault point, from 1; 0: no crash
    reached_count: int = 0

    def on_fault_point(self, _: str) -> None:
        self.reached_count += 1
        if self.reached_count == self.crash_at:
            raise CrashError


@dataclass
class MachineHost:
    """One machine with its log file, which survives crashes."""

    index: int
    path: Path
    crash_injector: CrashInjector
    replica: Replica | None = None
    log: DurableLog | None = None
    synced_size: int = 0  # bytes of the log that are certainly durable
    down_until: float = 0.0

    def start(self) -> None:
        self.log = DurableLog(self.path, self.crash_injector.on_fault_point)
        self.replica = Replica(self.index, MACHINE_COUNT, self.log.records, seed=self.index)

    def append(self, records: list[Record]) -> None:
        assert self.log is not None
        self.log.append(records)
        self.synced_size = self.path.stat().st_size

    def lose_unsynced(self) -> None:
        """Remove the bytes that a machine may lose in a power failure."""
        os.truncate(self.path, self.synced_size)

    def stop(self) -> None:
        assert self.log is not None
        self.log.close()
        self.log = self.replica = None


@dataclass
class Cluster:
    """Three machines, a network that loses and reorders messages, and a simulated clock."""

    folder: Path
    crash_at: int = 0
    lose_unsynced: bool = False
    message_loss_share: float = 0.0
    seed: int = 1
    now: float = 0.0
    cut_off_machines: set[int] = field(default_factory=set)  # no messages from or to these
    messages: list[tuple[int, int, Message]] = field(default_factory=list)  # (sender, receiver, message)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    served: dict[int, Change] = field(default_factory=dict)  # by version: what any machine has served as it

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.crash_injector = CrashInjector(self.crash_at)
        self.hosts = [
            MachineHost(n, self.folder / f"log{n}", self.crash_injector) for n in range(MACHINE_COUNT)
        ]
        for host in self.hosts:
            host.start()

    def replica(self, index: int) -> Replica:
        replica = self.hosts[index].replica
        assert replica is not None
        return replica

    def execute(self, host: MachineHost, output: ReplicaOutput) -> None:
        """Process the output as ControlMachine does: the log first, then messages and outcomes."""
        assert host.replica is not None
        try:
            host.append(output.records)
        except CrashError:
            host.stop()
            if self.lose_unsynced:
                host.lose_unsynced()
            host.down_until = self.now + 0.3
            return
        self.messages += [(host.index, receiver, message) for receiver, message in output.messages]
        for outcome in output.outcomes:
            self.outcomes[outcome.change_id] = outcome
        for version in range(1, host.replica.newest_version + 1):
            change = host.replica.chosen[version]
            assert self.served.setdefault(version, change) == change, f"version {version} has two contents"

    def advance(self) -> None:
        """Deliver all messages in random order, then advance the clock by one tick."""
        messages, self.messages = self.messages, []
        self.random.shuffle(messages)
        for sender, receiver, message in messages:
            host = self.hosts[receiver]
            is_lost = (
                self.random.random() < self.message_loss_share or {sender, receiver} & self.cut_off_machines
            )
            if host.replica is not None and not is_lost:
                self.execute(host, host.replica.receive(self.now, sender, message))
        self.now += TICK_INTERVAL_S
        for host in self.hosts:
            if host.replica is not None:
                self.execute(host, host.replica.tick(self.now))
            elif self.now >= host.down_until:
                host.start()

    def publish(self, change_id: str, at: int) -> Outcome | None:
        """Submit a change once; return its outcome, or None if the machine crashed before it reported one."""
        host = self.hosts[at]
        self.outcomes.pop(change_id, None)
        if host.replica is None:
            return None
        self.execute(host, host.replica.submit(self.now, Change(change_id, "{}")))
        deadline = self.now + 3.0
        while change_id not in self.outcomes and self.now < deadline and host.replica is not None:
            self.advance()
        return self.outcomes.get(change_id)

    def publish_until_accepted(self, change_id: str, at: int) -> int:
        """Submit a change at the machines in turn, as a publisher does; return the version it gets."""
        for attempt in range(20):
            outcome = self.publish(change_id, (at + attempt) % MACHINE_COUNT)
            if outcome is not None and outcome.verdict is Verdict.ACCEPTED:
                return outcome.version
            self.advance()
        raise AssertionError(f"{change_id} was never accepted")

    def restart_and_converge(self) -> list[str]:
        """Restart all machines from their logs and return the sequence on which they agree."""
        self.cut_off_machines, self.message_loss_share = set(), 0.0
        self.crash_injector.crash_at = 0
        for host in self.hosts:
            if host.replica is not None:
                host.stop()
            host.start()
        for _ in range(100):
            self.advance()
        sequences = [
            [host.replica.chosen[v].change_id for v in range(1, host.replica.newest_version + 1)]
            for host in self.hosts
            if host.replica is not None
        ]
        assert len(sequences) == MACHINE_COUNT and sequences[0] == sequences[1] == sequences[2]
        return sequences[0]


def check_sequence(cluster: Cluster, accepted: dict[str, int]) -> None:
    """Check that no accepted version is lost or replaced and no change has two versions."""
    sequence = cluster.restart_and_converge()
    assert len(set(sequence)) == len(sequence), "a change has two versions"
    for change_id, version in accepted.items():
        assert sequence[version - 1] == change_id, f"version {version} is not the accepted change"


@pytest.mark.parametrize("lose_unsynced", [False, True], ids=["killed", "power lost"])
def test_crash_at_any_fault_point_keeps_accepted_versions(lose_unsynced: bool, tmp_path: Path) -> None:
    """The fault points are before, within and after each write, and after each sync of the log."""

    def publish_three(folder: Path, crash_at: int) -> tuple[Cluster, dict[str, int]]:
        folder.mkdir()
        cluster = Cluster(folder, crash_at, lose_unsynced)
        return cluster, {f"c{n}": cluster.publish_until_accepted(f"c{n}", at=n) for n in range(3)}

    complete, accepted = publish_three(tmp_path / "complete", 0)
    fault_point_count = complete.crash_injector.reached_count
    assert fault_point_count >= 3 * 4 * MACHINE_COUNT and sorted(accepted.values()) == [1, 2, 3]
    for point in range(1, fault_point_count + 1):
        cluster, accepted = publish_three(tmp_path / str(point), point)
        check_sequence(cluster, accepted)


@pytest.mark.parametrize("seed", range(24))
def test_machines_agree_on_one_sequence_despite_lost_messages_splits_and_two_publishers(
    seed: int, tmp_path: Path
) -> None:
    """Changes compete for the same version while messages are lost and machines are cut off or crash."""
    cluster = Cluster(tmp_path, crash_at=seed * 3, message_loss_share=0.15, seed=seed)
    accepted: dict[str, int] = {}
    for n in range(6):
        cluster.cut_off_machines = {cluster.random.randrange(MACHINE_COUNT)} if n % 3 == 1 else set()
        rival = cluster.hosts[(n + 1) % MACHINE_COUNT]
        if rival.replica is not None:  # competes with the next change for the same version
            cluster.execute(rival, rival.replica.submit(cluster.now, Change(f"rival{n}", "{}")))
        accepted[f"c{n}"] = cluster.publish_until_accepted(f"c{n}", at=n % MACHINE_COUNT)
    for change_id, outcome in cluster.outcomes.items():
        if outcome.verdict is Verdict.ACCEPTED:
            accepted[change_id] = outcome.version
    rejected = {i for i, o in cluster.outcomes.items() if o.verdict is Verdict.REJECTED}
    check_sequence(cluster, accepted)
    assert not rejected & {change.change_id for change in cluster.served.values()}


def test_minority_rejects_changes_and_keeps_its_last_version(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    cluster.publish_until_accepted("before", at=0)
    for _ in range(20):
        cluster.advance()
    cluster.cut_off_machines = {2}
    outcome = cluster.publish("minority", at=2)
    assert outcome is not None and outcome.verdict is Verdict.REJECTED
    assert outcome.reason == "turned down: 1 of 3 control machines answered, 2 are needed"
    assert cluster.publish_until_accepted("majority", at=0) == 2
    assert cluster.replica(2).newest_version == 1
    assert cluster.restart_and_converge() == ["before", "majority"]


def test_change_that_a_machine_may_have_accepted_is_not_reported_as_rejected(tmp_path: Path) -> None:
    """The change is in the log of one machine, so that a later ballot may still choose it."""
    cluster = Cluster(tmp_path)
    host = cluster.hosts[0]
    cluster.execute(host, cluster.replica(0).submit(0.0, Change("x", "{}")))
    cluster.advance()  # the Prepare messages arrive
    cluster.advance()  # the promises arrive: the machine accepts the change in its own log
    cluster.cut_off_machines = {0}
    while "x" not in cluster.outcomes:
        cluster.advance()
    assert cluster.outcomes["x"].verdict is Verdict.UNKNOWN
    again = cluster.publish("x", at=0)
    assert again is not None and again.verdict is Verdict.UNKNOWN  # it is still accepted in the log
    cluster.cut_off_machines = set()
    assert cluster.publish_until_accepted("y", at=1) in (1, 2)
    version = cluster.publish_until_accepted("x", at=0)
    check_sequence(cluster, {"x": version})


def test_change_that_is_sent_again_keeps_its_version(tmp_path: Path) -> None:
    """A publisher that sends a change again after an unknown result must not publish it twice."""
    cluster = Cluster(tmp_path)
    first = cluster.publish_until_accepted("x", at=0)
    assert cluster.publish_until_accepted("y", at=1) == 2
    assert cluster.publish_until_accepted("x", at=2) == first
    check_sequence(cluster, {"x": 1, "y": 2})


def test_promise_survives_a_restart(tmp_path: Path) -> None:
    """A machine that forgot its promise could accept a lower ballot, and two changes could be chosen."""
    cluster = Cluster(tmp_path)
    cluster.execute(cluster.hosts[0], cluster.replica(0).submit(0.0, Change("x", "{}")))
    cluster.advance()
    promised = cluster.replica(1).promised[1]
    cluster.hosts[1].stop()
    cluster.hosts[1].start()
    assert cluster.replica(1).promised[1] == promised > 0


# ---- the log ----

RECORDS: list[Record] = [
    PromiseRecord(1, 4),
    AcceptRecord(1, 4, Change("x", '{"balancers":420}')),
    ChosenRecord(1, Change("x", '{"balancers":420}')),
]


def test_incomplete_records_of_any_length_are_truncated_and_overwritten(tmp_path: Path) -> None:
    data = b"".join(map(encode_record, RECORDS))
    ends = [len(b"".join(map(encode_record, RECORDS[:n]))) for n in range(4)]
    for length in range(len(data) + 1):
        path = tmp_path / str(length)
        path.write_bytes(data[:length])
        log = DurableLog(path)
        complete_count = sum(end <= length for end in ends) - 1
        assert log.records == RECORDS[:complete_count]
        log.append([PromiseRecord(9, 9)])
        log.close()
        assert decode_records(path.read_bytes())[0] == [*RECORDS[:complete_count], PromiseRecord(9, 9)]


def test_damaged_record_is_discarded(tmp_path: Path) -> None:
    data = bytearray(b"".join(map(encode_record, RECORDS)))
    data[len(encode_record(RECORDS[0])) + 12] ^= 1
    path = tmp_path / "log"
    path.write_bytes(data)
    assert DurableLog(path).records == RECORDS[:1]


def test_append_syncs_before_it_returns(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[str] = []
    log = DurableLog(tmp_path / "log", calls.append)
    monkeypatch.setattr("os.fsync", lambda _: calls.append("sync"))
    log.append(RECORDS)
    assert calls == [
        "before the write",
        "in the middle of the write",
        "before the sync",
        "sync",
        "after the sync",
    ]


class FailingFile:
    """Wraps the file of a log; the operations in `failing` raise OSError."""

    def __init__(self, log: DurableLog, monkeypatch: pytest.MonkeyPatch) -> None:
        self.file = log.file
        self.failing: set[str] = set()
        log.file = self  # type: ignore[assignment]
        real_fsync = os.fsync

        def failing_sync(descriptor: int) -> None:
            self.raise_if_failing("sync", errno.EIO)
            real_fsync(descriptor)

        monkeypatch.setattr("os.fsync", failing_sync)

    def raise_if_failing(self, operation: str, error_number: int) -> None:
        if operation in self.failing:
            raise OSError(error_number, os.strerror(error_number))

    def write(self, data: bytes) -> int:
        if "write" in self.failing:
            self.file.write(data[: len(data) // 2])  # as much as fits on the full disk
        self.raise_if_failing("write", errno.ENOSPC)
        return self.file.write(data[:5])  # a short write is not an error

    def truncate(self, size: int) -> int:
        self.raise_if_failing("truncate", errno.EIO)
        return self.file.truncate(size)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


@pytest.mark.parametrize("failing", [{"write"}, {"sync"}, {"write", "truncate"}, {"sync", "truncate"}])
def test_failed_append_does_not_lose_later_records(
    failing: set[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failed write used to leave an incomplete record: the next start discarded all records behind it.

    A failed sync used to leave its records in the file: the next append synced without writing them again.
    """
    log = DurableLog(tmp_path / "log")
    log.append(RECORDS[:1])
    file = FailingFile(log, monkeypatch)
    for _ in range(2):
        file.failing = failing
        with pytest.raises(OSError, match="No space|Input/output"):
            log.append(RECORDS[1:2])
    file.failing = set()
    log.append(RECORDS[1:])
    log.append([PromiseRecord(9, 9)])
    assert DurableLog(tmp_path / "log").records == [*RECORDS, PromiseRecord(9, 9)]


def test_machine_sends_messages_and_outcomes_only_after_its_log_can_be_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first failed write used to end the ticks silently, while the replica continued without its log."""

    async def main() -> None:
        ports = find_free_ports(3)
        addresses = AddressPlan(machine_port=ports[0], agent_port=ports[1], balancer_port=ports[2])
        config = MachineConfig(
            index=0, machines=3, addresses=addresses, seed=1, log_path=str(tmp_path / "log")
        )
        machine = ControlMachine(config, DurableLog(tmp_path / "log"))
        sent: list[Message] = []
        monkeypatch.setattr(machine.peers[1], "send", sent.append)
        outcome: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        machine.waiting_publishers["x"].append(outcome)
        file = FailingFile(machine.log, monkeypatch)
        file.failing = {"write"}
        tick_task = asyncio.create_task(machine.run_ticks())
        accepted = Accepted(1, 4)
        machine.execute(ReplicaOutput(RECORDS[:1], [(1, accepted)], [Outcome("x", Verdict.ACCEPTED, 1)]))
        while machine.failed_write_count < 3:
            await asyncio.sleep(0.01)
        assert not sent and not outcome.done()
        file.failing = set()
        await outcome
        assert sent[0] == accepted and DurableLog(tmp_path / "log").records == RECORDS[:1]
        tick_task.cancel()

    asyncio.run(asyncio.wait_for(main(), 20))


# ---- long polls and agents ----


def settings_request(**query: str) -> HttpRequest:
    return HttpRequest("GET", "/v1/settings", query, {}, b"")


def test_older_version_is_not_served_after_a_newer_one() -> None:
    async def main() -> None:
        history = SettingsHistory()
        assert (await history.respond(settings_request())).body == b'{"version":0}'
        for version in (3, 2):
            history.add(version, f'{{"n":{version}}}')
        for _ in range(2):
            assert (await history.respond(settings_request())).body == b'{"version":3,"settings":{"n":3}}'
            history.add(3, '{"n":"another"}')
        assert (
            await history.respond(settings_request(before="3"))
        ).body == b'{"version":2,"settings":{"n":2}}'
        assert (await history.respond(settings_request(before="2"))).body == b'{"version":0}'

    asyncio.run(main())


def test_long_poll_returns_as_soon_as_there_is_a_newer_version() -> None:
    async def main() -> None:
        history = SettingsHistory()
        history.add(1, "{}")
        long_poll = asyncio.ensure_future(
            history.respond(settings_request(**{"from": "1", "hold_ms": "60000"}))
        )
        await asyncio.sleep(0)
        assert not long_poll.done()
        history.add(2, "{}")
        assert (await long_poll).body == b'{"version":2,"settings":{}}'
        assert (
            await history.respond(settings_request(**{"from": "2", "hold_ms": "1"}))
        ).body == b'{"version":2}'

    asyncio.run(main())


class StubMachines:
    """Three control machines: machine 1 serves its history, the other two refuse connections."""

    def __init__(self) -> None:
        self.history = SettingsHistory()
        self.queries: list[dict[str, str]] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.queries.append(request.query)
        return await self.history.respond(request)

    async def start(self) -> AddressPlan:
        (port,) = find_free_ports(1)
        await HttpServer(self.handle).listen(AddressPlan(port, 0, 0).machine_address(1).host, port)
        return AddressPlan(port, 0, 0)


def test_agent_fetches_versions_that_it_never_had_from_the_only_running_machine() -> None:
    """Without the older version, a balancer that rejects the newest one could not fall back to it."""

    async def main() -> None:
        machines = StubMachines()
        for version in (4, 5):
            machines.history.add(version, f'{{"n":{version}}}')
        agent = SettingsAgent(3, await machines.start(), [0, 1, 2], seed=1)
        while agent.history.newest_version < 5:
            await asyncio.sleep(0.01)
        assert list(agent.history.settings_by_version) == [5]
        assert (await agent.handle(settings_request(before="5"))).body == b'{"version":4,"settings":{"n":4}}'
        machines.queries.clear()
        assert (await agent.handle(settings_request(before="5"))).body == b'{"version":4,"settings":{"n":4}}'
        assert not any("before" in query for query in machines.queries)
        agent.poll_task.cancel()

    asyncio.run(asyncio.wait_for(main(), 30))


def test_agent_that_is_cut_off_keeps_its_version() -> None:
    """A response that arrives after the start of the split has to be discarded too."""

    async def main() -> None:
        machines = StubMachines()
        machines.history.add(1, "{}")
        agent = SettingsAgent(3, await machines.start(), [1], seed=1)
        while len(machines.queries) < 2:  # the second call is a long poll, as there is nothing newer
            await asyncio.sleep(0.01)
        agent.reachable_machines = [0]
        machines.history.add(2, "{}")  # ends the long poll, whose response has to be discarded
        machines.queries.clear()
        assert (await agent.handle(settings_request(**{"from": "0"}))).body == b'{"version":1,"settings":{}}'
        await asyncio.sleep(0.1)
        assert agent.history.newest_version == 1 and not machines.queries
        agent.reachable_machines = [1]
        while agent.history.newest_version < 2:
            await asyncio.sleep(0.01)
        agent.poll_task.cancel()

    asyncio.run(asyncio.wait_for(main(), 30))
