"""Player that carries out the faults of a schedule on the nodes of a pool and keeps a journal of them.

The player knows nodes and links by name only. The link proxies implement the effect of a fault on a link.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from spindlerelay.testbed.cluster.node_host import NodeHost
from spindlerelay.testbed.cluster.node_pool import NodePool
from spindlerelay.testbed.cluster.spec import PROXIED_PORT_OFFSET
from spindlerelay.testbed.fault_injection.fault_schedule import (
    LINK_KINDS,
    PROCESS_KINDS,
    Fault,
    faulted_links,
)

# Time after the end of a link fault until delayed bytes have been read and a reset has been noticed.
SETTLE_MS = 300.0
SUCCESSOR_DELAY_MS = 100.0  # delay from the exit of a process to the start of its successor


class JournalEntry(NamedTuple):
    """The start or the end of one fault of a node.

    ``at_ms`` is the time since the first request. ``began`` is False for the end of a fault.
    """

    at_ms: float
    kind: str
    node: str
    link: str
    direction: str
    began: bool
    state_before: str


class _ActiveFault(NamedTuple):
    ends_at: float
    fault: Fault
    end: Callable[[], None]


class FaultPlayer:
    """Plays a schedule on one pool.

    The caller calls ``tick`` from the first request on. The player changes no node before the first call.
    """

    def __init__(self, pool: NodePool, faults: tuple[Fault, ...]) -> None:
        names = pool.spec.node_names()
        self.pool = pool
        self.journal: list[JournalEntry] = []
        node_faults = [fault for fault in faults if fault.kind in PROCESS_KINDS + LINK_KINDS]
        self._pending = sorted(fault for fault in node_faults if names[fault.node] in pool.hosts)
        self._pending_partitions = [fault for fault in faults if fault.kind == "split"]
        self._active: list[_ActiveFault] = []
        self._draining: list[NodeHost] = []
        links = faulted_links([*self._pending, *self._pending_partitions], len(names))
        pool.proxies.set_proxied_links(frozenset((names[node], link) for node, link in links))
        self._node_names = names

    def tick(self, at_ms: float) -> None:
        """End and begin the faults that are due, ends first; ``at_ms`` counts from the first request."""
        for active in [active for active in self._active if active.ends_at <= at_ms]:
            self._active.remove(active)
            self._record(at_ms, active.fault, began=False)
            active.end()
        while self._pending and self._pending[0].at_ms <= at_ms:
            fault = self._pending.pop(0)
            self._record(at_ms, fault, began=True)
            if end := self._begin_fault(fault):
                self._active.append(_ActiveFault(fault.at_ms + fault.effective_duration_ms, fault, end))
        for fault in [fault for fault in self._pending_partitions if fault.at_ms <= at_ms]:
            self._pending_partitions.remove(fault)
            self._partition(int(fault.magnitude))
            self._active.append(
                _ActiveFault(fault.at_ms + fault.duration_ms, fault, partial(self._partition, 0))
            )
            self._record(at_ms, fault, began=True)
        for host in [host for host in self._draining if host.has_exited()]:
            self._draining.remove(host)
            self.pool.loop.call_later(SUCCESSOR_DELAY_MS, partial(self._start, host))

    def _record(self, at_ms: float, fault: Fault, *, began: bool) -> None:
        name = self._node_names[fault.node]
        state = ""
        if fault.kind == "split":
            if name not in self.pool.hosts:
                return  # the shard that hosts the node records the partition
            name = "all"
        else:
            state = self.pool.hosts[name].state(self.pool.loop.now())
        entry = JournalEntry(round(at_ms, 1), fault.kind, name, fault.link, fault.direction, began, state)
        self.journal.append(entry)

    def _begin_fault(self, fault: Fault) -> Callable[[], None] | None:
        """Begin a fault; return a function that ends it, or None if the fault ends by itself."""
        host = self.pool.hosts[self._node_names[fault.node]]
        if fault.kind in LINK_KINDS:
            return self._begin_link_fault(host, fault)
        match fault.kind:
            case "kill":
                if host.machine:
                    host.kill()
                return partial(self._start, host)
            case "pause":
                host.pause()
                return host.proceed
            case "slow" if host.machine:
                host.machine.slowdown = fault.magnitude
                return partial(self._restore_speed, host)
            case "replace" if host.machine and not host.paused_at and host not in self._draining:
                host.terminate()
                self._draining.append(host)
        return None

    def _begin_link_fault(self, host: NodeHost, fault: Fault) -> Callable[[], None]:
        number = self.pool.proxies.begin_fault(host.name, fault)
        affects_balancers = fault.link == "balancers"
        if affects_balancers:
            self.pool.checker.set_network_fault(host.name, True)

        def end() -> None:
            self.pool.proxies.end_fault(number)
            if affects_balancers:
                self.pool.loop.call_later(SETTLE_MS, partial(self._end_network_fault, host))

        return end

    def _end_network_fault(self, host: NodeHost) -> None:
        """Resume the checks of the node's answers once no reset is pending on its balancer link."""
        if self.pool.proxies.reset_pending(host.name, "balancers"):
            self.pool.loop.call_later(SETTLE_MS, partial(self._end_network_fault, host))
        else:
            self.pool.checker.set_network_fault(host.name, False)

    def _partition(self, size: int) -> None:
        """Partition the first ``size`` nodes from all other nodes; a size of 0 ends the partition."""
        spec = self.pool.spec
        numbers = {}
        for number in range(len(spec.nodes)):
            host, port = spec.member_address(number)
            numbers[host, port] = numbers[host, port + PROXIED_PORT_OFFSET] = number

        def crosses_partition(host: str, port: int, *, in_first_group: bool) -> bool:
            return (numbers.get((host, port), 0) < size) != in_first_group

        for in_first_group in (True, False):
            nodes = [
                name for name in self.pool.hosts if (self._node_names.index(name) < size) == in_first_group
            ]
            self.pool.proxies.partition(
                partial(crosses_partition, in_first_group=in_first_group) if size else None, nodes
            )

    def _start(self, host: NodeHost) -> None:
        if host.machine is None:
            host.start(cold=True)

    def _restore_speed(self, host: NodeHost) -> None:
        if host.machine:
            host.machine.slowdown = 1.0
