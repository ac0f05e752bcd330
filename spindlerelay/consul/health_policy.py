"""Policy that derives a node's health, as the catalogue shows it, from the node's own status.

A step takes a time and a ``NodeStatus``, and returns a verdict: a ``HealthState`` with a reason and a
weight. A worse state is entered at once, and a better state only after the status has indicated it for a
dwell time. Readers of the catalogue react seconds late, and their reaction changes the node's load, so a
policy that followed every change of the status would oscillate through this feedback. Rules of the policy:

1. ``SATURATED`` (critical) is entered before the admission controller rejects requests for lack of capacity:
   either at a queue utilization that leaves capacity, or when the trend would fill the queue before an update
   takes effect.
2. A node leaves ``SATURATED`` or ``UNHEALTHY`` only through ``DEGRADED`` or ``WARMING_UP``, with a small
   weight that grows in steps (slow start).
3. ``WARMING_UP`` ends once and is not entered again while the interpreter process runs.
4. A state is left only after a dwell time that is derived from the settings. The dwell time of a critical
   state doubles with every critical period that begins soon after the previous one. The dwell time of a
   degraded state is longer during the warm-up, when the rising speed makes all measurements fluctuate.
5. A partly filled queue makes a node ``DEGRADED`` only if it lasts, so that a few successive arrivals have no
   effect.

The module must not depend on the agent's protocol or do I/O.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from spindlerelay.api import Settings
from spindlerelay.node.health import NodeStatus

# DWELL_FRACTION, WEIGHT_STEP_FRACTION and UNREACHABLE_FRACTION are fractions of the shortest latency
# objective.
DWELL_FRACTION = 3.5  # dwell time, which covers the delay with which load returns through the endpoint list
WEIGHT_STEP_FRACTION = 2.0  # time between two increases of the weight
FLAP_WINDOW_MS = 30_000.0  # a critical period that follows the previous one within this time is flapping
MAX_DWELL_FACTOR = 8.0
WARM_UP_DWELL_FACTOR = 3.0
UNREACHABLE_FRACTION = 0.7  # time without a connection to the interpreter that makes a node unhealthy
SATURATED_UTILIZATION = 0.6
WARM_UP_SATURATED_UTILIZATION = 0.3  # lower than in normal operation, since few runs have been observed yet
RECOVERED_UTILIZATION = 0.25
DEGRADED_UTILIZATION = 0.3  # threshold of the mean over UTILIZATION_MEAN_MS
UTILIZATION_MEAN_MS = 1000.0
UPDATE_LATENCY_MS = 100.0  # time of an update to the agent and of the blocking queries that deliver it
TREND_WINDOW_MS = 200.0
DEGRADED_SLOWDOWN = 2.5  # ratio to the best mean time on a core; contention for cores alone stays below 2
RECOVERED_SLOWDOWN = 1.6
BASELINE_DRIFT_PER_S = 0.02  # the best time drifts towards the present time, since work may become heavier
STORE_UNREACHABLE_MS = 1500.0
WEIGHT_STEP_FACTOR = 2.0
RECOVERY_WEIGHT = 25  # initial weight after a critical period, out of FULL_WEIGHT
FULL_WEIGHT = 100


class HealthState(Enum):
    """Health of a node as readers of the catalogue see it."""

    WARMING_UP = "cold"
    PASSING = "passing"
    DEGRADED = "pressed"
    SATURATED = "full"
    UNHEALTHY = "sick"


CHECK_STATUS = {
    HealthState.WARMING_UP: "warning",
    HealthState.PASSING: "passing",
    HealthState.DEGRADED: "warning",
    HealthState.SATURATED: "critical",
    HealthState.UNHEALTHY: "critical",
}
CRITICAL_STATES = frozenset({HealthState.SATURATED, HealthState.UNHEALTHY})


class HealthVerdict(NamedTuple):
    """State, reason and weights to publish.

    Attributes:
        weight: weight while the check is not passing, out of ``FULL_WEIGHT``.
        full_weight: weight of a healthy node of this capacity, 100 for an average node.
    """

    state: HealthState
    reason: str
    weight: int
    full_weight: int = FULL_WEIGHT

    @property
    def weights(self) -> tuple[int, int]:
        """Return the weight while passing and the weight while not passing."""
        return self.full_weight, max(1, self.weight * self.full_weight // FULL_WEIGHT)

    @property
    def status(self) -> str:
        """Return the status of the agent's check: passing, warning or critical."""
        return CHECK_STATUS[self.state]


class HealthPolicy:
    """Derives the health of one node from its status, beginning at the start of the process.

    Args:
        settings: settings with the classes' latency objectives, which determine the dwell times.
    """

    def __init__(self, settings: Settings) -> None:
        shortest = min(class_settings.latency_objective_ms for class_settings in settings.classes)
        self.dwell_ms = DWELL_FRACTION * shortest
        self.weight_step_ms = WEIGHT_STEP_FRACTION * shortest
        self.unreachable_ms = UNREACHABLE_FRACTION * shortest
        self.verdict = HealthVerdict(
            HealthState.UNHEALTHY, "starting: the interpreter has not been reached", RECOVERY_WEIGHT
        )
        self._dwell_factor = 1.0
        self._last_critical_at = -FLAP_WINDOW_MS
        self._entered_at = 0.0
        self._last_confirmed_at = 0.0  # time at which the status last indicated the present state
        self._weight_raised_at = 0.0
        self._baseline_core_ms = 0.0
        self._trend: list[tuple[float, float]] = []  # pairs of time and queue utilization
        self._mean_utilization = 0.0
        self._last_step_at = 0.0
        self._starting = True
        self._rejected_count = 0

    def step(self, now: float, status: NodeStatus) -> HealthVerdict:
        """Return the verdict at ``now``, a time in ms on a monotonic clock."""
        rejecting = status.rejected_count > self._rejected_count
        self._rejected_count = status.rejected_count
        slowdown = self._slowdown(now, status)
        utilization = self._predicted_utilization(now, status.queue_utilization)
        assessed, reason = self._assess(status, rejecting, utilization, slowdown)
        present = self.verdict.state
        if self._starting and status.started:
            self._starting = False  # the first state after the start needs no recovery and is entered at once
            self._enter(now, assessed, reason, status)
        elif assessed is present:
            self._last_confirmed_at = now
            self._confirm(now, reason, status)
        elif _severity(assessed) > _severity(present):
            self._enter(now, assessed, reason, status)
        else:
            self._improve(now, assessed, status)
        self._last_step_at = now
        return self.verdict

    def _assess(
        self, status: NodeStatus, rejecting: bool, utilization: float, slowdown: float
    ) -> tuple[HealthState, str]:
        """Return the state that the present status indicates, regardless of dwell times, and the reason."""
        if not status.started:
            return HealthState.UNHEALTHY, "starting: the interpreter has not been reached"
        if status.interpreter_down_ms > self.unreachable_ms:
            seconds = status.interpreter_down_ms / 1000
            return HealthState.UNHEALTHY, f"interpreter unreachable for {seconds:.0f} s"
        if rejecting:
            return HealthState.SATURATED, "turning requests away for want of room"
        if max(status.queue_utilization, utilization) >= self._saturation_threshold(status):
            return HealthState.SATURATED, "the hold is filling; about to turn requests away"
        return self._assess_speed(status, slowdown)

    def _assess_speed(self, status: NodeStatus, slowdown: float) -> tuple[HealthState, str]:
        """Return the state of a node that has capacity left and a reachable interpreter, and the reason."""
        if status.self_ejected:
            return HealthState.DEGRADED, "slowed: requests lie unread"
        if status.store_down_ms > STORE_UNREACHABLE_MS:
            return HealthState.DEGRADED, "the store refuses connections"
        degraded = self.verdict.state is HealthState.DEGRADED
        if slowdown >= (RECOVERED_SLOWDOWN if degraded else DEGRADED_SLOWDOWN):
            return HealthState.DEGRADED, "slowing: runs take over twice their best time"
        if status.warm_up_remaining_ms > 0:
            return HealthState.WARMING_UP, "warming up"
        if self._mean_utilization >= DEGRADED_UTILIZATION:
            return HealthState.DEGRADED, "requests wait for a core"
        return HealthState.PASSING, "serving"

    def _saturation_threshold(self, status: NodeStatus) -> float:
        """Return the queue utilization at which the node counts as saturated, with hysteresis."""
        if self.verdict.state is HealthState.SATURATED:
            return RECOVERED_UTILIZATION
        if status.warm_up_remaining_ms > 0:
            return WARM_UP_SATURATED_UTILIZATION
        return SATURATED_UTILIZATION

    def _slowdown(self, now: float, status: NodeStatus) -> float:
        """Return the ratio of the mean time on a core to the best mean time since the warm-up."""
        present_ms = status.mean_core_ms
        if status.warm_up_remaining_ms > 0 or not present_ms:
            return 1.0
        if not self._baseline_core_ms:
            self._baseline_core_ms = present_ms
        baseline_ms = self._baseline_core_ms
        drift = min(1.0, BASELINE_DRIFT_PER_S * (now - self._last_step_at) / 1000.0)
        self._baseline_core_ms = min(present_ms, baseline_ms + (present_ms - baseline_ms) * drift)
        return present_ms / self._baseline_core_ms

    def _predicted_utilization(self, now: float, utilization: float) -> float:
        """Return the queue utilization expected when an update that is sent now reaches the readers."""
        elapsed = now - self._last_step_at
        self._mean_utilization += (utilization - self._mean_utilization) * min(
            1.0, elapsed / UTILIZATION_MEAN_MS
        )
        self._trend.append((now, utilization))
        while now - self._trend[0][0] > TREND_WINDOW_MS:
            self._trend.pop(0)
        window_start, earlier_utilization = self._trend[0]
        too_short = now - window_start < TREND_WINDOW_MS / 2
        if too_short or utilization <= earlier_utilization or utilization < DEGRADED_UTILIZATION / 2:
            return utilization
        return utilization + (utilization - earlier_utilization) / (now - window_start) * UPDATE_LATENCY_MS

    def _dwell(self, status: NodeStatus) -> float:
        """Return the time in ms for which the status must indicate a better state before it is entered."""
        if self.verdict.state in CRITICAL_STATES:
            return self.dwell_ms * self._dwell_factor
        if self.verdict.weight < FULL_WEIGHT // 2:
            return self.weight_step_ms
        return self.dwell_ms * (WARM_UP_DWELL_FACTOR if status.warm_up_remaining_ms > 0 else 1.0)

    def _enter(self, now: float, state: HealthState, reason: str, status: NodeStatus) -> None:
        was_critical = self.verdict.state in CRITICAL_STATES
        is_critical = state in CRITICAL_STATES
        recovering = was_critical and self._entered_at > 0.0  # the initial state needs no recovery
        if is_critical and not was_critical:
            flapping = now - self._last_critical_at < FLAP_WINDOW_MS
            self._dwell_factor = min(MAX_DWELL_FACTOR, 2.0 * self._dwell_factor) if flapping else 1.0
        elif recovering and not is_critical:
            self._last_critical_at = now
        if is_critical or recovering:
            weight = RECOVERY_WEIGHT
        elif state is HealthState.WARMING_UP:
            weight = _warm_up_weight(status)
        else:
            weight = FULL_WEIGHT // 2 if state is HealthState.DEGRADED else FULL_WEIGHT
        self._entered_at = now
        self._last_confirmed_at = now
        self._weight_raised_at = now
        self.verdict = HealthVerdict(state, reason, weight)

    def _confirm(self, now: float, reason: str, status: NodeStatus) -> None:
        """Stay in the present state; during the warm-up, adapt the weight to the speed in steps."""
        weight = self.verdict.weight
        step_due = now - self._weight_raised_at >= self.weight_step_ms / 2
        if self.verdict.state is HealthState.WARMING_UP and step_due:
            raised = min(FULL_WEIGHT, int(weight * WEIGHT_STEP_FACTOR))
            weight = min(_warm_up_weight(status), max(weight, raised))
            self._weight_raised_at = now
        self.verdict = HealthVerdict(self.verdict.state, reason, weight)

    def _improve(self, now: float, assessed: HealthState, status: NodeStatus) -> None:
        """Move towards a better state, once the status has indicated it for the dwell time."""
        present = self.verdict
        too_soon = now - self._last_confirmed_at < self._dwell(status)
        if too_soon and present.state is not HealthState.WARMING_UP:
            return
        if present.state in CRITICAL_STATES:
            warming_up = status.warm_up_remaining_ms > 0
            state = HealthState.WARMING_UP if warming_up else HealthState.DEGRADED
            self._enter(now, state, "recovering: a trickle first", status)
        elif present.state is HealthState.DEGRADED and present.weight < FULL_WEIGHT // 2:
            weight = min(FULL_WEIGHT, int(present.weight * WEIGHT_STEP_FACTOR))
            self.verdict = HealthVerdict(present.state, "recovering: more by steps", weight)
            self._last_confirmed_at = now
        else:
            reason = "serving" if assessed is HealthState.PASSING else "warming up"
            self._enter(now, assessed, reason, status)


def _warm_up_weight(status: NodeStatus) -> int:
    """Return the weight for the present speed, in steps of a quarter to limit the number of registrations."""
    return max(RECOVERY_WEIGHT, int(status.speed_fraction * 4) * FULL_WEIGHT // 4)


_SEVERITY = {
    HealthState.PASSING: 0,
    HealthState.WARMING_UP: 1,
    HealthState.DEGRADED: 2,
    HealthState.SATURATED: 3,
    HealthState.UNHEALTHY: 4,
}


def _severity(state: HealthState) -> int:
    return _SEVERITY[state]
