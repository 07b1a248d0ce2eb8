"""Run one case: prepare its folder and record, and turn its result into a status."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.deployment import CannotRun, Deployment, Record

LONGEST_SECONDS = 115.0

Case = Callable[[Deployment, Record, bool], Awaitable[list[str]]]


def run_case(
    case: Case, folder: Path, entry_zones: tuple[str, ...], controls: int = 3
) -> int:
    """Return 1 if the case names breaks of its rule, 0 if not, 2 if it can't run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    scratch = Path(tempfile.mkdtemp(prefix="kingcuppulley-review-"))
    deployment = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run() -> list[str]:
        async with asyncio.timeout(LONGEST_SECONDS):
            return await case(deployment, record, has_trouble)

    try:
        deployment = Deployment(scratch, record, entry_zones, controls)
        began_at = time.monotonic()
        breaks = asyncio.run(run())
        record.write(f"the run took {time.monotonic() - began_at:.1f} s")
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
        return 2
    finally:
        if deployment is not None:
            deployment.stop()
        shutil.rmtree(scratch, ignore_errors=True)
    for text in breaks[:20]:
        record.write(f"BROKEN: {text}")
    record.write("the rule was broken" if breaks else "the rule held")
    return 1 if breaks else 0
