"""The connection of one balancer: its state machine, its open requests and its shutdown.

Owns one socket. ``msgpack_rpc_codec`` decodes the bytes; the node decides which requests run and which
response they get.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from spindlerelay.frontends import msgpack_rpc_codec
from spindlerelay.frontends.msgpack_rpc_codec import Call, RequestSchema, Withdrawal
from spindlerelay.frontends.read_limit import ReadLimit
from spindlerelay.node.frontend import Failure, FinalResponse, IncomingRequest, RequestReceiver
from spindlerelay.transport.connection import MAX_READ_BYTES, Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import Socket

GOAWAY_CROSSING_MS = 50.0  # protocol limit: for this time after a goaway, a request may cross it
MAX_OPEN_REQUESTS = 32  # protocol limit for one connection
MAX_BAD_REQUESTS = 16  # a connection with more invalid requests gets a goaway
MAX_CLOCK_AHEAD_MS = 5000.0  # tolerance for arrival times in the future, since clocks are being set
WRITE_STALL_TIMEOUT_MS = 15000.0  # a peer that takes no byte of a response for this time is gone
CLOSE_TIMEOUT_MS = 5000.0  # time for the peer to close its side after the node has closed its own
FIRST_REQUEST_TIMEOUT_MS = 1500.0  # a client without a whole request in this time is not a balancer
# Longest time between two bytes of one request, until a connection has carried a valid request.
PARTIAL_REQUEST_TIMEOUT_MS = 1500.0
# Replaces the three timeouts above while the connection table is nearly full.
NEAR_CAPACITY_TIMEOUT_MS = 100.0


class ConnectionState(Enum):
    """States of a connection: whether requests are still read, and whether responses are still to be sent."""

    ACCEPTING = "accepting"  # requests are accepted
    GOING_AWAY = "going away"  # a goaway was sent; requests that may have crossed it are accepted
    INPUT_ENDED = "input ended"  # no more input is read; open requests still get their responses
    CLOSING = "closing"  # all responses are sent and output has ended; input is dropped until the peer closes


class ConnectionEvent(Enum):
    """Events that change the state of a connection."""

    GOAWAY_SENT = auto()
    INPUT_ENDED = auto()
    OUTPUT_ENDED = auto()


TRANSITIONS = {
    (ConnectionState.ACCEPTING, ConnectionEvent.GOAWAY_SENT): ConnectionState.GOING_AWAY,
    (ConnectionState.ACCEPTING, ConnectionEvent.INPUT_ENDED): ConnectionState.INPUT_ENDED,
    (ConnectionState.ACCEPTING, ConnectionEvent.OUTPUT_ENDED): ConnectionState.CLOSING,
    (ConnectionState.GOING_AWAY, ConnectionEvent.INPUT_ENDED): ConnectionState.INPUT_ENDED,
    (ConnectionState.GOING_AWAY, ConnectionEvent.OUTPUT_ENDED): ConnectionState.CLOSING,
    (ConnectionState.INPUT_ENDED, ConnectionEvent.OUTPUT_ENDED): ConnectionState.CLOSING,
}


class ConnectionOwner(Protocol):
    """The interface of the server to its connections."""

    loop: EventLoop
    node: RequestReceiver
    schemas: dict[str, RequestSchema]
    tenants: dict[str, int]
    max_request_ms: float

    def request_opened(self, connection: BalancerConnection, msgid: int, request: IncomingRequest) -> None:
        """Add an open request to the server's table, and hand it to the node."""
        ...

    def connection_closed(self, connection: BalancerConnection, requests: list[IncomingRequest]) -> None:
        """Remove a closed connection and the requests that were open on it."""
        ...


class BalancerConnection:
    """The connection of one balancer."""

    def __init__(self, server: ConnectionOwner, sock: Socket) -> None:
        now_ms = server.loop.now()
        self._server = server
        self._decoder = msgpack_rpc_codec.Decoder()
        self.open_requests: dict[int, IncomingRequest] = {}
        self._state = ConnectionState.ACCEPTING
        self._state_since_ms = now_ms
        self._opened_at_ms = now_ms
        self.last_used_at_ms = now_ms
        self._last_progress_at_ms = now_ms  # when the number of unsent bytes last changed or was 0
        self._unsent_bytes = 0
        self._partial_since_ms = 0.0  # when the partly read request began, 0 if there is none
        self._has_received_request = False  # whether a whole request has been read
        self._has_valid_request = False  # whether one of them was valid, or a health check
        self._bad_requests = 0
        self._calls_after_goaway = 0  # calls since a goaway for too many bad requests
        self._read_limit = ReadLimit()
        self.connection = Connection(
            server.loop, sock, self._on_data, self._on_close, on_peer_end=self._on_peer_end
        )
        self.connection.max_read_bytes = self._read_limit.read_bytes

    def _transition(self, event: ConnectionEvent) -> None:
        self._state = TRANSITIONS[self._state, event]
        self._state_since_ms = self._server.loop.now()
        if not self._reading:
            self.connection.max_read_bytes = MAX_READ_BYTES  # dropping input costs little

    @property
    def _reading(self) -> bool:
        return self._state in (ConnectionState.ACCEPTING, ConnectionState.GOING_AWAY)

    def _on_data(self, data: bytes) -> None:
        self.last_used_at_ms = self._server.loop.now()
        if not self._reading:
            return  # input is read and dropped until the peer closes: see Connection.end_output
        if self.connection.output_lost():
            # The balancer has left: a request that is read now could get no response, and may come again.
            self.connection.close()
            return
        messages = self._decoder.feed(data)
        self._read_limit.update(len(data), self._decoder.frame_count)
        self.connection.max_read_bytes = self._read_limit.read_bytes
        for message in messages:
            if not self._reading:
                break
            self._on_message(message)
        if self._decoder.error and self._reading:
            # After a framing error the rest of the stream is unreadable. Requests read before it still get
            # their responses.
            self._warn(self._decoder.error)
            self._end_input()
            self._close_if_idle()
        if not self._decoder.partial_frame:
            self._partial_since_ms = 0.0
        elif messages or not self._partial_since_ms:
            self._partial_since_ms = self.last_used_at_ms

    def _on_message(self, message: Call | Withdrawal) -> None:
        if isinstance(message, Withdrawal):
            self._withdraw(message.msgid)
            return
        if self._bad_requests > MAX_BAD_REQUESTS:
            self._calls_after_goaway += 1
        if self._calls_after_goaway > MAX_OPEN_REQUESTS:
            # A balancer had no more requests on their way when the goaway was sent.
            self._warn("requests go on after a goaway for bad requests")
            self._end_input()
            self._close_if_idle()
            return
        self._on_call(message)
        if self._bad_requests > MAX_BAD_REQUESTS and self._state is ConnectionState.ACCEPTING:
            # The framing is intact, so the requests that follow still get responses. Dropping them would lose
            # requests that the balancer sent before it learned of the error, for example when it knows newer
            # classes than the node.
            self._warn("too many bad requests: goaway sent")
            self.go_away()

    def _warn(self, detail: str) -> None:
        self._server.loop.warnings.warn("bad input from a balancer", detail)

    def _drop_partial_request(self) -> None:
        self._partial_since_ms = 0.0
        self._decoder.partial_frame = b""

    def _end_input(self) -> None:
        self._drop_partial_request()
        self._transition(ConnectionEvent.INPUT_ENDED)

    def _on_peer_end(self) -> bool:
        """Handle the end of the balancer's output; return whether responses to it are still open or unsent.

        A goaway is written to tell a balancer that has ended only its own side from one that is gone: the
        latter answers with a reset.
        """
        if self._reading:
            if self.open_requests:
                self.go_away()
            self._end_input()
        self._close_if_idle()
        return bool(self.open_requests or self.connection.output_buffer)

    def _on_call(self, call: Call) -> None:
        self._has_received_request = True
        node = self._server.node
        if call.method == msgpack_rpc_codec.METHOD_HEALTH_CHECK:
            self._has_valid_request = True
            self.connection.write(
                msgpack_rpc_codec.encode_health(call.msgid, node.healthy, node.published_load)
            )
            return
        try:
            request = self._decode(call)
        except msgpack_rpc_codec.InvalidRequestError as error:
            self._bad_requests += 1
            self._server.loop.warnings.warn("bad request from a balancer", str(error))
            response = Failure(f"BadRequest: {error}")
            self.connection.write(
                msgpack_rpc_codec.encode_response(call.msgid, response, node.published_load)
            )
            return
        self._has_valid_request = True
        self.open_requests[call.msgid] = request
        self._server.request_opened(self, call.msgid, request)

    def _decode(self, call: Call) -> IncomingRequest:
        schema = self._server.schemas.get(call.method)
        if schema is None:
            raise msgpack_rpc_codec.UnknownMethodError(call.method)
        if call.msgid in self.open_requests:
            raise msgpack_rpc_codec.MessageIdInUseError(call.msgid)
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            raise msgpack_rpc_codec.TooManyRequestsError(MAX_OPEN_REQUESTS)
        request = msgpack_rpc_codec.decode_request(call.params, schema, self._server.tenants)
        if request.received_at_ms > self.last_used_at_ms + MAX_CLOCK_AHEAD_MS:
            raise msgpack_rpc_codec.InvalidFieldError(msgpack_rpc_codec.FIELD_RECEIVED_AT)
        return request

    def _withdraw(self, msgid: int) -> None:
        # An id that is not open got its response while the withdrawal was in flight, or was never open.
        if request := self.open_requests.get(msgid):
            self._server.node.caller_disconnected(request, withdrawn=True)

    def respond(self, msgid: int, response: FinalResponse) -> None:
        """Send the final response of an open request."""
        if self.open_requests.pop(msgid, None) is None:
            return
        self.last_used_at_ms = self._server.loop.now()
        self.connection.write(
            msgpack_rpc_codec.encode_response(msgid, response, self._server.node.published_load)
        )
        self._close_if_idle()

    def release(self, msgid: int) -> None:
        """Forget an open request without a response, because it is open on another connection now."""
        self.open_requests.pop(msgid, None)
        self._close_if_idle()

    def idle_ms(self, now_ms: float) -> float:
        """Return how long the connection has been idle, 0 if it is in use or has got a goaway."""
        if self.open_requests or self._partial_since_ms or self._state is not ConnectionState.ACCEPTING:
            return 0.0
        return now_ms - self.last_used_at_ms

    @property
    def closing(self) -> bool:
        """Whether output has ended, so that the connection is about to close."""
        return self._state is ConnectionState.CLOSING

    def partial_request_ms(self, now_ms: float) -> float:
        """Return the age of the partly read request, 0 if there is none or others are open."""
        if self.open_requests or not self._partial_since_ms:
            return 0.0
        return now_ms - self._partial_since_ms

    def end_partial_request(self, reason: str) -> None:
        """Drop a request whose rest is missing, and end the output."""
        self._warn(f"incomplete request timed out: {reason}")
        self.close_idle()

    def has_bytes_in_flight(self) -> bool:
        """Return whether output is unsent, or a request is partly read."""
        return bool(self.connection.output_buffer) or self._partial_since_ms > 0.0

    def go_away(self) -> None:
        """Ask the balancer to send its requests to other nodes; only the first call sends a goaway."""
        if self._state is ConnectionState.ACCEPTING:
            self._transition(ConnectionEvent.GOAWAY_SENT)
            self.connection.write(msgpack_rpc_codec.GOAWAY)

    def _close_if_idle(self) -> None:
        if self._state is ConnectionState.INPUT_ENDED and not self.open_requests:
            self._end_output()

    def close_idle(self, skip_last_read: bool = False) -> None:
        """End the output of a connection without open requests, after a last read.

        A request that the last read returns postpones the end. Input that arrives after the end is dropped,
        as it could get no response; a balancer resends requests that crossed the end.
        """
        if self._reading and not skip_last_read:
            partial_since_ms = self._partial_since_ms
            self.connection.read_available()
            if self.open_requests or self._partial_since_ms > partial_since_ms:
                return
        if self._state is not ConnectionState.CLOSING and self.connection.open:
            self._end_output()

    def _end_output(self) -> None:
        self._drop_partial_request()
        self._transition(ConnectionEvent.OUTPUT_ENDED)
        self.connection.end_output()

    def _on_close(self, _was_open: bool) -> None:
        requests = list(self.open_requests.values())
        self.open_requests.clear()
        self._server.connection_closed(self, requests)

    def sweep(self, now_ms: float, idle_timeout_ms: float, near_capacity: bool) -> None:
        """Apply the timeouts; ``near_capacity`` means that the connection table is nearly full."""
        unsent_bytes = len(self.connection.output_buffer)
        if unsent_bytes != self._unsent_bytes or not unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._last_progress_at_ms = now_ms
        stalled = now_ms - self._last_progress_at_ms > WRITE_STALL_TIMEOUT_MS
        if stalled or (not self.connection.read_side_open and self.connection.was_reset()):
            self.connection.close()
        elif self._state is ConnectionState.CLOSING:
            if now_ms - self._state_since_ms > (
                NEAR_CAPACITY_TIMEOUT_MS if near_capacity else CLOSE_TIMEOUT_MS
            ):
                self.connection.close()
        elif not self.open_requests:
            self._sweep_without_requests(now_ms, idle_timeout_ms, near_capacity)

    def _sweep_without_requests(self, now_ms: float, idle_timeout_ms: float, near_capacity: bool) -> None:
        if self._partial_since_ms:
            self._sweep_partial_request(now_ms, near_capacity)
        elif not self._has_received_request and now_ms - self._opened_at_ms > (
            NEAR_CAPACITY_TIMEOUT_MS if near_capacity else FIRST_REQUEST_TIMEOUT_MS
        ):
            self.close_idle()
        elif self._state is ConnectionState.GOING_AWAY:
            idle_ms = now_ms - max(self._state_since_ms, self.last_used_at_ms)
            if idle_ms > self._goaway_timeout_ms(near_capacity) and not self._unsent_bytes:
                self.close_idle()
        elif now_ms - self.last_used_at_ms >= idle_timeout_ms:
            self.go_away()

    def _goaway_timeout_ms(self, near_capacity: bool) -> float:
        """Return the time after a goaway for which an idle connection waits for the peer to close it.

        A balancer closes it once it has read the goaway. Until then it may send requests, which its network
        may hold back together with the goaway.
        """
        if near_capacity or not self._has_valid_request:
            return 2 * GOAWAY_CROSSING_MS
        return self._server.max_request_ms

    def _sweep_partial_request(self, now_ms: float, near_capacity: bool) -> None:
        if now_ms - self._partial_since_ms > self._server.max_request_ms:
            self.end_partial_request("begun longer ago than the longest deadline")
            return
        # The network of a balancer may hold back the rest, which can still be answered in time. A client that
        # has sent no valid request yet may send none at all.
        stall_timeout_ms = NEAR_CAPACITY_TIMEOUT_MS if near_capacity else PARTIAL_REQUEST_TIMEOUT_MS
        if not self._has_valid_request and now_ms - self.last_used_at_ms > stall_timeout_ms:
            self.end_partial_request("the first request on its connection has stalled")
