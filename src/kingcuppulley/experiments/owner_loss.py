"""Measure the broken flows when an entry host that owns flows is killed.

The runs differ in when a backend server drains: not at all, some time before the
kill, or shortly before it.
"""

from __future__ import annotations

import random
import signal
import tempfile
from pathlib import Path
from typing import Any

from twisted.internet.threads import deferToThread

from kingcuppulley.experiments.figures import Figure
from kingcuppulley.experiments.load import PacketLoad, wait
from kingcuppulley.experiments.processes import Deployment, Plan, ServicePlan
from kingcuppulley.stand_ins.fabric import make_flows

SEED = 11
FLOW_COUNT = 1600
PACKETS_PER_SECOND = 1600.0
FABRIC_FAILURE_DETECTION_SECONDS = 1.0
OBSERVATION_SECONDS = 5.0
KILLED_ENTRY_HOST = "entry-2"
SERVICE = ServicePlan(
    name="bookings",
    address="192.0.2.20",
    port=8443,
    tier="packets",
    target_zones=("zone-a", "zone-a", "zone-b", "zone-c"),
)


async def measure_owner_loss(reactor: Any) -> list[Figure]:
    """Return the share of flows that a kill breaks, without a drain and after one.

    A flow is broken if it was reset or reached more than one backend server.
    """
    figures = []
    for name, seconds_after_drain in (
        ("an owner dies, targets unchanged", None),
        ("an owner dies 3 s after a drain", 3.0),
        ("an owner dies 0.2 s after a drain", 0.2),
    ):
        broken_share = await _measure_broken_share(reactor, seconds_after_drain)
        figures.append(
            Figure(
                name=f"broken flows, {name}", value=broken_share, unit="share of flows"
            )
        )
    return figures


async def _measure_broken_share(
    reactor: Any, seconds_after_drain: float | None
) -> float:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), Plan())
        routed_hosts = list(deployment.entry_names)
        flows = make_flows(
            FLOW_COUNT, SERVICE.address, SERVICE.port, random.Random(SEED)
        )
        load = PacketLoad(
            flows,
            lambda: [deployment.fabric_address(name) for name in routed_hosts],
            PACKETS_PER_SECOND,
            random.Random(SEED),
        )
        host, port = deployment.return_address
        try:
            await deferToThread(deployment.bring_up, [SERVICE])
            listening_port = reactor.listenUDP(port, load, interface=host)
            load.start()
            await wait(reactor, 3.0)
            if seconds_after_drain is not None:
                deployment.signal("bookings-1", signal.SIGUSR1)
                await wait(reactor, seconds_after_drain)
            deployment.kill(KILLED_ENTRY_HOST)
            await wait(reactor, FABRIC_FAILURE_DETECTION_SECONDS)
            routed_hosts.remove(KILLED_ENTRY_HOST)
            await wait(reactor, OBSERVATION_SECONDS)
            load.stop()
            listening_port.stopListening()
        finally:
            await deferToThread(deployment.end_all)
        return _count_broken_flows(deployment, len(load.reset_flows)) / FLOW_COUNT


def _count_broken_flows(deployment: Deployment, reset_count: int) -> int:
    server_counts: dict[int, int] = {}
    for account in deployment.accounts():
        for flow in account.flow_identifiers:
            server_counts[flow] = server_counts.get(flow, 0) + 1
    return sum(1 for count in server_counts.values() if count > 1) + reset_count
