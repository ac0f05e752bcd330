"""Load samples of a shard's nodes for the record, and load estimates for balancers that use true loads.

This module does no I/O: the shard sends the result of ``KnownLoads.own_loads`` to the other shards.
"""

from __future__ import annotations

from spindlerelay.testbed.cluster import observations
from spindlerelay.testbed.cluster.node_host import NodeHost
from spindlerelay.testbed.cluster.spec import ClusterSpec

UNREACHABLE_LOAD = 1e9  # load of a node that is down or paused


def _capacity_of(spec: ClusterSpec, node: str) -> float:
    machine = spec.nodes[int(node[1:]) - 1]
    return machine.cores * machine.speed


class KnownLoads:
    """Estimated load of every node: its outstanding attempts and one more, divided by its capacity."""

    def __init__(self, spec: ClusterSpec) -> None:
        self.by_node: dict[str, float] = {}
        self._spec = spec

    def add_attempt(self, node: str) -> None:
        """Add an attempt that was just sent to a node to its estimated load, until the next update."""
        self.by_node[node] = self.by_node.get(node, 0.0) + 1.0 / _capacity_of(self._spec, node)

    def update(self, names: list[str], loads: list[float]) -> None:
        """Replace the estimated loads of some nodes by their current loads."""
        self.by_node.update(zip(names, loads, strict=True))

    def own_loads(self, now: float, hosts: list[NodeHost]) -> list[float]:
        """Return the load that each host would have with one more attempt."""
        return [self._load_of(now, host) for host in hosts]

    def _load_of(self, now: float, host: NodeHost) -> float:
        machine = host.machine
        if machine is None or host.paused_at:
            return UNREACHABLE_LOAD
        capacity = _capacity_of(self._spec, host.name) * machine.speed_fraction(now) / machine.slowdown
        return (machine.outstanding() + 1.0) / capacity


class LoadSampler:
    """Samples load and busy fraction of a shard's nodes and sums the samples by second."""

    def __init__(self, names: list[str]) -> None:
        self.sums = observations.LoadSums(names)
        self._sampled_at = 0.0

    def sample_if_due(self, now: float, elapsed_ms: float, hosts: list[NodeHost]) -> None:
        """Take a sample if one is due; ``elapsed_ms`` is the time since the first request."""
        if now - self._sampled_at >= observations.SAMPLE_MS:
            self._sampled_at = now
            self.sums.add(elapsed_ms, [self._sample(host) for host in hosts])

    @staticmethod
    def _sample(host: NodeHost) -> tuple[float, float] | None:
        machine = host.machine
        if machine is None:
            return None
        return machine.outstanding() / (machine.spec.cores * machine.spec.speed), machine.gauges()[0]
