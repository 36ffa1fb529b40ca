"""Discovery's messages: their size on the wire, and what the balancer's reader makes of them."""

from __future__ import annotations

import time

from dykeshift.node.listing import ListReader, decode
from emulator.slopes.counting import count_lines
from emulator.slopes.deployment import MACHINE_TYPES, ZONES, one_change, whole_list
from emulator.slopes.roles import Effort, Figure, Role
from emulator.slopes.sizes import Axis, Scale
from emulator.slopes.standins import answer

PORT = 8081  # of the servers in the messages; nothing listens


def _read(reader: ListReader, body: bytes) -> None:
    """Read a whole list without turns of an event loop in between, so that none is needed."""
    reading = reader.read(decode(body), turns_until=0.0)
    try:
        reading.send(None)
    except StopIteration:
        return
    raise AssertionError("the reader waits for a turn")


def _read_time(reader: ListReader, body: bytes, repeats: int) -> float:
    times = []
    for _ in range(repeats):
        began = time.thread_time_ns()
        _read(reader, body)
        times.append(time.thread_time_ns() - began)
    return min(times)


def measure(scale: Scale, effort: Effort, seed: int) -> list[Figure]:
    """All measures of discovery's messages at one scale; the bytes are those of whole HTTP answers."""
    del seed  # nothing is drawn
    reader = ListReader(ZONES, MACHINE_TYPES)
    listed = whole_list(scale.servers, PORT)
    change = one_change(scale.servers // 2, PORT, "leaving")
    list_bytes, change_bytes = len(answer(listed)), len(answer(change))
    return [
        Figure("whole list, bytes to one balancer", "B", list_bytes),
        Figure("one change, bytes to one balancer", "B", change_bytes),
        Figure("whole list, bytes to all balancers", "B", list_bytes * scale.balancers),
        Figure("one change, bytes to all balancers", "B", change_bytes * scale.balancers),
        Figure("a day of changes, bytes to one balancer", "B", change_bytes * scale.changes),
        Figure("whole list, reading, processor time", "ms", _read_time(reader, listed, effort.repeats) / 1e6),
        Figure("whole list, reading, lines", "lines", count_lines(lambda: _read(reader, listed))),
        Figure("one change, reading, lines", "lines", count_lines(lambda: _read(reader, change))),
    ]


ROLE = Role(
    name="discovery",
    about="bytes of discovery's answers, and the balancer's reader of them in this process",
    axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    quick_axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    measure=measure,
)
