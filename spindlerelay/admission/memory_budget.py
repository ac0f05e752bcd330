"""The memory budget shared by queued requests, running requests and cached results.

This module owns the memory totals and the expiry times of cached results. It depends on the settings only.
"""

from __future__ import annotations

from spindlerelay import api

# Fraction of the memory for runs and cached results. The remaining memory is a margin: requests that are read
# between two steps take memory before the next decision.
MEMORY_FRACTION = 0.92
# Fraction of the memory for runs, cached results and the queue together.
QUEUE_FRACTION = (1.0 + MEMORY_FRACTION) / 2
# Most of the memory that entries of keyed requests leave free for runs.
MAX_RUN_RESERVE_FRACTION = 0.25
# Above this fraction of the memory, each read is run and its result is not cached for other reads.
READ_CACHE_FRACTION = MEMORY_FRACTION / 2


class MemoryBudget:
    """Tracks the memory of requests in kilobytes, and the expiry time of each cached result."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self.queued_kb = 0.0
        self.running_kb = 0.0
        self.idempotency_expiry_ms: dict[int, float] = {}  # keyed requests, by request id
        self.read_expiry_ms: dict[int, float] = {}  # reads of a resource, by request id

    def fits(self, additional_kb: float, fraction: float = MEMORY_FRACTION) -> bool:
        """Return whether ``additional_kb`` more memory stays within ``fraction`` of the budget."""
        settings = self._settings
        if not settings.memory_kb:
            return True
        used_kb = self.queued_kb + self.running_kb * settings.run_memory_factor
        entry_count = len(self.idempotency_expiry_ms) + len(self.read_expiry_ms)
        used_kb += entry_count * settings.idempotency_entry_kb
        return used_kb + additional_kb <= settings.memory_kb * fraction

    def run_reserve_kb(self, queued_kb: float) -> float:
        """Return the memory that a new entry must leave free, so that one request runs on each core.

        An entry stays for the length of a window. If entries took all memory, nothing could run until then.

        Args:
            queued_kb: memory of a typical request while it is queued.
        """
        settings = self._settings
        cores_kb = settings.cores * queued_kb * settings.run_memory_factor
        reserve_kb = min(cores_kb, settings.memory_kb * MAX_RUN_RESERVE_FRACTION)
        return max(0.0, reserve_kb - self.running_kb * settings.run_memory_factor)

    def is_cached(self, request_id: int) -> bool:
        """Return whether the result of a request is cached, or will be cached once the request has ended."""
        return request_id in self.idempotency_expiry_ms or request_id in self.read_expiry_ms

    def evict(self, request_id: int) -> bool:
        """Remove the cache entry of a request and return whether there was one."""
        return (
            self.idempotency_expiry_ms.pop(request_id, None) is not None
            or self.read_expiry_ms.pop(request_id, None) is not None
        )

    def expire(self, now_ms: float) -> list[int]:
        """Remove expired entries and return the request ids of the expired reads.

        The ids of keyed requests are not returned: their results expire by the time to live of
        ``CacheResult``.
        """
        expired_keyed_ids = [
            request_id for request_id, expiry_ms in self.idempotency_expiry_ms.items() if expiry_ms <= now_ms
        ]
        for request_id in expired_keyed_ids:
            del self.idempotency_expiry_ms[request_id]
        expired_ids = [
            request_id for request_id, expiry_ms in self.read_expiry_ms.items() if expiry_ms <= now_ms
        ]
        for request_id in expired_ids:
            del self.read_expiry_ms[request_id]
        return expired_ids
