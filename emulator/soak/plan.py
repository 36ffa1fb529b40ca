"""What one run of a soak does, drawn from its seed alone."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from random import Random
from typing import Any

from emulator.faults.proxy import UNTOUCHED, Tampering
from emulator.faults.shim import (
    SHORT_TRANSFER,
    TRANSIENT_ERRORS_BY_CALL,
    ClockStep,
    FaultRule,
    Faults,
    SystemCall,
    fail_with,
    stall_for,
)
from emulator.soak.clients import CLASSES, Habits
from emulator.soak.records import Effect
from emulator.soak.rules import Terms
from emulator.soak.servers import Mode

NS_PER_S = 1_000_000_000
HOUR_S = 3600
MOST_CLIENTS = 120  # more would make the recorder itself late
LARGE_SHARE = 0.04  # of the seeds play with up to thirty balancers
KILL_AFTER_S = 0.7  # beyond the longest deadline, which counts for 3 s at the most
MOST_DEADLINE_S = 3.0
LOAD = 0.7  # of what all servers together are good for
HOLD_S = 0.14  # that a process gets no processor time for at any moment; terms allow 0.15
HOLDS = 6  # of each balancer, beside one over SIGTERM and one over the last moments before SIGKILL
HOLD_MS = 90  # that it is held up at a reading of its clock, as often as the share below says
HOLD_SHARE = 0.0004
CALL_SHARES = (0.01, 0.1, 0.3)
FAULTY_CALLS = (
    SystemCall.ACCEPT,
    SystemCall.SOCKET,
    SystemCall.CONNECT,
    SystemCall.RECV,
    SystemCall.SEND,
    SystemCall.WAIT,
)


class Action(enum.Enum):
    """What happens at one moment of a run."""

    HANG_UP = "SIGHUP to another discovery address"
    RESTART = "SIGTERM, SIGKILL at its earliest, and a new process"
    KILL = "SIGKILL outright, and a new process"
    HOLD = "a process gets no processor time for a moment"
    MODE = "a server behaves differently"
    DRAIN = "a server drains, and a cold one replaces it"
    SILENCE = "discovery is silent"
    RESET_WATCHES = "open calls to discovery are reset"
    LATE_LISTS = "discovery is late"


@dataclass(frozen=True, slots=True)
class Event:
    """One action; which of balancer, server, mode and seconds count is the action's to say."""

    at_s: float
    action: Action
    balancer: int = 0
    server: int = 0
    mode: Mode = Mode.SOUND
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One run."""

    seed: int
    seconds: float
    balancers: int
    servers: int
    pushed: bool
    mean_work_s: float
    server_rate: float  # requests a second that a warm server is good for
    terms: Terms
    habits: Habits
    events: tuple[Event, ...]
    client_network: Tampering  # of either direction between clients and balancers
    server_network: tuple[Tampering, ...]  # of the way back from each server
    faults: tuple[Faults, ...] = field(default=())  # of each balancer's processes

    def settings(self) -> dict[str, Any]:
        """The settings as the protocol words them."""
        terms = self.terms
        return {
            "az": 0,
            "balancers": self.balancers,
            "discovery": "push" if self.pushed else "ask",
            "stepNs": 2_000_000,
            "failureDomains": ["a"],
            "kinds": ["m"],
            "report": {"fields": [], "how": "none"},
            "parties": [{"name": "acme", "quotaPerS": 100_000.0}],
            "overShareWorth": 0.2,
            "bounds": {
                "cancelling": True,
                "maxAttempts": terms.attempt_limit,
                "secondCopies": True,
                "retryAfter": True,
                "maxRetryAfterNs": 750_000_000,
                "keepaliveNs": 4 * NS_PER_S,
                "connectTimeoutNs": NS_PER_S // 4,
            },
            "obligations": {
                "answerSlackNs": 8_000_000,
                "askEveryNs": 10 * NS_PER_S,
                "coldFrom": terms.cold_share,
                "coldNs": int(terms.cold_s * NS_PER_S),
                "drainGraceNs": int(terms.drain_grace_s * NS_PER_S),
                "fallNs": int(terms.overload_window_s * NS_PER_S),
                "tipMultiple": terms.overload_multiple,
            },
            "services": [self._service(effect) for effect in Effect],
        }

    def _service(self, effect: Effect) -> dict[str, Any]:
        deadline_s = self.habits.patiences_s[effect]
        return {
            "name": CLASSES[effect],
            "goalTimeNs": int(deadline_s / 2 * NS_PER_S),
            "deadlineNs": int(deadline_s * NS_PER_S),
            "worth": 1.0,
            "idempotency": effect.value,
            "group": "all",
            "windowNs": int(self.terms.window_s * NS_PER_S),
            "lateShare": 0.2,
        }

    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        return _kill_after_s(self.terms)


def _kill_after_s(terms: Terms) -> float:
    return min(terms.longest_deadline_s, MOST_DEADLINE_S) + KILL_AFTER_S


def draw_plan(seed: int, seconds: float) -> Plan:
    """The run of this seed."""
    random = Random(f"soak/{seed}")
    balancers = random.randint(15, 30) if random.random() < LARGE_SHARE else random.randint(2, 5)
    servers = random.randint(5, 9)
    patiences = {effect: random.uniform(0.4, 1.2) for effect in Effect}
    terms = Terms(
        longest_deadline_s=max(patiences.values()),
        drain_grace_s=random.uniform(0.25, 0.6),
        window_s=random.uniform(0.5, 2.0),
        cold_share=random.uniform(0.05, 0.25),
        cold_s=random.uniform(6.0, 12.0),
        overload_multiple=random.uniform(1.2, 2.0),
        overload_window_s=3.0,
        attempt_limit=random.randint(2, 4),
    )
    clients = min(random.randint(12, 25) * balancers, MOST_CLIENTS)
    think_s = random.uniform(0.1, 0.4)
    mean_work_s = random.uniform(0.01, 0.04)
    habits = Habits(
        count=clients,
        think_s=think_s,
        leave_share=random.uniform(0.0, 0.15),
        piece_share=random.uniform(0.0, 0.3),
        idle_count=random.choice([0, 0, 20, 150]),
        patiences_s=patiences,
    )
    return Plan(
        seed=seed,
        seconds=seconds,
        balancers=balancers,
        servers=servers,
        pushed=random.random() < 0.5,
        mean_work_s=mean_work_s,
        server_rate=clients / (think_s + mean_work_s) / servers / LOAD,
        terms=terms,
        habits=habits,
        events=_draw_events(random, seconds, balancers, servers, _kill_after_s(terms)),
        client_network=Tampering(split_share=random.choice([0.0, 0.1])),
        server_network=tuple(_draw_network(random) for _ in range(servers)),
        faults=tuple(_draw_faults(random, seed * 1000 + number) for number in range(balancers)),
    )


def _draw_events(
    random: Random, seconds: float, balancers: int, servers: int, kill_after_s: float
) -> tuple[Event, ...]:
    events: list[Event] = []
    for balancer in random.sample(range(balancers), max(1, balancers // 2)):
        at_s = random.uniform(0.1, 0.6) * seconds
        action = random.choice([Action.RESTART, Action.RESTART, Action.RESTART, Action.KILL])
        events.append(Event(at_s, action, balancer=balancer))
        if action is Action.RESTART:
            end_s = at_s + kill_after_s - random.uniform(0.02, 0.5)
            events += [Event(moment, Action.HOLD, balancer=balancer) for moment in (at_s - 0.01, end_s)]
        events += [  # close together, in any order
            Event(at_s + random.uniform(-0.3, 1.0), Action.HANG_UP, balancer=balancer)
            for _ in range(random.randint(0, 3))
        ]
    for balancer in range(balancers):
        moments = [random.uniform(0.0, 0.9) * seconds for _ in range(HOLDS)]
        events += [Event(at_s, Action.HOLD, balancer=balancer) for at_s in moments]
    for server in random.sample(range(servers), servers // 2):
        at_s = random.uniform(0.05, 0.7) * seconds
        mode = random.choice([mode for mode in Mode if mode is not Mode.SOUND])
        events.append(Event(at_s, Action.MODE, server=server, mode=mode))
        events.append(Event(at_s + random.uniform(1.0, 4.0), Action.MODE, server=server))
    for server in random.sample(range(servers), random.randint(1, servers // 3)):
        events.append(Event(random.uniform(0.1, 0.5) * seconds, Action.DRAIN, server=server))
    for action in (Action.SILENCE, Action.RESET_WATCHES, Action.LATE_LISTS):
        if random.random() < 0.5:
            at_s = random.uniform(0.1, 0.6) * seconds
            events.append(Event(at_s, action, seconds=random.uniform(0.5, 3.0)))
    return tuple(sorted(events, key=lambda event: event.at_s))


def _draw_network(random: Random) -> Tampering:
    """The way back from one server: as it should be, for half of them."""
    if random.random() < 0.5:
        return UNTOUCHED
    return Tampering(
        delay_s=random.uniform(0.0, 0.005),
        split_share=random.choice([0.0, 0.3]),
        cut_share=random.choice([0.0, 0.02]),
        reset_share=random.choice([0.0, 0.02]),
    )


def _draw_faults(random: Random, seed: int) -> Faults:
    """What the shim does to the processes of one balancer: nothing, to a third of them."""
    rules: list[FaultRule] = []
    clock_steps: list[ClockStep] = []
    if random.random() < 0.67:
        for call in random.sample(FAULTY_CALLS, random.randint(1, 3)):
            share = random.choice(CALL_SHARES)
            rules += [
                FaultRule(call, fail_with(error), share / 3)
                for error in random.sample(TRANSIENT_ERRORS_BY_CALL[call], 1)
            ]
        for call in (SystemCall.RECV, SystemCall.SEND):
            if random.random() < 0.2:
                rules.append(FaultRule(call, SHORT_TRANSFER, 0.02))
        if random.random() < 0.4:
            rules.append(FaultRule(SystemCall.CLOCK, stall_for(HOLD_MS), HOLD_SHARE, max_faults=20))
    if random.random() < 0.5:
        off_s = random.choice([-HOUR_S, -5, 5, HOUR_S])
        clock_steps.append(ClockStep(random.choice([0, random.randint(1000, 6000)]), off_s))
    return Faults(seed, tuple(rules), tuple(clock_steps))
