"""Scheduler of the calls to all dependencies of a node: a state machine from events to actions.

Pure: no I/O, no clock; all times are ms on the clock of the caller, which passes the current time in.
Guarantees:

1. Each requested call gets exactly one result, unless its run has ended or the call was abandoned before.
2. No dependency has more calls in flight than its configured maximum, including abandoned calls that it may
   still be running.
3. A call that is not idempotent is retried, or sent to another dependency, only if the outcome proves that it
   never ran.
4. Fallback calls use only the capacity that a dependency's own calls leave free, up to a quota.
5. A call that has no time left, or less time than calls to the dependency take on average, is not sent.

The routing table selects the primary dependency of a call. The call is sent there at once if the concurrency
limit and the circuit breaker allow it, and otherwise queued by priority. A call that cannot be sent, or has
failed and is not retried, uses the fallbacks of its primary dependency in the configured order: a cached
response, another dependency, or skipping the call. A call that is skipped, or has no fallback left, gets an
error as its result, and the admission controller continues the run without the call or fails the request.
"""

from __future__ import annotations

from spindlerelay.api import Idempotency, Outcome, Settings
from spindlerelay.dependencies.call_counters import BREAKER_COUNTERS, OUTCOME_COUNTERS, CallCounter
from spindlerelay.dependencies.call_estimates import RemainingRunEstimates, time_limit_ms
from spindlerelay.dependencies.call_events import (
    Action,
    CallAbandoned,
    CallCompleted,
    CallRequested,
    CancelCall,
    CloseConnection,
    DeliverResult,
    DependencyMetrics,
    Event,
    OpenConnection,
    RoutingTableChanged,
    RunEnded,
    SendCall,
)
from spindlerelay.dependencies.dependency_state import DependencyState
from spindlerelay.dependencies.fallbacks import MIN_CALL_MS, CachedResponse, Fallbacks, OtherDependency
from spindlerelay.dependencies.pending_call import PendingCall
from spindlerelay.dependencies.retry_budget import (
    MAX_ATTEMPTS,
    MIN_RETRY_TIME_MS,
    backoff_ms,
    is_safe_to_retry,
)
from spindlerelay.dependencies.routing_table import RoutingTable

# A call waits for the probes of an open breaker if wait and call together take at most this part of its time.
MAX_BREAKER_WAIT_FRACTION = 0.5
MIN_ABANDONED_CALL_MS = 10.0  # two timer ticks, within which a dependency reads a cancellation


class CallScheduler:
    """The scheduler; ``step`` takes events and returns the actions to execute, in order."""

    def __init__(self, table: RoutingTable, settings: Settings, seed: int = 0) -> None:
        self.table = RoutingTable(())
        self._settings = settings
        self._seed = seed
        self._now_ms = 0.0
        self._abandoned_call_ms = max(MIN_ABANDONED_CALL_MS, settings.abandoned_call_ms)
        self._by_number: dict[int, DependencyState] = {}  # includes removed ones with calls in flight
        self._by_name: dict[str, DependencyState] = {}
        self._calls: dict[str, PendingCall] = {}
        self._fallbacks = Fallbacks(self._by_name)
        self._run_estimates = RemainingRunEstimates(len(settings.classes))
        self._next_number = 1
        self._actions: list[Action] = []
        self._apply_table(table)
        self._initial_actions = self._actions  # returned first by the first step

    def step(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process the events, then send or give up queued calls as time and capacity require."""
        self._now_ms = now_ms
        self._actions = self._initial_actions
        self._initial_actions = []
        for event in events:
            match event:
                case CallRequested():
                    self._request_call(event)
                case CallCompleted():
                    self._complete_call(event)
                case CallAbandoned(call_id):
                    self._abandon_call(call_id)
                    self._run_estimates.discard(call_id)
                case RunEnded(call_id):
                    self._abandon_call(call_id)
                    self._run_estimates.note_run_end(now_ms, call_id)
                case RoutingTableChanged(table):
                    self._apply_table(table)
        for dependency in list(self._by_number.values()):
            self._dispatch(dependency)
        return self._actions

    def has_queued_calls(self) -> bool:
        """Return whether any call waits for capacity, backoff or a breaker, which change with time alone."""
        return any(dependency.queue for dependency in self._by_number.values())

    def metrics(self) -> list[DependencyMetrics]:
        """Return the metrics of each dependency in the table."""
        return [dependency.metrics(self._now_ms) for dependency in self._by_name.values()]

    def count_partial_response(self, class_name: str, body: bytes) -> None:
        """Count a run that continues without its call, for a partial response."""
        spec = self.table.route(class_name, body)
        if spec and (dependency := self._by_name.get(spec.name)):
            dependency.counts[CallCounter.PARTIAL_RESPONSES] += 1

    # Routing table

    def _apply_table(self, table: RoutingTable) -> None:
        """Replace the routing table.

        A dependency with an unchanged address keeps its measurements; any other dependency starts without.
        Calls in flight complete on their present connection; queued calls are routed again.
        """
        queued: list[PendingCall] = []
        for name, dependency in list(self._by_name.items()):
            spec = table.find(name)
            queued += dependency.take_queue()
            if spec and spec.address == dependency.spec.address:
                dependency.configure(spec)
                continue
            del self._by_name[name]
            self._fallbacks.evict_dependency(name)
            dependency.removed = True
            self._close_if_unused(dependency)
        self.table = table
        for spec in table.specs:
            if spec.name not in self._by_name:
                number = self._next_number
                dependency = DependencyState(number, spec, self._seed * 1000 + number)
                self._next_number += 1
                self._by_number[number] = self._by_name[spec.name] = dependency
                self._actions.append(OpenConnection(number, spec.address))
        for call in queued:
            self._calls.pop(call.call_id, None)
            remaining_ms = call.deadline_ms - self._now_ms
            event = CallRequested(call.call_id, call.class_index, call.body, remaining_ms, call.tenant_index)
            self._request_call(event, call.may_have_run)

    def _close_if_unused(self, dependency: DependencyState) -> None:
        if dependency.removed and not dependency.in_flight:
            del self._by_number[dependency.number]
            self._actions.append(CloseConnection(dependency.number))

    # Requesting, queueing and sending

    def _request_call(self, event: CallRequested, may_have_run: bool = False) -> None:
        self._abandon_call(event.call_id)
        self._run_estimates.discard(event.call_id)
        settings = self._settings.classes[event.class_index]
        spec = self.table.route(settings.name, event.body)
        if spec is None:  # excluded by validation, but the run must not wait forever
            self._actions.append(DeliverResult(event.call_id, Outcome.ERROR))
            return
        call = PendingCall(event, self._now_ms, self._by_name[spec.name])
        call.may_have_run = may_have_run
        call.idempotent = settings.idempotency is Idempotency.IDEMPOTENT
        if call.idempotent:
            call.partial_response_weight = self.table.partial_response_weight(spec, settings.name)
        call.priority = settings.priority_weight * (1.0 - call.partial_response_weight)
        if not call.partial_response_weight:
            call.remaining_run_ms = self._run_estimates.mean_ms(event.class_index)
        self._calls[call.call_id] = call
        call.primary.counts[CallCounter.REQUESTED] += 1
        self._enqueue(call)

    def _enqueue(self, call: PendingCall) -> None:
        """Queue a call at its dependency; the dispatch at the end of the step sends it if possible."""
        dependency = call.dependency
        if call.may_have_run:
            self._fall_back(call, CallCounter.NOT_SENT_MAY_HAVE_RUN)
        elif dependency.removed:
            self._fall_back(call, CallCounter.NOT_SENT_REMOVED)
        elif not self._may_wait(call):
            self._fall_back(call, BREAKER_COUNTERS[dependency.breaker.state])
        elif (rejected := dependency.enqueue(call)) is not None:
            self._fall_back(rejected, CallCounter.NOT_SENT_QUEUE_FULL)

    def _may_wait(self, call: PendingCall) -> bool:
        """Return whether a call may stay queued at its dependency.

        While the breaker allows no call, a call that a partial response can omit does not wait at all. Any
        other call waits for the next probes, if the wait and the call together are expected to take at most
        ``MAX_BREAKER_WAIT_FRACTION`` of the time left for the call.
        """
        dependency = call.dependency
        now_ms = self._now_ms
        if dependency.breaker.allows_call(now_ms):
            return True
        wait_ms = dependency.breaker.remaining_wait_ms(now_ms) + dependency.mean_call_ms(now_ms)
        remaining_ms = call.deadline_ms - now_ms - call.remaining_run_ms
        return not call.partial_response_weight and wait_ms <= MAX_BREAKER_WAIT_FRACTION * remaining_ms

    def _dispatch(self, dependency: DependencyState) -> None:
        """Send the queued calls that limit and breaker allow; give up calls that would be late."""
        if not dependency.queue:
            return
        now_ms = self._now_ms
        limit = max(1, int(dependency.limit.limit))
        queued_ahead = 0
        for call in dependency.take_queue():
            call_ms = dependency.mean_call_ms(now_ms)
            backoff_elapsed = call.not_before_ms <= now_ms
            limit_ms = time_limit_ms(call, dependency, now_ms)
            if limit_ms < max(MIN_CALL_MS, call_ms):
                self._fall_back(call, CallCounter.NOT_SENT_NO_TIME)
            elif not self._may_wait(call):
                self._fall_back(call, BREAKER_COUNTERS[dependency.breaker.state])
            elif (
                backoff_elapsed and dependency.has_capacity(now_ms) and dependency.breaker.allows_call(now_ms)
            ):
                self._send(call, dependency)
            elif limit_ms < call_ms * (1.0 + queued_ahead / limit):
                self._fall_back(call, CallCounter.NOT_SENT_QUEUE_FULL)
            else:
                queued_ahead += 1
                dependency.queue.append(call)

    def _send(self, call: PendingCall, dependency: DependencyState) -> None:
        dependency.note_sent(self._now_ms, call)
        timeout_ms = max(MIN_CALL_MS, time_limit_ms(call, dependency, self._now_ms))
        self._actions.append(SendCall(dependency.number, call.call_id, timeout_ms, call.body))

    # Completion, retries and results

    def _complete_call(self, event: CallCompleted) -> None:
        dependency = self._by_number.get(event.connection)
        call = dependency.in_flight.get(event.call_id) if dependency else None
        if dependency is None or call is None:
            return
        outcome = event.outcome
        self._remove_in_flight(call, dependency)
        dependency.counts[OUTCOME_COUNTERS[outcome]] += 1
        dependency.note_end(self._now_ms, call, outcome)
        if outcome in (Outcome.TIMEOUT, Outcome.RESET):  # the dependency may still be running it
            dependency.note_abandoned(self._now_ms, self._abandoned_call_ms)
        if outcome is Outcome.OK:
            if dependency is call.primary:
                self._fallbacks.note_response(self._now_ms, call, event.body)
            self._deliver(call, Outcome.OK, event.body)
            return
        call.may_have_run = not call.idempotent and not is_safe_to_retry(outcome, False)
        if self._may_retry(call, dependency, outcome):
            dependency.counts[CallCounter.RETRIES] += 1
            call.not_before_ms = self._now_ms + backoff_ms(call.attempts)
            self._enqueue(call)
        else:
            self._fall_back(call, CallCounter.NOT_SENT_FAILED)

    def _may_retry(self, call: PendingCall, dependency: DependencyState, outcome: Outcome) -> bool:
        """Return whether a failed call is retried at the same dependency; if so, spend a retry token."""
        now_ms = self._now_ms
        return (
            dependency is call.primary
            and not dependency.removed
            and is_safe_to_retry(outcome, call.idempotent)
            and call.attempts < MAX_ATTEMPTS
            and self._may_wait(call)
            and time_limit_ms(call, dependency, now_ms)
            > max(MIN_RETRY_TIME_MS, dependency.mean_call_ms(now_ms) + backoff_ms(call.attempts))
            and dependency.retry_budget.try_spend()
        )

    def _fall_back(self, call: PendingCall, reason: CallCounter) -> None:
        """Use the next fallback of a call that its dependency cannot serve, or deliver an error."""
        counts = call.primary.counts
        counts[reason] += 1
        match self._fallbacks.choose(self._now_ms, call):
            case CachedResponse(body):
                counts[CallCounter.CACHED_RESPONSES] += 1
                self._deliver(call, Outcome.OK, body)
            case OtherDependency(dependency):
                counts[CallCounter.SENT_TO_FALLBACK] += 1
                self._send(call, dependency)
            case None:
                counts[CallCounter.WITHOUT_RESPONSE] += 1
                self._deliver(call, Outcome.ERROR)

    def _deliver(self, call: PendingCall, outcome: Outcome, body: bytes = b"") -> None:
        del self._calls[call.call_id]
        if outcome is Outcome.OK:
            self._run_estimates.note_result(self._now_ms, call.call_id, call.class_index)
        self._actions.append(DeliverResult(call.call_id, outcome, body))

    def _abandon_call(self, call_id: str) -> None:
        call = self._calls.pop(call_id, None)
        if call is None:
            return
        dependency = call.dependency
        if call_id in dependency.in_flight:
            # The cancellation precedes a possible CloseConnection for the same connection.
            self._actions.append(CancelCall(dependency.number, call_id))
            self._remove_in_flight(call, dependency)
            dependency.breaker.note_abandoned(call.breaker_epoch)
            dependency.note_abandoned(self._now_ms, self._abandoned_call_ms)
            dependency.counts[CallCounter.ABANDONED] += 1
        elif call in dependency.queue:
            dependency.queue.remove(call)

    def _remove_in_flight(self, call: PendingCall, dependency: DependencyState) -> None:
        dependency.remove_in_flight(call)
        self._close_if_unused(dependency)
