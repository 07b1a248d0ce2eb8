"""Store the list of known backend servers, so that a restarted host knows them.

After a loss of power that stopped every host, the packets of open flows can then be
forwarded at once.  Without the list they would be dropped until each server has sent
its next heartbeat.  New flows do not depend on the list.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Sequence
from pathlib import Path

import msgspec

from kingcuppulley.backend_servers.heartbeats import Heartbeat
from kingcuppulley.control.folders import sync_folder, write_new_file
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.decoding import DECODING_ERRORS

# Length and CRC-32 of the list.
_HEADER = struct.Struct("!II")
_FILE = "servers"
_NEW_FILE = "servers.new"
_DECODER = msgspec.msgpack.Decoder(list[Heartbeat])


class ServerListFile:
    """Store one list of heartbeats in a data folder, and replace it as a whole."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def read(self) -> list[Heartbeat]:
        """Return the stored list; it is empty if there is none or it is damaged.

        Raises `StorageError` if the file cannot be read.
        """
        path = self._folder / _FILE
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            raise StorageError(
                str(path), error.strerror or "the read failed"
            ) from error
        if len(data) < _HEADER.size:
            return []
        length, checksum = _HEADER.unpack_from(data)
        payload = data[_HEADER.size :]
        if len(payload) != length or zlib.crc32(payload) != checksum:
            return []
        try:
            return _DECODER.decode(payload)
        except DECODING_ERRORS:
            # Written by a build whose heartbeats have another form.
            return []

    def write(self, heartbeats: Sequence[Heartbeat]) -> None:
        """Replace the list durably, or raise `StorageError` and keep the old one."""
        payload = msgspec.msgpack.encode(heartbeats)
        data = _HEADER.pack(len(payload), zlib.crc32(payload)) + payload
        path = self._folder / _FILE
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            write_new_file(self._folder / _NEW_FILE, data)
            os.replace(self._folder / _NEW_FILE, path)
            sync_folder(self._folder)
        except OSError as error:
            reason = error.strerror or "the write failed"
            raise StorageError(str(path), reason) from error
