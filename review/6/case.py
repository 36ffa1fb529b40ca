"""A photo server that sometimes answers a request twice, the second time some milliseconds late."""

from __future__ import annotations

import asyncio
import time
from random import Random

from standins import (
    PHOTO,
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
    settings,
)

SECONDS = 25.0
CLIENTS = 12
MEAN_PAUSE_S = 0.05
SECOND_ANSWER_SHARE = 0.1
# The lateness is drawn from the first two; an answer that would come later than the third is left out.
MIN_LATENESS_S, MAX_DRAWN_LATENESS_S, MAX_LATENESS_S = 0.004, 0.009, 0.0099


async def play(case: Case) -> list[str]:
    record, random = case.record, Random(6)
    made: dict[str, set[bytes]] = {}
    second_answers = 0

    async def behave(server: PhotoServer, message: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal second_answers
        await asyncio.sleep(server.work_s)
        request_id = message.headers["x-request-id"]
        body = server.body_for(message)
        made.setdefault(request_id, set()).add(body)
        writer.write(answer(body))
        answered_at = time.monotonic()

        def answer_again() -> None:
            nonlocal second_answers
            lateness_s = time.monotonic() - answered_at
            if lateness_s <= MAX_LATENESS_S and not writer.is_closing():
                second_answers += 1
                record(f"{server.name}: second answer to {request_id}, {lateness_s * 1e3:.1f} ms late")
                writer.write(answer(body))

        if TROUBLE and random.random() < SECOND_ANSWER_SHARE:
            lateness_s = random.uniform(MIN_LATENESS_S, MAX_DRAWN_LATENESS_S)
            asyncio.get_running_loop().call_later(lateness_s, answer_again)

    discovery = await Discovery(record).start()
    for number in range(4):
        server = await PhotoServer(record, f"s-{number}", work_s=0.012, behave=behave).start()
        discovery.put(server.name, server.address)
    balancer = case.balancer(
        "n1", discovery.address, settings([PHOTO, VERDICT]), known=discovery.whole_list()
    )
    balancer.start()
    await balancer.wait_until_ready()
    until = time.monotonic() + SECONDS
    breaches: list[str] = []
    served = 0

    async def send_verdicts(number: int) -> None:
        nonlocal served
        client, count = Client(record, balancer.listen), 0
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(1 / MEAN_PAUSE_S))
            count += 1
            request_id = f"c{number}-{count}"
            reply = await client.fetch(request_id, "dom", 1200, key=f"key-{request_id}", body=b"passed")
            served += reply.status == 200
            if reply.status == 200 and reply.body not in made.get(request_id, ()):
                breaches.append(f"the client of {request_id} was served {reply.body.decode()!r}")
        client.close()

    await asyncio.gather(*(send_verdicts(number) for number in range(CLIENTS)))
    record.say(f"{served} requests served, {second_answers} second answers")
    if served < 1000 or TROUBLE and second_answers < 50:
        raise CannotRun("too few requests or second answers")
    return breaches


main(play, __file__)
