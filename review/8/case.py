"""Discovery is asked, a new configuration names another address of it, and it is slow there.

The list at the new address says that one photo server drains.
"""

from __future__ import annotations

import asyncio
import signal
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

ANSWER_S = 1.5  # from a call to its answer, besides the time for which the call may wait
SECONDS = 20.0
HANGUP_AT_S = 2.0
# Told 4 s after the signal (TERMS). The later limit of STANDING is used: 6 s after discovery had the change
# and could be reached.
TOLD_AFTER_S = 6.0
DRAIN_GRACE_S = 0.3


async def play(case: Case) -> list[str]:
    record = case.record
    old, new = await Discovery(record, "old").start(), await Discovery(record, "new").start()
    servers = [await PhotoServer(record, f"s-{number}").start() for number in range(4)]
    for discovery in (old, new):
        for server in servers:
            discovery.put(server.name, server.address)
    balancer = case.balancer("n1", old.address, settings([PHOTO], discovery="ask"), known=old.whole_list())
    balancer.start()
    await balancer.wait_until_ready()
    until = time.monotonic() + SECONDS
    clients = [
        asyncio.create_task(
            keep_sending(record, balancer.listen, f"c{number}", until, 0.1, PHOTO["name"], 600)
        )
        for number in range(4)
    ]
    await asyncio.sleep(HANGUP_AT_S)
    if TROUBLE:
        new.delay_s = ANSWER_S
    new.put("s-0", servers[0].address, "leaving")
    balancer.discovery = new.address
    balancer.write_config()
    balancer.send_signal(signal.SIGHUP)
    signalled_at = time.monotonic()
    old.stop_listening()  # the old address takes no new connections and closes its open ones after 1.5 s
    await asyncio.sleep(1.5)
    for writer in list(old.writers):
        writer.close()
    replies = [reply for client in await asyncio.gather(*clients) for reply in client]
    if sum(reply.status == 200 for reply in replies) < 100:
        raise CannotRun("too few requests were served")
    return late_sends(servers[0], signalled_at + TOLD_AFTER_S, DRAIN_GRACE_S)


main(play, __file__)
