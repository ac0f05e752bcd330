"""Adaptive concurrency limits, between one call and the configured maximum.

Pure: the caller passes the time of each sample in, in ms. Three algorithms have one interface;
``bench/dependency_limits.py`` compares them:

- AIMD adds one to the limit after as many successful calls as the limit allows at once, while the limit is in
  use, and multiplies the limit by a factor below one at a drop (a timeout or an overload response). Sources:
  Chiu and Jain 1989; Netflix concurrency-limits, AIMDLimit.
- Vegas estimates the calls that queue in the dependency as limit x (1 - base latency / mean latency). The
  limit rises while few calls queue and falls while many do. Sources: Brakmo and Peterson 1995;
  concurrency-limits, VegasLimit.
- Gradient follows the ratio of long-term to short-term mean latency, and allows for a short queue. Sources:
  concurrency-limits, Gradient2Limit; Envoy's adaptive concurrency filter.

Invariant: ``1 <= limit <= maximum``.
"""

from __future__ import annotations

import math
from typing import Protocol

DECREASE_FACTOR = 0.7
MIN_DECREASE_INTERVAL = 1.0  # in mean call durations; drops within the interval have a common cause
IN_USE_FRACTION = 0.5  # a success raises the limit only if this part of the limit was in flight
INITIAL_FRACTION = 0.5  # initial limit, as a fraction of the maximum
# Limit after the breaker closes, as a fraction of the maximum. It is low because all nodes resume their calls
# at about the same time.
RESTART_FRACTION = 0.25
SHORT_TERM_SMOOTHING = 0.2
LONG_TERM_SMOOTHING = 0.01
# Factor on the long-term mean latency at each call, while that mean is over twice the short-term mean.
LONG_TERM_CORRECTION = 0.95
# Factor on the base latency at each call, so that a lasting slowdown becomes the new base latency.
BASE_LATENCY_GROWTH = 1.001
MIN_VEGAS_QUEUE = 2.0  # estimated queued calls below which the limit rises
MAX_VEGAS_QUEUE = 4.0  # estimated queued calls above which the limit falls
GRADIENT_TOLERANCE = 1.5  # ratio of short-term to long-term latency that is still taken as noise
GRADIENT_SMOOTHING = 0.2
MIN_GRADIENT = 0.5
MIN_DURATION_MS = 0.001  # avoids a division by zero for a response at the time of its call


class Limit(Protocol):
    """A concurrency limit."""

    maximum: float

    @property
    def limit(self) -> float:
        """The number of calls that may be in flight."""
        ...

    def note_end(self, now_ms: float, duration_ms: float, in_flight: int, dropped: bool) -> None:
        """Note the end of a call; ``dropped`` is True for a timeout and an overload response."""
        ...

    def restart(self) -> None:
        """Lower the limit after the breaker has closed, since all nodes resume their calls then."""
        ...

    def set_maximum(self, maximum: float) -> None:
        """Set the configured maximum."""
        ...


class BoundedLimit:
    """Common base of the algorithms: bounds, the short-term mean latency, and the decrease at a drop."""

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self.mean_ms = 0.0  # short-term mean duration of successful calls
        self._limit = max(1.0, maximum * INITIAL_FRACTION)
        self._decreased_at_ms = -math.inf

    @property
    def limit(self) -> float:
        """The number of calls that may be in flight."""
        return self._limit

    def restart(self) -> None:
        """Lower the limit after the breaker has closed, since all nodes resume their calls then."""
        self._set_limit(self.maximum * RESTART_FRACTION)

    def set_maximum(self, maximum: float) -> None:
        """Set the configured maximum."""
        self.maximum = maximum
        self._set_limit(self._limit)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(self.maximum, max(1.0, limit))

    def _increase(self) -> None:
        self._set_limit(self._limit + 1.0 / self._limit)

    def _decrease(self, now_ms: float) -> None:
        if now_ms - self._decreased_at_ms >= MIN_DECREASE_INTERVAL * self.mean_ms:
            self._decreased_at_ms = now_ms
            self._set_limit(self._limit * DECREASE_FACTOR)

    def _add_duration(self, duration_ms: float) -> None:
        self.mean_ms += (duration_ms - self.mean_ms) * (SHORT_TERM_SMOOTHING if self.mean_ms else 1.0)


class Aimd(BoundedLimit):
    """Decreases the limit only at drops, so a slow dependency keeps its limit while calls end in time."""

    def note_end(self, now_ms: float, duration_ms: float, in_flight: int, dropped: bool) -> None:
        """Note the end of a call."""
        if dropped:
            self._decrease(now_ms)
            return
        self._add_duration(duration_ms)
        if in_flight >= IN_USE_FRACTION * self._limit:
            self._increase()


class Vegas(BoundedLimit):
    """Follows an estimate of the calls that queue in the dependency."""

    def __init__(self, maximum: float) -> None:
        super().__init__(maximum)
        self.base_latency_ms = math.inf

    def note_end(self, now_ms: float, duration_ms: float, in_flight: int, dropped: bool) -> None:
        """Note the end of a call."""
        if dropped:
            self._decrease(now_ms)
            return
        self._add_duration(duration_ms)
        self.base_latency_ms = min(
            self.base_latency_ms * BASE_LATENCY_GROWTH, max(MIN_DURATION_MS, duration_ms)
        )
        queued = self._limit * (
            1.0 - self.base_latency_ms / max(self.base_latency_ms, self.mean_ms, MIN_DURATION_MS)
        )
        if queued > MAX_VEGAS_QUEUE:
            self._set_limit(self._limit - 1.0 / self._limit)
        elif queued < MIN_VEGAS_QUEUE and in_flight >= IN_USE_FRACTION * self._limit:
            self._increase()


class Gradient(BoundedLimit):
    """Follows the ratio of long-term to short-term mean latency."""

    def __init__(self, maximum: float) -> None:
        super().__init__(maximum)
        self.long_term_mean_ms = 0.0

    def note_end(self, now_ms: float, duration_ms: float, in_flight: int, dropped: bool) -> None:
        """Note the end of a call."""
        if dropped:
            self._decrease(now_ms)
            return
        self._add_duration(duration_ms)
        smoothing = LONG_TERM_SMOOTHING if self.long_term_mean_ms else 1.0
        self.long_term_mean_ms += (duration_ms - self.long_term_mean_ms) * smoothing
        if self.long_term_mean_ms > 2.0 * self.mean_ms:
            self.long_term_mean_ms *= LONG_TERM_CORRECTION  # past congestion must not justify a high limit
        if in_flight < IN_USE_FRACTION * self._limit:
            return
        ratio = GRADIENT_TOLERANCE * self.long_term_mean_ms / max(self.mean_ms, 1e-9)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        estimate = gradient * self._limit + math.sqrt(self._limit)
        self._set_limit(self._limit * (1.0 - GRADIENT_SMOOTHING) + estimate * GRADIENT_SMOOTHING)


LIMIT_ALGORITHMS: dict[str, type[Aimd] | type[Vegas] | type[Gradient]] = {
    "aimd": Aimd,
    "vegas": Vegas,
    "gradient": Gradient,
}


def create_limit(algorithm: str, maximum: float) -> Limit:
    """Return a new limit that uses the named algorithm.

    Raises:
        KeyError: ``algorithm`` is not a key of ``LIMIT_ALGORITHMS``.
    """
    return LIMIT_ALGORITHMS[algorithm](maximum)
