"""Stand-ins for discovery, photo servers, clients and the platform, for the cases 6 to 10 of the review.

Everything listens on free loopback ports and runs in one process and one event loop. The balancer runs as a
process of its own, started with the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000
SOCKET_SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10  # run.sh makes 1 of 10, and 2 of every other code


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """The file record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


def settings(services: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Settings like those of the example in WIRE-baydeal.md, with other classes."""
    bounds = {
        "cancelling": True,
        "connectTimeoutNs": 120 * MS,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 8000,
        "keepaliveNs": 15_000 * MS,
        "maxAttempts": 3,
        "maxRetryAfterNs": 2_000 * MS,
        "mayTell": False,
        "mostHeld": 20000,
        "multiplex": 1,
        "probes": True,
        "retryAfter": True,
        "secondCopies": True,
        **changes.pop("bounds", {}),
    }
    obligations = {
        "answerSlackNs": 8 * MS,
        "askEveryNs": 10_000 * MS,
        "coldFrom": 0.36,
        "coldNs": 8_600 * MS,
        "drainGraceNs": 300 * MS,
        "fallNs": 3_000 * MS,
        "tipMultiple": 3.0,
        **changes.pop("obligations", {}),
    }
    return {
        "az": 0,
        "balancers": 2,
        "bounds": bounds,
        "clients": {"marksRetry": True},
        "costs": {},
        "discovery": "push",
        "domain": {"warmKeys": False},
        "domainType": "proxy",
        "failureDomains": ["aarhus-nord", "vejle-syd"],
        "goal": {"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.05},
        "kinds": ["enkelt", "dobbelt"],
        "layer": 0,
        "me": 0,
        "obligations": obligations,
        "overShareWorth": 0.2,
        "parties": [{"name": "nordstal", "quotaPerS": 500.0, "share": 1.0}],
        "report": {"fields": ["busy_reqs", "svc_ms"], "how": "pull"},
        "services": services,
        "stepNs": 2 * MS,
        "tiers": ["billedserver"],
        "valueBy": "request",
        "weights": "silent",
        **changes,
    }


def service(
    name: str, idempotency: str, goal_ms: int, deadline_ms: int, window_ms: int, worth: float = 5.0
) -> dict[str, Any]:
    """One class of requests."""
    return {
        "name": name,
        "idempotency": idempotency,
        "goalTimeNs": goal_ms * MS,
        "deadlineNs": deadline_ms * MS,
        "windowNs": window_ms * MS,
        "group": "all",
        "lateShare": 0.0,
        "stream": False,
        "worth": worth,
    }


# The classes of fkb-jylland.
PHOTO = service("seneste-billede", "pure", 250, 600, 5000)
HISTORY = service("historik", "pure", 750, 4000, 5000, worth=1.0)
VERDICT = service("dom", "token", 400, 1200, 1200)


@dataclass
class Message:
    """One HTTP request, and when its last byte came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one request; raises IncompleteReadError or ConnectionError when the connection ends."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    method, target, _ = lines[0].split(" ")
    return Message(method, target, headers, body, time.monotonic())


def answer(body: bytes, status: str = "200 OK", *extra: str) -> bytes:
    """An HTTP response with a length."""
    head = "".join(f"{line}\r\n" for line in extra)
    return f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Discovery:
    """The agent: whole lists, and watches that are held until something newer exists.

    `delay_s` is the time from a call, or from the end of its wait, to the answer. A silent agent accepts,
    reads and writes nothing: up to QUEUE_LENGTH connections come up, and further ones do not.
    """

    QUEUE_LENGTH = 16

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.generation = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.delay_s = 0.0
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.calls: set[asyncio.Task[None]] = set()
        self.listening = socket.socket()
        self.address = ""

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(self.QUEUE_LENGTH)
        self.listening.setblocking(False)
        self.address = f"127.0.0.1:{self.listening.getsockname()[1]}"
        self.speak()
        return self

    def speak(self) -> None:
        """Accept and answer from now on."""
        asyncio.get_running_loop().add_reader(self.listening, self._accept)

    def silence(self) -> None:
        """Accept and answer nothing from now on; open connections stay open, and their calls unanswered."""
        asyncio.get_running_loop().remove_reader(self.listening)
        for call in self.calls:
            call.cancel()

    def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        asyncio.get_running_loop().remove_reader(self.listening)
        self.listening.close()

    def _accept(self) -> None:
        with suppress(BlockingIOError):
            accepted, _ = self.listening.accept()
            accepted.setblocking(False)
            call = asyncio.get_running_loop().create_task(self._attach(accepted))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        self.writers.add(writer)  # also keeps it open after the call has been cancelled
        await self._serve(reader, writer)

    def put(self, name: str, address: str, lifecycle: str = "active", **more: Any) -> None:
        """Add or change one entry of the list, as a new generation."""
        self.generation += 1
        self.entries[name] = {
            "instanceId": name,
            "hostPort": address,
            "zone": "aarhus-nord",
            "machineType": "enkelt",
            "cell": 3,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            **more,
        }
        self.changed_in[name] = self.generation
        self.record(f"{self.name}: generation {self.generation}: {name} is {lifecycle}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole_list(self) -> dict[str, Any]:
        """The answer to a call without a generation."""
        listed = [e for e in self.entries.values() if e["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def changes_since(self, generation: int) -> dict[str, Any]:
        """The answer to a watch."""
        changed = [e for n, e in self.entries.items() if self.changed_in[n] > generation]
        return {"generation": self.generation, "reset": False, "instances": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.record(f"{self.name}: called with {message.target}")
                document = await self._answer(message.target)
                await asyncio.sleep(self.delay_s)
                writer.write(answer(json.dumps(document).encode()))
                self.record(f"{self.name}: wrote generation {document['generation']} for {message.target}")
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "from" not in query:
            return self.whole_list()
        generation = int(query["from"])
        until = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while self.generation <= generation and time.monotonic() < until:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
        return self.changes_since(generation)


Behave = Callable[["PhotoServer", Message, asyncio.StreamWriter], Awaitable[None]]


class PhotoServer:
    """A photo server: answers each request with its id, after `work_s`, unless `behave` does otherwise."""

    def __init__(self, record: Record, name: str, work_s: float = 0.01, behave: Behave | None = None) -> None:
        self.record, self.name, self.work_s, self.behave = record, name, work_s, behave
        self.requests: list[Message] = []
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> PhotoServer:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 17)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                if message.target.startswith(("/health", "/status")):
                    writer.write(answer(b"", "404 Not Found"))
                    continue
                self.requests.append(message)
                self.record(f"{self.name}: got {message.method} {message.headers.get('x-request-id')}")
                if self.behave is not None:
                    await self.behave(self, message, writer)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(answer(self.body_for(message)))
                await writer.drain()
        writer.close()

    def body_for(self, message: Message) -> bytes:
        """The answer to this request: it names the request and the server."""
        return f"answer to {message.headers.get('x-request-id')} by {self.name}".encode()


@dataclass
class Reply:
    """What a client saw: status 0 means that the connection ended without a whole answer."""

    status: int
    body: bytes
    sent_at: float
    ended_at: float


class Client:
    """One client connection; it sends one request at a time."""

    def __init__(self, record: Record, address: str) -> None:
        self.record = record
        self.host, _, port = address.partition(":")
        self.port = int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 18)

    async def fetch(
        self,
        request_id: str,
        service_name: str,
        deadline_ms: int,
        key: str | None = None,
        body: bytes = b"",
        method: str = "",
        patience_s: float = 0.0,
    ) -> Reply:
        """Send one request and wait for its answer, at most 2 s (or `patience_s`) beyond its deadline."""
        if self.writer is None or self.writer.is_closing():
            await self.connect()
        assert self.reader is not None and self.writer is not None
        method = method or ("GET" if key is None else "POST")
        head = (
            f"{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {request_id}\r\n"
            f"X-Class: {service_name}\r\nX-Tenant: nordstal\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        )
        if key is not None:
            head += f"Idempotency-Key: {key}\r\n"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        sent_at = time.monotonic()
        self.record(f"client: sends {request_id} ({service_name}, {deadline_ms} ms)")
        status, content = 0, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + (patience_s or 2.0)):
                self.writer.write(head.encode() + b"\r\n" + body)
                status, content, keeps = await self._read_reply()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record(f"client: no answer to {request_id}: {type(error).__name__}")
            keeps = False
        ended_at = time.monotonic()
        if status:
            self.record(f"client: {request_id} answered {status} {content[:60]!r}")
        if not keeps:
            self.close()
        return Reply(status, content, sent_at, ended_at)

    async def _read_reply(self) -> tuple[int, bytes, bool]:
        assert self.reader is not None
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
        body = await self.reader.readexactly(int(headers["content-length"]))
        return int(lines[0].split(" ")[1]), body, headers.get("connection", "").lower() != "close"

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as the connections of a process that dies end."""
    with suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def keep_sending(
    record: Record, address: str, name: str, until: float, pause_s: float, service_name: str, deadline_ms: int
) -> list[Reply]:
    """One client that sends one request after another until a time."""
    client, replies = Client(record, address), list[Reply]()
    while time.monotonic() < until:
        await asyncio.sleep(pause_s)
        try:
            replies.append(await client.fetch(f"{name}-{len(replies)}", service_name, deadline_ms))
        except OSError as error:
            record(f"client: {name} can't connect: {error}")
            client.close()
    client.close()
    return replies


def late_sends(server: PhotoServer, told_at: float, grace_s: float) -> list[str]:
    """The requests that reached a server later than it was allowed after a drain was told."""
    limit = told_at + grace_s + SOCKET_SLACK_S
    return [
        f"{m.headers['x-request-id']} was sent to {server.name} {m.at - told_at:.3f} s after it counted as "
        f"told that this server drains; allowed are {grace_s + SOCKET_SLACK_S:.2f} s"
        for m in server.requests
        if m.at > limit
    ]


def free_address() -> str:
    """A loopback address that was free at the time of the call."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


@dataclass
class Balancer:
    """One balancer process."""

    record: Record
    folder: Path
    name: str
    discovery: str
    settings: dict[str, Any]
    known: dict[str, Any] | None = None
    limits: dict[str, Any] = field(default_factory=lambda: {"cores": 1.0, "memory_mb": 128, "sockets": 512})
    listen: str = field(default_factory=free_address)
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def config_path(self) -> Path:
        """Its configuration file."""
        return self.folder / f"{self.name}.json"

    def write_config(self) -> None:
        """Replace its configuration file."""
        document = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": f"{self.starts:016x}",
            "limits": self.limits,
            "settings": self.settings,
        }
        if self.known is not None:
            document["known"] = self.known
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(document), encoding="utf-8")
        new.replace(self.config_path)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.starts += 1
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.listen,
            "NODE_DISCOVERY": self.discovery,
            "NODE_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"platform: started {self.name} at {self.listen}")

    async def wait_until_ready(self, within_s: float = 30.0) -> None:
        """Wait until GET /ready has answered 200."""
        host, _, port = self.listen.partition(":")
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended: {self.log()[-500:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    status = await reader.readline()
                    writer.close()
                if b" 200 " in status:
                    self.record(f"platform: {self.name} is ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} was not ready after {within_s} s: {self.log()[-500:]}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.record(f"platform: {number.name} to {self.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """What it has written so far."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""


class Case:
    """What every case needs: the record, a temporary folder, and the processes to end."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = temporary
        self.balancers: list[Balancer] = []
        self.record(f"TROUBLE={int(TROUBLE)}")

    def balancer(self, name: str, discovery: str, raw_settings: dict[str, Any], **more: Any) -> Balancer:
        """A balancer that is not started yet."""
        created = Balancer(self.record, self.temporary, name, discovery, raw_settings, **more)
        self.balancers.append(created)
        return created


def main(play: Callable[[Case], Awaitable[list[str]]], script: str) -> None:
    """Play a case. `play` returns what broke the rule."""
    folder = Path(script).resolve().parent
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(folder, Path(temporary))

        async def limited() -> list[str]:
            async with asyncio.timeout(110.0):
                return await play(case)

        try:
            # The loop is not closed: at the end, streams that are left open would report that.
            breaches = asyncio.new_event_loop().run_until_complete(limited())
            for line in breaches[:20]:
                case.record.say(f"BROKEN: {line}")
            case.record.say(f"{len(breaches)} breaches" if breaches else "the rule held")
            code = BROKEN if breaches else HELD
        except (Exception, KeyboardInterrupt, SystemExit) as error:
            case.record.say(f"the case could not run: {type(error).__name__} {error}")
        finally:
            for balancer in case.balancers:
                balancer.end()
                for line in balancer.log().splitlines():
                    case.record(f"log of {balancer.name}: {line}")
            case.record.file.close()
    sys.stdout.flush()
    os._exit(code)
