"""Carries out the faults of a schedule on a cluster in virtual time.

Owns when faults begin and end, and which pairs of a fault and a node's state were reached. Must not depend on
how the run is judged afterwards.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from spindlerelay.node.node import Node
from spindlerelay.node.run_tracker import REQUEST_OVER_MARGIN_MS
from spindlerelay.testbed.cluster.node_host import NodeHost
from spindlerelay.testbed.cluster.spec import TICK_MS
from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.scenario import Scenario
from spindlerelay.testbed.simulation.link_faults import LinkFaults
from spindlerelay.testbed.simulation.virtual_clock import HangError
from spindlerelay.testbed.simulation.virtual_network import START_MS, Direction, NetworkCondition
from spindlerelay.testbed.simulation.virtual_workspace import CLUSTER_MACHINE_NAME, VirtualWorkspace

STALE_ENDPOINT_LIST_MS = 3000.0
MACHINE_SLOWED_MS = 900.0
SUCCESSOR_START_DELAY_MS = 100.0
ORPHAN_CHECK_INTERVAL_MS = 100.0
MAX_ORPHAN_AGE_MS = 1500.0  # a broken link is back within 600 ms
MAX_VIRTUAL_MS = 60_000.0  # a run that has not ended by then counts as hung
FRAGMENTED = NetworkCondition(0.1, 6.0, 0.9)


class FaultPlayer(Scenario):
    """Applies each fault at its time, and looks for runs that only the node believes in."""

    def __init__(self, workspace: VirtualWorkspace, faults: tuple[Fault, ...]) -> None:
        super().__init__()
        self.workspace = workspace
        self.network = workspace.network
        self.reached: set[str] = set()  # as "kind/state"
        self.orphaned_run_errors: list[str] = []
        self._pending_faults = list(faults)
        self._scheduled_ends: list[tuple[float, Callable[[], object]]] = []
        self._link_faults = LinkFaults(workspace, self._schedule_end)
        self._orphaned_since_ms: dict[str, float] = {}  # by call
        self._replaced_hosts: set[str] = set()  # draining, with no successor yet
        self._agent_down = False

    def tick(self, at: float) -> None:
        """End and begin what is due; ``at`` is ms since the first request.

        Raises:
            HangError: The run takes longer than ``MAX_VIRTUAL_MS``.
        """
        if self.network.now_ms - START_MS > MAX_VIRTUAL_MS:
            raise HangError("the run does not end")
        for scheduled in [each for each in self._scheduled_ends if each[0] <= at]:
            self._scheduled_ends.remove(scheduled)
            scheduled[1]()
        while self._pending_faults and self._pending_faults[0].at_ms <= at:
            self._begin(at, self._pending_faults.pop(0))
        if int(at / ORPHAN_CHECK_INTERVAL_MS) != int((at - TICK_MS) / ORPHAN_CHECK_INTERVAL_MS):
            self._check_for_orphaned_runs(at)
        for host in self.cluster.hosts.values():
            if host.name in self._replaced_hosts and host.has_exited():
                self._replaced_hosts.remove(host.name)
                self._schedule_start(at + SUCCESSOR_START_DELAY_MS, host)

    def _schedule_end(self, at_ms: float, action: Callable[[], object]) -> None:
        self._scheduled_ends.append((at_ms, action))

    def _schedule_start(self, at_ms: float, host: NodeHost) -> None:
        self._schedule_end(at_ms, partial(_start_if_down, host))

    def _check_for_orphaned_runs(self, at_ms: float) -> None:
        """Record a run that the node believes in and its interpreter does not: it will never end."""
        orphaned_since_ms = dict[str, float]()
        for name, host in self.cluster.hosts.items():
            processes = self.workspace.processes.get(name)
            if (
                not processes
                or processes[-1].returncode is not None
                or host.paused_at
                or host.machine is None
            ):
                continue
            if self._link_faults.interpreter_link_doubtful(name, at_ms):
                continue
            interpreter_runs = host.machine.run_ids()
            node = processes[-1].service.node
            for call in node.running_calls():
                if call in interpreter_runs or _is_unconfirmed(node, call):
                    continue
                since_ms = self._orphaned_since_ms.get(call, at_ms)
                orphaned_since_ms[call] = since_ms
                if at_ms - since_ms > MAX_ORPHAN_AGE_MS and not self.orphaned_run_errors:
                    self.orphaned_run_errors.append(
                        f"forgotten: {name}: {call} runs, and its interpreter has no such run"
                    )
        self._orphaned_since_ms = orphaned_since_ms

    def _begin(self, at_ms: float, fault: Fault) -> None:
        host = list(self.cluster.hosts.values())[fault.node]
        state = host.state(self.cluster.loop.now())
        self.reached.add(f"{fault.kind}/{state}")
        self.network.record_event(f"fault {fault.describe()} on {state}")
        if fault.link:
            self._link_faults.apply(self.cluster, at_ms, host, fault)
        else:
            _BY_KIND[fault.kind](self, at_ms, host, fault.magnitude)

    # Processes and machines

    def _kill(self, at_ms: float, host: NodeHost, size: float) -> None:
        if host.machine:
            host.kill()
            self._replaced_hosts.discard(host.name)
            self._schedule_start(at_ms + size, host)

    def _replace(self, at_ms: float, host: NodeHost, size: float) -> None:
        if host.machine and not host.paused_at and host.name not in self._replaced_hosts:
            host.terminate()
            self._replaced_hosts.add(host.name)

    def _pause(self, at_ms: float, host: NodeHost, size: float) -> None:
        if host.machine and not host.paused_at:
            host.pause()
            self._schedule_end(at_ms + size, host.proceed)

    def _cut_interpreter(self, at_ms: float, host: NodeHost, size: float) -> None:
        host.interpreter.break_connection()

    def _cut_balancers(self, at_ms: float, host: NodeHost, size: float) -> None:
        host.disconnect_balancers()

    def _slow(self, at_ms: float, host: NodeHost, size: float) -> None:
        if host.machine:
            host.machine.slowdown = size
            self._schedule_end(at_ms + MACHINE_SLOWED_MS, partial(_end_slowdown, host))

    def _clock(self, at_ms: float, host: NodeHost, size: float) -> None:
        if host.machine and host.process and host.process.poll() is None:
            self.workspace.processes[host.name][-1].machine.advance_clock(size)

    def _reload(self, at_ms: float, host: NodeHost, size: float) -> None:
        host.reload()

    # Disks

    def _power(self, at_ms: float, host: NodeHost, size: float) -> None:
        """The machine dies with everything that its disk had not synced."""
        if host.machine:
            self._kill(at_ms, host, size)
            self.network.disk(host.name).lose_power()

    def _disk_full(self, at_ms: float, host: NodeHost, size: float) -> None:
        """Nothing is promised beyond the life of a process whose disk takes no record."""
        self.cluster.checker.unmark_durable(host.name)
        disk = self.network.disk(host.name)
        disk.is_full = True
        self._schedule_end(at_ms + size, lambda: setattr(disk, "is_full", False))

    def _disk_lies(self, at_ms: float, host: NodeHost, size: float) -> None:
        """Syncs do nothing: no promise outlives a loss of power."""
        self.cluster.checker.unmark_durable(host.name)
        disk = self.network.disk(host.name)
        disk.ignores_sync = True
        self._schedule_end(at_ms + size, lambda: setattr(disk, "ignores_sync", False))

    # What nodes share

    def _store_down(self, at_ms: float, host: NodeHost, size: float) -> None:
        self.cluster.store_model.crash(self.cluster.loop.now(), size)

    def _store_cut(self, at_ms: float, host: NodeHost, size: float) -> None:
        """Block one way between a node and the store; the size's fraction says which."""
        port = self.cluster.store.address[1]
        outward = Direction(host.name, CLUSTER_MACHINE_NAME, port)
        inward = Direction(CLUSTER_MACHINE_NAME, host.name, port)
        direction = outward if size % 2.0 < 1.0 else inward
        self.network.blocked_until_ms[direction] = self.network.now_ms + size

    def _pieces(self, at_ms: float, host: NodeHost, size: float) -> None:
        self.network.condition = FRAGMENTED
        self._schedule_end(at_ms + size, self._restore_condition)

    def _datagrams(self, at_ms: float, host: NodeHost, size: float) -> None:
        self.network.condition = self.network.condition._replace(datagram_loss_probability=1.0)
        self._schedule_end(at_ms + size, self._restore_condition)

    def _restore_condition(self) -> None:
        self.network.condition = NetworkCondition()

    def _repeat(self, at_ms: float, host: NodeHost, size: float) -> None:
        """Send the newest keyed requests again, at this very node, whatever became of them."""
        newest = [
            order for order in self.cluster.requests if order.idempotency_key and order.arrival_ms < at_ms
        ][-int(size) :]
        for order in newest:
            self.cluster.resend(order, host.name)

    def _late_list(self, at_ms: float, host: NodeHost, size: float) -> None:
        """Balancers see the endpoint list later by ``size`` ms, for a while."""
        self.cluster.announced_list.propagation_delay_ms += size
        self._schedule_end(at_ms + STALE_ENDPOINT_LIST_MS, partial(self._end_stale_list, size))

    def _end_stale_list(self, delay_ms: float) -> None:
        self.cluster.announced_list.propagation_delay_ms -= delay_ms

    def _stop_agent(self, at_ms: float, host: NodeHost, size: float) -> None:
        if self.cluster.agent and not self._agent_down:
            self._agent_down = True
            self.cluster.agent.stop()
            self._schedule_end(at_ms + size, self._restart_agent)

    def _restart_agent(self) -> None:
        """The catalogue's agent comes back with no registrations."""
        assert self.cluster.agent
        self._agent_down = False
        self.cluster.catalogue.reset()
        self.cluster.agent.listen()


def _start_if_down(host: NodeHost) -> None:
    if host.machine is None:
        host.start(cold=True)


def _end_slowdown(host: NodeHost) -> None:
    if host.machine:
        host.machine.slowdown = 1.0


def _is_unconfirmed(node: Node, call_id: str) -> bool:
    """Return whether a node may still wait to learn whether a run has started.

    Whether the start of an order was lost with a connection is settled once its request is over.
    """
    context = node.context
    request = context.requests.by_call_id[call_id]
    settled_at_ms = request.incoming.due_at_ms + REQUEST_OVER_MARGIN_MS
    return request.unconfirmed and context.loop.now() <= settled_at_ms


_BY_KIND: dict[str, Callable[[FaultPlayer, float, NodeHost, float], None]] = {
    "kill": FaultPlayer._kill,
    "replace": FaultPlayer._replace,
    "pause": FaultPlayer._pause,
    "cut_interpreter": FaultPlayer._cut_interpreter,
    "cut_balancers": FaultPlayer._cut_balancers,
    "slow": FaultPlayer._slow,
    "store_down": FaultPlayer._store_down,
    "store_cut": FaultPlayer._store_cut,
    "pieces": FaultPlayer._pieces,
    "datagrams": FaultPlayer._datagrams,
    "clock": FaultPlayer._clock,
    "reload": FaultPlayer._reload,
    "repeat": FaultPlayer._repeat,
    "late_list": FaultPlayer._late_list,
    "power": FaultPlayer._power,
    "disk_full": FaultPlayer._disk_full,
    "disk_lies": FaultPlayer._disk_lies,
    "agent_down": FaultPlayer._stop_agent,
}
