"""Timers of the admission controller, delivered with current gauges of the interpreter.

Owns the timers that the controller has set, and the steps that it is given while no timer is set. Gauges are
requested one tick before a timer is due, so that they have arrived when it fires.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.node.context import NodeContext
from spindlerelay.transport.timer_wheel import TICK_MS

GAUGE_RESPONSE_TIMEOUT_MS = 4 * TICK_MS  # a timer this late fires with the gauges received last


class ControllerTimers:
    """Delivers ``TimerFired`` events to the admission controller."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._pending_timers = 0

    def set_timer(self, action: api.SetTimer) -> None:
        """Start a timer that the admission controller has asked for."""
        loop = self._context.loop
        self._pending_timers += 1
        due_at_ms = loop.now() + action.delay_ms
        token = action.token
        loop.timers.schedule(due_at_ms - TICK_MS, lambda: self._request_gauges(due_at_ms, token))

    def fire_if_no_timer_pending(self) -> None:
        """Deliver an event if no timer is pending, so that the controller still runs after a failed step."""
        if not self._pending_timers and self._context.started:
            self.fire_now()

    def fire_now(self) -> None:
        """Deliver an event at once, with the gauges received last."""
        self._deliver(0)

    def _request_gauges(self, due_at_ms: float, token: int) -> None:
        tag = self._context.backends.interpreter.request_gauges()
        self._context.loop.timers.schedule(due_at_ms, lambda: self._fire(due_at_ms, token, tag))

    def _fire(self, due_at_ms: float, token: int, tag: str) -> None:
        loop = self._context.loop
        gauges_missing = tag and self._context.backends.interpreter.gauges_tag != tag
        if gauges_missing and loop.now() < due_at_ms + GAUGE_RESPONSE_TIMEOUT_MS:
            loop.call_later(TICK_MS, lambda: self._fire(due_at_ms, token, tag))
            return
        self._pending_timers -= 1
        self._deliver(token)

    def _deliver(self, token: int) -> None:
        gauges = self._context.backends.interpreter.gauges
        self._context.pending_events.append(api.TimerFired(token, gauges))
