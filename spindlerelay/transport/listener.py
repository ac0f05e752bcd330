"""Listening sockets. A listener owns its descriptor until it is closed.

A listener does not know the protocol of its connections; the receiver of ``on_accept`` owns their sockets.
"""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from spindlerelay.transport.system import Socket

if TYPE_CHECKING:
    from spindlerelay.transport.event_loop import EventLoop

MAX_ACCEPTS_PER_TURN = 64
ACCEPT_PAUSE_MS = 100.0
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})


class Listener:
    """Accepts connections and passes their sockets to ``on_accept``.

    While the listener is paused, new connections wait in the kernel's accept queue. ``inherited`` is a
    listening descriptor that the parent process opened. It is shared with the previous and the next process
    of the node, and closing it here closes only this process's copy.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        on_accept: Callable[[Socket], None],
        inherited: int | None = None,
    ) -> None:
        self.loop = loop
        self.on_accept = on_accept
        self.sock = (
            loop.system.listening_socket(address)
            if inherited is None
            else loop.system.inherited_socket(inherited)
        )
        self.open = True
        self.paused = False
        loop.register(self.sock, selectors.EVENT_READ, self)

    def on_ready(self, mask: int) -> None:
        """Accept waiting connections, up to the limit per turn."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.paused or not self._accept():
                return

    def set_paused(self, paused: bool) -> None:
        """Pause or resume accepting."""
        if not self.open or paused == self.paused:
            return
        self.paused = paused
        if paused:
            self.loop.unregister(self.sock)
        else:
            self.loop.register(self.sock, selectors.EVENT_READ, self)

    def accept_waiting_and_close(self, max_connections: int) -> None:
        """Accept up to ``max_connections`` waiting connections, then close; also while paused.

        Closing the socket resets the connections that still wait in the kernel's accept queue. No code may
        run between the last accept and the close, since a connection that arrives in between is reset, too.
        """
        self.loop.unregister(self.sock)
        for _ in range(max_connections):
            if not self._accept():
                break
        self.sock.close()
        self.open = False

    def close(self) -> None:
        """Close the socket. Further calls have no effect."""
        if self.open:
            self.open = False
            self.loop.unregister(self.sock)
            self.sock.close()

    def on_handler_error(self) -> None:
        """Pause accepting for a moment after ``on_accept`` raised an exception."""
        self._pause()

    def _accept(self) -> bool:
        """Accept once; return whether another connection may be waiting."""
        if not self.open:
            return False
        try:
            sock, _ = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in RESOURCE_ERRORS:
                self.loop.warnings.warn("cannot accept", str(error))
                self._pause()  # the waiting connection keeps the socket ready, so the loop would spin
                return False
            return error.errno == errno.ECONNABORTED  # the peer left; the next one in the queue may not have
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_accept(sock)
        return True

    def _pause(self) -> None:
        self.set_paused(True)
        self.loop.call_later(ACCEPT_PAUSE_MS, lambda: self.set_paused(False))
