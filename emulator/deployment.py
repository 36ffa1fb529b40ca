"""The deployment's own way to start a balancer, so that what is measured is what is run."""

from __future__ import annotations

import asyncio
import os
import shlex
import sys
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import IO

from emulator.errors import BadInputError

PROJECT_ROOT = Path(__file__).resolve().parents[1]
DEPLOY_FILE = PROJECT_ROOT / "deploy" / "balancer.toml"
DEPLOYED_PYTHON = ".venv/bin/python"
# Resource limits of a balancer, in the format of its configuration.
BALANCER_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

Output = IO[bytes] | IO[str] | int


def balancer_command() -> str:
    """The deployment's own command, which sets the program's environment; run by this interpreter."""
    command: str = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    if DEPLOYED_PYTHON not in command:
        raise BadInputError(f"the run line of {DEPLOY_FILE.name} does not start {DEPLOYED_PYTHON}")
    return command.replace(DEPLOYED_PYTHON, shlex.quote(sys.executable))


async def start_balancer(
    environment: Mapping[str, str],
    stdout: Output,
    stderr: Output,
    start_new_session: bool = False,
    preexec_fn: Callable[[], None] | None = None,
) -> asyncio.subprocess.Process:
    """A new balancer process with these variables beside this process's own."""
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        balancer_command(),
        cwd=PROJECT_ROOT,
        env={**os.environ, **environment},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=stdout,
        stderr=stderr,
        start_new_session=start_new_session,
        preexec_fn=preexec_fn,
    )
