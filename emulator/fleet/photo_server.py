"""Model of one photo server, without sockets and without a clock of its own.

A server has cores that each do one request at a time and a first-in, first-out queue. It starts cold: its
capacity grows linearly up to the whole. A cold server falls over when it is sent more than a multiple of its
present capacity over a window.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from dykeshift.interface import Outcome
from emulator.fleet.layout import ServerPlace
from emulator.fleet.scenario import ColdStart

SERVICE_TIME_SMOOTHING = 0.1  # weight of the newest sample in the recent service time


class State(enum.Enum):
    """What a server process does with requests."""

    RUNNING = enum.auto()
    DRAINING = enum.auto()  # finishes what it has
    STOPPED = enum.auto()  # refuses connections
    VANISHED = enum.auto()  # is silent
    FALLEN = enum.auto()  # was overloaded while cold; stays down until it is started again


# Members looked up once: these are compared for every attempt.
RUNNING, DRAINING, STOPPED, VANISHED, FALLEN = State
OK, FULL, RESET, CONNECT_FAILED = Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED


class Job:
    """One attempt at one server, from its arrival until its end."""

    __slots__ = (
        "server",
        "balancer",
        "work_s",
        "expires_s",
        "ended",
        "abandoned",
        "over",
        "waiting",
        "began_s",
        "remaining_s",
        "since_s",
        "plan",
    )

    def __init__(
        self,
        server: int,
        balancer: int,
        work_s: float,
        expires_s: float,
        ended: Callable[[Job, Outcome, PhotoServer], None],
    ) -> None:
        self.server = server
        self.balancer = balancer
        self.work_s = work_s  # on a core of speed 1
        self.expires_s = expires_s  # when the balancer stops waiting
        self.ended = ended  # called once with the outcome; never if the end is silent
        self.abandoned = False  # cancelled: nobody waits for it
        self.over = False
        self.waiting = False  # in the queue of its server
        self.began_s = 0.0
        self.remaining_s = 0.0  # work that was left at `since_s`, for a job on a core
        self.since_s = 0.0
        self.plan = 0  # counts its planned finishes: only the last one is valid


class Planner(Protocol):
    """Calls a server back when one of its jobs should be done."""

    def plan_finish(self, at_s: float, server: PhotoServer, job: Job, plan: int) -> None:
        """Call `finish(at_s, job, plan)` of the server at that time."""


class ServerCounts:
    """What all servers of a process have done; reset by whoever reports it."""

    __slots__ = ("work_s", "wasted_work_s", "dropped", "falls")

    def __init__(self) -> None:
        self.work_s = 0.0  # done, on a core of speed 1
        self.wasted_work_s = 0.0  # part of it that nobody waited for
        self.dropped = 0  # cancelled or expired before they reached a core
        self.falls: list[Fall] = []


class Fall:
    """A cold server that fell over, and who sent it the work of its last window."""

    __slots__ = ("server", "at_s", "balancers", "attempts", "budget")

    def __init__(self, server: int, at_s: float, balancers: int, attempts: int, budget: float) -> None:
        self.server = server
        self.at_s = at_s
        self.balancers = balancers
        self.attempts = attempts
        self.budget = budget  # requests of mean work that it would have borne


class PhotoServer:
    """One photo server."""

    __slots__ = (
        "place",
        "state",
        "hung",
        "in_flight",
        "service_s",
        "drained_s",
        "_planner",
        "_counts",
        "_cold",
        "_mean_work_s",
        "_queue_limit",
        "_slow_factor",
        "_started_s",
        "_running",
        "_waiting",
        "_live_waiting",
        "_window",
        "_window_work_s",
    )

    def __init__(
        self,
        place: ServerPlace,
        cold: ColdStart,
        queue_limit: int,
        mean_work_s: float,
        planner: Planner,
        counts: ServerCounts,
    ) -> None:
        self.place = place
        self.state = RUNNING
        self.hung = False
        self.in_flight = 0  # jobs on cores and in the queue that are not dropped
        self.service_s = 0.0  # recent time on a core
        self.drained_s: float | None = None
        self._planner = planner
        self._counts = counts
        self._cold = cold
        self._mean_work_s = mean_work_s
        self._queue_limit = queue_limit
        self._slow_factor = 1.0
        self._started_s = -math.inf
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._live_waiting = 0
        self._window: deque[tuple[float, float, int]] = deque()  # time, work and balancer of each arrival
        self._window_work_s = 0.0

    # ---- requests ----

    def offer(self, now_s: float, job: Job) -> Outcome | None:
        """Take a request that has arrived; an outcome if it ends at once, None if it is taken or lost."""
        state = self.state
        if state is not RUNNING and state is not DRAINING:
            return None if state is VANISHED else CONNECT_FAILED
        if now_s < self._started_s + self._cold.warm_s and self._feels_pressure(now_s, job):
            return RESET
        if state is DRAINING or self._live_waiting >= self._queue_limit:
            return FULL
        self.in_flight += 1
        if len(self._running) < self.place.cores:
            self._begin(now_s, job)
        else:
            job.waiting = True
            self._waiting.append(job)
            self._live_waiting += 1
        return None

    def cancel(self, job: Job) -> None:
        """Nobody waits for the job any more: it is dropped if it waits, and goes on if it is on a core."""
        if job.over or job.abandoned:
            return
        job.abandoned = True
        if job.waiting:
            self._drop(job)

    def finish(self, now_s: float, job: Job, plan: int) -> None:
        """A planned finish has come; ignored if it has been planned anew since."""
        if job.over or job.plan != plan:
            return
        self._running.remove(job)
        job.over = True
        self.in_flight -= 1
        self._counts.work_s += job.work_s
        if job.abandoned or now_s > job.expires_s:
            self._counts.wasted_work_s += job.work_s
        sample = now_s - job.began_s
        weight = SERVICE_TIME_SMOOTHING if self.service_s else 1.0
        self.service_s += weight * (sample - self.service_s)
        self._begin_waiting(now_s)
        if not job.abandoned:
            job.ended(job, OK, self)

    # ---- events ----

    def drain(self, now_s: float) -> None:
        """Take nothing new, finish what is there."""
        if self.state is RUNNING:
            self.state, self.drained_s = DRAINING, now_s

    def stop(self, now_s: float) -> None:
        """End the process: whatever is open ends as a reset."""
        self._go_down(now_s, STOPPED, silent=False)

    def vanish(self, now_s: float) -> None:
        """Lose the machine: nothing is said to anyone."""
        self._go_down(now_s, VANISHED, silent=True)

    def start(self, now_s: float) -> None:
        """Start anew and cold."""
        self._go_down(now_s, RUNNING, silent=True)
        self.hung, self._slow_factor = False, 1.0
        self.drained_s = None
        self.service_s = 0.0
        self._started_s = now_s
        self._window.clear()
        self._window_work_s = 0.0

    def slow_down(self, now_s: float, factor: float) -> None:
        """Work slower by a factor from now on; 1 is the usual speed."""
        self._settle(now_s)
        self._slow_factor = factor
        self._plan_all(now_s)

    def hang(self, now_s: float) -> None:
        """Take requests and finish none."""
        self._settle(now_s)
        self.hung = True
        for job in self._running:
            job.plan += 1

    def recover(self, now_s: float) -> None:
        """End a slowdown or a hang."""
        self._settle(now_s)
        self.hung, self._slow_factor = False, 1.0
        self._plan_all(now_s)

    # ---- figures ----

    def queue_length(self) -> int:
        """Requests that wait for a core."""
        return self._live_waiting

    def busy_cores(self) -> int:
        """Cores that have a request."""
        return len(self._running)

    def warmth(self, now_s: float) -> float:
        """Present capacity as a share of the whole."""
        age_s = now_s - self._started_s
        if age_s >= self._cold.warm_s:
            return 1.0
        return self._cold.from_share + (1 - self._cold.from_share) * max(0.0, age_s) / self._cold.warm_s

    def overload_budget(self, now_s: float) -> float:
        """Requests of mean work that it bears within the window at its present capacity.

        N requests by its capacity times the multiple, and 2 * sqrt(N) + 2 more for chance.
        """
        capacity = self.place.cores * self.place.speed * self.warmth(now_s) / self._slow_factor
        borne = self._cold.overload_multiple * capacity * self._cold.overload_window_s / self._mean_work_s
        return borne + 2 * math.sqrt(borne) + 2

    # ---- inside ----

    def _feels_pressure(self, now_s: float, job: Job) -> bool:
        """Count an arrival at a cold server; whether the server falls over by it."""
        window = self._window
        while window and window[0][0] <= now_s - self._cold.overload_window_s:
            self._window_work_s -= window.popleft()[1]
        window.append((now_s, job.work_s, job.balancer))
        self._window_work_s += job.work_s
        budget = self.overload_budget(now_s)
        if self._window_work_s <= budget * self._mean_work_s:
            return False
        balancers = len({balancer for _, _, balancer in window})
        self._counts.falls.append(Fall(self.place.number, now_s, balancers, len(window), budget))
        self._go_down(now_s, FALLEN, silent=False)
        return True

    def _begin(self, now_s: float, job: Job) -> None:
        job.began_s = job.since_s = now_s
        job.remaining_s = job.work_s
        self._running.append(job)
        if not self.hung:
            self._plan(now_s, job)

    def _begin_waiting(self, now_s: float) -> None:
        """Give free cores to the first in the queue; drops on the way whom nobody waits for."""
        while self._waiting and len(self._running) < self.place.cores:
            job = self._waiting.popleft()
            if job.over:
                continue
            if now_s > job.expires_s:
                self._drop(job)
                continue
            job.waiting = False
            self._live_waiting -= 1
            self._begin(now_s, job)

    def _drop(self, job: Job) -> None:
        """End a job that waits; its place in the queue is passed over later."""
        job.over, job.waiting = True, False
        self._live_waiting -= 1
        self.in_flight -= 1
        self._counts.dropped += 1

    def _plan(self, now_s: float, job: Job) -> None:
        job.plan += 1
        rate = self.place.speed / self._slow_factor
        finish_s = now_s + self._time_for(now_s, job.remaining_s / rate)
        self._planner.plan_finish(finish_s, self, job, job.plan)

    def _plan_all(self, now_s: float) -> None:
        if not self.hung:
            for job in self._running:
                self._plan(now_s, job)

    def _settle(self, now_s: float) -> None:
        """Take the work done until now off what is left of the running jobs."""
        rate = 0.0 if self.hung else self.place.speed / self._slow_factor
        for job in self._running:
            done_s = rate * self._warm_time(job.since_s, now_s)
            job.remaining_s = max(0.0, job.remaining_s - done_s)
            job.since_s = now_s

    def _warm_time(self, begin_s: float, end_s: float) -> float:
        """The integral of the warmth from one time to another."""
        warm_at_s = self._started_s + self._cold.warm_s
        if begin_s >= warm_at_s:
            return end_s - begin_s
        cold_end_s = min(end_s, warm_at_s)
        mean = (self.warmth(begin_s) + self.warmth(cold_end_s)) / 2
        return mean * (cold_end_s - begin_s) + max(0.0, end_s - warm_at_s)

    def _time_for(self, now_s: float, warm_s: float) -> float:
        """How long it takes from now until the integral of the warmth has grown by so much."""
        cold_left_s = self._started_s + self._cold.warm_s - now_s
        if cold_left_s <= 0:
            return warm_s
        gained_cold = self._warm_time(now_s, now_s + cold_left_s)
        if warm_s >= gained_cold:
            return cold_left_s + warm_s - gained_cold
        begin = self.warmth(now_s)
        slope = (1 - self._cold.from_share) / self._cold.warm_s
        if slope == 0:
            return warm_s / begin
        return (math.sqrt(begin * begin + 2 * slope * warm_s) - begin) / slope

    def _go_down(self, now_s: float, state: State, *, silent: bool) -> None:
        self.state = state
        jobs = self._running + [job for job in self._waiting if not job.over]
        self._running, self._waiting = [], deque()
        self._live_waiting = self.in_flight = 0
        for job in jobs:
            job.over, job.waiting = True, False
            if not silent and not job.abandoned:
                job.ended(job, RESET, self)
