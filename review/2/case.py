"""EVAC: an order that a frozen control host holds takes effect after later orders."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from review.calls import Operator, configuration, route
from review.cases import run_case
from review.deployment import BOUNDS, ZONES, CannotRun, Deployment, Record
from review.flows import Target, World

ROUTE = ("198.18.0.1", 443)
ZONE = "zone-b"
# The pages' dose of `node_freeze` on the core of `veriga-sofia`.
FREEZE_SECONDS = 4.0
# An unstable core stretches the bound by `max_skew_ms` at most.
EVACUATE_SECONDS = (BOUNDS["evacuate_ms"] + BOUNDS["max_skew_ms"]) / 1000
CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
WATCH_SECONDS = 6.0
# Clients' requests a second in each zone.
REQUESTS_PER_SECOND = 15.0


async def case(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Evacuate a zone again while a frozen host holds the end of the first time."""
    deployment.start()
    addresses = deployment.addresses
    operator = Operator(deployment.controls, addresses.control_port, record)
    body = configuration(1, [route("stock", *ROUTE, "desk")], ["desk"])
    if await operator.order("/kingcuppulley/config/put", body, for_seconds=12) is None:
        raise CannotRun("no configuration was accepted")
    world = World(deployment, record, ROUTE)
    targets = [
        Target(world, number, "desk", zone) for number, zone in enumerate(ZONES * 2)
    ]
    await world.open(targets, dict.fromkeys(ZONES, REQUESTS_PER_SECOND))
    await world.wait_until_served(20.0)
    deployment.end_first_start()
    await asyncio.sleep(4.0)

    start = f"/kingcuppulley/evacuate/{ZONE}/start"
    end = f"/kingcuppulley/evacuate/{ZONE}/end"
    if await operator.order(start, first=0) is None:
        raise CannotRun("the first evacuation was not acknowledged")
    await asyncio.sleep(3.0)
    frozen = deployment.controls[2]
    frozen_at = record.now()
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.1)
    if await operator.order(end, first=2) is None:
        raise CannotRun("the end of the evacuation was not acknowledged")
    await asyncio.sleep(0.7)
    evacuated_at = await operator.order(start, first=0)
    if evacuated_at is None:
        raise CannotRun("the second evacuation was not acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - record.now()))
    if has_trouble:
        frozen.signal(signal.SIGCONT)
    thawed_at = record.now()
    judged_from = max(evacuated_at + EVACUATE_SECONDS, thawed_at + CONTACT_SECONDS)
    await asyncio.sleep(judged_from + WATCH_SECONDS - record.now())
    world.stop()
    record.write(world.summary())
    record.write(
        f"the evacuation was acknowledged at {evacuated_at:.3f}; "
        f"judged from {judged_from:.3f}"
    )
    late = [
        arrival
        for arrival in world.arrivals
        if arrival.target.zone == ZONE and arrival.sent_at > judged_from
    ]
    record.write(f"{len(late)} requests reached targets of {ZONE} after that")
    return [
        f"request sent at {arrival.sent_at:.3f} reached {arrival.target.name} of "
        f"{ZONE} at {arrival.at:.3f} from {arrival.sender}"
        for arrival in late
    ]


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent, ZONES))
