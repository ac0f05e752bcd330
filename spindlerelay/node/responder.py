"""Sends the final response of each request, and responds to the attempts that wait for a result.

Owns the rule that each request gets exactly one final response. It does not decide which response is sent.
"""

from __future__ import annotations

from functools import partial

from spindlerelay import api
from spindlerelay.node.context import NodeContext
from spindlerelay.node.frontend import Failure, FinalResponse, FrontEnd, IncomingRequest, Rejection, Success
from spindlerelay.node.metrics import ResponseKind
from spindlerelay.node.request import STATE_AFTER_RESPONSE, RequestContext


class Responder:
    """Sends and counts all final responses of a node."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def send(self, front_end: FrontEnd, request: IncomingRequest, response: FinalResponse) -> None:
        """Count a response and hand it to the front end. The request need not have been accepted."""
        if isinstance(response, Success):
            kind = ResponseKind.SUCCEEDED
        elif isinstance(response, Rejection):
            kind = ResponseKind.REJECTED
        else:
            kind = ResponseKind.FAILED
        context = self._context
        context.metrics.count_response(context.settings.classes[request.class_index].name, kind)
        if context.rejection_gate is not None and kind is ResponseKind.REJECTED:
            send = partial(front_end.respond, request, response)
            if context.rejection_gate.hold(send, request.due_at_ms):
                return
        front_end.respond(request, response)

    def respond(self, request: RequestContext, response: FinalResponse) -> None:
        """Send the final response, unless one has already been sent."""
        if request.state.responded:
            return
        request.state = STATE_AFTER_RESPONSE[request.state]
        if request.deadline_timer:
            request.deadline_timer.cancel()
        self.send(request.front_end, request.incoming, response)
        if not request.state.running:
            self._context.requests.remove(request)

    def give_up(self, request: RequestContext, response: FinalResponse) -> None:
        """Send a response without waiting for a run to end.

        A queued request will not run any more, and the attempts coalesced with it fail.
        """
        context = self._context
        table = context.duplicates.table
        if request.call_number:
            context.backends.cancel_call(request)
        if request.original_id:
            table.detach(request.original_id, request.id)
        elif not request.running and request.key is not None:
            self.finish_coalesced(table.finish(request.id, None), None)
        self.respond(request, response)

    def finish_coalesced(self, request_ids: list[int], result: bytes | None) -> None:
        """Respond to the attempts that waited for this result; None means that the run failed."""
        for request_id in request_ids:
            if request := self._context.requests.by_id.get(request_id):
                self.respond_with_result(request, result)

    def respond_with_result(self, request: RequestContext, result: bytes | None) -> None:
        """Respond to a coalesced attempt, and report its completion to the admission controller."""
        context = self._context
        outcome = api.Outcome.ERROR if result is None else api.Outcome.OK
        duration_ms = context.loop.now() - request.started_at_ms
        context.pending_events.append(api.RunCompleted(request.id, outcome, duration_ms))
        self.respond(request, Failure() if result is None else Success(result))
