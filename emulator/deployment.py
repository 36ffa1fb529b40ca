"""Starts balancers with the command of the deploy file, so that measurements apply to what is deployed."""

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

OutputTarget = IO[bytes] | IO[str] | int


def balancer_command() -> str:
    """Return the command of the deploy file, which also sets the environment of the balancer.

    The Python interpreter of this process takes the place of the deployed one. Raises BadInputError if the
    command does not start the deployed interpreter.
    """
    command: str = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    if DEPLOYED_PYTHON not in command:
        raise BadInputError(f'the key "run" of {DEPLOY_FILE.name} does not start {DEPLOYED_PYTHON}')
    return command.replace(DEPLOYED_PYTHON, shlex.quote(sys.executable))


async def start_balancer(
    environment: Mapping[str, str],
    stdout: OutputTarget,
    stderr: OutputTarget,
    start_new_session: bool = False,
    preexec_fn: Callable[[], None] | None = None,
) -> asyncio.subprocess.Process:
    """Start a balancer process with `environment` added to the environment of this process."""
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
