"""Responses of discovery: their size on the wire, and the work of parsing them in the balancer."""

from __future__ import annotations

from dykeshift.node.listing import ListedServer, ListReader, ServerListing, decode_text
from emulator.slopes.counting import count_executed_lines
from emulator.slopes.deployment import MACHINE_TYPES, ZONES, encode_delta, encode_full_list
from emulator.slopes.roles import Figure, MeasurementBudget, Role
from emulator.slopes.sizes import Axis, Scale
from emulator.slopes.standins import http_response
from emulator.slopes.timing import min_cpu_time_ns

SERVER_PORT = 8081  # of the listed servers; nothing listens on it


def read_list(reader: ListReader, body: bytes) -> ServerListing[ListedServer]:
    """Parse a list as the balancer does, with all steps at once instead of one per turn of the event loop."""
    steps = reader.read(decode_text(body))
    while True:
        try:
            steps.send(None)
        except StopIteration as stop:
            listing: ServerListing[ListedServer] = stop.value
            return listing


def measure(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure the responses of discovery at one scale; sizes are those of complete HTTP responses."""
    del seed  # nothing is drawn
    reader = ListReader(ZONES, MACHINE_TYPES)
    full_list = encode_full_list(scale.servers, SERVER_PORT)
    delta = encode_delta(scale.servers // 2, SERVER_PORT, "leaving")
    read_time_ns = min_cpu_time_ns(
        lambda body: read_list(reader, body), lambda: full_list, budget.block_seconds
    )
    list_bytes, delta_bytes = len(http_response(full_list)), len(http_response(delta))
    return [
        Figure("whole list, bytes to one balancer", "B", list_bytes),
        Figure("one change, bytes to one balancer", "B", delta_bytes),
        Figure("whole list, bytes to all balancers", "B", list_bytes * scale.balancers),
        Figure("one change, bytes to all balancers", "B", delta_bytes * scale.balancers),
        Figure("a day of changes, bytes to one balancer", "B", delta_bytes * scale.changes),
        Figure("whole list, reading, processor time", "ms", read_time_ns / 1e6),
        Figure(
            "whole list, reading, lines", "lines", count_executed_lines(lambda: read_list(reader, full_list))
        ),
        Figure("one change, reading, lines", "lines", count_executed_lines(lambda: read_list(reader, delta))),
    ]


ROLE = Role(
    name="discovery",
    description="size of the responses of discovery, and the work of parsing them, in this process",
    axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    quick_axes=(Axis.SERVERS, Axis.BALANCERS, Axis.CHANGES),
    measure=measure,
)
