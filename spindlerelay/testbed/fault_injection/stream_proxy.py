"""Proxy for the stream connections of one link of a node.

For every accepted connection, the proxy dials the target and forwards the bytes of both directions through a
``ByteChannel`` per direction. The proxy owns the listener and both sockets of every connection.
"""

from __future__ import annotations

import enum
import socket
import struct

from spindlerelay.testbed.fault_injection.link_direction import ActiveConditions, ByteChannel
from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

Address = tuple[str, int]
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s, so that close() resets
NO_RESET = -1


def _reset(connection: Connection) -> None:
    """Close a connection so that its peer sees a reset, and drop its buffered output."""
    if connection.open:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        connection.close()


class End(enum.Enum):
    """The two sockets of a proxied connection."""

    ACCEPTED = enum.auto()
    DIALLED = enum.auto()


class ProxiedConnection:
    """One connection through a proxy, with its accepted and its dialled socket."""

    def __init__(self, proxy: StreamProxy, sock: Socket) -> None:
        now = proxy.loop.now()
        self.bytes_until_reset = NO_RESET
        self._proxy = proxy
        self._to_target = ByteChannel(proxy.conditions_to_target, now)
        self._from_target = ByteChannel(proxy.conditions_from_target, now)
        self._half_open: End | None = None  # the end that has not been notified that the other end is closed
        self._accepted = Connection(proxy.loop, sock, self._forward, self._accepted_closed)
        self._dialled = connect(
            proxy.loop, proxy.target, self._forward_reply, self._dialled_closed, lambda: None
        )

    def _forward(self, data: bytes) -> None:
        self._forward_through(self._to_target, self._dialled, data)

    def _forward_reply(self, data: bytes) -> None:
        self._forward_through(self._from_target, self._accepted, data)

    def _forward_through(self, channel: ByteChannel, receiver: Connection, data: bytes) -> None:
        if self._half_open is not None:  # the network loses bytes that are written to a closed end
            return
        self._deliver(receiver, channel.send(self._proxy.loop.now(), data))

    def _deliver(self, receiver: Connection, data: bytes) -> None:
        if self.bytes_until_reset >= 0:
            data = data[: self.bytes_until_reset]
            self.bytes_until_reset -= len(data)
        if data:
            receiver.write(data)
        if not self.bytes_until_reset:
            receiver.flush()
            self.reset()

    def tick(self, now: float) -> None:
        """Deliver the bytes that are due by ``now``."""
        for channel, receiver in (
            (self._to_target, self._dialled),
            (self._from_target, self._accepted),
        ):
            if channel.buffered_bytes:
                self._deliver(receiver, channel.receive_due(now))
        self._close_if_finished()

    def reset(self) -> None:
        """Reset both ends immediately."""
        self._half_open = None
        _reset(self._accepted)
        _reset(self._dialled)

    def half_open(self, remaining: End) -> None:
        """Close the end opposite to ``remaining`` without notifying ``remaining``."""
        self._half_open = remaining
        self._to_target.receive_due(float("inf"))
        (self._dialled if remaining is End.ACCEPTED else self._accepted).close()

    def close_half_open(self) -> None:
        """Notify the remaining end of a half-open connection that the other end is closed."""
        if self._half_open is not None:
            self.reset()

    def close(self) -> None:
        """Close both ends."""
        self._accepted.close()
        self._dialled.close()

    def _accepted_closed(self, opened: bool) -> None:
        self._close_if_finished()

    def _dialled_closed(self, opened: bool) -> None:
        if not opened and self._half_open is None:
            _reset(self._accepted)  # the target refused the connection
        self._close_if_finished()

    def _close_if_finished(self) -> None:
        """After one end has closed, close the other end once all bytes of the closed end are delivered."""
        if self._half_open is None:
            self._propagate_close(self._accepted, self._to_target, self._dialled)
            self._propagate_close(self._dialled, self._from_target, self._accepted)
        if not (self._accepted.open or self._dialled.open):
            self._proxy.connections.pop(self, None)

    @staticmethod
    def _propagate_close(closed: Connection, channel: ByteChannel, other: Connection) -> None:
        if not closed.open and other.open and not channel.buffered_bytes:
            other.flush()
            if not other.output_buffer or other.connecting:
                other.close()


class StreamProxy:
    """A listening address whose connections are forwarded to ``target``.

    ``inward`` is True if the node is the target, and False if the node dials the proxy.
    """

    def __init__(self, loop: EventLoop, address: Address, target: Address, inward: bool) -> None:
        self.loop = loop
        self.target = target
        self.inward = inward
        self.inward_conditions = ActiveConditions()  # conditions of bytes to the node
        self.outward_conditions = ActiveConditions()  # conditions of bytes from the node
        self.conditions_to_target = self.inward_conditions if inward else self.outward_conditions
        self.conditions_from_target = self.outward_conditions if inward else self.inward_conditions
        self.connections: dict[ProxiedConnection, None] = {}
        self.refused_at: list[float] = []  # arrival times of refused connections
        self._refusals_active = 0
        self._listener = Listener(loop, address, self._accept)
        self.address: Address = self._listener.sock.getsockname()

    def _accept(self, sock: Socket) -> None:
        if self._refusals_active:
            self.refused_at.append(self.loop.now())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
            return
        self.connections[ProxiedConnection(self, sock)] = None

    def tick(self, now: float) -> None:
        """Deliver the bytes that are due by ``now``."""
        for connection in list(self.connections):
            connection.tick(now)

    def reset(self, after_bytes: float) -> None:
        """Reset every connection after ``after_bytes`` more bytes, or immediately if that is below 1."""
        for connection in list(self.connections):
            if after_bytes >= 1.0:
                connection.bytes_until_reset = int(after_bytes)
            else:
                connection.reset()

    def refuse(self, active: bool) -> None:
        """Begin or end one fault that resets all existing and new connections."""
        self._refusals_active += 1 if active else -1
        if active:
            self.reset(0.0)

    def half_open(self, direction: str) -> None:
        """Close one end of every connection without notifying the other end.

        For direction ``out``, the ends of the node stay open; for all other directions, the opposite ends.
        """
        remaining = End.ACCEPTED if (direction != "out") == self.inward else End.DIALLED
        for connection in list(self.connections):
            connection.half_open(remaining)

    def close_half_open(self) -> None:
        """Notify the remaining ends of half-open connections that the other ends are closed."""
        for connection in list(self.connections):
            connection.close_half_open()

    def close(self) -> None:
        """Close the listener and every connection."""
        self._listener.close()
        for connection in list(self.connections):
            connection.close()
