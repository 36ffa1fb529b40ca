"""The balancer process: `python -m dykeshift.node`, configured by the file that NODE_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

from dykeshift.control import SettingsControl
from dykeshift.node import config, requests
from dykeshift.node.discovery import DiscoveryWatch
from dykeshift.node.driver import Driver
from dykeshift.node.listener import Listener
from dykeshift.node.listing import ListReader
from dykeshift.node.reload import ConfigReload
from dykeshift.node.server import Frontend
from dykeshift.node.service_settings import SettingsApplier
from dykeshift.node.settings_watch import SettingsWatch
from dykeshift.node.shutdown import StopSignal, shut_down_gracefully
from dykeshift.node.startup import load_config_with_retries, new_event_loop, wait_first
from dykeshift.node.upstream import Pool
from dykeshift.rules import Balancer

log = logging.getLogger(__name__)


async def serve(
    configuration: config.Config,
    load_configuration: Callable[[], config.Config],
    on_started: Callable[[Frontend, Listener, ConfigReload], None] | None = None,
) -> None:
    """Run the balancer until it has been shut down by SIGTERM or SIGINT.

    `load_configuration` is called after SIGHUP, `on_started` when clients can connect. Raises ConfigError if
    the process cannot listen on the configured address.
    """
    loop = asyncio.get_running_loop()
    pool = Pool(
        loop, configuration.max_connections, configuration.connect_timeout_s, configuration.keepalive_s
    )
    driver = Driver(
        loop, Balancer(configuration.settings, configuration.seed), pool, lambda: discovery.start()
    )
    discovery = DiscoveryWatch(
        loop,
        configuration.discovery,
        ListReader(configuration.zones, configuration.kinds),
        driver.apply_list,
        driver.discovery_failed,
        not configuration.settings.watch_discovery,
        configuration.drain_grace_s,
        lambda server_id: pool.listed_servers.get(server_id),
    )
    frontend = Frontend(
        loop,
        driver,
        requests.RequestReader(configuration.settings.classes, configuration.tenants),
        configuration.max_connections,
    )
    stop_signal = StopSignal(loop)
    loop.add_signal_handler(signal.SIGTERM, stop_signal)
    loop.add_signal_handler(signal.SIGINT, stop_signal)
    reload_on_sighup = ConfigReload(loop, load_configuration, discovery, driver)
    loop.add_signal_handler(signal.SIGHUP, reload_on_sighup)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
    try:
        listener = await Listener.open(loop, configuration.listen, frontend.new_connection)
    except OSError as error:
        raise listen_error(configuration, error) from None
    driver.start()
    discovery.apply_known_list(configuration.known_list)
    settings_watch = start_settings_watch(configuration, SettingsApplier(driver, discovery, frontend))
    await wait_first(stop_signal.wait(), prepare_service(discovery, frontend, settings_watch))
    if stop_signal.received_at is not None:  # the time until SIGKILL is running, and no client was accepted
        log.info("shutdown requested before service began; no connection was accepted")
        return
    gc.collect()
    gc.freeze()  # objects that live as long as the process are not scanned by later collections
    gc.enable()
    await asyncio.sleep(0)  # the loop's clock has not advanced during the collection
    frontend.stall_detector.start()
    try:
        await listener.start_accepting()
    except OSError as error:
        raise listen_error(configuration, error) from None
    if on_started is not None:
        on_started(frontend, listener, reload_on_sighup)
    signalled_at = await stop_signal.wait()
    await shut_down_gracefully(
        frontend,
        listener,
        signalled_at,
        max((c.client_timeout for c in frontend.request_reader.classes), default=0) / 1e9,
    )


async def prepare_service(
    discovery: DiscoveryWatch, frontend: Frontend, settings_watch: SettingsWatch[config.Config] | None
) -> None:
    """Wait for what a new process has to know before it accepts clients, for a limited time each.

    These are the list of servers if the agent pushes it, and the newest settings if there is an agent for
    them.
    """
    async with asyncio.TaskGroup() as waits:
        if settings_watch is not None:
            waits.create_task(settings_watch.wait_until_up_to_date())
        if discovery.is_pushed:
            discovery.start()
            frontend.is_list_overdue = not await discovery.wait_for_first_list()


def listen_error(configuration: config.Config, error: OSError) -> config.ConfigError:
    """The error that ends the start when the process cannot listen for clients."""
    host, port = configuration.listen
    return config.ConfigError(f"cannot listen on {host}:{port}: {error}")


def start_settings_watch(
    configuration: config.Config, service: SettingsApplier
) -> SettingsWatch[config.Config] | None:
    """Start watching the settings, or return None if the configuration names no settings agent."""
    if configuration.control is None:
        return None
    base: dict[str, Any] = configuration.raw["settings"]
    parse = partial(config.with_settings, configuration)
    control = SettingsControl(base, configuration.settings_version, parse, configuration.seed)
    return SettingsWatch(asyncio.get_running_loop(), configuration.control, control, service.apply)


def run(path: str) -> None:
    """Run the balancer with this configuration file; raises ConfigError or OSError if it cannot start."""
    # SIGHUP would end the process before its handler is installed; blocked, it stays pending until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    configuration = load_config_with_retries(path)
    # The server list that the process holds is newer than the one in the file.
    load_again = partial(config.load, path, with_known_list=False)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(serve(configuration, load_again))


def main() -> int:
    """Run the process and return its exit code: 0 after a shutdown, 2 if it cannot start."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    gc.freeze()  # the loaded code lives as long as the process
    gc.disable()  # until the start is complete, which creates hardly any garbage
    path = os.environ.get("NODE_CONFIG")
    try:
        if not path:
            raise config.ConfigError("NODE_CONFIG is not set; it has to name the configuration file")
        run(path)
    except (config.ConfigError, OSError) as error:
        print(f"balancer: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
