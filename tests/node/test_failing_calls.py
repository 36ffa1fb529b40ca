"""System calls that fail for a moment, in a real process under the emulator's fault shim."""

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
from emulator.faults.shim import PASSING_ERRORS, Call, Faults, Rule, build_shim, failing
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

READY_WITHIN = 10.0  # seconds
PASSING = [
    (Call.SOCKET, errno.ENFILE),
    (Call.SOCKET, errno.ENOBUFS),
    (Call.BIND, errno.ENOMEM),
    (Call.LISTEN, errno.EADDRINUSE),
]


def faults(*rules: Rule) -> dict[str, str]:
    return Faults(seed=7, rules=rules).environment(build_shim())


@pytest.mark.parametrize(("failed", "error"), PASSING, ids=lambda value: str(value))
def test_a_start_whose_calls_fail_for_a_moment_serves(failed: Call, error: int, tmp_path: Path) -> None:
    """The process was up, took its list and never accepted a client.

    The listener's one `socket` call had failed, the event loop passed over the address without an error, and
    the program went on with no listener: a trace of its calls had no `bind` and no `listen`. Where `bind` or
    `listen` failed it ended, though the failure was over a moment later.
    """

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        environment = faults(Rule(failed, failing(error), most=3))
        async with asyncio.timeout(READY_WITHIN):
            async with balancer_process(stub, tmp_path, environment=environment) as (_, port):
                caller = await connect(port)
                assert "200" in (await caller.fetch(http_request("check"))).start_line
                caller.writer.close()

    run(main())


@pytest.mark.parametrize("error", PASSING_ERRORS[Call.ACCEPT])
def test_accepts_that_fail_in_a_row_end_no_service_and_lose_no_client(error: int, tmp_path: Path) -> None:
    """On EMFILE and ENFILE the event loop accepted all who waited and closed them unread.

    Their clients had sent a request by then and got no answer, with nothing in the log. The other errors did
    no harm, and were not told either.
    """

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        environment = faults(Rule(Call.ACCEPT, failing(error), share=0.5))
        async with balancer_process(stub, tmp_path, environment=environment, stderr=subprocess.PIPE) as (
            process,
            port,
        ):
            for number in range(30):
                caller = await connect(port)
                assert (
                    "200" in (await caller.fetch(http_request("check", request_id=f"r{number}"))).start_line
                )
                caller.writer.close()
            process.terminate()
            assert process.stderr is not None
            told = (await process.stderr.read()).decode()
            assert await process.wait() == 0
            if error != errno.EINTR:  # tried again at once, by the system's own rule
                assert f"accept failed: {os.strerror(error)}" in told

    run(main())


def test_a_start_that_cannot_listen_ends_with_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads(config_text()), "listen": "127.0.0.1:0"}))
    environment = faults(Rule(Call.SOCKET, failing(errno.EACCES)))
    done = subprocess.run(
        COMMAND,
        cwd=ROOT,
        env={**os.environ, **environment, "NODE_CONFIG": str(path)},
        timeout=60,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "cannot listen" in done.stderr


def unreadable(times: int, number: int, then: Config) -> Callable[[], Config]:
    """Loads the configuration after so many tries to open its file have failed."""
    left = iter(range(times))

    def load() -> Config:
        if next(left, None) is None:
            return then
        with patch("builtins.open", side_effect=OSError(number, os.strerror(number))):
            return config.load("/config.json")

    return load


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.EIO, errno.ENOMEM])
def test_a_new_configuration_that_cannot_be_read_for_a_moment_is_read_again(error: int) -> None:
    """It was dropped with a line in the log, and nobody sends the signal once more."""

    async def main() -> None:
        second = await StubLongPollServer().start()
        async with running_balancer() as balancer:
            moved = replace(balancer.configuration, discovery=second.address)
            balancer.reload.load = unreadable(3, error, moved)
            balancer.reload()
            await wait_until(lambda: bool(second.paths))

    run(main())


def test_a_missing_configuration_is_final_at_once() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            balancer.reload.load = unreadable(3, errno.ENOENT, balancer.configuration)
            balancer.reload()
            assert balancer.reload.retry_timer is None

    run(main())


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENOMEM])
def test_an_event_loop_is_asked_for_again_while_descriptors_are_short(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = uvloop.new_event_loop
    failures = iter([OSError(number, os.strerror(number))] * 2)

    def new_event_loop() -> asyncio.AbstractEventLoop:
        for failure in failures:
            raise failure
        return made()

    monkeypatch.setattr(uvloop, "new_event_loop", new_event_loop)
    startup.new_event_loop().close()
