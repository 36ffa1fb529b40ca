"""Photo servers that sometimes answer twice, and turn some requests away; some requests must not run twice.

The photo servers write the second answer at most 4 ms after the first, on sockets without TCP_NODELAY.
"""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random

from standins import (
    PHOTO,
    TROUBLE,
    CannotRun,
    Case,
    Client,
    Discovery,
    Message,
    PhotoServer,
    answer,
    main,
    service,
    settings,
)

SECONDS = 30.0
CLIENTS = 12
MEAN_PAUSE_S = 0.05
TURNED_AWAY_SHARE = 0.1  # queue full: never run, with or without the disruption
SECOND_ANSWER_SHARE = 0.1
MAX_DRAWN_LATENESS_S, MAX_LATENESS_S = 0.003, 0.004
ORDER = service("ordre", "side_effect", 400, 1200, 0)


async def play(case: Case) -> list[str]:
    record, random = case.record, Random(6)
    runs: dict[str, list[str]] = {}  # by request id: the servers that ran it
    made: dict[str, set[bytes]] = {}  # by request id: the bodies of 200 answers
    second_answers = 0

    async def behave(server: PhotoServer, message: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal second_answers
        request_id = message.headers["x-request-id"]
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        if random.random() < TURNED_AWAY_SHARE:
            record(f"{server.name} turns {request_id} away")
            response = answer(b"queue full", "503 Service Unavailable", "X-Not-Run: 1")
        else:
            record(f"{server.name} runs {request_id}")
            runs.setdefault(request_id, []).append(server.name)
            await asyncio.sleep(server.work_s)
            body = server.body_for(message)
            made.setdefault(request_id, set()).add(body)
            response = answer(body)
        writer.write(response)
        answered_at = time.monotonic()
        if not TROUBLE or random.random() >= SECOND_ANSWER_SHARE:
            return
        await asyncio.sleep(random.uniform(0.0, MAX_DRAWN_LATENESS_S))
        lateness_s = time.monotonic() - answered_at
        if lateness_s <= MAX_LATENESS_S and not writer.is_closing():
            second_answers += 1
            record(f"{server.name}: second answer to {request_id}, {lateness_s * 1e3:.1f} ms after the first")
            writer.write(response)

    discovery = await Discovery(record).start()
    for number in range(4):
        server = await PhotoServer(record, f"s-{number}", work_s=0.012, behave=behave).start()
        discovery.put(server.name, server.address)
    balancer = case.balancer("n1", discovery.address, settings([PHOTO, ORDER]), known=discovery.whole_list())
    balancer.start()
    await balancer.wait_until_ready()
    until = time.monotonic() + SECONDS
    served, foreign = 0, 0

    async def send_orders(number: int) -> None:
        nonlocal served, foreign
        client, count = Client(record, balancer.listen), 0
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(1 / MEAN_PAUSE_S))
            count += 1
            request_id = f"c{number}-{count}"
            reply = await client.fetch(request_id, "ordre", 1200, method="POST", body=b"passed")
            served += reply.status == 200
            if reply.status == 200 and reply.body not in made.get(request_id, ()):
                foreign += 1
                record(f"{request_id} was served {reply.body.decode()!r}")
        client.close()

    await asyncio.gather(*(send_orders(number) for number in range(CLIENTS)))
    record.say(f"{served} requests served, {second_answers} second answers, {foreign} foreign answers")
    if served < 1000 or TROUBLE and second_answers < 50:
        raise CannotRun("too few requests or second answers")
    return [
        f"{name} was run by {' and '.join(servers)}" for name, servers in runs.items() if len(servers) > 1
    ]


main(play, __file__)
