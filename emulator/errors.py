"""Errors that a command reports to its user, and the exit codes that tell them apart."""

from __future__ import annotations

import click

EXIT_BAR_FAILED = 1  # the run was sound, and a measured figure missed its bar
EXIT_BAD_INPUT = 2  # arguments or an input file cannot be used; nothing was started


class BadInputError(click.ClickException):
    """An input that cannot be used; its message is one plain line that names the file and the key."""

    exit_code = EXIT_BAD_INPUT


class BarFailedError(click.ClickException):
    """A measured figure missed its bar; its message names the figure, its value and the bar."""

    exit_code = EXIT_BAR_FAILED
