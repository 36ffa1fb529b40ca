"""Connections to some photo servers come up a second late: is a verdict recorded twice?"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig

SECONDS = 90
BALANCERS = 2
SERVERS = 8
CLIENTS = 40
RESET_SHARE = 0.1  # of the requests: the connection is reset under them once they have run
CLOSE_SHARE = 0.5  # of the answers: the photo server closes the connection after them
# Connections that are asked for in the first of these phases come up 1 s later: a third of all.
WAIT_PHASE_S = 0.5
OPEN_PHASE_S = 1.0
BACKLOG = 100  # connections that wait to be accepted in the second phase
WORK_S = {"seneste-billede": 0.014, "historik": 0.045, "dom": 0.048}
DEADLINE_MS = {"seneste-billede": 600, "historik": 4000, "dom": 1200}
WINDOW_S = 0.3
SERVICES = [
    rig.service("seneste-billede", "pure", goalTimeNs=250_000_000, deadlineNs=600_000_000),
    rig.service("historik", "pure", goalTimeNs=750_000_000, deadlineNs=4_000_000_000, worth=1.0),
    rig.service("dom", "token", windowNs=int(WINDOW_S * 1e9)),
]
# Each time limit is 50 ms longer on sockets, and a balancer may be held up for 0.15 s before it writes.
MARGIN_S = 0.05 + 0.15
BOUNDS = {**rig.settings([])["bounds"], "connectTimeoutNs": 1_500_000_000}


class LateServer(rig.PhotoServer):
    """A photo server to which connections that are asked for in its waiting phase come up 1 s late.

    Its listening socket then has room for one connection that is not accepted yet. While that place is taken
    the system drops what asks for another one, and the balancer's system asks again after 1 s.
    """

    lateness_s: float = 0.0  # of a connection of the stand-in's own, the longest

    async def start(self) -> None:
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(BACKLOG)
        self.listening.setblocking(False)
        self.address = self.listening.getsockname()
        self.tasks = [asyncio.create_task(self._take_turns())]

    async def _take_turns(self) -> None:
        open_s = random.random() * OPEN_PHASE_S  # the photo servers' phases are not in step
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(open_s):
                    await self._accept()
            open_s = OPEN_PHASE_S
            if rig.trouble():
                self.listening.listen(0)
                fills = [socket.socket() for _ in range(2)]
                for fill in fills:
                    fill.setblocking(False)
                    with suppress(BlockingIOError):
                        fill.connect(self.address)
                self.tasks.append(asyncio.create_task(self._measure()))
                await asyncio.sleep(WAIT_PHASE_S)
                for fill in fills:
                    fill.close()
                self.listening.listen(BACKLOG)

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.listening)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self.tasks.append(asyncio.create_task(self._serve(reader, writer)))

    async def _measure(self) -> None:
        """Open a connection and close it, to see how late it comes up."""
        await asyncio.sleep(WAIT_PHASE_S / 2)
        asked_at = time.monotonic()
        with suppress(OSError):
            _, writer = await asyncio.open_connection(*self.address)
            self.lateness_s = max(self.lateness_s, time.monotonic() - asked_at)
            self.record(f"a connection to {self.name} comes up after {time.monotonic() - asked_at:.3f} s")
            writer.close()


async def play(folder: Path, record: rig.Record) -> bool:
    draw = random.Random(26)
    applied: dict[str, tuple[float, float]] = {}  # by key: when its verdict was first recorded, time left
    twice: list[str] = []

    async def handle(server: rig.PhotoServer, message: rig.Message, writer: asyncio.StreamWriter) -> None:
        now = time.monotonic()
        request_id = message.headers["x-request-id"]
        left_s = int(message.headers["x-deadline-ms"]) / 1000
        key = message.headers.get("idempotency-key")
        if key is not None and key not in applied:
            applied[key] = now, left_s
            record(f"server {server.name} records the verdict of {request_id}, {left_s:.3f} s left")
        elif key is not None:
            first_at, first_left_s = applied[key]
            # By the time left that the balancer told with each, and not by when the stand-in read them.
            sent_later_s = first_left_s - left_s
            if now - first_at <= WINDOW_S:
                record(f"server {server.name} drops a repeat of {request_id}, {left_s:.3f} s left")
            else:
                record(
                    f"server {server.name} records {request_id} again, {left_s:.3f} s left; it came "
                    f"{now - first_at:.3f} s after the first, and was sent {sent_later_s:.3f} s after it"
                )
                if min(now - first_at, sent_later_s) > WINDOW_S + MARGIN_S:
                    twice.append(request_id)
                    record(f"BROKEN: {request_id} was sent again out of its window and is recorded twice")
        await asyncio.sleep(WORK_S[request_id.partition("/")[0]] * draw.uniform(0.5, 1.5))
        if rig.trouble() and draw.random() < RESET_SHARE:
            record(f"server {server.name} resets the connection of {request_id}")
            rig.reset(writer)
            return
        record(f"server {server.name} answers {request_id}")
        body = f"{server.name} made this for {request_id}".encode()
        close = b"Connection: close\r\n" if draw.random() < CLOSE_SHARE else b""
        writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (close, len(body), body))
        if close:
            writer.close()

    servers = [
        LateServer(f"s{n}", ("aarhus-nord", "vejle-syd")[n % 2], handle, record) for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    balancers = []
    for n in range(BALANCERS):
        agent = rig.Agent(record)
        await agent.start(servers)
        the_settings = rig.settings(SERVICES, BALANCERS, me=n, az=n, bounds=BOUNDS)
        balancers.append(rig.balancer(f"n{n}", folder, record, agent, the_settings))
    served = 0

    async def client(number: int, ends_at: float) -> None:
        nonlocal served
        connection = rig.Client(balancers[number % BALANCERS].address)
        count = 0
        while time.monotonic() < ends_at:
            await asyncio.sleep(draw.expovariate(1 / 0.14))
            count += 1
            class_name = draw.choices(list(WORK_S), [43, 37, 20])[0]
            request_id = f"{class_name}/{number}/{count}"
            key, body = ("key" + request_id, b"ok") if class_name == "dom" else ("", b"")
            request = rig.http_request(request_id, class_name, DEADLINE_MS[class_name], key, body)
            record(f"client sends {request_id} to balancer n{number % BALANCERS}")
            try:
                answer = await connection.fetch(request, DEADLINE_MS[class_name] / 1000 + 0.55)
            except (OSError, EOFError, TimeoutError) as error:
                record(f"client gets no answer to {request_id}: {type(error).__name__}")
                connection.close()
                continue
            record(f"client gets {answer.start_line} for {request_id}")
            served += " 200 " in answer.start_line

    try:
        for balancer in balancers:
            await balancer.start()
        ends_at = time.monotonic() + SECONDS
        await asyncio.gather(*(client(n, ends_at) for n in range(CLIENTS)))
    finally:
        for balancer in balancers:
            await balancer.stop()
    if served < 1000:
        raise rig.CannotRun(f"only {served} requests were served")
    if rig.trouble() and not any(0.5 < server.lateness_s < 1.5 for server in servers):
        raise rig.CannotRun("no connection came up late")
    summary = (
        f"{served} served; {len(applied)} verdicts, {len(twice)} of them recorded twice, out of the window"
    )
    record(summary)
    print(summary)
    return not twice


if __name__ == "__main__":
    sys.exit(rig.run_case(play))
