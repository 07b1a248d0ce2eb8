"""Choose the control hosts that an entry host subscribes to.

An entry host follows one control host, its relay, which passes on the updates of all
of them.  Without a relay it subscribes to each control host directly.  With one, it
does so only for those from which the relay has not received a message lately, because
a cut may separate them from the relay only.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kingcuppulley.entry_hosts.seeded_messages import EntryHostInfo
from kingcuppulley.internal.rendezvous import hash_name, mix

# Time without an answer after which an entry host chooses another relay.
RELAY_TIMEOUT_SECONDS = 0.6
# For this long a relay that did not answer is the last choice.
RELAY_SUSPICION_SECONDS = 2.0
# Age of the newest message of a control host above which it is subscribed to directly.
MAXIMUM_RELAYED_AGE_SECONDS = 0.75
# Interval of direct subscriptions, beside a relay, to a control host that does not
# answer them.
UNANSWERED_INTERVAL_SECONDS = 1.0
UNANSWERED_DELAY_SECONDS = 3.0
CONTROL_HOST_TIMEOUT_SECONDS = 1.0
CONTROL_HOST_RETENTION_SECONDS = 30.0
# Longer than entry hosts need to change to another relay, so that they stay listed.
HOST_LIST_RETENTION_SECONDS = 2.5


class ControlHostStatus:
    """Track when a control host was last heard, and which entry hosts it lists.

    Attributes
    ----------
    zone : str
        Zone in which the control host is a relay; empty if it is not known to be one.
    received_at : float
        When the newest message of the control host arrived, here or at the relay.
    known_since : float
        When this entry host learned of the control host.
    hosts_digest : int
        Identifies the newest list of entry hosts; 0 if the control host has none.
    hosts : list of EntryHostInfo
        The last list that was fetched, which `stored_digest` identifies.
    listed_at : float
        When the control host last named `stored_digest`.
    answered_at : float
        When the control host last passed on updates as a relay.
    suspicion_deadline : float
        Until when it is the last choice as a relay.
    subscription_deadline : float
        Earliest time of the next direct subscription.
    """

    __slots__ = (
        "zone",
        "received_at",
        "known_since",
        "is_lost",
        "hosts_digest",
        "stored_digest",
        "hosts",
        "listed_at",
        "answered_at",
        "suspicion_deadline",
        "subscription_deadline",
    )

    def __init__(self, now: float) -> None:
        self.zone = ""
        self.received_at = float("-inf")
        self.known_since = now
        self.is_lost = True
        self.hosts_digest = 0
        self.stored_digest = 0
        self.hosts: list[EntryHostInfo] = []
        self.listed_at = float("-inf")
        self.answered_at = float("-inf")
        self.suspicion_deadline = 0.0
        self.subscription_deadline = 0.0

    def record_digest(self, digest: int, received_at: float) -> None:
        """Record which list of entry hosts the control host had at a time."""
        self.hosts_digest = digest
        if digest == self.stored_digest:
            self.listed_at = max(self.listed_at, received_at)

    def store_hosts(self, hosts: list[EntryHostInfo], now: float) -> None:
        """Store the list that `hosts_digest` identifies."""
        self.hosts = hosts
        self.stored_digest = self.hosts_digest
        self.listed_at = now


class ControlFollower:
    """Choose a relay, and the control hosts to subscribe to directly."""

    def __init__(self, address: str, zone: str, seeds: list[str]) -> None:
        self._address_hash = hash_name(address)
        self._zone = zone
        self._seeds = seeds
        self._statuses: dict[str, ControlHostStatus] = {}
        self._relay: str | None = None
        self._relay_chosen_at = 0.0
        # The host and instance of the relay whose updates arrived last.
        self._answering_relay = ("", "")

    @property
    def statuses(self) -> dict[str, ControlHostStatus]:
        """Return the known control hosts by address."""
        return self._statuses

    @property
    def relay(self) -> str | None:
        """Return the control host that is followed, or None before the first choice."""
        return self._relay

    @property
    def lost_count(self) -> int:
        """Return how many known control hosts were not heard lately."""
        return sum(status.is_lost for status in self._statuses.values())

    def reachable_hosts(self) -> list[str]:
        """Return the control hosts that were heard lately."""
        return [host for host, status in self._statuses.items() if not status.is_lost]

    def update_seeds(self, seeds: list[str]) -> None:
        """Use the control hosts that the settings name now."""
        self._seeds = seeds

    def add(self, hosts: Iterable[str], now: float) -> None:
        """Add control hosts that another one named."""
        for host in hosts:
            if host not in self._statuses:
                self._statuses[host] = ControlHostStatus(now)

    def record_relay_zone(self, host: str, zone: str) -> None:
        """Record in which zone a control host is a relay, or that it is none.

        A control host that restarts as an earlier build names no zone any more.
        """
        self._statuses[host].zone = zone

    def record_relayed(self, host: str, instance: str, now: float) -> None:
        """Record that a control host passed on updates as a relay."""
        self.add([host], now)
        if (host, instance) != self._answering_relay:
            self._answering_relay = (host, instance)
            self._expect_complete_lists()
        self._statuses[host].answered_at = now
        self._statuses[host].suspicion_deadline = 0.0

    def record_direct(self, host: str) -> None:
        """Record that a control host answered itself, so that it may be a relay."""
        self._statuses[host].suspicion_deadline = 0.0

    def record_received(self, host: str, received_at: float, now: float) -> bool:
        """Record a message of a control host; return whether it was lost before."""
        self.add([host], now)
        status = self._statuses[host]
        status.received_at = max(status.received_at, received_at)
        if not status.is_lost or now - received_at > CONTROL_HOST_TIMEOUT_SECONDS:
            return False
        status.is_lost = False
        return True

    def has_relay(self, now: float) -> bool:
        """Return whether the relay has passed on updates lately."""
        status = self._statuses.get(self._relay) if self._relay is not None else None
        return status is not None and now - status.answered_at <= RELAY_TIMEOUT_SECONDS

    def choose_relay(self, now: float) -> str | None:
        """Return the control host to follow now, or None if no relay is known."""
        self.add(self._seeds, now)
        self._suspect_silent_relay(now)
        relays = [host for host, status in self._statuses.items() if status.zone]
        best = min(relays, key=lambda host: self._relay_order(host, now), default=None)
        if best != self._relay:
            self._relay = best
            self._relay_chosen_at = now
        return self._relay

    def hosts_to_subscribe(self, now: float, interval_seconds: float) -> list[str]:
        """Return the control hosts to subscribe to directly now.

        `interval_seconds` is the interval of subscriptions to one that answers.
        """
        has_relay = self.has_relay(now)
        hosts = []
        for host, status in self._statuses.items():
            age = self._age(status, now)
            is_covered = has_relay and (
                host == self._relay or age <= MAXIMUM_RELAYED_AGE_SECONDS
            )
            if is_covered or now < status.subscription_deadline:
                continue
            is_unanswered = has_relay and age > UNANSWERED_DELAY_SECONDS
            status.subscription_deadline = now + (
                UNANSWERED_INTERVAL_SECONDS if is_unanswered else interval_seconds
            )
            hosts.append(host)
        return hosts

    def expire(self, now: float) -> list[str]:
        """Return the control hosts that are lost from now."""
        lost = []
        for host, status in self._statuses.items():
            if not status.is_lost and self._age(status, now) > (
                CONTROL_HOST_TIMEOUT_SECONDS
            ):
                status.is_lost = True
                lost.append(host)
        return lost

    def remove_departed(self, now: float) -> list[str]:
        """Return the control hosts that left, and forget those that are no seeds.

        While no other control host is heard, this host is cut off, and none has left.
        """
        departed = [
            host
            for host, status in self._statuses.items()
            if self._age(status, now) > CONTROL_HOST_RETENTION_SECONDS
        ]
        if all(status.is_lost for status in self._statuses.values()):
            return []
        for host in departed:
            if host not in self._seeds:
                del self._statuses[host]
        return departed

    @staticmethod
    def _age(status: ControlHostStatus, now: float) -> float:
        return now - max(status.received_at, status.known_since)

    def listed_hosts(self, now: float) -> list[EntryHostInfo]:
        """Return the entry hosts that any control host has listed lately."""
        hosts: dict[str, EntryHostInfo] = {}
        for status in self._statuses.values():
            if now - status.listed_at >= HOST_LIST_RETENTION_SECONDS:
                continue
            for info in status.hosts:
                known = hosts.get(info.address)
                if known is not None and known.capacity > info.capacity:
                    # A control host of an earlier build lists no capacities.
                    info = msgspec.structs.replace(info, capacity=known.capacity)
                hosts[info.address] = info
        return list(hosts.values())

    def _expect_complete_lists(self) -> None:
        """Fetch the lists without some capacities again.

        A relay of an earlier build drops the capacities of the lists that it passes on
        with an unchanged digest.
        """
        for status in self._statuses.values():
            if any(not info.capacity for info in status.hosts):
                status.stored_digest = 0

    def _suspect_silent_relay(self, now: float) -> None:
        status = self._statuses.get(self._relay) if self._relay is not None else None
        if status is None:
            self._relay = None
            return
        if now - max(status.answered_at, self._relay_chosen_at) > RELAY_TIMEOUT_SECONDS:
            status.suspicion_deadline = now + RELAY_SUSPICION_SECONDS

    def _relay_order(self, host: str, now: float) -> tuple[bool, bool, bool, int]:
        status = self._statuses[host]
        return (
            now < status.suspicion_deadline,
            status.is_lost,
            status.zone != self._zone,
            mix(self._address_hash, hash_name(host)),
        )
