"""What comes and goes by the thousand leaves nothing behind: ids, connections, upstreams, timers."""

from __future__ import annotations

import gc

from tests.node.stubs import (
    RunningBalancer,
    StubLongPollServer,
    StubServer,
    http_request,
    http_response,
    instance,
    listing,
    responds_with,
    run,
    running_balancer,
    settings,
    wait_until,
)

ROUND = 1000


async def play(balancer: RunningBalancer, registry: StubLongPollServer, stub: StubServer, first: int) -> None:
    """New ids on new connections, bad ones among them, while the upstream is replaced at its address."""
    for n in range(first, first + ROUND):
        if n % 25 == 0:
            names = [instance(f"s{n // 25 - 1}", stub.address, "left"), instance(f"s{n // 25}", stub.address)]
            registry.queue_json(listing(n + 2, False, *names))
        caller = await balancer.connect()
        bad = n % 10 == 0
        got = await caller.fetch(
            http_request(
                ("check", "set", "send")[n % 3], request_id=f"r{n}", deadline_ms="soon" if bad else 4000
            )
        )
        assert ("400" if bad else "200") in got.start_line
        caller.writer.close()


async def settled(balancer: RunningBalancer) -> int:
    front = balancer.frontend
    module = front.driver.decision_module
    await wait_until(
        lambda: not front.connections
        and not front.driver.open_requests
        and not module.open_requests
        and len(module.servers) <= 2
        and len(front.driver.pool.listed_servers) <= 2
        and len(front.driver.pool.upstreams) <= 2
        and not front.driver.pool.connect_tasks
    )
    gc.collect()
    return len(gc.get_objects())


def test_thousands_of_ids_leave_nothing_behind() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        changed = settings()
        changed["obligations"]["fallNs"] = 200_000_000  # the module forgets servers with each sweep
        async with running_balancer(stub, settings=changed) as balancer:
            balancer.frontend.driver.pool.reuse_delay_s = (
                0.001  # 4,000 rests of its own length take all the patience
            )
            counts = []
            for n in range(4):
                await play(balancer, balancer.discovery, stub, n * ROUND)
                stub.requests.clear()
                stub.writers.clear()
                counts.append(await settled(balancer))
            # A leak of one object a request would show as ROUND more each time; some hundreds come and go.
            assert counts[3] - counts[1] < ROUND, counts

    run(main())
