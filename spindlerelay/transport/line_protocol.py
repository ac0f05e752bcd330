"""Line framing shared by the protocols of interpreter and store: words separated by spaces, ended by CR LF.

The last word of a line may be a length; then a block of that many bytes and another CR LF follow. This module
implements only the framing, does no I/O, and knows no commands of the protocols above it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from spindlerelay.errors import SpindlerelayError

MAX_LINE_BYTES = 1024  # including CR LF
MAX_BLOCK_BYTES = 1 << 16
MAX_LENGTH_DIGITS = 8
MAX_QUOTED_CHARACTERS = 20  # length to which an error text cuts a malformed word
LINE_END = b"\r\n"


class LineProtocolError(SpindlerelayError):
    """The peer violated the protocol; the connection must be dropped."""


def parse_length(word: str) -> int:
    """Return the block length that ``word`` gives.

    Raises:
        LineProtocolError: The word is no number or exceeds ``MAX_BLOCK_BYTES``.
    """
    is_number = word.isascii() and word.isdigit() and len(word) <= MAX_LENGTH_DIGITS
    if not is_number or int(word) > MAX_BLOCK_BYTES:
        raise LineProtocolError(f"bad length {word[:MAX_QUOTED_CHARACTERS]!r}")
    return int(word)


class LineDecoder:
    """Splits a byte stream into messages: the words of a line, and its block.

    ``block_length`` returns the length of the block that follows a line with the given words, or None if no
    block follows.
    """

    def __init__(self, block_length: Callable[[list[str]], int | None]) -> None:
        self._block_length = block_length
        self._buffer = bytearray()
        self._pending_words: list[str] | None = None  # words of a line whose block is not complete
        self._pending_length = 0

    @property
    def is_mid_message(self) -> bool:
        """Whether a message has begun and is not complete."""
        return bool(self._buffer) or self._pending_words is not None

    def feed(self, data: bytes) -> Iterator[tuple[list[str], bytes]]:
        """Yield all complete messages as pairs of words and block.

        The messages before a malformed one are yielded first; then LineProtocolError is raised.
        """
        self._buffer += data
        while (message := self._next_message()) is not None:
            yield message

    def _next_message(self) -> tuple[list[str], bytes] | None:
        if self._pending_words is None:
            words = self._next_line()
            if words is None:
                return None
            block_length = self._block_length(words)
            if block_length is None:
                return words, b""
            self._pending_words = words
            self._pending_length = block_length
        block_end = self._pending_length
        message_end = block_end + len(LINE_END)
        if len(self._buffer) < message_end:
            return None
        block = bytes(self._buffer[:block_end])
        if self._buffer[block_end:message_end] != LINE_END:
            raise LineProtocolError("a block does not end where its length says")
        del self._buffer[:message_end]
        words = self._pending_words
        self._pending_words = None
        return words, block

    def _next_line(self) -> list[str] | None:
        end = self._buffer.find(LINE_END, 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise LineProtocolError("a line is too long")
            return None
        try:
            words = self._buffer[:end].decode().split(" ")
        except UnicodeDecodeError:
            raise LineProtocolError("a line is not text") from None
        del self._buffer[: end + len(LINE_END)]
        return words


def encode_message(*words: object, block: bytes | None = None) -> bytes:
    """Return the bytes of one message; if there is a block, its length is the last word of the line."""
    head = " ".join(map(str, words)).encode()
    return head + LINE_END if block is None else b"%b %d\r\n%b\r\n" % (head, len(block), block)
