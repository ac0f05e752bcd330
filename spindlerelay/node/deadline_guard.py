"""Guarantees each request a final response by its deadline, whatever the admission controller does.

Owns the deadline timers and makes no other decisions.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.node.context import NodeContext
from spindlerelay.node.frontend import Failure
from spindlerelay.node.request import RequestContext
from spindlerelay.node.responder import Responder
from spindlerelay.transport.timer_wheel import TICK_MS

# A request that is read after its deadline still goes through a step of the admission controller, so that its
# rejection can carry a Retry-After.
MIN_DECISION_TIME_MS = 2 * TICK_MS


class DeadlineGuard:
    """Responds with a failure to each request whose deadline passes without a response."""

    def __init__(self, context: NodeContext, responder: Responder) -> None:
        self._context = context
        self._responder = responder

    def watch(self, request: RequestContext, now_ms: float) -> None:
        """Start the deadline timer of a request that has just been read."""
        due_at_ms = max(request.incoming.due_at_ms, now_ms + MIN_DECISION_TIME_MS)
        request.deadline_timer = self._context.loop.timers.schedule(
            due_at_ms, lambda: self.respond_overdue(request)
        )

    def respond_overdue(self, request: RequestContext) -> None:
        """Fail a request whose deadline has passed, and report its caller as disconnected."""
        if request.responded:
            return
        context = self._context
        waiting_state = "coalesced" if request.original_id else "queued"
        state = "running" if request.running else waiting_state
        since_read_ms = context.loop.now() - request.read_at_ms
        read_delay_ms = request.read_at_ms - request.incoming.received_at_ms
        read_times = f"read {since_read_ms:.0f} ms ago, {read_delay_ms:.0f} ms after its arrival"
        context.loop.warnings.warn(
            "deadline passed without a response", f"call {request.incoming.call_id}, {state}, {read_times}"
        )
        self._responder.give_up(request, Failure("Late"))
        context.pending_events.append(api.CallerDisconnected(request.id))

    def respond_to_all(self) -> None:
        """Fail every request that has no response, because the process is about to be stopped."""
        for request in list(self._context.requests.by_id.values()):
            self.respond_overdue(request)
