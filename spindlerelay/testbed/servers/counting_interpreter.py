"""An emulated interpreter that counts runs, and a balancer's connection that records every response.

Drills use them to check whether a request ran twice. Both use threads and blocking sockets, so that they do
not depend on the event loop under test.
"""

from __future__ import annotations

import contextlib
import os
import random
import socket
import threading
import time
from collections import Counter
from typing import Any

import msgpack

from spindlerelay.testbed.servers.interpreter import block_length
from spindlerelay.transport import line_protocol

RESPONSE_TIMEOUT_S = 10.0  # timeout of connecting and of waiting for responses
POLL_INTERVAL_S = 0.01
RECEIVE_BYTES = 65536


class CountingInterpreter:
    """An interpreter that counts the requested runs by class and body, across restarts of its node.

    A run takes a random time up to ``max_run_s``. If the connection closes before a run ends, the result of
    the run is lost.
    """

    def __init__(self, max_run_s: float = 0.0, seed: int = 1) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.runs: Counter[tuple[str, bytes]] = Counter()
        self._max_run_s = max_run_s
        self._random = random.Random(seed)
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        decoder = line_protocol.LineDecoder(block_length)
        writer = _NoticeWriter(sock)
        with sock, contextlib.suppress(OSError):
            while data := sock.recv(RECEIVE_BYTES):
                for words, block in decoder.feed(data):
                    if words[0] == "CONNECT":
                        sock.sendall(line_protocol.encode_message("BANNER", "running", 600_000))
                    elif words[0] == "TOP":
                        writer.send_gauges(words[1])
                    elif words[0] == "APPLY":
                        self._run(writer, words[1], words[2], block)

    def _run(self, writer: _NoticeWriter, call_id: str, class_name: str, block: bytes) -> None:
        self.runs[(class_name, block)] += 1
        if not self._max_run_s:
            writer.send_result(call_id, block)
            return
        timer = threading.Timer(
            self._random.uniform(0, self._max_run_s), writer.send_result, (call_id, block)
        )
        timer.daemon = True
        timer.start()


class _NoticeWriter:
    """Writes the numbered notices of one connection; a lock serializes the timer threads that end runs."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._lock = threading.Lock()
        self._last_number = 0

    def send_gauges(self, tag: str) -> None:
        with self._lock:
            self._sock.sendall(line_protocol.encode_message("TOPS", tag, "0.5", "1", "0.1", "3"))

    def send_result(self, call_id: str, block: bytes) -> None:
        with self._lock, contextlib.suppress(OSError):
            self._last_number += 1
            self._sock.sendall(
                line_protocol.encode_message(
                    "VALUE", self._last_number, call_id, "fine", "1.0", block=b"made " + block
                )
            )


class RecordingClient:
    """A balancer's connection to a node; a reader thread records every response."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, RESPONSE_TIMEOUT_S)
        self.responses: dict[int, Any] = {}
        self.last_number = 0
        self.disconnected = threading.Event()
        threading.Thread(target=self._read, daemon=True).start()

    def send_request(
        self, class_name: str, body: bytes, idempotency_key: str = "", is_retry: bool = False
    ) -> int:
        """Send a request, optionally with an idempotency key and a retry mark; return its message number."""
        self.last_number += 1
        fields = {
            "call": os.urandom(8).hex(),
            "recv": str(int(time.time() * 1000)),
            "src": "1",
            "org": "acqua",
            "ttl": "4000",
            "heap": "20",
            "crit": "0.5",
        }
        fields |= {"dedupe": idempotency_key} if idempotency_key else {}
        fields |= {"rep": "1"} if is_retry else {}
        self.sock.sendall(msgpack.packb([0, self.last_number, class_name, [fields, body]]))
        return self.last_number

    def send_ping(self) -> None:
        """Send a ping."""
        self.last_number += 1
        self.sock.sendall(msgpack.packb([0, self.last_number, "ping", [{}]]))

    def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        with contextlib.suppress(OSError):
            while data := self.sock.recv(RECEIVE_BYTES):
                unpacker.feed(data)
                for message in unpacker:
                    if message[0] == 1:
                        self.responses[message[1]] = message[2][0] if message[2] else message[3][0]
        self.disconnected.set()

    def wait_for_responses(self) -> None:
        """Wait until every request is answered, the connection closes, or ``RESPONSE_TIMEOUT_S`` elapses."""
        deadline = time.monotonic() + RESPONSE_TIMEOUT_S
        while (
            len(self.responses) < self.last_number
            and time.monotonic() < deadline
            and not self.disconnected.is_set()
        ):
            time.sleep(POLL_INTERVAL_S)
