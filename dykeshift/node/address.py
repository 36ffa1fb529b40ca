"""Addresses of the form host:port."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]


def parse_address(text: Any) -> Address:
    """Return the host and port of the form host:port; raise ValueError for any other text."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)
