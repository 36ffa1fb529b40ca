"""Applies new settings to a serving balancer. Open requests and connections are not lost or restarted."""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.node import config, requests
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.driver import Driver
from dykeshift.node.server import Frontend


@dataclass(frozen=True, slots=True)
class SettingsApplier:
    """Holds the parts of the program that depend on the settings."""

    driver: Driver
    discovery: DiscoveryWatch
    frontend: Frontend

    def apply(self, new: config.Config) -> bool:
        """Update all parts within one turn of the event loop.

        Returns False, with nothing changed, if the decision module failed. Connection attempts in progress
        keep their timeout, and open requests keep their class.
        """
        if not self.driver.apply_settings(new.settings):
            return False
        self.driver.pool.set_timeouts(new.connect_timeout_s, new.keepalive_s)
        self.discovery.drain_grace_s = new.drain_grace_s
        self.frontend.request_reader = requests.RequestReader(new.settings.classes, new.tenants)
        return True
