"""Delivery of signals through a readable descriptor of the event loop.

This module owns the wake-up descriptor and the times at which signals came; the meaning of a signal is up to
its handler.
"""

from __future__ import annotations

import selectors
import signal
import socket
from collections.abc import Callable
from functools import partial

from spindlerelay.process.signal_mask import SIGNAL_MASK
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.internal_errors import ErrorPlace

READ_BYTES = 64  # each byte is the number of one signal


class SignalDispatcher:
    """Calls the handler of each signal in a turn of the loop, with the time at which the signal came.

    That time is in Unix ms. It may lie long before the turn, since a signal may come during the start of the
    process or during a long turn.
    """

    def __init__(self, loop: EventLoop, handlers: dict[int, Callable[[float], None]]) -> None:
        self._loop = loop
        self._handlers = handlers
        self._came_at_ms: dict[int, float] = {}  # of signals that are not handled yet
        self._reader, self.waker = socket.socketpair()
        self._reader.setblocking(False)
        self.waker.setblocking(False)
        signal.set_wakeup_fd(self.waker.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, self._on_delivery)
        self._came_at_ms |= SIGNAL_MASK.unblock()
        loop.register(self._reader, selectors.EVENT_READ, self)

    def _on_delivery(self, number: int, _frame: object) -> None:
        self._came_at_ms.setdefault(number, self._loop.now())

    def on_ready(self, mask: int) -> None:
        """Call the handlers of the received signals; called by the loop."""
        for number in sorted(set(self._reader.recv(READ_BYTES))):
            came_at_ms = self._came_at_ms.pop(number, self._loop.now())
            # Signals without a handler in this table also arrive. An error in the handler of SIGHUP must not
            # prevent the handling of a SIGTERM from the same read.
            if handler := self._handlers.get(number):
                self._loop.call_guarded(partial(handler, came_at_ms), ErrorPlace.SIGNAL)

    def on_handler_error(self) -> None:
        """Do nothing: the descriptor stays open until the process ends."""
