"""Discovery's messages: their size on the wire, and what the balancer's reader makes of them."""

from __future__ import annotations

import json
import time

from dykeshift.node.discovery import Reader
from emulator.slopes.counting import count_lines
from emulator.slopes.deployment import MACHINE_TYPES, ZONES, one_change, whole_list
from emulator.slopes.roles import Effort, Figure, Role
from emulator.slopes.sizes import Axis, Scale
from emulator.slopes.standins import answer

PORT = 8081  # of the servers in the messages; nothing listens


def _read_time(reader: Reader, body: bytes, repeats: int) -> float:
    times = []
    for _ in range(repeats):
        began = time.thread_time_ns()
        reader.read(json.loads(body))
        times.append(time.thread_time_ns() - began)
    return min(times)


def measure(scale: Scale, effort: Effort, seed: int) -> list[Figure]:
    """All measures of discovery's messages at one scale; the bytes are those of whole HTTP answers."""
    del seed  # nothing is drawn
    reader = Reader(ZONES, MACHINE_TYPES)
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
        Figure("whole list, reading, lines", "lines", count_lines(lambda: reader.read(json.loads(listed)))),
        Figure("one change, reading, lines", "lines", count_lines(lambda: reader.read(json.loads(change)))),
    ]


ROLE = Role(
    name="discovery",
    about="bytes of discovery's answers, and the balancer's reader of them in this process",
    axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    quick_axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    measure=measure,
)
