"""The delay before a connection is reused, and the extra connections that avoid long waits.

After a response a connection is not reused for a short time, because a server may respond twice to one
request and the second response would be taken for that of the next request.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any
from unittest.mock import Mock

import pytest

from dykeshift.interface import Outcome
from dykeshift.node import connection, upstream
from dykeshift.node.sockets import acknowledge_received_bytes
from dykeshift.node.upstream import Pool
from tests.node.stubs import Message, StubServer, http_response, responds_with, run, wait_until
from tests.node.test_upstream import RecordedAttempt, create_pool

LONG_DELAY_S = 3600.0  # longer than any test: the connection is not reused within it


class ManualLoop:
    """Replaces a pool's event loop by one whose clock lags; `fire_timer` fires its timers.

    The clock of a busy event loop lags behind the real one, so that its timers may fire early.
    """

    def __init__(self, pool: Pool) -> None:
        self.loop = pool.loop
        self.clock_lag_s = 0.0
        self.timers: list[tuple[Any, ...]] = []
        pool.loop = self  # type: ignore[assignment]

    def time(self) -> float:
        return self.loop.time() - self.clock_lag_s

    def call_later(self, delay: float, callback: Any, *args: Any) -> None:
        self.timers.append((callback, *args))

    def fire_timer(self) -> None:
        callback, *args = self.timers.pop()
        callback(*args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


async def open_delayed_connections(pool: Pool, count: int = 1) -> None:
    """Open this many connections, none of which may be reused within LONG_DELAY_S."""
    attempts = [RecordedAttempt(pool) for _ in range(count)]
    for recorded in attempts:
        await recorded.result()
    pool.reuse_delay_s, pool.attempts_since_extra_connection = LONG_DELAY_S, 0


def test_reuse_delay_does_not_depend_on_the_clock_of_the_event_loop() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        pool.reuse_delay_s = LONG_DELAY_S
        loop = ManualLoop(pool)
        loop.clock_lag_s = 2 * LONG_DELAY_S  # the response is read late in a long loop iteration
        await RecordedAttempt(pool).result()
        loop.clock_lag_s = 0.0
        recorded = RecordedAttempt(pool)
        assert recorded.attempt.connection is None and len(loop.timers) == 1

    run(main())


def test_timer_that_fires_early_does_not_shorten_the_reuse_delay() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        loop = ManualLoop(pool)
        recorded = RecordedAttempt(pool)
        for _ in range(3):
            loop.fire_timer()
            assert recorded.attempt.connection is None and len(loop.timers) == 1
        pool.reuse_delay_s = 0.0
        loop.fire_timer()
        assert recorded.attempt.connection is not None
        assert (await recorded.result()).outcome is Outcome.OK and len(stub.writers) == 1

    run(main())


def test_connection_closed_during_the_delay_is_replaced_by_a_new_one() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        loop = ManualLoop(pool)
        recorded = RecordedAttempt(pool)
        stub.writers[0].close()
        await wait_until(lambda: pool.connection_count == 0)
        loop.fire_timer()
        assert (await recorded.result()).outcome is Outcome.OK and len(stub.writers) == 2

    run(main())


def test_extra_connection_is_opened_instead_of_a_long_wait() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        # The attempt itself is the last one that is needed.
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION - 1
        assert (await RecordedAttempt(pool).result()).outcome is Outcome.OK
        assert len(stub.writers) == 2

    run(main())


def test_no_extra_connection_is_opened_for_a_short_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "MAX_REUSE_WAIT_S", 2 * LONG_DELAY_S)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        waiting = RecordedAttempt(pool)
        assert not pool.connect_tasks and waiting.attempt.connection is None and pool.connection_count == 1

    run(main())


def test_extra_connections_are_limited_to_a_share_of_the_attempts() -> None:
    """Every attempt would have to wait for long; one in ATTEMPTS_PER_EXTRA_CONNECTION need not."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        count = 4 * upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        pool = create_pool(stub.address, limit=10 * count)
        await open_delayed_connections(pool, count)
        before = len(stub.writers)
        attempts = [RecordedAttempt(pool) for _ in range(count)]
        assert len(pool.connect_tasks) == count // upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        await wait_until(
            lambda: sum(len(recorded.results) for recorded in attempts)
            == count // upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        )
        assert len(stub.writers) == before + count // upstream.ATTEMPTS_PER_EXTRA_CONNECTION

    run(main())


def test_no_extra_connection_is_opened_at_the_connection_limit() -> None:
    """No other connection is closed to make room for it."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address, limit=1)
        await open_delayed_connections(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        RecordedAttempt(pool)
        assert not pool.connect_tasks and pool.connection_count == 1

    run(main())


def test_second_response_on_the_old_connection_does_not_reach_the_attempt_on_the_extra_one() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"one"))).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        request_received = asyncio.Event()

        async def record_request(_: StubServer, __: Message, ___: asyncio.StreamWriter) -> None:
            request_received.set()

        stub.handler = record_request
        recorded = RecordedAttempt(pool)
        await request_received.wait()
        stub.writers[0].write(http_response(b"one again"))
        await wait_until(lambda: stub.closed_connections == 1)  # unexpected data: the connection is closed
        assert not recorded.results
        stub.writers[1].write(http_response(b"two"))
        result = await recorded.result()
        assert result.response is not None and result.response.body == b"two"

    run(main())


def test_extra_connection_has_a_reuse_delay_too() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        await RecordedAttempt(pool).result()
        waiting = RecordedAttempt(pool)
        assert waiting.attempt.connection is None and not pool.connect_tasks
        stub.writers[1].write(http_response(b"again"))
        await wait_until(lambda: stub.closed_connections == 1)
        assert not waiting.results and len(stub.requests) == 2

    run(main())


def test_second_response_that_the_servers_system_holds_back_does_not_answer_the_next_request() -> None:
    # Guards against: an unsafe request runs twice, or a client gets the answer to another request (review/6).
    async def respond_twice(server: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
        server_socket = writer.get_extra_info("socket")
        # Without TCP_NODELAY, a second small write is held back until the first has been acknowledged.
        server_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        count = len(server.requests)
        # Acknowledgements are delayed only after some requests and responses in turn on the connection.
        for _ in range(2 if count % 10 == 0 else 1):
            # Not through the writer, which would send both in one segment.
            os.write(server_socket.fileno(), http_response(b"%d" % count))

    async def main() -> None:
        stub = await StubServer(respond_twice).start()
        pool = create_pool(stub.address)
        pool.reuse_delay_s = upstream.REUSE_DELAY_S
        for count in range(1, 32):
            result = await RecordedAttempt(pool).result()
            assert result.response is not None and result.response.body == b"%d" % count

    run(main())


def test_connection_whose_response_cannot_be_acknowledged_at_once_is_not_reused() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        with pytest.MonkeyPatch.context() as patch:
            refuse = Mock(side_effect=OSError(errno.ENOMEM, "simulated"))
            patch.setattr(connection, "acknowledge_received_bytes", refuse)
            assert (await RecordedAttempt(pool).result()).outcome is Outcome.OK
        await wait_until(lambda: stub.closed_connections == 1)
        for _ in range(2):
            assert (await RecordedAttempt(pool).result()).outcome is Outcome.OK
        assert len(stub.writers) == 2

    run(main())


@pytest.mark.parametrize(
    "error", [errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EINVAL, errno.ENOSYS, errno.EPERM]
)
def test_system_without_the_option_to_acknowledge_at_once_is_no_failure(error: int) -> None:
    acknowledge_received_bytes(Mock(setsockopt=Mock(side_effect=OSError(error, "simulated"))))


def test_drain_during_the_delay_ends_the_attempt_unsent() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await open_delayed_connections(pool)
        loop = ManualLoop(pool)
        recorded = RecordedAttempt(pool)
        pool.upstreams[1].accepts_requests = False
        pool.reuse_delay_s = 0.0
        loop.fire_timer()
        assert (await recorded.result()).outcome is Outcome.NOT_SENT
        await wait_until(lambda: stub.closed_connections == 1)
        assert len(stub.requests) == 1

    run(main())
