"""Stand-in photo servers, on a simulated clock or on loopback; stand-in discovery with the real client."""

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
from emulator.fleet.photo_server_group import PhotoServerGroup, TrackedAttempt
from emulator.fleet.photo_server_process import PhotoServerProcess
from emulator.fleet.process import EventScheduler, FleetContext, ScenarioClock
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.free_ports import find_free_ports

QUICK_SCENARIO_PATH = Path(__file__).parents[2] / "emulator" / "scenarios" / "quick.toml"
TEST_TIMEOUT_S = 10.0  # only a failing test reaches it
SERVER = 0  # with one core
OTHER_SERVER = 1


def quiet_scenario(**discovery: float) -> Scenario:
    """The quick scenario with cores of speed 1 and without events."""
    quick = load_scenario(QUICK_SCENARIO_PATH)
    kinds = tuple(kind.model_copy(update={"speed": (1.0, 1.0)}) for kind in quick.servers.kinds)
    return quick.model_copy(
        update={
            "servers": quick.servers.model_copy(update={"kinds": kinds, "queue_per_core": 3}),
            "discovery": quick.discovery.model_copy(update=discovery),
            "events": (),
        }
    )


class PhotoServerHarness:
    """Models of photo servers on a clock that the test advances, with the results of all attempts sent."""

    def __init__(self, *timeline: events.Event) -> None:
        self.group = PhotoServerGroup(quiet_scenario(), build_layout(quiet_scenario(), 1), timeline, 1, 0, 1)
        self.server = self.group.servers[SERVER]
        assert self.server.place.cores == 1 and self.server.place.zone == 0
        self.results: list[tuple[int, Outcome | None, float]] = []  # number, outcome, time in seconds
        self.sent = 0

    def deliver(self, attempt: TrackedAttempt) -> None:
        self.results.append((attempt.number, attempt.outcome, round(self.group.now_s, 3)))

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
        return [outcome for _, outcome, _ in self.results]


def test_requests_queue_in_order_and_a_full_queue_refuses() -> None:
    harness = PhotoServerHarness()
    for number in range(5):
        harness.send(0.001 * number)
    harness.group.advance(0.05)
    assert (harness.server.busy_cores(), harness.server.queue_length(), harness.server.in_flight) == (1, 3, 4)
    harness.group.advance(1.0)
    assert [number for number, _, _ in harness.results] == [5, 1, 2, 3, 4]
    assert [outcome for _, outcome, _ in harness.results] == [Outcome.FULL] + 4 * [Outcome.OK]
    assert harness.results[-1][2] == pytest.approx(0.4, abs=0.01)
    assert harness.server.service_s == pytest.approx(0.1)


def test_a_cold_server_warms_up_linearly() -> None:
    harness = PhotoServerHarness()
    harness.group.apply(events.ServersStarted(1.0, (SERVER,), False))
    shares = [harness.server.warm_capacity_share(at_s) for at_s in (1.0, 1.0 + 8.6 / 2, 1.0 + 8.6, 99.0)]
    assert shares == pytest.approx([0.36, 0.68, 1.0, 1.0])
    harness.send(1.0, work_s=0.1)
    harness.send(9.0, work_s=0.72)  # still on a core when the server becomes warm
    harness.group.advance(12.0)
    assert harness.results[0][2] == pytest.approx(1.0 + 0.1 / 0.37, abs=0.01)
    assert harness.results[1][2] == pytest.approx(9.735, abs=0.01)


def test_a_cold_server_crashes_when_it_is_overloaded() -> None:
    harness = PhotoServerHarness()
    harness.group.apply(events.ServersStarted(0.0, (SERVER,), False))
    mean_s = quiet_scenario().mean_work_s()
    sustained = 3.0 * 0.36 * 3.0 / mean_s
    assert harness.server.overload_budget(0.0) == pytest.approx(sustained + 2 * sustained**0.5 + 2)
    budget = int(harness.server.overload_budget(0.0))
    for number in range(budget):
        harness.send(0.0001 * number, work_s=mean_s, balancer=number % 3)
    harness.group.advance(0.1)
    assert harness.state() is PhotoServerState.RUNNING and not harness.group.server_counts.crashes
    for number in range(5):
        harness.send(0.1, work_s=mean_s, balancer=number % 3)
    harness.group.advance(0.2)
    (crash,) = harness.group.take_second(0.2).falls
    assert harness.state() is PhotoServerState.CRASHED
    assert crash.server == SERVER and crash.balancers == 3 and budget < crash.attempts <= budget + 5
    harness.results.clear()
    harness.send(0.5)
    assert Outcome.CONNECT_FAILED in harness.outcomes(1.0)
    harness.group.apply(events.ServersStarted(2.0, (SERVER,), False))
    assert harness.state() is PhotoServerState.RUNNING


def test_a_warm_server_does_not_crash_under_any_load() -> None:
    harness = PhotoServerHarness()
    for number in range(2000):
        harness.send(0.0001 * number)
    harness.group.advance(9.0)
    assert harness.state() is PhotoServerState.RUNNING and not harness.group.server_counts.crashes


def test_a_draining_server_finishes_its_requests_and_counts_late_attempts() -> None:
    # The agents announce the drain to their balancers between 1.0 and 1.12 s; the grace after it is 0.35 s.
    harness = PhotoServerHarness(events.ServersDrained(0.1, (SERVER,)))
    harness.send(0.0)
    harness.group.apply(events.ServersDrained(0.1, (SERVER,)))
    harness.send(0.2)
    assert harness.outcomes(0.5) == [Outcome.OK, Outcome.FULL]
    harness.send(1.2)
    harness.group.advance(1.3)
    assert harness.group.counts.after_drain_told == 0
    harness.send(1.6)
    harness.group.advance(1.7)
    assert harness.group.counts.after_drain_told == 1


def test_a_cancelled_attempt_is_dropped_from_the_queue_or_its_work_is_wasted() -> None:
    harness = PhotoServerHarness()
    running, waiting, third = harness.send(0.0), harness.send(0.001), harness.send(0.002)
    expired = harness.send(0.003, wait_s=0.05)
    harness.group.advance(0.01)
    harness.group.cancel(waiting)
    harness.group.cancel(running)
    harness.group.cancel(running)
    assert harness.server.queue_length() == 2
    harness.group.advance(1.0)
    assert [number for number, _, _ in harness.results] == [third.number]
    assert harness.server.in_flight == 0 and expired.is_finished
    counts = harness.group.take_second(1.0).counts
    assert (counts.cancelled, counts.dropped, counts.ok) == (2, 2, 1)
    assert (counts.work_s, counts.wasted_work_s) == pytest.approx((0.2, 0.1))


def test_a_hung_server_responds_only_after_it_recovers() -> None:
    harness = PhotoServerHarness()
    harness.send(0.0)
    harness.group.apply(events.ServersHung(0.05, (SERVER,)))
    harness.send(0.06)
    assert harness.outcomes(5.0) == []
    assert harness.server.in_flight == 2
    harness.group.apply(events.ServersRecovered(5.0, (SERVER,)))
    assert harness.outcomes(6.0) == [Outcome.OK, Outcome.OK]
    assert harness.results[0][2] == pytest.approx(5.05, abs=0.01)


def test_a_slowdown_prolongs_the_remaining_work_of_a_request() -> None:
    harness = PhotoServerHarness()
    harness.send(0.0)
    harness.group.apply(events.ServersSlowed(0.05, (SERVER,), 4.0))
    harness.group.advance(1.0)
    assert harness.results[0][2] == pytest.approx(0.25, abs=0.01)


def test_a_stopped_server_resets_and_a_lost_machine_does_not_respond() -> None:
    harness = PhotoServerHarness()
    harness.send(0.0)
    harness.group.apply(events.ServersStopped(0.05, (SERVER,)))
    harness.send(0.1)
    assert harness.outcomes(0.2) == [Outcome.RESET, Outcome.CONNECT_FAILED]
    harness.group.apply(events.ServersStarted(0.3, (SERVER,), False))
    harness.send(0.3, work_s=0.01)
    assert harness.outcomes(0.5)[2:] == [Outcome.OK]
    harness.group.apply(events.ServersVanished(0.5, (SERVER,)))
    harness.send(0.6)  # on the open connection
    harness.send(0.6)  # on a new connection
    assert harness.outcomes(5.0)[3:] == [Outcome.CONNECT_FAILED]
    assert harness.results[3][0] == 5 and harness.results[3][2] == pytest.approx(0.72)
    assert harness.group.counts.lost == 1


def test_attempts_and_responses_across_a_split_are_lost() -> None:
    harness = PhotoServerHarness()
    layout = harness.group.layout
    far = layout.servers_in_zone(4)[0]
    near_attempt, far_attempt = harness.send(0.0, work_s=0.01), harness.send(0.0, work_s=0.01, server=far)
    harness.group.apply(events.RegionsSplit(0.02, (0, 1)))
    harness.group.advance(1.0)
    assert [number for number, _, _ in harness.results] == [near_attempt.number] and far_attempt.number == 2
    harness.group.apply(events.RegionsHealed(1.0, (0, 1)))
    harness.send(1.1, work_s=0.01, server=far)
    harness.group.advance(2.0)
    assert harness.results[-1][:2] == (3, Outcome.OK)
    assert harness.results[-1][2] == pytest.approx(1.134, abs=0.02)


def test_connections_are_counted_until_the_keep_alive_time() -> None:
    harness = PhotoServerHarness()
    for balancer in (0, 0, 7):
        harness.send(0.0, work_s=0.01, balancer=balancer)
    harness.group.advance(1.0)
    harness.send(1.0, work_s=0.01)
    harness.group.advance(2.0)
    second = harness.group.take_second(2.0)
    assert (second.connections, second.most_connections) == (3, 3)
    assert [harness.group.take_second(at_s).connections for at_s in range(30, 39)][-1] == 0


# ---- on loopback ----


def run_with_uvloop(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main, TEST_TIMEOUT_S))


def make_fleet(scenario: Scenario, *timeline: events.Event) -> FleetContext:
    server, agent, balancer, shard = find_free_ports(4)
    addresses = AddressPlan(server, agent, balancer, (shard,))
    return FleetContext(ProcessConfig("", 1, 0, 1, addresses), scenario, build_layout(scenario, 1), timeline)


@asynccontextmanager
async def running(process: DiscoveryProcess | PhotoServerProcess) -> AsyncIterator[ScenarioClock]:
    """Run a process in this event loop, with the events of its timeline."""
    await process.listen()
    clock = ScenarioClock(time.monotonic_ns())
    process.start(clock)
    EventScheduler(
        asyncio.get_running_loop(), clock, process.fleet.timeline, process.apply
    ).apply_due_events()
    try:
        yield clock
    finally:
        process.close()


class DiscoveryListener:
    """A real discovery client, with the lists and failures that it reports."""

    def __init__(self, process: DiscoveryProcess, balancer: int) -> None:
        context = process.fleet
        agent = context.config.addresses.agent_address(balancer)
        kinds = tuple(kind.name for kind in context.scenario.servers.kinds)
        self.lists: list[tuple[ListKind, list[ListedServer]]] = []
        self.failures: list[ListKind] = []
        self.discovery = DiscoveryWatch(
            asyncio.get_running_loop(),
            (agent.host, agent.port),
            ListReader(context.layout.zone_names, kinds),
            self.record_list,
            self.failures.append,
            True,
            0.3,
        )
        self.discovery.start()

    def record_list(self, kind: ListKind, listed: list[ListedServer], is_late: bool) -> bool:
        if kind is ListKind.FULL or listed:
            self.lists.append((kind, listed))
        return True

    async def wait_for_list(self, count: int) -> list[ListedServer]:
        while len(self.lists) < count:
            await asyncio.sleep(0.002)
        return self.lists[count - 1][1]

    async def wait_until_acknowledged(self, process: DiscoveryProcess, changes: int) -> None:
        while process.hollow_propagation.total.acknowledged < changes:
            await asyncio.sleep(0.002)


FAST_DISCOVERY = {"lag_s": 0.0, "cross_region_lag_s": 0.0, "spread_s": 0.02, "period_s": 0.01}


def test_the_real_client_gets_the_list_its_changes_and_those_during_an_outage() -> None:
    async def main() -> None:
        timeline = (
            events.ServersDrained(0.3, (5,)),
            events.DiscoverySilenced(0.5, (0, 1)),
            events.ServersStopped(0.7, (5,)),
            events.ServersStarted(0.9, (5,), True),
            events.DiscoveryReturned(2.9, (0, 1)),
        )
        process = DiscoveryProcess(make_fleet(quiet_scenario(**FAST_DISCOVERY), *timeline))
        async with running(process) as clock:
            listener = DiscoveryListener(process, 20)
            full_list = await listener.wait_for_list(1)
            assert listener.lists[0][0] is ListKind.FULL and len(full_list) == 240
            server = process.fleet.config.addresses.server_address(5)
            assert full_list[5].address == f"{server.host}:{server.port}"
            (drained,) = await listener.wait_for_list(2)
            assert drained.entry.id == full_list[5].entry.id and drained.entry.state is ServerState.DRAINING
            assert clock.now_s() < 0.45
            left, replacement = await listener.wait_for_list(3)
            assert clock.now_s() > 2.9 and listener.failures[0] is ListKind.INTERRUPTED
            assert left.entry.state is ServerState.GONE and left.entry.id == drained.entry.id
            assert replacement.entry.state is ServerState.READY and replacement.entry.id != left.entry.id
            assert abs(time.monotonic_ns() - replacement.entry.started_at - 2.0e9) < 0.3e9
            await listener.wait_until_acknowledged(process, 3)
            summary = process.hollow_propagation.total.summary(process.hollow_propagation.pending)
            assert (summary.acknowledged, summary.pending) == (3, 0)
            # The 18 other hollow balancers have not called, so the changes released to them are superseded.
            assert summary.released == summary.superseded + 3 == 19 * 3
            # The outage delays the release, and the propagation time counts only from the release on.
            assert summary.max_ms < 300
            assert process.traffic.silent_calls > 0 and process.real_propagation.total.released == 2 * 3

    run_with_uvloop(main())


def test_changes_that_a_restarted_balancer_missed_are_superseded_not_pending() -> None:
    """A change that a balancer could not acknowledge before its restart must not stay pending for ever.

    The balancer gets the change with the full list after its restart and never acknowledges it by itself.
    """

    async def main() -> None:
        timeline = (
            events.WatchesSilenced(0.2, (20,)),
            events.ServersDrained(0.3, (5,)),
            events.BalancersStopped(0.5, (20,), False),
            events.BalancersStarted(0.5, (20,)),
            events.WatchesReturned(0.6, (20,)),
        )
        process = DiscoveryProcess(make_fleet(quiet_scenario(**FAST_DISCOVERY), *timeline))
        async with running(process) as clock:
            listener = DiscoveryListener(process, 20)
            await listener.wait_for_list(1)
            while clock.now_s() < 0.45:
                await asyncio.sleep(0.002)
            assert len(listener.lists) == 1 and process.hollow_propagation.pending == 1
            while clock.now_s() < 0.65:
                await asyncio.sleep(0.002)
            assert (
                process.hollow_propagation.pending == 0 and process.hollow_propagation.total.superseded == 19
            )
            second_listener = DiscoveryListener(process, 20)
            assert (await second_listener.wait_for_list(1))[5].entry.state is ServerState.DRAINING

    run_with_uvloop(main())


class StubReceiver:
    """A receiver of large responses that counts them; the test sets `is_disconnected`."""

    def __init__(self) -> None:
        self.written = 0
        self.is_disconnected = False

    def has_disconnected(self) -> bool:
        return self.is_disconnected

    def write(self, body: bytes) -> None:
        self.written += 1


def test_large_responses_wait_for_slots_and_skip_closed_connections() -> None:
    """Full lists sent to all balancers at once would all arrive too late and all be asked for again."""
    timers: list[Callable[[], None]] = []
    transfers = TransferQueue(lambda _, callback: timers.append(callback))
    receivers = [StubReceiver() for _ in range(MAX_CONCURRENT_TRANSFERS + 3)]
    for receiver in receivers:
        transfers.send(receiver, bytes(LARGE_RESPONSE_BYTES))
    small = StubReceiver()
    transfers.send(small, b"{}")
    assert [receiver.written for receiver in receivers] == [1] * MAX_CONCURRENT_TRANSFERS + [0] * 3
    assert small.written
    receivers[-1].is_disconnected = True
    transfers.finish(receivers[0])  # the newest receiver is gone, so the one before it gets the slot
    assert [receiver.written for receiver in receivers[-3:]] == [0, 1, 0]
    for callback in timers[:]:
        callback()
    assert [receiver.written for receiver in receivers] == [1] * (MAX_CONCURRENT_TRANSFERS + 2) + [0]


async def send_request(
    process: PhotoServerProcess, number: int, target: str, *headers: str
) -> tuple[str, bytes]:
    """Send a request over HTTP and return the head and the body of its response."""
    address = process.fleet.config.addresses.server_address(number)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    lines = (f"GET {target} HTTP/1.1", "Host: backend.local", *headers, "", "")
    writer.write("\r\n".join(lines).encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = next(line for line in head.lower().split("\r\n") if line.startswith("content-length"))
    body = await reader.readexactly(int(length.partition(":")[2]))
    writer.close()
    return head, body


def decode_results(received: bytearray) -> Iterator[Result]:
    for body in split_frames(received):
        batch: ResultBatch = msgspec.msgpack.decode(body, type=ResultBatch)
        yield from batch.results


def test_http_and_batched_attempts_share_a_server() -> None:
    """Attempts of real balancers, over HTTP, and of hollow ones, in batches, wait for the same cores."""

    async def main() -> None:
        process = PhotoServerProcess(make_fleet(quiet_scenario(), events.ServersDrained(0.6, (SERVER,))))
        async with running(process) as clock:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", process.fleet.config.addresses.shard_ports[0]
            )
            batch = [Attempt(7, SERVER, 200_000, 2_000_000, 3), Attempt(8, SERVER, 50_000, 2_000_000, 3)]
            writer.write(encode_frame(AttemptBatch(batch, [])) + encode_frame(AttemptBatch([], [8])))
            while not process.group.servers[SERVER].busy_cores():
                await asyncio.sleep(0.002)
            head, body = await send_request(process, SERVER, request_target(20_000, 0), "X-Request-Id: r1")
            assert head.startswith("HTTP/1.1 200 ") and "X-Load: " in head
            content = msgspec.json.decode(body)
            held_s = content.pop("held_us") / 1e6
            assert content == {"served": "r1", "server": SERVER}
            assert clock.now_s() > 0.2  # queued behind the attempt of the batch
            assert 0.02 <= held_s < clock.now_s()  # at least its own work
            received = bytearray(await reader.read(4096))
            assert [(result.number, result.outcome) for result in decode_results(received)] == [(7, "OK")]
            assert (await send_request(process, SERVER, "/api"))[0].startswith("HTTP/1.1 404 ")
            while process.group.servers[SERVER].state is not PhotoServerState.DRAINING:
                await asyncio.sleep(0.002)
            head, _ = await send_request(process, SERVER, "/api", "X-Request-Id: r2", "X-Work-Us: 1000")
            assert head.startswith("HTTP/1.1 503 ") and "X-Not-Run: 1" in head
            counts = process.group.take_second(1.0).counts
            assert (counts.attempts, counts.http, counts.ok, counts.full, counts.cancelled) == (4, 2, 2, 1, 1)
            writer.close()

    run_with_uvloop(main())


def test_sockets_follow_stops_lost_machines_and_starts() -> None:
    """A stopped server refuses connections, connects to a lost machine time out, and both servers restart."""

    async def main() -> None:
        timeline = (
            events.ServersStopped(0.1, (OTHER_SERVER,)),
            events.ServersVanished(0.1, (SERVER,)),
            events.ServersStarted(0.5, (SERVER, OTHER_SERVER), False),
        )
        process = PhotoServerProcess(make_fleet(quiet_scenario(), *timeline))
        async with running(process) as clock:
            while clock.now_s() < 0.15:
                await asyncio.sleep(0.002)
            with pytest.raises(ConnectionRefusedError):
                await send_request(process, OTHER_SERVER, "/api", "X-Request-Id: r1")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await send_request(process, SERVER, "/api", "X-Request-Id: r2")
            while clock.now_s() < 0.6:
                await asyncio.sleep(0.002)
            for number in (SERVER, OTHER_SERVER):
                head, _ = await send_request(process, number, "/api?work_us=1000", "X-Request-Id: r3")
                assert head.startswith("HTTP/1.1 200 ")

    run_with_uvloop(main())
