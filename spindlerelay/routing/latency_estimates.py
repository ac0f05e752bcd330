"""A caller's estimate of one endpoint's latency, and the certainty of the estimate.

Pure: times are passed in, in ms. The cost of an endpoint is its peak-EWMA latency, as published with Finagle:
a rise in latency counts at once, a fall gradually. A failure never makes an endpoint look fast. As an
observation ages, the estimate moves from it to the mean of all endpoints, so that no endpoint looks best
because of stale observations alone (Mitzenmacher 2000; Dahlin 1999).
"""

from __future__ import annotations

import math

DECAY_MS = 10_000.0  # time constant of a falling cost
CERTAINTY_DECAY_MS = 8000.0  # time constant of the certainty of an observation
MIN_FAILURE_COST_MS = 2000.0  # greater than the shortest latency objective in use


class LatencyEstimate:
    """One caller's observations of one endpoint."""

    __slots__ = ("cost_ms", "last_response_ms", "in_flight", "consecutive_rejections", "not_before_ms")

    def __init__(self) -> None:
        self.cost_ms = 0.0
        self.last_response_ms = -math.inf
        self.in_flight = 0  # attempts of this caller in flight
        self.consecutive_rejections = 0
        self.not_before_ms = -math.inf  # no attempt is sent before this time

    def note_end(self, now_ms: float, duration_ms: float, failed: bool) -> None:
        """Note the end of an attempt that was not rejected."""
        sample_ms = max(duration_ms, MIN_FAILURE_COST_MS) if failed else max(0.0, duration_ms)
        if sample_ms >= self.cost_ms or self.last_response_ms == -math.inf:
            self.cost_ms = sample_ms
        else:
            retention = math.exp(-max(0.0, now_ms - self.last_response_ms) / DECAY_MS)
            self.cost_ms = self.cost_ms * retention + sample_ms * (1.0 - retention)
        self.last_response_ms = max(self.last_response_ms, now_ms)

    def certainty(self, now_ms: float) -> float:
        """Return the certainty, from 1 for a new observation falling to 0; 1 if the clock was set back."""
        if self.last_response_ms == -math.inf:
            return 0.0
        return min(1.0, math.exp(-(now_ms - self.last_response_ms) / CERTAINTY_DECAY_MS))

    def expected_cost_ms(self, now_ms: float, mean_cost_ms: float) -> float:
        """Return the mean of cost and ``mean_cost_ms`` (of all endpoints), weighted by certainty."""
        certainty = self.certainty(now_ms)
        return certainty * self.cost_ms + (1.0 - certainty) * mean_cost_ms
