"""Events, actions and metrics of the call scheduler. Pure values; times are in ms."""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay.api import Outcome
from spindlerelay.dependencies.routing_table import RoutingTable


class CallRequested(NamedTuple):
    """A run waits for a call, for at most ``remaining_ms``."""

    call_id: str
    class_index: int
    body: bytes
    remaining_ms: float
    tenant_index: int = 0


class CallCompleted(NamedTuple):
    """A call that was sent on ``connection`` has completed."""

    connection: int
    call_id: str
    outcome: Outcome
    body: bytes = b""


class CallAbandoned(NamedTuple):
    """The result of a call is no longer needed."""

    call_id: str


class RunEnded(NamedTuple):
    """The run that made a call has ended."""

    call_id: str


class RoutingTableChanged(NamedTuple):
    """The operator's routing table has been reloaded."""

    table: RoutingTable


Event = CallRequested | CallCompleted | CallAbandoned | RunEnded | RoutingTableChanged


class OpenConnection(NamedTuple):
    """Provide connection ``connection`` to ``address``; it is opened when the first call is sent."""

    connection: int
    address: tuple[str, int]


class SendCall(NamedTuple):
    """Send a call on ``connection``, with a timeout."""

    connection: int
    call_id: str
    timeout_ms: float
    body: bytes


class CancelCall(NamedTuple):
    """Cancel a call that was sent on ``connection``; its outcome is not needed."""

    connection: int
    call_id: str


class DeliverResult(NamedTuple):
    """Deliver the only result of a call: OK with the response, or an error."""

    call_id: str
    outcome: Outcome
    body: bytes = b""


class CloseConnection(NamedTuple):
    """Close the connection of a removed dependency, on which no call is in flight."""

    connection: int


Action = OpenConnection | SendCall | CancelCall | DeliverResult | CloseConnection


class DependencyMetrics(NamedTuple):
    """Gauges of a dependency, and its counters since the start, by published name."""

    name: str
    breaker_state: str
    in_flight: int
    limit: int
    queued: int
    mean_call_ms: float
    retry_tokens: float
    counts: dict[str, int]
