"""Health status and load that a node publishes in health checks, the endpoint list and responses.

Owns the reasons for which a node accepts no new work. It neither ends nor rejects requests.
"""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay import api
from spindlerelay.node.context import NodeContext

# Fraction of the shortest latency objective. After so long without a connection to the interpreter, hardly
# any request could still complete within the objective.
UNREACHABLE_FRACTION = 0.7


class NodeStatus(NamedTuple):
    """Status of a node, for the components that report its health.

    Attributes:
        started: whether the interpreter has been reached since the process started.
        interpreter_down_ms: time without a connection to the interpreter.
        warm_up_remaining_ms: time until the interpreter is warm.
        speed_fraction: speed of the interpreter relative to a warm one, from the cold fraction to 1.
        queue_utilization: fraction of the queue in use; at 1 the next request would be rejected.
        rejected_count: requests rejected since the process started, except while draining.
        mean_core_ms: mean core time of a run, 0 before the first run has ended.
        self_ejected: whether the controller asked to be left out of endpoint lists.
        store_down_ms: time in which no dependency has accepted connections.
        cpu_utilization: fraction of the cores in use, from the gauges received last.
    """

    started: bool
    interpreter_down_ms: float = 0.0
    warm_up_remaining_ms: float = 0.0
    speed_fraction: float = 1.0
    queue_utilization: float = 0.0
    rejected_count: int = 0
    mean_core_ms: float = 0.0
    self_ejected: bool = False
    store_down_ms: float = 0.0
    cpu_utilization: float = 0.0


class HealthMonitor:
    """Publishes the health and load that the admission controller reports.

    The node is also published as unhealthy while it drains, during maintenance, and while the interpreter is
    unreachable.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.healthy = True
        self.published_load: float | None = None
        self._controller_load: float | None = None
        self._extra_load = 0.0  # fraction of load added by load balancing across nodes
        self._controller_healthy = True
        self._draining = False
        self._in_maintenance = False
        self._interpreter_unreachable = False
        shortest_objective_ms = min(spec.latency_objective_ms for spec in context.settings.classes)
        self._unreachable_after_ms = UNREACHABLE_FRACTION * shortest_objective_ms

    def set_controller_health(self, action: api.SetHealth) -> None:
        """Publish the health that the admission controller has set."""
        self._controller_healthy = action.healthy
        self._publish_health()

    def start_draining(self) -> None:
        """Publish from now on that this node accepts no new work."""
        self._draining = True
        self._publish_health()

    def set_maintenance(self, enabled: bool) -> None:
        """Publish that this node accepts no new work during maintenance; it still serves requests."""
        self._in_maintenance = enabled
        self._publish_health()

    def check_interpreter(self) -> None:
        """Publish that this node accepts no new work while the interpreter is unreachable."""
        context = self._context
        unreachable = (
            context.started and context.backends.interpreter.unavailable_ms() > self._unreachable_after_ms
        )
        if unreachable != self._interpreter_unreachable:
            self._interpreter_unreachable = unreachable
            change = "node reported as not accepting requests" if unreachable else "reachable again"
            context.loop.warnings.warn("interpreter unreachable", change)
            self._publish_health()

    def _publish_health(self) -> None:
        self.healthy = self._controller_healthy and not (
            self._draining or self._interpreter_unreachable or self._in_maintenance
        )
        self._context.backends.discovery.set_accepting(self.healthy)

    def set_controller_load(self, action: api.PublishLoad) -> None:
        """Publish the load that the admission controller has reported."""
        self._controller_load = action.load
        self._publish_load()

    def add_load(self, fraction: float) -> None:
        """Publish more load than the controller reports, by this fraction: other nodes have more capacity."""
        self._extra_load = fraction
        self._publish_load()

    def _publish_load(self) -> None:
        load = self._controller_load
        if load is not None and self._extra_load:
            if self._context.settings.load_signal is api.LoadSignal.LEVEL:
                load = min(1.0, load + self._extra_load)
            else:
                load = load * (1.0 - self._extra_load)
        self.published_load = load

    def status(self) -> NodeStatus:
        """Return the current status of the node."""
        context = self._context
        controller = context.admission.status()
        settings = context.settings
        now_ms = context.loop.now()
        interpreter = context.backends.interpreter
        warm_up_ms = 0.0
        if settings.cold_start:
            warm_up_ms = max(0.0, interpreter.interpreter_started_at_ms + settings.warm_up_ms - now_ms)
        speed_reduction = (1.0 - settings.cold_speed_fraction) * warm_up_ms / max(1.0, settings.warm_up_ms)
        gauges = dict(zip(settings.gauges, interpreter.gauges, strict=False))
        return NodeStatus(
            started=context.started,
            interpreter_down_ms=interpreter.unavailable_ms(),
            warm_up_remaining_ms=warm_up_ms,
            speed_fraction=1.0 - speed_reduction,
            queue_utilization=controller.queue_utilization,
            rejected_count=context.rejected_count,
            mean_core_ms=controller.mean_core_ms,
            self_ejected=controller.self_ejected,
            store_down_ms=context.backends.dependency_down_ms(),
            cpu_utilization=gauges.get("cpu", 0.0),
        )
