"""The nodes of one process of a cluster, with their machines and the balancers' connections to them.

An attempt waits at the node's machine until it is read there, and only then is written to the node: reading
costs cores, whatever the node decides. The pool carries between models and sockets and decides nothing. The
checker sees, by node, what passes on the sockets.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path

from spindlerelay.testbed.checker import RuleChecker
from spindlerelay.testbed.cluster.attempts import Attempt, AttemptRegistry
from spindlerelay.testbed.cluster.node_configuration import NodeConfiguration, PeerAddresses
from spindlerelay.testbed.cluster.node_host import HostContext, NodeHost
from spindlerelay.testbed.cluster.run_context import RunContext
from spindlerelay.testbed.cluster.spec import MAX_TICK_DELAY_MS, TICK_MS
from spindlerelay.testbed.fault_injection.link_proxy import LinkProxies
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.retry_path import Response, failure_reason
from spindlerelay.testbed.servers.balancer_connections import BalancerConnections
from spindlerelay.testbed.servers.balancer_protocols import request_fields
from spindlerelay.testbed.tally import MAX_LATENCY_MS

MAX_MACHINE_STEP_MS = 50.0  # between steps of a machine on which nothing ends: its gauges go on
HOUSEKEEPING_INTERVAL_MS = 50.0
READ_WORK = traffic.PARSE_WORK_FRACTION * traffic.MEAN_WORK_MS
RESULT_PREFIX = b"page of "


class NodePool:
    """The nodes of one process.

    ``on_end`` gets each attempt's answer once, with whether its run went on without a dependency call.
    """

    def __init__(
        self,
        context: RunContext,
        names: list[str],
        directory: Path,
        peers: PeerAddresses,
        on_end: Callable[[Attempt, Response, bool], None],
    ) -> None:
        loop = self.loop = context.loop
        spec = self.spec = context.spec
        self.checker = RuleChecker(traffic.IDEMPOTENCY_WINDOW_MS)
        self.attempts = AttemptRegistry(spec, context.orders)
        self.failures: Counter[str] = Counter()  # attempts that did not succeed, by reason
        self.rejections: Counter[tuple[str, int]] = Counter()  # rejections, by node and second of the run
        self.proxies = LinkProxies(loop, context.workspace.port)
        self.started_at = 0.0  # of the first request, in Unix ms; 0 before
        self._on_end = on_end
        self._tick_due = 0.0
        self._housekeeping_at = 0.0
        host_context = HostContext(
            loop,
            context.workspace,
            spec,
            directory,
            self.checker,
            self.attempts,
            NodeConfiguration(spec, peers, self.proxies, context.rng),
            self._write,
            self._node_killed,
            self._disconnect_balancers,
        )
        machines = dict(zip(spec.node_names(), spec.nodes, strict=True))
        self.hosts = {name: NodeHost(host_context, name, machines[name]) for name in names}
        self.connections = [
            BalancerConnections(
                loop, lambda node: self.hosts[node].address, self._written, self._unexpected_answer
            )
            for _ in spec.balancers
        ]

    def tick(self, now: float) -> None:
        """Let machines and proxies go on up to ``now``."""
        self._exclude_own_delay(now)
        self._tick_due = now + TICK_MS
        self.proxies.tick(now)
        for host in self.hosts.values():
            if host.paused_at:
                host.excuse_pause(now)
            elif host.machine and now >= host.next_event_at and not host.machine.is_idle():
                host.handle_machine_events(host.machine.advance(now))
                if host.machine:
                    next_at = host.machine.next_event_at() or math.inf
                    host.next_event_at = min(next_at, now + MAX_MACHINE_STEP_MS)

    def housekeep(self, now: float) -> None:
        """Look for idle connections and overdue requests, after all else of a tick."""
        if now - self._housekeeping_at >= HOUSEKEEPING_INTERVAL_MS:
            self._housekeeping_at = now
            for connections in self.connections:
                connections.tick(now)
            self.checker.tick(now)

    def _exclude_own_delay(self, now: float) -> None:
        """Exclude what this process's own lateness added from the time limits of nodes."""
        delay_ms = now - self._tick_due
        if self._tick_due and delay_ms > MAX_TICK_DELAY_MS:
            self.checker.extend_due_times(delay_ms)
            for connections in self.connections:
                connections.record_late_turn(now, delay_ms)
            self._tick_due = now

    def up(self) -> bool:
        """Return whether every node is connected to its interpreter."""
        return all(host.interpreter.connected for host in self.hosts.values())

    def submit(self, attempt: Attempt) -> None:
        """Put an attempt to its node's machine."""
        host = self.hosts[attempt.node]
        self.attempts.add(attempt)
        if host.machine is None:
            self.loop.call_later(0.0, partial(self._answered, attempt.call, Response("unreached")))
        elif host.paused_at:
            host.machine.enqueue_while_paused(attempt.call, READ_WORK)
        else:
            host.handle_machine_events(host.machine.receive_request(self.loop.now(), attempt.call, READ_WORK))

    def _write(self, call: str) -> None:
        """Write an attempt to the node: its machine has read it."""
        pending = self.attempts.open.get(call)
        if pending is None:
            return
        order, attempt = pending.order, pending.attempt
        remaining_ms = attempt.deadline - attempt.sent_at
        fields = request_fields(
            order, call, attempt.balancer, attempt.sent_at, remaining_ms, attempt.is_marked_retry
        )
        pending.written = True
        on_answer = partial(self._answered, call)
        connections = self.connections[attempt.balancer]
        connections.send_request(attempt.node, call, order.cls.name, fields, order.body, on_answer)

    def _written(self, call: str) -> None:
        pending = self.attempts.open.get(call)
        if pending is None:
            return
        order, attempt = pending.order, pending.attempt
        if machine := self.hosts[attempt.node].machine:  # else its process was just killed
            self.checker.request_written(
                call,
                attempt.node,
                order.cls.name,
                order.idempotency_key,
                order.body,
                attempt.sent_at,
                attempt.deadline,
                self.loop.now(),
            )
            machine.request_memory_kb[call] = order.memory_kb

    def _unexpected_answer(self, node: str, msgid: int) -> None:
        self.checker.record_violation("duplicate", node, f"an answer to message {msgid}, which is not open")

    def _answered(self, call: str, answer: Response) -> None:
        pending = self.attempts.open.pop(call, None)
        if pending is None:
            return
        now, attempt = self.loop.now(), pending.attempt
        host = self.hosts[attempt.node]
        if host.machine:
            host.machine.request_memory_kb.pop(call, None)
        host.end_request(call)
        if answer.kind == "broken":
            self.checker.connection_closed(call)
        elif answer.kind != "unreached":
            self._exclude_own_delay(now)
            self.checker.response_received(now, call, answer.kind, answer.body)
            host.incarnations[-1].last_answer_at = now
            host.incarnations[-1].answer_count += 1
        partial_result = False
        if answer.kind == "served":
            latency_ms = max(1, min(MAX_LATENCY_MS, round(now - attempt.sent_at)))
            host.incarnations[-1].latency.record_value(latency_ms)
            run = answer.body.removeprefix(RESULT_PREFIX).decode("ascii", "replace")
            partial_result = run in self.attempts.partial_runs
        else:
            self._count_failure(now, host, answer)
        self._on_end(attempt, answer, partial_result)

    def _count_failure(self, now: float, host: NodeHost, answer: Response) -> None:
        if answer.kind == "refused":
            host.incarnations[-1].rejections_at.append(now)
        self.failures[failure_reason(answer)] += 1
        if answer.kind == "refused" and self.started_at:
            self.rejections[host.name, int((now - self.started_at) / 1000.0)] += 1

    def _node_killed(self, node: str) -> None:
        """Fail the attempts that the killed node's machine had not read: they were never written."""
        for call in self.attempts.unwritten_of(node):
            self._answered(call, Response("unreached"))

    def _disconnect_balancers(self, node: str) -> None:
        for connections in self.connections:
            self.checker.connections_broken(node)
            connections.break_connections(node)

    def close(self) -> None:
        """End every process and close every socket of the pool."""
        for host in self.hosts.values():
            host.close()
        for connections in self.connections:
            connections.close()
        self.proxies.close()
