"""All decisions of the balancer; its types, events and actions are in interface.py.

Redundant-to-Idle-Queue (RIQ): draw a few servers for a request, copy a safe request to those
that look idle, else send it once to a random one of them; cancel the losers at the first good
answer. Every public method takes the time and returns the actions to carry out.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from dataclasses import dataclass, field, replace
from random import Random

from dykeshift.interface import (
    UNEXECUTED_OUTCOMES,
    Action,
    AttemptEnd,
    Cancel,
    DedupScope,
    Fail,
    Idempotency,
    ListKind,
    LoadReport,
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

# Names that end in _TARGET_SHARE are shares of the latency target of the request's class, and names that end
# in _LATENCY_MULTIPLE are multiples of the usual latency of that class, unless a comment says otherwise.

# ---- pool and samples ----

SAMPLE_SIZE = 5  # servers per request: enough to find an idle one, few enough to remain a sample
KEYED_REPEAT_SAMPLE_SIZE = 20  # servers considered for a repeat of a keyed request, within its dedup scope
MIN_POOL_SAMPLE_MULTIPLE = 2  # smallest pool in a large fleet, as a multiple of SAMPLE_SIZE
# Offset between the pools of two consecutive balancers, as a share of all ready servers. With the golden
# ratio the pools of any few balancers are spread evenly.
POOL_OFFSET_FLEET_SHARE = 0.618034
# Requests per overload window for each server of the pool. With fewer, what is known about a server is
# outdated.
MIN_WINDOW_REQUESTS_PER_SERVER = 10
# Servers whose learned state is kept outside the pool. In a fleet of at most this size all servers are known.
MAX_KNOWN_SERVERS = 256

# ---- idle, busy and slow servers ----

# If other balancers have more attempts at a server on average, it is not idle though this one has none there.
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
# A class hangs at a server after this many consecutive failures there, or if nothing of it was answered
# for the time of this many slow attempts.
HANG_THRESHOLD = 2

# ---- latency estimates ----

MEAN_SAMPLE_WEIGHT = 0.1  # of the newest sample in a running mean: about the last twenty samples count
SERVER_MEAN_SAMPLE_WEIGHT = 0.2  # the same for the latency of one server, which follows its last few answers
INITIAL_LATENCY_TARGET_SHARE = 0.25  # usual latency before any answer: twice this still leaves time to wait
MIN_LATENCY_FALL_WEIGHT = 0.3  # the minimum latency falls by this share of the distance to a quicker answer
MIN_LATENCY_RISE_SHARE = 0.005  # and rises by this share of itself at a slower one

# ---- waiting, delayed copies and retries ----

WAIT_INTERVAL_TARGET_SHARE = 0.1  # time between two searches for a server for a waiting request
MIN_TIME_LEFT_LATENCY_MULTIPLE = 2.0  # a request with less time than this to its latency target is not sent
URGENT_LATENCY_MULTIPLE = 3.0  # with less time left the whole pool is considered and the quickest server used
MIN_COPY_DELAY_TARGET_SHARE = 0.4  # no delayed copy before this; a second attempt still fits into the rest
NON_IDLE_COPY_LATENCY_MULTIPLE = 4.0  # after this a delayed copy is sent though no server is idle
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
# Minimum growth of a limit below one for each quick answer, as a share of it: two or three undo a cut.
MIN_LIMIT_REGROWTH_SHARE = 0.1
# A server whose mean number of attempts in flight stays below this share of its limit has not shown that it
# carries more.
MIN_LIMIT_USE_SHARE = 0.5
# Multiple of the minimum latency of the class. Only answers within it let a limit grow; others have queued.
GROWTH_LATENCY_MULTIPLE = 3.0
WARM_UP_GROWTH_LATENCY_FACTOR = 1.4  # limits also grow on slower answers while servers warm up
OVERLOAD_GROWTH_LATENCY_REDUCTION = 0.3  # and only on quicker ones during an overload, by this share at most

# ---- admission and overload ----

# The share of admitted requests rises as long as a third of the answers are quick.
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

# Pause after a failed watch for each balancer, as a share of the longest watch interval.
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

LATE_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)  # answered late or not at all
NON_FAILURE_OUTCOMES = (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT)  # not a failure of the server
ANSWER_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.FULL)  # answers of the server itself


@dataclass(slots=True)
class ServerClassState:
    """One class of requests at one server: what answers all others may hang on one."""

    in_flight: int = 0
    silent_since: int = 0  # its last end but for cancels, or what it was first sent after that
    consecutive_failures: int = 0  # in a row
    backoff_until: int = 0


@dataclass(slots=True, eq=False)
class Server:
    """What this instance has learned of one server."""

    entry: ServerEntry
    in_flight_limit: float  # how many of our attempts it has shown it carries at once
    slow_start_budget: float  # attempts that it may be sent while cold
    budget_request_count: int  # requests that its credit has grown with
    class_states: list[ServerClassState]
    in_flight: int = 0
    mean_in_flight: float = 0.0  # running mean of in_flight, as draws find it
    limit_cut_at: int = 0
    backoff_until: int = 0
    mean_latency_share: float = 0.0  # running mean of its answers' latency, as a share of the aim
    answered_since_idle: bool = True  # has answered something since it was last idle of ours
    silent_since: int = 0  # its last answer, or what it was first sent after that
    has_answered: bool = False  # has answered since its start
    relative_latency: float = 1.0  # running mean of its answers' latency over the usual one of their class
    load_report: LoadReport | None = None
    load_reported_at: int = 0
    abandoned_until: list[int] = field(
        default_factory=list
    )  # until when its abandoned attempts count as running
    connect_failures: int = 0  # connects that failed in a row
    outcome_counts: dict[str, int] = field(
        default_factory=dict
    )  # of its attempts, by class, until the next report
    failure_count: int = 0  # of these ends


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one server."""

    server: Server
    sent_at: int
    outcome: Outcome | None = None  # None: still out


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request until it is answered and all its attempts have come back."""

    request: Request
    request_class: RequestClass
    arrived_at: int
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    closed: bool = False
    streaming: bool = False
    over_quota: bool = False  # its tenant's share

    def first_possibly_executed(self) -> Attempt | None:
        """The first attempt that may have run: it binds where and until when a repeat may go."""
        return next((a for a in self.attempts if a.outcome not in UNEXECUTED_OUTCOMES), None)


class Fleet:
    """All servers that are listed, as their entries alone, and the sorted ids of those that are ready.

    A changed entry costs a few binary searches, a whole list one sort.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.needs_zone_groups = self.needs_cell_groups = False
        self.entries: dict[int, ServerEntry] = {}  # ready or draining
        self._clear_ready()
        self.build_groups_for(classes)

    def build_groups_for(self, classes: tuple[RequestClass, ...]) -> None:
        """Keep the groups that these classes need, from now on."""
        scopes = {c.dedup_scope for c in classes if c.idempotency is Idempotency.KEYED}
        needs = DedupScope.ZONE in scopes, DedupScope.CELL in scopes
        if needs == (self.needs_zone_groups, self.needs_cell_groups):
            return
        self.needs_zone_groups, self.needs_cell_groups = needs
        self.ready_ids_by_zone.clear()
        self.ready_ids_by_cell.clear()
        for number in self.ready_ids:
            for group in self._groups_of(self.entries[number])[1:]:
                group.append(number)

    def _clear_ready(self) -> None:
        self.ready_ids: list[int] = []
        self.ready_ids_by_zone: dict[int, list[int]] = {}  # the ready ones of each, where a class needs them
        self.ready_ids_by_cell: dict[int, list[int]] = {}
        self.ready_weight = 0.0  # of all ready ones

    def replace_all(self, entries: tuple[ServerEntry, ...]) -> set[int]:
        """Take over a whole list; returns the ids whose process was not listed before."""
        old, ready, gone = self.entries, ServerState.READY, ServerState.GONE  # looked up once
        self.entries = {e.id: e for e in entries if e.state is not gone}
        self._clear_ready()
        self.ready_ids = sorted([n for n, e in self.entries.items() if e.state is ready])
        running = [self.entries[number] for number in self.ready_ids]
        self.ready_weight = sum([entry.weight for entry in running])
        if self.needs_zone_groups:
            for entry in running:
                self.ready_ids_by_zone.setdefault(entry.zone, []).append(entry.id)
        if self.needs_cell_groups:
            for entry in running:
                self.ready_ids_by_cell.setdefault(entry.cell, []).append(entry.id)
        if not old:
            return set(self.entries)
        return {n for n, e in self.entries.items() if n not in old or e.started_at > old[n].started_at}

    def update(self, entry: ServerEntry) -> bool:
        """Take over one changed entry; returns whether its process was not listed before."""
        old = self.entries.pop(entry.id, None)
        if old is not None and old.state is ServerState.READY:
            self.ready_weight -= old.weight
            for group in self._groups_of(old):
                del group[bisect_left(group, old.id)]
        if entry.state is ServerState.READY:
            self.ready_weight += entry.weight
            for group in self._groups_of(entry):
                insort(group, entry.id)
        listed = entry.state is not ServerState.GONE
        if listed:
            self.entries[entry.id] = entry
        return listed and (old is None or entry.started_at > old.started_at)

    def _groups_of(self, entry: ServerEntry) -> list[list[int]]:
        """The sorted ids among which a ready server stands."""
        groups = [self.ready_ids]
        if self.needs_zone_groups:
            groups.append(self.ready_ids_by_zone.setdefault(entry.zone, []))
        if self.needs_cell_groups:
            groups.append(self.ready_ids_by_cell.setdefault(entry.cell, []))
        return groups

    def ids_in_dedup_scope(self, scope: DedupScope, entry: ServerEntry) -> list[int]:
        """The ready servers that drop the repeats of a keyed request sent to this one."""
        if scope is DedupScope.ALL:
            return self.ready_ids
        groups, key = (
            (self.ready_ids_by_zone, entry.zone)
            if scope is DedupScope.ZONE
            else (self.ready_ids_by_cell, entry.cell)
        )
        return groups.get(key, [])

    def mean_ready_weight(self) -> float:
        return self.ready_weight / max(1, len(self.ready_ids)) or 1.0


class TenantQuotas:
    """What each tenant has left of its share, of which each balancer keeps an equal part.

    Refilled for one tenant at a time, when it asks: the work does not grow with their number.
    """

    def __init__(self, settings: Settings) -> None:
        self.indexes = settings.tenant_indexes
        self.quotas_per_s = settings.tenant_quotas_per_s
        self.balancer_count = settings.balancer_count
        self.tokens = array("d", (self._bucket_size(rate) for rate in self.quotas_per_s))
        self.refilled_at = array("q", bytes(8 * len(self.quotas_per_s)))  # clock time, by tenant

    def _bucket_size(self, rate: float) -> float:
        """One request at least: split among many balancers, a share would else be worth nothing."""
        return max(1.0, rate / self.balancer_count * QUOTA_BURST_S)

    def _tokens_at(self, now: int, tenant: int) -> float:
        rate = self.quotas_per_s[tenant]
        grown = rate / self.balancer_count * (now - self.refilled_at[tenant]) / 1e9
        return min(self._bucket_size(rate), self.tokens[tenant] + grown)

    def carry_over(self, now: int, other: TenantQuotas) -> None:
        """What the tenants of the same names have left, as far as these shares allow."""
        for name, tenant in self.indexes.items():
            if name in other.indexes:
                most = self._bucket_size(self.quotas_per_s[tenant])
                self.tokens[tenant] = min(most, other._tokens_at(now, other.indexes[name]))
                self.refilled_at[tenant] = now

    def consume(self, now: int, request: Request) -> bool:
        """Use up one request of its tenant's share; False if nothing is left of it.

        A client's retry belongs to its first try and uses up nothing.
        """
        tenant = request.tenant_index
        if not self.quotas_per_s:
            return True
        if tenant >= len(self.quotas_per_s):
            return False
        unused = self._tokens_at(now, tenant)
        within = unused >= 1
        self.tokens[tenant] = unused - (within and not request.is_retry)
        self.refilled_at[tenant] = now
        return within


def _is_same_process(one: ServerEntry, other: ServerEntry) -> bool:
    return one.id == other.id and one.started_at == other.started_at


def _increment(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1


def _format_counts(counts: dict[str, int]) -> str:
    return " ".join(f"{name}:{n}" for name, n in sorted(counts.items())) or "-"


class Balancer:
    """One instance: takes events with their time, returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.fleet = Fleet(settings.classes)
        self.servers: dict[int, Server] = {}  # those of it that this instance has met
        self.initial_limit = (
            INITIAL_LIMIT_OF_ALL_BALANCERS  # of the servers not met yet, on average: what each begins with
        )
        self.known_ready: list[
            Server
        ] = []  # the pool, and all other ready ones of a fleet that is known whole
        self.pool: list[Server] = []  # the ready ones that this instance keeps in touch with
        self.request_count = self.request_count_at_sweep = self.sweep_count = (
            0  # requests since the start, until the last sweep; sweeps
        )
        self.requests_per_window = 0.0  # requests in an overload window, running mean
        self.open_requests: dict[str, OpenRequest] = {}
        self.usual_latency = [
            c.latency_target * INITIAL_LATENCY_TARGET_SHARE for c in settings.classes
        ]  # running mean of good answers' latency
        self.min_latency = list(
            self.usual_latency
        )  # latency of the quickest answers: hardly a wait, on a quick server
        self.growth_latency_multiple = GROWTH_LATENCY_MULTIPLE
        self.admission_share = (
            1.0  # part of the requests let in: falls while most answers of the whole pool are slow
        )
        self.overload_level = (
            0.0  # rises while requests find no server with room; classes worth less than this wait
        )
        self.relative_worth = [1.0] * len(
            settings.classes
        )  # worth per work, as a share of the dearest class's
        self.mean_cost_hint = [0.0] * len(settings.classes)  # running mean of the cost hints
        self.answered_share = 0.0  # part of the latest requests that a server answered
        self.watch_failures = 0
        self.pool_capacity = 1.0  # servers of the pool, cold ones by their warmth
        self.first_request_timeout = [0] * len(settings.classes)  # of the latest first try
        self.tenant_quotas = TenantQuotas(settings)
        self.give_up_counts: dict[str, int] = {}  # requests, by reason, until the next report
        self.outcome_counts: dict[
            str, int
        ] = {}  # of attempts at all servers, by class, until the next report
        self.actions: list[Action] = []
        self.class_names = [c.name for c in settings.classes]  # by class number; removed ones at the end

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # ---- the list of servers ----

    def on_start(self, now: int) -> list[Action]:
        if self.settings.watch_discovery:
            self.actions.append(Watch())
        return self.on_timer(now, "sweep")

    def on_settings(self, now: int, settings: Settings) -> list[Action]:
        """Other settings from now on; open requests end under the class they began with.

        Classes and tenants are known by name: what was learned of those that stay is kept. A removed class
        keeps a number behind the others for as long as requests of it are open.
        """
        known = {name: n for n, name in reversed(list(enumerate(self.class_names)))}
        slots = [known.get(c.name) for c in settings.classes]  # by new number: the old one
        open_classes = {open_request.request.class_index for open_request in self.open_requests.values()}
        slots += [n for n in sorted(open_classes) if n not in slots]
        self._renumber_classes(slots, settings)
        self.fleet.build_groups_for(
            (*settings.classes, *(open_request.request_class for open_request in self.open_requests.values()))
        )
        shares = TenantQuotas(settings)
        shares.carry_over(now, self.tenant_quotas)
        self.tenant_quotas = shares
        self.requests_per_window *= settings.overload_window / self.settings.overload_window
        self.settings = settings
        self._update_relative_worth()
        return self._take_actions()

    def _renumber_classes(self, slots: list[int | None], settings: Settings) -> None:
        """Give each class its new number, in all that is kept by class; `slots` has the old ones."""
        guess = [c.latency_target * INITIAL_LATENCY_TARGET_SHARE for c in settings.classes]
        self.usual_latency = [guess[k] if n is None else self.usual_latency[n] for k, n in enumerate(slots)]
        self.min_latency = [guess[k] if n is None else self.min_latency[n] for k, n in enumerate(slots)]
        self.relative_worth = [1.0 if n is None else self.relative_worth[n] for n in slots]
        self.mean_cost_hint = [0.0 if n is None else self.mean_cost_hint[n] for n in slots]
        self.first_request_timeout = [0 if n is None else self.first_request_timeout[n] for n in slots]
        old, new = self.class_names, [c.name for c in settings.classes]
        self.class_names = new + [old[n] for n in slots[len(new) :] if n is not None]
        numbers = {n: k for k, n in enumerate(slots) if n is not None}
        held = [
            a.server for open_request in self.open_requests.values() for a in open_request.attempts
        ]  # some are listed no more
        for server in dict.fromkeys([*self.servers.values(), *held]):
            server.class_states = [ServerClassState() if n is None else server.class_states[n] for n in slots]
        for open_request in self.open_requests.values():
            open_request.request = replace(
                open_request.request, class_index=numbers[open_request.request.class_index]
            )

    def on_discovery_moved(self, now: int) -> list[Action]:
        """Another discovery answers from now on: asked at once, and not blamed for the old one's failures."""
        self.watch_failures = 0
        if self.settings.watch_discovery:
            self.actions.append(Watch())
        return self._take_actions()

    def on_list(self, now: int, update: ServerListUpdate) -> list[Action]:
        if update.kind in (ListKind.FAILED, ListKind.INTERRUPTED):
            self._schedule_watch_retry(now)
            return self._take_actions()
        if update.kind is not ListKind.CACHED:
            self.watch_failures = 0
        room = self._mean_limit()
        if update.kind is ListKind.DELTA:
            fresh = {entry.id for entry in update.entries if self.fleet.update(entry)}
        else:
            fresh = self.fleet.replace_all(update.entries)
        for server in list(self.servers.values()):
            self._update_entry(server, fresh)
        if len(self.fleet.entries) <= MAX_KNOWN_SERVERS:
            for entry in update.entries:
                if entry.id in fresh:
                    self._get_or_create_server(entry.id)
        self._choose_pool(now)
        if room is None:
            room = self.initial_limit = INITIAL_LIMIT_OF_ALL_BALANCERS / self._balancers_per_server()
        met = self.servers.keys() & fresh
        for number in met:
            self.servers[number].in_flight_limit = room
        unmet = max(1, len(self.fleet.entries) - len(self.servers))
        self.initial_limit += min(1.0, (len(fresh) - len(met)) / unmet) * (room - self.initial_limit)
        return self._take_actions()

    def _schedule_watch_retry(self, now: int) -> None:
        """Watch anew after a pause that doubles with each failure, in time for what discovery has to tell.

        A change counts as told 6 s after discovery had it and could be reached, whatever became of a call.
        """
        if not self.settings.watch_discovery:
            return
        # All may have failed together, as one queue serves them all: repeats in step would keep it full.
        share = WATCH_RETRY_INTERVAL_SHARE * self.settings.balancer_count * 2**self.watch_failures
        pause = min(self.settings.max_watch_interval * min(share, 1.0), MAX_WATCH_RETRY_PAUSE_S * 1e9)
        self.watch_failures = min(self.watch_failures + 1, 4)
        self.actions.append(
            SetTimer("watch", now + int(pause * (1 - WATCH_RETRY_JITTER_SHARE * self.random())))
        )

    def _update_entry(self, server: Server, fresh: set[int]) -> None:
        """Bring a server's entry up to date; one whose process is known is taken from the fresh ones."""
        number = server.entry.id
        entry = self.fleet.entries.get(number)
        if entry is None:
            if server.entry.state is not ServerState.GONE:
                server.entry = replace(server.entry, state=ServerState.GONE)
        elif entry.started_at > server.entry.started_at:  # a new process: what was known is void
            del self.servers[number]
        else:
            server.entry = entry
            fresh.discard(number)

    def _mean_limit(self) -> float | None:
        """Of all ready servers: one that comes later is trusted like those already there."""
        if not self.fleet.ready_ids:
            return None
        rooms = [s.in_flight_limit for s in self.servers.values() if s.entry.state is ServerState.READY]
        return (sum(rooms) + self.initial_limit * (len(self.fleet.ready_ids) - len(rooms))) / len(
            self.fleet.ready_ids
        )

    def _get_or_create_server(self, number: int) -> Server:
        """The learned state of a listed server, made when this instance first needs it."""
        server = self.servers.get(number)
        if server is None:
            entry = self.fleet.entries[number]
            lanes = [ServerClassState() for _ in self.usual_latency]
            server = Server(entry, self.initial_limit, self.random(), self.request_count, lanes)
            self.servers[number] = server
        return server

    def _balancers_per_server(self) -> float:
        """How many instances draw from a server, where all see about as many requests as this one."""
        return max(1.0, self.settings.balancer_count * len(self.pool) / max(1, len(self.fleet.ready_ids)))

    def _estimated_attempts_of_others(self) -> float:
        """Attempts of the other instances at a server, if they have as many there as this one on average."""
        return (
            sum(s.mean_in_flight for s in self.pool)
            / max(1, len(self.pool))
            * (self._balancers_per_server() - 1)
        )

    def _choose_pool(self, now: int) -> None:
        """The pool: no more servers than this instance has requests enough for to know each.

        Met more seldom, what was learned of a server is no longer true, and connections cost too much.
        """
        met = max(self.requests_per_window, 2 * self.request_count if self.sweep_count < 2 else 0)
        size = max(MIN_POOL_SAMPLE_MULTIPLE * SAMPLE_SIZE, int(met / MIN_WINDOW_REQUESTS_PER_SERVER))
        whole = len(self.fleet.entries) <= MAX_KNOWN_SERVERS
        reach = self._pick_ready_ids(now, len(self.fleet.ready_ids) if whole else size)
        self.known_ready = [self._get_or_create_server(number) for number in reach]
        self.pool = self.known_ready[:size]
        # Not under SAFETY of them: a fleet that went cold at once did not serve what was measured before.
        self.pool_capacity = max(
            sum(self._warm_capacity_share(now, s) for s in self.pool),
            SLOW_START_SAFETY_SHARE * len(self.pool),
            1.0,
        )

    def _pick_ready_ids(self, now: int, size: int) -> list[int]:
        """That many of the ready servers from this instance's place on, unreachable ones last."""
        ready = self.fleet.ready_ids
        start = int(self.settings.balancer_index * POOL_OFFSET_FLEET_SHARE % 1 * len(ready))
        reachable, unreachable = list[int](), list[int]()
        for i in range(len(ready)):
            if len(reachable) == size:
                break
            number = ready[start + i - len(ready)]  # a negative index counts from the end
            (unreachable if self._is_unreachable(now, number) else reachable).append(number)
        return (reachable + unreachable)[:size]

    def _is_unreachable(self, now: int, number: int) -> bool:
        server = self.servers.get(number)
        return server is not None and server.connect_failures > 0 and now < server.backoff_until

    # ---- draw ----

    def _sample_servers(self, now: int, open_request: OpenRequest) -> list[Server]:
        """Up to DRAW servers at random without replacement, of those that this request may go to."""
        pool = self._candidates(open_request)
        most = len(pool) if self._is_urgent(now, open_request) else SAMPLE_SIZE
        picked, suspect, hanging = list[Server](), list[Server](), list[Server]()
        for i in range(len(pool)):
            j = i + int(self.random() * (len(pool) - i))
            pool[i], pool[j] = pool[j], pool[i]
            server = pool[i]
            server.mean_in_flight += MEAN_SAMPLE_WEIGHT * (server.in_flight - server.mean_in_flight)
            if not self._may_receive(now, open_request, server):
                continue
            if self._is_class_hanging(now, open_request, server):
                hanging.append(server)
            elif self._is_suspect(now, open_request, server):
                suspect.append(server)
            else:
                picked.append(server)
                if len(picked) == most:
                    break
        # A trouble of the whole fleet must not shut it out: more than half are never left aside.
        if picked and len(suspect) * 2 <= len(pool):
            return picked
        return (picked + suspect or hanging)[:SAMPLE_SIZE]

    def _candidates(self, open_request: OpenRequest) -> list[Server]:
        """The pool, or for the repeat of a keyed request more: few servers drop it."""
        anchor = open_request.first_possibly_executed()
        if anchor is None or open_request.request_class.idempotency is not Idempotency.KEYED:
            return self.pool
        if len(self.fleet.entries) <= MAX_KNOWN_SERVERS:
            return self.known_ready
        group = self.fleet.ids_in_dedup_scope(open_request.request_class.dedup_scope, anchor.server.entry)
        if len(group) > KEYED_REPEAT_SAMPLE_SIZE:
            group = sorted({group[int(self.random() * len(group))] for _ in range(KEYED_REPEAT_SAMPLE_SIZE)})
        return [self._get_or_create_server(number) for number in group]

    def _is_class_hanging(self, now: int, open_request: OpenRequest, server: Server) -> bool:
        """Whether this class gets no answers there, whatever others get: left to the last."""
        lane = server.class_states[open_request.request.class_index]
        quiet = (
            now - lane.silent_since
            > HANG_THRESHOLD * SLOW_ATTEMPT_LATENCY_MULTIPLE * self._expected_latency(open_request)
        )
        return lane.in_flight > 0 and (lane.consecutive_failures >= HANG_THRESHOLD or quiet)

    def _is_suspect(self, now: int, open_request: OpenRequest, server: Server) -> bool:
        """A slow, stalled or hung server: left aside, so that it does not take the lone requests."""
        quiet = now - server.silent_since  # slow lately: others first, it would be driven into a jam
        return (
            server.mean_latency_share > QUICK_ANSWER_TARGET_SHARE
            and quiet < open_request.request_class.latency_target
            or (
                server.in_flight > 0
                and quiet > SLOW_ATTEMPT_LATENCY_MULTIPLE * self._expected_latency(open_request)
            )
        )

    def _may_receive(self, now: int, open_request: OpenRequest, server: Server) -> bool:
        if any(_is_same_process(attempt.server.entry, server.entry) for attempt in open_request.attempts):
            return False
        anchor = open_request.first_possibly_executed()
        if anchor is not None and not self._is_in_dedup_scope(
            open_request.request_class, anchor.server.entry, server.entry
        ):
            return False
        # Prevents a class that hangs on some servers from feeding them: one trial after each rest.
        if now < server.class_states[open_request.request.class_index].backoff_until:
            return False
        # Room prevents the jam in which every server holds more than it can finish in time.
        held = server.in_flight + self._count_abandoned(now, server)
        return (
            held < server.in_flight_limit
            and now >= server.backoff_until
            and self._has_slow_start_budget(now, server)
        )

    def _is_in_dedup_scope(self, klass: RequestClass, first: ServerEntry, other: ServerEntry) -> bool:
        """Whether a server drops the repeat of a request that another was sent first."""
        if klass.idempotency is not Idempotency.KEYED or klass.dedup_scope is DedupScope.ALL:
            return True
        return first.zone == other.zone if klass.dedup_scope is DedupScope.ZONE else first.cell == other.cell

    def _count_abandoned(self, now: int, server: Server) -> int:
        """Attempts that nobody waits for any more and that the server may still work on."""
        server.abandoned_until = [until for until in server.abandoned_until if until > now]
        return len(server.abandoned_until)

    def _may_send(self, now: int, open_request: OpenRequest) -> bool:
        """Whether one more attempt breaks no rule, to a server that _allowed lets through."""
        if (
            open_request.closed
            or open_request.streaming
            or len(open_request.attempts) >= self.settings.max_attempts
        ):
            return False
        end = open_request.request.answer_deadline or open_request.request.deadline
        if not open_request.request_class.late_worth_share:
            end = min(end, open_request.arrived_at + open_request.request_class.latency_target)
        if now >= end or (open_request.in_flight and not self.settings.copies_allowed):
            return False
        anchor = open_request.first_possibly_executed()
        if anchor is None or open_request.request_class.idempotency is Idempotency.SAFE:
            return True
        return (
            open_request.request_class.idempotency is Idempotency.KEYED
            and now < anchor.sent_at + open_request.request_class.dedup_window
        )

    # ---- idle ----

    def _is_idle(self, now: int, server: Server) -> bool:
        near = server.entry.zone == self.settings.zone
        if (
            near
            and server.in_flight <= MAX_IDLE_LOCAL_ATTEMPTS
            and server.has_answered
            and server.mean_latency_share <= MAX_IDLE_LOCAL_LATENCY_TARGET_SHARE
        ):
            return not self._reports_busy(
                server
            )  # to wait behind another costs less here than to cross rooms
        if server.in_flight or not server.answered_since_idle or not server.has_answered:
            return False  # heard: at a start all would read idle to everyone at once
        # Pace prevents many balancers, each with nothing there, from copying into a jam.
        return server.mean_latency_share <= MAX_IDLE_LATENCY_TARGET_SHARE and not self._reports_busy(server)

    def _reports_busy(self, server: Server) -> bool:
        report = server.load_report
        return report is not None and bool(report.queued or (report.utilization or 0.0) > BUSY_UTILIZATION)

    def _reports_spare_capacity(self, now: int, server: Server) -> bool:
        told = server.load_report is not None and server.load_report.utilization is not None
        recent = now - server.load_reported_at < self.settings.overload_window
        return told and recent and not self._reports_busy(server)

    # ---- copy or lone send ----

    def on_request(self, now: int, request: Request) -> list[Action]:
        klass = self.settings.classes[request.class_index]
        open_request = self.open_requests[request.id] = OpenRequest(
            request, klass, now, over_quota=not self.tenant_quotas.consume(now, request)
        )
        self.request_count += (
            not request.is_retry
        )  # retries would enlarge the pool, and fill every connection table
        growing = self.sweep_count < 2 and len(self.pool) < len(self.fleet.ready_ids)
        if growing and 2 * self.request_count >= MIN_WINDOW_REQUESTS_PER_SERVER * len(self.pool):
            self._choose_pool(now)  # many requests: a start with few servers would refuse some of them
        self.answered_share *= 1 - MEAN_SAMPLE_WEIGHT
        # A jam of the whole pool: rooms of single servers learn too slowly where each is met seldom.
        if not request.is_retry:
            self.first_request_timeout[request.class_index] = request.deadline - now
        if self.overload_level > 0 and self._is_past_target(open_request):
            self._give_up(now, open_request, "past-aim")  # it would take the place of one that can be in time
        elif self.random() < self.admission_share:
            self._dispatch(now, open_request)
        else:
            self._give_up(now, open_request, "not-admitted")
        return self._take_actions()

    def _is_past_target(self, open_request: OpenRequest) -> bool:
        """Whether a retry's client first asked so long ago that no answer is in time any more.

        It waits as long as for a first try, unless that is not what is left of its time for all tries.
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

    def _dispatch(self, now: int, open_request: OpenRequest) -> None:
        """RIQ for a request that has nothing out."""
        value = self.relative_worth[open_request.request.class_index] * (
            self.settings.over_quota_worth_share if open_request.over_quota else 1.0
        )
        dear = self.overload_level > value and not open_request.attempts
        drawn = [] if dear else self._sample_servers(now, open_request)
        if (
            now == open_request.arrived_at
        ):  # those made to wait count as well placed: low classes alone are not starved
            # The fewer requests this instance sees, the more each weighs: a crowd lasts as long at any size.
            span = (
                OVERLOAD_MEMORY_WINDOWS * TOLERATED_UNPLACED_SHARE * self.requests_per_window
            )  # none before they have been measured
            step = min(MAX_OVERLOAD_STEP, max(MIN_OVERLOAD_STEP, 1 / span)) if span else MIN_OVERLOAD_STEP
            self.overload_level = min(
                1.0,
                max(0.0, self.overload_level + step * ((not drawn and not dear) - TOLERATED_UNPLACED_SHARE)),
            )
        if not drawn:
            self._wait_for_server(now, open_request)
            return
        new = [s for s in drawn if not (s.has_answered or s.in_flight)]
        idle = [s for s in drawn if self._is_idle(now, s)]
        if self.random() * len(drawn) < len(new):
            idle = new[:1]  # first contact as often as by random choice: else the few heard first keep all
        idle.sort(key=lambda s: s.entry.zone != self.settings.zone)  # near before far, otherwise as drawn
        copies = 1  # unless idle servers are plenty: a copy would take one from the next request
        safe = open_request.request_class.idempotency is Idempotency.SAFE and self.settings.copies_allowed
        empty = [s for s in idle if not s.in_flight]
        if (
            safe
            and len(empty) * 2 > SAMPLE_SIZE
            and self._estimated_attempts_of_others() < MAX_IDLE_ATTEMPTS_OF_OTHERS
        ):
            idle, copies = empty, max(1, self.settings.max_attempts - 1 - len(open_request.attempts))
        if self._is_urgent(now, open_request):
            # Idle enough is who is done in time behind what it has of ours: a quick one rather than a slow.
            idle = sorted(
                (s for s in drawn if s.has_answered), key=lambda s: s.relative_latency * (1 + s.in_flight)
            )
        idle = idle[:copies]
        for server in idle or [drawn[int(self.random() * len(drawn))]]:
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
            wait = int(
                max(
                    SLOW_ATTEMPT_LATENCY_MULTIPLE * self._expected_latency(open_request),
                    MIN_COPY_DELAY_TARGET_SHARE * open_request.request_class.latency_target,
                )
            )
            self.actions.append(SetTimer("r:" + open_request.request.id, now + wait))

    def _expected_latency(self, open_request: OpenRequest) -> float:
        n, hint = open_request.request.class_index, open_request.request.cost_hint
        return self.usual_latency[n] * (
            hint / self.mean_cost_hint[n] if hint and self.mean_cost_hint[n] else 1.0
        )

    def _send_delayed_copy(self, now: int, open_request: OpenRequest) -> None:
        """The delayed copy: prevents a stalled server from taking with it all that it holds."""
        if self._may_send(now, open_request):
            drawn = self._sample_servers(now, open_request)
            copy = next((s for s in drawn if self._is_idle(now, s)), None)
            last = max(a.sent_at for a in open_request.attempts)
            if copy is None and now - last > NON_IDLE_COPY_LATENCY_MULTIPLE * self._expected_latency(
                open_request
            ):  # its answer may be lost
                copy = next(
                    (
                        s
                        for s in drawn
                        if s.mean_latency_share <= MAX_IDLE_LATENCY_TARGET_SHARE and not self._reports_busy(s)
                    ),
                    None,
                )
            if copy is not None:
                self._send_attempt(now, open_request, copy)
            self._schedule_delayed_copy(now, open_request)

    def _send_attempt(self, now: int, open_request: OpenRequest, server: Server) -> None:
        bound = (
            open_request.request_class.idempotency is Idempotency.KEYED
            and open_request.first_possibly_executed()
        )
        begin_by = (
            bound.sent_at + open_request.request_class.dedup_window if bound else 0
        )  # its connection may come up later
        open_request.attempts.append(Attempt(server, now))
        open_request.in_flight += 1
        server.in_flight += 1
        if server.answered_since_idle and server.in_flight == 1:
            server.silent_since, server.answered_since_idle = now, False
        server.slow_start_budget -= 1
        lane = server.class_states[open_request.request.class_index]
        lane.in_flight += 1
        if lane.in_flight == 1:
            lane.silent_since = now
        # Until the client's own deadline: called off at the aim, it would come back and be begun anew.
        self.actions.append(Send(open_request.request.id, server.entry.id, 0, begin_by))

    def _wait_for_server(self, now: int, open_request: OpenRequest) -> None:
        """Nowhere to go: look again soon, and answer before an answer stops being worth waiting for."""
        need = int(
            MIN_TIME_LEFT_LATENCY_MULTIPLE * self._expected_latency(open_request)
        )  # what it will take: later than this it cannot be in time
        until = min(
            open_request.request.deadline - self.settings.min_call_interval,
            open_request.arrived_at + open_request.request_class.latency_target - need,
        )
        if now >= until or not self._may_send(now, open_request):
            self._give_up(now, open_request, "no-room" if self._may_send(now, open_request) else "too-late")
            return
        again = now + int(open_request.request_class.latency_target * WAIT_INTERVAL_TARGET_SHARE)
        self.actions.append(SetTimer("r:" + open_request.request.id, max(now + 1, min(again, until))))

    # ---- answer, cancel, retry ----

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
        self._count_outcome(
            attempt.server, f"{open_request.request_class.name}/{end.outcome.name}", end.outcome
        )
        open_request.in_flight -= 1
        self._learn_from_attempt(now, open_request, attempt.server, end)
        if end.request_closed and not open_request.closed:
            self._close(open_request)
        elif not open_request.closed and not open_request.in_flight:
            if self._may_send(now, open_request):
                self._dispatch(now, open_request)
            else:
                self._give_up(now, open_request, end.outcome.name)
        self._remove_if_finished(open_request)
        return self._take_actions()

    def on_stream_started(self, now: int, request_id: str, attempt: int) -> list[Action]:
        open_request = self.open_requests.get(request_id)
        if open_request is not None and not open_request.closed:
            open_request.streaming = True
            self._cancel_attempts_except(open_request, attempt)
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

    def _cancel_attempts_except(self, open_request: OpenRequest, keep: int) -> None:
        out = [n for n, a in enumerate(open_request.attempts) if a.outcome is None and n != keep]
        self.actions += [Cancel(open_request.request.id, n) for n in out if self.settings.cancel_allowed]

    def _remove_if_finished(self, open_request: OpenRequest) -> None:
        if open_request.closed and not open_request.in_flight:
            self.open_requests.pop(open_request.request.id, None)

    def _give_up(self, now: int, open_request: OpenRequest, why: str) -> None:
        """The final answer that no server gave: refused where that is true to the client, else failed."""
        _increment(self.give_up_counts, f"{open_request.request_class.name}/{why}")
        kind = open_request.request_class.idempotency
        everywhere = kind is Idempotency.KEYED and open_request.request_class.dedup_scope is DedupScope.ALL
        harmless = open_request.first_possibly_executed() is None or kind is Idempotency.SAFE or everywhere
        rid = open_request.request.id
        self.actions.append(Refuse(rid, self._retry_after(now, open_request)) if harmless else Fail(rid))
        self._close(open_request)

    def _retry_after(self, now: int, open_request: OpenRequest) -> int:
        """When to come back: soon, while a retry can still be in time; later the fewer are let in."""
        wait = open_request.request_class.latency_target * RETRY_AFTER_TARGET_SHARE / self.admission_share
        late = (
            now + self.settings.min_call_interval
            >= open_request.arrived_at + open_request.request_class.latency_target
            and not open_request.request_class.late_worth_share
        )
        if late or self._is_past_target(open_request):
            # No retry is in time any more, it would only take a server from those that are: not before
            # the time is over that the client waits for this one in all.
            wait = open_request.arrived_at + open_request.request_class.client_timeout - now
        return int(min(wait, self.settings.max_retry_after))

    # ---- health ----

    def _learn_from_attempt(
        self, now: int, open_request: OpenRequest, server: Server, end: AttemptEnd
    ) -> None:
        lane = server.class_states[open_request.request.class_index]
        self._update_class_state(now, open_request, lane, end)
        unanswered = end.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
        if not (
            unanswered
            and lane.consecutive_failures >= HANG_THRESHOLD
            and server.silent_since > now - end.latency
        ):
            self._update_load_estimates(
                now, open_request, server, end
            )  # else this class alone hangs there: others had answers since
        server.in_flight -= 1
        if unanswered:  # work is heavy-tailed: what has run for so long may well run as long again
            server.abandoned_until.append(now + end.latency)
        if end.load_report is not None:
            server.load_report, server.load_reported_at = end.load_report, now
        if end.outcome in ANSWER_OUTCOMES:
            server.silent_since, server.answered_since_idle, server.connect_failures = now, True, 0
        if end.outcome is Outcome.OK:
            server.has_answered = True
            server.slow_start_budget += BUDGET_REFUND_PER_ANSWER  # it may do more than it must by now
            n = open_request.request.class_index
            server.relative_latency += SERVER_MEAN_SAMPLE_WEIGHT * (
                min(end.latency / max(1, self.usual_latency[n]), 4.0) - server.relative_latency
            )
            self.usual_latency[n] += MEAN_SAMPLE_WEIGHT * (end.latency - self.usual_latency[n])
            quicker = end.latency < self.min_latency[n]
            self.min_latency[n] += (
                MIN_LATENCY_FALL_WEIGHT * (end.latency - self.min_latency[n])
                if quicker
                else MIN_LATENCY_RISE_SHARE * self.min_latency[n]
            )
            hint = open_request.request.cost_hint
            self.mean_cost_hint[n] += (MEAN_SAMPLE_WEIGHT if self.mean_cost_hint[n] else 1.0) * (
                hint - self.mean_cost_hint[n]
            )
            self.answered_share += MEAN_SAMPLE_WEIGHT

    def _update_class_state(
        self, now: int, open_request: OpenRequest, lane: ServerClassState, end: AttemptEnd
    ) -> None:
        lane.in_flight -= 1
        if end.outcome in ANSWER_OUTCOMES or end.outcome is Outcome.RESET:
            lane.silent_since = now
        if end.outcome is Outcome.OK:
            lane.consecutive_failures, lane.backoff_until = 0, 0
        elif end.outcome in (Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
            lane.consecutive_failures += 1
            if lane.consecutive_failures >= HANG_THRESHOLD:
                rest = open_request.request_class.latency_target * 2 ** min(
                    lane.consecutive_failures - HANG_THRESHOLD, MAX_BACKOFF_DOUBLINGS
                )
                lane.backoff_until = now + int(rest * (0.5 + self.random()))

    def _update_load_estimates(
        self, now: int, open_request: OpenRequest, server: Server, end: AttemptEnd
    ) -> None:
        share = end.latency / open_request.request_class.latency_target
        quick = share <= QUICK_ANSWER_TARGET_SHARE
        if end.outcome is Outcome.OK or share > server.mean_latency_share:
            server.mean_latency_share += SERVER_MEAN_SAMPLE_WEIGHT * (
                min(share, 2.0) - server.mean_latency_share
            )
        stall = end.outcome in LATE_OUTCOMES and (
            quick or self._reports_spare_capacity(now, server)
        )  # or withdrawn early
        if end.outcome in LATE_OUTCOMES and not stall:
            self.admission_share = max(MIN_ADMISSION_SHARE, self.admission_share - ADMISSION_DECREASE_SHARE)
        if end.outcome is Outcome.OK and quick:
            self.admission_share = min(1.0, self.admission_share + ADMISSION_INCREASE_SHARE)
            waited = (
                end.latency
                > self.growth_latency_multiple * self.min_latency[open_request.request.class_index]
            )
            shown = (
                server.mean_in_flight > MIN_LIMIT_USE_SHARE * server.in_flight_limit
                or server.in_flight_limit < INITIAL_LIMIT_OF_ALL_BALANCERS / self._balancers_per_server()
            )
            full = server.in_flight > server.in_flight_limit - 1 and shown
            if full and not waited and not self._reports_busy(server):
                # A room below one is a share of the time and grows in proportion, as it is cut, at any size.
                grow = LIMIT_GROWTH_ATTEMPTS / self._balancers_per_server()
                server.in_flight_limit += min(
                    max(MIN_LIMIT_REGROWTH_SHARE, grow) * server.in_flight_limit,
                    grow / server.in_flight_limit,
                )
            elif waited and server.in_flight_limit < 1:
                server.backoff_until = max(
                    server.backoff_until, now + int(end.latency * (1 / server.in_flight_limit - 1))
                )
        elif not stall and end.outcome is not Outcome.NOT_SENT:
            # Errors count like lateness: quick ones would else make the server look free.
            usual = self.usual_latency[open_request.request.class_index]
            if (
                now - server.limit_cut_at >= usual
            ):  # one slow spell shows on all attempts it held: it counts once
                server.limit_cut_at = now
                server.in_flight_limit = max(MIN_IN_FLIGHT_LIMIT, server.in_flight_limit * LIMIT_CUT_FACTOR)
            rest = max(end.latency, usual) * (1 / server.in_flight_limit - 1)
            if end.outcome is Outcome.FULL:
                rest = max(rest, usual)  # its refusals come at once and would keep it the freest of all
            if end.outcome is Outcome.CONNECT_FAILED:
                # Dead, or its connections are all taken by others: left to them, for twice as long each time.
                rest = min(
                    usual * 2**server.connect_failures,
                    open_request.request_class.latency_target * 2**MAX_BACKOFF_DOUBLINGS,
                ) * (0.5 + self.random())
                server.connect_failures = min(server.connect_failures + 1, MAX_COUNTED_CONNECT_FAILURES)
            # Less than one at a time: many balancers with one attempt each do not jam a server.
            server.backoff_until = max(server.backoff_until, now + int(rest))
            if server.connect_failures:
                self._choose_pool(now)  # another takes its place at once

    # ---- cold budget ----

    def _is_cold(self, now: int, server: Server) -> bool:
        return server.entry.started_at > 0 and now < server.entry.started_at + self.settings.warm_up_time

    def _warm_capacity_share(self, now: int, server: Server) -> float:
        """Least share of its capacity that a server has by now."""
        if not self._is_cold(now, server):
            return 1.0
        cold = self.settings.cold_capacity_share
        return cold + (1 - cold) * max(0, now - server.entry.started_at) / self.settings.warm_up_time

    def _has_slow_start_budget(self, now: int, server: Server) -> bool:
        """Whether a cold server may be sent one more attempt: rule 4 over any number of balancers.

        Credit grows with each request, so that the server gets from each instance at most SAFETY x
        multiple x warmth of the work that one of its servers answers on average, and from all together no
        more than that part of what a whole one carries. A good answer returns a part of what its attempt
        took, since the server may bear more than it must: a small one, as the settings promise no more, and
        even if all attempts are answered there has to be room for chance. Credit starts at random, so that
        the instances take turns where the share of each is far below one attempt a window, and what is not
        used lapses.
        """
        if not self._is_cold(now, server):
            return True
        served = max(
            self.answered_share, INITIAL_LIMIT_OF_ALL_BALANCERS / self.settings.balancer_count
        )  # at least so much, or none would begin
        bears = (
            SLOW_START_SAFETY_SHARE
            * self.settings.overload_multiple
            * self._warm_capacity_share(now, server)
            * served
        )
        bears *= server.entry.weight / self.fleet.mean_ready_weight() / self.pool_capacity
        server.slow_start_budget += bears * (self.request_count - server.budget_request_count)
        server.budget_request_count = self.request_count
        most = 1 + bears * self.requests_per_window * BUDGET_LIFETIME_WINDOW_SHARE
        if server.slow_start_budget > most:
            server.slow_start_budget = most if most > 2 else server.slow_start_budget % 1
        return server.slow_start_budget >= 1

    # ---- timers ----

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
                (self._send_delayed_copy if open_request.in_flight else self._dispatch)(now, open_request)
        return self._take_actions()

    def _sweep(self, now: int) -> None:
        self.sweep_count += 1
        fresh = max(
            MEAN_SAMPLE_WEIGHT, 1 / max(1, self.sweep_count - 1)
        )  # before there is a mean to smooth, the plain mean
        self.requests_per_window += fresh * (
            (self.request_count - self.request_count_at_sweep) / SWEEP_INTERVAL_WINDOW_SHARE
            - self.requests_per_window
        )
        self.request_count_at_sweep = self.request_count
        self._choose_pool(now)
        # Prevents rooms that grow through an overload, and all servers with them, from ending in a jam.
        # While servers warm up help is on its way, and larger rooms bridge the time until then.
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
        """Forget the servers that are gone, and the longest known outside the pool beyond KEPT."""
        pool = {server.entry.id for server in self.pool}
        outside = [n for n, s in self.servers.items() if n not in pool and not s.in_flight]
        gone = [n for n in outside if self.servers[n].entry.state is ServerState.GONE]
        listed = [n for n in outside if self.servers[n].entry.state is not ServerState.GONE]
        for number in gone:
            if not self._is_cold(now, self.servers[number]):
                del self.servers[number]
        for number in listed[:-MAX_KNOWN_SERVERS]:
            if not self._must_keep_state(now, self.servers[number]):
                del self.servers[number]

    def _must_keep_state(self, now: int, server: Server) -> bool:
        """Whether a server that is met anew without its state could be sent more than is due."""
        spent = server.silent_since > 0 and self._is_cold(now, server)  # credit, by attempts sent to it
        resting = now < max(server.backoff_until, *(lane.backoff_until for lane in server.class_states))
        return spent or resting or self._count_abandoned(now, server) > 0

    def _update_relative_worth(self) -> None:
        """Worth of each class per work; where the worst class counts much, none is worth giving up."""
        worths = [max(c.worth, 1e-9) for c in self.settings.classes]
        costs = [1.0 if self.settings.worth_per_work_unit else u for u in self.usual_latency[: len(worths)]]
        per_work = [w / c * sum(costs) / sum(worths) for w, c in zip(worths, costs, strict=True)]
        fair = self.settings.worst_class_weight * len(worths)
        self.relative_worth[: len(worths)] = [min(1.0, (v + fair) / max(per_work)) for v in per_work]

    def _log_state(self, now: int) -> None:
        """The state by which requests are let in, held and placed, for those who run this."""
        self.actions.append(
            Log(
                f"requests {self.request_count} admit {self.admission_share:.2f} "
                f"crowd {self.overload_level:.2f} open {len(self.open_requests)} "
                f"failed watches {self.watch_failures} "
                f"gave up {_format_counts(self.give_up_counts)}"
            )
        )
        self._log_servers(now)
        self.give_up_counts.clear()

    def _count_outcome(self, server: Server, name: str, outcome: Outcome) -> None:
        _increment(self.outcome_counts, name)
        _increment(server.outcome_counts, name)
        server.failure_count += outcome not in NON_FAILURE_OUTCOMES

    def _log_servers(self, now: int) -> None:
        """All servers as counts, and by name only the worst of those met: however many there are."""
        known = self.servers.values()
        listed, ready = len(self.fleet.entries), len(self.fleet.ready_ids)
        cold = sum(self._is_cold(now, s) for s in known)
        resting = sum(now < s.backoff_until for s in known)
        unreachable = sum(self._is_unreachable(now, n) for n in self.servers)
        slow = sum(s.mean_latency_share > QUICK_ANSWER_TARGET_SHARE for s in known)
        self.actions.append(
            Log(
                f"servers {listed} ready {ready} draining {listed - ready} pool {len(self.pool)} "
                f"known {len(known)} cold {cold} resting {resting} unreachable {unreachable} slow {slow} "
                f"room {sum(s.in_flight_limit for s in known):.2f} out {sum(s.in_flight for s in known)} "
                f"failing {sum(s.failure_count > 0 for s in known)} "
                f"ends {_format_counts(self.outcome_counts)}"
            )
        )
        for s in sorted(known, key=lambda s: (-s.failure_count, -s.mean_latency_share, s.entry.id))[
            :MAX_LOGGED_SERVERS
        ]:
            self.actions.append(
                Log(
                    f"server {s.entry.id:x} zone {s.entry.zone} room {s.in_flight_limit:.2f} "
                    f"out {s.in_flight} pace {s.mean_latency_share:.2f} "
                    f"ends {_format_counts(s.outcome_counts)}"
                )
            )
        for s in known:
            s.outcome_counts.clear()
            s.failure_count = 0
        self.outcome_counts.clear()
