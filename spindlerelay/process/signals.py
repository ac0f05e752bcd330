"""Signals as a readable descriptor of the event loop.

Owns the wake-up descriptor and the process's signal mask. It does not know what a signal means.
"""

from __future__ import annotations

import selectors
import signal
import socket
from collections.abc import Callable

from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.internal_errors import ErrorPlace

BLOCKED_UNTIL_HANDLED = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
READ_BYTES = 64  # signal numbers in one read


def block_signals() -> None:
    """Keep signals pending that would end a process without handlers."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_UNTIL_HANDLED)


def unblock_signals() -> None:
    """Deliver the pending signals, and those to come."""
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
        """Call the handlers of the signals that came; called by the loop."""
        for number in sorted(set(self._reader.recv(READ_BYTES))):
            # Signals without a handler here arrive, too. A fault at SIGHUP must not cost a SIGTERM beside it.
            if handler := self._handlers.get(number):
                self._loop.call_guarded(handler, ErrorPlace.SIGNAL)

    def on_handler_error(self) -> None:
        """Do nothing: the descriptor is the process's own, and stays open to its end."""
