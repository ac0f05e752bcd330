"""State machine of the node's service in the agent's catalogue. Pure: ``step(now, events)`` gives actions.

At most one request is pending. What the agent has is *known* only from its responses, so after every doubt (a
time-out, a broken response, a 404) it counts as unknown and is read again. What it should have follows from
the health verdict and from whether the node shuts down. Each step compares the two and makes the one request
that brings them nearer. The rules of this module:

1. Nothing is registered once the shutdown has started; a registration then pending is first waited for,
   briefly, and the service is deregistered in any case. It counts as gone only when the agent has said 404
   to a read after the removal, since a registration that was given up may still have been carried out.
2. A new process reads before it registers. An id that a live instance elsewhere holds is not taken, and an id
   that another instance has taken is not taken back: both are logged, and the service is read now and then.
3. Maintenance mode is set by the operator: it is reported to the node and never lifted here.
4. Failures of the agent cost the node nothing: each request has a time-out, waits between attempts double
   with jitter, and each kind of failure is logged once until the agent answers again.

    state                   means                                        is left for
    UNREGISTERED            nothing is known of the service              REGISTERING, CONFLICT
    REGISTERING             a registration is pending or must be made    WARMING_UP..UNHEALTHY, CONFLICT
    WARMING_UP..UNHEALTHY   registered; the check follows the verdict    each other, REGISTERING, CONFLICT
    CONFLICT                the id is another live instance's            REGISTERING, when that one is gone
    DRAINING                the service is being deregistered            DEREGISTERED
    DEREGISTERED            the agent has confirmed its absence          (end)
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
JITTER = 0.5  # part of a wait that is random, so that a fleet does not retry in step
DENIED_BACKOFF_MS = 5000.0  # only a new token helps, and its reload ends the wait at once
SHUTDOWN_REGISTRATION_WAIT_MS = 300.0  # for a registration that is pending when the shutdown starts
SHUTDOWN_BACKOFF_MS = 50.0
SHUTDOWN_BACKOFF_MAX_MS = 400.0  # a shutdown takes seconds in all
READ_INTERVAL_FRACTION = 0.5  # of the check's TTL: maintenance mode and conflicts are seen by reading
HEARTBEAT_FRACTION = 1 / 3  # of the check's TTL: two updates may get lost
TIMEOUT_FRACTION = 0.25  # of the check's TTL
TIMEOUT_MAX_MS = 2000.0
CRITICAL = "critical"  # status of a check
WEIGHT_UPDATE_INTERVAL_MS = 1000.0  # between registrations that change nothing but a weight


class RegistrationState(Enum):
    """Where the registration stands; those from WARMING_UP to UNHEALTHY are the health policy's."""

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


STATE_OF_HEALTH = {
    HealthState.WARMING_UP: RegistrationState.WARMING_UP,
    HealthState.PASSING: RegistrationState.PASSING,
    HealthState.DEGRADED: RegistrationState.DEGRADED,
    HealthState.SATURATED: RegistrationState.SATURATED,
    HealthState.UNHEALTHY: RegistrationState.UNHEALTHY,
}


class Registration:
    """Registration of one service.

    Args:
        seed: of the jitter.
        instance_id: marks this process, so that it knows its own registration.
        address: ``host:port`` that is registered.
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
        self.failures = 0  # in a row
        self.maintenance = False
        self._registered: bool | None = None  # None: not known
        self._has_read = False
        self._conflict = False
        self._shutting_down = False
        self._deregistered = False
        self._confirmed_check = ("", "")  # status and output that the agent has confirmed
        self._sent_check = ("", "")
        self._confirmed_weights = NO_WEIGHTS
        self._sent_weights = NO_WEIGHTS
        self._weights_confirmed_at = 0.0
        self._heartbeat_at = 0.0
        self._read_at = 0.0
        self._not_before = 0.0  # end of the backoff
        self._registration_deadline = 0.0  # in a shutdown
        self._logged_failures: set[Result] = set()
        self._actions: list[Action] = []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Take in what has happened and return what to do; ``now`` in ms."""
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

    def shows_critical(self) -> bool:
        """Return whether the agent has confirmed that the check is critical."""
        return bool(self._registered) and self._confirmed_check[0] == CRITICAL

    def publishes_critical(self) -> bool:
        """Return whether the agent, which answers, is about to learn that the check is critical."""
        wanted = self.verdict is not None and self.verdict.status == CRITICAL
        answers = bool(self._registered) and not self.failures and not self._conflict
        return wanted and answers and not self._shutting_down and not self.shows_critical()

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
                self._registered = None  # a read will tell

    def _reset_backoff(self) -> None:
        self.failures = 0
        self._not_before = 0.0

    def _request_failed(self, now: float, event: RequestCompleted) -> None:
        """Back off. What the request was to change is in doubt."""
        self.failures += 1
        if event.operation in (Operation.REGISTER, Operation.DEREGISTER):
            self._registered = None
        first = SHUTDOWN_BACKOFF_MS if self._shutting_down else BACKOFF_MS
        longest = SHUTDOWN_BACKOFF_MAX_MS if self._shutting_down else BACKOFF_MAX_MS
        wait = min(longest, first * 2.0 ** min(self.failures - 1, MAX_BACKOFF_DOUBLINGS))
        if event.result is Result.DENIED and not self._shutting_down:
            wait = DENIED_BACKOFF_MS
        self._not_before = now + wait * (1.0 - JITTER * self.random.random())
        if event.result not in self._logged_failures:
            self._logged_failures.add(event.result)
            self._log("warning", f"{event.operation.value} failed: {event.result.value}: {event.detail}")

    def _read_completed(self, now: float, event: RequestCompleted) -> None:
        self._read_at = now + READ_INTERVAL_FRACTION * self.ttl_ms
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
            self._registered = False  # another instance's, which stays
        elif self._registered or self._is_live_elsewhere(service):
            self._enter_conflict(service)
        else:
            # A former process at this address, or a dead instance: its registration is replaced.
            self._registered = False
            self._conflict = False
            self._set_maintenance(service.maintenance)

    def _is_live_elsewhere(self, service: RegisteredService) -> bool:
        return service.address != self.address and service.status != "critical"

    def _enter_conflict(self, service: RegisteredService) -> None:
        if not self._conflict:
            self._log(
                "error",
                f"id in use by another instance at {service.address}; this one stays out of the catalogue: "
                "give each node an id of its own",
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
            self._confirmed_check = ("", "")  # a check may start anew with its service
            self._heartbeat_at = now

    def _update_completed(self, now: float, event: RequestCompleted) -> None:
        if event.result is Result.ABSENT:
            self._registered = False  # the agent has lost its state
            self._log("warning", "the agent does not know this node any more; registering again")
        else:
            self._confirmed_check = self._sent_check
            self._heartbeat_at = now + HEARTBEAT_FRACTION * self.ttl_ms

    def _set_maintenance(self, enabled: bool) -> None:
        if enabled == self.maintenance:
            return
        self.maintenance = enabled
        self._actions.append(MaintenanceChanged(enabled))
        change = "set by the operator; taking no new work" if enabled else "lifted"
        self._log("info", f"maintenance mode {change}")

    def _log(self, level: str, text: str) -> None:
        self._actions.append(LogMessage(level, f"consul: {text}"))

    # The next request

    def _request_next(self, now: float) -> None:
        if now < self._not_before or self.verdict is None:
            return
        read_due = now >= self._read_at
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
        elif self._check(self.verdict) != self._confirmed_check or now >= self._heartbeat_at:
            self._sent_check = self._check(self.verdict)
            self._request(Operation.UPDATE, *self._sent_check)

    def _request_removal(self, now: float) -> None:
        confirmed_gone = self._deregistered and self._registered is False
        never_registered = self._sent_weights == NO_WEIGHTS
        if self._conflict or never_registered or confirmed_gone:
            self.state = RegistrationState.DEREGISTERED
            self._log("info", "out of the catalogue")
        elif self._deregistered and self._registered is None:
            self._request(Operation.READ)
        else:
            self._deregistered = False
            self._request(Operation.DEREGISTER)

    def _weight_update_due(self, now: float, verdict: HealthVerdict) -> bool:
        earliest = self._weights_confirmed_at + WEIGHT_UPDATE_INTERVAL_MS
        return self._weight_changed(verdict) and now >= earliest

    def _weight_changed(self, verdict: HealthVerdict) -> bool:
        """Tell whether the weights must be registered again.

        While critical, the passing weight alone counts: readers that find most of a list critical use it.
        """
        if verdict.status == CRITICAL:
            return verdict.weights[0] != self._confirmed_weights[0]
        return verdict.weights != self._confirmed_weights

    @staticmethod
    def _check(verdict: HealthVerdict) -> tuple[str, str]:
        """Return status and output of the agent's check."""
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
        """Return the state that follows from what is known now."""
        if self.state is RegistrationState.DEREGISTERED:
            return self.state
        if self._shutting_down:
            return RegistrationState.DRAINING
        if self._conflict:
            return RegistrationState.CONFLICT
        if self._registered and self.verdict:
            return STATE_OF_HEALTH[self.verdict.state]
        if self._has_read or self.pending_operation is Operation.REGISTER:
            return RegistrationState.REGISTERING
        return RegistrationState.UNREGISTERED

    def _next_step_at(self, now: float) -> float:
        if self.pending_operation is not None:
            return self._registration_deadline if self._awaits_registration() else now + self.ttl_ms
        if self._shutting_down:
            return max(now, self._not_before)
        due = [self._read_at if self._has_read else now]
        if self._registered:
            due.append(self._heartbeat_at)
            if self.verdict and self._weight_changed(self.verdict):
                due.append(self._weights_confirmed_at + WEIGHT_UPDATE_INTERVAL_MS)
        return max(now, self._not_before, min(due))
