"""The state of one call, from the request of its run to its result. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from spindlerelay.dependencies.call_events import CallRequested

if TYPE_CHECKING:
    from spindlerelay.dependencies.dependency_state import DependencyState


class PendingCall:
    """A call without a result.

    Attributes:
        primary: dependency that the routing table selects for the call.
        dependency: dependency for which the call is queued, or to which it was last sent.
        priority: priority weight that is lost if the call gets no response; orders the queue.
        partial_response_weight: relative weight of a response without the call; 0 if the call is required.
        remaining_run_ms: time that the run is expected to take after the call.
        not_before_ms: end of the backoff before the next attempt.
        breaker_epoch: epoch of the circuit breaker in which the call was last sent.
        next_fallback: index of the first fallback that was not yet considered.
        may_have_run: whether the call is not idempotent and may have run, so that it must not be sent again.
    """

    __slots__ = (
        "call_id",
        "class_index",
        "body",
        "tenant_index",
        "deadline_ms",
        "primary",
        "dependency",
        "priority",
        "idempotent",
        "partial_response_weight",
        "remaining_run_ms",
        "attempts",
        "sent_ms",
        "not_before_ms",
        "breaker_epoch",
        "next_fallback",
        "may_have_run",
    )

    def __init__(self, event: CallRequested, now_ms: float, primary: DependencyState) -> None:
        self.call_id = event.call_id
        self.class_index = event.class_index
        self.body = event.body
        self.tenant_index = event.tenant_index
        self.deadline_ms = now_ms + event.remaining_ms
        self.primary = primary
        self.dependency = primary
        self.priority = 0.0
        self.idempotent = True
        self.partial_response_weight = 0.0
        self.remaining_run_ms = 0.0
        self.attempts = 0
        self.sent_ms = 0.0
        self.not_before_ms = 0.0
        self.breaker_epoch = 0
        self.next_fallback = 0
        self.may_have_run = False
