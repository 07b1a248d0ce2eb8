"""Check the history of a run against the ten promises of the load balancer.

The checkers read only what can be observed from outside the system: by callers, backend
servers and operators.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec

from kingcuppulley.experiments.history import ChangeKind, History

# How long work may still arrive after its zone or backend server leaves service.
REMOVAL_GRACE_SECONDS = 3.0
# How long an entry host may take to apply an accepted change.
ACTIVATION_TIMEOUT_SECONDS = 17.0


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """State whether a history keeps one promise.

    `looked_at` counts the observations that were checked. `faults` describes each
    violation.
    """

    promise: str
    looked_at: int
    faults: list[str]

    @property
    def is_kept(self) -> bool:
        """Return whether something was checked and no fault was found."""
        return not self.faults and self.looked_at > 0


def check_flows_survive(history: History) -> Verdict:
    """Find established flows that were reset or that reached two targets.

    A flow that reached a target of a zone which was taken out of service is exempt.
    """
    zones_out = {
        change.subject
        for change in history.changes
        if change.kind is ChangeKind.ZONE_OUT
    }
    targets_by_flow: dict[int, set[str]] = defaultdict(set)
    exempt_flows = set()
    for account in history.accounts:
        for flow in account.flow_identifiers:
            targets_by_flow[flow].add(account.name)
            if account.zone in zones_out:
                exempt_flows.add(flow)
    faults = [
        f"flow {flow:x} reached {sorted(names)}"
        for flow, names in targets_by_flow.items()
        if len(names) > 1 and flow not in exempt_flows
    ]
    faults += [
        f"flow {flow:x} was reset"
        for flow in history.reset_flows
        if flow not in exempt_flows
    ]
    return _verdict(
        "established flows survive planned changes", len(targets_by_flow), faults
    )


def check_isolation(history: History) -> Verdict:
    """Find packets and requests that reached a backend server of another service."""
    faults = [
        f"{account.name} got {account.foreign_packets} packets and "
        f"{account.foreign_requests} requests of other services"
        for account in history.accounts
        if account.foreign_packets or account.foreign_requests
    ]
    checked_count = sum(
        account.packets + account.answered for account in history.accounts
    )
    return _verdict(
        "packets and requests stay with their service", checked_count, faults
    )


def check_limits(history: History) -> Verdict:
    """Find backend servers that received requests beyond their current capacity."""
    faults = [
        f"{account.name} was pushed past its limit {account.pushed_past} times"
        for account in history.accounts
        if account.pushed_past
    ]
    answered_count = sum(account.answered for account in history.accounts)
    return _verdict("no backend server gets more than it bears", answered_count, faults)


def check_zones_out(history: History) -> Verdict:
    """Find packets and requests that reached a zone while it was out of service."""
    faults = []
    checked_count = 0
    for change in history.changes:
        if change.kind is not ChangeKind.ZONE_OUT:
            continue
        returned_at = _next_change_at(
            history, ChangeKind.ZONE_IN, change.subject, change.at
        )
        for account in history.accounts:
            if account.zone != change.subject:
                continue
            checked_count += 1
            faults += [
                f"{account.name} got work "
                f"{received_at - change.at:.2f} s after its zone left"
                for received_at in account.received_at
                if change.at + REMOVAL_GRACE_SECONDS < received_at < returned_at
            ]
    return _verdict(
        "a zone taken out gets nothing after seconds", checked_count, faults
    )


def check_answers(history: History) -> Verdict:
    """Find answers that are truncated or belong to another request."""
    answered = [request for request in history.requests if request.is_answered]
    faults = [
        f"request {request.booking} got "
        f"{'another' if request.is_whole else 'a partial'} answer"
        for request in answered
        if not (request.is_whole and request.is_own)
    ]
    return _verdict(
        "every caller gets the whole of its own answer", len(answered), faults
    )


def check_not_run(history: History) -> Verdict:
    """Find bookings that ran although a refusal reported that they did not run.

    A booking may be sent several times. Each sending may run once, unless it was
    refused as not run. More runs than that contradict a refusal.
    """
    run_counts = _count_runs(history)
    refused_counts: Counter[str] = Counter()
    possible_run_counts: Counter[str] = Counter()
    for request in history.requests:
        if request.is_booking and request.outcome == "not-run":
            refused_counts[request.booking] += 1
        elif request.is_booking:
            possible_run_counts[request.booking] += 1
    faults = [
        f"booking {booking} ran {run_counts[booking]} times; "
        f"{possible_run_counts[booking]} sendings may"
        for booking in refused_counts
        if run_counts[booking] > possible_run_counts[booking]
    ]
    return _verdict("a refusal that says not run is true", len(refused_counts), faults)


def check_at_most_once(history: History) -> Verdict:
    """Find bookings with an idempotency key that ran more than once."""
    run_counts = _count_runs(history)
    keyed_bookings = {
        request.booking
        for request in history.requests
        if request.is_booking and request.key
    }
    faults = [
        f"booking {booking} ran {run_counts[booking]} times"
        for booking in sorted(keyed_bookings)
        if run_counts[booking] > 1
    ]
    return _verdict("a booking runs at most once", len(keyed_bookings), faults)


def check_drains(history: History) -> Verdict:
    """Find new work that a draining backend server received after the grace period."""
    faults = []
    checked_count = 0
    accounts_by_name = {account.name: account for account in history.accounts}
    for change in history.changes:
        if (
            change.kind is not ChangeKind.DRAIN
            or change.subject not in accounts_by_name
        ):
            continue
        checked_count += 1
        faults += [
            f"{change.subject} got new work "
            f"{received_at - change.at:.2f} s after it left"
            for received_at in accounts_by_name[change.subject].new_work_at
            if received_at > change.at + REMOVAL_GRACE_SECONDS
        ]
    return _verdict("a leaving backend server gets no new work", checked_count, faults)


def check_graceful_shutdown(history: History) -> Verdict:
    """Find requests in progress that were cut when an entry host left gracefully."""
    leaves = [
        change for change in history.changes if change.kind is ChangeKind.ENTRY_LEAVE
    ]
    faults = []
    for request in history.requests:
        for change in leaves:
            is_in_progress = request.asked_at <= change.at <= request.ended_at
            if is_in_progress and request.was_cut:
                faults.append(
                    f"request {request.booking} to {request.host} was cut after "
                    f"{request.ended_at - request.asked_at:.2f} s: {request.reason}"
                )
    return _verdict("a graceful shutdown cuts no request", len(leaves), faults)


def check_activation(history: History) -> Verdict:
    """Find accepted changes that a host activated late, and versions that went back."""
    faults = []
    newest_versions: dict[tuple[str, str], int] = {}
    for report in sorted(history.forces, key=lambda event: event.at):
        host_and_key = (report.host, report.key)
        if report.version < newest_versions.get(host_and_key, 0):
            faults.append(f"{report.host} went back to {report.key} {report.version}")
        newest_versions[host_and_key] = max(
            report.version, newest_versions.get(host_and_key, 0)
        )
    accepted_changes = [change for change in history.changes if change.version]
    hosts = {report.host for report in history.forces}
    for change in accepted_changes:
        for host in hosts:
            faults += _find_late_activation(
                history, host, change.key, change.version, change.at
            )
    return _verdict(
        "what is accepted is in force and never reverts", len(accepted_changes), faults
    )


CHECKERS: tuple[Callable[[History], Verdict], ...] = (
    check_flows_survive,
    check_isolation,
    check_limits,
    check_zones_out,
    check_answers,
    check_not_run,
    check_at_most_once,
    check_drains,
    check_graceful_shutdown,
    check_activation,
)


def check_all_promises(history: History) -> list[Verdict]:
    """Return one verdict per promise, in the order of `CHECKERS`."""
    return [check(history) for check in CHECKERS]


def _verdict(promise: str, looked_at: int, faults: list[str]) -> Verdict:
    return Verdict(promise=promise, looked_at=looked_at, faults=faults)


def _count_runs(history: History) -> Counter[str]:
    run_counts: Counter[str] = Counter()
    for account in history.accounts:
        run_counts.update(account.bookings)
    return run_counts


def _next_change_at(
    history: History, kind: ChangeKind, subject: str, after: float
) -> float:
    later_times = [
        change.at
        for change in history.changes
        if change.kind is kind and change.subject == subject and change.at > after
    ]
    return min(later_times, default=float("inf"))


def _find_late_activation(
    history: History, host: str, key: str, version: int, accepted_at: float
) -> list[str]:
    reports = [
        event
        for event in history.forces
        if event.host == host and event.at >= accepted_at
    ]
    active_times = [
        event.at for event in reports if event.key == key and event.version >= version
    ]
    # A host that stopped reporting before the time limit has left or was killed.
    last_report_at = max((event.at for event in reports), default=0.0)
    if active_times and min(active_times) <= accepted_at + ACTIVATION_TIMEOUT_SECONDS:
        return []
    if not active_times and last_report_at < accepted_at + ACTIVATION_TIMEOUT_SECONDS:
        return []
    return [f"{host} has not {key} {version} within {ACTIVATION_TIMEOUT_SECONDS} s"]
