"""Load balancing of one caller: the choice of an endpoint for each attempt.

Pure: times in ms, outcomes of attempts and endpoint lists are passed in. For each candidate, a random number
with a standard exponential distribution is added to the number of attempts in flight; the sum is multiplied
by the endpoint's expected cost and divided by its weight. The candidate with the lowest product is chosen.
With no attempts in flight, the probability of an endpoint is proportional to its weight divided by its cost;
otherwise endpoints with fewer attempts are preferred. The choice is random because observations are stale:
callers with the same observations would otherwise all choose the same endpoint (Mitzenmacher 1996, 2000). For
the same reason no cost counts as less than ``MIN_RELATIVE_COST`` of the mean.

A caller with a position uses its subset of the ring (``subsetting.subset_by_weight``). Few callers share an
endpoint then, so the caller's attempts in flight are most of the endpoint's load. The caller uses endpoints
outside its subset if no endpoint in the subset accepts an attempt. An endpoint that sent Retry-After gets no
attempts until that time is over, an endpoint that fails is temporarily ejected, and the weight of a new
endpoint grows slowly (slow start), unless most endpoints are new.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

from spindlerelay.routing.latency_estimates import LatencyEstimate
from spindlerelay.routing.outlier_detection import OutlierDetector
from spindlerelay.routing.subsetting import subset_by_weight

SLOW_START_MS = 10_000.0
INITIAL_SLOW_START_FACTOR = 0.1
MAX_SLOW_START_FRACTION = 0.5  # if a larger part of the candidates is new, no candidate starts slowly
EMPTY_LIST_GRACE_MS = 30_000.0  # an empty endpoint list is ignored for this time
MIN_RELATIVE_COST = 0.4  # relative to the mean; less would attract all callers with one observation
INITIAL_REJECTION_BACKOFF_MS = 50.0  # used without Retry-After; doubled by each consecutive rejection
MAX_REJECTION_BACKOFF_MS = 1000.0
MAX_COUNTED_REJECTIONS = 8
MEAN_LATENCY_RETENTION = 0.95  # part of the old mean that is kept at each response
PANIC_THRESHOLD = 0.7  # fraction of healthy endpoints below which health is ignored


class AttemptEnd(StrEnum):
    """How an attempt ended; callers may pass the string value instead of the member."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class CallerPosition(NamedTuple):
    """The position of a caller among all callers.

    Attributes:
        number: number of the caller, from 0 to ``callers - 1``.
        callers: number of callers.
        subset_size: number of endpoints that the caller uses.
    """

    number: int
    callers: int
    subset_size: int = 10


def weights_by_health(weights: Mapping[str, float], unhealthy: Collection[str]) -> dict[str, float]:
    """Return the weights with 0 for unhealthy endpoints.

    Below the panic threshold unhealthy endpoints keep their weights, since the healthy ones could not serve
    all traffic.
    """
    health_applies = len(weights) - len(unhealthy) >= PANIC_THRESHOLD * len(weights)
    return {name: 0.0 if health_applies and name in unhealthy else weight for name, weight in weights.items()}


class LoadBalancer:
    """The load balancer of one caller.

    ``rng`` must have a different seed for each caller. Without a position, the caller uses all endpoints.
    With one, ``subset`` maps the caller's endpoints to the part of each weight that is assigned to the
    caller.
    """

    def __init__(self, rng: random.Random, position: CallerPosition | None = None) -> None:
        self.weights: dict[str, float] = {}
        self.subset: dict[str, float] = {}
        self.estimates: dict[str, LatencyEstimate] = {}
        self.outliers = OutlierDetector(rng)
        self._random = rng
        self._position = position
        self._mean_latency_ms = 0.0  # mean duration of the served attempts at all endpoints
        # Endpoints of the first list have minus infinity and so skip slow start.
        self._listed_at_ms: dict[str, float] = {}
        self._empty_since_ms = math.inf

    def update_endpoints(self, now_ms: float, weights: Mapping[str, float]) -> None:
        """Replace the endpoint list; an empty list is ignored for ``EMPTY_LIST_GRACE_MS``.

        Observations of endpoints that are still listed are kept.
        """
        if not weights and self.weights:
            self._empty_since_ms = min(self._empty_since_ms, now_ms)
            if now_ms - self._empty_since_ms < EMPTY_LIST_GRACE_MS:
                return
        self._empty_since_ms = math.inf
        listed_at_ms = now_ms if self.weights else -math.inf
        for name in weights:
            if name not in self.weights:
                self._listed_at_ms[name] = listed_at_ms
        self.weights = {name: max(0.0, weight) for name, weight in weights.items()}
        self.subset = subset_by_weight(self.weights, *self._position) if self._position else self.weights
        for name in [name for name in self._listed_at_ms if name not in self.weights]:
            del self._listed_at_ms[name]
            self.estimates.pop(name, None)
        self.outliers.retain(set(self.weights))

    def choose(
        self, now_ms: float, tried: Collection[str] = (), excluded: Collection[str] = ()
    ) -> str | None:
        """Return the endpoint for an attempt, or None if no endpoint accepts one.

        Endpoints in ``tried`` (by earlier attempts of the request) and in ``excluded`` (for any other reason)
        are not chosen.
        """
        for weights in (self.subset, self.weights):
            candidates = [
                name
                for name in weights
                if name not in tried and name not in excluded and self._allows_attempt(now_ms, name)
            ]
            if candidates:
                return self._sample(now_ms, candidates, weights)
        return None

    def note_sent(self, now_ms: float, name: str) -> None:
        """Note that an attempt is sent to an endpoint."""
        self.estimates.setdefault(name, LatencyEstimate()).in_flight += 1
        self.outliers.note_sent(now_ms, name)

    def note_end(
        self, now_ms: float, name: str, duration_ms: float, end: str, retry_after_ms: float = 0.0
    ) -> None:
        """Note the end of an attempt, as a value of ``AttemptEnd``, and the Retry-After of a rejection."""
        estimate = self.estimates.get(name)
        if estimate is None or not estimate.in_flight:
            return  # the endpoint is no longer listed
        estimate.in_flight -= 1
        endpoint_count = len(self.weights)
        if end == AttemptEnd.REJECTED:
            self._note_rejection(now_ms, estimate, retry_after_ms)
            self.outliers.note_end(now_ms, name, False, endpoint_count)
            return
        failed = end == AttemptEnd.FAILED
        estimate.consecutive_rejections = 0
        estimate.note_end(now_ms, duration_ms, failed)
        if not failed:
            retention = MEAN_LATENCY_RETENTION if self._mean_latency_ms else 0.0
            self._mean_latency_ms = self._mean_latency_ms * retention + duration_ms * (1.0 - retention)
        restored = self.outliers.note_end(now_ms, name, failed, endpoint_count)
        if restored and name in self._listed_at_ms:
            self._listed_at_ms[name] = now_ms  # slow start

    def _note_rejection(self, now_ms: float, estimate: LatencyEstimate, retry_after_ms: float) -> None:
        max_backoff_ms = min(
            MAX_REJECTION_BACKOFF_MS, INITIAL_REJECTION_BACKOFF_MS * 2.0**estimate.consecutive_rejections
        )
        estimate.consecutive_rejections = min(estimate.consecutive_rejections + 1, MAX_COUNTED_REJECTIONS)
        backoff_ms = retry_after_ms if retry_after_ms > 0.0 else self._random.uniform(0.0, max_backoff_ms)
        estimate.not_before_ms = max(estimate.not_before_ms, now_ms + backoff_ms)
        estimate.last_response_ms = max(estimate.last_response_ms, now_ms)

    def _allows_attempt(self, now_ms: float, name: str) -> bool:
        estimate = self.estimates.get(name)
        backoff_elapsed = estimate is None or estimate.not_before_ms <= now_ms
        return backoff_elapsed and self.outliers.allows_attempt(now_ms, name)

    def _sample(self, now_ms: float, names: list[str], weights: Mapping[str, float]) -> str:
        factors = [self._slow_start_factor(now_ms, name) for name in names]
        if sum(factor < 1.0 for factor in factors) > MAX_SLOW_START_FRACTION * len(names):
            factors = [1.0] * len(names)
        # Without positive weights, all candidates have the same weight.
        has_weights = any(weights[name] > 0.0 for name in names)
        best = names[0]
        lowest_cost_ms = math.inf
        for name, factor in zip(names, factors, strict=True):
            weight = factor * weights[name] if has_weights else 1.0
            in_flight, cost_ms = self._expected_load(now_ms, name)
            if weight <= 0.0:
                continue
            sampled_cost_ms = (in_flight + self._random.expovariate(1.0)) * cost_ms / weight
            if sampled_cost_ms < lowest_cost_ms:
                best = name
                lowest_cost_ms = sampled_cost_ms
        return best

    def _slow_start_factor(self, now_ms: float, name: str) -> float:
        """Return the slow start factor on an endpoint's weight, which is 1 after slow start."""
        age_ms = now_ms - self._listed_at_ms[name]
        if age_ms >= SLOW_START_MS:
            return 1.0
        growth = (1.0 - INITIAL_SLOW_START_FACTOR) * max(0.0, age_ms) / SLOW_START_MS
        return INITIAL_SLOW_START_FACTOR + growth

    def _expected_load(self, now_ms: float, name: str) -> tuple[int, float]:
        """Return the attempts in flight and the cost of one attempt in ms, 1 before the first response."""
        mean_ms = self._mean_latency_ms or 1.0
        estimate = self.estimates.get(name)
        if estimate is None:
            return 0, mean_ms
        return estimate.in_flight, max(
            estimate.expected_cost_ms(now_ms, mean_ms), MIN_RELATIVE_COST * mean_ms
        )
