"""State of one dependency: its queue, its calls in flight, and the measurements of completed calls.

Pure: all times are ms on the clock of the caller, which passes the current time in. Owns the dependency's
concurrency limit, circuit breaker, retry budget and counters. Has no access to other dependencies.
"""

from __future__ import annotations

import math
from collections import Counter, deque

from spindlerelay.api import Outcome
from spindlerelay.dependencies.call_counters import CallCounter
from spindlerelay.dependencies.call_events import DependencyMetrics
from spindlerelay.dependencies.circuit_breaker import BreakerState, CallEnd, CircuitBreaker
from spindlerelay.dependencies.concurrency_limits import create_limit
from spindlerelay.dependencies.pending_call import PendingCall
from spindlerelay.dependencies.retry_budget import RetryBudget
from spindlerelay.dependencies.routing_table import DependencySpec

# Length of the queue in multiples of ``max_concurrency``; calls in a longer queue would miss their deadlines.
MAX_QUEUE_PER_CONCURRENCY = 4
DURATION_SMOOTHING = 0.2
# The mean duration halves in this time without calls. Otherwise the long durations of one congestion would
# keep all later calls from being sent, and the mean could never fall again.
DURATION_HALF_LIFE_MS = 500.0
LOAD_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT, Outcome.OVERLOADED)
TIMED_OUTCOMES = (Outcome.OK, Outcome.TIMEOUT)


class DependencyState:
    """One dependency; ``number`` is the number of its connection."""

    def __init__(self, number: int, spec: DependencySpec, seed: int) -> None:
        self.number = number
        self.spec = spec
        self.limit = create_limit(spec.limit_algorithm, float(spec.max_concurrency))
        self.breaker = CircuitBreaker(seed, spec.breaker_open_ms)
        self.retry_budget = RetryBudget(spec.retry_ratio)
        self.in_flight: dict[str, PendingCall] = {}
        self.queue: list[PendingCall] = []  # by falling priority
        self.counts: Counter[CallCounter] = Counter()
        self.removed = False  # no longer in the routing table; calls in flight may still complete
        self._fallback_calls = 0  # calls in flight whose primary dependency is another one
        # Times until which abandoned calls may still be running.
        self._abandoned_until_ms: deque[float] = deque()
        self._mean_ms = 0.0
        self._mean_updated_ms = 0.0

    def configure(self, spec: DependencySpec) -> None:
        """Apply a changed configuration; measurements are kept."""
        if spec.limit_algorithm != self.spec.limit_algorithm:
            self.limit = create_limit(spec.limit_algorithm, float(spec.max_concurrency))
        elif spec.max_concurrency != self.spec.max_concurrency:
            self.limit.set_maximum(float(spec.max_concurrency))
        self.breaker.open_ms = spec.breaker_open_ms
        self.retry_budget.retry_ratio = spec.retry_ratio
        self.spec = spec

    def mean_call_ms(self, now_ms: float) -> float:
        """Return the mean duration of recent calls, which decays without new calls; 0 if unknown."""
        if not self._mean_ms:
            return 0.0
        age_ms = max(0.0, now_ms - self._mean_updated_ms)
        return self._mean_ms * math.exp2(-age_ms / DURATION_HALF_LIFE_MS)

    def concurrency(self, now_ms: float) -> int:
        """Return the number of calls in flight, including abandoned calls that may still be running."""
        abandoned = self._abandoned_until_ms
        while abandoned and abandoned[0] <= now_ms:
            abandoned.popleft()
        return len(self.in_flight) + len(abandoned)

    def has_capacity(self, now_ms: float) -> bool:
        """Return whether the limit allows another call."""
        return self.concurrency(now_ms) < int(self.limit.limit)

    def accepts_fallback(self, now_ms: float) -> bool:
        """Return whether a call of another dependency may be sent here as a fallback.

        The breaker must be closed, the queue empty, and capacity free within the quota of fallback calls.
        """
        quota = int(self.limit.limit * self.spec.fallback_quota)
        return (
            self.breaker.state is BreakerState.CLOSED
            and not self.queue
            and self.has_capacity(now_ms)
            and self._fallback_calls < quota
        )

    def enqueue(self, call: PendingCall) -> PendingCall | None:
        """Insert a call into the queue by priority; return the last call if it no longer fits."""
        queue = self.queue
        position = next((i for i, other in enumerate(queue) if other.priority < call.priority), len(queue))
        queue.insert(position, call)
        return queue.pop() if len(queue) > MAX_QUEUE_PER_CONCURRENCY * self.spec.max_concurrency else None

    def take_queue(self) -> list[PendingCall]:
        """Empty the queue and return the calls that were queued."""
        queue = self.queue
        self.queue = []
        return queue

    def note_sent(self, now_ms: float, call: PendingCall) -> None:
        """Note that a call is sent."""
        call.dependency = self
        call.sent_ms = now_ms
        call.breaker_epoch = self.breaker.note_sent()
        call.attempts += 1
        self.in_flight[call.call_id] = call
        self.counts[CallCounter.SENT] += 1
        if self is not call.primary:
            self._fallback_calls += 1
            self.counts[CallCounter.SENT_AS_FALLBACK] += 1
        elif call.attempts == 1:
            self.retry_budget.note_first_attempt()

    def remove_in_flight(self, call: PendingCall) -> None:
        """Note that a call is no longer in flight."""
        del self.in_flight[call.call_id]
        self._fallback_calls -= self is not call.primary

    def note_abandoned(self, now_ms: float, abandoned_call_ms: float) -> None:
        """Note that an abandoned call may run in the dependency for up to ``abandoned_call_ms``."""
        self._abandoned_until_ms.append(now_ms + abandoned_call_ms)

    def note_end(self, now_ms: float, call: PendingCall, outcome: Outcome) -> None:
        """Update breaker, limit and mean duration after the end of a call that is no longer in flight."""
        breaker = self.breaker
        if outcome is Outcome.NEVER_STARTED:  # cancelled before it started, which is no failure
            breaker.note_abandoned(call.breaker_epoch)
            return
        duration_ms = now_ms - call.sent_ms
        state = breaker.state
        end = self._classify(outcome, duration_ms)
        breaker.note_end(now_ms, call.breaker_epoch, end, call.tenant_index, duration_ms)
        if outcome in LOAD_OUTCOMES:
            dropped = outcome is not Outcome.OK
            self.limit.note_end(now_ms, duration_ms, len(self.in_flight) + 1, dropped)
        if outcome in TIMED_OUTCOMES:
            self._add_duration(now_ms, duration_ms)
        if state is BreakerState.HALF_OPEN and breaker.state is BreakerState.CLOSED:
            self.limit.restart()

    def _classify(self, outcome: Outcome, duration_ms: float) -> CallEnd:
        if outcome is Outcome.ERROR:
            return CallEnd.ERROR_RESPONSE
        slow_call_ms = self.spec.slow_call_ms
        if outcome is not Outcome.OK or (slow_call_ms and duration_ms > slow_call_ms):
            return CallEnd.FAILURE
        return CallEnd.SUCCESS

    def _add_duration(self, now_ms: float, duration_ms: float) -> None:
        mean_ms = self.mean_call_ms(now_ms)
        smoothing = DURATION_SMOOTHING if self._mean_ms else 1.0
        self._mean_ms = mean_ms + (duration_ms - mean_ms) * smoothing
        self._mean_updated_ms = now_ms

    def metrics(self, now_ms: float) -> DependencyMetrics:
        """Return the current gauges and counters."""
        counts = {counter.value: count for counter, count in self.counts.items()}
        counts[CallCounter.BREAKER_OPENED.value] = self.breaker.open_count
        return DependencyMetrics(
            self.spec.name,
            self.breaker.state.value,
            self.concurrency(now_ms),
            int(self.limit.limit),
            len(self.queue),
            self.mean_call_ms(now_ms),
            self.retry_budget.tokens,
            counts,
        )
