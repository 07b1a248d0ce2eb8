"""Make the creation and renaming of files in a data folder durable."""

from __future__ import annotations

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Return once files that were created or renamed in a folder are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
