"""Stand-in photo servers of a soak run.

They write raw HTTP to streams, so that they can hang, reset a connection, respond twice or omit the length.
"""

from __future__ import annotations

import asyncio
import enum
import socket
import time
from contextlib import suppress
from random import Random

from emulator.faults.proxy import NO_STREAM_FAULTS, FaultProxy, StreamFaults
from emulator.soak.connections import CONNECTION_ERRORS_OR_CANCELLED
from emulator.soak.records import AttemptOutcome, AttemptRecord, RunRecords, ServerRecord

HANG_DURATION_S = 30.0  # longer than any client timeout
SECOND_RESPONSE_DELAY_S = 0.002  # after the first response
MAX_SECOND_RESPONSE_DELAY_S = 0.004  # a later second response is not sent
SLOW_WORK_MULTIPLE = 6.0  # work time of a slow server, as a multiple of the usual one


class ServerMode(enum.Enum):
    """How a server treats requests."""

    NORMAL = "sound"
    HANGING = "hanging"
    SLOW = "slow"
    RESETTING = "resetting"
    RESPONDING_TWICE = "twice"
    NO_CONTENT_LENGTH = "without length"
    REJECTING = "full"


class Server:
    """A server process that records every request it receives."""

    def __init__(
        self,
        name: str,
        mean_work_s: float,
        warm_requests_per_s: float,
        network_faults: tuple[StreamFaults, StreamFaults],
        run_records: RunRecords,
        random: Random,
    ) -> None:
        self.name = name
        self.mean_work_s = mean_work_s
        self.warm_requests_per_s = warm_requests_per_s  # its capacity
        self.network_faults = network_faults  # of requests, of responses
        self.run_records = run_records
        self.random = random
        self.mode = ServerMode.NORMAL
        self.draining = False
        self.address = ("", 0)
        self.started_unix_ms = 0
        self._server: asyncio.Server | None = None
        self._proxy: FaultProxy | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, cold: bool) -> None:
        """Start listening. A cold server has just started, any other started long ago."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        if self.network_faults != (NO_STREAM_FAULTS, NO_STREAM_FAULTS):
            self._proxy = FaultProxy(self.address, self.random, *self.network_faults)
            await self._proxy.listen()
            self.address = self._proxy.address
        record = ServerRecord(self.name, time.monotonic() if cold else None, self.warm_requests_per_s)
        self.started_unix_ms = time.time_ns() // 1_000_000 if cold else 0
        self.run_records.servers[self.name] = record

    def stop(self) -> None:
        """Stop like a killed process: open connections are reset and new ones refused."""
        if self._proxy is not None:
            self._proxy.stop()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        if self._proxy is None:  # a proxy would acknowledge late, and so delay a second response too much
            # As by default: a second response waits in this system until the first has been acknowledged.
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        try:
            with suppress(*CONNECTION_ERRORS_OR_CANCELLED):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        attempt = await self._read_request(await reader.readexactly(1), reader)
        return await self._respond(attempt, reader, writer)

    async def _read_request(self, first_byte: bytes, reader: asyncio.StreamReader) -> AttemptRecord:
        """Read and record the request that starts with this byte."""
        first_byte_at = time.monotonic()
        head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in head[1:])}
        await reader.readexactly(int(headers.get("content-length", "0")))
        now = time.monotonic()
        request_id = headers.get("x-request-id", "")
        attempt = AttemptRecord(
            request_id, self.name, first_byte_at, now, int(headers.get("x-deadline-ms", "0"))
        )
        self.run_records.attempts.append(attempt)
        attempt.body = f"{request_id} by {self.name} no. {len(self.run_records.attempts)}".encode()
        return attempt

    async def _respond(
        self, attempt: AttemptRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        mode = self.mode
        if mode is ServerMode.REJECTING or self.draining:
            self._finish(attempt, AttemptOutcome.REJECTED)
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        if not await self._work(mode, reader):
            self._finish(attempt, AttemptOutcome.CANCELLED)
            return False
        if mode is ServerMode.RESETTING:
            self._finish(attempt, AttemptOutcome.RESET)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Le")
            return False
        self._finish(attempt, AttemptOutcome.ANSWERED)
        if mode is ServerMode.NO_CONTENT_LENGTH:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + attempt.body)
            writer.close()
            await writer.wait_closed()
            return False
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(attempt.body), attempt.body)
        writer.write(response)
        if mode is ServerMode.RESPONDING_TWICE and self.random.random() < 0.2:
            await self._respond_again(response, writer)
        return True

    async def _respond_again(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        """Respond a second time, within a few milliseconds.

        A balancer cannot recognize a later second response: by then it may have sent another request on
        the connection.
        """
        first_response_at = time.monotonic()
        if self._proxy is None:  # the proxy could delay the second response further
            await asyncio.sleep(SECOND_RESPONSE_DELAY_S)
        if time.monotonic() - first_response_at < MAX_SECOND_RESPONSE_DELAY_S:
            writer.write(response)

    async def _work(self, mode: ServerMode, reader: asyncio.StreamReader) -> bool:
        """Work on a request; return False if the balancer cancels it meanwhile."""
        work_s = self.mean_work_s * self.random.uniform(0.3, 1.7)
        if mode is ServerMode.HANGING:
            work_s = HANG_DURATION_S
        elif mode is ServerMode.SLOW:
            work_s *= SLOW_WORK_MULTIPLE
        try:
            async with asyncio.timeout(work_s):
                # A balancer sends nothing more before it has the response: more bytes are another request.
                if unexpected_byte := await reader.read(1):
                    await self._read_request(unexpected_byte, reader)
        except TimeoutError:
            return True
        return False

    @staticmethod
    def _finish(attempt: AttemptRecord, outcome: AttemptOutcome) -> None:
        attempt.outcome, attempt.ended_at = outcome, time.monotonic()
