"""Registry of the attempts at the nodes of one pool, and of the runs and dependency calls that they cause.

It has no sockets and no timers. The call identifier of an attempt is also the identifier of its run.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from spindlerelay.testbed.cluster.spec import ClusterSpec
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.dependents import call_body


class Attempt(NamedTuple):
    """One attempt of a request at one node, as its balancer sent it.

    Attributes:
        call_id: identifier of the attempt and of its run.
        request_number: position of the request in the stream, which is the same in all processes.
        balancer: index of the balancer.
        node: name of the node.
        sent_at: time in Unix ms at which the balancer sent the attempt.
        deadline: time in Unix ms at which the request expires.
        is_marked_retry: whether the attempt carries the protocol's retry mark.
    """

    call_id: str
    request_number: int
    balancer: int
    node: str
    sent_at: float
    deadline: float
    is_marked_retry: bool


class OpenAttempt:
    """An attempt at a node, its request, and whether it has been written to the node."""

    __slots__ = ("attempt", "request", "written")

    def __init__(self, attempt: Attempt, request: traffic.Request) -> None:
        self.attempt = attempt
        self.request = request
        self.written = False


class AttemptRegistry:
    """Open attempts, runs on interpreters and the dependency calls that runs wait for.

    Attributes:
        open: attempts without a response, by call identifier.
        running: attempts whose run is on an interpreter, by call identifier.
        waiting_calls: number of the dependency call that a run waits for, by call identifier.
        partial_runs: call identifiers of the runs that continued without a dependency call.
        skipped_calls: skipped dependency calls by class.
    """

    def __init__(self, spec: ClusterSpec, requests: list[traffic.Request]) -> None:
        self.open: dict[str, OpenAttempt] = {}
        self.running: dict[str, OpenAttempt] = {}
        self.waiting_calls: dict[str, int] = {}
        self.partial_runs: set[str] = set()
        self.skipped_calls: Counter[str] = Counter()
        self._spec = spec
        self._requests = requests

    def add(self, attempt: Attempt) -> None:
        """Register an attempt that has arrived at its node's machine."""
        self.open[attempt.call_id] = OpenAttempt(attempt, self._requests[attempt.request_number])

    def unwritten_call_ids(self, node: str) -> list[str]:
        """Return the call identifiers of the attempts at a node that its machine has not read yet."""
        return [
            call_id
            for call_id, pending in self.open.items()
            if pending.attempt.node == node and not pending.written
        ]

    def skip_call(self, call_id: str) -> None:
        """Record that a run continues without the dependency call that it waited for."""
        self.partial_runs.add(call_id)
        if pending := self.running.get(call_id):
            self.skipped_calls[pending.request.cls.name] += 1

    def end_run(self, call_id: str) -> None:
        """Remove a run that has ended."""
        self.running.pop(call_id, None)
        self.waiting_calls.pop(call_id, None)

    def call_cost_ms(self, call_id: str) -> float | None:
        """Return the service time in an idle store of the call that a run waits for; None if no run waits."""
        number = self.waiting_calls.get(call_id, 0)
        pending = self.running.get(call_id)
        if not number or not pending:
            return None
        return pending.request.call_work[number - 1] * self._spec.store_spec().call_ms

    def node_of(self, call_id: str) -> str:
        """Return the name of the node that a run belongs to; empty if the run is unknown."""
        pending = self.running.get(call_id)
        return pending.attempt.node if pending else ""

    def call_body(self, call_id: str, number: int) -> bytes:
        """Return the body of a run's dependency call.

        With several dependencies, the body is the same for all attempts of a request. With the single store,
        the body contains the call identifier of the attempt.
        """
        pending = self.running.get(call_id)
        if self._spec.dependencies and pending:
            return call_body(pending.request, number)
        request_number = pending.request.number if pending else 0
        return b"call %d of %s for %d" % (number, call_id.encode(), request_number)


def call_cost_of_body(body: bytes, requests: list[traffic.Request], call_ms: float) -> float | None:
    """Return the service time in ms of a dependency call in an idle store, from the body of the call alone.

    A store in another process than the runs has no registry of attempts. Returns None for a body that
    ``AttemptRegistry.call_body`` did not create.
    """
    words = body.split()
    try:
        return requests[int(words[5])].call_work[int(words[1]) - 1] * call_ms
    except (IndexError, ValueError):
        return None
