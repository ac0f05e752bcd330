"""One worker's sending: requests leave at their times, whatever has been answered.

It runs on a loop of its own with ticks of 1 ms, on the steady clock: only the timestamps that the protocol
asks for are on the system's clock, and steps of that one are counted. What came of each request leaves as
rows.
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

TICK_MS = 1.0  # of the loop: what a sender may be late by itself
HOUSEKEEPING_INTERVAL_MS = 50.0
ANSWER_GRACE_MS = 1000.0  # past a request's deadline, in which a late answer still counts as one
CLOCK_STEP_MS = 50.0  # by which the two clocks may drift apart between two looks: more is a step
MAX_REQUESTS_PER_CONNECTION = 32  # at once, by the protocol
OPEN_LOOP = -1  # the user of a request that nobody waits for


class Target(NamedTuple):
    """A node to send to."""

    name: str
    address: tuple[str, int]


class ClockReport(NamedTuple):
    """Steps of the system's clock that a worker noticed; ``step_ms`` is the widest."""

    clock_steps: int
    max_step_ms: float


class _PendingRequest(NamedTuple):
    order: Request
    retry_path: RetryPath
    balancer: int
    intended_at: float
    send_delay_ms: float
    user: int


class Sender:
    """Sends the requests of one worker, which are in the order of their times.

    ``emit`` takes packed rows of ``outcomes``. ``users`` above 0 makes it a closed loop: so many users, each
    with one request open, and latency from the sending. Open loops are compared with it.
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
        dialect: Callable[[], BalancerProtocol] = MessagePackRpc,
    ) -> None:
        self._loop = event_loop
        self._orders = requests
        self._emit = emit
        self._users = users
        self._wall_clock = wall_clock
        self._rng = random.Random(seed)
        self._weights = tuple(weight for _, weight in balancers)
        self._balancers = [Balancer(habit, random.Random(self._rng.random())) for habit, _ in balancers]
        addresses = {target.name: target.address for target in targets}
        for balancer in self._balancers:
            balancer.update_nodes(
                [Instance(name, address, "passing", 100) for name, address in addresses.items()]
            )
        self._connections = [
            BalancerConnections(
                event_loop, addresses.__getitem__, _ignore, _ignore, dialect, MAX_REQUESTS_PER_CONNECTION
            )
            for _ in balancers
        ]
        self._started = 0.0
        self._sent = 0
        self._open_requests = 0
        self._next = 0
        self._pending: dict[int, deque[_PendingRequest]] = {}  # by class, in the order of their deadlines
        self._queues: list[deque[Request]] = []  # of each user
        self._rows = bytearray()
        self._clock_offset = 0.0
        self._clock_steps = 0
        self._max_clock_step_ms = 0.0

    def begin(self, started: float) -> None:
        """Start sending; ``started`` is the stream's start on the loop's clock, at most a moment ahead."""
        self._started = started
        self._clock_offset = self._wall_clock() - self._loop.now()
        if self._users:
            self._queues = [deque(self._orders[user :: self._users]) for user in range(self._users)]
            for user in range(self._users):
                self._schedule_next_of(user)
        else:
            self._send_due()
        self._housekeep()

    def _schedule_next_of(self, user: int) -> None:
        """Let a closed loop's user send its next request when it is due, or else at once."""
        if self._queues[user]:
            order = self._queues[user].popleft()
            send_at = max(self._loop.now(), self._started + order.arrival_ms)
            self._loop.timers.schedule(send_at, partial(self._send, order, user))

    def _send_due(self) -> None:
        """Send all that is due, then sleep until the next request is."""
        orders, now = self._orders, self._loop.now()
        while self._next < len(orders) and self._started + orders[self._next].arrival_ms <= now:
            self._next += 1
            self._send(orders[self._next - 1], OPEN_LOOP)
            now = self._loop.now()
        if self._next < len(orders):
            self._loop.timers.schedule(self._started + orders[self._next].arrival_ms, self._send_due)

    def _send(self, order: Request, user: int) -> None:
        now = self._loop.now()
        send_delay_ms = now - self._started - order.arrival_ms if user == OPEN_LOOP else 0.0
        intended_at = self._started + order.arrival_ms if user == OPEN_LOOP else now
        index = index_by_weight(self._weights, order.number)
        self._sent += 1
        self._open_requests += 1
        deadline = intended_at + order.cls.deadline_ms
        retry_path = RetryPath(
            self._balancers[index], deadline, order.criticality, bool(order.idempotency_key)
        )
        request = _PendingRequest(order, retry_path, index, intended_at, send_delay_ms, user)
        self._pending.setdefault(traffic.CLASS_INDEX[order.cls.name], deque()).append(request)
        self._follow(request, retry_path.next_attempt(now))

    def _follow(self, request: _PendingRequest, step: NextStep) -> None:
        """Do what the retry path decided."""
        if step.kind == "try":
            assert step.node
            self._send_attempt(request, step.node.id)
        elif step.kind == "pause":
            self._loop.call_later(step.delay_ms, partial(self._retry, request))
        elif step.kind == "end":
            self._end(request, step)

    def _retry(self, request: _PendingRequest) -> None:
        self._follow(request, request.retry_path.next_attempt(self._loop.now()))

    def _send_attempt(self, request: _PendingRequest, node: str) -> None:
        order, retry_path = request.order, request.retry_path
        now, wall = self._loop.now(), self._wall_clock()
        call = f"{self._rng.getrandbits(64):016x}"
        marked = retry_path.is_marked_retry(retry_path.attempts)
        fields = request_fields(order, call, request.balancer, wall, retry_path.deadline - now, marked)
        if hedge_delay_ms := retry_path.next_attempt_delay_ms():
            self._loop.call_later(hedge_delay_ms, partial(self._retry, request))
        on_answer = partial(self._answered, request, node)
        connections = self._connections[request.balancer]
        connections.send_request(node, call, order.cls.name, fields, order.body, on_answer)

    def _answered(self, request: _PendingRequest, node: str, answer: Response) -> None:
        self._follow(request, request.retry_path.on_response(self._loop.now(), node, answer))

    def _end(self, request: _PendingRequest, step: NextStep) -> None:
        order = request.order
        self._open_requests -= 1
        self._rows += Outcome(
            order.arrival_ms,
            request.send_delay_ms,
            order.number,
            self._loop.now() - request.intended_at,
            request.retry_path.attempts,
            traffic.CLASS_INDEX[order.cls.name],
            traffic.TENANT_INDEX[order.tenant],
            step.outcome,
            step.reason,
        ).to_row()
        if request.user != OPEN_LOOP:
            self._schedule_next_of(request.user)

    def _housekeep(self) -> None:
        """Expire requests, compare the clocks, emit the rows, and stop the loop when all is over."""
        now = self._loop.now()
        self._expire(now)
        self._compare_clocks(now)
        for connections in self._connections:
            connections.tick(now)
        if self._rows:
            rows, self._rows = bytes(self._rows), bytearray()
            self._emit(rows)
        if self._sent < len(self._orders) or self._open_requests:
            self._loop.call_later(HOUSEKEEPING_INTERVAL_MS, self._housekeep)
            return
        for connections in self._connections:
            connections.close()
        self._loop.running = False

    def _expire(self, now: float) -> None:
        for pending in self._pending.values():
            while pending and (
                pending[0].retry_path.finished or pending[0].retry_path.deadline + ANSWER_GRACE_MS <= now
            ):
                request = pending.popleft()
                self._follow(request, request.retry_path.expire())

    def _compare_clocks(self, now: float) -> None:
        offset = self._wall_clock() - now
        step_ms = abs(offset - self._clock_offset)
        if step_ms > CLOCK_STEP_MS:
            self._clock_steps += 1
            self._max_clock_step_ms = max(self._max_clock_step_ms, step_ms)
        self._clock_offset = offset

    def clock_report(self) -> ClockReport:
        """Return the steps of the system's clock so far."""
        return ClockReport(self._clock_steps, self._max_clock_step_ms)


def _ignore(*_: object) -> None:
    """Ignore that a request was written, or that an answer came too late: there is no checker here."""


def create_loop() -> EventLoop:
    """Return a sender's loop: on the steady clock, with fine ticks."""
    return EventLoop(monotonic_ms, TICK_MS)
