"""Handles SIGHUP: reads the configuration again and applies what may change while the balancer serves."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dykeshift.node import config
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.driver import Driver

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.1  # between attempts to read the file after a transient error
RETRY_TIMEOUT_S = 3.0  # a new configuration has to be in force 4 s after the signal


class ConfigReload:
    """Switches to the discovery address in the new configuration.

    Upstreams, connections, requests and learned state stay. A file that cannot be used changes nothing. All
    other changes in the file take effect at the next start.
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
        self.retry_timer: asyncio.TimerHandle | None = None  # running while the file cannot be read

    def __call__(self) -> None:
        """Handle the signal."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self._read(self.loop.time() + RETRY_TIMEOUT_S)

    def _read(self, retry_until: float) -> None:
        self.retry_timer = None
        try:
            new = self.load()
        except config.TransientReadError as exc:
            if self.loop.time() < retry_until:  # the signal is not sent again
                self.retry_timer = self.loop.call_later(RETRY_INTERVAL_S, self._read, retry_until)
            else:
                log.error("the old configuration is kept: %s", exc)
        except config.ConfigError as exc:
            log.error("the old configuration is kept: %s", exc)
        else:
            self._apply(new)

    def _apply(self, new: config.Config) -> None:
        if new.discovery == self.discovery.address:
            log.info("the new configuration has the same discovery address")
            return
        log.info("the discovery address is now %s:%d", *new.discovery)
        self.discovery.change_address(new.discovery)
        self.driver.discovery_address_changed()
