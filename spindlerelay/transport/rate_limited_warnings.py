"""Warnings that are logged at most once per kind and second.

This module depends on neither sockets nor the event loop.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from spindlerelay.transport.system import unix_time_ms

WARNING_INTERVAL_MS = 1000.0


class RateLimitedWarnings:
    """Logs at most one warning per kind and second, with the number of suppressed warnings of that kind."""

    def __init__(self, now: Callable[[], float] = unix_time_ms) -> None:
        self.now = now
        self.observer: Callable[[str], None] | None = None  # called with the kind of every warning
        self._last_logged_ms: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def warn(self, kind: str, detail: str) -> None:
        """Log ``kind`` with ``detail``, or only count it if this kind was logged within the interval."""
        now_ms = self.now()
        if self.observer is not None:
            self.observer(kind)
        if abs(now_ms - self._last_logged_ms.get(kind, 0.0)) < WARNING_INTERVAL_MS:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        self._last_logged_ms[kind] = now_ms
        suppressed = self._suppressed.pop(kind, 0)
        note = f" ({suppressed} more suppressed since the last such warning)" if suppressed else ""
        logger.warning("{}: {}{}", kind, detail, note)
