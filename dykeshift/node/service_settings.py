"""Puts settings into force in a balancer that serves: nothing that is open is lost or begun anew."""

from __future__ import annotations

from dataclasses import dataclass

from dykeshift.node import config, requests
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.driver import Driver
from dykeshift.node.server import Frontend


@dataclass(frozen=True, slots=True)
class SettingsApplier:
    """The parts of the program that go by the settings."""

    driver: Driver
    discovery: DiscoveryWatch
    front: Frontend

    def apply(self, new: config.Config) -> bool:
        """All parts in one turn of the event loop; False, and nothing is changed, if the module failed.

        Connects under way keep the time-out they began with, and open requests their class.
        """
        if not self.driver.apply_settings(new.settings):
            return False
        self.driver.pool.set_timeouts(new.connect_timeout_s, new.keepalive_s)
        self.discovery.drain_grace_s = new.drain_grace_s
        self.front.request_reader = requests.RequestReader(new.settings.classes, new.tenants)
        return True
