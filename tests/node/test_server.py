"""One answer to each request, whatever happens to it; and what is not accepted at all."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from contextlib import suppress
from typing import Any

import pytest

from dykeshift.interface import Action, AttemptEnd, Outcome, Refuse, Request
from dykeshift.node import driver, server
from dykeshift.node.listing import server_id_of
from dykeshift.node.requests import ClientRequest
from dykeshift.node.upstream import Attempt
from tests.node.stubs import (
    ConnectGate,
    Handler,
    Message,
    RunningBalancer,
    StubClient,
    StubServer,
    http_request,
    http_response,
    instance,
    listing,
    never_responds,
    read_message,
    resets_connection,
    responds_with,
    run,
    running_balancer,
    service,
    settings,
    settings_with_bounds,
    wait_until,
)


def status(message: Message) -> int:
    return int(message.start_line.split()[1])


# ---- served ----


@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_served_unchanged_both_ways(klass: str) -> None:
    async def main() -> None:
        body = bytes(range(256)) * 8
        stub = await StubServer(responds_with(http_response(body, Content_Type="application/x-sms"))).start()
        async with running_balancer(stub) as balancer:
            got = await balancer.fetch(http_request(klass, body=body))
            assert (status(got), got.body) == (200, body)
            assert got.headers["content-type"] == "application/x-sms"
            sent = stub.requests[0]
            assert sent.start_line == ("GET" if klass == "check" else "POST") + " /api?x=1 HTTP/1.1"
            assert sent.headers["x-request-id"] == "r1"
            assert sent.headers.get("idempotency-key") == ("k-r1" if klass == "set" else None)
            assert 0 < int(sent.headers["x-deadline-ms"]) <= 4000
            assert sent.body == (b"" if klass == "check" else body)
            assert not balancer.frontend.driver.open_requests

    run(main())


def test_kept_connections_carry_one_request_after_another() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            for n in range(5):
                assert status(await caller.fetch(http_request(request_id=f"r{n}"))) == 200
            assert len(stub.requests) == 5 and len(balancer.frontend.connections) == 1

    run(main())


def test_a_request_in_small_pieces_and_one_in_chunks() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            for byte in http_request():
                caller.writer.write(bytes([byte]))
                await caller.writer.drain()
                await asyncio.sleep(0)
            assert (await caller.reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
            chunked = http_request(request_id="r2", body=b"").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            got = await balancer.fetch(chunked + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
            assert status(got) == 200 and stub.requests[1].body == b"hello"

    run(main())


def test_expect_continue_is_answered_before_the_body_comes() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            head, _, body = http_request(Expect="100-continue").partition(b"\r\n\r\n")
            assert "100" in (await caller.fetch(head + b"\r\n\r\n")).start_line
            assert status(await caller.fetch(body)) == 200

    run(main())


@pytest.mark.parametrize(
    "behind", [http_request(request_id="r2"), http_request("check", request_id="r2") * 300, b"GARBAGE\r\n"]
)
def test_of_requests_that_come_together_none_goes_out(behind: bytes) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            got = await caller.fetch(http_request(request_id="r1") + behind)
            assert status(got) == 400 and got.headers["connection"] == "close"
            assert await caller.reader.read() == b""
            assert not stub.requests and not balancer.frontend.driver.open_requests

    run(main())


@pytest.mark.parametrize("behind", [http_request(request_id="r2"), b"GARBAGE\r\n"])
def test_what_comes_behind_an_open_request_ends_it(behind: bytes) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            caller.writer.write(http_request(request_id="r1"))
            await wait_until(lambda: len(stub.requests) == 1)
            got = await caller.fetch(behind)
            assert status(got) == 400 and got.headers["connection"] == "close"
            assert await caller.reader.read() == b""
            await wait_until(
                lambda: stub.closed_connections == 1 and not balancer.frontend.driver.open_requests
            )
            assert len(stub.requests) == 1

    run(main())


# ---- failed and refused ----


FAILURES: list[Handler] = [
    resets_connection,
    responds_with(http_response(b"", "500 Internal Server Error")),
    responds_with(http_response(b"", "503 Service Unavailable")),
    responds_with(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", close=True),
    responds_with(b"garbage\r\n\r\n"),
]


@pytest.mark.parametrize("handler", FAILURES)
def test_an_unsafe_request_that_may_have_run_fails_once_and_is_no_refusal(handler: Handler) -> None:
    async def main() -> None:
        stubs = [await StubServer(handler).start() for _ in range(3)]
        async with running_balancer(*stubs) as balancer:
            got = await balancer.fetch(http_request("send"))
            assert status(got) not in (200, 429, 503)
            assert sum(len(stub.requests) for stub in stubs) == 1

    run(main())


def test_turned_away_unseen_goes_on_to_another() -> None:
    async def main() -> None:
        full = await StubServer(
            responds_with(http_response(b"", "503 Service Unavailable", X_Not_Run="1"))
        ).start()
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(full, stub) as balancer:
            for n in range(8):
                assert status(await balancer.fetch(http_request(request_id=f"r{n}"))) == 200
            assert len(stub.requests) == 8

    run(main())


def test_refused_with_advice_where_there_is_no_upstream() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            got = await balancer.fetch(http_request("send", deadline_ms=300))
            assert status(got) == 503 and 0 < float(got.headers["retry-after"]) <= 0.75

    run(main())


def test_advice_to_come_back_is_decimal_seconds() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:

            def refuse(now: int, request: Request) -> list[Action]:
                return [Refuse(request.id, 120_000_000)]

            balancer.frontend.driver.decision_module.on_request = refuse  # type: ignore[method-assign]
            got = await balancer.fetch(http_request())
            assert status(got) == 503 and float(got.headers["retry-after"]) == 0.12

    run(main())


def test_the_module_is_told_the_tenant_and_the_shares() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            module, told = balancer.frontend.driver.decision_module, []
            decide = module.on_request

            def on_request(now: int, request: Request) -> list[Action]:
                told.append(request.tenant_index)
                return decide(now, request)

            module.on_request = on_request  # type: ignore[method-assign]
            for n, tenant in enumerate(["globex", "acme", "stranger"]):
                assert status(await balancer.fetch(http_request(request_id=f"r{n}", X_Tenant=tenant))) == 200
            assert told == [1, 0, 2]
            assert (module.settings.tenant_quotas_per_s, module.settings.over_quota_worth_share) == (
                (50.0, 25.0),
                0.2,
            )

    run(main())


def test_the_deadline_ends_it_and_its_attempt() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            began = time.monotonic()
            got = await balancer.fetch(http_request("send", deadline_ms=300))
            assert status(got) not in (200, 429, 503) and time.monotonic() - began >= 0.2
            await wait_until(
                lambda: stub.closed_connections == 1 and not balancer.frontend.driver.open_requests
            )
            assert balancer.frontend.driver.decision_module.open_requests == {}
            assert all(s.in_flight == 0 for s in balancer.frontend.driver.decision_module.servers.values())

    run(main())


@pytest.mark.parametrize("endless", [b"x", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
def test_an_answer_that_never_ends_is_waited_for_until_the_deadline_at_most(endless: bytes) -> None:
    async def main() -> None:
        async def trickle(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
            if endless == b"x":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
            while not writer.is_closing():
                writer.write(endless)
                await asyncio.sleep(0.005)

        stub = await StubServer(trickle).start()
        async with running_balancer(stub) as balancer:
            assert status(await balancer.fetch(http_request("send", deadline_ms=300))) >= 500
            assert len(stub.requests) == 1 and not balancer.frontend.driver.open_requests
            assert balancer.frontend.driver.pool.upstreams[server_id_of("s0")].idle_connections == []

    run(main())


def test_at_the_deadline_the_module_says_whether_it_is_a_refusal() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            got = await balancer.fetch(http_request("check", deadline_ms=300))  # harmless to repeat
            assert status(got) == 503 and len(stub.requests) == 1

    run(main())


def test_a_client_that_goes_takes_its_attempt_along() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            caller.writer.write(http_request())
            await wait_until(lambda: len(stub.requests) == 1)
            caller.writer.close()
            await wait_until(
                lambda: stub.closed_connections == 1 and not balancer.frontend.driver.open_requests
            )
            assert all(s.in_flight == 0 for s in balancer.frontend.driver.decision_module.servers.values())
            assert balancer.frontend.driver.decision_module.open_requests == {}

    run(main())


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_a_client_that_goes_during_the_connect_is_not_sent_on(klass: str, cancelling: bool) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            served = balancer.frontend.driver
            gate = ConnectGate(served.pool)
            caller = await balancer.connect()
            caller.writer.write(http_request(klass))
            await wait_until(lambda: gate.connect_count == 1)
            caller.writer.close()
            await wait_until(lambda: not balancer.frontend.connections)
            gate.opened.set()
            await wait_until(lambda: not served.pool.connect_tasks)
            assert not stub.requests
            await wait_until(lambda: not served.open_requests)
            assert all(s.in_flight == 0 for s in served.decision_module.servers.values())

    run(main())


def test_a_repeat_that_connects_until_its_window_is_over_is_not_sent() -> None:
    """Decided in time, it would come when servers have forgotten the key."""

    async def main() -> None:
        failing = asyncio.Event()

        async def fail(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
            await failing.wait()
            writer.write(http_response(status="500 Internal Server Error"))

        stubs = [await StubServer(fail).start() for _ in range(2)]
        window = 0.2
        keyed = settings(services=[service("set", "token", windowNs=int(window * 1e9))])
        async with running_balancer(*stubs, settings=keyed) as balancer:
            gate = ConnectGate(balancer.frontend.driver.pool)
            gate.opened.set()
            caller = await balancer.connect()
            caller.writer.write(http_request("set"))
            await wait_until(lambda: any(stub.requests for stub in stubs))
            sent = time.monotonic()
            gate.opened.clear()
            failing.set()
            await wait_until(lambda: gate.connect_count == 2)
            await wait_until(lambda: time.monotonic() > sent + window)
            gate.opened.set()
            assert status(await read_message(caller.reader)) == 500
            assert sum(len(stub.requests) for stub in stubs) == 1
            caller.writer.close()

    run(main())


@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_what_may_not_be_cancelled_still_ends_at_the_deadline(klass: str) -> None:
    """The client has gone; an attempt that is out runs on, but no longer than it was to be waited for."""

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub, settings=settings_with_bounds(cancelling=False)) as balancer:
            caller = await balancer.connect()
            caller.writer.write(http_request(klass, deadline_ms=300))
            await wait_until(lambda: len(stub.requests) == 1)
            caller.writer.close()
            await wait_until(lambda: not balancer.frontend.connections)
            assert stub.closed_connections == 0
            await wait_until(
                lambda: stub.closed_connections == 1 and not balancer.frontend.driver.open_requests
            )
            assert balancer.frontend.driver.decision_module.open_requests == {}
            assert all(s.in_flight == 0 for s in balancer.frontend.driver.decision_module.servers.values())

    run(main())


def timers(balancer: RunningBalancer) -> list[str]:
    """The module's timers for requests, as they are told."""
    told: list[str] = []
    module = balancer.frontend.driver.decision_module
    sound = module.on_timer

    def on_timer(now: int, token: str) -> list[Action]:
        actions = sound(now, token)
        if token.startswith("r:"):
            told.append(token)
        return actions

    module.on_timer = on_timer  # type: ignore[method-assign]
    return told


async def leave(balancer: RunningBalancer, caller: StubClient) -> None:
    caller.writer.close()
    await wait_until(lambda: not balancer.frontend.connections)


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_a_client_that_goes_while_there_is_no_room_is_not_sent_on(klass: str, cancelling: bool) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            told, caller = timers(balancer), await balancer.connect()
            caller.writer.write(http_request(klass, request_id="gone"))
            await wait_until(lambda: bool(balancer.frontend.driver.open_requests))
            await leave(balancer, caller)
            balancer.discovery.queue_json(listing(2, True, instance("s0", stub.address)))
            await wait_until(lambda: balancer.frontend.driver.pool.has_ready_server())
            await wait_until(lambda: bool(told))  # it would have found room now
            assert status(await balancer.fetch(http_request(klass, request_id="next"))) == 200
            assert [message.headers["x-request-id"] for message in stub.requests] == ["next"]

    run(main())


@pytest.mark.parametrize("cancelling", [True, False])
def test_for_a_client_that_goes_no_delayed_copy_is_sent(cancelling: bool) -> None:
    async def main() -> None:
        stubs = [await StubServer(responds_with(http_response())).start() for _ in range(2)]
        async with running_balancer(*stubs, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            for n in range(20):  # until both have been heard from, and a copy may go to either
                assert status(await balancer.fetch(http_request(request_id=f"w{n}"))) == 200
            for stub in stubs:
                stub.requests.clear()
                stub.handler = never_responds
            pool, started = balancer.frontend.driver.pool, list[int]()
            start = pool.start_attempt

            def count(number: int, *args: Any) -> Attempt:
                started.append(number)
                return start(number, *args)

            pool.start_attempt = count  # type: ignore[method-assign, assignment]
            told, caller = timers(balancer), await balancer.connect()
            caller.writer.write(http_request("check"))
            await wait_until(lambda: any(stub.requests for stub in stubs))
            await leave(balancer, caller)
            await wait_until(lambda: bool(told))
            assert len(started) == 1

    run(main())


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_for_a_client_that_goes_no_attempt_follows_one_that_failed(klass: str, cancelling: bool) -> None:
    async def main() -> None:
        stubs = [await StubServer(never_responds).start() for _ in range(2)]
        async with running_balancer(*stubs, settings=settings_with_bounds(cancelling=cancelling)) as balancer:
            caller = await balancer.connect()
            caller.writer.write(http_request(klass))
            await wait_until(lambda: any(stub.requests for stub in stubs))
            await leave(balancer, caller)
            for writer in [] if cancelling else [*stubs[0].writers, *stubs[1].writers]:
                writer.write(http_response(b"", "503 Service Unavailable", X_Not_Run="1"))
            await wait_until(lambda: not balancer.frontend.driver.open_requests)
            assert sum(len(stub.requests) for stub in stubs) == 1
            assert not balancer.frontend.driver.pool.connect_tasks

    run(main())


def test_a_client_whose_end_comes_with_its_request_is_not_sent_on() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            balancer.frontend.driver.pool.reuse_delay_s = 0.0
            assert status(await balancer.fetch(http_request(request_id="r1"))) == 200  # a connection is warm
            with socket.create_connection(balancer.address) as peer:
                peer.sendall(http_request(request_id="gone"))
            assert status(await balancer.fetch(http_request(request_id="r2"))) == 200
            await wait_until(
                lambda: not balancer.frontend.connections and not balancer.frontend.driver.open_requests
            )
            assert [message.headers["x-request-id"] for message in stub.requests] == ["r1", "r2"]

    run(main())


def test_losers_are_cancelled_by_closing_and_still_reach_the_module() -> None:
    async def main() -> None:
        async def slow_second(stub: StubServer, _: Message, writer: asyncio.StreamWriter) -> None:
            if sum(len(s.requests) for s in stubs) <= warm or stub is not stubs[0]:
                writer.write(http_response())

        stubs = [await StubServer(slow_second).start() for _ in range(3)]
        warm = 10_000
        async with running_balancer(*stubs) as balancer:
            for n in range(30):
                assert status(await balancer.fetch(http_request("send", request_id=f"w{n}"))) == 200
            warm = 0
            ends: list[AttemptEnd] = []
            told = balancer.frontend.driver.decision_module.on_attempt_end

            def listen(now: int, end: AttemptEnd) -> list[Action]:
                ends.append(end)
                return told(now, end)

            balancer.frontend.driver.decision_module.on_attempt_end = listen  # type: ignore[method-assign]
            for n in range(30):
                assert status(await balancer.fetch(http_request("check", request_id=f"c{n}"))) == 200
            await wait_until(lambda: not balancer.frontend.driver.open_requests)
            cancelled = [e for e in ends if e.outcome is Outcome.CANCELLED]
            assert cancelled and all(e.request_closed for e in cancelled)
            # Those at the one that never answered have seen their connections close.
            there = [e for e in cancelled if e.server_id == server_id_of("s0")]
            assert there
            await wait_until(lambda: stubs[0].closed_connections >= len(there))
            assert all(s.in_flight == 0 for s in balancer.frontend.driver.decision_module.servers.values())

    run(main())


@pytest.mark.parametrize("method", ["on_request", "on_attempt_end"])
def test_a_fault_in_the_module_fails_that_request_alone(
    method: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"", "500 Internal Server Error"))).start()
        async with running_balancer(stub) as balancer:
            module = balancer.frontend.driver.decision_module
            sound = getattr(module, method)

            def faulty(*_: object) -> list[Action]:
                raise RuntimeError("planted")

            setattr(module, method, faulty)
            with caplog.at_level(logging.ERROR):
                got = await balancer.fetch(http_request("send"))
            assert status(got) == 500
            assert any(r.exc_info and "planted" in str(r.exc_info[1]) for r in caplog.records)
            setattr(module, method, sound)
            stub.handler = responds_with(http_response())
            got = await balancer.fetch(http_request("set", request_id="r2"))
            assert status(got) == 200
            await wait_until(lambda: not balancer.frontend.driver.open_requests)

    run(main())


def test_a_fault_of_the_programs_own_leaves_nothing_that_answers_the_next_request() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            served = balancer.frontend.driver
            start = served.pool.start_attempt

            def faulty(*_: object) -> Attempt:
                served.pool.start_attempt = start  # type: ignore[method-assign]
                raise RuntimeError("planted")

            served.pool.start_attempt = faulty  # type: ignore[method-assign, assignment]
            caller = await balancer.connect()
            assert status(await caller.fetch(http_request("send", request_id="r1", deadline_ms=300))) == 500
            caller.writer.write(http_request("send", request_id="r2"))
            await wait_until(
                lambda: len(stub.requests) == 1 and len(served.open_requests) == 1
            )  # not the first one's any more
            stub.writers[0].write(http_response(b"second"))
            assert (await read_message(caller.reader)).body == b"second"

    run(main())


def test_what_a_faulty_module_still_asks_for_is_not_sent() -> None:
    """The fault comes after the module noted a send: its count must come down, and nothing may go out."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            module = balancer.frontend.driver.decision_module
            assert (
                status(await balancer.fetch(http_request("send", request_id="r0"))) == 200
            )  # a connection is warm
            sound = module._schedule_delayed_copy

            def faulty(*_: object) -> None:
                raise RuntimeError("planted")

            module._schedule_delayed_copy = faulty  # type: ignore[method-assign, assignment]
            assert status(await balancer.fetch(http_request("send"))) == 500
            module._schedule_delayed_copy = sound  # type: ignore[method-assign]
            await wait_until(lambda: not balancer.frontend.driver.open_requests)
            assert len(stub.requests) == 1 and all(s.in_flight == 0 for s in module.servers.values())

    run(main())


# ---- not accepted ----


@pytest.mark.parametrize(
    "bad",
    [
        http_request(class_name="novel"),
        http_request(X_Class=""),
        http_request(deadline_ms="soon"),
        http_request(deadline_ms="-5"),
        http_request(deadline_ms="0"),
        http_request(deadline_ms="9" * 30),
        http_request(deadline_ms=""),
        http_request(request_id=""),
        http_request(request_id="x" * 200),
        http_request(request_id="a b"),
        http_request("check", method="POST"),
        http_request("send", method="GET"),
        http_request("send", method="PUT"),
        http_request("check", method="HEAD"),
        http_request("send", Idempotency_Key="k"),
        http_request("set").replace(b"Idempotency-Key", b"X-Other"),
        http_request("check", Idempotency_Key="k"),
        http_request("send", X_Cost_Hint="much"),
        http_request("check").replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nhi"),
        http_request().replace(b"/api?x=1", b"http://elsewhere/api"),
        http_request().replace(b"/api?x=1", b"*"),
        http_request().replace(b"Content-Length: 5", b"Content-Length: 99999"),
        http_request().replace(b"Content-Length: 5", b"Content-Length: x"),
        http_request().replace(b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 6"),
        http_request().replace(b"Content-Length: 5", b"Content-Length: 5\r\nTransfer-Encoding: chunked"),
        http_request().replace(
            b"Content-Length: 5\r\n\r\nhello",
            b"Transfer-Encoding: chunked\r\n\r\n"
            + b"fff0\r\n"
            + b"x" * 0xFFF0
            + b"\r\nffff\r\n"
            + b"x" * 0xFFFF,
        ),
        http_request().replace(
            b"Content-Length: 5\r\n\r\nhello",
            b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1;"
            + b"x" * 10_000
            + b"\r\nx\r\n"
            + (b"1;" + b"x" * 1000 + b"\r\nx\r\n") * 400,
        ),
        http_request(x_request_id="r2"),
        http_request(x_deadline_ms="9"),
        http_request(X_Long="x" * 100_000),
        http_request().replace(b"\r\n\r\n", b"\r\n" + b"X-More: 1\r\n" * 100 + b"\r\n"),
        http_request(Connection="Upgrade", Upgrade="websocket"),
        b"CONNECT backend.local:80 HTTP/1.1\r\nHost: backend.local\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"GET /api\r\n\r\n",
        b"NONSENSE\r\n\r\n",
        # Each of these could hide a second request, or is read in another way by whoever stands behind.
        *(
            http_request().replace(b"Content-Length: 5", framing)
            for framing in (
                b"Transfer-Encoding: chunked\r\nContent-Length: 5",
                b"Content-Length: 5\r\nContent-Length: 5",
                b"Content-Length: 5, 5",
                b"Content-Length: +5",
                b"Content-Length: -5",
                b"Content-Length: 0x5",
                b"Content-Length:",
                b"Content-Length: 5 5",
                b"Content-Length: " + b"9" * 30,
                b"Content-Length: 60000000",
                b"Content-Length:\r\n 5",
                b"Content-Length : 5",
                b"Transfer-Encoding: chunked, gzip",
                b"Transfer-Encoding: gzip",
                b"Transfer-Encoding: xchunked",
                b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                b"Transfer-Encoding: gzip, chunked",
                b"Transfer-Encoding: identity",
                b"X-A: 1\r\n folded",
                b"X-A: 1\nX-B: 2",
                b"X-A: 1\rX-B: 2",
                b"X-A: \0",
            )
        ),
        http_request().replace(b"\r\n", b"\n"),
        http_request().replace(
            b"Content-Length: 5\r\n\r\nhello", b"Transfer-Encoding: chunked\r\n\r\n-1\r\nhello"
        ),
        http_request().replace(
            b"Content-Length: 5\r\n\r\nhello",
            b"Transfer-Encoding: gzip, chunked\r\n\r\n" b"5\r\nhello\r\n0\r\n\r\n",
        ),
    ],
    ids=range(61),
)
def test_bad_input_is_answered_4xx_and_goes_nowhere(bad: bytes) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            got = await balancer.fetch(bad)
            assert 400 <= status(got) < 502 and status(got) != 429
            assert not stub.requests and not balancer.frontend.driver.open_requests
            assert status(await balancer.fetch(http_request(request_id="sound"))) == 200

    run(main())


def test_an_id_in_use_is_not_taken_twice() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            first = await balancer.connect()
            first.writer.write(http_request())
            await wait_until(lambda: len(stub.requests) == 1)
            assert status(await balancer.fetch(http_request())) == 409
            stub.writers[0].write(http_response())
            assert status(await first.fetch(b"")) == 200

    run(main())


@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_an_id_that_comes_again_while_its_request_winds_up(klass: str) -> None:
    """Its client has gone and what is out may not be cancelled: only what must not run twice is kept out."""

    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub, settings=settings_with_bounds(cancelling=False)) as balancer:
            first = await balancer.connect()
            first.writer.write(http_request(klass))
            await wait_until(lambda: len(stub.requests) == 1)
            first.writer.close()
            await wait_until(lambda: not balancer.frontend.connections)
            second = await balancer.connect()
            second.writer.write(http_request(klass))
            if klass == "send":
                assert status(await read_message(second.reader)) == 409
                assert len(stub.requests) == 1
            else:
                await wait_until(lambda: len(stub.requests) == 2)
                stub.writers[0].write(http_response(b"first"))  # this one's end is not the other's
                await wait_until(lambda: len(balancer.frontend.driver.open_requests) == 1)
                stub.writers[1].write(http_response(b"second"))
                assert (await read_message(second.reader)).body == b"second"
            second.writer.close()

    run(main())


# ---- bounds ----


def test_more_connections_than_allowed_close_idle_ones_and_no_busy_one() -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 20}  # eight of them for clients
        async with running_balancer(stub, limits=limits) as balancer:
            busy = await balancer.connect()
            busy.writer.write(http_request())
            await wait_until(lambda: len(stub.requests) == 1)
            crowd = [await balancer.connect() for _ in range(40)]
            await wait_until(lambda: len(balancer.frontend.connections) <= 8)
            stub.writers[0].write(http_response())
            assert status(await busy.fetch(b"")) == 200
            stub.handler = responds_with(http_response())
            assert status(await balancer.fetch(http_request(request_id="r2"))) == 200
            assert len(crowd) == 40

    run(main())


def test_a_refusal_of_the_body_reaches_a_client_that_is_still_sending() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            caller = await balancer.connect()
            caller.writer.write(http_request(body=b"x" * 3_000_000))
            await caller.writer.drain()
            assert status(await read_message(caller.reader)) == 413
            caller.writer.write(b"x" * 100_000)  # no reset has come
            await caller.writer.drain()
            assert await caller.reader.read() == b""
            caller.writer.close()
            await wait_until(lambda: not balancer.frontend.connections)

    run(main())


@pytest.mark.parametrize("klass", ["check", "novel"])
def test_what_comes_behind_a_last_request_does_not_reset_its_answer(klass: str) -> None:
    """More bytes arrive between the request and the end of its connection, and nobody reads them."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            balancer.frontend.closes_after_response = True  # the answer is the last on its connection
            with socket.create_connection(balancer.address) as peer:
                sound = balancer.frontend.request_reader.read

                def read(*message: Any) -> ClientRequest:
                    peer.sendall(b"more")
                    return sound(*message)

                balancer.frontend.request_reader.read = read  # type: ignore[method-assign, assignment]
                peer.sendall(http_request(klass))
                peer.setblocking(False)
                loop, got = asyncio.get_running_loop(), b""
                while piece := await loop.sock_recv(peer, 65_536):
                    got += piece
                assert got.startswith(b"HTTP/1.1 ") and got.count(b"Connection: close") == 1
            await wait_until(lambda: not balancer.frontend.connections)

    run(main())


def test_those_turned_away_make_room_before_all_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "LINGERING_CLOSE_TIMEOUT_S", 30.0)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 20}  # eight of them for clients
        async with running_balancer(stub, limits=limits) as balancer:
            usual = await balancer.connect()
            assert status(await usual.fetch(http_request(request_id="r1"))) == 200
            for _ in range(20):  # each stays after its answer
                away = await balancer.connect()
                assert status(await away.fetch(http_request("novel"))) == 400
            assert len(balancer.frontend.connections) <= 8
            assert status(await usual.fetch(http_request(request_id="r2"))) == 200

    run(main())


def test_head_ends_the_connection_so_that_no_body_is_taken_for_an_answer() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            got = await balancer.fetch(http_request("check", method="HEAD"))
            assert status(got) == 400 and got.headers["connection"] == "close"

    run(main())


@pytest.mark.parametrize("sent", [b"", b"GET /api HTT", http_request()[:-2]])
def test_a_client_that_sends_no_whole_request_is_let_go_in_time(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "FIRST_REQUEST_TIMEOUT_S", 0.1)

    async def main() -> None:
        async with running_balancer() as balancer:
            caller = await balancer.connect()
            caller.writer.write(sent)
            got = await caller.reader.read()
            assert (got[:12] == b"HTTP/1.1 408") is bool(sent)
            caller.writer.close()
            await wait_until(lambda: not balancer.frontend.connections)

    run(main())


def test_bytes_that_trickle_in_win_no_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "FIRST_REQUEST_TIMEOUT_S", 0.1)

    async def main() -> None:
        async with running_balancer() as balancer:
            caller = await balancer.connect()
            caller.writer.write(b"GET /api HTTP/1.1\r\nX-Slow: ")
            told = asyncio.ensure_future(caller.reader.readuntil(b"\r\n"))
            while not told.done():
                caller.writer.write(b"x")
                await asyncio.sleep(0.005)
            assert told.result().startswith(b"HTTP/1.1 408")

    run(main())


def test_who_was_answered_keeps_the_connection_longer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "FIRST_REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(server, "SHORT_KEEPALIVE_TIMEOUT_S", 30.0)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            caller, mute = await balancer.connect(), await balancer.connect()
            assert status(await caller.fetch(http_request(request_id="r1"))) == 200
            assert await mute.reader.read() == b""
            assert status(await caller.fetch(http_request(request_id="r2"))) == 200

    run(main())


def test_a_rejected_client_that_goes_on_sending_holds_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "LINGERING_CLOSE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with running_balancer() as balancer:
            caller = await balancer.connect()
            assert status(await caller.fetch(b"NONSENSE\r\n\r\n")) == 400
            with suppress(ConnectionError):
                while balancer.frontend.connections:
                    caller.writer.write(b"x" * 1000)
                    await asyncio.sleep(0.005)
            caller.writer.close()

    run(main())


def test_clients_that_ask_once_and_stay_do_not_take_the_room_of_those_that_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "SHORT_KEEPALIVE_TIMEOUT_S", 30.0)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 50}  # twenty of them for clients
        async with running_balancer(stub, limits=limits) as balancer:
            crowd = [await balancer.connect() for _ in range(15)]
            got = [await c.fetch(http_request(request_id=f"a{n}")) for n, c in enumerate(crowd)]
            ended = [m.headers.get("connection") == "close" for m in got]
            assert ended == [n > 10 for n in range(15)]  # from half of the limit on
            monkeypatch.setattr(server, "SHORT_KEEPALIVE_TIMEOUT_S", 0.05)
            for caller in crowd:  # who said nothing more is let go as well
                assert await caller.reader.read() == b""
            await wait_until(lambda: balancer.frontend.served_connections == 0)
            caller = await balancer.connect()
            assert "connection" not in (await caller.fetch(http_request(request_id="b"))).headers
            caller.writer.close()
            await wait_until(lambda: not balancer.frontend.connections)
            assert balancer.frontend.served_connections == 0

    run(main())


def test_the_silent_make_room_before_the_usual_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "FIRST_REQUEST_TIMEOUT_S", 30.0)
    monkeypatch.setattr(server, "SHORT_KEEPALIVE_TIMEOUT_S", 30.0)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 20}  # eight of them for clients
        async with running_balancer(stub, limits=limits) as balancer:
            usual = [await balancer.connect() for _ in range(4)]
            for n, caller in enumerate(usual):
                assert status(await caller.fetch(http_request(request_id=f"a{n}"))) == 200
            crowd = [await balancer.connect() for _ in range(100)]
            ends = [asyncio.ensure_future(caller.reader.read()) for caller in crowd]
            await wait_until(lambda: sum(end.done() for end in ends) >= 96)
            for n, caller in enumerate(usual):
                assert status(await caller.fetch(http_request(request_id=f"b{n}"))) == 200
            assert all(end.result() == b"" for end in ends if end.done())
            for end in ends:
                end.cancel()

    run(main())


def test_a_timer_that_the_module_fails_in_is_told_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(driver, "TIMER_RETRY_DELAY_S", 0.01)

    async def main() -> None:
        async with running_balancer() as balancer:
            told: list[str] = []

            def faulty(now: int, token: str) -> list[Action]:
                told.append(token)
                raise RuntimeError("planted")

            balancer.frontend.driver.decision_module.on_timer = faulty  # type: ignore[method-assign]
            await wait_until(lambda: told.count("sweep") >= 3)

    run(main())


# ---- ready ----


def test_ready_with_a_known_list_though_discovery_says_nothing() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, discovery_answers=False) as balancer:
            assert status(await balancer.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")) == 200

    run(main())


def test_not_ready_until_there_is_an_upstream_to_send_to() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer() as balancer:
            probe = b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n"
            assert status(await balancer.fetch(probe)) == 503
            balancer.discovery.queue_json(listing(2, True, instance("s0", stub.address)))
            await wait_until(lambda: balancer.frontend.driver.pool.has_ready_server())
            assert status(await balancer.fetch(probe)) == 200
            assert status(await balancer.fetch(http_request())) == 200

    run(main())
