"""Run one process of the platform's: `python -m kingcuppulley.platform entry`."""

from __future__ import annotations

import sys

from twisted.internet import epollreactor

epollreactor.install()

from twisted.internet import reactor  # noqa: E402

from kingcuppulley.control.seeded_host import ControlHost  # noqa: E402
from kingcuppulley.internal.counters import Metrics  # noqa: E402
from kingcuppulley.platform.calls import (  # noqa: E402
    READY_PATH,
    ControlCalls,
)
from kingcuppulley.platform.documents import decode_configuration  # noqa: E402
from kingcuppulley.platform.packets import PlatformPackets  # noqa: E402
from kingcuppulley.platform.settings import load_settings, settings_file  # noqa: E402
from kingcuppulley.seeded_composition import (  # noqa: E402
    HandleRequest,
    SeededControl,
    SeededEntry,
    watch_settings,
)
from kingcuppulley.settings import SettingsFaults  # noqa: E402


def main(role: str) -> int:
    """Run a role until it is told to stop; return the exit status."""
    file = settings_file()
    try:
        settings = load_settings(file)
    except SettingsFaults as faults:
        for fault in faults.exceptions:
            print(fault, file=sys.stderr)
        return 2
    daemon: SeededEntry | SeededControl
    if role == "entry":
        daemon = SeededEntry(
            settings, reactor, PlatformPackets(), decode_configuration, READY_PATH
        )
    else:
        daemon = SeededControl(settings, reactor, _build_calls)
    daemon.start()
    watch_settings(daemon, file, load_settings, reactor)
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined]
    return 0


def _build_calls(
    host: ControlHost, zones: list[str], metrics: Metrics
) -> HandleRequest:
    return ControlCalls(host, zones, metrics).handle


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
