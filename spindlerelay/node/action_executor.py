"""Carries out the admission controller's actions, in order.

Owns the last checks before a run: no second run of a keyed request, and no run of a request received after
the drain grace. It makes no other decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from loguru import logger

from spindlerelay import api
from spindlerelay.node.context import NodeContext
from spindlerelay.node.controller_timers import ControllerTimers
from spindlerelay.node.frontend import Failure, FinalResponse, Rejection, Success
from spindlerelay.node.graceful_shutdown import GracefulShutdown, Phase
from spindlerelay.node.health import HealthMonitor
from spindlerelay.node.request import RequestContext, RequestState
from spindlerelay.node.responder import Responder
from spindlerelay.transport.internal_errors import ErrorPlace
from spindlerelay.transport.timer_wheel import TICK_MS

# The protocol extends every time limit, also the idempotency window, by this tolerance on sockets.
SOCKET_TOLERANCE_MS = 50.0

Action = TypeVar("Action", bound=api.Action)


class ActionExecutor:
    """Executes actions, with one method for each kind."""

    def __init__(
        self,
        context: NodeContext,
        responder: Responder,
        health: HealthMonitor,
        timers: ControllerTimers,
        shutdown: GracefulShutdown,
    ) -> None:
        self._context = context
        self._responder = responder
        self._shutdown = shutdown
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._register(api.Run, self._run)
        self._register(api.Reject, self._reject)
        self._register(api.Fail, self._fail)
        self._register(api.CancelRun, self._cancel_run)
        self._register(api.CallDependency, self._call_dependency)
        self._register(api.SkipDependencyCall, self._skip_dependency_call)
        self._register(api.CacheResult, self._cache_result)
        self._register(api.EvictResult, self._evict_result)
        self._register(api.RespondFromCache, self._respond_from_cache)
        self._register(api.SetIdleTimeout, self._set_idle_timeout)
        self._register(api.SetHealth, health.set_controller_health)
        self._register(api.PublishLoad, health.set_controller_load)
        self._register(api.SetTimer, timers.set_timer)
        self._register(api.Log, self._log)

    def _register(self, kind: type[Action], handler: Callable[[Action], None]) -> None:
        self._handlers[kind] = handler

    def execute(self, actions: Iterable[api.Action]) -> None:
        """Carry out all actions; an exception in one is logged and does not affect the others."""
        handlers = self._handlers
        for action in actions:
            try:
                handlers[type(action)](action)
            except Exception as error:
                self._context.loop.internal_errors.record(ErrorPlace.ACTION)
                logger.opt(exception=True).error("an action failed: {!r}: {!r}", action, error)

    def _run(self, action: api.Run) -> None:
        context = self._context
        request = context.requests.by_id.get(action.id)
        if request is None or request.state is not RequestState.WAITING:
            context.pending_events.append(api.RunCompleted(action.id, api.Outcome.NEVER_STARTED))
            return
        spec = context.settings.classes[request.incoming.class_index]
        received_at_ms = request.incoming.received_at_ms
        # Checks the time of reading, too: if the node's clock was set ahead before the notice to stop,
        # received_at_ms of a request that arrives after the notice may lie before the cutoff.
        past_cutoff = max(request.read_at_ms, received_at_ms) > self._shutdown.run_cutoff_ms
        if past_cutoff or self._shutdown.closing:
            self._block_run(request, "request received after the drain grace")
            return
        now_ms = context.loop.now()
        if not context.duplicates.may_run(request, now_ms):
            self._block_run(request, "idempotency key not reserved for this attempt, or already run")
            return
        window_end_ms = received_at_ms + spec.idempotency_window_ms + SOCKET_TOLERANCE_MS + TICK_MS
        if not context.duplicates.claim(request, now_ms, window_end_ms):
            # The other process may have run it, and a rejection would state that the request never ran.
            self._block_run(request, "idempotency key claimed by another process of this node", Failure())
            return
        context.duplicates.record_run(request, window_end_ms)
        request.state = RequestState.RUNNING
        request.started_at_ms = now_ms
        context.metrics.forwards += 1
        may_repeat = spec.idempotency is api.Idempotency.IDEMPOTENT
        interpreter = context.backends.interpreter
        interpreter.start_run(request.incoming.call_id, spec.name, request.incoming.body, may_repeat)

    def _block_run(self, request: RequestContext, reason: str, response: FinalResponse | None = None) -> None:
        self._context.loop.warnings.warn("run refused", reason)
        if response is None:
            may_have_run = self._may_have_run(request)
            response = Failure() if may_have_run else Rejection()
        self._responder.give_up(request, response)
        self._context.pending_events.append(api.RunCompleted(request.id, api.Outcome.NEVER_STARTED))

    def _reject(self, action: api.Reject) -> None:
        request = self._context.requests.by_id.get(action.id)
        if request is not None and not request.responded:
            self._responder.give_up(request, self._rejection_response(request, action))

    def _rejection_response(self, request: RequestContext, action: api.Reject) -> FinalResponse:
        """Return a rejection only if the request has never run, as it may then be sent to another node."""
        if recorded := self._recorded_response(request):
            return recorded
        if request.running or self._may_have_run(request):
            return Failure()
        if request.read_at_ms < request.incoming.due_at_ms and self._shutdown.phase is Phase.SERVING:
            self._context.rejected_count += 1
        return Rejection(action.retry_after_ms, action.do_not_retry)

    def _may_have_run(self, request: RequestContext) -> bool:
        return self._context.duplicates.may_have_run(request, self._context.loop.now())

    def _recorded_response(self, request: RequestContext) -> FinalResponse | None:
        """Return the response that an earlier run of a keyed request allows, None if no run is recorded."""
        record = None if request.running else self._context.duplicates.find_run(request)
        if record is None:
            return None
        if record.result is not None:
            return Success(record.result)
        # A negative id is that of a run in an earlier process, whose outcome is not known any more.
        return Failure("OutcomeUnknown") if record.run_id < 0 else Failure()

    def _fail(self, action: api.Fail) -> None:
        if request := self._context.requests.by_id.get(action.id):
            self._responder.give_up(request, self._recorded_response(request) or Failure())

    def _cancel_run(self, action: api.CancelRun) -> None:
        context = self._context
        if context.settings.cancellation is api.CancellationMode.NONE:
            context.loop.warnings.warn(
                "run cannot be cancelled", "the settings allow no cancellation of runs"
            )
        elif (request := context.requests.by_id.get(action.id)) and request.running:
            context.backends.interpreter.cancel_run(request.incoming.call_id)

    def _call_dependency(self, action: api.CallDependency) -> None:
        request = self._context.requests.by_id.get(action.id)
        if request and request.call_number:
            request.started_at_ms = self._context.loop.now()
            self._context.backends.call_dependency(request, action.timeout_ms)

    def _skip_dependency_call(self, action: api.SkipDependencyCall) -> None:
        context = self._context
        request = context.requests.by_id.get(action.id)
        if request is None:
            return
        call_number = request.call_number or request.delivered_call_number
        if not call_number:
            return
        dependencies = context.backends.dependencies
        if dependencies is not None:
            if context.backends.weight_without_call(request) <= 0.0:
                # The settings of the dependencies allow no response without this call.
                context.loop.warnings.warn(
                    "run refused", "the settings allow no partial response without this call"
                )
                self._responder.give_up(request, Failure())
                return
            dependencies.call_skipped(request.incoming, request.call_body)
        context.backends.cancel_call(request)
        context.backends.interpreter.skip_call(request.incoming.call_id, call_number)

    def _cache_result(self, action: api.CacheResult) -> None:
        context = self._context
        request = context.requests.by_id.get(action.id)
        if request and request.key is not None:
            until_ms = context.loop.now() + action.ttl_ms
            content_hash = request.incoming.content_hash()
            context.duplicates.table.reserve(request.id, request.key, until_ms, content_hash)

    def _evict_result(self, action: api.EvictResult) -> None:
        self._context.duplicates.table.evict(action.id)

    def _respond_from_cache(self, action: api.RespondFromCache) -> None:
        context = self._context
        request = context.requests.by_id.get(action.id)
        if request is None or request.responded:
            return
        request.started_at_ms = context.loop.now()
        record = context.duplicates.table.coalesce(request.original_id, request.id)
        if record is None or record.finished:
            self._responder.respond_with_result(request, record.result if record else None)

    def _set_idle_timeout(self, action: api.SetIdleTimeout) -> None:
        timeout_ms = action.timeout_ms or self._context.settings.caller_idle_timeout_ms
        for front_end in self._context.front_ends:
            front_end.set_idle_timeout(timeout_ms)

    def _log(self, action: api.Log) -> None:
        logger.info("{}", action.text)
