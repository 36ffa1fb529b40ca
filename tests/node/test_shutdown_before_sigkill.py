"""Shutdown after SIGTERM of real processes that are stalled, and killed at the earliest allowed moment.

Guards against accepted requests that get no response during planned restarts. Clients go on sending on kept
connections after SIGTERM. Requests sent more than 0.7 s after it have their deadlines cut to the end of
service. SIGKILL may come as early as the longest client timeout plus 0.7 s after SIGTERM. The end of service
was set only 0.1 s before that and counted from when the event loop handled the signal, while a process may
stall for 0.15 s at any moment, so SIGKILL came before the responses.

In the logs of 96 planned restarts (longest client timeouts of 1.2 to 3 s), the 43 processes with the longest
one ended 3.60 to 3.62 s after SIGTERM, and SIGKILL may come after 3.70 s. With that end of service, a stall
of 0.14 s across that moment lost every open request in each run of this test.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
from asyncio.subprocess import Process
from contextlib import suppress
from pathlib import Path

import pytest

from tests.node.stubs import (
    Message,
    StubClient,
    StubLongPollServer,
    StubServer,
    configuration,
    free_port,
    http_request,
    never_responds,
    read_message,
    run,
    settings,
    wait_until,
)
from tests.node.test_program import COMMAND, ROOT, balancer_process, connect

LONGEST_CLIENT_TIMEOUT_S = 0.8  # of all classes
SIGKILL_AFTER_S = LONGEST_CLIENT_TIMEOUT_S + 0.7  # the earliest SIGKILL after SIGTERM
STALL_S = 0.14  # a little less than the 0.15 s that a process may stall at any moment
SEND_AFTER_S = 0.75  # after SIGTERM; later than 0.7 s, so that client timeouts end after the SIGKILL


async def sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))


async def stall_process(process: Process, at: float) -> None:
    """Stop the process for STALL_S from the loop time `at` on."""
    await sleep_until(at)
    with suppress(ProcessLookupError):  # the process may have ended by then
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STALL_S)
        process.send_signal(signal.SIGCONT)


async def kill_process(process: Process, at: float) -> None:
    await sleep_until(at)
    if process.returncode is None:
        process.kill()


async def read_final_response(client: StubClient) -> Message | None:
    """Return the response that reached the client, or None if the connection ended without one."""
    try:
        return await read_message(client.reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


@pytest.mark.parametrize("stall_before_kill_s", [0.12, 0.2, 0.3])
@pytest.mark.parametrize("is_stalled_at_signal", [False, True])
def test_open_requests_are_answered_before_the_earliest_sigkill(
    is_stalled_at_signal: bool, stall_before_kill_s: float, tmp_path: Path
) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path, longest_client_timeout_s=LONGEST_CLIENT_TIMEOUT_S) as (
            process,
            port,
        ):
            clients = [await connect(port) for _ in range(8)]
            if is_stalled_at_signal:
                process.send_signal(signal.SIGSTOP)
            process.send_signal(signal.SIGTERM)
            signalled_at = loop.time()
            if is_stalled_at_signal:
                loop.call_later(STALL_S, process.send_signal, signal.SIGCONT)
            kill_task = loop.create_task(kill_process(process, signalled_at + SIGKILL_AFTER_S))
            stall_task = loop.create_task(
                stall_process(process, signalled_at + SIGKILL_AFTER_S - stall_before_kill_s)
            )
            await sleep_until(signalled_at + SEND_AFTER_S)
            for number, client in enumerate(clients):
                message = http_request(
                    "send", request_id=f"r{number}", deadline_ms=int(LONGEST_CLIENT_TIMEOUT_S * 1000)
                )
                client.writer.write(message)
            responses = await asyncio.gather(*map(read_final_response, clients))
            await asyncio.gather(kill_task, stall_task)
            assert None not in responses, f"{responses.count(None)} of {len(responses)} requests lost"

    run(main())


def test_incomplete_request_is_refused_at_the_end_of_service(tmp_path: Path) -> None:
    """Its last byte may arrive just as the process ends; the request would be accepted and never answered."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path, longest_client_timeout_s=LONGEST_CLIENT_TIMEOUT_S) as (
            process,
            port,
        ):
            client = await connect(port)
            process.send_signal(signal.SIGTERM)
            signalled_at = loop.time()
            await sleep_until(signalled_at + SEND_AFTER_S)
            client.writer.write(http_request("send")[:-1])
            response = await read_final_response(client)
            assert response is not None and " 503 " in response.start_line
            assert response.headers["connection"] == "close"
            assert loop.time() < signalled_at + SIGKILL_AFTER_S and await process.wait() == 0

    run(main())


def test_sigterm_before_service_begins_ends_the_start(tmp_path: Path) -> None:
    """The time until SIGKILL runs from the signal on, so clients accepted later might get no response."""

    async def main() -> None:
        # It never responds. In the push mode, the process waits for the agent's list before it serves.
        discovery = await StubLongPollServer().start()
        port, path = free_port(), tmp_path / "config.json"
        document = {**configuration(discovery.address), "listen": f"127.0.0.1:{port}"}
        document["settings"] = settings(discovery="push")
        document["settings"]["obligations"]["drainGraceNs"] = 5_000_000_000
        path.write_text(json.dumps(document))
        process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, env={**os.environ, "NODE_CONFIG": str(path)}
        )
        try:
            await wait_until(lambda: bool(discovery.paths))
            process.send_signal(signal.SIGTERM)
            connections = 0
            while process.returncode is None:
                with suppress(ConnectionError):
                    (await connect(port)).writer.close()
                    connections += 1
                await asyncio.sleep(0.01)
            assert (process.returncode, connections) == (0, 0)
        finally:
            if process.returncode is None:
                process.kill()

    run(main())
