"""The balancer as a process: configuration, exit codes, SIGTERM and SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from dykeshift.node import config
from tests.node.stubs import (
    StubClient,
    StubLongPollServer,
    StubServer,
    configuration,
    free_port,
    http_request,
    http_response,
    instance,
    listing,
    never_responds,
    read_message,
    responds_with,
    run,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = [sys.executable, "-m", "dykeshift.node"]


def config_text(**changes: Any) -> str:
    return json.dumps({**configuration(("127.0.0.1", 9)), **changes})


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "{",
        "[]",
        "5",
        "{}",
        config_text(listen="nowhere"),
        config_text(listen="127.0.0.1:99999"),
        config_text(settings={}),
        config_text(settings=None),
        config_text(settings=5),
        config_text(limits=5),
        config_text(limits={"sockets": "many"}),
        config_text(discovery=None),
    ],
)
def test_invalid_configuration_prints_one_line_and_exits_2(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    result = subprocess.run(
        COMMAND,
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(path)},
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1 and "Traceback" not in result.stderr


@pytest.mark.parametrize(
    ("limits", "expected_limit"),
    [
        ({"sockets": 1024, "memory_mb": 192}, 409),
        ({"sockets": 256, "memory_mb": 192}, 102),
        ({"sockets": 256, "memory_mb": 32}, 62),
        ({"sockets": 1024, "memory_mb": 64}, 187),
        ({}, 409),
        ({"sockets": 16, "memory_mb": 8}, 4),
    ],
)
def test_connection_limit_follows_descriptors_and_memory(limits: dict[str, int], expected_limit: int) -> None:
    assert config.parse(config_text(limits=limits)).max_connections == expected_limit


def test_unset_node_config_prints_one_line_and_exits_2() -> None:
    environment = {k: v for k, v in os.environ.items() if k != "NODE_CONFIG"}
    result = subprocess.run(COMMAND, cwd=ROOT, env=environment, timeout=60, capture_output=True, text=True)
    assert (result.returncode, result.stderr.count("\n")) == (2, 1) and "NODE_CONFIG" in result.stderr


def test_address_in_use_prints_one_line_and_exits_2(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        path = tmp_path / "config.json"
        path.write_text(config_text(listen="127.0.0.1:%d" % occupied.getsockname()[1]))
        result = subprocess.run(
            COMMAND,
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
            timeout=60,
            capture_output=True,
            text=True,
        )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1 and "Traceback" not in result.stderr


@asynccontextmanager
async def balancer_process(
    stub: StubServer,
    directory: Path,
    stderr: int | None = None,
    longest_client_timeout_s: float = 5.0,
    environment: Mapping[str, str] | None = None,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Run a real balancer process that forwards to one server; yields the process and its port.

    All classes get the client timeout `longest_client_timeout_s`.
    """
    discovery = await StubLongPollServer().start()
    port, path = free_port(), directory / "config.json"
    known_list = listing(1, True, instance("s0", stub.address))
    document = {**configuration(discovery.address, known_list), "listen": f"127.0.0.1:{port}"}
    for service in document["settings"]["services"]:
        service["deadlineNs"] = int(longest_client_timeout_s * 1e9)
    path.write_text(json.dumps(document))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        cwd=ROOT,
        env={**os.environ, **(environment or {}), "NODE_CONFIG": str(path)},
        stderr=stderr,
    )
    try:
        await wait_until_listening(port)
        yield process, port
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def wait_until_listening(port: int) -> None:
    while True:
        with suppress(OSError):
            (await connect(port)).writer.close()
            return
        await asyncio.sleep(0.01)


async def connect(port: int) -> StubClient:
    return StubClient(*await asyncio.open_connection("127.0.0.1", port))


def test_sigterm_answers_all_accepted_requests_and_exits_0(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            idle, busy, probe = await connect(port), await connect(port), await connect(port)
            assert "200" in (await probe.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line
            busy.writer.write(http_request(request_id="busy"))
            await wait_until(lambda: len(stub.requests) == 1)
            process.send_signal(signal.SIGTERM)
            await wait_until_not_ready(probe)  # idle connections are still served
            late_client = await connect(port)  # still accepted and answered
            stub.handler = responds_with(http_response(b"late"))
            assert (await late_client.fetch(http_request("check", request_id="late"))).body == b"late"
            for n in range(3):  # the client finds no other balancer if all are restarted
                response = await idle.fetch(http_request("check", request_id=f"kept{n}"))
                assert response.body == b"late" and "connection" not in response.headers
            stub.writers[0].write(http_response(b"at last"))
            assert (await read_message(busy.reader)).body == b"at last"
            for client in (idle, busy, probe, late_client):
                client.writer.close()
            assert await process.wait() == 0

    run(main())


async def wait_until_not_ready(probe: StubClient) -> None:
    while "200" in (await probe.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line:
        await asyncio.sleep(0.01)


def test_sigterm_answers_waiting_and_closes_idle_clients_before_sigkill(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path, stderr=asyncio.subprocess.PIPE) as (process, port):
            idle, waiting = await connect(port), await connect(port)
            assert "200" in (await idle.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line
            process.send_signal(signal.SIGTERM)
            await wait_until_not_ready(idle)
            # Its client timeout ends after the process has to end.
            response = await waiting.fetch(http_request("send", request_id="waiting", deadline_ms=5000))
            assert int(response.start_line.split()[1]) >= 500 and response.headers["connection"] == "close"
            assert await idle.reader.read() == b""
            assert process.stderr is not None
            log_text = (await process.stderr.read()).decode()
            assert (
                "shutting down: 2 clients connected" in log_text
                and "shutdown complete: 0 clients without a final response" in log_text
            )
            assert await process.wait() == 0

    run(main())


def test_sigterm_does_not_wait_for_an_incomplete_request(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            incomplete = await connect(port)
            incomplete.writer.write(b"POST /api HTTP/1.1\r\nHost: b\r\n")
            await incomplete.writer.drain()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            incomplete.writer.close()

    run(main())


def test_sigterm_without_open_requests_exits_0(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, _):
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(main())


# ---- configuration reload ----


def switch_discovery(
    directory: Path, discovery: StubLongPollServer, process: asyncio.subprocess.Process
) -> None:
    path = directory / "config.json"
    document = json.loads(path.read_text())
    path.write_text(json.dumps({**document, "discovery": "%s:%d" % discovery.address}))
    process.send_signal(signal.SIGHUP)


def test_sighup_switches_discovery_and_keeps_connections_and_requests(tmp_path: Path) -> None:
    async def main() -> None:
        stub, added = (
            await StubServer(never_responds).start(),
            await StubServer(responds_with(http_response(b"added"))).start(),
        )
        second, third = await StubLongPollServer().start(), await StubLongPollServer().start()
        async with balancer_process(stub, tmp_path) as (process, port):
            busy, idle = await connect(port), await connect(port)
            busy.writer.write(http_request(request_id="busy"))
            await wait_until(lambda: len(stub.requests) == 1)
            switch_discovery(tmp_path, second, process)
            # It asks for a full list, because generations of two discovery services may not compare.
            await wait_until(lambda: second.paths == ["/v1/endpoints"])
            switch_discovery(tmp_path, third, process)  # while the first call there is open
            await wait_until(lambda: third.paths == ["/v1/endpoints"])
            # The new list is applied although its generation is lower than the known one.
            third.queue_json(listing(0, True, instance("s0", stub.address), instance("s1", added.address)))
            await wait_until(lambda: len(third.paths) == 2)
            assert third.paths[1].startswith("/v1/endpoints?from=0&")
            stub.writers[0].write(http_response(b"went on"))
            assert (await read_message(busy.reader)).body == b"went on"
            stub.handler = responds_with(http_response(b"warm"))
            bodies = [(await idle.fetch(http_request("check", request_id=f"r{n}"))).body for n in range(20)]
            assert {b"warm", b"added"} == set(bodies)
            assert stub.closed_connections == 0  # connections to servers are kept
            assert len(second.paths) == 1
            process.send_signal(signal.SIGHUP)  # the same discovery address: no effect
            for client in (busy, idle):
                client.writer.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert len(third.paths) == 2

    run(main())


def test_sighup_during_shutdown_does_not_disturb_it(tmp_path: Path) -> None:
    async def main() -> None:
        stub, second = await StubServer(never_responds).start(), await StubLongPollServer().start()
        async with balancer_process(stub, tmp_path) as (process, port):
            busy, probe = await connect(port), await connect(port)
            busy.writer.write(http_request(request_id="busy"))
            await wait_until(lambda: len(stub.requests) == 1)
            process.send_signal(signal.SIGTERM)
            await wait_until_not_ready(probe)
            switch_discovery(tmp_path, second, process)
            await wait_until(lambda: second.paths == ["/v1/endpoints"])
            (tmp_path / "config.json").write_text("{")
            process.send_signal(signal.SIGHUP)
            stub.writers[0].write(http_response(b"at last"))
            assert (await read_message(busy.reader)).body == b"at last"
            for client in (busy, probe):
                client.writer.close()
            assert await process.wait() == 0

    run(main())


def test_sighup_at_the_very_end_of_a_shutdown_does_not_end_the_process(tmp_path: Path) -> None:
    # Guards against an exit by SIGHUP once the event loop is closed, which restores the default handler.
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, _):
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.001)
            assert await process.wait() == 0

    run(main())


MEMORY_PROBE = """
def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1])

size = 4 * 1024 * 1024  # of the longest list
text = b"x" * size
del text  # malloc with adaptive thresholds takes the next such block from the heap and keeps it
before = resident()
text = b"x" * size
behind = bytes(3000)  # lies above the text if both are on the heap
del text
print((resident() - before) * 4096 < size // 2)
"""


def test_memory_of_a_large_list_is_returned_to_the_system() -> None:
    """With the deploy file's environment, the process does not keep the memory of its longest list."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python -m dykeshift.node", f"{sys.executable} -c '{MEMORY_PROBE}'")
    result = subprocess.run(["/bin/sh", "-c", command], capture_output=True, text=True, timeout=60)
    assert result.stdout == "True\n"


def test_sighup_during_start_up_does_not_end_the_process(tmp_path: Path) -> None:
    """The process is started by the deploy file's command and gets the signal as soon as Python runs."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        discovery = await StubLongPollServer().start()
        port, path = free_port(), tmp_path / "config.json"
        known_list = listing(1, True, instance("s0", stub.address))
        path.write_text(
            json.dumps({**configuration(discovery.address, known_list), "listen": f"127.0.0.1:{port}"})
        )
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command.replace(".venv/bin/python", sys.executable),
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
        )
        try:
            # The shell has been replaced by the balancer by then.
            cmdline = "\0".join([sys.executable, "-m", "dykeshift.node", ""]).encode()
            await wait_until(lambda: Path(f"/proc/{process.pid}/cmdline").read_bytes() == cmdline)
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: bool(discovery.paths) or process.returncode is not None)
            assert process.returncode is None
            await wait_until_listening(port)
            client = await connect(port)
            assert "200" in (await client.fetch(http_request("check"))).start_line
            client.writer.close()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    run(main())


def test_sighup_with_an_invalid_file_logs_one_line_and_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        second = await StubLongPollServer().start()
        async with balancer_process(stub, tmp_path, stderr=asyncio.subprocess.PIPE) as (process, port):
            path, client = tmp_path / "config.json", await connect(port)
            valid_text = path.read_text()
            assert process.stderr is not None
            for invalid_text in ("{", "", config_text(discovery="nowhere"), "[]"):
                path.write_text(invalid_text)
                process.send_signal(signal.SIGHUP)
                line = (await process.stderr.readline()).decode()
                assert "the old configuration is kept" in line
                assert (
                    "200" in (await client.fetch(http_request("check", request_id=str(len(line))))).start_line
                )
            path.write_text(valid_text)
            switch_discovery(tmp_path, second, process)
            await wait_until(lambda: second.paths == ["/v1/endpoints"])

    run(main())
