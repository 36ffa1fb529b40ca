"""Addresses and messages that the processes of a fleet run share.

Each process reads a `ProcessConfig` as one JSON line from standard input, prints `Ready` as one JSON line,
waits for `Start`, and exits at the end of its standard input. It prints its measures as JSON lines. Hollow
balancers send attempts to the stand-in photo servers as `AttemptBatch` and receive `ResultBatch`, over one
TCP connection for each pair of hollow worker and shard (a process that hosts photo servers). Each batch is
preceded by its length.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import msgspec

LENGTH = struct.Struct("!I")  # length in bytes of the batch that follows


class Address(msgspec.Struct, frozen=True):
    """Loopback address on which a process listens."""

    host: str
    port: int


def loopback_address(block: int, number: int, port: int) -> Address:
    """Loopback address of member `number` of a block: 127.block.high.low, with low from 1 to 254."""
    high, low = divmod(number, 254)
    return Address(f"127.{block}.{high}.{low + 1}", port)


class AddressPlan(msgspec.Struct, frozen=True):
    """Free ports chosen by the supervisor; a member's host follows from its number."""

    server_port: int
    agent_port: int
    balancer_port: int
    shard_ports: tuple[int, ...]  # batch port of each shard, on 127.0.0.1

    def server_address(self, number: int) -> Address:
        """HTTP address of stand-in photo server `number`."""
        return loopback_address(64, number, self.server_port)

    def agent_address(self, balancer: int) -> Address:
        """Address of the discovery agent of a balancer; hollow and real balancers are numbered together."""
        return loopback_address(65, balancer, self.agent_port)

    def balancer_address(self, number: int) -> Address:
        """Address of real balancer `number`."""
        return loopback_address(66, number, self.balancer_port)


class ProcessConfig(msgspec.Struct, frozen=True):
    """First line on the standard input of each process."""

    scenario: str  # path of the scenario file
    seed: int
    index: int  # of this process among those of its role
    processes: int  # of its role; member n belongs to process n % processes
    addresses: AddressPlan


class Ready(msgspec.Struct, frozen=True, tag=True):
    """First line that a process prints, once it is listening."""

    role: str
    index: int


class Start(msgspec.Struct, frozen=True, tag=True):
    """Second line on the standard input: time 0 of the scenario on the machine's monotonic clock."""

    monotonic_ns: int


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of a hollow balancer at a photo server."""

    number: int  # unique on its connection
    server: int
    work_us: int  # processor time on a core of speed 1
    wait_us: int  # the balancer's timeout for this attempt
    balancer: int = 0  # the sender; determines the network delay and the connection


class AttemptBatch(msgspec.Struct, frozen=True, array_like=True):
    """From a hollow worker to a shard of photo servers."""

    attempts: list[Attempt]
    cancelled: list[int]  # numbers of earlier attempts


class Result(msgspec.Struct, frozen=True, array_like=True):
    """Result of one attempt; none is sent for an attempt that gets no response."""

    number: int
    outcome: str  # name of a member of dykeshift.interface.Outcome
    in_flight: int  # requests at the server when it responded
    service_us: int  # recent service time of the server, without the time in its queue


class ResultBatch(msgspec.Struct, frozen=True, array_like=True):
    """From a shard of photo servers to a hollow worker."""

    results: list[Result]


def request_target(work_us: int, balancer: int) -> str:
    """Target of a client's request.

    The parameters of the request are in the target, as a balancer forwards the target unchanged but drops
    unknown headers.
    """
    return f"/api?work_us={work_us}&balancer={balancer}"


def encode_frame(message: AttemptBatch | ResultBatch) -> bytes:
    """Encode a message with its length prefix."""
    body = msgspec.msgpack.encode(message)
    return LENGTH.pack(len(body)) + body


def split_frames(received: bytearray) -> Iterator[bytes]:
    """Yield the complete message bodies and remove them from `received`; an incomplete one stays there."""
    while len(received) >= LENGTH.size:
        (length,) = LENGTH.unpack_from(received)
        end = LENGTH.size + length
        if len(received) < end:
            return
        yield bytes(received[LENGTH.size : end])
        del received[:end]
