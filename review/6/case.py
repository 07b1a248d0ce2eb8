"""A thawed control host makes an entry host use a draining server again."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import (  # noqa: E402
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    HEARTBEAT_SECONDS,
    CannotRun,
    Client,
    Deployment,
    Record,
    Server,
    configuration,
    run_case,
)

ROUTE = ("127.40.0.1", 8443)
FREEZE_SECONDS = 4.0
WORK_SECONDS = 0.06
FLOWS_PER_SECOND = 50.0
# With the added server there are seven, as the site has for this service.  Zone-a has
# one, so that its entry host needs those of the other zones at this load.
STEADY_ZONES = ("zone-a", "zone-b", "zone-b", "zone-c", "zone-c", "zone-c")


def case(record: Record, has_trouble: bool) -> str:
    """Freeze one control host while an added server begins to drain."""
    deployment = Deployment(record, ("zone-a", "zone-b", "zone-c"))
    servers = []
    client = None
    try:
        deployment.start()
        for number, zone in enumerate(STEADY_ZONES):
            steady = Server(
                deployment, number + 1, "order-desk", zone, work_seconds=WORK_SECONDS
            )
            servers.append(steady)
            steady.start()
        time.sleep(1.0)
        deployment.order(
            "/kingcuppulley/config/put",
            configuration(3, {"order-desk": ROUTE}),
        )
        deployment.await_ready()
        client = Client(deployment, 1)
        entry = deployment.entries[0]
        client.start(ROUTE, FLOWS_PER_SECOND, lambda: entry)
        # Longer than contact_ms after the start of every process.
        time.sleep(6.0)

        # A server is added, and taken away again 3 s later.
        added = Server(
            deployment,
            len(STEADY_ZONES) + 1,
            "order-desk",
            "zone-b",
            warmup_seconds=2.0,
            work_seconds=WORK_SECONDS,
        )
        servers.append(added)
        added.start()
        # Its second heartbeat, which is a change, comes 0.1 s after the freeze begins.
        time.sleep(HEARTBEAT_SECONDS - 0.1)
        frozen = deployment.controls[0]
        if has_trouble:
            frozen.signal(signal.SIGSTOP)
        freeze_at = time.monotonic()
        time.sleep(2.0)
        added.drain()
        time.sleep(max(0.0, freeze_at + FREEZE_SECONDS - time.monotonic()))
        thawed_at = time.monotonic()
        if has_trouble:
            thawed_at = frozen.signal(signal.SIGCONT)
        time.sleep(CONTACT_SECONDS + DRAIN_SECONDS + 6.0)
        leave_path = f"/kingcuppulley/targets/{added.name}/leave"
        control = deployment.controls[added.control]
        status, _ = deployment.call(control, "POST", leave_path)
        record.add(f"server {added.name}: leave to {control.name}: {status}")
        added.stop()
        return check(record, added, thawed_at, client)
    finally:
        if client is not None:
            client.stop()
        for server in servers:
            server.stop()
        deployment.end()


def check(record: Record, added: Server, thawed_at: float, client: Client) -> str:
    """Apply DRAIN to the time in which every machine is in touch."""
    in_touch_at = thawed_at + CONTACT_SECONDS
    acknowledged = [
        (at, machine)
        for sent_at, at, state, machine in added.acknowledged
        if state == "draining" and sent_at >= in_touch_at
    ]
    if not acknowledged or client.answered < 100:
        raise CannotRun("no heartbeat was acknowledged, or too few requests ran")
    first_at, machine = acknowledged[0]
    late = [at for at, _ in added.syn_arrivals if at > first_at + DRAIN_SECONDS]
    record.add(
        f"{machine.name}, in touch, acknowledged that {added.name} drains at "
        f"{record.since_start(first_at):.3f}; later than 3 s after that, "
        f"{len(late)} flows were opened at it"
    )
    if late:
        return (
            f"DRAIN: {len(late)} flows reached the draining server, the last one "
            f"{late[-1] - first_at:.1f} s after the acknowledgement; "
            f"{added.cut_requests} requests were cut when it ended"
        )
    return ""


sys.exit(run_case(Path(__file__).resolve().parent, case))
