"""The frame of a child process: configuration and commands come from standard input, reports go out."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import msgspec
import uvloop

from emulator.control.contract import Command, Report

Config = TypeVar("Config", bound=msgspec.Struct)

MAX_LINE_BYTES = 4 * 1024 * 1024  # bytes

_command: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)


def send_report(message: Report) -> None:
    """Print one report."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


async def _open_input() -> asyncio.StreamReader:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def _commands(reader: asyncio.StreamReader) -> AsyncIterator[Command]:
    while line := await reader.readline():
        yield _command.decode(line)


def run_child(kind: type[Config], main: Callable[[Config, AsyncIterator[Command]], Awaitable[None]]) -> None:
    """Run `main` until it returns, which it does at the latest when the commands end."""

    async def run() -> None:
        reader = await _open_input()
        config: Config = msgspec.json.decode(await reader.readline(), type=kind)
        await main(config, _commands(reader))

    uvloop.run(run())
