"""Choose a backend server by rank and load, among those that a flow may use."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.fabric.flow_request import FlowRequest
from kingcuppulley.fabric.ranked_server import (
    AVAILABLE_RANK,
    COLD_RANK,
    SUSPECT_RANK,
    UNREACHABLE_ZONE_RANK,
    RankedServer,
)
from kingcuppulley.fabric.reported_loads import ReportedLoads
from kingcuppulley.fabric.server_index import (
    MAXIMUM_TIE_BREAK_COST,
    ServerIndex,
    has_capacity,
    load_cost,
)
from kingcuppulley.fabric.server_load import ServerLoad
from kingcuppulley.fabric.server_speed import ServerSpeed
from kingcuppulley.fabric.server_timing import ServerSpeeds, TimedRequest
from kingcuppulley.fabric.service_shares import ServiceShares, ShareSizes
from kingcuppulley.fabric.slow_probes import SlowServerProbes

COLD_SERVER_MINIMUM_INTERVAL_SECONDS = 0.6
# A server of an unreachable zone still gets a flow after this time, to detect whether
# only the entry hosts of the zone have failed.
UNREACHABLE_ZONE_PROBE_INTERVAL_SECONDS = 0.25
ZONE_ANSWER_VALIDITY_SECONDS = 1.0
# Age of an index of servers after which it is built again: cold starts and suspicions
# end without notice.
INDEX_VALIDITY_SECONDS = 0.25
# The same if the registry has changed since.
CHANGED_INDEX_VALIDITY_SECONDS = 0.05
LOAD_EVICTION_INTERVAL_SECONDS = 10.0


class ServerChoice:
    """Hold the load of each backend server, and choose the best one for a flow."""

    def __init__(
        self,
        zone: str,
        registry: TargetRegistry,
        generator: Random,
        share_sizes: ShareSizes | None = None,
    ) -> None:
        self._zone = zone
        self._registry = registry
        self._generator = generator
        self._loads: dict[int, ServerLoad] = {}
        self._reports = ReportedLoads(self._change_reported_flows)
        self._shares = ServiceShares(registry, share_sizes)
        # By service and share.
        self._indexes: dict[str, dict[int, ServerIndex]] = {}
        self._eviction_deadline = 0.0
        self._zone_answered_at: dict[str, float] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._unreachable_zones: frozenset[str] = frozenset()
        self._is_state_pending = False
        self._may_place_on_cold: Callable[[RegisteredTarget], bool] = lambda _: True
        self._speeds = ServerSpeeds(self._move_changed, self._handle_slow)
        self._on_slow: Callable[[RegisteredTarget, ServerSpeed], None] = lambda *_: None
        self._probes = SlowServerProbes(
            registry, self._shares, self._loads, self._may_probe
        )

    @property
    def shares(self) -> ServiceShares:
        """Return the shares into which the servers are divided."""
        return self._shares

    @property
    def speeds(self) -> ServerSpeeds:
        """Return the estimates of how slow the servers are."""
        return self._speeds

    @property
    def open_count(self) -> int:
        """Return how many flows of this host are counted as open."""
        return sum(load.own_flows for load in self._loads.values())

    def update_zones(
        self, out_of_service: frozenset[str], unreachable: frozenset[str]
    ) -> None:
        """Update the zones that are out of service and those that are unreachable."""
        if (out_of_service, unreachable) != (self._zones_out, self._unreachable_zones):
            self._indexes.clear()
        self._zones_out = out_of_service
        self._unreachable_zones = unreachable

    def set_state_pending(self, is_pending: bool) -> None:
        """Treat every server as cold while the known state may be outdated."""
        if is_pending != self._is_state_pending:
            self._is_state_pending = is_pending
            self._indexes.clear()

    def set_cold_start_filter(
        self, may_place_on_cold: Callable[[RegisteredTarget], bool]
    ) -> None:
        """Set the rule for which cold servers this host may place flows on."""
        self._may_place_on_cold = may_place_on_cold

    def set_slow_server_observer(
        self, on_slow: Callable[[RegisteredTarget, ServerSpeed], None]
    ) -> None:
        """Set what is called when a server becomes slow or is back to normal."""
        self._on_slow = on_slow

    def own_loads(self) -> dict[str, list[tuple[int, int]]]:
        """Return the cookie and open flows of each server that this host uses.

        They are grouped by service; servers that are no longer registered are left out.
        """
        loads: dict[str, list[tuple[int, int]]] = {}
        for cookie, load in self._loads.items():
            target = self._registry.by_cookie(cookie) if load.own_flows else None
            if target is not None:
                loads.setdefault(target.service, []).append((cookie, load.own_flows))
        return loads

    def update_reported_loads(
        self, host: str, loads: list[tuple[int, int]], now: float
    ) -> None:
        """Replace the open flows per server that another host reported.

        A report counts for a limited time: see `ReportedLoads`.
        """
        self._reports.update(host, dict(loads), now)

    def load(self, cookie: int) -> ServerLoad:
        """Return the load of a server."""
        load = self._loads.get(cookie)
        if load is None:
            load = self._loads[cookie] = ServerLoad()
        return load

    def change_flows(self, target: RegisteredTarget, difference: int) -> None:
        """Count more or fewer open flows of this host on a server."""
        load = self.load(target.cookie)
        load.own_flows += difference
        self._move_in_indexes(target, load)

    def limit_placements(self, target: RegisteredTarget, now: float) -> None:
        """Delay the next flow of a server that is cold or in an unreachable zone."""
        load = self.load(target.cookie)
        self._probes.record_placement(load, now)
        if now < target.cold_deadline or self._is_state_pending:
            load.next_placement_at = now + COLD_SERVER_MINIMUM_INTERVAL_SECONDS
        elif self._rank(target, load, now) == UNREACHABLE_ZONE_RANK:
            load.next_placement_at = now + UNREACHABLE_ZONE_PROBE_INTERVAL_SECONDS

    def record_answer(
        self, target: RegisteredTarget, seconds: float, now: float
    ) -> None:
        """Record that a server answered a flow in a time."""
        self._zone_answered_at[target.zone] = now
        self.load(target.cookie).record_duration(seconds)

    def start_request(
        self, target: RegisteredTarget, route: bytes, now: float
    ) -> TimedRequest | None:
        """Start to time a request, before its flow counts on the server."""
        load = self.load(target.cookie)
        return self._speeds.start(
            target, load.timing, route, load.own_flows, load.reported_flows, now
        )

    def finish_request(
        self, request: TimedRequest, seconds: float | None, now: float
    ) -> None:
        """Record when a request was answered, or that it ended without an answer."""
        was_expired = request.expired_until is not None
        if seconds is None:
            self._speeds.close(request)
        else:
            self._speeds.finish(request, seconds, now)
        if was_expired:
            self._start_waiting(request.target, now)

    def flow_ended(
        self, target: RegisteredTarget, now: float, *, is_late: bool = False
    ) -> None:
        """Count a flow less; `is_late` says that the server ended it earlier."""
        self.change_flows(target, -1)
        self._start_waiting(target, now, is_late=is_late)

    def flow_expired(
        self, target: RegisteredTarget, request: TimedRequest | None, now: float
    ) -> None:
        """Count a flow less whose end was not reported."""
        self._speeds.expire(self.load(target.cookie).timing, request, now)
        self.change_flows(target, -1)

    def tick(self, now: float) -> None:
        """Expire reports and old samples, and evict what unregistered servers left."""
        self._speeds.tick(now)
        self._reports.tick(now)
        if now >= self._eviction_deadline:
            self._eviction_deadline = now + LOAD_EVICTION_INTERVAL_SECONDS
            self._evict_loads()
            self._probes.update()

    def choose(
        self, request: FlowRequest, excluded_cookies: list[int] | tuple[()], now: float
    ) -> tuple[RegisteredTarget | None, bool, int]:
        """Return the best server, whether it has free capacity, and the total slots.

        Servers of unreachable zones do not count towards the total slots.
        """
        service = request.service
        share = self._shares.share_of_flow(self._zone, service, request.flow)
        if not excluded_cookies:
            index = self._index_of(service, share, now)
            probed = self._probes.next_due(service, share, now)
            if probed is not None:
                return probed, True, index.slots
            while (target := index.choose(self._generator)) is not None:
                if self._is_usable(target, now):
                    return target, self._has_capacity(target), index.slots
                index.remove(target.cookie)
        return self._compare_all(service, share, excluded_cookies, now)

    def may_take(self, target: RegisteredTarget, now: float) -> bool:
        """Return whether a server may be handed an opening packet now.

        This leaves its load aside.  The rule is the same for every way to a server:
        `choose` returns only servers that may take a flow.
        """
        if not self._is_in_service(target):
            return False
        load = self.load(target.cookie)
        return self._may_use(target, self._rank(target, load, now), load, now)

    def ranked_servers(
        self, service: str, share: int, now: float
    ) -> list[RankedServer]:
        """Return the servers that a share's flows may use, best first.

        Nothing is changed, and no random number is drawn.
        """
        servers = []
        for target in self._candidates(service, share):
            load = self._loads.get(target.cookie) or ServerLoad()
            rank = self._rank(target, load, now)
            flows = load.total_flows
            slowness = load.speed.slowness
            is_own = self._is_own(target, share)
            cost = load_cost(target.slots, flows, slowness, is_own=is_own)
            may_be_used = self._may_use(target, rank, load, now)
            servers.append(
                RankedServer(target, rank, flows, slowness, cost, may_be_used)
            )
        servers.sort(key=lambda server: (server.rank, server.cost, server.target.name))
        return servers

    def due_probe(
        self, service: str, share: int, now: float
    ) -> RegisteredTarget | None:
        """Return the slow server that the next flow of a share would probe, or None.

        Nothing is changed.
        """
        return self._probes.peek_due(service, share, now)

    def _index_of(self, service: str, share: int, now: float) -> ServerIndex:
        indexes = self._indexes.setdefault(service, {})
        index = indexes.get(share)
        if index is not None:
            has_changed = index.registry_version != self._registry.version
            validity_seconds = (
                CHANGED_INDEX_VALIDITY_SECONDS
                if has_changed
                else INDEX_VALIDITY_SECONDS
            )
            if now < index.built_at + validity_seconds:
                return index
        index = indexes[share] = ServerIndex(self._registry.version, now)
        for target in self._candidates(service, share):
            load = self.load(target.cookie)
            rank = self._rank(target, load, now)
            if rank != UNREACHABLE_ZONE_RANK:
                index.slots += target.slots
            if rank == AVAILABLE_RANK:
                is_own = self._is_own(target, share)
                index.add(target, load.total_flows, load.speed, is_own=is_own)
        return index

    def _may_probe(self, target: RegisteredTarget, share: int, now: float) -> bool:
        return self._is_own(target, share) and self._is_usable(target, now)

    def _move_changed(self, target: RegisteredTarget) -> None:
        self._move_in_indexes(target, self.load(target.cookie))

    def _handle_slow(self, target: RegisteredTarget, speed: ServerSpeed) -> None:
        if speed.is_slow and target.zone == self._zone:
            self._probes.add(target)
        self._on_slow(target, speed)

    def _has_capacity(self, target: RegisteredTarget) -> bool:
        load = self.load(target.cookie)
        return has_capacity(target.slots, load.total_flows, load.speed.slowness)

    def _candidates(self, service: str, share: int) -> Iterator[RegisteredTarget]:
        """Return the servers in service that the flows of a share may use."""
        for target in self._registry.of_service(service):
            if self._is_in_service(target) and self._shares.is_candidate(
                target, self._zone, service, share
            ):
                yield target

    def _is_own(self, target: RegisteredTarget, share: int) -> bool:
        return (
            target.zone == self._zone and self._shares.share_of_server(target) == share
        )

    def _is_in_service(self, target: RegisteredTarget) -> bool:
        """Return whether a server may get new flows, whatever its rank is."""
        return (
            target.is_eligible
            and target.zone not in self._zones_out
            and self._registry.has_own_cookie(target)
        )

    def _is_usable(self, target: RegisteredTarget, now: float) -> bool:
        """Return whether any flow may use a server now."""
        if not self._is_in_service(target):
            return False
        return self._rank(target, self.load(target.cookie), now) == AVAILABLE_RANK

    def _compare_all(
        self,
        service: str,
        share: int,
        excluded_cookies: list[int] | tuple[()],
        now: float,
    ) -> tuple[RegisteredTarget | None, bool, int]:
        """Choose as `choose` does, among the servers of every rank."""
        best: RegisteredTarget | None = None
        # Worse than any rank.
        best_key = (UNREACHABLE_ZONE_RANK + 1, 0.0)
        best_has_capacity = False
        slots = 0
        for target in self._candidates(service, share):
            load = self.load(target.cookie)
            rank = self._rank(target, load, now)
            if rank != UNREACHABLE_ZONE_RANK:
                slots += target.slots
            if target.cookie in excluded_cookies or not self._may_use(
                target, rank, load, now
            ):
                continue
            flows = load.total_flows
            slowness = load.speed.slowness
            is_own = self._is_own(target, share)
            cost = load_cost(target.slots, flows, slowness, is_own=is_own)
            cost += MAXIMUM_TIE_BREAK_COST * self._generator.random()
            if (rank, cost) < best_key:
                best = target
                best_key = (rank, cost)
                best_has_capacity = has_capacity(target.slots, flows, slowness)
        return best, best_has_capacity, slots

    def _rank(self, target: RegisteredTarget, load: ServerLoad, now: float) -> int:
        if target.zone in self._unreachable_zones:
            answered_at = self._zone_answered_at.get(target.zone, float("-inf"))
            if now - answered_at > ZONE_ANSWER_VALIDITY_SECONDS:
                return UNREACHABLE_ZONE_RANK
        if now < target.cold_deadline or self._is_state_pending:
            return COLD_RANK
        if now < load.suspicion_deadline:
            return SUSPECT_RANK
        return AVAILABLE_RANK

    def _may_use(
        self, target: RegisteredTarget, rank: int, load: ServerLoad, now: float
    ) -> bool:
        if rank < COLD_RANK:
            return True
        if now < load.next_placement_at:
            return False
        return rank != COLD_RANK or self._may_place_on_cold(target)

    def _evict_loads(self) -> None:
        """Evict the loads of servers that are no longer registered."""
        for cookie, load in list(self._loads.items()):
            if load.total_flows == 0 and self._registry.by_cookie(cookie) is None:
                del self._loads[cookie]

    def _change_reported_flows(self, cookie: int, difference: int) -> None:
        load = self.load(cookie)
        load.reported_flows += difference
        target = self._registry.by_cookie(cookie)
        if target is not None:
            self._move_in_indexes(target, load)

    def _start_waiting(
        self, target: RegisteredTarget, now: float, *, is_late: bool = False
    ) -> None:
        load = self.load(target.cookie)
        if load.timing.waiting:
            self._speeds.start_waiting(
                target, load.timing, load.total_flows, now, is_late=is_late
            )

    def _move_in_indexes(self, target: RegisteredTarget, load: ServerLoad) -> None:
        for index in self._indexes.get(target.service, {}).values():
            index.move(target.cookie, load.total_flows)
