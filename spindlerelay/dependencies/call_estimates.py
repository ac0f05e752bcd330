"""The timeout of a call, and estimates of how long a run continues after its last call.

Pure: all times are ms on the clock of the caller, which passes the current time in.
"""

from __future__ import annotations

from spindlerelay.dependencies.dependency_state import DependencyState
from spindlerelay.dependencies.pending_call import PendingCall

RUN_SMOOTHING = 0.1
MAX_MEASURED_RUNS = 10_000
# The largest part by which failures reduce the timeout of a call whose run can send a partial response.
MAX_FAILURE_REDUCTION = 0.5


def time_limit_ms(call: PendingCall, dependency: DependencyState, now_ms: float) -> float:
    """Return the timeout of a call that is sent at ``now_ms``.

    A call that a partial response can omit gets less of the request's time the more calls fail.
    """
    spec = dependency.spec
    fraction = spec.time_fraction
    if call.partial_response_weight:
        fraction *= 1.0 - MAX_FAILURE_REDUCTION * dependency.breaker.failure_level()
    limit_ms = (call.deadline_ms - now_ms - call.remaining_run_ms) * fraction
    return min(limit_ms, spec.timeout_ms) if spec.timeout_ms else limit_ms


class RemainingRunEstimates:
    """Mean duration, by class, for which a run continues after its last call."""

    def __init__(self, class_count: int) -> None:
        self._mean_ms = [0.0] * class_count
        # By call id: class index, and time at which the run continued with the result of the call.
        self._resumed_runs: dict[str, tuple[int, float]] = {}

    def mean_ms(self, class_index: int) -> float:
        """Return the mean of a class, or 0 before the first run of the class has ended."""
        return self._mean_ms[class_index]

    def note_result(self, now_ms: float, call_id: str, class_index: int) -> None:
        """Start measuring a run that continues with the result of its call."""
        if len(self._resumed_runs) >= MAX_MEASURED_RUNS:
            self._resumed_runs.clear()
        self._resumed_runs[call_id] = (class_index, now_ms)

    def discard(self, call_id: str) -> None:
        """Discard the measurement of a run that makes another call or is abandoned."""
        self._resumed_runs.pop(call_id, None)

    def note_run_end(self, now_ms: float, call_id: str) -> None:
        """Add the measurement of a run that has ended, if one was started."""
        if resumed_run := self._resumed_runs.pop(call_id, None):
            class_index, since_ms = resumed_run
            mean_ms = self._mean_ms[class_index]
            smoothing = RUN_SMOOTHING if mean_ms else 1.0
            self._mean_ms[class_index] += (now_ms - since_ms - mean_ms) * smoothing
