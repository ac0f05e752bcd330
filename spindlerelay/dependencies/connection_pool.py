"""Connections to the dependencies, on the event loop.

Passes events to the scheduler and executes the scheduler's actions; the scheduler makes all decisions. Each
dependency has a separate ``StoreClient`` with separate connections, so that a fault of one dependency does
not affect another. An event that occurs while an action is executed is processed in the next round of the
same turn.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from spindlerelay.api import Settings
from spindlerelay.backends.store_client import StoreClient
from spindlerelay.backends.store_protocol import StoreReply
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
from spindlerelay.dependencies.metrics import LogSink, MetricsSink, publish
from spindlerelay.dependencies.routing_table import RoutingTable
from spindlerelay.node.frontend import IncomingRequest
from spindlerelay.transport.event_loop import EventLoop

QUEUE_CHECK_INTERVAL_MS = 20.0
DEFAULT_PUBLICATION_INTERVAL_MS = 10_000.0
MAX_ROUNDS_PER_TURN = 1000  # an endless cycle of events and actions must not block the node


class SchedulerProtocol(Protocol):
    """The interface of a scheduler that the pool uses."""

    table: RoutingTable

    def step(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process events and return the actions to execute, in order."""
        ...

    def has_queued_calls(self) -> bool:
        """Return whether any call waits for something that changes with time alone."""
        ...

    def metrics(self) -> list[DependencyMetrics]:
        """Return the metrics of each dependency."""
        ...

    def count_partial_response(self, class_name: str, body: bytes) -> None:
        """Count a run that continues without its call."""
        ...


class ConnectionPool:
    """The calls of a node to its dependencies; ``on_reply`` receives the result of each call once."""

    def __init__(
        self,
        loop: EventLoop,
        scheduler: SchedulerProtocol,
        settings: Settings,
        on_reply: Callable[[StoreReply], None],
        publication_interval_ms: float = DEFAULT_PUBLICATION_INTERVAL_MS,
        sink: MetricsSink | None = None,
    ) -> None:
        self._loop = loop
        self._scheduler = scheduler
        self._settings = settings
        self._on_reply = on_reply
        self._publication_interval_ms = publication_interval_ms
        self._sink = sink or LogSink()
        self._connections: dict[int, StoreClient] = {}
        self._pending_events: list[Event] = []
        self._processing = False
        self._check_scheduled = False
        self._turn_scheduled = False
        self._process()
        loop.call_later(publication_interval_ms, self._publish)

    def start_call(self, request: IncomingRequest, remaining_ms: float, body: bytes) -> None:
        """Start the call that the run of a request waits for, with ``remaining_ms`` left for the call."""
        self._process(
            CallRequested(request.call_id, request.class_index, body, remaining_ms, request.tenant_index)
        )

    def cancel(self, call_id: str) -> None:
        """Abandon a call whose result is no longer needed."""
        self._process(CallAbandoned(call_id))

    def run_ended(self, call_id: str) -> None:
        """Note that the run that made a call has ended."""
        self._process(RunEnded(call_id))

    def call_skipped(self, request: IncomingRequest, body: bytes) -> None:
        """Note that the run of a request continues without its call."""
        self._scheduler.count_partial_response(self._settings.classes[request.class_index].name, body)

    def weight_without_call(self, request: IncomingRequest, body: bytes) -> float:
        """Return the weight of a partial response without this call; 0 if the call is required."""
        class_name = self._settings.classes[request.class_index].name
        table = self._scheduler.table
        spec = table.route(class_name, body)
        return table.partial_response_weight(spec, class_name) if spec else 0.0

    def reload(self, table: RoutingTable) -> None:
        """Replace the routing table with a valid one; calls in flight complete on their connections."""
        self._process(RoutingTableChanged(table))

    def unavailable_ms(self) -> float:
        """Return for how long all dependencies have refused connections; 0 if any one accepts them."""
        return min((connection.unavailable_ms() for connection in self._connections.values()), default=0.0)

    def _process(self, *events: Event) -> None:
        self._pending_events += events
        if self._processing:
            return
        self._processing = True
        try:
            for _ in range(MAX_ROUNDS_PER_TURN):
                batch = self._pending_events
                self._pending_events = []
                for action in self._scheduler.step(self._loop.now(), batch):
                    self._execute(action)
                if not self._pending_events:
                    break
        finally:
            self._processing = False
        if not self._check_scheduled and self._scheduler.has_queued_calls():
            self._check_scheduled = True
            self._loop.call_later(QUEUE_CHECK_INTERVAL_MS, self._check_queues)

    def _check_queues(self) -> None:
        self._check_scheduled = False
        self._process()

    def _execute(self, action: Action) -> None:
        match action:
            case OpenConnection(number, address):
                self._connections[number] = StoreClient(
                    self._loop,
                    address,
                    lambda reply: self._process(
                        CallCompleted(number, reply.call_id, reply.outcome, reply.body)
                    ),
                )
            case SendCall(number, call_id, timeout_ms, body):
                self._connections[number].call(call_id, timeout_ms, body)
            case CancelCall(number, call_id):
                self._connections[number].cancel(call_id)
            case DeliverResult(call_id, outcome, body):
                self._on_reply(StoreReply(call_id, outcome, body))
                self._schedule_turn()
            case CloseConnection(number):
                self._connections.pop(number).close()
                logger.info("dependency: connection {} closed after its last call in flight", number)

    def _schedule_turn(self) -> None:
        """Schedule another turn at once, since the node may receive a result in the middle of a step."""
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._loop.call_later(0.0, self._on_turn)

    def _on_turn(self) -> None:
        self._turn_scheduled = False

    def _publish(self) -> None:
        self._loop.call_later(self._publication_interval_ms, self._publish)
        publish(self._scheduler.metrics(), self._sink)
