"""Keyed requests of a class whose photo servers drop repeats within their zone; some answers get lost.

A photo server resets the connection after it has run the request. Photo servers of one zone share the keys
that they have seen, and drop a repeat for the time in the settings.
"""

from __future__ import annotations

import asyncio
import time
from random import Random

from standins import (
    TROUBLE,
    VERDICT,
    CannotRun,
    Case,
    Client,
    Discovery,
    Message,
    PhotoServer,
    answer,
    main,
    reset,
    settings,
)

ZONES = ("aarhus-nord", "vejle-syd", "odense", "ribe")  # the settings name the first two
SERVERS_PER_ZONE = 2
RESETTING_SERVERS = ("s-0", "s-2", "s-4", "s-6")  # the first of each zone
RESET_SHARE = 0.3  # of their answers
WINDOW_S = 1.2
REQUESTS_PER_CLIENT = 80


async def play(case: Case) -> list[str]:
    record, random = case.record, Random(7)
    zone_of: dict[str, str] = {}
    seen: dict[tuple[str, str], float] = {}  # by zone and key: when it was run
    runs: dict[str, list[str]] = {}  # by key: the servers that ran it
    resets = 0

    async def behave(server: PhotoServer, message: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal resets
        key, zone = message.headers["idempotency-key"], zone_of[server.name]
        if time.monotonic() - seen.get((zone, key), -100.0) > WINDOW_S:
            seen[zone, key] = time.monotonic()
            runs.setdefault(key, []).append(server.name)
            record(f"{server.name} in {zone} runs {key}")
        else:
            record(f"{server.name} in {zone} drops the repeat of {key}")
        await asyncio.sleep(server.work_s)
        if TROUBLE and server.name in RESETTING_SERVERS and random.random() < RESET_SHARE:
            resets += 1
            record(f"{server.name} resets the connection under {key}")
            reset(writer)
            return
        writer.write(answer(server.body_for(message)))

    discovery = await Discovery(record).start()
    for number in range(len(ZONES) * SERVERS_PER_ZONE):
        server = await PhotoServer(record, f"s-{number}", behave=behave).start()
        zone_of[server.name] = ZONES[number // SERVERS_PER_ZONE]
        discovery.put(server.name, server.address, zone=zone_of[server.name], cell=number)
    balancer = case.balancer(
        "n1", discovery.address, settings([{**VERDICT, "group": "zone"}]), known=discovery.whole_list()
    )
    balancer.start()
    await balancer.wait_until_ready()

    async def send_verdicts(number: int) -> int:
        client, served = Client(record, balancer.listen), 0
        for count in range(REQUESTS_PER_CLIENT):
            await asyncio.sleep(random.uniform(0.02, 0.08))
            request_id = f"c{number}-{count}"
            reply = await client.fetch(request_id, "dom", 1200, key=f"key-{request_id}", body=b"passed")
            served += reply.status == 200
        client.close()
        return served

    served = sum(await asyncio.gather(*(send_verdicts(number) for number in range(4))))
    record.say(f"{served} requests served, {resets} resets")
    if served < 100 or TROUBLE and resets < 10:
        raise CannotRun("too few requests or resets")
    return [
        f"{key} was run by " + " and ".join(f"{name} in {zone_of[name]}" for name in names)
        for key, names in runs.items()
        if len(names) > 1
    ]


main(play, __file__)
