"""Process of stand-in discovery, with an agent for each balancer: `python -m emulator.fleet.discovery`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from functools import partial

from emulator.fleet import timeline as events
from emulator.fleet.deadlines import DeadlineHeap, DeadlineTimer
from emulator.fleet.discovery_agent import AgentConnection, DiscoveryAgent, TrafficCounts
from emulator.fleet.discovery_encoding import InstanceBuilder, RegionEncoder
from emulator.fleet.discovery_list import ListSchedule
from emulator.fleet.discovery_measures import (
    AcknowledgementTracker,
    DiscoverySecond,
    DiscoveryTotal,
    PropagationSeries,
)
from emulator.fleet.discovery_transfers import TransferQueue
from emulator.fleet.process import FleetContext, ScenarioClock, print_message, run_child

ROLE = "discovery"
BACKLOG = 64


class DiscoveryProcess:
    """The agents of all balancers, with their sockets, their releases of list versions and their measures."""

    def __init__(self, fleet: FleetContext) -> None:
        self.fleet = fleet
        self.clock = ScenarioClock(0)
        self.releases = DeadlineHeap()
        self.hollow_propagation, self.real_propagation = PropagationSeries(), PropagationSeries()
        self.traffic, self.reported_traffic = TrafficCounts(), TrafficCounts()
        self.transfers = TransferQueue(self._call_later)
        self.agents = self._create_agents()
        self.deadline_timer: DeadlineTimer | None = None
        self.servers: list[asyncio.Server] = []

    def _create_agents(self) -> list[DiscoveryAgent]:
        fleet = self.fleet
        layout, scenario = fleet.layout, fleet.scenario
        schedule = ListSchedule(scenario, layout, fleet.timeline, fleet.config.seed)
        kinds = [kind.name for kind in scenario.servers.kinds]
        builder = InstanceBuilder(
            layout, fleet.config.addresses, kinds, lambda at_s: self.clock.unix_ms(at_s)
        )
        encoders = [RegionEncoder(versions, len(layout.servers), builder) for versions in schedule.versions]
        agents = []
        for number in range(scenario.balancers.total):
            region = layout.balancer_region(number)
            series = self.real_propagation if number < scenario.balancers.real else self.hollow_propagation
            agents.append(
                DiscoveryAgent(
                    encoder=encoders[region],
                    acknowledgements=AcknowledgementTracker(series),
                    traffic=self.traffic,
                    releases=self.releases,
                    versions=schedule.versions[region],
                    visible_at_s=partial(schedule.visible_at_s, number),
                    call_later=self._call_later,
                )
            )
        return agents

    async def listen(self) -> None:
        """Listen at the address of each agent. Calls are answered from now on, also before `start`."""
        loop = asyncio.get_running_loop()
        for number, agent in enumerate(self.agents):
            address = self.fleet.config.addresses.agent_address(number)
            self.servers.append(
                await loop.create_server(
                    partial(AgentConnection, agent, self.transfers, self._now_s, self._rearm),
                    address.host,
                    address.port,
                    backlog=BACKLOG,
                )
            )

    def start(self, clock: ScenarioClock) -> None:
        """Start releasing the list versions at their times."""
        self.clock = clock
        self.deadline_timer = DeadlineTimer(asyncio.get_running_loop(), clock.now_s, self.releases)
        for agent in self.agents:
            agent.schedule_release()
        self.deadline_timer.rearm()

    def apply(self, event: events.Event) -> None:
        """Apply outages, silent watches and restarts of balancers; list changes are already scheduled."""
        match event:
            case events.DiscoverySilenced():
                for agent in self._agents_in(event.regions):
                    agent.stop_responding(long_polls_only=False)
            case events.DiscoveryReturned():
                for agent in self._agents_in(event.regions):
                    agent.ignores_calls = False
            case events.WatchesSilenced():
                for number in event.balancers:
                    self.agents[number].stop_responding(long_polls_only=True)
            case events.WatchesReturned():
                for number in event.balancers:
                    self.agents[number].ignores_long_polls = False
            case events.BalancersStopped() | events.BalancersStarted():
                for number in event.balancers:
                    self.agents[number].handle_balancer_restart()

    def measure(self, at_s: float) -> None:
        """Print the measures since the last call."""
        now, before = self.traffic, self.reported_traffic
        print_message(
            DiscoverySecond(
                at_s=at_s,
                calls=now.calls - before.calls,
                whole_lists=now.whole_lists - before.whole_lists,
                silent_calls=now.silent_calls - before.silent_calls,
                sent_bytes=now.sent_bytes - before.sent_bytes,
                received_bytes=now.received_bytes - before.received_bytes,
                hollow=self.hollow_propagation.take_second(),
                real=self.real_propagation.take_second(),
            )
        )
        self.reported_traffic = TrafficCounts(
            now.calls, now.whole_lists, now.silent_calls, now.sent_bytes, now.received_bytes
        )

    def finish(self) -> None:
        """Print the measures of the whole run and close the sockets."""
        traffic = self.traffic
        print_message(
            DiscoveryTotal(
                at_s=self.clock.now_s(),
                calls=traffic.calls,
                whole_lists=traffic.whole_lists,
                silent_calls=traffic.silent_calls,
                sent_bytes=traffic.sent_bytes,
                received_bytes=traffic.received_bytes,
                hollow=self.hollow_propagation.total.summary(self.hollow_propagation.pending),
                real=self.real_propagation.total.summary(self.real_propagation.pending),
                hollow_histogram=self.hollow_propagation.total.histogram.encode().decode(),
                real_histogram=self.real_propagation.total.histogram.encode().decode(),
            )
        )
        self.close()

    def close(self) -> None:
        """Stop the timer and close all sockets."""
        if self.deadline_timer is not None:
            self.deadline_timer.stop()
        for server in self.servers:
            server.close()

    def _agents_in(self, regions: tuple[int, ...]) -> list[DiscoveryAgent]:
        layout = self.fleet.layout
        return [
            agent for number, agent in enumerate(self.agents) if layout.balancer_region(number) in regions
        ]

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> object:
        return asyncio.get_running_loop().call_later(delay_s, callback)

    def _now_s(self) -> float:
        return self.clock.now_s()

    def _rearm(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.rearm()


def main() -> int:
    """Run stand-in discovery until the end of standard input."""
    return run_child(ROLE, DiscoveryProcess)


if __name__ == "__main__":
    sys.exit(main())
