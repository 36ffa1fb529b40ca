"""The plan of one soak run, which depends on its seed and length alone."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from random import Random
from typing import Any

from emulator.faults.proxy import NO_STREAM_FAULTS, StreamFaults
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
from emulator.soak.clients import CLASS_NAMES, ClientProfile
from emulator.soak.records import Idempotency
from emulator.soak.rules import ProtocolLimits
from emulator.soak.servers import ServerMode

NS_PER_S = 1_000_000_000
HOUR_S = 3600
MAX_CLIENTS = 120  # more would delay the process that runs and records them
LARGE_FLEET_SHARE = 0.04  # share of the seeds whose runs have 15 to 30 balancers
EXTRA_SIGKILL_DELAY_S = 0.7  # from SIGTERM to the earliest SIGKILL, in addition to the longest client timeout
MAX_COUNTED_CLIENT_TIMEOUT_S = 3.0  # a longer client timeout does not delay SIGKILL further
SLOW_DISCOVERY_SHARE = 0.4  # share of the seeds with a discovery that responds late
SLOW_DISCOVERY_DELAYS_S = (0.05, 2.0)
LOAD_SHARE = 0.7  # load as a share of the capacity of all servers
STALL_S = 0.14  # length of a stall, which may come at any moment; a balancer has to cope with 0.15 s
STALLS_PER_BALANCER = 6  # besides one during SIGTERM and one just before SIGKILL
CLOCK_STALL_MS = 90  # length of a stall that the shim injects after a reading of the clock
CLOCK_STALL_SHARE = 0.0004  # share of the readings of the clock with a stall
# One is drawn for each faulty call; a third of it is the share of the call's uses that fail.
CALL_FAULT_SHARES = (0.01, 0.1, 0.3)
FAULTY_CALLS = (
    SystemCall.ACCEPT,
    SystemCall.SOCKET,
    SystemCall.CONNECT,
    SystemCall.RECV,
    SystemCall.SEND,
    SystemCall.WAIT,
)


class Action(enum.Enum):
    """What an event of a run does."""

    SWITCH_DISCOVERY = "SIGHUP to another discovery address"
    RESTART = "SIGTERM, SIGKILL at its earliest, and a new process"
    KILL = "SIGKILL outright, and a new process"
    STALL = "a process gets no processor time for a moment"
    SET_SERVER_MODE = "a server behaves differently"
    DRAIN_SERVER = "a server drains, and a cold one replaces it"
    SILENCE_DISCOVERY = "discovery is silent"
    RESET_DISCOVERY_CALLS = "open calls to discovery are reset"
    DELAY_LISTS = "discovery is late"
    SLOW_DISCOVERY = "discovery responds late to each call from now on"


@dataclass(frozen=True, slots=True)
class Event:
    """An action at a time; the action determines which of the other fields apply."""

    at_s: float
    action: Action
    balancer_index: int = 0
    server_index: int = 0
    mode: ServerMode = ServerMode.NORMAL
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one run."""

    seed: int
    seconds: float  # length of the run
    balancer_count: int
    server_count: int
    push_mode: bool  # whether discovery pushes lists; otherwise balancers ask for them
    mean_work_s: float  # of a server, for one request
    warm_server_requests_per_s: float  # capacity of a warm server
    limits: ProtocolLimits
    client_profile: ClientProfile
    events: tuple[Event, ...]
    client_network_faults: StreamFaults  # in each direction between clients and balancers
    server_response_faults: tuple[StreamFaults, ...]  # of each server
    process_faults: tuple[Faults, ...] = field(default=())  # for the processes of each balancer

    def build_settings(self) -> dict[str, Any]:
        """Return the settings in the format of the protocol."""
        limits = self.limits
        return {
            "az": 0,
            "balancers": self.balancer_count,
            "discovery": "push" if self.push_mode else "ask",
            "stepNs": 2_000_000,
            "failureDomains": ["a"],
            "kinds": ["m"],
            "report": {"fields": [], "how": "none"},
            "parties": [{"name": "acme", "quotaPerS": 100_000.0}],
            "overShareWorth": 0.2,
            "bounds": {
                "cancelling": True,
                "maxAttempts": limits.max_attempts,
                "secondCopies": True,
                "retryAfter": True,
                "maxRetryAfterNs": 750_000_000,
                "keepaliveNs": 4 * NS_PER_S,
                "connectTimeoutNs": NS_PER_S // 4,
            },
            "obligations": {
                "answerSlackNs": 8_000_000,
                "askEveryNs": 10 * NS_PER_S,
                "coldFrom": limits.cold_capacity_share,
                "coldNs": int(limits.warm_up_s * NS_PER_S),
                "drainGraceNs": int(limits.drain_grace_s * NS_PER_S),
                "fallNs": int(limits.overload_window_s * NS_PER_S),
                "tipMultiple": limits.overload_multiple,
            },
            "services": [self._build_service(idempotency) for idempotency in Idempotency],
        }

    def _build_service(self, idempotency: Idempotency) -> dict[str, Any]:
        client_timeout_s = self.client_profile.client_timeouts_s[idempotency]
        return {
            "name": CLASS_NAMES[idempotency],
            "goalTimeNs": int(client_timeout_s / 2 * NS_PER_S),
            "deadlineNs": int(client_timeout_s * NS_PER_S),
            "worth": 1.0,
            "idempotency": idempotency.value,
            "group": "all",
            "windowNs": int(self.limits.dedup_window_s * NS_PER_S),
            "lateShare": 0.2,
        }

    def sigkill_delay_s(self) -> float:
        """Return the seconds from SIGTERM to the earliest SIGKILL."""
        return _sigkill_delay_s(self.limits)


def _sigkill_delay_s(limits: ProtocolLimits) -> float:
    return min(limits.longest_client_timeout_s, MAX_COUNTED_CLIENT_TIMEOUT_S) + EXTRA_SIGKILL_DELAY_S


def draw_plan(seed: int, seconds: float) -> Plan:
    """Draw the plan of a run of `seconds` from its seed."""
    random = Random(f"soak/{seed}")
    balancer_count = random.randint(15, 30) if random.random() < LARGE_FLEET_SHARE else random.randint(2, 5)
    server_count = random.randint(5, 9)
    client_timeouts_s = {idempotency: random.uniform(0.4, 1.2) for idempotency in Idempotency}
    limits = ProtocolLimits(
        longest_client_timeout_s=max(client_timeouts_s.values()),
        drain_grace_s=random.uniform(0.25, 0.6),
        dedup_window_s=random.uniform(0.5, 2.0),
        cold_capacity_share=random.uniform(0.05, 0.25),
        warm_up_s=random.uniform(6.0, 12.0),
        overload_multiple=random.uniform(1.2, 2.0),
        overload_window_s=3.0,
        max_attempts=random.randint(2, 4),
    )
    client_count = min(random.randint(12, 25) * balancer_count, MAX_CLIENTS)
    mean_think_time_s = random.uniform(0.1, 0.4)
    mean_work_s = random.uniform(0.01, 0.04)
    client_profile = ClientProfile(
        client_count=client_count,
        mean_think_time_s=mean_think_time_s,
        abandon_share=random.uniform(0.0, 0.15),
        split_write_share=random.uniform(0.0, 0.3),
        idle_client_count=random.choice([0, 0, 20, 150]),
        client_timeouts_s=client_timeouts_s,
    )
    return Plan(
        seed=seed,
        seconds=seconds,
        balancer_count=balancer_count,
        server_count=server_count,
        push_mode=random.random() < 0.5,
        mean_work_s=mean_work_s,
        warm_server_requests_per_s=client_count
        / (mean_think_time_s + mean_work_s)
        / server_count
        / LOAD_SHARE,
        limits=limits,
        client_profile=client_profile,
        events=_in_order(
            _draw_events(random, seconds, balancer_count, server_count, _sigkill_delay_s(limits))
            + _draw_slow_discovery(Random(f"soak slow discovery/{seed}"), seconds)
        ),
        client_network_faults=StreamFaults(split_share=random.choice([0.0, 0.1])),
        server_response_faults=tuple(_draw_response_faults(random) for _ in range(server_count)),
        process_faults=tuple(
            _draw_process_faults(random, seed * 1000 + index) for index in range(balancer_count)
        ),
    )


def _draw_events(
    random: Random, seconds: float, balancer_count: int, server_count: int, sigkill_delay_s: float
) -> list[Event]:
    events: list[Event] = []
    for balancer_index in random.sample(range(balancer_count), max(1, balancer_count // 2)):
        at_s = random.uniform(0.1, 0.6) * seconds
        action = random.choice([Action.RESTART, Action.RESTART, Action.RESTART, Action.KILL])
        events.append(Event(at_s, action, balancer_index=balancer_index))
        if action is Action.RESTART:
            before_sigkill_s = at_s + sigkill_delay_s - random.uniform(0.02, 0.5)
            events += [
                Event(stall_at_s, Action.STALL, balancer_index=balancer_index)
                for stall_at_s in (at_s - 0.01, before_sigkill_s)
            ]
        events += [  # close together and in any order
            Event(at_s + random.uniform(-0.3, 1.0), Action.SWITCH_DISCOVERY, balancer_index=balancer_index)
            for _ in range(random.randint(0, 3))
        ]
    for balancer_index in range(balancer_count):
        stall_times_s = [random.uniform(0.0, 0.9) * seconds for _ in range(STALLS_PER_BALANCER)]
        events += [Event(at_s, Action.STALL, balancer_index=balancer_index) for at_s in stall_times_s]
    for server_index in random.sample(range(server_count), server_count // 2):
        at_s = random.uniform(0.05, 0.7) * seconds
        mode = random.choice([mode for mode in ServerMode if mode is not ServerMode.NORMAL])
        events.append(Event(at_s, Action.SET_SERVER_MODE, server_index=server_index, mode=mode))
        events.append(
            Event(at_s + random.uniform(1.0, 4.0), Action.SET_SERVER_MODE, server_index=server_index)
        )
    for server_index in random.sample(range(server_count), random.randint(1, server_count // 3)):
        events.append(
            Event(random.uniform(0.1, 0.5) * seconds, Action.DRAIN_SERVER, server_index=server_index)
        )
    for action in (Action.SILENCE_DISCOVERY, Action.RESET_DISCOVERY_CALLS, Action.DELAY_LISTS):
        if random.random() < 0.5:
            at_s = random.uniform(0.1, 0.6) * seconds
            events.append(Event(at_s, action, seconds=random.uniform(0.5, 3.0)))
    return events


def _draw_slow_discovery(random: Random, seconds: float) -> list[Event]:
    """Draw from a source of its own, so that all other draws of a seed are as they were without it."""
    if random.random() >= SLOW_DISCOVERY_SHARE:
        return []
    delay_s = random.uniform(*SLOW_DISCOVERY_DELAYS_S)
    return [Event(random.uniform(0.0, 0.4) * seconds, Action.SLOW_DISCOVERY, seconds=delay_s)]


def _in_order(events: list[Event]) -> tuple[Event, ...]:
    return tuple(sorted(events, key=lambda event: event.at_s))


def _draw_response_faults(random: Random) -> StreamFaults:
    """Draw the faults of the responses of one server: none for half of the servers."""
    if random.random() < 0.5:
        return NO_STREAM_FAULTS
    return StreamFaults(
        delay_s=random.uniform(0.0, 0.005),
        split_share=random.choice([0.0, 0.3]),
        truncate_share=random.choice([0.0, 0.02]),
        reset_share=random.choice([0.0, 0.02]),
    )


def _draw_process_faults(random: Random, seed: int) -> Faults:
    """Draw the faults that the shim injects into the processes of one balancer.

    A third of the balancers have no failing, short or stalled calls; half of them have no clock steps.
    """
    rules: list[FaultRule] = []
    clock_steps: list[ClockStep] = []
    if random.random() < 0.67:
        for call in random.sample(FAULTY_CALLS, random.randint(1, 3)):
            share = random.choice(CALL_FAULT_SHARES)
            rules += [
                FaultRule(call, fail_with(error), share / 3)
                for error in random.sample(TRANSIENT_ERRORS_BY_CALL[call], 1)
            ]
        for call in (SystemCall.RECV, SystemCall.SEND):
            if random.random() < 0.2:
                rules.append(FaultRule(call, SHORT_TRANSFER, 0.02))
        if random.random() < 0.4:
            rules.append(
                FaultRule(SystemCall.CLOCK, stall_for(CLOCK_STALL_MS), CLOCK_STALL_SHARE, max_faults=20)
            )
    if random.random() < 0.5:
        offset_s = random.choice([-HOUR_S, -5, 5, HOUR_S])
        clock_steps.append(ClockStep(random.choice([0, random.randint(1000, 6000)]), offset_s))
    return Faults(seed, tuple(rules), tuple(clock_steps))
