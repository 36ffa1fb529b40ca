"""The discovery client of one hollow balancer: the real balancer's DiscoveryWatch.

Only this module knows how a DiscoveryWatch is constructed.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from dykeshift.interface import ListKind, ServerEntry
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.listing import ListedServer, ListReader
from emulator.fleet.contract import Address

NO_SERVER_NUMBER = -1  # number of an entry without an address, whose server no longer exists
ADDRESSES_PER_OCTET = 254  # loopback addresses of a block that share the third octet


@dataclass(frozen=True, slots=True)
class ListedPhotoServer:
    """One entry of a server list, with the number of the stand-in photo server at its address."""

    entry: ServerEntry
    number: int


def server_number_of(host: str) -> int:
    """Number of the photo server at a loopback address; the inverse of `contract.loopback_address`."""
    _, _, high, low = host.split(".")
    return int(high) * ADDRESSES_PER_OCTET + int(low) - 1


# Arguments: monotonic time, kind, entries, and whether the response came late.
OnServerList = Callable[[int, ListKind, list[ListedPhotoServer], bool], None]
OnDiscoveryFailure = Callable[[int, ListKind], None]


def _listed_server_number(listed: ListedServer) -> int:
    host, _, _ = listed.address.rpartition(":")
    return server_number_of(host) if host else NO_SERVER_NUMBER


class DiscoveryClient:
    """Watches one discovery agent and passes its lists to a hollow balancer."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        is_push_mode: bool,
        drain_grace_s: float,
        on_server_list: OnServerList,
        on_discovery_failure: OnDiscoveryFailure,
    ) -> None:
        self._on_server_list = on_server_list
        self._on_discovery_failure = on_discovery_failure
        self._watch = DiscoveryWatch(
            asyncio.get_running_loop(),
            (agent.host, agent.port),
            ListReader(zones, kinds),
            self._on_list,
            self._on_failure,
            is_push_mode,
            drain_grace_s,
        )

    def start(self) -> None:
        """Start a watch, unless one is running."""
        self._watch.start()

    async def wait_for_first_list(self) -> None:
        """Wait until there is a list of discovery, for as long as a real balancer waits at its start."""
        await self._watch.wait_for_first_list()

    def stop(self) -> None:
        """Stop the watch permanently."""
        self._watch.close()

    def _on_list(self, kind: ListKind, listed: list[ListedServer], is_late: bool) -> bool:
        if not self._watch.is_closed:
            listed_servers = [
                ListedPhotoServer(server.entry, _listed_server_number(server)) for server in listed
            ]
            self._on_server_list(time.monotonic_ns(), kind, listed_servers, is_late)
        return True

    def _on_failure(self, kind: ListKind) -> None:
        if not self._watch.is_closed:
            self._on_discovery_failure(time.monotonic_ns(), kind)
