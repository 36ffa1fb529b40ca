"""The stand-ins of the slopes command, and its rig around a real balancer of a tiny deployment."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import msgspec
import psutil
import pytest
import uvloop

from emulator.slopes import rig
from emulator.slopes.balancer_process import RigError
from emulator.slopes.client import NO_RESPONSE, ClientConnection, OpenLoopClient, open_connection
from emulator.slopes.deployment import REQUEST_TIMEOUT_MS, server_host
from emulator.slopes.process_role import run_rig
from emulator.slopes.rig import MeasurementJob, MeasurementResult, job_result
from emulator.slopes.sizes import BASE
from emulator.slopes.standins import LOCALHOST, DiscoveryAgent, start_discovery_agent, start_photo_servers

TINY = msgspec.structs.replace(BASE, servers=20, tenants=5, services=3, balancers=2)
PATIENCE = 10.0


def play(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main, PATIENCE))


async def ask(connection: ClientConnection, path: str) -> dict[str, Any]:
    done: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
    message = f"GET {path} HTTP/1.1\r\nHost: agent\r\n\r\n".encode()
    connection.send_request(
        message, lambda status, body: done.set_result({"status": status, **json.loads(body)})
    )
    return await done


def test_the_agent_tells_the_list_then_holds_then_tells_a_change() -> None:
    async def main() -> None:
        agent = DiscoveryAgent(servers=3, server_port=8081)
        connection = await open_connection((LOCALHOST, await start_discovery_agent(agent)))
        whole = await ask(connection, "/v1/endpoints")
        assert (whole["generation"], whole["reset"], len(whole["instances"])) == (1, True, 3)
        assert whole["instances"][2]["hostPort"] == f"{server_host(2)}:8081"
        nothing = await ask(connection, "/v1/endpoints?from=1&hold_ms=20")
        assert (nothing["generation"], nothing["reset"], nothing["instances"]) == (1, False, [])
        held = asyncio.create_task(ask(connection, "/v1/endpoints?from=1&hold_ms=5000"))
        while not agent.pending_polls:
            await asyncio.sleep(0.001)
        agent.publish_change(1, "leaving")
        change = await held
        assert (change["generation"], change["reset"]) == (2, False)
        assert [one["lifecycle"] for one in change["instances"]] == ["leaving"]
        late = await ask(connection, "/v1/endpoints?from=1&hold_ms=0")
        assert late["instances"] == change["instances"]
        assert agent.bytes_out > agent.bytes_in > 0

    play(main())


def test_a_silent_agent_answers_once_it_is_released() -> None:
    async def main() -> None:
        agent = DiscoveryAgent(servers=1, server_port=8081)
        agent.withholds_responses = True
        connection = await open_connection((LOCALHOST, await start_discovery_agent(agent)))
        first = asyncio.create_task(ask(connection, "/v1/endpoints"))
        await asyncio.sleep(0.05)
        assert not first.done()
        agent.release_responses()
        assert (await first)["reset"] is True

    play(main())


def test_the_open_loop_client_records_what_is_added_to_the_service_time() -> None:
    async def main() -> None:
        port = await start_photo_servers(2)
        client = OpenLoopClient([(server_host(0), port), (server_host(1), port)], TINY, seed=3)
        await client.run(0.5)
        await client.wait_for_responses()
        assert client.status_counts == {200: client.request_count} and client.request_count > 10
        assert client.added_latency.get_total_count() == client.request_count
        assert (
            client.added_latency.get_value_at_percentile(50) < 20_000
        )  # the service time itself is not in it
        client.close()

    play(main())


def test_a_client_counts_a_connection_that_nothing_answers() -> None:
    async def main() -> None:
        client = OpenLoopClient([(LOCALHOST, 1)], TINY, seed=3)
        await client.run(0.1)
        await client.wait_for_responses()
        assert client.status_counts == {NO_RESPONSE: client.request_count}
        assert client.added_latency.get_value_at_percentile(1) >= REQUEST_TIMEOUT_MS * 1_000

    play(main())


def test_the_parser_of_the_stand_ins_drops_what_is_no_http() -> None:
    async def main() -> None:
        port = await start_photo_servers(1)
        reader, writer = await asyncio.open_connection(server_host(0), port)
        writer.write(b"nonsense\r\n\r\n")
        assert await reader.read() == b""
        writer.close()

    play(main())


def test_a_job_that_fails_gives_its_reason_in_one_line(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(_: MeasurementJob) -> MeasurementResult:
        raise RigError("the balancer ended")

    async def main() -> None:
        assert await job_result(MeasurementJob(TINY, seed=1)) == MeasurementResult(error="the balancer ended")

    monkeypatch.setattr(rig, "run_job", fail)
    play(main())


def test_the_rig_measures_a_first_list_and_leaves_no_process() -> None:
    before = set(psutil.Process().children(recursive=True))
    result = run_rig(MeasurementJob(TINY, seed=1, first_list=True))
    assert result.first_list is not None and result.idle is None and result.load is None
    assert result.first_list.before > 0 and result.first_list.during > 0
    assert set(psutil.Process().children(recursive=True)) <= before
