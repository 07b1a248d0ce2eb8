"""Send hosts datagrams with odd values, and let them act on what they accept."""

from __future__ import annotations

import socket
from random import Random
from typing import Any, get_args

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppulley.control.content_transfer import ContentChunk
from kingcuppulley.control.ensemble_host import initial_vote
from kingcuppulley.control.ensemble_messages import ChosenState
from kingcuppulley.control.seeded_host import ControlMessage, SeededControlHost
from kingcuppulley.control.state import Vote
from kingcuppulley.entry_hosts.seeded_host import SeededEntryHost
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryMessage,
    HostList,
    RelayedUpdate,
)
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.datagram_link import DatagramLink
from kingcuppulley.platform.documents import decode_accepted_configuration
from kingcuppulley.platform.packets import PlatformPackets
from tests.cover.test_control_subscription import DiscardingLog
from tests.odd_values import OPENING_PACKET, odd_struct

CONTROL, ENTRY = "10.0.0.1:7700", "10.0.0.2:7700"
STEPS_SECONDS = [0.0, 0.02, 0.3, 1.0, 5.0]
ENTRY_MESSAGES = (
    EntryMessage | ControlUpdate | RelayedUpdate | HostList | ChosenState | ContentChunk
)
MESSAGE_TYPES = [
    *((CONTROL, kind) for kind in get_args(ControlMessage)),
    *((ENTRY, kind) for kind in get_args(ENTRY_MESSAGES)),
]
CONFIGURATION = msgspec.json.encode(
    {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": "198.18.0.1",
                "path_prefix": "/443/",
                "timeout_ms": 1500,
                "service": "desk",
            }
        ],
        "services": [{"name": "desk", "warmup_s": 2.0}],
    }
)


class CheckingSocket:
    """Refuse what a socket would refuse with anything but `OSError`."""

    def send(self, datagram: bytes, endpoint: tuple[str, int]) -> bool:
        socket.inet_pton(socket.AF_INET, endpoint[0])
        assert 0 < endpoint[1] < 1 << 16
        return True

    def send_to_target(self, datagram, endpoint, header=None):
        self.send(datagram, endpoint)

    def send_to_caller(self, packet, address):
        self.send(packet, (address, 1))

    def may_open(self, header, objective_seconds):
        return True


class EncodingDisk:
    """Encode each vote as a disk would store it."""

    def __init__(self) -> None:
        self.pending_vote: Vote | None = None

    def write(self, vote: Vote) -> None:
        msgspec.msgpack.encode(vote)
        self.pending_vote = vote


class Host:
    """Run one host behind a link whose datagrams are checked."""

    def __init__(self, name: str) -> None:
        self.now = 1_790_000_000.0
        types = ControlMessage if name == CONTROL else ENTRY_MESSAGES
        self.metrics = Metrics()
        self._link = DatagramLink(types, self._receive, self.metrics)
        self._link._socket = CheckingSocket()  # type: ignore[assignment]
        self._disk = EncodingDisk()
        self.control: SeededControlHost | None = None
        self.entry: SeededEntryHost | None = None
        if name == CONTROL:
            self.control = self._start_control()
        else:
            self.entry = self._start_entry()

    def deliver(self, datagram: bytes) -> None:
        self._link._receive(datagram, ("10.0.0.9", 7700))

    def run(self) -> None:
        for seconds in STEPS_SECONDS:
            self.now += seconds
            if self.entry is not None:
                self.entry.packet_from_fabric(OPENING_PACKET, self.now)
                self.entry.tick(self.now)
                self.entry.update_gauges(self.metrics.gauges, self.now)
            if self.control is not None:
                self.control.tick(self.now)
                vote, self._disk.pending_vote = self._disk.pending_vote, None
                if vote is not None:
                    self.control.ensemble.vote_written(True, self.now)
                msgspec.msgpack.encode(self.control.servers_to_store())
                self.control.update_gauges(self.metrics.gauges)

    def _receive(self, address: str, message: object) -> None:
        if self.control is not None:
            self.control.receive(address, message)
        elif self.entry is not None:
            self.entry.receive(address, message, self.now)

    def _start_control(self) -> SeededControlHost:
        return SeededControlHost(
            CONTROL,
            "zone-a",
            "instance",
            initial_vote(CONTROL, [CONTROL], "disk", is_first_start=True),
            self._disk,
            self._link,
            [CONTROL],
            1,
            1.0,
            decode_accepted_configuration,
            DiscardingLog(),
            self.metrics,
            Random(1),
            lambda: self.now,
        )

    def _start_entry(self) -> SeededEntryHost:
        transport = CheckingSocket()
        transport.send_to_host = self._link.send  # type: ignore[attr-defined]
        return SeededEntryHost(
            ENTRY,
            "zone-a",
            [CONTROL],
            PlatformPackets(),
            decode_accepted_configuration,
            transport,  # type: ignore[arg-type]
            self._link.send,
            self.metrics,
            DiscardingLog(),
            Random(1),
        )


@pytest.mark.parametrize(
    ("name", "kind"), MESSAGE_TYPES, ids=lambda value: getattr(value, "__name__", "at")
)
@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(data=st.data())
def test_a_host_refuses_or_bears_a_message_with_odd_values(name, kind, data):
    # Guards against hosts whose handlers fail, or that can no longer send updates,
    # because of one entry of another writer.
    messages: list[Any] = data.draw(st.lists(odd_struct(kind), min_size=1, max_size=3))
    host = Host(name)
    host.run()
    for message in messages:
        try:
            datagram = msgspec.msgpack.encode(message)
        except OverflowError:
            continue
        host.deliver(datagram)
        host.run()


@pytest.mark.parametrize("name", [CONTROL, ENTRY])
@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(data=st.binary(max_size=200) | st.integers(1, 20_000).map(lambda n: b"\x91" * n))
def test_a_host_counts_datagrams_that_are_no_messages(name, data):
    # Guards against deep nesting, which decoders report by another error.
    host = Host(name)
    host.deliver(data)
    host.deliver(b"\x93\xa2fh" + data)
    assert host.metrics.counts["peer_messages_malformed"] >= 1
