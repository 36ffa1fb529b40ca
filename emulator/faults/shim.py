"""Builds the fault shim and words its environment."""

from __future__ import annotations

import errno
import hashlib
import os
import shutil
import subprocess
import tempfile
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("shim.c")
COMPILERS = ("cc", "gcc", "clang")
FOREVER_MS = 10**9


class ShimBuildError(RuntimeError):
    """There is no C compiler on this machine, or it failed."""


class SystemCall(Enum):
    """System calls that can be made to suffer; RECV and SEND are of sockets, WRITE and SYNC of files."""

    SOCKET = "socket"
    BIND = "bind"
    LISTEN = "listen"
    ACCEPT = "accept"
    CONNECT = "connect"
    RECV = "recv"
    SEND = "send"
    WAIT = "wait"
    POLL = "poll"
    WRITE = "write"
    SYNC = "sync"
    CLOCK = "clock"


# Errors that Linux documents for the call and that may pass within a moment. A client's or server's broken
# connection is told by RECV and SEND.
TRANSIENT_ERRORS_BY_CALL: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.SOCKET: (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.BIND: (errno.ENOMEM, errno.EADDRINUSE),
    SystemCall.LISTEN: (errno.EADDRINUSE,),
    SystemCall.ACCEPT: (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
    ),
    SystemCall.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ECONNREFUSED),
    SystemCall.RECV: (errno.EINTR,),
    SystemCall.SEND: (errno.EINTR,),
    SystemCall.WAIT: (errno.EINTR,),
    SystemCall.WRITE: (errno.ENOSPC, errno.EIO),
    SystemCall.SYNC: (errno.EIO, errno.ENOSPC),
}


@dataclass(frozen=True, slots=True)
class FaultRule:
    """What happens to a share of one call's uses, from one moment of the process's life to another."""

    call: SystemCall
    action: str
    share: float = 1.0
    max_faults: int = 0  # times; 0: no bound
    from_ms: int = 0
    until_ms: int = FOREVER_MS

    def encode(self) -> str:
        """The rule as the shim reads it."""
        return (
            f"{self.call.value} {self.action} {self.share} {self.max_faults} {self.from_ms} {self.until_ms}"
        )


def fail_with(error_number: int) -> str:
    """The action of a call that fails with this errno."""
    return f"E{error_number}"


def stall_for(milliseconds: int) -> str:
    """The action of a call that the process is held up in."""
    return f"H{milliseconds}"


SHORT_TRANSFER = "S"  # the action of a read or write that moves one byte at the most


@dataclass(frozen=True, slots=True)
class ClockStep:
    """The wall clock is off by so much from a moment of the process's life on."""

    at_ms: int
    offset_s: int


@dataclass(frozen=True, slots=True)
class Faults:
    """All that the shim does to one process."""

    seed: int = 0
    rules: tuple[FaultRule, ...] = ()
    clock_steps: tuple[ClockStep, ...] = field(default=())
    trace_path: Path | None = None  # gets a line for each fault: milliseconds, call, action

    def environment(self, library: Path) -> dict[str, str]:
        """Variables for the process, beside its own."""
        variables = {
            "LD_PRELOAD": str(library),
            "FAULT_SHIM_SEED": str(self.seed),
            "FAULT_SHIM_RULES": ";".join(rule.encode() for rule in self.rules),
            "FAULT_SHIM_CLOCK": ";".join(f"{step.at_ms} {step.offset_s}" for step in self.clock_steps),
        }
        if self.trace_path is not None:
            variables["FAULT_SHIM_TRACE"] = str(self.trace_path)
        return variables


def build_shim(folder: Path | None = None) -> Path:
    """The shim as a library, compiled once for each source; CompilerMissingError if it cannot be."""
    folder = folder or Path(tempfile.gettempdir()) / f"fault-shim-{os.getuid()}"
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    library = folder / f"shim-{hashlib.sha256(SHIM_SOURCE.read_bytes()).hexdigest()[:16]}.so"
    if library.exists():
        return library
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        raise ShimBuildError(f"none of {', '.join(COMPILERS)} is installed")
    fresh = library.with_suffix(f".{os.getpid()}")
    command = [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-o", str(fresh), str(SHIM_SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise ShimBuildError(done.stderr.strip())
    fresh.replace(library)
    return library
