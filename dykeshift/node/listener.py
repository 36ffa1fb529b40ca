"""The listening socket, and what is accepted on it.

The event loop's own server is not used: it passes over an address whose `socket` call fails, and on EMFILE
and ENFILE it accepts and closes whoever waits, though their requests may have been sent by then.
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
from dykeshift.node.http1 import has_input
from dykeshift.node.passing_errors import START_RETRY_INTERVAL_S, START_RETRY_TIMEOUT_S, is_transient

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
MAX_ACCEPTS_PER_WAKEUP = 64  # before the event loop looks at the other sockets again
ACCEPT_BACKOFF_S = 0.02  # seconds without accepting after a shortage: those who wait stay in the backlog
MIN_LOG_INTERVAL_S = 1.0  # seconds between two lines that tell of failed accepts

# The accept that failed is over, be it with its connection; the next one is not affected.
IMMEDIATE_RETRY_ERRORS = frozenset({errno.ECONNABORTED, errno.EINTR, errno.EPROTO})

Result = TypeVar("Result")
ProtocolFactory = Callable[[], asyncio.Protocol]


class Listener:
    """Accepts connections from `serve` to `close`; a failed accept is counted and told, and ends nothing."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, bound: socket.socket, create_protocol: ProtocolFactory
    ) -> None:
        self.loop = loop
        self.socket = bound
        self.create_protocol = create_protocol
        self.failed_accepts = 0  # accepts, since the start
        self.logged_at = float("-inf")  # when the log last told of one
        self.setup_tasks: set[asyncio.Task[None]] = set()  # accepted, and not told to their protocol yet
        self.resume_timer: asyncio.TimerHandle | None = None  # accepting pauses until then
        self.closed = False

    @classmethod
    async def open(
        cls, loop: asyncio.AbstractEventLoop, address: Address, create_protocol: ProtocolFactory
    ) -> Listener:
        """A bound listener that does not listen yet; OSError if that fails for longer than a moment."""
        return cls(loop, await _retry(loop, partial(_bind, address)), create_protocol)

    @property
    def address(self) -> Address:
        """Where it is bound."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    async def start_accepting(self) -> None:
        """Begin to accept; OSError if the socket cannot listen for longer than a moment."""
        await _retry(self.loop, partial(self.socket.listen, BACKLOG))
        self.loop.add_reader(self.socket, self._accept)

    def has_pending_connections(self) -> bool:
        """Whether connections wait to be accepted."""
        return not self.closed and has_input(self.socket)

    async def close(self) -> None:
        """Stop accepting; on return all that were accepted have been told to their protocols."""
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
        protocol = self.create_protocol()  # now, as it notes when it was accepted
        task = self.loop.create_task(self._attach_protocol(accepted, protocol))
        self.setup_tasks.add(task)
        task.add_done_callback(self.setup_tasks.discard)

    async def _attach_protocol(self, accepted: socket.socket, protocol: asyncio.Protocol) -> None:
        try:
            accepted.setblocking(False)
            await self.loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError as error:
            self._record_failure(error)
            accepted.close()

    def _pause_accepting(self) -> None:
        """Leave those who wait in the backlog for a moment, instead of asking for them again and again."""
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
            log.warning("accept failed: %s; %d since the start", error.strerror, self.failed_accepts)


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
    """Call until it does, for START_PATIENCE at the most while its failures may pass."""
    patience_ends = loop.time() + START_RETRY_TIMEOUT_S
    failure: OSError | None = None
    while True:
        try:
            result = call()
        except OSError as error:
            failure = error
            if not is_transient(error) or loop.time() >= patience_ends:
                raise  # whoever started the program gets one line, not one for each try
        else:
            if failure is not None:
                log.warning("the start had to try again: %s", failure)
            return result
        await asyncio.sleep(START_RETRY_INTERVAL_S)
