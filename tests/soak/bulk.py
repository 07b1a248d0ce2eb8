"""Simulate callers that send bulk data, and check when their flows complete."""

from __future__ import annotations

import asyncio
import time
from random import Random

from tests.soak.deployment import Node
from tests.soak.simulated_environment import (
    ACK,
    FIN,
    HEADER,
    SYN,
    Flow,
    SimulatedEnvironment,
)

WINDOW_PACKETS = 16
DATA_BYTES = 1_200
# What a data packet takes on an entry host's link, with the server's identity.
LINK_PACKET_BYTES = DATA_BYTES + HEADER.size + 8 + 28
OPENING_INTERVALS_SECONDS = (0.2, 0.4, 0.8)
FIRST_REPEAT_SECONDS, LAST_REPEAT_SECONDS = 0.2, 1.6
# The rest of a link's rate is left for short flows and messages between hosts.
BULK_SHARE_OF_LINK = 0.8
# What the queue of an entry host holds at most.
QUEUE_SECONDS = 1.0
# Allows for processes that wait for a processor on a busy machine.
SLACK_SECONDS = 1.0
# A host is taken for undisturbed once it has been steady for this long.
SETTLE_SECONDS = 1.0
COMPLETION_TIMEOUT_SECONDS = 20.0


class BulkCallers:
    """Open bulk flows, each through one entry host for as long as it has no fault."""

    def __init__(self, environment: SimulatedEnvironment, random: Random) -> None:
        self.flows: list[Flow] = []
        self._environment = environment
        self._random = random

    async def run(self) -> None:
        """Open bursts of flows until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 0.8))
            self.open_burst(self._choose_entry(), self._random.randint(1, 8))

    def fill_queue(self, entry: Node) -> None:
        """Open flows that send more than the queue of the host's link holds."""
        queue_bytes = QUEUE_SECONDS * entry.link_bytes_per_second
        self.open_burst(entry, int(queue_bytes / LINK_PACKET_BYTES / 8))

    def open_burst(self, entry: Node, flows: int) -> list[Flow]:
        """Open flows that send one window each, most of them a full one."""
        burst = [self._environment.add_flow(entry) for _ in range(flows)]
        for flow in burst:
            packets = min(self._random.randint(4, 40), WINDOW_PACKETS)
            flow.unacknowledged.update(range(2, 2 + packets))
            self._environment.start_task(self._carry(flow))
        self.flows += burst
        return burst

    async def finish(self) -> None:
        """Wait until every open flow has completed, and record those that do not."""
        deadline = time.monotonic() + COMPLETION_TIMEOUT_SECONDS
        while left := [flow for flow in self.flows if flow.unacknowledged]:
            if time.monotonic() > deadline:
                break
            await asyncio.sleep(0.1)
        for flow in left:
            self._environment.record_violation(f"a bulk flow never completed: {flow}")

    def check_completion(self, flow: Flow) -> None:
        """Record a flow that no fault disturbed and that took longer than its bound.

        The host's link carries all flows that the host had at the same time.  Only a
        full queue drops packets, which then wait for a repeat.
        """
        entry = flow.carriers[0]
        is_steady = entry.steady_since <= flow.asked_at - SETTLE_SECONDS
        if len(flow.carriers) > 1 or not is_steady:
            return
        self._environment.undisturbed += 1
        packets = sum(
            len(other.packets)
            for other in self.flows
            if entry in other.carriers and other.completed_at > flow.opened_at
        )
        packet_seconds = LINK_PACKET_BYTES / entry.link_bytes_per_second
        link_seconds = packets * packet_seconds / BULK_SHARE_OF_LINK
        repeat_seconds = link_seconds // QUEUE_SECONDS * LAST_REPEAT_SECONDS
        bound_seconds = SLACK_SECONDS + link_seconds + repeat_seconds
        if flow.completed_at - flow.opened_at > bound_seconds:
            self._environment.record_violation(
                f"a bulk flow completed after more than {bound_seconds:.2f} s: {flow}"
            )

    async def _carry(self, flow: Flow) -> None:
        for repeat, seconds in enumerate(OPENING_INTERVALS_SECONDS):
            if flow.server is None:
                entry = self._update_carrier(flow)
                self._environment.send(flow, SYN, entry, acknowledgement=repeat)
                await asyncio.sleep(seconds)
        if flow.server is None:
            # The caller gives up.
            flow.unacknowledged.clear()
            return
        seconds = FIRST_REPEAT_SECONDS
        while flow.unacknowledged:
            entry = self._update_carrier(flow)
            for sequence in sorted(flow.unacknowledged):
                data = Random(flow.port * 100 + sequence).randbytes(DATA_BYTES)
                self._environment.send(flow, ACK, entry, sequence, data=data)
            await asyncio.sleep(seconds)
            seconds = min(2 * seconds, LAST_REPEAT_SECONDS)
        self.check_completion(flow)
        self._environment.send(flow, FIN | ACK, self._update_carrier(flow))

    def _update_carrier(self, flow: Flow) -> Node:
        """Return the flow's host, or another one if it had a fault."""
        if flow.carriers[-1].steady_since > flow.asked_at:
            flow.carriers.append(self._choose_entry())
        return flow.carriers[-1]

    def _choose_entry(self) -> Node:
        entries = self._environment.deployment.entries
        steady = [node for node in entries if node.steady_since < time.monotonic()]
        return self._random.choice(steady or entries)
