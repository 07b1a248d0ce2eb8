"""A configuration with bytes that cannot be read is acknowledged and in force."""

from __future__ import annotations

import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from bad_configuration import run_bad_configuration  # noqa: E402
from standins import Record, run_case  # noqa: E402


def damage(document: bytes) -> bytes:
    """Replace the type of the last route by bytes that are not UTF-8, nor JSON."""
    head, found, tail = document.rpartition(b'"type": "safe"')
    assert found
    return head + b'"type": "\xff\xfe\xff\xfe"' + tail


def case(record: Record, has_trouble: bool) -> str:
    """Send a configuration with damaged bytes."""
    return run_bad_configuration(record, has_trouble, damage)


sys.exit(run_case(Path(__file__).resolve().parent, case))
