"""Holds rejections back until the agent has confirmed that the node is critical.

A burst may fill the queue between two looks at the node's health, or within one turn of the loop: then the
first rejection would leave ahead of the update that announces it. Owns the held rejections and the bound of
their wait. Must not depend on the agent's protocol.
"""

from __future__ import annotations

from collections.abc import Callable

from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.timer_wheel import TICK_MS, Timer

MAX_HOLD_MS = 100.0  # as long as an update is expected to take to its readers
MAX_HELD = 4096
DUE_MARGIN_MS = 2 * TICK_MS  # before a request is due, for its response to be sent


class RejectionGate:
    """The held rejections. After a wait in vain nothing is held until ``confirmed`` is called."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._held: list[Callable[[], None]] = []
        self._timer: Timer | None = None
        self._suspended = False

    def hold(self, send: Callable[[], None], due_at_ms: float) -> bool:
        """Return whether ``send`` will be called by ``release``, or ``MAX_HOLD_MS`` after the first one."""
        too_late = self._loop.now() + MAX_HOLD_MS > due_at_ms - DUE_MARGIN_MS
        if self._suspended or too_late or len(self._held) >= MAX_HELD:
            return False
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_HOLD_MS, self._give_up)
        self._held.append(send)
        return True

    def release(self) -> None:
        """Send what is held."""
        held = self._held
        self._held = []
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for send in held:
            send()

    def confirmed(self) -> None:
        """Note that the agent answers: rejections may be held again."""
        self._suspended = False

    def _give_up(self) -> None:
        self._suspended = True
        self._loop.warnings.warn("rejections sent before the agent answered", str(len(self._held)))
        self.release()
