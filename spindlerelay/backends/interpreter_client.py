"""The persistent connection to the interpreter.

The connection may break at any time while runs continue. Notices are numbered, so on a new connection the
interpreter replays the notices that were not read. Commands are not numbered, so a command is stored until it
is known to have been read. Once the replay on a new connection is complete, the commands without such proof
are sent again, but only those that have no effect if they were executed before.

The response of a dependency call does not name the call that it belongs to. If it was read before the
connection broke, the run may reach its next call at any time, and would take the repeated response for that
of the next call. It is therefore never sent twice, and ``on_unconfirmed`` is called instead. The same holds
for the start of a run that must not run twice: if it was read, the run may end at any time.

Owns the connection and the replay. Must not depend on what the node does with a notice.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from loguru import logger

from spindlerelay.backends import interpreter_protocol as protocol
from spindlerelay.backends.interpreter_commands import UnacknowledgedCommands
from spindlerelay.backends.interpreter_protocol import (
    CallRequested,
    CommandRejected,
    GaugesReported,
    InterpreterStarted,
    Notice,
    RunFinished,
    TraceNotice,
    block_length,
    decode,
)
from spindlerelay.transport.backoff import Backoff
from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.line_protocol import LineDecoder, LineProtocolError
from spindlerelay.transport.timer_wheel import Timer

RECONNECT_INITIAL_MS = 20.0
RECONNECT_MAX_MS = 500.0
REPLAY_PROBE_INTERVAL_MS = 200.0
SILENCE_TIMEOUT_MS = 1500.0  # gauges are requested several times per second
STARTUP_SILENCE_TIMEOUT_MS = 10000.0  # an interpreter that starts late delays its first banner
CONFIRMATION_TIMEOUT_MS = 1000.0  # connections to an address that has moved are closed 0.5 s later
# Jitter, as a fraction of the timeout: nodes that started together must not reconnect at the same time.
STARTUP_TIMEOUT_JITTER = 0.5
SILENCE_CHECKS_PER_TIMEOUT = 4


class LinkState(Enum):
    """The state of the connection to the interpreter."""

    DISCONNECTED = "disconnected"
    CONNECTING = "connecting"
    REPLAYING = "replaying"
    SYNCHRONIZED = "synchronized"
    CONFIRMING = "confirming"  # the address has changed; commands wait until those sent are known to be read


TRANSITIONS: dict[LinkState, frozenset[LinkState]] = {
    LinkState.DISCONNECTED: frozenset({LinkState.CONNECTING}),
    LinkState.CONNECTING: frozenset({LinkState.CONNECTING, LinkState.REPLAYING, LinkState.DISCONNECTED}),
    LinkState.REPLAYING: frozenset({LinkState.SYNCHRONIZED, LinkState.CONNECTING, LinkState.DISCONNECTED}),
    LinkState.SYNCHRONIZED: frozenset({LinkState.CONNECTING, LinkState.DISCONNECTED, LinkState.CONFIRMING}),
    LinkState.CONFIRMING: frozenset({LinkState.CONNECTING, LinkState.DISCONNECTED}),
}


class InterpreterClient:
    """The client of the interpreter.

    Commands may be given at any time. The interpreter executes each command once, except those that were lost
    with a connection and must not be sent twice.

    Args:
        loop: event loop of the connection.
        address: host and port of the interpreter.
        on_notice: called with every notice about a run once, in order.
        on_started: called with each banner.
        on_unconfirmed: called with the call id of a run if it is not known whether a command about it was
            executed, and the command must not be sent again.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        on_notice: Callable[[RunFinished | CallRequested | CommandRejected], None],
        on_started: Callable[[InterpreterStarted], None],
        on_unconfirmed: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_notice = on_notice
        self.on_started = on_started
        self.on_unconfirmed = on_unconfirmed
        self.gauges: tuple[float, ...] = ()
        self.gauges_tag = ""  # tag of the newest gauges
        self.interpreter_has_started = False  # a banner has arrived since this process started
        self.interpreter_started_at_ms = 0.0  # Unix time of the interpreter's own start, from its banner
        self._state = LinkState.DISCONNECTED
        self._unsynchronized_since_ms = self.loop.now()
        self._connection: Connection | None = None
        self._connection_number = 0
        self._decoder = LineDecoder(block_length)
        self._backoff = Backoff(RECONNECT_INITIAL_MS, RECONNECT_MAX_MS, loop.random)
        self._last_sequence_number = 0  # sequence number of the newest notice that was read
        self._commands = UnacknowledgedCommands()
        self._replay_probe_tag = ""
        self._replay_probe_timer: Timer | None = None
        self._reconnect_timer: Timer | None = None
        self._confirmation_tag = ""
        self._confirmation_timer: Timer | None = None
        self._last_data_at_ms = 0.0
        jitter = 1.0 + STARTUP_TIMEOUT_JITTER * loop.random.random()
        self._startup_timeout_ms = STARTUP_SILENCE_TIMEOUT_MS * jitter
        self._connect()
        loop.call_later(SILENCE_TIMEOUT_MS / SILENCE_CHECKS_PER_TIMEOUT, self._check_silence)

    def change_address(self, address: tuple[str, int]) -> None:
        """Connect to another address; notices and commands continue as after a lost connection.

        The old connection is kept until the commands sent on it are known to have been read, since not all
        of them may be sent again.
        """
        self.address = address
        self._backoff.reset()
        if self._state is LinkState.SYNCHRONIZED and self._commands:
            self._confirmation_tag = self.request_gauges()
            self._lose_synchronization(LinkState.CONFIRMING)
            self._confirmation_timer = self.loop.call_later(CONFIRMATION_TIMEOUT_MS, self._connect)
        elif self._state is not LinkState.CONFIRMING:
            self._connect()

    def unavailable_ms(self) -> float:
        """Return for how long the connection has not been synchronized, or 0 while it is synchronized."""
        if self._state is LinkState.SYNCHRONIZED:
            return 0.0
        return self.loop.now() - self._unsynchronized_since_ms

    def start_run(self, call_id: str, class_name: str, body: bytes, repeatable: bool) -> None:
        """Start the run of a request; ``repeatable`` says whether the request may run more than once."""
        self._send(call_id, protocol.encode_start_run(call_id, class_name, body), repeatable)

    def deliver_call_response(self, call_id: str, response: bytes) -> None:
        """Deliver the response of a run's dependency call."""
        self._send(call_id, protocol.encode_call_response(call_id, response), repeatable=False)

    def skip_call(self, call_id: str, sequence_number: int) -> None:
        """Continue a run without the dependency call that a notice has requested."""
        self._send(call_id, protocol.encode_skip_call(call_id, sequence_number))

    def cancel_run(self, call_id: str) -> None:
        """Cancel a run as the settings of the interpreter specify; a notice reports the end of the run."""
        self._send(call_id, protocol.encode_cancel_run(call_id))

    def request_gauges(self) -> str:
        """Request the gauges and return the tag of the response, or "" while not synchronized."""
        if self._state is not LinkState.SYNCHRONIZED or not self._connection:
            return ""
        # The tag has the number of the newest command: a response proves that all commands up to it were
        # read.
        tag = f"t{self._connection_number}-{self._commands.last_number}"
        self._connection.write(protocol.encode_gauges_request(tag))
        return tag

    def _send(self, call_id: str, data: bytes, repeatable: bool = True) -> None:
        self._commands.add(call_id, data, repeatable)
        if self._state is LinkState.SYNCHRONIZED and self._connection:
            self._connection.write(data)
            self._commands.mark_written()

    def _connect(self) -> None:
        """Replace the connection; late callbacks of the old one are recognized by its number."""
        self._connection_number += 1
        number = self._connection_number
        previous = self._connection
        if self._reconnect_timer:
            self._reconnect_timer.cancel()
        if self._replay_probe_timer:
            self._replay_probe_timer.cancel()
        if self._confirmation_timer:
            self._confirmation_timer.cancel()
        self._decoder = LineDecoder(block_length)
        self._lose_synchronization(LinkState.CONNECTING)
        self._replay_probe_tag = f"t{number}-sync"
        self._last_data_at_ms = self.loop.now()
        self._connection = connect(
            self.loop,
            self.address,
            self._on_data,
            lambda established: self._on_close(number, established),
            self._on_open,
        )
        if previous:
            previous.close()

    def _lose_synchronization(self, state: LinkState) -> None:
        if self._state is LinkState.SYNCHRONIZED:
            self._unsynchronized_since_ms = self.loop.now()
        self._enter(state)

    def _enter(self, state: LinkState) -> None:
        assert state in TRANSITIONS[self._state], (self._state, state)
        self._state = state

    def _check_silence(self) -> None:
        """Replace a connection on which no data has arrived for the timeout."""
        self.loop.call_later(SILENCE_TIMEOUT_MS / SILENCE_CHECKS_PER_TIMEOUT, self._check_silence)
        timeout_ms = SILENCE_TIMEOUT_MS if self.interpreter_has_started else self._startup_timeout_ms
        if self._connection and self.loop.now() - self._last_data_at_ms > timeout_ms:
            self.loop.warnings.warn("interpreter connection silent", "reconnecting")
            self._connect()

    def _on_open(self) -> None:
        assert self._connection
        self._enter(LinkState.REPLAYING)
        self._connection.write(protocol.encode_connect(self._last_sequence_number))

    def _on_close(self, number: int, established: bool) -> None:
        if number != self._connection_number:
            return
        self._connection = None
        self._lose_synchronization(LinkState.DISCONNECTED)
        if self._replay_probe_timer:
            self._replay_probe_timer.cancel()
        if self._confirmation_timer:
            self._confirmation_timer.cancel()
        if established:
            self.loop.warnings.warn("interpreter connection lost", "runs continue, reconnecting")
        self._reconnect_timer = self.loop.call_later(self._backoff.next_delay_ms(), self._connect)

    def _on_data(self, data: bytes) -> None:
        self._last_data_at_ms = self.loop.now()
        try:
            for words, block in self._decoder.feed(data):
                self._on_message(decode(words, block))
        except LineProtocolError as error:
            self.loop.warnings.warn("malformed line from the interpreter", str(error))
            if self._connection:
                self._connection.close()

    def _on_message(self, notice: Notice) -> None:
        match notice:
            case InterpreterStarted():
                self._on_banner(notice)
            case GaugesReported():
                self._on_gauges(notice)
            case CommandRejected():
                self._commands.acknowledge_request(notice.call_id)
                self.on_notice(notice)
            case _:
                self._on_numbered_notice(notice)

    def _on_banner(self, banner: InterpreterStarted) -> None:
        logger.info("interpreter up: {} {:.0f} ms ago", banner.state, banner.uptime_ms)
        self.interpreter_has_started = True
        self.interpreter_started_at_ms = self.loop.now() - banner.uptime_ms
        self._probe_replay()
        self.on_started(banner)

    def _probe_replay(self) -> None:
        """Request gauges, whose response marks the end of the replay; repeat until the response arrives.

        The first request must follow the banner, since an interpreter that starts late drops all earlier
        input.
        """
        if self._connection and self._state is not LinkState.SYNCHRONIZED:
            self._connection.write(protocol.encode_gauges_request(self._replay_probe_tag))
            self._replay_probe_timer = self.loop.call_later(REPLAY_PROBE_INTERVAL_MS, self._probe_replay)

    def _on_numbered_notice(self, notice: RunFinished | CallRequested | TraceNotice) -> None:
        if notice.sequence_number <= self._last_sequence_number:
            return  # a replay may repeat notices that were read
        if notice.sequence_number > self._last_sequence_number + 1:
            # The notices in between were lost with an older connection; only another replay delivers them.
            raise LineProtocolError(
                f"notice {notice.sequence_number} follows notice {self._last_sequence_number}"
            )
        self._last_sequence_number = notice.sequence_number
        if not isinstance(notice, TraceNotice):
            self._commands.acknowledge_request(notice.call_id)
            self.on_notice(notice)

    def _on_gauges(self, report: GaugesReported) -> None:
        self.gauges = report.gauges
        self.gauges_tag = report.tag
        if report.tag == self._replay_probe_tag and self._state is not LinkState.SYNCHRONIZED:
            self._on_replay_complete()
            return
        connection, _, command_number = report.tag.partition("-")
        is_current = connection == f"t{self._connection_number}"
        if is_current and command_number.isdigit() and self._commands:
            self._commands.acknowledge_up_to(int(command_number))
        if self._state is LinkState.CONFIRMING and report.tag == self._confirmation_tag:
            self._connect()

    def _on_replay_complete(self) -> None:
        """Send the commands without proof that they were read, except those that must not be repeated."""
        assert self._connection
        self._enter(LinkState.SYNCHRONIZED)
        self._backoff.reset()  # not at the banner, as a malformed line in the replay would recur
        unconfirmed = self._commands.remove_unrepeatable()
        for command in self._commands:
            self._connection.write(command.data)
        self._commands.mark_written()
        for command in unconfirmed:
            self.loop.warnings.warn("command to the interpreter unconfirmed", command.call_id)
            self.on_unconfirmed(command.call_id)
