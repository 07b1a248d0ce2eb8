"""Exchange routing contents between one control host and the others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

import msgspec

from kingcuppulley.control.content_spreader import ContentSpreader
from kingcuppulley.control.content_store import ContentStore
from kingcuppulley.control.content_transfer import (
    ContentChunk,
    ContentFetcher,
    ContentHeld,
    ContentMessage,
    FetchContent,
    OfferContent,
    chunk_of,
)
from kingcuppulley.control.ensemble_messages import (
    AcceptState,
    ChosenState,
    StateAnswer,
    StatePromise,
)
from kingcuppulley.control.routing_content import ContentReference
from kingcuppulley.control.state import RoutingState, VoterSet

StateMessage = AcceptState | StatePromise | StateAnswer | ChosenState
_Message = TypeVar("_Message")


class ControlGroup(Protocol):
    """Tell what a control host knows of itself and of the others."""

    @property
    def voters(self) -> VoterSet:
        """Return the voters of the newest revision that is known to be chosen."""

    @property
    def disk_id(self) -> str:
        """Return the identifier of this host's disk."""

    def live_hosts(self, now: float) -> list[str]:
        """Return the other control hosts that are live."""

    def send(self, host: str, message: ContentMessage) -> None:
        """Send a message to another control host, or to an entry host."""

    def accept_is_possible(self, host: str, request: AcceptState) -> None:
        """Handle a request to accept a state whose content has arrived."""


class ContentExchange:
    """Fetch the contents that states name, and send those that others ask for.

    A request to accept a state is held back until its content has arrived.
    """

    __slots__ = (
        "_host",
        "_group",
        "_contents",
        "_fetcher",
        "_spreader",
        "_waiting_accepts",
        "_unanswered_offers",
    )

    def __init__(self, host: str, group: ControlGroup, contents: ContentStore) -> None:
        self._host = host
        self._group = group
        self._contents = contents
        self._fetcher = ContentFetcher(group.send)
        self._spreader = ContentSpreader(self)
        # Requests whose content is being fetched, by the host of their proposer.
        self._waiting_accepts: dict[str, AcceptState] = {}
        # The hosts that offered a content that is being fetched.
        self._unanswered_offers: set[tuple[str, ContentReference]] = set()

    @property
    def contents(self) -> ContentStore:
        """Return the contents that this host holds."""
        return self._contents

    @property
    def voters(self) -> VoterSet:
        """Return the voters of the newest revision that is known to be chosen."""
        return self._group.voters

    def with_small_state(self, message: _Message) -> _Message:
        """Return a message whose state is small enough to be sent on and reported."""
        if not isinstance(message, StateMessage) or message.state is None:
            return message
        state = self._contents.detach_large(message.state)
        if state is message.state:
            return message
        return msgspec.structs.replace(message, state=state)

    def hold_back(self, host: str, request: AcceptState, now: float) -> bool:
        """Return whether a request must wait for its content, which is then fetched."""
        if self._contents.holds(request.state):
            self._waiting_accepts.pop(host, None)
            return False
        self._waiting_accepts[host] = request
        self.fetch(request.state, host, now)
        return True

    def fetch(self, state: RoutingState, source: str, now: float) -> None:
        """Fetch the content of a state unless it is held, from `source` first.

        Without a source, one of the live control hosts is asked first.
        """
        reference = state.content_reference
        if reference is None or self._contents.holds(state):
            return
        if source in ("", self._host):
            hosts = self._group.live_hosts(now)
            if not hosts:
                return
            source = hosts[0]
        self._fetcher.request(reference, source, now)

    def spread(
        self,
        reference: ContentReference,
        on_result: Callable[[bool], None],
        deadline: float,
        now: float,
    ) -> None:
        """Let a quorum of voters fetch a content; see `ContentSpreader.spread`."""
        self._spreader.spread(reference, on_result, deadline, now)

    def offer(self, host: str, offer: OfferContent) -> None:
        """Offer a content that this host holds to a control host."""
        if host == self._host:
            self._spreader.receive(ContentHeld(self._group.disk_id, offer.reference))
        else:
            self._group.send(host, offer)

    def receive(self, host: str, message: ContentMessage, now: float) -> None:
        """Process a message from another host."""
        match message:
            case FetchContent():
                self._send_chunk(host, message)
            case ContentChunk():
                self._store_chunk(message, now)
            case OfferContent():
                self._answer_offer(host, message.reference, now)
            case ContentHeld():
                self._spreader.receive(message)

    def tick(self, states: Iterable[RoutingState], now: float) -> None:
        """Repeat requests and offers, and drop what none of `states` names."""
        self._spreader.tick(now)
        if self._fetcher.is_busy:
            self._fetcher.tick(self._group.live_hosts(now), now)
            self._forget_ended_fetches()
        if self._contents.is_empty:
            return
        waiting = (request.state for request in self._waiting_accepts.values())
        references = [state.content_reference for state in (*states, *waiting)]
        in_use = [reference for reference in references if reference is not None]
        self._contents.evict([*in_use, *self._spreader.references], now)

    def _send_chunk(self, host: str, fetch: FetchContent) -> None:
        encoded = self._contents.encoded(fetch.reference)
        chunk = chunk_of(encoded, fetch) if encoded is not None else None
        if chunk is not None:
            self._group.send(host, chunk)

    def _store_chunk(self, chunk: ContentChunk, now: float) -> None:
        encoded = self._fetcher.receive(chunk, now)
        if encoded is None:
            return
        reference = self._contents.add(encoded)
        for host, offered in sorted(self._unanswered_offers, key=_offering_host):
            if offered == reference:
                self._unanswered_offers.discard((host, offered))
                self._answer_offer(host, offered, now)
        for host, request in list(self._waiting_accepts.items()):
            if self._contents.holds(request.state):
                del self._waiting_accepts[host]
                self._group.accept_is_possible(host, request)

    def _answer_offer(self, host: str, reference: ContentReference, now: float) -> None:
        if self._contents.encoded(reference) is not None:
            self._group.send(host, ContentHeld(self._group.disk_id, reference))
            return
        self._unanswered_offers.add((host, reference))
        self._fetcher.request(reference, host, now)

    def _forget_ended_fetches(self) -> None:
        """Drop what waits for a content that is not fetched any more."""
        self._unanswered_offers = {
            (host, reference)
            for host, reference in self._unanswered_offers
            if self._fetcher.is_fetching(reference)
        }
        for host, request in list(self._waiting_accepts.items()):
            reference = request.state.content_reference
            if reference is None or not self._fetcher.is_fetching(reference):
                del self._waiting_accepts[host]


def _offering_host(offer: tuple[str, ContentReference]) -> str:
    return offer[0]
