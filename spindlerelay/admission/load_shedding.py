"""Load shedding: selects the queued requests to reject, by priority weight per expected work.

This module owns the expected waiting time of the queue. The controller rejects the selected requests.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator, Iterator

from spindlerelay import api
from spindlerelay.admission.class_statistics import ClassStatistics
from spindlerelay.admission.memory_budget import QUEUE_FRACTION
from spindlerelay.admission.request_state import BY_OBJECTIVE, RequestState, RequestTable

# A request may wait for this fraction of its slack, the time that is left after an immediate run. The
# remaining slack is a margin, because run times vary.
QUEUEING_FRACTION = 0.4
# Factor on the weight of a retry, compared with a first attempt: an unknown part of its time has passed.
RETRY_WEIGHT_FACTOR = 0.5

# Heap entry: weight per expected work, negative arrival time, request id, waiting time in ms that a rejection
# saves. The entry is a plain tuple for speed, because an overloaded server creates one for each queued
# request.
_Candidate = tuple[float, float, int, float]


class LoadShedder:
    """Keeps the queue so short that the queued requests can be served in time."""

    def __init__(self, settings: api.Settings, classes: list[ClassStatistics], requests: RequestTable):
        self._settings = settings
        self._classes = classes
        self._requests = requests
        self._candidates: list[_Candidate] = []  # heap of the current step
        self.backlog_ms = 0.0  # expected waiting time behind all queued requests

    def select(
        self,
        now_ms: float,
        limit: float,
        allow_over_quota_wait: bool,
        fits_memory: Callable[[float, float], bool],
    ) -> Iterator[RequestState]:
        """Yield the queued requests to reject. The caller must reject a request before it takes the next one.

        The queue is processed in order of latency objective. If a request would be late, the requests of
        least weight per work up to that request are yielded. After that, the requests of least weight are
        yielded while ``fits_memory`` returns false.

        Args:
            now_ms: current time.
            limit: limit of concurrent runs.
            allow_over_quota_wait: whether requests over quota may wait as long as requests within quota.
            fits_memory: function that takes additional kilobytes and a fraction of the memory, and returns
                whether the additional memory fits into that fraction.
        """
        queued = sorted(
            (request for statistics in self._classes for request in statistics.queue), key=BY_OBJECTIVE
        )
        service_ms_by_class = [statistics.mean_core_ms / limit for statistics in self._classes]
        over_quota_factor = 1.0 if allow_over_quota_wait else self._settings.over_quota_weight
        self._candidates = []
        added_count = yield from self._select_late(queued, service_ms_by_class, now_ms, over_quota_factor)
        if not fits_memory(0.0, QUEUE_FRACTION):
            self._add_candidates(queued[added_count:], service_ms_by_class, now_ms)
        while self._candidates and not fits_memory(0.0, QUEUE_FRACTION):
            yield self._requests.by_id[heapq.heappop(self._candidates)[2]]

    def _select_late(
        self,
        queued: list[RequestState],
        service_ms_by_class: list[float],
        now_ms: float,
        over_quota_factor: float,
    ) -> Generator[RequestState, None, int]:
        """Yield the requests that are shed because a queued request would be late.

        Returns:
            How many of ``queued`` were added to the candidates, most often 0.
        """
        candidates = self._candidates
        end_ms_by_class = [now_ms + statistics.mean_run_ms for statistics in self._classes]
        wait_ms = 0.0
        added_count = 0
        for position, request in enumerate(queued):
            end_ms = end_ms_by_class[request.class_index]
            objective_ms = request.objective_ms
            service_ms = service_ms_by_class[request.class_index] * request.relative_cost
            slack_ms = (objective_ms if end_ms <= objective_ms else request.useful_until_ms) - end_ms
            slack_ms *= QUEUEING_FRACTION * over_quota_factor if request.over_quota else QUEUEING_FRACTION
            # The request would be late even at the head of the queue: shedding other requests cannot help.
            if service_ms > max(0.0, slack_ms):
                self._add_candidates(queued[added_count:position], service_ms_by_class, now_ms)
                added_count = position + 1
                yield request
                continue
            wait_ms += service_ms
            if wait_ms > slack_ms and wait_ms > 0:
                self._add_candidates(queued[added_count : position + 1], service_ms_by_class, now_ms)
                added_count = position + 1
            while candidates and wait_ms > slack_ms and wait_ms > 0:
                _, _, candidate_id, saved_ms = heapq.heappop(candidates)
                wait_ms -= saved_ms
                self.backlog_ms = wait_ms
                yield self._requests.by_id[candidate_id]
                if candidate_id == request.id:
                    break
        self.backlog_ms = wait_ms
        return added_count

    def utilization(self, limit: float) -> float:
        """Return the fraction of the allowed waiting time that the queue takes, including the next request.

        At 1 the next request is rejected.
        """
        slacks_ms = (
            (statistics.spec.latency_objective_ms - statistics.mean_run_ms) for statistics in self._classes
        )
        next_ms = max(statistics.mean_core_ms for statistics in self._classes) / limit
        return (self.backlog_ms + next_ms) / max(
            1.0, min(slack_ms * QUEUEING_FRACTION for slack_ms in slacks_ms)
        )

    def _add_candidates(
        self, queued: list[RequestState], service_ms_by_class: list[float], now_ms: float
    ) -> None:
        """Add requests to the heap of candidates. Coalesced requests add to the weight of their original."""
        settings = self._settings
        for request in queued:
            statistics = self._classes[request.class_index]
            weight = statistics.spec.priority_weight * (
                settings.over_quota_weight if request.over_quota else 1.0
            )
            weight *= (RETRY_WEIGHT_FACTOR if request.is_retry else 1.0) + request.coalesced_count
            if now_ms + statistics.mean_run_ms > request.objective_ms:
                weight *= statistics.spec.late_response_weight
            if statistics.mean_core_ms and not settings.weighted_by_work:
                weight /= statistics.mean_core_ms * request.relative_cost
            service_ms = service_ms_by_class[request.class_index] * request.relative_cost
            self._candidates.append((weight, -request.arrived_ms, request.id, service_ms))
        heapq.heapify(self._candidates)
