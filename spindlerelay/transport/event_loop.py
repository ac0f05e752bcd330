"""The event loop: one selector, one timer wheel, and the connections with unsent output.

A turn handles all ready descriptors and due timers, lets the owner process the collected events, and sends
the resulting output before the next wait. The loop owns the selector and the timers; each descriptor belongs
to its handler.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

from loguru import logger

from spindlerelay.transport.internal_errors import ErrorPlace, InternalErrors
from spindlerelay.transport.rate_limited_warnings import RateLimitedWarnings
from spindlerelay.transport.system import HOST_SYSTEM, Socket, System
from spindlerelay.transport.timer_wheel import TICK_MS, Timer, TimerWheel

PAUSE_DETECTION_MS = 25.0  # with no descriptor ready, a timer this late suggests a stopped process


class EventHandler(Protocol):
    """Handler of a registered descriptor."""

    def on_ready(self, mask: int) -> None:
        """Handle the events of ``mask``, a union of ``selectors.EVENT_READ`` and ``EVENT_WRITE``."""
        ...

    def on_handler_error(self) -> None:
        """Release the descriptor after the handler raised an exception."""
        ...


class Flushable(Protocol):
    """An owner of unsent output."""

    def flush(self) -> None:
        """Send as much output as the peer accepts."""
        ...

    def on_handler_error(self) -> None:
        """Drop the output after ``flush`` raised an exception."""
        ...


class EventLoop:
    """The process's only event loop.

    Args:
        now: clock of the timers, in ms. A node uses the Unix clock that it shares with its balancers, which
            is the default; a load generator uses a monotonic clock.
        tick_ms: resolution of the timers.
        system: clocks, sockets and disk.
        seed: seeds the random generator of all users of this loop; nodes with different seeds have
            independent jitter.
    """

    def __init__(
        self,
        now: Callable[[], float] | None = None,
        tick_ms: float = TICK_MS,
        system: System = HOST_SYSTEM,
        seed: str = "",
    ) -> None:
        self.system = system
        self.random = random.Random(seed)
        self.now = now or system.unix_time_ms
        self.timers = TimerWheel(tick_ms)
        self.warnings = RateLimitedWarnings(system.unix_time_ms)
        self.internal_errors = InternalErrors()
        self.running = True
        self._selector = system.selector()
        self._unsent: dict[Flushable, None] = {}

    def register(self, sock: Socket, mask: int, handler: EventHandler) -> None:
        """Call ``handler`` when an event of ``mask`` is ready on the socket."""
        self._selector.register(sock, mask, handler)

    def modify(self, sock: Socket, mask: int, handler: EventHandler) -> None:
        """Change the events of a registered socket."""
        self._selector.modify(sock, mask, handler)

    def unregister(self, sock: Socket) -> None:
        """Stop watching a socket; a socket that is not registered is ignored."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        """Call ``action`` after ``delay_ms``, and return its timer."""
        return self.timers.schedule(self.now() + delay_ms, action)

    def schedule_flush(self, output: Flushable) -> None:
        """Flush ``output`` at the end of this turn."""
        self._unsent[output] = None

    def run(self, process_events: Callable[[], None]) -> None:
        """Run turns until ``running`` is False."""
        while self.running:
            self.run_once(process_events)

    def run_once(self, process_events: Callable[[], None]) -> None:
        """Run one turn: wait, call handlers and due timers, call ``process_events``, and flush the output."""
        due_ms = self.timers.next_due_ms()
        timeout_s = None if due_ms is None else max(0.0, due_ms - self.now()) / 1000.0
        ready = self._selector.select(timeout_s)
        if not ready and due_ms is not None and self.now() - due_ms > PAUSE_DETECTION_MS:
            # After SIGCONT an overdue wait returns no events even if descriptors are ready (epoll_wait(2),
            # EINTR). Timers that detect a silent peer must not run before data from the stop is read.
            ready = self._selector.select(0.0)
        for key, mask in ready:
            handler: EventHandler = key.data
            if not self.call_guarded(partial(handler.on_ready, mask), ErrorPlace.SOCKET):
                self.call_guarded(handler.on_handler_error, ErrorPlace.SOCKET)
        for timer in self.timers.pop_due(self.now()):
            self.call_guarded(timer.action, ErrorPlace.TIMER)
        self.call_guarded(process_events, ErrorPlace.TURN)
        self.flush()

    def call_guarded(self, action: Callable[[], None], place: ErrorPlace) -> bool:
        """Call ``action`` and return whether it succeeded; an exception is logged and counted.

        Neither input from a peer nor a timer may end the process.
        """
        try:
            action()
        except Exception as error:
            self.internal_errors.record(place)
            logger.opt(exception=True).error("a fault in the program: {!r}", error)
            return False
        return True

    def flush(self) -> None:
        """Send all queued output, including output that is queued during the flush."""
        while self._unsent:
            batch = self._unsent
            self._unsent = {}
            for output in batch:
                if not self.call_guarded(output.flush, ErrorPlace.OUTPUT):
                    self.call_guarded(output.on_handler_error, ErrorPlace.OUTPUT)
