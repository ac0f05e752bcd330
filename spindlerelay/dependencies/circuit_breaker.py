"""The circuit breaker of one dependency: closed, open, half-open.

Pure: the caller passes the time in, in ms. Sources: Nygard, Release It!, 2007, for the states; Envoy's
outlier ejection for the growing waits.

| state | a call | success | failure | end of the wait |
| --- | --- | --- | --- | --- |
| closed | is sent | counted | counted; at the threshold: open | |
| open | is not sent | ignored | ignored | half-open |
| half-open | is sent as a probe, few at once | enough in a row: closed | open, with a longer wait | |

Failures are timeouts, slow calls, overload responses, and connections that break or are refused. Error
responses count by tenant: the error fraction is the mean of the tenants' error fractions, so that invalid
requests of one tenant do not open the breaker for all tenants. Outcomes of calls that were sent before the
last change of state are ignored, so that late responses neither close nor open the breaker.

The wait of an open breaker has jitter, seeded differently for each breaker, so that nodes whose breakers
opened together do not probe together. The wait is proportional to the mean duration of failures, within
bounds: a refused connection costs its request almost no time and a timeout costs all of it, so a breaker that
opened on quick failures probes much sooner.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

WINDOW_MS = 2000.0
MAX_CALLS_IN_WINDOW = 400
MIN_CALLS_IN_WINDOW = 5  # with fewer calls in the window the breaker stays closed
FAILURE_THRESHOLD = 0.5  # fraction of the calls in the window
FAILURE_COST_SMOOTHING = 0.3
FULL_COST_MS = 250.0  # mean duration of failures from which on the wait is not shortened
MIN_COST_FRACTION = 0.2  # part of the wait that remains after the quickest failures
MAX_PROBES = 2  # probes in flight
PROBES_TO_CLOSE = 3  # consecutive successful probes
JITTER_FRACTION = 0.25  # fraction by which jitter lengthens or shortens a wait at most
WAIT_GROWTH_FACTOR = 1.5  # factor on the wait for each failed probe
MAX_WAIT_GROWTH_FACTOR = 2.0
GROWTH_RESET_MS = 10_000.0  # a breaker that was closed for longer opens with its first wait again


class CallEnd(Enum):
    """The kinds of call outcomes that the breaker distinguishes."""

    SUCCESS = "success"
    FAILURE = "failure"  # timeout, slow call, overload response, or broken or refused connection
    ERROR_RESPONSE = "error response"  # the request itself may be the cause


class BreakerState(Enum):
    """The state of a breaker; the value is the published name of the state."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


# Globals, since in Python 3.11 the lookup of an enum member on its class takes ten times as long as that of
# a global, and each call needs several lookups.
CLOSED = BreakerState.CLOSED
OPEN = BreakerState.OPEN
HALF_OPEN = BreakerState.HALF_OPEN
SUCCESS = CallEnd.SUCCESS
FAILURE = CallEnd.FAILURE
ERROR_RESPONSE = CallEnd.ERROR_RESPONSE


class CircuitBreaker:
    """The breaker of one dependency.

    ``open_ms`` is the first wait, before jitter and growth. ``epoch`` counts the changes of state; each call
    carries the epoch in which it was sent.
    """

    def __init__(self, seed: int, open_ms: float) -> None:
        self.state = CLOSED
        self.open_ms = open_ms
        self.open_count = 0
        self.epoch = 0
        self._random = random.Random(seed)
        self._window: deque[tuple[float, CallEnd, int]] = deque()
        self._failures = 0  # calls in the window that did not succeed, error responses included
        self._mean_cost_ms = 0.0
        self._open_until_ms = 0.0
        self._wait_growth_factor = 1.0
        self._closed_at_ms = 0.0
        self._probes_in_flight = 0
        self._successful_probes = 0

    def allows_call(self, now_ms: float) -> bool:
        """Return whether a call may be sent; an open breaker whose wait is over becomes half-open."""
        if self.state is OPEN and now_ms >= self._open_until_ms:
            self._change_state(HALF_OPEN)
            self._probes_in_flight = 0
            self._successful_probes = 0
        if self.state is HALF_OPEN:
            return self._probes_in_flight < MAX_PROBES
        return self.state is CLOSED

    def note_sent(self) -> int:
        """Note that a call is sent and return the epoch to pass to ``note_end`` or ``note_abandoned``."""
        self._probes_in_flight += self.state is HALF_OPEN
        return self.epoch

    def note_end(
        self,
        now_ms: float,
        epoch: int,
        end: CallEnd,
        tenant_index: int = 0,
        duration_ms: float = FULL_COST_MS,
    ) -> None:
        """Note the end of a call; a call of an earlier epoch is ignored."""
        if epoch != self.epoch:
            return
        success = end is SUCCESS
        if not success:
            smoothing = FAILURE_COST_SMOOTHING if self._mean_cost_ms else 1.0
            self._mean_cost_ms += (min(duration_ms, FULL_COST_MS) - self._mean_cost_ms) * smoothing
        if self.state is HALF_OPEN:
            self._probes_in_flight = max(0, self._probes_in_flight - 1)
            self._note_probe_end(now_ms, success)
            return
        self._add_to_window(now_ms, end, tenant_index)
        if (
            not success
            and len(self._window) >= MIN_CALLS_IN_WINDOW
            and self.failure_fraction() >= FAILURE_THRESHOLD
        ):
            if now_ms - self._closed_at_ms > GROWTH_RESET_MS:
                self._wait_growth_factor = 1.0
            self._open(now_ms)

    def note_abandoned(self, epoch: int) -> None:
        """Note that a call was abandoned without an outcome; another probe may be sent in its place."""
        if epoch == self.epoch and self.state is HALF_OPEN:
            self._probes_in_flight = max(0, self._probes_in_flight - 1)

    def failure_level(self) -> float:
        """Return 0 for a dependency without failures, rising to 1 for one whose breaker is not closed."""
        if self.state is not CLOSED:
            return 1.0
        return self.failure_fraction() if self._failures and len(self._window) >= MIN_CALLS_IN_WINDOW else 0.0

    def failure_fraction(self) -> float:
        """Return the fraction of failures in the window, with error responses averaged over the tenants."""
        failures = 0
        counts_by_tenant: dict[int, list[int]] = {}  # by tenant: error responses and all responses
        for _, end, tenant_index in self._window:
            if end is FAILURE:
                failures += 1
                continue
            counts = counts_by_tenant.setdefault(tenant_index, [0, 0])
            counts[0] += end is ERROR_RESPONSE
            counts[1] += 1
        responses = len(self._window) - failures
        error_fraction = sum(errors / total for errors, total in counts_by_tenant.values()) / max(
            1, len(counts_by_tenant)
        )
        return (failures + error_fraction * responses) / max(1, len(self._window))

    def remaining_wait_ms(self, now_ms: float) -> float:
        """Return the time until probes may be sent, or 0 if the breaker is not open."""
        return max(0.0, self._open_until_ms - now_ms) if self.state is OPEN else 0.0

    def _add_to_window(self, now_ms: float, end: CallEnd, tenant_index: int) -> None:
        window = self._window
        window.append((now_ms, end, tenant_index))
        self._failures += end is not SUCCESS
        while window[0][0] < now_ms - WINDOW_MS or len(window) > MAX_CALLS_IN_WINDOW:
            self._failures -= window.popleft()[1] is not SUCCESS

    def _clear_window(self) -> None:
        self._window.clear()
        self._failures = 0

    def _note_probe_end(self, now_ms: float, success: bool) -> None:
        if not success:
            self._wait_growth_factor = min(
                MAX_WAIT_GROWTH_FACTOR, self._wait_growth_factor * WAIT_GROWTH_FACTOR
            )
            self._open(now_ms)
            return
        self._successful_probes += 1
        if self._successful_probes >= PROBES_TO_CLOSE:
            self._change_state(CLOSED)
            self._closed_at_ms = now_ms
            self._clear_window()

    def _open(self, now_ms: float) -> None:
        self._change_state(OPEN)
        self.open_count += 1
        jitter = 1.0 + JITTER_FRACTION * (2.0 * self._random.random() - 1.0)
        cost_fraction = max(MIN_COST_FRACTION, self._mean_cost_ms / FULL_COST_MS)
        self._open_until_ms = now_ms + self.open_ms * self._wait_growth_factor * jitter * cost_fraction
        self._clear_window()

    def _change_state(self, state: BreakerState) -> None:
        self.state = state
        self.epoch += 1
