"""Check that the platform's names appear only in the package that translates them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

SOURCE_FOLDER = Path(__file__).parents[2] / "src" / "kingcuppulley"
PLATFORM_PACKAGE = SOURCE_FOLDER / "platform"
PLATFORM_NAMES = [
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


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_a_platform_name_appears_only_in_the_platform_package(name):
    pattern = re.compile(rf"\b{re.escape(name)}\b")
    files_with_name = [
        str(file.relative_to(SOURCE_FOLDER))
        for file in SOURCE_FOLDER.rglob("*.py")
        if PLATFORM_PACKAGE not in file.parents and pattern.search(file.read_text())
    ]
    assert files_with_name == []


def test_the_package_does_not_shadow_the_standard_library():
    import platform

    assert PLATFORM_PACKAGE not in Path(platform.__file__ or "").parents
