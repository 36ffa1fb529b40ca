"""Compiles the fault shim (shim.c), a preloaded library, and encodes its environment variables."""

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
NO_END_MS = 10**9  # later than the end of any process under test


class ShimBuildError(RuntimeError):
    """No C compiler is installed, or the compiler failed."""


class SystemCall(Enum):
    """System calls in which the shim can inject faults.

    RECV and SEND are reads and writes of sockets, WRITE and SYNC are calls on regular files, CLOCK is a
    reading of the monotonic clock.
    """

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


# Transient errors that Linux documents for each call. A connection broken by a client or server shows up as
# an error of RECV or SEND; such errors are not transient and not listed.
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
    """A fault in a share of the uses of one call, between two times since the start of the process."""

    call: SystemCall
    action: str
    share: float = 1.0
    max_faults: int = 0  # 0: no limit
    from_ms: int = 0
    until_ms: int = NO_END_MS

    def encode(self) -> str:
        """Return the rule in the format of FAULT_SHIM_RULES."""
        return (
            f"{self.call.value} {self.action} {self.share} {self.max_faults} {self.from_ms} {self.until_ms}"
        )


def fail_with(error_number: int) -> str:
    """Return the action that makes a call fail with this errno."""
    return f"E{error_number}"


def stall_for(milliseconds: int) -> str:
    """Return the action that stalls the calling thread in the call for this time."""
    return f"H{milliseconds}"


SHORT_TRANSFER = "S"  # the action that limits a read or write to one byte


@dataclass(frozen=True, slots=True)
class ClockStep:
    """Offset of the wall clock from `at_ms` after the start of the process until the next step."""

    at_ms: int
    offset_s: int


@dataclass(frozen=True, slots=True)
class Faults:
    """All faults that the shim injects into one process."""

    seed: int = 0
    rules: tuple[FaultRule, ...] = ()
    clock_steps: tuple[ClockStep, ...] = field(default=())
    trace_path: Path | None = None  # file for a line per fault: milliseconds since the start, call, action

    def environment(self, library: Path) -> dict[str, str]:
        """Return the environment variables that preload and configure the shim."""
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
    """Compile the shim unless its source has been compiled before, and return the library's path.

    Raises ShimBuildError if it cannot be compiled.
    """
    folder = folder or Path(tempfile.gettempdir()) / f"fault-shim-{os.getuid()}"
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    library = folder / f"shim-{hashlib.sha256(SHIM_SOURCE.read_bytes()).hexdigest()[:16]}.so"
    if library.exists():
        return library
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        raise ShimBuildError(f"no C compiler is installed: {', '.join(COMPILERS)} not found")
    temporary_file = library.with_suffix(f".{os.getpid()}")
    command = [
        compiler,
        "-shared",
        "-fPIC",
        "-O2",
        "-Wall",
        "-o",
        str(temporary_file),
        str(SHIM_SOURCE),
        "-ldl",
    ]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if result.returncode:
        raise ShimBuildError(result.stderr.strip())
    temporary_file.replace(library)
    return library
