"""Delivery of signals through a readable descriptor of the event loop.

This module owns the wake-up descriptor and the process's signal mask; the meaning of a signal is up to its
handler.
"""

from __future__ import annotations

import selectors
import signal
import socket
from collections.abc import Callable

from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.internal_errors import ErrorPlace

BLOCKED_UNTIL_HANDLED = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
READ_BYTES = 64  # each byte is the number of one signal


def block_signals() -> None:
    """Keep pending the signals that end a process without handlers."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_UNTIL_HANDLED)


def unblock_signals() -> None:
    """Deliver pending and future signals."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_UNTIL_HANDLED)


class SignalDispatcher:
    """Calls the handler of each signal in a turn of the loop."""

    def __init__(self, loop: EventLoop, handlers: dict[int, Callable[[], None]]) -> None:
        self._loop = loop
        self._handlers = handlers
        self._reader, self.waker = socket.socketpair()
        self._reader.setblocking(False)
        self.waker.setblocking(False)
        signal.set_wakeup_fd(self.waker.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        unblock_signals()
        loop.register(self._reader, selectors.EVENT_READ, self)

    def on_ready(self, mask: int) -> None:
        """Call the handlers of the received signals; called by the loop."""
        for number in sorted(set(self._reader.recv(READ_BYTES))):
            # Signals without a handler in this table also arrive. An error in the handler of SIGHUP must not
            # prevent the handling of a SIGTERM from the same read.
            if handler := self._handlers.get(number):
                self._loop.call_guarded(handler, ErrorPlace.SIGNAL)

    def on_handler_error(self) -> None:
        """Do nothing: the descriptor stays open until the process ends."""
