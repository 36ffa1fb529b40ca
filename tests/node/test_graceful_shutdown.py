"""What is still owed when the program ends after SIGTERM."""

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
def _no_time_passes_unused(monkeypatch: pytest.MonkeyPatch) -> None:
    """The listener is closed at once; SIGKILL is due 0.4 s after SIGTERM."""
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


def owed(balancer: RunningBalancer) -> list[ClientConnection]:
    """Clients that have not had their last answer."""
    return [client for client in balancer.frontend.connections if not client.is_lingering()]


async def received(peer: socket.socket) -> bytes:
    peer.setblocking(False)
    return await asyncio.get_running_loop().sock_recv(peer, 65_536)


def test_who_waits_to_be_accepted_as_the_listener_closes_is_answered() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            with socket.create_connection(balancer.address) as peer:  # the loop has had no turn since
                peer.sendall(http_request())
                await shut_down_gracefully(balancer)
                got = await received(peer)
                assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got

    run(main())


def test_a_request_that_is_unread_at_the_end_is_answered() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            with socket.create_connection(balancer.address) as peer:
                for rid in ("r1", "r2"):
                    peer.setblocking(True)
                    peer.sendall(http_request(request_id=rid))  # r2: as the last look at all clients comes
                    if rid == "r2":
                        await shut_down_gracefully(balancer)
                        assert not owed(balancer)
                    assert (await received(peer)).startswith(b"HTTP/1.1 200")

    run(main())


@pytest.mark.parametrize("klass", ["check", "set", "send"])
def test_a_request_whose_client_waits_beyond_the_end_is_answered_before_it(klass: str) -> None:
    async def main() -> None:
        stub = await StubServer(never_responds).start()
        async with running_balancer(stub) as balancer:
            caller = await balancer.connect()
            caller.writer.write(http_request(klass, deadline_ms=5000))
            await wait_until(lambda: len(stub.requests) == 1)
            async with asyncio.timeout(3):
                await shut_down_gracefully(balancer)
            assert not balancer.frontend.driver.open_requests and not owed(balancer)
            assert int((await read_message(caller.reader)).start_line.split()[1]) >= 500
            caller.writer.close()

    run(main())


def test_who_is_connected_and_silent_does_not_hold_up_the_end() -> None:
    async def main() -> None:
        async with running_balancer() as balancer:
            caller = await balancer.connect()
            await wait_until(lambda: len(balancer.frontend.connections) == 1)
            await shut_down_gracefully(balancer)
            assert await caller.reader.read() == b"" and not balancer.frontend.connections
            caller.writer.close()

    run(main())


def test_a_request_that_crosses_the_close_of_a_resting_connection_is_never_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its client may send it once more, as nothing of it had been read: it must not be begun then."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            with socket.create_connection(balancer.address) as peer:
                peer.sendall(http_request(request_id="r1"))
                await wait_until(
                    lambda: any(client.response_count for client in balancer.frontend.connections)
                )
                (resting,) = balancer.frontend.connections
                abort = ClientConnection.abort

                def cross(client: ClientConnection) -> None:
                    peer.sendall(http_request(request_id="r2"))  # after the last look, before the close
                    abort(client)

                monkeypatch.setattr(ClientConnection, "abort", cross)
                await shut_down_gracefully(balancer)
                assert (await received(peer)).startswith(b"HTTP/1.1 200")  # to r1
                with pytest.raises(ConnectionResetError):
                    await received(peer)
                assert not resting.request_started_ns and [
                    m.headers["x-request-id"] for m in stub.requests
                ] == ["r1"]

    run(main())
