"""The balancers of one process of a cluster.

They send the request stream and record what came of each request. Which node a request goes to,
and when it is retried, is decided by the models in ``testbed.models``.
"""

from __future__ import annotations

import random
from array import array
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.routing.load_balancer import CallerPosition
from spindlerelay.testbed.cluster.attempts import Attempt
from spindlerelay.testbed.cluster.run_context import RunContext
from spindlerelay.testbed.load_generation.outcomes import Outcome
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import Balancer, index_by_weight
from spindlerelay.testbed.models.retry_path import NextStep, Response, RetryPath
from spindlerelay.testbed.tally import OutcomeTally

ANSWER_GRACE_MS = 500.0  # past its deadline a balancer still accepts a request's late answer
FINISH_GRACE_MS = 1000.0  # past the longest deadline, until open requests are given up


class PendingRequest:
    """One request at its balancer, until it has ended. Times in Unix ms."""

    __slots__ = ("order", "retry_path", "sent_at", "balancer", "open_attempts")

    def __init__(self, order: traffic.Request, retry_path: RetryPath, sent_at: float, balancer: int) -> None:
        self.order = order
        self.retry_path = retry_path
        self.sent_at = sent_at
        self.balancer = balancer
        self.open_attempts: dict[str, str] = {}  # their nodes, by call


class BalancerPool:
    """The balancers of one process.

    ``put`` carries an attempt to its node's pool, whose answer comes back to ``answered``.
    """

    def __init__(
        self,
        context: RunContext,
        own: Iterable[int],
        send_attempt: Callable[[Attempt], None],
    ) -> None:
        spec, orders, rng = context.spec, context.orders, context.rng
        every_balancer = {
            index: Balancer(habit, random.Random(rng.random()), CallerPosition(index, len(spec.balancers)))
            for index, habit in enumerate(spec.balancers)
        }
        self.send_attempt = send_attempt
        self.balancers = {index: every_balancer[index] for index in own}
        self.tally = OutcomeTally(spec.classes)
        self.rows = bytearray()  # one a request, as in load_generation.outcomes
        self.open_requests = 0
        self.started_at = 0.0  # of the first request, in Unix ms; 0 before
        self.max_send_delay_ms = 0.0  # longest that a request was sent later than meant
        self.attempt_times = array("d")  # of each attempt: time in ms since the first request
        self.attempt_balancers = array("H")  # and its balancer
        self.attempt_nodes = array("H")  # and its node
        self._loop = context.loop
        self._spec = spec
        self._rng = rng
        self._length_ms = spec.length_ms(orders)
        self._ended: set[int] = set()
        self._pending: dict[str, PendingRequest] = {}  # by call
        self._send_delays: dict[int, float] = {}  # of open requests, in ms
        weights = spec.balancer_weights or (1.0,) * len(spec.balancers)
        assigned = ((order, index_by_weight(weights, order.number)) for order in orders)
        self._requests = [(order, index) for order, index in assigned if index in self.balancers]
        self._next_request = 0
        self._by_deadline: dict[str, deque[PendingRequest]] = {each.name: deque() for each in spec.classes}
        self._longest_deadline_ms = max(each.deadline_ms for each in spec.classes)
        self._node_numbers = {name: number for number, name in enumerate(spec.node_names())}

    def learn(self, nodes: list[Instance]) -> None:
        """Give every balancer a new endpoint list."""
        for balancer in self.balancers.values():
            balancer.update_nodes(nodes, self._loop.now())

    def tick(self, now: float) -> float:
        """Send what is due and expire what is overdue; return ms since the first request."""
        at = now - self.started_at
        while (
            self._next_request < len(self._requests)
            and self._requests[self._next_request][0].arrival_ms <= at
        ):
            order, index = self._requests[self._next_request]
            self._next_request += 1
            self.max_send_delay_ms = max(self.max_send_delay_ms, at - order.arrival_ms)
            self._send(order, index)
        for pending in self._by_deadline.values():
            while pending and now > pending[0].sent_at + pending[0].order.cls.deadline_ms + ANSWER_GRACE_MS:
                self._expire(pending.popleft())
        return at

    def finished(self, at: float) -> bool:
        """Return whether every request has ended, or never will."""
        given_up_at = self._length_ms + self._longest_deadline_ms + FINISH_GRACE_MS
        return at >= self._length_ms and (not self.open_requests or at > given_up_at)

    def finish(self) -> None:
        """Record the requests that have not ended as lost."""
        for order, _ in self._requests[: self._next_request]:
            if order.number not in self._ended:
                self._add_row(order, 0, "lost", order.cls.deadline_ms, "no answer", False)

    def _send(self, order: traffic.Request, index: int) -> None:
        self.open_requests += 1
        self.tally.request_arrived(order.cls, order.arrival_ms)
        at = self.started_at + order.arrival_ms
        self._send_delays[order.number] = self._loop.now() - at
        retry_path = RetryPath(
            self.balancers[index], at + order.cls.deadline_ms, order.criticality, bool(order.idempotency_key)
        )
        request = PendingRequest(order, retry_path, at, index)
        self._by_deadline[order.cls.name].append(request)
        self._follow(request, retry_path.next_attempt(self._loop.now()))

    def resend(self, order: traffic.Request, node: str) -> None:
        """Send a request once more, to one node, with the full time that it was given at first."""
        now, index = self._loop.now(), next(iter(self.balancers))
        retry_path = RetryPath(
            self.balancers[index], now + order.cls.deadline_ms, order.criticality, bool(order.idempotency_key)
        )
        retry_path.next_attempt(now)
        self._send_attempt(PendingRequest(order, retry_path, now, index), node)

    def _follow(self, request: PendingRequest, step: NextStep) -> None:
        """Do what the retry path decided."""
        if step.kind == "try":
            assert step.node
            self._send_attempt(request, step.node.id)
        elif step.kind == "pause":
            self._loop.call_later(step.delay_ms, partial(self._retry, request))
        elif step.kind == "end":
            self._end(request, step.outcome, self._loop.now() - request.sent_at, step.reason)

    def _retry(self, request: PendingRequest) -> None:
        self._follow(request, request.retry_path.next_attempt(self._loop.now()))

    def _send_attempt(self, request: PendingRequest, node: str) -> None:
        now, retry_path = self._loop.now(), request.retry_path
        call = f"{self._rng.getrandbits(64):016x}"
        self._pending[call] = request
        request.open_attempts[call] = node
        self.attempt_times.append(now - self.started_at)
        self.attempt_balancers.append(request.balancer)
        self.attempt_nodes.append(self._node_numbers[node])
        if hedge_delay_ms := retry_path.next_attempt_delay_ms():
            self._loop.call_later(hedge_delay_ms, partial(self._hedge, call))
        due = request.sent_at + request.order.cls.deadline_ms
        marked = retry_path.is_marked_retry(retry_path.attempts)
        self.send_attempt(Attempt(call, request.order.number, request.balancer, node, now, due, marked))

    def _hedge(self, call: str) -> None:
        """Send a hedged request elsewhere; the first node is not notified, and the first result counts."""
        if request := self._pending.get(call):
            self._retry(request)

    def answered(self, call: str, answer: Response, partial_result: bool) -> None:
        """Take the answer to an attempt; one that has expired is ignored."""
        request = self._pending.pop(call, None)
        if request is None:
            return
        node, now = request.open_attempts.pop(call), self._loop.now()
        step = request.retry_path.on_response(now, node, answer)
        if step.kind == "end" and step.outcome == "served":
            self._end(request, "served", now - request.sent_at, "", partial_result)
        else:
            self._follow(request, step)

    def _expire(self, request: PendingRequest) -> None:
        """Give a request up; its nodes are not notified, and its connections stay open."""
        now = self._loop.now()
        for call, node in request.open_attempts.items():
            del self._pending[call]
            request.retry_path.release_attempt(now, node)
        request.open_attempts.clear()
        self._follow(request, request.retry_path.expire())

    def _end(
        self, request: PendingRequest, end: str, took_ms: float, reason: str, partial_result: bool = False
    ) -> None:
        order = request.order
        if order.number in self._ended:
            return
        self._ended.add(order.number)
        self.open_requests -= 1
        self.tally.request_ended(order.cls, order.arrival_ms, end, took_ms, partial_result)
        self._add_row(order, request.retry_path.attempts, end, took_ms, reason, partial_result)

    def _add_row(
        self,
        order: traffic.Request,
        attempts: int,
        end: str,
        took_ms: float,
        reason: str,
        partial_result: bool,
    ) -> None:
        self.rows += Outcome(
            order.arrival_ms,
            self._send_delays.pop(order.number, 0.0),
            order.number,
            took_ms,
            attempts,
            self._spec.classes.index(order.cls),
            traffic.TENANT_INDEX[order.tenant],
            end,
            reason,
            partial_result,
        ).to_row()
