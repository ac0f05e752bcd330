"""Weighted round robin, for callers that know only the weights of endpoints.

Pure. Random choices by weight spread attempts unevenly over short times. Here an endpoint is chosen at even
intervals of virtual time, inversely proportional to its weight (earliest deadline first; smooth weighted
round robin). The caller uses its subset of the ring (``subsetting.subset_by_weight``): few callers share an
endpoint, so the attempts that a caller spaces evenly also arrive evenly.

The virtual time at which an endpoint is first due is random, since callers that start together would
otherwise all start with the same endpoints. An endpoint that was excluded does not catch up on attempts that
it missed, since it would get all of them at once.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from spindlerelay.routing.load_balancer import CallerPosition
from spindlerelay.routing.subsetting import subset_by_weight


class WeightedRoundRobin:
    """The round robin of one caller.

    ``rng`` must have a different seed for each caller. Without a position, the caller uses all endpoints.
    With one, ``subset`` maps the caller's endpoints to the part of each weight that is assigned to the
    caller.
    """

    def __init__(self, rng: random.Random, position: CallerPosition | None = None) -> None:
        self.weights: dict[str, float] = {}
        self.subset: dict[str, float] = {}
        self._random = rng
        self._position = position
        # Virtual times; the unit is the interval between two choices of an endpoint with weight 1.
        self._due_times: dict[str, float] = {}
        self._virtual_time = 0.0

    def update_endpoints(self, weights: Mapping[str, float]) -> None:
        """Replace the endpoint list; endpoints that are still listed keep the rest of their interval."""
        previous = self.subset
        self.weights = {name: max(0.0, weight) for name, weight in weights.items()}
        self.subset = subset_by_weight(self.weights, *self._position) if self._position else self.weights
        due_times: dict[str, float] = {}
        for name, weight in self.subset.items():
            if weight <= 0.0:
                continue
            if previous.get(name, 0.0) > 0.0:
                remaining = max(0.0, self._due_times[name] - self._virtual_time) * previous[name]
            else:
                remaining = self._random.random()
            due_times[name] = self._virtual_time + remaining / weight
        self._due_times = due_times

    def choose(self, tried: Collection[str] = (), excluded: Collection[str] = ()) -> str | None:
        """Return the endpoint for an attempt, or None if all endpoints were tried or are excluded.

        If the subset has no endpoint left, the choice among all endpoints is random by weight.
        """
        candidates = [name for name in self._due_times if name not in tried and name not in excluded]
        if candidates:
            name = min(candidates, key=self._due_times.__getitem__)
            # An endpoint that was excluded may be due in the past: it is chosen once now, and then again at
            # the usual interval.
            self._virtual_time = max(self._virtual_time, self._due_times[name])
            self._due_times[name] = self._virtual_time + 1.0 / self.subset[name]
            return name
        untried_weights = {
            name: weight
            for name, weight in self.weights.items()
            if name not in tried and name not in excluded
        }
        return draw_by_weight(self._random, untried_weights) if untried_weights else None


def draw_by_weight(rng: random.Random, weights: Mapping[str, float]) -> str:
    """Return a random name by weight, or with equal probabilities if no weight is positive."""
    names = list(weights)
    values = list(weights.values())
    return rng.choices(names, values if sum(values) > 0.0 else None)[0]
