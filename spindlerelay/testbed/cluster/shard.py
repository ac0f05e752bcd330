"""One shard of a cluster in several processes: a pool of nodes and some of the balancers, on one event loop.

Shards send attempts directly to each other. The coordinator announces the start and the end of the run and
the endpoint list. A shard injects the faults of its own nodes from the schedule in the specification. It
stops with its nodes when the connection to the coordinator closes; if the shard itself is killed, the kernel
kills its nodes.

    python -m spindlerelay.testbed.cluster.shard DIRECTORY NUMBER HOST:PORT
"""

from __future__ import annotations

import pickle
import random
import sys
from functools import partial
from pathlib import Path
from typing import Any

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.testbed.cluster import membership_views
from spindlerelay.testbed.cluster.attempts import Attempt
from spindlerelay.testbed.cluster.balancers import BalancerPool
from spindlerelay.testbed.cluster.node_configuration import PeerAddresses
from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.testbed.cluster.node_pool import NodePool
from spindlerelay.testbed.cluster.record import MAX_VIOLATIONS, ShardResult
from spindlerelay.testbed.cluster.run_context import RunContext
from spindlerelay.testbed.cluster.shard_loads import KnownLoads, LoadSampler
from spindlerelay.testbed.cluster.shard_protocol import Message, MessageLink
from spindlerelay.testbed.cluster.spec import LOOPBACK, TICK_MS, ClusterSpec
from spindlerelay.testbed.cluster.workspace import LoopbackWorkspace
from spindlerelay.testbed.fault_injection.fault_player import FaultPlayer
from spindlerelay.testbed.models.retry_path import Response
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

HEARTBEAT_INTERVAL_MS = 200.0
LOADS_INTERVAL_MS = 20.0  # how often a shard sends its loads, if a balancer uses true loads
NODE_START_INTERVAL_MS = 15.0  # node starts are spread out because all shards share the cores


class Shard:
    """Shard ``number`` of ``count``: it has every ``count``-th node and balancer, from ``number`` on."""

    def __init__(
        self, spec: ClusterSpec, number: int, count: int, directory: Path, coordinator: tuple[str, int]
    ) -> None:
        self._spec = spec
        self._number = number
        self._count = count
        self._loop = EventLoop()
        self._directory = directory / f"shard{number}"
        self._directory.mkdir()
        self._requests = spec.draw_requests()
        self._shard_of = {name: index % count for index, name in enumerate(spec.node_names())}
        self._node_names = [name for name, shard in self._shard_of.items() if shard == number]
        self._rng = random.Random(f"{spec.seed} shard {number}")
        self._links: dict[int, MessageLink] = {}
        self._pool: NodePool | None = None
        self._balancers: BalancerPool
        self._fault_player: FaultPlayer
        self._sampler = LoadSampler(self._node_names)
        knows_loads = any(profile.selection == "knowing" for profile in spec.balancers)
        self._known_loads = KnownLoads(spec) if knows_loads else None
        self._loads_announced_at = 0.0
        self._started_at = 0.0
        self._tick_delay_ms = 0.0  # longest delay of a tick since the last heartbeat
        self._tick_due = 0.0
        self._announced_up = False
        self._announced_finished = False
        self._listener = Listener(self._loop, LOOPBACK, self._accept)
        self._coordinator = MessageLink(self._loop, self._handle_coordinator, self._stop).dial(coordinator)
        self._coordinator.send(Message.HELLO, number, list(self._listener.sock.getsockname()))
        self._loop.call_later(HEARTBEAT_INTERVAL_MS, self._send_heartbeat)

    def run(self) -> None:
        """Run until the coordinator closes its connection, then kill every node process."""
        try:
            self._loop.run(lambda: None)
        finally:
            if self._pool:
                self._pool.close()

    def _stop(self) -> None:
        self._loop.running = False

    def _accept(self, sock: Socket) -> None:
        MessageLink(self._loop, self._handle_shard, lambda: None).accept(sock)

    def _send_heartbeat(self) -> None:
        self._loop.call_later(HEARTBEAT_INTERVAL_MS, self._send_heartbeat)
        send_delay_ms = self._balancers.max_send_delay_ms if self._started_at else 0.0
        self._coordinator.send(Message.HEARTBEAT, self._tick_delay_ms, send_delay_ms)
        self._tick_delay_ms = 0.0

    def _handle_coordinator(self, message: list[Any]) -> None:
        match message:
            case [Message.ADDRESSES, shards, store, announce, agent]:
                peers = PeerAddresses(tuple(store), tuple(announce), tuple(agent) if agent else None)
                self._connect(shards)
                self._start(peers)
            case [Message.ENDPOINTS, endpoints]:
                self._balancers.update_endpoints(
                    [Instance(name, LOOPBACK, *fields) for name, *fields in endpoints]
                )
            case [Message.CONNECT_INTERPRETERS, at]:
                self._loop.timers.schedule(at, self._connect_interpreters)
            case [Message.BEGIN, at]:
                self._begin(at)
            case [Message.FINISH]:
                self._coordinator.send(Message.RESULT, self._result())

    def _connect(self, shards: list[list[Any]]) -> None:
        for number, address in enumerate(shards):
            if number != self._number:
                link = MessageLink(self._loop, lambda _: None, self._stop)
                self._links[number] = link.dial(tuple(address))

    def _start(self, peers: PeerAddresses) -> None:
        context = RunContext(self._loop, LoopbackWorkspace(), self._spec, self._requests, self._rng)
        pool = self._pool = NodePool(context, self._node_names, self._directory, peers, self._attempt_ended)
        self._fault_player = FaultPlayer(pool, self._spec.faults)
        owned_indices = range(self._number, len(self._spec.balancers), self._count)
        self._balancers = BalancerPool(context, owned_indices, self._send_attempt)
        if self._known_loads:
            for balancer in self._balancers.balancers.values():
                balancer.true_load = self._known_loads.by_node
        for index, host in enumerate(pool.hosts.values()):
            host.interpreter.banner_delayed = self._spec.synchronized_start
            self._loop.call_later(index * NODE_START_INTERVAL_MS, partial(host.start, self._spec.cold_start))
        self._loop.call_later(0.0, self._tick)

    @property
    def _nodes(self) -> NodePool:
        assert self._pool is not None
        return self._pool

    def _begin(self, at: float) -> None:
        self._started_at = at
        self._balancers.started_at = at
        self._nodes.started_at = at

    def _connect_interpreters(self) -> None:
        for host in self._nodes.hosts.values():
            host.interpreter.release_banner()

    def _send_attempt(self, attempt: Attempt) -> None:
        if self._known_loads:
            self._known_loads.add_attempt(attempt.node)
        shard = self._shard_of[attempt.node]
        if shard == self._number:
            self._nodes.submit(attempt)
        else:
            self._links[shard].send(Message.ATTEMPT, *attempt)

    def _attempt_ended(self, attempt: Attempt, response: Response, partial_result: bool) -> None:
        shard = attempt.balancer % self._count
        if shard == self._number:
            self._balancers.handle_response(attempt.call_id, response, partial_result)
        else:
            without_result = response._replace(body=b"")
            self._links[shard].send(Message.RESPONSE, attempt.call_id, partial_result, *without_result)

    def _handle_shard(self, message: list[Any]) -> None:
        match message:
            case [Message.ATTEMPT, *fields]:
                self._nodes.submit(Attempt(*fields))
            case [Message.RESPONSE, call_id, partial_result, *fields]:
                self._balancers.handle_response(call_id, Response(*fields), partial_result)
            case [Message.LOADS, names, loads] if self._known_loads:
                self._known_loads.update(names, loads)

    def _tick(self) -> None:
        now = self._loop.now()
        if self._tick_due:
            self._tick_delay_ms = max(self._tick_delay_ms, now - self._tick_due)
        self._tick_due = now + TICK_MS
        self._nodes.tick(now)
        if not self._announced_up and self._nodes.up():
            self._announced_up = True
            self._coordinator.send(Message.NODES_UP)
        if self._started_at and now >= self._started_at:
            self._advance_run(now)
        self._nodes.housekeep(now)
        self._loop.timers.schedule(max(self._tick_due, self._loop.now()), self._tick)

    def _advance_run(self, now: float) -> None:
        elapsed_ms = self._balancers.tick(now)
        self._fault_player.tick(elapsed_ms)
        hosts = list(self._nodes.hosts.values())
        self._sampler.sample_if_due(now, elapsed_ms, hosts)
        if self._known_loads and now - self._loads_announced_at >= LOADS_INTERVAL_MS:
            self._loads_announced_at = now
            loads = self._known_loads.own_loads(now, hosts)
            self._known_loads.update(self._node_names, loads)
            for link in self._links.values():
                link.send(Message.LOADS, self._node_names, loads)
        if not self._announced_finished and self._balancers.finished(elapsed_ms):
            self._announced_finished = True
            self._balancers.finish()
            self._coordinator.send(Message.STREAM_FINISHED)

    def _result(self) -> ShardResult:
        pool, balancers = self._nodes, self._balancers
        attempts = (balancers.attempt_times, balancers.attempt_balancers, balancers.attempt_nodes)
        pool.checker.run_finished(self._loop.now())
        for name, host in pool.hosts.items():
            for line in internal_errors(host.log):
                pool.checker.record_violation("internal_error", name, line)
        status_changes, alive_views = self._read_membership_views()
        return {
            "rows": bytes(balancers.rows),
            "violation_counts": dict(pool.checker.counts),
            "violations": [list(violation) for violation in pool.checker.violations[:MAX_VIOLATIONS]],
            "refusals": dict(pool.failures),
            "names": self._node_names,
            "load_sums": self._sampler.sums.rows,
            "rejections": [[name, second, count] for (name, second), count in pool.rejections.items()],
            "attempts": [column.tobytes() for column in attempts],
            "journal": [list(entry) for entry in self._fault_player.journal],
            "max_send_delay_ms": balancers.max_send_delay_ms,
            "refused_at": pool.proxies.refused_at(),
            "beliefs": status_changes,
            "believed": alive_views,
        }

    def _read_membership_views(self) -> tuple[list[list[Any]], dict[str, list[str]]]:
        """Return the status changes and the final membership views in the logs of the nodes.

        A status change is a list of time in ms since the first request, observer, subject and status. A view
        has the names of the nodes that a node considers alive at the end of the run. Both results are empty
        without membership.
        """
        status_changes = list[list[Any]]()
        alive_views = dict[str, list[str]]()
        for name, host in self._nodes.hosts.items() if self._spec.uses_membership else ():
            log = host.log.read_text(errors="replace")
            view = membership_views.read_view(log, self._started_at)
            status_changes += [[change.at, name, change.subject, change.status] for change in view.changes]
            alive_views[name] = view.alive
        return status_changes, alive_views


def main(arguments: list[str]) -> None:
    """Run one shard; the module docstring lists the arguments."""
    directory, number = Path(arguments[0]), int(arguments[1])
    host, _, port = arguments[2].rpartition(":")
    spec, count = pickle.loads((directory / "spec").read_bytes())
    Shard(spec, number, count, directory, (host, int(port))).run()


if __name__ == "__main__":
    main(sys.argv[1:])
