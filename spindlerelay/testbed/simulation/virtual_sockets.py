"""Stream and datagram sockets on a virtual network, as far as ``transport`` uses ``socket.socket``.

Owns delivery: segments, delays, resets and ends of streams, loss of datagrams. Must not depend on the
protocols above.
"""

from __future__ import annotations

import errno
import selectors
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from spindlerelay.testbed.simulation.virtual_network import Address, Direction

if TYPE_CHECKING:
    from spindlerelay.testbed.simulation.virtual_machine import VirtualMachine

SEND_WINDOW_BYTES = 65_536  # sent and not yet read; more waits at its sender
LOOPBACK = "127.0.0.1"


class VirtualStream:
    """A stream socket, listening or connected."""

    def __init__(self, machine: VirtualMachine) -> None:
        self.machine = machine
        self.network = machine.network
        self.address: Address = (LOOPBACK, 0)
        self.service_port = 0  # the port of the listening side, the same on both ends
        self.peer: VirtualStream | None = None
        self.accept_queue: deque[VirtualStream] = deque()
        self.listening = False
        self.connected = False
        self.end_received = False
        self.closed = False
        self.write_ended = False
        self.half_open = False  # the peer is gone and this end has not noticed
        self.error = 0  # an errno
        self._received: deque[bytes] = deque()
        self._unread_by_peer_bytes = 0
        self._last_arrival_ms = 0.0  # of the segments sent so far: none overtakes another
        machine.sockets[self] = None

    def __repr__(self) -> str:
        return f"{self.machine.name}:{self.address[1]}"

    def setblocking(self, on: bool) -> None:
        """Do nothing: a virtual socket never blocks."""

    def setsockopt(self, *options: Any) -> None:
        """Do nothing: a virtual socket has no options."""

    def getsockname(self) -> Address:
        """Return the local address."""
        return self.address

    def getsockopt(self, level: int, name: int) -> int:
        """Return the pending error, whichever option is read."""
        return self.error

    def ready_events(self) -> int:
        """Return the selector events that are ready."""
        readable = (
            bool(self._received or self.accept_queue)
            or self.end_received
            or (self.connected and bool(self.error))
        )
        writable = bool(self.error) or (self.connected and self._unread_by_peer_bytes < SEND_WINDOW_BYTES)
        return selectors.EVENT_READ * readable | selectors.EVENT_WRITE * writable

    def _notify(self) -> None:
        self.machine.notify_changed(self)

    def _direction_to(self, other: VirtualMachine | None) -> Direction:
        return Direction(self.machine.name, other.name if other else "", self.service_port)

    # Listening and connecting

    def bind(self, address: Address) -> None:
        """Listen at an address; port 0 takes a free one. Raises OSError if it is in use."""
        self.address = address if address[1] else (address[0], self.network.allocate_port())
        if self.address in self.network.listeners:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        self.listening = True
        self.network.listeners[self.address] = self

    def accept(self) -> tuple[VirtualStream, Address]:
        """Return the next connection with its address. Raises BlockingIOError if none waits."""
        if not self.accept_queue:
            raise BlockingIOError
        accepted = self.accept_queue.popleft()
        return accepted, accepted.address

    def connect_ex(self, address: Address) -> int:
        """Begin to connect and return EINPROGRESS; the result shows as readiness and ``error``."""
        self.address = (LOOPBACK, self.network.allocate_port())
        self.service_port = address[1]
        target = self.network.listeners.get(address)
        direction = self._direction_to(target.machine if target else None)
        self.network.schedule(self.network.arrival_ms(direction), lambda: self._reach_listener(address))
        return errno.EINPROGRESS

    def _reach_listener(self, address: Address) -> None:
        listener = self.network.listeners.get(address)
        if self.closed:
            return
        if listener is None:
            self.network.record_event(f"{self!r} refused at {address[1]}")
            self._fail(errno.ECONNREFUSED)
            return
        direction = self._direction_to(listener.machine)
        if self.network.resetting_until_ms.get(direction, 0.0) > self.network.now_ms:
            self.network.record_event(f"{self!r} reset at {address[1]}")
            self._fail(errno.ECONNRESET)
            return
        other = VirtualStream(listener.machine)
        other.address = address
        other.service_port = self.service_port
        other.peer = self
        other.connected = True
        self.peer = other
        listener.accept_queue.append(other)
        listener._notify()
        self.network.record_event(f"{self!r} connects to {listener!r}")
        confirmed_ms = self.network.arrival_ms(other._direction_to(self.machine))
        self.network.schedule(confirmed_ms, self._confirm_connected)

    def _confirm_connected(self) -> None:
        if not self.closed and not self.error:
            self.connected = True
            self._notify()

    def _fail(self, error: int) -> None:
        self.error = error
        self._notify()

    # Data

    def send(self, data: bytes | bytearray) -> int:
        """Return how many bytes were taken. Raises as ``socket.send`` does on a full window or an error."""
        peer = self._writable_peer()
        if self.half_open:
            return len(data)
        window_bytes = SEND_WINDOW_BYTES - self._unread_by_peer_bytes
        if window_bytes <= 0:
            raise BlockingIOError
        taken = bytes(data[:window_bytes])
        self._unread_by_peer_bytes += len(taken)
        for segment in self._segments(taken):
            self._deliver_in_order(lambda segment=segment: peer._arrive(segment), len(segment))  # type: ignore[misc]
        return len(taken)

    def _writable_peer(self) -> VirtualStream:
        if self.error:
            raise ConnectionResetError(self.error, "reset")
        if not self.connected or self.peer is None or self.write_ended:
            raise BrokenPipeError(errno.EPIPE, "Broken pipe")
        return self.peer

    def _segments(self, data: bytes) -> list[bytes]:
        """Cut the data at random bytes."""
        segments = [data]
        rng = self.network.random
        probability = self.network.condition.segment_split_probability
        while len(segments[-1]) > 1 and rng.random() < probability:
            last = segments.pop()
            cut = rng.randrange(1, len(last))
            segments += [last[:cut], last[cut:]]
        return segments

    def _deliver_in_order(self, action: Callable[[], None], size_bytes: int = 0) -> None:
        assert self.peer
        direction = self._direction_to(self.peer.machine)
        self._last_arrival_ms = max(self._last_arrival_ms, self.network.arrival_ms(direction))
        if self.network.impairments:
            self._last_arrival_ms += size_bytes / self.network.bytes_per_ms(direction)
        self.network.schedule(self._last_arrival_ms, action)

    def _arrive(self, data: bytes) -> None:
        if self.closed or self.machine.ended:
            self._reset_peer_later()
            return
        if self.error:
            return
        self.network.record_event(f"{self!r} +{len(data)}")
        self._received.append(data)
        self._notify()

    def recv(self, size: int) -> bytes:
        """Return up to ``size`` bytes, empty at the end. Raises as ``socket.recv`` does."""
        if self._received:
            data = self._received.popleft()
            if len(data) > size:
                self._received.appendleft(data[size:])
                data = data[:size]
            if self.peer:
                self.peer._unread_by_peer_bytes -= len(data)
                self.peer._notify()
            return data
        if self.error:
            raise ConnectionResetError(self.error, "reset")
        if self.end_received:
            return b""
        raise BlockingIOError

    # End of the connection

    def shutdown(self, how: int) -> None:
        """End the sending direction; a shutdown for reading does nothing."""
        if how not in (socket.SHUT_WR, socket.SHUT_RDWR):
            return
        if self.peer and not self.write_ended and not self.error:
            self.write_ended = True
            self._deliver_in_order(self.peer._arrive_end)

    def _arrive_end(self) -> None:
        if not self.closed:
            self.network.record_event(f"{self!r} ended")
            self.end_received = True
            self._notify()

    def _reset_peer_later(self) -> None:
        peer = self.peer
        if peer and not peer.closed and not peer.error:
            self.network.schedule(self.network.arrival_ms(self._direction_to(peer.machine)), peer._reset)

    def make_half_open(self) -> None:
        """Reset the peer's end; this end does not notice until ``notice_lost_peer``."""
        if self.peer and self.connected and not self.error:
            self.half_open = True
            self.peer._reset()

    def notice_lost_peer(self) -> None:
        """Reset this end if it is half open."""
        if self.half_open:
            self.half_open = False
            self._reset()

    def reset(self) -> None:
        """Reset both ends at this instant."""
        self._reset()
        if self.peer:
            self.peer._reset()

    def _reset(self) -> None:
        if not self.closed and not self.error:
            self.network.record_event(f"{self!r} reset")
            self.error = errno.ECONNRESET
            self._received.clear()
            self._notify()

    def close(self, kill: bool = False) -> None:
        """Close the socket. Unread data, or ``kill``, resets the peer, as the kernel does."""
        if self.closed:
            return
        self.closed = True
        self.machine.sockets.pop(self, None)
        if self.listening:
            if self.network.listeners.get(self.address) is self:
                del self.network.listeners[self.address]
            for pending in self.accept_queue:
                pending.close(True)
            return
        if self.peer is None or self.error:
            return
        if self._received or kill:
            self._reset_peer_later()
        elif not self.write_ended:
            self.write_ended = True
            self._deliver_in_order(self.peer._arrive_end)


class VirtualDatagramSocket:
    """A datagram socket; bound if it has an address."""

    def __init__(self, machine: VirtualMachine, address: Address | None) -> None:
        self.machine = machine
        self.network = machine.network
        self.address: Address = (LOOPBACK, 0)
        self._received: deque[bytes] = deque()
        machine.sockets[self] = None
        if address:
            self.address = address if address[1] else (address[0], self.network.allocate_port())
            self.network.datagram_sockets[self.address] = self

    def getsockname(self) -> Address:
        """Return the local address."""
        return self.address

    def ready_events(self) -> int:
        """Return the selector events that are ready; a datagram can always be sent."""
        return selectors.EVENT_READ * bool(self._received) | selectors.EVENT_WRITE

    def sendto(self, data: bytes, address: Address) -> int:
        """Send a datagram and return its size, whether or not it will arrive."""
        network = self.network
        target = network.datagram_sockets.get(address)
        if target is None or network.random.random() < network.condition.datagram_loss_probability:
            return len(data)
        direction = Direction(self.machine.name, target.machine.name)
        loss_probability = network.datagram_loss.get(direction, 0.0)
        if loss_probability and network.random.random() < loss_probability:
            return len(data)
        if network.blocked_until_ms.get(direction, 0.0) <= network.now_ms:  # else lost: nothing resends it
            network.schedule(network.arrival_ms(direction), lambda: target._arrive(data))
        return len(data)

    def _arrive(self, data: bytes) -> None:
        self.network.record_event(f"{self.machine.name} datagram {len(data)}")
        self._received.append(data)
        self.machine.notify_changed(self)

    def recv(self, size: int) -> bytes:
        """Return the next datagram, cut to ``size``. Raises BlockingIOError if none is there."""
        if not self._received:
            raise BlockingIOError
        return self._received.popleft()[:size]

    def close(self, kill: bool = False) -> None:
        """Close the socket and release its address."""
        self.machine.sockets.pop(self, None)
        if self.network.datagram_sockets.get(self.address) is self:
            del self.network.datagram_sockets[self.address]
