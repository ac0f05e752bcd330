"""Tracks runs by the notices of the interpreter and the replies of dependencies.

Owns the end of a run and the dependency calls that it waits for. The admission controller decides when a call
is sent.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.backends.interpreter_protocol import CallRequested, CommandRejected
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.node.backend_links import RunNotice
from spindlerelay.node.context import NodeContext
from spindlerelay.node.frontend import Failure, Success
from spindlerelay.node.request import STATE_AFTER_RUN, RequestContext
from spindlerelay.node.responder import Responder

# Outcomes by the value with which the interpreter reports the end of a run.
RUN_OUTCOMES = {
    "fine": api.Outcome.OK,
    "fault": api.Outcome.ERROR,
    "broken_off": api.Outcome.CANCELLED,
    "late": api.Outcome.NEVER_STARTED,
}
# From the deadline of a request until the interpreter knows that the request is over.
REQUEST_OVER_MARGIN_MS = 250.0


class RunTracker:
    """Reports dependency calls and completed runs to the admission controller, and sends the results."""

    def __init__(self, context: NodeContext, responder: Responder) -> None:
        self._context = context
        self._responder = responder

    def on_notice(self, notice: RunNotice) -> None:
        """Handle a notice of the interpreter about a run."""
        request = self._context.requests.by_call_id.get(notice.call_id)
        if request is None or not request.state.running:
            return
        if request.unconfirmed:
            self._confirm(request)
        if isinstance(notice, CallRequested):
            request.call_number = notice.sequence_number
            request.call_body = notice.body
            request.delivered_call_number = 0
            weight_without_call = self._context.backends.weight_without_call(request)
            self._context.pending_events.append(api.DependencyCallRequested(request.id, weight_without_call))
        elif isinstance(notice, CommandRejected):
            self._on_rejected_command(request, notice)
        else:
            outcome = RUN_OUTCOMES[notice.end]
            self._end_run(request, outcome, notice.result if outcome is api.Outcome.OK else None)

    def _on_rejected_command(self, request: RequestContext, notice: CommandRejected) -> None:
        self._context.loop.warnings.warn(
            "the interpreter refused a command", f"{notice.command} {notice.call_id}"
        )
        if notice.command == "BREAK":
            return  # the run continues or has just ended, and a RunFinished notice reports its end
        if notice.command == "APPLY":
            # The run never started: its key is free again, and it has no duration to learn from.
            self._context.duplicates.revoke_run(request)
            self._end_run(request, api.Outcome.NEVER_STARTED, None)
        else:
            self._end_run(request, api.Outcome.ERROR, None)

    def _end_run(self, request: RequestContext, outcome: api.Outcome, result: bytes | None) -> None:
        """End a run and its dependency call, and respond to all attempts that wait for its result."""
        context = self._context
        if request.call_number:
            context.backends.cancel_call(request)
        if context.backends.dependencies is not None:
            context.backends.dependencies.run_ended(request.incoming.call_id)
        request.state = STATE_AFTER_RUN[request.state]
        coalesced_ids = context.duplicates.finish_run(request, result)
        duration_ms = context.loop.now() - request.started_at_ms
        context.pending_events.append(api.RunCompleted(request.id, outcome, duration_ms))
        if request.state.responded:
            context.requests.remove(request)
        else:
            self._responder.respond(request, Failure() if result is None else Success(result))
        self._responder.finish_coalesced(coalesced_ids, result)

    def on_reply(self, reply: StoreReply) -> None:
        """Handle the reply to a dependency call, or its failure."""
        context = self._context
        request = context.requests.by_call_id.get(reply.call_id)
        if request is None or not request.call_number:
            return
        if reply.outcome is api.Outcome.OK:
            request.delivered_call_number = request.call_number
            request.call_number = 0
            context.backends.interpreter.deliver_call_response(reply.call_id, reply.body)
        # The controller keeps one mean duration for all calls, so one slow dependency would make it forbid
        # the calls to all others. Configured dependencies are measured one by one instead, and their calls
        # are reported with a duration of 0.
        duration_ms = 0.0
        if context.backends.dependencies is None:
            duration_ms = context.loop.now() - request.started_at_ms
        context.pending_events.append(api.DependencyCallCompleted(request.id, reply.outcome, duration_ms))

    def on_unconfirmed(self, call_id: str) -> None:
        """Report a run whose start, or the response of whose call, may be lost with a connection."""
        request = self._context.requests.by_call_id.get(call_id)
        if request is None or not request.running or request.call_number:
            return
        context = self._context
        request.unconfirmed = True
        at_call = request.delivered_call_number > 0
        context.pending_events.append(api.RunUnconfirmed(request.id, at_call))
        if not at_call:
            over_at_ms = max(context.loop.now(), request.incoming.due_at_ms) + REQUEST_OVER_MARGIN_MS
            context.loop.timers.schedule(over_at_ms, lambda: self._end_lost_run(request))

    def _end_lost_run(self, request: RequestContext) -> None:
        """Have the interpreter report the end of a run that may never have started.

        It starts nothing for a request that is over. Without a report the run would stay in the books.
        """
        if request.running and request.unconfirmed:
            context = self._context
            incoming = request.incoming
            class_name = context.settings.classes[incoming.class_index].name
            context.backends.interpreter.start_run(incoming.call_id, class_name, incoming.body, True)

    def _confirm(self, request: RequestContext) -> None:
        """Withdraw the report of a run that has turned out to proceed, if it is still pending.

        The controller would otherwise skip the call that the run has requested since.
        """
        request.unconfirmed = False
        pending_events = self._context.pending_events
        pending_events[:] = [
            event
            for event in pending_events
            if not (isinstance(event, api.RunUnconfirmed) and event.id == request.id)
        ]
