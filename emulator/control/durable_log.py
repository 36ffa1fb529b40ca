"""An append-only log of records that survives a crash at any point.

Each record is preceded by its length and checksum. What a crash left unfinished at the end is cut off when
the log is opened again; whatever `append` has returned from is there. So is what follows an `append` that
failed half-way: its remains are cut off first, or all behind them would be taken for torn.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from emulator.control.messages import Record

RECORD_HEADER = struct.Struct("!II")  # length and checksum of the record that follows
MAX_RECORD_BYTES = 16 * 1024 * 1024  # bytes; a longer one is taken for a torn header

_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)

FaultPointHook = Callable[
    [str], None
]  # called at each point at which a crash is of interest; tests raise there


def ignore_fault_point(point: str) -> None:
    """The fault point of a machine that does not crash."""


def encode_record(record: Record) -> bytes:
    """The record as it stands in the file."""
    body = msgspec.msgpack.encode(record)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_records(data: bytes) -> tuple[list[Record], int]:
    """All whole records from the start, and the length that they take up."""
    records: list[Record] = []
    end = 0
    while end + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, end)
        body = data[end + RECORD_HEADER.size : end + RECORD_HEADER.size + length]
        if length > MAX_RECORD_BYTES or len(body) < length or zlib.crc32(body) != checksum:
            break
        records.append(_decoder.decode(body))
        end += RECORD_HEADER.size + length
    return records, end


class DurableLog:
    """The log of one machine; `records` is what was found in it as it was opened."""

    def __init__(self, path: Path, on_fault_point: FaultPointHook = ignore_fault_point) -> None:
        self.on_fault_point = on_fault_point
        is_new = not path.exists()
        self.file = open(path, "r+b" if not is_new else "w+b", buffering=0)  # noqa: SIM115
        self.records, end = decode_records(self.file.read())
        self.end = end  # of the records that are durable, in bytes
        self.unfinished = True  # there may be bytes behind that end
        self._cut_off_unfinished()
        os.fsync(self.file.fileno())
        if is_new:
            self._sync_folder(path.parent)

    @staticmethod
    def _sync_folder(folder: Path) -> None:
        """Make the file's name durable too."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def append(self, records: list[Record]) -> None:
        """Write these; on return they are durable. OSError: they may be not, and may be tried again."""
        if not records:
            return
        data = b"".join(map(encode_record, records))
        half = len(data) // 2
        self._cut_off_unfinished()
        self.unfinished = True
        self.on_fault_point("before the write")
        self._write(data[:half])
        self.on_fault_point("in the middle of the write")
        self._write(data[half:])
        self.on_fault_point("before the sync")
        os.fsync(self.file.fileno())
        self.on_fault_point("after the sync")
        self.unfinished = False
        self.end += len(data)

    def _cut_off_unfinished(self) -> None:
        """Remove what an append that failed has left.

        After a failed sync too: the system may take the pages for clean, so that another sync would do
        without having written them. Written anew they are.
        """
        if self.unfinished:
            self.file.truncate(self.end)
            self.unfinished = False
        self.file.seek(self.end)

    def _write(self, data: bytes) -> None:
        while data:
            data = data[self.file.write(data) :]

    def close(self) -> None:
        """Close the file."""
        self.file.close()
