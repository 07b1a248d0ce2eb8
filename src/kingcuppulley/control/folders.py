"""Write files of a data folder durably, and release them after failures."""

from __future__ import annotations

import errno
import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Return once files that were created or renamed in a folder are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def require_progress(written_bytes: int) -> int:
    """Return how much a call wrote, or raise `OSError` if it wrote nothing.

    Repeating a call that writes nothing and reports no error might never end.
    """
    if written_bytes == 0:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    return written_bytes


def close_after_failure(descriptor: int) -> None:
    """Close a descriptor whose write has failed, and ignore a second failure.

    The descriptor is released even if closing it reports an error, and the failed
    write is reported already.
    """
    try:
        os.close(descriptor)
    except OSError:
        return


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes at the present position, or raise `OSError`."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[require_progress(os.write(descriptor, remaining)) :]


def write_new_file(path: Path, data: bytes) -> None:
    """Write and sync a new file, or remove it and raise `OSError`.

    A partial file would occupy space that the disk may lack.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError:
        path.unlink(missing_ok=True)
        raise
