"""Retry logic of one request at its balancer: its attempts, and the end of the request.

The caller sends each attempt and passes its response back. A request ends exactly once. The module has no I/O
and no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.testbed.models.balancer import Balancer

MIN_REMAINING_MS = 150.0  # least time before the deadline for another attempt
LIST_RETRY_PAUSE_MS = 50.0  # pause of a balancer without an attempt limit before it tries all nodes again


class Response(NamedTuple):
    """The end of one attempt.

    ``kind`` is ``served``, ``refused``, ``failed``, ``unreached`` (the attempt was never written to a
    connection) or ``broken`` (the connection ended without a response).
    """

    kind: str
    body: bytes = b""
    published_load: float | None = None
    retry_after_ms: float = 0.0
    do_not_retry: bool = False
    reason: str = ""


class NextStep(NamedTuple):
    """The next step of the caller.

    ``kind`` is ``try`` (send an attempt to the node), ``pause`` (call ``next_attempt`` again after the
    delay), ``wait`` (wait for the open attempts) or ``end`` (end the request with the outcome and the
    reason).
    """

    kind: str
    node: Instance | None = None
    delay_ms: float = 0.0
    outcome: str = ""
    reason: str = ""


WAIT = NextStep("wait")
NO_NODE = "no node to try"
# Outcome of an attempt for the load balancer, by kind of response; all other kinds count as failed.
ATTEMPT_OUTCOMES = {"served": "served", "refused": "refused"}
# Outcome of a request by the kind of its last response; all other kinds are outcomes themselves.
REQUEST_OUTCOMES = {"unreached": "refused", "broken": "lost"}


def failure_reason(response: Response) -> str:
    """Return why an attempt was not served, as reports print it; empty if it was served."""
    match response.kind:
        case "served":
            return ""
        case "refused" if response.do_not_retry:
            return "told to stop"
        case "refused":
            return "told to wait" if response.retry_after_ms > 0 else "busy"
        case "failed" if response.reason.startswith("Late"):
            return "failed late"
        case "failed" if response.reason.startswith("BadRequest"):
            return "bad request"
        case "failed":
            return "failed"
    return response.kind


class RetryPath:
    """One request at one balancer.

    The deadline is in ms, on the same clock as all times that are passed to the methods.
    """

    def __init__(
        self, balancer: Balancer, deadline: float, criticality: float, has_idempotency_key: bool
    ) -> None:
        self.balancer = balancer
        self.deadline = deadline
        self.criticality = criticality
        self.has_idempotency_key = has_idempotency_key
        self.attempts = 0  # attempts sent
        self.open_attempts = 0  # attempts without a response
        self.tried_nodes: set[str] = set()
        self._last_sent: dict[str, float] = {}  # time of the last attempt, by node
        self.finished = False
        self._last_failure = ("refused", NO_NODE)  # outcome and reason of the last failed attempt

    def next_attempt(self, now: float) -> NextStep:
        """Return the next attempt, or the end of the request if no attempt is left and none is open."""
        if self.finished:
            return WAIT
        profile = self.balancer.profile
        has_time = self.deadline - now > MIN_REMAINING_MS
        may_retry = has_time and (not profile.max_attempts or self.attempts < profile.max_attempts)
        node = self.balancer.select_node(now, self.criticality, self.tried_nodes) if may_retry else None
        if node is None and may_retry and not profile.max_attempts:
            self.tried_nodes.clear()  # a balancer without an attempt limit tries all nodes again
            return WAIT if self.open_attempts else NextStep("pause", delay_ms=LIST_RETRY_PAUSE_MS)
        if node is None:
            if self.open_attempts:
                return WAIT
            outcome, reason = self._last_failure
            return self._end(outcome, reason if has_time or reason != NO_NODE else "out of time")
        self.attempts += 1
        self.open_attempts += 1
        self.tried_nodes.add(node.id)
        self.balancer.attempt_sent(now, node.id)
        self._last_sent[node.id] = now
        return NextStep("try", node)

    def on_response(self, now: float, node: str, response: Response) -> NextStep:
        """Process the response of an attempt, or the end of its connection; return the next step."""
        self.open_attempts -= 1
        outcome = ATTEMPT_OUTCOMES.get(response.kind, "failed")
        self.release_attempt(now, node, outcome, response.retry_after_ms)
        self.balancer.record_load_report(now, node, response.published_load, response.retry_after_ms)
        if self.finished:
            return WAIT
        if response.kind == "served":
            return self._end("served", "")
        self._last_failure = REQUEST_OUTCOMES.get(response.kind, response.kind), failure_reason(response)
        if self.open_attempts:
            return WAIT  # another attempt may still succeed
        if response.do_not_retry or (response.kind in ("failed", "broken") and self.has_idempotency_key):
            return self._end(*self._last_failure)
        return self.next_attempt(now)

    def release_attempt(
        self, now: float, node: str, outcome: str = "failed", retry_after_ms: float = 0.0
    ) -> None:
        """Release the balancer's open attempt at a node."""
        self.balancer.attempt_ended(now, node, now - self._last_sent.get(node, now), outcome, retry_after_ms)

    def next_attempt_delay_ms(self) -> float:
        """Return the ms until a hedged request is sent or the attempt times out; 0 means never.

        A keyed request, which is not idempotent, gets no second attempt while the first may still run.
        """
        profile = self.balancer.profile
        if self.has_idempotency_key:
            return 0.0
        if profile.hedge_delay_ms and self.attempts == 1:
            return profile.hedge_delay_ms
        return profile.attempt_timeout_ms

    def is_marked_retry(self, number: int) -> bool:
        """Return whether attempt ``number``, counted from 1, carries the retry mark."""
        return number > 1 and self.balancer.profile.marks_retries

    def expire(self) -> NextStep:
        """End the request at its deadline."""
        return WAIT if self.finished else self._end("lost", "no answer")

    def _end(self, outcome: str, reason: str) -> NextStep:
        self.finished = True
        return NextStep("end", outcome=outcome, reason=reason)
