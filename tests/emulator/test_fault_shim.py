"""Tests of the fault shim, each with a small program in a process of its own."""

from __future__ import annotations

import errno
import subprocess
import sys
import time
from pathlib import Path

import pytest

from emulator.faults.shim import (
    SHORT_TRANSFER,
    ClockStep,
    FaultRule,
    Faults,
    SystemCall,
    build_shim,
    fail_with,
    stall_for,
)

OPEN_THREE_SOCKETS = """
import socket
for _ in range(3):
    try:
        socket.socket().close()
        print("open")
    except OSError as error:
        print(error.errno)
"""
WALL_CLOCK = "import time; print(int(time.time()), time.monotonic())"
SHORT_READS = """
import socket
a, b = socket.socketpair()
a.sendall(b"abc")
print(b.recv(3), b.recv(3))
"""
FILE_WRITE = """
import os, sys
with open(sys.argv[1], "wb", buffering=0) as file:
    for call in (lambda: file.write(b"x"), lambda: os.fsync(file.fileno())):
        try:
            call()
            print("done")
        except OSError as error:
            print(error.errno)
"""


def run_under_shim(program: str, faults: Faults, *arguments: str) -> list[str]:
    command = [sys.executable, "-c", program, *arguments]
    environment = faults.environment(build_shim())
    result = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60, check=True)
    return result.stdout.split("\n")[:-1]


def test_call_fails_with_its_errno_up_to_max_faults_and_each_fault_is_traced(tmp_path: Path) -> None:
    trace_path = tmp_path / "trace"
    faults = Faults(
        rules=(FaultRule(SystemCall.SOCKET, fail_with(errno.ENFILE), max_faults=2),), trace_path=trace_path
    )
    assert run_under_shim(OPEN_THREE_SOCKETS, faults) == [str(errno.ENFILE)] * 2 + ["open"]
    assert [line.split()[1:] for line in trace_path.read_text().splitlines()] == [["socket", "E23"]] * 2


def test_failing_calls_depend_on_the_seed_alone() -> None:
    outputs = set()
    for seed in range(8):
        faults = Faults(seed, (FaultRule(SystemCall.SOCKET, fail_with(errno.EMFILE), share=0.5),))
        assert run_under_shim(OPEN_THREE_SOCKETS, faults) == run_under_shim(OPEN_THREE_SOCKETS, faults)
        outputs.add(tuple(run_under_shim(OPEN_THREE_SOCKETS, faults)))
    assert len(outputs) > 1


@pytest.mark.parametrize("offset", [-3600, 5, 3600])
def test_clock_step_moves_only_the_wall_clock(offset: int) -> None:
    wall, monotonic = run_under_shim(WALL_CLOCK, Faults(clock_steps=(ClockStep(0, offset),)))[0].split()
    assert abs(int(wall) - time.time() - offset) < 3 and abs(float(monotonic) - time.monotonic()) < 3


def test_short_transfer_reads_one_byte() -> None:
    assert run_under_shim(SHORT_READS, Faults(rules=(FaultRule(SystemCall.RECV, SHORT_TRANSFER),))) == [
        "b'a' b'b'"
    ]


def test_stall_of_a_clock_reading_delays_the_process() -> None:
    rule = FaultRule(SystemCall.CLOCK, stall_for(200), max_faults=1)
    started_at = time.monotonic()
    run_under_shim("import time; time.monotonic()", Faults(rules=(rule,)))
    assert time.monotonic() - started_at > 0.2


def test_writes_and_syncs_of_files_fail_with_their_errno(tmp_path: Path) -> None:
    rules = (
        FaultRule(SystemCall.WRITE, fail_with(errno.ENOSPC)),
        FaultRule(SystemCall.SYNC, fail_with(errno.EIO)),
    )
    assert run_under_shim(FILE_WRITE, Faults(rules=rules), str(tmp_path / "file")) == ["28", "5"]
