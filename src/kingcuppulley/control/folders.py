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
