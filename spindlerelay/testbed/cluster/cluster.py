"""A cluster in one process: nodes, balancers, and the services that all nodes share, on one event loop.

The cluster starts the nodes, sends the request stream tick by tick, and stops when every request has ended.
All sockets are on loopback or in a simulation; ``close`` kills every process that the cluster started.
"""

from __future__ import annotations

import random
import tempfile
from collections.abc import Callable
from pathlib import Path

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.consul.endpoint_watcher import Watcher
from spindlerelay.testbed.cluster.attempts import Attempt
from spindlerelay.testbed.cluster.balancers import BalancerPool
from spindlerelay.testbed.cluster.endpoint_list import DEFAULT_WEIGHT, AnnounceReceiver
from spindlerelay.testbed.cluster.errors import ClusterError
from spindlerelay.testbed.cluster.node_configuration import PeerAddresses
from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.testbed.cluster.node_pool import NodePool
from spindlerelay.testbed.cluster.run_context import RunContext
from spindlerelay.testbed.cluster.spec import LOOPBACK, SERVICE, START_TIMEOUT_MS, TICK_MS, ClusterSpec
from spindlerelay.testbed.cluster.workspace import LoopbackWorkspace, Workspace
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import Balancer
from spindlerelay.testbed.models.catalogue import ConsulCatalogue
from spindlerelay.testbed.models.dependency_faults import combined_condition
from spindlerelay.testbed.models.dependents import EmulatedDependency
from spindlerelay.testbed.models.discovery_list import DelayedDiscoveryList
from spindlerelay.testbed.models.retry_path import Response
from spindlerelay.testbed.models.store import SharedStore
from spindlerelay.testbed.servers.catalogue import AgentServer
from spindlerelay.testbed.servers.store import StoreServer
from spindlerelay.transport.event_loop import EventLoop

LOG_TAIL_CHARACTERS = 300


class Cluster:
    """One cluster run in one process.

    ``on_tick`` is called at each tick with the time in ms since the first request; it injects the faults of a
    scenario.

    Attributes:
        requests: the whole request stream.
        stores: the dependencies by name; a single ``store`` if the specification has no dependencies.
        store: the first of ``stores``.
        announced_list: the endpoint list of the announce service.
        failures: attempts that did not succeed, by reason.
        skipped_calls: skipped dependency calls by class.
    """

    def __init__(
        self,
        spec: ClusterSpec,
        on_tick: Callable[[float], None] | None = None,
        workspace: Workspace | None = None,
    ) -> None:
        self.spec = spec
        self.capacity = spec.capacity_per_s()
        self.requests = spec.draw_requests()
        self._on_tick = on_tick
        self._workspace = workspace or LoopbackWorkspace()
        rng = random.Random(spec.seed)
        self.loop = EventLoop(system=self._workspace.system)
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="stage-")
        self.announced_list = DelayedDiscoveryList()
        self.catalogue = ConsulCatalogue(self.loop.now())
        self.agent = AgentServer(self.loop, LOOPBACK, self.catalogue) if spec.uses_catalogue else None
        self.store_model = SharedStore(spec.store_spec(), self.loop.now())
        self.stores = self._open_stores()
        self.store = next(iter(self.stores.values()))
        self._announce = AnnounceReceiver(self.loop, self._workspace.system, self.announced_list)
        context = RunContext(self.loop, self._workspace, spec, self.requests, rng)
        directory = Path(self._temporary_directory.name)
        peers = self._peer_addresses()
        self.node_pool = NodePool(context, spec.node_names(), directory, peers, self._attempt_ended)
        self.balancer_pool = BalancerPool(context, range(len(spec.balancers)), self.node_pool.submit)
        self.hosts = self.node_pool.hosts
        self.checker = self.node_pool.checker
        self.tally = self.balancer_pool.tally
        self.rows = self.balancer_pool.rows
        self.failures = self.node_pool.failures
        self.skipped_calls = self.node_pool.attempts.skipped_calls
        self._watchers: list[Watcher] = []
        self._announced: frozenset[str] = frozenset()
        self._ended = False
        self._failure = ""

    @property
    def started_at(self) -> float:
        """Return the time of the first request in Unix ms; 0 before the run has started."""
        return self.balancer_pool.started_at

    @property
    def open_requests(self) -> int:
        """Return the number of requests that have been sent and have not ended."""
        return self.balancer_pool.open_requests

    @property
    def max_send_delay_ms(self) -> float:
        """Return the longest delay between the scheduled and the actual time of a request.

        A long delay means that this process was too slow to send the stream on time.
        """
        return self.balancer_pool.max_send_delay_ms

    def _peer_addresses(self) -> PeerAddresses:
        return PeerAddresses(
            self.store.address,
            self._announce.address,
            self.agent.address if self.agent else None,
            tuple((name, store.address) for name, store in self.stores.items()),
        )

    def _open_stores(self) -> dict[str, StoreServer]:
        if not self.spec.dependencies:
            return {"store": self._serve(LOOPBACK, self.store_model)}
        return {
            dependency.name: self._open_store(dependency, index)
            for index, dependency in enumerate(self.spec.dependencies)
        }

    def _open_store(self, dependency: EmulatedDependency, index: int) -> StoreServer:
        model = SharedStore(dependency.spec, self.loop.now(), self.spec.seed * 100 + index)
        # The port lies below the kernel's ephemeral range, so that no connection occupies it while the
        # store is down.
        return self._serve(("127.0.0.1", self._workspace.port()), model)

    def _serve(self, address: tuple[str, int], model: SharedStore) -> StoreServer:
        return StoreServer(
            self.loop,
            address,
            model,
            lambda call_id, _: self.node_pool.attempts.call_cost_ms(call_id),
            lambda call_id: self.node_pool.attempts.node_of(call_id),
        )

    def run(self) -> None:
        """Start the nodes, send the request stream, and wait for the last response.

        Raises:
            ClusterError: if the nodes do not come up, a tick fails, or a node logs an internal error.
        """
        try:
            for host in self.hosts.values():
                host.start(self.spec.cold_start)
            if self.spec.endpoint_source == "catalogue":
                for balancer in self.balancer_pool.balancers.values():
                    self._watchers.append(self._watch_catalogue(balancer))
            self.loop.call_later(START_TIMEOUT_MS, self._check_started)
            self.loop.call_later(0.0, self._tick)
            self._workspace.drive(self.loop)
            self._check_logs()
        finally:
            self.close()
        if self._failure:  # raised here because the event loop survives exceptions of its timers
            raise ClusterError(self._failure)

    def _check_logs(self) -> None:
        """Fail the run if a node has logged an internal error, which the node survives by design."""
        for host in self.hosts.values():
            if errors := internal_errors(host.log):
                self._failure = self._failure or f"{host.name} logged an internal error: {errors[0]}"

    def _watch_catalogue(self, balancer: Balancer) -> Watcher:
        assert self.agent
        return Watcher(
            self.loop, self.agent.address, SERVICE, lambda nodes: balancer.update_nodes(list(nodes))
        )

    def _check_started(self) -> None:
        if not self.started_at:
            logs = "; ".join(host.log.read_text()[-LOG_TAIL_CHARACTERS:] for host in self.hosts.values())
            self._fail(f"the nodes did not come up: {logs}")

    def _fail(self, reason: str) -> None:
        self._failure = reason
        self.loop.running = False

    def _is_ready(self, now: float) -> bool:
        if not self.node_pool.up():
            return False
        if self.spec.endpoint_source == "catalogue":
            return all(
                len(balancer.nodes) == len(self.hosts) for balancer in self.balancer_pool.balancers.values()
            )
        return len(self.announced_list.visible_nodes(now)) == len(self.hosts)

    def _tick(self) -> None:
        try:
            self._run_tick()
        except Exception as error:
            # The event loop survives exceptions of its timers, so the run would never end.
            self._fail(f"a tick of the cluster failed: {error!r}")
            raise

    def _run_tick(self) -> None:
        now = self.loop.now()
        next_tick_at = now + TICK_MS
        self.node_pool.tick(now)
        self._tick_stores(now)
        self.announced_list.tick(now)
        if self.spec.endpoint_source == "announce":
            self._update_announced(self.announced_list.visible_nodes(now))
        if not self.started_at:
            self.balancer_pool.started_at = self.node_pool.started_at = now if self._is_ready(now) else 0.0
        else:
            self._advance_run(now)
        self.node_pool.housekeep(now)
        if not self._ended:
            self.loop.timers.schedule(max(next_tick_at, self.loop.now()), self._tick)

    def _tick_stores(self, now: float) -> None:
        for name, store in self.stores.items():
            faults = [fault for dependency, fault in self.spec.dependency_faults if dependency == name]
            if self.started_at and faults:
                store.complete_calls(
                    store.model.set_condition(now, combined_condition(faults, now - self.started_at))
                )
            store.tick(now)

    def _update_announced(self, announced: frozenset[str]) -> None:
        if announced == self._announced:
            return
        self._announced = announced
        endpoints = [
            Instance(name, self.hosts[name].address, "passing", DEFAULT_WEIGHT) for name in sorted(announced)
        ]
        self.balancer_pool.update_endpoints(endpoints)

    def _advance_run(self, now: float) -> None:
        elapsed_ms = self.balancer_pool.tick(now)
        if self._on_tick:
            self._on_tick(elapsed_ms)
        if self.balancer_pool.finished(elapsed_ms):
            self._ended = True
            self.checker.run_finished(now)
            self.balancer_pool.finish()
            self.loop.running = False

    def _attempt_ended(self, attempt: Attempt, response: Response, partial_result: bool) -> None:
        self.balancer_pool.handle_response(attempt.call_id, response, partial_result)

    def resend(self, request: traffic.Request, node: str) -> None:
        """Send a request again to the given node."""
        self.balancer_pool.resend(request, node)

    def close(self) -> None:
        """Kill every node process and close every socket of the cluster."""
        for watcher in self._watchers:
            watcher.stop()
        self.node_pool.close()
        for store in self.stores.values():
            store.close()
        if self.agent:
            self.agent.stop()
        self._announce.close()
        self._temporary_directory.cleanup()
