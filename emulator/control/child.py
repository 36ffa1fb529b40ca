"""Main function of a child process: reads configuration and commands from stdin, writes reports to stdout."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import msgspec
import uvloop

from emulator.control.contract import Command, Report

Config = TypeVar("Config", bound=msgspec.Struct)

MAX_LINE_BYTES = 4 * 1024 * 1024

_command_decoder: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)


def send_report(message: Report) -> None:
    """Write one report to stdout as a line of JSON."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


async def _open_stdin() -> asyncio.StreamReader:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def _read_commands(reader: asyncio.StreamReader) -> AsyncIterator[Command]:
    while line := await reader.readline():
        yield _command_decoder.decode(line)


def run_child(
    config_type: type[Config], main: Callable[[Config, AsyncIterator[Command]], Awaitable[None]]
) -> None:
    """Run `main`, which may return at any time, but has to return when the commands end."""

    async def run() -> None:
        reader = await _open_stdin()
        config: Config = msgspec.json.decode(await reader.readline(), type=config_type)
        await main(config, _read_commands(reader))

    uvloop.run(run())
