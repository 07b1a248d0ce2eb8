"""Time requests at their backend servers to estimate how slow the servers are."""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import count

from kingcuppulley.backend_servers.target_registry import RegisteredTarget
from kingcuppulley.fabric.server_speed import RouteAverage, ServerSpeed

# Multiples of the expected duration at which an unanswered request becomes a sample.
OVERDUE_MULTIPLES = (3.0, 6.0)
# How long a request whose count expired may still occupy a slot of its server.
EXPIRED_RETENTION_SECONDS = 0.3
MAXIMUM_EXPIRED_REQUESTS = 8
MAXIMUM_WAITING_REQUESTS = 64
MAXIMUM_WATCHED_REQUESTS = 10_000
MAXIMUM_ROUTES = 256
MINIMUM_DURATION_SECONDS = 0.0001
MAXIMUM_DURATION_SECONDS = 60.0
REFRESH_INTERVAL_SECONDS = 0.5


class ServerTiming:
    """Hold the slowness of one server, and what its requests are timed by.

    Attributes
    ----------
    waiting : deque[TimedRequest]
        Requests that wait at the server for a free slot, in the order of their start.
    expired : deque[float]
        Until when the server may work for requests whose count has expired.
    """

    __slots__ = ("speed", "waiting", "expired")

    def __init__(self) -> None:
        self.speed = ServerSpeed()
        self.waiting: deque[TimedRequest] = deque(maxlen=MAXIMUM_WAITING_REQUESTS)
        self.expired: deque[float] = deque(maxlen=MAXIMUM_EXPIRED_REQUESTS)


class TimedRequest:
    """Hold a request that a server works for, to compare its duration with others.

    Attributes
    ----------
    started_at : float or None
        When the server had a slot for the request; None before.
    counted : float or None
        Logarithm of the ratio that counts for the request already.
    log_average : float
        Logarithm of the average duration that `counted` is relative to.
    overdue_count : int
        How many of `OVERDUE_MULTIPLES` were reached.
    is_established : bool
        Whether the server has answered the opening packet of the flow.
    expired_until : float or None
        Until when the server may work for the request after its flow is no longer
        counted; None while the flow is counted.
    """

    __slots__ = (
        "target",
        "timing",
        "route",
        "opened_at",
        "started_at",
        "counted",
        "log_average",
        "overdue_count",
        "is_open",
        "is_established",
        "expired_until",
    )

    def __init__(
        self,
        target: RegisteredTarget,
        timing: ServerTiming,
        route: RouteAverage,
        started_at: float | None,
        now: float,
    ) -> None:
        self.target = target
        self.timing = timing
        self.route = route
        self.opened_at = now
        self.started_at = started_at
        self.counted: float | None = None
        self.log_average = 0.0
        self.overdue_count = 0
        self.is_open = True
        self.is_established = False
        self.expired_until: float | None = None

    @property
    def has_waited(self) -> bool:
        """Return whether the request found every slot of its server in use."""
        return self.started_at != self.opened_at

    def work_seconds(self, seconds: float) -> float | None:
        """Return for how long the server worked, of `seconds` since the opening.

        Return None if it is not known since when the server had a slot.
        """
        if not self.is_open or self.started_at is None:
            return None
        return seconds - (self.started_at - self.opened_at)

    def overdue_at(self, started_at: float) -> float:
        """Return when the next multiple of the expected duration is reached."""
        multiple = OVERDUE_MULTIPLES[self.overdue_count]
        return started_at + multiple * math.exp(self.route.log_seconds)


class ServerSpeeds:
    """Estimate the slowness of servers from the durations of their requests.

    A request that finds every slot of its server in use is timed from when enough
    earlier ones have ended: a server with more flows than slots is not slow.  It is not
    timed where other hosts count flows, whose ends are not known.  `on_change` is
    called when a server's slowness changes, and `on_slow` after it when the server
    becomes slow or is back to normal.
    """

    def __init__(
        self,
        on_change: Callable[[RegisteredTarget], None],
        on_slow: Callable[[RegisteredTarget, ServerSpeed], None],
    ) -> None:
        self._on_change = on_change
        self._on_slow = on_slow
        self._routes: OrderedDict[tuple[str, bytes], RouteAverage] = OrderedDict()
        self._watched: list[tuple[float, int, TimedRequest]] = []
        self._sequence = count()
        # Servers whose slowness may differ from 1, by cookie.
        self._estimated: dict[int, tuple[RegisteredTarget, ServerSpeed]] = {}
        self._slow_cookies: set[int] = set()
        self._refresh_deadline = 0.0

    @property
    def slow_count(self) -> int:
        """Return how many servers are slow."""
        return len(self._slow_cookies)

    @property
    def maximum_slowness(self) -> float:
        """Return the slowness of the slowest server, at least 1."""
        speeds = self._estimated.values()
        return max([1.0, *(speed.slowness for _, speed in speeds)])

    def start(
        self,
        target: RegisteredTarget,
        timing: ServerTiming,
        route: bytes,
        own_flows: int,
        reported_flows: int,
        now: float,
    ) -> TimedRequest | None:
        """Start to time a request on a server that has some open flows already.

        Return None if its duration would not show the server's speed.  A server within
        its cold start is slow for a known reason.
        """
        if now < target.cold_deadline:
            return None
        if timing.expired:
            self._forget_expired(timing, now)
        flows = own_flows + reported_flows + len(timing.expired)
        must_wait = flows >= target.slots
        if must_wait and reported_flows:
            return None
        average = self._route_average(target.service, route)
        started_at = None if must_wait else now
        request = TimedRequest(target, timing, average, started_at, now)
        if must_wait:
            timing.waiting.append(request)
        return request

    def start_waiting(
        self,
        target: RegisteredTarget,
        timing: ServerTiming,
        flows: int,
        now: float,
        *,
        is_late: bool = False,
    ) -> None:
        """Start to time the requests for which a server has slots now.

        `is_late` says that it has had them for an unknown time.
        """
        if timing.expired:
            self._forget_expired(timing, now)
        waiting_count = max(0, flows + len(timing.expired) - target.slots)
        while len(timing.waiting) > waiting_count:
            request = timing.waiting.popleft()
            if is_late:
                request.is_open = False
                continue
            request.started_at = now
            if request.is_established:
                self._watch(request)

    def establish(self, request: TimedRequest) -> None:
        """Record that the server has answered, so that the request may get overdue."""
        self._free_expired_slot(request)
        if not request.is_established:
            request.is_established = True
            self._watch(request)

    def finish(self, request: TimedRequest, seconds: float, now: float) -> None:
        """Record that a request was answered after a time since it was opened."""
        work_seconds = request.work_seconds(seconds)
        if work_seconds is not None:
            self._count(request, work_seconds, now)
        self.close(request)

    def close(self, request: TimedRequest) -> None:
        """End the timing of a request that has ended."""
        request.is_open = False
        self._free_expired_slot(request)

    def discard(self, request: TimedRequest) -> None:
        """Stop timing a request whose end will not be reported.

        It would otherwise become overdue, whenever its server answers.
        """
        request.is_open = False

    def expire(
        self, timing: ServerTiming, request: TimedRequest | None, now: float
    ) -> None:
        """Record that a flow is no longer counted, although its end is not known.

        The server may still work for it, or its caller has given up.
        """
        expired_until = now + EXPIRED_RETENTION_SECONDS
        timing.expired.append(expired_until)
        if request is not None:
            request.expired_until = expired_until

    def _free_expired_slot(self, request: TimedRequest) -> None:
        """Free the slot that a request was taken to occupy after its count expired."""
        expired_until = request.expired_until
        request.expired_until = None
        if expired_until is not None and expired_until in request.timing.expired:
            request.timing.expired.remove(expired_until)

    def _forget_expired(self, timing: ServerTiming, now: float) -> None:
        if now < timing.expired[0]:
            return
        while timing.expired and timing.expired[0] <= now:
            timing.expired.popleft()
        # It is unknown when the server had slots for the requests that wait.
        for request in timing.waiting:
            request.is_open = False
        timing.waiting.clear()

    def tick(self, now: float) -> None:
        """Count overdue requests, and let old samples decay."""
        while self._watched and self._watched[0][0] <= now:
            _, _, request = heapq.heappop(self._watched)
            started_at = request.started_at
            if not request.is_open or not request.route.samples or started_at is None:
                continue
            if now >= request.overdue_at(started_at):
                self._count(request, now - started_at, now)
                request.overdue_count += 1
            if request.overdue_count < len(OVERDUE_MULTIPLES):
                self._watch(request)
        if now >= self._refresh_deadline:
            self._refresh_deadline = now + REFRESH_INTERVAL_SECONDS
            self._refresh(now)

    def _watch(self, request: TimedRequest) -> None:
        if request.started_at is None or len(self._watched) >= MAXIMUM_WATCHED_REQUESTS:
            return
        overdue_at = request.overdue_at(request.started_at)
        heapq.heappush(self._watched, (overdue_at, next(self._sequence), request))

    def _refresh(self, now: float) -> None:
        for cookie, (target, speed) in list(self._estimated.items()):
            slowness = speed.slowness
            speed.refresh(now)
            if speed.slowness != slowness:
                self._notify(target, speed)
            if not speed.has_samples:
                del self._estimated[cookie]

    def _count(self, request: TimedRequest, seconds: float, now: float) -> None:
        if not seconds > MINIMUM_DURATION_SECONDS:
            seconds = MINIMUM_DURATION_SECONDS
        log_seconds = math.log(min(MAXIMUM_DURATION_SECONDS, seconds))
        target, speed, route = request.target, request.timing.speed, request.route
        counted = request.counted
        if counted is None:
            request.log_average = route.log_seconds if route.samples else log_seconds
            route.add(log_seconds)
        slowness = speed.slowness
        log_ratio = log_seconds - request.log_average
        request.counted = speed.add(log_ratio, counted, now)
        if target.cookie not in self._estimated:
            self._estimated[target.cookie] = (target, speed)
        if speed.slowness != slowness:
            self._notify(target, speed)

    def _notify(self, target: RegisteredTarget, speed: ServerSpeed) -> None:
        self._on_change(target)
        if speed.is_slow == (target.cookie in self._slow_cookies):
            return
        if speed.is_slow:
            self._slow_cookies.add(target.cookie)
        else:
            self._slow_cookies.remove(target.cookie)
        self._on_slow(target, speed)

    def _route_average(self, service: str, route: bytes) -> RouteAverage:
        key = (service, route)
        average = self._routes.get(key)
        if average is None:
            average = self._routes[key] = RouteAverage()
            if len(self._routes) > MAXIMUM_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(key)
        return average
