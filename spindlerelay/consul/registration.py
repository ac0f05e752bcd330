"""State machine that keeps the node's service registered with the agent (reconciliation).

The module does no I/O: ``step(now, events)`` returns actions. At most one request is pending. The state at
the agent is known only from the agent's responses; after a time-out, an incomplete response or a 404 it is
unknown and is read again. The desired state follows from the health verdict and from whether the node is
shutting down. Every step compares the two states and makes the one request that reduces the difference.
Rules:

1. Nothing is registered once the shutdown has started. The state machine first waits briefly for a
   registration that is pending at that time, and deregisters the service in any case. The service counts as
   removed only when the agent has answered 404 to a read after the deregistration, since a cancelled
   registration may still have been executed.
2. A new process reads before it registers. It does not take an id that is held by a live instance at another
   address, and does not take back an id that another instance has taken. Both conflicts are logged, and the
   service is read periodically.
3. The operator sets the maintenance mode. The mode is reported to the node and is never lifted by the node.
4. Failures of the agent do not affect the node: every request has a time-out, the backoff between attempts
   doubles and has jitter, and every kind of failure is logged once until the agent answers again.

    state                   meaning                                      next states
    UNREGISTERED            nothing is known of the service              REGISTERING, CONFLICT
    REGISTERING             a registration is pending or must be made    WARMING_UP..UNHEALTHY, CONFLICT
    WARMING_UP..UNHEALTHY   registered; the check follows the verdict    each other, REGISTERING, CONFLICT
    CONFLICT                another live instance uses the id            REGISTERING, when the id is free
    DRAINING                the service is being deregistered            DEREGISTERED
    DEREGISTERED            the agent has confirmed the removal          none
"""

from __future__ import annotations

import random
from enum import Enum

from spindlerelay.consul.health_policy import HealthState, HealthVerdict
from spindlerelay.consul.registration_events import (
    NO_WEIGHTS,
    Action,
    AgentRequest,
    CancelRequest,
    Event,
    HealthChanged,
    LogMessage,
    MaintenanceChanged,
    Operation,
    RegisteredService,
    RequestCompleted,
    Result,
    ScheduleStep,
    ShutdownStarted,
    TokenReloaded,
)

BACKOFF_MS = 200.0
BACKOFF_MAX_MS = 10_000.0
MAX_BACKOFF_DOUBLINGS = 10
JITTER = 0.5  # random fraction of a backoff, which prevents synchronized retries of a fleet
DENIED_BACKOFF_MS = 5000.0  # long because only a new token helps; a token reload ends the backoff at once
SHUTDOWN_REGISTRATION_WAIT_MS = 300.0  # limit for a registration that is pending when the shutdown starts
SHUTDOWN_BACKOFF_MS = 50.0
SHUTDOWN_BACKOFF_MAX_MS = 400.0  # short because the whole shutdown takes only seconds
# READ_INTERVAL_FRACTION, HEARTBEAT_FRACTION and TIMEOUT_FRACTION are fractions of the check's TTL.
READ_INTERVAL_FRACTION = 0.5  # only reads detect the maintenance mode and conflicts
HEARTBEAT_FRACTION = 1 / 3  # tolerates the loss of two updates
TIMEOUT_FRACTION = 0.25
TIMEOUT_MAX_MS = 2000.0
CRITICAL = "critical"
WEIGHT_UPDATE_INTERVAL_MS = 1000.0  # minimum time between registrations that change only a weight


class RegistrationState(Enum):
    """States of the registration; WARMING_UP to UNHEALTHY correspond to the health policy's states."""

    UNREGISTERED = "unregistered"
    REGISTERING = "registering"
    WARMING_UP = "cold"
    PASSING = "passing"
    DEGRADED = "pressed"
    SATURATED = "full"
    UNHEALTHY = "sick"
    CONFLICT = "conflict"
    DRAINING = "draining"
    DEREGISTERED = "gone"


STATE_BY_HEALTH = {
    HealthState.WARMING_UP: RegistrationState.WARMING_UP,
    HealthState.PASSING: RegistrationState.PASSING,
    HealthState.DEGRADED: RegistrationState.DEGRADED,
    HealthState.SATURATED: RegistrationState.SATURATED,
    HealthState.UNHEALTHY: RegistrationState.UNHEALTHY,
}


class Registration:
    """Keeps one service registered.

    Args:
        seed: seed of the jitter.
        instance_id: identifies this process, so that it recognizes its own registration.
        address: ``host:port`` to register.
        ttl_ms: TTL of the agent's check.
    """

    def __init__(self, seed: int, instance_id: str, address: str, ttl_ms: float) -> None:
        self.random = random.Random(seed)
        self.instance_id = instance_id
        self.address = address
        self.ttl_ms = ttl_ms
        self.state = RegistrationState.UNREGISTERED
        self.verdict: HealthVerdict | None = None
        self.pending_operation: Operation | None = None
        self.failures = 0  # number of consecutive failures
        self.maintenance = False
        self._registered: bool | None = None  # None while unknown
        self._has_read = False
        self._conflict = False
        self._shutting_down = False
        self._deregistered = False
        self._confirmed_check = ("", "")  # status and output that the agent has confirmed
        self._sent_check = ("", "")
        self._confirmed_weights = NO_WEIGHTS
        self._sent_weights = NO_WEIGHTS
        self._weights_confirmed_at = 0.0
        self._next_heartbeat_at = 0.0
        self._next_read_at = 0.0
        self._backoff_ends_at = 0.0
        self._registration_deadline = 0.0  # limit for a pending registration during a shutdown
        self._logged_failures: set[Result] = set()
        self._actions: list[Action] = []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Process events and return the resulting actions; ``now`` is in ms."""
        self._actions = []
        for event in events:
            self._handle(now, event)
        if self.state is RegistrationState.DEREGISTERED:
            return self._actions
        if self.pending_operation is None:
            self._request_next(now)
        elif self._awaits_registration() and now >= self._registration_deadline:
            self._actions.append(CancelRequest())
            self.pending_operation = None
            self._registered = None
            self._request_next(now)
        self.state = self._present_state()
        if self.state is not RegistrationState.DEREGISTERED:
            self._actions.append(ScheduleStep(self._next_step_at(now)))
        return self._actions

    def is_critical_confirmed(self) -> bool:
        """Return whether the agent has confirmed that the check is critical."""
        return bool(self._registered) and self._confirmed_check[0] == CRITICAL

    def is_critical_pending(self) -> bool:
        """Return whether a critical status is about to be sent to an agent that is responding."""
        critical = self.verdict is not None and self.verdict.status == CRITICAL
        responding = bool(self._registered) and not self.failures and not self._conflict
        return critical and responding and not self._shutting_down and not self.is_critical_confirmed()

    # Events

    def _handle(self, now: float, event: Event) -> None:
        match event:
            case HealthChanged(verdict):
                self.verdict = verdict
            case ShutdownStarted():
                self._start_shutdown(now)
            case TokenReloaded():
                self._reset_backoff()
            case RequestCompleted():
                if event.operation is self.pending_operation:
                    self.pending_operation = None
                    self._request_completed(now, event)

    def _start_shutdown(self, now: float) -> None:
        if self._shutting_down:
            return
        self._shutting_down = True
        self._reset_backoff()
        if self.pending_operation is Operation.REGISTER:
            self._registration_deadline = now + SHUTDOWN_REGISTRATION_WAIT_MS
        elif self.pending_operation is not None:
            self._actions.append(CancelRequest())
            self.pending_operation = None

    def _request_completed(self, now: float, event: RequestCompleted) -> None:
        if event.result not in (Result.OK, Result.ABSENT):
            self._request_failed(now, event)
            return
        if self._logged_failures:
            self._log("info", "the agent answers again")
        self._logged_failures.clear()
        self._reset_backoff()
        match event.operation:
            case Operation.READ:
                self._read_completed(now, event)
            case Operation.REGISTER:
                self._register_completed(now, event)
            case Operation.UPDATE:
                self._update_completed(now, event)
            case Operation.DEREGISTER:
                self._deregistered = True
                self._registered = None  # unknown until a read confirms the removal

    def _reset_backoff(self) -> None:
        self.failures = 0
        self._backoff_ends_at = 0.0

    def _request_failed(self, now: float, event: RequestCompleted) -> None:
        """Start the backoff. The effect of a failed registration or deregistration is unknown."""
        self.failures += 1
        if event.operation in (Operation.REGISTER, Operation.DEREGISTER):
            self._registered = None
        initial_ms = SHUTDOWN_BACKOFF_MS if self._shutting_down else BACKOFF_MS
        max_ms = SHUTDOWN_BACKOFF_MAX_MS if self._shutting_down else BACKOFF_MAX_MS
        backoff_ms = min(max_ms, initial_ms * 2.0 ** min(self.failures - 1, MAX_BACKOFF_DOUBLINGS))
        if event.result is Result.DENIED and not self._shutting_down:
            backoff_ms = DENIED_BACKOFF_MS
        self._backoff_ends_at = now + backoff_ms * (1.0 - JITTER * self.random.random())
        if event.result not in self._logged_failures:
            self._logged_failures.add(event.result)
            self._log("warning", f"{event.operation.value} failed: {event.result.value}: {event.detail}")

    def _read_completed(self, now: float, event: RequestCompleted) -> None:
        self._next_read_at = now + READ_INTERVAL_FRACTION * self.ttl_ms
        self._has_read = True
        service = event.service
        if event.result is Result.ABSENT or service is None:
            self._registered = False
            self._conflict = False
            self._set_maintenance(False)
        elif (service.instance_id, service.address) == (self.instance_id, self.address):
            self._registered = True
            self._conflict = False
            self._set_maintenance(service.maintenance)
        elif self._shutting_down:
            self._registered = False  # the service belongs to another instance and is not removed
        elif self._registered or self._is_live_elsewhere(service):
            self._enter_conflict(service)
        else:
            # The registration of an earlier process at this address, or of a dead instance, is replaced.
            self._registered = False
            self._conflict = False
            self._set_maintenance(service.maintenance)

    def _is_live_elsewhere(self, service: RegisteredService) -> bool:
        return service.address != self.address and service.status != "critical"

    def _enter_conflict(self, service: RegisteredService) -> None:
        if not self._conflict:
            self._log(
                "error",
                f"service id in use by another instance at {service.address}, this node is not registered: "
                "give every node its own id",
            )
        self._registered = False
        self._conflict = True

    def _register_completed(self, now: float, event: RequestCompleted) -> None:
        if not self._registered:
            self._log("info", "registered")
        self._registered = event.result is Result.OK
        if self._registered:
            self._confirmed_weights = self._sent_weights
            self._weights_confirmed_at = now
            self._confirmed_check = ("", "")  # registering a service may reset its check
            self._next_heartbeat_at = now

    def _update_completed(self, now: float, event: RequestCompleted) -> None:
        if event.result is Result.ABSENT:
            self._registered = False  # the agent has lost the registration
            self._log("warning", "the agent no longer knows the service, registering it again")
        else:
            self._confirmed_check = self._sent_check
            self._next_heartbeat_at = now + HEARTBEAT_FRACTION * self.ttl_ms

    def _set_maintenance(self, enabled: bool) -> None:
        if enabled == self.maintenance:
            return
        self.maintenance = enabled
        self._actions.append(MaintenanceChanged(enabled))
        change = "set by the operator, accepting no new requests" if enabled else "lifted"
        self._log("info", f"maintenance mode {change}")

    def _log(self, level: str, text: str) -> None:
        self._actions.append(LogMessage(level, f"consul: {text}"))

    # The next request

    def _request_next(self, now: float) -> None:
        if now < self._backoff_ends_at or self.verdict is None:
            return
        read_due = now >= self._next_read_at
        if self._shutting_down:
            self._request_removal(now)
        elif self._conflict:
            if read_due:
                self._request(Operation.READ)
        elif not self._has_read or (self._registered and read_due):
            self._request(Operation.READ)
        elif not self._registered or self._weight_update_due(now, self.verdict):
            self._sent_weights = self.verdict.weights
            self._request(Operation.REGISTER, *self._check(self.verdict), self.verdict.weights)
        elif self._check(self.verdict) != self._confirmed_check or now >= self._next_heartbeat_at:
            self._sent_check = self._check(self.verdict)
            self._request(Operation.UPDATE, *self._sent_check)

    def _request_removal(self, now: float) -> None:
        confirmed_gone = self._deregistered and self._registered is False
        never_registered = self._sent_weights == NO_WEIGHTS
        if self._conflict or never_registered or confirmed_gone:
            self.state = RegistrationState.DEREGISTERED
            self._log("info", "this node is not registered")
        elif self._deregistered and self._registered is None:
            self._request(Operation.READ)
        else:
            self._deregistered = False
            self._request(Operation.DEREGISTER)

    def _weight_update_due(self, now: float, verdict: HealthVerdict) -> bool:
        earliest = self._weights_confirmed_at + WEIGHT_UPDATE_INTERVAL_MS
        return self._weight_changed(verdict) and now >= earliest

    def _weight_changed(self, verdict: HealthVerdict) -> bool:
        """Return whether the weights must be registered again.

        While the check is critical, only the passing weight matters: readers use it when most instances of
        the list are critical.
        """
        if verdict.status == CRITICAL:
            return verdict.weights[0] != self._confirmed_weights[0]
        return verdict.weights != self._confirmed_weights

    @staticmethod
    def _check(verdict: HealthVerdict) -> tuple[str, str]:
        """Return the status and output of the check for a verdict."""
        return verdict.status, f"{verdict.state.value}: {verdict.reason}"

    def _request(
        self, operation: Operation, status: str = "", output: str = "", weights: tuple[int, int] = NO_WEIGHTS
    ) -> None:
        self.pending_operation = operation
        timeout_ms = min(TIMEOUT_MAX_MS, TIMEOUT_FRACTION * self.ttl_ms)
        if self._shutting_down:
            timeout_ms = min(timeout_ms, SHUTDOWN_BACKOFF_MAX_MS)
        self._actions.append(AgentRequest(operation, timeout_ms, status, output, weights))

    # State and time of the next step

    def _awaits_registration(self) -> bool:
        return self._shutting_down and self.pending_operation is Operation.REGISTER

    def _present_state(self) -> RegistrationState:
        """Return the state that follows from the current knowledge of the agent and the node."""
        if self.state is RegistrationState.DEREGISTERED:
            return self.state
        if self._shutting_down:
            return RegistrationState.DRAINING
        if self._conflict:
            return RegistrationState.CONFLICT
        if self._registered and self.verdict:
            return STATE_BY_HEALTH[self.verdict.state]
        if self._has_read or self.pending_operation is Operation.REGISTER:
            return RegistrationState.REGISTERING
        return RegistrationState.UNREGISTERED

    def _next_step_at(self, now: float) -> float:
        if self.pending_operation is not None:
            return self._registration_deadline if self._awaits_registration() else now + self.ttl_ms
        if self._shutting_down:
            return max(now, self._backoff_ends_at)
        due = [self._next_read_at if self._has_read else now]
        if self._registered:
            due.append(self._next_heartbeat_at)
            if self.verdict and self._weight_changed(self.verdict):
                due.append(self._weights_confirmed_at + WEIGHT_UPDATE_INTERVAL_MS)
        return max(now, self._backoff_ends_at, min(due))
