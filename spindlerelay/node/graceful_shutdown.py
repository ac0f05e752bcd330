"""Graceful shutdown: from the notice to stop until every request has its final response.

Owns the phases of the shutdown. ``GracefulShutdown._advance`` is the only place that decides that no balancer
still waits for a response. This module does not decide which queued requests still run.
"""

from __future__ import annotations

from enum import Enum

from loguru import logger

from spindlerelay import api
from spindlerelay.node.context import NodeContext
from spindlerelay.node.deadline_guard import DeadlineGuard
from spindlerelay.node.frontend import Failure, Rejection
from spindlerelay.node.health import HealthMonitor
from spindlerelay.node.responder import Responder
from spindlerelay.transport.timer_wheel import TICK_MS

ADVANCE_INTERVAL_MS = 2 * TICK_MS
# The margins are times before the stop of the process.
FINAL_RESPONSE_MARGIN_MS = 150.0  # for sending responses: by then every request has one
STOP_ACCEPTING_MARGIN_MS = 400.0  # for requests that arrive just before the listening socket closes
EXIT_MARGIN_MS = 30.0  # for the exit of the process
# Both times are four times GOAWAY_CROSSING_MS, for which a request may cross a goaway on the wire.
PEER_CLOSE_TIMEOUT_MS = 200.0  # for balancers to close their sides of the connections
IDLE_PERIOD_MS = 200.0  # no request is in flight once the node has been idle for this time


class Phase(Enum):
    """Phases of a node, in the order in which it passes through them."""

    SERVING = "serving"
    DRAINING = "draining"  # new connections are accepted, and their requests get a response
    NOT_ACCEPTING = "not accepting"  # only requests on open connections are read, and get a response
    CLOSING = "closing"  # all responses are sent; connections close, and requests read now are rejected
    CLOSED = "closed"  # every connection has closed on both sides


NEXT_PHASE = {
    Phase.SERVING: Phase.DRAINING,
    Phase.DRAINING: Phase.NOT_ACCEPTING,
    Phase.NOT_ACCEPTING: Phase.CLOSING,
    Phase.CLOSING: Phase.CLOSED,
}
# These phases end when the node has become idle, but no later than this time before the stop.
PHASE_END_MARGIN_MS = {
    Phase.DRAINING: STOP_ACCEPTING_MARGIN_MS,
    Phase.NOT_ACCEPTING: FINAL_RESPONSE_MARGIN_MS / 2,
}


def _describe_delay(delay_ms: float) -> str:
    return f" (the notice came {delay_ms:.0f} ms ago)" if delay_ms > TICK_MS else ""


class GracefulShutdown:
    """The state machine of a node's shutdown."""

    def __init__(
        self, context: NodeContext, health: HealthMonitor, responder: Responder, deadlines: DeadlineGuard
    ) -> None:
        self._context = context
        self._health = health
        self._responder = responder
        self._deadlines = deadlines
        self.phase = Phase.SERVING
        self.stop_at_ms = float("inf")
        self.run_cutoff_ms = float("inf")  # requests that were read or arrived after this time must not run
        self._notified_at_ms = float("inf")
        self._handover = False
        self._idle_since_ms = 0.0
        self._closing_since_ms = 0.0

    @property
    def closing(self) -> bool:
        """Whether connections are being closed, so that no run may start any more."""
        return self.phase is Phase.CLOSING or self.phase is Phase.CLOSED

    def start(self, notified_at_ms: float, stop_after_ms: float, handover: bool) -> None:
        """Drain and stop within ``stop_after_ms`` of the notice; a second notice to stop has no effect."""
        if self.phase is not Phase.SERVING:
            return
        context = self._context
        now_ms = context.loop.now()
        self._notified_at_ms = min(notified_at_ms, now_ms)  # the clock may have been set back since
        self.stop_at_ms = self._notified_at_ms + stop_after_ms
        self.run_cutoff_ms = self._notified_at_ms + context.settings.drain_grace_ms
        logger.info(
            "draining: notice to stop received{}, stop in {:.0f} ms{}",
            ", handing over" if handover else "",
            self.stop_at_ms - now_ms,
            _describe_delay(now_ms - self._notified_at_ms),
        )
        if handover:
            context.backends.discovery.stop()
        self.phase = NEXT_PHASE[self.phase]
        if context.started:
            self.report_to_controller()
        self._handover = handover
        self._idle_since_ms = now_ms
        self._health.start_draining()
        for front_end in context.front_ends:
            front_end.start_draining()
        if handover:
            self._enter_next_phase(now_ms)
        context.loop.timers.schedule(
            self.stop_at_ms - FINAL_RESPONSE_MARGIN_MS, self._deadlines.respond_to_all
        )
        self._advance()

    def report_to_controller(self) -> None:
        """Report a drain to the admission controller; has no effect while the node serves.

        Must be called in the turn of the controller's step, to which the times of the event relate.
        """
        if self.phase is Phase.SERVING:
            return
        now_ms = self._context.loop.now()
        remaining_ms = max(0.0, self.stop_at_ms - now_ms - FINAL_RESPONSE_MARGIN_MS)
        self._context.pending_events.append(api.DrainStarted(remaining_ms, now_ms - self._notified_at_ms))

    def _advance(self) -> None:
        """Enter the next phase once the current one is complete.

        Connections are accepted until no request is open and none may be run any more, or until the latest
        end of the phase. The process ends when the requests that arrived until then have their responses,
        too, and the connections have closed on both sides. Ending at once would reset a connection on which a
        request was just written, and lose the request.
        """
        context = self._context
        now_ms = context.loop.now()
        if context.requests.outstanding() or not all(front_end.is_idle() for front_end in context.front_ends):
            self._idle_since_ms = now_ms
        # In a handover the listening socket is closed at once and no new connection comes, so an idle node
        # may leave the phase before the run cutoff.
        may_leave_phase = (now_ms > self.run_cutoff_ms or self._handover) and (
            now_ms - self._idle_since_ms > IDLE_PERIOD_MS
        )
        end_margin_ms = PHASE_END_MARGIN_MS.get(self.phase)
        if end_margin_ms is not None and (may_leave_phase or now_ms >= self.stop_at_ms - end_margin_ms):
            self._enter_next_phase(now_ms)
        if self.phase is Phase.CLOSING:
            self._close_connections(now_ms)
        if self.phase is not Phase.CLOSED:
            context.loop.call_later(ADVANCE_INTERVAL_MS, self._advance)

    def _enter_next_phase(self, now_ms: float) -> None:
        self.phase = NEXT_PHASE[self.phase]
        if self.phase is Phase.NOT_ACCEPTING:
            self._idle_since_ms = self._context.loop.now()
            for front_end in self._context.front_ends:
                front_end.stop_accepting()
        elif self.phase is Phase.CLOSING:
            self._closing_since_ms = now_ms
        elif self.phase is Phase.CLOSED:
            self._context.loop.running = False
            logger.info("drained: all requests have their responses")

    def _close_connections(self, now_ms: float) -> None:
        """Close the connections, after rejecting the requests that a last read of them returned."""
        is_final_close = now_ms >= min(
            self.stop_at_ms - EXIT_MARGIN_MS, self._closing_since_ms + PEER_CLOSE_TIMEOUT_MS
        )
        front_ends = self._context.front_ends
        self._reject_all()
        for front_end in front_ends:
            front_end.close_connections()
        if is_final_close:
            self._reject_all()
            for front_end in front_ends:
                front_end.close_connections(skip_last_read=True)
        if is_final_close or all(front_end.is_closed() for front_end in front_ends):
            self._enter_next_phase(now_ms)

    def _reject_all(self) -> None:
        """Respond to requests read while the connections close.

        They never run here. A request that has not run before is rejected, so it may run on another node.
        """
        context = self._context
        now_ms = context.loop.now()
        for request in context.requests.without_response():
            may_have_started = (
                request.running or request.original_id or context.duplicates.may_have_run(request, now_ms)
            )
            self._responder.give_up(request, Failure() if may_have_started else Rejection())
            context.pending_events.append(api.CallerDisconnected(request.id))
