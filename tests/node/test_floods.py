"""One client that sends without limit: it neither delays the others nor holds memory or a connection."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from functools import partial

import pytest

from dykeshift.node.server import READ_BUFFER_BYTES, ClientConnection
from tests.node.stubs import (
    RunningBalancer,
    StubServer,
    http_request,
    http_response,
    responds_with,
    run,
    running_balancer,
    wait_until,
)

RESPONSE_BYTES = 60_000


def only_connection(balancer: RunningBalancer) -> ClientConnection:
    (connection,) = balancer.frontend.connections
    return connection


def test_clients_take_turns_while_they_send_much(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: other clients wait while all that one client has sent is parsed at once.
    chunked = http_request(body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    turns: list[tuple[ClientConnection, int]] = []
    handle_input = ClientConnection._handle_input

    def record_turn(connection: ClientConnection, data: memoryview) -> None:
        turns.append((connection, len(data)))
        handle_input(connection, data)

    monkeypatch.setattr(ClientConnection, "_handle_input", record_turn)

    async def main() -> None:
        async with running_balancer() as balancer:
            clients = [socket.create_connection(balancer.address) for _ in range(2)]
            await wait_until(lambda: len(balancer.frontend.connections) == 2)
            for client in clients:  # the event loop reads nothing meanwhile
                client.sendall(chunked + b"1\r\nx\r\n" * 16_000)
            await wait_until(lambda: sum(size for _, size in turns) >= 2 * 96_000)
            assert max(size for _, size in turns) <= READ_BUFFER_BYTES
            assert all(a[0] is not b[0] for a, b in zip(turns[:10], turns[1:10], strict=False))
            for client in clients:
                client.close()

    run(main())


def test_client_that_sends_on_after_its_last_response_is_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against: a client that goes on sending after its error delays the others for as long as it likes.
    discarded: list[int] = []
    handle_input = ClientConnection._handle_input

    def record_discarded(connection: ClientConnection, data: memoryview) -> None:
        discarded.extend([len(data)] if connection.discards_input else [])
        handle_input(connection, data)

    monkeypatch.setattr(ClientConnection, "_handle_input", record_discarded)

    async def main() -> None:
        async with running_balancer() as balancer:
            client = await balancer.connect()
            client.writer.write(b"unsound\r\n\r\n")
            assert b"400" in await client.reader.readline()
            with pytest.raises(ConnectionError):  # at the end of the lingering close
                while True:
                    client.writer.write(b"x" * 65_536)
                    await client.writer.drain()
            assert len(discarded) <= 10  # one buffer a sweep

    run(main())


def test_client_that_does_not_read_its_responses_is_not_read_either() -> None:
    # Guards against: memory that grows without end by the responses that one client does not read.
    async def main() -> None:
        stub = await StubServer(responds_with(http_response(b"r" * RESPONSE_BYTES))).start()
        async with running_balancer(stub) as balancer:
            client = socket.create_connection(balancer.address)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await wait_until(lambda: len(balancer.frontend.connections) == 1)
            connection = only_connection(balancer)
            assert connection.transport is not None
            server_socket = connection.transport.get_extra_info("socket")
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

            def has_responded(count: int) -> bool:
                return connection.response_count >= count

            async def send_until_one_is_not_read() -> None:
                for number in range(1, 100):
                    client.sendall(http_request("check", request_id=f"r{number}"))
                    await wait_until(partial(has_responded, number))

            with suppress(TimeoutError):
                await asyncio.wait_for(send_until_one_is_not_read(), 1.5)
            assert connection.transport.get_write_buffer_size() < 2 * RESPONSE_BYTES
            assert len(stub.requests) < 99
            await wait_until(lambda: not balancer.frontend.connections)  # when a response takes too long
            client.close()

    run(main())
