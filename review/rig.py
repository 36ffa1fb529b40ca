"""Stand-ins on loopback and a runner for the review cases; standard library alone.

A case starts balancers with the `run` command of the deploy file. Discovery, photo servers and clients run in
the case's own process. Everything that was sent, answered and run goes to record.txt.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)


class CannotRun(Exception):
    """The case could not be played; the text says why."""


class Record:
    """Writes record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def close(self) -> None:
        self.file.close()


def service(name: str, idempotency: str, **changes: Any) -> dict[str, Any]:
    """A request class of the settings, by default with the figures of the site's class `dom`."""
    return {
        "name": name,
        "goalTimeNs": 400_000_000,
        "deadlineNs": 1_200_000_000,
        "worth": 5.0,
        "idempotency": idempotency,
        "group": "all",
        "windowNs": 1_200_000_000,
        "lateShare": 0.0,
        "stream": False,
        **changes,
    }


def settings(services: list[dict[str, Any]], balancers: int = 1, **changes: Any) -> dict[str, Any]:
    """Settings like the example of the wire page, a small deployment with pushed lists."""
    return {
        "az": 0,
        "balancers": balancers,
        "bounds": {
            "cancelling": True,
            "connectTimeoutNs": 120_000_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 8000,
            "keepaliveNs": 15_000_000_000,
            "maxAttempts": 3,
            "maxRetryAfterNs": 2_000_000_000,
            "mayTell": False,
            "mostHeld": 20000,
            "multiplex": 1,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
        },
        "clients": {"marksRetry": True},
        "discovery": "push",
        "domain": {"warmKeys": False},
        "domainType": "proxy",
        "failureDomains": ["aarhus-nord", "vejle-syd"],
        "goal": {"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.05},
        "kinds": ["enkelt", "dobbelt"],
        "layer": 0,
        "me": 0,
        "obligations": {
            "answerSlackNs": 8_000_000,
            "askEveryNs": 10_000_000_000,
            "coldFrom": 0.36,
            "coldNs": 8_600_000_000,
            "drainGraceNs": 300_000_000,
            "fallNs": 3_000_000_000,
            "tipMultiple": 3.0,
        },
        "overShareWorth": 0.2,
        "parties": [
            {"name": "nordstal", "quotaPerS": 55.0, "share": 0.5},
            {"name": "limfjord-plast", "quotaPerS": 48.0, "share": 0.5},
        ],
        "report": {"fields": ["busy_reqs", "svc_ms"], "how": "pull"},
        "services": services,
        "stepNs": 2_000_000,
        "tiers": ["billedserver"],
        "valueBy": "request",
        "weights": "silent",
        **changes,
    }


@dataclass
class Message:
    """A complete HTTP message."""

    start_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a Content-Length, or none."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as when its process dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Handler = Callable[["PhotoServer", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class PhotoServer:
    """A photo server; its handler answers each request once the request's last byte has come."""

    name: str
    zone: str
    handler: Handler
    record: Record
    lifecycle: str = "active"
    started_at_ms: int = 0
    address: tuple[str, int] = ("", 0)
    server: asyncio.Server | None = None
    begun: list[tuple[float, str]] = field(
        default_factory=list
    )  # when the last byte of a request came, its id

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError, *CONNECTION_ERRORS):
            while not writer.transport.is_closing():
                message = await read_message(reader)
                request_id = message.headers.get("x-request-id", "-")
                self.begun.append((time.monotonic(), request_id))
                self.record(f"server {self.name} begins {request_id} {message.start_line}")
                await self.handler(self, message, writer)
        writer.close()

    def entry(self) -> dict[str, Any]:
        """Its row in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "machineType": "enkelt",
            "cell": 1 if self.zone == "aarhus-nord" else 2,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }


class Agent:
    """Discovery's agent on a balancer's machine: answers at once, holds watches, pushes changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.answer_delay_s = 0.0  # how late each answer comes
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.address: tuple[str, int] = ("", 0)

    async def start(self, servers: list[PhotoServer]) -> None:
        for server in servers:
            self.rows[server.name], self.changed_in[server.name] = server.entry(), 1
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def tell(self, server: PhotoServer) -> None:
        """Have a changed entry from now on."""
        self.generation += 1
        self.rows[server.name], self.changed_in[server.name] = server.entry(), self.generation
        self.record(f"discovery has generation {self.generation}: {server.name} is {server.lifecycle}")
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, since: int | None) -> dict[str, Any]:
        rows = [row for name, row in self.rows.items() if since is None or self.changed_in[name] > since]
        if since is None:
            rows = [row for row in rows if row["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": since is None, "instances": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError, *CONNECTION_ERRORS):
            while True:
                message = await read_message(reader)
                self.record(f"discovery is asked {message.start_line}")
                path, _, query = message.start_line.split()[1].partition("?")
                if path != "/v1/endpoints":
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                arguments = dict(pair.split("=") for pair in query.split("&") if pair)
                since = int(arguments["from"]) if "from" in arguments else None
                if since is not None and since >= self.generation:
                    with suppress(TimeoutError):
                        hold_s = min(int(arguments.get("hold_ms", "0")), 60_000) / 1000
                        await asyncio.wait_for(self.changed.wait(), hold_s)
                await asyncio.sleep(self.answer_delay_s)
                body = json.dumps(self.listing(since)).encode()
                self.record(f"discovery answers with generation {self.generation}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()


@dataclass
class BalancerProcess:
    """A balancer, started by the `run` command in a process group of its own."""

    name: str
    config: dict[str, Any]
    folder: Path
    record: Record
    address: tuple[str, int] = ("", 0)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.address = ("127.0.0.1", free_port())
        self.config["listen"] = "{}:{}".format(*self.address)
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        tmp = self.folder / f"{self.name}.tmp"
        tmp.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(tmp),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=end_with_parent,
            )
        await self._wait_until_ready()
        self.record(f"balancer {self.name} is ready at {self.config['listen']}")

    async def _wait_until_ready(self) -> None:
        give_up_at = time.monotonic() + 30
        while time.monotonic() < give_up_at:
            with suppress(TimeoutError, *CONNECTION_ERRORS):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                    answer = await read_message(reader)
                    writer.close()
                    if " 200 " in answer.start_line:
                        return
            assert self.process is not None
            if self.process.returncode is not None:
                raise CannotRun(f"the balancer ended at its start with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CannotRun("the balancer was not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"{number.name} to balancer {self.name}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


def end_with_parent() -> None:
    """Have the system end this process if the case is killed (prctl PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))


def free_port() -> int:
    """A loopback port that was free at the time of the call."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return int(bound.getsockname()[1])


def balancer(
    name: str, folder: Path, record: Record, agent: Agent, the_settings: dict[str, Any]
) -> BalancerProcess:
    """A balancer whose known list is what discovery has."""
    config = {
        "name": name,
        "discovery": "{}:{}".format(*agent.address),
        "seed": f"{time.time_ns():016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": agent.listing(None),
        "settings": the_settings,
    }
    return BalancerProcess(name, config, folder, record)


def http_request(
    request_id: str, class_name: str, deadline_ms: int, key: str = "", body: bytes = b""
) -> bytes:
    """A client's request as the protocol page writes it: POST if it has a key or a body, else GET."""
    lines = [
        f"{'POST' if key or body else 'GET'} /api HTTP/1.1",
        "Host: backend.local",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        "X-Tenant: nordstal",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if key or body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """A client with one kept connection; one request at a time, once more if a close crosses the request."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def fetch(self, request: bytes, timeout_s: float) -> Message:
        """Send a request and return its whole answer; OSError, EOFError or TimeoutError if none comes."""
        async with asyncio.timeout(timeout_s):
            if self.reader is not None:
                try:
                    return await self._exchange(request)
                except (ConnectionError, asyncio.IncompleteReadError) as error:
                    self.close()
                    if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                        raise
            self.reader, self.writer = await asyncio.open_connection(*self.address)
            return await self._exchange(request)

    async def _exchange(self, request: bytes) -> Message:
        assert self.reader is not None and self.writer is not None
        self.writer.write(request)
        answer = await read_message(self.reader)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[Path, Record], Coroutine[Any, Any, bool]]) -> int:
    """Play a case that returns whether the rule held, and return the exit code of its script."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            held = asyncio.run(asyncio.wait_for(play(Path(temporary), record), 115))
    except Exception as error:  # whatever failed here, it was not the balancer that broke a rule
        record(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return COULD_NOT_RUN
    finally:
        record.close()
    return HELD if held else BROKEN
