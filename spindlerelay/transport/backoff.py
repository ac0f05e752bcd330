"""Exponential backoff with full jitter. Uses no clock or timer; the caller passes the random generator."""

from __future__ import annotations

import random

GROWTH_FACTOR = 2.0


class Backoff:
    """Delays whose upper bound doubles with each attempt and is reset after a success.

    Each delay is drawn uniformly between zero and the bound (full jitter), so that many clients that lost the
    same server at once do not reconnect at the same time.
    """

    def __init__(self, initial_bound_ms: float, max_bound_ms: float, rng: random.Random) -> None:
        self._initial_bound_ms = initial_bound_ms
        self._max_bound_ms = max_bound_ms
        self._next_bound_ms = initial_bound_ms
        self._rng = rng

    def next_delay_ms(self) -> float:
        """Return the delay before the next attempt, in ms, and double the bound."""
        bound_ms = self._next_bound_ms
        self._next_bound_ms = min(self._max_bound_ms, bound_ms * GROWTH_FACTOR)
        return self._rng.uniform(0.0, bound_ms)

    def reset(self) -> None:
        """Reset the bound to its initial value, after an attempt that succeeded."""
        self._next_bound_ms = self._initial_bound_ms
