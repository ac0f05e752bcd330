"""The front end that balancers connect to: its listening socket and all their connections.

Owns the listener, the connection table and the place of each open request. The protocol's bytes are
``msgpack_rpc_codec``'s, one connection's states ``balancer_connection``'s.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.frontends.balancer_connection import BalancerConnection
from spindlerelay.frontends.msgpack_rpc_codec import RequestSchema
from spindlerelay.node.frontend import FinalResponse, IncomingRequest, RequestReceiver
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

SWEEP_INTERVAL_MS = 50.0
RESERVED_SOCKETS = 32  # descriptors of our own links, log and listener
MIN_CONNECTIONS = 8
NEAR_CAPACITY_IDLE_TIMEOUT_MS = 300.0  # idle for so long, a connection may be asked to go while near capacity
NEAR_CAPACITY_FRACTION = 0.75  # of the connection table, past which it is nearly full
MAX_BACKLOG = 2048  # connections accepted at the end of listening: twice the kernel's queue
DEADLINE_MARGIN_MS = 1000.0  # past its class's deadline that a request may state


class BalancerServer:
    """The listening socket and all connections of balancers."""

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        settings: api.Settings,
        sockets: int,
        node: RequestReceiver,
        inherited: int | None = None,
    ) -> None:
        self.loop = loop
        self.node = node
        self._inherited = inherited is not None
        self.schemas: dict[str, RequestSchema] = {}
        self.tenants: dict[str, int] = {}
        self.max_request_ms = 0.0
        self.apply_settings(settings, {spec.name for spec in settings.classes})
        self._max_connections = max(MIN_CONNECTIONS, sockets - RESERVED_SOCKETS)
        self._idle_timeout_ms = settings.caller_idle_timeout_ms or float("inf")
        self._draining = False
        self.connections: dict[BalancerConnection, None] = {}
        self._open_requests: dict[IncomingRequest, tuple[BalancerConnection, int]] = {}
        self.listener = Listener(loop, address, self._accept, inherited)
        loop.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def apply_settings(self, settings: api.Settings, accepted_classes: set[str]) -> None:
        """Accept requests of these classes from now on; classes keep their indices in the settings."""
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
        """Enter an open request, and hand it to the node."""
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
        # A full table accepts nobody: well before that, connections without a request are closed, then idle
        # ones are asked to go.
        excess = len(self.connections) - NEAR_CAPACITY_FRACTION * self._max_connections
        for connection in list(self.connections):
            connection.sweep(now_ms, self._idle_timeout_ms, excess > 0)
        if excess > 0:
            idle = [each for each in self.connections if each.idle_ms(now_ms) > NEAR_CAPACITY_IDLE_TIMEOUT_MS]
            idle.sort(key=lambda each: each.last_used_at_ms)
            for connection in idle[: int(excess) + 1]:
                connection.go_away()

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """Send the final response, unless the balancer's connection has closed."""
        connection, msgid = self._open_requests.pop(request, (None, 0))
        if connection:
            connection.respond(msgid, response)

    def is_reachable(self, request: IncomingRequest) -> bool:
        """Return whether a response would certainly reach its balancer: not one that has ended its side."""
        connection, _ = self._open_requests.get(request, (None, 0))
        return connection is not None and connection.connection.read_side_open

    def release(self, request: IncomingRequest) -> None:
        """Owe no response on this connection: the balancer has sent the request again on another."""
        connection, msgid = self._open_requests.pop(request, (None, 0))
        if connection:
            connection.release(msgid)

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Ask connections to go that were idle for so long."""
        self._idle_timeout_ms = timeout_ms

    def start_draining(self) -> None:
        """Ask all balancers to leave; those that still come are served and asked, too."""
        self._draining = True
        for connection in self.connections:
            connection.go_away()

    def is_idle(self) -> bool:
        """Return whether no request is open or half read, and all responses are sent."""
        return not self._open_requests and not any(
            connection.has_bytes_in_flight() for connection in self.connections
        )

    def stop_accepting(self) -> None:
        """Close the listening socket, after accepting the connections that wait in its queue.

        An inherited socket is left as it is: the process that takes over serves who waits there.
        """
        if self._inherited:
            self.listener.close()
        else:
            self.listener.accept_waiting_and_close(MAX_BACKLOG)

    def close_connections(self, skip_last_read: bool = False) -> None:
        """Close every connection on which nothing is owed; after the listening socket."""
        for connection in list(self.connections):
            if not connection.open_requests:
                connection.close_idle(skip_last_read)

    def is_closed(self) -> bool:
        """Return whether every connection has closed on both sides: no byte is under way."""
        return not self.connections
