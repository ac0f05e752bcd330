"""Actions that the admission controller returns, and that the server carries out in the given order.

This module holds values only. Times are in milliseconds. ``id`` is the identifier of a request.
"""

from __future__ import annotations

from typing import NamedTuple


class Run(NamedTuple):
    """Start a queued request, or resume a paused one."""

    id: int


class CancelRun(NamedTuple):
    """Cancel a run as ``Settings.cancellation`` defines it. The action is illegal if that is NONE."""

    id: int


class Reject(NamedTuple):
    """Reject a request that never ran.

    Attributes:
        id: identifier of the request, which is over after this action.
        retry_after_ms: time for which the caller is asked not to retry at this server; 0 for no advice.
        do_not_retry: whether the caller is asked not to retry at another server either.
    """

    id: int
    retry_after_ms: float = 0.0
    do_not_retry: bool = False


class Fail(NamedTuple):
    """Answer a request with an error now. Its run may continue."""

    id: int


class CallDependency(NamedTuple):
    """Make the dependency call that a run waits for, and abandon the call after ``timeout_ms``."""

    id: int
    timeout_ms: float


class SkipDependencyCall(NamedTuple):
    """Continue a run without its dependency call, so that it gives a partial response."""

    id: int


class CacheResult(NamedTuple):
    """Cache the result of a request for ``ttl_ms`` from now on, so that its repeats are recognised."""

    id: int
    ttl_ms: float


class EvictResult(NamedTuple):
    """Evict the cached result of a request."""

    id: int


class RespondFromCache(NamedTuple):
    """Answer a repeat with the result of its original request, as soon as the result exists."""

    id: int


class SetHealth(NamedTuple):
    """Set the answer to health checks.

    Attributes:
        healthy: answer to health checks from now on.
        answered_from_cache: whether health checks are answered without any other work.
    """

    healthy: bool
    answered_from_cache: bool = True


class PublishLoad(NamedTuple):
    """Send ``load`` with every response from now on. ``Settings.load_signal`` defines its meaning."""

    load: float


class SetIdleTimeout(NamedTuple):
    """Close connections that have been unused for ``timeout_ms``."""

    timeout_ms: float


class SetTimer(NamedTuple):
    """Deliver a ``TimerFired`` event with ``token`` after ``delay_ms``."""

    delay_ms: float
    token: int = 0


class Log(NamedTuple):
    """Write one line to the log."""

    text: str


Action = (
    Run
    | CancelRun
    | Reject
    | Fail
    | CallDependency
    | SkipDependencyCall
    | CacheResult
    | EvictResult
    | RespondFromCache
    | SetHealth
    | PublishLoad
    | SetIdleTimeout
    | SetTimer
    | Log
)
