"""The coordinator of a cluster in several processes.

The coordinator starts and finishes a run and merges the results of the shards into one record. It owns the
endpoint list and the shared store; nodes and balancers are in the shards. A shard that dies, stops sending
heartbeats or falls behind makes the run void, and the record names the shard.
"""

from __future__ import annotations

import os
import pickle
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

from spindlerelay.testbed.cluster.attempts import call_cost_of_body
from spindlerelay.testbed.cluster.endpoint_list import (
    AnnounceReceiver,
    CatalogueObserver,
    ListedEndpoint,
    announced_endpoints,
)
from spindlerelay.testbed.cluster.errors import ClusterError
from spindlerelay.testbed.cluster.record import RunRecord, RunTimes, merge
from spindlerelay.testbed.cluster.shard_processes import (
    HEARTBEAT_TIMEOUT_MS,
    START_HEARTBEAT_TIMEOUT_MS,
    ShardProcesses,
)
from spindlerelay.testbed.cluster.shard_protocol import Message
from spindlerelay.testbed.cluster.spec import LOOPBACK, TICK_MS, ClusterSpec
from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.models.catalogue import ConsulCatalogue
from spindlerelay.testbed.models.discovery_list import DelayedDiscoveryList
from spindlerelay.testbed.models.store import SharedStore
from spindlerelay.testbed.servers.catalogue import AgentServer
from spindlerelay.testbed.servers.store import StoreServer
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import HOST_SYSTEM

START_TIMEOUT_MS = 90_000.0  # hundreds of nodes start on a few cores
MAX_DELAY_MS = 250.0  # a shard that sends a request or runs a tick later than this makes the run void
BEGIN_LEAD_MS = 500.0  # time between the announcement of the first request and the first request
MEMBERSHIP_BEGIN_LEAD_MS = 4000.0  # lead for clusters whose nodes first have to find one another by gossip


class Coordinator:
    """One run of a specification on a number of shards.

    Once ``started_at`` is set, a shard that sends no message for ``heartbeat_timeout_ms`` is lost.

    Attributes:
        started_at: time of the first request in Unix ms; 0 before the time has been announced.
        shards: the shard processes in the order of their numbers.
    """

    def __init__(
        self, spec: ClusterSpec, shards: int, heartbeat_timeout_ms: float = HEARTBEAT_TIMEOUT_MS
    ) -> None:
        self.spec = spec._replace(network_number=os.getpid())
        self.loop = EventLoop()
        self.started_at = 0.0
        self._heartbeat_timeout_ms = heartbeat_timeout_ms
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="stage-")
        self._requests = self.spec.draw_requests()
        self._announced_list = DelayedDiscoveryList()
        catalogue = ConsulCatalogue(self.loop.now())
        self._agent = AgentServer(self.loop, LOOPBACK, catalogue) if spec.uses_catalogue else None
        self._catalogue_observer = CatalogueObserver(catalogue) if spec.uses_catalogue else None
        self._store = self._open_store()
        self._announce = AnnounceReceiver(self.loop, HOST_SYSTEM, self._announced_list)
        self._endpoints: list[ListedEndpoint] = []
        self._late_list_faults = [fault for fault in spec.faults if fault.kind == "late_list"]
        self._interpreters_connect_at = 0.0
        self._max_tick_delay_ms = 0.0
        self._void_reasons: list[str] = []
        self._finishing = False
        self._failure = ""
        directory = Path(self._temporary_directory.name)
        (directory / "spec").write_bytes(pickle.dumps((self.spec, shards)))
        self._processes = ShardProcesses(
            self.loop, directory, shards, self._shards_linked, self._heartbeat_received
        )
        self.shards = self._processes.shards

    def _open_store(self) -> StoreServer:
        store_spec = self.spec.store_spec()
        model = SharedStore(store_spec, self.loop.now())
        return StoreServer(
            self.loop,
            LOOPBACK,
            model,
            lambda _, body: call_cost_of_body(body, self._requests, store_spec.call_ms),
        )

    def run(self) -> RunRecord:
        """Execute the run and return its record.

        Raises:
            ClusterError: if the run does not start.
        """
        try:
            self.loop.call_later(START_TIMEOUT_MS, self._check_started)
            self.loop.call_later(0.0, self._tick)
            self.loop.run(lambda: None)
            if self._failure:
                raise ClusterError(self._failure)
            return self._record()
        finally:
            self.close()

    def _check_started(self) -> None:
        if not self.started_at:
            not_up = [number for number, shard in enumerate(self.shards) if not shard.up]
            self._fail(f"the nodes of shards {not_up} did not come up: {self._processes.log_tails(not_up)}")

    def _fail(self, reason: str) -> None:
        self._failure = reason
        self.loop.running = False

    def _shards_linked(self, addresses: list[list[Any]]) -> None:
        agent = list(self._agent.address) if self._agent else None
        store, announce = list(self._store.address), list(self._announce.address)
        self._processes.broadcast(Message.ADDRESSES, addresses, store, announce, agent)

    def _heartbeat_received(self, number: int, tick_delay_ms: float, send_delay_ms: float) -> None:
        if not self.started_at:
            return
        delay_ms = max(tick_delay_ms, send_delay_ms)
        if not self.shards[number].finished and delay_ms > MAX_DELAY_MS:
            self._mark_void(number, f"was {delay_ms:.0f} ms late")
        self._max_tick_delay_ms = max(self._max_tick_delay_ms, tick_delay_ms)

    def _mark_void(self, number: int, reason: str) -> None:
        """Record the first reason of each shard that makes the run void."""
        if not any(recorded.startswith(f"shard {number} ") for recorded in self._void_reasons):
            self._void_reasons.append(f"shard {number} {reason}")

    def _handle_lost_shards(self, now: float) -> None:
        timeout_ms = self._heartbeat_timeout_ms if self.started_at else START_HEARTBEAT_TIMEOUT_MS
        for number, reason in self._processes.find_lost(now, timeout_ms):
            if self.started_at:
                self._mark_void(number, reason)
                self.loop.running = False
            else:
                self._fail(f"shard {number} {reason}: {self._processes.log_tails([number])}")

    def _tick(self) -> None:
        try:
            self._run_tick()
        except Exception as error:
            # The event loop survives exceptions of its timers, so the run would never end.
            self._fail(f"a tick of the coordinator failed: {error!r}")
            raise

    def _run_tick(self) -> None:
        now = self.loop.now()
        self._store.tick(now)
        self._announced_list.tick(now)
        self._publish_endpoints(now)
        if not self.started_at:
            self._announce_start_when_ready(now)
        else:
            self._advance_run(now - self.started_at)
        self._handle_lost_shards(now)
        if all(shard.result is not None for shard in self.shards):
            self.loop.running = False
        self.loop.timers.schedule(max(now + TICK_MS, self.loop.now()), self._tick)

    def _announce_start_when_ready(self, now: float) -> None:
        up = all(shard.up for shard in self.shards)
        if up and self.spec.synchronized_start and not self._interpreters_connect_at:
            self._interpreters_connect_at = now + BEGIN_LEAD_MS
            self._processes.broadcast(Message.CONNECT_INTERPRETERS, self._interpreters_connect_at)
        if up and len(self._endpoints) == len(self.spec.nodes):
            self.started_at = now + (MEMBERSHIP_BEGIN_LEAD_MS if self.spec.uses_membership else BEGIN_LEAD_MS)
            self._processes.broadcast(Message.BEGIN, self.started_at)

    def _advance_run(self, elapsed_ms: float) -> None:
        for fault in [fault for fault in self._late_list_faults if elapsed_ms >= fault.at_ms]:
            self._late_list_faults.remove(fault)
            self._announced_list.propagation_delay_ms += fault.magnitude
            self.loop.call_later(fault.duration_ms, partial(self._end_late_list, fault))
        if not self._finishing and all(shard.finished for shard in self.shards):
            self._finishing = True
            self._processes.broadcast(Message.FINISH)

    def _end_late_list(self, fault: Fault) -> None:
        self._announced_list.propagation_delay_ms -= fault.magnitude

    def _publish_endpoints(self, now: float) -> None:
        """Send the endpoint list to the shards when it has changed."""
        if self._catalogue_observer:
            self._catalogue_observer.observe(now)
        if self.spec.endpoint_source == "catalogue" and self._catalogue_observer:
            endpoints = sorted(self._catalogue_observer.endpoints)
        else:
            endpoints = announced_endpoints(self._announced_list, now)
        if endpoints != self._endpoints:
            self._endpoints = endpoints
            self._processes.broadcast(Message.ENDPOINTS, endpoints)

    def _record(self) -> RunRecord:
        results = [shard.result for shard in self.shards if shard.result is not None]
        observer = self._catalogue_observer
        times = RunTimes(
            self.started_at,
            self._interpreters_connect_at,
            self._announce.received_at,
            observer.weight_changes if observer else [],
            self._max_tick_delay_ms,
        )
        length_ms = self.spec.length_ms(self._requests)
        record = merge(self.spec, len(self._requests), length_ms, results, times)
        return record._replace(void_reasons=self._void_reasons) if self._void_reasons else record

    def close(self) -> None:
        """Stop every shard with its nodes, and close every socket."""
        self._processes.close()
        self._store.close()
        if self._agent:
            self._agent.stop()
        self._announce.close()
        self._temporary_directory.cleanup()


def run_cluster(spec: ClusterSpec, shards: int) -> RunRecord:
    """Execute one cluster run on a number of shards and return its record.

    Raises:
        ClusterError: if the run does not start.
    """
    return Coordinator(spec, shards).run()
