"""Estimate how slow each backend server is, relative to the average of its service.

Durations are compared with the average of the same route.  All averages are taken of
logarithms, so that a few requests that take much longer change them little.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import count

from kingcuppulley.backend_servers.target_registry import RegisteredTarget

# Ratio of two successive values of a server's slowness.
SLOWNESS_STEP = 1.25
MINIMUM_SLOWNESS = 0.5
MAXIMUM_SLOWNESS = 8.0
MINIMUM_STEP = -3
MAXIMUM_STEP = 9
SLOW = 2.0
BACK_TO_NORMAL = 1.5
# How far an estimate must be from the current step, in steps, before the step changes.
# Noise must not make equal servers differ, so an average server keeps its step longer.
STEP_HYSTERESIS = 0.75
AVERAGE_STEP_HYSTERESIS = 1.3
# The estimate starts as if the server had this many samples of average duration.
PRIOR_SAMPLES = 6.0
MAXIMUM_SAMPLES = 18.0
SAMPLE_DECAY_SECONDS = 2.5
# Samples below this decayed number do not change the estimate by a step.
MINIMUM_SAMPLES = 0.05
# Longest and shortest duration that enters an estimate, relative to what is expected.
MAXIMUM_SAMPLE_RATIO = 5.0
# A sum of logarithmic deviations, each less the tolerated one, beyond the limit shows
# that the speed has changed.  Two requests of the highest ratio are not enough.
TOLERATED_DEVIATION = 0.6
CHANGE_LIMIT = 2.8
# Multiples of the expected duration at which an unanswered request becomes a sample.
OVERDUE_MULTIPLES = (3.0, 6.0)
# How long a request whose count expired may still occupy a slot of its server.
EXPIRED_RETENTION_SECONDS = 0.3
MAXIMUM_EXPIRED_REQUESTS = 8
MAXIMUM_WATCHED_REQUESTS = 10_000
MAXIMUM_ROUTES = 256
# Lowest weight of a sample in the average of a route.
ROUTE_WEIGHT = 0.05
MINIMUM_DURATION_SECONDS = 0.0001
MAXIMUM_DURATION_SECONDS = 60.0
REFRESH_INTERVAL_SECONDS = 0.5

_STEP_LOG = math.log(SLOWNESS_STEP)
_MINIMUM_LOG = math.log(MINIMUM_SLOWNESS)
_MAXIMUM_LOG = math.log(MAXIMUM_SLOWNESS)
_MAXIMUM_SAMPLE_LOG = math.log(MAXIMUM_SAMPLE_RATIO)
_SLOWNESS = {
    step: SLOWNESS_STEP**step for step in range(MINIMUM_STEP, MAXIMUM_STEP + 1)
}


def _limit_deviation(deviation: float) -> float:
    return max(-_MAXIMUM_SAMPLE_LOG, min(_MAXIMUM_SAMPLE_LOG, deviation))


class _Change:
    """Sum deviations in one direction to detect a change of speed (CUSUM test)."""

    __slots__ = ("sum", "samples")

    def __init__(self) -> None:
        self.sum = 0.0
        self.samples = 0

    @property
    def mean_deviation(self) -> float:
        """Return the mean deviation since the sum was last 0."""
        return self.sum / max(1, self.samples) + TOLERATED_DEVIATION

    def add(self, deviation: float, *, is_new: bool) -> bool:
        """Add a deviation and return whether the speed has changed."""
        self.sum += deviation - (TOLERATED_DEVIATION if is_new else 0.0)
        self.samples += is_new
        if self.sum <= 0.0:
            self.clear()
        return self.sum > CHANGE_LIMIT

    def clear(self) -> None:
        """Forget all deviations."""
        self.sum = 0.0
        self.samples = 0


class ServerSpeed:
    """Estimate the slowness of one backend server; 1 is an average server.

    The estimate is the mean of the latest samples and of `PRIOR_SAMPLES` samples of
    average duration.  Old samples decay, so without new ones the estimate returns to 1.
    A change detector replaces the estimate at once when the speed changes much.

    Attributes
    ----------
    slowness : float
        The estimate in steps of `SLOWNESS_STEP`, with hysteresis.
    is_slow : bool
        Whether the slowness reached `SLOW` and has not returned to `BACK_TO_NORMAL`.
    waiting : deque[TimedRequest]
        Requests that wait at the server for a free slot, in the order of their start.
    expired : deque[float]
        Until when the server may work for requests whose count has expired.
    """

    __slots__ = (
        "slowness",
        "is_slow",
        "waiting",
        "expired",
        "_step",
        "_total",
        "_samples",
        "_updated_at",
        "_longer",
        "_shorter",
    )

    def __init__(self) -> None:
        self.slowness = 1.0
        self.is_slow = False
        self.waiting: deque[TimedRequest] = deque()
        self.expired: deque[float] = deque(maxlen=MAXIMUM_EXPIRED_REQUESTS)
        self._step = 0
        self._total = 0.0
        self._samples = 0.0
        self._updated_at = 0.0
        self._longer = _Change()
        self._shorter = _Change()

    @property
    def has_samples(self) -> bool:
        """Return whether the estimate still depends on samples."""
        return self._samples >= MINIMUM_SAMPLES or self._step != 0

    @property
    def _log_estimate(self) -> float:
        return self._total / (self._samples + PRIOR_SAMPLES)

    def limit_sample(self, log_ratio: float) -> float:
        """Return a logarithmic ratio, limited to what may enter the estimate."""
        deviation = log_ratio - self._log_estimate
        return self._log_estimate + _limit_deviation(deviation)

    def add(self, log_ratio: float, counted: float | None, now: float) -> bool:
        """Add a sample and return whether the slowness changed.

        `counted` is the ratio with which the same request was counted before, while it
        was overdue; the new ratio then replaces it.
        """
        self._decay(now)
        estimate = self._log_estimate
        is_new = counted is None
        if counted is None:
            self._samples += 1.0
            difference = log_ratio
            deviation = log_ratio - estimate
        else:
            difference = deviation = log_ratio - counted
        self._set_estimate(self._total + difference, self._samples)
        if self._samples > MAXIMUM_SAMPLES:
            self._total *= MAXIMUM_SAMPLES / self._samples
            self._samples = MAXIMUM_SAMPLES
        if self._longer.add(deviation, is_new=is_new):
            self._replace(estimate + self._longer.mean_deviation, self._longer.samples)
        elif self._shorter.add(-deviation, is_new=is_new):
            self._replace(
                estimate - self._shorter.mean_deviation, self._shorter.samples
            )
        return self._update_step()

    def refresh(self, now: float) -> bool:
        """Apply the decay and return whether the slowness changed."""
        self._decay(now)
        return self._update_step()

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._updated_at - now) / SAMPLE_DECAY_SECONDS)
        self._total *= factor
        self._samples *= factor
        self._updated_at = max(self._updated_at, now)

    def _replace(self, log_estimate: float, samples: int) -> None:
        """Replace the estimate by that of the samples since the speed changed."""
        limited_samples = min(MAXIMUM_SAMPLES, float(samples))
        total = log_estimate * (limited_samples + PRIOR_SAMPLES)
        self._set_estimate(total, limited_samples)
        self._longer.clear()
        self._shorter.clear()

    def _set_estimate(self, total: float, samples: float) -> None:
        weight = samples + PRIOR_SAMPLES
        self._total = max(_MINIMUM_LOG * weight, min(_MAXIMUM_LOG * weight, total))
        self._samples = samples

    def _update_step(self) -> bool:
        position = self._log_estimate / _STEP_LOG
        hysteresis = STEP_HYSTERESIS if self._step else AVERAGE_STEP_HYSTERESIS
        if abs(position - self._step) <= hysteresis:
            return False
        step = max(MINIMUM_STEP, min(MAXIMUM_STEP, round(position)))
        if step == self._step:
            return False
        self._step = step
        self.slowness = _SLOWNESS[step]
        self.is_slow = self.slowness >= SLOW or (
            self.is_slow and self.slowness > BACK_TO_NORMAL
        )
        return True


class _RouteAverage:
    """Hold the average duration of one route over all servers of the service."""

    __slots__ = ("log_seconds", "samples")

    def __init__(self) -> None:
        self.log_seconds = 0.0
        self.samples = 0

    def add(self, log_seconds: float) -> None:
        if not self.samples:
            self.log_seconds = log_seconds
        self.samples += 1
        weight = max(ROUTE_WEIGHT, 1.0 / self.samples)
        self.log_seconds += weight * _limit_deviation(log_seconds - self.log_seconds)


class TimedRequest:
    """Hold a request that a server works for, to compare its duration with others."""

    __slots__ = (
        "target",
        "speed",
        "route",
        "opened_at",
        "started_at",
        "counted",
        "log_average",
        "overdue_count",
        "is_open",
        "is_established",
        "is_expired",
    )

    def __init__(
        self,
        target: RegisteredTarget,
        speed: ServerSpeed,
        route: _RouteAverage,
        started_at: float | None,
        now: float,
    ) -> None:
        self.target = target
        self.speed = speed
        self.route = route
        self.opened_at = now
        # When the server had a slot for the request; None before.
        self.started_at = started_at
        # The ratio that counts already, and the average that it is relative to.
        self.counted: float | None = None
        self.log_average = 0.0
        self.overdue_count = 0
        self.is_open = True
        self.is_established = False
        self.is_expired = False

    @property
    def has_waited(self) -> bool:
        """Return whether the request found every slot of its server in use."""
        return self.started_at != self.opened_at

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
        self._routes: OrderedDict[tuple[str, bytes], _RouteAverage] = OrderedDict()
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
        speed: ServerSpeed,
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
        self._forget_expired(speed, now)
        flows = own_flows + reported_flows + len(speed.expired)
        must_wait = flows >= target.slots
        if must_wait and reported_flows:
            return None
        average = self._route_average(target.service, route)
        started_at = None if must_wait else now
        request = TimedRequest(target, speed, average, started_at, now)
        if must_wait:
            speed.waiting.append(request)
        return request

    def start_waiting(
        self, target: RegisteredTarget, speed: ServerSpeed, flows: int, now: float
    ) -> None:
        """Start to time the requests for which a server has slots now."""
        self._forget_expired(speed, now)
        waiting_count = max(0, flows + len(speed.expired) - target.slots)
        while len(speed.waiting) > waiting_count:
            request = speed.waiting.popleft()
            request.started_at = now
            if request.is_established:
                self._watch(request)

    def establish(self, request: TimedRequest) -> None:
        """Record that the server has answered, so that the request may get overdue."""
        if not request.is_established:
            request.is_established = True
            self._watch(request)

    def finish(self, request: TimedRequest, seconds: float, now: float) -> None:
        """Record that a request was answered after a time since it was opened."""
        if request.is_open and request.started_at is not None:
            waited_seconds = request.started_at - request.opened_at
            self._count(request, seconds - waited_seconds, now)
        self.close(request)

    def close(self, request: TimedRequest) -> None:
        """End the timing of a request that has ended."""
        request.is_open = False
        if request.is_expired and request.speed.expired:
            request.speed.expired.popleft()
        request.is_expired = False

    def expire(
        self, speed: ServerSpeed, request: TimedRequest | None, now: float
    ) -> None:
        """Record that a flow is no longer counted, although its end is not known.

        The server may still work for it, or its caller has given up.
        """
        speed.expired.append(now + EXPIRED_RETENTION_SECONDS)
        if request is not None:
            request.is_expired = True

    def _forget_expired(self, speed: ServerSpeed, now: float) -> None:
        if not speed.expired or now < speed.expired[0]:
            return
        while speed.expired and speed.expired[0] <= now:
            speed.expired.popleft()
        # It is unknown when the server had slots for the requests that wait.
        for request in speed.waiting:
            request.is_open = False
        speed.waiting.clear()

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
            if speed.refresh(now):
                self._notify(target, speed)
            if not speed.has_samples:
                del self._estimated[cookie]

    def _count(self, request: TimedRequest, seconds: float, now: float) -> None:
        if not seconds > MINIMUM_DURATION_SECONDS:
            seconds = MINIMUM_DURATION_SECONDS
        log_seconds = math.log(min(MAXIMUM_DURATION_SECONDS, seconds))
        target, speed, route = request.target, request.speed, request.route
        counted = request.counted
        if counted is None:
            request.log_average = route.log_seconds if route.samples else log_seconds
            route.add(log_seconds)
        log_ratio = speed.limit_sample(log_seconds - request.log_average)
        request.counted = log_ratio
        self._estimated[target.cookie] = (target, speed)
        if speed.add(log_ratio, counted, now):
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

    def _route_average(self, service: str, route: bytes) -> _RouteAverage:
        key = (service, route)
        average = self._routes.get(key)
        if average is None:
            average = self._routes[key] = _RouteAverage()
            if len(self._routes) > MAXIMUM_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(key)
        return average
