"""Connections that rest after an answer: how long by the real clock, and what an attempt does instead."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from dykeshift.interface import Outcome
from dykeshift.node import upstream
from dykeshift.node.upstream import Pool
from tests.node.stubs import Message, StubServer, http_response, run, responds_with, wait_until
from tests.node.test_upstream import Shot, make_pool

LONG_REST = 3600.0  # seconds: what rests is not used again in a test


class SlowClock:
    """The loop as a pool sees it; its clock is behind, as that of a busy loop is, and timers fire early."""

    def __init__(self, pool: Pool) -> None:
        self.loop = pool.loop
        self.lag = 0.0
        self.timers: list[tuple[Any, ...]] = []
        pool.loop = self  # type: ignore[assignment]

    def time(self) -> float:
        return self.loop.time() - self.lag

    def call_later(self, delay: float, callback: Any, *args: Any) -> None:
        self.timers.append((callback, *args))

    def fire(self) -> None:
        callback, *args = self.timers.pop()
        callback(*args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


async def all_rest(pool: Pool, attempts: int = 1) -> None:
    """So many connections, all of which rest from now on."""
    shots = [Shot(pool) for _ in range(attempts)]
    for shot in shots:
        await shot.end()
    pool.reuse_delay_s, pool.attempts_since_extra_connection = LONG_REST, 0


def test_a_connection_rests_by_the_real_clock_however_late_the_loops_is() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        pool.reuse_delay_s = LONG_REST
        clock = SlowClock(pool)
        clock.lag = 2 * LONG_REST  # its answer is read late in a long turn of the loop
        await Shot(pool).end()
        clock.lag = 0.0
        shot = Shot(pool)
        assert shot.attempt.connection is None and len(clock.timers) == 1

    run(main())


def test_a_timer_that_fires_early_does_not_shorten_the_rest() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        clock = SlowClock(pool)
        shot = Shot(pool)
        for _ in range(3):
            clock.fire()
            assert shot.attempt.connection is None and len(clock.timers) == 1
        pool.reuse_delay_s = 0.0
        clock.fire()
        assert shot.attempt.connection is not None
        assert (await shot.end()).outcome is Outcome.OK and len(stub.writers) == 1

    run(main())


def test_a_connection_that_ends_while_it_is_waited_for_gives_way_at_its_timer() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        clock = SlowClock(pool)
        shot = Shot(pool)
        stub.writers[0].close()
        await wait_until(lambda: pool.connection_count == 0)
        clock.fire()
        assert (await shot.end()).outcome is Outcome.OK and len(stub.writers) == 2

    run(main())


def test_instead_of_a_long_wait_a_new_connection_is_opened() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        pool.attempts_since_extra_connection = (
            upstream.ATTEMPTS_PER_EXTRA_CONNECTION - 1
        )  # the attempt itself earns the last one
        assert (await Shot(pool).end()).outcome is Outcome.OK
        assert len(stub.writers) == 2

    run(main())


def test_a_short_wait_is_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "MAX_REUSE_WAIT_S", 2 * LONG_REST)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        waiting = Shot(pool)
        assert not pool.connect_tasks and waiting.attempt.connection is None and pool.connection_count == 1

    run(main())


def test_connections_opened_instead_of_a_wait_are_a_bounded_part_of_the_attempts() -> None:
    """Even where each attempt meets a long rest."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        attempts = 4 * upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        pool = make_pool(stub.address, limit=10 * attempts)
        await all_rest(pool, attempts)
        before = len(stub.writers)
        shots = [Shot(pool) for _ in range(attempts)]
        assert len(pool.connect_tasks) == attempts // upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        await wait_until(
            lambda: sum(len(shot.ends) for shot in shots)
            == attempts // upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        )
        assert len(stub.writers) == before + attempts // upstream.ATTEMPTS_PER_EXTRA_CONNECTION

    run(main())


def test_at_the_limit_a_long_wait_is_waited() -> None:
    """No other connection goes for it."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address, limit=1)
        await all_rest(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        Shot(pool)
        assert not pool.connect_tasks and pool.connection_count == 1

    run(main())


def test_a_second_answer_on_a_resting_connection_reaches_no_attempt_on_the_new_one() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"one"))).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        asked = asyncio.Event()

        async def hold(_: StubServer, __: Message, ___: asyncio.StreamWriter) -> None:
            asked.set()

        stub.handler = hold
        shot = Shot(pool)
        await asked.wait()
        stub.writers[0].write(http_response(b"one again"))
        await wait_until(
            lambda: stub.closed_connections == 1
        )  # taken for no answer: its connection is closed
        assert not shot.ends
        stub.writers[1].write(http_response(b"two"))
        end = await shot.end()
        assert end.response is not None and end.response.body == b"two"

    run(main())


def test_a_connection_opened_instead_of_a_wait_rests_in_its_turn() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        pool.attempts_since_extra_connection = upstream.ATTEMPTS_PER_EXTRA_CONNECTION
        await Shot(pool).end()
        waiting = Shot(pool)
        assert waiting.attempt.connection is None and not pool.connect_tasks
        stub.writers[1].write(http_response(b"again"))
        await wait_until(lambda: stub.closed_connections == 1)
        assert not waiting.ends and len(stub.requests) == 2

    run(main())


def test_a_drain_that_comes_during_the_wait_ends_the_attempt_unsent() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        pool = make_pool(stub.address)
        await all_rest(pool)
        clock = SlowClock(pool)
        shot = Shot(pool)
        pool.upstreams[1].accepts_requests = False
        pool.reuse_delay_s = 0.0
        clock.fire()
        assert (await shot.end()).outcome is Outcome.NOT_SENT
        await wait_until(lambda: stub.closed_connections == 1)
        assert len(stub.requests) == 1

    run(main())
