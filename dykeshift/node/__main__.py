"""Run one real balancer: `python -m dykeshift.node`, configured by the file that NODE_CONFIG names."""

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
from dykeshift.node.startup import load_config_with_retries, new_event_loop
from dykeshift.node.upstream import Pool
from dykeshift.rules import Balancer

log = logging.getLogger(__name__)


async def serve(
    configuration: config.Config,
    load_configuration: Callable[[], config.Config],
    on_started: Callable[[Frontend, Listener, ConfigReload], None] | None = None,
) -> None:
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
        lambda number: pool.listed_servers.get(number),
    )
    front = Frontend(
        loop,
        driver,
        requests.RequestReader(configuration.settings.classes, configuration.tenants),
        configuration.max_connections,
    )
    stop = StopSignal(loop)
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    reload = ConfigReload(loop, load_configuration, discovery, driver)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
    try:
        listener = await Listener.open(loop, configuration.listen, front.new_connection)
    except OSError as error:
        raise listen_error(configuration, error) from None
    driver.start()
    discovery.apply_known_list(configuration.known_list)
    watch = start_settings_watch(configuration, SettingsApplier(driver, discovery, front))
    if not configuration.settings.watch_discovery:
        discovery.start()
        # What the agent has counts as told since before the program was loaded: the list known from
        # before serves only if the agent has nothing to say.
        await discovery.call_finished.wait()
    if watch is not None:
        await watch.wait_until_up_to_date()
    if stop.received_at is not None:  # the time until SIGKILL runs already, and nobody has been taken on
        log.info("stopped before it began to serve")
        return
    try:
        await listener.start_accepting()
    except OSError as error:
        raise listen_error(configuration, error) from None
    gc.collect()
    gc.freeze()  # what lives as long as the program is not walked again by each collection
    gc.enable()
    if on_started is not None:
        on_started(front, listener, reload)
    signalled_at = await stop.wait()
    await shut_down_gracefully(
        front,
        listener,
        signalled_at,
        max((c.client_timeout for c in front.request_reader.classes), default=0) / 1e9,
    )


def listen_error(configuration: config.Config, error: OSError) -> config.ConfigError:
    """The one line that ends a start whose clients could not reach it."""
    host, port = configuration.listen
    return config.ConfigError(f"cannot listen on {host}:{port}: {error}")


def start_settings_watch(
    configuration: config.Config, service: SettingsApplier
) -> SettingsWatch[config.Config] | None:
    """The watch on the settings, begun, where the configuration names an agent for it."""
    if configuration.control is None:
        return None
    base: dict[str, Any] = configuration.raw["settings"]
    parse = partial(config.with_settings, configuration)
    control = SettingsControl(base, configuration.settings_version, parse, configuration.seed)
    return SettingsWatch(asyncio.get_running_loop(), configuration.control, control, service.apply)


def run(path: str) -> None:
    """Serve by this file until told to end; ConfigError or OSError if it cannot start."""
    # It would end the program; one that comes before there is a handler waits until there is.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    configuration = load_config_with_retries(path)
    reload = partial(config.load, path, with_known_list=False)  # the list held is newer
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(serve(configuration, reload))


def main() -> int:
    """Run the program; its exit code."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    gc.freeze()  # the code itself
    gc.disable()  # until all is loaded: hardly anything of it is garbage
    path = os.environ.get("NODE_CONFIG")
    try:
        if not path:
            raise config.ConfigError("NODE_CONFIG is not set; it names the configuration file")
        run(path)
    except (config.ConfigError, OSError) as error:
        print(f"balancer: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
