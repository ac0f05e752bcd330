"""Faults of a node's links, applied to the virtual network.

Owns which directions and which streams a fault concerns. Must not depend on how a run is judged, beyond
telling the checker that a link was faulty.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from spindlerelay.testbed.cluster.node_host import NodeHost
from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.simulation.virtual_network import Direction, LinkImpairment
from spindlerelay.testbed.simulation.virtual_sockets import VirtualStream
from spindlerelay.testbed.simulation.virtual_workspace import CLUSTER_MACHINE_NAME, VirtualWorkspace

if TYPE_CHECKING:
    from spindlerelay.testbed.cluster.cluster import Cluster

RECOVERY_MS = 3000.0  # after a link's fault, until the node has noticed and reconnected

ScheduleEnd = Callable[[float, Callable[[], object]], None]


class LinkFaults:
    """Applies faults of links. ``schedule_end(at_ms, action)`` runs what ends a fault."""

    def __init__(self, workspace: VirtualWorkspace, schedule_end: ScheduleEnd) -> None:
        self.workspace = workspace
        self.network = workspace.network
        self._schedule_end = schedule_end
        self._interpreter_doubtful_until_ms: dict[str, float] = {}  # by node

    def interpreter_link_doubtful(self, node_name: str, at_ms: float) -> bool:
        """Return whether the end of a run may be under way still because the link was at fault."""
        return at_ms < self._interpreter_doubtful_until_ms.get(node_name, 0.0)

    def apply(self, cluster: Cluster, at_ms: float, host: NodeHost, fault: Fault) -> None:
        """Begin a fault of a link and schedule its end. ``at_ms`` counts from the first request."""
        ends_at_ms = at_ms + fault.effective_duration_ms
        if fault.link == "balancers":
            checker = cluster.checker
            checker.set_network_fault(host.name, True)
            self._schedule_end(ends_at_ms + RECOVERY_MS, lambda: checker.set_network_fault(host.name, False))
        elif fault.link == "interpreter":
            doubtful_until_ms = self._interpreter_doubtful_until_ms
            until_ms = max(ends_at_ms + RECOVERY_MS, doubtful_until_ms.get(host.name, 0.0))
            doubtful_until_ms[host.name] = until_ms
        _BY_KIND[fault.kind](self, ends_at_ms, self._directions(cluster, host, fault), host, fault)

    def _directions(self, cluster: Cluster, host: NodeHost, fault: Fault) -> list[Direction]:
        port = {
            "balancers": host.listen_address[1],
            "interpreter": host.interpreter.address[1],
            "store": cluster.store.address[1],
            "announce": 0,
        }[fault.link]
        inward = Direction(CLUSTER_MACHINE_NAME, host.name, port)
        outward = Direction(host.name, CLUSTER_MACHINE_NAME, port)
        return {"both": [inward, outward], "in": [inward], "out": [outward]}[fault.direction]

    def _streams(self, host: NodeHost, port: int) -> list[VirtualStream]:
        """Return the node's ends of the link's connections."""
        processes = self.workspace.processes.get(host.name)
        if not processes or processes[-1].returncode is not None:
            return []
        return [
            sock
            for sock in processes[-1].machine.sockets
            if isinstance(sock, VirtualStream) and sock.service_port == port and sock.peer
        ]

    def _cut(self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault) -> None:
        for direction in directions:
            self.network.block(direction, self.network.now_ms + fault.magnitude)

    def _drop(self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault) -> None:
        for direction in directions:
            self.network.datagram_loss[direction] = fault.magnitude
            self._schedule_end(ends_at_ms, partial(self.network.datagram_loss.pop, direction, None))

    def _delay(self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault) -> None:
        for direction in directions:
            self.network.impair(direction, LinkImpairment(delay_ms=fault.magnitude), fault.duration_ms)

    def _limit(self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault) -> None:
        for direction in directions:
            impairment = LinkImpairment(bytes_per_s=max(1.0, fault.magnitude))
            self.network.impair(direction, impairment, fault.duration_ms)

    def _reset(self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault) -> None:
        for stream in self._streams(host, directions[0].port):
            stream.reset()

    def _refuse(self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault) -> None:
        port = directions[0].port
        inward = Direction(CLUSTER_MACHINE_NAME, host.name, port)
        outward = Direction(host.name, CLUSTER_MACHINE_NAME, port)
        dialling = inward if fault.link == "balancers" else outward
        self.network.resetting_until_ms[dialling] = self.network.now_ms + fault.magnitude
        self._reset(ends_at_ms, directions, host, fault)

    def _half_open(
        self, ends_at_ms: float, directions: list[Direction], host: NodeHost, fault: Fault
    ) -> None:
        for stream in self._streams(host, directions[0].port):
            unaware = stream.peer if fault.direction == "in" and stream.peer else stream
            unaware.make_half_open()
            self._schedule_end(ends_at_ms, unaware.notice_lost_peer)


_BY_KIND: dict[str, Callable[[LinkFaults, float, list[Direction], NodeHost, Fault], None]] = {
    "cut": LinkFaults._cut,
    "drop": LinkFaults._drop,
    "delay": LinkFaults._delay,
    "limit": LinkFaults._limit,
    "reset": LinkFaults._reset,
    "refuse": LinkFaults._refuse,
    "half_open": LinkFaults._half_open,
}
