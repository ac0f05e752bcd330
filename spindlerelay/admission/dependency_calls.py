"""Dependency calls of runs: the call budget, and retries with backoff.

This module owns the runs that wait for a call and the mean call time. The controller makes the selected
calls.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from spindlerelay import api
from spindlerelay.admission.class_statistics import ClassStatistics
from spindlerelay.admission.request_state import Phase, RequestState, RequestTable

# Backoff before the first retry, as a fraction of the shortest latency objective. The backoff doubles with
# each attempt and has jitter.
BACKOFF_FRACTION = 1 / 14
# The budget is this fraction of the server's part of the dependency's capacity. The remaining capacity limits
# the credit, which allows bursts if the budget is below one call.
BUDGET_FRACTION = 0.6
# A call is made only if the remaining time is at least this multiple of the mean call time, so that few calls
# end too late.
MARGIN_FACTOR = 1.5
# Weight of one call in the moving average of the call time.
MEAN_CALL_WEIGHT = 0.1


class DependencyCalls:
    """Decides when runs may make their dependency calls.

    The budget is a number of calls in flight, including abandoned calls that may still be open at the
    dependency. If the budget is below one call, its unused part accumulates over time as a credit, and one
    call is allowed for as long as the credit lasts.
    """

    def __init__(
        self,
        settings: api.Settings,
        classes: list[ClassStatistics],
        requests: RequestTable,
        shortest_objective_ms: float,
        random_generator: random.Random,
    ) -> None:
        self._settings = settings
        self._classes = classes
        self._requests = requests
        self._random = random_generator
        self._backoff_ms = BACKOFF_FRACTION * shortest_objective_ms
        self._budget = math.inf
        if settings.dependency_topology is api.DependencyTopology.SHARED:
            self._budget = settings.dependency_call_budget * BUDGET_FRACTION
        unused = max(0.0, settings.dependency_call_budget - self._budget)
        self.max_credit_ms = unused * settings.dependency_call_window_ms
        self._credit_ms = self.max_credit_ms
        self._waiting: list[RequestState] = []
        self._abandoned_until_ms: list[float] = []
        self.mean_call_ms = 0.0  # includes calls that timed out

    def _in_flight(self) -> int:
        return self._requests.phase_counts[Phase.CALLING] + len(self._abandoned_until_ms)

    def accumulate(self, elapsed_ms: float) -> None:
        """Add the budget that was unused during the last ``elapsed_ms`` to the credit."""
        unused_ms = (self._budget - self._in_flight()) * elapsed_ms
        self._credit_ms = min(self.max_credit_ms, self._credit_ms + unused_ms)

    def abandon(self, now_ms: float) -> None:
        """Count a call whose run has ended, or that timed out, as open for ``Settings.abandoned_call_ms``."""
        self._abandoned_until_ms.append(now_ms + self._settings.abandoned_call_ms)

    def enqueue(self, request: RequestState, now_ms: float) -> None:
        """Enqueue the first attempt of the dependency call of a run."""
        request.call_started_ms = now_ms
        request.next_call_ms = now_ms
        request.call_attempts = 0
        self._waiting.append(request)

    def complete(self, request: RequestState, event: api.DependencyCallCompleted, now_ms: float) -> bool:
        """Process the end of a call and return whether the call succeeded or is retried.

        A call is retried only if its outcome proves that it had no effect, or if its connection was reset and
        the request is idempotent. The backoff must be shorter than half of the remaining useful time.
        """
        request.off_core_ms += now_ms - request.call_started_ms
        request.call_started_ms = now_ms
        outcome = event.outcome
        if outcome is api.Outcome.TIMEOUT:
            self.abandon(now_ms)
        if outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            call_weight = MEAN_CALL_WEIGHT if self.mean_call_ms else 1.0
            self.mean_call_ms += (event.duration_ms - self.mean_call_ms) * call_weight
        jitter = 0.5 + self._random.random()
        backoff_ms = self._backoff_ms * 2**request.call_attempts * jitter
        if outcome is api.Outcome.OK:
            return True
        is_safe_reset = request.idempotent and outcome is api.Outcome.RESET
        is_retriable = is_safe_reset or outcome in api.OUTCOMES_WITHOUT_EFFECT
        if not is_retriable or request.answered or backoff_ms >= (request.useful_until_ms - now_ms) / 2:
            return False
        request.next_call_ms = now_ms + backoff_ms
        self._waiting.append(request)
        return True

    def select(
        self, now_ms: float, stop_ms: float, response_margin_ms: float
    ) -> Iterator[tuple[RequestState, float | None]]:
        """Yield the runs whose call is made now, with its timeout in ms, or is skipped, with None.

        The caller must carry out a decision before it takes the next one. Calls that add most to the weight
        of their request go first. A call that would end too late is skipped.

        Args:
            now_ms: current time.
            stop_ms: time at which the process is stopped.
            response_margin_ms: time that is reserved for sending the response.
        """
        if self._abandoned_until_ms:
            self._abandoned_until_ms = [
                expiry_ms for expiry_ms in self._abandoned_until_ms if expiry_ms > now_ms
            ]
        if not self._waiting:
            return
        open_requests = self._requests.by_id
        ranked = [
            (-self._added_weight(request, now_ms), request.id, request)
            for request in self._waiting
            if request.id in open_requests and not request.answered and request.phase is Phase.AWAITING_CALL
        ]
        self._waiting = []
        for _, _, request in sorted(ranked, key=lambda entry: entry[:2]):
            timeout_ms = min(request.due_ms, stop_ms) - now_ms - response_margin_ms
            # If the call fails, the run may continue without it: reserve the time for that, and the expected
            # time of the calls that wait before this one.
            if request.partial_response_weight > 0:
                partial_run_ms = self._classes[request.class_index].mean_core_ms
                preceding_calls_ms = len(self._waiting) * self.mean_call_ms / max(1.0, self._budget)
                timeout_ms = min(
                    timeout_ms, request.objective_ms - now_ms - partial_run_ms - preceding_calls_ms
                )
            in_flight = self._in_flight()
            exceeds_budget = in_flight + 1 > self._budget
            if timeout_ms < MARGIN_FACTOR * self.mean_call_ms:
                yield request, None
            elif request.next_call_ms > now_ms or (
                exceeds_budget and (in_flight or self._credit_ms < self.max_credit_ms / 2)
            ):
                self._waiting.append(request)
            else:
                request.call_attempts += 1
                if exceeds_budget:
                    credit_ms = self._credit_ms / (1.0 - self._budget) - self._settings.abandoned_call_ms
                    timeout_ms = min(timeout_ms, credit_ms)
                yield request, max(1.0, timeout_ms)

    def _added_weight(self, request: RequestState, now_ms: float) -> float:
        """Return how much the call adds to the expected weight of the response."""
        spec = self._classes[request.class_index].spec
        is_late = now_ms + self.mean_call_ms > request.objective_ms
        weight = spec.priority_weight * (1.0 - request.partial_response_weight)
        return weight * (spec.late_response_weight if is_late else 1.0)
