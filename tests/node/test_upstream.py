"""Outcomes of attempts by what the server sends, and the use and reuse of connections."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import pytest

from dykeshift.interface import LoadReport, Outcome, ServerEntry, ServerState
from dykeshift.node.listing import ListedServer
from dykeshift.node.upstream import Attempt, AttemptResult, IdleReuseStats, Pool
from tests.node.stubs import (
    Handler,
    StubServer,
    http_response,
    never_responds,
    resets_connection,
    responds_with,
    run,
    wait_until,
)

SECOND = 1_000_000_000
REQUEST = b"POST /api HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 5\r\n\r\nhello"


class RecordedAttempt:
    """An attempt that records its result."""

    def __init__(self, pool: Pool, server_id: int = 1, left_ns: int = 20 * SECOND) -> None:
        self.results: list[AttemptResult] = []
        self.attempt: Attempt = pool.start_attempt(
            server_id, lambda _: REQUEST, time.monotonic_ns() + left_ns, self.results.append
        )

    async def result(self) -> AttemptResult:
        await wait_until(lambda: bool(self.results))
        assert len(self.results) == 1
        return self.results[0]


def list_server(
    pool: Pool,
    server_id: int,
    address: tuple[str, int] = ("127.0.0.1", 9),
    started_at: int = 0,
    ready: bool = True,
    state: ServerState | None = None,
) -> None:
    """Apply an entry of the server list to the pool."""
    state = state or (ServerState.READY if ready else ServerState.DRAINING)
    entry = ServerEntry(server_id, zone=0, cell=0, kind=0, state=state, weight=1.0, started_at=started_at)
    pool.update_server(ListedServer(entry, f"{address[0]}:{address[1]}"))


def create_pool(
    address: tuple[str, int], limit: int = 10, connect_timeout: float = 5.0, keepalive: float = 60.0
) -> Pool:
    pool = Pool(asyncio.get_running_loop(), limit, connect_timeout, keepalive)
    pool.reuse_delay_s = 0.0  # test_reuse_delay.py tests the delay
    list_server(pool, 1, address, 0, True)
    return pool


CLOSE_DELIMITED_HEAD = b"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n"

INCOMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"


@pytest.mark.parametrize(
    ("handler", "outcome"),
    [
        (responds_with(http_response(b"body")), Outcome.OK),
        (responds_with(http_response(b"", "500 Internal Server Error")), Outcome.ERROR),
        (responds_with(http_response(b"", "500 Internal Server Error", X_Not_Run="1")), Outcome.ERROR),
        (responds_with(http_response(b"", "404 Not Found")), Outcome.ERROR),
        (responds_with(http_response(b"", "503 Service Unavailable", X_Not_Run="1")), Outcome.FULL),
        (responds_with(http_response(b"", "504 Gateway Timeout", X_Not_Run="1")), Outcome.FULL),
        (responds_with(http_response(b"", "503 Service Unavailable")), Outcome.ERROR),
        (responds_with(http_response(b"", "504 Gateway Timeout")), Outcome.ERROR),
        (responds_with(http_response(b"", "503 Service Unavailable", X_Not_Run="0")), Outcome.ERROR),
        (resets_connection, Outcome.RESET),
        (responds_with(b"", close=True), Outcome.RESET),
        (responds_with(INCOMPLETE_RESPONSE, close=True), Outcome.RESET),
        (responds_with(b"HTTP/1.1 200 OK\r\n\r\nno length", close=True), Outcome.RESET),
        (
            responds_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", close=True),
            Outcome.RESET,
        ),
        (responds_with(b"NONSENSE\r\n\r\n"), Outcome.RESET),
        (responds_with(http_response(b"x" * 70_000)), Outcome.RESET),
        (responds_with(CLOSE_DELIMITED_HEAD + b"body", close=True), Outcome.OK),
        (responds_with(CLOSE_DELIMITED_HEAD + b"x" * 70_000, close=True), Outcome.RESET),
        # The connection stays open, so that these would never end: they are rejected at once.
        (responds_with(b"HTTP/1.1 200 OK\r\n\r\nno length"), Outcome.RESET),
        (responds_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody"), Outcome.RESET),
        (responds_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody"), Outcome.RESET),
        *(
            (responds_with(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\nbody"), Outcome.RESET)
            for framing in (
                b"Content-Length: 4\r\nTransfer-Encoding: chunked",
                b"Transfer-Encoding: chunked\r\nContent-Length: 4",
                b"Content-Length: 4\r\nContent-Length: 5",
                b"Content-Length: -4",
                b"Content-Length: +4",
                b"Content-Length: four",
                b"Transfer-Encoding: gzip, chunked",
            )
        ),
        (responds_with(http_response(b"body").replace(b"\r\n", b"\n")), Outcome.RESET),
        (responds_with(b"\x80\x00\xff" * 100), Outcome.RESET),
        (responds_with(b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 200_000), Outcome.RESET),
    ],
)
def test_outcome_by_what_the_server_sends(handler: Handler, outcome: Outcome) -> None:
    async def main() -> None:
        stub = await StubServer(handler).start()
        recorded = RecordedAttempt(create_pool(stub.address))
        result = await recorded.result()
        assert result.outcome is outcome
        assert (result.response is not None and result.response.body == b"body") == (outcome is Outcome.OK)
        assert len(stub.requests) == 1

    run(main())


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" + http_response(b"body"),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    ],
)
def test_response_in_other_framing_is_complete(data: bytes) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(data)).start()
        result = await RecordedAttempt(create_pool(stub.address)).result()
        assert (
            result.outcome is Outcome.OK and result.response is not None and result.response.body == b"body"
        )

    run(main())


@pytest.mark.parametrize(("reset", "outcome"), [(False, Outcome.OK), (True, Outcome.RESET)])
def test_response_without_a_length_ends_with_its_connection_but_not_by_a_reset(
    reset: bool, outcome: Outcome
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(CLOSE_DELIMITED_HEAD + b"body")).start()
        recorded = RecordedAttempt(create_pool(stub.address))
        await wait_until(
            lambda: recorded.attempt.connection is not None and recorded.attempt.connection.body == b"body"
        )
        assert not recorded.results
        if reset:
            stub.writers[0].get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            stub.writers[0].transport.abort()
        else:
            stub.writers[0].close()
        result = await recorded.result()
        assert result.outcome is outcome and (result.response is not None) == (outcome is Outcome.OK)
        await wait_until(lambda: not recorded.attempt.pool.connection_count)

    run(main())


def test_refused_connection_is_a_failed_connect() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            assert (
                await RecordedAttempt(create_pool(free.getsockname())).result()
            ).outcome is Outcome.CONNECT_FAILED

    run(main())


def test_connect_timeout_is_a_failed_connect() -> None:
    async def main() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            clients = [socket.socket() for _ in range(4)]
            for client in clients:  # the first fills the accept queue, later ones get no response
                client.setblocking(False)
                client.connect_ex(listener.getsockname())
            pool = create_pool(listener.getsockname(), connect_timeout=0.1)
            assert (await RecordedAttempt(pool).result()).outcome is Outcome.CONNECT_FAILED
            assert pool.connection_count == 0
            for client in clients:
                client.close()

    run(main())


def test_connection_lost_before_the_request_is_written_is_a_failed_connect() -> None:
    """The server reads nothing and resets the connection while most of a long request is still unwritten."""

    async def main() -> None:
        request_started = asyncio.Event()

        async def reset_unread(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await request_started.wait()
            writer.transport.abort()

        server = await asyncio.start_server(reset_unread, "127.0.0.1", 0)
        results: list[AttemptResult] = []
        pool = create_pool(server.sockets[0].getsockname())
        attempt = pool.start_attempt(
            1, lambda _: b"x" * 50_000_000, time.monotonic_ns() + 20 * SECOND, results.append
        )
        await wait_until(lambda: attempt.connection is not None)
        request_started.set()
        await wait_until(lambda: bool(results))
        assert [result.outcome for result in results] == [Outcome.CONNECT_FAILED]

    run(main())


def test_timeout_closes_the_connection() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = create_pool(stub.address)
        recorded = RecordedAttempt(pool)
        await wait_until(lambda: len(stub.requests) == 1)
        recorded.attempt.abort(Outcome.TIMEOUT)
        assert (await recorded.result()).outcome is Outcome.TIMEOUT
        await wait_until(lambda: stub.closed_connections == 1 and pool.connection_count == 0)

    run(main())


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ('{"cpu_share":0.5,"failed_ps":2}', LoadReport(utilization=0.5, errors_per_s=2.0)),
        ('{"novel":1}', None),
        ("{", None),
        ("[1]", None),
        ('{"cpu_share":"high"}', None),
        ("[" * 9000, None),
    ],
)
def test_load_reports(text: str, report: LoadReport | None) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"", X_Load=text))).start()
        result = await RecordedAttempt(create_pool(stub.address)).result()
        assert (result.outcome, result.load_report) == (Outcome.OK, report)

    run(main())


# ---- connections ----


def test_idle_connection_is_reused() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        for _ in range(5):
            await RecordedAttempt(pool).result()
        assert len(stub.requests) == 5 and len(stub.writers) == 1 and pool.connection_count == 1

    run(main())


def test_connection_carries_one_request_at_a_time() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = create_pool(stub.address)
        first, second = RecordedAttempt(pool), RecordedAttempt(pool)
        await wait_until(lambda: len(stub.requests) == 2)
        assert len(stub.writers) == 2 and not first.results and not second.results

    run(main())


def test_connection_is_not_reused_after_connection_close() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"", Connection="close"))).start()
        pool = create_pool(stub.address)
        await RecordedAttempt(pool).result()
        await RecordedAttempt(pool).result()
        assert len(stub.writers) == 2

    run(main())


def test_second_response_to_one_request_is_not_taken_for_the_next() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"one") + http_response(b"two"))).start()
        pool = create_pool(stub.address)
        for _ in range(2):
            result = await RecordedAttempt(pool).result()
            assert result.response is not None and result.response.body == b"one"
        assert len(stub.writers) == 2

    run(main())


def test_late_second_response_is_not_taken_for_the_next() -> None:
    """The next attempt starts before the second response arrives.

    Nothing in a response identifies the request that it belongs to.
    """

    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"one"))).start()
        pool = create_pool(stub.address)
        pool.reuse_delay_s = 1.0
        await RecordedAttempt(pool).result()
        stub.handler = responds_with(http_response(b"two"))
        recorded = RecordedAttempt(pool)
        stub.writers[0].write(http_response(b"one again"))
        await wait_until(lambda: stub.closed_connections == 1)  # unexpected data: the connection is closed
        result = await recorded.result()
        assert result.response is not None and result.response.body == b"two"
        assert len(stub.writers) == 2 and pool.connection_count == 1

    run(main())


@pytest.mark.parametrize("change", ["none", "drains", "cancels"])
def test_attempt_waits_for_the_end_of_the_reuse_delay(change: str) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await RecordedAttempt(pool).result()
        pool.reuse_delay_s = 0.05
        recorded = RecordedAttempt(pool)
        if change == "drains":
            list_server(pool, 1, stub.address, 0, False)
        elif change == "cancels":
            recorded.attempt.abort(Outcome.CANCELLED)
        outcome = (await recorded.result()).outcome
        assert outcome is (Outcome.OK if change == "none" else Outcome.NOT_SENT)
        await wait_until(
            lambda: pool.connection_count == (change != "drains")
            and len(pool.upstreams[1].idle_connections) == pool.connection_count
        )
        assert len(stub.writers) == 1 and len(stub.requests) == 1 + (change == "none")

    run(main())


def test_close_is_detected_before_the_event_loop_reports_it() -> None:
    """The close has arrived, but the event loop has not read it yet: the request must not be written."""

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            pool = create_pool(server.getsockname())
            loop = asyncio.get_running_loop()
            recorded = RecordedAttempt(pool)
            peer, _ = await loop.sock_accept(server)
            await loop.sock_recv(peer, 4096)
            await loop.sock_sendall(peer, http_response())
            assert (await recorded.result()).outcome is Outcome.OK
            await wait_until(lambda: len(pool.upstreams[1].idle_connections) == 1)
            peer.close()
            recorded = RecordedAttempt(pool)  # in the same loop iteration
            peer, _ = await loop.sock_accept(server)
            assert (await loop.sock_recv(peer, 4096)).startswith(b"POST")
            await loop.sock_sendall(peer, http_response())
            assert (await recorded.result()).outcome is Outcome.OK
            peer.close()

    run(main())


def test_idle_connections_are_closed_before_the_keepalive_time_ends() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address, keepalive=0.05)
        await RecordedAttempt(pool).result()
        await wait_until(lambda: stub.closed_connections == 1)
        assert pool.connection_count == 0 and not pool.upstreams[1].idle_connections

    run(main())


def test_connections_do_not_exceed_the_limit() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = create_pool(stub.address, limit=3)
        attempts = [RecordedAttempt(pool) for _ in range(5)]
        results = [await recorded.result() for recorded in attempts[3:]]
        assert [result.outcome for result in results] == [Outcome.CONNECT_FAILED] * 2
        await wait_until(lambda: len(stub.requests) == 3)
        assert pool.connection_count == 3

    run(main())


def test_idle_connection_is_closed_to_make_room_at_the_limit() -> None:
    async def main() -> None:
        one, other = (
            await StubServer(responds_with(http_response())).start(),
            await StubServer(responds_with(http_response())).start(),
        )
        pool = create_pool(one.address, limit=1)
        list_server(pool, 2, other.address, 0, True)
        for server_id in (1, 2, 1, 2):
            assert (await RecordedAttempt(pool, server_id).result()).outcome is Outcome.OK
            await wait_until(lambda: pool.connection_count == 1)

    run(main())


def test_connections_last_used_before_a_timed_out_request_are_closed() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = create_pool(stub.address)
        attempts = [RecordedAttempt(pool) for _ in range(3)]
        await wait_until(lambda: len(stub.requests) == 3)
        stub.writers[0].write(http_response())  # before the request that times out is sent
        await attempts[0].result()
        lost = RecordedAttempt(pool)  # reuses this connection
        await wait_until(lambda: len(stub.requests) == 4)
        stub.writers[1].write(http_response())
        await attempts[1].result()
        before = pool.upstreams[1].idle_connections[0]
        hung = RecordedAttempt(pool)
        await wait_until(lambda: len(stub.requests) == 5)
        stub.writers[2].write(http_response())
        await attempts[2].result()
        since = pool.upstreams[1].idle_connections[0]
        hung.attempt.abort(Outcome.TIMEOUT)
        await hung.result()
        # `since` has had a response after the request that timed out was sent.
        assert pool.upstreams[1].idle_connections == [since] and before is not since
        late = RecordedAttempt(pool)
        await wait_until(lambda: len(stub.requests) == 6)
        late.attempt.abort(Outcome.CANCELLED)
        pool.close_unused_since(pool.upstreams[1], time.monotonic())
        assert not pool.upstreams[1].idle_connections
        lost.attempt.abort(Outcome.CANCELLED)

    run(main())


def test_connect_that_times_out_is_subtracted_from_the_count_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection is established just as the connect times out.

    Both its loss and the timeout are reported then.
    """

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = create_pool(stub.address)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_then_time_out(factory: Callable[[], asyncio.Protocol], *address: object) -> None:
            transport, _ = await connect(factory, *address)  # type: ignore[call-overload]
            transport.abort()
            await asyncio.sleep(0.01)
            raise TimeoutError

        class TimingOutLoop:
            create_connection = staticmethod(connect_then_time_out)

            def __getattr__(self, name: str) -> object:
                return getattr(loop, name)

        pool.loop = TimingOutLoop()  # type: ignore[assignment]
        assert (await RecordedAttempt(pool).result()).outcome is Outcome.CONNECT_FAILED
        assert pool.connection_count == 0

    run(main())


def test_reuse_stops_from_the_idle_time_on_at_which_connections_broke() -> None:
    """Servers dropped idle connections after a fraction of the keep-alive time and reset the next request."""
    idle_reuse_stats = IdleReuseStats()
    for _ in range(30):
        idle_reuse_stats.record(0.01, False)
        idle_reuse_stats.record(0.2, True)
    assert idle_reuse_stats.may_reuse(0.01) and idle_reuse_stats.may_reuse(0.1)
    assert not idle_reuse_stats.may_reuse(0.2) and not idle_reuse_stats.may_reuse(5.0)
    for _ in range(60):
        idle_reuse_stats.decay()
    assert idle_reuse_stats.may_reuse(0.2)  # tried again


def test_idle_connection_is_replaced_if_others_broke_at_its_idle_time() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await RecordedAttempt(pool).result()
        stub.handler = resets_connection
        for _ in range(3):
            assert (await RecordedAttempt(pool).result()).outcome is Outcome.RESET
            stub.handler = responds_with(http_response())
            await RecordedAttempt(pool).result()
            stub.handler = resets_connection
        assert max(pool.idle_reuse_stats.broken_counts) > 0  # counted from real resets
        pool.idle_reuse_stats.broken_counts[0] = 10.0
        stub.handler = responds_with(http_response())
        await wait_until(lambda: len(pool.upstreams[1].idle_connections) == 1)
        old = pool.upstreams[1].idle_connections[0]
        assert (await RecordedAttempt(pool).result()).outcome is Outcome.OK
        assert old.transport is None or old.transport.is_closing()

    run(main())


# ---- changes before the request is written ----


def start_drain(pool: Pool, address: tuple[str, int], _: RecordedAttempt) -> None:
    list_server(pool, 1, address, 0, False)


def remove_server(pool: Pool, _: tuple[str, int], __: RecordedAttempt) -> None:
    list_server(pool, 1, state=ServerState.GONE)


def restart_server(pool: Pool, _: tuple[str, int], __: RecordedAttempt) -> None:
    list_server(pool, 1, ("127.0.0.1", 9), 5, True)


def cancel_attempt(_: Pool, __: tuple[str, int], recorded: RecordedAttempt) -> None:
    recorded.attempt.abort(Outcome.CANCELLED)


def expire_attempt(_: Pool, __: tuple[str, int], recorded: RecordedAttempt) -> None:
    recorded.attempt.deadline_ns = 0


@pytest.mark.parametrize(
    "change", [start_drain, remove_server, restart_server, cancel_attempt, expire_attempt]
)
def test_not_sent_after_a_change_during_the_connect(
    change: Callable[[Pool, tuple[str, int], RecordedAttempt], None],
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        recorded = RecordedAttempt(pool)
        change(pool, stub.address, recorded)
        assert (await recorded.result()).outcome is Outcome.NOT_SENT
        await wait_until(lambda: not pool.connect_tasks)
        assert not stub.requests

    run(main())


def test_draining_server_gets_no_request_and_its_idle_connections_are_closed() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await RecordedAttempt(pool).result()
        list_server(pool, 1, stub.address, 0, False)
        assert (await RecordedAttempt(pool).result()).outcome is Outcome.NOT_SENT
        await wait_until(lambda: stub.closed_connections == 1 and pool.connection_count == 0)
        assert len(stub.requests) == 1

    run(main())


def test_attempt_does_not_end_within_the_call_that_starts_it() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = create_pool(stub.address)
        await RecordedAttempt(pool).result()
        late = RecordedAttempt(pool, left_ns=-1)  # on an idle connection, which stays usable
        assert not late.results
        assert (await late.result()).outcome is Outcome.NOT_SENT
        assert (await RecordedAttempt(pool).result()).outcome is Outcome.OK
        assert len(stub.requests) == 2 and len(stub.writers) == 1

    run(main())


def test_attempt_at_an_unknown_server_is_not_sent() -> None:
    async def main() -> None:
        pool = create_pool(("127.0.0.1", 9))
        assert (await RecordedAttempt(pool, server_id=77).result()).outcome is Outcome.NOT_SENT

    run(main())
