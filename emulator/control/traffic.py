"""Photo servers, discovery and clients of the real balancers: `python -m emulator.control.traffic`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random

import msgspec

from dykeshift.node.call import HttpClient
from emulator.control.child import run_child, send_report
from emulator.control.contract import (
    Begin,
    Command,
    Finish,
    Measure,
    Ready,
    RequestFailed,
    RequestTotals,
    TrafficConfig,
)
from emulator.control.http_server import HttpRequest, HttpResponse, HttpServer, query_int
from emulator.discovery_schema import Instance, Listing

SERVICE_TIME = 0.005  # seconds
DEADLINE_MS = 2_000
GRACE = 0.5  # seconds beyond the deadline until a request without an answer is lost
READY_POLL = 0.02  # seconds between two looks whether a balancer is back
READY_TIMEOUT = 10.0  # seconds
LOST = 0  # in place of a status
MAX_ANSWER = 64 * 1024  # bytes


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class that every version of the settings has."""

    name: str
    method: str
    keyed: bool = False


CLASSES = (
    TrafficClass("check", "GET"),
    TrafficClass("set", "POST", keyed=True),
    TrafficClass("send", "POST"),
)
UNSAFE = "send"


class Servers:
    """Photo servers and discovery, which has one list for ever."""

    def __init__(self) -> None:
        self.unsafe_seen: set[bytes] = set()  # ids
        self.repeated = 0
        self.ports: list[int] = []

    async def start(self, count: int) -> int:
        """Begin to listen; the port of discovery is returned."""
        self.ports = [await HttpServer(self._serve).listen("127.0.0.1", 0) for _ in range(count)]
        return await HttpServer(self._discover).listen("127.0.0.1", 0)

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        request_id = request.headers.get(b"x-request-id", b"")
        if request_id.startswith(UNSAFE.encode()):
            self.repeated += request_id in self.unsafe_seen
            self.unsafe_seen.add(request_id)
        await asyncio.sleep(SERVICE_TIME)
        return HttpResponse(request_id)

    async def _discover(self, request: HttpRequest) -> HttpResponse:
        if "from" in request.query:
            await asyncio.sleep(query_int(request, "hold_ms", 0) / 1000)
            return HttpResponse(msgspec.json.encode(Listing(1, False, [])))
        instances = [
            Instance(f"s{n}", f"127.0.0.1:{port}", "a", "m", cell=n) for n, port in enumerate(self.ports)
        ]
        return HttpResponse(msgspec.json.encode(Listing(1, True, instances)))


class Client:
    """Sends one request after another to one balancer, and sees it through its restarts."""

    def __init__(self, balancer: int, config: TrafficConfig) -> None:
        address = config.addresses.balancer_address(balancer)
        self.balancer = balancer
        self.config = config
        self.caller = HttpClient(asyncio.get_running_loop(), (address.host, address.port), MAX_ANSWER)
        self.random = Random(config.seed + balancer)
        self.requests = self.served = self.refused = self.failed = self.lost = 0
        self.stopping = False

    async def run(self) -> None:
        """Until `stopping`; each request comes to its end."""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / self.config.requests_per_s)
            await self._ask()

    async def _ask(self) -> None:
        self.requests += 1
        kind = CLASSES[self.random.randrange(len(CLASSES))]
        request_id = f"{kind.name}-{self.balancer}-{self.requests}"
        message, began = self._message(kind, request_id), time.monotonic()
        try:
            status = await self._status(message)
        except TimeoutError:
            status = LOST
        except OSError:  # it was closed between requests, or is being restarted: sent once more
            status = await self._after_restart(message)
        if status != 200:
            after_ms = (time.monotonic() - began) * 1e3
            send_report(RequestFailed(self.balancer, f"{kind.name} {status}", after_ms))
        self.served += status == 200
        self.refused += status in (429, 503)
        self.failed += status not in (LOST, 200, 429, 503)
        self.lost += status == LOST

    async def _status(self, message: bytes) -> int:
        return (await self.caller.send_request(message, DEADLINE_MS / 1000 + GRACE)).status

    async def _after_restart(self, message: bytes) -> int:
        """The status, or LOST where the second try breaks too."""
        try:
            await self._wait_ready()
            return await self._status(message)
        except (OSError, TimeoutError):
            return LOST

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT):
            while True:
                try:
                    if (await self.caller.call("/ready", 1.0)).status == 200:
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(READY_POLL)

    @staticmethod
    def _message(kind: TrafficClass, request_id: str) -> bytes:
        lines = [
            f"{kind.method} /api HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {request_id}",
            f"X-Class: {kind.name}",
            "X-Tenant: acme",
            f"X-Deadline-Ms: {DEADLINE_MS}",
        ]
        if kind.method == "POST":
            lines.append("Content-Length: 0")
        if kind.keyed:
            lines.append(f"Idempotency-Key: key-{request_id}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def total(clients: list[Client], servers: Servers) -> RequestTotals:
    """The counts of all clients."""
    return RequestTotals(
        requests=sum(c.requests for c in clients),
        served=sum(c.served for c in clients),
        refused=sum(c.refused for c in clients),
        failed=sum(c.failed for c in clients),
        lost=sum(c.lost for c in clients),
        repeated=servers.repeated,
    )


async def main(config: TrafficConfig, commands: AsyncIterator[Command]) -> None:
    """Serve, and send once told to, until the commands end."""
    servers = Servers()
    send_report(Ready(await servers.start(config.servers)))
    clients = [Client(balancer, config) for balancer in config.balancers]
    running: list[asyncio.Task[None]] = []
    async for command in commands:
        if isinstance(command, Begin):
            running = [asyncio.get_running_loop().create_task(client.run()) for client in clients]
        if isinstance(command, Finish):
            for client in clients:
                client.stopping = True
            await asyncio.gather(*running)
        if isinstance(command, Measure | Finish):
            send_report(total(clients, servers))


if __name__ == "__main__":
    run_child(TrafficConfig, main)
