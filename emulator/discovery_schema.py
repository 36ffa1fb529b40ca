"""Discovery's published form, as the stand-ins write it."""

from __future__ import annotations

import msgspec


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One entry of discovery's list."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: str = "active"
    weight: float = 1.0
    started_at_ms: int = 0


class Listing(msgspec.Struct, frozen=True):
    """An answer of discovery: the whole list, or the changed entries alone."""

    generation: int
    reset: bool
    instances: list[Instance]
