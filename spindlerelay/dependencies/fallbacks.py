"""Choice of a fallback for a call that its primary dependency cannot serve, in the configured order.

Pure. Owns the cached responses. The scheduler executes the choice.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from spindlerelay.dependencies.call_estimates import time_limit_ms
from spindlerelay.dependencies.dependency_state import DependencyState
from spindlerelay.dependencies.pending_call import PendingCall
from spindlerelay.dependencies.response_cache import ResponseCache
from spindlerelay.dependencies.routing_table import SKIP_CALL, USE_CACHE

MIN_CALL_MS = 1.0


class CachedResponse(NamedTuple):
    """An earlier response of the primary dependency to the same request body."""

    body: bytes


class OtherDependency(NamedTuple):
    """Another dependency that has free capacity for the call."""

    dependency: DependencyState


class Fallbacks:
    """The fallbacks of all dependencies; ``dependencies`` maps their names to their states."""

    def __init__(self, dependencies: Mapping[str, DependencyState]) -> None:
        self._dependencies = dependencies
        self._cache = ResponseCache()

    def note_response(self, now_ms: float, call: PendingCall, response: bytes) -> None:
        """Cache a response if its dependency has a cache as fallback and the call is idempotent."""
        primary = call.primary
        if primary.spec.cache_max_age_ms and call.idempotent and not primary.removed:
            self._cache.store(now_ms, primary.spec.name, call.body, response)

    def evict_dependency(self, name: str) -> None:
        """Evict the cached responses of a dependency."""
        self._cache.evict_dependency(name)

    def choose(self, now_ms: float, call: PendingCall) -> CachedResponse | OtherDependency | None:
        """Return the next fallback that can serve a call; each fallback is considered once per call."""
        spec = call.primary.spec
        while call.next_fallback < len(spec.fallbacks):
            fallback = spec.fallbacks[call.next_fallback]
            call.next_fallback += 1
            if fallback == SKIP_CALL:
                break
            if fallback == USE_CACHE:
                response = self._cache.get(now_ms, spec.name, call.body, spec.cache_max_age_ms)
                if call.idempotent and response is not None:
                    return CachedResponse(response)
            elif (other := self._dependencies.get(fallback)) and self._can_serve(now_ms, call, other):
                return OtherDependency(other)
        return None

    def _can_serve(self, now_ms: float, call: PendingCall, other: DependencyState) -> bool:
        if call.may_have_run or not other.accepts_fallback(now_ms):
            return False
        return time_limit_ms(call, other, now_ms) >= max(MIN_CALL_MS, other.mean_call_ms(now_ms))
