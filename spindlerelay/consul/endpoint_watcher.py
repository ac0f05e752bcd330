"""Endpoint list of a service, read from the agent by blocking queries.

``EndpointList`` does no I/O; ``Watcher`` is its I/O adapter. ``spindlerelay.routing`` selects an endpoint
from the list. The index of blocking queries follows the rules of Consul's API: the index is 0 only in the
first query, it is reset to 0 when the agent's index goes backwards, and an unchanged index after a wait
means that the list is unchanged. While the agent fails, the last list stays in use until a newer list
arrives.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from spindlerelay.consul import api_codec
from spindlerelay.transport.backoff import Backoff
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.http_client import HttpClient, HttpFailure, HttpResponse

QUERY_WAIT_MS = 20_000.0  # time for which the agent blocks a query if nothing changes
QUERY_TIMEOUT_MARGIN_MS = 5_000.0  # a query times out this long after the agent's longest wait
AGENT_JITTER_FACTOR = 17 / 16  # the agent extends the wait by up to a sixteenth
MAX_RESPONSE_BYTES = 4 << 20
INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0
EXPIRY_INTERVAL_MS = 500.0
MIN_QUERY_INTERVAL_MS = 20.0  # prevents a busy loop of queries when the agent's index changes rapidly
RETENTION_MS = 5_000.0  # instances missing from an agent that lost its state are kept for this time
MAX_LOGGED_CHARS = 120


class EndpointList:
    """Holds the known instances of a service and the index of the next query."""

    def __init__(self) -> None:
        self.index = 0
        self.instances: tuple[api_codec.ServiceInstance, ...] = ()
        self._highest_index = 0  # highest index received since the agent last lost its state
        self._retained: dict[str, api_codec.ServiceInstance] = {}
        self._retained_until = 0.0

    def update(self, now: float, index: int, instances: tuple[api_codec.ServiceInstance, ...]) -> bool:
        """Apply a response received at ``now`` (ms) and return whether the list has changed."""
        if index < self._highest_index:  # the agent has lost its state
            self._retained = {instance.id: instance for instance in self.instances}
            self._retained_until = now + RETENTION_MS
            self.index = 0
        else:
            self.index = index
        self._highest_index = index
        return self._merge(now, instances)

    def reset(self) -> None:
        """Make the next query start at index 0 after a failure; the list is kept."""
        self.index = 0

    def expire(self, now: float) -> bool:
        """Remove retained instances whose retention has ended, and return whether the list has changed."""
        if not self._retained or now < self._retained_until:
            return False
        present = tuple(
            instance for instance in self.instances if self._retained.get(instance.id) != instance
        )
        self._retained = {}
        return self._merge(now, present)

    def _merge(self, now: float, instances: tuple[api_codec.ServiceInstance, ...]) -> bool:
        if now >= self._retained_until:
            self._retained = {}
        for instance in instances:
            self._retained.pop(instance.id, None)  # the instance has registered again
        merged = tuple(sorted((*instances, *self._retained.values())))
        changed = merged != self.instances
        self.instances = merged
        return changed


class Watcher:
    """Keeps the endpoint list of a service up to date.

    Args:
        loop: the event loop to run on.
        address: address of the agent.
        service: name of the service.
        on_change: called with the new list after every change.
        token: the ACL token, or "" to send no token.
        seed: seed of the jitter.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        service: str,
        on_change: Callable[[tuple[api_codec.ServiceInstance, ...]], None],
        token: str = "",
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.service = service
        self.on_change = on_change
        self.token = token
        self.endpoints = EndpointList()
        self.failure_count = 0
        self._backoff = Backoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, random.Random(seed))
        self._client = HttpClient(loop, address, MAX_RESPONSE_BYTES)
        self._stopped = False
        self._query()
        loop.call_later(EXPIRY_INTERVAL_MS, self._expire)

    def stop(self) -> None:
        """Stop the queries; the list stays as it is."""
        self._stopped = True
        self._client.cancel()

    def _query(self) -> None:
        if not self._stopped:
            request = api_codec.encode_blocking_query(
                self.service, self.endpoints.index, QUERY_WAIT_MS, self.token
            )
            timeout_ms = QUERY_WAIT_MS * AGENT_JITTER_FACTOR + QUERY_TIMEOUT_MARGIN_MS
            self._client.request(request, timeout_ms, self._query_completed)

    def _query_completed(self, response: HttpResponse | HttpFailure) -> None:
        result = api_codec.decode_blocking_query(response) if isinstance(response, HttpResponse) else None
        if result is None:
            self.failure_count += 1
            self.endpoints.reset()
            delay_ms = self._backoff.next_delay_ms()
            self.loop.warnings.warn("endpoint list not read from the agent", str(response)[:MAX_LOGGED_CHARS])
            self.loop.call_later(delay_ms, self._query)
            return
        self._backoff.reset()
        if self.endpoints.update(self.loop.now(), result.next_index, result.instances):
            self.on_change(self.endpoints.instances)
        self.loop.call_later(MIN_QUERY_INTERVAL_MS, self._query)

    def _expire(self) -> None:
        if self._stopped:
            return
        self.loop.call_later(EXPIRY_INTERVAL_MS, self._expire)
        if self.endpoints.expire(self.loop.now()):
            self.on_change(self.endpoints.instances)
