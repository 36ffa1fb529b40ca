"""Stalls, in which the process gets no processor time, around reading its clock, input and deadlines.

Guards against forwarding requests whose clients have left. An attempt was about to be written; the process
read its clock and stalled for more than 0.1 s, and the client closed its connection meanwhile. The request
was still written to a server, because the client's socket was checked first and the clock was read twice
between that check and the write. A stall at either of these readings forwarded the request in each run of
this test; a stall at an earlier reading did not.

Such stalls are among the injected faults: in a replayed run one balancer forwarded nothing from 37.80 to
37.88 s, although servers had responded to it.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TypeVar

import pytest

from dykeshift.node import connection as connection_module
from dykeshift.node import upstream as upstream_module
from dykeshift.node.connection import Connection
from dykeshift.node.upstream import Attempt
from tests.node.stubs import (
    StubClient,
    StubServer,
    http_request,
    http_response,
    never_responds,
    read_message,
    responds_with,
    run,
    running_balancer,
)
from tests.node.test_disconnects_and_long_lists import (
    EACH_DEPARTURE,
    BlockingClient,
    Departure,
    received_request_ids,
    wait_until_idle,
    warm_up,
)
from tests.node.test_program import balancer_process, connect
from tests.node.test_server import status

Number = TypeVar("Number", int, float)

CLIENT_TIMEOUT_MS = 600  # from when the client sent its request
LONG_STALL_S = 0.14  # a little less than the longest allowed stall of 0.15 s
CLIENT_GRACE_S = 0.06  # a client waits this long beyond its timeout
STALL_S = 0.12  # more than 0.1 s, after which no attempt may begin for a client that has left


class ClockStall:
    """Stalls the process at the chosen reading of its clock while it writes an attempt."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        reading_number: int,
        request_id: bytes,
        during_stall: Callable[[], None],
    ) -> None:
        self.readings_left = reading_number
        self.request_id = request_id
        self.during_stall = during_stall  # called at the start of the stall
        self.is_writing = self.has_stalled = False
        write = Attempt.write

        def write_attempt(attempt: Attempt, connection: Connection) -> bool:
            self.is_writing = self.request_id in attempt.build_request(1)
            try:
                return write(attempt, connection)
            finally:
                self.is_writing = False

        monkeypatch.setattr(Attempt, "write", write_attempt)
        monkeypatch.setattr(time, "monotonic_ns", self._stalling_clock(time.monotonic_ns))
        monkeypatch.setattr(upstream_module, "monotonic", self._stalling_clock(time.monotonic))
        monkeypatch.setattr(connection_module, "monotonic", self._stalling_clock(time.monotonic))

    def _stalling_clock(self, clock: Callable[[], Number]) -> Callable[[], Number]:
        def read() -> Number:
            now = clock()
            if self.is_writing and not self.has_stalled:
                self.readings_left -= 1
                if not self.readings_left:
                    self.has_stalled = True
                    self.during_stall()
                    time.sleep(STALL_S)
            return now

        return read


@EACH_DEPARTURE
@pytest.mark.parametrize("class_name", ["check", "send"])
@pytest.mark.parametrize("reading_number", [1, 2, 3])
def test_no_attempt_is_written_for_a_client_that_left_during_a_stall(
    reading_number: int, class_name: str, departure: Departure, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            await warm_up(balancer, stub)
            client = BlockingClient(balancer, http_request(class_name, request_id="left"))
            stall = ClockStall(monkeypatch, reading_number, b"left", partial(client.disconnect, departure))
            await balancer.fetch(http_request("check", request_id="other"))
            await wait_until_idle(balancer)
            assert not stall.has_stalled or "left" not in received_request_ids(stub)

    run(main())


@pytest.mark.parametrize("class_name", ["check", "set", "send"])
@pytest.mark.parametrize("is_new_connection", [False, True], ids=["kept", "new"])
def test_request_that_arrives_in_a_stall_is_answered_within_its_client_timeout(
    is_new_connection: bool, class_name: str, tmp_path: Path
) -> None:
    """Guards against counting a request's timeout from when it was read, instead of from its arrival.

    A request that arrived in a stall of 0.14 s was read after it, and its timeout was taken to end 0.14 s
    too late. The client closed 0.06 s after its timeout without a final response, and another attempt was
    started after that. One balancer answered more than one request in 500 too late in this way. In a replay,
    all requests sent from 25.80 to 25.87 s reached servers at 25.947 s, and those without a response there
    got none.
    """

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            client = await connect(port)
            assert "200" in (await client.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.005)  # the process may take a moment to stop
            if is_new_connection:  # accepted by the kernel; it waits in the backlog
                client.writer.close()
                client = await connect(port)
            client.writer.write(http_request(class_name, deadline_ms=CLIENT_TIMEOUT_MS))
            sent = time.monotonic()
            await asyncio.sleep(LONG_STALL_S)
            process.send_signal(signal.SIGCONT)
            assert int((await read_message(client.reader)).start_line.split()[1]) >= 500
            assert time.monotonic() - sent < CLIENT_TIMEOUT_MS / 1000 + CLIENT_GRACE_S
            assert (
                int(stub.requests[0].headers["x-deadline-ms"]) <= CLIENT_TIMEOUT_MS - LONG_STALL_S * 1000 + 25
            )
            client.writer.close()

    run(main())


def test_a_pause_of_the_start_does_not_shorten_the_time_of_the_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dating the first requests to before the process listened, when its start was held up.

    The garbage collection at the end of a start took 0.1 s: a request sent after that, with a timeout of
    0.3 s, failed after 0.19 s.
    """
    monkeypatch.setattr(gc, "collect", lambda: time.sleep(LONG_STALL_S))

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub, discovery_answers=False) as balancer:
            sent = time.monotonic()
            assert status(await balancer.fetch(http_request("send", deadline_ms=300))) >= 500
            assert time.monotonic() - sent >= 0.2

    run(main())


@pytest.mark.parametrize("stall_before_deadline_s", [0.05, 0.1])
def test_request_due_in_a_stall_is_answered_within_its_client_timeout(
    stall_before_deadline_s: float, tmp_path: Path
) -> None:
    """Guards against leaving too little time for the final response when the process stalls.

    The response was sent only 5 ms before the client timeout, and 0.14 s later if the process stalled then.
    In a replay, one such request was due at 25.862 s, during a stall from 25.80 to 25.947 s.
    """

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            client = await connect(port)
            client.writer.write(http_request("check", deadline_ms=CLIENT_TIMEOUT_MS))
            sent = time.monotonic()
            answered = asyncio.create_task(read_response_time(client))
            await asyncio.sleep(CLIENT_TIMEOUT_MS / 1000 - stall_before_deadline_s)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(LONG_STALL_S)
            process.send_signal(signal.SIGCONT)
            assert await answered - sent < CLIENT_TIMEOUT_MS / 1000 + CLIENT_GRACE_S
            client.writer.close()

    run(main())


async def read_response_time(client: StubClient) -> float:
    """Return the time at which the last byte of the final response has arrived."""
    assert int((await read_message(client.reader)).start_line.split()[1]) >= 500
    return time.monotonic()
