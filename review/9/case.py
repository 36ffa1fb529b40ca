"""Two of three balancers are killed, a photo server drains, discovery goes down, and they start again."""

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

DISCOVERY_DOWN_S = 8.0
DRAIN_GRACE_S = 0.3


async def play(case: Case) -> list[str]:
    record = case.record
    servers = [await PhotoServer(record, f"s-{number}").start() for number in range(4)]
    agents, balancers = [], []
    for number in range(3):
        agent = await Discovery(record, f"agent-{number}").start()
        for server in servers:
            agent.put(server.name, server.address)
        balancer = case.balancer(
            f"n{number}", agent.address, settings([PHOTO], balancers=3, me=number), known=agent.whole_list()
        )
        balancer.start()
        agents.append(agent)
        balancers.append(balancer)
    for balancer in balancers:
        await balancer.wait_until_ready()
    await asyncio.sleep(1.0)
    for balancer in balancers[:2]:
        record(f"platform: SIGKILL to {balancer.name}")
        balancer.end()
    await asyncio.sleep(0.5)
    # Every agent has the change now. The killed balancers had the list without it, and `known` says so.
    for agent in agents:
        agent.put("s-0", servers[0].address, "leaving")
    await asyncio.sleep(0.5)
    down_at = time.monotonic()
    if TROUBLE:
        record("discovery is down: the agents are silent")
        for agent in agents:
            agent.silence()
    await asyncio.sleep(0.5)
    started_at = time.monotonic()
    for balancer in balancers[:2]:
        balancer.start()

    async def use(number: int) -> int:
        """Clients come once this balancer is ready."""
        balancer = balancers[number]
        await balancer.wait_until_ready()
        until = down_at + DISCOVERY_DOWN_S + 4.0
        replies = await asyncio.gather(
            *(
                keep_sending(record, balancer.listen, f"{balancer.name}-c{n}", until, 0.1, PHOTO["name"], 600)
                for n in range(4)
            )
        )
        return sum(reply.status == 200 for client in replies for reply in client)

    users = [asyncio.create_task(use(number)) for number in range(3)]
    await asyncio.sleep(max(0.0, down_at + DISCOVERY_DOWN_S - time.monotonic()))
    if TROUBLE:
        record("discovery is back")
        for agent in agents:
            agent.speak()
    served = await asyncio.gather(*users)
    record.say(f"served by each balancer: {served}")
    if min(served) < 20:
        raise CannotRun("too few requests were served")
    # The new processes had been told from their first moment. A second is allowed for their start.
    return late_sends(servers[0], started_at + 1.0, DRAIN_GRACE_S)


main(play, __file__)
