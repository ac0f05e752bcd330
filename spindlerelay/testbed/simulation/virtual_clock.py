"""Virtual time: a queue of scheduled actions, and the log of what happened.

Owns the order of events. Equal times run in the order in which they were scheduled, so a run depends on its
seed alone. Must not depend on the network, on nodes, or on the machine's clock.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from hashlib import blake2b

from spindlerelay.errors import SpindlerelayError

MAX_RECENT_EVENTS = 200


class HangError(SpindlerelayError, RuntimeError):
    """Virtual time does not advance, or a run does not end."""


class EventQueue:
    """Actions by the virtual time at which they are due. ``now_ms`` is the time of the last one that ran."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self.now_ms = start_ms
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_sequence_number = 0

    def schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        """Run ``action`` at ``when_ms``, or as the next of this instant if that has passed."""
        self._last_sequence_number += 1
        heapq.heappush(self._heap, (max(when_ms, self.now_ms), self._last_sequence_number, action))

    def run_next(self) -> bool:
        """Advance the time to the next action and run it. Returns False if none is scheduled."""
        if not self._heap:
            return False
        self.now_ms, _, action = heapq.heappop(self._heap)
        action()
        return True

    def run_until(self, end_ms: float) -> None:
        """Run actions until the time has reached ``end_ms`` or none is left."""
        while self.now_ms < end_ms and self.run_next():
            pass


class EventLog:
    """The events of a run: a digest of all of them, and the text of the most recent ones."""

    def __init__(self) -> None:
        self.recent: deque[tuple[float, str]] = deque(maxlen=MAX_RECENT_EVENTS)
        self._hash = blake2b(digest_size=16)

    def append(self, now_ms: float, text: str) -> None:
        """Add one event."""
        self.recent.append((now_ms, text))
        self._hash.update(f"{now_ms:.6f} {text}\n".encode())

    def digest(self) -> str:
        """Return a hash of all events so far: equal for two runs that were identical."""
        return self._hash.hexdigest()
