"""Kill the owner of flows, at once after a change of targets and some time after."""

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
FLOWS = 1600
PACKETS_PER_SECOND = 1600.0
FABRIC_NOTICES_SECONDS = 1.0
AFTER_SECONDS = 5.0
KILLED = "entry-2"
SERVICE = ServicePlan(
    name="bookings",
    address="192.0.2.20",
    port=8443,
    tier="packets",
    target_zones=("zone-a", "zone-a", "zone-b", "zone-c"),
)


async def measure_owner_loss(reactor: Any) -> list[Figure]:
    """Return the share of broken flows for three moments of an owner's death."""
    figures = []
    for name, delay in (
        ("an owner dies, targets unchanged", None),
        ("an owner dies 3 s after a drain", 3.0),
        ("an owner dies 0.2 s after a drain", 0.2),
    ):
        broken = await _broken_share(reactor, delay)
        figures.append(
            Figure(name=f"broken flows, {name}", value=broken, unit="share of flows")
        )
    return figures


async def _broken_share(reactor: Any, delay: float | None) -> float:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), Plan())
        serving = list(deployment.entry_names)
        flows = make_flows(FLOWS, SERVICE.address, SERVICE.port, random.Random(SEED))
        load = PacketLoad(
            flows,
            lambda: [deployment.fabric_address(name) for name in serving],
            PACKETS_PER_SECOND,
            random.Random(SEED),
        )
        host, port = deployment.return_address
        try:
            await deferToThread(deployment.bring_up, [SERVICE])
            listening = reactor.listenUDP(port, load, interface=host)
            load.start()
            await wait(reactor, 3.0)
            if delay is not None:
                deployment.signal("bookings-1", signal.SIGUSR1)
                await wait(reactor, delay)
            deployment.kill(KILLED)
            await wait(reactor, FABRIC_NOTICES_SECONDS)
            serving.remove(KILLED)
            await wait(reactor, AFTER_SECONDS)
            load.stop()
            listening.stopListening()
        finally:
            await deferToThread(deployment.end_all)
        return _broken(deployment, len(load.reset_flows)) / FLOWS


def _broken(deployment: Deployment, resets: int) -> int:
    seen: dict[int, int] = {}
    for account in deployment.accounts():
        for flow in account.flow_identifiers:
            seen[flow] = seen.get(flow, 0) + 1
    return sum(1 for count in seen.values() if count > 1) + resets
