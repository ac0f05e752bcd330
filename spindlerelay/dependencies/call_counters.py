"""Counters of each dependency, and the names under which they are published.

Pure. The names appear in logs and metrics, which scripts read, so they must not change.
"""

from __future__ import annotations

from enum import StrEnum

from spindlerelay.api import Outcome
from spindlerelay.dependencies.circuit_breaker import BreakerState


class CallCounter(StrEnum):
    """A counter since the start of the process; the value is its published name."""

    REQUESTED = "asked"
    SENT = "sent"
    SUCCEEDED = "ok"
    ERROR_RESPONSES = "error"
    OVERLOADED = "full"
    TIMED_OUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_RESET = "reset"
    NEVER_STARTED = "moot"
    ABANDONED = "withdrawn"
    RETRIES = "repeats"
    SENT_AS_FALLBACK = "guests"
    SENT_TO_FALLBACK = "fell_back"
    CACHED_RESPONSES = "kept"
    WITHOUT_RESPONSE = "without"
    PARTIAL_RESPONSES = "partial"
    BREAKER_OPENED = "opened"
    NOT_SENT_OPEN = "not_open"
    NOT_SENT_HALF_OPEN = "not_half_open"
    NOT_SENT_NO_TIME = "not_no_time"
    NOT_SENT_QUEUE_FULL = "not_crowded"
    NOT_SENT_FAILED = "not_failed"
    NOT_SENT_MAY_HAVE_RUN = "not_spent"
    NOT_SENT_REMOVED = "not_left_table"


OUTCOME_COUNTERS = {
    Outcome.OK: CallCounter.SUCCEEDED,
    Outcome.ERROR: CallCounter.ERROR_RESPONSES,
    Outcome.OVERLOADED: CallCounter.OVERLOADED,
    Outcome.TIMEOUT: CallCounter.TIMED_OUT,
    Outcome.CONNECT_FAILED: CallCounter.CONNECT_FAILED,
    Outcome.RESET: CallCounter.CONNECTION_RESET,
    Outcome.NEVER_STARTED: CallCounter.NEVER_STARTED,
}
BREAKER_COUNTERS = {
    BreakerState.OPEN: CallCounter.NOT_SENT_OPEN,
    BreakerState.HALF_OPEN: CallCounter.NOT_SENT_HALF_OPEN,
}
