"""Clients that disconnect before an attempt is sent, and processes with long lists or no free descriptors.

Each test brings about the moment at which a requirement could be missed: no attempt starts more than 0.1 s
after its client has disconnected, a balancer follows a change of its server list within 6 s, and balancers
are ready within 10 s even if many start at once.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

from dykeshift.interface import Action, SetTimer
from dykeshift.node import listing as listing_module
from dykeshift.node.discovery import MAX_LIST_BYTES
from dykeshift.node.server import READ_BUFFER_BYTES
from tests.node.stubs import (
    ConnectGate,
    Message,
    RunningBalancer,
    StubServer,
    configuration,
    free_port,
    http_request,
    http_response,
    instance,
    listing,
    never_responds,
    read_message,
    responds_with,
    run,
    running_balancer,
    settings,
    settings_with_bounds,
    wait_until,
)

# ---- no attempt is sent for a client that has disconnected ----

WITH_AND_WITHOUT_CANCELLING = pytest.mark.parametrize("cancelling", [True, False])
EACH_CLASS = pytest.mark.parametrize("class_name", ["check", "set", "send"])


class Departure(Enum):
    """How a client disconnects."""

    CLOSE = "closes"
    RESET = "resets"
    # The balancer's system takes no more input, so that the close arrives only when much has been read.
    CLOSE_BEHIND_UNREAD_INPUT = "closes behind unread input"


EACH_DEPARTURE = pytest.mark.parametrize("departure", Departure, ids=lambda departure: departure.value)


@dataclass
class ClientGoneRecorder:
    """Records the disconnects that the decision module is notified of, and its timers for requests."""

    gone_request_ids: list[str] = field(default_factory=list)
    request_timers: list[SetTimer] = field(default_factory=list)

    @staticmethod
    def attach(balancer: RunningBalancer) -> ClientGoneRecorder:
        recorder, driver = ClientGoneRecorder(), balancer.frontend.driver
        notify, execute = driver.decision_module.on_client_gone, driver._execute

        def on_client_gone(now: int, request_id: str) -> list[Action]:
            recorder.gone_request_ids.append(request_id.partition("/")[0])
            return notify(now, request_id)

        def record_timers(actions: list[Action]) -> None:
            recorder.request_timers += [
                a for a in actions if isinstance(a, SetTimer) and a.token.startswith("r:")
            ]
            execute(actions)

        driver.decision_module.on_client_gone = on_client_gone  # type: ignore[method-assign]
        driver._execute = record_timers  # type: ignore[method-assign]
        return recorder

    def latest_timer(self, request_id: str) -> int:
        """Clock time of the latest timer for this request; 0 if none has been set."""
        return max(
            (timer.fire_at for timer in self.request_timers if timer.token.startswith(f"r:{request_id}/")),
            default=0,
        )


class BlockingClient:
    """A client outside the event loop: the kernel knows of its close as soon as `disconnect` returns."""

    def __init__(self, balancer: RunningBalancer, data: bytes) -> None:
        self.socket = socket.create_connection(balancer.address)
        self.socket.sendall(data)

    def disconnect(self, departure: Departure) -> None:
        """Close the connection, behind as many further requests as the systems take if so wanted."""
        if departure is Departure.RESET:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        if departure is Departure.CLOSE_BEHIND_UNREAD_INPUT:
            self.socket.setblocking(False)
            with suppress(BlockingIOError):
                while True:
                    self.socket.send(http_request("check", request_id="further") * 1000)
        self.socket.close()


def received_request_ids(*stubs: StubServer) -> list[str]:
    return [message.headers["x-request-id"] for stub in stubs for message in stub.requests]


async def wait_until_idle(balancer: RunningBalancer) -> None:
    """Wait until no request is open; then no attempt may count as in flight."""
    driver = balancer.frontend.driver
    await wait_until(lambda: not driver.open_requests and not driver.pool.connect_tasks)
    assert not driver.decision_module.open_requests
    assert all(server.in_flight == 0 for server in driver.decision_module.servers.values())


async def warm_up(balancer: RunningBalancer, *stubs: StubServer) -> None:
    """Send requests until each server has answered one and has a connection, and forget them."""
    count = 0
    while not all(stub.requests for stub in stubs) or count < 10 * len(stubs):
        count += 1
        assert "200" in (await balancer.fetch(http_request("send", request_id=f"w{count}"))).start_line
    await wait_until(lambda: not balancer.frontend.connections)
    for stub in stubs:
        stub.requests.clear()


async def rejects_unexecuted(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
    """A handler whose response says that the request was not executed."""
    writer.write(http_response(b"", "503 Service Unavailable", X_Not_Run="1"))


def test_request_whose_client_closed_behind_unread_input_is_not_sent() -> None:
    # Guards against: requests sent for a client that has closed its connection with much still unread.
    empty_size = len(http_request(body=b"x" * 10_000)) - 10_000
    fills_the_buffer = http_request(body=b"x" * (READ_BUFFER_BYTES - empty_size))

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            balancer.frontend.driver.pool.reuse_delay_s = 0.0  # a request is sent as soon as it is handled
            await warm_up(balancer, stub)
            client = BlockingClient(balancer, b"")
            await wait_until(lambda: len(balancer.frontend.connections) == 1)
            client.socket.sendall(fills_the_buffer)  # the event loop reads nothing until the close
            client.disconnect(Departure.CLOSE_BEHIND_UNREAD_INPUT)
            await wait_until(lambda: not balancer.frontend.connections)
            await wait_until_idle(balancer)
            assert not stub.requests

    run(main())


@EACH_DEPARTURE
@WITH_AND_WITHOUT_CANCELLING
@EACH_CLASS
def test_no_request_is_sent_after_a_disconnect_during_the_reuse_delay_of_a_connection(
    class_name: str, cancelling: bool, departure: Departure
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            recorder, pool = ClientGoneRecorder.attach(balancer), balancer.frontend.driver.pool
            pool.reuse_delay_s = 0.2
            assert "200" in (await balancer.fetch(http_request(class_name, request_id="first"))).start_line
            await wait_until(lambda: not balancer.frontend.connections)
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(lambda: bool(balancer.frontend.driver.open_requests))
            (upstream,) = pool.upstreams.values()
            assert pool.connection_count == 1 and not upstream.idle_connections  # in its reuse delay
            client.disconnect(departure)
            await wait_until(lambda: recorder.gone_request_ids == ["left"])
            await wait_until(lambda: len(upstream.idle_connections) == 1)  # the reuse delay is over
            await wait_until_idle(balancer)
            assert "200" in (await balancer.fetch(http_request(class_name, request_id="next"))).start_line
            assert received_request_ids(stub) == ["first", "next"] and len(stub.writers) == 1

    run(main())


@EACH_DEPARTURE
@WITH_AND_WITHOUT_CANCELLING
@EACH_CLASS
def test_no_request_is_sent_after_a_disconnect_while_all_servers_are_full(
    class_name: str, cancelling: bool, departure: Departure
) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            recorder, driver = ClientGoneRecorder.attach(balancer), balancer.frontend.driver
            other_clients = [await balancer.connect() for _ in range(20)]
            for n, other_client in enumerate(other_clients):
                other_client.writer.write(http_request("send", request_id=f"busy{n}"))
            await wait_until(lambda: len(driver.open_requests) == len(other_clients))
            await wait_until(
                lambda: len(stub.requests)
                == sum(open_request.attempts_in_flight for open_request in driver.open_requests.values())
            )
            sent = len(stub.requests)
            assert 0 < sent < len(other_clients)  # the others wait for a server
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(
                lambda: any(
                    open_request.client_request.id == "left" for open_request in driver.open_requests.values()
                )
            )
            client.disconnect(departure)
            await wait_until(lambda: "left" in recorder.gone_request_ids)
            timers_before = len(recorder.request_timers)
            stub.handler = responds_with(http_response())
            for writer in stub.writers[:]:
                writer.write(http_response())
            await wait_until(lambda: len(recorder.request_timers) > timers_before or not driver.open_requests)
            for other_client in other_clients:
                await read_message(other_client.reader)
                other_client.writer.close()
            await wait_until_idle(balancer)
            assert "left" not in received_request_ids(stub)

    run(main())


@EACH_DEPARTURE
@WITH_AND_WITHOUT_CANCELLING
@EACH_CLASS
def test_no_request_is_sent_after_a_disconnect_while_the_next_attempt_connects(
    class_name: str, cancelling: bool, departure: Departure
) -> None:
    """The first server rejects the request without executing it, so each class may go to another one."""

    async def main() -> None:
        stubs = [await StubServer(rejects_unexecuted).start() for _ in range(2)]
        async with running_balancer(*stubs, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            recorder, pool = ClientGoneRecorder.attach(balancer), balancer.frontend.driver.pool
            gate = ConnectGate(pool)
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(lambda: gate.connect_count == 1)
            gate.opened.set()
            gate.opened.clear()  # only the first connect passes
            await wait_until(lambda: gate.connect_count == 2)
            assert received_request_ids(*stubs) == ["left"]
            client.disconnect(departure)
            await wait_until(lambda: recorder.gone_request_ids == ["left"])
            gate.opened.set()
            await wait_until_idle(balancer)
            for stub in stubs:
                stub.handler = responds_with(http_response())
            assert "200" in (await balancer.fetch(http_request(class_name, request_id="next"))).start_line
            assert sorted(received_request_ids(*stubs)) == ["left", "next"]

    run(main())


@EACH_DEPARTURE
@WITH_AND_WITHOUT_CANCELLING
@pytest.mark.parametrize("class_name", ["check", "set"])
def test_no_request_is_sent_after_a_disconnect_while_a_delayed_copy_connects(
    class_name: str, cancelling: bool, departure: Departure
) -> None:
    async def main() -> None:
        stubs = [await StubServer(responds_with(http_response())).start() for _ in range(2)]
        async with running_balancer(*stubs, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            await warm_up(balancer, *stubs)
            recorder, pool = ClientGoneRecorder.attach(balancer), balancer.frontend.driver.pool
            for stub in stubs:
                stub.handler = never_responds
            for upstream in pool.upstreams.values():
                pool._close_idle(upstream)
            await wait_until(lambda: pool.connection_count == 0)
            gate = ConnectGate(pool)
            client = BlockingClient(balancer, http_request(class_name, request_id="left", deadline_ms=2000))
            await wait_until(lambda: gate.connect_count == 1)
            gate.opened.set()
            gate.opened.clear()
            # The server does not respond, so a copy is started.
            await wait_until(lambda: gate.connect_count == 2)
            assert received_request_ids(*stubs) == ["left"]
            client.disconnect(departure)
            await wait_until(lambda: recorder.gone_request_ids == ["left"])
            gate.opened.set()
            await wait_until_idle(balancer)
            assert received_request_ids(*stubs) == ["left"]

    run(main())


# ---- no attempt is sent for a client that disconnects while the event loop is blocked ----
#
# After a stall, the event loop runs due timers before it reads from its sockets. A timer could start an
# attempt although the client's close has arrived long before.

MAX_ATTEMPT_DELAY_NS = 100_000_000  # after the client's close an attempt may still be started for this long


async def disconnect_during_stall(
    client: BlockingClient,
    departure: Departure,
    timer_due_at: Callable[[], int],
    at_end: Callable[[], None] = lambda: None,
) -> None:
    """Disconnect the client while the event loop handles another socket, and block the loop from then on.

    The stall ends MAX_ATTEMPT_DELAY_NS after the close, or after the clock time `timer_due_at` if that is
    later. The loop then runs the timer before it learns of the close. `at_end` is called when the stall ends.
    """
    loop, is_over = asyncio.get_running_loop(), asyncio.Event()
    inner, outer = socket.socketpair()

    def stall() -> None:
        loop.remove_reader(inner)
        client.disconnect(departure)
        closed_at = time.monotonic_ns()
        while time.monotonic_ns() <= max(timer_due_at(), closed_at) + MAX_ATTEMPT_DELAY_NS:
            pass
        at_end()
        is_over.set()

    with inner, outer:
        loop.add_reader(inner, stall)
        outer.send(b"now")
        await is_over.wait()


@EACH_DEPARTURE
@EACH_CLASS
def test_no_waiting_request_is_sent_after_a_disconnect_during_a_stall(
    class_name: str, departure: Departure
) -> None:
    """The request's next search for a server would find one that accepts it, with an idle connection."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            recorder, driver = ClientGoneRecorder.attach(balancer), balancer.frontend.driver
            driver.pool.reuse_delay_s = 0.0
            assert "200" in (await balancer.fetch(http_request("send", request_id="warm"))).start_line
            (server,) = driver.decision_module.servers.values()
            server.backoff_until = time.monotonic_ns() + 100_000_000  # at least one search fails
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(lambda: recorder.latest_timer("left") > 0)
            server.backoff_until = 0
            await disconnect_during_stall(client, departure, lambda: recorder.latest_timer("left"))
            await wait_until(lambda: "left" in recorder.gone_request_ids)
            await wait_until_idle(balancer)
            assert "left" not in received_request_ids(stub)

    run(main())


@EACH_DEPARTURE
@EACH_CLASS
def test_no_attempt_uses_a_connection_after_its_reuse_delay_and_a_disconnect_during_a_stall(
    class_name: str, departure: Departure
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            recorder, driver = ClientGoneRecorder.attach(balancer), balancer.frontend.driver
            driver.pool.reuse_delay_s = 0.2
            assert "200" in (await balancer.fetch(http_request(class_name, request_id="first"))).start_line
            await wait_until(lambda: not balancer.frontend.connections)
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(lambda: bool(driver.open_requests))
            delay_ends_at = time.monotonic_ns() + int(driver.pool.reuse_delay_s * 1e9)
            await disconnect_during_stall(client, departure, lambda: delay_ends_at)
            await wait_until(lambda: recorder.gone_request_ids == ["left"])
            await wait_until_idle(balancer)
            assert received_request_ids(stub) == ["first"]

    run(main())


@EACH_DEPARTURE
@pytest.mark.parametrize("class_name", ["check", "set"])
def test_no_delayed_copy_is_sent_after_a_disconnect_during_a_stall(
    class_name: str, departure: Departure
) -> None:
    async def main() -> None:
        stubs = [await StubServer(responds_with(http_response())).start() for _ in range(2)]
        async with running_balancer(*stubs) as balancer:
            await warm_up(balancer, *stubs)
            for stub in stubs:
                stub.handler = never_responds
            recorder = ClientGoneRecorder.attach(balancer)
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(lambda: bool(received_request_ids(*stubs)))
            await disconnect_during_stall(client, departure, lambda: recorder.latest_timer("left"))
            await wait_until(lambda: recorder.gone_request_ids == ["left"])
            await wait_until_idle(balancer)
            assert received_request_ids(*stubs) == ["left"]

    run(main())


@EACH_DEPARTURE
@EACH_CLASS
def test_no_attempt_follows_a_rejected_one_after_a_disconnect_during_a_stall(
    class_name: str, departure: Departure
) -> None:
    """A request of any class that was rejected unexecuted may go to the other server, which is connected."""

    async def main() -> None:
        stubs = [await StubServer(responds_with(http_response())).start() for _ in range(2)]
        async with running_balancer(*stubs) as balancer:
            await warm_up(balancer, *stubs)
            recorder = ClientGoneRecorder.attach(balancer)
            for stub in stubs:
                stub.handler = never_responds
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            await wait_until(lambda: bool(received_request_ids(*stubs)))

            def reject_unexecuted() -> None:
                for stub in stubs:
                    if stub.requests:
                        stub.writers[-1].write(http_response(b"", "503 Service Unavailable", X_Not_Run="1"))

            await disconnect_during_stall(client, departure, lambda: 0, reject_unexecuted)
            await wait_until(lambda: recorder.gone_request_ids == ["left"])
            await wait_until_idle(balancer)
            assert received_request_ids(*stubs) == ["left"]

    run(main())


# ---- the program as a process: discovery without free descriptors, and simultaneous starts ----

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = [sys.executable, "-m", "dykeshift.node"]
MAX_UPDATE_DELAY_S = 6.0  # a change of the list has to be known this long after discovery can be reached


class StubDiscoveryServer:
    """A discovery server that can be stopped and started again at the same address.

    A call with another generation gets the full list; a call with the current one is held.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.body = b""
        self.generation = 0
        self.paths: list[str] = []
        self.sent_list_bytes = 0
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []

    def publish(self, update: dict[str, Any], body: bytes | None = None) -> None:
        self.generation = update["generation"]
        self.body = body or json.dumps(update).encode()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                path = (await read_message(reader)).start_line.split()[1]
                self.paths.append(path)
                query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
                if query.get("from") == str(self.generation):
                    await asyncio.sleep(int(query["hold_ms"]) / 1000)
                    writer.write(http_response(json.dumps(listing(self.generation, False)).encode()))
                else:
                    self.sent_list_bytes += len(self.body)
                    writer.write(http_response(self.body))
                await writer.drain()

    def has_applied(self, generation: int) -> bool:
        """Whether a balancer has asked for changes after this generation, as it does after applying it."""
        return any(f"from={generation}&" in path for path in self.paths)


@dataclass
class BalancerProcess:
    process: asyncio.subprocess.Process
    log: Path

    def has_logged(self, text: str) -> bool:
        return text in self.log.read_text()


@asynccontextmanager
async def running_process(
    folder: Path, document: dict[str, Any], max_descriptors: int | None = None
) -> AsyncIterator[BalancerProcess]:
    """Run the real program with this configuration, and with a limit of file descriptors if one is given."""
    path, log = folder / f"{document['name']}.json", folder / f"{document['name']}.log"
    path.write_text(json.dumps(document))

    def limit_descriptors() -> None:
        if max_descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    with log.open("wb") as stderr:  # a full pipe without a reader would block the process
        child = await asyncio.create_subprocess_exec(
            *COMMAND,
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
            stderr=stderr,
            preexec_fn=limit_descriptors,
        )
    try:
        yield BalancerProcess(child, log)
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


async def wait_until_ready(port: int) -> None:
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")
            response = await read_message(reader)
            writer.close()
            if "200" in response.start_line:
                return
        await asyncio.sleep(0.02)


class IdleClients:
    """Connections that send nothing; each one that the balancer closes is replaced at once."""

    def __init__(self, port: int, connection_count: int) -> None:
        self.tasks = [asyncio.create_task(self._stay_connected(port)) for _ in range(connection_count)]
        self.closed_count = 0

    async def _stay_connected(self, port: int) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    await reader.read()
                finally:
                    writer.transport.abort()
            self.closed_count += 1
            await asyncio.sleep(0)

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_watch_recovers_although_idle_clients_use_all_descriptors(mode: str, tmp_path: Path) -> None:
    async def main() -> None:
        max_descriptors = 256
        upstream = await StubServer(responds_with(http_response())).start()
        discovery, port = StubDiscoveryServer(0), free_port()
        discovery.publish(listing(1, True, instance("s0", upstream.address)))
        await discovery.start()
        document = {
            **configuration(("127.0.0.1", discovery.port)),
            "listen": f"127.0.0.1:{port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": max_descriptors},
            "settings": settings(discovery=mode),
        }
        async with running_process(tmp_path, document, max_descriptors) as balancer:
            await wait_until(lambda: discovery.has_applied(1))
            discovery.stop()
            await wait_until(lambda: balancer.has_logged("the discovery watch fails"))
            clients = IdleClients(port, 2 * max_descriptors)
            try:
                # More connections than the process can have open at a time.
                await wait_until(lambda: clients.closed_count > max_descriptors)
                discovery.publish(listing(2, True, instance("s1", upstream.address)))
                await discovery.start()
                reachable_at = time.monotonic()
                await wait_until(lambda: discovery.has_applied(2))
                assert time.monotonic() - reachable_at <= MAX_UPDATE_DELAY_S
            finally:
                await clients.close()
            assert balancer.process.returncode is None
        discovery.stop()

    run(main())


LIST_ENTRY_COUNT = 6400
# The requirement is 10 s. This limit is higher, as the processes share the cores with whatever else runs.
MAX_START_S = 25.0
# Processor time until ready of nine in ten processes: what 0.85 of a core provides in the required 10 s.
MAX_START_PROCESSOR_S = 8.5


def long_list(entry_count: int, address: tuple[str, int]) -> dict[str, Any]:
    return listing(7, True, *(instance(f"s-{number:08x}", address) for number in range(entry_count)))


def largest_list(address: tuple[str, int]) -> dict[str, Any]:
    """A list with as many entries as fit into the largest response that is accepted."""
    entry_bytes = len(json.dumps(long_list(2, address))) - len(json.dumps(long_list(1, address))) + 1
    return long_list((MAX_LIST_BYTES - 1024) // entry_bytes, address)


def processor_time_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize(
    ("starts", "largest"), [(8, False), (1, True)], ids=["6400-entries", "largest-response"]
)
def test_balancers_that_start_at_once_are_ready_in_time_with_a_long_list(
    starts: int, largest: bool, tmp_path: Path
) -> None:
    """Each has a known list from before, and is pushed the full list again."""

    async def main() -> None:
        upstream = await StubServer(responds_with(http_response())).start()
        full_list = (
            largest_list(upstream.address) if largest else long_list(LIST_ENTRY_COUNT, upstream.address)
        )
        pushed = settings(discovery="push", balancers=420)
        pushed["obligations"]["drainGraceNs"] = 20_000_000_000  # one stub serves all: it may be late
        discovery = StubDiscoveryServer(0)
        discovery.publish(full_list)
        assert len(discovery.body) <= MAX_LIST_BYTES
        await discovery.start()
        processor_times_s: list[float] = []

        async def start(number: int) -> None:
            port = free_port()
            document = {
                **configuration(("127.0.0.1", discovery.port), full_list),
                "name": f"n{number}",
                "listen": f"127.0.0.1:{port}",
                "settings": {**pushed, "me": number},
            }
            async with running_process(tmp_path, document) as balancer:
                started_at = time.monotonic()
                await wait_until_ready(port)
                processor_times_s.append(processor_time_s(balancer.process.pid))
                assert time.monotonic() - started_at <= MAX_START_S
                assert balancer.has_logged(f"list 7: {len(full_list['instances'])} servers")

        await asyncio.gather(*(start(number) for number in range(starts)))
        assert (
            sorted(processor_times_s)[(starts * 9 - 1) // 10] <= MAX_START_PROCESSOR_S
        ), f"processor seconds until ready: {sorted(processor_times_s)}"
        assert discovery.paths.count("/v1/endpoints") == starts  # one full list each
        assert discovery.sent_list_bytes == starts * len(discovery.body)
        discovery.stop()

    run(main())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_each_entry_of_a_list_is_parsed_once_at_the_start(mode: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        parsed_ids: list[str] = []
        parse_row = listing_module.parse_row

        def record_and_parse(row: Any) -> listing_module.ServerRow:
            parsed_ids.append(row["instanceId"])
            return parse_row(row)

        monkeypatch.setattr(listing_module, "parse_row", record_and_parse)
        upstream = await StubServer(responds_with(http_response())).start()
        full_list, discovery = long_list(LIST_ENTRY_COUNT, upstream.address), StubDiscoveryServer(0)
        discovery.publish(full_list)
        await discovery.start()
        async with running_balancer(
            discovery_answers=False,
            known=full_list,
            discovery=f"127.0.0.1:{discovery.port}",
            settings=settings(discovery=mode, balancers=420),
        ) as balancer:
            await wait_until(lambda: discovery.has_applied(7))
            assert len(parsed_ids) == LIST_ENTRY_COUNT * (2 if mode == "push" else 1)
            assert len(balancer.frontend.driver.pool.ready_servers()) == LIST_ENTRY_COUNT
            assert "200" in (await balancer.fetch(http_request())).start_line
        discovery.stop()

    run(main())
