"""The definitions that the processes of one run share: addresses, configurations, commands and reports.

Each process reads its configuration as one line of JSON from its standard input and commands as further
lines. It writes reports as lines of JSON to its standard output and ends when its standard input ends.
"""

from __future__ import annotations

from typing import Any

import msgspec

from emulator.fleet.contract import Address, loopback_address

# Second bytes of the loopback addresses.
MACHINE_ADDRESS_BLOCK = 67
AGENT_ADDRESS_BLOCK = 68
BALANCER_ADDRESS_BLOCK = 69


class AddressPlan(msgspec.Struct, frozen=True):
    """Derives each address from an index and from a free port that the supervisor has found."""

    machine_port: int
    agent_port: int
    balancer_port: int

    def machine_address(self, index: int) -> Address:
        """Return the address on which this control machine listens."""
        return loopback_address(MACHINE_ADDRESS_BLOCK, index, self.machine_port)

    def agent_address(self, balancer: int) -> Address:
        """Return the address on which the agent of this balancer listens."""
        return loopback_address(AGENT_ADDRESS_BLOCK, balancer, self.agent_port)

    def balancer_address(self, index: int) -> Address:
        """Return the address on which this real balancer listens."""
        return loopback_address(BALANCER_ADDRESS_BLOCK, index, self.balancer_port)


# ---- configurations ----


class MachineConfig(msgspec.Struct, frozen=True):
    """Configuration of one control machine."""

    index: int
    machines: int
    addresses: AddressPlan
    log_path: str
    seed: int
    crash_after: int = 0  # fault point of the log, counted from 1, at which the process ends; 0: none


class AgentsConfig(msgspec.Struct, frozen=True):
    """Configuration of the process that runs all agents."""

    regions: list[list[int]]  # the balancers, by region
    machines: int
    addresses: AddressPlan
    seed: int


class HollowConfig(msgspec.Struct, frozen=True):
    """Configuration of a process with hollow balancers."""

    index: int
    balancers: list[int]
    settings: dict[str, Any]  # version 0, the content of their configuration files
    addresses: AddressPlan
    requests_per_s: float  # at each balancer; 0: no requests
    seed: int


class RealConfig(msgspec.Struct, frozen=True):
    """Configuration of the process that runs the real balancers as its children."""

    balancers: list[int]
    settings: dict[str, Any]  # version 0
    addresses: AddressPlan
    discovery_port: int
    seed: int


class TrafficConfig(msgspec.Struct, frozen=True):
    """Configuration of the process with the photo servers, discovery and the clients of real balancers."""

    balancers: list[int]
    addresses: AddressPlan
    servers: int
    requests_per_s: float  # at each balancer
    seed: int


# ---- commands ----


class Cut(msgspec.Struct, frozen=True, tag=True):
    """To a control machine: the machines from which it is cut off now; replaces the previous list."""

    machines: list[int]


class Reach(msgspec.Struct, frozen=True, tag=True):
    """To the agents: the control machines that the agents of each region can reach now."""

    machines: list[list[int]]


class Restart(msgspec.Struct, frozen=True, tag=True):
    """To a process with balancers: restart these."""

    balancers: list[int]


class Begin(msgspec.Struct, frozen=True, tag=True):
    """To the traffic process: start the clients, as all balancers are ready."""


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Stop the traffic and report the totals."""


class Measure(msgspec.Struct, frozen=True, tag=True):
    """Report the totals so far and continue."""


Command = Cut | Reach | Restart | Begin | Finish | Measure


# ---- reports ----


class Ready(msgspec.Struct, frozen=True, tag=True):
    """The process is ready for commands and connections."""

    discovery_port: int = 0  # of the traffic process


class InForce(msgspec.Struct, frozen=True, tag=True):
    """A balancer has applied a version, which is now in force."""

    balancer: int
    version: int
    at_ns: int  # on the monotonic clock, which all processes of a machine share


class Started(msgspec.Struct, frozen=True, tag=True):
    """A balancer starts to serve, with this version in force."""

    balancer: int
    version: int
    at_ns: int


class TurnedDown(msgspec.Struct, frozen=True, tag=True):
    """A balancer has rejected a version."""

    balancer: int
    version: int
    reason: str


class RequestFailed(msgspec.Struct, frozen=True, tag=True):
    """A request was refused, failed or lost."""

    balancer: int
    what: str
    after_ms: float


class AgentTotals(msgspec.Struct, frozen=True, tag=True):
    """Bytes transferred between all balancers and their agents."""

    to_agents: int
    to_balancers: int


class RequestTotals(msgspec.Struct, frozen=True, tag=True):
    """Number of requests of one process, by result."""

    requests: int
    served: int
    refused: int
    failed: int
    lost: int  # no complete response
    repeated: int  # second and later attempts of unsafe requests at servers
    restarted: int = 0  # open at a balancer when it was killed


Report = Ready | InForce | Started | TurnedDown | RequestFailed | AgentTotals | RequestTotals
