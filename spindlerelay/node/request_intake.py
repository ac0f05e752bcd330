"""Accepts requests from front ends, and drops requests whose callers have left.

Owns the checks for repeated call ids and reused idempotency keys. The admission controller decides whether an
accepted request runs.
"""

from __future__ import annotations

from collections.abc import Callable

from spindlerelay import api
from spindlerelay.node.context import NodeContext
from spindlerelay.node.deadline_guard import DeadlineGuard
from spindlerelay.node.frontend import Failure, FrontEnd, IncomingRequest
from spindlerelay.node.idempotency import Key
from spindlerelay.node.request import RequestContext
from spindlerelay.node.responder import Responder

MIN_REMAINING_MS = 0.001  # the controller takes only requests whose deadline has not passed


class RequestIntake:
    """Entry point of requests into the node."""

    def __init__(self, context: NodeContext, responder: Responder, deadlines: DeadlineGuard) -> None:
        self._context = context
        self._responder = responder
        self._deadlines = deadlines
        # Called with every request that is read.
        self.observer: Callable[[IncomingRequest], None] | None = None

    def admit(self, front_end: FrontEnd, request: IncomingRequest) -> None:
        """Accept a request that has been read, or fail one that reuses the key or call id of another."""
        context = self._context
        now_ms = context.loop.now()
        if self.observer is not None:
            self.observer(request)
        if earlier := context.requests.by_call_id.get(request.call_id):
            self._handle_repeated_call(earlier, front_end, request)
            return
        spec = context.settings.classes[request.class_index]
        keyed = spec.idempotency is api.Idempotency.KEYED
        table = context.duplicates.table
        if keyed and not table.matches(request.idempotency_key, request.content_hash()):
            # Its content differs, so it is not an attempt of the request that has this key: it must neither
            # get the result of that request nor block its attempts.
            self._responder.send(front_end, request, Failure("BadRequest: another request has this key"))
            return
        accepted = context.requests.add(request, front_end, now_ms)
        self._deadlines.watch(accepted, now_ms)
        accepted.key = request.idempotency_key if keyed else self._cache_key(request, spec)
        original_id = 0
        if accepted.key is not None:
            original_id = table.link(
                accepted.key, accepted.id, request.received_at_ms, now_ms, request.content_hash()
            )
        accepted.original_id = original_id
        context.pending_events.append(_received_event(accepted, now_ms))

    def _handle_repeated_call(
        self, earlier: RequestContext, front_end: FrontEnd, request: IncomingRequest
    ) -> None:
        """Handle a call id that is already in the table.

        A balancer uses a call id again only to resend a request whose connection has closed. The final
        response of such a request moves to the new connection; any other repetition fails.
        """
        is_same_request = (
            earlier.incoming.content_hash() == request.content_hash()
            and earlier.incoming.received_at_ms == request.received_at_ms
        )
        if earlier.responded or earlier.front_end.is_reachable(earlier.incoming) or not is_same_request:
            self._responder.send(front_end, request, Failure("Duplicate: this call is being worked on"))
            return
        earlier.front_end.release(earlier.incoming)
        earlier.front_end = front_end
        earlier.incoming = request

    def _cache_key(self, request: IncomingRequest, spec: api.ClassSettings) -> Key | None:
        """Return the key under which reads share a cached result, None if the request is not cacheable."""
        cacheable = (
            request.resource_key
            and self._context.settings.cache_ttl_ms > 0
            and spec.idempotency is api.Idempotency.IDEMPOTENT
        )
        return (request.class_index, request.resource_key) if cacheable else None

    def caller_disconnected(self, request: IncomingRequest, withdrawn: bool) -> None:
        """Give up a request that no other attempt waits for, because its caller has left.

        If only its connection has closed, a run in progress continues, and its result is cached for the next
        attempt. If the balancer has ``withdrawn`` the request, the client has left: the final response is
        sent at once, the controller may cancel the run, and the interpreter ends it at its next call.
        """
        context = self._context
        accepted = context.requests.by_call_id.get(request.call_id)
        if accepted is None or accepted.incoming is not request or accepted.responded:
            return
        if accepted.running and not withdrawn:
            return
        if accepted.original_id or not context.duplicates.table.has_coalesced(accepted.id):
            self._responder.give_up(accepted, Failure("Withdrawn"))
            context.pending_events.append(api.CallerDisconnected(accepted.id))


def _received_event(accepted: RequestContext, now_ms: float) -> api.RequestReceived:
    request = accepted.incoming
    return api.RequestReceived(
        accepted.id,
        request.class_index,
        max(0.0, now_ms - request.received_at_ms),
        max(MIN_REMAINING_MS, request.due_at_ms - now_ms),
        request.resource_key,
        accepted.original_id,
        request.criticality,
        request.queued_memory_kb,
        request.tenant_index,
        0.0,
        request.is_retry,
        not request.resource_key,
        request.caller_id,
    )
