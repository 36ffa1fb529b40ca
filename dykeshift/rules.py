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

POOL_LEAST = 2  # times DRAW: the smallest part of a large fleet that one instance draws from
STRIDE = 0.618034  # of all servers, from one instance's pool to the next one's: any few of them lie evenly
LONELY = 1.0  # attempts of others at a server: with more it is not idle, though none of ours is there
MET = 10  # requests in an overload window for each server of the pool: met more seldom, it is not known
DRAW = 5  # servers sampled per request: enough to find an idle one, few enough to stay a sample
REPEAT_SAMPLE = 20  # servers looked at for a repeat of a keyed request, of those that drop repeats
HOLD_SHARE = 0.1  # of the aim: how long a request with nowhere to go waits between two looks
ADVICE_SHARE = 0.05  # of the aim: how long a refused client is to stay away while all are let in
GOOD_SHARE = 0.5  # of the aim: an answer within this shows that the server carries what it has
GROW, CUT = 2.0, 0.8  # room grows by this over the instances, who all grow at once; shrinks on failures
ADMIT_UP, ADMIT_DOWN = 0.1, 0.05  # for a quick answer, for a slow one: up while a third are quick
LEAST_ADMIT = 0.1  # enough to notice that answers are quick again
REGROW = 0.1  # of a room below one, at the least, for each quick answer: two or three undo a cut
USED = 0.5  # of its room: a server that holds less of ours on average has not shown that it carries more
CALM = 0.45  # of the aim: a server whose answers lately took longer is not idle, whoever keeps it busy
EASY = 3.0  # times the least latency: only answers within this make a room grow, others waited in line
FALL, RISE = 0.3, 0.005  # of the way down to a quicker answer, of itself at a slower one: least latency
PATIENCE = 1.3  # times the usual latency: an attempt out for longer gets a delayed copy (paper, VIII)
FIRST_GUESS = 0.25  # of the aim: usual latency until answers tell; twice it still leaves time to hold
NEED = 2.0  # times the usual latency: with less than this left before the aim a request is not begun
OVERDUE = 4.0  # times the usual latency: from then on a copy goes out though none is idle
WAIT_SHARE = 0.4  # of the aim: no delayed copy before this, a second try still fits into the rest
ROOM = 4.0  # what all instances together trust a server with before anything is known
LEAST_ROOM = 0.05  # below one, a share of the time: a failing server is still tried now and then
SAFETY = 0.5  # of the cold budget is used; the rest covers chance, handshakes and a small server of its kind
RETURNED = 0.25  # of an attempt's credit, for a good answer: in all SAFETY / (1 - RETURNED) of the budget
LAPSE = 0.5  # of an overload window: credit with a cold server is kept no longer
SMOOTH = 0.1  # weight of the newest sample in a running mean: about the last twenty samples count
NEAR_MOST, NEAR_PACE = 2, 0.3  # ours at a near server, its pace: up to these it still counts as idle
TIGHT = 3.0  # times the usual latency: with less than this left all are drawn and the quickest goes first
SOFTER, HARDER = 1.4, 0.3  # rooms grow on slower answers while servers warm up, on quicker ones in a crowd
CROWD_STEP, CROWD_FREE = 0.02, 0.1  # one request's weight; part that may find no room before others wait
CROWD_SPAN, CROWD_MOST = 1.5, 0.1  # overload windows until a crowd is forgotten; the most weight for it
BUSY = 0.8  # utilization reported: hardly ever without a queue
PACE_SMOOTH = 0.2  # the same for one server's pace: it follows the last few answers
HUNG = 2  # failures of a class in a row at a server, or times its patience, from which it hangs there
REFUSALS = 10  # connects refused in a row that still double the rest
LONGEST = 4  # doublings of the aim: the longest such rest
WATCH_SHARE = 0.005  # of the longest time without asking, for each balancer: pause after a failed watch
RENEW = 2.0  # seconds: the longest pause after a failed watch; a lost call and the next one take up to 4 more
RENEW_SPREAD = 0.98  # part of that pause that is random: all balancers may have failed at once
TRY_SLACK = 0.05  # of the time for a first try: a retry's may differ by this without telling anything
SHARE_WINDOW = 3.0  # seconds: what a tenant leaves of its share is kept so long for it
SWEEP_SHARE = 0.25  # of the overload window: how often capacity is measured and forgotten servers are dropped
KEPT = 256  # servers whose learned state is kept outside the pool; a fleet of so many is known whole
LOG_SWEEPS = 2  # sweeps from one report in the log to the next
REPORTED = 5  # servers that a report names, the worst ones; the others are counted
LATE = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)  # ends that came too late or not at all
BLAMELESS = (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT)  # ends that are no failure of the server
ANSWERS = (Outcome.OK, Outcome.ERROR, Outcome.FULL)  # ends that came from the server itself


@dataclass(slots=True)
class Lane:
    """One class of requests at one server: what answers all others may hang on one."""

    out: int = 0
    quiet_since: int = 0  # its last end but for cancels, or what it was first sent after that
    failures: int = 0  # in a row
    rest_until: int = 0


@dataclass(slots=True, eq=False)
class Server:
    """What this instance has learned of one server."""

    entry: ServerEntry
    room: float  # how many of our attempts it has shown it carries at once
    credit: float  # attempts that it may be sent while cold
    credited: int  # requests that its credit has grown with
    lanes: list[Lane]
    in_flight: int = 0
    used: float = 0.0  # running mean of in_flight, as draws find it
    cut_at: int = 0
    rest_until: int = 0
    pace: float = 0.0  # running mean of its answers' latency, as a share of the aim
    answered: bool = True  # has answered something since it was last idle of ours
    quiet_since: int = 0  # its last answer, or what it was first sent after that
    heard: bool = False  # has answered since its start
    ratio: float = 1.0  # running mean of its answers' latency over the usual one of their class
    report: LoadReport | None = None
    reported: int = 0
    left: list[int] = field(default_factory=list)  # until when its abandoned attempts count as running
    refused: int = 0  # connects that failed in a row
    ends: dict[str, int] = field(default_factory=dict)  # of its attempts, by class, until the next report
    failures: int = 0  # of these ends


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one server."""

    server: Server
    sent: int
    end: Outcome | None = None  # None: still out


@dataclass(slots=True, eq=False)
class Open:
    """A request until it is answered and all its attempts have come back."""

    request: Request
    klass: RequestClass
    arrived: int
    attempts: list[Attempt] = field(default_factory=list)
    live: int = 0
    closed: bool = False
    streaming: bool = False
    beyond: bool = False  # its tenant's share

    def anchor(self) -> Attempt | None:
        """The first attempt that may have run: it binds where and until when a repeat may go."""
        return next((a for a in self.attempts if a.end not in UNEXECUTED_OUTCOMES), None)


class Fleet:
    """All servers that are listed, as their entries alone, and the sorted ids of those that are ready.

    A changed entry costs a few binary searches, a whole list one sort.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.needs_zones = self.needs_cells = False
        self.entries: dict[int, ServerEntry] = {}  # ready or draining
        self._clear_ready()
        self.group_for(classes)

    def group_for(self, classes: tuple[RequestClass, ...]) -> None:
        """Keep the groups that these classes need, from now on."""
        scopes = {c.dedup_scope for c in classes if c.idempotency is Idempotency.KEYED}
        needs = DedupScope.ZONE in scopes, DedupScope.CELL in scopes
        if needs == (self.needs_zones, self.needs_cells):
            return
        self.needs_zones, self.needs_cells = needs
        self.zones.clear()
        self.cells.clear()
        for number in self.ready:
            for group in self._groups(self.entries[number])[1:]:
                group.append(number)

    def _clear_ready(self) -> None:
        self.ready: list[int] = []
        self.zones: dict[int, list[int]] = {}  # the ready ones of each, where a class needs them
        self.cells: dict[int, list[int]] = {}
        self.weight = 0.0  # of all ready ones

    def replace(self, entries: tuple[ServerEntry, ...]) -> set[int]:
        """Take over a whole list; returns the ids whose process was not listed before."""
        old, ready, gone = self.entries, ServerState.READY, ServerState.GONE  # looked up once
        self.entries = {e.id: e for e in entries if e.state is not gone}
        self._clear_ready()
        self.ready = sorted([n for n, e in self.entries.items() if e.state is ready])
        running = [self.entries[number] for number in self.ready]
        self.weight = sum([entry.weight for entry in running])
        if self.needs_zones:
            for entry in running:
                self.zones.setdefault(entry.zone, []).append(entry.id)
        if self.needs_cells:
            for entry in running:
                self.cells.setdefault(entry.cell, []).append(entry.id)
        if not old:
            return set(self.entries)
        return {n for n, e in self.entries.items() if n not in old or e.started_at > old[n].started_at}

    def put(self, entry: ServerEntry) -> bool:
        """Take over one changed entry; returns whether its process was not listed before."""
        old = self.entries.pop(entry.id, None)
        if old is not None and old.state is ServerState.READY:
            self.weight -= old.weight
            for group in self._groups(old):
                del group[bisect_left(group, old.id)]
        if entry.state is ServerState.READY:
            self.weight += entry.weight
            for group in self._groups(entry):
                insort(group, entry.id)
        listed = entry.state is not ServerState.GONE
        if listed:
            self.entries[entry.id] = entry
        return listed and (old is None or entry.started_at > old.started_at)

    def _groups(self, entry: ServerEntry) -> list[list[int]]:
        """The sorted ids among which a ready server stands."""
        groups = [self.ready]
        if self.needs_zones:
            groups.append(self.zones.setdefault(entry.zone, []))
        if self.needs_cells:
            groups.append(self.cells.setdefault(entry.cell, []))
        return groups

    def scope(self, scope: DedupScope, entry: ServerEntry) -> list[int]:
        """The ready servers that drop the repeats of a keyed request sent to this one."""
        if scope is DedupScope.ALL:
            return self.ready
        groups, key = (self.zones, entry.zone) if scope is DedupScope.ZONE else (self.cells, entry.cell)
        return groups.get(key, [])

    def mean_weight(self) -> float:
        return self.weight / max(1, len(self.ready)) or 1.0


class TenantShares:
    """What each tenant has left of its share, of which each balancer keeps an equal part.

    Refilled for one tenant at a time, when it asks: the work does not grow with their number.
    """

    def __init__(self, settings: Settings) -> None:
        self.numbers = settings.tenant_indexes
        self.rates = settings.tenant_quotas_per_s
        self.balancers = settings.balancer_count
        self.unused = array("d", (self._most_unused(rate) for rate in self.rates))
        self.refilled = array("q", bytes(8 * len(self.rates)))  # clock time, by tenant

    def _most_unused(self, rate: float) -> float:
        """One request at least: split among many balancers, a share would else be worth nothing."""
        return max(1.0, rate / self.balancers * SHARE_WINDOW)

    def _left(self, now: int, tenant: int) -> float:
        rate = self.rates[tenant]
        grown = rate / self.balancers * (now - self.refilled[tenant]) / 1e9
        return min(self._most_unused(rate), self.unused[tenant] + grown)

    def take_over(self, now: int, other: TenantShares) -> None:
        """What the tenants of the same names have left, as far as these shares allow."""
        for name, tenant in self.numbers.items():
            if name in other.numbers:
                most = self._most_unused(self.rates[tenant])
                self.unused[tenant] = min(most, other._left(now, other.numbers[name]))
                self.refilled[tenant] = now

    def take(self, now: int, request: Request) -> bool:
        """Use up one request of its tenant's share; False if nothing is left of it.

        A client's retry belongs to its first try and uses up nothing.
        """
        tenant = request.tenant_index
        if not self.rates:
            return True
        if tenant >= len(self.rates):
            return False
        unused = self._left(now, tenant)
        within = unused >= 1
        self.unused[tenant] = unused - (within and not request.is_retry)
        self.refilled[tenant] = now
        return within


def _same_process(one: ServerEntry, other: ServerEntry) -> bool:
    return one.id == other.id and one.started_at == other.started_at


def _count(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1


def _counts_text(counts: dict[str, int]) -> str:
    return " ".join(f"{name}:{n}" for name, n in sorted(counts.items())) or "-"


class Balancer:
    """One instance: takes events with their time, returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.fleet = Fleet(settings.classes)
        self.servers: dict[int, Server] = {}  # those of it that this instance has met
        self.first_room = ROOM  # of the servers not met yet, on average: what each begins with
        self.reach: list[Server] = []  # the pool, and all other ready ones of a fleet that is known whole
        self.pool: list[Server] = []  # the ready ones that this instance keeps in touch with
        self.arrived = self.swept = self.sweeps = 0  # requests since the start, until the last sweep; sweeps
        self.arrivals = 0.0  # requests in an overload window, running mean
        self.open: dict[str, Open] = {}
        self.usual = [
            c.latency_target * FIRST_GUESS for c in settings.classes
        ]  # running mean of good answers' latency
        self.least = list(self.usual)  # latency of the quickest answers: hardly a wait, on a quick server
        self.easy = EASY
        self.admit = 1.0  # part of the requests let in: falls while most answers of the whole pool are slow
        self.crowd = 0.0  # rises while requests find no server with room; classes worth less than this wait
        self.value = [1.0] * len(settings.classes)  # worth per work, as a share of the dearest class's
        self.hints = [0.0] * len(settings.classes)  # running mean of the cost hints
        self.yielded = 0.0  # part of the latest requests that a server answered
        self.watch_failures = 0
        self.pool_capacity = 1.0  # servers of the pool, cold ones by their warmth
        self.patience = [0] * len(settings.classes)  # of the latest first try
        self.shares = TenantShares(settings)
        self.gave_up: dict[str, int] = {}  # requests, by reason, until the next report
        self.ends: dict[str, int] = {}  # of attempts at all servers, by class, until the next report
        self.actions: list[Action] = []
        self.class_slots = [c.name for c in settings.classes]  # by class number; removed ones at the end

    def _done(self) -> list[Action]:
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
        known = {name: n for n, name in reversed(list(enumerate(self.class_slots)))}
        slots = [known.get(c.name) for c in settings.classes]  # by new number: the old one
        open_classes = {item.request.class_index for item in self.open.values()}
        slots += [n for n in sorted(open_classes) if n not in slots]
        self._renumber(slots, settings)
        self.fleet.group_for((*settings.classes, *(item.klass for item in self.open.values())))
        shares = TenantShares(settings)
        shares.take_over(now, self.shares)
        self.shares = shares
        self.arrivals *= settings.overload_window / self.settings.overload_window
        self.settings = settings
        self._weigh_classes()
        return self._done()

    def _renumber(self, slots: list[int | None], settings: Settings) -> None:
        """Give each class its new number, in all that is kept by class; `slots` has the old ones."""
        guess = [c.latency_target * FIRST_GUESS for c in settings.classes]
        self.usual = [guess[k] if n is None else self.usual[n] for k, n in enumerate(slots)]
        self.least = [guess[k] if n is None else self.least[n] for k, n in enumerate(slots)]
        self.value = [1.0 if n is None else self.value[n] for n in slots]
        self.hints = [0.0 if n is None else self.hints[n] for n in slots]
        self.patience = [0 if n is None else self.patience[n] for n in slots]
        old, new = self.class_slots, [c.name for c in settings.classes]
        self.class_slots = new + [old[n] for n in slots[len(new) :] if n is not None]
        numbers = {n: k for k, n in enumerate(slots) if n is not None}
        held = [a.server for item in self.open.values() for a in item.attempts]  # some are listed no more
        for server in dict.fromkeys([*self.servers.values(), *held]):
            server.lanes = [Lane() if n is None else server.lanes[n] for n in slots]
        for item in self.open.values():
            item.request = replace(item.request, class_index=numbers[item.request.class_index])

    def on_discovery_moved(self, now: int) -> list[Action]:
        """Another discovery answers from now on: asked at once, and not blamed for the old one's failures."""
        self.watch_failures = 0
        if self.settings.watch_discovery:
            self.actions.append(Watch())
        return self._done()

    def on_list(self, now: int, update: ServerListUpdate) -> list[Action]:
        if update.kind in (ListKind.FAILED, ListKind.INTERRUPTED):
            self._retry_watch(now)
            return self._done()
        if update.kind is not ListKind.CACHED:
            self.watch_failures = 0
        room = self._mean_room()
        if update.kind is ListKind.DELTA:
            fresh = {entry.id for entry in update.entries if self.fleet.put(entry)}
        else:
            fresh = self.fleet.replace(update.entries)
        for server in list(self.servers.values()):
            self._relist(server, fresh)
        if len(self.fleet.entries) <= KEPT:
            for entry in update.entries:
                if entry.id in fresh:
                    self._meet(entry.id)
        self._choose_pool(now)
        if room is None:
            room = self.first_room = ROOM / self._sharers()
        met = self.servers.keys() & fresh
        for number in met:
            self.servers[number].room = room
        unmet = max(1, len(self.fleet.entries) - len(self.servers))
        self.first_room += min(1.0, (len(fresh) - len(met)) / unmet) * (room - self.first_room)
        return self._done()

    def _retry_watch(self, now: int) -> None:
        """Watch anew after a pause that doubles with each failure, in time for what discovery has to tell.

        A change counts as told 6 s after discovery had it and could be reached, whatever became of a call.
        """
        if not self.settings.watch_discovery:
            return
        # All may have failed together, as one queue serves them all: repeats in step would keep it full.
        share = WATCH_SHARE * self.settings.balancer_count * 2**self.watch_failures
        pause = min(self.settings.max_watch_interval * min(share, 1.0), RENEW * 1e9)
        self.watch_failures = min(self.watch_failures + 1, 4)
        self.actions.append(SetTimer("watch", now + int(pause * (1 - RENEW_SPREAD * self.random()))))

    def _relist(self, server: Server, fresh: set[int]) -> None:
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

    def _mean_room(self) -> float | None:
        """Of all ready servers: one that comes later is trusted like those already there."""
        if not self.fleet.ready:
            return None
        rooms = [s.room for s in self.servers.values() if s.entry.state is ServerState.READY]
        return (sum(rooms) + self.first_room * (len(self.fleet.ready) - len(rooms))) / len(self.fleet.ready)

    def _meet(self, number: int) -> Server:
        """The learned state of a listed server, made when this instance first needs it."""
        server = self.servers.get(number)
        if server is None:
            entry = self.fleet.entries[number]
            lanes = [Lane() for _ in self.usual]
            server = Server(entry, self.first_room, self.random(), self.arrived, lanes)
            self.servers[number] = server
        return server

    def _sharers(self) -> float:
        """How many instances draw from a server, where all see about as many requests as this one."""
        return max(1.0, self.settings.balancer_count * len(self.pool) / max(1, len(self.fleet.ready)))

    def _others(self) -> float:
        """Attempts of the other instances at a server, if they have as many there as this one on average."""
        return sum(s.used for s in self.pool) / max(1, len(self.pool)) * (self._sharers() - 1)

    def _choose_pool(self, now: int) -> None:
        """The pool: no more servers than this instance has requests enough for to know each.

        Met more seldom, what was learned of a server is no longer true, and connections cost too much.
        """
        met = max(self.arrivals, 2 * self.arrived if self.sweeps < 2 else 0)
        size = max(POOL_LEAST * DRAW, int(met / MET))
        whole = len(self.fleet.entries) <= KEPT
        reach = self._reachable_first(now, len(self.fleet.ready) if whole else size)
        self.reach = [self._meet(number) for number in reach]
        self.pool = self.reach[:size]
        # Not under SAFETY of them: a fleet that went cold at once did not serve what was measured before.
        self.pool_capacity = max(sum(self._warmth(now, s) for s in self.pool), SAFETY * len(self.pool), 1.0)

    def _reachable_first(self, now: int, size: int) -> list[int]:
        """That many of the ready servers from this instance's place on, unreachable ones last."""
        ready = self.fleet.ready
        start = int(self.settings.balancer_index * STRIDE % 1 * len(ready))
        reachable, unreachable = list[int](), list[int]()
        for i in range(len(ready)):
            if len(reachable) == size:
                break
            number = ready[start + i - len(ready)]  # a negative index counts from the end
            (unreachable if self._unreachable(now, number) else reachable).append(number)
        return (reachable + unreachable)[:size]

    def _unreachable(self, now: int, number: int) -> bool:
        server = self.servers.get(number)
        return server is not None and server.refused > 0 and now < server.rest_until

    # ---- draw ----

    def _draw(self, now: int, item: Open) -> list[Server]:
        """Up to DRAW servers at random without replacement, of those that this request may go to."""
        pool = self._candidates(item)
        most = len(pool) if self._tight(now, item) else DRAW
        picked, suspect, hanging = list[Server](), list[Server](), list[Server]()
        for i in range(len(pool)):
            j = i + int(self.random() * (len(pool) - i))
            pool[i], pool[j] = pool[j], pool[i]
            server = pool[i]
            server.used += SMOOTH * (server.in_flight - server.used)
            if not self._allowed(now, item, server):
                continue
            if self._hangs(now, item, server):
                hanging.append(server)
            elif self._suspect(now, item, server):
                suspect.append(server)
            else:
                picked.append(server)
                if len(picked) == most:
                    break
        # A trouble of the whole fleet must not shut it out: more than half are never left aside.
        if picked and len(suspect) * 2 <= len(pool):
            return picked
        return (picked + suspect or hanging)[:DRAW]

    def _candidates(self, item: Open) -> list[Server]:
        """The pool, or for the repeat of a keyed request more: few servers drop it."""
        anchor = item.anchor()
        if anchor is None or item.klass.idempotency is not Idempotency.KEYED:
            return self.pool
        if len(self.fleet.entries) <= KEPT:
            return self.reach
        group = self.fleet.scope(item.klass.dedup_scope, anchor.server.entry)
        if len(group) > REPEAT_SAMPLE:
            group = sorted({group[int(self.random() * len(group))] for _ in range(REPEAT_SAMPLE)})
        return [self._meet(number) for number in group]

    def _hangs(self, now: int, item: Open, server: Server) -> bool:
        """Whether this class gets no answers there, whatever others get: left to the last."""
        lane = server.lanes[item.request.class_index]
        quiet = now - lane.quiet_since > HUNG * PATIENCE * self._expected(item)
        return lane.out > 0 and (lane.failures >= HUNG or quiet)

    def _suspect(self, now: int, item: Open, server: Server) -> bool:
        """A slow, stalled or hung server: left aside, so that it does not take the lone requests."""
        quiet = now - server.quiet_since  # slow lately: others first, it would be driven into a jam
        return (
            server.pace > GOOD_SHARE
            and quiet < item.klass.latency_target
            or (server.in_flight > 0 and quiet > PATIENCE * self._expected(item))
        )

    def _allowed(self, now: int, item: Open, server: Server) -> bool:
        if any(_same_process(attempt.server.entry, server.entry) for attempt in item.attempts):
            return False
        anchor = item.anchor()
        if anchor is not None and not self._drops_repeats(item.klass, anchor.server.entry, server.entry):
            return False
        # Prevents a class that hangs on some servers from feeding them: one trial after each rest.
        if now < server.lanes[item.request.class_index].rest_until:
            return False
        # Room prevents the jam in which every server holds more than it can finish in time.
        held = server.in_flight + self._left_there(now, server)
        return held < server.room and now >= server.rest_until and self._cold_room(now, server)

    def _drops_repeats(self, klass: RequestClass, first: ServerEntry, other: ServerEntry) -> bool:
        """Whether a server drops the repeat of a request that another was sent first."""
        if klass.idempotency is not Idempotency.KEYED or klass.dedup_scope is DedupScope.ALL:
            return True
        return first.zone == other.zone if klass.dedup_scope is DedupScope.ZONE else first.cell == other.cell

    def _left_there(self, now: int, server: Server) -> int:
        """Attempts that nobody waits for any more and that the server may still work on."""
        server.left = [until for until in server.left if until > now]
        return len(server.left)

    def _may_send(self, now: int, item: Open) -> bool:
        """Whether one more attempt breaks no rule, to a server that _allowed lets through."""
        if item.closed or item.streaming or len(item.attempts) >= self.settings.max_attempts:
            return False
        end = item.request.answer_deadline or item.request.deadline
        if not item.klass.late_worth_share:
            end = min(end, item.arrived + item.klass.latency_target)
        if now >= end or (item.live and not self.settings.copies_allowed):
            return False
        anchor = item.anchor()
        if anchor is None or item.klass.idempotency is Idempotency.SAFE:
            return True
        return item.klass.idempotency is Idempotency.KEYED and now < anchor.sent + item.klass.dedup_window

    # ---- idle ----

    def _idle(self, now: int, server: Server) -> bool:
        near = server.entry.zone == self.settings.zone
        if near and server.in_flight <= NEAR_MOST and server.heard and server.pace <= NEAR_PACE:
            return not self._says_busy(server)  # to wait behind another costs less here than to cross rooms
        if server.in_flight or not server.answered or not server.heard:
            return False  # heard: at a start all would read idle to everyone at once
        # Pace prevents many balancers, each with nothing there, from copying into a jam.
        return server.pace <= CALM and not self._says_busy(server)

    def _says_busy(self, server: Server) -> bool:
        report = server.report
        return report is not None and bool(report.queued or (report.utilization or 0.0) > BUSY)

    def _says_free(self, now: int, server: Server) -> bool:
        told = server.report is not None and server.report.utilization is not None
        recent = now - server.reported < self.settings.overload_window
        return told and recent and not self._says_busy(server)

    # ---- copy or lone send ----

    def on_request(self, now: int, request: Request) -> list[Action]:
        klass = self.settings.classes[request.class_index]
        item = self.open[request.id] = Open(request, klass, now, beyond=not self.shares.take(now, request))
        self.arrived += (
            not request.is_retry
        )  # retries would enlarge the pool, and fill every connection table
        growing = self.sweeps < 2 and len(self.pool) < len(self.fleet.ready)
        if growing and 2 * self.arrived >= MET * len(self.pool):
            self._choose_pool(now)  # many requests: a start with few servers would refuse some of them
        self.yielded *= 1 - SMOOTH
        # A jam of the whole pool: rooms of single servers learn too slowly where each is met seldom.
        if not request.is_retry:
            self.patience[request.class_index] = request.deadline - now
        if self.crowd > 0 and self._past_aim(item):
            self._give_up(now, item, "past-aim")  # it would take the place of one that can be in time
        elif self.random() < self.admit:
            self._place(now, item)
        else:
            self._give_up(now, item, "not-admitted")
        return self._done()

    def _past_aim(self, item: Open) -> bool:
        """Whether a retry's client first asked so long ago that no answer is in time any more.

        It waits as long as for a first try, unless that is not what is left of its time for all tries.
        """
        usual, left = self.patience[item.request.class_index], item.request.deadline - item.arrived
        if not item.request.is_retry or item.klass.late_worth_share or abs(left - usual) <= usual * TRY_SLACK:
            return False
        return item.klass.client_timeout - left > item.klass.latency_target

    def _place(self, now: int, item: Open) -> None:
        """RIQ for a request that has nothing out."""
        value = self.value[item.request.class_index] * (
            self.settings.over_quota_worth_share if item.beyond else 1.0
        )
        dear = self.crowd > value and not item.attempts
        drawn = [] if dear else self._draw(now, item)
        if now == item.arrived:  # those made to wait count as well placed: low classes alone are not starved
            # The fewer requests this instance sees, the more each weighs: a crowd lasts as long at any size.
            span = CROWD_SPAN * CROWD_FREE * self.arrivals  # none before they have been measured
            step = min(CROWD_MOST, max(CROWD_STEP, 1 / span)) if span else CROWD_STEP
            self.crowd = min(1.0, max(0.0, self.crowd + step * ((not drawn and not dear) - CROWD_FREE)))
        if not drawn:
            self._hold(now, item)
            return
        new = [s for s in drawn if not (s.heard or s.in_flight)]
        idle = [s for s in drawn if self._idle(now, s)]
        if self.random() * len(drawn) < len(new):
            idle = new[:1]  # first contact as often as by random choice: else the few heard first keep all
        idle.sort(key=lambda s: s.entry.zone != self.settings.zone)  # near before far, otherwise as drawn
        copies = 1  # unless idle servers are plenty: a copy would take one from the next request
        safe = item.klass.idempotency is Idempotency.SAFE and self.settings.copies_allowed
        empty = [s for s in idle if not s.in_flight]
        if safe and len(empty) * 2 > DRAW and self._others() < LONELY:
            idle, copies = empty, max(1, self.settings.max_attempts - 1 - len(item.attempts))
        if self._tight(now, item):
            # Idle enough is who is done in time behind what it has of ours: a quick one rather than a slow.
            idle = sorted((s for s in drawn if s.heard), key=lambda s: s.ratio * (1 + s.in_flight))
        idle = idle[:copies]
        for server in idle or [drawn[int(self.random() * len(drawn))]]:
            self._send(now, item, server)
        self._watch_over(now, item)

    def _tight(self, now: int, item: Open) -> bool:
        return item.request.deadline - now < TIGHT * self._expected(item)

    def _watch_over(self, now: int, item: Open) -> None:
        if item.klass.idempotency is not Idempotency.UNSAFE and self._may_send(now, item):
            wait = int(max(PATIENCE * self._expected(item), WAIT_SHARE * item.klass.latency_target))
            self.actions.append(SetTimer("r:" + item.request.id, now + wait))

    def _expected(self, item: Open) -> float:
        n, hint = item.request.class_index, item.request.cost_hint
        return self.usual[n] * (hint / self.hints[n] if hint and self.hints[n] else 1.0)

    def _copy_late(self, now: int, item: Open) -> None:
        """The delayed copy: prevents a stalled server from taking with it all that it holds."""
        if self._may_send(now, item):
            drawn = self._draw(now, item)
            copy = next((s for s in drawn if self._idle(now, s)), None)
            last = max(a.sent for a in item.attempts)
            if copy is None and now - last > OVERDUE * self._expected(item):  # its answer may be lost
                copy = next((s for s in drawn if s.pace <= CALM and not self._says_busy(s)), None)
            if copy is not None:
                self._send(now, item, copy)
            self._watch_over(now, item)

    def _send(self, now: int, item: Open, server: Server) -> None:
        bound = item.klass.idempotency is Idempotency.KEYED and item.anchor()
        begin_by = bound.sent + item.klass.dedup_window if bound else 0  # its connection may come up later
        item.attempts.append(Attempt(server, now))
        item.live += 1
        server.in_flight += 1
        if server.answered and server.in_flight == 1:
            server.quiet_since, server.answered = now, False
        server.credit -= 1
        lane = server.lanes[item.request.class_index]
        lane.out += 1
        if lane.out == 1:
            lane.quiet_since = now
        # Until the client's own deadline: called off at the aim, it would come back and be begun anew.
        self.actions.append(Send(item.request.id, server.entry.id, 0, begin_by))

    def _hold(self, now: int, item: Open) -> None:
        """Nowhere to go: look again soon, and answer before an answer stops being worth waiting for."""
        need = int(NEED * self._expected(item))  # what it will take: later than this it cannot be in time
        until = min(
            item.request.deadline - self.settings.min_call_interval,
            item.arrived + item.klass.latency_target - need,
        )
        if now >= until or not self._may_send(now, item):
            self._give_up(now, item, "no-room" if self._may_send(now, item) else "too-late")
            return
        again = now + int(item.klass.latency_target * HOLD_SHARE)
        self.actions.append(SetTimer("r:" + item.request.id, max(now + 1, min(again, until))))

    # ---- answer, cancel, retry ----

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        item = self.open.get(end.request_id)
        if (
            item is None
            or end.attempt_index >= len(item.attempts)
            or item.attempts[end.attempt_index].end is not None
        ):
            return []
        attempt = item.attempts[end.attempt_index]
        attempt.end = end.outcome
        self._count_end(attempt.server, f"{item.klass.name}/{end.outcome.name}", end.outcome)
        item.live -= 1
        self._learn(now, item, attempt.server, end)
        if end.request_closed and not item.closed:
            self._close(item)
        elif not item.closed and not item.live:
            if self._may_send(now, item):
                self._place(now, item)
            else:
                self._give_up(now, item, end.outcome.name)
        self._forget(item)
        return self._done()

    def on_stream_started(self, now: int, request_id: str, attempt: int) -> list[Action]:
        item = self.open.get(request_id)
        if item is not None and not item.closed:
            item.streaming = True
            self._cancel_others(item, attempt)
        return self._done()

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        item = self.open.get(request_id)
        if item is not None and not item.closed:
            self._close(item)
        return self._done()

    def _close(self, item: Open) -> None:
        item.closed = True
        self._cancel_others(item, -1)
        self._forget(item)

    def _cancel_others(self, item: Open, keep: int) -> None:
        out = [n for n, a in enumerate(item.attempts) if a.end is None and n != keep]
        self.actions += [Cancel(item.request.id, n) for n in out if self.settings.cancel_allowed]

    def _forget(self, item: Open) -> None:
        if item.closed and not item.live:
            self.open.pop(item.request.id, None)

    def _give_up(self, now: int, item: Open, why: str) -> None:
        """The final answer that no server gave: refused where that is true to the client, else failed."""
        _count(self.gave_up, f"{item.klass.name}/{why}")
        kind = item.klass.idempotency
        everywhere = kind is Idempotency.KEYED and item.klass.dedup_scope is DedupScope.ALL
        harmless = item.anchor() is None or kind is Idempotency.SAFE or everywhere
        rid = item.request.id
        self.actions.append(Refuse(rid, self._advice(now, item)) if harmless else Fail(rid))
        self._close(item)

    def _advice(self, now: int, item: Open) -> int:
        """When to come back: soon, while a retry can still be in time; later the fewer are let in."""
        wait = item.klass.latency_target * ADVICE_SHARE / self.admit
        late = (
            now + self.settings.min_call_interval >= item.arrived + item.klass.latency_target
            and not item.klass.late_worth_share
        )
        if late or self._past_aim(item):
            # No retry is in time any more, it would only take a server from those that are: not before
            # the time is over that the client waits for this one in all.
            wait = item.arrived + item.klass.client_timeout - now
        return int(min(wait, self.settings.max_retry_after))

    # ---- health ----

    def _learn(self, now: int, item: Open, server: Server, end: AttemptEnd) -> None:
        lane = server.lanes[item.request.class_index]
        self._judge_lane(now, item, lane, end)
        unanswered = end.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
        if not (unanswered and lane.failures >= HUNG and server.quiet_since > now - end.latency):
            self._judge(now, item, server, end)  # else this class alone hangs there: others had answers since
        server.in_flight -= 1
        if unanswered:  # work is heavy-tailed: what has run for so long may well run as long again
            server.left.append(now + end.latency)
        if end.load_report is not None:
            server.report, server.reported = end.load_report, now
        if end.outcome in ANSWERS:
            server.quiet_since, server.answered, server.refused = now, True, 0
        if end.outcome is Outcome.OK:
            server.heard = True
            server.credit += RETURNED  # it may do more than it must by now
            n = item.request.class_index
            server.ratio += PACE_SMOOTH * (min(end.latency / max(1, self.usual[n]), 4.0) - server.ratio)
            self.usual[n] += SMOOTH * (end.latency - self.usual[n])
            quicker = end.latency < self.least[n]
            self.least[n] += FALL * (end.latency - self.least[n]) if quicker else RISE * self.least[n]
            hint = item.request.cost_hint
            self.hints[n] += (SMOOTH if self.hints[n] else 1.0) * (hint - self.hints[n])
            self.yielded += SMOOTH

    def _judge_lane(self, now: int, item: Open, lane: Lane, end: AttemptEnd) -> None:
        lane.out -= 1
        if end.outcome in ANSWERS or end.outcome is Outcome.RESET:
            lane.quiet_since = now
        if end.outcome is Outcome.OK:
            lane.failures, lane.rest_until = 0, 0
        elif end.outcome in (Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
            lane.failures += 1
            if lane.failures >= HUNG:
                rest = item.klass.latency_target * 2 ** min(lane.failures - HUNG, LONGEST)
                lane.rest_until = now + int(rest * (0.5 + self.random()))

    def _judge(self, now: int, item: Open, server: Server, end: AttemptEnd) -> None:
        share = end.latency / item.klass.latency_target
        quick = share <= GOOD_SHARE
        if end.outcome is Outcome.OK or share > server.pace:
            server.pace += PACE_SMOOTH * (min(share, 2.0) - server.pace)
        stall = end.outcome in LATE and (quick or self._says_free(now, server))  # or withdrawn early
        if end.outcome in LATE and not stall:
            self.admit = max(LEAST_ADMIT, self.admit - ADMIT_DOWN)
        if end.outcome is Outcome.OK and quick:
            self.admit = min(1.0, self.admit + ADMIT_UP)
            waited = end.latency > self.easy * self.least[item.request.class_index]
            shown = server.used > USED * server.room or server.room < ROOM / self._sharers()
            full = server.in_flight > server.room - 1 and shown
            if full and not waited and not self._says_busy(server):
                # A room below one is a share of the time and grows in proportion, as it is cut, at any size.
                grow = GROW / self._sharers()
                server.room += min(max(REGROW, grow) * server.room, grow / server.room)
            elif waited and server.room < 1:
                server.rest_until = max(server.rest_until, now + int(end.latency * (1 / server.room - 1)))
        elif not stall and end.outcome is not Outcome.NOT_SENT:
            # Errors count like lateness: quick ones would else make the server look free.
            usual = self.usual[item.request.class_index]
            if now - server.cut_at >= usual:  # one slow spell shows on all attempts it held: it counts once
                server.cut_at = now
                server.room = max(LEAST_ROOM, server.room * CUT)
            rest = max(end.latency, usual) * (1 / server.room - 1)
            if end.outcome is Outcome.FULL:
                rest = max(rest, usual)  # its refusals come at once and would keep it the freest of all
            if end.outcome is Outcome.CONNECT_FAILED:
                # Dead, or its connections are all taken by others: left to them, for twice as long each time.
                rest = min(usual * 2**server.refused, item.klass.latency_target * 2**LONGEST) * (
                    0.5 + self.random()
                )
                server.refused = min(server.refused + 1, REFUSALS)
            # Less than one at a time: many balancers with one attempt each do not jam a server.
            server.rest_until = max(server.rest_until, now + int(rest))
            if server.refused:
                self._choose_pool(now)  # another takes its place at once

    # ---- cold budget ----

    def _cold(self, now: int, server: Server) -> bool:
        return server.entry.started_at > 0 and now < server.entry.started_at + self.settings.warm_up_time

    def _warmth(self, now: int, server: Server) -> float:
        """Least share of its capacity that a server has by now."""
        if not self._cold(now, server):
            return 1.0
        cold = self.settings.cold_capacity_share
        return cold + (1 - cold) * max(0, now - server.entry.started_at) / self.settings.warm_up_time

    def _cold_room(self, now: int, server: Server) -> bool:
        """Whether a cold server may be sent one more attempt: rule 4 over any number of balancers.

        Credit grows with each request, so that the server gets from each instance at most SAFETY x
        multiple x warmth of the work that one of its servers answers on average, and from all together no
        more than that part of what a whole one carries. A good answer returns a part of what its attempt
        took, since the server may bear more than it must: a small one, as the settings promise no more, and
        even if all attempts are answered there has to be room for chance. Credit starts at random, so that
        the instances take turns where the share of each is far below one attempt a window, and what is not
        used lapses.
        """
        if not self._cold(now, server):
            return True
        served = max(
            self.yielded, ROOM / self.settings.balancer_count
        )  # at least so much, or none would begin
        bears = SAFETY * self.settings.overload_multiple * self._warmth(now, server) * served
        bears *= server.entry.weight / self.fleet.mean_weight() / self.pool_capacity
        server.credit += bears * (self.arrived - server.credited)
        server.credited = self.arrived
        most = 1 + bears * self.arrivals * LAPSE
        if server.credit > most:
            server.credit = most if most > 2 else server.credit % 1
        return server.credit >= 1

    # ---- timers ----

    def on_timer(self, now: int, token: str) -> list[Action]:
        if token == "sweep":
            self._sweep(now)
            self.actions.append(SetTimer("sweep", now + int(self.settings.overload_window * SWEEP_SHARE)))
        elif token == "watch":
            self.actions.append(Watch())
        elif token.startswith("r:"):
            item = self.open.get(token[2:])
            if item is not None and not item.closed:
                (self._copy_late if item.live else self._place)(now, item)
        return self._done()

    def _sweep(self, now: int) -> None:
        self.sweeps += 1
        fresh = max(SMOOTH, 1 / max(1, self.sweeps - 1))  # before there is a mean to smooth, the plain mean
        self.arrivals += fresh * ((self.arrived - self.swept) / SWEEP_SHARE - self.arrivals)
        self.swept = self.arrived
        self._choose_pool(now)
        # Prevents rooms that grow through an overload, and all servers with them, from ending in a jam.
        # While servers warm up help is on its way, and larger rooms bridge the time until then.
        self.easy = EASY * (SOFTER if any(self._cold(now, s) for s in self.pool) else 1 - HARDER * self.crowd)
        self._weigh_classes()
        if self.sweeps % LOG_SWEEPS == 0:
            self._report(now)
        self._drop_servers(now)

    def _drop_servers(self, now: int) -> None:
        """Forget the servers that are gone, and the longest known outside the pool beyond KEPT."""
        pool = {server.entry.id for server in self.pool}
        outside = [n for n, s in self.servers.items() if n not in pool and not s.in_flight]
        gone = [n for n in outside if self.servers[n].entry.state is ServerState.GONE]
        listed = [n for n in outside if self.servers[n].entry.state is not ServerState.GONE]
        for number in gone:
            if not self._cold(now, self.servers[number]):
                del self.servers[number]
        for number in listed[:-KEPT]:
            if not self._state_matters(now, self.servers[number]):
                del self.servers[number]

    def _state_matters(self, now: int, server: Server) -> bool:
        """Whether a server that is met anew without its state could be sent more than is due."""
        spent = server.quiet_since > 0 and self._cold(now, server)  # credit, by attempts sent to it
        resting = now < max(server.rest_until, *(lane.rest_until for lane in server.lanes))
        return spent or resting or self._left_there(now, server) > 0

    def _weigh_classes(self) -> None:
        """Worth of each class per work; where the worst class counts much, none is worth giving up."""
        worths = [max(c.worth, 1e-9) for c in self.settings.classes]
        costs = [1.0 if self.settings.worth_per_work_unit else u for u in self.usual[: len(worths)]]
        per_work = [w / c * sum(costs) / sum(worths) for w, c in zip(worths, costs, strict=True)]
        fair = self.settings.worst_class_weight * len(worths)
        self.value[: len(worths)] = [min(1.0, (v + fair) / max(per_work)) for v in per_work]

    def _report(self, now: int) -> None:
        """The state by which requests are let in, held and placed, for those who run this."""
        self.actions.append(
            Log(
                f"requests {self.arrived} admit {self.admit:.2f} crowd {self.crowd:.2f} "
                f"open {len(self.open)} failed watches {self.watch_failures} "
                f"gave up {_counts_text(self.gave_up)}"
            )
        )
        self._report_servers(now)
        self.gave_up.clear()

    def _count_end(self, server: Server, name: str, outcome: Outcome) -> None:
        _count(self.ends, name)
        _count(server.ends, name)
        server.failures += outcome not in BLAMELESS

    def _report_servers(self, now: int) -> None:
        """All servers as counts, and by name only the worst of those met: however many there are."""
        known = self.servers.values()
        listed, ready = len(self.fleet.entries), len(self.fleet.ready)
        cold = sum(self._cold(now, s) for s in known)
        resting = sum(now < s.rest_until for s in known)
        unreachable = sum(self._unreachable(now, n) for n in self.servers)
        slow = sum(s.pace > GOOD_SHARE for s in known)
        self.actions.append(
            Log(
                f"servers {listed} ready {ready} draining {listed - ready} pool {len(self.pool)} "
                f"known {len(known)} cold {cold} resting {resting} unreachable {unreachable} slow {slow} "
                f"room {sum(s.room for s in known):.2f} out {sum(s.in_flight for s in known)} "
                f"failing {sum(s.failures > 0 for s in known)} ends {_counts_text(self.ends)}"
            )
        )
        for s in sorted(known, key=lambda s: (-s.failures, -s.pace, s.entry.id))[:REPORTED]:
            self.actions.append(
                Log(
                    f"server {s.entry.id:x} zone {s.entry.zone} room {s.room:.2f} "
                    f"out {s.in_flight} pace {s.pace:.2f} ends {_counts_text(s.ends)}"
                )
            )
        for s in known:
            s.ends.clear()
            s.failures = 0
        self.ends.clear()
