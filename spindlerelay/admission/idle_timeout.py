"""The idle timeout of connections from balancers.

Idle connections are closed early if callers return too rarely to reuse them, so that the connection table
does not fill. While most requests that are read end in a rejection, the timeout grows: a full connection
table then limits the number of requests that the server has to read.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.admission.load_report import OVERLOAD_DELAY_FRACTION, TrafficWindow

# The shortest idle timeout is this fraction of the shortest latency objective.
MIN_TIMEOUT_FRACTION = 0.1
# Each update changes the timeout by this factor, which moves it from one bound to the other in about 4 s.
TIMEOUT_STEP_FACTOR = 1.3
# Above this fraction of rejected requests, most of the work of reading requests is wasted.
REJECTED_FRACTION = 0.75
# Connections are closed early if the mean time between two requests of a caller exceeds this fraction of the
# callers' own idle timeout.
REUSE_INTERVAL_FRACTION = 0.5


class IdleTimeout:
    """Computes how long an unused connection stays open."""

    def __init__(self, settings: api.Settings, shortest_objective_ms: float, window_ms: float) -> None:
        self._settings = settings
        self._window_ms = window_ms
        self._max_ms = settings.caller_idle_timeout_ms
        self._min_ms = MIN_TIMEOUT_FRACTION * shortest_objective_ms
        self._timeout_ms = self._min_ms
        self.published_ms = settings.caller_idle_timeout_ms

    def update(self, traffic: TrafficWindow) -> bool:
        """Move the timeout by one step and return whether ``published_ms`` has changed."""
        reads = max(self._settings.cores * self._window_ms / 1000.0, traffic.reads)
        rarely_reused = (
            self._settings.caller_count * self._window_ms > reads * self._max_ms * REUSE_INTERVAL_FRACTION
        )
        reading_wasted = traffic.shed > REJECTED_FRACTION * reads or traffic.is_delayed(
            OVERLOAD_DELAY_FRACTION
        )
        factor = TIMEOUT_STEP_FACTOR if reading_wasted else 1.0 / TIMEOUT_STEP_FACTOR
        timeout_ms = self._timeout_ms * factor
        self._timeout_ms = min(self._max_ms, max(self._min_ms, timeout_ms)) if rarely_reused else self._max_ms
        if self.published_ms == self._timeout_ms or not self._max_ms:
            return False
        self.published_ms = self._timeout_ms
        return True
