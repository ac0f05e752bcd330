"""The emulated shared store on a socket: its line protocol over the model."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from spindlerelay.testbed.models.store import SharedStore
from spindlerelay.transport import line_protocol
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

CALL_WORDS = 4


def block_length(words: list[str]) -> int | None:
    """Return the bytes of the block that follows a command's line, None where none follows."""
    return line_protocol.parse_length(words[3]) if len(words) == CALL_WORDS and words[0] == "CALL" else None


def response_to(body: bytes) -> bytes:
    """Return the response to a call; made of its body, so that a changed one shows."""
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
        self.store.disconnected(self)


class StoreServer:
    """Serves a ``SharedStore`` at an address.

    ``work_of(call, body)`` returns a call's ms in an idle store, None where no run waits for it;
    ``owner_of(call)`` by whom its calls are counted.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        model: SharedStore,
        work_of: Callable[[str, bytes], float | None],
        owner_of: Callable[[str], str] = _no_owner,
    ) -> None:
        self.loop = loop
        self.model = model
        self._work_of = work_of
        self._owner_of = owner_of
        self._calls: dict[str, tuple[_ClientConnection, bytes]] = {}
        self.calls_in_flight: Counter[str] = Counter()  # calls in progress by owner
        self.peak_calls: Counter[str] = Counter()  # their peak
        self._owners: dict[str, str] = {}
        self._clients: dict[_ClientConnection, None] = {}
        self.calls_received = 0
        self.listener: Listener | None = Listener(loop, address, self._accept)
        self.address: tuple[str, int] = self.listener.sock.getsockname()

    def _accept(self, sock: Socket) -> None:
        self._clients[_ClientConnection(self, sock)] = None

    def handle_command(self, client: _ClientConnection, words: list[str], body: bytes) -> None:
        """Take one command; LineError for what is not the protocol."""
        match words:
            case ["CALL", call, _, _]:
                self.calls_received += 1
                work = self._work_of(call, body)
                if work is None:
                    client.connection.write(line_protocol.encode_message(call, "VOID"))
                    return
                self._cancel(call)  # a second call for a request replaces the first
                self._start_call(client, call, body, work)
            case ["DROP", call]:
                self._cancel(call)
            case _:
                raise line_protocol.LineProtocolError("not a call")

    def _start_call(self, client: _ClientConnection, call: str, body: bytes, work: float) -> None:
        """Start a call, or give it the outcome of the model's fault."""
        match self.model.next_call_outcome():
            case "busy":
                client.connection.write(line_protocol.encode_message(call, "BUSY"))
            case "error":
                client.connection.write(line_protocol.encode_message(call, "ERR"))
            case "spoilt":
                client.connection.write(b"%b OK nonsense\r\n" % call.encode())
            case outcome:
                self._reserve(client, call, body)
                if outcome == "take":
                    self.complete_calls(self.model.start_call(self.loop.now(), call, work))

    def _reserve(self, client: _ClientConnection, call: str, body: bytes) -> None:
        owner = self._owner_of(call)
        self._owners[call] = owner
        self._calls[call] = (client, body)
        self.calls_in_flight[owner] += 1
        self.peak_calls[owner] = max(self.peak_calls[owner], self.calls_in_flight[owner])

    def _release(self, call: str) -> tuple[_ClientConnection, bytes] | None:
        released = self._calls.pop(call, None)
        if released:
            self.calls_in_flight[self._owners.pop(call)] -= 1
        return released

    def _cancel(self, call: str) -> None:
        if self._release(call):
            self.model.cancel_call(call)

    def disconnected(self, client: _ClientConnection) -> None:
        """Cancel the calls of a client that has disconnected."""
        self._clients.pop(client, None)
        for call in [call for call, (caller, _) in self._calls.items() if caller is client]:
            self._cancel(call)

    def tick(self, now: float) -> None:
        """Answer calls that have ended, and close or listen as the model goes down and up."""
        self.complete_calls(self.model.advance(now))
        if self.listener and not self.model.is_up(now):
            self.close()
            self.listener = None
        elif not self.listener and self.model.is_up(now):
            self.listener = Listener(self.loop, self.address, self._accept)

    def complete_calls(self, ended: list[str]) -> None:
        """Answer calls that the model has ended."""
        for call in ended:
            if released := self._release(call):
                client, body = released
                client.connection.write(line_protocol.encode_message(call, "OK", block=response_to(body)))

    def break_connections(self) -> None:
        """Close all connections: the calls on them are given up."""
        for client in list(self._clients):
            client.connection.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.listener:
            self.listener.close()
        self.break_connections()
