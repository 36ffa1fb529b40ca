"""Model of one photo server, without sockets and without a clock of its own.

A server has cores that process one request at a time each and a bounded first-in, first-out queue. A server
that has just started is cold: its capacity grows linearly to the full capacity. A cold server crashes when it
receives more work within a time window than a multiple of its current capacity.
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


class PhotoServerState(enum.Enum):
    """State of a server process, which decides how it treats requests."""

    RUNNING = enum.auto()
    DRAINING = enum.auto()  # finishes its requests, accepts no new ones
    STOPPED = enum.auto()  # refuses connections
    UNREACHABLE = enum.auto()  # does not respond, as its machine is lost
    CRASHED = enum.auto()  # by overload while cold; stays down until it is started again


# Looked up once, as these members are compared for every attempt.
RUNNING, DRAINING, STOPPED, UNREACHABLE, CRASHED = PhotoServerState
OK, FULL, RESET, CONNECT_FAILED = Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED


class ServerJob:
    """An attempt at a server, from its arrival to its end; times are in seconds of the scenario."""

    __slots__ = (
        "server",
        "balancer",
        "work_s",
        "deadline_s",
        "on_end",
        "is_cancelled",
        "is_finished",
        "is_queued",
        "started_s",
        "remaining_work_s",
        "remaining_as_of_s",
        "finish_version",
    )

    def __init__(
        self,
        server: int,
        balancer: int,
        work_s: float,
        deadline_s: float,
        on_end: Callable[[ServerJob, Outcome, PhotoServer], None],
    ) -> None:
        self.server = server
        self.balancer = balancer
        self.work_s = work_s  # on a core of speed 1
        self.deadline_s = deadline_s  # end of the balancer's timeout
        self.on_end = on_end  # called once with the outcome, or never if the balancer cannot learn of it
        self.is_cancelled = False  # by the balancer
        self.is_finished = False
        self.is_queued = False
        self.started_s = 0.0
        self.remaining_work_s = 0.0  # of a job on a core, at `remaining_as_of_s`
        self.remaining_as_of_s = 0.0
        self.finish_version = 0  # how often its finish was scheduled; only the last one is valid


class FinishScheduler(Protocol):
    """Calls a server when one of its jobs is due to finish."""

    def schedule_finish(self, at_s: float, server: PhotoServer, job: ServerJob, finish_version: int) -> None:
        """Call `server.finish(at_s, job, finish_version)` at `at_s`."""


class ServerCounts:
    """Totals over all servers of a process since the start of the run."""

    __slots__ = ("work_s", "wasted_work_s", "dropped", "crashes")

    def __init__(self) -> None:
        self.work_s = 0.0  # finished, on a core of speed 1
        self.wasted_work_s = 0.0  # part of it, for attempts that were cancelled or timed out
        self.dropped = 0  # attempts cancelled or timed out before they reached a core
        self.crashes: list[OverloadCrash] = []


class OverloadCrash:
    """Crash of a cold server by overload, with the attempts and balancers of its last window."""

    __slots__ = ("server", "at_s", "balancers", "attempts", "budget")

    def __init__(self, server: int, at_s: float, balancers: int, attempts: int, budget: float) -> None:
        self.server = server
        self.at_s = at_s
        self.balancers = balancers
        self.attempts = attempts
        self.budget = budget  # requests of mean work that it could have taken in the window


class PhotoServer:
    """Model of one photo server."""

    __slots__ = (
        "place",
        "state",
        "is_hung",
        "in_flight",
        "service_s",
        "drain_started_s",
        "_finish_scheduler",
        "_counts",
        "_cold",
        "_mean_work_s",
        "_queue_limit",
        "_slow_factor",
        "_started_s",
        "_running",
        "_queue",
        "_queued_count",
        "_recent_arrivals",
        "_recent_work_s",
    )

    def __init__(
        self,
        place: ServerPlace,
        cold: ColdStart,
        queue_limit: int,
        mean_work_s: float,
        finish_scheduler: FinishScheduler,
        counts: ServerCounts,
    ) -> None:
        self.place = place
        self.state = RUNNING
        self.is_hung = False
        self.in_flight = 0  # jobs on cores and in the queue, without dropped ones
        self.service_s = 0.0  # smoothed time on a core of recent requests
        self.drain_started_s: float | None = None
        self._finish_scheduler = finish_scheduler
        self._counts = counts
        self._cold = cold
        self._mean_work_s = mean_work_s
        self._queue_limit = queue_limit
        self._slow_factor = 1.0
        self._started_s = -math.inf
        self._running: list[ServerJob] = []
        self._queue: deque[ServerJob] = deque()
        self._queued_count = 0
        # Time, work and balancer of each arrival within the overload window.
        self._recent_arrivals: deque[tuple[float, float, int]] = deque()
        self._recent_work_s = 0.0

    # ---- requests ----

    def handle_arrival(self, now_s: float, job: ServerJob) -> Outcome | None:
        """Process an arriving attempt; return its outcome, or None if it was accepted or lost."""
        state = self.state
        if state is not RUNNING and state is not DRAINING:
            return None if state is UNREACHABLE else CONNECT_FAILED
        if now_s < self._started_s + self._cold.warm_s and self._record_cold_arrival(now_s, job):
            return RESET
        if state is DRAINING or self._queued_count >= self._queue_limit:
            return FULL
        self.in_flight += 1
        if len(self._running) < self.place.cores:
            self._start_job(now_s, job)
        else:
            job.is_queued = True
            self._queue.append(job)
            self._queued_count += 1
        return None

    def cancel(self, job: ServerJob) -> None:
        """Cancel a job: a queued one is dropped, one on a core is processed to its end."""
        if job.is_finished or job.is_cancelled:
            return
        job.is_cancelled = True
        if job.is_queued:
            self._drop_queued(job)

    def finish(self, now_s: float, job: ServerJob, finish_version: int) -> None:
        """Finish a job, unless its finish has been rescheduled since `finish_version`."""
        if job.is_finished or job.finish_version != finish_version:
            return
        self._running.remove(job)
        job.is_finished = True
        self.in_flight -= 1
        self._counts.work_s += job.work_s
        if job.is_cancelled or now_s > job.deadline_s:
            self._counts.wasted_work_s += job.work_s
        sample = now_s - job.started_s
        weight = SERVICE_TIME_SMOOTHING if self.service_s else 1.0
        self.service_s += weight * (sample - self.service_s)
        self._start_queued_jobs(now_s)
        if not job.is_cancelled:
            job.on_end(job, OK, self)

    # ---- events ----

    def drain(self, now_s: float) -> None:
        """Accept no new requests and finish the present ones."""
        if self.state is RUNNING:
            self.state, self.drain_started_s = DRAINING, now_s

    def stop(self, now_s: float) -> None:
        """Stop the process: all jobs end with a connection reset."""
        self._end_all_jobs(now_s, STOPPED, silent=False)

    def become_unreachable(self, now_s: float) -> None:
        """Lose the machine: balancers learn nothing of the end of their attempts."""
        self._end_all_jobs(now_s, UNREACHABLE, silent=True)

    def start(self, now_s: float) -> None:
        """Restart the process; it is cold."""
        self._end_all_jobs(now_s, RUNNING, silent=True)
        self.is_hung, self._slow_factor = False, 1.0
        self.drain_started_s = None
        self.service_s = 0.0
        self._started_s = now_s
        self._recent_arrivals.clear()
        self._recent_work_s = 0.0

    def slow_down(self, now_s: float, factor: float) -> None:
        """Process requests slower by `factor` from now on; 1 is the normal speed."""
        self._update_remaining_work(now_s)
        self._slow_factor = factor
        self._reschedule_finishes(now_s)

    def hang(self, now_s: float) -> None:
        """Accept requests but finish none."""
        self._update_remaining_work(now_s)
        self.is_hung = True
        for job in self._running:
            job.finish_version += 1

    def recover(self, now_s: float) -> None:
        """End a slowdown or a hang."""
        self._update_remaining_work(now_s)
        self.is_hung, self._slow_factor = False, 1.0
        self._reschedule_finishes(now_s)

    # ---- measures ----

    def queue_length(self) -> int:
        """Number of requests that wait for a core."""
        return self._queued_count

    def busy_cores(self) -> int:
        """Number of cores with a request."""
        return len(self._running)

    def warm_capacity_share(self, now_s: float) -> float:
        """Current capacity as a share of the capacity when warm."""
        age_s = now_s - self._started_s
        if age_s >= self._cold.warm_s:
            return 1.0
        return self._cold.from_share + (1 - self._cold.from_share) * max(0.0, age_s) / self._cold.warm_s

    def overload_budget(self, now_s: float) -> float:
        """Requests of mean work that a cold server can take within the window without a crash.

        These are the N requests that a multiple of its current capacity processes within the window, and
        2 * sqrt(N) + 2 more as tolerance for random variation.
        """
        capacity = self.place.cores * self.place.speed * self.warm_capacity_share(now_s) / self._slow_factor
        sustained = self._cold.overload_multiple * capacity * self._cold.overload_window_s / self._mean_work_s
        return sustained + 2 * math.sqrt(sustained) + 2

    # ---- internal ----

    def _record_cold_arrival(self, now_s: float, job: ServerJob) -> bool:
        """Record an arrival at a cold server; return whether it makes the server crash."""
        window = self._recent_arrivals
        while window and window[0][0] <= now_s - self._cold.overload_window_s:
            self._recent_work_s -= window.popleft()[1]
        window.append((now_s, job.work_s, job.balancer))
        self._recent_work_s += job.work_s
        budget = self.overload_budget(now_s)
        if self._recent_work_s <= budget * self._mean_work_s:
            return False
        balancers = len({balancer for _, _, balancer in window})
        self._counts.crashes.append(OverloadCrash(self.place.number, now_s, balancers, len(window), budget))
        self._end_all_jobs(now_s, CRASHED, silent=False)
        return True

    def _start_job(self, now_s: float, job: ServerJob) -> None:
        job.started_s = job.remaining_as_of_s = now_s
        job.remaining_work_s = job.work_s
        self._running.append(job)
        if not self.is_hung:
            self._schedule_finish(now_s, job)

    def _start_queued_jobs(self, now_s: float) -> None:
        """Start queued jobs on free cores, in order; those past their deadline are dropped."""
        while self._queue and len(self._running) < self.place.cores:
            job = self._queue.popleft()
            if job.is_finished:
                continue
            if now_s > job.deadline_s:
                self._drop_queued(job)
                continue
            job.is_queued = False
            self._queued_count -= 1
            self._start_job(now_s, job)

    def _drop_queued(self, job: ServerJob) -> None:
        """End a queued job; its entry stays in the queue and is skipped later."""
        job.is_finished, job.is_queued = True, False
        self._queued_count -= 1
        self.in_flight -= 1
        self._counts.dropped += 1

    def _schedule_finish(self, now_s: float, job: ServerJob) -> None:
        job.finish_version += 1
        rate = self.place.speed / self._slow_factor
        finish_s = now_s + self._duration_of(now_s, job.remaining_work_s / rate)
        self._finish_scheduler.schedule_finish(finish_s, self, job, job.finish_version)

    def _reschedule_finishes(self, now_s: float) -> None:
        if not self.is_hung:
            for job in self._running:
                self._schedule_finish(now_s, job)

    def _update_remaining_work(self, now_s: float) -> None:
        """Subtract the work done until now from the remaining work of the running jobs."""
        rate = 0.0 if self.is_hung else self.place.speed / self._slow_factor
        for job in self._running:
            done_s = rate * self._full_capacity_time(job.remaining_as_of_s, now_s)
            job.remaining_work_s = max(0.0, job.remaining_work_s - done_s)
            job.remaining_as_of_s = now_s

    def _full_capacity_time(self, begin_s: float, end_s: float) -> float:
        """Time at full capacity in which as much work is done as in the given interval, with its warm-up."""
        warm_at_s = self._started_s + self._cold.warm_s
        if begin_s >= warm_at_s:
            return end_s - begin_s
        cold_end_s = min(end_s, warm_at_s)
        mean = (self.warm_capacity_share(begin_s) + self.warm_capacity_share(cold_end_s)) / 2
        return mean * (cold_end_s - begin_s) + max(0.0, end_s - warm_at_s)

    def _duration_of(self, now_s: float, full_capacity_s: float) -> float:
        """Duration from now, with the warm-up, in which as much work is done as in a time at full capacity.

        This is the inverse of `_full_capacity_time`.
        """
        cold_left_s = self._started_s + self._cold.warm_s - now_s
        if cold_left_s <= 0:
            return full_capacity_s
        cold_full_capacity_s = self._full_capacity_time(now_s, now_s + cold_left_s)
        if full_capacity_s >= cold_full_capacity_s:
            return cold_left_s + full_capacity_s - cold_full_capacity_s
        share = self.warm_capacity_share(now_s)
        slope = (1 - self._cold.from_share) / self._cold.warm_s
        if slope == 0:
            return full_capacity_s / share
        return (math.sqrt(share * share + 2 * slope * full_capacity_s) - share) / slope

    def _end_all_jobs(self, now_s: float, new_state: PhotoServerState, *, silent: bool) -> None:
        """End all jobs and enter `new_state`; if `silent`, the balancers learn nothing of it."""
        self.state = new_state
        jobs = self._running + [job for job in self._queue if not job.is_finished]
        self._running, self._queue = [], deque()
        self._queued_count = self.in_flight = 0
        for job in jobs:
            job.is_finished, job.is_queued = True, False
            if not silent and not job.is_cancelled:
                job.on_end(job, RESET, self)
