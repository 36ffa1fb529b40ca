"""The settings watch at the agent, and the effect of changed settings on a serving balancer."""

from __future__ import annotations

import asyncio
import json
import logging
from contextlib import suppress
from typing import Any

import pytest

from dykeshift import control
from dykeshift.interface import Action, Settings
from dykeshift.node import settings_watch
from dykeshift.node.__main__ import start_settings_watch
from dykeshift.node.upstream import MAX_IDLE_KEEPALIVE_SHARE
from tests.node.stubs import (
    RunningBalancer,
    StubLongPollServer,
    StubServer,
    http_request,
    http_response,
    never_responds,
    read_message,
    responds_with,
    run,
    running_balancer,
    service,
    settings,
    wait_until,
)

FIRST_CALL = "/v1/settings?from=0&hold_ms=0"  # of a balancer that was started without a version


def document(version: int, **changes: Any) -> dict[str, Any]:
    return {"version": version, "settings": settings(**changes)}


class SlowSettingsAgent:
    """An agent that writes each response late: that of the moment when it was due."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.version = 0
        self.open_connections = 0
        self.address = ("", 0)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                path = (await read_message(reader)).start_line.split()[1]
                await self._hold(path)
                response = {"version": self.version}
                if self.version:
                    response = document(self.version, services=[service(f"fresh-{self.version}", "pure")])
                await asyncio.sleep(self.delay_s)
                writer.write(http_response(json.dumps(response).encode()))
        self.open_connections -= 1
        writer.close()

    async def _hold(self, path: str) -> None:
        query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query["hold_ms"]) / 1000):
                await wait_until(lambda: self.version > int(query["from"]))


def host_port(agent: StubLongPollServer) -> str:
    return "%s:%d" % agent.address


async def start_agent(*responses: dict[str, Any]) -> StubLongPollServer:
    """An agent that answers its first calls with these and holds the later ones."""
    agent = await StubLongPollServer().start()
    for response in responses:
        agent.queue_json(response)
    return agent


def class_names(balancer: RunningBalancer) -> list[str]:
    return [c.name for c in balancer.frontend.request_reader.classes]


def test_a_new_version_applies_to_new_requests_only() -> None:
    async def main() -> None:
        stub, agent = await StubServer(never_responds).start(), await start_agent({"version": 0})
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            assert agent.paths[0] == FIRST_CALL
            busy, idle = await balancer.connect(), await balancer.connect()
            busy.writer.write(http_request("send", request_id="busy"))
            await wait_until(lambda: len(stub.requests) == 1)
            agent.queue_json(document(4, services=[service("fresh", "pure"), service("check", "pure")]))
            await wait_until(lambda: class_names(balancer) == ["fresh", "check"])
            stub.handler = responds_with(http_response(b"new"))
            assert (await idle.fetch(http_request("fresh", request_id="r1", method="GET"))).body == b"new"
            # The class "send" is unknown now.
            assert "400" in (await idle.fetch(http_request("send", request_id="r2"))).start_line
            stub.writers[0].write(http_response(b"completed"))
            assert (await read_message(busy.reader)).body == b"completed"
            assert len(stub.requests) == 2  # neither request was sent twice
            await wait_until(lambda: agent.paths[-1] == "/v1/settings?from=4&hold_ms=2000")

    run(main())


def test_a_new_process_has_the_version_of_its_agent_before_it_listens() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        agent = await start_agent(document(9, services=[service("fresh", "pure")]))
        async with running_balancer(stub, control=host_port(agent), settings_version=7) as balancer:
            assert agent.paths[0] == "/v1/settings?from=7&hold_ms=0"
            assert class_names(balancer) == ["fresh"]

    run(main())


def test_a_new_process_has_the_valid_version_below_an_invalid_one_before_it_listens() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        agent = await start_agent(document(9, services=[]), document(8, services=[service("fresh", "pure")]))
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            assert class_names(balancer) == ["fresh"]
            assert agent.paths[:2] == [FIRST_CALL, "/v1/settings?before=9"]

    run(main())


def test_an_unresponsive_agent_delays_the_start_for_a_limited_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settings_watch, "STARTUP_WAIT_S", 0.05)

    async def main() -> None:
        stub, agent = await StubServer(responds_with(http_response())).start(), await start_agent()
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            assert (await balancer.fetch(http_request("check"))).body == b"done"
            agent.queue_json(document(1, services=[service("fresh", "pure")]))
            await wait_until(lambda: class_names(balancer) == ["fresh"])

    run(main())


def test_an_invalid_version_logs_one_line_and_changes_nothing(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        stub, agent = (
            await StubServer(responds_with(http_response())).start(),
            await start_agent({"version": 0}),
        )
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            reader, module = balancer.frontend.request_reader, balancer.frontend.driver.decision_module
            before = module.settings
            agent.queue_json(document(5, services=[service("check", "pure"), service("check", "pure")]))
            agent.queue_json({"version": 0})  # response to the query for a version below 5
            await wait_until(lambda: agent.paths[-1] == "/v1/settings?from=5&hold_ms=2000")
            assert balancer.frontend.request_reader is reader and module.settings is before
            assert "200" in (await balancer.fetch(http_request("check"))).start_line
            errors = [r.getMessage() for r in caplog.records if r.levelno >= logging.ERROR]
            assert errors == [
                "settings version 5 is turned down, version 0 stays: settings.services[1].name is 'check', "
                "as is that of settings.services[0]"
            ]

    run(main())


@pytest.mark.parametrize(
    "response",
    [http_response(b"", "503 None"), http_response(b"{"), http_response(b"[" * 9000), http_response(b"7")],
    ids=["status", "truncated", "nested", "number"],
)
def test_the_query_is_repeated_after_a_response_that_is_not_a_document(response: bytes) -> None:
    async def main() -> None:
        stub, agent = (
            await StubServer(responds_with(http_response())).start(),
            await start_agent({"version": 0}),
        )
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            agent.responses.put_nowait(response)
            agent.queue_json(document(2, services=[service("fresh", "pure")]))
            await wait_until(lambda: class_names(balancer) == ["fresh"])
            assert agent.paths[2] == FIRST_CALL  # not held: the agent may have a newer version

    run(main())


def test_the_balancer_serves_while_its_agent_is_unresponsive_and_follows_it_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(control, "LONG_POLL_MS", 50)
    monkeypatch.setattr(settings_watch, "LONG_POLL_GRACE_S", 0.05)

    async def main() -> None:
        stub, agent = (
            await StubServer(responds_with(http_response())).start(),
            await start_agent({"version": 0}),
        )
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            await wait_until(lambda: len(agent.paths) == 2)
            await wait_until(lambda: agent.paths[-1] == FIRST_CALL)  # the held call timed out
            assert "200" in (await balancer.fetch(http_request("check"))).start_line
            agent.responses = asyncio.Queue()  # the calls so far remain without a response
            await wait_until(lambda: len(agent.paths) == 4)
            agent.queue_json(document(3, services=[service("fresh", "pure")]))
            await wait_until(lambda: class_names(balancer) == ["fresh"])

    run(main())


def test_a_version_of_an_agent_that_is_always_slow_comes_into_force() -> None:
    # Guards against: each query is given up before its response comes, so that no version is ever applied.
    async def main() -> None:
        stub, agent = await StubServer(responds_with(http_response())).start(), SlowSettingsAgent(0.8)
        await agent.start()
        async with running_balancer(stub, control="%s:%d" % agent.address) as balancer:
            agent.version = 1
            async with asyncio.timeout(control.LONG_POLL_MS / 1000 + 2 * agent.delay_s + 1.0):
                await wait_until(lambda: class_names(balancer) == ["fresh-1"])
            agent.version = 2
            async with asyncio.timeout(control.LONG_POLL_MS / 1000 + 2 * agent.delay_s + 1.0):
                await wait_until(lambda: class_names(balancer) == ["fresh-2"])
            assert agent.open_connections <= 3

    run(main())


def test_an_agent_that_does_not_hold_calls_is_not_queried_in_a_busy_loop() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        agent = await start_agent(*({"version": 0} for _ in range(100)))
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            for n in range(30):
                assert "200" in (await balancer.fetch(http_request("check", request_id=f"r{n}"))).start_line
            assert len(agent.paths) <= 2

    run(main())


def test_an_unsafe_request_that_may_still_run_is_not_accepted_again_when_its_class_became_safe() -> None:
    """An open request keeps the class it began with, so that a repeat does not make it run twice."""

    async def main() -> None:
        stub, agent = await StubServer(never_responds).start(), await start_agent({"version": 0})
        bounds = {**settings()["bounds"], "cancelling": False}
        async with running_balancer(
            stub, control=host_port(agent), settings=settings(bounds=bounds)
        ) as balancer:
            leaving_client = await balancer.connect()
            leaving_client.writer.write(http_request("send", request_id="once"))
            await wait_until(lambda: len(stub.requests) == 1)
            leaving_client.writer.close()
            await wait_until(
                lambda: all(request.closed for request in balancer.frontend.driver.open_requests.values())
            )
            agent.queue_json(document(2, services=[service("send", "pure")], bounds=bounds))
            await wait_until(lambda: class_names(balancer) == ["send"])
            assert (
                "409"
                in (await balancer.fetch(http_request("send", request_id="once", method="GET"))).start_line
            )
            assert len(stub.requests) == 1

    run(main())


def test_connection_timeouts_and_drain_grace_follow_the_new_settings() -> None:
    async def main() -> None:
        stub, agent = (
            await StubServer(responds_with(http_response())).start(),
            await start_agent({"version": 0}),
        )
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            bounds = {**settings()["bounds"], "keepaliveNs": 5_000_000_000, "connectTimeoutNs": 70_000_000}
            obligations = {**settings()["obligations"], "drainGraceNs": 90_000_000}
            agent.queue_json(document(2, bounds=bounds, obligations=obligations))
            pool = balancer.frontend.driver.pool
            await wait_until(lambda: pool.connect_timeout_s == 0.07)
            assert pool.max_idle_s == 5.0 * MAX_IDLE_KEEPALIVE_SHARE
            assert balancer.reload.discovery.drain_grace_s == 0.09

    run(main())


def test_settings_that_make_the_decision_module_fail_change_nothing(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        stub, agent = (
            await StubServer(responds_with(http_response())).start(),
            await start_agent({"version": 0}),
        )
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            module, reader = balancer.frontend.driver.decision_module, balancer.frontend.request_reader

            def fail(now: int, settings: Settings) -> list[Action]:
                raise ZeroDivisionError

            module.on_settings = fail  # type: ignore[method-assign]
            agent.queue_json(document(2, services=[service("fresh", "pure")]))
            agent.queue_json({"version": 0})
            await wait_until(lambda: agent.paths[-1] == "/v1/settings?from=2&hold_ms=2000")
            assert balancer.frontend.request_reader is reader
            assert "version 2 is turned down, version 0 stays: the decision module failed" in caplog.text

    run(main())


def test_there_is_no_watch_if_the_configuration_has_no_control_address() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            assert balancer.configuration.control is None and balancer.configuration.settings_version == 0
            watch = start_settings_watch(balancer.configuration, None)  # type: ignore[arg-type]
            assert watch is None

    run(main())


def test_a_document_in_chunked_encoding_is_accepted() -> None:
    async def main() -> None:
        stub, agent = (
            await StubServer(responds_with(http_response())).start(),
            await start_agent({"version": 0}),
        )
        async with running_balancer(stub, control=host_port(agent)) as balancer:
            body = json.dumps(document(2, services=[service("fresh", "pure")])).encode()
            chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            agent.responses.put_nowait(chunked % (len(body), body))
            await wait_until(lambda: class_names(balancer) == ["fresh"])

    run(main())
