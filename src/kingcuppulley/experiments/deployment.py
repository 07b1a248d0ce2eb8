"""Run a small deployment through planned changes and check its promises: `make run`."""

from __future__ import annotations

import argparse
import random
import shutil
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import deferToThread

from kingcuppulley.experiments.checkers import Verdict, check_all_promises
from kingcuppulley.experiments.history import (
    ActiveVersionEvent,
    ChangeEvent,
    ChangeKind,
    History,
)
from kingcuppulley.experiments.load import PacketLoad, RequestKind, RequestLoad, wait
from kingcuppulley.experiments.processes import Deployment, Plan, ServicePlan
from kingcuppulley.stand_ins.fabric import make_flows

SEED = 20261204
STATUS_POLL_INTERVAL_SECONDS = 0.25
FLOWS_PER_SERVICE = 400
PACKETS_PER_SECOND = 800.0

ORDER_DESK = ServicePlan(
    name="order-desk",
    address="192.0.2.10",
    port=8081,
    tier="requests",
    target_zones=("zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"),
    service_seconds=0.03,
)
DRAWING_STORE = ServicePlan(
    name="drawing-store",
    address="192.0.2.11",
    port=8082,
    tier="requests",
    target_zones=("zone-a", "zone-b", "zone-c"),
    service_seconds=0.05,
)
BOOKINGS = ServicePlan(
    name="bookings",
    address="192.0.2.20",
    port=8443,
    tier="packets",
    target_zones=("zone-a", "zone-a", "zone-b", "zone-c"),
)
VIDEOS = ServicePlan(
    name="videos",
    address="192.0.2.21",
    port=8443,
    tier="packets",
    target_zones=("zone-a", "zone-b", "zone-c"),
)
SERVICES = [ORDER_DESK, DRAWING_STORE, BOOKINGS, VIDEOS]
REQUEST_KINDS = [
    RequestKind(
        service=ORDER_DESK.identity,
        port=ORDER_DESK.port,
        is_booking=False,
        is_keyed=False,
        answer_bytes=300,
        timeout_seconds=3.0,
        per_second=70.0,
    ),
    RequestKind(
        service=ORDER_DESK.identity,
        port=ORDER_DESK.port,
        is_booking=True,
        is_keyed=True,
        answer_bytes=300,
        timeout_seconds=5.0,
        per_second=25.0,
        repeat_share=0.3,
    ),
    RequestKind(
        service=ORDER_DESK.identity,
        port=ORDER_DESK.port,
        is_booking=True,
        is_keyed=False,
        answer_bytes=300,
        timeout_seconds=5.0,
        per_second=10.0,
    ),
    RequestKind(
        service=DRAWING_STORE.identity,
        port=DRAWING_STORE.port,
        is_booking=False,
        is_keyed=False,
        answer_bytes=300_000,
        timeout_seconds=5.0,
        per_second=5.0,
    ),
]


OVERLOAD_KIND = RequestKind(
    service=DRAWING_STORE.identity,
    port=DRAWING_STORE.port,
    is_booking=True,
    is_keyed=False,
    answer_bytes=300,
    timeout_seconds=0.5,
    per_second=120.0,
)


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The measures of one run.

    `service` is the share of requests that were answered once, in full and before
    their deadline. `imbalance` is the largest number of answers of one backend server
    of the order desk, divided by the mean over its backend servers that were in
    service for the whole run. `flows_given_up` counts the flows that were reset, and
    `service_during_zone_move` is the share of service over the requests that were sent
    within 5 s after a zone was taken out of service or returned.
    """

    flows: int
    broken_flows: int
    flows_given_up: int
    requests: int
    service: float
    service_during_zone_move: float
    imbalance: float
    zone_out_seconds: float
    acceptance_to_force_seconds: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The report of one run: its measures and the verdict on each promise."""

    seed: int
    seconds: float
    measures: Measures
    verdicts: list[Verdict]


class Run:
    """Run one deployment through planned changes under load, and record its history."""

    def __init__(self, reactor: Any, folder: Path, plan: Plan) -> None:
        self._reactor = reactor
        self._generator = random.Random(SEED)
        self._deployment = Deployment(folder, plan)
        self._history = History()
        self._serving_names = list(self._deployment.entry_names)
        self._request_load = RequestLoad(
            reactor, REQUEST_KINDS, self._request_hosts, random.Random(SEED + 1)
        )
        self._overload_load = RequestLoad(
            reactor, [OVERLOAD_KIND], self._request_hosts, random.Random(SEED + 3)
        )
        flows = make_flows(
            FLOWS_PER_SERVICE, BOOKINGS.address, BOOKINGS.port, self._generator
        )
        flows += make_flows(
            FLOWS_PER_SERVICE, VIDEOS.address, VIDEOS.port, self._generator
        )
        self._packet_load = PacketLoad(
            flows, self._fabric_addresses, PACKETS_PER_SECOND, random.Random(SEED + 2)
        )
        self._is_polling_status = True

    @property
    def deployment(self) -> Deployment:
        """Return the deployment, whose processes `run()` starts and ends."""
        return self._deployment

    @property
    def history(self) -> History:
        """Return the history of the run; it is complete when `run()` has ended."""
        return self._history

    async def run(self) -> None:
        """Start the deployment, make each change in turn under load, and end it."""
        began_at = time.monotonic()
        deployment = self._deployment
        await deferToThread(deployment.bring_up, SERVICES, self._record_acceptance)
        return_host, return_port = deployment.return_address
        self._reactor.listenUDP(return_port, self._packet_load, interface=return_host)
        self._packet_load.start()
        self._request_load.start()
        self._reactor.callInThread(self._poll_status)
        await wait(self._reactor, 4)
        await self._add_target()
        await self._drain_target()
        await self._change_template()
        await self._move_zone_out_and_in()
        await self._overload()
        await self._leave_entry_host()
        self._request_load.stop()
        while self._request_load.open_count:
            await wait(self._reactor, 0.1)
        self._packet_load.stop()
        self._is_polling_status = False
        await wait(self._reactor, 2 * STATUS_POLL_INTERVAL_SECONDS)
        await deferToThread(deployment.end_all)
        self._history.requests = self._request_load.events + self._overload_load.events
        self._history.reset_flows = self._packet_load.reset_flows
        self._history.accounts = deployment.accounts()
        self._history.seconds = time.monotonic() - began_at

    async def _add_target(self) -> None:
        for service, zone in ((BOOKINGS, "zone-b"), (ORDER_DESK, "zone-b")):
            name = self._deployment.start_target(service, zone)
            self._record_change(ChangeKind.TARGET_ADDED, name)
        await wait(self._reactor, 4)

    async def _drain_target(self) -> None:
        for name in ("order-desk-1", "bookings-11"):
            self._deployment.signal(name, signal.SIGUSR1)
            self._record_change(ChangeKind.DRAIN, name)
        await wait(self._reactor, 4.5)

    async def _change_template(self) -> None:
        answer = await deferToThread(self._deployment.accept_service, DRAWING_STORE, 1)
        self._record_acceptance(answer)
        await wait(self._reactor, 2)

    async def _move_zone_out_and_in(self) -> None:
        for in_service, kind in (
            (False, ChangeKind.ZONE_OUT),
            (True, ChangeKind.ZONE_IN),
        ):
            document = {"name": "zone-c", "in_service": in_service}
            client = self._deployment.client("control-2")
            answer = await deferToThread(client.change, "/zones/zone-c", document)
            self._record_change(kind, "zone-c")
            self._record_acceptance(answer)
            await wait(self._reactor, 6)

    async def _overload(self) -> None:
        """Exceed the drawing store's capacity so that some bookings are refused."""
        self._overload_load.start()
        await wait(self._reactor, 3)
        self._overload_load.stop()
        while self._overload_load.open_count:
            await wait(self._reactor, 0.1)

    async def _leave_entry_host(self) -> None:
        name = self._deployment.entry_names[0]
        # The fabric stops sending to a host once the host reports that it is leaving.
        self._serving_names.remove(name)
        self._record_change(ChangeKind.ENTRY_LEAVE, name)
        await deferToThread(self._deployment.end, name)
        await wait(self._reactor, 3)

    def _poll_status(self) -> None:
        while self._is_polling_status:
            for name in list(self._serving_names):
                status = self._deployment.entry_status(name)
                if status is None:
                    continue
                reported_at = time.time()
                for key, version in status["versions"].items():
                    self._history.forces.append(
                        ActiveVersionEvent(
                            host=name, key=key, version=version, at=reported_at
                        )
                    )
            time.sleep(STATUS_POLL_INTERVAL_SECONDS)

    def _request_hosts(self) -> list[str]:
        return [self._deployment.entry_host(name) for name in self._serving_names]

    def _fabric_addresses(self) -> list[tuple[str, int]]:
        return [self._deployment.fabric_address(name) for name in self._serving_names]

    def _record_change(self, kind: ChangeKind, subject: str) -> None:
        event = ChangeEvent(kind=kind, subject=subject, at=time.time())
        self._history.changes.append(event)

    def _record_acceptance(self, answer: Any) -> None:
        self._history.changes.append(
            ChangeEvent(
                kind=ChangeKind.TEMPLATE,
                subject=answer["key"],
                at=time.time(),
                key=answer["key"],
                version=answer["version"],
            )
        )


def measure(history: History, verdicts: list[Verdict]) -> Measures:
    """Return the measures of a history; `verdicts` are in the order of `CHECKERS`."""
    flows = {flow for account in history.accounts for flow in account.flow_identifiers}
    zone_move_times = [
        change.at
        for change in history.changes
        if change.kind in (ChangeKind.ZONE_OUT, ChangeKind.ZONE_IN)
    ]
    # Only the overload sends bookings to this service. It exceeds the capacity on
    # purpose, so its bookings are not counted.
    counted_requests = [
        request
        for request in history.requests
        if not (request.is_booking and request.service == OVERLOAD_KIND.service)
    ]
    zone_move_requests = [
        request
        for request in counted_requests
        if any(
            moved_at <= request.asked_at <= moved_at + 5 for moved_at in zone_move_times
        )
    ]
    return Measures(
        flows=len(flows),
        broken_flows=len(verdicts[0].faults),
        flows_given_up=len(history.reset_flows),
        requests=len(history.requests),
        service=_share_served(counted_requests),
        service_during_zone_move=_share_served(zone_move_requests),
        imbalance=_imbalance(history),
        zone_out_seconds=_zone_out_seconds(history),
        acceptance_to_force_seconds=_activation_seconds(history),
    )


def _share_served(requests: list[Any]) -> float:
    served = [
        request
        for request in requests
        if request.is_answered
        and request.is_whole
        and request.is_own
        and request.ended_at <= request.deadline
    ]
    # A repeat of a booking that is still running is answered with 409. This is not a
    # failure of the service, so the share excludes these answers.
    counted = [request for request in requests if request.status != 409]
    return len(served) / max(1, len(counted))


def _imbalance(history: History) -> float:
    changed_subjects = {change.subject for change in history.changes}
    answer_counts = [
        account.answered
        for account in history.accounts
        if account.service == ORDER_DESK.identity
        and account.name not in changed_subjects
        and account.zone not in changed_subjects
    ]
    return max(answer_counts) / statistics.mean(answer_counts) if answer_counts else 0.0


def _zone_out_seconds(history: History) -> float:
    """Return how long a zone received packets or requests after it was taken out."""
    for change in history.changes:
        if change.kind is ChangeKind.ZONE_OUT:
            return_times = [
                other.at
                for other in history.changes
                if other.kind is ChangeKind.ZONE_IN
            ]
            returned_at = min(return_times, default=float("inf"))
            return max(
                (
                    received_at - change.at
                    for account in history.accounts
                    if account.zone == change.subject
                    for received_at in account.received_at
                    if change.at < received_at < returned_at
                ),
                default=0.0,
            )
    return 0.0


def _activation_seconds(history: History) -> float:
    """Return the longest time from an acceptance until the last host activated it."""
    longest_seconds = 0.0
    for change in history.changes:
        reports = [
            report
            for report in history.forces
            if report.key == change.key and report.version >= change.version > 0
        ]
        for host in {report.host for report in reports}:
            activated_at = min(report.at for report in reports if report.host == host)
            longest_seconds = max(longest_seconds, activated_at - change.at)
    return longest_seconds


def print_report(report: Report, echo: Callable[[str], object] = print) -> None:
    """Print the measures and verdicts, with up to three faults of each verdict."""
    echo(f"{'measure':34} value")
    for name, value in msgspec.structs.asdict(report.measures).items():
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        echo(f"{name:34} {text}")
    echo("")
    echo(f"{'promise':50} {'looked at':>10}  verdict")
    for verdict in report.verdicts:
        outcome = "kept" if verdict.is_kept else f"BROKEN ({len(verdict.faults)})"
        echo(f"{verdict.promise:50} {verdict.looked_at:>10}  {outcome}")
        for fault in verdict.faults[:3]:
            echo(f"    {fault}")


def main() -> int:
    """Run once and return the exit code: 0 if every promise was kept, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--report", type=Path, default=Path("build/run.json"))
    parser.add_argument("--keep", action="store_true", help="keep logs and settings")
    arguments = parser.parse_args()
    from twisted.internet import reactor

    folder = Path(tempfile.mkdtemp(prefix="kingcuppulley-"))
    run = Run(reactor, folder, Plan())
    failures: list[object] = []
    loop: Any = reactor

    def begin() -> None:
        pending = ensureDeferred(run.run())
        pending.addErrback(failures.append)
        pending.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(begin)
    loop.run()
    run.deployment.end_all()
    if failures:
        print(failures[0], file=sys.stderr)
        print(f"logs are in {folder}", file=sys.stderr)
        return 1
    verdicts = check_all_promises(run.history)
    report = Report(
        seed=SEED,
        seconds=run.history.seconds,
        measures=measure(run.history, verdicts),
        verdicts=verdicts,
    )
    arguments.report.parent.mkdir(parents=True, exist_ok=True)
    arguments.report.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    print_report(report)
    if not arguments.keep:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        history_file = folder / "history.json"
        history_file.write_bytes(msgspec.json.encode(run.history))
        print(f"logs and history.json are in {folder}")
    return 0 if all(verdict.is_kept for verdict in verdicts) else 1


if __name__ == "__main__":
    raise SystemExit(main())
