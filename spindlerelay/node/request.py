"""The state of one accepted request, and the table of all accepted requests. No I/O and no decisions."""

from __future__ import annotations

from enum import Enum

from spindlerelay.node.frontend import FrontEnd, IncomingRequest
from spindlerelay.node.idempotency import Key
from spindlerelay.transport.timer_wheel import Timer


class RequestState(Enum):
    """States of a request: whether the interpreter runs it, and whether its final response has been sent."""

    WAITING = (False, False)  # queued, or coalesced with another attempt
    RUNNING = (True, False)
    ABANDONED = (True, True)  # the response was sent before the run ended
    CLOSED = (False, True)

    def __init__(self, running: bool, responded: bool) -> None:
        self.running = running
        self.responded = responded


STATE_AFTER_RESPONSE = {
    RequestState.WAITING: RequestState.CLOSED,
    RequestState.RUNNING: RequestState.ABANDONED,
}
STATE_AFTER_RUN = {
    RequestState.RUNNING: RequestState.WAITING,  # the result is sent in the same turn
    RequestState.ABANDONED: RequestState.CLOSED,
}


class RequestContext:
    """A request from the time it is read until its response is sent and its run has ended."""

    __slots__ = (
        "id",
        "incoming",
        "front_end",
        "state",
        "deadline_timer",
        "original_id",
        "key",
        "call_number",
        "call_body",
        "delivered_call_number",
        "unconfirmed",
        "started_at_ms",
        "read_at_ms",
    )

    def __init__(self, request_id: int, request: IncomingRequest, front_end: FrontEnd, now_ms: float) -> None:
        self.id = request_id
        self.incoming = request
        self.front_end = front_end
        self.state = RequestState.WAITING
        self.deadline_timer: Timer | None = None
        self.original_id = 0  # id of the attempt whose result this attempt shares, 0 if this is the original
        # A str is an idempotency key. A tuple only allows reads of one resource to share a result.
        self.key: Key | None = None
        # Sequence number of the interpreter's notice that requested a dependency call, 0 if no call is open.
        self.call_number = 0
        self.call_body = b""
        # Sequence number of the notice that requested the newest dependency call, once its response has been
        # sent to the interpreter; 0 before.
        self.delivered_call_number = 0
        self.unconfirmed = False  # whether a command that the run needs may be lost
        self.started_at_ms = 0.0  # start time of the run, or of its dependency call
        self.read_at_ms = now_ms

    @property
    def responded(self) -> bool:
        """Whether the final response has been sent."""
        return self.state.responded

    @property
    def running(self) -> bool:
        """Whether the interpreter is running the request."""
        return self.state.running


class RequestTable:
    """All requests that have no response yet or a run in progress, by the node's id and by call id."""

    def __init__(self) -> None:
        self.by_id: dict[int, RequestContext] = {}
        self.by_call_id: dict[str, RequestContext] = {}
        self.last_id = 0

    def add(self, request: IncomingRequest, front_end: FrontEnd, now_ms: float) -> RequestContext:
        """Add a request under the next free id and return its context."""
        self.last_id += 1
        context = RequestContext(self.last_id, request, front_end, now_ms)
        self.by_id[context.id] = context
        self.by_call_id[request.call_id] = context
        return context

    def remove(self, context: RequestContext) -> None:
        """Remove a request whose response has been sent and whose run has ended."""
        self.by_id.pop(context.id, None)
        self.by_call_id.pop(context.incoming.call_id, None)

    def without_response(self) -> list[RequestContext]:
        """Return the requests whose final response has not been sent."""
        return [context for context in self.by_id.values() if not context.responded]

    def outstanding(self) -> int:
        """Return the number of requests whose final response has not been sent."""
        return sum(not context.state.responded for context in self.by_id.values())

    def running_call_ids(self) -> list[str]:
        """Return the call ids of the runs whose end the interpreter has not reported."""
        return [context.incoming.call_id for context in self.by_id.values() if context.running]
