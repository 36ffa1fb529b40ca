"""Photo servers, discovery and clients for the real balancers: `python -m emulator.control.traffic`."""

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

SERVICE_TIME_S = 0.005
CLIENT_TIMEOUT_MS = 2_000  # X-Deadline-Ms of each request
RESPONSE_GRACE_S = 0.5  # beyond the client timeout; a request without a response by then counts as lost
READY_POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 10.0  # for a balancer that closed the connection or restarts
LOST_STATUS = 0  # instead of the HTTP status of a request without a response
MAX_RESPONSE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A request class that every version of the settings contains."""

    name: str
    method: str
    has_key: bool = False


TRAFFIC_CLASSES = (
    TrafficClass("check", "GET"),
    TrafficClass("set", "POST", has_key=True),
    TrafficClass("send", "POST"),
)
UNSAFE_CLASS_NAME = "send"


class PhotoServers:
    """Photo servers, and discovery with a server list that does not change."""

    def __init__(self) -> None:
        self.seen_unsafe_ids: set[bytes] = set()
        self.repeated_unsafe_count = 0
        self.ports: list[int] = []

    async def start(self, count: int) -> int:
        """Start the servers and discovery; return the port of discovery."""
        self.ports = [await HttpServer(self._serve).listen("127.0.0.1", 0) for _ in range(count)]
        return await HttpServer(self._discover).listen("127.0.0.1", 0)

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        request_id = request.headers.get(b"x-request-id", b"")
        if request_id.startswith(UNSAFE_CLASS_NAME.encode()):
            self.repeated_unsafe_count += request_id in self.seen_unsafe_ids
            self.seen_unsafe_ids.add(request_id)
        await asyncio.sleep(SERVICE_TIME_S)
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
    """Sends requests to one balancer, one at a time, and waits for it during its restarts."""

    def __init__(self, balancer_index: int, config: TrafficConfig) -> None:
        address = config.addresses.balancer_address(balancer_index)
        self.balancer_index = balancer_index
        self.config = config
        self.http_client = HttpClient(
            asyncio.get_running_loop(), (address.host, address.port), MAX_RESPONSE_BYTES
        )
        self.random = Random(config.seed + balancer_index)
        self.requests = self.served = self.refused = self.failed = self.lost = 0
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until `is_stopping` is set; the last request is completed."""
        while not self.is_stopping:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / self.config.requests_per_s)
            await self._send_request()

    async def _send_request(self) -> None:
        self.requests += 1
        traffic_class = TRAFFIC_CLASSES[self.random.randrange(len(TRAFFIC_CLASSES))]
        request_id = f"{traffic_class.name}-{self.balancer_index}-{self.requests}"
        message, sent_at = self._build_message(traffic_class, request_id), time.monotonic()
        try:
            status = await self._get_status(message)
        except TimeoutError:
            status = LOST_STATUS
        except OSError:  # the balancer closed the idle connection or restarts: send the request once more
            status = await self._retry_when_ready(message)
        if status != 200:
            after_ms = (time.monotonic() - sent_at) * 1e3
            send_report(RequestFailed(self.balancer_index, f"{traffic_class.name} {status}", after_ms))
        self.served += status == 200
        self.refused += status in (429, 503)
        self.failed += status not in (LOST_STATUS, 200, 429, 503)
        self.lost += status == LOST_STATUS

    async def _get_status(self, message: bytes) -> int:
        return (
            await self.http_client.send_request(message, CLIENT_TIMEOUT_MS / 1000 + RESPONSE_GRACE_S)
        ).status

    async def _retry_when_ready(self, message: bytes) -> int:
        """Return the status, or LOST_STATUS if the retry fails too."""
        try:
            await self._wait_until_ready()
            return await self._get_status(message)
        except (OSError, TimeoutError):
            return LOST_STATUS

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    if (await self.http_client.call("/ready", 1.0)).status == 200:
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    @staticmethod
    def _build_message(traffic_class: TrafficClass, request_id: str) -> bytes:
        lines = [
            f"{traffic_class.method} /api HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {request_id}",
            f"X-Class: {traffic_class.name}",
            "X-Tenant: acme",
            f"X-Deadline-Ms: {CLIENT_TIMEOUT_MS}",
        ]
        if traffic_class.method == "POST":
            lines.append("Content-Length: 0")
        if traffic_class.has_key:
            lines.append(f"Idempotency-Key: key-{request_id}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def sum_totals(clients: list[Client], servers: PhotoServers) -> RequestTotals:
    """Return the totals of all clients and servers."""
    return RequestTotals(
        requests=sum(c.requests for c in clients),
        served=sum(c.served for c in clients),
        refused=sum(c.refused for c in clients),
        failed=sum(c.failed for c in clients),
        lost=sum(c.lost for c in clients),
        repeated=servers.repeated_unsafe_count,
    )


async def main(config: TrafficConfig, commands: AsyncIterator[Command]) -> None:
    """Run the servers, and the clients after the command `Begin`, until the commands end."""
    servers = PhotoServers()
    send_report(Ready(await servers.start(config.servers)))
    clients = [Client(balancer, config) for balancer in config.balancers]
    client_tasks: list[asyncio.Task[None]] = []
    async for command in commands:
        if isinstance(command, Begin):
            client_tasks = [asyncio.get_running_loop().create_task(client.run()) for client in clients]
        if isinstance(command, Finish):
            for client in clients:
                client.is_stopping = True
            await asyncio.gather(*client_tasks)
        if isinstance(command, Measure | Finish):
            send_report(sum_totals(clients, servers))


if __name__ == "__main__":
    run_child(TrafficConfig, main)
