"""SIGHUP: the configuration is read anew, and what may change in service is taken over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dykeshift.node import config
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.driver import Driver

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.1  # seconds until a file that could not be read for a moment is read again
MAX_RETRY_S = 3.0  # seconds for which it is: a new configuration counts 4 s after the signal


class ConfigReload:
    """Moves to another discovery; upstreams, connections, requests and what was learned stay.

    A file that cannot be used changes nothing. All else in it holds from the next start on.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        load: Callable[[], config.Config],
        discovery: DiscoveryWatch,
        driver: Driver,
    ) -> None:
        self.loop = loop
        self.load = load
        self.discovery = discovery
        self.driver = driver
        self.retry_timer: asyncio.TimerHandle | None = None  # the file could not be read

    def __call__(self) -> None:
        """Handle the signal."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self._read(self.loop.time() + MAX_RETRY_S)

    def _read(self, retries_end: float) -> None:
        self.retry_timer = None
        try:
            new = self.load()
        except config.TransientReadError as exc:
            if self.loop.time() < retries_end:  # nobody sends the signal once more
                self.retry_timer = self.loop.call_later(RETRY_INTERVAL_S, self._read, retries_end)
            else:
                log.error("the old configuration is kept: %s", exc)
        except config.ConfigError as exc:
            log.error("the old configuration is kept: %s", exc)
        else:
            self._take_over(new)

    def _take_over(self, new: config.Config) -> None:
        if new.discovery == self.discovery.address:
            log.info("discovery is the same in the new configuration")
            return
        log.info("discovery is at %s:%d now", *new.discovery)
        self.discovery.change_address(new.discovery)
        self.driver.discovery_address_changed()
