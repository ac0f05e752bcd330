"""The connections of one emulated balancer to the nodes, on the event loop.

This module manages the connections, multiplexes requests on them, and queues requests while no connection has
capacity. A protocol of ``balancer_protocols`` encodes and decodes messages; the caller selects the node.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from spindlerelay.testbed.models.retry_path import Response
from spindlerelay.testbed.servers.balancer_protocols import BalancerProtocol, MessagePackRpc
from spindlerelay.transport.connection import connect
from spindlerelay.transport.event_loop import EventLoop

MAX_OPEN_REQUESTS = 8  # requests in flight per connection; the protocol allows 32
MAX_CONNECTIONS = 256  # connections per node; further requests are queued until a response frees capacity
IDLE_TIMEOUT_MS = 4000.0
# A request that is submitted less than this time before a close after a goaway may have crossed the close. By
# the protocol, the request is then resent once.
MAX_CROSSING_MS = 50.0
# Time for which a late turn of this process extends MAX_CROSSING_MS.
LATE_TURN_MEMORY_MS = 1000.0
# A late turn can delay a request twice: when the caller writes it, and when this module reads the goaway.
LATE_TURNS_PER_GOAWAY = 2.0


class _PendingRequest(NamedTuple):
    """A request that has no response yet, with the callback that receives the response."""

    call_id: str
    method: str
    fields: dict[str, str]
    body: bytes
    on_end: Callable[[Response], None]
    submitted_at: float
    resent: bool


class _NodeConnection:
    """One connection to a node, with its requests in flight by message number."""

    def __init__(self, owner: BalancerConnections, node: str, address: tuple[str, int]) -> None:
        self.owner = owner
        self.node = node
        self.protocol = owner.protocol()
        self.in_flight: dict[int, _PendingRequest] = {}
        self.last_number = 0
        self.last_used = owner.loop.now()
        self.connected = False
        self.going_away = False
        self.connection = connect(owner.loop, address, self._data, self._closed, self._opened)

    def send(self, pending: _PendingRequest) -> None:
        """Send a request, at once or as soon as the connection is established."""
        self.last_number += 1
        self.last_used = self.owner.loop.now()
        self.in_flight[self.last_number] = pending
        if self.connected:
            self._write(self.last_number, pending)

    def _opened(self) -> None:
        self.connected = True
        for number, pending in self.in_flight.items():
            self._write(number, pending)

    def _write(self, number: int, pending: _PendingRequest) -> None:
        self.connection.write(self.protocol.request(number, pending.method, pending.fields, pending.body))
        self.owner.on_written(pending.call_id)

    def _data(self, data: bytes) -> None:
        try:
            messages = self.protocol.feed(data)
        except ValueError as error:
            self.owner.loop.warnings.warn("bad answer from a node", str(error))
            self.connection.close()
            return
        for number, response in messages:
            if number is None:
                self.going_away = True
            else:
                self._handle_response(number, response)
        if self.going_away and not self.in_flight:
            self.connection.close()

    def _handle_response(self, number: int, response: Response) -> None:
        pending = self.in_flight.pop(number, None)
        self.last_used = self.owner.loop.now()
        if pending is None:
            self.owner.on_unmatched_response(self.node, number)
            return
        self.owner.send_next_queued(self)
        pending.on_end(response)

    def _closed(self, opened: bool) -> None:
        self.owner.remove(self)
        interrupted = list(self.in_flight.values())
        self.in_flight = {}
        for pending in interrupted:
            if not opened:
                pending.on_end(Response("unreached"))
            elif self.going_away and not pending.resent and self.owner.crossed_close(pending.submitted_at):
                self.owner.submit(self.node, pending._replace(resent=True))
            else:
                pending.on_end(Response("broken"))


class BalancerConnections:
    """All connections of one balancer.

    ``on_written(call_id)`` is called when a request is written to its connection.
    ``on_unmatched_response(node, number)`` is called for a response whose message number matches no request
    in flight.
    """

    def __init__(
        self,
        loop: EventLoop,
        address_of: Callable[[str], tuple[str, int]],
        on_written: Callable[[str], None],
        on_unmatched_response: Callable[[str, int], None],
        protocol: Callable[[], BalancerProtocol] = MessagePackRpc,
        max_open_requests: int = MAX_OPEN_REQUESTS,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.loop = loop
        self.address_of = address_of
        self.on_written = on_written
        self.on_unmatched_response = on_unmatched_response
        self.protocol = protocol
        self.max_open_requests = max_open_requests
        self.max_connections = max_connections
        self.by_node: dict[str, list[_NodeConnection]] = {}
        # Requests by node that wait for capacity on a connection; their deadlines include this wait.
        self._queued: dict[str, deque[_PendingRequest]] = {}
        self._late_turn = (0.0, 0.0)  # time of the last late turn of this process, and its delay in ms

    def send_request(
        self,
        node: str,
        call_id: str,
        method: str,
        fields: dict[str, str],
        body: bytes,
        on_end: Callable[[Response], None],
    ) -> None:
        """Send one request to a node; ``on_end`` is called once, unless ``close`` drops a queued request."""
        self.submit(node, _PendingRequest(call_id, method, fields, body, on_end, self.loop.now(), False))

    def submit(self, node: str, pending: _PendingRequest) -> None:
        """Send a request on the node's connection with the fewest requests in flight.

        If no connection has capacity, open a new one; at the limit of connections, queue the request.
        """
        connections = self.by_node.setdefault(node, [])
        least_used: _NodeConnection | None = None
        for connection in connections:
            in_flight_count = len(connection.in_flight)
            if not connection.going_away and in_flight_count < (
                len(least_used.in_flight) if least_used else self.max_open_requests
            ):
                least_used = connection
                if not in_flight_count:
                    break
        if least_used is None:
            if len(connections) >= self.max_connections:
                self._queued.setdefault(node, deque()).append(pending)
                return
            least_used = _NodeConnection(self, node, self.address_of(node))
            connections.append(least_used)
        least_used.send(pending)

    def record_late_turn(self, now: float, late_ms: float) -> None:
        """Record that a turn of this process started ``late_ms`` too late."""
        recent_late_ms = self._late_turn[1] if now - self._late_turn[0] < LATE_TURN_MEMORY_MS else 0.0
        self._late_turn = (now, max(late_ms, recent_late_ms))

    def crossed_close(self, submitted_at: float) -> bool:
        """Return whether a close that is read now may have crossed a request submitted at ``submitted_at``.

        Real balancers read a goaway at once, so the delay of this process's own late turns is not counted.
        """
        now = self.loop.now()
        is_recent = now - self._late_turn[0] < LATE_TURN_MEMORY_MS
        allowance_ms = LATE_TURNS_PER_GOAWAY * self._late_turn[1] if is_recent else 0.0
        return now - submitted_at < MAX_CROSSING_MS + allowance_ms

    def send_next_queued(self, connection: _NodeConnection) -> None:
        """Send the node's next queued request on a connection that has capacity again."""
        queue = self._queued.get(connection.node)
        if queue and not connection.going_away:
            connection.send(queue.popleft())

    def remove(self, connection: _NodeConnection) -> None:
        """Remove a closed connection, and resubmit the requests that were queued for its node."""
        if connection in self.by_node.get(connection.node, []):
            self.by_node[connection.node].remove(connection)
        for pending in self._queued.pop(connection.node, ()):
            self.submit(connection.node, pending)

    def count(self) -> int:
        """Return the number of connections to all nodes."""
        return sum(map(len, self.by_node.values()))

    def break_connections(self, node: str) -> None:
        """Close all connections to a node, as a network failure would."""
        for connection in list(self.by_node.get(node, [])):
            connection.connection.close()

    def tick(self, now: float) -> None:
        """Close connections that have been idle for longer than ``IDLE_TIMEOUT_MS``."""
        for connections in list(self.by_node.values()):
            for connection in list(connections):
                if not connection.in_flight and now - connection.last_used > IDLE_TIMEOUT_MS:
                    connection.connection.close()

    def close(self) -> None:
        """Drop queued requests and close all connections."""
        self._queued.clear()
        for node in list(self.by_node):
            self.break_connections(node)
