"""Check the link between processes.

A message that cannot be handled must not stop the host from receiving others.
"""

import time

import pynng

from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.peer_link import PeerLink


class IdleReactor:
    def addReader(self, reader):  # noqa: N802
        pass

    def removeReader(self, reader):  # noqa: N802
        pass


def test_a_message_that_cannot_be_handled_is_counted_and_the_next_is_delivered():
    delivered = []

    def handle(data):
        if data == b"bad":
            raise ValueError("a message of another version")
        delivered.append(data)

    metrics = Metrics()
    address = "tcp://127.77.0.1:17001"
    link = PeerLink(address, handle, IdleReactor(), metrics)
    with pynng.Push0(dial=address, send_timeout=5000) as push:
        push.send(b"bad")
        push.send(b"good")
        deadline = time.monotonic() + 10
        while not delivered and time.monotonic() < deadline:
            link.doRead()
            time.sleep(0.01)
    link.stop()
    assert delivered == [b"good"]
    assert metrics.counts["peer_messages_failed"] == 1


def test_a_peer_that_is_down_costs_bounded_memory_and_never_blocks():
    metrics = Metrics()
    link = PeerLink("tcp://127.77.0.2:17001", print, IdleReactor(), metrics)
    for _ in range(3000):
        link.send("tcp://127.77.0.3:17001", b"x" * 100)
    link.stop()
    assert metrics.counts["peer_messages_dropped"] >= 1900
