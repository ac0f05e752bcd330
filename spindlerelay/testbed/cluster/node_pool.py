"""The nodes of one process of a cluster, with their machines and the balancers' connections to them.

An attempt waits at the node's machine until the machine has read it, and only then is written to the node,
because reading a request costs CPU time whether the node admits it or not. The pool passes attempts and
responses between the models and the sockets and makes no decisions. The checker observes the traffic on the
sockets of each node.
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

MAX_MACHINE_STEP_MS = 50.0  # longest time without a step of a busy machine, which keeps its gauges current
HOUSEKEEPING_INTERVAL_MS = 50.0
READ_WORK_MS = traffic.PARSE_WORK_FRACTION * traffic.MEAN_WORK_MS
RESULT_PREFIX = b"page of "


class NodePool:
    """The nodes of one process.

    ``on_end`` is called once for each attempt, with the response and whether its run skipped a dependency
    call.

    Attributes:
        checker: checks the behaviour of the nodes against the protocol's rules.
        attempts: the attempts at the nodes of this pool.
        failures: attempts that did not succeed, by reason.
        rejections: rejections by node and second of the run.
        proxies: fault-injection proxies on the links of the nodes.
        started_at: time of the first request in Unix ms; 0 before the run has started.
        hosts: the nodes by name.
        connections: the connections of each balancer, in the order of the balancers.
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
        self.attempts = AttemptRegistry(spec, context.requests)
        self.failures: Counter[str] = Counter()
        self.rejections: Counter[tuple[str, int]] = Counter()
        self.proxies = LinkProxies(loop, context.workspace.port)
        self.started_at = 0.0
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
            self._write_request,
            self._node_killed,
            self._disconnect_balancers,
        )
        machines = dict(zip(spec.node_names(), spec.nodes, strict=True))
        self.hosts = {name: NodeHost(host_context, name, machines[name]) for name in names}
        self.connections = [
            BalancerConnections(
                loop, lambda node: self.hosts[node].address, self._request_written, self._unexpected_response
            )
            for _ in spec.balancers
        ]

    def tick(self, now: float) -> None:
        """Advance machines and proxies to ``now``."""
        self._exclude_own_delay(now)
        self._tick_due = now + TICK_MS
        self.proxies.tick(now)
        for host in self.hosts.values():
            if host.paused_at:
                host.exclude_pause(now)
            elif host.machine and now >= host.next_event_at and not host.machine.is_idle():
                host.handle_machine_events(host.machine.advance(now))
                if host.machine:
                    next_event_at = host.machine.next_event_at() or math.inf
                    host.next_event_at = min(next_event_at, now + MAX_MACHINE_STEP_MS)

    def housekeep(self, now: float) -> None:
        """Check for idle connections and overdue requests, as the last part of a tick."""
        if now - self._housekeeping_at >= HOUSEKEEPING_INTERVAL_MS:
            self._housekeeping_at = now
            for connections in self.connections:
                connections.tick(now)
            self.checker.tick(now)

    def _exclude_own_delay(self, now: float) -> None:
        """Exclude the lateness of this process from the time limits of the nodes."""
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
        """Deliver an attempt to its node's machine."""
        host = self.hosts[attempt.node]
        self.attempts.add(attempt)
        if host.machine is None:
            self.loop.call_later(0.0, partial(self._handle_response, attempt.call_id, Response("unreached")))
        elif host.paused_at:
            host.machine.enqueue_while_paused(attempt.call_id, READ_WORK_MS)
        else:
            host.handle_machine_events(
                host.machine.receive_request(self.loop.now(), attempt.call_id, READ_WORK_MS)
            )

    def _write_request(self, call_id: str) -> None:
        """Write an attempt to its node, once the node's machine has read it."""
        pending = self.attempts.open.get(call_id)
        if pending is None:
            return
        request, attempt = pending.request, pending.attempt
        remaining_ms = attempt.deadline - attempt.sent_at
        fields = request_fields(
            request, call_id, attempt.balancer, attempt.sent_at, remaining_ms, attempt.is_marked_retry
        )
        pending.written = True
        on_response = partial(self._handle_response, call_id)
        connections = self.connections[attempt.balancer]
        connections.send_request(attempt.node, call_id, request.cls.name, fields, request.body, on_response)

    def _request_written(self, call_id: str) -> None:
        pending = self.attempts.open.get(call_id)
        if pending is None:
            return
        request, attempt = pending.request, pending.attempt
        if machine := self.hosts[attempt.node].machine:  # None if the process was killed since
            self.checker.request_written(
                call_id,
                attempt.node,
                request.cls.name,
                request.idempotency_key,
                request.body,
                attempt.sent_at,
                attempt.deadline,
                self.loop.now(),
            )
            machine.request_memory_kb[call_id] = request.memory_kb

    def _unexpected_response(self, node: str, message_id: int) -> None:
        self.checker.record_violation(
            "duplicate", node, f"an answer to message {message_id}, which is not open"
        )

    def _handle_response(self, call_id: str, response: Response) -> None:
        pending = self.attempts.open.pop(call_id, None)
        if pending is None:
            return
        now, attempt = self.loop.now(), pending.attempt
        host = self.hosts[attempt.node]
        if host.machine:
            host.machine.request_memory_kb.pop(call_id, None)
        host.end_request(call_id)
        if response.kind == "broken":
            self.checker.connection_closed(call_id)
        elif response.kind != "unreached":
            self._exclude_own_delay(now)
            self.checker.response_received(now, call_id, response.kind, response.body)
            host.incarnations[-1].last_answer_at = now
            host.incarnations[-1].answer_count += 1
        partial_result = False
        if response.kind == "served":
            latency_ms = max(1, min(MAX_LATENCY_MS, round(now - attempt.sent_at)))
            host.incarnations[-1].latency.record_value(latency_ms)
            run_call_id = response.body.removeprefix(RESULT_PREFIX).decode("ascii", "replace")
            partial_result = run_call_id in self.attempts.partial_runs
        else:
            self._count_failure(now, host, response)
        self._on_end(attempt, response, partial_result)

    def _count_failure(self, now: float, host: NodeHost, response: Response) -> None:
        if response.kind == "refused":
            host.incarnations[-1].rejections_at.append(now)
        self.failures[failure_reason(response)] += 1
        if response.kind == "refused" and self.started_at:
            self.rejections[host.name, int((now - self.started_at) / 1000.0)] += 1

    def _node_killed(self, node: str) -> None:
        """Fail the attempts that the killed node's machine had not read, as they were never written."""
        for call_id in self.attempts.unwritten_call_ids(node):
            self._handle_response(call_id, Response("unreached"))

    def _disconnect_balancers(self, node: str) -> None:
        for connections in self.connections:
            self.checker.connections_broken(node)
            connections.break_connections(node)

    def close(self) -> None:
        """Kill every node process and close every socket of the pool."""
        for host in self.hosts.values():
            host.close()
        for connections in self.connections:
            connections.close()
        self.proxies.close()
