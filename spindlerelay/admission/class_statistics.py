"""Decaying statistics per request class, and the WSLA priority that is computed from them.

This module owns the queue and the decaying windows of each class, and the order in which the windows are
stored. It depends on ``request_state``.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence

from spindlerelay import api
from spindlerelay.admission.request_state import Phase, RequestState

# Prior: each class is assumed to have served this many requests in time, so that ratios of few samples stay
# near 1.
PRIOR_REQUESTS = 4.0
MAX_TRACKED_CALLERS = 256

_REQUEST_COUNTS = ("arrived", "started", "completed", "finished", "on_time")
_RUN_SUMS = ("hint_count", "hint_total_ms", "run_count", "run_total_ms", "core_total_ms")
# Names of the windows, in the order in which the files of learned state store their values.
STORED_ORDER = _REQUEST_COUNTS + _RUN_SUMS


class ClassStatistics:
    """Queue of one request class, and its counts and sums in decaying windows.

    Attributes:
        arrived: number of requests that arrived, without requests that were shed under load.
        started: number of runs that were started.
        completed: number of requests that were answered with the result of their run.
        finished: number of requests that were answered or expired.
        on_time: number of completed requests that met their latency objective.
        hint_count: number of requests with a cost hint.
        hint_total_ms: sum of the cost hints.
        run_count: number of runs that ended.
        run_total_ms: sum of the run times.
        core_total_ms: sum of the run times without dependency calls.
        caller_timeouts_ms: longest timeout of first attempts, by caller id.
        mean_run_ms: mean run time, from start to end.
        mean_core_ms: mean run time without dependency calls.
    """

    arrived: float
    started: float
    completed: float
    finished: float
    on_time: float
    hint_count: float
    hint_total_ms: float
    run_count: float
    run_total_ms: float
    core_total_ms: float

    def __init__(self, spec: api.ClassSettings) -> None:
        self.spec = spec
        self.queue: deque[RequestState] = deque()
        self.caller_timeouts_ms: dict[int, float] = {}
        self.mean_run_ms = 0.0
        self.mean_core_ms = 0.0
        self.restore((0.0,) * len(STORED_ORDER))

    def priority(self, waiting_ms: float, at_limit: bool, is_top_class: bool) -> float:
        """Return the virtual priority (VP) of the head of the queue. The smallest value runs first.

        The formula follows the WSLA paper. R is the response time objective, RTmean the mean run time, T the
        throughput and RTSLA the fraction of responses within their objective. T and RTSLA are taken over the
        decaying window and smoothed by ``PRIOR_REQUESTS``. Times are in microseconds:

            VP = log(max(1, R - waiting - RTmean + deadline)) * (T + RTSLA) / 2
            T = completed / arrived, RTSLA = on_time / finished

        At the concurrency limit the factor is T instead of (T + RTSLA) / 2. For the class of highest priority
        weight T is then started / arrived.
        """
        remaining_ms = self.spec.latency_objective_ms - waiting_ms - self.mean_run_ms + self.spec.deadline_ms
        log_remaining = math.log(max(1.0, remaining_ms * 1000.0))
        arrived = self.arrived + PRIOR_REQUESTS
        if at_limit and is_top_class:
            return log_remaining * ((self.started + PRIOR_REQUESTS) / arrived)
        throughput = (self.completed + PRIOR_REQUESTS) / arrived
        if at_limit:
            return log_remaining * throughput
        on_time = (self.on_time + PRIOR_REQUESTS) / (self.finished + PRIOR_REQUESTS)
        return log_remaining * (throughput + on_time) / 2.0

    def head_sort_key(
        self, now_ms: float, at_limit: bool, max_priority_weight: float
    ) -> tuple[float, float, int]:
        """Return the sort key of the head of the queue: virtual priority, end of useful time, request id."""
        head = self.queue[0]
        is_top_class = self.spec.priority_weight >= max_priority_weight
        priority = self.priority(max(0.0, now_ms - head.arrived_ms), at_limit, is_top_class)
        return priority, head.useful_until_ms, head.id

    def record_arrival(self, request: RequestState, event: api.RequestReceived, tolerance_ms: float) -> None:
        """Count a request, and set its relative cost and, for a retry, its latency objective.

        Timeouts that differ by up to ``tolerance_ms`` are taken as equal.
        """
        self.arrived += 1
        if event.remaining_ms:
            self._backdate_retry(request, event, tolerance_ms)
        if event.cost_hint_ms > 0:
            self.hint_count += 1
            self.hint_total_ms += event.cost_hint_ms
            request.relative_cost = event.cost_hint_ms * self.hint_count / self.hint_total_ms

    def _backdate_retry(self, request: RequestState, event: api.RequestReceived, tolerance_ms: float) -> None:
        """Count the latency objective of a retry from its first attempt, if that time can be derived.

        If the timeout of a retry differs from the caller's usual timeout of first attempts, it is the time
        that the client has left of its deadline, which gives the time of the first attempt. Otherwise the age
        of the retry is unknown.
        """
        timeout_ms = event.read_delay_ms + event.remaining_ms
        first_attempt_timeout_ms = self.caller_timeouts_ms.get(event.caller_id, 0.0)
        if not event.is_retry:
            if not first_attempt_timeout_ms and len(self.caller_timeouts_ms) >= MAX_TRACKED_CALLERS:
                del self.caller_timeouts_ms[next(iter(self.caller_timeouts_ms))]
            self.caller_timeouts_ms[event.caller_id] = max(first_attempt_timeout_ms, timeout_ms)
        elif first_attempt_timeout_ms and abs(timeout_ms - first_attempt_timeout_ms) > tolerance_ms:
            objective_ms = (
                request.arrived_ms + self.spec.latency_objective_ms - self.spec.deadline_ms + timeout_ms
            )
            request.objective_ms = min(request.objective_ms, objective_ms)
            late_has_value = self.spec.late_response_weight > 0
            request.useful_until_ms = request.due_ms if late_has_value else request.objective_ms

    def record_run(self, request: RequestState, run_ms: float, is_late: bool) -> None:
        """Count a run that ended by itself after ``run_ms``."""
        self.run_count += 1
        self.run_total_ms += run_ms
        self.core_total_ms += max(0.0, run_ms - request.off_core_ms)
        if not request.answered:
            self.finished += 1
            self.completed += 1
            self.on_time += not is_late

    def decay(self, factor: float) -> None:
        """Multiply all windows by ``factor``."""
        for name in STORED_ORDER:
            setattr(self, name, getattr(self, name) * factor)

    def stored_values(self) -> tuple[float, ...]:
        """Return the values of the windows, in the order of ``STORED_ORDER``."""
        return tuple(getattr(self, name) for name in STORED_ORDER)

    def restore(self, values: Sequence[float]) -> None:
        """Set the windows from values in the order of ``STORED_ORDER``.

        Raises:
            ValueError: the number of values differs.
        """
        for name, value in zip(STORED_ORDER, values, strict=True):
            setattr(self, name, value)


def mean_core_ms(classes: list[ClassStatistics]) -> float:
    """Return the mean core time of a run over all classes, or 0 before ``PRIOR_REQUESTS`` runs have ended."""
    runs = sum(statistics.run_count for statistics in classes)
    return sum(statistics.core_total_ms for statistics in classes) / runs if runs >= PRIOR_REQUESTS else 0.0


def update_means(
    classes: list[ClassStatistics], started: Iterable[RequestState], now_ms: float, total_stall_ms: float
) -> None:
    """Compute the mean run and core times of each class.

    Runs in flight count with their age if it is above the mean. ``total_stall_ms`` is the total time of
    process stalls so far, which does not count as run time.
    """
    totals_by_class = [
        [statistics.run_count, statistics.run_total_ms, statistics.core_total_ms] for statistics in classes
    ]
    for request in started:
        statistics = classes[request.class_index]
        age_ms = max(0.0, now_ms - request.started_ms - total_stall_ms)
        if age_ms * statistics.run_count >= statistics.run_total_ms:
            off_core_ms = request.off_core_ms
            if request.phase is not Phase.RUNNING:
                off_core_ms += now_ms - request.call_started_ms
            class_totals = totals_by_class[request.class_index]
            class_totals[0] += 1.0
            class_totals[1] += age_ms
            class_totals[2] += max(0.0, age_ms - off_core_ms)
    for statistics, (runs, run_ms, core_ms) in zip(classes, totals_by_class, strict=True):
        statistics.mean_run_ms = run_ms / runs if runs else 0.0
        statistics.mean_core_ms = core_ms / runs if runs else 0.0
