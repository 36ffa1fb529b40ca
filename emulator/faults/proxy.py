"""A TCP proxy on loopback that injects faults into the bytes of either direction of its connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

READ_SIZE_BYTES = 65_536
SPLIT_PAUSE_S = 0.001  # between two parts, so that the receiver reads them separately
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER: close with a reset and drop unsent data


@dataclass(frozen=True, slots=True)
class StreamFaults:
    """Faults in the bytes of one direction; shares are of the chunks that the proxy reads."""

    delay_s: float = 0.0
    split_share: float = 0.0  # sent in two parts
    truncate_share: float = 0.0  # only the first half is sent, then the end of the stream
    reset_share: float = 0.0  # only the first half is sent, then a reset
    duplicate_share: float = 0.0  # sent twice
    replace_share: float = 0.0  # of the chunks that contain the pattern: it is replaced
    pattern: bytes = b""
    replacement: bytes = b""


NO_STREAM_FAULTS = StreamFaults()


@dataclass(slots=True)
class FaultProxy:
    """Forwards each connection to the target and injects faults into the bytes of either direction."""

    target: tuple[str, int]
    random: Random
    faults_to_target: StreamFaults = NO_STREAM_FAULTS
    faults_to_client: StreamFaults = NO_STREAM_FAULTS
    address: tuple[str, int] = ("", 0)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def listen(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            _reset_connection(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError):
            try:
                target_reader, target_writer = await asyncio.open_connection(*self.target)
            except OSError:
                _reset_connection(writer)
                return
            self._writers |= {writer, target_writer}
            try:
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._copy(reader, target_writer, self.faults_to_target))
                    directions.create_task(self._copy(target_reader, writer, self.faults_to_client))
            except* (OSError, RuntimeError):
                _reset_connection(writer)
                _reset_connection(target_writer)
            finally:
                self._writers -= {writer, target_writer}
                writer.transport.abort()
                target_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, faults: StreamFaults
    ) -> None:
        while data := await reader.read(READ_SIZE_BYTES):
            await asyncio.sleep(faults.delay_s)
            if self._should_inject(faults.reset_share):
                writer.write(data[: len(data) // 2])
                raise ConnectionResetError
            if self._should_inject(faults.truncate_share):
                data = data[: len(data) // 2]
                writer.write(data)
                break
            if faults.pattern in data and self._should_inject(faults.replace_share):
                data = data.replace(faults.pattern, faults.replacement)
            await self._write(writer, data, faults)
        if writer.can_write_eof():
            writer.write_eof()

    async def _write(self, writer: asyncio.StreamWriter, data: bytes, faults: StreamFaults) -> None:
        if self._should_inject(faults.split_share):
            half = len(data) // 2
            writer.write(data[:half])
            await asyncio.sleep(SPLIT_PAUSE_S)
            data = data[half:]
        writer.write(data)
        if self._should_inject(faults.duplicate_share):
            writer.write(data)

    def _should_inject(self, share: float) -> bool:
        return share > 0 and self.random.random() < share


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        with suppress(OSError):
            same_socket = socket.socket(fileno=connection.fileno())
            same_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            same_socket.detach()
    writer.transport.abort()
