"""Codec of the interpreter's protocol: decodes notices and encodes commands.

Pure. Only this module contains the verbs of the protocol; other modules use the typed notices and the
encoders.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from spindlerelay.transport import line_protocol
from spindlerelay.transport.line_protocol import LineProtocolError

MAX_NUMBER_DIGITS = 18
MAX_QUOTED_WORD = 20  # characters of a malformed word that an error quotes
MAX_QUOTED_LINE = 60  # characters of a malformed line that an error quotes
RUN_FINISHED_WORDS = 6
CALL_REQUESTED_WORDS = 4


class RunEnd(StrEnum):
    """How a run ended; the values are words of the protocol."""

    COMPLETED = "fine"
    FAILED = "fault"
    INTERRUPTED = "broken_off"
    TIMED_OUT = "late"


RUN_ENDS: dict[str, RunEnd] = {end.value: end for end in RunEnd}


class InterpreterStarted(NamedTuple):
    """The interpreter has accepted a connection and reports its state and its uptime."""

    state: str
    uptime_ms: float


class RunFinished(NamedTuple):
    """A run has ended; ``end`` is a value of ``RunEnd``."""

    sequence_number: int
    call_id: str
    end: str
    duration_ms: float
    result: bytes


class CallRequested(NamedTuple):
    """A run waits for a dependency call with the request body ``body``."""

    sequence_number: int
    call_id: str
    body: bytes


class GaugesReported(NamedTuple):
    """The response to the gauges request with this tag."""

    tag: str
    gauges: tuple[float, ...]


class CommandRejected(NamedTuple):
    """The interpreter has rejected a command; ``command`` is the verb in the protocol."""

    command: str
    call_id: str


class TraceNotice(NamedTuple):
    """A numbered notice that the node ignores, apart from its number."""

    sequence_number: int


Notice = InterpreterStarted | RunFinished | CallRequested | GaugesReported | CommandRejected | TraceNotice


def block_length(words: list[str]) -> int | None:
    """Return the length of the block that follows a line, or None if no block follows."""
    if words[0] == "VALUE" and len(words) == RUN_FINISHED_WORDS:
        return line_protocol.parse_length(words[-1])
    if words[0] == "AWAIT" and len(words) == CALL_REQUESTED_WORDS:
        return line_protocol.parse_length(words[-1])
    return None


def decode(words: list[str], block: bytes) -> Notice:
    """Return the notice in a line and its block.

    Raises:
        LineProtocolError: the line is not a valid notice.
    """
    match words:
        case ["VALUE", sequence_number, call_id, end, duration_ms, _]:
            return RunFinished(_integer(sequence_number), call_id, _run_end(end), _number(duration_ms), block)
        case ["AWAIT", sequence_number, call_id, _]:
            return CallRequested(_integer(sequence_number), call_id, block)
        case ["TOPS", tag, *gauges]:
            return GaugesReported(tag, tuple(map(_number, gauges)))
        case ["BANNER", state, uptime_ms]:
            return InterpreterStarted(state, _number(uptime_ms))
        case ["ERROR", command, call_id]:
            return CommandRejected(command, call_id)
        case ["ERROR", command]:
            return CommandRejected(command, "")
        case ["TRACE", sequence_number, *_]:
            return TraceNotice(_integer(sequence_number))
    raise LineProtocolError(f"invalid notice: {' '.join(words)[:MAX_QUOTED_LINE]!r}")


def encode_connect(last_sequence_number: int) -> bytes:
    """Return the command that opens a connection and requests all notices after a sequence number."""
    return line_protocol.encode_message("CONNECT", last_sequence_number)


def encode_start_run(call_id: str, class_name: str, body: bytes) -> bytes:
    """Return the command that starts a run."""
    return line_protocol.encode_message("APPLY", call_id, class_name, block=body)


def encode_call_response(call_id: str, response: bytes) -> bytes:
    """Return the command that delivers the response of a run's dependency call."""
    return line_protocol.encode_message("RESOLVE", call_id, block=response)


def encode_skip_call(call_id: str, sequence_number: int) -> bytes:
    """Return the command that continues a run without the call that a notice has requested."""
    return line_protocol.encode_message("STUB", call_id, sequence_number)


def encode_cancel_run(call_id: str) -> bytes:
    """Return the command that cancels a run."""
    return line_protocol.encode_message("BREAK", call_id)


def encode_gauges_request(tag: str) -> bytes:
    """Return the command that requests the gauges; the response carries ``tag``."""
    return line_protocol.encode_message("TOP", tag)


def _integer(word: str) -> int:
    if not word.isascii() or not word.isdigit() or len(word) > MAX_NUMBER_DIGITS:
        raise LineProtocolError(f"invalid integer {word[:MAX_QUOTED_WORD]!r}: expected 1 to 18 digits")
    return int(word)


def _number(word: str) -> float:
    try:
        value = float(word)
    except ValueError:
        raise LineProtocolError(f"invalid number {word[:MAX_QUOTED_WORD]!r}: expected a decimal") from None
    if not 0.0 <= value < float("inf"):
        raise LineProtocolError(f"invalid number {word[:MAX_QUOTED_WORD]!r}: expected 0 or more, finite")
    return value


def _run_end(word: str) -> RunEnd:
    end = RUN_ENDS.get(word)
    if end is None:
        raise LineProtocolError(f"unknown end of a run: {word[:MAX_QUOTED_WORD]!r}")
    return end
