"""All decisions of the balancer. Settings, events and actions are in interface.py.

Redundant-to-Idle-Queue (RIQ): sample a few servers for each request. A request that is safe to repeat goes
as copies to several of them if enough look idle. Any other goes once, to an idle server or, if there is
none, to a random one of the sample. The first good answer cancels the other attempts. Every public method
of Balancer that reports an event takes the time and returns the actions to carry out. All times and
durations are in nanoseconds unless a name or comment says otherwise. Whether a request may have one more
attempt is decided in attempts.py, and asked again when an attempt gets its connection.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from dataclasses import replace
from random import Random

from dykeshift.attempts import Attempt, OpenRequest
from dykeshift.executions import Execution, ExecutionLog
from dykeshift.interface import (
    UNEXECUTED_OUTCOMES,
    Action,
    AttemptEnd,
    Cancel,
    DedupScope,
    Fail,
    Idempotency,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SetTimer,
    Settings,
    Watch,
)
from dykeshift.log_counts import StartStatistics, format_counts, increment
from dykeshift.server_state import Server, ServerClassState

# Names that end in _TARGET_SHARE are shares of the latency target of the request's class, and names that end
# in _LATENCY_MULTIPLE are multiples of the usual latency of that class, unless a comment says otherwise.

# ---- pool and samples ----

SAMPLE_SIZE = 5  # servers per request: enough to find an idle one, few enough to remain a sample
KEYED_REPEAT_SAMPLE_SIZE = 20  # servers considered for a repeat of a keyed request, within its dedup scope
MIN_POOL_SAMPLE_MULTIPLE = 2  # smallest pool in a large fleet, as a multiple of SAMPLE_SIZE
# Offset between the pools of two consecutive balancers, as a share of all ready servers. With the golden
# ratio the pools of any few balancers are spread evenly.
POOL_OFFSET_FLEET_SHARE = 0.618034
# Requests per overload window for each server of the pool. With fewer, what is known about a server would be
# outdated.
MIN_WINDOW_REQUESTS_PER_SERVER = 10
# Servers whose learned state is kept outside the pool. In a fleet of at most this size all servers are known.
MAX_KNOWN_SERVERS = 256

# ---- idle, busy and slow servers ----

# If other balancers have more attempts than this at a server on average, a server without attempts of this
# balancer is probably not idle, and no second copy is sent at once.
MAX_IDLE_ATTEMPTS_OF_OTHERS = 1.0
# A server with a higher mean latency is not idle, even if the load comes from other balancers.
MAX_IDLE_LATENCY_TARGET_SHARE = 0.45
# A server in the balancer's own zone still counts as idle up to these attempts and this mean latency.
MAX_IDLE_LOCAL_ATTEMPTS = 2
MAX_IDLE_LOCAL_LATENCY_TARGET_SHARE = 0.3
BUSY_UTILIZATION = 0.8  # a server that reports more than this almost always has a queue
QUICK_ANSWER_TARGET_SHARE = 0.5  # an answer within this shows that the server can carry its present load
# A slow attempt makes its server suspect and gets a delayed copy (section VIII of the RIQ paper).
SLOW_ATTEMPT_LATENCY_MULTIPLE = 1.3
# A class hangs at a server after this many consecutive failures there, or if none of its attempts there was
# answered for the time of this many slow attempts.
HANG_THRESHOLD = 2

# ---- latency estimates ----

MEAN_SAMPLE_WEIGHT = 0.1  # of the newest sample in a running mean: about the last twenty samples count
SERVER_MEAN_SAMPLE_WEIGHT = 0.2  # the same for the latency of one server, which follows its last few answers
INITIAL_LATENCY_TARGET_SHARE = 0.25  # usual latency before any answer; twice this still leaves time to wait
MIN_LATENCY_FALL_WEIGHT = 0.3  # the minimum latency falls by this share of the distance to a quicker answer
MIN_LATENCY_RISE_SHARE = 0.005  # and rises by this share of itself at a slower one

# ---- waiting, delayed copies and retries ----

WAIT_INTERVAL_TARGET_SHARE = 0.1  # time between two searches for a server for a waiting request
MIN_TIME_LEFT_LATENCY_MULTIPLE = 2.0  # a request with less time than this to its latency target is not sent
URGENT_LATENCY_MULTIPLE = 3.0  # with less time left the whole pool is considered and the quickest server used
MIN_COPY_DELAY_TARGET_SHARE = 0.4  # no delayed copy before this; a second attempt still fits into the rest
NON_IDLE_COPY_LATENCY_MULTIPLE = 4.0  # after this a delayed copy is sent even if no server is idle
RETRY_AFTER_TARGET_SHARE = 0.05  # Retry-After of a refused request while all requests are admitted
# The timeouts of retries and first tries may differ by this share before the difference means anything.
RETRY_TIMEOUT_TOLERANCE_SHARE = 0.05

# ---- in-flight limits ----

# Sum of the limits of all balancers for a server about which nothing is known yet.
INITIAL_LIMIT_OF_ALL_BALANCERS = 4.0
# A limit below one is a share of the time. The minimum lets a failing server be tried now and then.
MIN_IN_FLIGHT_LIMIT = 0.05
LIMIT_GROWTH_ATTEMPTS = 2.0  # growth summed over the balancers, since all of them grow at once
LIMIT_CUT_FACTOR = 0.8  # on failures
# Minimum growth of a limit below one for each quick answer, as a share of the limit: two or three undo a cut.
MIN_LIMIT_REGROWTH_SHARE = 0.1
# A server whose mean number of attempts in flight stays below this share of its limit has not shown that it
# carries more.
MIN_LIMIT_USE_SHARE = 0.5
# Multiple of the minimum latency of the class. Only answers within it let a limit grow; others have queued.
GROWTH_LATENCY_MULTIPLE = 3.0
WARM_UP_GROWTH_LATENCY_FACTOR = 1.4  # limits also grow on slower answers while servers warm up
OVERLOAD_GROWTH_LATENCY_REDUCTION = 0.3  # and only on quicker ones during an overload, by this share at most

# ---- admission and overload ----

# With these steps the share of admitted requests rises as long as a third of the answers are quick.
ADMISSION_INCREASE_SHARE = 0.1  # for each quick answer
ADMISSION_DECREASE_SHARE = 0.05  # for each slow answer
MIN_ADMISSION_SHARE = 0.1  # enough to notice that answers are quick again
TOLERATED_UNPLACED_SHARE = 0.1  # of the requests may find no server before the overload level rises
OVERLOAD_MEMORY_WINDOWS = 1.5  # overload windows until the overload level is back at zero
MIN_OVERLOAD_STEP = 0.02  # weight of one request in the overload level
MAX_OVERLOAD_STEP = 0.1

# ---- back-off from failing servers ----

MAX_BACKOFF_DOUBLINGS = 4  # doublings of the latency target in the longest back-off
MAX_COUNTED_CONNECT_FAILURES = 10  # consecutive failed connects that still double the back-off

# ---- slow start ----

# Share of the allowed load of a cold server that is used. The rest covers random variation, handshakes and
# a server that is small for its kind.
SLOW_START_SAFETY_SHARE = 0.5
# Refund for a good answer, in attempts. The total load is at most
# SLOW_START_SAFETY_SHARE / (1 - BUDGET_REFUND_PER_ANSWER) of the allowed load.
BUDGET_REFUND_PER_ANSWER = 0.25
BUDGET_LIFETIME_WINDOW_SHARE = 0.5  # unused budget is kept for at most this share of an overload window

# ---- discovery ----

# First pause after a failed watch, per balancer of the fleet, as a share of the longest watch interval.
WATCH_RETRY_INTERVAL_SHARE = 0.005
MAX_WATCH_RETRY_PAUSE_S = 2.0  # a lost call and the next one take up to 4 s more
WATCH_RETRY_JITTER_SHARE = 0.98  # random share of the pause: all balancers may have failed at once

# ---- tenant quotas ----

QUOTA_BURST_S = 3.0  # the unused quota of this time can be used later

# ---- sweeps and log ----

# Share of the overload window between two sweeps, which measure the capacity and forget unused servers.
SWEEP_INTERVAL_WINDOW_SHARE = 0.25
SWEEPS_PER_LOG_REPORT = 2
MAX_LOGGED_SERVERS = 5  # the worst servers are listed, the others only counted

# ---- outcomes of attempts ----

LATE_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)  # late answer or none, unless quick
NON_FAILURE_OUTCOMES = (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT)  # not a failure of the server
ANSWER_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.FULL)  # answers of the server itself


class Fleet:
    """The entries of all listed servers and the sorted ids of those that are ready.

    A changed entry costs a few binary searches, a complete list one sort.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.needs_zone_groups = self.needs_cell_groups = False
        self.entries: dict[int, ServerEntry] = {}  # ready or draining
        self._clear_ready()
        self.build_groups_for(classes)

    def build_groups_for(self, classes: tuple[RequestClass, ...]) -> None:
        """Build the groups by zone and by cell that these classes need, and maintain them from now on."""
        scopes = {c.dedup_scope for c in classes if c.idempotency is Idempotency.KEYED}
        needs = DedupScope.ZONE in scopes, DedupScope.CELL in scopes
        if needs == (self.needs_zone_groups, self.needs_cell_groups):
            return
        self.needs_zone_groups, self.needs_cell_groups = needs
        self.ready_ids_by_zone.clear()
        self.ready_ids_by_cell.clear()
        for server_id in self.ready_ids:
            for group in self._groups_of(self.entries[server_id])[1:]:
                group.append(server_id)

    def _clear_ready(self) -> None:
        self.ready_ids: list[int] = []
        self.ready_ids_by_zone: dict[int, list[int]] = {}  # empty unless a class needs it
        self.ready_ids_by_cell: dict[int, list[int]] = {}
        self.ready_weight = 0.0  # sum over all ready servers

    def replace_all(self, entries: tuple[ServerEntry, ...]) -> set[int]:
        """Apply a complete list; returns the ids of servers whose process was not listed before."""
        old, ready, gone = self.entries, ServerState.READY, ServerState.GONE  # looked up once, for speed
        self.entries = {e.id: e for e in entries if e.state is not gone}
        self._clear_ready()
        self.ready_ids = sorted([n for n, e in self.entries.items() if e.state is ready])
        ready_entries = [self.entries[server_id] for server_id in self.ready_ids]
        self.ready_weight = sum([entry.weight for entry in ready_entries])
        if self.needs_zone_groups:
            for entry in ready_entries:
                self.ready_ids_by_zone.setdefault(entry.zone, []).append(entry.id)
        if self.needs_cell_groups:
            for entry in ready_entries:
                self.ready_ids_by_cell.setdefault(entry.cell, []).append(entry.id)
        if not old:
            return set(self.entries)
        return {n for n, e in self.entries.items() if n not in old or e.started_at > old[n].started_at}

    def update(self, entry: ServerEntry) -> bool:
        """Apply one changed entry; returns whether its process was not listed before."""
        old = self.entries.pop(entry.id, None)
        if old is not None and old.state is ServerState.READY:
            self.ready_weight -= old.weight
            for group in self._groups_of(old):
                del group[bisect_left(group, old.id)]
        if entry.state is ServerState.READY:
            self.ready_weight += entry.weight
            for group in self._groups_of(entry):
                insort(group, entry.id)
        is_listed = entry.state is not ServerState.GONE
        if is_listed:
            self.entries[entry.id] = entry
        return is_listed and (old is None or entry.started_at > old.started_at)

    def _groups_of(self, entry: ServerEntry) -> list[list[int]]:
        """The sorted lists of ids that contain a ready server."""
        groups = [self.ready_ids]
        if self.needs_zone_groups:
            groups.append(self.ready_ids_by_zone.setdefault(entry.zone, []))
        if self.needs_cell_groups:
            groups.append(self.ready_ids_by_cell.setdefault(entry.cell, []))
        return groups

    def ids_in_dedup_scope(self, scope: DedupScope, execution: Execution) -> list[int]:
        """The ready servers that drop repeats of a keyed request with this first execution."""
        if scope is DedupScope.ALL:
            return self.ready_ids
        groups, key = (
            (self.ready_ids_by_zone, execution.zone)
            if scope is DedupScope.ZONE
            else (self.ready_ids_by_cell, execution.cell)
        )
        return groups.get(key, [])

    def mean_ready_weight(self) -> float:
        return self.ready_weight / max(1, len(self.ready_ids)) or 1.0


class TenantQuotas:
    """A token bucket for each tenant, filled at this balancer's equal part of the tenant's quota.

    A bucket is refilled when its tenant sends a request: the work does not grow with the number of tenants.
    """

    def __init__(self, settings: Settings) -> None:
        self.indexes = settings.tenant_indexes
        self.quotas_per_s = settings.tenant_quotas_per_s
        self.balancer_count = settings.balancer_count
        self.tokens = array("d", (self._bucket_size(quota) for quota in self.quotas_per_s))
        self.refilled_at = array("q", bytes(8 * len(self.quotas_per_s)))  # clock time, by tenant

    def _bucket_size(self, quota: float) -> float:
        """At least one request: a quota split among many balancers would otherwise never allow any."""
        return max(1.0, quota / self.balancer_count * QUOTA_BURST_S)

    def _tokens_at(self, now: int, tenant: int) -> float:
        quota = self.quotas_per_s[tenant]
        refill = quota / self.balancer_count * (now - self.refilled_at[tenant]) / 1e9
        return min(self._bucket_size(quota), self.tokens[tenant] + refill)

    def carry_over(self, now: int, other: TenantQuotas) -> None:
        """Take over the tokens of tenants with the same names, up to the new bucket sizes."""
        for name, tenant in self.indexes.items():
            if name in other.indexes:
                bucket_size = self._bucket_size(self.quotas_per_s[tenant])
                self.tokens[tenant] = min(bucket_size, other._tokens_at(now, other.indexes[name]))
                self.refilled_at[tenant] = now

    def consume(self, now: int, request: Request) -> bool:
        """Consume a token of the request's tenant; False if the tenant is over its quota.

        A client's retry counts as part of its first try and consumes nothing.
        """
        tenant = request.tenant_index
        if not self.quotas_per_s:
            return True
        if tenant >= len(self.quotas_per_s):
            return False
        tokens = self._tokens_at(now, tenant)
        within_quota = tokens >= 1
        self.tokens[tenant] = tokens - (within_quota and not request.is_retry)
        self.refilled_at[tenant] = now
        return within_quota


def _is_same_process(one: ServerEntry, other: ServerEntry) -> bool:
    return one.id == other.id and one.started_at == other.started_at


class Balancer:
    """One balancer: takes events with their time and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.fleet = Fleet(settings.classes)
        self.servers: dict[int, Server] = {}  # those listed servers about which this balancer keeps state
        # Mean in-flight limit of the servers without state. Each of them begins with it.
        self.initial_limit = INITIAL_LIMIT_OF_ALL_BALANCERS
        self.known_ready: list[Server] = []  # the pool, and in a small fleet all other ready servers
        self.pool: list[Server] = []  # the ready servers to which this balancer sends requests
        # Requests since the start and until the last sweep, and the number of sweeps.
        self.request_count = self.request_count_at_sweep = self.sweep_count = 0
        self.requests_per_window = 0.0  # in an overload window, running mean
        self.open_requests: dict[str, OpenRequest] = {}
        self.executions = ExecutionLog()  # of keyed and unsafe requests
        # By class: running mean of the latency of good answers.
        self.usual_latency = [c.latency_target * INITIAL_LATENCY_TARGET_SHARE for c in settings.classes]
        self.min_latency = list(self.usual_latency)  # of quick servers with almost no queue
        self.growth_latency_multiple = GROWTH_LATENCY_MULTIPLE  # adapted at each sweep
        self.admission_share = 1.0  # of the requests; falls while most answers of the whole pool are slow
        self.overload_level = 0.0  # rises while requests find no server; classes of lower worth have to wait
        self.relative_worth = [1.0] * len(settings.classes)  # worth per work, as a share of the highest one
        self.mean_cost_hint = [0.0] * len(settings.classes)
        self.answered_share = 0.0  # share of the latest requests that a server answered
        self.watch_failures = 0
        self.pool_capacity = 1.0  # number of servers in the pool, cold ones counted by their present capacity
        self.first_request_timeout = [0] * len(settings.classes)  # of the latest request that was no retry
        self.tenant_quotas = TenantQuotas(settings)
        self.give_up_counts: dict[str, int] = {}  # by class and reason, since the last log report
        self.outcome_counts: dict[str, int] = {}  # at all servers, by class and outcome, since then
        self.start_statistics = StartStatistics()
        self.actions: list[Action] = []
        self.class_names = [c.name for c in settings.classes]  # by class index; removed classes at the end

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # ---- server list and settings ----

    def on_start(self, now: int) -> list[Action]:
        if self.settings.watch_discovery:
            self.actions.append(Watch())
        return self.on_timer(now, "sweep")

    def on_settings(self, now: int, settings: Settings) -> list[Action]:
        """Apply new settings; open requests keep the class with which they began.

        Classes and tenants are identified by name, and what was learned about the remaining ones is kept. A
        removed class keeps an index behind the others as long as requests of it are open.
        """
        old_indexes = {name: n for n, name in reversed(list(enumerate(self.class_names)))}
        old_by_new = [old_indexes.get(c.name) for c in settings.classes]  # by new index: the old one
        open_classes = {open_request.request.class_index for open_request in self.open_requests.values()}
        old_by_new += [n for n in sorted(open_classes) if n not in old_by_new]
        self._renumber_classes(old_by_new, settings)
        self.fleet.build_groups_for(
            (*settings.classes, *(open_request.request_class for open_request in self.open_requests.values()))
        )
        quotas = TenantQuotas(settings)
        quotas.carry_over(now, self.tenant_quotas)
        self.tenant_quotas = quotas
        self.requests_per_window *= settings.overload_window / self.settings.overload_window
        self.settings = settings
        self._update_relative_worth()
        return self._take_actions()

    def _renumber_classes(self, old_by_new: list[int | None], settings: Settings) -> None:
        """Move all state that is kept by class to the new indexes; `old_by_new` has the old ones."""
        initial = [c.latency_target * INITIAL_LATENCY_TARGET_SHARE for c in settings.classes]
        self.usual_latency = [
            initial[k] if n is None else self.usual_latency[n] for k, n in enumerate(old_by_new)
        ]
        self.min_latency = [
            initial[k] if n is None else self.min_latency[n] for k, n in enumerate(old_by_new)
        ]
        self.relative_worth = [1.0 if n is None else self.relative_worth[n] for n in old_by_new]
        self.mean_cost_hint = [0.0 if n is None else self.mean_cost_hint[n] for n in old_by_new]
        self.first_request_timeout = [0 if n is None else self.first_request_timeout[n] for n in old_by_new]
        old, new = self.class_names, [c.name for c in settings.classes]
        self.class_names = new + [old[n] for n in old_by_new[len(new) :] if n is not None]
        new_by_old = {n: k for k, n in enumerate(old_by_new) if n is not None}
        # Servers of open attempts may no longer be listed.
        attempted = [a.server for open_request in self.open_requests.values() for a in open_request.attempts]
        for server in dict.fromkeys([*self.servers.values(), *attempted]):
            server.class_states = [
                ServerClassState() if n is None else server.class_states[n] for n in old_by_new
            ]
        for open_request in self.open_requests.values():
            open_request.request = replace(
                open_request.request, class_index=new_by_old[open_request.request.class_index]
            )

    def on_discovery_moved(self, now: int) -> list[Action]:
        """Another discovery is used from now on: watch it at once, without the back-off of the old one."""
        self.watch_failures = 0
        if self.settings.watch_discovery:
            self.actions.append(Watch())
        return self._take_actions()

    def on_list(self, now: int, update: ServerListUpdate) -> list[Action]:
        if update.kind in (ListKind.FAILED, ListKind.INTERRUPTED):
            self._schedule_watch_retry(now)
            return self._take_actions()
        if update.kind is not ListKind.CACHED and not update.is_late:
            self.watch_failures = 0
        limit = self._mean_limit()
        if update.kind is ListKind.DELTA:
            new_ids = {entry.id for entry in update.entries if self.fleet.update(entry)}
        else:
            new_ids = self.fleet.replace_all(update.entries)
        for server in list(self.servers.values()):
            self._update_entry(server, new_ids)
        if len(self.fleet.entries) <= MAX_KNOWN_SERVERS:
            for entry in update.entries:
                if entry.id in new_ids:
                    self._get_or_create_server(entry.id)
        self._choose_pool(now)
        if limit is None:
            limit = self.initial_limit = INITIAL_LIMIT_OF_ALL_BALANCERS / self._balancers_per_server()
        new_known_ids = self.servers.keys() & new_ids
        for server_id in new_known_ids:
            self.servers[server_id].in_flight_limit = limit
        # New servers without state begin with the mean limit as well: initial_limit moves towards it.
        unknown_count = max(1, len(self.fleet.entries) - len(self.servers))
        self.initial_limit += min(1.0, (len(new_ids) - len(new_known_ids)) / unknown_count) * (
            limit - self.initial_limit
        )
        return self._take_actions()

    def _schedule_watch_retry(self, now: int) -> None:
        """Watch again after a pause that doubles with each failure, but in time for changes of the list.

        A change has to be known 6 s after discovery had it and could be reached, even if a call was lost.
        """
        if not self.settings.watch_discovery:
            return
        # All balancers may have failed at once, as one queue serves them all. Simultaneous retries would keep
        # that queue full.
        share = WATCH_RETRY_INTERVAL_SHARE * self.settings.balancer_count * 2**self.watch_failures
        pause = min(self.settings.max_watch_interval * min(share, 1.0), MAX_WATCH_RETRY_PAUSE_S * 1e9)
        self.watch_failures = min(self.watch_failures + 1, 4)
        self.actions.append(
            SetTimer("watch", now + int(pause * (1 - WATCH_RETRY_JITTER_SHARE * self.random())))
        )

    def _update_entry(self, server: Server, new_ids: set[int]) -> None:
        """Update a known server's entry, and remove it from the new ids if its process is still the same."""
        server_id = server.entry.id
        entry = self.fleet.entries.get(server_id)
        if entry is None:
            if server.entry.state is not ServerState.GONE:
                server.entry = replace(server.entry, state=ServerState.GONE)
        elif entry.started_at > server.entry.started_at:  # a new process: what was learned no longer holds
            del self.servers[server_id]
        else:
            server.entry = entry
            new_ids.discard(server_id)

    def _mean_limit(self) -> float | None:
        """Mean in-flight limit of all ready servers, with which servers that are added later begin."""
        if not self.fleet.ready_ids:
            return None
        limits = [s.in_flight_limit for s in self.servers.values() if s.entry.state is ServerState.READY]
        return (sum(limits) + self.initial_limit * (len(self.fleet.ready_ids) - len(limits))) / len(
            self.fleet.ready_ids
        )

    def _get_or_create_server(self, server_id: int) -> Server:
        """The learned state of a listed server, created when this balancer first needs it."""
        server = self.servers.get(server_id)
        if server is None:
            entry = self.fleet.entries[server_id]
            class_states = [ServerClassState() for _ in self.usual_latency]
            server = Server(entry, self.initial_limit, self.random(), self.request_count, class_states)
            self.servers[server_id] = server
        return server

    def _balancers_per_server(self) -> float:
        """How many balancers use a server, if all get about as many requests as this one."""
        return max(1.0, self.settings.balancer_count * len(self.pool) / max(1, len(self.fleet.ready_ids)))

    def _estimated_attempts_of_others(self) -> float:
        """Attempts of other balancers at a server, if each has as many there as this one has on average."""
        return (
            sum(s.mean_in_flight for s in self.pool)
            / max(1, len(self.pool))
            * (self._balancers_per_server() - 1)
        )

    def _choose_pool(self, now: int) -> None:
        """Choose a pool that is no larger than this balancer has enough requests for to know each server.

        With fewer requests per server, what was learned is outdated and connections cost too much.
        """
        # Until the second sweep no rate has been measured; twice the requests so far take its place.
        requests = max(self.requests_per_window, 2 * self.request_count if self.sweep_count < 2 else 0)
        size = max(MIN_POOL_SAMPLE_MULTIPLE * SAMPLE_SIZE, int(requests / MIN_WINDOW_REQUESTS_PER_SERVER))
        knows_all = len(self.fleet.entries) <= MAX_KNOWN_SERVERS
        server_ids = self._pick_ready_ids(now, len(self.fleet.ready_ids) if knows_all else size)
        self.known_ready = [self._get_or_create_server(server_id) for server_id in server_ids]
        self.pool = self.known_ready[:size]
        # The capacity is at least this share of the pool: the load that was measured before all servers of a
        # fleet became cold at once was served by warm ones.
        self.pool_capacity = max(
            sum(self._warm_capacity_share(now, s) for s in self.pool),
            SLOW_START_SAFETY_SHARE * len(self.pool),
            1.0,
        )

    def _pick_ready_ids(self, now: int, size: int) -> list[int]:
        """Up to `size` ids of ready servers, from this balancer's offset on, unreachable servers last."""
        ready_ids = self.fleet.ready_ids
        start = int(self.settings.balancer_index * POOL_OFFSET_FLEET_SHARE % 1 * len(ready_ids))
        reachable, unreachable = list[int](), list[int]()
        for i in range(len(ready_ids)):
            if len(reachable) == size:
                break
            server_id = ready_ids[start + i - len(ready_ids)]  # a negative index counts from the end
            (unreachable if self._is_unreachable(now, server_id) else reachable).append(server_id)
        return (reachable + unreachable)[:size]

    def _is_unreachable(self, now: int, server_id: int) -> bool:
        server = self.servers.get(server_id)
        return server is not None and server.connect_failures > 0 and now < server.backoff_until

    # ---- sampling of servers ----

    def _sample_servers(self, now: int, open_request: OpenRequest) -> list[Server]:
        """Up to SAMPLE_SIZE random different servers of those that may receive this request."""
        candidates = self._candidates(open_request)
        max_size = len(candidates) if self._is_urgent(now, open_request) else SAMPLE_SIZE
        picked, suspect, hanging = list[Server](), list[Server](), list[Server]()
        for i in range(len(candidates)):
            j = i + int(self.random() * (len(candidates) - i))
            candidates[i], candidates[j] = candidates[j], candidates[i]
            server = candidates[i]
            server.mean_in_flight += MEAN_SAMPLE_WEIGHT * (server.in_flight - server.mean_in_flight)
            if not self._may_receive(now, open_request, server):
                continue
            if self._is_class_hanging(now, open_request, server):
                hanging.append(server)
            elif self._is_suspect(now, open_request, server):
                suspect.append(server)
            else:
                picked.append(server)
                if len(picked) == max_size:
                    break
        # A problem of the whole fleet must not exclude it: suspects are avoided only if at most half of the
        # candidates are.
        if picked and len(suspect) * 2 <= len(candidates):
            return picked
        return (picked + suspect or hanging)[:SAMPLE_SIZE]

    def _candidates(self, open_request: OpenRequest) -> list[Server]:
        """The pool, or servers beyond it for the repeat of a keyed request, which few servers drop."""
        first = open_request.first_execution(open_request.attempts)
        if first is None or open_request.request_class.idempotency is not Idempotency.KEYED:
            return self.pool
        if len(self.fleet.entries) <= MAX_KNOWN_SERVERS:
            return self.known_ready
        group = self.fleet.ids_in_dedup_scope(open_request.request_class.dedup_scope, first)
        if len(group) > KEYED_REPEAT_SAMPLE_SIZE:
            group = sorted({group[int(self.random() * len(group))] for _ in range(KEYED_REPEAT_SAMPLE_SIZE)})
        return [self._get_or_create_server(server_id) for server_id in group]

    def _is_class_hanging(self, now: int, open_request: OpenRequest, server: Server) -> bool:
        """Whether this class gets no answers there, even if others do. Such a server is used last."""
        state = server.class_states[open_request.request.class_index]
        is_silent = (
            now - state.silent_since
            > HANG_THRESHOLD * SLOW_ATTEMPT_LATENCY_MULTIPLE * self._expected_latency(open_request)
        )
        return state.in_flight > 0 and (state.consecutive_failures >= HANG_THRESHOLD or is_silent)

    def _is_suspect(self, now: int, open_request: OpenRequest, server: Server) -> bool:
        """Whether a server is slow or stalled. Requests without copies should go to other servers first."""
        silence = now - server.silent_since
        return (
            # A server that was slow lately would be overloaded by more requests.
            server.mean_latency_share > QUICK_ANSWER_TARGET_SHARE
            and silence < open_request.request_class.latency_target
            or (
                server.in_flight > 0
                and silence > SLOW_ATTEMPT_LATENCY_MULTIPLE * self._expected_latency(open_request)
            )
        )

    def _may_receive(self, now: int, open_request: OpenRequest, server: Server) -> bool:
        if any(_is_same_process(attempt.server.entry, server.entry) for attempt in open_request.attempts):
            return False
        if not open_request.is_in_dedup_scope(server.entry, open_request.attempts):
            return False
        # A class that hangs at some servers must not occupy them: one attempt after each back-off.
        if now < server.class_states[open_request.request.class_index].backoff_until:
            return False
        # The limit prevents congestion in which every server holds more than it can finish in time.
        held = server.in_flight + self._count_abandoned(now, server)
        return (
            held < server.in_flight_limit
            and now >= server.backoff_until
            and self._has_slow_start_budget(now, server)
        )

    def _count_abandoned(self, now: int, server: Server) -> int:
        """Attempts whose results are no longer needed but which the server may still be working on."""
        server.abandoned_until = [until for until in server.abandoned_until if until > now]
        return len(server.abandoned_until)

    def _may_send(self, now: int, open_request: OpenRequest) -> bool:
        """Whether the request may have one more attempt, at a server that _may_receive accepts."""
        end = open_request.request.answer_deadline or open_request.request.deadline
        if not open_request.request_class.late_worth_share:
            end = min(end, open_request.arrived_at + open_request.request_class.latency_target)
        return now < end and open_request.may_have_one_more(now, self.settings, open_request.attempts)

    # ---- idle and busy servers ----

    def _is_idle(self, now: int, server: Server) -> bool:
        is_local = server.entry.zone == self.settings.zone
        if (
            is_local
            and server.in_flight <= MAX_IDLE_LOCAL_ATTEMPTS
            and server.has_answered
            and server.mean_latency_share <= MAX_IDLE_LOCAL_LATENCY_TARGET_SHARE
        ):
            # Waiting for another request in this zone costs less than a request to another zone.
            return not self._reports_busy(server)
        # A server counts as idle only after its first answer. Otherwise all balancers would take all servers
        # for idle at a start.
        if server.in_flight or not server.answered_since_idle or not server.has_answered:
            return False
        # The latency prevents many balancers that have no attempts there from sending copies into congestion.
        return server.mean_latency_share <= MAX_IDLE_LATENCY_TARGET_SHARE and not self._reports_busy(server)

    def _reports_busy(self, server: Server) -> bool:
        report = server.load_report
        return report is not None and bool(report.queued or (report.utilization or 0.0) > BUSY_UTILIZATION)

    def _reports_spare_capacity(self, now: int, server: Server) -> bool:
        has_report = server.load_report is not None and server.load_report.utilization is not None
        is_recent = now - server.load_reported_at < self.settings.overload_window
        return has_report and is_recent and not self._reports_busy(server)

    # ---- dispatch ----

    def on_request(self, now: int, request: Request) -> list[Action]:
        request_class = self.settings.classes[request.class_index]
        open_request = self.open_requests[request.id] = OpenRequest(
            request, request_class, now, over_quota=not self.tenant_quotas.consume(now, request)
        )
        if request.client_id and request_class.idempotency is not Idempotency.SAFE:
            open_request.earlier_execution = self.executions.find(now, request.client_id)
        # Counting retries would enlarge the pool and fill every server's connection table.
        self.request_count += not request.is_retry
        may_grow = self.sweep_count < 2 and len(self.pool) < len(self.fleet.ready_ids)
        if may_grow and 2 * self.request_count >= MIN_WINDOW_REQUESTS_PER_SERVER * len(self.pool):
            self._choose_pool(now)  # with many requests at a start, a small pool would refuse some of them
        self.answered_share *= 1 - MEAN_SAMPLE_WEIGHT
        if not request.is_retry:
            self.first_request_timeout[request.class_index] = request.deadline - now
        if self.overload_level > 0 and self._is_past_target(open_request):
            self._give_up(now, open_request, "past-aim")  # it would displace one that can still be in time
        # Admission handles congestion of the whole pool. The limits of single servers adapt too slowly for it
        # if each gets few requests.
        elif self.random() < self.admission_share:
            self._dispatch(now, open_request)
        else:
            self._give_up(now, open_request, "not-admitted")
        return self._take_actions()

    def _is_past_target(self, open_request: OpenRequest) -> bool:
        """Whether a retry's client sent its first try so long ago that no answer can meet the latency target.

        A client waits for a retry as long as for a first try, unless less than that is left of the time that
        it waits in total. Only a retry with such a shorter timeout shows when the first try was sent.
        """
        usual, left = (
            self.first_request_timeout[open_request.request.class_index],
            open_request.request.deadline - open_request.arrived_at,
        )
        if (
            not open_request.request.is_retry
            or open_request.request_class.late_worth_share
            or abs(left - usual) <= usual * RETRY_TIMEOUT_TOLERANCE_SHARE
        ):
            return False
        return open_request.request_class.client_timeout - left > open_request.request_class.latency_target

    def _dispatch(self, now: int, open_request: OpenRequest, give_up_reason: str = "too-late") -> None:
        """Apply RIQ to a request that has no attempt in flight; give it up if it may not have one more."""
        is_repeat = bool(open_request.attempts) or open_request.earlier_execution is not None
        if is_repeat and not self._may_send(now, open_request):
            self._give_up(now, open_request, give_up_reason)
            return
        worth = self.relative_worth[open_request.request.class_index] * (
            self.settings.over_quota_worth_share if open_request.over_quota else 1.0
        )
        must_wait = self.overload_level > worth and not open_request.attempts
        sample = [] if must_wait else self._sample_servers(now, open_request)
        if now == open_request.arrived_at:
            # Requests that have to wait count as placed, so that the classes of low worth are not starved.
            # The fewer requests this balancer gets, the more each one weighs: an overload then lasts equally
            # long at any request rate. The weight is constant until that rate has been measured.
            span = OVERLOAD_MEMORY_WINDOWS * TOLERATED_UNPLACED_SHARE * self.requests_per_window
            step = min(MAX_OVERLOAD_STEP, max(MIN_OVERLOAD_STEP, 1 / span)) if span else MIN_OVERLOAD_STEP
            self.overload_level = min(
                1.0,
                max(
                    0.0,
                    self.overload_level + step * ((not sample and not must_wait) - TOLERATED_UNPLACED_SHARE),
                ),
            )
        if not sample:
            self._wait_for_server(now, open_request)
            return
        untried = [s for s in sample if not (s.has_answered or s.in_flight)]
        idle = [s for s in sample if self._is_idle(now, s)]
        if self.random() * len(sample) < len(untried):
            # First contact is as frequent as with random choice. Otherwise the few servers that have answered
            # would get all requests.
            idle = untried[:1]
        idle.sort(key=lambda s: s.entry.zone != self.settings.zone)  # own zone first, otherwise as sampled
        copies = 1  # unless many servers are idle: a copy would take an idle server from the next request
        may_copy = open_request.request_class.idempotency is Idempotency.SAFE and self.settings.copies_allowed
        empty = [s for s in idle if not s.in_flight]
        if (
            may_copy
            and len(empty) * 2 > SAMPLE_SIZE
            and self._estimated_attempts_of_others() < MAX_IDLE_ATTEMPTS_OF_OTHERS
        ):
            idle, copies = empty, max(1, self.settings.max_attempts - 1 - len(open_request.attempts))
        if self._is_urgent(now, open_request):
            # Prefer the servers that would finish first, given the attempts they have: a quick server with
            # some attempts can be better than a slow idle one.
            idle = sorted(
                (s for s in sample if s.has_answered), key=lambda s: s.relative_latency * (1 + s.in_flight)
            )
        idle = idle[:copies]
        for server in idle or [sample[int(self.random() * len(sample))]]:
            self._send_attempt(now, open_request, server)
        self._schedule_delayed_copy(now, open_request)

    def _is_urgent(self, now: int, open_request: OpenRequest) -> bool:
        return open_request.request.deadline - now < URGENT_LATENCY_MULTIPLE * self._expected_latency(
            open_request
        )

    def _schedule_delayed_copy(self, now: int, open_request: OpenRequest) -> None:
        if open_request.request_class.idempotency is not Idempotency.UNSAFE and self._may_send(
            now, open_request
        ):
            delay = int(
                max(
                    SLOW_ATTEMPT_LATENCY_MULTIPLE * self._expected_latency(open_request),
                    MIN_COPY_DELAY_TARGET_SHARE * open_request.request_class.latency_target,
                )
            )
            self.actions.append(SetTimer("r:" + open_request.request.id, now + delay))

    def _expected_latency(self, open_request: OpenRequest) -> float:
        n, hint = open_request.request.class_index, open_request.request.cost_hint
        return self.usual_latency[n] * (
            hint / self.mean_cost_hint[n] if hint and self.mean_cost_hint[n] else 1.0
        )

    def _send_delayed_copy(self, now: int, open_request: OpenRequest) -> None:
        """Send a copy so that a stalled server does not fail all requests that it holds."""
        if self._may_send(now, open_request):
            sample = self._sample_servers(now, open_request)
            target = next((s for s in sample if self._is_idle(now, s)), None)
            last_decided_at = max(a.decided_at for a in open_request.attempts)
            # After this time the answer may be lost, so a server that is not idle will do.
            if (
                target is None
                and now - last_decided_at
                > NON_IDLE_COPY_LATENCY_MULTIPLE * self._expected_latency(open_request)
            ):
                target = next(
                    (
                        s
                        for s in sample
                        if s.mean_latency_share <= MAX_IDLE_LATENCY_TARGET_SHARE and not self._reports_busy(s)
                    ),
                    None,
                )
            if target is not None:
                self._send_attempt(now, open_request, target)
            self._schedule_delayed_copy(now, open_request)

    def _send_attempt(self, now: int, open_request: OpenRequest, server: Server) -> None:
        open_request.attempts.append(Attempt(server, now))
        open_request.in_flight += 1
        server.in_flight += 1
        if server.answered_since_idle and server.in_flight == 1:
            server.silent_since, server.answered_since_idle = now, False
        server.slow_start_budget -= 1
        state = server.class_states[open_request.request.class_index]
        state.in_flight += 1
        if state.in_flight == 1:
            state.silent_since = now
        # The attempt lasts until the client's deadline. If it were cancelled at the latency target, the
        # client would retry and the work would start again.
        self.actions.append(Send(open_request.request.id, server.entry.id, 0))

    def try_start_attempt(self, now: int, request_id: str, attempt_index: int) -> bool:
        """Record that an attempt which has got its connection is written now; False if it must not be.

        Hosts that write each attempt as soon as it is decided on need not ask.
        """
        open_request = self.open_requests.get(request_id)
        if open_request is None:
            return False
        attempt, started = open_request.attempts[attempt_index], open_request.started_attempts()
        name = open_request.request_class.name
        if not (
            open_request.may_have_one_more(now, self.settings, started)
            and open_request.is_in_dedup_scope(attempt.server.entry, started)
        ):
            self.start_statistics.record_refused(name)
            return False
        self.start_statistics.record_wait(name, attempt_index, now - attempt.decided_at)
        first = open_request.first_execution(started)
        if first is not None:
            self.start_statistics.record_repeat(name, now - first.started_at)
        attempt.started_at = now
        self._record_execution(now, open_request)
        return True

    def _record_execution(self, now: int, open_request: OpenRequest) -> None:
        """Keep what may have been executed for the client's id, for when it comes again."""
        client_id = open_request.request.client_id
        if client_id and open_request.request_class.idempotency is not Idempotency.SAFE:
            execution = open_request.first_execution(open_request.started_attempts())
            self.executions.record(now, client_id, execution)

    def _wait_for_server(self, now: int, open_request: OpenRequest) -> None:
        """Search again soon, and give up when an answer can no longer be in time."""
        min_time_left = int(MIN_TIME_LEFT_LATENCY_MULTIPLE * self._expected_latency(open_request))
        until = min(
            open_request.request.deadline - self.settings.min_call_interval,
            open_request.arrived_at + open_request.request_class.latency_target - min_time_left,
        )
        if now >= until:
            self._give_up(now, open_request, "no-room")
            return
        next_search = now + int(open_request.request_class.latency_target * WAIT_INTERVAL_TARGET_SHARE)
        self.actions.append(SetTimer("r:" + open_request.request.id, max(now + 1, min(next_search, until))))

    # ---- outcomes and final answers ----

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        open_request = self.open_requests.get(end.request_id)
        if (
            open_request is None
            or end.attempt_index >= len(open_request.attempts)
            or open_request.attempts[end.attempt_index].outcome is not None
        ):
            return []
        attempt = open_request.attempts[end.attempt_index]
        attempt.outcome = end.outcome
        if end.outcome in UNEXECUTED_OUTCOMES:
            self._record_execution(now, open_request)
        self._count_outcome(
            attempt.server, f"{open_request.request_class.name}/{end.outcome.name}", end.outcome
        )
        open_request.in_flight -= 1
        self._learn_from_attempt(now, open_request, attempt.server, end)
        if end.request_closed and not open_request.closed:
            self._close(open_request)
        elif not open_request.closed and not open_request.in_flight:
            self._dispatch(now, open_request, end.outcome.name)
        self._remove_if_finished(open_request)
        return self._take_actions()

    def on_stream_started(self, now: int, request_id: str, attempt_index: int) -> list[Action]:
        open_request = self.open_requests.get(request_id)
        if open_request is not None and not open_request.closed:
            open_request.streaming = True
            self._cancel_attempts_except(open_request, attempt_index)
        return self._take_actions()

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        open_request = self.open_requests.get(request_id)
        if open_request is not None and not open_request.closed:
            self._close(open_request)
        return self._take_actions()

    def _close(self, open_request: OpenRequest) -> None:
        open_request.closed = True
        self._cancel_attempts_except(open_request, -1)
        self._remove_if_finished(open_request)

    def _cancel_attempts_except(self, open_request: OpenRequest, kept: int) -> None:
        in_flight = [n for n, a in enumerate(open_request.attempts) if a.outcome is None and n != kept]
        self.actions += [
            Cancel(open_request.request.id, n) for n in in_flight if self.settings.cancel_allowed
        ]

    def _remove_if_finished(self, open_request: OpenRequest) -> None:
        if open_request.closed and not open_request.in_flight:
            self.open_requests.pop(open_request.request.id, None)

    def _give_up(self, now: int, open_request: OpenRequest, reason: str) -> None:
        """Give the final answer without a server: Refuse if a retry is harmless, otherwise Fail."""
        increment(self.give_up_counts, f"{open_request.request_class.name}/{reason}")
        idempotency = open_request.request_class.idempotency
        deduped_everywhere = (
            idempotency is Idempotency.KEYED and open_request.request_class.dedup_scope is DedupScope.ALL
        )
        is_harmless = (
            open_request.first_execution(open_request.attempts) is None
            or idempotency is Idempotency.SAFE
            or deduped_everywhere
        )
        request_id = open_request.request.id
        self.actions.append(
            Refuse(request_id, self._retry_after(now, open_request)) if is_harmless else Fail(request_id)
        )
        self._close(open_request)

    def _retry_after(self, now: int, open_request: OpenRequest) -> int:
        """Time until a retry: short while it can still be in time, longer the fewer requests are admitted."""
        wait = open_request.request_class.latency_target * RETRY_AFTER_TARGET_SHARE / self.admission_share
        is_late = (
            now + self.settings.min_call_interval
            >= open_request.arrived_at + open_request.request_class.latency_target
            and not open_request.request_class.late_worth_share
        )
        if is_late or self._is_past_target(open_request):
            # No retry can be in time any more, and it would only take a server from requests that can be. The
            # client should not return before the total time that it waits for this request is over.
            wait = open_request.arrived_at + open_request.request_class.client_timeout - now
        return int(min(wait, self.settings.max_retry_after))

    # ---- server health ----

    def _learn_from_attempt(
        self, now: int, open_request: OpenRequest, server: Server, end: AttemptEnd
    ) -> None:
        state = server.class_states[open_request.request.class_index]
        self._update_class_state(now, open_request, state, end)
        is_unanswered = end.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
        # If the server has answered others since this attempt was sent, this class alone hangs there, and the
        # attempt says nothing about the server's load.
        if not (
            is_unanswered
            and state.consecutive_failures >= HANG_THRESHOLD
            and server.silent_since > now - end.latency
        ):
            self._update_load_estimates(now, open_request, server, end)
        server.in_flight -= 1
        if is_unanswered:  # work is heavy-tailed: what has run for some time may well run as long again
            server.abandoned_until.append(now + end.latency)
        if end.load_report is not None:
            server.load_report, server.load_reported_at = end.load_report, now
        if end.outcome in ANSWER_OUTCOMES:
            server.silent_since, server.answered_since_idle, server.connect_failures = now, True, 0
        if end.outcome is Outcome.OK:
            server.has_answered = True
            # It may be able to carry more than the settings promise.
            server.slow_start_budget += BUDGET_REFUND_PER_ANSWER
            n = open_request.request.class_index
            server.relative_latency += SERVER_MEAN_SAMPLE_WEIGHT * (
                min(end.latency / max(1, self.usual_latency[n]), 4.0) - server.relative_latency
            )
            self.usual_latency[n] += MEAN_SAMPLE_WEIGHT * (end.latency - self.usual_latency[n])
            is_quicker = end.latency < self.min_latency[n]
            self.min_latency[n] += (
                MIN_LATENCY_FALL_WEIGHT * (end.latency - self.min_latency[n])
                if is_quicker
                else MIN_LATENCY_RISE_SHARE * self.min_latency[n]
            )
            hint = open_request.request.cost_hint
            self.mean_cost_hint[n] += (MEAN_SAMPLE_WEIGHT if self.mean_cost_hint[n] else 1.0) * (
                hint - self.mean_cost_hint[n]
            )
            self.answered_share += MEAN_SAMPLE_WEIGHT

    def _update_class_state(
        self, now: int, open_request: OpenRequest, state: ServerClassState, end: AttemptEnd
    ) -> None:
        state.in_flight -= 1
        if end.outcome in ANSWER_OUTCOMES or end.outcome is Outcome.RESET:
            state.silent_since = now
        if end.outcome is Outcome.OK:
            state.consecutive_failures, state.backoff_until = 0, 0
        elif end.outcome in (Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
            state.consecutive_failures += 1
            if state.consecutive_failures >= HANG_THRESHOLD:
                backoff = open_request.request_class.latency_target * 2 ** min(
                    state.consecutive_failures - HANG_THRESHOLD, MAX_BACKOFF_DOUBLINGS
                )
                state.backoff_until = now + int(backoff * (0.5 + self.random()))

    def _update_load_estimates(
        self, now: int, open_request: OpenRequest, server: Server, end: AttemptEnd
    ) -> None:
        """Update the server's latency, in-flight limit and back-off, and the share of admitted requests."""
        latency_share = end.latency / open_request.request_class.latency_target
        is_quick = latency_share <= QUICK_ANSWER_TARGET_SHARE
        if end.outcome is Outcome.OK or latency_share > server.mean_latency_share:
            server.mean_latency_share += SERVER_MEAN_SAMPLE_WEIGHT * (
                min(latency_share, 2.0) - server.mean_latency_share
            )
        # A stall says nothing about the load. Attempts that were cancelled early count as stalls.
        is_stall = end.outcome in LATE_OUTCOMES and (is_quick or self._reports_spare_capacity(now, server))
        if end.outcome in LATE_OUTCOMES and not is_stall:
            self.admission_share = max(MIN_ADMISSION_SHARE, self.admission_share - ADMISSION_DECREASE_SHARE)
        if end.outcome is Outcome.OK and is_quick:
            self.admission_share = min(1.0, self.admission_share + ADMISSION_INCREASE_SHARE)
            has_queued = (
                end.latency
                > self.growth_latency_multiple * self.min_latency[open_request.request.class_index]
            )
            uses_limit = (
                server.mean_in_flight > MIN_LIMIT_USE_SHARE * server.in_flight_limit
                or server.in_flight_limit < INITIAL_LIMIT_OF_ALL_BALANCERS / self._balancers_per_server()
            )
            is_full = server.in_flight > server.in_flight_limit - 1 and uses_limit
            if is_full and not has_queued and not self._reports_busy(server):
                # A limit below one is a share of the time. It grows in proportion to its size, as it is cut.
                growth = LIMIT_GROWTH_ATTEMPTS / self._balancers_per_server()
                server.in_flight_limit += min(
                    max(MIN_LIMIT_REGROWTH_SHARE, growth) * server.in_flight_limit,
                    growth / server.in_flight_limit,
                )
            elif has_queued and server.in_flight_limit < 1:
                server.backoff_until = max(
                    server.backoff_until, now + int(end.latency * (1 / server.in_flight_limit - 1))
                )
        elif not is_stall and end.outcome is not Outcome.NOT_SENT:
            # Errors count like late answers. Otherwise quick errors would make the server look free.
            usual = self.usual_latency[open_request.request.class_index]
            # One slow period affects all attempts that the server held, and has to count once.
            if now - server.limit_cut_at >= usual:
                server.limit_cut_at = now
                server.in_flight_limit = max(MIN_IN_FLIGHT_LIMIT, server.in_flight_limit * LIMIT_CUT_FACTOR)
            backoff = max(end.latency, usual) * (1 / server.in_flight_limit - 1)
            if end.outcome is Outcome.FULL:
                # Its refusals arrive at once and would otherwise make it look like the least busy server.
                backoff = max(backoff, usual)
            if end.outcome is Outcome.CONNECT_FAILED:
                # The server is down, or other balancers use all its connections. It is left to them, for
                # twice as long after each failure.
                backoff = min(
                    usual * 2**server.connect_failures,
                    open_request.request_class.latency_target * 2**MAX_BACKOFF_DOUBLINGS,
                ) * (0.5 + self.random())
                server.connect_failures = min(server.connect_failures + 1, MAX_COUNTED_CONNECT_FAILURES)
            # A back-off enforces a limit below one attempt. Otherwise many balancers with one attempt each
            # would overload a server.
            server.backoff_until = max(server.backoff_until, now + int(backoff))
            if server.connect_failures:
                self._choose_pool(now)  # another server replaces it at once

    # ---- slow start ----

    def _is_cold(self, now: int, server: Server) -> bool:
        return server.entry.started_at > 0 and now < server.entry.started_at + self.settings.warm_up_time

    def _warm_capacity_share(self, now: int, server: Server) -> float:
        """The share of its full capacity that a server has by now at least."""
        if not self._is_cold(now, server):
            return 1.0
        initial = self.settings.cold_capacity_share
        return initial + (1 - initial) * max(0, now - server.entry.started_at) / self.settings.warm_up_time

    def _has_slow_start_budget(self, now: int, server: Server) -> bool:
        """Whether a cold server may be sent one more attempt without a risk of overload.

        The budget grows with each request of this balancer. From each balancer the server gets at most
        SLOW_START_SAFETY_SHARE x overload_multiple x its present capacity share of the work that a server of
        that balancer answers on average, and from all balancers together at most that part of what a warm
        server carries. The overload limit thus holds for any number of balancers.

        A good answer refunds a part of its attempt, since the server may be able to do more than the settings
        promise. The refund is small, because a margin for random variation has to remain even if all attempts
        are answered. The budget starts at a random value, so that balancers take turns if the share of each
        is far below one attempt per window. Unused budget lapses.
        """
        if not self._is_cold(now, server):
            return True
        # The minimum lets a fleet begin in which no server has answered yet.
        answered = max(self.answered_share, INITIAL_LIMIT_OF_ALL_BALANCERS / self.settings.balancer_count)
        per_request = (
            SLOW_START_SAFETY_SHARE
            * self.settings.overload_multiple
            * self._warm_capacity_share(now, server)
            * answered
        )
        per_request *= server.entry.weight / self.fleet.mean_ready_weight() / self.pool_capacity
        server.slow_start_budget += per_request * (self.request_count - server.budget_request_count)
        server.budget_request_count = self.request_count
        max_budget = 1 + per_request * self.requests_per_window * BUDGET_LIFETIME_WINDOW_SHARE
        if server.slow_start_budget > max_budget:
            server.slow_start_budget = max_budget if max_budget > 2 else server.slow_start_budget % 1
        return server.slow_start_budget >= 1

    # ---- timers and log ----

    def on_timer(self, now: int, token: str) -> list[Action]:
        if token == "sweep":
            self._sweep(now)
            self.actions.append(
                SetTimer("sweep", now + int(self.settings.overload_window * SWEEP_INTERVAL_WINDOW_SHARE))
            )
        elif token == "watch":
            self.actions.append(Watch())
        elif token.startswith("r:"):
            open_request = self.open_requests.get(token[2:])
            if open_request is not None and not open_request.closed:
                if open_request.in_flight:
                    self._send_delayed_copy(now, open_request)
                else:
                    self._dispatch(now, open_request)
        return self._take_actions()

    def _sweep(self, now: int) -> None:
        self.sweep_count += 1
        # The plain mean until there are enough samples for a running mean.
        sample_weight = max(MEAN_SAMPLE_WEIGHT, 1 / max(1, self.sweep_count - 1))
        self.requests_per_window += sample_weight * (
            (self.request_count - self.request_count_at_sweep) / SWEEP_INTERVAL_WINDOW_SHARE
            - self.requests_per_window
        )
        self.request_count_at_sweep = self.request_count
        self._choose_pool(now)
        # If limits kept growing during an overload, all servers would end up congested. While servers warm
        # up, more capacity is coming, and larger limits bridge the time until then.
        self.growth_latency_multiple = GROWTH_LATENCY_MULTIPLE * (
            WARM_UP_GROWTH_LATENCY_FACTOR
            if any(self._is_cold(now, s) for s in self.pool)
            else 1 - OVERLOAD_GROWTH_LATENCY_REDUCTION * self.overload_level
        )
        self._update_relative_worth()
        if self.sweep_count % SWEEPS_PER_LOG_REPORT == 0:
            self._log_state(now)
        self._forget_servers(now)

    def _forget_servers(self, now: int) -> None:
        """Forget servers that are gone and, beyond MAX_KNOWN_SERVERS, the longest known outside the pool."""
        pool_ids = {server.entry.id for server in self.pool}
        outside = [n for n, s in self.servers.items() if n not in pool_ids and not s.in_flight]
        gone = [n for n in outside if self.servers[n].entry.state is ServerState.GONE]
        listed = [n for n in outside if self.servers[n].entry.state is not ServerState.GONE]
        for server_id in gone:
            if not self._is_cold(now, self.servers[server_id]):
                del self.servers[server_id]
        for server_id in listed[:-MAX_KNOWN_SERVERS]:
            if not self._must_keep_state(now, self.servers[server_id]):
                del self.servers[server_id]

    def _must_keep_state(self, now: int, server: Server) -> bool:
        """Whether a server could be sent more than its limits allow if its state were forgotten."""
        # silent_since is set by the first attempt that is sent to the server.
        has_spent_budget = server.silent_since > 0 and self._is_cold(now, server)
        is_backing_off = now < max(
            server.backoff_until, *(state.backoff_until for state in server.class_states)
        )
        return has_spent_budget or is_backing_off or self._count_abandoned(now, server) > 0

    def _update_relative_worth(self) -> None:
        """Compute each class's worth per work.

        A high weight of the worst class makes all classes alike, so that none is given up for the others.
        """
        worths = [max(c.worth, 1e-9) for c in self.settings.classes]
        costs = [1.0 if self.settings.worth_per_work_unit else u for u in self.usual_latency[: len(worths)]]
        per_work = [w / c * sum(costs) / sum(worths) for w, c in zip(worths, costs, strict=True)]
        fairness = self.settings.worst_class_weight * len(worths)
        self.relative_worth[: len(worths)] = [min(1.0, (v + fairness) / max(per_work)) for v in per_work]

    def _log_state(self, now: int) -> None:
        """Log the state that decides which requests are admitted, wait and are sent."""
        self.actions.append(
            Log(
                f"requests {self.request_count} admission {self.admission_share:.2f} "
                f"overload {self.overload_level:.2f} open {len(self.open_requests)} "
                f"failed watches {self.watch_failures} "
                f"gave up {format_counts(self.give_up_counts)}"
            )
        )
        if text := self.start_statistics.take_report():
            self.actions.append(Log(text))
        self._log_servers(now)
        self.give_up_counts.clear()

    def _count_outcome(self, server: Server, name: str, outcome: Outcome) -> None:
        increment(self.outcome_counts, name)
        increment(server.outcome_counts, name)
        server.failure_count += outcome not in NON_FAILURE_OUTCOMES

    def _log_servers(self, now: int) -> None:
        """Log counts over all servers, but lines for the worst known ones only, to keep the log short."""
        known = self.servers.values()
        listed, ready = len(self.fleet.entries), len(self.fleet.ready_ids)
        cold = sum(self._is_cold(now, s) for s in known)
        backing_off = sum(now < s.backoff_until for s in known)
        unreachable = sum(self._is_unreachable(now, n) for n in self.servers)
        slow = sum(s.mean_latency_share > QUICK_ANSWER_TARGET_SHARE for s in known)
        self.actions.append(
            Log(
                f"servers {listed} ready {ready} draining {listed - ready} pool {len(self.pool)} "
                f"known {len(known)} cold {cold} backing off {backing_off} "
                f"unreachable {unreachable} slow {slow} "
                f"in-flight limit {sum(s.in_flight_limit for s in known):.2f} "
                f"in flight {sum(s.in_flight for s in known)} "
                f"failing {sum(s.failure_count > 0 for s in known)} "
                f"outcomes {format_counts(self.outcome_counts)}"
            )
        )
        for s in sorted(known, key=lambda s: (-s.failure_count, -s.mean_latency_share, s.entry.id))[
            :MAX_LOGGED_SERVERS
        ]:
            self.actions.append(
                Log(
                    f"server {s.entry.id:x} zone {s.entry.zone} in-flight limit {s.in_flight_limit:.2f} "
                    f"in flight {s.in_flight} latency/target {s.mean_latency_share:.2f} "
                    f"outcomes {format_counts(s.outcome_counts)}"
                )
            )
        for s in known:
            s.outcome_counts.clear()
            s.failure_count = 0
        self.outcome_counts.clear()
