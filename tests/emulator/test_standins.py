"""Stand-in photo servers by a clock of their own and on loopback; stand-in discovery with the real client."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uvloop

from dykeshift.interface import ListKind, Outcome, ServerState
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.listing import ListedServer, ListReader
from emulator.fleet import timeline as events
from emulator.fleet.contract import (
    AddressPlan,
    Attempt,
    AttemptBatch,
    ProcessConfig,
    Result,
    ResultBatch,
    encode_frame,
    request_target,
    split_frames,
)
from emulator.fleet.discovery import DiscoveryProcess
from emulator.fleet.discovery_transfers import LARGE_RESPONSE_BYTES, MAX_CONCURRENT_TRANSFERS, TransferQueue
from emulator.fleet.layout import build_layout
from emulator.fleet.photo_server import PhotoServerState
from emulator.fleet.photo_server_group import TrackedAttempt, PhotoServerGroup
from emulator.fleet.photo_server_process import PhotoServerProcess
from emulator.fleet.process import ScenarioClock, FleetContext, TimelinePlayer
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.free_ports import find_free_ports

QUICK = Path(__file__).parents[2] / "emulator" / "scenarios" / "quick.toml"
PATIENCE_S = 10.0  # only a test that has failed waits for so long
SERVER = 0  # of one core
OTHER = 1


def scenario(**discovery: float) -> Scenario:
    """The quick scenario on cores of speed 1, without events of its own."""
    quick = load_scenario(QUICK)
    kinds = tuple(kind.model_copy(update={"speed": (1.0, 1.0)}) for kind in quick.servers.kinds)
    return quick.model_copy(
        update={
            "servers": quick.servers.model_copy(update={"kinds": kinds, "queue_per_core": 3}),
            "discovery": quick.discovery.model_copy(update=discovery),
            "events": (),
        }
    )


class Rig:
    """Models of photo servers, a clock that the test moves, and what came back to balancer 0."""

    def __init__(self, *timeline: events.Event) -> None:
        self.group = PhotoServerGroup(scenario(), build_layout(scenario(), 1), timeline, 1, 0, 1)
        self.server = self.group.servers[SERVER]
        assert self.server.place.cores == 1 and self.server.place.zone == 0
        self.ends: list[tuple[int, Outcome | None, float]] = []
        self.sent = 0

    def deliver(self, attempt: TrackedAttempt) -> None:
        self.ends.append((attempt.number, attempt.outcome, round(self.group.now_s, 3)))

    def send(
        self, now_s: float, work_s: float = 0.1, wait_s: float = 9.0, balancer: int = 0, server: int = SERVER
    ) -> TrackedAttempt:
        self.group.advance(now_s)
        self.sent += 1
        return self.group.submit(now_s, self, self.sent, server, balancer, work_s, wait_s)

    def state(self) -> PhotoServerState:
        return self.server.state

    def outcomes(self, until_s: float) -> list[Outcome | None]:
        self.group.advance(until_s)
        return [outcome for _, outcome, _ in self.ends]


def test_requests_wait_in_order_for_a_core_and_the_queue_is_bounded() -> None:
    rig = Rig()
    for number in range(5):
        rig.send(0.001 * number)
    rig.group.advance(0.05)
    assert (rig.server.busy_cores(), rig.server.queue_length(), rig.server.in_flight) == (1, 3, 4)
    rig.group.advance(1.0)
    assert [number for number, _, _ in rig.ends] == [5, 1, 2, 3, 4]
    assert [outcome for _, outcome, _ in rig.ends] == [Outcome.FULL] + 4 * [Outcome.OK]
    assert rig.ends[-1][2] == pytest.approx(0.4, abs=0.01)
    assert rig.server.service_s == pytest.approx(0.1)


def test_a_cold_server_warms_up_linearly() -> None:
    rig = Rig()
    rig.group.apply(events.ServersStarted(1.0, (SERVER,), False))
    shares = [rig.server.warm_capacity_share(at_s) for at_s in (1.0, 1.0 + 8.6 / 2, 1.0 + 8.6, 99.0)]
    assert shares == pytest.approx([0.36, 0.68, 1.0, 1.0])
    rig.send(1.0, work_s=0.1)
    rig.send(9.0, work_s=0.72)  # on a core until after the server is warm
    rig.group.advance(12.0)
    assert rig.ends[0][2] == pytest.approx(1.0 + 0.1 / 0.37, abs=0.01)
    assert rig.ends[1][2] == pytest.approx(9.735, abs=0.01)


def test_a_cold_server_falls_over_when_more_comes_than_it_bears() -> None:
    rig = Rig()
    rig.group.apply(events.ServersStarted(0.0, (SERVER,), False))
    mean_s = scenario().mean_work_s()
    borne = 3.0 * 0.36 * 3.0 / mean_s
    assert rig.server.overload_budget(0.0) == pytest.approx(borne + 2 * borne**0.5 + 2)
    budget = int(rig.server.overload_budget(0.0))
    for number in range(budget):
        rig.send(0.0001 * number, work_s=mean_s, balancer=number % 3)
    rig.group.advance(0.1)
    assert rig.state() is PhotoServerState.RUNNING and not rig.group.server_counts.crashes
    for number in range(5):
        rig.send(0.1, work_s=mean_s, balancer=number % 3)
    rig.group.advance(0.2)
    (fall,) = rig.group.take_second(0.2).falls
    assert rig.state() is PhotoServerState.CRASHED
    assert fall.server == SERVER and fall.balancers == 3 and budget < fall.attempts <= budget + 5
    rig.ends.clear()
    rig.send(0.5)
    assert Outcome.CONNECT_FAILED in rig.outcomes(1.0)
    rig.group.apply(events.ServersStarted(2.0, (SERVER,), False))
    assert rig.state() is PhotoServerState.RUNNING


def test_a_warm_server_bears_any_load() -> None:
    rig = Rig()
    for number in range(2000):
        rig.send(0.0001 * number)
    rig.group.advance(9.0)
    assert rig.state() is PhotoServerState.RUNNING and not rig.group.server_counts.crashes


def test_a_draining_server_finishes_what_it_has_and_counts_who_was_told() -> None:
    rig = Rig(events.ServersDrained(0.1, (SERVER,)))  # told at 1.0 to 1.12
    rig.send(0.0)
    rig.group.apply(events.ServersDrained(0.1, (SERVER,)))
    rig.send(0.2)
    assert rig.outcomes(0.5) == [Outcome.OK, Outcome.FULL]
    rig.send(1.2)
    rig.group.advance(1.3)
    assert rig.group.counts.after_drain_told == 0
    rig.send(1.6)
    rig.group.advance(1.7)
    assert rig.group.counts.after_drain_told == 1


def test_a_cancel_drops_what_waits_and_wastes_what_runs() -> None:
    rig = Rig()
    running, waiting, third = rig.send(0.0), rig.send(0.001), rig.send(0.002)
    expired = rig.send(0.003, wait_s=0.05)
    rig.group.advance(0.01)
    rig.group.cancel(waiting)
    rig.group.cancel(running)
    rig.group.cancel(running)
    assert rig.server.queue_length() == 2
    rig.group.advance(1.0)
    assert [number for number, _, _ in rig.ends] == [third.number]
    assert rig.server.in_flight == 0 and expired.is_finished
    counts = rig.group.take_second(1.0).counts
    assert (counts.cancelled, counts.dropped, counts.ok) == (2, 2, 1)
    assert (counts.work_s, counts.wasted_work_s) == pytest.approx((0.2, 0.1))


def test_a_hung_server_answers_nothing_until_it_recovers() -> None:
    rig = Rig()
    rig.send(0.0)
    rig.group.apply(events.ServersHung(0.05, (SERVER,)))
    rig.send(0.06)
    assert rig.outcomes(5.0) == []
    assert rig.server.in_flight == 2
    rig.group.apply(events.ServersRecovered(5.0, (SERVER,)))
    assert rig.outcomes(6.0) == [Outcome.OK, Outcome.OK]
    assert rig.ends[0][2] == pytest.approx(5.05, abs=0.01)


def test_a_slowdown_stretches_what_is_left_of_a_request() -> None:
    rig = Rig()
    rig.send(0.0)
    rig.group.apply(events.ServersSlowed(0.05, (SERVER,), 4.0))
    rig.group.advance(1.0)
    assert rig.ends[0][2] == pytest.approx(0.25, abs=0.01)


def test_a_stop_resets_and_a_lost_machine_is_silent() -> None:
    rig = Rig()
    rig.send(0.0)
    rig.group.apply(events.ServersStopped(0.05, (SERVER,)))
    rig.send(0.1)
    assert rig.outcomes(0.2) == [Outcome.RESET, Outcome.CONNECT_FAILED]
    rig.group.apply(events.ServersStarted(0.3, (SERVER,), False))
    rig.send(0.3, work_s=0.01)
    assert rig.outcomes(0.5)[2:] == [Outcome.OK]
    rig.group.apply(events.ServersVanished(0.5, (SERVER,)))
    rig.send(0.6)  # on the connection that is open
    rig.send(0.6)  # on a new one
    assert rig.outcomes(5.0)[3:] == [Outcome.CONNECT_FAILED]
    assert rig.ends[3][0] == 5 and rig.ends[3][2] == pytest.approx(0.72)
    assert rig.group.counts.lost == 1


def test_a_split_loses_what_crosses_it() -> None:
    rig = Rig()
    layout = rig.group.layout
    far = layout.servers_in_zone(4)[0]
    near_end, far_end = rig.send(0.0, work_s=0.01), rig.send(0.0, work_s=0.01, server=far)
    rig.group.apply(events.RegionsSplit(0.02, (0, 1)))
    rig.group.advance(1.0)
    assert [number for number, _, _ in rig.ends] == [near_end.number] and far_end.number == 2
    rig.group.apply(events.RegionsHealed(1.0, (0, 1)))
    rig.send(1.1, work_s=0.01, server=far)
    rig.group.advance(2.0)
    assert rig.ends[-1][:2] == (3, Outcome.OK) and rig.ends[-1][2] == pytest.approx(1.134, abs=0.02)


def test_connections_are_counted_until_they_have_been_idle_for_long() -> None:
    rig = Rig()
    for balancer in (0, 0, 7):
        rig.send(0.0, work_s=0.01, balancer=balancer)
    rig.group.advance(1.0)
    rig.send(1.0, work_s=0.01)
    rig.group.advance(2.0)
    second = rig.group.take_second(2.0)
    assert (second.connections, second.most_connections) == (3, 3)
    assert [rig.group.take_second(at_s).connections for at_s in range(30, 39)][-1] == 0


# ---- on loopback ----


def run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main, PATIENCE_S))


def fleet(given: Scenario, *timeline: events.Event) -> FleetContext:
    server, agent, balancer, shard = find_free_ports(4)
    addresses = AddressPlan(server, agent, balancer, (shard,))
    return FleetContext(ProcessConfig("", 1, 0, 1, addresses), given, build_layout(given, 1), timeline)


@asynccontextmanager
async def started(part: DiscoveryProcess | PhotoServerProcess) -> AsyncIterator[ScenarioClock]:
    """The part listens, and the timeline plays."""
    await part.listen()
    clock = ScenarioClock(time.monotonic_ns())
    part.start(clock)
    TimelinePlayer(asyncio.get_running_loop(), clock, part.fleet.timeline, part.apply).play()
    try:
        yield clock
    finally:
        part.close()


class Told:
    """Everything that a real discovery client hears."""

    def __init__(self, part: DiscoveryProcess, balancer: int) -> None:
        given = part.fleet
        agent = given.config.addresses.agent_address(balancer)
        kinds = tuple(kind.name for kind in given.scenario.servers.kinds)
        self.lists: list[tuple[ListKind, list[ListedServer]]] = []
        self.failures: list[ListKind] = []
        self.discovery = DiscoveryWatch(
            asyncio.get_running_loop(),
            (agent.host, agent.port),
            ListReader(given.layout.zone_names, kinds),
            self.take,
            self.failures.append,
            True,
            0.3,
        )
        self.discovery.start()

    def take(self, kind: ListKind, listed: list[ListedServer]) -> bool:
        if kind is ListKind.FULL or listed:
            self.lists.append((kind, listed))
        return True

    async def heard(self, lists: int) -> list[ListedServer]:
        while len(self.lists) < lists:
            await asyncio.sleep(0.002)
        return self.lists[lists - 1][1]

    async def acknowledged(self, part: DiscoveryProcess, changes: int) -> None:
        while part.hollow.total.acknowledged < changes:
            await asyncio.sleep(0.002)


QUICK_DISCOVERY = {"lag_s": 0.0, "cross_region_lag_s": 0.0, "spread_s": 0.02, "period_s": 0.01}


def test_the_real_client_hears_the_list_its_changes_and_what_came_in_an_outage() -> None:
    async def main() -> None:
        timeline = (
            events.ServersDrained(0.3, (5,)),
            events.DiscoverySilenced(0.5, (0, 1)),
            events.ServersStopped(0.7, (5,)),
            events.ServersStarted(0.9, (5,), True),
            events.DiscoveryReturned(2.9, (0, 1)),
        )
        part = DiscoveryProcess(fleet(scenario(**QUICK_DISCOVERY), *timeline))
        async with started(part) as clock:
            told = Told(part, 20)
            whole = await told.heard(1)
            assert told.lists[0][0] is ListKind.FULL and len(whole) == 240
            server = part.fleet.config.addresses.server_address(5)
            assert whole[5].address == f"{server.host}:{server.port}"
            (drained,) = await told.heard(2)
            assert drained.entry.id == whole[5].entry.id and drained.entry.state is ServerState.DRAINING
            assert clock.now_s() < 0.45
            left, replacement = await told.heard(3)
            assert clock.now_s() > 2.9 and told.failures[0] is ListKind.INTERRUPTED
            assert left.entry.state is ServerState.GONE and left.entry.id == drained.entry.id
            assert replacement.entry.state is ServerState.READY and replacement.entry.id != left.entry.id
            assert abs(time.monotonic_ns() - replacement.entry.started_at - 2.0e9) < 0.3e9
            await told.acknowledged(part, 3)
            summary = part.hollow.total.summary(part.hollow.pending)
            assert (summary.acknowledged, summary.pending) == (3, 0)
            # The 18 other hollow balancers never called: what was released to them is superseded.
            assert summary.released == summary.superseded + 3 == 19 * 3
            assert summary.max_ms < 300  # an outage delays the release, not the acknowledgement
            assert part.traffic.silent_calls > 0 and part.real.total.released == 2 * 3

    run(main())


def test_silent_watches_and_restarts_are_told_apart_from_lost_changes() -> None:
    async def main() -> None:
        timeline = (
            events.WatchesSilenced(0.2, (20,)),
            events.ServersDrained(0.3, (5,)),
            events.BalancersStopped(0.5, (20,), False),
            events.BalancersStarted(0.5, (20,)),
            events.WatchesReturned(0.6, (20,)),
        )
        part = DiscoveryProcess(fleet(scenario(**QUICK_DISCOVERY), *timeline))
        async with started(part) as clock:
            told = Told(part, 20)
            await told.heard(1)
            while clock.now_s() < 0.45:
                await asyncio.sleep(0.002)
            assert len(told.lists) == 1 and part.hollow.pending == 1
            while clock.now_s() < 0.65:
                await asyncio.sleep(0.002)
            assert part.hollow.pending == 0 and part.hollow.total.superseded == 19
            again = Told(part, 20)
            assert (await again.heard(1))[5].entry.state is ServerState.DRAINING

    run(main())


class StubReceiver:
    """A receiver of large answers that the test ends."""

    def __init__(self) -> None:
        self.written = 0
        self.gone = False

    def has_disconnected(self) -> bool:
        return self.gone

    def write(self, body: bytes) -> None:
        self.written += 1


def test_large_answers_take_turns_and_none_is_lost_on_who_has_given_up() -> None:
    timers: list[Callable[[], None]] = []
    transfers = TransferQueue(lambda _, callback: timers.append(callback))
    callers = [StubReceiver() for _ in range(MAX_CONCURRENT_TRANSFERS + 3)]
    for caller in callers:
        transfers.send(caller, bytes(LARGE_RESPONSE_BYTES))
    small = StubReceiver()
    transfers.send(small, b"{}")
    assert [caller.written for caller in callers] == [1] * MAX_CONCURRENT_TRANSFERS + [
        0
    ] * 3 and small.written
    callers[-1].gone = True
    transfers.finish(callers[0])  # the newest has given up: the one before it takes the turn
    assert [caller.written for caller in callers[-3:]] == [0, 1, 0]
    for callback in timers[:]:
        callback()
    assert [caller.written for caller in callers] == [1] * (MAX_CONCURRENT_TRANSFERS + 2) + [0]


async def ask(part: PhotoServerProcess, number: int, target: str, *headers: str) -> tuple[str, bytes]:
    """One request over HTTP; the head and the body of its answer."""
    address = part.fleet.config.addresses.server_address(number)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    lines = (f"GET {target} HTTP/1.1", "Host: backend.local", *headers, "", "")
    writer.write("\r\n".join(lines).encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = next(line for line in head.lower().split("\r\n") if line.startswith("content-length"))
    body = await reader.readexactly(int(length.partition(":")[2]))
    writer.close()
    return head, body


def results(received: bytearray) -> Iterator[Result]:
    for body in split_frames(received):
        batch: ResultBatch = msgspec.msgpack.decode(body, type=ResultBatch)
        yield from batch.results


def test_http_and_batches_meet_the_same_server() -> None:
    async def main() -> None:
        part = PhotoServerProcess(fleet(scenario(), events.ServersDrained(0.6, (SERVER,))))
        async with started(part) as clock:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", part.fleet.config.addresses.shard_ports[0]
            )
            batch = [Attempt(7, SERVER, 200_000, 2_000_000, 3), Attempt(8, SERVER, 50_000, 2_000_000, 3)]
            writer.write(encode_frame(AttemptBatch(batch, [])) + encode_frame(AttemptBatch([], [8])))
            while not part.group.servers[SERVER].busy_cores():
                await asyncio.sleep(0.002)
            head, body = await ask(part, SERVER, request_target(20_000, 0), "X-Request-Id: r1")
            assert head.startswith("HTTP/1.1 200 ") and "X-Load: " in head
            answer = msgspec.json.decode(body)
            held_s = answer.pop("held_us") / 1e6
            assert answer == {"served": "r1", "server": SERVER}
            assert clock.now_s() > 0.2  # it waited behind the batch's attempt
            assert 0.02 <= held_s < clock.now_s()  # its own work at the least
            received = bytearray(await reader.read(4096))
            assert [(end.number, end.outcome) for end in results(received)] == [(7, "OK")]
            assert (await ask(part, SERVER, "/api"))[0].startswith("HTTP/1.1 404 ")
            while part.group.servers[SERVER].state is not PhotoServerState.DRAINING:
                await asyncio.sleep(0.002)
            head, _ = await ask(part, SERVER, "/api", "X-Request-Id: r2", "X-Work-Us: 1000")
            assert head.startswith("HTTP/1.1 503 ") and "X-Not-Run: 1" in head
            counts = part.group.take_second(1.0).counts
            assert (counts.attempts, counts.http, counts.ok, counts.full, counts.cancelled) == (4, 2, 2, 1, 1)
            writer.close()

    run(main())


def test_sockets_follow_a_server_that_stops_vanishes_and_starts() -> None:
    async def main() -> None:
        timeline = (
            events.ServersStopped(0.1, (OTHER,)),
            events.ServersVanished(0.1, (SERVER,)),
            events.ServersStarted(0.5, (SERVER, OTHER), False),
        )
        part = PhotoServerProcess(fleet(scenario(), *timeline))
        async with started(part) as clock:
            while clock.now_s() < 0.15:
                await asyncio.sleep(0.002)
            with pytest.raises(ConnectionRefusedError):
                await ask(part, OTHER, "/api", "X-Request-Id: r1")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await ask(part, SERVER, "/api", "X-Request-Id: r2")
            while clock.now_s() < 0.6:
                await asyncio.sleep(0.002)
            for number in (SERVER, OTHER):
                head, _ = await ask(part, number, "/api?work_us=1000", "X-Request-Id: r3")
                assert head.startswith("HTTP/1.1 200 ")

    run(main())
