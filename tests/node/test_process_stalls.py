"""A process that is held up between reading its clock and writing.

What users saw: a few requests were forwarded after their clients had left. Order of events: an attempt was
about to be written; the process read its clock and got no processor time for over 0.1 s; its client closed
meanwhile; the request was written to a server all the same. Cause: the client's socket was asked first, and
the clock was read twice more between that look and the write.
Evidence: in a replayed run one balancer passed on nothing from 37.80 to 37.88 s, though servers had answered
it, so the faults include such holds. A hold at either of the two readings forwards the request in each run of
this test, a hold at an earlier reading does not.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
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
from tests.node.test_program import balancer_process, connect
from tests.node.test_standing_terms import Visitor, all_quiet, received, warm

Number = TypeVar("Number", int, float)

PATIENCE_MS = 600  # of the client, from when it sent its request
LONG_HOLD = 0.14  # seconds, a little less than a process may be held up
CLIENT_SLACK = 0.06  # seconds that a client waits beyond its time
HOLD = 0.12  # seconds: over the 0.1 s after which no attempt may begin for a client that has left


class ClockHold:
    """Holds the process at the chosen reading of its clock within the write of an attempt."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, reading: int, request_id: bytes, meanwhile: Callable[[], None]
    ) -> None:
        self.readings_left = reading
        self.request_id = request_id
        self.meanwhile = meanwhile  # what happens elsewhere while the process is held up
        self.in_write = self.held = False
        write = Attempt.write

        def write_attempt(attempt: Attempt, connection: Connection) -> bool:
            self.in_write = self.request_id in attempt.build_request(1)
            try:
                return write(attempt, connection)
            finally:
                self.in_write = False

        monkeypatch.setattr(Attempt, "write", write_attempt)
        monkeypatch.setattr(time, "monotonic_ns", self._reading(time.monotonic_ns))
        monkeypatch.setattr(upstream_module, "monotonic", self._reading(time.monotonic))
        monkeypatch.setattr(connection_module, "monotonic", self._reading(time.monotonic))

    def _reading(self, clock: Callable[[], Number]) -> Callable[[], Number]:
        def read() -> Number:
            now = clock()
            if self.in_write and not self.held:
                self.readings_left -= 1
                if not self.readings_left:
                    self.held = True
                    self.meanwhile()
                    time.sleep(HOLD)
            return now

        return read


@pytest.mark.parametrize("klass", ["check", "send"])
@pytest.mark.parametrize("reading", [1, 2, 3])
def test_no_attempt_is_written_for_a_client_that_left_while_the_process_was_held_up(
    reading: int, klass: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            await warm(balancer, stub)
            visitor = Visitor(balancer, http_request(klass, request_id="left"))
            hold = ClockHold(monkeypatch, reading, b"left", visitor.leave)
            await balancer.fetch(http_request("check", request_id="other"))
            await all_quiet(balancer)
            assert not hold.held or "left" not in received(stub)

    run(main())


@pytest.mark.parametrize("klass", ["check", "set", "send"])
@pytest.mark.parametrize("new", [False, True], ids=["kept", "new"])  # connection
def test_a_request_that_waited_through_a_hold_is_answered_in_its_clients_time(
    new: bool, klass: str, tmp_path: Path
) -> None:
    """A request's time ran from when it was read: after a hold its client had gone before the final answer.

    What users saw: one balancer gave over one request in 500 no final answer in its time. Order of events:
    a request reached a process that got no processor time for 0.14 s; it was read then, sent on, and its time
    taken to end 0.14 s later than it did; its client closed after its time and 0.06 s, without an answer, and
    a further attempt was begun after that. Evidence: in the replay that broke the rule all requests handed in
    from 25.80 to 25.87 s reached servers at 25.947 s, and those that found no answer there got none at all.
    """

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            caller = await connect(port)
            assert "200" in (await caller.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.005)  # it may take a moment to stop
            if new:  # taken by the system: it waits to be accepted
                caller.writer.close()
                caller = await connect(port)
            caller.writer.write(http_request(klass, deadline_ms=PATIENCE_MS))
            sent = time.monotonic()
            await asyncio.sleep(LONG_HOLD)
            process.send_signal(signal.SIGCONT)
            assert int((await read_message(caller.reader)).start_line.split()[1]) >= 500
            assert time.monotonic() - sent < PATIENCE_MS / 1000 + CLIENT_SLACK
            assert int(stub.requests[0].headers["x-deadline-ms"]) <= PATIENCE_MS - LONG_HOLD * 1000 + 25
            caller.writer.close()

    run(main())


@pytest.mark.parametrize("before", [0.05, 0.1])
def test_a_request_that_is_due_in_a_hold_is_answered_in_its_clients_time(
    before: float, tmp_path: Path
) -> None:
    """Its final answer left 5 ms before the end of its time, and 0.14 s later where the process was held up.

    In the replay that broke the rule one such request was due at 25.862 s, in a hold from 25.80 to 25.947 s.
    """

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            caller = await connect(port)
            caller.writer.write(http_request("check", deadline_ms=PATIENCE_MS))
            sent = time.monotonic()
            answered = asyncio.create_task(answered_at(caller))
            await asyncio.sleep(PATIENCE_MS / 1000 - before)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(LONG_HOLD)
            process.send_signal(signal.SIGCONT)
            assert await answered - sent < PATIENCE_MS / 1000 + CLIENT_SLACK
            caller.writer.close()

    run(main())


async def answered_at(caller: StubClient) -> float:
    """When the last byte of the final answer has come."""
    assert int((await read_message(caller.reader)).start_line.split()[1]) >= 500
    return time.monotonic()
