"""Schedule single flows that show whether slow servers are faster again."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from kingcuppulley.backend_servers.target_registry import (
    RegisteredTarget,
    TargetRegistry,
)
from kingcuppulley.fabric.server_load import ServerLoad
from kingcuppulley.fabric.service_shares import ServiceShares

SLOW_SERVER_PROBE_INTERVAL_SECONDS = 1.0
# The same after an answer that was faster than expected.
FASTER_SERVER_PROBE_INTERVAL_SECONDS = 0.25


class SlowServerProbes:
    """Hold the slow servers of a zone in the order of their next probes.

    A slow server that is idle gets a flow now and then even if others are better, since
    its recovery would not show otherwise.  `loads` are the loads by cookie, which the
    owner changes; `may_probe` returns whether the flows of a share may probe a server.
    """

    __slots__ = (
        "_registry",
        "_shares",
        "_loads",
        "_may_probe",
        "_by_share",
        "_cookies",
    )

    def __init__(
        self,
        registry: TargetRegistry,
        shares: ServiceShares,
        loads: dict[int, ServerLoad],
        may_probe: Callable[[RegisteredTarget, int, float], bool],
    ) -> None:
        self._registry = registry
        self._shares = shares
        self._loads = loads
        self._may_probe = may_probe
        # By service and share, heaps of the time of the next probe and the cookie.
        self._by_share: dict[tuple[str, int], list[tuple[float, int]]] = {}
        self._cookies: set[int] = set()

    def add(self, target: RegisteredTarget) -> None:
        """Probe a server that has become slow."""
        load = self._loads.get(target.cookie)
        if load is None or target.cookie in self._cookies:
            return
        self._cookies.add(target.cookie)
        key = (target.service, self._shares.share_of_server(target))
        entry = (load.next_probe_at, target.cookie)
        heapq.heappush(self._by_share.setdefault(key, []), entry)

    def update(self) -> None:
        """Drop servers that are gone or not slow, and apply changed shares."""
        cookies, self._cookies = self._cookies, set()
        self._by_share.clear()
        for cookie in cookies:
            target = self._slow_target(cookie)
            if target is not None:
                self.add(target)

    def record_placement(self, load: ServerLoad, now: float) -> None:
        """Delay the next probe of a server that gets a flow now."""
        load.next_probe_at = now + (
            FASTER_SERVER_PROBE_INTERVAL_SECONDS
            if load.speed.may_be_faster
            else SLOW_SERVER_PROBE_INTERVAL_SECONDS
        )

    def next_due(self, service: str, share: int, now: float) -> RegisteredTarget | None:
        """Return an idle slow server that has got no flow for some time.

        The probe stays due until a flow is placed on the server.
        """
        probes = self._by_share.get((service, share))
        while probes and probes[0][0] <= now:
            cookie = probes[0][1]
            target = self._slow_target(cookie)
            if target is None:
                heapq.heappop(probes)
                self._cookies.remove(cookie)
                continue
            if self._is_due(target, share, now):
                return target
            next_probe_at = self._loads[cookie].next_probe_at
            if next_probe_at <= now:
                next_probe_at = now + FASTER_SERVER_PROBE_INTERVAL_SECONDS
            heapq.heapreplace(probes, (next_probe_at, cookie))
        return None

    def peek_due(self, service: str, share: int, now: float) -> RegisteredTarget | None:
        """Return what `next_due` would return; nothing is changed."""
        for due_at, cookie in sorted(self._by_share.get((service, share), ())):
            target = self._slow_target(cookie)
            if due_at <= now and target and self._is_due(target, share, now):
                return target
        return None

    def _slow_target(self, cookie: int) -> RegisteredTarget | None:
        """Return the server of a cookie if it is registered and slow."""
        load = self._loads.get(cookie)
        if load is None or not load.speed.is_slow:
            return None
        return self._registry.by_cookie(cookie)

    def _is_due(self, target: RegisteredTarget, share: int, now: float) -> bool:
        load = self._loads[target.cookie]
        is_idle = load.next_probe_at <= now and not load.total_flows
        return is_idle and self._may_probe(target, share, now)
