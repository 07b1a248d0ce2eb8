"""Check what a process of a small host loads, and how its loop goes on."""

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

# Each costs a host with a quarter of a core a noticeable part of its restart.
SLOW_TO_IMPORT = ["twisted", "eliot", "pynng", "opentelemetry", "typer", "ssl", "hdrh"]
MODULES = {
    "entry": "kingcuppulley.seeded.entry, kingcuppulley.platform.packets",
    "control": "kingcuppulley.seeded.control, kingcuppulley.platform.calls",
}
LONGEST_SECONDS = 20.0


@pytest.mark.parametrize("role", MODULES)
def test_a_role_loads_no_library_that_its_restart_would_wait_for(role):
    script = (
        f"import sys, kingcuppulley.platform.__main__, {MODULES[role]}; "
        f"print([name for name in {SLOW_TO_IMPORT} if sys.modules.get(name)])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_a_tick_that_fails_is_told_and_the_next_one_comes():
    failures: list[object] = []
    ticks: list[int] = []

    def tick() -> None:
        ticks.append(len(ticks))
        if len(ticks) == 1:
            raise ValueError("planted")
        ticker.stop()
        loop.stop()

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    ticker = Ticker(loop, 0.001, tick)
    ticker.start()
    loop.call_later(LONGEST_SECONDS, loop.stop)
    loop.run_forever()
    loop.close()
    assert ticks == [0, 1]
    assert len(failures) == 1


def test_a_datagram_that_cannot_be_handled_hides_no_other():
    taken: list[bytes] = []
    count = MAXIMUM_DATAGRAMS_PER_WAKEUP + 10

    def take(datagram: bytes, _: tuple[str, int]) -> None:
        taken.append(datagram)
        if len(taken) == count:
            loop.stop()
        if len(taken) == 3:
            raise ValueError("planted")

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    receiver = DatagramSocket(take, 2048)
    receiver.open(loop, "127.0.0.1", 0)
    sender = DatagramSocket(lambda *_: None, 2048)
    for number in range(count):
        assert sender.send(b"%d" % number, receiver.address)
    loop.call_later(LONGEST_SECONDS, loop.stop)
    loop.run_forever()
    loop.close()
    assert taken == [b"%d" % number for number in range(count)]


def test_a_datagram_that_the_system_refuses_is_told():
    sender = DatagramSocket(lambda *_: None, 2048)
    assert not sender.send(bytes(100_000), ("127.0.0.1", 9))
