"""Cache of responses to idempotent calls, used while a dependency cannot be called.

Pure. Bounded in bytes, entries and age; the least recently used entry is evicted first. A cached response is
used only for a call to the same dependency with an identical request body.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_BYTES = 2 << 20  # request bodies, responses and overhead of all dependencies together
MAX_RESPONSES = 4000
ENTRY_OVERHEAD_BYTES = 200


class ResponseCache:
    """Responses by dependency and request body; ``size_bytes`` is the estimated size of all entries."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self._responses: OrderedDict[tuple[str, bytes], tuple[float, bytes]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._responses)

    def store(self, now_ms: float, dependency_name: str, body: bytes, response: bytes) -> None:
        """Cache a response, replacing an earlier one to the same request body."""
        self._evict((dependency_name, body))
        size = len(body) + len(response) + ENTRY_OVERHEAD_BYTES
        if size > self.max_bytes:
            return
        self._responses[dependency_name, body] = (now_ms, response)
        self.size_bytes += size
        while self.size_bytes > self.max_bytes or len(self._responses) > MAX_RESPONSES:
            self._evict(next(iter(self._responses)))

    def get(self, now_ms: float, dependency_name: str, body: bytes, max_age_ms: float) -> bytes | None:
        """Return the cached response if it is at most ``max_age_ms`` old; otherwise evict it.

        A response that is newer than ``now_ms`` is evicted as well, since the clock was set back.
        """
        entry = self._responses.get((dependency_name, body))
        if entry is None:
            return None
        stored_ms, response = entry
        if not 0.0 <= now_ms - stored_ms <= max_age_ms:
            self._evict((dependency_name, body))
            return None
        self._responses.move_to_end((dependency_name, body))
        return response

    def evict_dependency(self, dependency_name: str) -> None:
        """Evict all responses of a dependency, as a server at a new address may hold other data."""
        for key in [key for key in self._responses if key[0] == dependency_name]:
            self._evict(key)

    def _evict(self, key: tuple[str, bytes]) -> None:
        if entry := self._responses.pop(key, None):
            self.size_bytes -= len(key[1]) + len(entry[1]) + ENTRY_OVERHEAD_BYTES
