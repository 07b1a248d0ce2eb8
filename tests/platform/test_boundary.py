"""Check that the platform's names stay in the one folder that translates them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

SOURCES = Path(__file__).parents[2] / "src" / "kingcuppulley"
ADAPTER = SOURCES / "platform"
NAMES = [
    "packet_addr",
    "internal_ports",
    "path_prefix",
    "slo_ms",
    "timeout_ms",
    "warmup_left_ms",
    "warmup_s",
    "warmup_per_s",
    "heartbeat_ms",
    "heartbeat_addr",
    "forwarding_mode",
    "fault_counted",
    "evacuate",
    "config/put",
    "config/get",
    "KINGCUPPULLEY_CONFIG",
    "max_conns",
    "health_path",
    "contact_ms",
    "BOUNCED",
    "data_dir",
]


@pytest.mark.parametrize("name", NAMES)
def test_a_name_of_the_platform_stands_in_its_folder_only(name):
    pattern = re.compile(rf"\b{re.escape(name)}\b")
    places = [
        str(file.relative_to(SOURCES))
        for file in SOURCES.rglob("*.py")
        if ADAPTER not in file.parents and pattern.search(file.read_text())
    ]
    assert places == []


def test_the_folder_hides_no_module_of_the_standard_library():
    import platform

    assert ADAPTER not in Path(platform.__file__ or "").parents
