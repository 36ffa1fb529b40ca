"""The list: what is asked, what is taken over, and what a broken call or update does."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from dykeshift.interface import Action, ListKind, ServerListUpdate, ServerState
from dykeshift.node import discovery as discovery_module
from dykeshift.node.connection import Connection
from dykeshift.node.discovery import LONG_POLL_GRACE_S, LONG_POLL_MS, PUSH_SILENCE_SHARE, PUSH_RETRY_SHARE
from dykeshift.node.listing import ListReader, server_id_of, parse_row
from tests.node.stubs import (
    Handler,
    Message,
    RunningBalancer,
    StubLongPollServer,
    StubServer,
    http_request,
    http_response,
    instance,
    listing,
    responds_with,
    run,
    running_balancer,
    settings,
    wait_until,
)


def listen(balancer: RunningBalancer) -> list[ServerListUpdate]:
    """All lists that reach the module from here on."""
    heard: list[ServerListUpdate] = []
    module = balancer.frontend.driver.decision_module
    told = module.on_list

    def on_list(now: int, update: ServerListUpdate) -> list[Action]:
        heard.append(update)
        return told(now, update)

    module.on_list = on_list  # type: ignore[method-assign]
    return heard


def test_a_watch_goes_on_from_each_answer() -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        async with running_balancer(old) as balancer:
            registry = balancer.discovery
            await wait_until(lambda: len(registry.paths) == 1)
            assert registry.paths[0].startswith("/v1/endpoints?from=1&hold_ms=")
            registry.queue_json(
                listing(5, False, instance("s0", old.address, "leaving"), instance("s1", new.address))
            )
            await wait_until(lambda: len(registry.paths) == 2)
            assert registry.paths[1].startswith("/v1/endpoints?from=5&hold_ms=")
            for n in range(6):
                assert (await balancer.fetch(http_request(request_id=f"r{n}"))).body == b"new"
            assert not old.requests

    run(main())


def test_a_whole_list_removes_who_is_not_on_it() -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        async with running_balancer(old) as balancer:
            assert (await balancer.fetch(http_request(request_id="r0"))).body == b"old"
            balancer.discovery.queue_json(listing(9, True, instance("s1", new.address)))
            await wait_until(lambda: server_id_of("s0") not in balancer.frontend.driver.pool.listed_servers)
            for n in range(1, 6):
                assert (await balancer.fetch(http_request(request_id=f"r{n}"))).body == b"new"
            assert len(old.requests) == 1

    run(main())


@pytest.mark.parametrize("indent", [None, 8])
def test_a_very_large_list_is_taken_over_however_it_is_written(indent: int | None) -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        async with running_balancer(old) as balancer:
            gone = (instance(f"g{n}", ("127.0.0.1", 9), "leaving") for n in range(5000))
            whole = listing(2, True, *gone, instance("s1", new.address))
            balancer.discovery.responses.put_nowait(http_response(json.dumps(whole, indent=indent).encode()))
            await wait_until(lambda: balancer.frontend.driver.pool.ready_servers() == {server_id_of("s1")})
            assert (await balancer.fetch(http_request())).body == b"new"

    run(main())


def test_a_restart_at_a_new_address_is_followed() -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        given = settings()
        given["obligations"]["coldNs"] = (
            1_000_000  # warm at once, so that nothing but the address matters here
        )
        async with running_balancer(old, settings=given) as balancer:
            assert (await balancer.fetch(http_request(request_id="r0"))).body == b"old"
            started = time.time_ns() // 1_000_000 - 1000
            balancer.discovery.queue_json(listing(2, False, instance("s0", new.address, startedAtMs=started)))
            await wait_until(lambda: old.closed_connections == 1)  # its warm connection is of no use any more
            assert (await balancer.fetch(http_request(request_id="r1"))).body == b"new"

    run(main())


BROKEN: list[Any] = [
    [],
    {},
    None,
    5,
    {"generation": 2, "reset": False},
    {"generation": "x", "reset": False, "instances": []},
    {"generation": 2, "reset": 1, "instances": []},
    {"generation": 2, "reset": False, "instances": [5]},
    listing(2, False, instance("s0", ("127.0.0.1", 1), "asleep")),
    listing(2, False, instance("s0", ("127.0.0.1", 99999))),
    listing(2, False, instance("s0", ("127.0.0.1", 1), weight="heavy")),
    listing(2, False, instance("s0", ("127.0.0.1", 1), weight=float("nan"))),
    listing(2, False, instance("s0", ("127.0.0.1", 1), startedAtMs="noon")),
    listing(2, False, {"instanceId": "s0"}),
]


@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        *(
            (reply, ListKind.FAILED)
            for reply in (
                *(http_response(json.dumps(b).encode()) for b in BROKEN),
                http_response(b"{"),
                http_response(b"[" * 60_000),
                http_response(b"", "503 Service Unavailable"),
                http_response(b"", "404 Not Found"),
            )
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", ListKind.INTERRUPTED),
    ],
)
def test_a_broken_update_is_dropped_told_as_failed_and_asked_for_again(reply: bytes, kind: ListKind) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 100_000_000
        async with running_balancer(stub, settings=changed) as balancer:
            heard = listen(balancer)
            balancer.discovery.responses.put_nowait(reply)
            await wait_until(lambda: bool(heard))
            assert heard[0].kind is kind
            await wait_until(lambda: len(balancer.discovery.paths) == 2)
            assert "from=1&" in balancer.discovery.paths[1]
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


def test_a_list_that_the_module_fails_over_is_asked_for_whole() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 100_000_000
        async with running_balancer(stub, settings=changed) as balancer:
            module = balancer.frontend.driver.decision_module
            sound = module.on_list

            def faulty(now: int, update: ServerListUpdate) -> list[Action]:
                module.on_list = sound  # type: ignore[method-assign]
                raise RuntimeError("planted")

            module.on_list = faulty  # type: ignore[method-assign]
            balancer.discovery.queue_json(listing(2, False, instance("s0", stub.address, "leaving")))
            await wait_until(lambda: len(balancer.discovery.paths) == 2)
            assert balancer.discovery.paths[1] == "/v1/endpoints"

    run(main())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_without_a_sound_known_list_the_whole_one_is_asked_for(known: Any) -> None:
    async def main() -> None:
        async with running_balancer(known=known) as balancer:
            await wait_until(lambda: len(balancer.discovery.paths) == 1)
            assert balancer.discovery.paths == ["/v1/endpoints"]

    run(main())


def test_the_list_known_at_the_start_hides_no_change() -> None:
    """It may be another discovery's, with a generation of its own: nothing newer would ever come.

    Where lists are asked for, the first call is a watch all the same: a second one for each balancer that
    starts filled discovery's queue, and what was refused there had no news when servers began to drain.
    """

    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        known = listing(900, True, instance("s0", old.address))
        async with running_balancer(discovery_answers=False, known=known) as balancer:
            assert (
                await balancer.fetch(http_request(request_id="r0"))
            ).body == b"old"  # while discovery says nothing
            paths = balancer.discovery.paths
            await wait_until(lambda: len(paths) == 1)
            assert paths[0] == f"/v1/endpoints?from=900&hold_ms={LONG_POLL_MS}"
            balancer.discovery.queue_json(listing(7, False))
            await wait_until(lambda: len(paths) == 2)
            assert paths[1] == "/v1/endpoints"
            balancer.discovery.queue_json(
                listing(7, True, instance("s0", old.address, "leaving"), instance("s1", new.address))
            )
            await wait_until(lambda: len(paths) == 3)
            assert paths[2].startswith("/v1/endpoints?from=7&")
            assert (await balancer.fetch(http_request(request_id="r1"))).body == b"new"

    run(main())


def test_where_lists_are_pushed_nobody_is_served_before_the_agent_was_asked() -> None:
    """What the agent has counts as told from a process's first moment: loading alone took a short grace."""

    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        pushed = settings(discovery="push")
        pushed["obligations"]["drainGraceNs"] = 20_000_000_000  # the agent is waited for as long as it takes
        registry = await StubLongPollServer().start()
        begun = asyncio.Event()

        async def serve() -> Message:
            known = listing(900, True, instance("s0", old.address))  # another discovery's
            async with running_balancer(
                discovery_answers=False, settings=pushed, known=known, discovery="%s:%d" % registry.address
            ) as balancer:
                begun.set()
                return await balancer.fetch(http_request())

        served = asyncio.create_task(serve())
        await wait_until(lambda: registry.paths == ["/v1/endpoints"])
        assert not begun.is_set()
        registry.queue_json(
            listing(7, True, instance("s0", old.address, "leaving"), instance("s1", new.address))
        )
        assert (await served).body == b"new"

    run(main())


@pytest.mark.parametrize("reply", [None, http_response(b"", "503 Service Unavailable"), http_response(b"{")])
def test_an_agent_that_tells_nothing_does_not_keep_the_program_from_starting(reply: bytes | None) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        registry = await StubLongPollServer().start()
        if reply is not None:
            registry.responses.put_nowait(reply)
        async with running_balancer(
            stub,
            discovery_answers=False,
            settings=settings(discovery="push"),
            discovery="%s:%d" % registry.address,
        ) as balancer:
            assert registry.paths[0] == "/v1/endpoints"
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


def arriving_slowly(body: bytes, parts: int, go_on: Callable[[int], Awaitable[None]]) -> Handler:
    """Answers each call in parts; `go_on` is waited for behind each, called with its number."""

    async def handle(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
        data = http_response(body)
        size = -(-len(data) // parts)
        for number in range(parts):
            writer.write(data[number * size : (number + 1) * size])
            await writer.drain()
            await go_on(number)

    return handle


def paths_of(agent: StubServer) -> list[str]:
    return [message.start_line.split()[1] for message in agent.requests]


def pushed_with_drain_grace(seconds: float) -> dict[str, Any]:
    changed = settings(discovery="push")
    changed["obligations"]["drainGraceNs"] = int(seconds * 1e9)
    return changed


def test_a_list_that_arrives_for_longer_than_silence_is_borne_is_not_asked_for_again() -> None:
    grace, parts = 1.0, 30

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        rows = [instance(f"l{n}", ("127.0.0.1", 9), "leaving") for n in range(7000)]
        whole = json.dumps(listing(7, True, instance("s0", stub.address), *rows)).encode()
        assert len(whole) > 1_000_000

        async def go_on(_: int) -> None:
            await asyncio.sleep(2 * PUSH_SILENCE_SHARE * grace / parts)  # a small part of what is borne

        agent = await StubServer(arriving_slowly(whole, parts, go_on)).start()
        async with running_balancer(
            discovery_answers=False,
            settings=pushed_with_drain_grace(grace),
            discovery="%s:%d" % agent.address,
        ) as balancer:
            await wait_until(lambda: len(agent.requests) > 1)
            first, second = paths_of(agent)[:2]
            assert first == "/v1/endpoints" and second.startswith("/v1/endpoints?from=7&")
            assert balancer.frontend.driver.pool.ready_servers() == {server_id_of("s0")}
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


def test_bytes_that_a_busy_loop_has_not_read_yet_are_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last part of the answer is in the socket by the time at which the rest counts as silence."""
    looks: list[bool] = []
    look = Connection.has_unread_input

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        whole = json.dumps(listing(7, True, instance("s0", stub.address))).encode()
        last = asyncio.Event()

        async def go_on(number: int) -> None:
            if number == 0:
                await last.wait()

        def look_after_the_last_part_came(connection: Connection) -> bool:
            if connection.handler is None:
                return look(connection)
            last.set()
            looks.append(True)
            return len(looks) < 1000  # until it is read, and no longer than that takes

        monkeypatch.setattr(Connection, "has_unread_input", look_after_the_last_part_came)
        agent = await StubServer(arriving_slowly(whole, 2, go_on)).start()
        async with running_balancer(
            discovery_answers=False, settings=pushed_with_drain_grace(0.15), discovery="%s:%d" % agent.address
        ) as balancer:
            assert balancer.frontend.driver.pool.ready_servers() == {server_id_of("s0")}
            assert paths_of(agent)[:1] == ["/v1/endpoints"] and looks

    run(main())


@pytest.mark.parametrize("goes_on", [False, True], ids=["silent", "without end"])
def test_an_answer_that_does_not_become_whole_is_given_up(
    goes_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Silent behind its first half, for as long as silence is borne; one byte after the other, in all."""
    if goes_on:
        monkeypatch.setattr(discovery_module, "PUSH_RESPONSE_TIMEOUT_S", 0.1)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        whole = json.dumps(listing(7, True, instance("s0", stub.address))).encode()
        calls = 0

        async def go_on(number: int) -> None:
            nonlocal calls
            calls += number == 0
            if calls == 1:
                await asyncio.sleep(0.01 if goes_on else 3600)

        agent = await StubServer(arriving_slowly(whole, 100 if goes_on else 2, go_on)).start()
        async with running_balancer(
            discovery_answers=False,
            settings=pushed_with_drain_grace(60 if goes_on else 0.15),
            discovery="%s:%d" % agent.address,
        ) as balancer:
            if goes_on:  # the next call would come only after a part of the drain grace
                balancer.frontend.driver.start_watch()
            await wait_until(lambda: balancer.frontend.driver.pool.ready_servers() == {server_id_of("s0")})
            assert paths_of(agent)[:2] == ["/v1/endpoints"] * 2

    run(main())


def test_a_watch_that_falls_silent_is_begun_anew_before_the_list_is_old() -> None:
    """A watch was waited for through 22 s, while servers went that the list still showed."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            heard = listen(balancer)
            began = time.monotonic()
            await wait_until(lambda: len(balancer.discovery.paths) == 2)  # the first got no answer at all
            assert time.monotonic() - began < 10
            assert [update.kind for update in heard] == [ListKind.INTERRUPTED]
            hold = int(balancer.discovery.paths[0].partition("hold_ms=")[2])
            assert hold / 1000 + LONG_POLL_GRACE_S <= 4.0  # what there is to tell counts as told soon after

    run(main())


def test_an_agent_that_fell_silent_is_asked_at_short_intervals_until_it_answers() -> None:
    """What it hears when it is back counts as told at once: no held call may be waited for by then."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"old"))).start()
        other = await StubServer(responds_with(http_response(b"new"))).start()
        async with running_balancer(stub, settings=settings(discovery="push")) as balancer:
            paths = balancer.discovery.paths
            await wait_until(lambda: len(paths) == 5)
            assert PUSH_SILENCE_SHARE + PUSH_RETRY_SHARE < 1  # of the time in which sends have to stop
            assert all(path.endswith("&hold_ms=0") for path in paths[1:])
            # Back. Its first answer goes out on a call that nobody waits for any more.
            for _ in range(2 * len(paths)):
                balancer.discovery.queue_json(
                    listing(2, False, instance("s0", stub.address, "leaving"), instance("s1", other.address))
                )
            await wait_until(lambda: balancer.frontend.driver.pool.ready_servers() == {server_id_of("s1")})
            assert (await balancer.fetch(http_request())).body == b"new"
            await wait_until(lambda: paths[-1].endswith(f"&hold_ms={LONG_POLL_MS}"))

    run(main())


def test_pushed_lists_are_watched_without_being_asked_to() -> None:
    async def main() -> None:
        async with running_balancer(settings=settings(discovery="push")) as balancer:
            await wait_until(lambda: len(balancer.discovery.paths) == 1)
            balancer.discovery.responses.put_nowait(http_response(b"", "503 Service Unavailable"))
            await wait_until(lambda: len(balancer.discovery.paths) == 2)  # an agent is simply asked again

    run(main())


def test_starts_are_told_on_the_modules_clock() -> None:
    reader = ListReader(("a",), ("m",))
    began = time.time_ns() // 1_000_000 - 3000
    first, second = (
        instance("s0", ("127.0.0.1", 1), startedAtMs=began),
        instance("s1", ("127.0.0.1", 2), "left"),
    )
    rows = [reader.convert(parse_row(row)) for row in (first, second)]
    age = time.monotonic_ns() - rows[0].entry.started_at
    assert 2_900_000_000 < age < 60_000_000_000
    assert rows[1].entry.started_at == 0 and rows[1].entry.state is ServerState.GONE
    again = reader.convert(parse_row(first))
    assert again.entry == rows[0].entry  # no restart where there was none


@pytest.mark.parametrize("way", ["ask", "push"])
def test_a_watch_ended_by_a_move_is_no_failure(way: str) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        other = await StubLongPollServer().start()
        async with running_balancer(stub, settings=settings(discovery=way)) as balancer:
            await wait_until(lambda: len(balancer.discovery.paths) == 1)
            heard = listen(balancer)
            balancer.switch_discovery(other)
            await wait_until(lambda: len(other.paths) == 1)
            other.queue_json(listing(1, True, instance("s0", stub.address)))
            await wait_until(lambda: len(other.paths) == 2)
            assert [update.kind for update in heard] == [ListKind.FULL]
            assert len(balancer.discovery.paths) == 1

    run(main())


def test_a_move_ends_the_pause_after_a_failure() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        other = await StubLongPollServer().start()
        changed = settings()
        changed["obligations"]["askEveryNs"] = 3_600_000_000_000  # its pauses last for minutes
        async with running_balancer(stub, settings=changed) as balancer:
            heard = listen(balancer)
            balancer.discovery.responses.put_nowait(http_response(b"", "503 Service Unavailable"))
            await wait_until(lambda: bool(heard))
            balancer.switch_discovery(other)
            await wait_until(lambda: other.paths == ["/v1/endpoints"])
            assert balancer.frontend.driver.decision_module.watch_failures == 0

    run(main())
