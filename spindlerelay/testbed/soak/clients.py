"""The balancers of the soak: requests on open connections, in bursts, half written, or read slowly.

Owns every request that was sent and what came of it, as the protocol of balancers says. What a rule demands
is ``testbed.checker``'s. Times are Unix ms.
"""

from __future__ import annotations

import math
import random
import socket
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from spindlerelay.testbed.checker import RuleChecker
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.retry_path import Response
from spindlerelay.testbed.models.traffic import Request
from spindlerelay.testbed.servers.balancer_connections import BalancerConnections
from spindlerelay.testbed.servers.balancer_protocols import MessagePackRpc, request_fields
from spindlerelay.testbed.soak.backends import NODE
from spindlerelay.testbed.soak.scenario import Scenario
from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop

CROSSING_MS = 50.0  # by the protocol, a close and a request may cross for so long
BOOKING_DELAY_MS = 100.0  # by the protocol, from the write until a request counts against the memory
REGULAR_CONNECTIONS = 24
MAX_OPEN_REQUESTS = 8  # on one connection
CROWD_REUSE_PROBABILITY = 0.5  # that a request goes on a connection of the crowd, once there is one
IDLE_CHECK_INTERVAL_MS = 500.0
MAX_RETRIED_KEYS = 40  # the newest ones, of which retries are drawn
SMALL_RECEIVE_BUFFER = 2048
CALL_BITS = 64


class SentRequest(NamedTuple):
    """A request as it was sent under one call id."""

    request: Request
    received_at_ms: float
    is_retry: bool


class TimelineEntry(NamedTuple):
    """One event of a request."""

    at_ms: float
    call: str
    text: str


class Clients:
    """All balancers of one seed. ``lateness_ms`` is by how much the driver was last late."""

    def __init__(
        self,
        loop: EventLoop,
        scenario: Scenario,
        checker: RuleChecker,
        address: tuple[str, int],
        on_memory: Callable[[str, float], None],
        on_end: Callable[[str], None],
    ) -> None:
        self.sent: dict[str, SentRequest] = {}
        self.timeline: list[TimelineEntry] = []
        self.lateness_ms = 0.0
        self.closing = False  # the driver ends the node: nothing is owed any more
        self.responses = 0
        self._loop = loop
        self._scenario = scenario
        self._checker = checker
        self._address = address
        self._on_memory = on_memory
        self._on_end = on_end
        self._random = random.Random(f"soak clients {scenario.seed}")
        self._keyed: list[Request] = []
        self._written_at_ms: dict[str, float] = {}
        self._resent: set[str] = set()
        self._number = 0
        self._regular = self._balancer(REGULAR_CONNECTIONS)
        self._crowd: list[BalancerConnections] = []  # of one connection each, most of them idle
        self._idle_check_ms = 0.0

    def _balancer(self, connections: int) -> BalancerConnections:
        return BalancerConnections(
            self._loop,
            lambda _node: self._address,
            self._written,
            self._unexpected,
            MessagePackRpc,
            MAX_OPEN_REQUESTS,
            connections,
        )

    def ended(self, call: str) -> bool:
        """Return whether a request is over for its balancer."""
        return not self._checker.is_open(call)

    def request_of(self, call: str) -> Request | None:
        """Return the request that was sent under a call id."""
        sent = self.sent.get(call)
        return sent.request if sent else None

    def note(self, call: str, text: str) -> None:
        """Add an event to the timeline."""
        self.timeline.append(TimelineEntry(self._loop.now(), call, text))

    # Requests

    def _draw(self) -> tuple[str, SentRequest]:
        """Draw a request, or a retry of a keyed one, and enter it."""
        is_retry = bool(self._keyed) and self._random.random() < self._scenario.retry_probability
        if is_retry:
            request = self._random.choice(self._keyed)
        else:
            self._number += 1
            request = traffic.draw_request(self._random, 0.0, self._number, self._scenario.classes)
            if request.idempotency_key:
                self._keyed = [*self._keyed[-MAX_RETRIED_KEYS:], request]
        call = f"{self._random.getrandbits(CALL_BITS):016x}"
        sent = SentRequest(request, self._loop.now(), is_retry)
        self.sent[call] = sent
        return call, sent

    def _fields(self, call: str, sent: SentRequest) -> dict[str, str]:
        deadline_ms = sent.request.cls.deadline_ms
        return request_fields(sent.request, call, 1, sent.received_at_ms, deadline_ms, sent.is_retry)

    def send(self, new_connection: bool = False) -> None:
        """Send one request, on a new connection of the crowd or on any that is open."""
        call, sent = self._draw()
        if new_connection:
            self._crowd.append(self._balancer(1))
            balancer = self._crowd[-1]
        elif self._crowd and self._random.random() < CROWD_REUSE_PROBABILITY:
            balancer = self._random.choice(self._crowd)
        else:
            balancer = self._regular
        self._submit(balancer, call, sent)

    def _submit(self, balancer: BalancerConnections, call: str, sent: SentRequest) -> None:
        request = sent.request
        on_end = partial(self._responded, balancer, call)
        balancer.send_request(NODE, call, request.cls.name, self._fields(call, sent), request.body, on_end)

    def _written(self, call: str, patience_ms: float = 0.0) -> None:
        now_ms = self._loop.now()
        sent = self.sent[call]
        request = sent.request
        self.note(call, f"written, {request.cls.name}{' retry' if sent.is_retry else ''}")
        self._written_at_ms[call] = now_ms
        due_ms = sent.received_at_ms + request.cls.deadline_ms + patience_ms
        self._checker.request_written(
            call,
            NODE,
            request.cls.name,
            request.idempotency_key,
            request.body,
            sent.received_at_ms,
            due_ms,
            now_ms,
        )
        self._loop.call_later(BOOKING_DELAY_MS, partial(self._book, call))

    def _book(self, call: str) -> None:
        if self._checker.is_open(call):
            self._on_memory(call, self.sent[call].request.memory_kb)

    def _unexpected(self, _node: str, number: int) -> None:
        self._checker.record_violation("duplicate", NODE, f"an answer to message {number}, which is not open")

    def _responded(self, balancer: BalancerConnections, call: str, response: Response) -> None:
        self.note(call, f"{response.kind} {response.reason}".strip())
        if response.kind == "unreached":
            self._checker.attempt_withdrawn(call)  # never written, or its close crossed it
        elif response.kind == "broken":
            self._broken(balancer, call)
        else:
            self._answered(call, response)
        self._on_end(call)

    def _answered(self, call: str, response: Response) -> None:
        self.responses += 1
        self._checker.response_received(
            self._loop.now() - self.lateness_ms, call, response.kind, response.body
        )

    def _crossed(self, call: str) -> bool:
        """Return whether the close of a request's connection crossed it."""
        lay_ms = self._loop.now() - self._written_at_ms.get(call, math.inf)
        return lay_ms <= CROSSING_MS + 2.0 * self.lateness_ms

    def _broken(self, balancer: BalancerConnections, call: str) -> None:
        if self.closing:
            self._checker.attempt_withdrawn(call)
        elif not self._crossed(call):
            self._checker.connection_closed(call)
        else:
            self._checker.attempt_withdrawn(call)
            if call not in self._resent:
                self._resent.add(call)
                self._loop.call_later(0.0, partial(self._submit, balancer, call, self.sent[call]))

    # Clients with a connection of their own

    def send_in_halves(self, rest_after_ms: float) -> None:
        """Write half a request, and the rest later; never where ``rest_after_ms`` is 0."""
        call, sent = self._draw()
        # A request has reached the machine with its last byte.
        sent = sent._replace(received_at_ms=sent.received_at_ms + rest_after_ms)
        self.sent[call] = sent
        HalfWriter(self, call, sent, rest_after_ms)

    def send_and_read_later(self, read_after_ms: float) -> None:
        """Send a request whose response is read only after a while."""
        call, sent = self._draw()
        SlowReading(self, call, sent, read_after_ms)

    def tick(self, now_ms: float) -> None:
        """Close connections that have been idle for long."""
        if now_ms - self._idle_check_ms < IDLE_CHECK_INTERVAL_MS:
            return
        self._idle_check_ms = now_ms
        for balancer in (self._regular, *self._crowd):
            balancer.tick(now_ms)

    def close(self) -> None:
        """Close all connections."""
        self.closing = True
        for balancer in (self._regular, *self._crowd):
            balancer.close()


class SingleRequest:
    """One request on a connection of its own."""

    def __init__(self, clients: Clients, call: str, sent: SentRequest) -> None:
        request = sent.request
        self._clients = clients
        self._call = call
        self._protocol = MessagePackRpc()
        self._frame = self._protocol.request(1, request.cls.name, clients._fields(call, sent), request.body)

    def _data(self, data: bytes) -> None:
        for number, response in self._protocol.feed(data):
            if number is not None:
                self._clients._answered(self._call, response)
                self._clients._on_end(self._call)


class HalfWriter(SingleRequest):
    """A connection on which a request is written in two parts."""

    def __init__(self, clients: Clients, call: str, sent: SentRequest, rest_after_ms: float) -> None:
        super().__init__(clients, call, sent)
        self._rest_after_ms = rest_after_ms
        self._connection = connect(clients._loop, clients._address, self._data, self._closed, self._opened)

    def _opened(self) -> None:
        half = len(self._frame) // 2
        self._clients.note(self._call, "half written")
        self._connection.write(self._frame[:half])
        if self._rest_after_ms:
            self._clients._loop.call_later(self._rest_after_ms, partial(self._write_rest, half))

    def _write_rest(self, half: int) -> None:
        if self._connection.open:
            self._connection.write(self._frame[half:])
            self._clients._written(self._call)

    def _closed(self, _opened: bool) -> None:
        if not self._clients._checker.is_open(self._call):
            return
        if self._clients.closing or self._clients._crossed(self._call):
            self._clients._checker.attempt_withdrawn(self._call)
        else:
            self._clients._checker.connection_closed(self._call)


class SlowReading(SingleRequest):
    """A connection with a small receive buffer that is read only after a while."""

    def __init__(self, clients: Clients, call: str, sent: SentRequest, read_after_ms: float) -> None:
        super().__init__(clients, call, sent)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        try:
            self._socket.connect(clients._address)
            self._socket.sendall(self._frame)
        except OSError:  # refused, or reset before anything was written
            self._socket.close()
            return
        self._socket.setblocking(False)
        clients._written(call, patience_ms=read_after_ms)
        clients._loop.call_later(read_after_ms, self._read)

    def _read(self) -> None:
        Connection(self._clients._loop, self._socket, self._data, self._closed)

    def _closed(self, _opened: bool) -> None:
        if self._clients._checker.is_open(self._call):
            if self._clients.closing:
                self._clients._checker.attempt_withdrawn(self._call)
            else:
                self._clients._checker.connection_closed(self._call)
