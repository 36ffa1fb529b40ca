"""The listening socket and the connections accepted on it.

The event loop's own server is not used. It silently skips an address whose `socket` call fails. On EMFILE
and ENFILE it accepts and closes the pending connections, although their clients may already have sent
requests.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from dykeshift.node.address import Address
from dykeshift.node.sockets import has_input
from dykeshift.node.transient_errors import START_RETRY_INTERVAL_S, START_RETRY_TIMEOUT_S, is_transient

log = logging.getLogger(__name__)

BACKLOG = 1024
MAX_ACCEPTS_PER_WAKEUP = 64  # then the event loop serves the other sockets
ACCEPT_BACKOFF_S = 0.02  # pause after a resource shortage; pending connections stay in the backlog
MIN_LOG_INTERVAL_S = 1.0  # between warnings about failed accepts

# Errors of a single accept or its connection, which do not affect the next accept.
IMMEDIATE_RETRY_ERRORS = frozenset({errno.ECONNABORTED, errno.EINTR, errno.EPROTO})

Result = TypeVar("Result")
ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class Listener:
    """Accepts connections from `start_accepting` to `close`.

    A failed accept is counted and logged, and does not end the service.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, bound: socket.socket, create_protocol: ProtocolFactory
    ) -> None:
        self.loop = loop
        self.socket = bound
        self.create_protocol = create_protocol
        self.failed_accepts = 0  # since the start
        self.logged_at = float("-inf")  # loop time of the last warning about a failed accept
        self.setup_tasks: set[asyncio.Task[None]] = set()  # accepted sockets not yet given to a protocol
        self.resume_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        self.closed = False

    @classmethod
    async def open(
        cls, loop: asyncio.AbstractEventLoop, address: Address, create_protocol: ProtocolFactory
    ) -> Listener:
        """Create a listener that is bound but does not listen yet.

        Raises OSError if binding fails with an error that is not transient, or keeps failing for
        START_RETRY_TIMEOUT_S.
        """
        return cls(loop, await _retry(loop, partial(_bind, address)), create_protocol)

    @property
    def address(self) -> Address:
        """The address the socket is bound to."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    async def start_accepting(self) -> None:
        """Listen and accept connections.

        Raises OSError if listening fails with an error that is not transient, or keeps failing for
        START_RETRY_TIMEOUT_S.
        """
        await _retry(self.loop, partial(self.socket.listen, BACKLOG))
        self.loop.add_reader(self.socket, self._accept)

    def has_pending_connections(self) -> bool:
        """Whether the backlog holds connections that have not been accepted."""
        return not self.closed and has_input(self.socket)

    async def close(self) -> None:
        """Stop accepting, and wait until every accepted socket has been given to its protocol."""
        if not self.closed:
            self.closed = True
            if self.resume_timer is not None:
                self.resume_timer.cancel()
            self.loop.remove_reader(self.socket)
            self.socket.close()
        if self.setup_tasks:
            await asyncio.wait(self.setup_tasks)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._record_failure(error)
                if error.errno not in IMMEDIATE_RETRY_ERRORS:
                    self._pause_accepting()
                    return
            else:
                self._start_setup(accepted)

    def _start_setup(self, accepted: socket.socket) -> None:
        # Created here and not in the task, because it records when the connection was accepted.
        protocol = self.create_protocol()
        task = self.loop.create_task(self._attach_protocol(accepted, protocol))
        self.setup_tasks.add(task)
        task.add_done_callback(self.setup_tasks.discard)

    async def _attach_protocol(self, accepted: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        try:
            accepted.setblocking(False)
            await self.loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError as error:
            self._record_failure(error)
            accepted.close()

    def _pause_accepting(self) -> None:
        """Leave pending connections in the backlog for ACCEPT_BACKOFF_S, to avoid a busy loop."""
        self.loop.remove_reader(self.socket)
        self.resume_timer = self.loop.call_later(ACCEPT_BACKOFF_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self.resume_timer = None
        self.loop.add_reader(self.socket, self._accept)

    def _record_failure(self, error: OSError) -> None:
        self.failed_accepts += 1
        now = self.loop.time()
        if now - self.logged_at >= MIN_LOG_INTERVAL_S:
            self.logged_at = now
            log.warning("accept failed: %s; %d failures since the start", error.strerror, self.failed_accepts)


def _bind(address: Address) -> socket.socket:
    host, port = address
    family, kind, protocol, _, resolved = socket.getaddrinfo(
        host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )[0]
    bound = socket.socket(family, kind, protocol)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(resolved)
    except BaseException:
        bound.close()
        raise
    return bound


async def _retry(loop: asyncio.AbstractEventLoop, call: Callable[[], Result]) -> Result:
    """Call until it succeeds; retry transient errors for at most START_RETRY_TIMEOUT_S."""
    retry_until = loop.time() + START_RETRY_TIMEOUT_S
    failure: OSError | None = None
    while True:
        try:
            result = call()
        except OSError as error:
            failure = error
            if not is_transient(error) or loop.time() >= retry_until:
                raise  # main() prints a single line, not one for each attempt
        else:
            if failure is not None:
                log.warning("start-up call succeeded after retries; last error: %s", failure)
            return result
        await asyncio.sleep(START_RETRY_INTERVAL_S)
