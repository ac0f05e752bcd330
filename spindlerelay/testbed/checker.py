"""Checks the platform's four rules from what passed on the sockets, without asking any node.

The caller reports each request when it is written, each response, run, result and end of a node. Times are
Unix ms. The limits are those of the platform's protocol, each with its allowance for sockets.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

RULE_TOLERANCE_MS = 60.0  # of the rules themselves
SOCKET_TOLERANCE_MS = 50.0  # on sockets, on top of each limit
DRAIN_GRACE_MS = 2500.0
LATE_RESPONSE_WAIT_MS = 500.0  # in which a late response is reported as such, with how late it was


class Violation(NamedTuple):
    """One violation; the rule is ``lost``, ``duplicate``, ``drain`` or ``fall_over``."""

    rule: str
    node: str
    detail: str


class _Attempt(NamedTuple):
    """One request as it was written to one node."""

    node: str
    cls: str
    key: str
    body: bytes
    received_at: float
    due: float
    written_at: float


class RuleChecker:
    """The checks of one run.

    ``violations`` holds the first ``MAX_VIOLATIONS`` violations, ``counts`` the number of all by rule.
    """

    MAX_VIOLATIONS = 200

    def __init__(self, key_window_ms: float, drain_grace_ms: float = DRAIN_GRACE_MS) -> None:
        self._idempotency_window_ms = key_window_ms
        self._drain_grace_ms = drain_grace_ms
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self._open: dict[str, _Attempt] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._answered_calls: set[str] = set()
        self._results: dict[str, bytes] = {}
        self._results_by_key: dict[tuple[str, str], set[bytes]] = {}
        self._run_by_key: dict[tuple[str, str], tuple[str, float]] = {}  # call and arrival of the last run
        self._runs: set[tuple[str, str]] = set()  # node and call
        self._draining_since: dict[str, float] = {}
        self._durable_nodes: set[str] = set()  # their idempotency windows outlive their processes
        self._network_faults: Counter[str] = Counter()  # of each node, on its links to balancers

    def record_violation(self, rule: str, node: str, detail: str) -> None:
        """Record a violation, here or by the caller for what only it sees on its sockets."""
        self.counts[rule] += 1
        if len(self.violations) < self.MAX_VIOLATIONS:
            self.violations.append(Violation(rule, node, detail))

    def request_written(
        self,
        call: str,
        node: str,
        cls: str,
        key: str,
        body: bytes,
        received_at: float,
        due: float,
        now: float | None = None,
    ) -> None:
        """Record that a request's last byte was written to a connection that the node's machine accepted.

        It was written at ``now``, by default when it arrived. One written past its due time must be answered
        at once.
        """
        written_at = received_at if now is None else now
        due = math.inf if self._network_faults[node] else max(due, written_at)
        attempt = _Attempt(node, cls, key, body, received_at, due, written_at)
        self._open[call] = attempt
        self._attempts[call] = attempt

    def run_started(self, call: str, node: str, cls: str, body: bytes) -> None:
        """Record that an interpreter was told to run a request."""
        attempt = self._attempts.get(call)
        if attempt is None or attempt.node != node:
            self.record_violation("lost", node, f"{call}: run, though it was never written to this node")
            return
        if (attempt.cls, attempt.body) != (cls, body):
            self.record_violation(
                "lost", node, f"{call}: class or body changed on the way to the interpreter"
            )
        if (node, call) in self._runs:
            return  # by the protocol nothing happens for a request that runs already
        self._runs.add((node, call))
        if attempt.key:
            self._check_idempotency(call, attempt)
        grace_end = self._draining_since.get(node, math.inf) + self._drain_grace_ms + SOCKET_TOLERANCE_MS
        if attempt.received_at > grace_end:
            self.record_violation("drain", node, f"{call}: run, though it came past the grace")

    def _check_idempotency(self, call: str, attempt: _Attempt) -> None:
        node = attempt.node
        previous = self._run_by_key.get((node, attempt.key))
        if previous and previous[0] != call and self._in_window(attempt, previous):
            since_ms = attempt.received_at - previous[1]
            self.record_violation(
                "duplicate", node, f"{call}: its key ran {since_ms:.0f} ms before as {previous[0]}"
            )
        self._run_by_key[node, attempt.key] = (call, attempt.received_at)

    def _in_window(self, attempt: _Attempt, previous: tuple[str, float]) -> bool:
        return attempt.received_at < previous[1] + self._idempotency_window_ms

    def run_ended(self, call: str, node: str, result: bytes) -> None:
        """Record that a run has ended with a result."""
        self._results[call] = result
        if (attempt := self._attempts.get(call)) and attempt.key:
            self._results_by_key.setdefault((node, attempt.key), set()).add(result)

    def response_received(self, now: float, call: str, kind: str, result: bytes = b"") -> None:
        """Record a response; its kind is ``served``, ``refused`` or ``failed``."""
        attempt = self._attempts.get(call)
        if attempt is None:
            return
        if call in self._answered_calls:
            self.record_violation("duplicate", attempt.node, f"{call}: answered twice")
            return
        self._answered_calls.add(call)
        self._open.pop(call, None)
        if now > attempt.due + RULE_TOLERANCE_MS + SOCKET_TOLERANCE_MS:
            unwritten_ms = attempt.written_at - attempt.received_at
            detail = (
                f"answered {now - attempt.due:.0f} ms past its due time, "
                f"written {unwritten_ms:.0f} ms after it came"
            )
            self.record_violation("lost", attempt.node, f"{call}: {detail}")
        if kind == "served":
            valid_results = self._results_by_key.get((attempt.node, attempt.key), set())
            if result != self._results.get(call) and result not in valid_results:
                self.record_violation("lost", attempt.node, f"{call}: served with what no run made for it")
        elif kind == "refused" and self._has_run(attempt, call):
            self.record_violation("duplicate", attempt.node, f"{call}: refused after it ran")

    def _has_run(self, attempt: _Attempt, call: str) -> bool:
        previous = self._run_by_key.get((attempt.node, attempt.key)) if attempt.key else None
        return (attempt.node, call) in self._runs or bool(previous and self._in_window(attempt, previous))

    def connection_closed(self, call: str) -> None:
        """Record that the node ended the connection on which this request was open."""
        attempt = self._open.pop(call, None)
        if attempt and attempt.due < math.inf:
            self.record_violation("lost", attempt.node, f"{call}: the connection ended without an answer")

    def attempt_withdrawn(self, call: str) -> None:
        """Record that nothing is owed for an attempt any more: its close crossed it, by the protocol."""
        self._open.pop(call, None)

    def is_open(self, call: str) -> bool:
        """Return whether an attempt was written and is not answered."""
        return call in self._open

    def extend_due_times(self, ms: float, node: str = "") -> None:
        """Extend due times by a pause of the observer, or of one node: by the rules it does not count."""
        for call, attempt in self._open.items():
            if node in ("", attempt.node):
                self._set_due(call, attempt, attempt.due + ms)

    def _set_due(self, call: str, attempt: _Attempt, due: float) -> None:
        """Replace an open attempt; its key exists, so that open attempts may be iterated meanwhile."""
        changed = attempt._replace(due=due)
        self._open[call] = changed
        self._attempts[call] = changed

    def mark_durable(self, node: str) -> None:
        """Hold later processes of a node to its idempotency windows: they are on a disk."""
        self._durable_nodes.add(node)

    def unmark_durable(self, node: str) -> None:
        """End that: the node's disk broke its promise."""
        self._durable_nodes.discard(node)

    def set_network_fault(self, node: str, on: bool) -> None:
        """Begin or end a fault of the network between a node and its balancers.

        What is open meanwhile may be answered late or never; the other rules stay.
        """
        self._network_faults[node] += 1 if on else -1
        for call, attempt in self._open.items():
            if on and attempt.node == node:
                self._set_due(call, attempt, math.inf)

    def connections_broken(self, node: str) -> None:
        """Excuse all open requests of a node: the network broke its connections."""
        self._excuse_open(node)

    def drain_started(self, now: float, node: str) -> None:
        """Record that a node has begun to drain."""
        self._draining_since[node] = now

    def node_killed(self, node: str) -> list[str]:
        """Excuse all open requests of a node that was killed, and return them; its memory is gone."""
        excused = self._excuse_open(node)
        self.node_restarted(node)
        return excused

    def _excuse_open(self, node: str) -> list[str]:
        calls = [call for call, attempt in self._open.items() if attempt.node == node]
        for call in calls:
            del self._open[call]
        return calls

    def node_restarted(self, node: str) -> None:
        """Record a new process of a node; idempotency windows that are not durable end with the old one."""
        self._draining_since.pop(node, None)
        if node in self._durable_nodes:
            return
        for key in [key for key in self._run_by_key if key[0] == node]:
            del self._run_by_key[key]

    def machine_crashed(self, node: str, reason: str) -> None:
        """Record that a node's machine crashed under overload."""
        self.record_violation("fall_over", node, reason)

    def tick(self, now: float) -> None:
        """Report requests without a response by their due time."""
        for call, attempt in list(self._open.items()):
            if now > attempt.due + RULE_TOLERANCE_MS + SOCKET_TOLERANCE_MS + LATE_RESPONSE_WAIT_MS:
                del self._open[call]
                self.record_violation("lost", attempt.node, f"{call}: no answer by its due time")

    def run_finished(self, now: float) -> None:
        """End the run: report what is open past its due time."""
        for call, attempt in self._open.items():
            if now > attempt.due + RULE_TOLERANCE_MS + SOCKET_TOLERANCE_MS:
                self.record_violation("lost", attempt.node, f"{call}: no answer by the end")
        self._open.clear()
