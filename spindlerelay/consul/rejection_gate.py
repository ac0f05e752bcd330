"""Gate that holds rejections until the agent has confirmed that the node is critical.

A burst can fill the queue between two health checks, or within one turn of the event loop. Without the gate,
the first rejection would be sent before the update that marks the node as critical. The gate bounds the time
for which rejections are held, and must not depend on the agent's protocol.
"""

from __future__ import annotations

from collections.abc import Callable

from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.timer_wheel import TICK_MS, Timer

MAX_HOLD_MS = 100.0  # expected time from an update of the check until readers of the catalogue see it
MAX_HELD = 4096
DUE_MARGIN_MS = 2 * TICK_MS  # time reserved to send the response before the request is due


class RejectionGate:
    """Holds rejections. After a hold that timed out, none is held until ``confirmed`` is called."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._held: list[Callable[[], None]] = []
        self._timer: Timer | None = None
        self._suspended = False

    def hold(self, send: Callable[[], None], due_at_ms: float) -> bool:
        """Hold a rejection if possible, and return whether it is held.

        A held rejection is sent by ``release``, or at the latest ``MAX_HOLD_MS`` after the first held
        rejection.

        Args:
            send: sends the rejection.
            due_at_ms: time at which the response to the request is due.
        """
        too_late = self._loop.now() + MAX_HOLD_MS > due_at_ms - DUE_MARGIN_MS
        if self._suspended or too_late or len(self._held) >= MAX_HELD:
            return False
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_HOLD_MS, self._on_hold_timeout)
        self._held.append(send)
        return True

    def release(self) -> None:
        """Send all held rejections."""
        held = self._held
        self._held = []
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for send in held:
            send()

    def confirmed(self) -> None:
        """Record that the agent has confirmed a request, so that rejections may be held again."""
        self._suspended = False

    def _on_hold_timeout(self) -> None:
        self._suspended = True
        self._loop.warnings.warn("rejections sent before the agent answered", str(len(self._held)))
        self.release()
