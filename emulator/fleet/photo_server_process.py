"""Process that hosts stand-in photo servers: `python -m emulator.fleet.photo_server_process`.

Of k such processes, process i hosts each server with number % k == i. Real balancers send attempts over HTTP
and hollow balancers in batches; both are processed by the same server models.
"""

from __future__ import annotations

import asyncio
import sys

from emulator.fleet import timeline as events
from emulator.fleet.deadlines import DeadlineTimer
from emulator.fleet.photo_server_batch import BatchConnection
from emulator.fleet.photo_server_group import PhotoServerGroup
from emulator.fleet.photo_server_http import HttpContext, ServerEndpoint
from emulator.fleet.process import FleetContext, ScenarioClock, print_message, run_child

ROLE = "photo_server"
BATCH_HOST = "127.0.0.1"


class PhotoServerProcess:
    """The server models of one process, with their sockets and measures."""

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
        """Listen at the addresses of all servers and for batches."""
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
        """Start processing deadlines."""
        self.clock = clock
        self.deadline_timer = DeadlineTimer(asyncio.get_running_loop(), clock.now_s, self)
        self.deadline_timer.rearm()

    def apply(self, event: events.Event) -> None:
        """Apply an event to the models and to their sockets."""
        self.group.apply(event)
        match event:
            case events.ServersStopped():
                for endpoint in self._hosted_endpoints(event.servers):
                    endpoint.stop()
            case events.ServersVanished():
                for endpoint in self._hosted_endpoints(event.servers):
                    endpoint.become_unreachable()
            case events.ServersStarted():
                self._schedule_restart(self._hosted_endpoints(event.servers))
        self._publish_results()
        self._rearm()

    def next_deadline(self) -> float | None:
        """Part of `DeadlineOwner`."""
        return self.group.next_deadline()

    def advance(self, now_s: float) -> None:
        """Part of `DeadlineOwner`: process the deadlines of the models and send the results."""
        self.group.advance(now_s)
        self._publish_results()

    def measure(self, at_s: float) -> None:
        """Print the measures since the last call."""
        for connection in self.batch_connections:
            connection.forget_expired(at_s)
        print_message(self.group.take_second(at_s))

    def finish(self) -> None:
        """Print the measures of the whole run and close the sockets."""
        print_message(self.group.summarize_run(self.clock.now_s()))
        self.close()

    def close(self) -> None:
        """Stop the timer and close all sockets."""
        if self.deadline_timer is not None:
            self.deadline_timer.stop()
        for server in self.servers:
            server.close()
        for connection in list(self.batch_connections):
            connection.abort()
        for endpoint in self.endpoints.values():
            endpoint.stop()

    def _hosted_endpoints(self, numbers: tuple[int, ...]) -> list[ServerEndpoint]:
        return [self.endpoints[number] for number in numbers if number in self.endpoints]

    def _publish_results(self) -> None:
        """Stop the endpoints of servers that have crashed, and send the results of batched attempts."""
        crashes = self.group.server_counts.crashes
        for crash in crashes[self._handled_crash_count :]:
            self.endpoints[crash.server].stop()
        self._handled_crash_count = len(crashes)
        for connection in self.batch_connections:
            connection.flush()

    def _schedule_restart(self, endpoints: list[ServerEndpoint]) -> None:
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
    """Run stand-in photo servers until the end of standard input."""
    return run_child(ROLE, PhotoServerProcess)


if __name__ == "__main__":
    sys.exit(main())
