"""Command line of the emulator. Each command is a module of its own, imported when the command is called."""

from __future__ import annotations

from importlib import import_module

import click

# Maps the name of a command to the module that defines it, as a click command named `command`.
COMMAND_MODULES: dict[str, str] = {
    "control": "emulator.control.command",
    "slopes": "emulator.slopes.command",
    "fleet": "emulator.fleet.command",
    "soak": "emulator.soak.command",
}


class LazyGroup(click.Group):
    """Command group that imports the module of a command when the command is called or its help is shown."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with this name, or None if there is none."""
        module_name = COMMAND_MODULES.get(cmd_name)
        if module_name is None:
            return None
        command = import_module(module_name).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Test and measure the balancer on loopback, up to the size of a large fleet.

    Exit codes: 0, the run is valid and every bar holds; 1, a bar failed; 2, the arguments or an input file
    are invalid.
    """
