"""The real discovery client of one hollow balancer: the only module that knows the client's constructors."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from dykeshift.interface import ListKind, ServerEntry
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.listing import ListedServer, ListReader
from emulator.fleet.contract import Address

NO_SERVER_NUMBER = -1  # number of an entry that has no address, as it is gone
ADDRESSES_PER_OCTET = 254  # members that share the third byte of their addresses


@dataclass(frozen=True, slots=True)
class ListedPhotoServer:
    """One entry of a list, with the number of the stand-in that it names."""

    entry: ServerEntry
    number: int


def server_number_of(host: str) -> int:
    """Number of the stand-in at a loopback address; the inverse of `contract.loopback`."""
    _, _, high, low = host.split(".")
    return int(high) * ADDRESSES_PER_OCTET + int(low) - 1


ApplyList = Callable[[int, ListKind, list[ListedPhotoServer]], None]
DiscoveryFailed = Callable[[int, ListKind], None]


def _number_of(listed: ListedServer) -> int:
    host, _, _ = listed.address.rpartition(":")
    return server_number_of(host) if host else NO_SERVER_NUMBER


class _StoppableWatch(DiscoveryWatch):
    """The real client, but for its end: a balancer that has died does not begin to watch again."""

    stopped = False

    def start(self) -> None:
        if not self.stopped:
            super().start()

    def stop(self) -> None:
        """Hang up and stay silent."""
        self.stopped = True
        if self.watch_task is not None:
            self.watch_task.cancel()


class DiscoveryClient:
    """Watches one agent and hands its lists to a hollow balancer."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        pushed: bool,
        drain_grace_s: float,
        apply_list: ApplyList,
        failed: DiscoveryFailed,
    ) -> None:
        self._apply_list = apply_list
        self._failed = failed
        self._client = _StoppableWatch(
            asyncio.get_running_loop(),
            (agent.host, agent.port),
            ListReader(zones, kinds),
            self._applied,
            self._call_failed,
            pushed,
            drain_grace_s,
        )

    def start(self) -> None:
        """Begin a watch, unless one is on."""
        self._client.start()

    async def wait_first_call(self) -> None:
        """Wait for the end of the first call, be it with nothing."""
        await self._client.call_finished.wait()

    def stop(self) -> None:
        """End the watch for good."""
        self._client.stop()

    def _applied(self, kind: ListKind, listed: list[ListedServer]) -> bool:
        if not self._client.stopped:
            named = [ListedPhotoServer(one.entry, _number_of(one)) for one in listed]
            self._apply_list(time.monotonic_ns(), kind, named)
        return True

    def _call_failed(self, kind: ListKind) -> None:
        if not self._client.stopped:
            self._failed(time.monotonic_ns(), kind)
