"""Find the least loaded backend server of a service without comparing all of them."""

from __future__ import annotations

from functools import lru_cache
from random import Random

from kingcuppulley.backend_servers.target_registry import RegisteredTarget
from kingcuppulley.fabric.server_speed import SLOW, ServerSpeed

# Both costs are in flows of an average server per slot and are added to its load.
OTHER_SHARE_COST = 0.8
MAXIMUM_TIE_BREAK_COST = 0.25
# Flows that a server may have beyond its slots, for each slot.
MAXIMUM_SERVER_QUEUE_PER_SLOT = 1
# Sums of equal costs must be equal, so that equal servers tie.
COST_DECIMALS = 9
MAXIMUM_CACHED_COSTS = 2048


def has_capacity(slots: int, flows: int, slowness: float) -> bool:
    """Return whether a server may get another flow; a slow one has no queue."""
    queue_per_slot = 0 if slowness > SLOW else MAXIMUM_SERVER_QUEUE_PER_SLOT
    return flows < slots * (1 + queue_per_slot)


# It is computed for two servers per flow, but its arguments take few values.
@lru_cache(maxsize=MAXIMUM_CACHED_COSTS)
def load_cost(slots: int, flows: int, slowness: float, *, is_own: bool) -> float:
    """Return the cost of one more flow on a server: when it expects to answer it.

    `is_own` says whether the server belongs to the share of the host that chooses.  A
    fast server that is full costs as much as an average one, and a slow server with a
    free slot less: a flow is queued only if no server of the share can take it.
    """
    slots = max(1, slots)
    if slowness < 1.0 and not has_capacity(slots, flows, slowness):
        slowness = 1.0
    cost = (flows + 1) / slots * slowness
    if slowness > 1.0 and flows < slots:
        full_cost = 1 + MAXIMUM_SERVER_QUEUE_PER_SLOT + 1 / slots
        cost = min(cost, full_cost - MAXIMUM_TIE_BREAK_COST)
    return round(cost if is_own else cost + OTHER_SHARE_COST, COST_DECIMALS)


class _IndexedServer:
    """Hold a server's place among the servers of the same cost."""

    __slots__ = ("target", "speed", "is_own", "cost", "position")

    def __init__(
        self, target: RegisteredTarget, flows: int, speed: ServerSpeed, is_own: bool
    ) -> None:
        self.target = target
        self.speed = speed
        self.is_own = is_own
        self.cost = load_cost(target.slots, flows, speed.slowness, is_own=is_own)
        self.position = 0


class ServerIndex:
    """Group the servers that any flow of one share may use by their cost.

    A random cost below `MAXIMUM_TIE_BREAK_COST` is added to that of each server, and
    the server with the lowest sum is chosen.  The lowest of n random costs is drawn
    directly, so that the time of a choice does not grow with the number of servers.

    Attributes
    ----------
    slots : int
        Total slots of the servers that the flows of the share may use, without those
        of unreachable zones.
    registry_version : int
        Version of the registry from which the index was built.
    built_at : float
        When the index was built.
    """

    __slots__ = ("slots", "registry_version", "built_at", "_servers", "_costs")

    def __init__(self, registry_version: int, now: float) -> None:
        self.slots = 0
        self.registry_version = registry_version
        self.built_at = now
        self._servers: dict[int, _IndexedServer] = {}
        self._costs: dict[float, list[_IndexedServer]] = {}

    def add(
        self,
        target: RegisteredTarget,
        flows: int,
        speed: ServerSpeed,
        *,
        is_own: bool,
    ) -> None:
        """Add a server with its number of open flows."""
        server = _IndexedServer(target, flows, speed, is_own)
        self._servers[target.cookie] = server
        self._insert(server)

    def move(self, cookie: int, flows: int) -> None:
        """Record a server's new number of open flows or slowness, if it is here."""
        server = self._servers.get(cookie)
        if server is None:
            return
        self._take_out(server)
        server.cost = load_cost(
            server.target.slots, flows, server.speed.slowness, is_own=server.is_own
        )
        self._insert(server)

    def remove(self, cookie: int) -> None:
        """Remove a server."""
        self._take_out(self._servers.pop(cookie))

    def choose(self, generator: Random) -> RegisteredTarget | None:
        """Return the server with the lowest cost, or None without servers."""
        best: list[_IndexedServer] = []
        best_cost = float("inf")
        for cost in sorted(self._costs):
            if cost >= best_cost:
                break
            servers = self._costs[cost]
            lowest_of_all = 1.0 - generator.random() ** (1.0 / len(servers))
            cost_with_tie_break = cost + MAXIMUM_TIE_BREAK_COST * lowest_of_all
            if cost_with_tie_break < best_cost:
                best = servers
                best_cost = cost_with_tie_break
        if not best:
            return None
        return best[generator.randrange(len(best))].target

    def _insert(self, server: _IndexedServer) -> None:
        servers = self._costs.setdefault(server.cost, [])
        server.position = len(servers)
        servers.append(server)

    def _take_out(self, server: _IndexedServer) -> None:
        servers = self._costs[server.cost]
        last = servers.pop()
        if last is not server:
            servers[server.position] = last
            last.position = server.position
        if not servers:
            del self._costs[server.cost]
