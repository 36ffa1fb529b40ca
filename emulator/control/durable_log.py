"""An append-only log of records that survives a crash at any point.

Each record is preceded by its length and checksum. When the log is opened, an incomplete record that a crash
has left at the end is removed; every record whose `append` has returned is there. An `append` that fails may
also leave an incomplete record. It is removed before the next write: otherwise all records behind it would be
discarded as incomplete when the log is opened again.
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
MAX_RECORD_BYTES = 16 * 1024 * 1024  # a header that states more is treated as damaged

_record_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)

FaultPointHook = Callable[[str], None]  # called at each point of a write at which tests simulate a crash


def ignore_fault_point(point: str) -> None:
    """Do nothing: the hook of a machine that does not crash."""


def encode_record(record: Record) -> bytes:
    """Return the record with its header, as it is stored in the file."""
    body = msgspec.msgpack.encode(record)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_records(data: bytes) -> tuple[list[Record], int]:
    """Return all records before the first incomplete or damaged one, and their total length in bytes."""
    records: list[Record] = []
    end = 0
    while end + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, end)
        body = data[end + RECORD_HEADER.size : end + RECORD_HEADER.size + length]
        if length > MAX_RECORD_BYTES or len(body) < length or zlib.crc32(body) != checksum:
            break
        records.append(_record_decoder.decode(body))
        end += RECORD_HEADER.size + length
    return records, end


class DurableLog:
    """The log of one machine; `records` holds the records that were in it when it was opened."""

    def __init__(self, path: Path, on_fault_point: FaultPointHook = ignore_fault_point) -> None:
        self.on_fault_point = on_fault_point
        is_new = not path.exists()
        self.file = open(path, "r+b" if not is_new else "w+b", buffering=0)  # noqa: SIM115
        self.records, durable_size = decode_records(self.file.read())
        self.durable_size = durable_size  # bytes up to the end of the last durable record
        self.may_have_torn_tail = True  # the file may hold bytes behind `durable_size`
        self._truncate_torn_tail()
        os.fsync(self.file.fileno())
        if is_new:
            self._sync_folder(path.parent)

    @staticmethod
    def _sync_folder(folder: Path) -> None:
        """Make the directory entry of the new file durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def append(self, records: list[Record]) -> None:
        """Write these records; they are durable when this returns.

        OSError: they may not be durable, and the call may be repeated with the same records.
        """
        if not records:
            return
        data = b"".join(map(encode_record, records))
        half = len(data) // 2
        self._truncate_torn_tail()
        self.may_have_torn_tail = True
        self.on_fault_point("before the write")
        self._write(data[:half])
        self.on_fault_point("in the middle of the write")
        self._write(data[half:])
        self.on_fault_point("before the sync")
        os.fsync(self.file.fileno())
        self.on_fault_point("after the sync")
        self.may_have_torn_tail = False
        self.durable_size += len(data)

    def _truncate_torn_tail(self) -> None:
        """Remove what a failed append has left in the file.

        This includes an append whose sync failed: the kernel may mark the pages as clean after the failure,
        so that a later sync would succeed without having written them. Therefore the records are written
        again.
        """
        if self.may_have_torn_tail:
            self.file.truncate(self.durable_size)
            self.may_have_torn_tail = False
        self.file.seek(self.durable_size)

    def _write(self, data: bytes) -> None:
        while data:
            data = data[self.file.write(data) :]

    def close(self) -> None:
        """Close the file."""
        self.file.close()
