"""Each row of the protocol's table of outcomes, and when a connection may be used."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import pytest

from dykeshift.interface import LoadReport, Outcome, ServerEntry, ServerState
from dykeshift.node.listing import ListedServer
from dykeshift.node.upstream import Attempt, AttemptResult, Pool, IdleReuseStats
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


class Shot:
    """One attempt and its end."""

    def __init__(self, pool: Pool, number: int = 1, left: int = 20 * SECOND) -> None:
        self.ends: list[AttemptResult] = []
        self.attempt: Attempt = pool.start_attempt(
            number, lambda _: REQUEST, time.monotonic_ns() + left, self.ends.append
        )

    async def end(self) -> AttemptResult:
        await wait_until(lambda: bool(self.ends))
        assert len(self.ends) == 1
        return self.ends[0]


def put(
    pool: Pool,
    number: int,
    address: tuple[str, int] = ("127.0.0.1", 9),
    started: int = 0,
    ready: bool = True,
    state: ServerState | None = None,
) -> None:
    """What the list says of one upstream."""
    state = state or (ServerState.READY if ready else ServerState.DRAINING)
    entry = ServerEntry(number, zone=0, cell=0, kind=0, state=state, weight=1.0, started_at=started)
    pool.update_server(ListedServer(entry, f"{address[0]}:{address[1]}"))


def make_pool(
    address: tuple[str, int], limit: int = 10, connect_timeout: float = 5.0, keepalive: float = 60.0
) -> Pool:
    pool = Pool(asyncio.get_running_loop(), limit, connect_timeout, keepalive)
    pool.reuse_delay_s = 0.0  # used again at once: how long they rest has a test of its own
    put(pool, 1, address, 0, True)
    return pool


TO_END = b"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n"

HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"


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
        (responds_with(HALF, close=True), Outcome.RESET),
        (responds_with(b"HTTP/1.1 200 OK\r\n\r\nno length", close=True), Outcome.RESET),
        (
            responds_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", close=True),
            Outcome.RESET,
        ),
        (responds_with(b"NONSENSE\r\n\r\n"), Outcome.RESET),
        (responds_with(http_response(b"x" * 70_000)), Outcome.RESET),
        (responds_with(TO_END + b"body", close=True), Outcome.OK),
        (responds_with(TO_END + b"x" * 70_000, close=True), Outcome.RESET),
        # The connection stays open, and nothing on it would ever end these: not waited for.
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
def test_what_comes_back(handler: Handler, outcome: Outcome) -> None:
    async def main() -> None:
        stub = await StubServer(handler).start()
        shot = Shot(make_pool(stub.address))
        end = await shot.end()
        assert end.outcome is outcome
        assert (end.response is not None and end.response.body == b"body") == (outcome is Outcome.OK)
        assert len(stub.requests) == 1

    run(main())


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" + http_response(b"body"),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    ],
)
def test_a_whole_answer_in_other_framing(data: bytes) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(data)).start()
        end = await Shot(make_pool(stub.address)).end()
        assert end.outcome is Outcome.OK and end.response is not None and end.response.body == b"body"

    run(main())


@pytest.mark.parametrize(("reset", "outcome"), [(False, Outcome.OK), (True, Outcome.RESET)])
def test_an_answer_without_a_length_ends_with_its_connection_unless_by_a_reset(
    reset: bool, outcome: Outcome
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(TO_END + b"body")).start()
        shot = Shot(make_pool(stub.address))
        await wait_until(
            lambda: shot.attempt.connection is not None and shot.attempt.connection.body == b"body"
        )
        assert not shot.ends
        if reset:
            stub.writers[0].get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            stub.writers[0].transport.abort()
        else:
            stub.writers[0].close()
        end = await shot.end()
        assert end.outcome is outcome and (end.response is not None) == (outcome is Outcome.OK)
        await wait_until(lambda: not shot.attempt.pool.connection_count)

    run(main())


def test_a_refused_connection_never_ran() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            assert (await Shot(make_pool(free.getsockname())).end()).outcome is Outcome.CONNECT_FAILED

    run(main())


def test_a_connection_that_never_comes_up_never_ran() -> None:
    async def main() -> None:
        with socket.socket() as deaf:
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            fill = [socket.socket() for _ in range(4)]
            for one in fill:  # its queue is full from the first of these on; later ones hear nothing
                one.setblocking(False)
                one.connect_ex(deaf.getsockname())
            pool = make_pool(deaf.getsockname(), connect_timeout=0.1)
            assert (await Shot(pool).end()).outcome is Outcome.CONNECT_FAILED
            assert pool.connection_count == 0
            for one in fill:
                one.close()

    run(main())


def test_broken_before_the_last_byte_is_written_never_ran() -> None:
    """The peer reads nothing and resets while most of a long request waits to be written."""

    async def main() -> None:
        gate = asyncio.Event()

        async def deaf(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await gate.wait()
            writer.transport.abort()

        server = await asyncio.start_server(deaf, "127.0.0.1", 0)
        ends: list[AttemptResult] = []
        pool = make_pool(server.sockets[0].getsockname())
        attempt = pool.start_attempt(
            1, lambda _: b"x" * 50_000_000, time.monotonic_ns() + 20 * SECOND, ends.append
        )
        await wait_until(lambda: attempt.connection is not None)
        gate.set()
        await wait_until(lambda: bool(ends))
        assert [end.outcome for end in ends] == [Outcome.CONNECT_FAILED]

    run(main())


def test_silence_times_out_when_the_balancer_stops_waiting() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = make_pool(stub.address)
        shot = Shot(pool)
        await wait_until(lambda: len(stub.requests) == 1)
        shot.attempt.abort(Outcome.TIMEOUT)
        assert (await shot.end()).outcome is Outcome.TIMEOUT
        await wait_until(
            lambda: stub.closed_connections == 1 and pool.connection_count == 0
        )  # given up by closing

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
        end = await Shot(make_pool(stub.address)).end()
        assert (end.outcome, end.load_report) == (Outcome.OK, report)

    run(main())


# ---- connections ----


def test_a_warm_connection_is_used_again() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        for _ in range(5):
            await Shot(pool).end()
        assert len(stub.requests) == 5 and len(stub.writers) == 1 and pool.connection_count == 1

    run(main())


def test_one_request_at_a_time_on_a_connection() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = make_pool(stub.address)
        first, second = Shot(pool), Shot(pool)
        await wait_until(lambda: len(stub.requests) == 2)
        assert len(stub.writers) == 2 and not first.ends and not second.ends

    run(main())


def test_a_connection_that_says_close_is_not_used_again() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"", Connection="close"))).start()
        pool = make_pool(stub.address)
        await Shot(pool).end()
        await Shot(pool).end()
        assert len(stub.writers) == 2

    run(main())


def test_a_second_answer_to_one_request_is_not_taken_for_the_next() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"one") + http_response(b"two"))).start()
        pool = make_pool(stub.address)
        for _ in range(2):
            end = await Shot(pool).end()
            assert end.response is not None and end.response.body == b"one"
        assert len(stub.writers) == 2

    run(main())


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next() -> None:
    """The next attempt is there before it comes, and nothing in an answer tells whose it is."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"one"))).start()
        pool = make_pool(stub.address)
        pool.reuse_delay_s = 1.0
        await Shot(pool).end()
        stub.handler = responds_with(http_response(b"two"))
        shot = Shot(pool)
        stub.writers[0].write(http_response(b"one again"))
        await wait_until(
            lambda: stub.closed_connections == 1
        )  # taken for no answer: the connection is closed
        end = await shot.end()
        assert end.response is not None and end.response.body == b"two"
        assert len(stub.writers) == 2 and pool.connection_count == 1

    run(main())


@pytest.mark.parametrize("change", ["none", "drains", "cancels"])
def test_an_attempt_waits_for_a_connection_that_rests(change: str) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await Shot(pool).end()
        pool.reuse_delay_s = 0.05
        shot = Shot(pool)
        if change == "drains":
            put(pool, 1, stub.address, 0, False)
        elif change == "cancels":
            shot.attempt.abort(Outcome.CANCELLED)
        outcome = (await shot.end()).outcome
        assert outcome is (Outcome.OK if change == "none" else Outcome.NOT_SENT)
        await wait_until(
            lambda: pool.connection_count == (change != "drains")
            and len(pool.upstreams[1].idle_connections) == pool.connection_count
        )
        assert len(stub.writers) == 1 and len(stub.requests) == 1 + (change == "none")

    run(main())


def test_a_closed_connection_is_noticed_before_the_loop_hears_of_it() -> None:
    """The close has arrived, yet no event of the loop has told: the request must not go there."""

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            pool = make_pool(server.getsockname())
            loop = asyncio.get_running_loop()
            shot = Shot(pool)
            peer, _ = await loop.sock_accept(server)
            await loop.sock_recv(peer, 4096)
            await loop.sock_sendall(peer, http_response())
            assert (await shot.end()).outcome is Outcome.OK
            await wait_until(lambda: len(pool.upstreams[1].idle_connections) == 1)
            peer.close()
            shot = Shot(pool)  # in the same turn of the loop
            peer, _ = await loop.sock_accept(server)
            assert (await loop.sock_recv(peer, 4096)).startswith(b"POST")
            await loop.sock_sendall(peer, http_response())
            assert (await shot.end()).outcome is Outcome.OK
            peer.close()

    run(main())


def test_idle_connections_are_closed_before_the_keepalive_ends() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address, keepalive=0.05)
        await Shot(pool).end()
        await wait_until(lambda: stub.closed_connections == 1)
        assert pool.connection_count == 0 and not pool.upstreams[1].idle_connections

    run(main())


def test_connections_stay_within_the_limit() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = make_pool(stub.address, limit=3)
        shots = [Shot(pool) for _ in range(5)]
        ends = [await shot.end() for shot in shots[3:]]
        assert [end.outcome for end in ends] == [Outcome.CONNECT_FAILED] * 2
        await wait_until(lambda: len(stub.requests) == 3)
        assert pool.connection_count == 3

    run(main())


def test_at_the_limit_an_idle_connection_makes_room() -> None:
    async def main() -> None:
        one, other = (
            await StubServer(responds_with(http_response())).start(),
            await StubServer(responds_with(http_response())).start(),
        )
        pool = make_pool(one.address, limit=1)
        put(pool, 2, other.address, 0, True)
        for number in (1, 2, 1, 2):
            assert (await Shot(pool, number).end()).outcome is Outcome.OK
            await wait_until(lambda: pool.connection_count == 1)

    run(main())


def test_after_a_silence_connections_from_before_it_are_not_used() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = make_pool(stub.address)
        shots = [Shot(pool) for _ in range(3)]
        await wait_until(lambda: len(stub.requests) == 3)
        stub.writers[0].write(http_response())  # heard before the silence begins
        await shots[0].end()
        lost = Shot(pool)  # on the connection that was heard
        await wait_until(lambda: len(stub.requests) == 4)
        stub.writers[1].write(http_response())
        await shots[1].end()
        before = pool.upstreams[1].idle_connections[0]
        hung = Shot(pool)
        await wait_until(lambda: len(stub.requests) == 5)
        stub.writers[2].write(http_response())
        await shots[2].end()
        since = pool.upstreams[1].idle_connections[0]
        hung.attempt.abort(Outcome.TIMEOUT)
        await hung.end()
        assert (
            pool.upstreams[1].idle_connections == [since] and before is not since
        )  # it has answered meanwhile
        late = Shot(pool)
        await wait_until(lambda: len(stub.requests) == 6)
        late.attempt.abort(Outcome.CANCELLED)
        pool.close_unused_since(pool.upstreams[1], time.monotonic())
        assert not pool.upstreams[1].idle_connections
        lost.attempt.abort(Outcome.CANCELLED)

    run(main())


def test_a_connect_that_times_out_is_counted_out_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """It came up and was given up in the same moment, so both its end and the time-out are told."""

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        pool = make_pool(stub.address)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def too_late(factory: Callable[[], asyncio.Protocol], *address: object) -> None:
            transport, _ = await connect(factory, *address)  # type: ignore[call-overload]
            transport.abort()
            await asyncio.sleep(0.01)
            raise TimeoutError

        class Late:
            create_connection = staticmethod(too_late)

            def __getattr__(self, name: str) -> object:
                return getattr(loop, name)

        pool.loop = Late()  # type: ignore[assignment]
        assert (await Shot(pool).end()).outcome is Outcome.CONNECT_FAILED
        assert pool.connection_count == 0

    run(main())


def test_connections_that_turn_out_dead_after_some_idle_time_are_not_reused_so_late() -> None:
    """Upstreams forgot connections after a fraction of the keepalive and reset the next request."""
    idle_reuse_stats = IdleReuseStats()
    for _ in range(30):
        idle_reuse_stats.record(0.01, False)
        idle_reuse_stats.record(0.2, True)
    assert idle_reuse_stats.may_reuse(0.01) and idle_reuse_stats.may_reuse(0.1)
    assert not idle_reuse_stats.may_reuse(0.2) and not idle_reuse_stats.may_reuse(5.0)
    for _ in range(60):
        idle_reuse_stats.decay()
    assert idle_reuse_stats.may_reuse(0.2)  # it is tried again


def test_an_old_connection_gives_way_to_a_new_one_where_such_have_broken() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await Shot(pool).end()
        stub.handler = resets_connection
        for _ in range(3):
            assert (await Shot(pool).end()).outcome is Outcome.RESET
            stub.handler = responds_with(http_response())
            await Shot(pool).end()
            stub.handler = resets_connection
        assert max(pool.idle_reuse_stats.broken_counts) > 0  # learned from real ends
        pool.idle_reuse_stats.broken_counts[0] = 10.0
        stub.handler = responds_with(http_response())
        await wait_until(lambda: len(pool.upstreams[1].idle_connections) == 1)
        old = pool.upstreams[1].idle_connections[0]
        assert (await Shot(pool).end()).outcome is Outcome.OK
        assert old.transport is None or old.transport.is_closing()

    run(main())


# ---- a last look before the first byte ----


def drains(pool: Pool, address: tuple[str, int], _: Shot) -> None:
    put(pool, 1, address, 0, False)


def goes(pool: Pool, _: tuple[str, int], __: Shot) -> None:
    put(pool, 1, state=ServerState.GONE)


def restarts(pool: Pool, _: tuple[str, int], __: Shot) -> None:
    put(pool, 1, ("127.0.0.1", 9), 5, True)


def cancels(_: Pool, __: tuple[str, int], shot: Shot) -> None:
    shot.attempt.abort(Outcome.CANCELLED)


def expires(_: Pool, __: tuple[str, int], shot: Shot) -> None:
    shot.attempt.deadline_ns = 0


@pytest.mark.parametrize("change", [drains, goes, restarts, cancels, expires])
def test_not_sent_when_things_changed_during_the_connect(
    change: Callable[[Pool, tuple[str, int], Shot], None],
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        shot = Shot(pool)
        change(pool, stub.address, shot)
        assert (await shot.end()).outcome is Outcome.NOT_SENT
        await wait_until(lambda: not pool.connect_tasks)
        assert not stub.requests

    run(main())


def test_a_drained_upstream_gets_nothing_and_loses_its_idle_connections() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await Shot(pool).end()
        put(pool, 1, stub.address, 0, False)
        assert (await Shot(pool).end()).outcome is Outcome.NOT_SENT
        await wait_until(lambda: stub.closed_connections == 1 and pool.connection_count == 0)
        assert len(stub.requests) == 1

    run(main())


def test_no_attempt_ends_within_the_call_that_starts_it() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await Shot(pool).end()
        late = Shot(pool, left=-1)  # on a warm connection, which is kept for the next
        assert not late.ends
        assert (await late.end()).outcome is Outcome.NOT_SENT
        assert (await Shot(pool).end()).outcome is Outcome.OK
        assert len(stub.requests) == 2 and len(stub.writers) == 1

    run(main())


def test_an_unknown_upstream_is_an_end_like_any_other() -> None:
    async def main() -> None:
        pool = make_pool(("127.0.0.1", 9))
        assert (await Shot(pool, number=77).end()).outcome is Outcome.NOT_SENT

    run(main())
