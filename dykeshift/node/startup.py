"""What a start needs from the system: tried again for a moment where a failure may pass."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

import uvloop

from dykeshift.node import config
from dykeshift.node.passing_errors import START_RETRY_INTERVAL_S, START_RETRY_TIMEOUT_S, is_transient

Result = TypeVar("Result")


def load_config_with_retries(path: str) -> config.Config:
    """The configuration from its file, which may be unreadable for a moment; ConfigError if it stays so."""
    return _retry(lambda: config.load(path), lambda error: isinstance(error, config.TransientReadError))


def new_event_loop() -> asyncio.AbstractEventLoop:
    """An event loop, whose descriptors may be refused for a moment; OSError if they stay so."""
    return _retry(uvloop.new_event_loop, lambda error: isinstance(error, OSError) and is_transient(error))


def _retry(call: Callable[[], Result], passes: Callable[[Exception], bool]) -> Result:
    """Call until it does, for START_PATIENCE at the most while its failures may pass."""
    patience_ends = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return call()
        except Exception as error:
            if not passes(error) or time.monotonic() >= patience_ends:
                raise
        time.sleep(START_RETRY_INTERVAL_S)
