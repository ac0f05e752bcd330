"""Backends that answer a node without delay, so that a measurement shows only the cost of the node itself.

They are an interpreter that ends each run at once or after a fixed time, a store that answers at once, and a
socket that receives discovery reports. They run in a separate process, so that the node under load has a core
to itself.
"""

from __future__ import annotations

import selectors
import socket
import time

from spindlerelay.testbed.servers.interpreter import block_length
from spindlerelay.testbed.servers.store import block_length as store_block_length
from spindlerelay.testbed.servers.store import response_to
from spindlerelay.transport import line_protocol
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener

MAX_LIFETIME_S = 3700.0  # ends the process if its parent fails to terminate it
RUNS_PER_CALL = 3  # one run in this number of runs makes a dependency call
INTERPRETER_AGE_S = 600.0  # reported uptime at the start, longer than any warm-up
MAX_DATAGRAM_BYTES = 200


class _Interpreter:
    """One connection of a node; notices are numbered, but not stored for replay."""

    def __init__(self, loop: EventLoop, sock: socket.socket, started_at_s: float, run_ms: float) -> None:
        self.loop = loop
        self.run_ms = run_ms
        self.started_at_s = started_at_s
        self.last_number = 0
        self.runs = 0
        self.decoder = line_protocol.LineDecoder(block_length)
        self.connection = Connection(loop, sock, self._data, lambda _: None)

    def _data(self, data: bytes) -> None:
        write = self.connection.write
        for words, _ in self.decoder.feed(data):
            match words:
                case ["CONNECT", _]:
                    uptime_ms = round((time.monotonic() - self.started_at_s) * 1000.0)
                    write(line_protocol.encode_message("BANNER", "running", uptime_ms))
                case ["TOP", tag]:
                    write(line_protocol.encode_message("TOPS", tag, "0.5000", "2.0000", "0.1000", "0.0000"))
                case ["APPLY", call_id, class_name, _]:
                    self.runs += 1
                    if class_name != "proof" and self.runs % RUNS_PER_CALL == 0:
                        self._notify("AWAIT", call_id, block=b"row of the register")
                    else:
                        self._end_run(call_id)
                case ["RESOLVE" | "STUB", call_id, _]:
                    self._end_run(call_id)

    def _end_run(self, call_id: str) -> None:
        if self.run_ms:
            self.loop.call_later(self.run_ms, lambda: self._send_result(call_id))
        else:
            self._send_result(call_id)

    def _send_result(self, call_id: str) -> None:
        self._notify("VALUE", call_id, "fine", f"{self.run_ms:.1f}", block=b"page of " + call_id.encode())

    def _notify(self, verb: str, *words: object, block: bytes) -> None:
        self.last_number += 1
        self.connection.write(line_protocol.encode_message(verb, self.last_number, *words, block=block))


class _Store:
    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.decoder = line_protocol.LineDecoder(store_block_length)
        self.connection = Connection(loop, sock, self._data, lambda _: None)

    def _data(self, data: bytes) -> None:
        for words, block in self.decoder.feed(data):
            if words[0] == "CALL":
                self.connection.write(line_protocol.encode_message(words[1], "OK", block=response_to(block)))


class _DatagramSink:
    """Receives datagrams and drops them."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.sock = sock
        loop.register(sock, selectors.EVENT_READ, self)

    def on_ready(self, mask: int) -> None:
        """Drop one datagram."""
        self.sock.recv(MAX_DATAGRAM_BYTES)

    def on_handler_error(self) -> None:
        """Ignore an error of ``on_ready``: no peer depends on this socket."""


def serve(interpreter_port: int, store_port: int, discovery_port: int, run_ms: float = 0.0) -> None:
    """Serve the interpreter, the store and the discovery socket until the process is terminated.

    Each run takes ``run_ms``, independent of the load.
    """
    loop = EventLoop()
    references = list[object]()  # keeps the listeners and connections from being garbage-collected
    started_at_s = time.monotonic() - INTERPRETER_AGE_S
    host = "127.0.0.1"

    def accept(sock: socket.socket) -> None:
        references.append(_Interpreter(loop, sock, started_at_s, run_ms))

    references.append(Listener(loop, (host, interpreter_port), accept))
    references.append(Listener(loop, (host, store_port), lambda sock: references.append(_Store(loop, sock))))
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.bind((host, discovery_port))
    datagrams.setblocking(False)
    references.append(_DatagramSink(loop, datagrams))
    loop.call_later(MAX_LIFETIME_S * 1000.0, lambda: setattr(loop, "running", False))
    loop.run(lambda: None)
