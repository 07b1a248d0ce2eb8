"""Measure goodput at twice the load that a service can serve, over 8 entry hosts."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import deferToThread

from kingcuppulley.experiments.figures import Figure
from kingcuppulley.experiments.history import RequestEvent
from kingcuppulley.experiments.load import RequestKind, RequestLoad, wait
from kingcuppulley.experiments.processes import Deployment, Plan, ServicePlan

SEED = 7
SERVICE_SECONDS = 0.1
SLOTS_PER_TARGET = 2
TARGET_ZONES = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
ENTRY_HOST_ZONES = (*TARGET_ZONES, "zone-c")
WARM_UP_SECONDS = 5.0
MEASUREMENT_SECONDS = 8.0
LOAD_FACTOR = 2.0
MINIMUM_GOODPUT_SHARE = 0.9
SERVICE = ServicePlan(
    name="order-desk",
    address="192.0.2.10",
    port=8081,
    tier="requests",
    target_zones=TARGET_ZONES,
    service_seconds=SERVICE_SECONDS,
    cold_seconds=1.0,
)


async def measure_overload(reactor: Any) -> list[Figure]:
    """Return goodput as a share of the slots' capacity, and the breaches of limits.

    Goodput counts the complete answers that arrive by their deadline in the measured
    time after the warm-up. A breach is a request that reaches a server at its limit.
    """
    capacity_per_second = len(TARGET_ZONES) * SLOTS_PER_TARGET / SERVICE_SECONDS
    kind = RequestKind(
        service=SERVICE.identity,
        port=SERVICE.port,
        is_booking=False,
        is_keyed=False,
        answer_bytes=200,
        timeout_seconds=2.0,
        per_second=LOAD_FACTOR * capacity_per_second,
    )
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), Plan(entry_hosts=ENTRY_HOST_ZONES))
        hosts = [deployment.entry_host(name) for name in deployment.entry_names]
        load = RequestLoad(reactor, [kind], lambda: hosts, random.Random(SEED))
        try:
            await deferToThread(deployment.bring_up, [SERVICE])
            load.start()
            await wait(reactor, WARM_UP_SECONDS + MEASUREMENT_SECONDS)
            load.stop()
            while load.open_count:
                await wait(reactor, 0.1)
        finally:
            await deferToThread(deployment.end_all)
        accounts = deployment.accounts()
    timely_answers = _count_timely_answers(load.events)
    goodput_share = timely_answers / MEASUREMENT_SECONDS / capacity_per_second
    breaches = sum(account.pushed_past for account in accounts)
    return [
        Figure(
            name="goodput at twice the load, share of what the slots allow",
            value=goodput_share,
            unit="ratio",
            aim=f"{MINIMUM_GOODPUT_SHARE} or more",
            is_met=goodput_share >= MINIMUM_GOODPUT_SHARE,
        ),
        Figure(
            name="times that a backend server was pushed past its limit",
            value=breaches,
            unit="times",
            aim="none",
            is_met=breaches == 0,
        ),
    ]


def _count_timely_answers(events: list[RequestEvent]) -> int:
    counted_from = min(event.asked_at for event in events) + WARM_UP_SECONDS
    return sum(
        1
        for event in events
        if event.is_answered
        and event.is_whole
        and event.ended_at <= event.deadline
        and counted_from <= event.ended_at <= counted_from + MEASUREMENT_SECONDS
    )


def main() -> None:
    """Measure and print the figures."""
    from twisted.internet import reactor

    running_reactor: Any = reactor
    failures: list[object] = []

    def start_measurement() -> None:
        pending = ensureDeferred(measure_overload(running_reactor))
        pending.addCallback(lambda figures: [print(figure) for figure in figures])
        pending.addErrback(failures.append)
        pending.addBoth(lambda _: running_reactor.stop())

    running_reactor.callWhenRunning(start_measurement)
    running_reactor.run()
    if failures:
        raise SystemExit(str(failures[0]))


if __name__ == "__main__":
    main()
