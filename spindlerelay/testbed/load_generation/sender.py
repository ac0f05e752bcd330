"""The sender of one worker: sends requests at their intended times, independent of the responses.

A sender runs on its own event loop with ticks of 1 ms, on the monotonic clock. Only the timestamps that the
protocol requires use the system clock, and the sender counts the steps of that clock. It emits the outcome of
each request as a row.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.testbed.load_generation.outcomes import Outcome
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import Balancer, BalancerProfile, index_by_weight
from spindlerelay.testbed.models.retry_path import NextStep, Response, RetryPath
from spindlerelay.testbed.models.traffic import Request
from spindlerelay.testbed.servers.balancer_connections import BalancerConnections
from spindlerelay.testbed.servers.balancer_protocols import BalancerProtocol, MessagePackRpc, request_fields
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import monotonic_ms, unix_time_ms

TICK_MS = 1.0  # tick of the loop, which is the send delay that a sender itself may cause
HOUSEKEEPING_INTERVAL_MS = 50.0
ANSWER_GRACE_MS = 1000.0  # time after a request's deadline in which a response is still accepted
CLOCK_STEP_MS = 50.0  # the clocks drift less than this between two comparisons; a larger change is a step
MAX_REQUESTS_PER_CONNECTION = 32  # limit of requests in flight that the protocol sets
OPEN_LOOP = -1  # user index of open-loop requests, for which no user waits


class Target(NamedTuple):
    """A node that receives requests."""

    name: str
    address: tuple[str, int]


class ClockReport(NamedTuple):
    """Steps of the system clock that a worker detected; ``max_step_ms`` is the largest step."""

    clock_steps: int
    max_step_ms: float


class _PendingRequest(NamedTuple):
    request: Request
    retry_path: RetryPath
    balancer: int
    intended_at: float
    send_delay_ms: float
    user: int


class Sender:
    """Sends the requests of one worker, which must be sorted by arrival time.

    ``emit`` receives packed rows of ``outcomes``. If ``users`` is above 0, the sender is a closed loop: every
    user has at most one open request, and latency counts from the actual send time. Closed loops exist for
    comparison with open loops.
    """

    def __init__(  # noqa: PLR0913
        self,
        event_loop: EventLoop,
        requests: Sequence[Request],
        targets: Sequence[Target],
        balancers: Sequence[tuple[BalancerProfile, float]],
        emit: Callable[[bytes], None],
        seed: int = 0,
        users: int = 0,
        wall_clock: Callable[[], float] = unix_time_ms,
        protocol: Callable[[], BalancerProtocol] = MessagePackRpc,
    ) -> None:
        self._loop = event_loop
        self._requests = requests
        self._emit = emit
        self._users = users
        self._wall_clock = wall_clock
        self._rng = random.Random(seed)
        self._weights = tuple(weight for _, weight in balancers)
        self._balancers = [Balancer(profile, random.Random(self._rng.random())) for profile, _ in balancers]
        addresses = {target.name: target.address for target in targets}
        for balancer in self._balancers:
            balancer.update_nodes(
                [Instance(name, address, "passing", 100) for name, address in addresses.items()]
            )
        self._connections = [
            BalancerConnections(
                event_loop, addresses.__getitem__, _ignore, _ignore, protocol, MAX_REQUESTS_PER_CONNECTION
            )
            for _ in balancers
        ]
        self._started_at = 0.0
        self._sent = 0
        self._open_requests = 0
        self._next_index = 0
        self._pending: dict[int, deque[_PendingRequest]] = {}  # by class index, sorted by deadline
        self._queues: list[deque[Request]] = []  # requests to send, by user
        self._rows = bytearray()
        self._clock_offset = 0.0
        self._clock_steps = 0
        self._max_clock_step_ms = 0.0

    def begin(self, started_at: float) -> None:
        """Start sending; ``started_at`` is the stream's start on the loop's clock, now or shortly ahead."""
        self._started_at = started_at
        self._clock_offset = self._wall_clock() - self._loop.now()
        if self._users:
            self._queues = [deque(self._requests[user :: self._users]) for user in range(self._users)]
            for user in range(self._users):
                self._schedule_next_request(user)
        else:
            self._send_due()
        self._housekeep()

    def _schedule_next_request(self, user: int) -> None:
        """Schedule the next request of a closed-loop user at its arrival time, or now if it is overdue."""
        if self._queues[user]:
            request = self._queues[user].popleft()
            send_at = max(self._loop.now(), self._started_at + request.arrival_ms)
            self._loop.timers.schedule(send_at, partial(self._send, request, user))

    def _send_due(self) -> None:
        """Send all requests that are due, and set a timer for the next request."""
        requests, now = self._requests, self._loop.now()
        while (
            self._next_index < len(requests)
            and self._started_at + requests[self._next_index].arrival_ms <= now
        ):
            self._next_index += 1
            self._send(requests[self._next_index - 1], OPEN_LOOP)
            now = self._loop.now()
        if self._next_index < len(requests):
            self._loop.timers.schedule(
                self._started_at + requests[self._next_index].arrival_ms, self._send_due
            )

    def _send(self, request: Request, user: int) -> None:
        now = self._loop.now()
        send_delay_ms = now - self._started_at - request.arrival_ms if user == OPEN_LOOP else 0.0
        intended_at = self._started_at + request.arrival_ms if user == OPEN_LOOP else now
        balancer_index = index_by_weight(self._weights, request.number)
        self._sent += 1
        self._open_requests += 1
        deadline = intended_at + request.cls.deadline_ms
        retry_path = RetryPath(
            self._balancers[balancer_index], deadline, request.criticality, bool(request.idempotency_key)
        )
        pending = _PendingRequest(request, retry_path, balancer_index, intended_at, send_delay_ms, user)
        self._pending.setdefault(traffic.CLASS_INDEX[request.cls.name], deque()).append(pending)
        self._apply_step(pending, retry_path.next_attempt(now))

    def _apply_step(self, pending: _PendingRequest, step: NextStep) -> None:
        """Execute the next step that the retry path has decided."""
        if step.kind == "try":
            assert step.node
            self._send_attempt(pending, step.node.id)
        elif step.kind == "pause":
            self._loop.call_later(step.delay_ms, partial(self._retry, pending))
        elif step.kind == "end":
            self._end(pending, step)

    def _retry(self, pending: _PendingRequest) -> None:
        self._apply_step(pending, pending.retry_path.next_attempt(self._loop.now()))

    def _send_attempt(self, pending: _PendingRequest, node: str) -> None:
        request, retry_path = pending.request, pending.retry_path
        now, unix_now_ms = self._loop.now(), self._wall_clock()
        call_id = f"{self._rng.getrandbits(64):016x}"
        is_marked_retry = retry_path.is_marked_retry(retry_path.attempts)
        fields = request_fields(
            request, call_id, pending.balancer, unix_now_ms, retry_path.deadline - now, is_marked_retry
        )
        if next_attempt_delay_ms := retry_path.next_attempt_delay_ms():
            self._loop.call_later(next_attempt_delay_ms, partial(self._retry, pending))
        on_response = partial(self._handle_response, pending, node)
        connections = self._connections[pending.balancer]
        connections.send_request(node, call_id, request.cls.name, fields, request.body, on_response)

    def _handle_response(self, pending: _PendingRequest, node: str, response: Response) -> None:
        self._apply_step(pending, pending.retry_path.on_response(self._loop.now(), node, response))

    def _end(self, pending: _PendingRequest, step: NextStep) -> None:
        request = pending.request
        self._open_requests -= 1
        self._rows += Outcome(
            request.arrival_ms,
            pending.send_delay_ms,
            request.number,
            self._loop.now() - pending.intended_at,
            pending.retry_path.attempts,
            traffic.CLASS_INDEX[request.cls.name],
            traffic.TENANT_INDEX[request.tenant],
            step.outcome,
            step.reason,
        ).to_row()
        if pending.user != OPEN_LOOP:
            self._schedule_next_request(pending.user)

    def _housekeep(self) -> None:
        """Expire requests, compare the clocks, emit rows, and stop the loop when every request has ended."""
        now = self._loop.now()
        self._expire(now)
        self._compare_clocks(now)
        for connections in self._connections:
            connections.tick(now)
        if self._rows:
            rows, self._rows = bytes(self._rows), bytearray()
            self._emit(rows)
        if self._sent < len(self._requests) or self._open_requests:
            self._loop.call_later(HOUSEKEEPING_INTERVAL_MS, self._housekeep)
            return
        for connections in self._connections:
            connections.close()
        self._loop.running = False

    def _expire(self, now: float) -> None:
        for queue in self._pending.values():
            while queue and (
                queue[0].retry_path.finished or queue[0].retry_path.deadline + ANSWER_GRACE_MS <= now
            ):
                pending = queue.popleft()
                self._apply_step(pending, pending.retry_path.expire())

    def _compare_clocks(self, now: float) -> None:
        offset = self._wall_clock() - now
        step_ms = abs(offset - self._clock_offset)
        if step_ms > CLOCK_STEP_MS:
            self._clock_steps += 1
            self._max_clock_step_ms = max(self._max_clock_step_ms, step_ms)
        self._clock_offset = offset

    def clock_report(self) -> ClockReport:
        """Return the steps of the system clock that were detected so far."""
        return ClockReport(self._clock_steps, self._max_clock_step_ms)


def _ignore(*_: object) -> None:
    """Ignore written requests and unmatched responses: a load run has no checker that tracks them."""


def create_loop() -> EventLoop:
    """Return an event loop for a sender, on the monotonic clock and with ticks of ``TICK_MS``."""
    return EventLoop(monotonic_ms, TICK_MS)
