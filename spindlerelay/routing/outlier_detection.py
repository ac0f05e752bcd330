"""Outlier detection: temporarily ejects endpoints that fail, up to a fraction of all endpoints.

Pure: times are passed in, in ms.

| state | becomes | when |
| --- | --- | --- |
| healthy | ejected | enough consecutive attempts fail, and few enough endpoints are ejected |
| ejected | half-open | the duration of the ejection is over |
| half-open | healthy | the only attempt allowed succeeds; slow start follows |
| half-open | ejected | the only attempt allowed fails: ejected for twice as long, up to a maximum |

At the maximum of ejected endpoints no more are ejected, since the remaining ones could not serve all traffic.
"""

from __future__ import annotations

import random
from enum import Enum

FAILURES_TO_EJECT = 4  # consecutive failures; one broken connection fails several attempts at once
INITIAL_EJECTION_MS = 2000.0
MAX_EJECTION_MS = 30_000.0
MIN_JITTER_FACTOR = 0.5  # lowest random factor on the duration of an ejection; the highest is 1
MAX_EJECTED_FRACTION = 0.25  # fraction of all endpoints


class EndpointState(Enum):
    """The state of an endpoint, which decides whether it gets attempts."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half-open"


# Globals, since in Python 3.11 the lookup of an enum member on its class takes ten times as long as that of
# a global, and each choice makes lookups for every endpoint.
HEALTHY = EndpointState.HEALTHY
EJECTED = EndpointState.EJECTED
HALF_OPEN = EndpointState.HALF_OPEN


class OutlierDetector:
    """Tracks the failures and ejections of a list of endpoints, by name."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._consecutive_failures: dict[str, int] = {}
        self._ejected_until_ms: dict[str, float] = {}
        self._ejection_ms: dict[str, float] = {}  # duration of the last ejection, before jitter
        self._probing: set[str] = set()  # half-open endpoints with an attempt in flight

    def retain(self, names: set[str]) -> None:
        """Remove all endpoints but those in ``names``."""
        self._consecutive_failures = {
            name: count for name, count in self._consecutive_failures.items() if name in names
        }
        self._ejected_until_ms = {
            name: until_ms for name, until_ms in self._ejected_until_ms.items() if name in names
        }
        self._ejection_ms = {
            name: duration_ms for name, duration_ms in self._ejection_ms.items() if name in names
        }
        self._probing &= names

    def state(self, now_ms: float, name: str) -> EndpointState:
        """Return the state of an endpoint."""
        until_ms = self._ejected_until_ms.get(name)
        if until_ms is None:
            return HEALTHY
        return EJECTED if now_ms < until_ms else HALF_OPEN

    def allows_attempt(self, now_ms: float, name: str) -> bool:
        """Return whether an attempt may be sent; a half-open endpoint gets one attempt at a time."""
        state = self.state(now_ms, name)
        return state is HEALTHY or (state is HALF_OPEN and name not in self._probing)

    def note_sent(self, now_ms: float, name: str) -> None:
        """Note that an attempt is sent to an endpoint."""
        if self.state(now_ms, name) is HALF_OPEN:
            self._probing.add(name)

    def note_end(self, now_ms: float, name: str, failed: bool, endpoint_count: int) -> bool:
        """Note the end of an attempt and return whether the attempt has ended an ejection."""
        was_probe = name in self._probing
        self._probing.discard(name)
        if not failed:
            self._consecutive_failures.pop(name, None)
            restored = self._ejected_until_ms.pop(name, None) is not None
            if restored:
                self._ejection_ms.pop(name, None)
            return restored
        self._consecutive_failures[name] = self._consecutive_failures.get(name, 0) + 1
        if name in self._ejected_until_ms:
            if was_probe:
                self._eject(now_ms, name)
        elif (
            self._consecutive_failures[name] >= FAILURES_TO_EJECT
            and len(self._ejected_until_ms) + 1 <= MAX_EJECTED_FRACTION * endpoint_count
        ):
            self._eject(now_ms, name)
        return False

    def _eject(self, now_ms: float, name: str) -> None:
        last_duration_ms = self._ejection_ms.get(name, 0.0)
        duration_ms = min(MAX_EJECTION_MS, 2.0 * last_duration_ms or INITIAL_EJECTION_MS)
        self._ejection_ms[name] = duration_ms
        self._ejected_until_ms[name] = now_ms + duration_ms * self._random.uniform(MIN_JITTER_FACTOR, 1.0)
