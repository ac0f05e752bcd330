"""The front end for balancers: its listening socket and its connections.

Owns the listener, the connection table and the table that maps each open request to its connection.
``msgpack_rpc_codec`` encodes and decodes the protocol; ``balancer_connection`` has a connection's states.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.frontends.balancer_connection import PARTIAL_REQUEST_TIMEOUT_MS, BalancerConnection
from spindlerelay.frontends.msgpack_rpc_codec import RequestSchema
from spindlerelay.node.frontend import FinalResponse, IncomingRequest, RequestReceiver
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

SWEEP_INTERVAL_MS = 50.0
RESERVED_SOCKETS = 32  # descriptors for the connections to backends, the log and the listener
MIN_CONNECTIONS = 8
NEAR_CAPACITY_IDLE_TIMEOUT_MS = 300.0  # near capacity, a connection idle for this time may get a goaway
NEAR_CAPACITY_FRACTION = 0.75  # the connection table is nearly full when more of it is in use
MAX_BACKLOG = 2048  # most connections accepted when listening ends: twice the kernel's backlog
DEADLINE_MARGIN_MS = 1000.0  # a request may state a deadline this much longer than that of its class


class BalancerServer:
    """The listening socket for balancers and all their connections."""

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        settings: api.Settings,
        max_sockets: int,
        node: RequestReceiver,
        inherited_fd: int | None = None,
    ) -> None:
        self.loop = loop
        self.node = node
        self._socket_inherited = inherited_fd is not None
        self.schemas: dict[str, RequestSchema] = {}
        self.tenants: dict[str, int] = {}
        self.max_request_ms = 0.0
        self.apply_settings(settings, {spec.name for spec in settings.classes})
        self._max_connections = max(MIN_CONNECTIONS, max_sockets - RESERVED_SOCKETS)
        self._idle_timeout_ms = settings.caller_idle_timeout_ms or float("inf")
        self._draining = False
        self.connections: dict[BalancerConnection, None] = {}
        self._open_requests: dict[IncomingRequest, tuple[BalancerConnection, int]] = {}
        self.listener = Listener(loop, address, self._accept, inherited_fd)
        loop.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def apply_settings(self, settings: api.Settings, accepted_classes: set[str]) -> None:
        """Accept requests of ``accepted_classes`` from now on; classes must keep their indices."""
        self.schemas = {
            spec.name: RequestSchema(
                index, spec.idempotency is api.Idempotency.KEYED, spec.deadline_ms + DEADLINE_MARGIN_MS
            )
            for index, spec in enumerate(settings.classes)
            if spec.name in accepted_classes
        }
        self.tenants = {name: index for index, name in enumerate(settings.tenant_names)}
        self.max_request_ms = max(spec.deadline_ms + DEADLINE_MARGIN_MS for spec in settings.classes)

    def _accept(self, sock: Socket) -> None:
        connection = BalancerConnection(self, sock)
        self.connections[connection] = None
        if self._draining:
            connection.go_away()
        if len(self.connections) >= self._max_connections:
            self.loop.warnings.warn("all sockets for balancers are taken", str(len(self.connections)))
            self.listener.set_paused(True)

    def request_opened(self, connection: BalancerConnection, msgid: int, request: IncomingRequest) -> None:
        """Add an open request to the table, and hand it to the node."""
        self._open_requests[request] = (connection, msgid)
        self.node.admit(self, request)

    def connection_closed(self, connection: BalancerConnection, requests: list[IncomingRequest]) -> None:
        """Remove a closed connection and the requests that were open on it."""
        for request in requests:
            self._open_requests.pop(request, None)
            self.node.caller_disconnected(request)
        self.connections.pop(connection, None)
        if len(self.connections) < self._max_connections:
            self.listener.set_paused(False)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_MS, self._sweep)
        now_ms = self.loop.now()
        # A full table accepts no connections. Well before it is full, connections that sent no request are
        # closed, then idle connections get a goaway, then those with the oldest half requests are closed.
        excess_connections = len(self.connections) - NEAR_CAPACITY_FRACTION * self._max_connections
        for connection in list(self.connections):
            connection.sweep(now_ms, self._idle_timeout_ms, excess_connections > 0)
        if excess_connections > 0:
            self._free_connections(now_ms, int(excess_connections) + 1)

    def _free_connections(self, now_ms: float, count: int) -> None:
        """Free up to ``count`` connections: idle ones, then those with the oldest half requests."""
        count -= sum(connection.closing for connection in self.connections)
        if count <= 0:
            return
        idle = [each for each in self.connections if each.idle_ms(now_ms) > NEAR_CAPACITY_IDLE_TIMEOUT_MS]
        idle.sort(key=lambda connection: connection.last_used_at_ms)
        for connection in idle[:count]:
            connection.go_away()
        partial = [
            each for each in self.connections if each.partial_request_ms(now_ms) > PARTIAL_REQUEST_TIMEOUT_MS
        ]
        partial.sort(key=lambda connection: connection.partial_request_ms(now_ms), reverse=True)
        for connection in partial[: max(0, count - len(idle))]:
            connection.end_partial_request("it takes long while the connection table is nearly full")

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """Send the final response, unless the balancer's connection has closed."""
        connection, msgid = self._open_requests.pop(request, (None, 0))
        if connection:
            connection.respond(msgid, response)

    def is_reachable(self, request: IncomingRequest) -> bool:
        """Return whether a response is certain to arrive: not if the balancer has ended its output."""
        connection, _ = self._open_requests.get(request, (None, 0))
        return connection is not None and connection.connection.read_side_open

    def release(self, request: IncomingRequest) -> None:
        """Forget an open request without a response: the balancer has sent it again on another connection."""
        connection, msgid = self._open_requests.pop(request, (None, 0))
        if connection:
            connection.release(msgid)

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Set the time after which an idle connection gets a goaway."""
        self._idle_timeout_ms = timeout_ms

    def start_draining(self) -> None:
        """Send a goaway on all open and all new connections; requests on them are still served."""
        self._draining = True
        for connection in self.connections:
            connection.go_away()

    def is_idle(self) -> bool:
        """Return whether no request is open or partly read, and all responses have been sent."""
        return not self._open_requests and not any(
            connection.has_bytes_in_flight() for connection in self.connections
        )

    def stop_accepting(self) -> None:
        """Close the listening socket, after accepting the connections in its backlog.

        The backlog of an inherited socket is left alone: the process that takes over serves it.
        """
        if self._socket_inherited:
            self.listener.close()
        else:
            self.listener.accept_waiting_and_close(MAX_BACKLOG)

    def close_connections(self, skip_last_read: bool = False) -> None:
        """Close every connection without an open request; the listening socket must be closed before."""
        for connection in list(self.connections):
            if not connection.open_requests:
                connection.close_idle(skip_last_read)

    def is_closed(self) -> bool:
        """Return whether every connection has closed on both sides, so that no byte is in flight."""
        return not self.connections
