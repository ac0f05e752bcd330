"""The event loop: one selector, one timer wheel, and the connections with unsent output.

A turn gathers everything that is ready, lets the owner process it, and writes what that produced, before the
next wait. The loop owns the selector and the timers. It must not know what the handlers do; each descriptor
belongs to its handler.
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

PAUSE_DETECTION_MS = 25.0  # a timer so late, with nothing ready, suggests that the process was stopped


class EventHandler(Protocol):
    """What the loop calls when a descriptor is ready."""

    def on_ready(self, mask: int) -> None:
        """Handle the events of ``mask``, a union of ``selectors.EVENT_READ`` and ``EVENT_WRITE``."""
        ...

    def on_handler_error(self) -> None:
        """Give the descriptor up, after the handler raised an exception."""
        ...


class Flushable(Protocol):
    """An owner of unsent output."""

    def flush(self) -> None:
        """Send as much as the peer takes."""
        ...

    def on_handler_error(self) -> None:
        """Give the output up, after ``flush`` raised an exception."""
        ...


class EventLoop:
    """The process's only event loop, on one system.

    ``now`` is the clock of its timers, in ms: a node's is the Unix clock that it shares with its balancers,
    a load generator takes a monotonic one. ``seed`` seeds the random generator that everything on this loop
    draws from, so that no two nodes share their jitter.
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
        """Change the events of a watched socket."""
        self._selector.modify(sock, mask, handler)

    def unregister(self, sock: Socket) -> None:
        """Stop watching a socket; nothing happens where it is not watched."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        """Call ``action`` in so many ms, and return its timer."""
        return self.timers.schedule(self.now() + delay_ms, action)

    def schedule_flush(self, output: Flushable) -> None:
        """Flush ``output`` at the end of this turn."""
        self._unsent[output] = None

    def run(self, process_events: Callable[[], None]) -> None:
        """Take turns until ``running`` is unset."""
        while self.running:
            self.run_once(process_events)

    def run_once(self, process_events: Callable[[], None]) -> None:
        """Wait, handle what is ready and due, call ``process_events`` to process it, and flush the output."""
        due_ms = self.timers.next_due_ms()
        timeout_s = None if due_ms is None else max(0.0, due_ms - self.now()) / 1000.0
        ready = self._selector.select(timeout_s)
        if not ready and due_ms is not None and self.now() - due_ms > PAUSE_DETECTION_MS:
            # SIGCONT ends an overdue wait with no events, whatever is ready (epoll_wait(2), EINTR): timers
            # that detect silence must not run before what arrived during the stop is read.
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
        """Call ``action``, log and count any exception of it, and return whether there was none.

        Neither a peer's input nor a timer may end the process.
        """
        try:
            action()
        except Exception as error:
            self.internal_errors.record(place)
            logger.opt(exception=True).error("a fault in the program: {!r}", error)
            return False
        return True

    def flush(self) -> None:
        """Send all output that is queued, including what is queued meanwhile."""
        while self._unsent:
            batch = self._unsent
            self._unsent = {}
            for output in batch:
                if not self.call_guarded(output.flush, ErrorPlace.OUTPUT):
                    self.call_guarded(output.on_handler_error, ErrorPlace.OUTPUT)
