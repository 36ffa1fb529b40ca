"""Lists are pushed, and discovery is slow: each answer comes 0.3 s late, from before the balancer's start."""

from __future__ import annotations

import asyncio
import time

from standins import (
    PHOTO,
    TROUBLE,
    CannotRun,
    Case,
    Discovery,
    PhotoServer,
    keep_sending,
    late_sends,
    main,
    settings,
)

ANSWER_S = 0.3  # from a call to its answer, besides the time for which the call may wait
SECONDS = 20.0
DRAIN_AT_S = 3.0
# The latest limit that a page gives: 6 s after discovery had the change and could be reached.
TOLD_AFTER_S = 6.0
DRAIN_GRACE_S = 0.3


async def play(case: Case) -> list[str]:
    record = case.record
    discovery = await Discovery(record).start()
    servers = [await PhotoServer(record, f"s-{number}").start() for number in range(4)]
    for server in servers:
        discovery.put(server.name, server.address)
    if TROUBLE:
        discovery.delay_s = ANSWER_S
    balancer = case.balancer("n1", discovery.address, settings([PHOTO]), known=discovery.whole_list())
    balancer.start()
    await balancer.wait_until_ready()
    until = time.monotonic() + SECONDS
    clients = [
        asyncio.create_task(
            keep_sending(record, balancer.listen, f"c{number}", until, 0.1, PHOTO["name"], 600)
        )
        for number in range(4)
    ]
    await asyncio.sleep(DRAIN_AT_S)
    discovery.put("s-0", servers[0].address, "leaving")
    drained_at = time.monotonic()
    replies = [reply for client in await asyncio.gather(*clients) for reply in client]
    if sum(reply.status == 200 for reply in replies) < 100:
        raise CannotRun("too few requests were served")
    return late_sends(servers[0], drained_at + TOLD_AFTER_S, DRAIN_GRACE_S)


main(play, __file__)
