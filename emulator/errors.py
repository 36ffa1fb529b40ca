"""Errors that a command reports to its user, and their exit codes."""

from __future__ import annotations

import click

EXIT_BAR_FAILED = 1  # the run was valid, but a measured figure missed its bar
EXIT_BAD_INPUT = 2  # arguments or an input file are invalid; nothing was started


class BadInputError(click.ClickException):
    """An invalid input; the message is one line that names the file and the key."""

    exit_code = EXIT_BAD_INPUT


class BarFailedError(click.ClickException):
    """A measured figure missed its bar; the message names the figure, its value and the bar."""

    exit_code = EXIT_BAR_FAILED
