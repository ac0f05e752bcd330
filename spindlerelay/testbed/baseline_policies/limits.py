"""Widely used concurrency and queue limits, as baselines. The module has no I/O and no clock.

- ``FixedLimit``: a pool of workers with a bounded queue, as in most application servers.
- ``GradientLimit``: a limit that follows the ratio of the long-term to the current run time (Gradient2Limit
  of Netflix concurrency-limits), with the same bounded queue.
- ``CoDelLimit``: a pool whose queue drops requests by the waiting time of its head (RFC 8289, section 5.5).
"""

from __future__ import annotations

import math
from typing import Protocol

WORKERS_PER_CORE = 2.0  # above 1, as runs spend a part of their time waiting for dependency calls
QUEUE_CAPACITY_PER_WORKER = 4.0
LONG_WINDOW_RUNS = 600  # longWindow of Gradient2
RUN_TIME_TOLERANCE = 1.5  # rttTolerance of Gradient2
LIMIT_SMOOTHING = 0.2  # smoothing of Gradient2
MIN_GRADIENT = 0.5
MAX_RUNS_PER_CORE = 20.0
# The long-term mean decays while it exceeds the current run time by this factor.
DRIFT_RATIO = 2.0
DRIFT_DECAY = 0.95
# Target as a fraction of the interval; RFC 8289, section 4.4 recommends 5 to 10%.
CODEL_TARGET_FRACTION = 0.1
CODEL_INTERVAL_FRACTION = 1.0  # interval as a fraction of the shortest latency objective
# A dropping state that begins within this many intervals of the last drop continues its drop rate.
CODEL_MEMORY_INTERVALS = 16.0
CODEL_QUEUE_CAPACITY = 10_000  # practically unbounded, as CoDel bounds the waiting time and not the length


class ConcurrencyLimit(Protocol):
    """A limit on the concurrent runs and on the queue in front of them; times are ms."""

    def max_concurrency(self) -> int:
        """Return the number of concurrent runs."""

    def queue_capacity(self) -> int:
        """Return the capacity of the queue."""

    def run_ended(self, now: float, duration_ms: float, running: int) -> None:
        """Record the end of one of ``running`` runs."""

    def drops_head(self, now: float, queued_ms: float, waiting: int) -> bool:
        """Return whether to reject the head of ``waiting`` requests, which has waited ``queued_ms``."""


class FixedLimit:
    """A fixed number of workers with a bounded queue."""

    def __init__(self, cores: int, objective_ms: float) -> None:
        self._workers = max(1, round(cores * WORKERS_PER_CORE))

    def max_concurrency(self) -> int:
        """Return the number of workers."""
        return self._workers

    def queue_capacity(self) -> int:
        """Return the capacity of the queue."""
        return round(self._workers * QUEUE_CAPACITY_PER_WORKER)

    def run_ended(self, now: float, duration_ms: float, running: int) -> None:
        """Do nothing, since the size of the pool is fixed."""

    def drops_head(self, now: float, queued_ms: float, waiting: int) -> bool:
        """Return False, since requests wait until their deadline."""
        return False


class GradientLimit(FixedLimit):
    """Gradient2: ratio of long-term to current run time, with the square root of the limit as headroom."""

    def __init__(self, cores: int, objective_ms: float) -> None:
        super().__init__(cores, objective_ms)
        self.current_limit = float(self._workers)
        self._min_limit = float(cores)
        self.max_limit = MAX_RUNS_PER_CORE * cores
        self._long_term_ms = 0.0
        self._runs = 0

    def max_concurrency(self) -> int:
        """Return the current limit."""
        return int(self.current_limit)

    def queue_capacity(self) -> int:
        """Return the capacity of the queue, in proportion to the limit."""
        return round(self.current_limit * QUEUE_CAPACITY_PER_WORKER)

    def run_ended(self, now: float, duration_ms: float, running: int) -> None:
        """Adapt the limit to the duration of a run."""
        if duration_ms <= 0.0:
            return
        self._runs += 1
        self._long_term_ms += (duration_ms - self._long_term_ms) / min(self._runs, LONG_WINDOW_RUNS)
        if self._long_term_ms / duration_ms > DRIFT_RATIO:
            self._long_term_ms *= DRIFT_DECAY  # keeps an overload from raising the mean for minutes
        if running < self.current_limit / 2:
            return  # too few runs to be bounded by the limit, so the run time says nothing about it
        gradient = max(MIN_GRADIENT, min(1.0, RUN_TIME_TOLERANCE * self._long_term_ms / duration_ms))
        target = self.current_limit * gradient + math.sqrt(self.current_limit)
        target = self.current_limit * (1.0 - LIMIT_SMOOTHING) + target * LIMIT_SMOOTHING
        self.current_limit = max(self._min_limit, min(self.max_limit, target))


class CoDelLimit(FixedLimit):
    """A pool whose queue drops requests at its head while all heads have waited longer than the target."""

    def __init__(self, cores: int, objective_ms: float) -> None:
        super().__init__(cores, objective_ms)
        self._interval_ms = objective_ms * CODEL_INTERVAL_FRACTION
        self._target_ms = self._interval_ms * CODEL_TARGET_FRACTION
        # The first_above_time of RFC 8289: the time at which the wait will have been above the target for an
        # interval; 0 while the wait is below the target.
        self._first_above_time = 0.0
        self._next_drop = 0.0
        self._drops = 0
        self.is_dropping = False

    def queue_capacity(self) -> int:
        """Return a capacity that is never reached, since the waiting time bounds the queue."""
        return CODEL_QUEUE_CAPACITY

    def drops_head(self, now: float, queued_ms: float, waiting: int) -> bool:
        """Return whether to reject the head of the queue."""
        if queued_ms < self._target_ms or waiting <= 1:
            self._first_above_time = 0.0
            self.is_dropping = False
            return False
        if not self._first_above_time:
            self._first_above_time = now + self._interval_ms
        if self.is_dropping:
            if now < self._next_drop:
                return False
            self._drops += 1
            self._next_drop += self._interval_ms / math.sqrt(self._drops)
            return True
        if now < self._first_above_time:
            return False
        recent = now - self._next_drop < CODEL_MEMORY_INTERVALS * self._interval_ms
        self.is_dropping = True
        self._drops = max(1, self._drops - 2) if recent and self._drops > 2 else 1
        self._next_drop = now + self._interval_ms / math.sqrt(self._drops)
        return True


# Keys are the policy names that experiments and the launcher accept.
LIMITS: dict[str, type[FixedLimit]] = {"pool": FixedLimit, "gradient": GradientLimit, "codel": CoDelLimit}
