"""Send subscribed hosts what changed, each change once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import msgspec

from kingcuppulley.backend_servers.change_log import MAXIMUM_UPDATE_TARGETS
from kingcuppulley.control.news import News
from kingcuppulley.control.update_source import UpdateSource
from kingcuppulley.entry_hosts.seeded_messages import (
    ControlUpdate,
    EntryHostInfo,
    RelayedUpdate,
    SourcePosition,
)

# Changes that are not urgent are collected for this long.
UPDATE_INTERVAL_SECONDS = 0.1
# Messages with prompt news that a follower gets in one such interval.  Further prompt
# news is collected, so that a crash of many servers does not cost a message for each.
MAXIMUM_PROMPT_MESSAGES = 10
# A host that has not subscribed for this long may follow another control host.
FOLLOWER_TIMEOUT_SECONDS = 1.0
# Time after which changes that a subscriber has not confirmed are sent again.
RESEND_DELAY_SECONDS = 0.4


class UpdateTransport(Protocol):
    """Send messages to other processes."""

    def send(self, address: str, message: object) -> None:
        """Send one message to the process at an address."""

    def send_to_all(self, addresses: Iterable[str], message: object) -> None:
        """Send one message to several processes."""


class ControlGroup(Protocol):
    """Tell what this control host knows of the others and of the routing state."""

    @property
    def revision(self) -> int:
        """Return the newest chosen revision that is known, or -1."""

    def live_hosts(self, now: float) -> list[str]:
        """Return the other control hosts that are live."""


class _SentPosition:
    """Hold which changes of one control host a subscriber was sent, and has received.

    Attributes
    ----------
    change_number : int
        Last change that was sent.
    confirmed_number : int
        Last change before which the subscriber lacks none.
    resend_deadline : float
        When changes that were sent and are not confirmed count as lost.
    """

    __slots__ = ("instance", "change_number", "confirmed_number", "resend_deadline")

    def __init__(self, instance: str, change_number: int) -> None:
        self.instance = instance
        self.change_number = change_number
        self.confirmed_number = change_number
        self.resend_deadline = float("-inf")

    def record_sent(self, change_number: int, now: float) -> None:
        """Record that changes are on their way."""
        if self.change_number == self.confirmed_number:
            self.resend_deadline = now + RESEND_DELAY_SECONDS
        self.change_number = change_number

    def confirm(self, change_number: int, now: float) -> None:
        """Continue at a change number unless later changes are on their way.

        Further changes that are sent meanwhile do not delay those that were lost.
        """
        if change_number > self.confirmed_number:
            self.confirmed_number = change_number
            self.resend_deadline = now + RESEND_DELAY_SECONDS
            self.change_number = max(self.change_number, change_number)
        elif now >= self.resend_deadline:
            self.change_number = self.confirmed_number = change_number


class Subscriber:
    """Hold the last subscription of one host, and what was sent to it since.

    Attributes
    ----------
    is_ready : bool
        Whether the host is an entry host that serves callers.
    follows_all : bool
        Whether it gets the updates of all control hosts, not only of this one.
    is_control_host : bool
        Whether it relays the updates of this control host.
    """

    __slots__ = (
        "info",
        "is_ready",
        "follows_all",
        "is_control_host",
        "last_received_at",
        "_positions",
    )

    def __init__(self) -> None:
        self.info = EntryHostInfo("", "", False)
        self.is_ready = False
        self.follows_all = False
        self.is_control_host = False
        self.last_received_at = 0.0
        self._positions: dict[str, _SentPosition] = {}

    def gets_all_news(self, now: float) -> bool:
        """Return whether news that is not urgent is sent before the next subscription.

        Other hosts get it from their relay, or as an answer to a subscription.
        """
        is_following = self.follows_all or self.is_control_host
        return is_following and now - self.last_received_at < FOLLOWER_TIMEOUT_SECONDS

    def confirm_all(self, positions: list[SourcePosition], now: float) -> None:
        """Continue at the positions that the subscriber names, and at 0 elsewhere."""
        named = {position.host for position in positions}
        for host in self._positions.keys() - named:
            # The subscriber has no change of this control host; it may have restarted.
            del self._positions[host]
        for position in positions:
            self.confirm(position, now)

    def confirm(self, position: SourcePosition, now: float) -> None:
        """Continue at the position that the subscriber names.

        Changes that were sent a short time ago are still on their way to it.
        """
        sent = self._positions.get(position.host)
        if sent is None or sent.instance != position.instance:
            self._positions[position.host] = _SentPosition(
                position.instance, position.change_number
            )
        else:
            sent.confirm(position.change_number, now)

    def position(self, source: UpdateSource) -> int:
        """Return the last change number of a source that was sent to this host."""
        sent = self._positions.get(source.host)
        if sent is None or sent.instance != source.instance:
            return 0
        return sent.change_number

    def record_sent(self, update: ControlUpdate, now: float) -> None:
        """Record that an update is on its way to this host."""
        sent = self._positions.get(update.host)
        if sent is None or sent.instance != update.instance:
            sent = self._positions[update.host] = _SentPosition(update.instance, 0)
        if update.targets:
            sent.record_sent(update.change_number, now)


class UpdateSender:
    """Answer subscriptions, and notify subscribers of changes.

    Subscribers at the same positions get the same message, which is encoded once.
    """

    def __init__(
        self,
        own_source: UpdateSource,
        transport: UpdateTransport,
        group: ControlGroup,
    ) -> None:
        self._own_source = own_source
        self._transport = transport
        self._group = group
        self._subscribers: dict[str, Subscriber] = {}
        self._interval_deadline = 0.0
        self._prompt_interval_deadline = 0.0
        self._prompt_messages = 0
        self._hosts_with_news: set[str] = set()

    @property
    def subscribers(self) -> dict[str, Subscriber]:
        """Return the subscribers by address."""
        return self._subscribers

    def greet(self, address: str, now: float) -> None:
        """Name this control host's instance to one that does not know it.

        The host subscribes again with it, unless it then has a relay.
        """
        control_hosts = [self._own_source.host, *self._group.live_hosts(now)]
        update = self._own_source.build_update(
            0, control_hosts, self._group.revision, now, limit=0
        )
        greeting = msgspec.structs.replace(update, has_more=False)
        self._transport.send(address, greeting)

    def answer(
        self,
        address: str,
        subscriber: Subscriber,
        relayed: Iterable[UpdateSource],
        now: float,
        number: int = 0,
    ) -> None:
        """Send a subscriber what it lacks, or an update without changes.

        `number` is that of the subscription.
        """
        live_hosts = self._group.live_hosts(now)
        message = self._build(subscriber, list(relayed), live_hosts, now)
        if number and isinstance(message, RelayedUpdate):
            message = msgspec.structs.replace(message, answered_number=number)
        self._record_sent(subscriber, message, now)
        self._transport.send(address, message)

    def notify(
        self, host: str, relayed: Iterable[UpdateSource], now: float, news: News
    ) -> None:
        """Notify subscribers of news of a control host.

        They are notified at once if it is urgent, else now or by `tick`.
        """
        self._hosts_with_news.add(host)
        if news is News.URGENT:
            self._send_news(relayed, now, is_urgent=True)
            return
        if news is News.PROMPT and self._may_send_promptly(now):
            self._send_news(relayed, now, is_urgent=False)
            return
        self.tick(relayed, now)

    def _may_send_promptly(self, now: float) -> bool:
        """Count a message with prompt news unless the interval has enough of them."""
        if now >= self._prompt_interval_deadline:
            self._prompt_interval_deadline = now + UPDATE_INTERVAL_SECONDS
            self._prompt_messages = 0
        self._prompt_messages += 1
        return self._prompt_messages <= MAXIMUM_PROMPT_MESSAGES

    def tick(self, relayed: Iterable[UpdateSource], now: float) -> None:
        """Send the news of the last interval."""
        if self._hosts_with_news and now >= self._interval_deadline:
            self._send_news(relayed, now, is_urgent=False)

    def _send_news(
        self, relayed: Iterable[UpdateSource], now: float, *, is_urgent: bool
    ) -> None:
        has_own_news = self._own_source.host in self._hosts_with_news
        sources = [source for source in relayed if source.host in self._hosts_with_news]
        groups: dict[
            tuple[object, ...], tuple[ControlUpdate | RelayedUpdate, list[str]]
        ] = {}
        for address, subscriber in self._subscribers.items():
            if not is_urgent and not subscriber.gets_all_news(now):
                continue
            if not subscriber.follows_all and not has_own_news:
                continue
            key = self._group_key(subscriber, sources)
            group = groups.get(key)
            if group is None:
                group = groups[key] = (self._build(subscriber, sources, [], now), [])
            group[1].append(address)
            self._record_sent(subscriber, group[0], now)
        for message, addresses in groups.values():
            self._transport.send_to_all(addresses, message)
        self._interval_deadline = now + UPDATE_INTERVAL_SECONDS
        self._hosts_with_news.clear()

    def _group_key(
        self, subscriber: Subscriber, sources: list[UpdateSource]
    ) -> tuple[object, ...]:
        own_position = subscriber.position(self._own_source)
        if not subscriber.follows_all:
            return (own_position,)
        positions = [subscriber.position(source) for source in sources]
        return ("all", own_position, *positions)

    def _build(
        self,
        subscriber: Subscriber,
        sources: list[UpdateSource],
        live_hosts: list[str],
        now: float,
    ) -> ControlUpdate | RelayedUpdate:
        own_update = self._own_source.build_update(
            subscriber.position(self._own_source),
            [self._own_source.host, *live_hosts],
            self._group.revision,
            now,
        )
        if not subscriber.follows_all:
            return own_update
        updates = [own_update]
        # All updates together must fit one datagram.
        limit = MAXIMUM_UPDATE_TARGETS - len(own_update.targets)
        for source in sources:
            position = subscriber.position(source)
            update = source.build_update(position, [], -1, now, limit)
            limit -= len(update.targets)
            updates.append(update)
        ages_ms = [
            round(max(0.0, now - source.last_received_at) * 1000) for source in sources
        ]
        return RelayedUpdate(updates, [0, *ages_ms])

    def _record_sent(
        self,
        subscriber: Subscriber,
        message: ControlUpdate | RelayedUpdate,
        now: float,
    ) -> None:
        if isinstance(message, ControlUpdate):
            subscriber.record_sent(message, now)
            return
        for update in message.updates:
            subscriber.record_sent(update, now)
