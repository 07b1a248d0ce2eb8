"""Run an entry or control host: `python -m kingcuppulley.platform entry`."""

from __future__ import annotations

import gc
import sys

# Objects made while a process starts live as long as it does, so nothing is collected
# until `run` enables the garbage collector.
gc.disable()
# No process uses TLS, and importing `ssl` would slow down each start.  asyncio works
# without the module, as in a Python that was built without TLS.
sys.modules["ssl"] = None  # type: ignore[assignment]

import asyncio  # noqa: E402

from kingcuppulley.errors import SettingsFaults  # noqa: E402
from kingcuppulley.platform.settings import load_settings, settings_file  # noqa: E402
from kingcuppulley.seeded.daemon import Daemon, run  # noqa: E402
from kingcuppulley.seeded_settings import SeededSettings  # noqa: E402


def main(role: str) -> int:
    """Run an entry or control host until it stops; return the exit status."""
    file = settings_file()
    try:
        settings = load_settings(file)
    except SettingsFaults as faults:
        for fault in faults.exceptions:
            print(fault, file=sys.stderr)
        return 2
    loop = asyncio.new_event_loop()
    build_daemon = _build_entry if role == "entry" else _build_control
    run(build_daemon(settings, loop), file, load_settings, loop)
    return 0


def _build_entry(settings: SeededSettings, loop: asyncio.AbstractEventLoop) -> Daemon:
    # Each role imports only the modules that it needs: entry hosts restart often and
    # run on small machines.
    from kingcuppulley.platform.documents import (
        READY_PATH,
        decode_accepted_configuration,
    )
    from kingcuppulley.platform.packets import PlatformPackets
    from kingcuppulley.seeded.entry import SeededEntryDaemon

    return SeededEntryDaemon(
        settings, loop, PlatformPackets(), decode_accepted_configuration, READY_PATH
    )


def _build_control(settings: SeededSettings, loop: asyncio.AbstractEventLoop) -> Daemon:
    from kingcuppulley.platform.calls import build_control_handler
    from kingcuppulley.platform.documents import decode_accepted_configuration
    from kingcuppulley.seeded.control import SeededControlDaemon

    return SeededControlDaemon(
        settings, loop, decode_accepted_configuration, build_control_handler
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
