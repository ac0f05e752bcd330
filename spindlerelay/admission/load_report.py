"""The load report for callers: the published load value, and the retry advice of rejections.

This module owns the decaying window of requests that were read and shed, and the published value. It depends
on the settings only.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.admission.concurrency_limit import BUSY_CORES_FRACTION

# The discouraged fraction rises by this multiple of the rejected fraction per second while the cores are
# busy.
RISE_PER_S = 1.0
# The discouraged fraction falls more slowly than it rises, so that the traffic of callers does not oscillate.
FALL_PER_S = 0.25
# Some traffic must still arrive, so that the server notices its recovery.
MAX_DISCOURAGED_FRACTION = 0.9
# A smaller change of the load value is not published. For values above 1 this is a fraction of the value.
MIN_PUBLISHED_CHANGE = 0.02
CREDITS_PER_RUN = 4.0
# Above this read delay, as a fraction of the shortest latency objective, fewer runs are started so that
# reading requests gets more core time.
READ_DELAY_FRACTION = 0.1
# Above this read delay, as a fraction of the shortest latency objective, reading alone overloads the server
# and rejections ask callers not to retry.
OVERLOAD_DELAY_FRACTION = 0.1


class TrafficWindow:
    """Number of requests that were read and shed, in a decaying window, and the latest read delay.

    The read delay is the time between the arrival of a request and its reading.
    """

    def __init__(self, shortest_objective_ms: float) -> None:
        self._shortest_objective_ms = shortest_objective_ms
        self.read_delay_ms = 0.0
        self.reads = 0.0
        self.shed = 0.0

    def decay(self, factor: float) -> None:
        """Multiply all values of the window by ``factor``."""
        self.read_delay_ms *= factor
        self.reads *= factor
        self.shed *= factor

    def is_delayed(self, fraction: float) -> bool:
        """Return whether the read delay exceeds ``fraction`` of the shortest latency objective."""
        return self.read_delay_ms > fraction * self._shortest_objective_ms

    def run_slots(self, limit: float, cores: int) -> int:
        """Return how many runs may use the cores: ``limit``, or fewer while requests are read late.

        A late read delays every request that is still unread behind it.
        """
        if self.is_delayed(READ_DELAY_FRACTION):
            delay_ratio = self.read_delay_ms / self._shortest_objective_ms
            limit = min(limit, cores * max(0.5, 1.0 + READ_DELAY_FRACTION - delay_ratio))
        return int(limit)

    def rejected_fraction(self) -> float:
        """Return the fraction of the traffic that is shed, or will be shed because it is read too late."""
        unread_fraction = min(1.0, self.read_delay_ms / self._shortest_objective_ms)
        return max(unread_fraction, self.shed / max(1.0, self.reads))


class LoadReport:
    """Computes the fraction of traffic that callers should send elsewhere, and the published load value."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self.discouraged_fraction = 0.0
        self._published = -1.0

    def update(
        self,
        rejected_fraction: float,
        elapsed_s: float,
        cpu_utilization: float,
        credit: float,
        discourage_all: bool,
    ) -> float | None:
        """Update the discouraged fraction for the last ``elapsed_s`` seconds.

        Returns:
            The load value to publish, or None if there is no load signal or the value has hardly changed.
        """
        rate_per_s = RISE_PER_S * rejected_fraction if cpu_utilization > BUSY_CORES_FRACTION else -FALL_PER_S
        discouraged = max(0.0, self.discouraged_fraction + elapsed_s * rate_per_s)
        self.discouraged_fraction = min(MAX_DISCOURAGED_FRACTION, discouraged)
        value = 1.0 if discourage_all else self.discouraged_fraction
        signal = self._settings.load_signal
        if signal is api.LoadSignal.NONE:
            return None
        if signal is not api.LoadSignal.LEVEL:
            value = (1.0 - value) * (1.0 if signal is api.LoadSignal.WEIGHT else credit)
        if abs(value - self._published) > MIN_PUBLISHED_CHANGE * max(1.0, value):
            self._published = value
            return value
        return None

    def credit(self, limit: float, open_requests: int) -> float:
        """Return how many requests one caller may have open at this server."""
        callers = self._settings.caller_count if self.discouraged_fraction else 1
        return CREDITS_PER_RUN * limit / min(callers, open_requests + 1)

    def is_retry_useless(self, traffic: TrafficWindow, warmed_up: bool) -> bool:
        """Return whether a retry at another server would be useless.

        A retry is useless if reading requests alone overloads the server. It is also useless once a warmed-up
        server discourages as much traffic as it may: such a lasting overload is assumed to affect all
        servers. Rejections by a server that still warms up say nothing about the other servers.
        """
        return traffic.is_delayed(OVERLOAD_DELAY_FRACTION) or (
            warmed_up and self.discouraged_fraction >= MAX_DISCOURAGED_FRACTION
        )
