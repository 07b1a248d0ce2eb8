"""Append records to a file that survives crashes, and read them back."""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

from kingcuppulley.control.folders import sync_folder
from kingcuppulley.errors import CorruptedRecordError, StorageError

_HEADER = struct.Struct("!II")
MAXIMUM_RECORD_BYTES = 16 * 1024 * 1024
_JOURNAL = "journal"
_REWRITTEN = "journal.new"


class Journal(Protocol):
    """Keep records durably."""

    def read(self) -> Iterator[bytes]:
        """Yield the records in the order of writing."""

    def append(self, records: Iterable[bytes]) -> None:
        """Write records and return once they are durable, or raise `StorageError`."""

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Put these records in the place of all others, in one step."""

    @property
    def size_bytes(self) -> int:
        """Return the size of what is kept."""


class FileJournal:
    """Keep records in one file of a data folder, each with length and checksum.

    A crash in the middle of a write leaves a tail that is short or zero: nothing in it
    was ever acknowledged, so it is cut.  A record that is whole but fails its checksum
    was damaged later and may have been acknowledged; cutting it would break a promise
    without a word, so reading stops with an error that names the remedy.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / _JOURNAL
        self._file: int | None = None
        self._size = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the file."""
        return self._size

    def read(self) -> Iterator[bytes]:
        """Yield every whole record and cut a torn tail."""
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
                self._cut(offset)
                break
            yield data[offset + _HEADER.size : end]
            offset = end
        self._size = offset

    def append(self, records: Iterable[bytes]) -> None:
        """Write records, sync them, and take the file back on any failure."""
        data = b"".join(_framed(record) for record in records)
        try:
            descriptor = self._open()
            _write_all(descriptor, data)
            os.fsync(descriptor)
        except OSError as error:
            self._take_back()
            raise StorageError(str(self._path), error.strerror or "failed") from error
        self._size += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Write a new file, sync it and rename it over the old one."""
        data = b"".join(_framed(record) for record in records)
        rewritten = self._folder / _REWRITTEN
        try:
            descriptor = os.open(
                rewritten, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
            )
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.replace(rewritten, self._path)
            sync_folder(self._folder)
        except OSError as error:
            raise StorageError(str(self._path), error.strerror or "failed") from error
        self.close()
        self._size = len(data)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

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

    def _take_back(self) -> None:
        # After a failed sync the pages may be lost though the kernel calls them
        # clean, so the descriptor is not used again: the next append opens anew.
        self.close()
        try:
            self._cut(self._size)
        except (OSError, StorageError):
            pass

    def _cut(self, size: int) -> None:
        try:
            os.truncate(self._path, size)
        except FileNotFoundError:
            return
        except OSError as error:
            raise StorageError(str(self._path), error.strerror or "failed") from error


def _framed(record: bytes) -> bytes:
    return _HEADER.pack(len(record), zlib.crc32(record)) + record


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
