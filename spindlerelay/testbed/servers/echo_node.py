"""An emulated node that runs in a separate process and answers every request at once.

A planned stall blocks the whole process: the process reads nothing during the stall, and afterwards answers
all requests that have arrived. Stalls test how the load generator measures latency.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from functools import partial
from multiprocessing.sharedctypes import Synchronized
from typing import NamedTuple

import msgpack

from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import monotonic_ms

POLL_INTERVAL_MS = 1.0  # interval of the checks whether the run has started
MAX_LIFETIME_S = 3700.0  # ends the process if its parent fails to kill it
MAX_BUFFER_BYTES = 1 << 24


class PlannedStall(NamedTuple):
    """A planned stall of an echo node; ``at_ms`` counts from the start of the run."""

    at_ms: float
    duration_ms: float


class _Client:
    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MAX_BUFFER_BYTES)
        self.connection = Connection(loop, sock, self._data, lambda _: None)

    def _data(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for message in self.unpacker:
            self.connection.write(msgpack.packb([1, message[1], None, [b"page", {}]]))


class EchoNode:
    """A node that answers every request on one port.

    ``started_at`` holds the start of the run in ms of the monotonic clock; it is 0 until the start is known.
    """

    def __init__(self, port: int, stalls: Sequence[PlannedStall], started_at: Synchronized[float]) -> None:
        self.loop = EventLoop(monotonic_ms, POLL_INTERVAL_MS)
        self._stalls = stalls
        self._started_at = started_at
        self.listener = Listener(self.loop, ("127.0.0.1", port), lambda sock: self._accept(sock))
        self.clients: list[_Client] = []
        if stalls:
            self.loop.call_later(0.0, self._wait_for_start)
        self.loop.call_later(MAX_LIFETIME_S * 1000.0, self._stop)

    def _accept(self, sock: socket.socket) -> None:
        self.clients.append(_Client(self.loop, sock))

    def _wait_for_start(self) -> None:
        if not self._started_at.value:
            self.loop.call_later(POLL_INTERVAL_MS, self._wait_for_start)
            return
        for stall in self._stalls:
            self.loop.timers.schedule(self._started_at.value + stall.at_ms, partial(self._stall, stall))

    def _stall(self, stall: PlannedStall) -> None:
        stall_end = self._started_at.value + stall.at_ms + stall.duration_ms
        time.sleep(max(0.0, stall_end - monotonic_ms()) / 1000.0)

    def _stop(self) -> None:
        self.loop.running = False


def serve(port: int, stalls: Sequence[PlannedStall], started_at: Synchronized[float]) -> None:
    """Run an echo node until the process is terminated; the entry point of the process."""
    EchoNode(port, stalls, started_at).loop.run(lambda: None)
