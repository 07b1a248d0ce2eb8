"""Propose an operator's configurations, and spread large ones before that."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from kingcuppulley.control.ensemble_host import EnsembleHost
from kingcuppulley.control.proposer import StateCallback
from kingcuppulley.control.routing_content import (
    ContentReference,
    EarlierServices,
    RoutingContent,
)
from kingcuppulley.control.state import RoutingState, put_configuration
from kingcuppulley.operators.routing import RoutingConfiguration, find_earlier_services

# Level of zlib, from 1 (fastest) to 9 (smallest).
COMPRESSION_LEVEL = 1
# The configuration before a change, and the one after it.
MAXIMUM_DECODED = 2


_Base = tuple[bytes | ContentReference, tuple[EarlierServices, ...]]


class _Publication:
    """Hold one configuration until it is accepted or its deadline passes.

    Attributes
    ----------
    base : tuple or None
        Configuration and earlier services of the state that `content` was built for.
    content : RoutingContent
        Content after the change.
    spread : ContentReference or None
        Content that a quorum holds, so that a state may name it.
    is_waiting : bool
        Whether a proposal or an offer is in progress.
    """

    __slots__ = (
        "configuration",
        "compressed",
        "on_result",
        "deadline",
        "base",
        "content",
        "spread",
        "is_waiting",
    )

    def __init__(
        self,
        configuration: RoutingConfiguration,
        compressed: bytes,
        on_result: StateCallback,
        deadline: float,
    ) -> None:
        self.configuration = configuration
        self.compressed = compressed
        self.on_result = on_result
        self.deadline = deadline
        self.base: _Base | None = None
        self.content = RoutingContent()
        self.spread: ContentReference | None = None
        self.is_waiting = False


class ConfigurationPublisher:
    """Propose configurations of one control host until their deadlines pass.

    A content also holds what earlier configurations allowed, so it follows from the
    state before the change.  If that state has changed meanwhile, the content is built
    again.  `read_configuration` returns the configuration of a state, or None if there
    is none or it cannot be read; then nothing earlier is known, and the change goes on.
    """

    __slots__ = (
        "_ensemble",
        "_contents",
        "_now",
        "_read_configuration",
        "_publications",
        "_decoded",
    )

    def __init__(
        self,
        ensemble: EnsembleHost,
        read_configuration: Callable[[RoutingState], RoutingConfiguration | None],
    ) -> None:
        self._ensemble = ensemble
        self._contents = ensemble.content_exchange
        self._now = 0.0
        self._read_configuration = read_configuration
        self._publications: list[_Publication] = []
        # Configurations of states that were built or decoded last, the oldest first.
        self._decoded: dict[bytes | ContentReference, RoutingConfiguration] = {}

    def put(
        self,
        configuration: RoutingConfiguration,
        document: bytes,
        on_result: StateCallback,
        deadline: float,
        now: float,
    ) -> None:
        """Propose a configuration; `on_result` receives None after the deadline."""
        compressed = zlib.compress(document, COMPRESSION_LEVEL)
        publication = _Publication(configuration, compressed, on_result, deadline)
        self._publications.append(publication)
        self._advance(publication, now)

    def tick(self, now: float) -> None:
        """Continue what waited for a content, and end what is late."""
        self._now = now
        for publication in list(self._publications):
            if not publication.is_waiting:
                self._advance(publication, now)

    def _advance(self, publication: _Publication, now: float) -> None:
        self._now = now
        if now >= publication.deadline:
            self._end(publication, None)
            return
        known = self._ensemble.current
        state = self._build_state(publication, known) if known is not None else None
        reference = state.content_reference if state is not None else None
        if known is not None and state is None:
            # The content before the change has to arrive first.
            return
        if reference is None or reference == publication.spread:
            self._propose(publication)
            return

        def handle_offer_result(is_held: bool) -> None:
            publication.is_waiting = False
            if is_held:
                publication.spread = reference
                self._propose(publication)

        publication.is_waiting = True
        self._contents.spread(reference, handle_offer_result, publication.deadline, now)

    def _propose(self, publication: _Publication) -> None:
        version = publication.configuration.version

        def add_content(state: RoutingState) -> RoutingState | None:
            changed = self._build_state(publication, state)
            if changed is None:
                return None
            reference = changed.content_reference
            return changed if reference in (None, publication.spread) else None

        def handle_result(state: RoutingState | None) -> None:
            publication.is_waiting = False
            if state is None or state.configuration_version >= version:
                self._end(publication, state)

        publication.is_waiting = True
        self._ensemble.change(
            put_configuration(version, add_content), handle_result, publication.deadline
        )

    def _build_state(
        self, publication: _Publication, state: RoutingState
    ) -> RoutingState | None:
        """Return a state with the new content, or None until the old one is held."""
        contents = self._contents.contents
        if not contents.holds(state):
            self._contents.fetch(state, "", self._now)
            return None
        base = (state.configuration, state.earlier_services)
        if publication.base != base:
            publication.content = self._build_content(publication, state)
            publication.base = base
        changed = contents.attach(state, publication.content)
        self._remember(changed, publication.configuration)
        return changed

    def _build_content(
        self, publication: _Publication, state: RoutingState
    ) -> RoutingContent:
        earlier_services: tuple[EarlierServices, ...] = ()
        previous = self._decoded_configuration(state)
        previous_content = self._contents.contents.content(state)
        if previous is not None and previous_content is not None:
            earlier_services = find_earlier_services(
                previous, previous_content.earlier_services, publication.configuration
            )
        return RoutingContent(publication.compressed, earlier_services)

    def _decoded_configuration(
        self, state: RoutingState
    ) -> RoutingConfiguration | None:
        decoded = self._decoded.get(state.configuration)
        if decoded is not None:
            return decoded
        decoded = self._read_configuration(state)
        if decoded is not None:
            self._remember(state, decoded)
        return decoded

    def _remember(
        self, state: RoutingState, configuration: RoutingConfiguration
    ) -> None:
        self._decoded.pop(state.configuration, None)
        self._decoded[state.configuration] = configuration
        while len(self._decoded) > MAXIMUM_DECODED:
            del self._decoded[next(iter(self._decoded))]

    def _end(self, publication: _Publication, state: RoutingState | None) -> None:
        if publication in self._publications:
            self._publications.remove(publication)
            publication.on_result(state)
