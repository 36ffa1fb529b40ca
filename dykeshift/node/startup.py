"""Start-up steps that are retried while they fail with transient errors."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import uvloop

from dykeshift.node import config
from dykeshift.node.transient_errors import START_RETRY_INTERVAL_S, START_RETRY_TIMEOUT_S, is_transient

Result = TypeVar("Result")


def load_config_with_retries(path: str) -> config.Config:
    """Load the configuration file; retry while it cannot be read because of a transient error.

    Raises ConfigError if the file is invalid, or still unreadable after START_RETRY_TIMEOUT_S.
    """
    return _retry(lambda: config.load(path), lambda error: isinstance(error, config.TransientReadError))


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop; retry while its file descriptors are refused because of a transient error.

    Raises OSError if they are still refused after START_RETRY_TIMEOUT_S.
    """
    return _retry(uvloop.new_event_loop, lambda error: isinstance(error, OSError) and is_transient(error))


async def wait_first(*coroutines: Coroutine[Any, Any, object]) -> None:
    """Run these until the first one has ended and cancel the others; its exception is raised here."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


def _retry(call: Callable[[], Result], may_retry: Callable[[Exception], bool]) -> Result:
    """Call until it succeeds; retry the errors that allow it for at most START_RETRY_TIMEOUT_S."""
    retry_until = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return call()
        except Exception as error:
            if not may_retry(error) or time.monotonic() >= retry_until:
                raise
        time.sleep(START_RETRY_INTERVAL_S)
