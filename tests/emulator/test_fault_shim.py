"""The fault shim, in processes that do one thing each."""

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

TRY_SOCKET = """
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


def output(program: str, faults: Faults, *arguments: str) -> list[str]:
    command = [sys.executable, "-c", program, *arguments]
    environment = faults.environment(build_shim())
    done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60, check=True)
    return done.stdout.split("\n")[:-1]


def test_a_call_fails_so_many_times_with_its_errno_and_each_is_traced(tmp_path: Path) -> None:
    trace_path = tmp_path / "trace"
    faults = Faults(
        rules=(FaultRule(SystemCall.SOCKET, fail_with(errno.ENFILE), max_faults=2),), trace_path=trace_path
    )
    assert output(TRY_SOCKET, faults) == [str(errno.ENFILE)] * 2 + ["open"]
    assert [line.split()[1:] for line in trace_path.read_text().splitlines()] == [["socket", "E23"]] * 2


def test_the_share_that_fails_follows_from_the_seed() -> None:
    ends = set()
    for seed in range(8):
        faults = Faults(seed, (FaultRule(SystemCall.SOCKET, fail_with(errno.EMFILE), share=0.5),))
        assert output(TRY_SOCKET, faults) == output(TRY_SOCKET, faults)
        ends.add(tuple(output(TRY_SOCKET, faults)))
    assert len(ends) > 1


@pytest.mark.parametrize("offset", [-3600, 5, 3600])
def test_the_wall_clock_is_stepped_and_no_other(offset: int) -> None:
    wall, monotonic = output(WALL_CLOCK, Faults(clock_steps=(ClockStep(0, offset),)))[0].split()
    assert abs(int(wall) - time.time() - offset) < 3 and abs(float(monotonic) - time.monotonic()) < 3


def test_reads_are_short() -> None:
    assert output(SHORT_READS, Faults(rules=(FaultRule(SystemCall.RECV, SHORT_TRANSFER),))) == ["b'a' b'b'"]


def test_the_process_is_held_up_behind_a_reading_of_its_clock() -> None:
    rule = FaultRule(SystemCall.CLOCK, stall_for(200), max_faults=1)
    began = time.monotonic()
    output("import time; time.monotonic()", Faults(rules=(rule,)))
    assert time.monotonic() - began > 0.2


def test_writes_and_syncs_of_files_fail(tmp_path: Path) -> None:
    rules = (
        FaultRule(SystemCall.WRITE, fail_with(errno.ENOSPC)),
        FaultRule(SystemCall.SYNC, fail_with(errno.EIO)),
    )
    assert output(FILE_WRITE, Faults(rules=rules), str(tmp_path / "file")) == ["28", "5"]
