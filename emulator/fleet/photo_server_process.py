"""Stand-in photo servers as a process: `python -m emulator.fleet.photo_server_process`.

Of k such processes, process i hosts the servers whose number leaves i when divided by k. Attempts come over
HTTP from real balancers and in batches from hollow ones, and meet the same models.
"""

from __future__ import annotations

import asyncio
import sys

from emulator.fleet import timeline as events
from emulator.fleet.deadlines import DeadlineTimer
from emulator.fleet.photo_server_batch import BatchConnection
from emulator.fleet.photo_server_group import PhotoServerGroup
from emulator.fleet.photo_server_http import ServerEndpoint, HttpContext
from emulator.fleet.process import ScenarioClock, FleetContext, run_child, print_message

ROLE = "photo_server"
BATCH_HOST = "127.0.0.1"


class PhotoServerProcess:
    """The models of one process, their sockets and their measures."""

    def __init__(self, fleet: FleetContext) -> None:
        config, scenario = fleet.config, fleet.scenario
        self.fleet = fleet
        self.clock = ScenarioClock(0)
        self.group = PhotoServerGroup(
            scenario, fleet.layout, fleet.timeline, config.seed, config.index, config.processes
        )
        context = HttpContext(self.group, scenario.mean_work_s(), self._now_s, self._rearm)
        self.endpoints = {
            number: ServerEndpoint(number, config.addresses.server_address(number), context)
            for number in self.group.servers
        }
        self.batch_connections: set[BatchConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.deadline_timer: DeadlineTimer | None = None
        self._handled_crash_count = 0
        self._restart_tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen at every server's address, and for batches."""
        for endpoint in self.endpoints.values():
            await endpoint.listen()
        port = self.fleet.config.addresses.shard_ports[self.fleet.config.index]
        loop = asyncio.get_running_loop()
        self.servers.append(
            await loop.create_server(
                lambda: BatchConnection(self.group, self._now_s, self._rearm, self.batch_connections),
                BATCH_HOST,
                port,
            )
        )

    def start(self, clock: ScenarioClock) -> None:
        """Serve deadlines from here on."""
        self.clock = clock
        self.deadline_timer = DeadlineTimer(asyncio.get_running_loop(), clock.now_s, self)
        self.deadline_timer.rearm()

    def apply(self, event: events.Event) -> None:
        """An event happens to the models and to their sockets."""
        self.group.apply(event)
        match event:
            case events.ServersStopped():
                for endpoint in self._hosted(event.servers):
                    endpoint.stop()
            case events.ServersVanished():
                for endpoint in self._hosted(event.servers):
                    endpoint.become_unreachable()
            case events.ServersStarted():
                self._start_restart(self._hosted(event.servers))
        self._flush()
        self._rearm()

    def next_deadline(self) -> float | None:
        """Part of `Paced`."""
        return self.group.next_deadline()

    def advance(self, now_s: float) -> None:
        """Part of `Paced`: serve the models' deadlines and send what came of them."""
        self.group.advance(now_s)
        self._flush()

    def measure(self, at_s: float) -> None:
        """Report one second."""
        for connection in self.batch_connections:
            connection.forget_expired(at_s)
        print_message(self.group.take_second(at_s))

    def finish(self) -> None:
        """Report the whole run and close the sockets."""
        print_message(self.group.summarize_run(self.clock.now_s()))
        self.close()

    def close(self) -> None:
        """Listen no more and call nothing any more."""
        if self.deadline_timer is not None:
            self.deadline_timer.stop()
        for server in self.servers:
            server.close()
        for connection in list(self.batch_connections):
            connection.abort()
        for endpoint in self.endpoints.values():
            endpoint.stop()

    def _hosted(self, numbers: tuple[int, ...]) -> list[ServerEndpoint]:
        return [self.endpoints[number] for number in numbers if number in self.endpoints]

    def _flush(self) -> None:
        crashes = self.group.server_counts.crashes
        for crash in crashes[self._handled_crash_count :]:
            self.endpoints[crash.server].stop()
        self._handled_crash_count = len(crashes)
        for connection in self.batch_connections:
            connection.flush()

    def _start_restart(self, endpoints: list[ServerEndpoint]) -> None:
        task = asyncio.get_running_loop().create_task(_restart(endpoints))
        self._restart_tasks.add(task)
        task.add_done_callback(self._restart_tasks.discard)

    def _now_s(self) -> float:
        return self.clock.now_s()

    def _rearm(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.rearm()


async def _restart(endpoints: list[ServerEndpoint]) -> None:
    for endpoint in endpoints:
        endpoint.stop()
        await endpoint.listen()


def main() -> int:
    """Run stand-in photo servers until standard input ends."""
    return run_child(ROLE, PhotoServerProcess)


if __name__ == "__main__":
    sys.exit(main())
