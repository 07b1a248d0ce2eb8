"""Store one control host's vote, durable through crashes and power losses.

The content that the vote's state names is stored in a file of its own.  That file is
durable before the vote, so a stored vote never names a content that is missing.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path
from typing import Protocol

import msgspec

from kingcuppulley.control.content_store import ContentStore
from kingcuppulley.control.folders import (
    close_after_failure,
    require_progress,
    sync_folder,
    write_new_file,
)
from kingcuppulley.control.routing_content import ContentReference, reference_to
from kingcuppulley.control.state import Vote
from kingcuppulley.errors import StorageError
from kingcuppulley.internal.decoding import DECODING_ERRORS

# Generation, length and checksum of a vote.
_HEADER = struct.Struct("!QII")
_GENERATION = struct.Struct("!Q")
_SLOTS = ("vote-0", "vote-1")
# Followed by the digest of the content.
_CONTENT_PREFIX = "content-"


class VoteStore(Protocol):
    """Store a vote durably."""

    def read(self) -> Vote | None:
        """Return the last complete vote, or None if there is none."""

    def write(self, vote: Vote) -> None:
        """Write a vote and return once it is durable, or raise `StorageError`."""


class FileVoteStore:
    """Write votes alternately to two files, so that a partial write damages only one.

    Each file holds a generation, a length and a checksum before the vote.  After a
    failed write, the next vote goes to the same file, because the other file holds the
    last vote that any reply reported.  `contents` provides the content that a vote's
    state names, and receives the stored one.
    """

    def __init__(self, folder: Path, contents: ContentStore | None = None) -> None:
        self._folder = folder
        self._contents = contents if contents is not None else ContentStore()
        self._stored_content: ContentReference | None = None
        self._has_other_contents = False
        self._descriptors: dict[int, int] = {}
        self._generation = 0

    def read(self) -> Vote | None:
        """Return the newest complete vote, or None if there is none.

        Content files that the vote does not name are removed.
        """
        newest = self._read_vote()
        if newest is not None:
            self._read_content(newest.state.content_reference)
            # An earlier build may have stored a state that no message can carry.
            state = self._contents.detach_large(newest.state)
            newest = msgspec.structs.replace(newest, state=state)
        self._remove_other_contents()
        return newest

    def _read_vote(self) -> Vote | None:
        newest: Vote | None = None
        for slot in range(len(_SLOTS)):
            generation, vote = self._read_slot(slot)
            if vote is not None and generation > self._generation:
                self._generation = generation
                newest = vote
        return newest

    def write(self, vote: Vote) -> None:
        """Write and sync a vote, or raise `StorageError` and keep the previous vote."""
        reference = vote.state.content_reference
        self._write_content(reference)
        generation = self._generation + 1
        slot = generation % len(_SLOTS)
        payload = msgspec.msgpack.encode(vote)
        header = _HEADER.pack(generation, len(payload), _checksum(generation, payload))
        try:
            descriptor = self._open(slot)
            _write_all(descriptor, header + payload)
            os.fsync(descriptor)
        except OSError as error:
            self._close(slot)
            reason = error.strerror or "the write failed"
            raise StorageError(str(self._folder / _SLOTS[slot]), reason) from error
        self._generation = generation
        if reference != self._stored_content:
            self._stored_content = reference
            self._has_other_contents = True
        if self._has_other_contents:
            self._remove_other_contents()

    def _write_content(self, reference: ContentReference | None) -> None:
        if reference is None or reference == self._stored_content:
            return
        path = self._content_path(reference)
        encoded = self._contents.encoded(reference)
        if encoded is None:
            raise StorageError(str(path), "the content is not known")
        # The vote may not be written after its content.
        self._has_other_contents = True
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            write_new_file(path, encoded)
            sync_folder(self._folder)
        except OSError as error:
            reason = error.strerror or "the write failed"
            raise StorageError(str(path), reason) from error

    def _read_content(self, reference: ContentReference | None) -> None:
        """Read a stored content; one that is damaged is fetched from other hosts."""
        if reference is None:
            return
        try:
            encoded = self._content_path(reference).read_bytes()
        except OSError:
            return
        if reference_to(encoded) == reference:
            self._contents.add(encoded)
            self._stored_content = reference

    def _remove_other_contents(self) -> None:
        """Remove the content files that the stored vote does not name."""
        stored = self._stored_content
        kept_path = self._content_path(stored) if stored is not None else None
        self._has_other_contents = False
        for path in self._folder.glob(f"{_CONTENT_PREFIX}*"):
            if path == kept_path:
                continue
            try:
                path.unlink()
            except OSError:
                # Tried again after the next vote.
                self._has_other_contents = True

    def _content_path(self, reference: ContentReference) -> Path:
        return self._folder / f"{_CONTENT_PREFIX}{reference.digest.hex()}"

    def _read_slot(self, slot: int) -> tuple[int, Vote | None]:
        try:
            data = (self._folder / _SLOTS[slot]).read_bytes()
        except FileNotFoundError:
            return 0, None
        except OSError as error:
            raise StorageError(
                str(self._folder), error.strerror or "the read failed"
            ) from error
        if len(data) < _HEADER.size:
            return 0, None
        generation, length, checksum = _HEADER.unpack_from(data)
        payload = data[_HEADER.size : _HEADER.size + length]
        if len(payload) != length or _checksum(generation, payload) != checksum:
            return 0, None
        try:
            return generation, msgspec.msgpack.decode(payload, type=Vote)
        except DECODING_ERRORS as error:
            # The checksum is right, so the vote was written by another build.  Without
            # it this host must not vote again as the same voter.
            reason = f"the vote cannot be decoded by this version: {error}"
            raise StorageError(str(self._folder / _SLOTS[slot]), reason) from error

    def _open(self, slot: int) -> int:
        descriptor = self._descriptors.get(slot)
        if descriptor is None:
            self._folder.mkdir(parents=True, exist_ok=True)
            path = self._folder / _SLOTS[slot]
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
            self._descriptors[slot] = descriptor
            sync_folder(self._folder)
        return descriptor

    def _close(self, slot: int) -> None:
        # After a failed sync the kernel may mark unwritten pages as clean.  The next
        # write therefore opens the file again.
        descriptor = self._descriptors.pop(slot, None)
        if descriptor is not None:
            close_after_failure(descriptor)


def _checksum(generation: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_GENERATION.pack(generation)))


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    offset = 0
    while offset < len(view):
        offset += require_progress(os.pwrite(descriptor, view[offset:], offset))
