"""The photo servers of one process and the network in front of them, without a clock of their own.

Arrivals, finishes and returns of attempts are deadlines in one heap. Times are seconds of the scenario.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Protocol

from dykeshift.interface import Outcome
from emulator.fleet import timeline as events
from emulator.fleet.discovery_list import AnnouncedLifecycles, ListSchedule
from emulator.fleet.layout import Layout
from emulator.fleet.photo_server import CONNECT_FAILED, CRASHED, FULL, OK, RESET, RUNNING, UNREACHABLE
from emulator.fleet.photo_server import OverloadCrash, PhotoServer, PhotoServerState, ServerCounts, ServerJob
from emulator.fleet.photo_server_connections import ConnectionTable
from emulator.fleet.photo_server_measures import AttemptCounts, FallMeasure, PhotoServersSecond
from emulator.fleet.photo_server_measures import PhotoServersTotal, difference
from emulator.fleet.scenario import Scenario
from emulator.fleet.settings_for_balancers import CONNECT_TIMEOUT_S, DRAIN_GRACE_S, KEEPALIVE_S

SOCKET_MARGIN_S = 0.05  # added to the drain grace, as messages on sockets take time
MIN_TIMER_DELAY_S = 0.0005  # a response with a shorter network delay is delivered at once
SWEEP_PARTITIONS = 8  # parts of the servers; idle connections of one part are closed each second, in turn

ARRIVE, FINISH, RETURN = range(3)  # kinds of deadlines

# Time, order of adding, kind and attempt of a deadline; for a finish also its server and version.
Deadline = tuple[float, int, int, "TrackedAttempt", PhotoServer | None, int]


class ResultReceiver(Protocol):
    """Sender of attempts, which receives their results."""

    def deliver(self, attempt: TrackedAttempt) -> None:
        """Receive the result of an attempt, after the network delay of the way back."""


class TrackedAttempt(ServerJob):
    """An attempt from its start at the balancer until its result has returned to the balancer."""

    __slots__ = (
        "receiver",
        "number",
        "one_way_delay_s",
        "sent_s",
        "outcome",
        "in_flight",
        "service_s",
        "over_http",
        "is_lost",
    )

    receiver: ResultReceiver
    number: int  # given by the sender
    one_way_delay_s: float  # of the network
    sent_s: float
    outcome: Outcome | None
    in_flight: int
    service_s: float
    over_http: bool  # on a real connection
    is_lost: bool  # never gets a result


class PhotoServerGroup:
    """The servers that one process hosts."""

    def __init__(
        self,
        scenario: Scenario,
        layout: Layout,
        timeline: Sequence[events.Event],
        seed: int,
        index: int,
        processes: int,
    ) -> None:
        self.index = index
        self.layout = layout
        self.counts = AttemptCounts()
        self.server_counts = ServerCounts()
        self.servers: dict[int, PhotoServer] = {}
        self.connection_tables: dict[int, ConnectionTable] = {}
        self.now_s = 0.0
        self.max_late_s = 0.0
        self._balancer_zones = layout.balancer_zones
        self._announced = AnnouncedLifecycles(ListSchedule(scenario, layout, timeline, seed))
        self._heap: list[Deadline] = []
        self._added = 0
        self._splits: set[frozenset[int]] = set()
        self._reported_counts = AttemptCounts()
        self._reported_crash_count = 0
        self._max_late_in_second_s = 0.0
        self._sweep_index = 0
        mean_work_s = scenario.mean_work_s()
        for place in layout.servers[index::processes]:
            limit = scenario.servers.queue_per_core * place.cores
            self.servers[place.number] = PhotoServer(
                place, scenario.cold_start, limit, mean_work_s, self, self.server_counts
            )
            self.connection_tables[place.number] = ConnectionTable(KEEPALIVE_S)

    # ---- attempts ----

    def is_known_pair(self, server: int, balancer: int) -> bool:
        """Whether this process hosts the server and the fleet has the balancer."""
        return server in self.servers and 0 <= balancer < len(self._balancer_zones)

    def submit(
        self,
        now_s: float,
        receiver: ResultReceiver,
        number: int,
        server: int,
        balancer: int,
        work_s: float,
        wait_s: float,
        *,
        over_http: bool = False,
    ) -> TrackedAttempt:
        """Send an attempt now; `receiver` gets the result, unless the attempt is lost or cancelled."""
        hosted = self.servers[server]
        attempt = TrackedAttempt(server, balancer, work_s, now_s + wait_s, self._on_job_end)
        attempt.receiver, attempt.number, attempt.over_http = receiver, number, over_http
        attempt.sent_s, attempt.outcome, attempt.is_lost = now_s, None, False
        attempt.in_flight, attempt.service_s = 0, 0.0
        zone = self._balancer_zones[balancer]
        attempt.one_way_delay_s = self.layout.delays_s[zone][hosted.place.zone]
        self.counts.attempts += 1
        self.counts.http += over_http
        if hosted.state is UNREACHABLE or (self._splits and self._crosses_split(attempt)):
            self._submit_to_unreachable(now_s, attempt)
            return attempt
        arrival_s = now_s + attempt.one_way_delay_s
        if not over_http and self.connection_tables[server].acquire(balancer, now_s):
            arrival_s += 2 * attempt.one_way_delay_s  # for the handshake of a new connection
        self._push(arrival_s, ARRIVE, attempt)
        return attempt

    def cancel(self, attempt: TrackedAttempt) -> None:
        """Cancel an attempt, as the balancer has cancelled it or its timeout has passed."""
        if attempt.outcome is not None or attempt.is_cancelled:
            return
        self.counts.cancelled += not attempt.is_lost
        self.servers[attempt.server].cancel(attempt)
        attempt.is_cancelled = True
        if not attempt.over_http:
            self.connection_tables[attempt.server].release(attempt.balancer, self.now_s, keep=False)

    # ---- time ----

    def next_deadline(self) -> float | None:
        """Part of `DeadlineOwner`."""
        return self._heap[0][0] if self._heap else None

    def advance(self, now_s: float) -> None:
        """Part of `DeadlineOwner`: process the deadlines that are due, each at its own time."""
        heap = self._heap
        if heap:
            self._max_late_in_second_s = max(self._max_late_in_second_s, now_s - heap[0][0])
        while heap and heap[0][0] <= now_s:
            at_s, _, kind, attempt, server, finish_version = heapq.heappop(heap)
            self.now_s = at_s
            if kind == ARRIVE:
                self._handle_arrival(at_s, attempt)
            elif kind == RETURN:
                self._deliver(attempt)
            elif server is not None:
                server.finish(at_s, attempt, finish_version)
        self.now_s = now_s

    def schedule_finish(self, at_s: float, server: PhotoServer, job: ServerJob, finish_version: int) -> None:
        """Part of `FinishScheduler`."""
        assert isinstance(job, TrackedAttempt)
        self._push(at_s, FINISH, job, server, finish_version)

    def apply(self, event: events.Event) -> None:
        """Apply an event of the timeline at the time of the event."""
        self.advance(event.at_s)
        at_s = event.at_s
        match event:
            case events.RegionsSplit():
                self._splits.add(frozenset(event.regions))
            case events.RegionsHealed():
                self._splits.discard(frozenset(event.regions))
            case events.ServersDrained():
                for server in self._hosted(event.servers):
                    server.drain(at_s)
            case events.ServersStopped():
                for server in self._hosted(event.servers):
                    server.stop(at_s)
                    self.connection_tables[server.place.number].close_all()
            case events.ServersVanished():
                for server in self._hosted(event.servers):
                    server.become_unreachable(at_s)
            case events.ServersStarted():
                for server in self._hosted(event.servers):
                    server.start(at_s)
                    self.connection_tables[server.place.number].close_all()
            case events.ServersSlowed():
                for server in self._hosted(event.servers):
                    server.slow_down(at_s, event.factor)
            case events.ServersHung():
                for server in self._hosted(event.servers):
                    server.hang(at_s)
            case events.ServersRecovered():
                for server in self._hosted(event.servers):
                    server.recover(at_s)

    # ---- measures ----

    def take_second(self, at_s: float) -> PhotoServersSecond:
        """Measures of the time since the last call and of the present state."""
        self._close_idle_connections(at_s)
        totals = self._totals()
        up = [
            server
            for server in self.servers.values()
            if server.state in (PhotoServerState.RUNNING, PhotoServerState.DRAINING)
        ]
        crashes = self.server_counts.crashes[self._reported_crash_count :]
        measures = PhotoServersSecond(
            index=self.index,
            at_s=at_s,
            counts=difference(totals, self._reported_counts),
            queued=sum(server.queue_length() for server in up),
            busy_cores=sum(server.busy_cores() for server in up),
            cores=sum(server.place.cores for server in up),
            servers_up=len(up),
            connections=sum(table.open_count for table in self.connection_tables.values()),
            most_connections=self._most_connections(),
            falls=tuple(map(_to_fall_measure, crashes)),
            late_ms=self._max_late_in_second_s * 1e3,
        )
        self._reported_counts, self._reported_crash_count = totals, len(self.server_counts.crashes)
        self.max_late_s, self._max_late_in_second_s = max(self.max_late_s, self._max_late_in_second_s), 0.0
        return measures

    def summarize_run(self, at_s: float) -> PhotoServersTotal:
        """Measures of the whole run."""
        return PhotoServersTotal(
            index=self.index,
            at_s=at_s,
            counts=self._totals(),
            most_connections=self._most_connections(),
            falls=tuple(map(_to_fall_measure, self.server_counts.crashes)),
            late_ms=max(self.max_late_s, self._max_late_in_second_s) * 1e3,
        )

    # ---- internal ----

    def _push(
        self,
        at_s: float,
        kind: int,
        attempt: TrackedAttempt,
        server: PhotoServer | None = None,
        finish_version: int = 0,
    ) -> None:
        self._added += 1
        heapq.heappush(self._heap, (at_s, self._added, kind, attempt, server, finish_version))

    def _hosted(self, numbers: Sequence[int]) -> list[PhotoServer]:
        return [self.servers[number] for number in numbers if number in self.servers]

    def _crosses_split(self, attempt: TrackedAttempt) -> bool:
        here = self.layout.balancer_region(attempt.balancer)
        there = self.layout.servers[attempt.server].region
        return frozenset((here, there)) in self._splits

    def _submit_to_unreachable(self, now_s: float, attempt: TrackedAttempt) -> None:
        """On an open connection the attempt is lost; a new connection fails after the connect timeout."""
        table = self.connection_tables[attempt.server]
        if attempt.over_http or table.has_idle_connection(attempt.balancer, now_s):
            if not attempt.over_http:
                table.acquire(attempt.balancer, now_s)
            self._mark_lost(attempt)
            return
        attempt.outcome = CONNECT_FAILED
        self.counts.connect_failed += 1
        self._push(now_s + CONNECT_TIMEOUT_S, RETURN, attempt)

    def _handle_arrival(self, at_s: float, attempt: TrackedAttempt) -> None:
        if attempt.is_cancelled:
            self.server_counts.dropped += 1
            return
        server = self.servers[attempt.server]
        if server.state is not RUNNING:
            self._count_if_after_drain(attempt)
        outcome = server.handle_arrival(at_s, attempt)
        if outcome is not None:
            self._on_job_end(attempt, outcome, server)
            if server.state is CRASHED:
                self.connection_tables[attempt.server].close_all()
        elif server.state is UNREACHABLE:
            self._mark_lost(attempt)

    def _mark_lost(self, attempt: TrackedAttempt) -> None:
        attempt.is_lost = True
        self.counts.lost += 1

    def _count_if_after_drain(self, attempt: TrackedAttempt) -> None:
        grace_s = DRAIN_GRACE_S + SOCKET_MARGIN_S
        late = self._announced.should_have_stopped(attempt.balancer, attempt.server, attempt.sent_s, grace_s)
        self.counts.after_drain_told += late

    def _on_job_end(self, job: ServerJob, outcome: Outcome, server: PhotoServer) -> None:
        assert isinstance(job, TrackedAttempt)
        job.outcome, job.in_flight, job.service_s = outcome, server.in_flight, server.service_s
        if outcome is OK:
            self.counts.ok += 1
        elif outcome is FULL:
            self.counts.full += 1
        elif outcome is RESET:
            self.counts.reset += 1
        else:
            self.counts.connect_failed += 1
        if not job.over_http:
            keep = outcome is OK or outcome is FULL
            self.connection_tables[job.server].release(job.balancer, self.now_s, keep=keep)
        if job.one_way_delay_s < MIN_TIMER_DELAY_S:
            self._deliver(job)
        else:
            self._push(self.now_s + job.one_way_delay_s, RETURN, job)

    def _deliver(self, attempt: TrackedAttempt) -> None:
        if attempt.is_cancelled or (self._splits and self._crosses_split(attempt)):
            return
        attempt.receiver.deliver(attempt)

    def _close_idle_connections(self, now_s: float) -> None:
        self._sweep_index = (self._sweep_index + 1) % SWEEP_PARTITIONS
        for table in list(self.connection_tables.values())[self._sweep_index :: SWEEP_PARTITIONS]:
            table.close_idle(now_s)

    def _most_connections(self) -> int:
        return max((table.peak_count for table in self.connection_tables.values()), default=0)

    def _totals(self) -> AttemptCounts:
        totals = difference(self.counts, AttemptCounts())  # a copy
        totals.work_s = self.server_counts.work_s
        totals.wasted_work_s = self.server_counts.wasted_work_s
        totals.dropped = self.server_counts.dropped
        return totals


def _to_fall_measure(crash: OverloadCrash) -> FallMeasure:
    return FallMeasure(crash.server, crash.at_s, crash.balancers, crash.attempts, crash.budget)
