"""The discovery watch: requested and applied lists, failed calls and invalid lists."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from dykeshift.interface import Action, ListKind, ServerListUpdate, ServerState
from dykeshift.node import discovery as discovery_module
from dykeshift.node import call_pacing
from dykeshift.node.connection import Connection
from dykeshift.node.listing import ListReader, parse_row, server_id_of
from dykeshift.node.call_pacing import (
    LONG_POLL_GRACE_S,
    LONG_POLL_MS,
    PUSH_RETRY_SHARE,
    PUSH_SILENCE_SHARE,
)
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


def record_updates(balancer: RunningBalancer) -> list[ServerListUpdate]:
    """Return a list to which every update that reaches the decision module from now on is added."""
    updates: list[ServerListUpdate] = []
    module = balancer.frontend.driver.decision_module
    on_list_before = module.on_list

    def on_list(now: int, update: ServerListUpdate) -> list[Action]:
        updates.append(update)
        return on_list_before(now, update)

    module.on_list = on_list  # type: ignore[method-assign]
    return updates


def test_watch_continues_from_the_generation_of_each_response() -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        async with running_balancer(old) as balancer:
            discovery = balancer.discovery
            await wait_until(lambda: len(discovery.paths) == 1)
            assert discovery.paths[0].startswith("/v1/endpoints?from=1&hold_ms=")
            discovery.queue_json(
                listing(5, False, instance("s0", old.address, "leaving"), instance("s1", new.address))
            )
            await wait_until(lambda: len(discovery.paths) == 2)
            assert discovery.paths[1].startswith("/v1/endpoints?from=5&hold_ms=")
            for n in range(6):
                assert (await balancer.fetch(http_request(request_id=f"r{n}"))).body == b"new"
            assert not old.requests

    run(main())


def test_full_list_removes_servers_that_are_not_in_it() -> None:
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
def test_very_large_list_is_applied_in_any_json_layout(indent: int | None) -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        async with running_balancer(old) as balancer:
            gone = (instance(f"g{n}", ("127.0.0.1", 9), "leaving") for n in range(5000))
            full_list = listing(2, True, *gone, instance("s1", new.address))
            balancer.discovery.responses.put_nowait(
                http_response(json.dumps(full_list, indent=indent).encode())
            )
            await wait_until(lambda: balancer.frontend.driver.pool.ready_servers() == {server_id_of("s1")})
            assert (await balancer.fetch(http_request())).body == b"new"

    run(main())


def test_restart_at_a_new_address_is_followed() -> None:
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        given = settings()
        given["obligations"]["coldNs"] = 1_000_000  # no slow start, so that only the address matters
        async with running_balancer(old, settings=given) as balancer:
            assert (await balancer.fetch(http_request(request_id="r0"))).body == b"old"
            started = time.time_ns() // 1_000_000 - 1000
            balancer.discovery.queue_json(listing(2, False, instance("s0", new.address, startedAtMs=started)))
            await wait_until(lambda: old.closed_connections == 1)  # its idle connection is closed
            assert (await balancer.fetch(http_request(request_id="r1"))).body == b"new"

    run(main())


INVALID_LISTS: list[Any] = [
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
                *(http_response(json.dumps(b).encode()) for b in INVALID_LISTS),
                http_response(b"{"),
                http_response(b"[" * 60_000),
                http_response(b"", "503 Service Unavailable"),
                http_response(b"", "404 Not Found"),
            )
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", ListKind.INTERRUPTED),
    ],
)
def test_invalid_list_is_ignored_reported_and_requested_again(reply: bytes, kind: ListKind) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        given = settings()
        given["obligations"]["askEveryNs"] = 100_000_000
        async with running_balancer(stub, settings=given) as balancer:
            updates = record_updates(balancer)
            balancer.discovery.responses.put_nowait(reply)
            await wait_until(lambda: bool(updates))
            assert updates[0].kind is kind
            await wait_until(lambda: len(balancer.discovery.paths) == 2)
            assert "from=1&" in balancer.discovery.paths[1]
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


def test_full_list_is_requested_after_the_decision_module_failed_over_a_change() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        given = settings()
        given["obligations"]["askEveryNs"] = 100_000_000
        async with running_balancer(stub, settings=given) as balancer:
            module = balancer.frontend.driver.decision_module
            on_list_before = module.on_list

            def raise_once(now: int, update: ServerListUpdate) -> list[Action]:
                module.on_list = on_list_before  # type: ignore[method-assign]
                raise RuntimeError("simulated")

            module.on_list = raise_once  # type: ignore[method-assign]
            balancer.discovery.queue_json(listing(2, False, instance("s0", stub.address, "leaving")))
            await wait_until(lambda: len(balancer.discovery.paths) == 2)
            assert balancer.discovery.paths[1] == "/v1/endpoints"

    run(main())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_full_list_is_requested_without_a_valid_known_list(known: Any) -> None:
    async def main() -> None:
        async with running_balancer(known=known) as balancer:
            await wait_until(lambda: len(balancer.discovery.paths) == 1)
            assert balancer.discovery.paths == ["/v1/endpoints"]

    run(main())


def test_known_list_of_another_discovery_does_not_hide_changes() -> None:
    """The known list's generation may be higher than any that the current discovery will send.

    In the ask mode the first call is a long poll from that generation all the same. A second call by each
    starting balancer filled discovery's queue, and balancers whose calls were refused did not learn that
    servers had started to drain.
    """

    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        known = listing(900, True, instance("s0", old.address))
        async with running_balancer(discovery_answers=False, known=known) as balancer:
            # Before discovery responds, the known list is used.
            assert (await balancer.fetch(http_request(request_id="r0"))).body == b"old"
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


def test_no_request_is_served_before_the_agent_responds_in_push_mode() -> None:
    """The balancer counts as informed of the agent's list from the start of its process.

    Loading the program alone took longer than a short drain grace, so that requests still went to
    draining servers.
    """

    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        given = settings(discovery="push")
        given["obligations"]["drainGraceNs"] = 20_000_000_000  # long enough for the agent to respond
        discovery = await StubLongPollServer().start()
        has_started = asyncio.Event()

        async def serve() -> Message:
            known = listing(900, True, instance("s0", old.address))  # from another discovery
            async with running_balancer(
                discovery_answers=False, settings=given, known=known, discovery="%s:%d" % discovery.address
            ) as balancer:
                has_started.set()
                return await balancer.fetch(http_request())

        served = asyncio.create_task(serve())
        await wait_until(lambda: discovery.paths == ["/v1/endpoints"])
        assert not has_started.is_set()
        discovery.queue_json(
            listing(7, True, instance("s0", old.address, "leaving"), instance("s1", new.address))
        )
        assert (await served).body == b"new"

    run(main())


def test_no_request_is_sent_by_the_known_list_while_the_agent_is_silent_after_a_restart() -> None:
    # Guards against: a balancer that restarts while discovery is down sends to draining servers (review/9).
    async def main() -> None:
        old, new = (
            await StubServer(responds_with(http_response(b"old"))).start(),
            await StubServer(responds_with(http_response(b"new"))).start(),
        )
        discovery, has_started = await StubLongPollServer().start(), asyncio.Event()

        async def serve() -> Message:
            known = listing(41, True, instance("s0", old.address))
            async with running_balancer(
                discovery_answers=False,
                settings=push_settings(0.25),
                known=known,
                discovery="%s:%d" % discovery.address,
            ) as balancer:
                has_started.set()
                return await balancer.fetch(http_request())

        served = asyncio.create_task(serve())
        await wait_until(lambda: len(discovery.paths) == 3)  # the first two calls have failed
        assert not has_started.is_set()
        full_list = listing(42, True, instance("s0", old.address, "leaving"), instance("s1", new.address))
        for _ in range(4):  # the first responses go to calls that have already ended
            discovery.queue_json(full_list)
        assert (await served).body == b"new" and not old.requests

    run(main())


@pytest.mark.parametrize("reply", [None, http_response(b"", "503 Service Unavailable"), http_response(b"{")])
def test_balancer_without_a_list_from_the_agent_is_ready_and_refuses_requests(
    reply: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: requests sent by an unconfirmed list, or a start that takes longer than 10 s (review/9).
    monkeypatch.setattr(discovery_module, "FIRST_LIST_WAIT_S", 0.3)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        discovery = await StubLongPollServer().start()
        if reply is not None:
            discovery.responses.put_nowait(reply)
        async with running_balancer(
            stub,
            discovery_answers=False,
            settings=settings(discovery="push"),
            discovery="%s:%d" % discovery.address,
        ) as balancer:
            probe = b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n"
            assert discovery.paths[0] == "/v1/endpoints"
            assert "200" in (await balancer.fetch(probe)).start_line
            refusal = await balancer.fetch(http_request(request_id="r1"))
            assert "503" in refusal.start_line and "retry-after" in refusal.headers and not stub.requests
            while not balancer.frontend.driver.pool.has_ready_server():
                discovery.queue_json(listing(2, True, instance("s0", stub.address)))
                await asyncio.sleep(0.05)
            assert (await balancer.fetch(http_request(request_id="r2"))).body == b"done"

    run(main())


def test_first_list_is_received_from_an_agent_that_is_slower_than_the_usual_limit() -> None:
    # Guards against: a balancer that refuses requests for ever, as each first call is given up too early.
    grace = 0.25

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        full_list = json.dumps(listing(7, True, instance("s0", stub.address))).encode()

        async def respond_slowly(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(3 * PUSH_SILENCE_SHARE * grace)
            writer.write(http_response(full_list))

        agent = await StubServer(respond_slowly).start()
        async with running_balancer(
            discovery_answers=False, settings=push_settings(grace), discovery="%s:%d" % agent.address
        ) as balancer:
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


def responds_in_parts(body: bytes, parts: int, after_part: Callable[[int], Awaitable[None]]) -> Handler:
    """Respond to each request in parts; `after_part` is awaited after each, with its number."""

    async def handle(_: StubServer, __: Message, writer: asyncio.StreamWriter) -> None:
        data = http_response(body)
        size = -(-len(data) // parts)
        for number in range(parts):
            writer.write(data[number * size : (number + 1) * size])
            await writer.drain()
            await after_part(number)

    return handle


def request_paths(agent: StubServer) -> list[str]:
    return [message.start_line.split()[1] for message in agent.requests]


def push_settings(seconds: float) -> dict[str, Any]:
    given = settings(discovery="push")
    given["obligations"]["drainGraceNs"] = int(seconds * 1e9)
    return given


def test_list_that_arrives_slowly_is_not_requested_again() -> None:
    grace, parts = 1.0, 30

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        rows = [instance(f"l{n}", ("127.0.0.1", 9), "leaving") for n in range(7000)]
        full_list = json.dumps(listing(7, True, instance("s0", stub.address), *rows)).encode()
        assert len(full_list) > 1_000_000

        async def after_part(_: int) -> None:
            # Each pause is much shorter than the longest silence, all together last longer.
            await asyncio.sleep(2 * PUSH_SILENCE_SHARE * grace / parts)

        agent = await StubServer(responds_in_parts(full_list, parts, after_part)).start()
        async with running_balancer(
            discovery_answers=False,
            settings=push_settings(grace),
            discovery="%s:%d" % agent.address,
        ) as balancer:
            await wait_until(lambda: len(agent.requests) > 1)
            first, second = request_paths(agent)[:2]
            assert first == "/v1/endpoints" and second.startswith("/v1/endpoints?from=7&")
            assert balancer.frontend.driver.pool.ready_servers() == {server_id_of("s0")}
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


def test_data_that_a_busy_loop_has_not_read_yet_is_not_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last part of the response is in the socket, unread, when the longest silence has passed."""
    calls_before_read: list[bool] = []
    has_unread_input = Connection.has_unread_input

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        full_list = json.dumps(listing(7, True, instance("s0", stub.address))).encode()
        last = asyncio.Event()

        async def after_part(number: int) -> None:
            if number == 0:
                await last.wait()

        def report_unread_input(connection: Connection) -> bool:
            if connection.handler is None:
                return has_unread_input(connection)
            last.set()
            calls_before_read.append(True)
            return len(calls_before_read) < 1000  # at most until the data has been read

        monkeypatch.setattr(Connection, "has_unread_input", report_unread_input)
        agent = await StubServer(responds_in_parts(full_list, 2, after_part)).start()
        async with running_balancer(
            discovery_answers=False, settings=push_settings(0.15), discovery="%s:%d" % agent.address
        ) as balancer:
            assert balancer.frontend.driver.pool.ready_servers() == {server_id_of("s0")}
            assert request_paths(agent)[:1] == ["/v1/endpoints"] and calls_before_read

    run(main())


@pytest.mark.parametrize("trickles", [False, True], ids=["silent", "one byte at a time"])
def test_next_call_is_made_if_a_response_stays_incomplete(
    trickles: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The agent falls silent after half the response, or keeps sending single bytes.

    The first is overdue by the longest silence, the second by the timeout for the whole response.
    """
    if trickles:
        monkeypatch.setattr(call_pacing, "RESPONSE_TIMEOUT_S", 0.1)

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        full_list = json.dumps(listing(7, True, instance("s0", stub.address))).encode()
        calls = 0

        async def after_part(number: int) -> None:
            nonlocal calls
            calls += number == 0
            if calls == 1:
                await asyncio.sleep(0.5 if trickles else 3600)

        agent = await StubServer(responds_in_parts(full_list, 100 if trickles else 2, after_part)).start()
        async with running_balancer(
            discovery_answers=False,
            settings=push_settings(60 if trickles else 0.15),
            discovery="%s:%d" % agent.address,
        ) as balancer:
            if trickles:  # otherwise the next call comes only after PUSH_RETRY_SHARE of the drain grace
                balancer.frontend.driver.start_watch()
            await wait_until(lambda: balancer.frontend.driver.pool.ready_servers() == {server_id_of("s0")})
            assert request_paths(agent)[:2] == ["/v1/endpoints"] * 2

    run(main())


def test_watch_without_a_response_is_started_again_within_seconds() -> None:
    """A balancer waited 22 s for a silent watch, while servers that were still in its list went away."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            updates = record_updates(balancer)
            began = time.monotonic()
            await wait_until(lambda: len(balancer.discovery.paths) == 2)  # the first call got no response
            assert time.monotonic() - began < 10
            assert [update.kind for update in updates] == [ListKind.INTERRUPTED]
            hold_ms = int(balancer.discovery.paths[0].partition("hold_ms=")[2])
            # A balancer counts as informed of a change soon after that.
            assert hold_ms / 1000 + LONG_POLL_GRACE_S <= 4.0

    run(main())


def test_silent_agent_is_called_at_short_intervals_until_it_responds() -> None:
    """The balancer counts as informed at once of a change that the agent learns when it works again.

    It would learn of the change too late if it still waited for the response to a held call.
    """

    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"old"))).start()
        other = await StubServer(responds_with(http_response(b"new"))).start()
        async with running_balancer(stub, settings=settings(discovery="push")) as balancer:
            paths = balancer.discovery.paths
            await wait_until(lambda: len(paths) == 5)
            assert PUSH_SILENCE_SHARE + PUSH_RETRY_SHARE < 1  # of the drain grace
            assert all(path.endswith("&hold_ms=0") for path in paths[1:])
            # The agent works again. Its first responses go to calls that have already ended.
            for _ in range(2 * len(paths)):
                balancer.discovery.queue_json(
                    listing(2, False, instance("s0", stub.address, "leaving"), instance("s1", other.address))
                )
            await wait_until(lambda: balancer.frontend.driver.pool.ready_servers() == {server_id_of("s1")})
            assert (await balancer.fetch(http_request())).body == b"new"
            await wait_until(lambda: paths[-1].endswith(f"&hold_ms={LONG_POLL_MS}"))

    run(main())


def test_push_mode_watches_without_a_request_from_the_decision_module() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, settings=settings(discovery="push")) as balancer:
            assert len(balancer.discovery.paths) == 1
            balancer.discovery.responses.put_nowait(http_response(b"", "503 Service Unavailable"))
            await wait_until(lambda: len(balancer.discovery.paths) == 2)  # called again by itself

    run(main())


def test_start_times_are_converted_to_the_monotonic_clock() -> None:
    reader = ListReader(("a",), ("m",))
    started_ms = time.time_ns() // 1_000_000 - 3000
    first, second = (
        instance("s0", ("127.0.0.1", 1), startedAtMs=started_ms),
        instance("s1", ("127.0.0.1", 2), "left"),
    )
    rows = [reader.convert(parse_row(row)) for row in (first, second)]
    age = time.monotonic_ns() - rows[0].entry.started_at
    assert 2_900_000_000 < age < 60_000_000_000
    assert rows[1].entry.started_at == 0 and rows[1].entry.state is ServerState.GONE
    again = reader.convert(parse_row(first))
    assert again.entry == rows[0].entry  # not taken for a restart


@pytest.mark.parametrize("way", ["ask", "push"])
def test_change_of_address_is_not_reported_as_a_failure(way: str) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        other = await StubLongPollServer().start()
        async with running_balancer(stub, settings=settings(discovery=way)) as balancer:
            await wait_until(lambda: len(balancer.discovery.paths) == 1)
            updates = record_updates(balancer)
            balancer.switch_discovery(other)
            await wait_until(lambda: len(other.paths) == 1)
            other.queue_json(listing(1, True, instance("s0", stub.address)))
            await wait_until(lambda: len(other.paths) == 2)
            assert [update.kind for update in updates] == [ListKind.FULL]
            assert len(balancer.discovery.paths) == 1

    run(main())


def test_change_of_address_ends_the_pause_after_a_failure() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        other = await StubLongPollServer().start()
        given = settings()
        given["obligations"]["askEveryNs"] = 3_600_000_000_000  # pauses of minutes
        async with running_balancer(stub, settings=given) as balancer:
            updates = record_updates(balancer)
            balancer.discovery.responses.put_nowait(http_response(b"", "503 Service Unavailable"))
            await wait_until(lambda: bool(updates))
            balancer.switch_discovery(other)
            await wait_until(lambda: other.paths == ["/v1/endpoints"])
            assert balancer.frontend.driver.decision_module.watch_failures == 0

    run(main())
