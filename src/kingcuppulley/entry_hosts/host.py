"""Decide on everything that one entry host is told; sockets live elsewhere."""

from __future__ import annotations

import random
from array import array
from collections.abc import Iterable
from typing import Protocol

from kingcuppulley.backend_servers.directory import Directory
from kingcuppulley.backend_servers.local_slot_coordinators import LocalSlotCoordinators
from kingcuppulley.backend_servers.records import TargetRecord, TargetState
from kingcuppulley.callers.slot_client import SlotClient
from kingcuppulley.entry_hosts.claims import ClaimRegister
from kingcuppulley.entry_hosts.directory_exchange import DirectoryExchange
from kingcuppulley.entry_hosts.membership import HostAddress, Membership
from kingcuppulley.entry_hosts.messages import (
    AnnouncementsAlive,
    AnnouncementSeen,
    Body,
    ClaimAnswer,
    ClaimCopied,
    ClaimCopy,
    ClaimRequest,
    ClaimResult,
    ClaimTransferDone,
    ClaimTransferRequest,
    FlowAnswer,
    FlowCopies,
    FlowQuery,
    LeaseQuery,
    LeaseReport,
    MembershipHeartbeat,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRenewal,
    SlotRenewed,
    SlotRequest,
    TargetRequest,
    TargetUpdate,
)
from kingcuppulley.fabric.replication import FlowsByTarget
from kingcuppulley.fabric.router import PacketRouter
from kingcuppulley.internal.counters import Metrics
from kingcuppulley.internal.rendezvous import rank_names
from kingcuppulley.internal.sender import Sender
from kingcuppulley.model import Service
from kingcuppulley.operators.configuration import Configuration

SMALL_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND = 1000
LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND = 100
EXCEPTION_SECONDS = 0.1
TRANSFER_SECONDS = 0.5
EXPIRY_SECONDS = 0.5
START_SECONDS = 3.0
FLOWS_PER_MESSAGE = 8192


class ClaimListener(Protocol):
    """Take the answers of keys' homes."""

    def claim_answered(self, answer: ClaimAnswer, now: float) -> None:
        """Take one answer."""


class EntryHost:
    """Wire the decisions of one entry host and pass each message to its core."""

    def __init__(
        self,
        name: str,
        hosts: Iterable[HostAddress],
        sender: Sender[Body],
        router: PacketRouter,
        metrics: Metrics,
        generator: random.Random,
        now: float,
    ) -> None:
        self._name = name
        self._sender = sender
        self._router = router
        self._metrics = metrics
        self._hosts = list(hosts)
        self._membership = Membership(name, self._hosts, generator)
        self._zone = self._membership.zone_of(name)
        self._zones = sorted({host.zone for host in self._hosts})
        self._directory = Directory()
        self._slot_client = SlotClient(sender)
        self._claims = ClaimRegister(
            name, self._zone, self._zones, self._membership, sender, now
        )
        self._exchange = DirectoryExchange(name, self._directory, sender, now)
        self._slot_coordinators = LocalSlotCoordinators(
            name, self._zone, [host.name for host in self._hosts], sender, metrics
        )
        self._configuration = Configuration({}, {}, {}, frozenset(), [])
        self._live: list[str] = []
        self._owners: list[str] = []
        self._coordinator_cache: dict[tuple[str, str], str | None] = {}
        self._expiry_deadline = now
        self._start_deadline = now + START_SECONDS
        self._is_leaving = False
        self._has_records = False
        self._heartbeat_deadline = now
        self._exception_deadline = now
        self._transfer_deadline = now
        self._untransferred = {
            host.name
            for host in self._hosts
            if host.zone == self._zone and host.name != name
        }
        self._claim_listeners: dict[str, ClaimListener] = {}

    @property
    def name(self) -> str:
        """Return the name of this host."""
        return self._name

    @property
    def zone(self) -> str:
        """Return the availability zone of this host."""
        return self._zone

    @property
    def zones(self) -> list[str]:
        """Return every availability zone that has entry hosts."""
        return self._zones

    @property
    def slot_client(self) -> SlotClient:
        """Return what holds this host's slot leases."""
        return self._slot_client

    @property
    def router(self) -> PacketRouter:
        """Return what routes this host's packets."""
        return self._router

    @property
    def directory(self) -> Directory:
        """Return what this host knows of backend servers."""
        return self._directory

    @property
    def membership(self) -> Membership:
        """Return what this host knows of entry hosts."""
        return self._membership

    @property
    def claims(self) -> ClaimRegister:
        """Return the claims of idempotency keys that this host keeps."""
        return self._claims

    @property
    def configuration(self) -> Configuration:
        """Return what is in force on this host."""
        return self._configuration

    def configure(self, configuration: Configuration, now: float) -> None:
        """Put a configuration in force."""
        self._configuration = configuration
        self._router.update_services(configuration.services.values())
        self._refresh_view(now, force=True)

    def coordinator_of(self, service: str, zone: str, now: float) -> str | None:
        """Return the host that grants a service's slots in a zone, or None.

        A host that sees no other one is more likely cut off than the last, and the
        others go on granting the same slots.  It therefore returns no coordinator, not
        even itself, and refuses requests truthfully.
        """
        if self._live == [self._name] and len(self._hosts) > 1:
            return None
        place = (service, zone)
        if place not in self._coordinator_cache:
            hosts = self._membership.eligible_hosts_in_zone(zone, now)
            ranked = rank_names(f"{service}@{zone}", hosts)
            self._coordinator_cache[place] = ranked[0] if ranked else None
        return self._coordinator_cache[place]

    def claim_replicas(self, key: str, zone: str, now: float) -> list[str]:
        """Return the hosts that keep the claim of a key, its home first."""
        hosts = self._membership.eligible_hosts_in_zone(zone, now)
        return list(rank_names(key, hosts))[:3]

    def candidate_zones(self, service: Service, now: float) -> list[str]:
        """Return the zones that may serve a request, in a weighted random order."""
        weights = {}
        for zone in service.zones:
            if zone in self._configuration.zones_out:
                continue
            records = self._directory.of_service(service.identity, zone)
            weight = sum(1 for record in records if record.is_eligible)
            if weight and self.coordinator_of(service.identity, zone, now):
                weights[zone] = weight
        return weighted_order(weights, self._membership.generator)

    def register_claim_listener(self, claim: str, listener: ClaimListener) -> None:
        """Pass the answer to a claim on to a listener."""
        self._claim_listeners[claim] = listener

    def remove_claim_listener(self, claim: str) -> None:
        """Stop waiting for the answer to a claim."""
        self._claim_listeners.pop(claim, None)

    def handle_announcement(self, record: TargetRecord, now: float) -> None:
        """Take a backend server's announcement, or pass it to its coordinator."""
        coordinator = self.coordinator_of(record.service, record.zone, now)
        if coordinator is not None and coordinator != self._name:
            self._exchange.forward_announcement(coordinator, record)
            return
        news = self._directory.record_announcement(record, now)
        if news is not None:
            self._exchange.spread([news], self._live)
            self._refresh_targets(now)

    def leave(self, now: float) -> None:
        """Hand over what this host owns and tell the others that it leaves."""
        self._is_leaving = True
        self._membership.leave()
        self._heartbeat_deadline = now
        self._refresh_view(now, force=True)
        # All in one go: this host will not be there to be asked for long.
        while self._router.replication.advance_scan():
            pass
        self._hand_over()
        for neighbour in self._membership.eligible_hosts_in_zone(self._zone, now):
            self._claims.transfer_to(neighbour, now)

    def tick(self, now: float) -> None:
        """Act on every deadline that has passed."""
        if now >= self._heartbeat_deadline:
            self._heartbeat_deadline = now + self._membership.heartbeat_seconds
            digest = self._directory.digest
            chosen, heartbeat = self._membership.tick(now, digest)
            for host in chosen:
                self._sender.send(host, heartbeat)
        self._join_when_ready(now)
        self._refresh_view(now, force=False)
        self._exchange.tick(now)
        self._expire_targets(now)
        self._router.tick(now)
        self._router.replication.advance_scan()
        self._hand_over()
        self._copy_exceptions(now)
        self._slot_coordinators.tick(now)
        if self._slot_coordinators.is_reassessment_due(now):
            self._refresh_coordinators(now)
        self._spread_limits(now)
        self._slot_client.tick(now)
        self._claims.tick(now)
        self._ask_transfer(now)

    def receive(self, host: str, body: Body, now: float) -> None:
        """Pass a message of another entry host to its core."""
        match body:
            case MembershipHeartbeat():
                self._membership.receive(body, now)
                if not self._membership.has_joined and not self._is_leaving:
                    self._sender.send(host, TargetRequest())
                self._exchange.compare_digest(host, body.targets_digest, now)
            case FlowQuery() | FlowAnswer() | FlowCopies():
                self._receive_flow(host, body, now)
            case TargetUpdate():
                self._has_records = True
                if self._directory.merge(body.records):
                    self._refresh_targets(now)
            case TargetRequest():
                self._exchange.send_all(host)
            case AnnouncementSeen():
                self.handle_announcement(body.record, now)
            case AnnouncementsAlive():
                self._take_back(self._directory.refresh(body.names, now), now)
            case ClaimRequest() | ClaimAnswer() | ClaimCopy() | ClaimCopied():
                self._receive_claim(host, body, now)
            case ClaimResult():
                self._claims.result(body, now)
            case ClaimTransferRequest():
                self._claims.transfer_to(host, now)
            case ClaimTransferDone():
                self._untransferred.discard(host)
                self._claims.transferred(body.vouches_for_seconds, now)
            case SlotRequest() | SlotRelease() | SlotRenewal() | LeaseReport():
                self._slot_coordinators.receive(host, body, now)
            case SlotGrant():
                self._slot_client.granted(host, body, now)
            case SlotRefusal():
                self._slot_client.refused(host, body)
            case SlotRenewed():
                self._slot_client.renewed(host, body)
            case LeaseQuery():
                self._slot_coordinators.handle_lease_query(host, body, now)
                self._slot_client.queried(host, body, now)

    def _join_when_ready(self, now: float) -> None:
        """Begin to own, once others have told which servers and claims there are.

        A host that owned from its first moment on would guess: its view holds nobody
        to ask, its records no target but those that announce themselves to it, and its
        register no claim.  If nobody answers, it is the first, or cut off.
        """
        if self._membership.has_joined or self._is_leaving:
            return
        is_told = self._has_records and not self._untransferred.intersection(self._live)
        if is_told or now >= self._start_deadline:
            self._membership.join()
            self._refresh_view(now, force=True)

    def _receive_flow(
        self, host: str, body: FlowQuery | FlowAnswer | FlowCopies, now: float
    ) -> None:
        match body:
            case FlowQuery():
                target = self._router.answer_flow_query(body.flow)
                self._sender.send(host, FlowAnswer(body.flow, target))
            case FlowAnswer():
                self._router.handle_flow_answer(host, body.flow, body.target, now)
            case FlowCopies():
                flows = array("Q")
                flows.frombytes(body.flows)
                groups = {body.target: flows.tolist()}
                self._router.receive_flows(groups, body.as_owner)

    def _receive_claim(
        self,
        host: str,
        body: ClaimRequest | ClaimAnswer | ClaimCopy | ClaimCopied,
        now: float,
    ) -> None:
        match body:
            case ClaimRequest():
                self._claims.request(host, body, now)
            case ClaimAnswer():
                listener = self._claim_listeners.pop(body.claim, None)
                if listener is not None:
                    listener.claim_answered(body, now)
            case ClaimCopy():
                self._claims.copy(host, body, now)
            case ClaimCopied():
                self._claims.copied(host, body)

    def _refresh_view(self, now: float, force: bool) -> None:
        zones_out = self._configuration.zones_out
        live = self._membership.live_hosts(now)
        owners = self._membership.eligible_hosts(now, zones_out)
        if live == self._live and owners == self._owners and not force:
            return
        self._live = live
        self._owners = owners
        self._coordinator_cache.clear()
        self._metrics.gauges["live_entry_hosts"] = len(live)
        self._router.update_owners(owners, now)
        self._refresh_coordinators(now)

    def _refresh_coordinators(self, now: float) -> None:
        self._slot_coordinators.update(
            self._configuration.services,
            lambda service: self.coordinator_of(service, self._zone, now),
            now,
        )
        self._refresh_targets(now)

    def _refresh_targets(self, now: float) -> None:
        zones_out = self._configuration.zones_out
        records = self._directory.records
        self._router.update_targets(records, zones_out)
        self._slot_coordinators.update_targets(self._own_targets, now)

    def _own_targets(self, service: str) -> list[TargetRecord]:
        if self._zone in self._configuration.zones_out:
            return []
        return self._directory.of_service(service, self._zone)

    def _expire_targets(self, now: float) -> None:
        if now < self._expiry_deadline:
            return
        self._expiry_deadline = now + EXPIRY_SECONDS
        watched = []
        for record in self._directory.records:
            coordinator = self.coordinator_of(record.service, record.zone, now)
            if coordinator == self._name:
                watched.append(record.name)
            else:
                self._directory.clear_expiry(record.name)
        gone = self._directory.expire(watched, now)
        if gone:
            self._metrics.count("backend_servers_silent", len(gone))
            self._exchange.spread(gone, self._live)
            self._refresh_targets(now)

    def _take_back(self, names: list[str], now: float) -> None:
        """Take servers back that were gone, in cold start."""
        if names:
            records = [
                self._directory.set_state(name, TargetState.COLD) for name in names
            ]
            self._exchange.spread(records, self._live)
            self._refresh_targets(now)

    def _hand_over(self) -> None:
        for host, groups in self._router.replication.pop_moved_flows().items():
            self._send_flows(host, groups, as_owner=True)

    def _spread_limits(self, now: float) -> None:
        proven = [
            self._directory.record_proven_slots(name, slots)
            for name, slots in self._slot_coordinators.proven_limits().items()
        ]
        if proven:
            self._exchange.spread(proven, self._live)
            self._refresh_targets(now)

    def _copy_exceptions(self, now: float) -> None:
        if now < self._exception_deadline:
            return
        self._exception_deadline = now + EXCEPTION_SECONDS
        is_small = self._membership.is_small
        rate = (
            SMALL_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND
            if is_small
            else LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND
        )
        limit = int(rate * EXCEPTION_SECONDS)
        for host, groups in self._router.replication.pop_pending_flows(limit).items():
            self._send_flows(host, groups, as_owner=False)

    def _send_flows(self, host: str, groups: FlowsByTarget, as_owner: bool) -> None:
        for target, flows in groups.items():
            for start in range(0, len(flows), FLOWS_PER_MESSAGE):
                piece = flows[start : start + FLOWS_PER_MESSAGE]
                packed = array("Q", piece).tobytes()
                self._metrics.count("flow_copy_bytes", len(packed))
                self._sender.send(host, FlowCopies(target, packed, as_owner))

    def _ask_transfer(self, now: float) -> None:
        if not self._untransferred or now < self._transfer_deadline:
            return
        self._transfer_deadline = now + TRANSFER_SECONDS
        for host in sorted(self._untransferred.intersection(self._live)):
            self._sender.send(host, ClaimTransferRequest())


def weighted_order(weights: dict[str, int], generator: random.Random) -> list[str]:
    """Return the names in a random order in which weight comes first more often."""
    scored = {
        name: generator.random() ** (1.0 / weight) for name, weight in weights.items()
    }
    return sorted(scored, key=lambda name: scored[name], reverse=True)
