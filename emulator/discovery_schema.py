"""Responses of discovery in its published JSON format, as the discovery stand-ins write them."""

from __future__ import annotations

import msgspec


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One server of discovery's list."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: str = "active"
    weight: float = 1.0
    started_at_ms: int = 0


class Listing(msgspec.Struct, frozen=True):
    """A response of discovery: the full list if `reset` is set, otherwise only the changed servers."""

    generation: int
    reset: bool
    instances: list[Instance]
