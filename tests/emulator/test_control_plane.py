"""Control machines: one sequence of versions whatever is lost, cut off or killed between any two writes."""

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

MACHINES = 3
TICK = 0.02


class CrashError(Exception):
    """The machine ends here, with nothing more written."""


@dataclass
class Faults:
    """Counts the fault points of all machines and ends one of them at the wanted one."""

    crash_at: int = 0  # 0: nowhere
    reached: int = 0

    def reach(self, _: str) -> None:
        self.reached += 1
        if self.reached == self.crash_at:
            raise CrashError


@dataclass
class Host:
    """One machine: its log file outlives it."""

    index: int
    path: Path
    faults: Faults
    replica: Replica | None = None
    log: DurableLog | None = None
    synced: int = 0  # bytes of the log that are durable for certain
    down_until: float = 0.0

    def start(self) -> None:
        self.log = DurableLog(self.path, self.faults.reach)
        self.replica = Replica(self.index, MACHINES, self.log.records, seed=self.index)

    def append(self, records: list[Record]) -> None:
        assert self.log is not None
        self.log.append(records)
        self.synced = self.path.stat().st_size

    def lose_unsynced(self) -> None:
        """What a machine that loses its power may lose."""
        os.truncate(self.path, self.synced)

    def stop(self) -> None:
        assert self.log is not None
        self.log.close()
        self.log = self.replica = None


@dataclass
class Cluster:
    """Three machines, a network that loses and reorders, and one clock."""

    folder: Path
    crash_at: int = 0
    lose_unsynced: bool = False
    loss: float = 0.0
    seed: int = 1
    now: float = 0.0
    cut: set[int] = field(default_factory=set)  # machines that no other one reaches
    network: list[tuple[int, int, Message]] = field(default_factory=list)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    served: dict[int, Change] = field(default_factory=dict)  # whatever any machine ever showed as a version

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.faults = Faults(self.crash_at)
        self.hosts = [Host(n, self.folder / f"log{n}", self.faults) for n in range(MACHINES)]
        for host in self.hosts:
            host.start()

    def replica(self, index: int) -> Replica:
        replica = self.hosts[index].replica
        assert replica is not None
        return replica

    def carry_out(self, host: Host, step: ReplicaOutput) -> None:
        """As a machine does it: the log first, then messages and outcomes."""
        assert host.replica is not None
        try:
            host.append(step.records)
        except CrashError:
            host.stop()
            if self.lose_unsynced:
                host.lose_unsynced()
            host.down_until = self.now + 0.3
            return
        self.network += [(host.index, receiver, message) for receiver, message in step.messages]
        for outcome in step.outcomes:
            self.outcomes[outcome.change_id] = outcome
        for version in range(1, host.replica.newest_version + 1):
            change = host.replica.chosen[version]
            assert self.served.setdefault(version, change) == change, f"version {version} is two things"

    def turn(self) -> None:
        """Deliver what is under way, in any order, then let a little time pass."""
        messages, self.network = self.network, []
        self.random.shuffle(messages)
        for sender, receiver, message in messages:
            host = self.hosts[receiver]
            lost = self.random.random() < self.loss or {sender, receiver} & self.cut
            if host.replica is not None and not lost:
                self.carry_out(host, host.replica.receive(self.now, sender, message))
        self.now += TICK
        for host in self.hosts:
            if host.replica is not None:
                self.carry_out(host, host.replica.tick(self.now))
            elif self.now >= host.down_until:
                host.start()

    def publish(self, change_id: str, at: int) -> Outcome | None:
        """The outcome of one submission; None if the machine ended before it told any."""
        host = self.hosts[at]
        self.outcomes.pop(change_id, None)
        if host.replica is None:
            return None
        self.carry_out(host, host.replica.submit(self.now, Change(change_id, "{}")))
        until = self.now + 3.0
        while change_id not in self.outcomes and self.now < until and host.replica is not None:
            self.turn()
        return self.outcomes.get(change_id)

    def publish_until_accepted(self, change_id: str, at: int) -> int:
        """Its version: sent again under its id, at one machine after another, as a publisher does."""
        for attempt in range(20):
            outcome = self.publish(change_id, (at + attempt) % MACHINES)
            if outcome is not None and outcome.verdict is Verdict.ACCEPTED:
                return outcome.version
            self.turn()
        raise AssertionError(f"{change_id} was never accepted")

    def settle(self) -> list[str]:
        """The one sequence that all machines come to, each started from its log once more."""
        self.cut, self.loss = set(), 0.0
        self.faults.crash_at = 0
        for host in self.hosts:
            if host.replica is not None:
                host.stop()
            host.start()
        for _ in range(100):
            self.turn()
        sequences = [
            [host.replica.chosen[v].change_id for v in range(1, host.replica.newest_version + 1)]
            for host in self.hosts
            if host.replica is not None
        ]
        assert len(sequences) == MACHINES and sequences[0] == sequences[1] == sequences[2]
        return sequences[0]


def check_history(cluster: Cluster, accepted: dict[str, int]) -> None:
    """No accepted version is lost and none is two things."""
    sequence = cluster.settle()
    assert len(set(sequence)) == len(sequence), "a change is in force twice"
    for change_id, version in accepted.items():
        assert sequence[version - 1] == change_id, f"version {version} is not what was accepted"


@pytest.mark.parametrize("lose_unsynced", [False, True], ids=["killed", "power lost"])
def test_a_crash_between_any_two_writes_loses_no_accepted_version(
    lose_unsynced: bool, tmp_path: Path
) -> None:
    """Every fault point of a history in turn: before, within and after each write, and after each sync."""

    def history(folder: Path, crash_at: int) -> tuple[Cluster, dict[str, int]]:
        folder.mkdir()
        cluster = Cluster(folder, crash_at, lose_unsynced)
        return cluster, {f"c{n}": cluster.publish_until_accepted(f"c{n}", at=n) for n in range(3)}

    whole, accepted = history(tmp_path / "whole", 0)
    points = whole.faults.reached
    assert points >= 3 * 4 * MACHINES and sorted(accepted.values()) == [1, 2, 3]
    for point in range(1, points + 1):
        cluster, accepted = history(tmp_path / str(point), point)
        check_history(cluster, accepted)


@pytest.mark.parametrize("seed", range(24))
def test_one_sequence_with_lost_messages_cuts_and_two_publishers(seed: int, tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, crash_at=seed * 3, loss=0.15, seed=seed)
    accepted: dict[str, int] = {}
    for n in range(6):
        cluster.cut = {cluster.random.randrange(MACHINES)} if n % 3 == 1 else set()
        rival = cluster.hosts[(n + 1) % MACHINES]
        if rival.replica is not None:  # at the same time as the next one, for the same version
            cluster.carry_out(rival, rival.replica.submit(cluster.now, Change(f"rival{n}", "{}")))
        accepted[f"c{n}"] = cluster.publish_until_accepted(f"c{n}", at=n % MACHINES)
    for change_id, outcome in cluster.outcomes.items():
        if outcome.verdict is Verdict.ACCEPTED:
            accepted[change_id] = outcome.version
    turned_down = {i for i, o in cluster.outcomes.items() if o.verdict is Verdict.REJECTED}
    check_history(cluster, accepted)
    assert not turned_down & {change.change_id for change in cluster.served.values()}


def test_a_minority_turns_changes_down_and_serves_the_last_version(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    cluster.publish_until_accepted("before", at=0)
    for _ in range(20):
        cluster.turn()
    cluster.cut = {2}
    outcome = cluster.publish("minority", at=2)
    assert outcome is not None and outcome.verdict is Verdict.REJECTED
    assert outcome.reason == "turned down: 1 of 3 control machines answered, 2 are needed"
    assert cluster.publish_until_accepted("majority", at=0) == 2
    assert cluster.replica(2).newest_version == 1
    assert cluster.settle() == ["before", "majority"]


def test_a_change_that_some_machine_may_have_accepted_is_not_called_turned_down(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    host = cluster.hosts[0]
    cluster.carry_out(host, cluster.replica(0).submit(0.0, Change("x", "{}")))
    cluster.turn()  # the prepares arrive
    cluster.turn()  # the promises arrive: its own log has accepted it
    cluster.cut = {0}
    while "x" not in cluster.outcomes:
        cluster.turn()
    assert cluster.outcomes["x"].verdict is Verdict.UNKNOWN
    again = cluster.publish("x", at=0)
    assert again is not None and again.verdict is Verdict.UNKNOWN  # the trace is still there
    cluster.cut = set()
    assert cluster.publish_until_accepted("y", at=1) in (1, 2)
    version = cluster.publish_until_accepted("x", at=0)
    check_history(cluster, {"x": version})


def test_a_change_that_is_sent_again_has_the_same_version(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    first = cluster.publish_until_accepted("x", at=0)
    assert cluster.publish_until_accepted("y", at=1) == 2
    assert cluster.publish_until_accepted("x", at=2) == first
    check_history(cluster, {"x": 1, "y": 2})


def test_a_promise_holds_after_a_restart(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    cluster.carry_out(cluster.hosts[0], cluster.replica(0).submit(0.0, Change("x", "{}")))
    cluster.turn()
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


def test_a_torn_tail_of_any_length_is_cut_off_and_written_over(tmp_path: Path) -> None:
    data = b"".join(map(encode_record, RECORDS))
    ends = [len(b"".join(map(encode_record, RECORDS[:n]))) for n in range(4)]
    for length in range(len(data) + 1):
        path = tmp_path / str(length)
        path.write_bytes(data[:length])
        log = DurableLog(path)
        whole = sum(end <= length for end in ends) - 1
        assert log.records == RECORDS[:whole]
        log.append([PromiseRecord(9, 9)])
        log.close()
        assert decode_records(path.read_bytes())[0] == [*RECORDS[:whole], PromiseRecord(9, 9)]


def test_a_record_that_changed_on_the_disk_is_not_believed(tmp_path: Path) -> None:
    data = bytearray(b"".join(map(encode_record, RECORDS)))
    data[len(encode_record(RECORDS[0])) + 12] ^= 1
    path = tmp_path / "log"
    path.write_bytes(data)
    assert DurableLog(path).records == RECORDS[:1]


def test_what_append_returned_from_is_synced(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    order: list[str] = []
    log = DurableLog(tmp_path / "log", order.append)
    monkeypatch.setattr("os.fsync", lambda _: order.append("sync"))
    log.append(RECORDS)
    assert order == [
        "before the write",
        "in the middle of the write",
        "before the sync",
        "sync",
        "after the sync",
    ]


class FailingFile:
    """The file of a log, whose writes, syncs or cuts fail for a while."""

    def __init__(self, log: DurableLog, monkeypatch: pytest.MonkeyPatch) -> None:
        self.file = log.file
        self.failing: set[str] = set()
        log.file = self  # type: ignore[assignment]
        sync = os.fsync

        def failing_sync(number: int) -> None:
            self.fail("sync", errno.EIO)
            sync(number)

        monkeypatch.setattr("os.fsync", failing_sync)

    def fail(self, what: str, number: int) -> None:
        if what in self.failing:
            raise OSError(number, os.strerror(number))

    def write(self, data: bytes) -> int:
        if "write" in self.failing:
            self.file.write(data[: len(data) // 2])  # what there was room for
        self.fail("write", errno.ENOSPC)
        return self.file.write(data[:5])  # short writes are no failure

    def truncate(self, size: int) -> int:
        self.fail("cut", errno.EIO)
        return self.file.truncate(size)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


@pytest.mark.parametrize("failing", [{"write"}, {"sync"}, {"write", "cut"}, {"sync", "cut"}])
def test_an_append_that_failed_takes_no_later_one_with_it(
    failing: set[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Half a record stayed in the file, and all behind it was taken for torn at the next start.

    A sync that failed left its records in the file, and the next one came with nothing written anew.
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


def test_nothing_is_told_while_the_log_fails_and_all_of_it_once_it_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The machine's ticks ended with the first failure, in silence; its replica went on without its log."""

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
        ticking = asyncio.create_task(machine.run_ticks())
        accepted = Accepted(1, 4)
        machine.execute(ReplicaOutput(RECORDS[:1], [(1, accepted)], [Outcome("x", Verdict.ACCEPTED, 1)]))
        while machine.failed_write_count < 3:
            await asyncio.sleep(0.01)
        assert not sent and not outcome.done()
        file.failing = set()
        await outcome
        assert sent[0] == accepted and DurableLog(tmp_path / "log").records == RECORDS[:1]
        ticking.cancel()

    asyncio.run(asyncio.wait_for(main(), 20))


# ---- what is handed out ----


def asking(**query: str) -> HttpRequest:
    return HttpRequest("GET", "/v1/settings", query, {}, b"")


def test_an_older_version_is_never_handed_out_after_a_newer_one() -> None:
    async def main() -> None:
        history = SettingsHistory()
        assert (await history.respond(asking())).body == b'{"version":0}'
        for version in (3, 2):
            history.add(version, f'{{"n":{version}}}')
        for _ in range(2):
            assert (await history.respond(asking())).body == b'{"version":3,"settings":{"n":3}}'
            history.add(3, '{"n":"another"}')
        assert (await history.respond(asking(before="3"))).body == b'{"version":2,"settings":{"n":2}}'
        assert (await history.respond(asking(before="2"))).body == b'{"version":0}'

    asyncio.run(main())


def test_a_held_call_is_answered_as_soon_as_there_is_a_newer_version() -> None:
    async def main() -> None:
        history = SettingsHistory()
        history.add(1, "{}")
        held = asyncio.ensure_future(history.respond(asking(**{"from": "1", "hold_ms": "60000"})))
        await asyncio.sleep(0)
        assert not held.done()
        history.add(2, "{}")
        assert (await held).body == b'{"version":2,"settings":{}}'
        assert (await history.respond(asking(**{"from": "2", "hold_ms": "1"}))).body == b'{"version":2}'

    asyncio.run(main())


class StubMachines:
    """Three addresses of control machines: one answers as its history says, two refuse connections."""

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


def test_an_agent_finds_the_one_machine_left_and_searches_it_for_a_version_that_it_never_had() -> None:
    async def main() -> None:
        machines = StubMachines()
        for version in (4, 5):
            machines.history.add(version, f'{{"n":{version}}}')
        agent = SettingsAgent(3, await machines.start(), [0, 1, 2], seed=1)
        while agent.history.newest_version < 5:
            await asyncio.sleep(0.01)
        assert list(agent.history.settings_by_version) == [5]
        assert (await agent.handle(asking(before="5"))).body == b'{"version":4,"settings":{"n":4}}'
        machines.queries.clear()
        assert (await agent.handle(asking(before="5"))).body == b'{"version":4,"settings":{"n":4}}'
        assert not any("before" in query for query in machines.queries)
        agent.poll_task.cancel()

    asyncio.run(asyncio.wait_for(main(), 30))


def test_an_agent_beyond_a_split_hears_nothing_and_keeps_what_it_has() -> None:
    async def main() -> None:
        machines = StubMachines()
        machines.history.add(1, "{}")
        agent = SettingsAgent(3, await machines.start(), [1], seed=1)
        while len(machines.queries) < 2:  # the second call is held: there is nothing newer
            await asyncio.sleep(0.01)
        agent.reachable_machines = [0]
        machines.history.add(2, "{}")  # answers the call that is held there: it is lost on the way
        machines.queries.clear()
        assert (await agent.handle(asking(**{"from": "0"}))).body == b'{"version":1,"settings":{}}'
        await asyncio.sleep(0.1)
        assert agent.history.newest_version == 1 and not machines.queries
        agent.reachable_machines = [1]
        while agent.history.newest_version < 2:
            await asyncio.sleep(0.01)
        agent.poll_task.cancel()

    asyncio.run(asyncio.wait_for(main(), 30))
