"""Check what a process imports at start, and that its loop continues after errors."""

from __future__ import annotations

import asyncio
import subprocess
import sys

import pytest

from kingcuppulley.internal.datagram_socket import (
    MAXIMUM_DATAGRAMS_PER_WAKEUP,
    DatagramSocket,
)
from kingcuppulley.internal.ticker import Ticker

# On a host with a quarter of a core, importing any of these takes a noticeable part of
# a restart.
SLOW_TO_IMPORT = [
    "twisted",
    "eliot",
    "pynng",
    "opentelemetry",
    "typer",
    "ssl",
    "hdrh",
    "kingcuppulley.fabric.placement_explanation",
]
MODULES_BY_ROLE = {
    "entry": "kingcuppulley.seeded.entry, kingcuppulley.platform.packets",
    "control": "kingcuppulley.seeded.control, kingcuppulley.platform.calls",
}
TIMEOUT_SECONDS = 20.0


@pytest.mark.parametrize("role", MODULES_BY_ROLE)
def test_a_role_imports_no_library_that_would_delay_its_restart(role):
    script = (
        f"import sys, kingcuppulley.platform.__main__, {MODULES_BY_ROLE[role]}; "
        f"print([name for name in {SLOW_TO_IMPORT} if sys.modules.get(name)])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_a_tick_that_fails_is_reported_and_the_next_one_runs():
    failures: list[object] = []
    ticks: list[int] = []

    def tick() -> None:
        ticks.append(len(ticks))
        if len(ticks) == 1:
            raise ValueError("injected failure")
        ticker.stop()
        loop.stop()

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    ticker = Ticker(loop, 0.001, tick)
    ticker.start()
    loop.call_later(TIMEOUT_SECONDS, loop.stop)
    loop.run_forever()
    loop.close()
    assert ticks == [0, 1]
    assert len(failures) == 1


def test_a_datagram_that_cannot_be_handled_does_not_stop_the_next_ones():
    received: list[bytes] = []
    count = MAXIMUM_DATAGRAMS_PER_WAKEUP + 10

    def handle(datagram: bytes, _: tuple[str, int]) -> None:
        received.append(datagram)
        if len(received) == count:
            loop.stop()
        if len(received) == 3:
            raise ValueError("injected failure")

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    receiver = DatagramSocket(handle, 2048)
    receiver.open(loop, "127.0.0.1", 0)
    sender = DatagramSocket(lambda *_: None, 2048)
    for number in range(count):
        assert sender.send(b"%d" % number, receiver.address)
    loop.call_later(TIMEOUT_SECONDS, loop.stop)
    loop.run_forever()
    loop.close()
    assert received == [b"%d" % number for number in range(count)]


def test_a_datagram_that_the_system_rejects_is_reported():
    sender = DatagramSocket(lambda *_: None, 2048)
    assert not sender.send(bytes(100_000), ("127.0.0.1", 9))
