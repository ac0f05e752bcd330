"""Coarse timers: one bucket per tick, and a heap of the ticks that have a bucket.

This module reads no clock: callers pass the time, in ms.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

TICK_MS = 5.0  # the resolution of the simulator's clock; all time limits are far longer


def _do_nothing() -> None:
    """Do nothing; replaces the action of a cancelled timer."""


class Timer:
    """A scheduled action. ``cancel`` may be called at any time, also after the timer expired."""

    __slots__ = ("action", "bucket")

    def __init__(self, action: Callable[[], None], bucket: dict[Timer, None]) -> None:
        self.action = action
        self.bucket = bucket

    def cancel(self) -> None:
        """Prevent any further call of the action, even later in the current turn."""
        self.bucket.pop(self, None)
        self.action = _do_nothing  # ``pop_due`` may already have returned the timer


class TimerWheel:
    """Timers that are due never early and at most one tick late, by the time that callers pass."""

    def __init__(self, tick_ms: float = TICK_MS) -> None:
        self.tick_ms = tick_ms
        self._buckets: dict[int, dict[Timer, None]] = {}
        self._ticks: list[int] = []  # heap of the ticks in ``_buckets``

    def schedule(self, when_ms: float, action: Callable[[], None]) -> Timer:
        """Call ``action`` at the first tick at or after ``when_ms``, and return its timer."""
        tick = math.ceil(when_ms / self.tick_ms)
        bucket = self._buckets.get(tick)
        if bucket is None:
            bucket = self._buckets[tick] = {}
            heapq.heappush(self._ticks, tick)
        timer = Timer(action, bucket)
        bucket[timer] = None
        return timer

    def next_due_ms(self) -> float | None:
        """Return the time in ms of the next timer that is not cancelled, or None if there is none."""
        while self._ticks:
            if self._buckets[self._ticks[0]]:
                return self._ticks[0] * self.tick_ms
            del self._buckets[heapq.heappop(self._ticks)]
        return None

    def pop_due(self, now_ms: float) -> list[Timer]:
        """Remove and return the due timers, in the order of their ticks."""
        expired: list[Timer] = []
        while self._ticks and self._ticks[0] * self.tick_ms <= now_ms:
            bucket = self._buckets.pop(heapq.heappop(self._ticks))
            expired.extend(bucket)
            bucket.clear()
        return expired
