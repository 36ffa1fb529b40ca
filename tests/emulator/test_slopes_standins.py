"""The stand-ins and clients of the command `slopes`, and its rig with a balancer of a tiny deployment."""

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
from emulator.slopes.deployment import CLIENT_TIMEOUT_MS, server_host
from emulator.slopes.process_role import run_rig
from emulator.slopes.rig import MeasurementJob, MeasurementResult, job_result
from emulator.slopes.sizes import BASE
from emulator.slopes.standins import LOCALHOST, DiscoveryAgent, start_discovery_agent, start_photo_servers

TINY = msgspec.structs.replace(BASE, servers=20, tenants=5, services=3, balancers=2)
TEST_TIMEOUT_S = 10.0


def run_async(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main, TEST_TIMEOUT_S))


async def fetch(connection: ClientConnection, path: str) -> dict[str, Any]:
    """Return the JSON of the response, with its status added as `status`."""
    response: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
    message = f"GET {path} HTTP/1.1\r\nHost: agent\r\n\r\n".encode()
    connection.send_request(
        message, lambda status, body: response.set_result({"status": status, **json.loads(body)})
    )
    return await response


def test_the_agent_sends_the_list_and_answers_long_polls_with_changes() -> None:
    async def main() -> None:
        agent = DiscoveryAgent(servers=3, server_port=8081)
        connection = await open_connection((LOCALHOST, await start_discovery_agent(agent)))
        full_list = await fetch(connection, "/v1/endpoints")
        assert (full_list["generation"], full_list["reset"], len(full_list["instances"])) == (1, True, 3)
        assert full_list["instances"][2]["hostPort"] == f"{server_host(2)}:8081"
        empty_delta = await fetch(connection, "/v1/endpoints?from=1&hold_ms=20")
        assert (empty_delta["generation"], empty_delta["reset"], empty_delta["instances"]) == (1, False, [])
        long_poll = asyncio.create_task(fetch(connection, "/v1/endpoints?from=1&hold_ms=5000"))
        while not agent.pending_polls:
            await asyncio.sleep(0.001)
        agent.publish_change(1, "leaving")
        delta = await long_poll
        assert (delta["generation"], delta["reset"]) == (2, False)
        assert [instance["lifecycle"] for instance in delta["instances"]] == ["leaving"]
        immediate_delta = await fetch(connection, "/v1/endpoints?from=1&hold_ms=0")
        assert immediate_delta["instances"] == delta["instances"]
        assert agent.bytes_out > agent.bytes_in > 0

    run_async(main())


def test_an_agent_that_withholds_responses_sends_them_on_release() -> None:
    async def main() -> None:
        agent = DiscoveryAgent(servers=1, server_port=8081)
        agent.withholds_responses = True
        connection = await open_connection((LOCALHOST, await start_discovery_agent(agent)))
        first_call = asyncio.create_task(fetch(connection, "/v1/endpoints"))
        await asyncio.sleep(0.05)
        assert not first_call.done()
        agent.release_responses()
        assert (await first_call)["reset"] is True

    run_async(main())


def test_the_open_loop_client_records_the_latency_added_to_the_service_time() -> None:
    async def main() -> None:
        port = await start_photo_servers(2)
        client = OpenLoopClient([(server_host(0), port), (server_host(1), port)], TINY, seed=3)
        await client.run(0.5)
        await client.wait_for_responses()
        assert client.status_counts == {200: client.request_count} and client.request_count > 10
        assert client.added_latency_us.get_total_count() == client.request_count
        assert client.added_latency_us.get_value_at_percentile(50) < 20_000  # without the service time
        client.close()

    run_async(main())


def test_requests_with_failed_connections_count_with_the_whole_timeout() -> None:
    """Left out of the latencies, requests that fail would make a broken balancer look fast."""

    async def main() -> None:
        client = OpenLoopClient([(LOCALHOST, 1)], TINY, seed=3)
        await client.run(0.1)
        await client.wait_for_responses()
        assert client.status_counts == {NO_RESPONSE: client.request_count}
        assert client.added_latency_us.get_value_at_percentile(1) >= CLIENT_TIMEOUT_MS * 1_000

    run_async(main())


def test_stand_ins_close_connections_with_malformed_http() -> None:
    async def main() -> None:
        port = await start_photo_servers(1)
        reader, writer = await asyncio.open_connection(server_host(0), port)
        writer.write(b"nonsense\r\n\r\n")
        assert await reader.read() == b""
        writer.close()

    run_async(main())


def test_a_failed_job_gives_a_result_with_the_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(_: MeasurementJob) -> MeasurementResult:
        raise RigError("the balancer exited")

    async def main() -> None:
        assert await job_result(MeasurementJob(TINY, seed=1)) == MeasurementResult(
            error="the balancer exited"
        )

    monkeypatch.setattr(rig, "run_job", fail)
    run_async(main())


def test_the_rig_measures_a_first_list_and_leaves_no_process_behind() -> None:
    processes_before = set(psutil.Process().children(recursive=True))
    result = run_rig(MeasurementJob(TINY, seed=1, first_list=True))
    assert result.first_list is not None and result.idle is None and result.load is None
    assert result.first_list.before > 0 and result.first_list.during > 0
    assert set(psutil.Process().children(recursive=True)) <= processes_before
