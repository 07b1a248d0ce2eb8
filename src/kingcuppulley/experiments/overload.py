"""Put twice the load on a service that it bears, over eight entry hosts."""

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
SLOTS = 2
TARGETS = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
ENTRY_HOSTS = (*TARGETS, "zone-c")
WARM_UP_SECONDS = 5.0
COUNTED_SECONDS = 8.0
LOAD_FACTOR = 2.0
GOODPUT_AIM = 0.9
SERVICE = ServicePlan(
    name="order-desk",
    address="192.0.2.10",
    port=8081,
    tier="requests",
    target_zones=TARGETS,
    service_seconds=SERVICE_SECONDS,
    cold_seconds=1.0,
)


async def measure_overload(reactor: Any) -> list[Figure]:
    """Return goodput as a share of what the slots allow, and breaches of limits."""
    capacity = len(TARGETS) * SLOTS / SERVICE_SECONDS
    kind = RequestKind(
        service=SERVICE.identity,
        port=SERVICE.port,
        is_booking=False,
        is_keyed=False,
        answer_bytes=200,
        timeout_seconds=2.0,
        per_second=LOAD_FACTOR * capacity,
    )
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), Plan(entry_hosts=ENTRY_HOSTS))
        hosts = [deployment.entry_host(name) for name in deployment.entry_names]
        load = RequestLoad(reactor, [kind], lambda: hosts, random.Random(SEED))
        try:
            await deferToThread(deployment.bring_up, [SERVICE])
            load.start()
            await wait(reactor, WARM_UP_SECONDS + COUNTED_SECONDS)
            load.stop()
            while load.open_count:
                await wait(reactor, 0.1)
        finally:
            await deferToThread(deployment.end_all)
        accounts = deployment.accounts()
    good = _answered_while_counted(load.events)
    share = good / COUNTED_SECONDS / capacity
    breaches = sum(account.pushed_past for account in accounts)
    return [
        Figure(
            name="goodput at twice the load, share of what the slots allow",
            value=share,
            unit="ratio",
            aim=f"{GOODPUT_AIM} or more",
            is_met=share >= GOODPUT_AIM,
        ),
        Figure(
            name="times that a backend server was pushed past its limit",
            value=breaches,
            unit="times",
            aim="none",
            is_met=breaches == 0,
        ),
    ]


def _answered_while_counted(events: list[RequestEvent]) -> int:
    began_at = min(event.asked_at for event in events) + WARM_UP_SECONDS
    return sum(
        1
        for event in events
        if event.is_answered
        and event.is_whole
        and event.ended_at <= event.deadline
        and began_at <= event.ended_at <= began_at + COUNTED_SECONDS
    )


def main() -> None:
    """Measure once and write the figures."""
    from twisted.internet import reactor

    loop: Any = reactor
    failures: list[object] = []

    def begin() -> None:
        pending = ensureDeferred(measure_overload(loop))
        pending.addCallback(lambda figures: [print(f) for f in figures])
        pending.addErrback(failures.append)
        pending.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(begin)
    loop.run()
    if failures:
        raise SystemExit(str(failures[0]))


if __name__ == "__main__":
    main()
