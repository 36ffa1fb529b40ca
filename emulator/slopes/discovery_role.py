"""Discovery's messages: their size on the wire, and what the balancer's reader makes of them."""

from __future__ import annotations

from dykeshift.node.listing import ListedServer, ListReader, ServerListing, decode_text
from emulator.slopes.counting import count_executed_lines
from emulator.slopes.deployment import MACHINE_TYPES, ZONES, encode_delta, encode_full_list
from emulator.slopes.roles import Figure, MeasurementBudget, Role
from emulator.slopes.sizes import Axis, Scale
from emulator.slopes.standins import http_response
from emulator.slopes.timing import min_cpu_time_ns

PORT = 8081  # of the servers in the messages; nothing listens


def read(reader: ListReader, body: bytes) -> ServerListing[ListedServer]:
    """Read a list as the real client does, its turns of the event loop following at once."""
    steps = reader.read(decode_text(body))
    while True:
        try:
            steps.send(None)
        except StopIteration as stop:
            listing: ServerListing[ListedServer] = stop.value
            return listing


def measure(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """All measures of discovery's messages at one scale; the bytes are those of whole HTTP answers."""
    del seed  # nothing is drawn
    reader = ListReader(ZONES, MACHINE_TYPES)
    listed = encode_full_list(scale.servers, PORT)
    change = encode_delta(scale.servers // 2, PORT, "leaving")
    read_time = min_cpu_time_ns(lambda body: read(reader, body), lambda: listed, budget.block_seconds)
    list_bytes, change_bytes = len(http_response(listed)), len(http_response(change))
    return [
        Figure("whole list, bytes to one balancer", "B", list_bytes),
        Figure("one change, bytes to one balancer", "B", change_bytes),
        Figure("whole list, bytes to all balancers", "B", list_bytes * scale.balancers),
        Figure("one change, bytes to all balancers", "B", change_bytes * scale.balancers),
        Figure("a day of changes, bytes to one balancer", "B", change_bytes * scale.changes),
        Figure("whole list, reading, processor time", "ms", read_time / 1e6),
        Figure("whole list, reading, lines", "lines", count_executed_lines(lambda: read(reader, listed))),
        Figure("one change, reading, lines", "lines", count_executed_lines(lambda: read(reader, change))),
    ]


ROLE = Role(
    name="discovery",
    description="bytes of discovery's answers, and the balancer's reader of them in this process",
    axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    quick_axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    measure=measure,
)
