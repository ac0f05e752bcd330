"""The emulated interpreter of one node on a socket: the interpreter's line protocol for a machine model."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from spindlerelay.testbed.models.machine import Machine
from spindlerelay.transport import line_protocol
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

MAX_REPLAYED_NOTICES = 4000  # number of stored notices that the protocol requires


def block_length(words: list[str]) -> int | None:
    """Return the length in bytes of the block that follows a command line, or None if no block follows."""
    if (words[0], len(words)) in (("APPLY", 4), ("RESOLVE", 3)):
        return line_protocol.parse_length(words[-1])
    return None


class EmulatedInterpreter:
    """An interpreter that serves one node at a time.

    ``on_apply(call_id, class_name, body)`` is called when the node starts a run.
    ``on_resume(call_id, reply)`` is called when the node resumes a run that waits for a dependency call; a
    reply of None skips the call. Notices are numbered, stored and replayed to a node that reconnects.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        on_apply: Callable[[str, str, bytes], None],
        on_resume: Callable[[str, bytes | None], None],
    ) -> None:
        self._loop = loop
        self._on_apply = on_apply
        self._on_resume = on_resume
        self.machine: Machine | None = None
        self.connected = False  # whether the current node process has sent CONNECT
        # Emulates an interpreter that is still starting: it accepts connections, but sends no banner.
        self.banner_delayed = False
        self._acknowledged_number = 0  # number of the last notice that the node had read when it connected
        self._notices: deque[tuple[int, bytes]] = deque(maxlen=MAX_REPLAYED_NOTICES)
        self._last_number = 0
        self._requested_calls: dict[str, int] = {}  # number of the notice that a run waits with, by call id
        self._connection: Connection | None = None
        self._decoder = line_protocol.LineDecoder(block_length)
        self.listener = Listener(loop, address, self._accept)
        self.address: tuple[str, int] = self.listener.sock.getsockname()

    def restart(self, machine: Machine | None) -> None:
        """Discard all state for a new node process with this machine, or stop if ``machine`` is None."""
        self.machine = machine
        self.connected = False
        self._notices.clear()
        self._last_number = 0
        self._requested_calls.clear()
        self.break_connection()

    def break_connection(self) -> None:
        """Close the connection; runs continue, and notices are stored for the next connection."""
        connection = self._connection
        self._connection = None
        if connection:
            connection.close()

    def _accept(self, sock: Socket) -> None:
        previous_connection = self._connection
        self._decoder = line_protocol.LineDecoder(block_length)
        connection = Connection(self._loop, sock, lambda data: self._data(connection, data), lambda _: None)
        self._connection = connection
        if previous_connection:
            previous_connection.close()

    def _data(self, connection: Connection, data: bytes) -> None:
        if connection is not self._connection:
            return
        try:
            for words, block in self._decoder.feed(data):
                self._handle_command(words, block)
        except line_protocol.LineProtocolError:
            connection.close()

    def _handle_command(self, words: list[str], block: bytes) -> None:
        machine = self.machine
        if machine is None:
            return
        match words:
            case ["CONNECT", acknowledged_number]:
                self.connected = True
                self._acknowledged_number = int(acknowledged_number)
                if not self.banner_delayed:
                    self._send_banner(machine)
            case _ if self.banner_delayed:
                return  # an interpreter that is still starting ignores commands
            case ["TOP", tag]:
                self._write(
                    line_protocol.encode_message("TOPS", tag, *(f"{gauge:.4f}" for gauge in machine.gauges()))
                )
            case ["APPLY", call_id, class_name, _]:
                self._on_apply(call_id, class_name, block)
            case ["RESOLVE", call_id, _]:
                self._resume(call_id, block)
            case ["STUB", call_id, number]:
                if self._requested_calls.get(call_id) == int(number):
                    self._resume(call_id, None)
            case _:
                raise line_protocol.LineProtocolError(f"unknown command: {words!r}")

    def _resume(self, call_id: str, reply: bytes | None) -> None:
        self._requested_calls.pop(call_id, None)
        self._on_resume(call_id, reply)

    def release_banner(self) -> None:
        """End the emulated start-up, and send the banner if the node is waiting for it."""
        self.banner_delayed = False
        if self.connected and self.machine:
            self._send_banner(self.machine)

    def _send_banner(self, machine: Machine) -> None:
        uptime_ms = round(self._loop.now() - machine.started_at)
        self._write(line_protocol.encode_message("BANNER", "running", uptime_ms))
        for number, data in self._notices:
            if number > self._acknowledged_number:
                self._write(data)

    def _write(self, data: bytes) -> None:
        if self._connection:
            self._connection.write(data)

    def _notify(self, verb: str, *words: object, block: bytes) -> None:
        self._last_number += 1
        data = line_protocol.encode_message(verb, self._last_number, *words, block=block)
        self._notices.append((self._last_number, data))
        self._write(data)

    def send_run_ended(self, call_id: str, outcome: str, duration_ms: float, result: bytes) -> None:
        """Notify the node that a run has ended, with its outcome, duration and result."""
        self._requested_calls.pop(call_id, None)
        self._notify("VALUE", call_id, outcome, f"{duration_ms:.1f}", block=result)

    def send_run_waiting(self, call_id: str, body: bytes) -> None:
        """Notify the node that a run waits for a dependency call with the request body ``body``."""
        self._notify("AWAIT", call_id, block=body)
        self._requested_calls[call_id] = self._last_number

    def close(self) -> None:
        """Close the connection and the listener."""
        self.restart(None)
        self.listener.close()
