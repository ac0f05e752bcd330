"""Runs of a cluster by a script: a stream, and faults at their times.

``emulate`` returns a ``Recording``: rows of all requests, samples of the states of nodes and stores,
violations and faults. Reports are made from recordings, and experiments store them. The names in a recording
are those of files.
"""

from __future__ import annotations

import io
import resource
from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np
import ujson

from spindlerelay.errors import SpindlerelayError
from spindlerelay.testbed.baseline_policies import MODULE
from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.load_generation import arrival_process, outcomes
from spindlerelay.testbed.load_generation.errors import StreamSizeError
from spindlerelay.testbed.load_generation.outcomes import Rows
from spindlerelay.testbed.load_generation.stream import Stream
from spindlerelay.testbed.models import fault_script, traffic
from spindlerelay.testbed.models.balancer import parse_profile_mix
from spindlerelay.testbed.models.dependency_faults import HEALTHY, DependencyFault
from spindlerelay.testbed.models.fault_script import FaultEvent
from spindlerelay.testbed.procfs import cpu_ms
from spindlerelay.testbed.scenario import Scenario
from spindlerelay.testbed.servers.store import StoreServer

SAMPLE_MS = 250.0
WARM_UP_MS = 4000.0
SEND_DELAY_BOUND_MS = 100.0  # of the send delay's p99: past it this machine was too slow for the run
STORE = "store"
MAX_VIOLATIONS = 5  # in words; all are counted


class Emulation(NamedTuple):
    """What a run plays.

    ``load`` is a fraction of the fleet's capacity; ``stream`` takes its place if it is given.
    """

    seed: int = 1
    nodes: int = 3
    seconds: float = 20.0
    load: float = 0.7
    to_load: float = 0.0
    spacing: str = "poisson"
    curve: str = "steady"
    balancers: str = "steady,least,deaf"
    policy: str = MODULE
    events: tuple[FaultEvent, ...] = ()
    uses_catalogue: bool = False
    operator_config: str = ""
    working_tree: str = ""  # working tree of another revision
    stream: Stream | None = None

    def length_ms(self) -> float:
        """Return the length of the stream."""
        return self.seconds * 1000.0


class RecordingError(SpindlerelayError, ValueError):
    """Data that is not a recording."""


class Recording(NamedTuple):
    """What came of a run: the rows of all requests, and everything else as plain values.

    Samples stand under ``samples`` by name, all of one length, ``sample_ms`` apart.
    """

    rows: Rows
    details: dict[str, Any]

    def to_bytes(self) -> bytes:
        """Return the recording as a compressed file."""
        sink = io.BytesIO()
        text = np.frombuffer(ujson.dumps(self.details).encode(), np.uint8)
        np.savez_compressed(sink, rows=self.rows, told=text)
        return sink.getvalue()

    @staticmethod
    def from_bytes(data: bytes) -> Recording:
        """Return the recording in a file's content.

        Raises:
            RecordingError: where it is none.
        """
        try:
            with np.load(io.BytesIO(data), allow_pickle=False) as archive:
                return Recording(archive["rows"], ujson.loads(archive["told"].tobytes().decode()))
        except (OSError, KeyError, ValueError, EOFError) as error:
            raise RecordingError("not a recording of a run") from error

    def void_reasons(self) -> list[str]:
        """Return why the run is void; nothing where it counts."""
        return list(self.details["faults"])


def stream_of(spec: Emulation) -> Stream:
    """Return the stream of a run, bursts included."""
    if spec.stream:
        return spec.stream
    capacity = traffic.fleet_capacity_per_s(list(fleet(spec.nodes, WARM_UP_MS)))
    to_rate = (spec.to_load or spec.load) * capacity
    line = arrival_process.curve(spec.curve, spec.load * capacity, to_rate, spec.length_ms())
    for event in spec.events:
        if event.kind == "burst":
            factor = event.factor or fault_script.DEFAULT_BURST_FACTOR
            line = arrival_process.burst(line, event.at_ms, event.end_ms, factor)
    return Stream(spec.seed, spec.spacing, line)


class ScriptPlayer(Scenario):
    """Plays the events of a script, and samples the cluster."""

    def __init__(self, events: Sequence[FaultEvent]) -> None:
        super().__init__()
        self._events = events
        self._sampler = Sampler()

    @property
    def samples(self) -> dict[str, list[Any]]:
        """Return the samples so far, by name."""
        return self._sampler.samples

    def tick(self, at: float) -> None:
        """Play the events that are due, and take a sample if one is."""
        for number, event in enumerate(self._events):
            if at >= event.at_ms:
                self._play(number, event, at)
        self._sampler.sample_if_due(self.cluster, at)

    def _play(self, number: int, event: FaultEvent, at: float) -> None:
        hosts = list(self.cluster.hosts.values())
        host = hosts[event.node - 1] if event.node else hosts[0]
        begin = self.once(f"{number} begun", True)
        end = at >= event.end_ms and self.once(f"{number} over", True)
        tag = f" {number}"
        match event.kind:
            case "slow":
                self.slow(
                    host, at, event.at_ms, event.end_ms, event.factor or fault_script.DEFAULT_SLOWDOWN, tag
                )
            case "crash":
                self.crash(host, at, event.at_ms, event.end_ms, tag)
            case "pause" if begin:
                host.pause()
            case "pause" if end:
                host.proceed()
            case "link" if begin:
                host.disconnect()
            case "clock" if begin or end:
                host.step_clock()
            case "catalogue":
                self._play_outage(begin, end)
            case "deploy":
                for place, each in enumerate(hosts):
                    due = event.at_ms + event.duration_ms * place / len(hosts)
                    self.replace(each, at, due, tag)

    def _play_outage(self, begin: bool, end: bool) -> None:
        """Begin or end an outage of the catalogue, which comes back empty."""
        if not self.cluster.agent:
            return
        if begin:
            self.cluster.agent.stop()
        elif end:
            self.cluster.catalogue.reset()
            self.cluster.agent.listen()


class Sampler:
    """Samples the states of nodes and stores, ``SAMPLE_MS`` apart."""

    def __init__(self) -> None:
        self.samples: dict[str, list[Any]] = {"at_ms": []}
        self._next_at = 0.0
        self._cpu_ms_by_pid: dict[int, float] = {}
        self._own_cpu_ms = 0.0

    def sample_if_due(self, cluster: Cluster, at: float) -> None:
        """Take a sample at ``at`` ms since the first request, if one is due."""
        if at < self._next_at:
            return
        self._next_at += SAMPLE_MS
        count = len(self.samples["at_ms"])
        for name, value in self._sample(cluster, at).items():
            self.samples.setdefault(name, [None] * count).append(value)

    def _sample(self, cluster: Cluster, at: float) -> dict[str, Any]:
        sample: dict[str, Any] = {
            "at_ms": round(at),
            "late_ms": round(cluster.max_send_delay_ms, 1),
            "generator": self._own_utilization(),
            "links": sum(connections.count() for connections in cluster.node_pool.connections),
        }
        for name, host in cluster.hosts.items():
            sample[f"{name} state"] = host.state(cluster.started_at + at)
            sample[f"{name} cores"] = round(host.machine.gauges()[0], 3) if host.machine else 0.0
            sample[f"{name} runs"] = host.machine.running_count() if host.machine else 0
            sample[f"{name} loop"] = self._utilization_of(host.process.pid if host.process else 0)
        for name, store in cluster.stores.items():
            sample[f"{name} hand"] = store.calls_in_flight.total()
            sample[f"{name} slots"] = store.model.spec.slots
            sample[f"{name} state"] = _state_of(store)
        return sample

    def _own_utilization(self) -> float:
        """Return the fraction of a core that this process used since the last sample."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        own_cpu_ms = (usage.ru_utime + usage.ru_stime) * 1000.0
        before, self._own_cpu_ms = self._own_cpu_ms, own_cpu_ms
        return round((own_cpu_ms - before) / SAMPLE_MS if before else 0.0, 3)

    def _utilization_of(self, pid: int) -> float:
        """Return the fraction of a core that a node's process used since the last sample."""
        try:
            spent = cpu_ms(pid)
        except OSError:
            return 0.0
        before = self._cpu_ms_by_pid.get(pid)
        self._cpu_ms_by_pid[pid] = spent
        return round((spent - before) / SAMPLE_MS, 3) if before is not None else 0.0


def _state_of(store: StoreServer) -> str:
    condition = store.model.condition
    if not condition.up:
        return "down"
    return "troubled" if condition != HEALTHY else "well"


def launcher_of(spec: Emulation) -> tuple[str, ...]:
    """Return the module that nodes are started by, and its arguments.

    It is the product's own unless the policy or an event needs another.
    """
    arguments: tuple[str, ...] = ("spindlerelay",)
    if spec.policy != MODULE:
        arguments = ("spindlerelay.testbed.baseline_policies", spec.policy)
    if any(event.kind == "clock" for event in spec.events):
        arguments = ("spindlerelay.testbed.settable_clock", *arguments)
    return arguments


def cluster_spec(spec: Emulation) -> ClusterSpec:
    """Return the specification of a run's cluster.

    Raises:
        StreamSizeError: where the stream is empty or too long.
    """
    orders = tuple(stream_of(spec).draw_requests())
    if not orders:
        raise StreamSizeError("no request in the whole stream; a higher load or a longer run is needed")
    habits, weights = zip(*parse_profile_mix(spec.balancers), strict=True)
    store_faults = tuple(
        (STORE, DependencyFault(fault_script.STORE_FAULT_KIND, event.at_ms, event.end_ms))
        for event in spec.events
        if event.kind == "store"
    )
    length = spec.length_ms() if not spec.stream else orders[-1].arrival_ms
    return ClusterSpec(
        seed=spec.seed,
        nodes=fleet(spec.nodes, WARM_UP_MS),
        phases=(traffic.Phase(length, spec.load, spec.load),),
        balancers=habits,
        balancer_weights=weights,
        requests=orders,
        launcher=launcher_of(spec),
        working_tree=spec.working_tree,
        operator_config=spec.operator_config,
        uses_catalogue=spec.uses_catalogue,
        dependency_faults=store_faults,
    )


def emulate(spec: Emulation) -> Recording:
    """Play a run to its end and return its recording.

    Raises:
        ClusterError: where the cluster fails.
        StreamSizeError: where the stream is empty or too long.
    """
    player = ScriptPlayer(spec.events)
    cluster = player.play(cluster_spec(spec))
    rows = outcomes.join_rows([outcomes.parse_rows(cluster.rows)])
    return Recording(rows, _details(spec, cluster, rows, player.samples))


def _details(spec: Emulation, cluster: Cluster, rows: Rows, samples: dict[str, list[Any]]) -> dict[str, Any]:
    """Return everything but the rows, as plain values."""
    lateness = outcomes.send_delay_of(rows, len(cluster.requests), SEND_DELAY_BOUND_MS)
    violations = cluster.checker.violations[:MAX_VIOLATIONS]
    return {
        "seed": spec.seed,
        "nodes": spec.nodes,
        "load": spec.load,
        "policy": spec.policy,
        "habits": spec.balancers,
        "capacity_per_s": round(cluster.capacity, 1),
        "intended": lateness.intended,
        "sent": lateness.sent,
        "late_p99_ms": round(lateness.p99_ms, 2),
        "late_most_ms": round(lateness.max_ms, 1),
        "classes": list(cluster.tally.rows_by_class),
        "departments": list(traffic.TENANT_NAMES),
        "rules": dict(cluster.checker.counts),
        "refusals": dict(cluster.failures),
        "broken": [f"{each.rule} at {each.node}: {each.detail}" for each in violations],
        "faults": lateness.void_reasons(),
        "sample_ms": SAMPLE_MS,
        "samples": samples,
        "events": [[each.label(), each.at_ms, each.end_ms] for each in spec.events],
        "digest": Stream(spec.seed).digest(cluster.requests),
    }
