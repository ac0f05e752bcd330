"""The number of bytes to read at once from a peer, so that a turn handles a bounded number of its messages.

Pure: no sockets. Without a bound on messages, one read of very short ones would delay all other peers.
"""

from __future__ import annotations

from spindlerelay.transport.connection import MAX_READ_BYTES

MAX_MESSAGES_PER_READ = 64  # twice the requests that may be open on a connection
MIN_READ_BYTES = 256
INITIAL_READ_BYTES = 1024  # a new connection may turn out to send nothing but short messages


class ReadLimit:
    """Adapts the size of reads to the length of the peer's messages.

    Attributes:
        read_bytes: the most bytes to read at once.
    """

    def __init__(self) -> None:
        self.read_bytes = INITIAL_READ_BYTES

    def update(self, received_bytes: int, message_count: int) -> None:
        """Take account of a read and of the number of messages that it completed."""
        if message_count > MAX_MESSAGES_PER_READ:
            self.read_bytes = max(MIN_READ_BYTES, received_bytes * MAX_MESSAGES_PER_READ // message_count)
        elif received_bytes >= self.read_bytes and 2 * message_count <= MAX_MESSAGES_PER_READ:
            self.read_bytes = min(MAX_READ_BYTES, 2 * self.read_bytes)
