"""Admission policy with a FIFO queue and a concurrency limit, and only the required protocol features.

The policy handles the same events and returns the same actions as ``admission.controller``. ``LossyPolicy``
wraps any policy and rejects a fraction of the requests without retry: a loss of known size, which tests the
measurement itself.
"""

from __future__ import annotations

import random
from collections import deque

from spindlerelay import api
from spindlerelay.node.protocols import AdmissionPolicy
from spindlerelay.testbed.baseline_policies.limits import ConcurrencyLimit

TICK_MS = 50.0
DEADLINE_MARGIN_MS = 10.0  # queued requests are rejected this long before their deadline
MIN_CALL_MS = 1.0


class _RequestState:
    __slots__ = ("id", "class_index", "arrived_at", "deadline", "started_at", "running", "answered")

    def __init__(self, event: api.RequestReceived, deadline_ms: float, now: float) -> None:
        self.id = event.id
        self.class_index = event.class_index
        self.arrived_at = now - event.read_delay_ms
        self.deadline = now + (event.remaining_ms or deadline_ms - event.read_delay_ms)
        self.started_at = 0.0
        self.running = False
        self.answered = False


class FixedQueuePolicy:
    """Admission policy of one node: a FIFO queue in front of a concurrency limit."""

    def __init__(self, settings: api.Settings, limit: ConcurrencyLimit) -> None:
        self._settings = settings
        self._limit = limit
        self._queue: deque[_RequestState] = deque()
        self.requests: dict[int, _RequestState] = {}
        # End of the idempotency window, by id of the original request.
        self._cached_until: dict[int, float] = {}
        self.running_count = 0
        self._last_arrival_admitted = float("inf")
        self._next_timer_at = 0.0
        self._started = False

    def status(self) -> api.ControllerStatus:
        """Return the utilization of the queue."""
        return api.ControllerStatus(min(1.0, len(self._queue) / max(1, self._limit.queue_capacity())))

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Process events and return the actions to carry out."""
        actions: list[api.Action] = []
        if not self._started:
            self._started = True
            actions.append(api.SetHealth(True, True))
        for event in events:
            self._handle(now_ms, event, actions)
        self._reject_expired(now_ms, actions)
        self._start_queued(now_ms, actions)
        if now_ms >= self._next_timer_at:
            self._cached_until = {
                request_id: until for request_id, until in self._cached_until.items() if until > now_ms
            }
            self._next_timer_at = now_ms + TICK_MS
            actions.append(api.SetTimer(TICK_MS))
        return actions

    def _handle(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        if isinstance(event, api.RequestReceived):
            self._receive(now, event, actions)
        elif isinstance(event, api.DrainStarted):
            self._last_arrival_admitted = now - event.elapsed_ms + self._settings.drain_grace_ms
            actions.append(api.SetHealth(False, True))
        elif isinstance(event, api.SettingsChanged):
            self._settings = event.settings
        elif not isinstance(event, api.TimerFired) and (request := self.requests.get(event.id)):
            self._handle_request_event(now, request, event, actions)

    def _handle_request_event(
        self,
        now: float,
        request: _RequestState,
        event: api.RunCompleted
        | api.CallerDisconnected
        | api.DependencyCallRequested
        | api.DependencyCallCompleted
        | api.RunUnconfirmed,
        actions: list[api.Action],
    ) -> None:
        if isinstance(event, api.RunCompleted):
            if request.running:
                self.running_count -= 1
                self._limit.run_ended(now, now - request.started_at, self.running_count + 1)
            self._remove(request)
        elif isinstance(event, api.CallerDisconnected):
            request.answered = True
            if not request.running:
                self._remove(request)
        elif isinstance(event, api.DependencyCallRequested):
            remaining_ms = request.deadline - now - DEADLINE_MARGIN_MS
            actions.append(
                api.CallDependency(request.id, remaining_ms)
                if remaining_ms > MIN_CALL_MS
                else api.Fail(request.id)
            )
        elif _lacks_call(event) and not request.answered:
            if self._settings.classes[request.class_index].partial_response_weight > 0:
                actions.append(api.SkipDependencyCall(request.id))
            else:
                request.answered = True
                actions.append(api.Fail(request.id))

    def _receive(self, now: float, event: api.RequestReceived, actions: list[api.Action]) -> None:
        class_settings = self._settings.classes[event.class_index]
        request = _RequestState(event, class_settings.deadline_ms, now)
        self.requests[event.id] = request
        keyed = class_settings.idempotency is api.Idempotency.KEYED
        original_known = event.original_id in self.requests or event.original_id in self._cached_until
        if event.original_id and original_known:
            actions.append(api.RespondFromCache(request.id))
            return
        full = len(self._queue) >= self._limit.queue_capacity()
        late = request.deadline <= now or request.arrived_at > self._last_arrival_admitted
        if full or late or (keyed and event.original_id):
            self._reject(request, actions)
            return
        if keyed:
            cached_until = request.arrived_at + class_settings.idempotency_window_ms + TICK_MS
            self._cached_until[request.id] = cached_until
            actions.append(api.CacheResult(request.id, cached_until - now))
        self._queue.append(request)

    def _reject_expired(self, now: float, actions: list[api.Action]) -> None:
        """Reject queued requests that are within ``DEADLINE_MARGIN_MS`` of their deadline."""
        expired = [request for request in self._queue if request.deadline - DEADLINE_MARGIN_MS <= now]
        for request in expired:
            self._queue.remove(request)
            self._reject(request, actions)

    def _start_queued(self, now: float, actions: list[api.Action]) -> None:
        while self._queue and self.running_count < self._limit.max_concurrency():
            request = self._queue.popleft()
            if request.id not in self.requests or request.answered:
                continue
            if self._limit.drops_head(now, now - request.arrived_at, len(self._queue) + 1):
                self._reject(request, actions)
                continue
            request.running = True
            request.started_at = now
            self.running_count += 1
            actions.append(api.Run(request.id))

    def _reject(self, request: _RequestState, actions: list[api.Action]) -> None:
        actions.append(api.Reject(request.id))
        self._remove(request)

    def _remove(self, request: _RequestState) -> None:
        self.requests.pop(request.id, None)


def _lacks_call(event: api.DependencyCallCompleted | api.RunUnconfirmed) -> bool:
    """Return whether a run waits at a call whose response it will not get."""
    if isinstance(event, api.RunUnconfirmed):
        return event.at_call
    return event.outcome is not api.Outcome.OK


class LossyPolicy:
    """Wrapper of a policy that rejects a random fraction of the requests, with the notice not to retry."""

    def __init__(self, policy: AdmissionPolicy, fraction: float, seed: int) -> None:
        self._policy = policy
        self._fraction = fraction
        self._random = random.Random(seed)

    def status(self) -> api.ControllerStatus:
        """Return the status of the wrapped policy."""
        return self._policy.status()

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Reject a random fraction of the new requests, and pass all other events to the wrapped policy."""
        dropped = list[api.RequestReceived]()
        forwarded = list[api.Event]()
        for event in events:
            if (
                isinstance(event, api.RequestReceived)
                and not event.original_id
                and self._random.random() < self._fraction
            ):
                dropped.append(event)
            else:
                forwarded.append(event)
        actions = self._policy.step(now_ms, forwarded)
        return actions + [api.Reject(request.id, 0.0, True) for request in dropped]
