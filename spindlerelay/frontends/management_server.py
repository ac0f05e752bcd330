"""HTTP/1.1 server at the management address, for operators' tools, with one request per connection.

    GET /control/ready      200 while this process is ready to serve, else 503
    GET /control/counters   200 with the counters as StatsD lines
    GET /control/...        200 with the page of an optional feature

The server takes no render requests, so the admission controller is not involved. A caller must get its
response within a second however busy the node is, although some clients connect and never complete a request.
Hence a connection has REQUEST_TIMEOUT_MS for a whole request, at most MAX_CONNECTIONS are open (the oldest is
closed first), and a request gets its response in the turn that completes it. A malformed request gets 400, an
unknown path 404, and a method other than GET 405. Each response closes its connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import httptools

from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

REQUEST_TIMEOUT_MS = 500.0  # for a whole request to arrive; callers wait 1 s for the response
SWEEP_INTERVAL_MS = 100.0
MAX_CONNECTIONS = 32
MAX_REQUEST_BYTES = 8192  # requests of operators' tools are shorter
PATH_READY = "/control/ready"
PATH_COUNTERS = "/control/counters"
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class Page(NamedTuple):
    """Status code and body of a response."""

    status: int
    body: bytes


def encode_response(status: int, body: bytes) -> bytes:
    """Return the bytes of an HTTP response with its headers."""
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class ManagementConnection:
    """A connection, which carries a single request."""

    def __init__(self, server: ManagementServer, sock: Socket) -> None:
        self._server = server
        self.opened_at_ms = server.loop.now()
        self.responded = False
        self._url = b""
        self._received_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self.connection = Connection(
            server.loop, sock, self._on_data, self._on_close, on_peer_end=self._on_peer_end
        )

    def _on_data(self, data: bytes) -> None:
        if self.responded:
            return
        self._received_bytes += len(data)
        try:
            if self._received_bytes > MAX_REQUEST_BYTES:
                raise httptools.HttpParserError("too long")
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(Page(400, b"malformed request\n"))

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL. Called by the parser, possibly several times for one URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Respond to the request. Called by the parser."""
        if self.responded:
            return
        path = self._url.split(b"?", 1)[0].decode("latin-1")
        self._respond(self._server.page(path, self._parser.get_method()))

    def _respond(self, page: Page) -> None:
        self.responded = True
        self.connection.write(encode_response(page.status, page.body))
        self.connection.end_output()

    def _on_peer_end(self) -> bool:
        return bool(self.connection.output_buffer)

    def close(self) -> None:
        """Close the connection, after responding to a request that has arrived since the last read."""
        self.connection.read_available()
        self.connection.close()

    def _on_close(self, _was_open: bool) -> None:
        self._server.connections.pop(self, None)


class ManagementServer:
    """The listening socket of the management address and its connections."""

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        is_ready: Callable[[], bool],
        render_counters: Callable[[], bytes],
    ) -> None:
        self.loop = loop
        self._is_ready = is_ready
        self._render_counters = render_counters
        self._feature_pages: dict[str, Callable[[], bytes]] = {}
        self.connections: dict[ManagementConnection, None] = {}
        self.listener = Listener(loop, address, self._accept)
        loop.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def add_page(self, path: str, render: Callable[[], bytes]) -> None:
        """Publish the page of an optional feature under ``path``."""
        self._feature_pages[path] = render

    def page(self, path: str, method: bytes) -> Page:
        """Return the response to a request with this path and method."""
        paths = (PATH_READY, PATH_COUNTERS, *self._feature_pages)
        if path not in paths:
            return Page(404, f"unknown path: try {' or '.join(paths)}\n".encode())
        if method != b"GET":
            return Page(405, b"only GET\n")
        if path == PATH_READY:
            return Page(200, b"ready\n") if self._is_ready() else Page(503, b"not ready\n")
        render = self._feature_pages.get(path, self._render_counters)
        return Page(200, render())

    def _accept(self, sock: Socket) -> None:
        while len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).close()
        self.connections[ManagementConnection(self, sock)] = None

    def _sweep(self) -> None:
        """Close connections that take too long to send a whole request or to take its response."""
        self.loop.call_later(SWEEP_INTERVAL_MS, self._sweep)
        now_ms = self.loop.now()
        for connection in list(self.connections):
            if connection.responded and now_ms - connection.opened_at_ms > 2 * REQUEST_TIMEOUT_MS:
                connection.connection.close()
            elif not connection.responded and now_ms - connection.opened_at_ms > REQUEST_TIMEOUT_MS:
                connection.close()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.listener.close()
        for connection in list(self.connections):
            connection.close()
