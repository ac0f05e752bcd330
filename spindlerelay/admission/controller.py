"""The admission controller of one server: receives events and returns actions.

This module owns the order of the decisions. Each kind of decision has its own module. The controller is pure:
it depends only on the types of ``spindlerelay.api`` and on this package, and its random numbers come from a
generator that is seeded at construction.
"""

from __future__ import annotations

import math
import random

from spindlerelay import api
from spindlerelay.admission import memory_budget
from spindlerelay.admission.class_statistics import ClassStatistics, mean_core_ms, update_means
from spindlerelay.admission.concurrency_limit import ConcurrencyLimit
from spindlerelay.admission.dependency_calls import DependencyCalls
from spindlerelay.admission.drain import DrainState
from spindlerelay.admission.idle_timeout import IdleTimeout
from spindlerelay.admission.load_report import LoadReport, TrafficWindow
from spindlerelay.admission.load_shedding import LoadShedder
from spindlerelay.admission.request_state import Phase, RequestState, RequestTable
from spindlerelay.admission.self_ejection import SelfEjection
from spindlerelay.admission.tenant_quota import TenantQuotas

# The constants *_FRACTION are fractions of the shortest latency objective.
# Interval at which the gauges are read while there are open requests.
TICK_FRACTION = 1 / 28
# Interval at which the decaying windows are updated. A timer that is later than this interval counts as a
# stall of the process.
UPDATE_FRACTION = 1 / 7
# Time constant of the decaying windows.
WINDOW_FRACTION = 25 / 7
# Minimum time between two log lines of the same text.
LOG_INTERVAL_MS = 5000.0


class AdmissionController:
    """Makes all admission decisions of one server. Instances share no state."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        random_generator = random.Random(seed)
        shortest_objective_ms = min(spec.latency_objective_ms for spec in settings.classes)
        self.settings = settings
        self._tick_ms = TICK_FRACTION * shortest_objective_ms
        self._update_interval_ms = UPDATE_FRACTION * shortest_objective_ms
        self._window_ms = WINDOW_FRACTION * shortest_objective_ms
        self.classes = [ClassStatistics(spec) for spec in settings.classes]
        self._min_priority_weight, self._max_priority_weight = _weight_range(settings)
        self.requests = RequestTable()
        self.concurrency = ConcurrencyLimit(settings)
        self.calls = DependencyCalls(
            settings, self.classes, self.requests, shortest_objective_ms, random_generator
        )
        self.quotas = TenantQuotas(settings)
        self.memory = memory_budget.MemoryBudget(settings)
        self.shedder = LoadShedder(settings, self.classes, self.requests)
        self.traffic = TrafficWindow(shortest_objective_ms)
        self.report = LoadReport(settings)
        self.ejection = SelfEjection(settings, random_generator)
        self.drain = DrainState(settings.drain_grace_ms)
        self.idle_timeout = IdleTimeout(settings, shortest_objective_ms, self._window_ms)
        self._now_ms = 0.0
        self._started = False
        self._next_timer_ms = 0.0
        self._last_update_ms = 0.0
        self._total_stall_ms = 0.0
        self._gauges: dict[str, float] = {}
        self._last_logged_ms: dict[str, float] = {}
        self._actions: list[api.Action] = []

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Process all events of one point in time and return the actions in the order of execution.

        ``now_ms`` must not decrease between steps. Events for requests that are over have no effect.
        """
        if self.calls.max_credit_ms:
            self.calls.accumulate(now_ms - self._now_ms)
        self._now_ms = now_ms
        self._actions = []
        if not self._started:
            self._started = True
            self._next_timer_ms = now_ms
            self._last_update_ms = now_ms
            self.concurrency.start(now_ms)
            self._actions.append(api.SetHealth(True, True))
        elif now_ms - self._next_timer_ms > self._update_interval_ms:
            self._total_stall_ms += now_ms - self._next_timer_ms
            self._log("process stalled: the clock jumped or a timer fired late")
        for event in events:
            self._handle(event)
        delay_ms = self._tick_ms if self.requests.by_id else self._update_interval_ms
        timer_due = now_ms >= self._next_timer_ms
        if timer_due:
            self._tick()
        if timer_due or self._next_timer_ms > now_ms + delay_ms:
            self._next_timer_ms = now_ms + delay_ms
            self._actions.append(api.SetTimer(delay_ms))
        self._expire()
        self._start_runs()
        self._shed_load()
        self._make_calls()
        return self._actions

    def status(self) -> api.ControllerStatus:
        """Return the status as of the last step, without changing the controller."""
        counts = self.requests.phase_counts
        admitted = counts[Phase.RUNNING] + counts[Phase.QUEUED]
        utilization = 0.0
        if admitted >= int(self.concurrency.value):
            utilization = self.shedder.utilization(self.concurrency.value)
        # If runs take long, the heads of the queues are rejected although the queues are short.
        if 2 * admitted >= self.settings.cores:
            utilization = max(
                utilization,
                *(
                    2.0 * statistics.mean_run_ms / statistics.spec.latency_objective_ms - 1.0
                    for statistics in self.classes
                ),
            )
        return api.ControllerStatus(min(1.0, utilization), mean_core_ms(self.classes), self.ejection.ejected)

    def learned_state(self) -> api.LearnedState:
        """Return the learned state, which may outlive the process."""
        class_statistics = tuple(statistics.stored_values() for statistics in self.classes)
        return api.LearnedState(
            self.concurrency.value, self.calls.mean_call_ms, tuple(self.quotas.requests), class_statistics
        )

    def restore(self, learned: api.LearnedState) -> None:
        """Restore the learned state of an earlier process. Must be called before the first step.

        The caller must have decayed the values by their age and limited them to valid ranges.
        """
        self.concurrency.value = learned.concurrency_limit
        self.calls.mean_call_ms = learned.mean_call_ms
        self.quotas.requests = list(learned.requests_by_tenant)
        for statistics, values in zip(self.classes, learned.class_statistics, strict=True):
            statistics.restore(values)

    def _handle(self, event: api.Event) -> None:
        if isinstance(event, api.RequestReceived):
            self._on_request(event)
        elif isinstance(event, api.TimerFired):
            self._gauges = dict(zip(self.settings.gauges, event.gauges, strict=False))
        elif isinstance(event, api.SettingsChanged):
            self._on_settings(event.settings)
        elif isinstance(event, api.DrainStarted):
            self.drain.start(self._now_ms, event)
            self._actions.append(api.SetHealth(False, True))
            self._log("drain started")
        elif (request := self.requests.by_id.get(event.id)) is None:
            return
        elif isinstance(event, api.RunCompleted):
            self._on_run_completed(request, event)
        elif isinstance(event, api.DependencyCallCompleted):
            self._on_call_completed(request, event)
        elif isinstance(event, api.RunUnconfirmed):
            self._on_run_unconfirmed(request, event.at_call)
        elif isinstance(event, api.CallerDisconnected):
            request.answered = True
            self._cancel(request)
        else:
            self.requests.set_phase(request, Phase.AWAITING_CALL)
            if event.partial_response_weight >= 0.0:
                request.partial_response_weight = event.partial_response_weight
            self.calls.enqueue(request, self._now_ms)

    def _on_settings(self, settings: api.Settings) -> None:
        """Apply changed classes. Existing classes keep their indices; other settings must be unchanged."""
        self.settings = settings
        self.classes += [ClassStatistics(spec) for spec in settings.classes[len(self.classes) :]]
        for statistics, spec in zip(self.classes, settings.classes, strict=False):
            statistics.spec = spec
        self._min_priority_weight, self._max_priority_weight = _weight_range(settings)

    def _on_request(self, event: api.RequestReceived) -> None:
        """Queue, coalesce or reject a new request."""
        statistics = self.classes[event.class_index]
        request = RequestState.from_event(event, statistics.spec, self._now_ms)
        statistics.record_arrival(request, event, self._tick_ms)
        self.requests.add(request)
        original_is_known = event.original_id in self.requests.by_id or self.memory.is_cached(
            event.original_id
        )
        self.memory.queued_kb += request.queued_memory_kb
        self.traffic.read_delay_ms = event.read_delay_ms
        self.traffic.reads += 1
        request.over_quota = self.quotas.charge(request.tenant_index, original_is_known)
        is_late = request.useful_until_ms <= self._now_ms or request.arrived_ms > self.drain.admission_end_ms
        is_keyed = statistics.spec.idempotency is api.Idempotency.KEYED
        repeats_effect = event.original_id and not request.idempotent
        if event.original_id and original_is_known and not (request.idempotent and is_late):
            self._coalesce(request, self.requests.by_id.get(event.original_id))
        elif repeats_effect and not self.requests.has_ended_unrun(event.original_id):
            self._fail(request)  # a rejection would say that the request never ran
        elif is_late or repeats_effect or (is_keyed and not self._cache_keyed(request, statistics.spec)):
            self._reject(request)
        else:
            statistics.queue.append(request)
            if self.settings.cache_ttl_ms > 0 and event.resource_key and not event.is_write:
                self._cache_read(request)

    def _coalesce(self, request: RequestState, original: RequestState | None) -> None:
        """Answer a repeat with the result of its original.

        An open, idempotent original then stays useful for as long as the repeat, up to its own deadline.
        """
        self.requests.set_phase(request, Phase.COALESCED)
        self._actions.append(api.RespondFromCache(request.id))
        if original and original.idempotent:
            original.coalesced_count += 1
            objective_ms = min(original.due_ms, request.objective_ms)
            original.objective_ms = max(original.objective_ms, objective_ms)
            useful_until_ms = min(original.due_ms, request.useful_until_ms)
            original.useful_until_ms = max(original.useful_until_ms, useful_until_ms)
            self.requests.expire_at(original, original.useful_until_ms)

    def _cache_keyed(self, request: RequestState, spec: api.ClassSettings) -> bool:
        """Reserve a cache entry for a keyed request before it can run, so that its repeats are recognised.

        Returns:
            Whether the memory budget allows the entry.
        """
        reserve_kb = self.memory.run_reserve_kb(request.queued_memory_kb)
        fits = self._fits_memory(self.settings.idempotency_entry_kb + reserve_kb)
        if fits:
            expiry_ms = max(self._now_ms, request.arrived_ms + spec.idempotency_window_ms) + self._tick_ms
            self.memory.idempotency_expiry_ms[request.id] = expiry_ms
            self._actions.append(api.CacheResult(request.id, expiry_ms - self._now_ms))
        return fits

    def _cache_read(self, request: RequestState) -> None:
        """Cache the result of a read for other reads of the same resource, if the memory budget allows it."""
        entry_kb = self.settings.idempotency_entry_kb
        if request.idempotent and self._fits_memory(entry_kb, memory_budget.READ_CACHE_FRACTION):
            expiry_ms = request.due_ms + self.settings.cache_ttl_ms
            self.memory.read_expiry_ms[request.id] = expiry_ms
            self._actions.append(api.CacheResult(request.id, expiry_ms - self._now_ms))

    def _on_run_completed(self, request: RequestState, event: api.RunCompleted) -> None:
        statistics = self.classes[request.class_index]
        has_run = event.outcome in (api.Outcome.OK, api.Outcome.ERROR)
        if has_run and request.phase is not Phase.COALESCED:
            run_ms = max(0.0, self._now_ms - request.started_ms - self._total_stall_ms)
            is_late = self._now_ms > request.objective_ms
            statistics.record_run(request, run_ms, is_late)
            interval_ms = max(self._tick_ms, statistics.mean_run_ms)
            cpu_utilization = self._gauges.get("cpu", 0.0)
            if is_late and self.concurrency.decrease(self._now_ms, interval_ms, cpu_utilization):
                self._log("concurrency limit decreased: late completion on busy cores")
        if request.id in self.memory.read_expiry_ms:
            ttl_ms = self.settings.cache_ttl_ms if event.outcome is api.Outcome.OK else 0.0
            self.memory.read_expiry_ms[request.id] = self._now_ms + ttl_ms
        if event.outcome is api.Outcome.CANCELLED and not request.answered:
            self._actions.append(api.Fail(request.id))
        self._remove(request)

    def _on_call_completed(self, request: RequestState, event: api.DependencyCallCompleted) -> None:
        phase = Phase.RUNNING if event.outcome is api.Outcome.OK else Phase.AWAITING_CALL
        self.requests.set_phase(request, phase)
        if not self.calls.complete(request, event, self._now_ms):
            self._proceed_without_call(request)

    def _on_run_unconfirmed(self, request: RequestState, at_call: bool) -> None:
        """Handle a run that proceeds, or will use no core until its request is over.

        At a call the run proceeds without it, or fails so that the caller can retry. A request that is not
        idempotent keeps its time instead, because its retry would not run anywhere.
        """
        if request.phase is not Phase.RUNNING or request.answered:
            return
        self.requests.set_phase(request, Phase.AWAITING_CALL)
        request.call_started_ms = self._now_ms
        if at_call and (request.idempotent or request.partial_response_weight > 0):
            self._proceed_without_call(request)

    def _reject(self, request: RequestState, shed: bool = False) -> None:
        """Reject a request that never ran, with retry advice. ``shed`` means that the reason is load."""
        statistics = self.classes[request.class_index]
        warmed_up = self.concurrency.warmed_up(self._now_ms)
        is_top_class = (
            self._min_priority_weight < self._max_priority_weight <= statistics.spec.priority_weight
        )
        is_overloaded = shed and not is_top_class and self.report.is_retry_useless(self.traffic, warmed_up)
        if shed:
            self.traffic.shed += 1
            statistics.arrived -= 1
        else:
            statistics.finished += 1
        advise_no_retry = request.over_quota or is_overloaded or request.useful_until_ms <= self._now_ms
        wait_ms = math.inf if self.drain.active else self.shedder.backlog_ms + statistics.mean_run_ms
        retry_after_ms = min(self.settings.max_retry_after_ms, wait_ms)
        self._actions.append(
            api.Reject(request.id, retry_after_ms, advise_no_retry and not self.drain.active)
        )
        self._remove(request)

    def _fail(self, request: RequestState) -> None:
        """Answer a request with an error, if it has not been answered yet, and cancel it."""
        if not request.answered:
            self.classes[request.class_index].finished += 1
            self._actions.append(api.Fail(request.id))
        request.answered = True
        self._cancel(request)

    def _cancel(self, request: RequestState) -> None:
        """Cancel a request whose caller no longer waits for it.

        A run is cancelled only if the request is idempotent, because any other run may have had an effect,
        and if no coalesced request needs its result. A run that waits for a dependency call ends by itself.
        """
        if request.phase in (Phase.QUEUED, Phase.COALESCED):
            self._remove(request)
        elif (
            request.idempotent
            and request.phase is Phase.RUNNING
            and not request.coalesced_count
            and self.settings.cancellation is not api.CancellationMode.NONE
        ):
            self._actions.append(api.CancelRun(request.id))

    def _remove(self, request: RequestState) -> None:
        """Remove a request that is over.

        The cache entry of a request that never ran is evicted too, because it would only use memory.
        """
        if self.requests.remove(request):
            self.memory.running_kb -= request.queued_memory_kb
            if request.phase is Phase.CALLING:
                self.calls.abandon(self._now_ms)
            return
        self.memory.queued_kb -= request.queued_memory_kb
        if request.phase is Phase.QUEUED:
            queue = self.classes[request.class_index].queue
            if request in queue:
                queue.remove(request)
                if not request.over_quota:
                    self.quotas.refund(request.tenant_index)
            if self.memory.evict(request.id):
                self._actions.append(api.EvictResult(request.id))

    def _tick(self) -> None:
        """Update the decaying windows, the mean run times and the concurrency limit."""
        elapsed_ms = self._now_ms - self._last_update_ms
        if elapsed_ms >= self._update_interval_ms:
            self._update(elapsed_ms)
        started = self.requests.started.values()
        for request in started:
            if request.answered:
                self._cancel(request)
        update_means(self.classes, started, self._now_ms, self._total_stall_ms)
        counts = self.requests.phase_counts
        runnable = self._gauges.get("runq", 0.0)
        self.concurrency.adjust(self._now_ms, runnable, counts[Phase.QUEUED], counts[Phase.RUNNING])

    def _update(self, elapsed_ms: float) -> None:
        """Decay the windows, refill the quotas, expire cached results, and publish health and load."""
        self._last_update_ms = self._now_ms
        decay_factor = math.exp(-elapsed_ms / self._window_ms)
        for statistics in self.classes:
            statistics.decay(decay_factor)
        self.traffic.decay(decay_factor)
        # Without this decay, one period of slow calls would prevent the calls that show the end of that
        # period.
        self.calls.mean_call_ms *= decay_factor
        self.quotas.advance(elapsed_ms, decay_factor)
        self._actions += [api.EvictResult(request_id) for request_id in self.memory.expire(self._now_ms)]
        if self.idle_timeout.update(self.traffic):
            self._actions.append(api.SetIdleTimeout(self.idle_timeout.published_ms))
        if self.ejection.update(self._now_ms, self.traffic, self.drain.active):
            self._actions.append(api.SetHealth(not self.ejection.ejected, True))
            if self.ejection.ejected:
                self._log("server is slow to read requests: ejected from the endpoint list")
            else:
                self._log("server returned to the endpoint list")
        self._publish_load(elapsed_ms / 1000.0)

    def _publish_load(self, elapsed_s: float) -> None:
        credit = self.report.credit(self.concurrency.value, len(self.requests.by_id))
        discourage_all = self.drain.discourages_callers(self._now_ms)
        cpu_utilization = self._gauges.get("cpu", 1.0)
        load = self.report.update(
            self.traffic.rejected_fraction(), elapsed_s, cpu_utilization, credit, discourage_all
        )
        if load is not None:
            self._actions.append(api.PublishLoad(load))

    def _expire(self) -> None:
        """Answer requests that would be due or useless before the next step.

        If the process stops before the next step, all open requests are answered.
        """
        horizon_ms = self._next_timer_ms + 2 * self.settings.tick_ms
        if horizon_ms + self._tick_ms >= self.drain.stop_ms:
            horizon_ms = math.inf
        while (request := self.requests.pop_expired(horizon_ms)) is not None:
            if request.coalesced_count and request.useful_until_ms > horizon_ms:
                continue
            if request.phase is Phase.QUEUED:
                self._reject(request)
            else:
                self._fail(request)

    def _start_runs(self) -> None:
        """Start the heads of the queues by priority while the limits allow it, and reject late heads."""
        counts = self.requests.phase_counts
        if not counts[Phase.QUEUED]:
            return
        cores = self.settings.cores
        slots = self.traffic.run_slots(self.concurrency.value, cores)
        ceiling = self.concurrency.ceiling(self._now_ms)
        while counts[Phase.QUEUED]:
            running = counts[Phase.RUNNING]
            if running >= slots or len(self.requests.started) >= ceiling:
                return
            at_limit = running + 1 >= slots and counts[Phase.QUEUED] > 1
            statistics = min(
                (statistics for statistics in self.classes if statistics.queue),
                key=lambda statistics: statistics.head_sort_key(
                    self._now_ms, at_limit, self._max_priority_weight
                ),
            )
            request = statistics.queue[0]
            remaining_ms = request.useful_until_ms - self._now_ms
            # A server that is nearly idle runs the request anyway: its mean run time stems from an earlier
            # load.
            if remaining_ms < statistics.mean_run_ms and running >= cores / 2:
                self._reject(request)
                continue
            memory_kb = request.queued_memory_kb
            if not self._fits_memory(memory_kb * (self.settings.run_memory_factor - 1.0)):
                return
            statistics.queue.popleft()
            statistics.started += 1
            self.memory.queued_kb -= memory_kb
            self.memory.running_kb += memory_kb
            self.requests.set_phase(request, Phase.RUNNING)
            self.requests.started[request.id] = request
            request.started_ms = self._now_ms - self._total_stall_ms
            self._actions.append(api.Run(request.id))

    def _shed_load(self) -> None:
        """Reject queued requests for which time or memory does not suffice."""
        limit = self.concurrency.value
        allow_over_quota_wait = not self.report.discouraged_fraction
        for request in self.shedder.select(self._now_ms, limit, allow_over_quota_wait, self._fits_memory):
            self._reject(request, shed=True)

    def _make_calls(self) -> None:
        """Make or skip the dependency calls that runs wait for."""
        response_margin_ms = 2 * self._tick_ms
        for request, timeout_ms in self.calls.select(self._now_ms, self.drain.stop_ms, response_margin_ms):
            if timeout_ms is None:
                self._proceed_without_call(request)
            else:
                self.requests.set_phase(request, Phase.CALLING)
                self._actions.append(api.CallDependency(request.id, timeout_ms))

    def _proceed_without_call(self, request: RequestState) -> None:
        """Skip the dependency call if a partial response is useful in time, otherwise fail the request."""
        remaining_ms = request.useful_until_ms - self._now_ms
        expected_core_ms = self.classes[request.class_index].mean_core_ms
        if request.partial_response_weight > 0 and remaining_ms > expected_core_ms:
            self._actions.append(api.SkipDependencyCall(request.id))
            self.requests.set_phase(request, Phase.RUNNING)
        else:
            self._fail(request)

    def _fits_memory(self, additional_kb: float, fraction: float = memory_budget.MEMORY_FRACTION) -> bool:
        if self.memory.fits(additional_kb, fraction):
            return True
        self._log("memory budget exceeded")
        return False

    def _log(self, text: str) -> None:
        """Log a line, unless the same line was logged within the last ``LOG_INTERVAL_MS``."""
        if self._now_ms >= self._last_logged_ms.get(text, -math.inf) + LOG_INTERVAL_MS:
            self._last_logged_ms[text] = self._now_ms
            self._actions.append(api.Log(text))


def _weight_range(settings: api.Settings) -> tuple[float, float]:
    weights = [spec.priority_weight for spec in settings.classes]
    return min(weights), max(weights)
