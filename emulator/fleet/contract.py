"""What the processes of one fleet run agree on: addresses, start-up lines and the batch messages.

Every process gets a `ProcessConfig` as one JSON line on its standard input, prints `Ready` as one JSON line,
waits for `Start`, and ends by itself when its standard input ends. It prints its measures as JSON lines.
Hollow balancers reach the stand-in photo servers by `AttemptBatch` and `ResultBatch` over one TCP connection
for each pair of worker and shard, each message preceded by its length.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import msgspec

LENGTH = struct.Struct("!I")  # precedes each batch on a connection


class Address(msgspec.Struct, frozen=True):
    """Where a process listens, on loopback."""

    host: str
    port: int


def loopback_address(block: int, number: int, port: int) -> Address:
    """A loopback address of its own for member `number` of a block: 127.block.high.low, low from 1 to 254."""
    high, low = divmod(number, 254)
    return Address(f"127.{block}.{high}.{low + 1}", port)


class AddressPlan(msgspec.Struct, frozen=True):
    """Ports chosen free by the supervisor; everything else follows from a member's number."""

    server_port: int
    agent_port: int
    balancer_port: int
    shard_ports: tuple[int, ...]  # batch port of each process that hosts photo servers, on 127.0.0.1

    def server_address(self, number: int) -> Address:
        """Where stand-in photo server `number` speaks HTTP."""
        return loopback_address(64, number, self.server_port)

    def agent_address(self, balancer: int) -> Address:
        """Where the agent of balancer `balancer` listens; hollow and real ones share the numbers."""
        return loopback_address(65, balancer, self.agent_port)

    def balancer_address(self, number: int) -> Address:
        """Where the real balancer `number` listens."""
        return loopback_address(66, number, self.balancer_port)


class ProcessConfig(msgspec.Struct, frozen=True):
    """First line on the standard input of each process of a run."""

    scenario: str  # path of the scenario file
    seed: int
    index: int  # which process of its role this is
    processes: int  # how many processes share its role; member n belongs to process n % processes
    addresses: AddressPlan


class Ready(msgspec.Struct, frozen=True, tag=True):
    """First line that a process prints, once it listens."""

    role: str
    index: int


class Start(msgspec.Struct, frozen=True, tag=True):
    """Second line on the standard input: the scenario's time 0 on the machine's monotonic clock."""

    monotonic_ns: int


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of a hollow balancer at a photo server."""

    number: int  # unique on its connection
    server: int
    work_us: int  # processor time that it takes on a core of speed 1
    wait_us: int  # how long the balancer waits for the answer
    balancer: int = 0  # who sends it: gives the network delay and the connection


class AttemptBatch(msgspec.Struct, frozen=True, array_like=True):
    """From a hollow worker to a shard of photo servers."""

    attempts: list[Attempt]
    cancelled: list[int]  # numbers of earlier attempts that are given up


class Result(msgspec.Struct, frozen=True, array_like=True):
    """How one attempt ended; an attempt that gets no answer has none."""

    number: int
    outcome: str  # name of a member of dykeshift.interface.Outcome
    in_flight: int  # requests that the server held as it answered
    service_us: int  # its recent service time, without waiting


class ResultBatch(msgspec.Struct, frozen=True, array_like=True):
    """From a shard of photo servers to a hollow worker."""

    results: list[Result]


def request_target(work_us: int, balancer: int) -> str:
    """Target of a client's request; a balancer passes it on unchanged, but not headers of ours."""
    return f"/api?work_us={work_us}&balancer={balancer}"


def encode_frame(message: AttemptBatch | ResultBatch) -> bytes:
    """The message as it is written to a connection."""
    body = msgspec.msgpack.encode(message)
    return LENGTH.pack(len(body)) + body


def split_frames(received: bytearray) -> Iterator[bytes]:
    """Take the whole message bodies out of what has been received; the rest stays in `received`."""
    while len(received) >= LENGTH.size:
        (length,) = LENGTH.unpack_from(received)
        end = LENGTH.size + length
        if len(received) < end:
            return
        yield bytes(received[LENGTH.size : end])
        del received[:end]
