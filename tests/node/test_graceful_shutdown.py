"""Requests and connections that are still open in the last moments of a graceful shutdown."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dykeshift.node import shutdown
from dykeshift.node.server import ClientConnection
from tests.node.stubs import (
    RunningBalancer,
    StubServer,
    http_request,
    http_response,
    never_responds,
    read_message,
    responds_with,
    run,
    running_balancer,
    wait_until,
)


@pytest.fixture(autouse=True)
def short_shutdown_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """The listener is closed at once, and the earliest SIGKILL is 0.4 s after SIGTERM."""
    times = {
        "ACCEPT_AFTER_SIGTERM_S": 0.0,
        "MAX_COUNTED_CLIENT_TIMEOUT_S": 0.2,
        "SIGKILL_AFTER_CLIENT_TIMEOUT_S": 0.2,
        "SIGKILL_MARGIN_S": 0.1,
        "CLOSING_PHASE_S": 1.0,
    }
    for name, value in times.items():
        monkeypatch.setattr(shutdown, name, value)


async def shut_down_gracefully(balancer: RunningBalancer) -> None:
    now = asyncio.get_running_loop().time()
    await shutdown.shut_down_gracefully(balancer.frontend, balancer.listener, now, 5.0)


def clients_without_final_response(balancer: RunningBalancer) -> list[ClientConnection]:
    """Connections that have not had their last response."""
    return [connection for connection in balancer.frontend.connections if not connection.is_lingering()]


async def receive(peer: socket.socket) -> bytes:
    peer.setblocking(False)
    return await asyncio.get_running_loop().sock_recv(peer, 65_536)


def test_connection_pending_in_the_backlog_is_answered() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            with socket.create_connection(balancer.address) as peer:  # the event loop has not run since
                peer.sendall(http_request())
                await shut_down_gracefully(balancer)
                response = await receive(peer)
                assert response.startswith(b"HTTP/1.1 200") and b"Connection: close" in response

    run(main())


def test_unread_request_at_the_last_check_is_answered() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            with socket.create_connection(balancer.address) as peer:
                for request_id in ("r1", "r2"):
                    peer.setblocking(True)
                    peer.sendall(http_request(request_id=request_id))  # r2 is unread when shutdown starts
                    if request_id == "r2":
                        await shut_down_gracefully(balancer)
                        assert not clients_without_final_response(balancer)
                    assert (await receive(peer)).startswith(b"HTTP/1.1 200")

    run(main())


@pytest.mark.parametrize("class_name", ["check", "set", "send"])
def test_request_with_a_longer_client_timeout_is_answered_before_the_end_of_service(class_name: str) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            client = await balancer.connect()
            client.writer.write(http_request(class_name, deadline_ms=5000))
            await wait_until(lambda: len(stub.requests) == 1)
            async with asyncio.timeout(3):
                await shut_down_gracefully(balancer)
            assert not balancer.frontend.driver.open_requests and not clients_without_final_response(balancer)
            assert int((await read_message(client.reader)).start_line.split()[1]) >= 500
            client.writer.close()

    run(main())


def test_silent_connection_does_not_delay_shutdown() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            client = await balancer.connect()
            await wait_until(lambda: len(balancer.frontend.connections) == 1)
            await shut_down_gracefully(balancer)
            assert await client.reader.read() == b"" and not balancer.frontend.connections
            client.writer.close()

    run(main())


def test_request_that_crosses_the_close_of_an_idle_connection_is_not_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client may send the request again, as none of it was read, so it must not be started here."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            with socket.create_connection(balancer.address) as peer:
                peer.sendall(http_request(request_id="r1"))
                await wait_until(
                    lambda: any(connection.response_count for connection in balancer.frontend.connections)
                )
                (idle_connection,) = balancer.frontend.connections
                abort = ClientConnection.abort

                def send_then_abort(connection: ClientConnection) -> None:
                    peer.sendall(http_request(request_id="r2"))  # after the last check, before the close
                    abort(connection)

                monkeypatch.setattr(ClientConnection, "abort", send_then_abort)
                await shut_down_gracefully(balancer)
                assert (await receive(peer)).startswith(b"HTTP/1.1 200")  # the response to r1
                with pytest.raises(ConnectionResetError):
                    await receive(peer)
                assert not idle_connection.request_started_ns and [
                    m.headers["x-request-id"] for m in stub.requests
                ] == ["r1"]

    run(main())
