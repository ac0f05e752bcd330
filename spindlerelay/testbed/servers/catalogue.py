"""The emulated Consul agent on a socket: HTTP, blocking queries, and connection faults.

``testbed.models.catalogue`` models the catalogue itself.
"""

from __future__ import annotations

from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

from spindlerelay.testbed.models.catalogue import BlockingQuery, ConsulCatalogue, HttpReply
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

TICK_MS = 20.0  # interval of the checks for expired TTLs and for blocking queries to answer
MAX_BODY_BYTES = 1 << 20
SLOW_RESPONSE_MS = 1500.0  # response delay while the fault "slow" is active
MIN_HALF_RESPONSE_BYTES = 20  # minimum length of a response that the fault "half" truncates


class _ClientConnection:
    """A client's connection; httptools calls the ``on_`` methods while it parses a request."""

    def __init__(self, server: AgentServer, sock: Socket) -> None:
        self.server = server
        self.connection = Connection(server.loop, sock, self._data, self._closed)
        self.blocked_query: BlockingQuery | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._token = ""
        self._body = bytearray()

    def _data(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.connection.end_output()

    def _closed(self, opened: bool) -> None:
        self.server.clients.pop(self, None)

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the ACL token; other headers are ignored."""
        if name.lower() == b"x-consul-token":
            self._token = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, unless the body has reached ``MAX_BODY_BYTES``."""
        if len(self._body) < MAX_BODY_BYTES:
            self._body += data

    def on_message_complete(self) -> None:
        """Answer the request, or hold it open if it is a blocking query."""
        method = self._parser.get_method().decode()
        url = urlsplit(self._url.decode("latin-1"))
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        body = bytes(self._body)
        token = self._token
        self._url = b""
        self._token = ""
        self._body = bytearray()
        model = self.server.model
        if model.fault == "silent":
            return
        reply = model.handle(self.server.loop.now(), method, unquote(url.path), query, token, body)
        if isinstance(reply, BlockingQuery):
            self.blocked_query = reply
        elif model.fault == "slow":
            self.server.loop.call_later(SLOW_RESPONSE_MS, lambda: self.send(reply))
        else:
            self.send(reply)

    def send(self, reply: HttpReply) -> None:
        """Write a response; with the fault "half", write its first half and end the output."""
        header_lines = [f"HTTP/1.1 {reply.status} X", f"Content-Length: {len(reply.body)}"]
        header_lines += [f"{name}: {value}" for name, value in reply.headers]
        data = "\r\n".join([*header_lines, "", ""]).encode() + reply.body
        if self.server.model.fault == "half":
            self.connection.write(data[: max(MIN_HALF_RESPONSE_BYTES, len(data) // 2)])
            self.connection.end_output()
        else:
            self.connection.write(data)


class AgentServer:
    """Serves a ``ConsulCatalogue`` at an address."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], model: ConsulCatalogue) -> None:
        self.loop = loop
        self.model = model
        self.address = address
        self.clients: dict[_ClientConnection, None] = {}
        self.listener: Listener | None = None
        self.listen()
        loop.call_later(TICK_MS, self._tick)

    def listen(self) -> None:
        """Start to accept connections, initially and again after ``stop``."""
        self.listener = Listener(self.loop, self.address, self._accept)
        self.address = self.listener.sock.getsockname()

    def stop(self) -> None:
        """Close all connections and refuse new ones until ``listen`` is called."""
        if self.listener:
            self.listener.close()
        for client in list(self.clients):
            client.connection.close()

    def _accept(self, sock: Socket) -> None:
        self.clients[_ClientConnection(self, sock)] = None

    def _tick(self) -> None:
        self.loop.call_later(TICK_MS, self._tick)
        now = self.loop.now()
        if not self.listener or not self.listener.open:
            return  # an agent that is down expires no checks
        self.model.advance(now)
        for client in self.clients:
            if (query := client.blocked_query) is None:
                continue
            if self.model.service_index.get(query.service, 0) != query.known_index or now >= query.until:
                client.blocked_query = None
                client.send(self.model.list_service(query.service))
