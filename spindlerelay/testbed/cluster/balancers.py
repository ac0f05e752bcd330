"""The balancers of one process of a cluster.

They send the request stream and record the outcome of each request. The models in ``testbed.models`` select
the node of an attempt and decide about retries.
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

# How long after its deadline a request still accepts a late response.
RESPONSE_GRACE_MS = 500.0
# How long a run waits for open requests, after the end of the stream and the longest deadline.
FINISH_GRACE_MS = 1000.0


class PendingRequest:
    """One request at its balancer, until it has ended.

    Attributes:
        request: the request as it was drawn.
        retry_path: model that decides about the attempts of the request.
        scheduled_at: time in Unix ms at which the request was due to be sent; latency counts from it.
        balancer: index of the balancer.
        open_attempts: node of each open attempt, by call identifier.
    """

    __slots__ = ("request", "retry_path", "scheduled_at", "balancer", "open_attempts")

    def __init__(
        self, request: traffic.Request, retry_path: RetryPath, scheduled_at: float, balancer: int
    ) -> None:
        self.request = request
        self.retry_path = retry_path
        self.scheduled_at = scheduled_at
        self.balancer = balancer
        self.open_attempts: dict[str, str] = {}


class BalancerPool:
    """The balancers of one process.

    ``send_attempt`` passes an attempt to the pool of its node; the response comes back through
    ``handle_response``.

    Attributes:
        balancers: the balancers of this process by index; ``owned_indices`` names them.
        tally: statistics of arrivals and outcomes.
        rows: one row for each ended request, in the format of ``load_generation.outcomes``.
        open_requests: number of requests that have been sent and have not ended.
        started_at: time of the first request in Unix ms; 0 before the run has started.
        max_send_delay_ms: longest delay of a request between its scheduled and its actual time.
        attempt_times: time of each attempt in ms since the first request.
        attempt_balancers: index of the balancer of each attempt, parallel to ``attempt_times``.
        attempt_nodes: index of the node of each attempt, parallel to ``attempt_times``.
    """

    def __init__(
        self,
        context: RunContext,
        owned_indices: Iterable[int],
        send_attempt: Callable[[Attempt], None],
    ) -> None:
        spec, requests, rng = context.spec, context.requests, context.rng
        all_balancers = {
            balancer_index: Balancer(
                profile, random.Random(rng.random()), CallerPosition(balancer_index, len(spec.balancers))
            )
            for balancer_index, profile in enumerate(spec.balancers)
        }
        self.send_attempt = send_attempt
        self.balancers = {balancer_index: all_balancers[balancer_index] for balancer_index in owned_indices}
        self.tally = OutcomeTally(spec.classes)
        self.rows = bytearray()
        self.open_requests = 0
        self.started_at = 0.0
        self.max_send_delay_ms = 0.0
        self.attempt_times = array("d")
        self.attempt_balancers = array("H")
        self.attempt_nodes = array("H")
        self._loop = context.loop
        self._spec = spec
        self._rng = rng
        self._length_ms = spec.length_ms(requests)
        self._ended_numbers: set[int] = set()
        self._pending: dict[str, PendingRequest] = {}  # by call identifier
        self._send_delays: dict[int, float] = {}  # by number of the open request, in ms
        weights = spec.balancer_weights or (1.0,) * len(spec.balancers)
        assigned = ((request, index_by_weight(weights, request.number)) for request in requests)
        self._requests = [
            (request, balancer_index)
            for request, balancer_index in assigned
            if balancer_index in self.balancers
        ]
        self._next_request = 0
        # Requests by class, in order of their deadlines.
        self._by_deadline: dict[str, deque[PendingRequest]] = {cls.name: deque() for cls in spec.classes}
        self._longest_deadline_ms = max(cls.deadline_ms for cls in spec.classes)
        self._node_numbers = {name: number for number, name in enumerate(spec.node_names())}

    def update_endpoints(self, nodes: list[Instance]) -> None:
        """Pass a new endpoint list to every balancer."""
        for balancer in self.balancers.values():
            balancer.update_nodes(nodes, self._loop.now())

    def tick(self, now: float) -> float:
        """Send due requests, expire overdue requests, and return the time in ms since the first request."""
        elapsed_ms = now - self.started_at
        while (
            self._next_request < len(self._requests)
            and self._requests[self._next_request][0].arrival_ms <= elapsed_ms
        ):
            request, balancer_index = self._requests[self._next_request]
            self._next_request += 1
            self.max_send_delay_ms = max(self.max_send_delay_ms, elapsed_ms - request.arrival_ms)
            self._send(request, balancer_index)
        for queue in self._by_deadline.values():
            while (
                queue and now > queue[0].scheduled_at + queue[0].request.cls.deadline_ms + RESPONSE_GRACE_MS
            ):
                self._expire(queue.popleft())
        return elapsed_ms

    def finished(self, elapsed_ms: float) -> bool:
        """Return whether every request has ended or the time limit for open requests has passed."""
        wait_ends_at = self._length_ms + self._longest_deadline_ms + FINISH_GRACE_MS
        return elapsed_ms >= self._length_ms and (not self.open_requests or elapsed_ms > wait_ends_at)

    def finish(self) -> None:
        """Record the requests that were sent and have not ended as lost."""
        for request, _ in self._requests[: self._next_request]:
            if request.number not in self._ended_numbers:
                self._add_row(request, 0, "lost", request.cls.deadline_ms, "no answer", False)

    def _send(self, request: traffic.Request, balancer_index: int) -> None:
        self.open_requests += 1
        self.tally.request_arrived(request.cls, request.arrival_ms)
        scheduled_at = self.started_at + request.arrival_ms
        self._send_delays[request.number] = self._loop.now() - scheduled_at
        retry_path = RetryPath(
            self.balancers[balancer_index],
            scheduled_at + request.cls.deadline_ms,
            request.criticality,
            bool(request.idempotency_key),
        )
        pending = PendingRequest(request, retry_path, scheduled_at, balancer_index)
        self._by_deadline[request.cls.name].append(pending)
        self._execute_step(pending, retry_path.next_attempt(self._loop.now()))

    def resend(self, request: traffic.Request, node: str) -> None:
        """Send a request again to the given node, with a new deadline of full length."""
        now, balancer_index = self._loop.now(), next(iter(self.balancers))
        retry_path = RetryPath(
            self.balancers[balancer_index],
            now + request.cls.deadline_ms,
            request.criticality,
            bool(request.idempotency_key),
        )
        retry_path.next_attempt(now)
        self._send_attempt(PendingRequest(request, retry_path, now, balancer_index), node)

    def _execute_step(self, pending: PendingRequest, step: NextStep) -> None:
        """Execute a decision of the retry path."""
        if step.kind == "try":
            assert step.node
            self._send_attempt(pending, step.node.id)
        elif step.kind == "pause":
            self._loop.call_later(step.delay_ms, partial(self._retry, pending))
        elif step.kind == "end":
            self._end_request(pending, step.outcome, self._loop.now() - pending.scheduled_at, step.reason)

    def _retry(self, pending: PendingRequest) -> None:
        self._execute_step(pending, pending.retry_path.next_attempt(self._loop.now()))

    def _send_attempt(self, pending: PendingRequest, node: str) -> None:
        now, retry_path = self._loop.now(), pending.retry_path
        call_id = f"{self._rng.getrandbits(64):016x}"
        self._pending[call_id] = pending
        pending.open_attempts[call_id] = node
        self.attempt_times.append(now - self.started_at)
        self.attempt_balancers.append(pending.balancer)
        self.attempt_nodes.append(self._node_numbers[node])
        if hedge_delay_ms := retry_path.next_attempt_delay_ms():
            self._loop.call_later(hedge_delay_ms, partial(self._hedge, call_id))
        deadline = pending.scheduled_at + pending.request.cls.deadline_ms
        is_marked_retry = retry_path.is_marked_retry(retry_path.attempts)
        self.send_attempt(
            Attempt(call_id, pending.request.number, pending.balancer, node, now, deadline, is_marked_retry)
        )

    def _hedge(self, call_id: str) -> None:
        """Send a hedged attempt to another node; the first node is not notified, the first result counts."""
        if pending := self._pending.get(call_id):
            self._retry(pending)

    def handle_response(self, call_id: str, response: Response, partial_result: bool) -> None:
        """Handle the response to an attempt; a response to an expired attempt is ignored."""
        pending = self._pending.pop(call_id, None)
        if pending is None:
            return
        node, now = pending.open_attempts.pop(call_id), self._loop.now()
        step = pending.retry_path.on_response(now, node, response)
        if step.kind == "end" and step.outcome == "served":
            self._end_request(pending, "served", now - pending.scheduled_at, "", partial_result)
        else:
            self._execute_step(pending, step)

    def _expire(self, pending: PendingRequest) -> None:
        """End a request without a response; its nodes are not notified, and the connections stay open."""
        now = self._loop.now()
        for call_id, node in pending.open_attempts.items():
            del self._pending[call_id]
            pending.retry_path.release_attempt(now, node)
        pending.open_attempts.clear()
        self._execute_step(pending, pending.retry_path.expire())

    def _end_request(
        self,
        pending: PendingRequest,
        outcome: str,
        latency_ms: float,
        reason: str,
        partial_result: bool = False,
    ) -> None:
        request = pending.request
        if request.number in self._ended_numbers:
            return
        self._ended_numbers.add(request.number)
        self.open_requests -= 1
        self.tally.request_ended(request.cls, request.arrival_ms, outcome, latency_ms, partial_result)
        self._add_row(request, pending.retry_path.attempts, outcome, latency_ms, reason, partial_result)

    def _add_row(
        self,
        request: traffic.Request,
        attempts: int,
        outcome: str,
        latency_ms: float,
        reason: str,
        partial_result: bool,
    ) -> None:
        self.rows += Outcome(
            request.arrival_ms,
            self._send_delays.pop(request.number, 0.0),
            request.number,
            latency_ms,
            attempts,
            self._spec.classes.index(request.cls),
            traffic.TENANT_INDEX[request.tenant],
            outcome,
            reason,
            partial_result,
        ).to_row()
