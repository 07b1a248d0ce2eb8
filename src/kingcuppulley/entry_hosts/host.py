"""Handle the messages and deadlines of one entry host, without sockets of its own."""

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
FLOW_COPY_INTERVAL_SECONDS = 0.1
CLAIM_TRANSFER_RETRY_SECONDS = 0.5
TARGET_EXPIRY_INTERVAL_SECONDS = 0.5
START_TIMEOUT_SECONDS = 3.0
MAXIMUM_FLOWS_PER_MESSAGE = 8192


class ClaimListener(Protocol):
    """Receive the answers of the hosts that own idempotency keys."""

    def claim_answered(self, answer: ClaimAnswer, now: float) -> None:
        """Handle one answer."""


class EntryHost:
    """Connect the parts of one entry host and pass each message to the right one.

    The parts are the membership of entry hosts, the directory of backend servers, the
    router of packets, the slot leases that this host holds and those that it
    coordinates, and the claims of idempotency keys.
    """

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
        self._directory_exchange = DirectoryExchange(name, self._directory, sender, now)
        self._slot_coordinators = LocalSlotCoordinators(
            name, self._zone, [host.name for host in self._hosts], sender, metrics
        )
        self._configuration = Configuration({}, {}, {}, frozenset(), [])
        self._live_hosts: list[str] = []
        self._eligible_hosts: list[str] = []
        self._coordinator_cache: dict[tuple[str, str], str | None] = {}
        self._target_expiry_deadline = now
        self._start_deadline = now + START_TIMEOUT_SECONDS
        self._is_leaving = False
        self._has_received_records = False
        self._heartbeat_deadline = now
        self._flow_copy_deadline = now
        self._claim_transfer_deadline = now
        self._awaited_claim_senders = {
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
        """Return the client that holds this host's slot leases."""
        return self._slot_client

    @property
    def router(self) -> PacketRouter:
        """Return the router of this host's packets."""
        return self._router

    @property
    def directory(self) -> Directory:
        """Return the directory of the backend servers that this host knows."""
        return self._directory

    @property
    def membership(self) -> Membership:
        """Return the membership of entry hosts as this host sees it."""
        return self._membership

    @property
    def claims(self) -> ClaimRegister:
        """Return the register of the claims that this host stores."""
        return self._claims

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration of this host."""
        return self._configuration

    def configure(self, configuration: Configuration, now: float) -> None:
        """Activate a configuration."""
        self._configuration = configuration
        self._router.update_services(configuration.services.values())
        self._refresh_view(now, force=True)

    def coordinator_of(self, service: str, zone: str, now: float) -> str | None:
        """Return the slot coordinator of a service in a zone, or None.

        It grants the service's slots and expires the zone's servers of the service.

        A host that sees no other live host is more likely cut off than the only one
        left, and the others continue to grant the same slots.  It therefore names no
        coordinator, not even itself.  Its requests are then refused as not run, which
        is certain to be true.
        """
        if self._live_hosts == [self._name] and len(self._hosts) > 1:
            return None
        service_and_zone = (service, zone)
        if service_and_zone not in self._coordinator_cache:
            hosts = self._membership.eligible_hosts_in_zone(zone, now)
            ranked = rank_names(f"{service}@{zone}", hosts)
            self._coordinator_cache[service_and_zone] = ranked[0] if ranked else None
        return self._coordinator_cache[service_and_zone]

    def claim_replicas(self, key: str, zone: str, now: float) -> list[str]:
        """Return the hosts that store the claim of a key, its owner first."""
        hosts = self._membership.eligible_hosts_in_zone(zone, now)
        return list(rank_names(key, hosts))[:3]

    def candidate_zones(self, service: Service, now: float) -> list[str]:
        """Return the zones that may serve a request, in a weighted random order.

        A zone's weight is its number of eligible backend servers.
        """
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
        """Pass the answer to a claim to a listener once it arrives."""
        self._claim_listeners[claim] = listener

    def remove_claim_listener(self, claim: str) -> None:
        """Stop waiting for the answer to a claim."""
        self._claim_listeners.pop(claim, None)

    def handle_announcement(self, record: TargetRecord, now: float) -> None:
        """Record a server's announcement, or forward it to the server's coordinator."""
        coordinator = self.coordinator_of(record.service, record.zone, now)
        if coordinator is not None and coordinator != self._name:
            self._directory_exchange.forward_announcement(coordinator, record)
            return
        changed_record = self._directory.record_announcement(record, now)
        if changed_record is not None:
            self._directory_exchange.broadcast([changed_record], self._live_hosts)
            self._refresh_targets(now)

    def leave(self, now: float) -> None:
        """Hand over what this host owns and notify the others that it leaves."""
        self._is_leaving = True
        self._membership.leave()
        self._heartbeat_deadline = now
        self._refresh_view(now, force=True)
        # Finish the scan at once: this host soon no longer answers flow queries.
        while self._router.replication.advance_scan():
            pass
        self._send_moved_flows()
        for peer in self._membership.eligible_hosts_in_zone(self._zone, now):
            self._claims.send_claims_to(peer, now)

    def tick(self, now: float) -> None:
        """Act on every deadline that has passed."""
        if now >= self._heartbeat_deadline:
            self._heartbeat_deadline = now + self._membership.heartbeat_seconds
            digest = self._directory.digest
            recipients, heartbeat = self._membership.tick(now, digest)
            for host in recipients:
                self._sender.send(host, heartbeat)
        self._join_when_ready(now)
        self._refresh_view(now, force=False)
        self._directory_exchange.tick(now)
        self._expire_targets(now)
        self._router.tick(now)
        self._router.replication.advance_scan()
        self._send_moved_flows()
        self._send_flow_copies(now)
        self._slot_coordinators.tick(now)
        if self._slot_coordinators.is_reassessment_due(now):
            self._refresh_coordinators(now)
        self._send_proven_slots(now)
        self._slot_client.tick(now)
        self._claims.tick(now)
        self._request_claim_transfers(now)

    def receive(self, host: str, body: Body, now: float) -> None:
        """Pass a message of another entry host to the part that handles it."""
        match body:
            case MembershipHeartbeat():
                self._membership.receive(body, now)
                if not self._membership.has_joined and not self._is_leaving:
                    self._sender.send(host, TargetRequest())
                self._directory_exchange.compare_digest(host, body.targets_digest, now)
            case FlowQuery() | FlowAnswer() | FlowCopies():
                self._receive_flow(host, body, now)
            case TargetUpdate():
                self._has_received_records = True
                if self._directory.merge(body.records):
                    self._refresh_targets(now)
            case TargetRequest():
                self._directory_exchange.send_all(host)
            case AnnouncementSeen():
                self.handle_announcement(body.record, now)
            case AnnouncementsAlive():
                self._restore_targets(self._directory.refresh(body.names, now), now)
            case ClaimRequest() | ClaimAnswer() | ClaimCopy() | ClaimCopied():
                self._receive_claim(host, body, now)
            case ClaimResult():
                self._claims.handle_result(body, now)
            case ClaimTransferRequest():
                self._claims.send_claims_to(host, now)
            case ClaimTransferDone():
                self._awaited_claim_senders.discard(host)
                self._claims.handle_transfer_done(body.complete_for_seconds, now)
            case SlotRequest() | SlotRelease() | SlotRenewal() | LeaseReport():
                self._slot_coordinators.receive(host, body, now)
            case SlotGrant():
                self._slot_client.handle_grant(host, body, now)
            case SlotRefusal():
                self._slot_client.handle_refusal(host, body)
            case SlotRenewed():
                self._slot_client.handle_renewed(host, body)
            case LeaseQuery():
                self._slot_coordinators.handle_lease_query(host, body, now)
                self._slot_client.handle_lease_query(host, body, now)

    def _join_when_ready(self, now: float) -> None:
        """Become eligible once other hosts have sent their backend servers and claims.

        A host that owned flows, keys and slots from its start would have to guess: it
        knows no other host to ask, no backend server except those that announce
        themselves to it, and no claim.  A host without an answer after
        `START_TIMEOUT_SECONDS` is the first one, or cut off, and joins all the same.
        """
        if self._membership.has_joined or self._is_leaving:
            return
        is_informed = (
            self._has_received_records
            and not self._awaited_claim_senders.intersection(self._live_hosts)
        )
        if is_informed or now >= self._start_deadline:
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
                flows_by_target = {body.target: flows.tolist()}
                self._router.receive_flows(flows_by_target, body.as_owner)

    def _receive_claim(
        self,
        host: str,
        body: ClaimRequest | ClaimAnswer | ClaimCopy | ClaimCopied,
        now: float,
    ) -> None:
        match body:
            case ClaimRequest():
                self._claims.handle_request(host, body, now)
            case ClaimAnswer():
                listener = self._claim_listeners.pop(body.claim, None)
                if listener is not None:
                    listener.claim_answered(body, now)
            case ClaimCopy():
                self._claims.handle_copy(host, body, now)
            case ClaimCopied():
                self._claims.handle_copied(host, body)

    def _refresh_view(self, now: float, force: bool) -> None:
        zones_out = self._configuration.zones_out
        live_hosts = self._membership.live_hosts(now)
        eligible_hosts = self._membership.eligible_hosts(now, zones_out)
        if (
            live_hosts == self._live_hosts
            and eligible_hosts == self._eligible_hosts
            and not force
        ):
            return
        self._live_hosts = live_hosts
        self._eligible_hosts = eligible_hosts
        self._coordinator_cache.clear()
        self._metrics.gauges["live_entry_hosts"] = len(live_hosts)
        self._router.update_owners(eligible_hosts, now)
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
        self._slot_coordinators.update_targets(self._targets_of_own_zone, now)

    def _targets_of_own_zone(self, service: str) -> list[TargetRecord]:
        if self._zone in self._configuration.zones_out:
            return []
        return self._directory.of_service(service, self._zone)

    def _expire_targets(self, now: float) -> None:
        if now < self._target_expiry_deadline:
            return
        self._target_expiry_deadline = now + TARGET_EXPIRY_INTERVAL_SECONDS
        coordinated_names = []
        for record in self._directory.records:
            coordinator = self.coordinator_of(record.service, record.zone, now)
            if coordinator == self._name:
                coordinated_names.append(record.name)
            else:
                self._directory.clear_expiry(record.name)
        gone_records = self._directory.expire(coordinated_names, now)
        if gone_records:
            self._metrics.count("backend_servers_silent", len(gone_records))
            self._directory_exchange.broadcast(gone_records, self._live_hosts)
            self._refresh_targets(now)

    def _restore_targets(self, names: list[str], now: float) -> None:
        """Restore backend servers that were gone; they start cold."""
        if names:
            records = [
                self._directory.set_state(name, TargetState.COLD) for name in names
            ]
            self._directory_exchange.broadcast(records, self._live_hosts)
            self._refresh_targets(now)

    def _send_moved_flows(self) -> None:
        for host, flows_by_target in self._router.replication.pop_moved_flows().items():
            self._send_flows(host, flows_by_target, as_owner=True)

    def _send_proven_slots(self, now: float) -> None:
        changed_records = [
            self._directory.record_proven_slots(name, slots)
            for name, slots in self._slot_coordinators.proven_limits().items()
        ]
        if changed_records:
            self._directory_exchange.broadcast(changed_records, self._live_hosts)
            self._refresh_targets(now)

    def _send_flow_copies(self, now: float) -> None:
        if now < self._flow_copy_deadline:
            return
        self._flow_copy_deadline = now + FLOW_COPY_INTERVAL_SECONDS
        is_small = self._membership.is_small
        maximum_per_second = (
            SMALL_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND
            if is_small
            else LARGE_DEPLOYMENT_MAXIMUM_COPIED_FLOWS_PER_SECOND
        )
        limit = int(maximum_per_second * FLOW_COPY_INTERVAL_SECONDS)
        for host, flows_by_target in self._router.replication.pop_pending_flows(
            limit
        ).items():
            self._send_flows(host, flows_by_target, as_owner=False)

    def _send_flows(
        self, host: str, flows_by_target: FlowsByTarget, as_owner: bool
    ) -> None:
        for target, flows in flows_by_target.items():
            for start in range(0, len(flows), MAXIMUM_FLOWS_PER_MESSAGE):
                chunk = flows[start : start + MAXIMUM_FLOWS_PER_MESSAGE]
                packed = array("Q", chunk).tobytes()
                self._metrics.count("flow_copy_bytes", len(packed))
                self._sender.send(host, FlowCopies(target, packed, as_owner))

    def _request_claim_transfers(self, now: float) -> None:
        if not self._awaited_claim_senders or now < self._claim_transfer_deadline:
            return
        self._claim_transfer_deadline = now + CLAIM_TRANSFER_RETRY_SECONDS
        for host in sorted(self._awaited_claim_senders.intersection(self._live_hosts)):
            self._sender.send(host, ClaimTransferRequest())


def weighted_order(weights: dict[str, int], generator: random.Random) -> list[str]:
    """Return the names in a random order that favours higher weights."""
    scores = {
        name: generator.random() ** (1.0 / weight) for name, weight in weights.items()
    }
    return sorted(scores, key=lambda name: scores[name], reverse=True)
