"""Judge a run's record against the ten promises, knowing nothing of the system."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec

from kingcuppulley.experiments.history import ChangeKind, History

FEW_SECONDS = 3.0
FORCE_SECONDS = 17.0


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one promise's verdict with what breaks it and how much was looked at."""

    promise: str
    looked_at: int
    faults: list[str]

    @property
    def is_kept(self) -> bool:
        """Return whether the record shows no fault, and something was looked at."""
        return not self.faults and self.looked_at > 0


def check_flows_survive(history: History) -> Verdict:
    """Find flows that reached two targets, or were reset, though none was given up."""
    zones_out = {c.subject for c in history.changes if c.kind is ChangeKind.ZONE_OUT}
    targets: dict[int, set[str]] = defaultdict(set)
    given_up = set()
    for account in history.accounts:
        for flow in account.flow_identifiers:
            targets[flow].add(account.name)
            if account.zone in zones_out:
                given_up.add(flow)
    faults = [
        f"flow {flow:x} reached {sorted(names)}"
        for flow, names in targets.items()
        if len(names) > 1 and flow not in given_up
    ]
    faults += [
        f"flow {flow:x} was reset"
        for flow in history.reset_flows
        if flow not in given_up
    ]
    return _verdict("established flows survive planned changes", len(targets), faults)


def check_isolation(history: History) -> Verdict:
    """Find packets and requests that reached a service they were not meant for."""
    faults = [
        f"{account.name} got {account.foreign_packets} packets and "
        f"{account.foreign_requests} requests of other services"
        for account in history.accounts
        if account.foreign_packets or account.foreign_requests
    ]
    seen = sum(a.packets + a.answered for a in history.accounts)
    return _verdict("packets and requests stay with their service", seen, faults)


def check_limits(history: History) -> Verdict:
    """Find backend servers that were given more than they bore at that moment."""
    faults = [
        f"{account.name} was pushed past its limit {account.pushed_past} times"
        for account in history.accounts
        if account.pushed_past
    ]
    seen = sum(account.answered for account in history.accounts)
    return _verdict("no backend server gets more than it bears", seen, faults)


def check_zones_out(history: History) -> Verdict:
    """Find packets and requests that reached a zone after it was taken out."""
    faults = []
    seen = 0
    for change in history.changes:
        if change.kind is not ChangeKind.ZONE_OUT:
            continue
        until = _next_change(history, ChangeKind.ZONE_IN, change.subject, change.at)
        for account in history.accounts:
            if account.zone != change.subject:
                continue
            seen += 1
            faults += [
                f"{account.name} got work {at - change.at:.2f} s after its zone left"
                for at in account.received_at
                if change.at + FEW_SECONDS < at < until
            ]
    return _verdict("a zone taken out gets nothing after seconds", seen, faults)


def check_answers(history: History) -> Verdict:
    """Find answers that are cut short or belong to another request."""
    answered = [r for r in history.requests if r.is_answered]
    faults = [
        f"request {r.booking} got {'another' if r.is_whole else 'a partial'} answer"
        for r in answered
        if not (r.is_whole and r.is_own)
    ]
    return _verdict(
        "every caller gets the whole of its own answer", len(answered), faults
    )


def check_not_run(history: History) -> Verdict:
    """Find bookings that ran more often than those sendings that may have run."""
    ran = _runs(history)
    said_not_run: Counter[str] = Counter()
    others: Counter[str] = Counter()
    for request in history.requests:
        if request.is_booking and request.outcome == "not-run":
            said_not_run[request.booking] += 1
        elif request.is_booking:
            others[request.booking] += 1
    faults = [
        f"booking {booking} ran {ran[booking]} times; {others[booking]} sendings may"
        for booking in said_not_run
        if ran[booking] > others[booking]
    ]
    return _verdict("a refusal that says not run is true", len(said_not_run), faults)


def check_at_most_once(history: History) -> Verdict:
    """Find keyed bookings that ran more than once."""
    ran = _runs(history)
    keyed = {r.booking for r in history.requests if r.is_booking and r.key}
    faults = [f"booking {b} ran {ran[b]} times" for b in sorted(keyed) if ran[b] > 1]
    return _verdict("a booking runs at most once", len(keyed), faults)


def check_drains(history: History) -> Verdict:
    """Find work that a leaving backend server got after a few seconds."""
    faults = []
    seen = 0
    accounts = {account.name: account for account in history.accounts}
    for change in history.changes:
        if change.kind is not ChangeKind.DRAIN or change.subject not in accounts:
            continue
        seen += 1
        faults += [
            f"{change.subject} got new work {at - change.at:.2f} s after it left"
            for at in accounts[change.subject].new_work_at
            if at > change.at + FEW_SECONDS
        ]
    return _verdict("a leaving backend server gets no new work", seen, faults)


def check_graceful(history: History) -> Verdict:
    """Find requests that were cut while an entry host left as planned."""
    leaves = [c for c in history.changes if c.kind is ChangeKind.ENTRY_LEAVE]
    faults = []
    for request in history.requests:
        for change in leaves:
            under_way = request.asked_at <= change.at <= request.ended_at
            if under_way and request.was_cut:
                faults.append(
                    f"request {request.booking} to {request.host} was cut after "
                    f"{request.ended_at - request.asked_at:.2f} s: {request.reason}"
                )
    return _verdict("a graceful shutdown cuts no request", len(leaves), faults)


def check_force(history: History) -> Verdict:
    """Find accepted changes that are late somewhere, and versions that went back."""
    faults = []
    seen: dict[tuple[str, str], int] = {}
    for force in sorted(history.forces, key=lambda f: f.at):
        place = (force.host, force.key)
        if force.version < seen.get(place, 0):
            faults.append(f"{force.host} went back to {force.key} {force.version}")
        seen[place] = max(force.version, seen.get(place, 0))
    accepted = [c for c in history.changes if c.version]
    hosts = {force.host for force in history.forces}
    for change in accepted:
        for host in hosts:
            faults += _late(history, host, change.key, change.version, change.at)
    return _verdict(
        "what is accepted is in force and never reverts", len(accepted), faults
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
    check_graceful,
    check_force,
)


def judge(history: History) -> list[Verdict]:
    """Return the verdict of every promise."""
    return [check(history) for check in CHECKERS]


def _verdict(promise: str, looked_at: int, faults: list[str]) -> Verdict:
    return Verdict(promise=promise, looked_at=looked_at, faults=faults)


def _runs(history: History) -> Counter[str]:
    ran: Counter[str] = Counter()
    for account in history.accounts:
        ran.update(account.bookings)
    return ran


def _next_change(
    history: History, kind: ChangeKind, subject: str, after: float
) -> float:
    later = [
        c.at
        for c in history.changes
        if c.kind is kind and c.subject == subject and c.at > after
    ]
    return min(later, default=float("inf"))


def _late(history: History, host: str, key: str, version: int, at: float) -> list[str]:
    reports = [f for f in history.forces if f.host == host and f.at >= at]
    in_force = [f.at for f in reports if f.key == key and f.version >= version]
    # A host that stopped reporting before the time was up has left or was killed.
    last_report = max((f.at for f in reports), default=0.0)
    if in_force and min(in_force) <= at + FORCE_SECONDS:
        return []
    if not in_force and last_report < at + FORCE_SECONDS:
        return []
    return [f"{host} has not {key} {version} within {FORCE_SECONDS} s"]
