"""Controller of the traffic weight that a node requests, based on its own load and on other nodes' reports.

The module does no I/O: a step takes a time in ms on a monotonic clock. The weight is the product of two
factors. *Speed* is the node's runs per second relative to the group's mean. Load does not change the speed,
so all nodes can adapt to it at once without oscillation. *Trim* lowers the weight of nodes that are busier
than the mean and raises the weight of less busy nodes, slowly and within bounds. Hundreds of nodes adjust
their trim at the same time, so the controller is damped:

1. A step is made every ``STEP_INTERVAL_MS``, which is longer than a change takes to appear in the endpoint
   list. The phase of the steps is random.
2. A step changes the trim by ``TRIM_GAIN`` of the difference in utilization, and leaves it unchanged while
   the difference is within ``UTILIZATION_DEAD_BAND``.
3. A weight is published only if it differs from the published one by ``MIN_PUBLISHED_CHANGE``, and at least
   ``MIN_PUBLICATION_INTERVAL_MS`` after the previous publication.

After a sudden change in load the trim therefore moves in one direction, and then stays within the range that
the dead band and one step allow: the weight oscillates by at most the fraction ``MAX_OSCILLATION``.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from spindlerelay.membership.messages import NodeReport

STEP_INTERVAL_MS = 1000.0
TRIM_GAIN = 0.2
UTILIZATION_DEAD_BAND = 0.06
MIN_TRIM = 0.6
MAX_TRIM = 1.4
MIN_WEIGHT = 0.25
MAX_WEIGHT = 4.0
MAX_OSCILLATION = 0.12  # as a fraction of the weight
MIN_PUBLISHED_CHANGE = 0.08  # as a fraction of the published weight
MIN_PUBLICATION_INTERVAL_MS = 4000.0
MIN_REPORTS = 3  # with fewer reports of other nodes the group's mean is not meaningful
REPORT_DECAY_MS = 8000.0  # a report's influence on the mean falls to 1/e at this age
UTILIZATION_WINDOW_MS = 3000.0
SPEED_WINDOW_MS = 20_000.0  # long because durations of runs vary tenfold and few runs complete in a second
IDLE_UTILIZATION = 0.3  # the trim is not changed while the group's mean utilization is below this
MAX_LOAD_INCREASE = 0.3


class LoadWeight(NamedTuple):
    """The share of traffic that a node requests.

    Attributes:
        weight: requested traffic relative to an average node, whose weight is 1.
        load_increase: amount added to the published load, to divert this fraction of the traffic at once.
    """

    weight: float
    load_increase: float


class LoadWeightController:
    """Computes the weight that one node requests; ``published`` is the latest result."""

    def __init__(self, rng: random.Random) -> None:
        self.published = LoadWeight(1.0, 0.0)
        self.weight_changes = 0
        self.trim = 1.0
        self.cpu_utilization = 0.0
        self.runs_per_second = 0.0
        self._phase_ms = rng.uniform(0.0, STEP_INTERVAL_MS)
        self._observed_ms = -math.inf
        self._next_step_ms = -math.inf
        self._speed_samples = 0
        self._published_ms = -math.inf

    def observe(self, now: float, cpu_utilization: float, runs_per_second: float) -> None:
        """Add a sample of the node's load; ``runs_per_second`` is 0 while unknown, as during the warm-up."""
        elapsed_ms = now - self._observed_ms if self._observed_ms > -math.inf else math.inf
        self._observed_ms = now
        utilization_smoothing = _smoothing_factor(elapsed_ms, UTILIZATION_WINDOW_MS)
        self.cpu_utilization += (cpu_utilization - self.cpu_utilization) * utilization_smoothing
        if runs_per_second > 0.0:
            self._speed_samples += 1
            # The first samples have equal weights, so that the very first does not dominate for long.
            speed_smoothing = max(_smoothing_factor(elapsed_ms, SPEED_WINDOW_MS), 1.0 / self._speed_samples)
            self.runs_per_second += (runs_per_second - self.runs_per_second) * speed_smoothing

    def step(self, now: float, aged_reports: Iterable[tuple[NodeReport, float]]) -> LoadWeight:
        """Return the weight and load increase to publish.

        Args:
            now: time in ms on a monotonic clock.
            aged_reports: reports of the other nodes, paired with their ages in ms.
        """
        if self._next_step_ms == -math.inf:
            self._next_step_ms = now + STEP_INTERVAL_MS + self._phase_ms
        if now < self._next_step_ms:
            return self.published
        self._next_step_ms = now + STEP_INTERVAL_MS
        reports = [
            (report, math.exp(-max(0.0, age_ms) / REPORT_DECAY_MS))
            for report, age_ms in aged_reports
            if report.runs_per_second > 0.0
        ]
        if len(reports) < MIN_REPORTS or not self.runs_per_second:
            return self.published
        total = sum(influence for _, influence in reports) + 1.0
        mean_speed = (
            sum(report.runs_per_second * influence for report, influence in reports) + self.runs_per_second
        ) / total
        mean_utilization = (
            sum(report.cpu_utilization * influence for report, influence in reports) + self.cpu_utilization
        ) / total
        difference = mean_utilization - self.cpu_utilization
        if abs(difference) > UTILIZATION_DEAD_BAND and mean_utilization > IDLE_UTILIZATION:
            self.trim = min(MAX_TRIM, max(MIN_TRIM, self.trim * (1.0 + TRIM_GAIN * difference)))
        weight = self.runs_per_second / mean_speed * self.trim
        self._publish(now, min(MAX_WEIGHT, max(MIN_WEIGHT, weight)))
        return self.published

    def _publish(self, now: float, weight: float) -> None:
        changed = abs(weight / self.published.weight - 1.0) > MIN_PUBLISHED_CHANGE
        if changed and now >= self._published_ms + MIN_PUBLICATION_INTERVAL_MS:
            self.published = LoadWeight(round(weight, 2), self._load_increase())
            self._published_ms = now
            self.weight_changes += 1
        else:
            self.published = self.published._replace(load_increase=self._load_increase())

    def _load_increase(self) -> float:
        return round(min(MAX_LOAD_INCREASE, max(0.0, 1.0 - self.trim)), 2)


def _smoothing_factor(elapsed_ms: float, window_ms: float) -> float:
    return 1.0 - math.exp(-max(0.0, elapsed_ms) / window_ms)
