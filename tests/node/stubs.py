"""Stub servers on free loopback ports, and a balancer that runs between them in the test process."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from math import inf
from typing import Any

import uvloop

from dykeshift.node import config
from dykeshift.node.__main__ import serve
from dykeshift.node.listener import Listener
from dykeshift.node.reload import ConfigReload
from dykeshift.node.server import Frontend
from dykeshift.node.upstream import Pool

TEST_TIMEOUT_S = 30.0  # only failing tests run for this long


def run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main, TEST_TIMEOUT_S))


def free_port() -> int:
    """A loopback port that was free at the time of the call."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return int(bound.getsockname()[1])


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


@dataclass
class Message:
    start_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def http_response(body: bytes = b"done", status: str = "200 OK", **headers: str) -> bytes:
    extra = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


Handler = Callable[["StubServer", Message, asyncio.StreamWriter], Awaitable[None]]


def responds_with(data: bytes, close: bool = False) -> Handler:
    """A handler that sends these bytes in response to each request."""

    async def handle(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return handle


async def never_responds(_: StubServer, __: Message, ___: asyncio.StreamWriter) -> None:
    """A handler that reads each request and sends no response."""


async def resets_connection(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


@dataclass
class StubServer:
    """An upstream server that runs its handler for each request and records the requests."""

    handler: Handler
    requests: list[Message] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    closed_connections: int = 0
    address: tuple[str, int] = ("", 0)
    server: asyncio.Server | None = None

    async def start(self) -> StubServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.requests.append(message)
                await self.handler(self, message, writer)
        self.closed_connections += 1
        writer.close()


def instance(name: str, address: tuple[str, int], state: str = "active", **changes: Any) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "a",
        "machineType": "m",
        "cell": 1,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": 0,
        **changes,
    }


def listing(generation: int, is_full: bool, *instances: dict[str, Any]) -> dict[str, Any]:
    return {"generation": generation, "reset": is_full, "instances": list(instances)}


@dataclass
class StubLongPollServer:
    """Stub of a discovery server or a settings agent that is called by long polls.

    Each call gets the next entry of `responses`, and is held while there is none.
    """

    responses: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    paths: list[str] = field(default_factory=list)
    address: tuple[str, int] = ("", 0)

    async def start(self) -> StubLongPollServer:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()
        return self

    def queue_json(self, document: Any) -> None:
        self.responses.put_nowait(http_response(json.dumps(document).encode()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.paths.append(message.start_line.split()[1])
                writer.write(await self.responses.get())
        writer.close()


def service(name: str, idempotency: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "goalTimeNs": 400_000_000,
        "deadlineNs": 5_000_000_000,
        "worth": 1.0,
        "idempotency": idempotency,
        "group": "cell",
        "windowNs": 4_000_000_000,
        "lateShare": 0.2,
        **changes,
    }


def settings(**changes: Any) -> dict[str, Any]:
    return {
        "az": 0,
        "balancers": 1,
        "discovery": "ask",
        "stepNs": 2_000_000,
        "failureDomains": ["a", "b"],
        "kinds": ["m"],
        "report": {"fields": ["cpu_share"], "how": "piggyback"},
        "parties": [{"name": "acme", "quotaPerS": 50.0}, {"name": "globex", "quotaPerS": 25.0}],
        "overShareWorth": 0.2,
        "bounds": {
            "cancelling": True,
            "maxAttempts": 3,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterNs": 750_000_000,
            "keepaliveNs": 10_000_000_000,
            "connectTimeoutNs": 2_000_000_000,
        },
        "obligations": {
            "answerSlackNs": 8_000_000,
            "askEveryNs": 10_000_000_000,
            "coldFrom": 0.12,
            "coldNs": 23_000_000_000,
            "drainGraceNs": 250_000_000,
            "fallNs": 3_000_000_000,
            "tipMultiple": 3.0,
        },
        "services": [service("check", "pure"), service("set", "token"), service("send", "side_effect")],
        **changes,
    }


def configuration(discovery: tuple[str, int], known: Any = None) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings(),
    }


@dataclass
class RunningBalancer:
    frontend: Frontend
    listener: Listener
    discovery: StubLongPollServer
    address: tuple[str, int]
    configuration: config.Config
    reload: ConfigReload

    def switch_discovery(self, discovery: StubLongPollServer) -> None:
        """Reload the configuration with another discovery address, as after SIGHUP."""
        self.configuration = replace(self.configuration, discovery=discovery.address)
        self.reload()

    async def connect(self) -> StubClient:
        return StubClient(*await asyncio.open_connection(*self.address))

    async def fetch(self, request: bytes) -> Message:
        client = await self.connect()
        try:
            return await client.fetch(request)
        finally:
            client.writer.close()


@dataclass
class StubClient:
    """A client with one connection to the balancer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def fetch(self, request: bytes) -> Message:
        self.writer.write(request)
        return await read_message(self.reader)


def http_request(
    class_name: str = "send",
    request_id: str = "r1",
    deadline_ms: int | str = 4000,
    body: bytes = b"hello",
    method: str | None = None,
    **headers: str,
) -> bytes:
    fields = {
        "Host": "backend.local",
        "X-Request-Id": request_id,
        "X-Class": class_name,
        "X-Deadline-Ms": str(deadline_ms),
    }
    if class_name == "set":
        fields["Idempotency-Key"] = f"k-{request_id}"
    method = method or ("GET" if class_name == "check" else "POST")
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    head = f"{method} /api?x=1 HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode() + b"\r\n" + (body if method == "POST" else b"")


class ConnectGate:
    """Wraps a pool's event loop so that its first `held_connects` connects wait until `opened` is set."""

    def __init__(self, pool: Pool, held_connects: float = inf) -> None:
        self.loop = pool.loop
        self.held_connects = held_connects
        self.connect_count = 0
        self.opened = asyncio.Event()
        pool.loop = self  # type: ignore[assignment]

    async def create_connection(self, *args: Any) -> Any:
        self.connect_count += 1
        if self.connect_count <= self.held_connects:
            await self.opened.wait()
        return await self.loop.create_connection(*args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


def settings_with_bounds(**bounds: Any) -> dict[str, Any]:
    """The usual settings with other bounds."""
    result = settings()
    result["bounds"].update(bounds)
    return result


@asynccontextmanager
async def running_balancer(
    *upstreams: StubServer, discovery_answers: bool = True, **changes: Any
) -> AsyncIterator[RunningBalancer]:
    """A whole balancer in this process whose known list has these upstreams, named s0, s1, ...

    With `discovery_answers` and any upstreams, discovery has responded to the first call with the same list,
    and the balancer has sent its second call.
    """
    discovery = await StubLongPollServer().start()
    known = listing(1, True, *(instance(f"s{n}", upstream.address) for n, upstream in enumerate(upstreams)))
    discovery_answers = discovery_answers and bool(upstreams)
    if discovery_answers:
        discovery.queue_json(known)
    initial = config.parse(json.dumps({**configuration(discovery.address, known), **changes}))
    ready: asyncio.Future[RunningBalancer] = asyncio.get_running_loop().create_future()

    def started(front: Frontend, listener: Listener, reload: ConfigReload) -> None:
        ready.set_result(RunningBalancer(front, listener, discovery, listener.address, initial, reload))

    serving = asyncio.create_task(serve(initial, lambda: ready.result().configuration, started))
    try:
        balancer = await ready
        if discovery_answers:
            await wait_until(lambda: len(discovery.paths) == 2)
            assert discovery.paths.pop(0).startswith("/v1/endpoints")
        yield balancer
    finally:
        serving.cancel()
        with suppress(asyncio.CancelledError):
            await serving
        # `serve` leaves its signal handlers and `gc.freeze` to the end of its process, but this one goes on.
        # uvloop does not remove the handlers when it is closed, and they refer to the whole balancer. Frozen
        # objects are not collected: cycles among them stay, and so does everything to which they refer.
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().remove_signal_handler(signal_number)
        gc.unfreeze()
