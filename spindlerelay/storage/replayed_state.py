"""The state that results from replaying records: keyed requests that ran, and the learned state. Pure.

A key stays bound to its run until a given time: until then the request must not run again. If the result of
the run is not stored, its outcome is unknown, and a retry fails. Records are idempotent, since a snapshot may
already contain changes that the following journal repeats. Times are Unix ms.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from spindlerelay.storage.records import Record, RecordKind

GRACE_MS = 5000.0  # keys stay bound this long after their window, since a retry may be read late
UNKNOWN_CONTENT = 0  # content hash for runs stored in layout 1: matches any content
RUN_FIELD_COUNT = 3  # layout 1 has two fields: it lacks the content hash


@dataclass(slots=True, eq=False)
class CompletedRequest:
    """A keyed request that ran; ``result`` is None if it was not stored."""

    content_hash: int
    bound_until_ms: float
    result: bytes | None = None


class ReplayedState:
    """The state after applying records in their order."""

    def __init__(self) -> None:
        self.completed_requests: dict[str, CompletedRequest] = {}
        self.learned_record: dict[str, Any] | None = None
        self.malformed_records = 0  # records of an unknown kind or shape

    def add(self, record: Record) -> None:
        """Apply one record; a malformed one is counted and skipped."""
        apply = _APPLY_RECORD.get(record.kind)
        if apply is None:
            self.malformed_records += 1
            return
        try:
            apply(self, record.body)
        except (TypeError, ValueError, IndexError):
            self.malformed_records += 1

    def bound_requests(self, now_ms: float, max_binding_ms: float) -> tuple[dict[str, CompletedRequest], int]:
        """Return the requests whose keys are still bound, and the number of bindings that were too long.

        ``max_binding_ms`` is the longest time for which any class binds a key. A binding that ends later
        means that the clock was set back. Its true remaining time is unknown, so it is cut to
        ``max_binding_ms`` from now.
        """
        beyond_window = 0
        latest_ms = now_ms + max_binding_ms
        bound = {}
        for key, request in self.completed_requests.items():
            if request.bound_until_ms + GRACE_MS <= now_ms:
                continue
            if request.bound_until_ms > latest_ms:
                beyond_window += 1
                request.bound_until_ms = latest_ms
            bound[key] = request
        return bound, beyond_window

    def _apply_runs(self, body: Any) -> None:
        for run in body:
            has_content = len(run) == RUN_FIELD_COUNT
            key, content, until_ms = run if has_content else (run[0], UNKNOWN_CONTENT, run[1])
            request = self.completed_requests.get(key)
            if request is None:
                self.completed_requests[key] = CompletedRequest(int(content), float(until_ms))
            else:
                request.content_hash = int(content)
                request.bound_until_ms = max(request.bound_until_ms, float(until_ms))

    def _apply_results(self, body: Any) -> None:
        for key, result in body:
            request = self.completed_requests.get(key)
            if request and isinstance(result, bytes):
                request.result = result

    def _apply_voids(self, body: Any) -> None:
        for key in body:
            self.completed_requests.pop(key, None)

    def _apply_learned_state(self, body: Any) -> None:
        if not isinstance(body, dict):
            raise TypeError("a learned state must be a map")
        self.learned_record = body


_APPLY_RECORD: dict[int, Callable[[ReplayedState, Any], None]] = {
    RecordKind.RUNS_STARTED: ReplayedState._apply_runs,
    RecordKind.RESULTS: ReplayedState._apply_results,
    RecordKind.RUNS_VOIDED: ReplayedState._apply_voids,
    RecordKind.LEARNED_STATE: ReplayedState._apply_learned_state,
}
