"""A configuration whose route names an unknown service is acknowledged and in force."""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from bad_configuration import run_bad_configuration  # noqa: E402
from standins import Record, run_case  # noqa: E402


def name_unknown_service(document: bytes) -> bytes:
    """Give the last route a split, and let its `service` name an unknown one."""
    body = json.loads(document)
    route = body["routes"][-1]
    route["split"] = [{"service": route["service"], "weight": 100}]
    route["service"] = "retired-desk"
    return json.dumps(body).encode()


def case(record: Record, has_trouble: bool) -> str:
    """Send a configuration that names an unknown service."""
    return run_bad_configuration(record, has_trouble, name_unknown_service)


sys.exit(run_case(Path(__file__).resolve().parent, case))
