"""Transient failures of system calls, in a real process under the emulator's fault shim and in this one."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import subprocess
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

import pytest
import uvloop

from dykeshift.node import config, startup
from dykeshift.node.config import Config
from emulator.faults.shim import (
    TRANSIENT_ERRORS_BY_CALL,
    FaultRule,
    Faults,
    SystemCall,
    build_shim,
    fail_with,
)
from tests.node.stubs import (
    StubLongPollServer,
    StubServer,
    http_request,
    http_response,
    responds_with,
    run,
    running_balancer,
    wait_until,
)
from tests.node.test_program import COMMAND, ROOT, balancer_process, config_text, connect

MAX_START_S = 10.0
TRANSIENT_FAILURES = [
    (SystemCall.SOCKET, errno.ENFILE),
    (SystemCall.SOCKET, errno.ENOBUFS),
    (SystemCall.BIND, errno.ENOMEM),
    (SystemCall.LISTEN, errno.EADDRINUSE),
]


def fault_environment(*rules: FaultRule) -> dict[str, str]:
    return Faults(seed=7, rules=rules).environment(build_shim())


@pytest.mark.parametrize(("failing_call", "error"), TRANSIENT_FAILURES, ids=lambda value: str(value))
def test_start_with_transient_call_failures_serves(
    failing_call: SystemCall, error: int, tmp_path: Path
) -> None:
    """Guards against a process that runs and reads its server list, but never accepts a client.

    When the listener's only `socket` call failed, the event loop silently skipped the address, and the
    process went on without a listener: a trace of its calls had neither `bind` nor `listen`. When `bind` or
    `listen` failed, the process ended, although the error was transient.
    """

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        environment = fault_environment(FaultRule(failing_call, fail_with(error), max_faults=3))
        async with asyncio.timeout(MAX_START_S):
            async with balancer_process(stub, tmp_path, environment=environment) as (_, port):
                client = await connect(port)
                assert "200" in (await client.fetch(http_request("check"))).start_line
                client.writer.close()

    run(main())


@pytest.mark.parametrize("error", TRANSIENT_ERRORS_BY_CALL[SystemCall.ACCEPT])
def test_failing_accepts_do_not_end_service_or_lose_clients(error: int, tmp_path: Path) -> None:
    """Guards against closing pending connections unread when `accept` fails.

    On EMFILE and ENFILE the event loop's own server accepted all pending connections and closed them. Their
    clients had already sent a request and got no response, and nothing was logged. The other errors did no
    harm, but were not logged either.
    """

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        environment = fault_environment(FaultRule(SystemCall.ACCEPT, fail_with(error), share=0.5))
        async with balancer_process(stub, tmp_path, environment=environment, stderr=subprocess.PIPE) as (
            process,
            port,
        ):
            for number in range(30):
                client = await connect(port)
                assert (
                    "200" in (await client.fetch(http_request("check", request_id=f"r{number}"))).start_line
                )
                client.writer.close()
            process.terminate()
            assert process.stderr is not None
            log_text = (await process.stderr.read()).decode()
            assert await process.wait() == 0
            if error != errno.EINTR:  # Python repeats an interrupted call by itself, without an error
                assert f"accept failed: {os.strerror(error)}" in log_text

    run(main())


def test_start_that_cannot_listen_ends_with_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads(config_text()), "listen": "127.0.0.1:0"}))
    environment = fault_environment(FaultRule(SystemCall.SOCKET, fail_with(errno.EACCES)))
    result = subprocess.run(
        COMMAND,
        cwd=ROOT,
        env={**os.environ, **environment, "NODE_CONFIG": str(path)},
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1 and "cannot listen" in result.stderr


def load_after_read_errors(times: int, error_number: int, loaded: Config) -> Callable[[], Config]:
    """A loader that returns `loaded` after `times` attempts to open the file have failed."""
    remaining_failures = iter(range(times))

    def load() -> Config:
        if next(remaining_failures, None) is None:
            return loaded
        with patch("builtins.open", side_effect=OSError(error_number, os.strerror(error_number))):
            return config.load("/config.json")

    return load


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.EIO, errno.ENOMEM])
def test_reload_is_retried_after_transient_read_errors(error: int) -> None:
    """Guards against dropping a reload with a mere log line: the signal is not sent a second time."""

    async def main() -> None:
        new_discovery = await StubLongPollServer().start()
        async with running_balancer() as balancer:
            changed = replace(balancer.configuration, discovery=new_discovery.address)
            balancer.reload.load = load_after_read_errors(3, error, changed)
            balancer.reload()
            await wait_until(lambda: bool(new_discovery.paths))

    run(main())


def test_reload_of_a_missing_file_is_not_retried() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            balancer.reload.load = load_after_read_errors(3, errno.ENOENT, balancer.configuration)
            balancer.reload()
            assert balancer.reload.retry_timer is None

    run(main())


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ENOMEM])
def test_event_loop_creation_is_retried_while_descriptors_are_short(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    create_event_loop = uvloop.new_event_loop
    failures = iter([OSError(error_number, os.strerror(error_number))] * 2)

    def new_event_loop() -> asyncio.AbstractEventLoop:
        for failure in failures:
            raise failure
        return create_event_loop()

    monkeypatch.setattr(uvloop, "new_event_loop", new_event_loop)
    startup.new_event_loop().close()
