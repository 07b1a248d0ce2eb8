"""Grant the slots of one service's backend servers in one availability zone.

A slot is the right to have one request in progress at a backend server.  Gateways lease
slots from the coordinator before they send requests.
"""

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
# A slot is freed this much later than its lease ends for the gateway.
LEASE_MARGIN_SECONDS = 1.0
RELEASE_DELAY_SECONDS = 0.5
MAXIMUM_QUEUED_REQUESTS_PER_SLOT = 16


class SlotLease:
    """Hold the lease of one granted slot.

    `holder` is the host whose gateway uses the slot.
    """

    __slots__ = ("name", "holder", "target", "deadline")

    def __init__(self, name: str, holder: str, target: str, deadline: float) -> None:
        self.name = name
        self.holder = holder
        self.target = target
        self.deadline = deadline


class WaitingRequest:
    """Hold one slot request that is queued until a slot is free.

    `avoid` names the backend server that the request should not get again.
    """

    __slots__ = ("lease", "host", "avoid", "deadline")

    def __init__(
        self, lease: str, host: str, avoid: str | None, deadline: float
    ) -> None:
        self.lease = lease
        self.host = host
        self.avoid = avoid
        self.deadline = deadline


class CoordinatedTarget:
    """Hold one backend server with its slot limit and its leases.

    `last_grant` is the number of the last grant on the server, 0 for none.
    """

    __slots__ = ("record", "limit", "leases", "last_grant")

    def __init__(self, record: TargetRecord, limit: SlotLimit) -> None:
        self.record = record
        self.limit = limit
        self.leases: set[str] = set()
        self.last_grant = 0

    def free_slots(self, now: float) -> int:
        """Return how many more requests the backend server can serve now.

        The number is negative if the limit is below the number of leases.
        """
        if not self.record.is_eligible:
            return 0
        return self.limit.current(self.record.state, now) - len(self.leases)

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.record.name

    @property
    def used_share(self) -> float:
        """Return the leased share of the slots that the server has when warm."""
        return len(self.leases) / max(1, self.limit.slots)


class SlotCoordinator:
    """Grant slot leases as the only coordinator of its service and zone.

    Slots cannot be counted in eight gateways at once, so a single host counts them.  A
    new coordinator knows no leases.  It queries every configured host, and grants
    nothing until all have reported or until any lease that it does not know must have
    expired.
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
        self._grant_count = 0
        self._unreported_hosts = set(hosts)
        self._learning_deadline = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        for host in sorted(self._unreported_hosts):
            sender.send(host, LeaseQuery(service.identity, zone))

    @property
    def is_learning(self) -> bool:
        """Return whether there may be leases that this coordinator does not know."""
        return bool(self._unreported_hosts)

    @property
    def leases(self) -> list[SlotLease]:
        """Return every lease, including expired ones that the next tick frees."""
        return list(self._leases.values())

    def proven_limits(self) -> dict[str, int]:
        """Return the proven slot limits that the servers' records do not hold yet.

        Servers that are gone are left out.
        """
        return {
            name: target.limit.proven
            for name, target in self._targets.items()
            if target.record.proven_slots != target.limit.proven
            and target.record.state is not TargetState.GONE
        }

    def update_service(self, service: Service, now: float) -> None:
        """Apply changed slot limits of the service."""
        self._service = service
        for target in self._targets.values():
            target.limit.update_service(service)
        self._serve_queue(now)

    def update_targets(self, records: Iterable[TargetRecord], now: float) -> None:
        """Replace the backend servers of this service and zone.

        A server that is no longer listed is kept while it has leases.
        """
        listed = set()
        for record in records:
            listed.add(record.name)
            self._update_target(record, now)
        for name in self._targets.keys() - listed:
            if not self._targets[name].leases:
                del self._targets[name]
        self._serve_queue(now)

    def request(self, host: str, request: SlotRequest, now: float) -> None:
        """Grant a slot, queue the request, or refuse it."""
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
        """Free a slot and update the backend server's limit by the attempt's outcome.

        If the lease was not granted, remove its request from the queue.
        """
        lease = self._leases.get(release.lease)
        if lease is None or lease.holder != host:
            self._remove_waiting(release.lease)
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
        # The backend server may still be processing the request, because the
        # cancellation has not reached it yet.
        lease.deadline = now + RELEASE_DELAY_SECONDS

    def renew(self, host: str, renewal: SlotRenewal, now: float) -> None:
        """Extend the leases that still exist and confirm them to the gateway."""
        extended = []
        for name in renewal.leases:
            lease = self._leases.get(name)
            if lease is not None and lease.holder == host:
                lease.deadline = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
                extended.append(name)
        if extended:
            self._sender.send(host, SlotRenewed(extended, LEASE_SECONDS))

    def handle_lease_report(self, host: str, report: LeaseReport, now: float) -> None:
        """Add the leases that a host reports, and extend them.

        Only the first report of each host counts.
        """
        if host not in self._unreported_hosts:
            return
        self._unreported_hosts.discard(host)
        for held in report.leases:
            self._add_reported_lease(host, held, now)
        if report.leases:
            names = [held.lease for held in report.leases]
            self._sender.send(host, SlotRenewed(names, LEASE_SECONDS))
        self._serve_queue(now)

    def tick(self, now: float) -> None:
        """Free expired leases and refuse requests whose wait has ended."""
        if self._unreported_hosts and now >= self._learning_deadline:
            self._unreported_hosts.clear()
        for lease in [held for held in self._leases.values() if held.deadline <= now]:
            self._free(lease)
        expired = [w for w in self._queue if w.deadline <= now]
        if expired:
            self._queue = deque(w for w in self._queue if w.deadline > now)
        for waiting in expired:
            is_learning = self.is_learning
            reason = RefusalReason.LEARNING if is_learning else RefusalReason.BUSY
            self._refuse(waiting, reason)
        self._serve_queue(now)

    def _update_target(self, record: TargetRecord, now: float) -> None:
        target = self._targets.get(record.name)
        if target is None:
            limit = SlotLimit(self._service, record.proven_slots, now)
            self._targets[record.name] = CoordinatedTarget(record, limit)
            return
        has_restarted = record.incarnation != target.record.incarnation
        if has_restarted or (
            record.state is TargetState.COLD
            and target.record.state is not TargetState.COLD
        ):
            target.limit.became_cold(now)
        target.record = record

    def _add_reported_lease(self, host: str, held: HeldLease, now: float) -> None:
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
        self._grant_count += 1
        target.last_grant = self._grant_count
        grant = SlotGrant(
            waiting.lease, record.name, record.host, record.request_port, LEASE_SECONDS
        )
        self._sender.send(waiting.host, grant)
        return True

    def _choose(self, waiting: WaitingRequest, now: float) -> CoordinatedTarget | None:
        free = [t for t in self._targets.values() if t.free_slots(now) > 0]
        if len(free) > 1:
            # A retry goes to another server if another one has a free slot.
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

    def _remove_waiting(self, lease: str) -> None:
        self._queue = deque(w for w in self._queue if w.lease != lease)

    def _refuse(self, waiting: WaitingRequest, reason: RefusalReason) -> None:
        self._sender.send(waiting.host, SlotRefusal(waiting.lease, reason))

    def _queue_limit(self) -> int:
        slots = max(1, len(self._targets)) * self._service.slots
        return MAXIMUM_QUEUED_REQUESTS_PER_SLOT * slots
