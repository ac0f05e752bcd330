"""A node on a loop that tests turn by hand, its front end on a real socket, and clients that never wait.

What has to come at one instant is sent from within the step that ends something: loopback delivers before
``sendall`` returns.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import msgpack

from spindlerelay import api
from spindlerelay.backends.interpreter_protocol import InterpreterStarted, RunFinished
from spindlerelay.frontends.balancer_server import BalancerServer
from spindlerelay.node.node import Node
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import HOST_SYSTEM
from tests.driver import KEYED, PLAIN, UNSAFE, settings
from tests.peers import TIMEOUT_S, Balancer
from tests.test_guards import RecordingBackend, ScriptedController

STEP_MS = 5.0  # from one turn to the next, at most
CALL_IDS = (f"{n:016x}" for n in itertools.count(1))


class NodeHarness:
    """A node on a loop turned by hand, with its front end on a real socket and a scripted controller.

    The controller rejects all requests, unless ``runs_requests`` is set.
    """

    stepped_clock_ms = 0.0  # the loop's clock, where turns move it

    def __init__(self, sockets: int = 256, grace_ms: float = 0.0, window_ms: float = 9000.0) -> None:
        self.loop, self.controller, self.backends = (
            EventLoop(self.now),
            ScriptedController(),
            RecordingBackend(),
        )
        node_settings = settings(
            PLAIN._replace(name="preview"),
            KEYED._replace(name="order", idempotency_window_ms=window_ms),
            UNSAFE._replace(name="seal"),
            cache_ttl_ms=500.0,
            drain_grace_ms=grace_ms,
        )
        self.node = Node(self.loop, node_settings, self.controller)
        backends = self.node.context.backends
        backends.interpreter = backends.store = backends.discovery = self.backends  # type: ignore[assignment]
        self.node.on_interpreter_started(InterpreterStarted("running", 0.0))
        self.balancer_server = BalancerServer(self.loop, ("127.0.0.1", 0), node_settings, sockets, self.node)
        self.node.add_frontend(self.balancer_server)
        self.address = f"127.0.0.1:{self.balancer_server.listener.sock.getsockname()[1]}"
        self.runs_requests = False
        self.loop.call_later(STEP_MS, self._tick)

    def _tick(self) -> None:
        self.loop.call_later(STEP_MS, self._tick)

    def now(self) -> float:
        return self.stepped_clock_ms or HOST_SYSTEM.unix_time_ms()

    def step_clock(self) -> None:
        """From here on the loop's clock moves with its turns alone, however slow the machine is."""
        self.stepped_clock_ms = HOST_SYSTEM.unix_time_ms()

    def process_events(self) -> None:
        requests = [
            each for each in self.node.context.pending_events if isinstance(each, api.RequestReceived)
        ]
        self.controller.next_actions = [action for each in requests for action in self.decide(each)]
        self.node.process_events()

    def decide(self, request: api.RequestReceived) -> list[api.Action]:
        if not self.runs_requests:
            return [api.Reject(request.id)]
        if request.original_id:
            return [api.RespondFromCache(request.id)]
        # The entry lapses at once: what binds then is the node's own.
        keep = [api.CacheResult(request.id, 0.001)] if request.class_index == 1 else []
        return [*keep, api.Run(request.id)]

    def started_calls(self) -> list[str]:
        """Return the call ids of the runs that the interpreter was given."""
        return [entry[1] for entry in self.backends.calls if entry[0] == "start_run"]

    def run_until(self, until: Callable[[], Any] = lambda: False, for_s: float = TIMEOUT_S) -> bool:
        """Return whether the condition held before the timeout and before the node ended."""
        end = time.monotonic() + for_s
        while not until():
            if time.monotonic() > end or not self.loop.running:
                return bool(until())
            self.loop.run_once(self.process_events)
            self.stepped_clock_ms += STEP_MS if self.stepped_clock_ms else 0.0
        return True

    def client(self) -> NonBlockingBalancer:
        made = NonBlockingBalancer(self.address)
        self.run_until(lambda: made.is_accepted_by(self))
        return made

    def served_client(self) -> NonBlockingBalancer:
        """Return a client whose connection has carried a request."""
        made = self.client()
        made.send(made.encode_request())
        assert self.run_until(lambda: made.responded_ids() == [1])
        return made

    def partial_requests(self) -> bool:
        """Return whether a request is partly read."""
        return any(link._decoder.partial_frame for link in self.balancer_server.connections)

    def run_for_clock_ms(self, span_ms: float) -> None:
        """Turn the loop until its stepped clock has moved so far."""
        until_ms = self.stepped_clock_ms + span_ms
        self.run_until(lambda: self.stepped_clock_ms >= until_ms)

    def finish_run(self, call: str, result: bytes) -> None:
        self.node.run_tracker.on_notice(RunFinished(1, call, "fine", 1.0, result))

    def run_to_exit(self) -> None:
        """Let the node end as its process does: its sockets are closed."""
        self.run_until(lambda: not self.loop.running)
        self.loop.flush()
        for link in list(self.balancer_server.connections):
            link.connection.sock.close()


class NonBlockingBalancer(Balancer):
    """A balancer that never waits: it reads what has arrived."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.sock.settimeout(0.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a second write must not wait
        self.messages: list[Any] = []
        self.closed_by = ""  # by "end", as TCP's own end, or "reset"

    def is_accepted_by(self, harness: NodeHarness) -> bool:
        return any(
            link.connection.sock.getpeername() == self.sock.getsockname()
            for link in harness.balancer_server.connections
        )

    def encode_request(self, cls: str = "preview", **more: str) -> bytes:
        """Return the frame of a new request."""
        self.last += 1
        fields = {
            "call": next(CALL_IDS),
            "recv": str(int(time.time() * 1000)),
            "src": "4",
            "ttl": "4500",
            "heap": "24.5",
            "crit": "0.6250",
        }
        if cls == "order":
            fields["dedupe"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        packed: bytes = msgpack.packb([0, self.last, cls, [fields | more, b"page"]])
        return packed

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def receive(self, size: int = 1 << 20) -> list[Any]:
        """Return all messages so far."""
        with contextlib.suppress(BlockingIOError):
            while not self.closed_by:
                try:
                    data = self.sock.recv(size)
                except ConnectionResetError:
                    self.closed_by = "reset"
                    break
                if not data:
                    self.closed_by = "end"
                self.unpacker.feed(data)
                self.messages += list(self.unpacker)
        return self.messages

    def reset(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def is_closed(self) -> bool:
        self.receive()
        return bool(self.closed_by)

    def responded_ids(self) -> list[int]:
        return [message[1] for message in self.receive() if message[0] == 1]

    def responses(self) -> list[Any]:
        """Return the error or the result of each response."""
        return [
            error[0] if error else result[0]
            for _, _, error, result in (message for message in self.receive() if message[0] == 1)
        ]


def call_before_first(owner: Any, name: str, before: Callable[[], object]) -> None:
    """Do something right before the first call of a method."""
    original, todo = getattr(owner, name), [before]

    def wrapped(*args: Any) -> Any:
        if todo:
            todo.pop()()
        return original(*args)

    setattr(owner, name, wrapped)


def client_with_unread_response(harness: NodeHarness) -> NonBlockingBalancer:
    """Return a balancer with a response of which it has read nothing; most of it is in the kernel."""
    client = harness.client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    harness.runs_requests = True
    client.send(client.encode_request())
    assert harness.run_until(harness.node.outstanding)
    harness.finish_run(next(iter(harness.node.context.requests.by_call_id)), b"r" * 60_000)
    return client


def at_close(harness: NodeHarness, action: Callable[[], object]) -> None:
    """Do something in the turn in which the node starts to close its connections."""
    call_before_first(harness.node.shutdown, "_reject_all", action)


def send_during_close(harness: NodeHarness, client: NonBlockingBalancer, data: bytes) -> None:
    """Send this in the sweep that finds the connection ready to be closed."""
    link = next(iter(harness.balancer_server.connections))
    sweep, todo = link.sweep, [data]

    def late(now_ms: float, idle_timeout_ms: float, near_capacity: bool) -> None:
        if todo and now_ms - link.last_used_at_ms > link._goaway_timeout_ms(near_capacity):
            client.send(todo.pop())
        sweep(now_ms, idle_timeout_ms, near_capacity)

    link.sweep = late  # type: ignore[method-assign]
