"""State of open requests: their attributes, their phases and the table that holds them.

This module owns the table of open requests and every change of phase. It does not depend on limits, quotas or
statistics.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from operator import attrgetter

from spindlerelay import api

MIN_EXPIRATIONS_LIMIT = 128  # the heap of expiry times holds so many entries, or twice those in use
MAX_ENDED_UNRUN = 1024  # most ids kept of requests that ended without a run


class Phase(IntEnum):
    """Phase of an open request. The values are indices of ``RequestTable.phase_counts``."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_CALL = 2
    CALLING = 3
    COALESCED = 4  # the request repeats another one and is answered with the result of that original


# Possible changes of phase in a legal stream of events. They are not enforced, because an event may have been
# created before the server carried out an earlier decision.
PHASE_TRANSITIONS: dict[Phase, tuple[Phase, ...]] = {
    Phase.QUEUED: (Phase.RUNNING, Phase.COALESCED),
    Phase.RUNNING: (Phase.AWAITING_CALL,),
    Phase.AWAITING_CALL: (Phase.CALLING, Phase.RUNNING),  # the call is made, or skipped
    Phase.CALLING: (Phase.RUNNING, Phase.AWAITING_CALL),  # the call succeeded, or failed
    Phase.COALESCED: (),
}


@dataclass(slots=True, eq=False)
class RequestState:
    """State of one request that has been read and is not yet over.

    Points in time are on the clock that ``AdmissionController.step`` receives.

    Attributes:
        due_ms: point in time of the deadline.
        objective_ms: point in time of the latency objective; a later response is late.
        useful_until_ms: point in time after which a response has no value.
        over_quota: whether the tenant was over its quota when the request arrived.
        relative_cost: expected core time, divided by the mean core time of the class.
        coalesced_count: number of repeats that are answered with the result of this request.
        started_ms: start of the run, minus the total time of process stalls before it.
        off_core_ms: time of the run that was spent in dependency calls.
        next_call_ms: earliest point in time of the next attempt of the dependency call.
    """

    id: int
    class_index: int
    tenant_index: int
    queued_memory_kb: float
    arrived_ms: float
    due_ms: float
    objective_ms: float
    useful_until_ms: float
    idempotent: bool = False
    is_retry: bool = False
    partial_response_weight: float = 0.0
    phase: Phase = Phase.QUEUED
    answered: bool = False
    over_quota: bool = False
    relative_cost: float = 1.0
    coalesced_count: int = 0
    started_ms: float = 0.0
    off_core_ms: float = 0.0
    call_started_ms: float = 0.0
    next_call_ms: float = 0.0
    call_attempts: int = 0

    @classmethod
    def from_event(cls, event: api.RequestReceived, spec: api.ClassSettings, now_ms: float) -> RequestState:
        """Create the state of a request that has just been read."""
        arrived_ms = now_ms - event.read_delay_ms
        remaining_ms = event.remaining_ms or spec.deadline_ms - event.read_delay_ms
        due_ms = now_ms + max(0.0, remaining_ms)
        latency_objective_ms = spec.latency_objective_ms + spec.latency_objective_stretch * event.cost_hint_ms
        objective_ms = min(due_ms, arrived_ms + latency_objective_ms)
        useful_until_ms = due_ms if spec.late_response_weight > 0 else objective_ms
        ids = (event.id, event.class_index, event.tenant_index)
        request = cls(*ids, event.queued_memory_kb, arrived_ms, due_ms, objective_ms, useful_until_ms)
        request.idempotent = spec.idempotency is api.Idempotency.IDEMPOTENT
        request.is_retry = event.is_retry
        request.partial_response_weight = spec.partial_response_weight
        return request


BY_OBJECTIVE = attrgetter("objective_ms", "id")


class RequestTable:
    """The open requests, the number of requests in each phase and the expiry times.

    Also owns the ids of the last requests with an effect that ended without a run: only for them is it known
    that a repeat may be rejected.
    """

    def __init__(self) -> None:
        self.by_id: dict[int, RequestState] = {}
        self.started: dict[int, RequestState] = {}  # requests whose run has started, in order of start
        self.phase_counts = [0] * len(Phase)  # number of requests, by phase
        # Heap of expiry times and request ids. Entries of requests that are over stay until they expire, or
        # until the heap reaches its limit.
        self._expirations: list[tuple[float, int]] = []
        self._max_expirations = MIN_EXPIRATIONS_LIMIT
        self._ended_unrun: OrderedDict[int, None] = OrderedDict()

    def add(self, request: RequestState) -> None:
        """Add a request that has just been read."""
        self.by_id[request.id] = request
        self.phase_counts[Phase.QUEUED] += 1
        self.expire_at(request, request.useful_until_ms if request.idempotent else request.due_ms)

    def expire_at(self, request: RequestState, time_ms: float) -> None:
        """Schedule the request for ``pop_expired`` at ``time_ms``."""
        heapq.heappush(self._expirations, (time_ms, request.id))
        if len(self._expirations) > self._max_expirations:
            self._expirations = [entry for entry in self._expirations if entry[1] in self.by_id]
            heapq.heapify(self._expirations)
            self._max_expirations = max(MIN_EXPIRATIONS_LIMIT, 2 * len(self._expirations))

    def pop_expired(self, horizon_ms: float) -> RequestState | None:
        """Remove the earliest expiry up to ``horizon_ms`` and return its request, or None if there is none.

        Requests that are over or have been answered are skipped.
        """
        while self._expirations and self._expirations[0][0] <= horizon_ms:
            request = self.by_id.get(heapq.heappop(self._expirations)[1])
            if request is not None and not request.answered:
                return request
        return None

    def set_phase(self, request: RequestState, phase: Phase) -> None:
        """Change the phase of a request. Every change of phase goes through this method."""
        self.phase_counts[request.phase] -= 1
        self.phase_counts[phase] += 1
        request.phase = phase

    def remove(self, request: RequestState) -> bool:
        """Remove a request that is over and return whether its run had started."""
        del self.by_id[request.id]
        self.phase_counts[request.phase] -= 1
        has_started = self.started.pop(request.id, None) is not None
        if request.phase is Phase.QUEUED and not has_started and not request.idempotent:
            self._ended_unrun[request.id] = None
            if len(self._ended_unrun) > MAX_ENDED_UNRUN:
                self._ended_unrun.popitem(last=False)
        return has_started

    def has_ended_unrun(self, request_id: int) -> bool:
        """Return whether a request is known to be over without a run.

        A request that ended long ago is forgotten, so the answer False does not say that it ran.
        """
        return request_id in self._ended_unrun
