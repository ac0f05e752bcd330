"""Interface to one machine: clocks, selector, sockets and disk, as the event loop uses them.

``HostSystem`` is the machine that this process runs on; ``spindlerelay.testbed.simulation`` implements a
virtual machine. All sockets are non-blocking, and those of both implementations raise the errors of the
kernel's sockets: BlockingIOError and other OSErrors.
"""

from __future__ import annotations

import selectors
import socket
import time
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from spindlerelay.transport.disk import Disk

LISTEN_BACKLOG = 1024

Socket = Any  # a socket.socket or a substitute with the same methods


def unix_time_ms() -> float:
    """Return the Unix time in ms, the clock of the timestamps that balancers put on requests."""
    return time.time() * 1000.0


def monotonic_ms() -> float:
    """Return the time in ms of a monotonic clock that all processes of the machine share."""
    return time.monotonic() * 1000.0


class Selector(Protocol):
    """The operations of a selector that the event loop needs."""

    def register(self, sock: Socket, mask: int, handler: Any) -> Any:
        """Report the events of ``mask`` on a socket, with ``handler`` as the key's data."""
        ...

    def modify(self, sock: Socket, mask: int, handler: Any) -> Any:
        """Change the events and the data of a registered socket."""
        ...

    def unregister(self, sock: Socket) -> Any:
        """Stop reporting on a socket; KeyError if it is not registered."""
        ...

    def select(self, timeout: float | None) -> Any:
        """Wait up to ``timeout`` seconds, or without limit if it is None; return pairs of key and events."""
        ...


class System(Protocol):
    """Clocks, network and disk of one machine."""

    def unix_time_ms(self) -> float:
        """Return the Unix time in ms."""
        ...

    def monotonic_ms(self) -> float:
        """Return the time in ms of a monotonic clock, which is meaningful only for time spans."""
        ...

    def selector(self) -> Selector:
        """Return a new selector."""
        ...

    def stream_socket(self) -> Socket:
        """Return a stream socket that is not connected yet."""
        ...

    def listening_socket(self, address: tuple[str, int]) -> Socket:
        """Return a stream socket that listens at the address."""
        ...

    def inherited_socket(self, descriptor: int) -> Socket:
        """Return the listening socket of an inherited descriptor."""
        ...

    def datagram_socket(self, address: tuple[str, int] | None = None) -> Socket:
        """Return a datagram socket, bound to the address if one is given."""
        ...

    def disk(self) -> Disk:
        """Return the machine's disk."""
        ...


class HostSystem:
    """The machine that this process runs on."""

    def unix_time_ms(self) -> float:
        """Return the Unix time in ms."""
        return unix_time_ms()

    def monotonic_ms(self) -> float:
        """Return the time in ms of the monotonic clock."""
        return monotonic_ms()

    def selector(self) -> Selector:
        """Return the platform's most efficient selector."""
        return selectors.DefaultSelector()

    def stream_socket(self) -> Socket:
        """Return an IPv4 stream socket that is not connected yet, without Nagle's algorithm."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def listening_socket(self, address: tuple[str, int]) -> Socket:
        """Return an IPv4 stream socket that listens at the address; OSError if it cannot be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
        return sock

    def inherited_socket(self, descriptor: int) -> Socket:
        """Return the listening socket of a descriptor that the parent process opened."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        return sock

    def datagram_socket(self, address: tuple[str, int] | None = None) -> Socket:
        """Return an IPv4 datagram socket, bound to the address if one is given."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if address:
            sock.bind(address)
        sock.setblocking(False)
        return sock

    def disk(self) -> Disk:
        """Return the file system of this machine."""
        # Imported here, so that only a node that stores data loads the module.
        from spindlerelay.transport.disk import HOST_DISK

        return HOST_DISK


HOST_SYSTEM = HostSystem()
