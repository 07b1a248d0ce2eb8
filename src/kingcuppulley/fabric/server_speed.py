"""Estimate how slow a backend server is, relative to the average of its service.

Durations are compared with the average of the same route.  All averages are taken of
logarithms, so that a few requests that take much longer change them little.
"""

from __future__ import annotations

import math

# Ratio of two successive values of a server's slowness.
SLOWNESS_STEP = 1.25
MINIMUM_SLOWNESS = 0.5
MAXIMUM_SLOWNESS = 8.0
MINIMUM_STEP = -3
MAXIMUM_STEP = 9
# A server becomes slow at the one slowness, and is back to normal at the other.
SLOW = 2.0
BACK_TO_NORMAL = 1.5
# How far an estimate must be from the current step, in steps, before the step changes.
# Noise must not make equal servers differ, so an average server keeps its step longer.
STEP_HYSTERESIS = 0.75
AVERAGE_STEP_HYSTERESIS = 1.3
# The estimate starts as if the server had this many samples of average duration.
PRIOR_SAMPLES = 6.0
MAXIMUM_SAMPLES = 18.0
SAMPLE_DECAY_SECONDS = 2.2
# Samples decay only in longer pauses, so that the probes of a slow server confirm it.
DECAY_PAUSE_SECONDS = 1.0
# Samples below this decayed number do not change the estimate by a step.
MINIMUM_SAMPLES = 0.15
# Lowest weight of a sample in the average of a route.
ROUTE_WEIGHT = 0.05
# Longest and shortest duration that enters an estimate, relative to what is expected.
MAXIMUM_SAMPLE_RATIO = 5.0
# A sum of logarithmic deviations, each less the tolerated one, beyond the limit shows
# that the speed has changed.  Two requests of the highest ratio are not enough.
TOLERATED_DEVIATION = 0.6
CHANGE_LIMIT = 3.0

_STEP_LOG = math.log(SLOWNESS_STEP)
_MINIMUM_LOG = math.log(MINIMUM_SLOWNESS)
_MAXIMUM_LOG = math.log(MAXIMUM_SLOWNESS)
_MAXIMUM_SAMPLE_LOG = math.log(MAXIMUM_SAMPLE_RATIO)
_SLOWNESS = {
    step: SLOWNESS_STEP**step for step in range(MINIMUM_STEP, MAXIMUM_STEP + 1)
}


def limit_deviation(deviation: float) -> float:
    """Return a logarithmic ratio, limited so that no single request counts more."""
    return max(-_MAXIMUM_SAMPLE_LOG, min(_MAXIMUM_SAMPLE_LOG, deviation))


class _Change:
    """Sum deviations in one direction to detect a change of speed (CUSUM test).

    They are deviations from the estimate at the time when the sum was last 0.
    `direction` is 1 or -1.
    """

    __slots__ = ("sum", "samples", "_direction", "_reference")

    def __init__(self, direction: int) -> None:
        self.sum = 0.0
        self.samples = 0
        self._direction = direction
        self._reference = 0.0

    @property
    def log_estimate(self) -> float:
        """Return the mean of the samples since the sum was last 0."""
        mean_deviation = self.sum / max(1, self.samples) + TOLERATED_DEVIATION
        return self._reference + self._direction * mean_deviation

    def add(self, log_ratio: float, counted: float | None) -> bool:
        """Add a sample or replace one, and return whether the speed has changed."""
        if counted is None:
            deviation = (log_ratio - self._reference) * self._direction
            self.sum += deviation - TOLERATED_DEVIATION
            self.samples += 1
        else:
            self.sum += (log_ratio - counted) * self._direction
        return self.sum > CHANGE_LIMIT

    def clear(self, log_estimate: float) -> None:
        """Forget all samples."""
        self.sum = 0.0
        self.samples = 0
        self._reference = log_estimate


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
    """

    __slots__ = (
        "slowness",
        "is_slow",
        "_step",
        "_total",
        "_samples",
        "_decayed_until",
        "_longer",
        "_shorter",
    )

    def __init__(self) -> None:
        self.slowness = 1.0
        self.is_slow = False
        self._step = 0
        self._total = 0.0
        self._samples = 0.0
        self._decayed_until = 0.0
        self._longer = _Change(1)
        self._shorter = _Change(-1)

    @property
    def has_samples(self) -> bool:
        """Return whether the estimate still depends on samples."""
        return self._samples >= MINIMUM_SAMPLES or self._step != 0

    @property
    def may_be_faster(self) -> bool:
        """Return whether the latest samples suggest a lower slowness."""
        return self._shorter.sum > 0.0

    @property
    def _log_estimate(self) -> float:
        return self._total / (self._samples + PRIOR_SAMPLES)

    def add(self, log_ratio: float, counted: float | None, now: float) -> float:
        """Add the logarithm of a duration over its average; return what was counted.

        `counted` is what was counted for the same request before, while it was overdue;
        the new sample then replaces it.
        """
        self._decay(now)
        self._decayed_until = max(self._decayed_until, now + DECAY_PAUSE_SECONDS)
        estimate = self._log_estimate
        limited_ratio = estimate + limit_deviation(log_ratio - estimate)
        if counted is None:
            self._set_estimate(self._total + limited_ratio, self._samples + 1.0)
        else:
            self._set_estimate(self._total + limited_ratio - counted, self._samples)
        for change in (self._longer, self._shorter):
            self._detect_change(change, limited_ratio, counted)
        self._update_step()
        return limited_ratio

    def refresh(self, now: float) -> None:
        """Apply the decay of old samples."""
        self._decay(now)
        self._update_step()

    def _decay(self, now: float) -> None:
        if now > self._decayed_until:
            factor = math.exp((self._decayed_until - now) / SAMPLE_DECAY_SECONDS)
            self._total *= factor
            self._samples *= factor
            self._decayed_until = now

    def _detect_change(
        self, change: _Change, log_ratio: float, counted: float | None
    ) -> None:
        """Replace the estimate if the latest samples show another speed."""
        if change.add(log_ratio, counted):
            weight = change.samples + PRIOR_SAMPLES
            self._set_estimate(change.log_estimate * weight, change.samples)
            self._longer.clear(self._log_estimate)
            self._shorter.clear(self._log_estimate)
        elif change.sum <= 0.0:
            change.clear(self._log_estimate)

    def _set_estimate(self, total: float, samples: float) -> None:
        if samples > MAXIMUM_SAMPLES:
            total *= MAXIMUM_SAMPLES / samples
            samples = MAXIMUM_SAMPLES
        weight = samples + PRIOR_SAMPLES
        self._total = max(_MINIMUM_LOG * weight, min(_MAXIMUM_LOG * weight, total))
        self._samples = samples

    def _update_step(self) -> None:
        position = self._log_estimate / _STEP_LOG
        hysteresis = STEP_HYSTERESIS if self._step else AVERAGE_STEP_HYSTERESIS
        if abs(position - self._step) <= hysteresis:
            return
        step = self._step = max(MINIMUM_STEP, min(MAXIMUM_STEP, round(position)))
        self.slowness = _SLOWNESS[step]
        self.is_slow = self.slowness >= SLOW or (
            self.is_slow and self.slowness > BACK_TO_NORMAL
        )


class RouteAverage:
    """Hold the average duration of one route over all servers of the service."""

    __slots__ = ("log_seconds", "samples")

    def __init__(self) -> None:
        self.log_seconds = 0.0
        self.samples = 0

    def add(self, log_seconds: float) -> None:
        """Add the logarithm of a duration."""
        if not self.samples:
            self.log_seconds = log_seconds
        self.samples += 1
        weight = max(ROUTE_WEIGHT, 1.0 / self.samples)
        self.log_seconds += weight * limit_deviation(log_seconds - self.log_seconds)
