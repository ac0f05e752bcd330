"""The mask of the signals that a node handles, and the times at which pending signals may have come.

The entry point imports this module before all others, so it must import nothing that takes time to load.
"""

from __future__ import annotations

import signal

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


class SignalMask:
    """Keeps signals pending while the process has no handlers for them."""

    def __init__(self) -> None:
        self._blocked_at_ms: float | None = None

    def block(self, now_ms: float) -> None:
        """Keep signals pending from now on; a further call before ``unblock`` keeps the time of the first."""
        if self._blocked_at_ms is None:
            self._blocked_at_ms = now_ms
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def unblock(self) -> dict[int, float]:
        """Deliver pending and future signals.

        Returns:
            The earliest time, in Unix ms, at which each pending signal may have come. The kernel does not
            record the time itself, so it is the time from which signals were blocked.
        """
        blocked_at_ms = self._blocked_at_ms
        self._blocked_at_ms = None
        pending = signal.sigpending() & HANDLED_SIGNALS
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        return {} if blocked_at_ms is None else dict.fromkeys(pending, blocked_at_ms)


SIGNAL_MASK = SignalMask()  # a process has one mask
