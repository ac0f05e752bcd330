"""Whether and when a call may be retried.

Pure. A token bucket gains a fraction of a token with each first attempt and loses a whole token with each
retry, so that a failing dependency receives few attempts beyond the first ones. Sources: Google SRE Book,
Handling Overload; gRPC proposal A6, retry throttling.
"""

from __future__ import annotations

from spindlerelay.api import OUTCOMES_WITHOUT_EFFECT, Outcome

MAX_TOKENS = 10.0
MIN_RETRY_TIME_MS = 50.0  # a call with less time left is not retried
INITIAL_BACKOFF_MS = 10.0  # backoff before the first retry, doubled for each further one
MAX_BACKOFF_MS = 80.0
MAX_ATTEMPTS = 3  # attempts of one call, including the first


def is_safe_to_retry(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether a call with this outcome may be sent again: it never ran, or may run twice."""
    return outcome in OUTCOMES_WITHOUT_EFFECT or (idempotent and outcome in (Outcome.RESET, Outcome.ERROR))


def backoff_ms(attempts: int) -> float:
    """Return the backoff before the next attempt, after ``attempts`` attempts."""
    return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** (attempts - 1))


class RetryBudget:
    """A token bucket; ``retry_ratio`` is the long-term maximum of retries per first attempt."""

    def __init__(self, retry_ratio: float) -> None:
        self.retry_ratio = retry_ratio
        self.tokens = MAX_TOKENS / 2 if retry_ratio > 0 else 0.0

    def note_first_attempt(self) -> None:
        """Add ``retry_ratio`` tokens, up to the maximum."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.retry_ratio)

    def try_spend(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
