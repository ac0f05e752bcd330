"""Self-ejection: a server that has become slow removes itself from the endpoint list, at random.

Rejections and the load report reach only callers whose requests are read. A server that is too slow to read
its requests therefore fails its health check instead.
"""

from __future__ import annotations

import random

from spindlerelay import api
from spindlerelay.admission.load_report import READ_DELAY_FRACTION, TrafficWindow

# Time until the next decision after a decision that found the server slow. Endpoint lists reflect a change of
# health within seconds.
EJECTION_MS = 5000.0
# A server is slow if the number of requests that it has read in the window is below this fraction of its
# maximum so far. A burst of requests raises the number of reads, so that it is not taken for a slow server.
SLOW_READ_FRACTION = 0.6
# Probability with which a slow server of a large fleet ejects itself at one decision. If all servers are
# slow, half of them stay in the endpoint list.
EJECTION_PROBABILITY = 0.5
# Divided by the number of servers and subtracted from the probability: in a fleet of up to three servers, no
# server ejects itself.
FLEET_CORRECTION = 1.5


class SelfEjection:
    """Decides whether this server removes itself from the endpoint list."""

    def __init__(self, settings: api.Settings, random_generator: random.Random) -> None:
        self._random = random_generator
        self._probability = EJECTION_PROBABILITY - FLEET_CORRECTION / settings.server_count
        self._max_reads = 0.0
        self._next_decision_ms = 0.0
        self.ejected = False

    def update(self, now_ms: float, traffic: TrafficWindow, is_draining: bool) -> bool:
        """Decide whether the server is ejected, and return whether ``ejected`` has changed.

        The decision stays for ``EJECTION_MS`` after the server was found slow, and while it drains.
        """
        self._max_reads = max(self._max_reads, traffic.reads)
        if now_ms < self._next_decision_ms or is_draining:
            return False
        reads_fell = traffic.reads < SLOW_READ_FRACTION * self._max_reads
        is_slow = reads_fell and traffic.is_delayed(READ_DELAY_FRACTION)
        ejected = is_slow and self._random.random() < self._probability
        self._next_decision_ms = now_ms + EJECTION_MS * is_slow
        changed = ejected != self.ejected
        self.ejected = ejected
        return changed
