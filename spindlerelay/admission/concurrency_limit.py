"""The limit of concurrent runs: additive increase and multiplicative decrease (AIMD) below a ceiling.

The ceiling lies below the number of concurrent runs that the server survives. This module owns the limit and
the warm-up, which lowers the ceiling. It depends on the settings only.
"""

from __future__ import annotations

import math

from spindlerelay import api

DECREASE_FACTOR = 0.8
# Above this number of runnable runs per core the limit steps down. It is above 1 so that another run can use
# a core while one waits for a short time.
MAX_RUNNABLE_PER_CORE = 1.5
# Above this CPU utilization a late completion counts as caused by load.
BUSY_CORES_FRACTION = 0.9
# The ceiling is this fraction of the runs that the server survives: all runs that wait for dependency calls
# may return to the cores at once.
CEILING_FRACTION = 0.9


class ConcurrencyLimit:
    """Limits how many runs may use the cores at once."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self._warm_up_start_ms = 0.0
        self._last_decrease_ms = 0.0
        self.value = float(settings.cores)

    def start(self, now_ms: float) -> None:
        """Start the warm-up at ``now_ms``."""
        self._warm_up_start_ms = now_ms

    def warmed_up(self, now_ms: float) -> bool:
        """Return whether the warm-up is over, so that the server runs at full speed."""
        settings = self._settings
        return not settings.cold_start or now_ms - self._warm_up_start_ms > settings.warm_up_ms

    def ceiling(self, now_ms: float) -> float:
        """Return how many runs may be open in total, including runs that wait for dependency calls."""
        settings = self._settings
        if not settings.max_concurrency_per_core:
            return math.inf
        progress = 1.0
        if settings.cold_start:
            progress = (now_ms - self._warm_up_start_ms) / max(1.0, settings.warm_up_ms)
        cold_speed = settings.cold_speed_fraction
        speed = cold_speed + (1.0 - cold_speed) * min(1.0, progress)
        max_runs_per_core = 1.0 + (settings.max_concurrency_per_core - 1.0) * speed
        return max(1.0, max_runs_per_core * settings.cores) * CEILING_FRACTION

    def adjust(self, now_ms: float, runnable: float, queued: int, running: int) -> None:
        """Raise the limit by 1 if it keeps cores idle, or lower it by 1 if too many runs share the cores."""
        cores = self._settings.cores
        if runnable < cores and queued and running >= int(self.value):
            self.value += 1.0
        # Reading requests alone makes threads runnable, so the number of running requests bounds the gauge.
        elif min(runnable, running) > MAX_RUNNABLE_PER_CORE * cores:
            self.value = max(float(cores), self.value - 1.0)
        self.value = min(self.value, self.ceiling(now_ms))

    def decrease(self, now_ms: float, interval_ms: float, cpu_utilization: float) -> bool:
        """Decrease the limit after a late completion and return whether it was decreased.

        The limit stays if the cores are not busy or if the last decrease is at most ``interval_ms`` ago.
        """
        is_busy = cpu_utilization > BUSY_CORES_FRACTION
        if not is_busy or now_ms - self._last_decrease_ms <= interval_ms:
            return False
        self.value = max(float(self._settings.cores), self.value * DECREASE_FACTOR)
        self._last_decrease_ms = now_ms
        return True
