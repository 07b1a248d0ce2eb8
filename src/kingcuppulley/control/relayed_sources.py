"""Copy what the other control hosts report, so that this one can relay it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kingcuppulley.backend_servers.change_log import ChangeLog
from kingcuppulley.backend_servers.heartbeat_table import HEARTBEAT_RETENTION_SECONDS
from kingcuppulley.backend_servers.heartbeats import ServingState
from kingcuppulley.backend_servers.instance_order import InstanceOrder
from kingcuppulley.control.news import News, classify
from kingcuppulley.control.update_source import UpdateSource
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    FetchHosts,
    HostList,
    SubscribeToControl,
)

RELAY_SUBSCRIPTION_INTERVAL_SECONDS = 0.25
FETCH_RETRY_INTERVAL_SECONDS = 0.15
# A copy is relayed this long after the last message of its control host.
COPY_RETENTION_SECONDS = 10.0
EVICTION_INTERVAL_SECONDS = 10.0


class RelayedSources:
    """Subscribe to the other control hosts and keep copies of what they report.

    `own_log` holds what this control host reports itself.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        send: Callable[[str, object], None],
        own_log: ChangeLog,
    ) -> None:
        self._address = address
        self._zone = zone
        self._send = send
        self._own_log = own_log
        self._sources: dict[str, UpdateSource] = {}
        self._instance_orders: dict[str, InstanceOrder] = {}
        self._subscription_deadline = 0.0
        self._eviction_deadline = 0.0
        self._host_list_deadlines: dict[str, float] = {}

    @property
    def sources(self) -> Iterable[UpdateSource]:
        """Return the copies, one for each control host that was heard recently."""
        return self._sources.values()

    @property
    def logs(self) -> list[ChangeLog]:
        """Return all that is known of servers: of this control host and the others."""
        return [self._own_log, *(source.log for source in self._sources.values())]

    def host_list(self, digest: int) -> HostList | None:
        """Return a list of entry hosts of any copy by its digest, or None."""
        for source in self._sources.values():
            if source.hosts_digest == digest:
                return HostList(digest, source.hosts)
        return None

    def tick(self, live_hosts: list[str], now: float) -> None:
        """Subscribe to the live control hosts, and drop copies that are too old."""
        if now < self._subscription_deadline:
            return
        self._subscription_deadline = now + RELAY_SUBSCRIPTION_INTERVAL_SECONDS
        for host in live_hosts:
            self._subscribe(host)
        for host, source in list(self._sources.items()):
            if now - source.last_received_at > COPY_RETENTION_SECONDS:
                del self._sources[host]
                del self._instance_orders[host]
                self._host_list_deadlines.pop(host, None)
        if now >= self._eviction_deadline:
            self._eviction_deadline = now + EVICTION_INTERVAL_SECONDS
            self._evict_unused(now)

    def apply_update(self, update: ControlUpdate, now: float) -> News:
        """Copy an update and return what it means for followers."""
        order = self._instance_orders.get(update.host)
        if order is None:
            order = InstanceOrder(update.instance, now)
            self._instance_orders[update.host] = order
        if order.is_outdated(update.instance, now):
            return News.NONE
        order.record(update.instance, now)
        source = self._sources.get(update.host)
        news = News.NONE
        if source is None or source.instance != update.instance:
            news = News.ROUTINE
            source = UpdateSource(update.host, update.instance, ChangeLog(), now)
            self._sources[update.host] = source
            if not update.change_number:
                # The first answer names only the instance; its changes follow.
                self._subscribe(update.host)
        source.last_received_at = now
        known_change_number = source.log.change_number
        if update.change_number < known_change_number:
            return news
        source.relay_zone = update.relay_zone
        source.discovery_deadline = now + update.discovery_remaining_ms / 1000
        self._request_host_list(source, update, now)
        if update.since_change_number > known_change_number:
            # An earlier update was lost; applying this one would hide its changes.
            self._subscribe(update.host)
            return News.NONE
        if update.change_number > known_change_number:
            news = classify(update.targets, self.logs, now)
            source.log.copy_changes(update.targets, update.change_number, now)
        if update.has_more:
            self._subscribe(update.host)
        return news

    def store_host_list(self, host: str, host_list: HostList) -> None:
        """Keep the list of entry hosts that a control host sent."""
        source = self._sources.get(host)
        if source is not None:
            source.hosts = host_list.hosts
            source.hosts_digest = host_list.digest

    def _evict_unused(self, now: float) -> None:
        """Evict servers out of use: their control host evicts them without a change."""
        for source in self._sources.values():
            for entry in source.log.entries():
                is_used = entry.state in (ServingState.READY, ServingState.DRAINING)
                elapsed = now - entry.last_received_at
                if not is_used and elapsed > HEARTBEAT_RETENTION_SECONDS:
                    source.log.remove(entry.heartbeat.name)

    def _subscribe(self, host: str) -> None:
        source = self._sources.get(host)
        instance = source.instance if source is not None else ""
        change_number = source.log.change_number if source is not None else 0
        self._send(
            host,
            SubscribeToControl(
                self._address, self._zone, False, False, instance, change_number
            ),
        )

    def _request_host_list(
        self, source: UpdateSource, update: ControlUpdate, now: float
    ) -> None:
        if update.hosts_digest in (0, source.hosts_digest):
            return
        if now >= self._host_list_deadlines.get(source.host, 0.0):
            self._host_list_deadlines[source.host] = now + FETCH_RETRY_INTERVAL_SECONDS
            self._send(source.host, FetchHosts())
