"""The emulated shared store on a socket: the store's line protocol for the model of a store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from spindlerelay.testbed.models.store import SharedStore
from spindlerelay.transport import line_protocol
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

CALL_WORDS = 4  # words in the line of a CALL command


def block_length(words: list[str]) -> int | None:
    """Return the length in bytes of the block that follows a command line, or None if no block follows."""
    return line_protocol.parse_length(words[3]) if len(words) == CALL_WORDS and words[0] == "CALL" else None


def response_to(body: bytes) -> bytes:
    """Return the response to a call; it contains the call's body, so that a test detects a corrupted body."""
    return b"row of " + body


def _no_owner(_call: str) -> str:
    return ""


class _ClientConnection:
    def __init__(self, store: StoreServer, sock: Socket) -> None:
        self.store = store
        self.decoder = line_protocol.LineDecoder(block_length)
        self.connection = Connection(store.loop, sock, self._data, self._closed)

    def _data(self, data: bytes) -> None:
        try:
            for words, block in self.decoder.feed(data):
                self.store.handle_command(self, words, block)
        except line_protocol.LineProtocolError:
            self.connection.close()

    def _closed(self, opened: bool) -> None:
        self.store.remove_client(self)


class StoreServer:
    """Serves a ``SharedStore`` at an address.

    ``call_cost_ms(call_id, body)`` returns the duration of a call in an idle store, or None if no run waits
    for the call. ``owner_of(call_id)`` returns the owner under which a call is counted.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        model: SharedStore,
        call_cost_ms: Callable[[str, bytes], float | None],
        owner_of: Callable[[str], str] = _no_owner,
    ) -> None:
        self.loop = loop
        self.model = model
        self._call_cost_ms = call_cost_ms
        self._owner_of = owner_of
        self._calls: dict[str, tuple[_ClientConnection, bytes]] = {}
        self.calls_in_flight: Counter[str] = Counter()  # number of calls in progress by owner
        self.peak_calls: Counter[str] = Counter()  # peak number of calls in progress by owner
        self._owners: dict[str, str] = {}
        self._clients: dict[_ClientConnection, None] = {}
        self.calls_received = 0
        self.listener: Listener | None = Listener(loop, address, self._accept)
        self.address: tuple[str, int] = self.listener.sock.getsockname()

    def _accept(self, sock: Socket) -> None:
        self._clients[_ClientConnection(self, sock)] = None

    def handle_command(self, client: _ClientConnection, words: list[str], body: bytes) -> None:
        """Handle one command of a client.

        Raises:
            LineProtocolError: the command is unknown.
        """
        match words:
            case ["CALL", call_id, _, _]:
                self.calls_received += 1
                cost_ms = self._call_cost_ms(call_id, body)
                if cost_ms is None:
                    client.connection.write(line_protocol.encode_message(call_id, "VOID"))
                    return
                self._cancel(call_id)  # a repeated call with the same id replaces the first one
                self._handle_call(client, call_id, body, cost_ms)
            case ["DROP", call_id]:
                self._cancel(call_id)
            case _:
                raise line_protocol.LineProtocolError(f"unknown command: {words!r}")

    def _handle_call(self, client: _ClientConnection, call_id: str, body: bytes, cost_ms: float) -> None:
        """Start a call, or answer it with the outcome of the model's active fault."""
        match self.model.next_call_outcome():
            case "busy":
                client.connection.write(line_protocol.encode_message(call_id, "BUSY"))
            case "error":
                client.connection.write(line_protocol.encode_message(call_id, "ERR"))
            case "spoilt":
                client.connection.write(b"%b OK nonsense\r\n" % call_id.encode())
            case outcome:
                self._reserve(client, call_id, body)
                if outcome == "take":
                    self.complete_calls(self.model.start_call(self.loop.now(), call_id, cost_ms))

    def _reserve(self, client: _ClientConnection, call_id: str, body: bytes) -> None:
        owner = self._owner_of(call_id)
        self._owners[call_id] = owner
        self._calls[call_id] = (client, body)
        self.calls_in_flight[owner] += 1
        self.peak_calls[owner] = max(self.peak_calls[owner], self.calls_in_flight[owner])

    def _release(self, call_id: str) -> tuple[_ClientConnection, bytes] | None:
        released = self._calls.pop(call_id, None)
        if released:
            self.calls_in_flight[self._owners.pop(call_id)] -= 1
        return released

    def _cancel(self, call_id: str) -> None:
        if self._release(call_id):
            self.model.cancel_call(call_id)

    def remove_client(self, client: _ClientConnection) -> None:
        """Remove a client that has disconnected, and cancel its calls."""
        self._clients.pop(client, None)
        for call_id in [call_id for call_id, (caller, _) in self._calls.items() if caller is client]:
            self._cancel(call_id)

    def tick(self, now: float) -> None:
        """Answer calls that have ended; close the server when the model is down, and reopen it afterwards."""
        self.complete_calls(self.model.advance(now))
        if self.listener and not self.model.is_up(now):
            self.close()
            self.listener = None
        elif not self.listener and self.model.is_up(now):
            self.listener = Listener(self.loop, self.address, self._accept)

    def complete_calls(self, ended: list[str]) -> None:
        """Answer the calls that have ended according to the model."""
        for call_id in ended:
            if released := self._release(call_id):
                client, body = released
                client.connection.write(line_protocol.encode_message(call_id, "OK", block=response_to(body)))

    def break_connections(self) -> None:
        """Close all connections, which cancels their calls."""
        for client in list(self._clients):
            client.connection.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.listener:
            self.listener.close()
        self.break_connections()
