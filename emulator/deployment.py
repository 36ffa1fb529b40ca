"""The deployment's own way to start a balancer, so that what is measured is what is run."""

from __future__ import annotations

import shlex
import sys
import tomllib
from pathlib import Path

from emulator.errors import BadInputError

PROJECT = Path(__file__).resolve().parents[1]
DEPLOY_FILE = PROJECT / "deploy" / "balancer.toml"
DEPLOYED_PYTHON = ".venv/bin/python"


def run_command() -> str:
    """The deployment's own command, which sets the program's environment; run by this interpreter."""
    command: str = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    if DEPLOYED_PYTHON not in command:
        raise BadInputError(f"the run line of {DEPLOY_FILE.name} does not start {DEPLOYED_PYTHON}")
    return command.replace(DEPLOYED_PYTHON, shlex.quote(sys.executable))
