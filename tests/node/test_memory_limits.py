"""The memory that a balancer process takes while many clients leave their requests incomplete."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from dykeshift.node.config import MAX_CONNECTION_MEMORY_MB
from tests.node.stubs import StubServer, http_response, responds_with, run
from tests.node.test_program import balancer_process, connect

CLIENT_COUNT = 200
BYTES_PER_MB = 1 << 20
# Allocated once for many connections: lists of the event loop, the buffer of a read, free memory between.
SHARED_MEMORY_MB = 3.0

CHUNKED_HEAD = b"POST /api HTTP/1.1\r\nX-Class: send\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE_CHUNKED_BODY = b"ff00\r\n" + b"x" * 0xFF00 + b"\r\n0\r\n"
INCOMPLETE_REQUESTS = {
    "half of a large body": b"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65_000,
    "short fields": b"GET /api HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % n for n in range(60)),
    "too many short fields": b"GET /api HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % n for n in range(2_000)),
    "a long trailer": CHUNKED_HEAD + WHOLE_CHUNKED_BODY + b"T: " + b"t" * 190_000,
    "many trailers": CHUNKED_HEAD + WHOLE_CHUNKED_BODY + (b"T: " + b"t" * 8_000 + b"\r\n") * 20,
    "a long chunk extension": CHUNKED_HEAD + b"1;" + b"e" * 200_000,
}


def peak_memory_mb(process_id: int) -> float:
    """The largest resident memory of a process so far, with the pages of its program files."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) * 1024 / BYTES_PER_MB


@pytest.mark.parametrize("request_bytes", INCOMPLETE_REQUESTS.values(), ids=INCOMPLETE_REQUESTS)
def test_incomplete_requests_of_many_clients_stay_within_the_memory_of_their_connections(
    request_bytes: bytes, tmp_path: Path
) -> None:
    # Guards against: a process goes over its memory limit and is killed, by what clients have not finished.
    async def leave_incomplete(port: int) -> None:
        client = await connect(port)
        with suppress(ConnectionError):  # it is also sound to close before all has been sent
            client.writer.write(request_bytes)
            await client.writer.drain()
            assert b" 4" in await client.reader.readline()  # 4xx, at the latest when the time is over
        client.writer.close()

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            before_mb = peak_memory_mb(process.pid)
            await asyncio.gather(*(leave_incomplete(port) for _ in range(CLIENT_COUNT)))
            allowed_mb = CLIENT_COUNT * MAX_CONNECTION_MEMORY_MB + SHARED_MEMORY_MB
            assert peak_memory_mb(process.pid) - before_mb <= allowed_mb
            assert not stub.requests

    run(main())
