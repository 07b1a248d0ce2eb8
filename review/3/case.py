"""FAILBACK: a restarted entry host takes cold targets of a returned zone for warm."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.calls import Operator, configuration, route
from review.cases import run_case
from review.deployment import (
    BOUNDS,
    ZONES,
    CannotRun,
    Deployment,
    Record,
)
from review.flows import Arrival, Target, World

ROUTE = ("198.18.0.1", 443)
ZONE = "zone-b"
TARGET_ZONES = ("zone-a", "zone-a", *[ZONE] * 3, "zone-c", "zone-c")
# Clients' requests a second; zone b of `veriga-sofia` has 109.
REQUESTS_PER_SECOND = {"zone-a": 20.0, ZONE: 100.0, "zone-c": 20.0}
EVACUATION_SECONDS = 8.0
# How long targets are cold: `warmup_s` of the configuration.
COLD_SECONDS = 2.0
# The targets turn cold this long before their zone is taken back.
COLD_BEFORE_END_SECONDS = 0.1
# A process that was killed starts again after this time.
RESTART_SECONDS = 0.5
# What the configuration says of cold targets; the pages' example has 0, with which the
# rule allows less.
WARMUP_PER_S = 4.0
LIMIT = WARMUP_PER_S * BOUNDS["warmup_overrun"] + BOUNDS["warmup_slack"]


async def case(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Take a zone back whose targets are cold while an entry host starts."""
    deployment.start()
    addresses = deployment.addresses
    operator = Operator(deployment.controls, addresses.control_port, record)
    routes = [route("stock", *ROUTE, "desk")]
    body = configuration(1, routes, ["desk"], WARMUP_PER_S)
    if await operator.order("/kingcuppulley/config/put", body, for_seconds=12) is None:
        raise CannotRun("no configuration was accepted")
    world = World(deployment, record, ROUTE)
    targets = [
        Target(world, number, "desk", zone) for number, zone in enumerate(TARGET_ZONES)
    ]
    await world.open(targets, REQUESTS_PER_SECOND)
    await world.wait_until_served(20.0)
    deployment.end_first_start()
    entry = next(node for node in deployment.entries if node.zone == ZONE)
    await asyncio.sleep(5.0)

    path = f"/kingcuppulley/evacuate/{ZONE}"
    if await operator.order(f"{path}/start", first=0) is None:
        raise CannotRun("the evacuation was not acknowledged")
    end_at = record.now() + EVACUATION_SECONDS
    if has_trouble:
        await asyncio.sleep(end_at - RESTART_SECONDS - record.now())
        entry.kill()
        # The start takes longer than the order, so the process is ready after it.
        asyncio.get_running_loop().call_later(end_at - record.now(), entry.start)
    await asyncio.sleep(end_at - COLD_BEFORE_END_SECONDS - record.now())
    for target in targets:
        if target.zone == ZONE:
            target.cold_until = record.now() + COLD_SECONDS
            record.write(f"target {target.name} of {ZONE} is cold from now")
    await asyncio.sleep(end_at - record.now())
    if await operator.order(f"{path}/end", first=1) is None:
        raise CannotRun("the end of the evacuation was not acknowledged")
    await asyncio.sleep(COLD_SECONDS + 2.0)
    world.stop()
    record.write(world.summary())
    breaks = []
    for target in targets:
        if target.zone == ZONE:
            arrivals = [a for a in world.arrivals if a.target is target and a.was_cold]
            most = _most_in_a_second(arrivals)
            senders = sorted({arrival.sender for arrival in arrivals})
            text = (
                f"cold target {target.name}: at most {most} requests in one second, "
                f"through {senders}; the limit is {LIMIT:.0f}"
            )
            record.write(text)
            if most > LIMIT:
                breaks.append(text)
    return breaks


def _most_in_a_second(arrivals: list[Arrival]) -> int:
    """Return the most requests that were sent and arrived inside one second."""
    return max(
        (
            sum(
                1
                for other in arrivals
                if first.sent_at <= other.sent_at and other.at <= first.sent_at + 1.0
            )
            for first in arrivals
        ),
        default=0,
    )


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent, ZONES))
