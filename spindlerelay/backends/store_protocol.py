"""Codec of the shared store's protocol. Pure; only this module contains the verbs of the protocol."""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay.api import Outcome
from spindlerelay.transport import line_protocol
from spindlerelay.transport.line_protocol import LineProtocolError

MAX_QUOTED_LINE = 60  # characters of a malformed line that an error quotes
MIN_TIMEOUT_MS = 1
REPLY_WORDS = 2
REPLY_WORDS_WITH_BODY = 3
OUTCOMES = {
    "OK": Outcome.OK,
    "BUSY": Outcome.OVERLOADED,
    "ERR": Outcome.ERROR,
    "LATE": Outcome.TIMEOUT,
    "VOID": Outcome.NEVER_STARTED,
}


class StoreReply(NamedTuple):
    """The outcome of a call; the body is empty unless the outcome is OK."""

    call_id: str
    outcome: Outcome
    body: bytes


def block_length(words: list[str]) -> int | None:
    """Return the length of the block that follows a line, or None if no block follows."""
    if len(words) == REPLY_WORDS_WITH_BODY and words[1] == "OK":
        return line_protocol.parse_length(words[-1])
    return None


def decode(words: list[str], block: bytes) -> StoreReply:
    """Return the reply in a line and its block.

    Raises:
        LineProtocolError: the line is not a valid reply.
    """
    expected_words = REPLY_WORDS_WITH_BODY if words[1:2] == ["OK"] else REPLY_WORDS
    if len(words) != expected_words or words[1] not in OUTCOMES:
        raise LineProtocolError(f"invalid reply: {' '.join(words)[:MAX_QUOTED_LINE]!r}")
    return StoreReply(words[0], OUTCOMES[words[1]], block)


def encode_call(call_id: str, timeout_ms: float, body: bytes) -> bytes:
    """Return the command that makes a call; the timeout is rounded to whole ms."""
    return line_protocol.encode_message("CALL", call_id, max(MIN_TIMEOUT_MS, round(timeout_ms)), block=body)


def encode_cancel(call_id: str) -> bytes:
    """Return the command that cancels a call."""
    return line_protocol.encode_message("DROP", call_id)
