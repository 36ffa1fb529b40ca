"""A stand-in discovery that is slow, crowded or silent, and balancers without clients that watch it."""

from __future__ import annotations

import asyncio
import json
import math
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from dykeshift.interface import ListKind
from dykeshift.node import config
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.driver import Driver
from dykeshift.node.listing import ListedServer, ListReader, server_id_of
from dykeshift.node.upstream import Pool
from dykeshift.rules import Balancer
from tests.node.stubs import configuration, http_response, instance, listing, read_message, settings

DRAIN_GRACE_S = 0.25
CONTINUATION_S = 0.2


@dataclass(frozen=True)
class Call:
    """A call that the stand-in has read."""

    path: str
    at: float  # monotonic, in seconds


class SlowDiscovery:
    """Discovery that responds late; `s0` and `s1` are its servers.

    With `work_s`, calls wait in turn and each takes this long, also those whose connection has been closed;
    a watch that goes on within CONTINUATION_S of its last response is no work. Otherwise each response is
    written `delay_s` after its call or the end of the hold, as it was then. While `silent` is set, calls are
    read and never answered.
    """

    def __init__(self, delay_s: float = 0.0, work_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.work_s = work_s
        self.silent = False
        self.generation = 1
        self.lifecycle = "active"  # of s0
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()
        self.waiting = 0  # calls in the queue
        self.calls: list[Call] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ("", 0)
        self.server: asyncio.Server | None = None

    async def start(self) -> SlowDiscovery:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def drain(self) -> float:
        """Let s0 drain; return the time."""
        self._change("leaving")
        return time.monotonic()

    def restore(self) -> None:
        """Let s0 be active again."""
        self._change("active")

    def _change(self, lifecycle: str) -> None:
        self.generation, self.lifecycle = self.generation + 1, lifecycle
        self.changed.set()
        self.changed = asyncio.Event()

    async def retire(self) -> None:
        """Take no new connections, and close the open ones after 1.5 s, as after a change of the address."""
        assert self.server is not None
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in list(self.writers):
            writer.close()

    def document(self, is_full: bool = True) -> dict[str, Any]:
        """The list of this moment."""
        drained = instance("s0", ("127.0.0.1", 9), self.lifecycle)
        rows = [drained, instance("s1", ("127.0.0.1", 9))] if is_full else [drained]
        return listing(self.generation, is_full, *rows)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        responded_at = -math.inf
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                path = (await read_message(reader)).start_line.split()[1]
                now = time.monotonic()
                self.calls.append(Call(path, now))
                if self.silent:
                    await asyncio.sleep(3600)
                work_s = 0.0 if now < responded_at + CONTINUATION_S else self.work_s
                document = await self._respond(path, work_s)
                writer.write(http_response(json.dumps(document).encode()))
                responded_at = time.monotonic()
        self.writers.discard(writer)
        writer.close()

    async def _respond(self, path: str, work_s: float) -> dict[str, Any]:
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        since = int(query["from"]) if "from" in query else None
        if work_s:
            self.waiting += 1
            async with self.turn:
                await asyncio.sleep(work_s)
            self.waiting -= 1
        if since == self.generation:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query["hold_ms"]) / 1000):
                    await self.changed.wait()
        document = (
            listing(self.generation, False) if since == self.generation else self.document(since is None)
        )
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return document


class WatchingBalancer:
    """The parts of a balancer process that follow discovery: decision module, driver and watch."""

    def __init__(self, discovery: SlowDiscovery, mode: str, seed: int = 1, balancer_count: int = 2) -> None:
        given = settings(discovery=mode, balancers=balancer_count)
        given["obligations"]["drainGraceNs"] = int(DRAIN_GRACE_S * 1e9)
        raw = {**configuration(discovery.address, discovery.document()), "settings": given}
        parsed = config.parse(json.dumps({**raw, "seed": f"{seed:016x}"}))
        loop = asyncio.get_running_loop()
        self.learned_at: float | None = None  # when a list or a change that says that s0 drains was applied
        pool = Pool(loop, parsed.max_connections, parsed.connect_timeout_s, parsed.keepalive_s)
        self.driver = Driver(loop, Balancer(parsed.settings, parsed.seed), pool, lambda: self.watch.start())
        self.watch = DiscoveryWatch(
            loop,
            parsed.discovery,
            ListReader(parsed.zones, parsed.kinds),
            self._apply_list,
            self.driver.discovery_failed,
            mode == "push",
            parsed.drain_grace_s,
        )
        self.driver.start()
        self.watch.apply_known_list(parsed.known_list)
        if mode == "push":
            self.watch.start()

    def switch_discovery(self, discovery: SlowDiscovery) -> None:
        """Use another address, as after SIGHUP."""
        self.watch.change_address(discovery.address)
        self.driver.discovery_address_changed()

    def close(self) -> None:
        self.watch.close()

    def _apply_list(self, kind: ListKind, listed: list[ListedServer], is_late: bool) -> bool:
        result = self.driver.apply_list(kind, listed, is_late)
        has_drained = server_id_of("s0") not in self.driver.pool.ready_servers()
        if not has_drained:
            self.learned_at = None
        elif self.learned_at is None:
            self.learned_at = time.monotonic()
        return result
