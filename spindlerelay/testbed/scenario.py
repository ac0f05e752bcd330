"""Scenarios: faults and operator actions at their times, each once, on a cluster in one process."""

from __future__ import annotations

from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.node_host import NodeHost
from spindlerelay.testbed.cluster.spec import ClusterSpec
from spindlerelay.testbed.cluster.workspace import Workspace


class Scenario:
    """A scenario of one run. Subclasses inject their faults in ``tick``.

    ``done`` lists, in words, what has happened.
    """

    cluster: Cluster

    keys_survive_restarts = False  # whether idempotency keys of all nodes survive their restarts

    def __init__(self) -> None:
        self.done: list[str] = []

    def play(self, spec: ClusterSpec, workspace: Workspace | None = None) -> Cluster:
        """Run the whole scenario on a cluster of its own, on loopback by default, and return the cluster."""
        self.cluster = Cluster(spec, self.tick, workspace)
        for name in self.cluster.hosts if self.keys_survive_restarts else ():
            self.cluster.checker.mark_durable(name)
        self.cluster.run()
        return self.cluster

    def tick(self, at: float) -> None:
        """Inject what is due at ``at`` ms since the first request."""
        raise NotImplementedError

    def once(self, event: str, due: bool) -> bool:
        """Return whether this is the first time that ``what`` is due."""
        if not due or event in self.done:
            return False
        self.done.append(event)
        return True

    def slow(self, host: NodeHost, at: float, start: float, end: float, factor: float, tag: str = "") -> None:
        """Run a machine so many times slower between two times."""
        if host.machine and self.once(f"{host.name} slowed{tag}", at >= start):
            host.machine.slowdown = factor
        if host.machine and self.once(f"{host.name} well again{tag}", at >= end):
            host.machine.slowdown = 1.0

    def crash(self, host: NodeHost, at: float, start: float, restart_at: float, tag: str = "") -> None:
        """Kill node and interpreter at one time and start them cold at another."""
        if self.once(f"{host.name} killed{tag}", at >= start):
            host.kill()
        if self.once(f"{host.name} back cold{tag}", at >= restart_at):
            host.start(cold=True)

    def replace(self, host: NodeHost, at: float, start: float, tag: str = "") -> None:
        """Shut a node down gracefully, and start a cold successor once its process has ended."""
        leaving = f"{host.name} told to leave{tag}"
        if self.once(leaving, at >= start):
            host.terminate()
        has_left = leaving in self.done and host.has_exited()
        if has_left and self.once(f"successor of {host.name}{tag}", True):
            host.start(cold=True)
