"""Changes of the server list are known in time while discovery is slow, crowded or silent, and after SIGHUP.

Guards against: a call that is given up before its response comes; a drain is then never learned (review/8).
The limits are those of the pages: 4 s after SIGHUP; otherwise 6 s after discovery had the change and could be
reached, also where a watch has fallen silent. The drain grace is added to both.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence

from dykeshift.node.overlapping_calls import MAX_OPEN_CALLS
from tests.node.slow_discovery import DRAIN_GRACE_S, SlowDiscovery, WatchingBalancer
from tests.node.stubs import run, wait_until

INFORMED_AFTER_SIGHUP_S = 4.0
INFORMED_AFTER_S = 6.0
MODES = ("ask", "push")


async def seconds_until_learned(balancer: WatchingBalancer, since: float) -> float:
    """Wait until the balancer has learned of the drain, and return the time since then."""
    await wait_until(lambda: balancer.learned_at is not None)
    assert balancer.learned_at is not None
    return balancer.learned_at - since


async def check_learned(
    balancers: Sequence[WatchingBalancer], since: float, limit_s: float, case: object
) -> None:
    """Check that all learn of the drain in time."""
    try:
        async with asyncio.timeout(limit_s + 2.0):
            seconds = await asyncio.gather(*(seconds_until_learned(b, since) for b in balancers))
    except TimeoutError:
        never = sum(balancer.learned_at is None for balancer in balancers)
        raise AssertionError(f"{case}: {never} had not learned it after {limit_s + 2.0} s") from None
    assert max(seconds) <= limit_s + DRAIN_GRACE_S, f"{case}: learned after {sorted(seconds)}"


async def wait_for_calls(discovery: SlowDiscovery, count: int) -> None:
    await wait_until(lambda: len(discovery.calls) >= count)


def close_all(balancers: Iterable[WatchingBalancer]) -> None:
    for balancer in balancers:
        balancer.close()


def test_a_drain_is_learned_in_time_after_sighup_to_a_slow_discovery() -> None:
    async def check(mode: str, delay_s: float) -> None:
        old, new = await SlowDiscovery().start(), await SlowDiscovery(delay_s).start()
        balancer = WatchingBalancer(old, mode)
        await wait_for_calls(old, 1)
        new.drain()
        balancer.switch_discovery(new)
        signalled_at = time.monotonic()
        retirement = asyncio.create_task(old.retire())
        await check_learned([balancer], signalled_at, INFORMED_AFTER_SIGHUP_S, (mode, delay_s))
        await retirement
        balancer.close()

    async def main() -> None:
        delays = (0.0, 0.05, 0.2, 0.5, 1.1, 1.5, 2.0, 2.5, 3.5)
        await asyncio.gather(*(check(mode, delay_s) for mode in MODES for delay_s in delays))

    run(main())


def test_a_drain_is_learned_in_time_after_several_sighups_in_quick_succession() -> None:
    """The responses take up to three times as long as the time between two signals."""

    async def check(mode: str, delay_s: float) -> None:
        old = await SlowDiscovery().start()
        balancer = WatchingBalancer(old, mode)
        await wait_for_calls(old, 1)
        signalled_at = time.monotonic()
        retirements = []
        for _ in range(12):
            new = await SlowDiscovery(delay_s).start()
            new.drain()
            balancer.switch_discovery(new)
            retirements.append(asyncio.create_task(old.retire()))
            old = new
            await asyncio.sleep(0.5)
        await check_learned([balancer], signalled_at, INFORMED_AFTER_SIGHUP_S, (mode, delay_s))
        await asyncio.gather(*retirements)
        balancer.close()

    async def main() -> None:
        await asyncio.gather(*(check(mode, delay_s) for mode in MODES for delay_s in (0.1, 0.7, 1.5)))

    run(main())


def test_a_drain_is_learned_in_time_on_a_running_watch_of_a_slow_discovery() -> None:
    async def check(mode: str, delay_s: float, after_s: float) -> None:
        discovery = await SlowDiscovery().start()
        balancer = WatchingBalancer(discovery, mode)
        await wait_for_calls(discovery, 2)
        discovery.delay_s = delay_s
        await asyncio.sleep(after_s)
        drained_at = discovery.drain()
        await check_learned([balancer], drained_at, INFORMED_AFTER_S, (mode, delay_s, after_s))
        balancer.close()

    async def main() -> None:
        cases = [
            (mode, delay_s, after_s)
            for mode in MODES
            for delay_s in (0.05, 0.3, 0.9, 1.2, 1.5, 2.5, 3.0)
            for after_s in (0.1, 2.2, 5.3)
        ]
        await asyncio.gather(*(check(*case) for case in cases))

    run(main())


def test_a_drain_is_learned_in_time_after_a_watch_has_fallen_silent_at_a_slow_discovery() -> None:
    """The open call gets no response; those that follow get theirs late."""

    async def check(mode: str, delay_s: float) -> None:
        discovery = await SlowDiscovery().start()
        balancer = WatchingBalancer(discovery, mode)
        await wait_for_calls(discovery, 1)
        discovery.silent = True
        await wait_for_calls(discovery, 2 if mode == "ask" else 3)  # this call will never be answered
        silent_at = discovery.calls[-1].at
        discovery.silent, discovery.delay_s = False, delay_s
        discovery.drain()
        await check_learned([balancer], silent_at, INFORMED_AFTER_S, (mode, delay_s))
        balancer.close()

    async def main() -> None:
        delays = (0.05, 0.3, 0.7, 1.2, 1.5, 2.0, 3.0)
        await asyncio.gather(*(check(mode, delay_s) for mode in MODES for delay_s in delays))

    run(main())


def test_a_drain_is_learned_in_time_after_an_outage_of_a_discovery_that_returns_slow() -> None:
    async def check(mode: str, delay_s: float) -> None:
        discovery = await SlowDiscovery().start()
        balancer = WatchingBalancer(discovery, mode)
        await wait_for_calls(discovery, 2)
        discovery.silent = True
        await asyncio.sleep(7.0)
        assert len(balancer.watch.calls.open_calls) <= MAX_OPEN_CALLS
        discovery.silent, discovery.delay_s = False, delay_s
        returned_at = discovery.drain()
        limit_s = 0.0 if mode == "push" and not delay_s else INFORMED_AFTER_S
        await check_learned([balancer], returned_at, limit_s, (mode, delay_s))
        balancer.close()

    async def main() -> None:
        delays = (0.0, 0.05, 0.3, 0.7, 1.2, 1.6)
        await asyncio.gather(*(check(mode, delay_s) for mode in MODES for delay_s in delays))

    run(main())


def test_calls_do_not_pile_up_at_a_discovery_of_fixed_capacity() -> None:
    """Calls wait in turn there, and those that were closed are served all the same.

    One call of each balancer takes 2.8 s.
    """
    balancer_count, work_s = 8, 0.35

    async def check(mode: str, has_moved: bool) -> None:
        old, discovery = await SlowDiscovery().start(), await SlowDiscovery(work_s=work_s).start()
        balancers = [
            WatchingBalancer(old if has_moved else discovery, mode, seed, balancer_count)
            for seed in range(1, balancer_count + 1)
        ]
        if has_moved:
            await wait_for_calls(old, balancer_count)
            discovery.drain()
            signalled_at = time.monotonic()
            for balancer in balancers:
                balancer.switch_discovery(discovery)
            await check_learned(balancers, signalled_at, INFORMED_AFTER_SIGHUP_S, mode)
        else:
            await asyncio.sleep(6.0)
            await check_learned(balancers, discovery.drain(), INFORMED_AFTER_S, mode)
        discovery.restore()
        await wait_until(lambda: all(balancer.learned_at is None for balancer in balancers))
        await asyncio.sleep(5.0)
        await check_learned(balancers, discovery.drain(), INFORMED_AFTER_S, mode)
        assert discovery.waiting <= balancer_count
        close_all(balancers)

    async def main() -> None:
        await asyncio.gather(*(check(mode, has_moved) for mode in MODES for has_moved in (False, True)))

    run(main())


def test_a_prompt_discovery_gets_one_call_at_a_time() -> None:
    async def check(mode: str) -> None:
        discovery = await SlowDiscovery().start()
        balancer = WatchingBalancer(discovery, mode)
        await wait_for_calls(discovery, 4)
        assert len(discovery.writers) == len(balancer.watch.calls.open_calls) == 1
        await check_learned([balancer], discovery.drain(), 0.0, mode)
        await asyncio.sleep(0.5)
        assert len(discovery.calls) == 5
        balancer.close()

    async def main() -> None:
        await asyncio.gather(*(check(mode) for mode in MODES))

    run(main())
