"""Interface between front ends and the node: requests, final responses, and a Protocol for each side.

This module must depend neither on a wire protocol nor on the implementation of the node.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple, Protocol


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request as a balancer sent it. Times are in Unix milliseconds.

    Attributes:
        call_id: identifier that the balancer gave this attempt.
        class_index: index of the request class in the settings.
        received_at_ms: arrival time of the request, as the balancer states it.
        due_at_ms: deadline of the final response.
        body: payload for the interpreter.
        tenant_index: index of the tenant in the settings, 0 if there are no tenants.
        caller_id: identifier of the caller.
        is_retry: whether the balancer marked the request as a retry.
        queued_memory_kb: memory that the request takes while it is queued, as the balancer states it.
        criticality: criticality from 0 to below 1.
        idempotency_key: key shared by all attempts of one request, empty unless the class is keyed.
        resource_key: key of the resource that a read returns, 0 if it names none.
    """

    call_id: str
    class_index: int
    received_at_ms: float
    due_at_ms: float
    body: bytes
    tenant_index: int = 0
    caller_id: int = 0
    is_retry: bool = False
    queued_memory_kb: float = 0.0
    criticality: float = 0.0
    idempotency_key: str = ""
    resource_key: int = 0

    def content_hash(self) -> int:
        """Return a hash of the content, equal for all attempts of one request in every process and never 0.

        A different hash under the same idempotency key means that another client reuses the key.
        """
        metadata = (
            f"{self.class_index} {self.tenant_index} {self.idempotency_key} {self.resource_key} ".encode()
        )
        return int.from_bytes(blake2b(metadata + self.body, digest_size=8).digest(), "little") or 1


class Success(NamedTuple):
    """A final response with the unchanged result of a run."""

    result: bytes


class Rejection(NamedTuple):
    """A final response that guarantees that this attempt never ran."""

    retry_after_ms: float = 0.0
    do_not_retry: bool = False


class Failure(NamedTuple):
    """A final response with an error, which leaves open whether the request ran."""

    reason: str = "Failed"


FinalResponse = Success | Rejection | Failure


class FrontEnd(Protocol):
    """A server for one protocol of balancers.

    It hands every request to the node, and sends each final response once.
    """

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """Send the final response, unless the balancer's connection has closed."""
        ...

    def is_reachable(self, request: IncomingRequest) -> bool:
        """Return whether a response is certain to reach the balancer that sent the request."""
        ...

    def release(self, request: IncomingRequest) -> None:
        """Forget an open request without a response: the balancer has sent it again on another connection."""
        ...

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Set the time after which an idle connection is closed."""
        ...

    def start_draining(self) -> None:
        """Send a goaway to all balancers; requests that still arrive are handed to the node."""
        ...

    def is_idle(self) -> bool:
        """Return whether no request is open or partly read, and all responses have been sent."""
        ...

    def stop_accepting(self) -> None:
        """Close the listening socket, after accepting the connections in its backlog."""
        ...

    def close_connections(self, skip_last_read: bool = False) -> None:
        """Close every connection without an open request, after a last read unless ``skip_last_read``."""
        ...

    def is_closed(self) -> bool:
        """Return whether every connection has closed on both sides."""
        ...


class RequestReceiver(Protocol):
    """The interface of the node to its front ends."""

    @property
    def published_load(self) -> float | None:
        """Load to publish in responses, None to publish none."""
        ...

    @property
    def healthy(self) -> bool:
        """Whether health checks report this node as healthy."""
        ...

    def admit(self, front_end: FrontEnd, request: IncomingRequest) -> None:
        """Accept a request that has been read; ``front_end`` will send its final response."""
        ...

    def caller_disconnected(self, request: IncomingRequest, withdrawn: bool = False) -> None:
        """Handle the loss of a caller: its connection has closed, or it has ``withdrawn`` the request."""
        ...
