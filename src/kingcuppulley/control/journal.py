"""Append records durably to a file, and read them back after a crash."""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

from kingcuppulley.control.folders import (
    close_after_failure,
    sync_folder,
    write_all,
    write_new_file,
)
from kingcuppulley.errors import CorruptedRecordError, StorageError

# Length and CRC-32 of a record.
_HEADER = struct.Struct("!II")
MAXIMUM_RECORD_BYTES = 16 * 1024 * 1024
_JOURNAL = "journal"
_NEW_JOURNAL = "journal.new"


class Journal(Protocol):
    """Store a sequence of records durably."""

    def read(self) -> Iterator[bytes]:
        """Yield the records in the order of writing."""

    def append(self, records: Iterable[bytes]) -> None:
        """Write records and return once they are durable, or raise `StorageError`."""

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replace all records by these in one atomic step."""

    @property
    def size_bytes(self) -> int:
        """Return the size of all stored records."""


class FileJournal:
    """Store records in one file of a data folder, each with length and checksum.

    A crash during a write leaves a tail that is incomplete or filled with zeros.  None
    of it was acknowledged, so it is truncated.  A complete record that fails its
    checksum was damaged later and may have been acknowledged.  Truncating it could
    break a promise without notice, so reading stops with an error that names the
    remedy.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / _JOURNAL
        self._file: int | None = None
        self._size_bytes = 0
        self._has_failed_tail = False

    @property
    def size_bytes(self) -> int:
        """Return the size of the complete records, their headers included."""
        return self._size_bytes

    def read(self) -> Iterator[bytes]:
        """Yield every complete record, then truncate a partial tail.

        Raises `CorruptedRecordError` at a damaged record and `StorageError` if the
        file cannot be read or truncated.
        """
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            data = b""
        except OSError as error:
            raise StorageError(str(self._path), str(error)) from error
        offset = 0
        while offset < len(data):
            end = self._record_end(data, offset)
            if end is None:
                self._truncate(offset)
                break
            yield data[offset + _HEADER.size : end]
            offset = end
        self._size_bytes = offset

    def append(self, records: Iterable[bytes]) -> None:
        """Write and sync records; on failure, truncate to the previous size."""
        data = b"".join(_frame(record) for record in records)
        if self._has_failed_tail:
            # Behind part of an earlier record, these could not be read back.
            self._truncate(self._size_bytes)
            self._has_failed_tail = False
        try:
            descriptor = self._open()
            write_all(descriptor, data)
            os.fsync(descriptor)
        except OSError as error:
            self._discard_failed_append()
            reason = error.strerror or "the write failed"
            raise StorageError(str(self._path), reason) from error
        self._size_bytes += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Write and sync a new file, then rename it over the old one."""
        data = b"".join(_frame(record) for record in records)
        new_path = self._folder / _NEW_JOURNAL
        try:
            write_new_file(new_path, data)
            os.replace(new_path, self._path)
            # From here on the open file is the one that was replaced; the next append
            # opens the new one and syncs the folder again.
            self.close()
            self._size_bytes = len(data)
            self._has_failed_tail = False
            sync_folder(self._folder)
        except OSError as error:
            reason = error.strerror or "the write failed"
            raise StorageError(str(self._path), reason) from error

    def close(self) -> None:
        """Close the file, whose records are durable; the next append opens it again."""
        descriptor, self._file = self._file, None
        if descriptor is not None:
            close_after_failure(descriptor)

    def _record_end(self, data: bytes, offset: int) -> int | None:
        if len(data) - offset < _HEADER.size or not data[offset:].strip(b"\0"):
            return None
        length, checksum = _HEADER.unpack_from(data, offset)
        start = offset + _HEADER.size
        end = start + length
        if length == 0 or length > MAXIMUM_RECORD_BYTES:
            raise CorruptedRecordError(str(self._path), offset)
        if end > len(data):
            return None
        if zlib.crc32(data[start:end]) != checksum:
            raise CorruptedRecordError(str(self._path), offset)
        return int(end)

    def _open(self) -> int:
        if self._file is None:
            self._folder.mkdir(parents=True, exist_ok=True)
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(self._path, flags, 0o600)
            sync_folder(self._folder)
        return self._file

    def _discard_failed_append(self) -> None:
        # After a failed sync, data may be lost although the kernel marks its pages as
        # clean.  The descriptor is therefore not used again: the next append opens the
        # file anew.
        self.close()
        self._has_failed_tail = True
        try:
            self._truncate(self._size_bytes)
        except StorageError:
            # The next append truncates first, or fails.
            return
        self._has_failed_tail = False

    def _truncate(self, size_bytes: int) -> None:
        try:
            os.truncate(self._path, size_bytes)
        except FileNotFoundError:
            return
        except OSError as error:
            reason = error.strerror or "the truncation failed"
            raise StorageError(str(self._path), reason) from error


def _frame(record: bytes) -> bytes:
    return _HEADER.pack(len(record), zlib.crc32(record)) + record
