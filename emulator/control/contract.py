"""What the processes of one run agree on: addresses, first lines, commands and reports.

Each process gets its configuration as one JSON line on its standard input and commands as further lines. It
prints reports as JSON lines and ends by itself when its standard input ends.
"""

from __future__ import annotations

from typing import Any

import msgspec

from emulator.fleet.contract import Address, loopback

MACHINE_BLOCK, AGENT_BLOCK, BALANCER_BLOCK = 67, 68, 69  # second bytes of the loopback addresses


class AddressPlan(msgspec.Struct, frozen=True):
    """Ports chosen free by the supervisor; the rest follows from a member's number."""

    machine_port: int
    agent_port: int
    balancer_port: int

    def machine_address(self, number: int) -> Address:
        """Where control machine `number` listens."""
        return loopback(MACHINE_BLOCK, number, self.machine_port)

    def agent_address(self, balancer: int) -> Address:
        """Where the agent on the machine of this balancer listens."""
        return loopback(AGENT_BLOCK, balancer, self.agent_port)

    def balancer_address(self, number: int) -> Address:
        """Where a real balancer listens."""
        return loopback(BALANCER_BLOCK, number, self.balancer_port)


# ---- configurations ----


class MachineConfig(msgspec.Struct, frozen=True):
    """Of one control machine."""

    index: int
    machines: int
    addresses: AddressPlan
    log_path: str
    seed: int
    crash_after: int = 0  # end the process at this fault point of the log; 0: never


class AgentsConfig(msgspec.Struct, frozen=True):
    """Of the process that hosts all agents."""

    regions: list[list[int]]  # the balancers of each region
    machines: int
    addresses: AddressPlan
    seed: int


class HollowConfig(msgspec.Struct, frozen=True):
    """Of a process with hollow balancers."""

    index: int
    balancers: list[int]
    settings: dict[str, Any]  # version 0: what their configuration files hold
    addresses: AddressPlan
    requests_per_s: float  # of each balancer; 0: none
    seed: int


class RealConfig(msgspec.Struct, frozen=True):
    """Of the process that keeps the real balancers."""

    balancers: list[int]
    settings: dict[str, Any]  # version 0
    addresses: AddressPlan
    discovery_port: int
    seed: int


class TrafficConfig(msgspec.Struct, frozen=True):
    """Of the process with photo servers, their discovery and the clients of the real balancers."""

    balancers: list[int]
    addresses: AddressPlan
    servers: int
    requests_per_s: float  # to each balancer
    seed: int


# ---- commands ----


class Cut(msgspec.Struct, frozen=True, tag=True):
    """To a machine: the machines that it can't reach from now on."""

    machines: list[int]


class Reach(msgspec.Struct, frozen=True, tag=True):
    """To the agents: the machines that those of each region can reach from now on."""

    machines: list[list[int]]


class Restart(msgspec.Struct, frozen=True, tag=True):
    """To a process with hollow balancers: these are killed and start again."""

    balancers: list[int]


class Begin(msgspec.Struct, frozen=True, tag=True):
    """To the traffic process: all balancers are ready, the clients may come."""


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Stop the traffic, report the totals."""


class Measure(msgspec.Struct, frozen=True, tag=True):
    """Report the totals so far and go on."""


Command = Cut | Reach | Restart | Begin | Finish | Measure


# ---- reports ----


class Ready(msgspec.Struct, frozen=True, tag=True):
    """The process listens."""

    discovery_port: int = 0  # of the traffic process


class InForce(msgspec.Struct, frozen=True, tag=True):
    """A balancer has put a version into force."""

    balancer: int
    version: int
    at_ns: int  # on the monotonic clock of this machine


class Started(msgspec.Struct, frozen=True, tag=True):
    """A balancer begins to serve, on this version."""

    balancer: int
    version: int
    at_ns: int


class TurnedDown(msgspec.Struct, frozen=True, tag=True):
    """A balancer has turned a version down."""

    balancer: int
    version: int
    reason: str


class RequestFailed(msgspec.Struct, frozen=True, tag=True):
    """A request was refused, failed or lost."""

    balancer: int
    what: str
    after_ms: float


class AgentTotals(msgspec.Struct, frozen=True, tag=True):
    """Bytes between all balancers and their agents."""

    to_agents: int
    to_balancers: int


class RequestTotals(msgspec.Struct, frozen=True, tag=True):
    """What became of all requests of one process."""

    requests: int
    served: int
    refused: int
    failed: int
    lost: int  # without a whole answer
    repeated: int  # unsafe ones that reached servers twice
    restarted: int = 0  # open at a balancer that was killed


Report = Ready | InForce | Started | TurnedDown | RequestFailed | AgentTotals | RequestTotals
