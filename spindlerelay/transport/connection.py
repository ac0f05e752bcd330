"""Non-blocking stream connections with an output buffer.

A connection owns its socket from construction to ``close`` and does not know the protocol that uses it. The
event loop is passed in; this module imports its type for type checking only.
"""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from spindlerelay.transport.system import Socket

if TYPE_CHECKING:
    from spindlerelay.transport.event_loop import EventLoop

MAX_READ_BYTES = 16384  # limit per connection and turn, so that one peer cannot starve other peers
OUTPUT_HIGH_WATERMARK_BYTES = 16384  # reading pauses while more bytes than this are unsent
MAX_FINAL_READS = 8  # in the final read before a shutdown; 32 complete requests need fewer reads


def _ignore(_: object) -> None:
    """Do nothing; replaces the callbacks of a closed connection."""


class Connection:
    """A non-blocking stream socket with an output buffer.

    Each direction of the stream ends separately (half-close). Closing a socket with unread input resets the
    connection, and the peer loses the output that it has not read yet. To avoid that, call ``end_output`` and
    read on until the peer ends its direction.

    Args:
        loop: event loop that watches the socket.
        sock: non-blocking stream socket, owned by the connection from now on.
        on_data: called with the bytes of each read.
        on_close: called exactly once; its argument says whether the connection had been established.
        on_open: called when the connection is established; pass it only if that has not happened yet.
        on_peer_end: called when the peer ends its direction; returns whether the peer still expects a
            response. If it returns True, output is sent until this side ends its direction, too. If it
            returns False or is missing, the connection closes.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: Socket,
        on_data: Callable[[bytes], None],
        on_close: Callable[[bool], None],
        on_open: Callable[[], None] | None = None,
        on_peer_end: Callable[[], bool] | None = None,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_data = on_data
        self.on_close = on_close
        self.on_open = on_open
        self.on_peer_end = on_peer_end
        self.max_read_bytes = MAX_READ_BYTES  # limit for one turn; the owner may lower it
        self.output_buffer = bytearray()  # bytes queued, not sent yet
        self.open = True
        self.read_side_open = True  # the peer has not ended its direction
        self.write_side_open = True  # this side has not ended its direction
        self.connecting = on_open is not None
        self._mask = selectors.EVENT_WRITE if self.connecting else selectors.EVENT_READ
        loop.register(sock, self._mask, self)

    def write(self, data: bytes) -> None:
        """Queue ``data``; all output of a turn to one peer is sent together at the end of the turn."""
        if self.open and self.write_side_open:
            self.output_buffer += data
            self.loop.schedule_flush(self)

    def end_output(self) -> None:
        """End this side's direction once all output is sent; the peer's end closes the connection."""
        if self.open and self.write_side_open:
            self.write_side_open = False
            self.flush()

    def read_available(self) -> None:
        """Read the data that arrived since this turn began, as the final read before a shutdown."""
        for _ in range(MAX_FINAL_READS):
            if not self.open or not self.read_side_open or self.connecting or not self._read(MAX_READ_BYTES):
                return

    def was_reset(self) -> bool:
        """Return whether the peer has reset the connection; the selector reports that only while reading."""
        return self.open and self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def output_lost(self) -> bool:
        """Return whether output can no longer arrive, since the peer has reset the connection.

        Only meaningful before ``end_output``. Data that the peer sent before its reset may still be read.
        """
        return not self.write_side_open or self.was_reset()

    def close(self) -> None:
        """Close the socket, drop unsent output, and call ``on_close``. Further calls have no effect."""
        if not self.open:
            return
        self.open = False
        self.loop.unregister(self.sock)
        self.sock.close()
        self.output_buffer.clear()
        on_close = self.on_close
        # Break the reference cycle with the owner, which otherwise only the garbage collector would free.
        self.on_data = _ignore
        self.on_close = _ignore
        self.on_open = None
        self.on_peer_end = None
        on_close(not self.connecting)

    def on_handler_error(self) -> None:
        """Close after a handler raised an exception."""
        self.close()

    def on_ready(self, mask: int) -> None:
        """Read and write as far as the selector reported the socket ready."""
        if not self.open:  # closed by the handler of another descriptor in this turn
            return
        if self.connecting:
            self._finish_connecting()
            return
        if mask & selectors.EVENT_READ and self.open and self.read_side_open:
            self._read(self.max_read_bytes)
        if mask & selectors.EVENT_WRITE and self.open:
            self.flush()

    def flush(self) -> None:
        """Send as much output as the peer accepts, and end this side's direction after the last byte."""
        if not self.open or self.connecting:
            return
        if self.output_buffer:
            try:
                sent = self.sock.send(self.output_buffer)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._abandon_output()
                return
            del self.output_buffer[:sent]
        if not self.write_side_open and not self.output_buffer:
            if not self.read_side_open:  # both sides have ended
                self.close()
                return
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self._update_mask()

    def _finish_connecting(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close()
            return
        self.connecting = False
        self._update_mask()
        if self.on_open:
            self.on_open()

    def _read(self, max_bytes: int) -> bool:
        """Read once; return whether any data arrived."""
        try:
            data = self.sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.close()
            return False
        if data:
            self.on_data(data)
        elif (
            (self.write_side_open or self.output_buffer)
            and self.on_peer_end is not None
            and self.on_peer_end()
        ):
            self.read_side_open = False
            self._update_mask()
        else:
            self.close()
        return bool(data)

    def _abandon_output(self) -> None:
        """Drop the output that the peer no longer accepts, and keep reading.

        Data that the peer sent before its reset may still be unread. The connection closes at the end of the
        peer's stream.
        """
        if not self.read_side_open:
            self.close()
            return
        self.write_side_open = False
        self.output_buffer.clear()
        self._update_mask()

    def _update_mask(self) -> None:
        if not self.open or self.connecting:
            return
        # Backpressure: stop reading from a peer that does not read its responses.
        may_read = self.read_side_open and len(self.output_buffer) <= OUTPUT_HIGH_WATERMARK_BYTES
        mask = selectors.EVENT_READ if may_read else 0
        mask |= selectors.EVENT_WRITE if self.output_buffer else 0
        if mask == self._mask:
            return
        if not mask:
            self.loop.unregister(self.sock)
        elif not self._mask:
            self.loop.register(self.sock, mask, self)
        else:
            self.loop.modify(self.sock, mask, self)
        self._mask = mask


def connect(
    loop: EventLoop,
    address: tuple[str, int],
    on_data: Callable[[bytes], None],
    on_close: Callable[[bool], None],
    on_open: Callable[[], None],
) -> Connection:
    """Return a connection that is being established; a failure calls ``on_close(False)`` in a later turn."""
    sock = loop.system.stream_socket()
    connection = Connection(loop, sock, on_data, on_close, on_open)
    try:
        failed = sock.connect_ex(address) not in (0, errno.EINPROGRESS)
    except OSError:
        failed = True
    if failed:
        loop.call_later(0.0, connection.close)
    return connection
