"""Memory: thousands of request ids, connections, upstreams and timers leave no objects behind."""

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

REQUESTS_PER_ROUND = 1000


async def send_requests(
    balancer: RunningBalancer, discovery: StubLongPollServer, stub: StubServer, first: int
) -> None:
    """Send new ids on new connections, a tenth of them invalid, while the upstream process is replaced."""
    for n in range(first, first + REQUESTS_PER_ROUND):
        if n % 25 == 0:
            instances = [
                instance(f"s{n // 25 - 1}", stub.address, "left"),
                instance(f"s{n // 25}", stub.address),
            ]
            discovery.queue_json(listing(n + 2, False, *instances))
        client = await balancer.connect()
        is_invalid = n % 10 == 0
        response = await client.fetch(
            http_request(
                ("check", "set", "send")[n % 3],
                request_id=f"r{n}",
                deadline_ms="soon" if is_invalid else 4000,
            )
        )
        assert ("400" if is_invalid else "200") in response.start_line
        client.writer.close()


async def count_objects_when_idle(balancer: RunningBalancer) -> int:
    frontend = balancer.frontend
    module = frontend.driver.decision_module
    await wait_until(
        lambda: not frontend.connections
        and not frontend.driver.open_requests
        and not module.open_requests
        and len(module.servers) <= 2
        and len(frontend.driver.pool.listed_servers) <= 2
        and len(frontend.driver.pool.upstreams) <= 2
        and not frontend.driver.pool.connect_tasks
    )
    gc.collect()
    return len(gc.get_objects())


def test_thousands_of_requests_leave_no_objects_behind() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        raw_settings = settings()
        # The module forgets servers at each sweep, and the interval of its sweeps follows from this setting.
        raw_settings["obligations"]["fallNs"] = 200_000_000
        async with running_balancer(stub, settings=raw_settings) as balancer:
            # With the normal delay, 4,000 requests would take longer than the test may run.
            balancer.frontend.driver.pool.reuse_delay_s = 0.001
            counts = []
            for n in range(4):
                await send_requests(balancer, balancer.discovery, stub, n * REQUESTS_PER_ROUND)
                stub.requests.clear()
                stub.writers.clear()
                counts.append(await count_objects_when_idle(balancer))
            # One leaked object per request would add REQUESTS_PER_ROUND a round; a few hundred are normal.
            assert counts[3] - counts[1] < REQUESTS_PER_ROUND, counts

    run(main())
