"""The program as it is run: configuration, exit codes and a planned restart."""

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
def test_bad_configuration_is_one_line_and_exit_2(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        COMMAND,
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(path)},
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr


@pytest.mark.parametrize(
    ("limits", "most"),
    [
        ({"sockets": 1024, "memory_mb": 192}, 409),
        ({"sockets": 256, "memory_mb": 192}, 102),
        ({"sockets": 256, "memory_mb": 32}, 62),
        ({"sockets": 1024, "memory_mb": 64}, 187),
        ({}, 409),
        ({"sockets": 16, "memory_mb": 8}, 4),
    ],
)
def test_connections_are_bounded_by_descriptors_and_memory(limits: dict[str, int], most: int) -> None:
    assert config.parse(config_text(limits=limits)).max_connections == most


def test_no_configuration_is_one_line_and_exit_2() -> None:
    env = {k: v for k, v in os.environ.items() if k != "NODE_CONFIG"}
    done = subprocess.run(COMMAND, cwd=ROOT, env=env, timeout=60, capture_output=True, text=True)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and "NODE_CONFIG" in done.stderr


def test_an_address_in_use_is_one_line_and_exit_2(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text(config_text(listen="127.0.0.1:%d" % taken.getsockname()[1]))
        done = subprocess.run(
            COMMAND,
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
            timeout=60,
            capture_output=True,
            text=True,
        )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr


@asynccontextmanager
async def balancer_process(
    stub: StubServer,
    folder: Path,
    stderr: int | None = None,
    longest_deadline: float = 5.0,
    environment: Mapping[str, str] | None = None,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """A real balancer process before one upstream; `longest_deadline` of its classes is in seconds."""
    registry = await StubLongPollServer().start()
    port, path = free_port(), folder / "config.json"
    known = listing(1, True, instance("s0", stub.address))
    given = {**configuration(registry.address, known), "listen": f"127.0.0.1:{port}"}
    for one in given["settings"]["services"]:
        one["deadlineNs"] = int(longest_deadline * 1e9)
    path.write_text(json.dumps(given))
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


def test_sigterm_answers_all_that_was_taken_and_exits_0(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            kept, busy, probe = await connect(port), await connect(port), await connect(port)
            assert "200" in (await probe.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line
            busy.writer.write(http_request(request_id="busy"))
            await wait_until(lambda: len(stub.requests) == 1)
            process.send_signal(signal.SIGTERM)
            await wait_until_not_ready(probe)  # kept, and between requests: served on
            late = await connect(port)  # still comes in, and is answered
            stub.handler = responds_with(http_response(b"late"))
            assert (await late.fetch(http_request("check", request_id="late"))).body == b"late"
            for n in range(3):  # this client has nowhere else to go while the others are restarted too
                got = await kept.fetch(http_request("check", request_id=f"kept{n}"))
                assert got.body == b"late" and "connection" not in got.headers
            stub.writers[0].write(http_response(b"at last"))
            assert (await read_message(busy.reader)).body == b"at last"
            for caller in (kept, busy, probe, late):
                caller.writer.close()
            assert await process.wait() == 0

    run(main())


async def wait_until_not_ready(probe: StubClient) -> None:
    while "200" in (await probe.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line:
        await asyncio.sleep(0.01)


def test_sigterm_answers_and_lets_go_of_those_who_stay_before_it_is_killed(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path, stderr=asyncio.subprocess.PIPE) as (process, port):
            idle, waiting = await connect(port), await connect(port)
            assert "200" in (await idle.fetch(b"GET /ready HTTP/1.1\r\nHost: b\r\n\r\n")).start_line
            process.send_signal(signal.SIGTERM)
            await wait_until_not_ready(idle)
            # It would wait for longer than the program lives.
            got = await waiting.fetch(http_request("send", request_id="waiting", deadline_ms=5000))
            assert int(got.start_line.split()[1]) >= 500 and got.headers["connection"] == "close"
            assert await idle.reader.read() == b""
            assert process.stderr is not None
            told = (await process.stderr.read()).decode()
            assert (
                "shutting down: 2 clients connected" in told
                and "shutdown complete: 0 clients without a final answer" in told
            )
            assert await process.wait() == 0

    run(main())


def test_sigterm_does_not_wait_for_a_request_that_never_comes_whole(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, port):
            half = await connect(port)
            half.writer.write(b"POST /api HTTP/1.1\r\nHost: b\r\n")
            await half.writer.drain()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            half.writer.close()

    run(main())


def test_sigterm_with_nothing_to_do_exits_0(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with balancer_process(stub, tmp_path) as (process, _):
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(main())


# ---- a new configuration ----


def switch_discovery(folder: Path, registry: StubLongPollServer, process: asyncio.subprocess.Process) -> None:
    path = folder / "config.json"
    given = json.loads(path.read_text())
    path.write_text(json.dumps({**given, "discovery": "%s:%d" % registry.address}))
    process.send_signal(signal.SIGHUP)


def test_sighup_moves_to_the_new_discovery_and_keeps_all_else(tmp_path: Path) -> None:
    async def main() -> None:
        stub, added = (
            await StubServer(never_responds).start(),
            await StubServer(responds_with(http_response(b"added"))).start(),
        )
        second, third = await StubLongPollServer().start(), await StubLongPollServer().start()
        async with balancer_process(stub, tmp_path) as (process, port):
            busy, kept = await connect(port), await connect(port)
            busy.writer.write(http_request(request_id="busy"))
            await wait_until(lambda: len(stub.requests) == 1)
            switch_discovery(tmp_path, second, process)
            await wait_until(lambda: second.paths == ["/v1/endpoints"])  # whole: generations may not compare
            switch_discovery(tmp_path, third, process)  # while the first such call is open
            await wait_until(lambda: third.paths == ["/v1/endpoints"])
            # Lower than the generation known before, and followed nevertheless.
            third.queue_json(listing(0, True, instance("s0", stub.address), instance("s1", added.address)))
            await wait_until(lambda: len(third.paths) == 2)
            assert third.paths[1].startswith("/v1/endpoints?from=0&")
            stub.writers[0].write(http_response(b"went on"))
            assert (await read_message(busy.reader)).body == b"went on"
            stub.handler = responds_with(http_response(b"warm"))
            got = [(await kept.fetch(http_request("check", request_id=f"r{n}"))).body for n in range(20)]
            assert {b"warm", b"added"} == set(got)
            assert stub.closed_connections == 0  # connections from before are kept
            assert len(second.paths) == 1
            process.send_signal(signal.SIGHUP)  # the same discovery: nothing changes
            for caller in (busy, kept):
                caller.writer.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert len(third.paths) == 2

    run(main())


def test_a_sighup_while_the_program_stops_harms_nothing(tmp_path: Path) -> None:
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
            for caller in (busy, probe):
                caller.writer.close()
            assert await process.wait() == 0

    run(main())


GIVES_BACK = """
def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1])

size = 4 * 1024 * 1024  # the longest list
text = b"x" * size
del text  # an allocator that adapts itself to this keeps what follows
before = resident()
text = b"x" * size
behind = bytes(3000)
del text
print((resident() - before) * 4096 < size // 2)
"""


def test_the_memory_of_a_list_that_was_read_is_given_back() -> None:
    """Started as the deploy file starts it, the program is not as large as its longest list for ever."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python -m dykeshift.node", f"{sys.executable} -c '{GIVES_BACK}'")
    done = subprocess.run(["/bin/sh", "-c", command], capture_output=True, text=True, timeout=60)
    assert done.stdout == "True\n"


def test_a_sighup_while_the_program_loads_does_not_end_it(tmp_path: Path) -> None:
    """As the deploy file starts it; the signal comes as soon as the interpreter runs."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        registry = await StubLongPollServer().start()
        port, path = free_port(), tmp_path / "config.json"
        known = listing(1, True, instance("s0", stub.address))
        path.write_text(json.dumps({**configuration(registry.address, known), "listen": f"127.0.0.1:{port}"}))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command.replace(".venv/bin/python", sys.executable),
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
        )
        try:
            runs = "\0".join([sys.executable, "-m", "dykeshift.node", ""]).encode()  # no longer the shell
            await wait_until(lambda: Path(f"/proc/{process.pid}/cmdline").read_bytes() == runs)
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: bool(registry.paths) or process.returncode is not None)
            assert process.returncode is None
            await wait_until_listening(port)
            caller = await connect(port)
            assert "200" in (await caller.fetch(http_request("check"))).start_line
            caller.writer.close()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    run(main())


def test_sighup_with_a_bad_file_is_one_line_and_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        second = await StubLongPollServer().start()
        async with balancer_process(stub, tmp_path, stderr=asyncio.subprocess.PIPE) as (process, port):
            path, caller = tmp_path / "config.json", await connect(port)
            sound = path.read_text()
            assert process.stderr is not None
            for bad in ("{", "", config_text(discovery="nowhere"), "[]"):
                path.write_text(bad)
                process.send_signal(signal.SIGHUP)
                line = (await process.stderr.readline()).decode()
                assert "the old configuration is kept" in line
                assert (
                    "200" in (await caller.fetch(http_request("check", request_id=str(len(line))))).start_line
                )
            path.write_text(sound)
            switch_discovery(tmp_path, second, process)
            await wait_until(lambda: second.paths == ["/v1/endpoints"])

    run(main())
