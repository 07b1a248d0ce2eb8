"""Grant the slots of one service's backend servers in one availability zone."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from kingcuppulley.backend_servers.choice import ChoicePolicy
from kingcuppulley.backend_servers.limits import SlotLimit
from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.entry_hosts.messages import (
    AttemptOutcome,
    Body,
    HeldLease,
    LeaseQuery,
    LeaseReport,
    RefusalReason,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRenewal,
    SlotRenewed,
    SlotRequest,
)
from kingcuppulley.internal.sender import Sender
from kingcuppulley.model import Service

LEASE_SECONDS = 3.0
LEASE_MARGIN_SECONDS = 1.0
LINGER_SECONDS = 0.5
MAXIMUM_QUEUE_PER_SLOT = 16


class SlotLease:
    """Hold one granted slot."""

    __slots__ = ("name", "holder", "target", "deadline")

    def __init__(self, name: str, holder: str, target: str, deadline: float) -> None:
        self.name = name
        self.holder = holder
        self.target = target
        self.deadline = deadline


class WaitingRequest:
    """Hold one request for a slot that waits for one to come free."""

    __slots__ = ("lease", "host", "avoid", "deadline")

    def __init__(
        self, lease: str, host: str, avoid: str | None, deadline: float
    ) -> None:
        self.lease = lease
        self.host = host
        self.avoid = avoid
        self.deadline = deadline


class CoordinatedTarget:
    """Hold one backend server with its limit and its leases."""

    __slots__ = ("record", "limit", "leases", "last_grant")

    def __init__(self, record: TargetRecord, limit: SlotLimit) -> None:
        self.record = record
        self.limit = limit
        self.leases: set[str] = set()
        self.last_grant = 0

    def free(self, now: float) -> int:
        """Return how many more requests the backend server bears now."""
        if not self.record.is_eligible:
            return 0
        return self.limit.current(self.record.state, now) - len(self.leases)

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.record.name

    @property
    def used_share(self) -> float:
        """Return the used share of the slots that the server bears when warm."""
        return len(self.leases) / max(1, self.limit.slots)


class SlotCoordinator:
    """Grant slot leases as the only host that does so for its service and zone.

    Slots cannot be counted in eight gateways at once, so one host counts them.  A new
    steward knows no lease.  It asks every configured host, and grants nothing until
    all have answered or until every lease that could be unknown has run out.
    """

    def __init__(
        self,
        service: Service,
        zone: str,
        hosts: Iterable[str],
        sender: Sender[Body],
        policy: ChoicePolicy,
        now: float,
    ) -> None:
        self._policy = policy
        self._service = service
        self._zone = zone
        self._sender = sender
        self._targets: dict[str, CoordinatedTarget] = {}
        self._leases: dict[str, SlotLease] = {}
        self._queue: deque[WaitingRequest] = deque()
        self._grants = 0
        self._unanswered = set(hosts)
        self._learn_deadline = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        for host in sorted(self._unanswered):
            sender.send(host, LeaseQuery(service.identity, zone))

    @property
    def is_learning(self) -> bool:
        """Return whether leases may be held that this steward does not know."""
        return bool(self._unanswered)

    @property
    def leases(self) -> list[SlotLease]:
        """Return the leases that are counted now."""
        return list(self._leases.values())

    def proven_limits(self) -> dict[str, int]:
        """Return the limit of each backend server that differs from its record."""
        return {
            name: target.limit.proven
            for name, target in self._targets.items()
            if target.record.proven_slots != target.limit.proven
            and target.record.state is not TargetState.GONE
        }

    def update_service(self, service: Service, now: float) -> None:
        """Take a changed service."""
        self._service = service
        for target in self._targets.values():
            target.limit.update_service(service)
        self._serve_queue(now)

    def update_targets(self, records: Iterable[TargetRecord], now: float) -> None:
        """Take the backend servers of this service and zone."""
        seen = set()
        for record in records:
            seen.add(record.name)
            self._update_target(record, now)
        for name in self._targets.keys() - seen:
            if not self._targets[name].leases:
                del self._targets[name]
        self._serve_queue(now)

    def request(self, host: str, request: SlotRequest, now: float) -> None:
        """Grant a slot, let the request wait, or refuse."""
        deadline = now + request.wait_seconds
        waiting = WaitingRequest(request.lease, host, request.avoid, deadline)
        if self.is_learning:
            if len(self._queue) < self._queue_limit():
                self._queue.append(waiting)
            else:
                self._refuse(waiting, RefusalReason.LEARNING)
            return
        if not any(t.record.is_eligible for t in self._targets.values()):
            self._refuse(waiting, RefusalReason.NO_TARGET)
            return
        if not self._queue and self._grant(waiting, now):
            return
        if request.wait_seconds <= 0 or len(self._queue) >= self._queue_limit():
            self._refuse(waiting, RefusalReason.BUSY)
            return
        self._queue.append(waiting)

    def release(self, host: str, release: SlotRelease, now: float) -> None:
        """Take a slot back, and what its use says about the backend server."""
        lease = self._leases.get(release.lease)
        if lease is None or lease.holder != host:
            self._drop_waiting(release.lease)
            return
        target = self._targets.get(lease.target)
        if target is not None:
            target.limit.record(release.outcome, release.service_seconds, now)
            if release.outcome is AttemptOutcome.ANSWERED:
                self._policy.record_answer(lease.target, release.service_seconds)
        if release.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SHED):
            self._free(lease)
            self._serve_queue(now)
            return
        # The backend server may still be at work on it: the cancellation is under way.
        lease.deadline = now + LINGER_SECONDS

    def renew(self, host: str, renewal: SlotRenewal, now: float) -> None:
        """Extend leases and confirm those that still stand."""
        standing = []
        for name in renewal.leases:
            lease = self._leases.get(name)
            if lease is not None and lease.holder == host:
                lease.deadline = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
                standing.append(name)
        if standing:
            self._sender.send(host, SlotRenewed(standing, LEASE_SECONDS))

    def handle_lease_report(self, host: str, report: LeaseReport, now: float) -> None:
        """Take the leases that a host holds."""
        if host not in self._unanswered:
            return
        self._unanswered.discard(host)
        for held in report.leases:
            self._adopt(host, held, now)
        if report.leases:
            names = [held.lease for held in report.leases]
            self._sender.send(host, SlotRenewed(names, LEASE_SECONDS))
        self._serve_queue(now)

    def tick(self, now: float) -> None:
        """Take back what ran out and refuse what waited too long."""
        if self._unanswered and now >= self._learn_deadline:
            self._unanswered.clear()
        for lease in [e for e in self._leases.values() if e.deadline <= now]:
            self._free(lease)
        expired = [w for w in self._queue if w.deadline <= now]
        if expired:
            self._queue = deque(w for w in self._queue if w.deadline > now)
        for waiting in expired:
            learning = self.is_learning
            reason = RefusalReason.LEARNING if learning else RefusalReason.BUSY
            self._refuse(waiting, reason)
        self._serve_queue(now)

    def _update_target(self, record: TargetRecord, now: float) -> None:
        target = self._targets.get(record.name)
        if target is None:
            limit = SlotLimit(self._service, record.proven_slots, now)
            self._targets[record.name] = CoordinatedTarget(record, limit)
            return
        restarted = record.incarnation != target.record.incarnation
        if restarted or (
            record.state is TargetState.COLD
            and target.record.state is not TargetState.COLD
        ):
            target.limit.became_cold(now)
        target.record = record

    def _adopt(self, host: str, held: HeldLease, now: float) -> None:
        deadline = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        self._leases[held.lease] = SlotLease(held.lease, host, held.target, deadline)
        target = self._targets.get(held.target)
        if target is not None:
            target.leases.add(held.lease)

    def _serve_queue(self, now: float) -> None:
        if self.is_learning:
            return
        for _ in range(len(self._queue)):
            waiting = self._queue.popleft()
            if not self._grant(waiting, now):
                self._queue.appendleft(waiting)
                return

    def _grant(self, waiting: WaitingRequest, now: float) -> bool:
        target = self._choose(waiting, now)
        if target is None:
            return False
        record = target.record
        deadline = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        lease = SlotLease(waiting.lease, waiting.host, record.name, deadline)
        self._leases[lease.name] = lease
        target.leases.add(lease.name)
        self._grants += 1
        target.last_grant = self._grants
        grant = SlotGrant(
            waiting.lease, record.name, record.host, record.request_port, LEASE_SECONDS
        )
        self._sender.send(waiting.host, grant)
        return True

    def _choose(self, waiting: WaitingRequest, now: float) -> CoordinatedTarget | None:
        free = [t for t in self._targets.values() if t.free(now) > 0]
        if len(free) > 1:
            # A retry goes elsewhere, if there is an elsewhere.
            free = [t for t in free if t.name != waiting.avoid]
        if not free:
            return None
        chosen = self._policy.choose(free, waiting.lease)
        return self._targets[chosen.name]

    def _free(self, lease: SlotLease) -> None:
        self._leases.pop(lease.name, None)
        target = self._targets.get(lease.target)
        if target is not None:
            target.leases.discard(lease.name)

    def _drop_waiting(self, lease: str) -> None:
        self._queue = deque(w for w in self._queue if w.lease != lease)

    def _refuse(self, waiting: WaitingRequest, reason: RefusalReason) -> None:
        self._sender.send(waiting.host, SlotRefusal(waiting.lease, reason))

    def _queue_limit(self) -> int:
        slots = max(1, len(self._targets)) * self._service.slots
        return MAXIMUM_QUEUE_PER_SLOT * slots
