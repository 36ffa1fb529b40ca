"""The photo servers of one process, behind the network: one heap of deadlines, no clock of its own."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Protocol

from dykeshift.interface import Outcome
from emulator.fleet import timeline as events
from emulator.fleet.discovery_list import AnnouncedLifecycles, ListSchedule
from emulator.fleet.layout import Layout
from emulator.fleet.photo_server import CONNECT_FAILED, FALLEN, FULL, OK, RESET, RUNNING, VANISHED
from emulator.fleet.photo_server import Fall, Job, PhotoServer, ServerCounts, State
from emulator.fleet.photo_server_connections import ConnectionTable
from emulator.fleet.photo_server_measures import AttemptCounts, FallMeasure, PhotoServersSecond
from emulator.fleet.photo_server_measures import PhotoServersTotal, difference
from emulator.fleet.scenario import Scenario
from emulator.fleet.settings_for_balancers import CONNECT_TIMEOUT_S, DRAIN_GRACE_S, KEEPALIVE_S

SOCKET_SLACK_S = 0.05  # by which every time limit is longer on sockets
TIMER_GRAIN_S = 0.0005  # an answer that takes less than this to come back comes at once
SWEEP_PARTS = 8  # the tables of so many parts of the servers are swept in turn, one each second

ARRIVE, FINISH, RETURN = range(3)  # kinds of deadlines

# One deadline: time, order of adding, kind, job, and for a finish its server and plan.
Deadline = tuple[float, int, int, "Attempted", PhotoServer | None, int]


class Reply(Protocol):
    """Where the ends of attempts go."""

    def deliver(self, attempt: Attempted) -> None:
        """The answer has come back to the balancer; `outcome` and the report are set."""


class Attempted(Job):
    """One attempt on its way to a server, there, and on its way back."""

    __slots__ = (
        "reply",
        "number",
        "delay_s",
        "sent_s",
        "outcome",
        "in_flight",
        "service_s",
        "over_http",
        "lost",
    )

    reply: Reply
    number: int  # as the sender knows it
    delay_s: float  # one way
    sent_s: float
    outcome: Outcome | None
    in_flight: int
    service_s: float
    over_http: bool  # its connection is a real one
    lost: bool  # nothing will come back


class PhotoServerGroup:
    """All servers that one process hosts."""

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
        self.tables: dict[int, ConnectionTable] = {}
        self.now_s = 0.0
        self.late_s = 0.0
        self._balancer_zones = layout.balancer_zones
        self._told = AnnouncedLifecycles(ListSchedule(scenario, layout, timeline, seed))
        self._heap: list[Deadline] = []
        self._added = 0
        self._splits: set[frozenset[int]] = set()
        self._reported = AttemptCounts()
        self._reported_falls = 0
        self._second_late_s = 0.0
        self._swept = 0
        mean_work_s = scenario.mean_work_s()
        for place in layout.servers[index::processes]:
            limit = scenario.servers.queue_per_core * place.cores
            self.servers[place.number] = PhotoServer(
                place, scenario.cold_start, limit, mean_work_s, self, self.server_counts
            )
            self.tables[place.number] = ConnectionTable(KEEPALIVE_S)

    # ---- attempts ----

    def hosts(self, server: int, balancer: int) -> bool:
        """Whether the server is one of this process's, and the balancer one of the fleet's."""
        return server in self.servers and 0 <= balancer < len(self._balancer_zones)

    def submit(
        self,
        now_s: float,
        reply: Reply,
        number: int,
        server: int,
        balancer: int,
        work_s: float,
        wait_s: float,
        *,
        over_http: bool = False,
    ) -> Attempted:
        """A balancer sends an attempt now; `reply` hears of its end, unless that is silent."""
        hosted = self.servers[server]
        attempt = Attempted(server, balancer, work_s, now_s + wait_s, self._ended)
        attempt.reply, attempt.number, attempt.over_http = reply, number, over_http
        attempt.sent_s, attempt.outcome, attempt.lost = now_s, None, False
        attempt.in_flight, attempt.service_s = 0, 0.0
        zone = self._balancer_zones[balancer]
        attempt.delay_s = self.layout.delays_s[zone][hosted.place.zone]
        self.counts.attempts += 1
        self.counts.http += over_http
        if hosted.state is VANISHED or (self._splits and self._is_cut(attempt)):
            self._send_into_silence(now_s, attempt)
            return attempt
        arrival_s = now_s + attempt.delay_s
        if not over_http and self.tables[server].take(balancer, now_s):
            arrival_s += 2 * attempt.delay_s  # a new connection comes up first
        self._push(arrival_s, ARRIVE, attempt)
        return attempt

    def cancel(self, attempt: Attempted) -> None:
        """The balancer has given up the attempt: by a cancel or by a time-out."""
        if attempt.outcome is not None or attempt.abandoned:
            return
        self.counts.cancelled += not attempt.lost
        self.servers[attempt.server].cancel(attempt)
        attempt.abandoned = True
        if not attempt.over_http:
            self.tables[attempt.server].give_back(attempt.balancer, self.now_s, keep=False)

    # ---- time ----

    def next_deadline(self) -> float | None:
        """Part of `Paced`."""
        return self._heap[0][0] if self._heap else None

    def advance(self, now_s: float) -> None:
        """Part of `Paced`: everything that is due happens, each at its own time."""
        heap = self._heap
        if heap:
            self._second_late_s = max(self._second_late_s, now_s - heap[0][0])
        while heap and heap[0][0] <= now_s:
            at_s, _, kind, attempt, server, plan = heapq.heappop(heap)
            self.now_s = at_s
            if kind == ARRIVE:
                self._arrive(at_s, attempt)
            elif kind == RETURN:
                self._return(attempt)
            elif server is not None:
                server.finish(at_s, attempt, plan)
        self.now_s = now_s

    def plan_finish(self, at_s: float, server: PhotoServer, job: Job, plan: int) -> None:
        """Part of `Planner`."""
        assert isinstance(job, Attempted)
        self._push(at_s, FINISH, job, server, plan)

    def apply(self, event: events.Event) -> None:
        """One event of the timeline happens, at its own time."""
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
                    self.tables[server.place.number].close_all()
            case events.ServersVanished():
                for server in self._hosted(event.servers):
                    server.vanish(at_s)
            case events.ServersStarted():
                for server in self._hosted(event.servers):
                    server.start(at_s)
                    self.tables[server.place.number].close_all()
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

    def second(self, at_s: float) -> PhotoServersSecond:
        """What happened since the last call, and what is there now."""
        self._sweep(at_s)
        totals = self._totals()
        up = [server for server in self.servers.values() if server.state in (State.RUNNING, State.DRAINING)]
        falls = self.server_counts.falls[self._reported_falls :]
        measures = PhotoServersSecond(
            index=self.index,
            at_s=at_s,
            counts=difference(totals, self._reported),
            queued=sum(server.queue_length() for server in up),
            busy_cores=sum(server.busy_cores() for server in up),
            cores=sum(server.place.cores for server in up),
            servers_up=len(up),
            connections=sum(table.open for table in self.tables.values()),
            most_connections=self._most_connections(),
            falls=tuple(map(_fall_measure, falls)),
            late_ms=self._second_late_s * 1e3,
        )
        self._reported, self._reported_falls = totals, len(self.server_counts.falls)
        self.late_s, self._second_late_s = max(self.late_s, self._second_late_s), 0.0
        return measures

    def total(self, at_s: float) -> PhotoServersTotal:
        """What happened over the whole run."""
        return PhotoServersTotal(
            index=self.index,
            at_s=at_s,
            counts=self._totals(),
            most_connections=self._most_connections(),
            falls=tuple(map(_fall_measure, self.server_counts.falls)),
            late_ms=max(self.late_s, self._second_late_s) * 1e3,
        )

    # ---- inside ----

    def _push(
        self, at_s: float, kind: int, attempt: Attempted, server: PhotoServer | None = None, plan: int = 0
    ) -> None:
        self._added += 1
        heapq.heappush(self._heap, (at_s, self._added, kind, attempt, server, plan))

    def _hosted(self, numbers: Sequence[int]) -> list[PhotoServer]:
        return [self.servers[number] for number in numbers if number in self.servers]

    def _is_cut(self, attempt: Attempted) -> bool:
        here = self.layout.balancer_region(attempt.balancer)
        there = self.layout.servers[attempt.server].region
        return frozenset((here, there)) in self._splits

    def _send_into_silence(self, now_s: float, attempt: Attempted) -> None:
        """On an open connection nothing comes back; a new one does not come up in time."""
        table = self.tables[attempt.server]
        if attempt.over_http or table.has_idle(attempt.balancer, now_s):
            if not attempt.over_http:
                table.take(attempt.balancer, now_s)
            self._lose(attempt)
            return
        attempt.outcome = CONNECT_FAILED
        self.counts.connect_failed += 1
        self._push(now_s + CONNECT_TIMEOUT_S, RETURN, attempt)

    def _arrive(self, at_s: float, attempt: Attempted) -> None:
        if attempt.abandoned:
            self.server_counts.dropped += 1
            return
        server = self.servers[attempt.server]
        if server.state is not RUNNING:
            self._check_told(attempt)
        outcome = server.offer(at_s, attempt)
        if outcome is not None:
            self._ended(attempt, outcome, server)
            if server.state is FALLEN:
                self.tables[attempt.server].close_all()
        elif server.state is VANISHED:
            self._lose(attempt)

    def _lose(self, attempt: Attempted) -> None:
        attempt.lost = True
        self.counts.lost += 1

    def _check_told(self, attempt: Attempted) -> None:
        grace_s = DRAIN_GRACE_S + SOCKET_SLACK_S
        late = self._told.should_have_stopped(attempt.balancer, attempt.server, attempt.sent_s, grace_s)
        self.counts.after_drain_told += late

    def _ended(self, job: Job, outcome: Outcome, server: PhotoServer) -> None:
        assert isinstance(job, Attempted)
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
            self.tables[job.server].give_back(job.balancer, self.now_s, keep=keep)
        if job.delay_s < TIMER_GRAIN_S:
            self._return(job)
        else:
            self._push(self.now_s + job.delay_s, RETURN, job)

    def _return(self, attempt: Attempted) -> None:
        if attempt.abandoned or (self._splits and self._is_cut(attempt)):
            return
        attempt.reply.deliver(attempt)

    def _sweep(self, now_s: float) -> None:
        self._swept = (self._swept + 1) % SWEEP_PARTS
        for table in list(self.tables.values())[self._swept :: SWEEP_PARTS]:
            table.expire(now_s)

    def _most_connections(self) -> int:
        return max((table.most for table in self.tables.values()), default=0)

    def _totals(self) -> AttemptCounts:
        totals = difference(self.counts, AttemptCounts())  # a copy
        totals.work_s = self.server_counts.work_s
        totals.wasted_work_s = self.server_counts.wasted_work_s
        totals.dropped = self.server_counts.dropped
        return totals


def _fall_measure(fall: Fall) -> FallMeasure:
    return FallMeasure(fall.server, fall.at_s, fall.balancers, fall.attempts, fall.budget)
