"""A virtual machine: its clock, the selector of its event loop, and the sockets that its process holds.

``VirtualMachine`` implements ``transport.system.System`` on a ``VirtualNetwork``. Must not depend on what the
event loop runs.
"""

from __future__ import annotations

import errno
import math
from collections.abc import Callable
from typing import Any, NamedTuple

from spindlerelay.testbed.models.disk import SimulatedDisk
from spindlerelay.testbed.simulation.virtual_network import START_MS, Address, VirtualNetwork
from spindlerelay.testbed.simulation.virtual_sockets import VirtualDatagramSocket, VirtualStream


class _SelectorKey(NamedTuple):
    data: Any


class VirtualSelector:
    """Level-triggered, like the kernel's; looks only at sockets whose state has changed."""

    def __init__(self) -> None:
        self.interrupted = False  # the next wait returns nothing, as the kernel's does after SIGCONT
        self._registered: dict[Any, tuple[int, Any]] = {}
        self._changed: dict[Any, None] = {}

    def register(self, sock: Any, mask: int, handler: Any) -> None:
        """Watch a socket. Raises KeyError if it is watched already."""
        if sock in self._registered:
            raise KeyError("registered already")
        self._registered[sock] = (mask, handler)
        self._changed[sock] = None

    def modify(self, sock: Any, mask: int, handler: Any) -> None:
        """Change what a watched socket is watched for. Raises KeyError if it is not watched."""
        if sock not in self._registered:
            raise KeyError("not registered")
        self._registered[sock] = (mask, handler)
        self._changed[sock] = None

    def unregister(self, sock: Any) -> None:
        """Stop watching a socket. Raises KeyError if it is not watched."""
        del self._registered[sock]
        self._changed.pop(sock, None)

    def mark_changed(self, sock: Any) -> bool:
        """Look at a socket again in the next ``select``. Returns whether it is watched."""
        if sock not in self._registered:
            return False
        self._changed[sock] = None
        return True

    def select(self, timeout: float | None) -> list[tuple[_SelectorKey, int]]:
        """Return the ready sockets' handlers with the events; never waits."""
        ready: list[tuple[_SelectorKey, int]] = []
        if self.interrupted:
            self.interrupted = False
            return ready
        for sock in list(self._changed):
            mask, handler = self._registered[sock]
            if events := sock.ready_events() & mask:
                ready.append((_SelectorKey(handler), events))
            else:
                del self._changed[sock]
        return ready

    def has_ready(self) -> bool:
        """Return whether ``select`` would find a ready socket."""
        return any(sock.ready_events() & self._registered[sock][0] for sock in self._changed)


class VirtualMachine:
    """One machine: a clock with a skew, the open sockets of its process, and the event loop that it turns."""

    def __init__(self, network: VirtualNetwork, name: str, skew_ms: float = 0.0) -> None:
        self.network = network
        self.name = name
        self.skew_ms = skew_ms
        self.sockets: dict[VirtualStream | VirtualDatagramSocket, None] = {}
        self.paused = False
        self.ended = False
        self._turn_loop: Callable[[], float | None] | None = None
        self._selector = VirtualSelector()
        self._wake_at_ms = math.inf

    # transport.system.System

    def disk(self) -> SimulatedDisk:
        """Return the machine's disk, which outlives its processes."""
        return self.network.disk(self.name)

    def unix_time_ms(self) -> float:
        """Return the machine's wall clock in Unix ms, skew included."""
        return self.network.now_ms + self.skew_ms

    def monotonic_ms(self) -> float:
        """Return the monotonic clock in ms."""
        return self.network.now_ms - START_MS

    def selector(self) -> VirtualSelector:
        """Return the selector of the machine's only event loop."""
        return self._selector

    def stream_socket(self) -> VirtualStream:
        """Return a new stream socket."""
        return VirtualStream(self)

    def listening_socket(self, address: Address) -> VirtualStream:
        """Return a listening socket. Raises OSError if the address is in use."""
        listener = VirtualStream(self)
        listener.bind(address)
        return listener

    def inherited_socket(self, descriptor: int) -> VirtualStream:
        """Raise OSError: a virtual machine inherits no descriptors."""
        raise OSError(errno.EBADF, "no socket is handed down in the world")

    def datagram_socket(self, address: Address | None = None) -> VirtualDatagramSocket:
        """Return a datagram socket, bound if an address is given."""
        return VirtualDatagramSocket(self, address)

    # Control by the simulation

    def run(self, turn_loop: Callable[[], float | None]) -> None:
        """Start the process. ``turn_loop`` returns when its next timer is due on this clock, in ms."""
        self._turn_loop = turn_loop
        self.wake()

    def wake(self) -> None:
        """Let the event loop turn at this instant, unless the process is paused or over."""
        if not self.paused and not self.ended and self._turn_loop:
            self.network.runnable[self] = None

    def notify_changed(self, sock: VirtualStream | VirtualDatagramSocket) -> None:
        """Wake the event loop if it watches the socket, whose readiness has changed."""
        if self._selector.mark_changed(sock):
            self.wake()

    def turn(self) -> None:
        """Turn the event loop once and schedule its next timer."""
        if self.paused or self.ended or not self._turn_loop:
            return
        due_ms = self._turn_loop()
        if self.ended:
            return
        if self._selector.has_ready():
            self.wake()
        if due_ms is not None and due_ms - self.skew_ms < self._wake_at_ms:
            self._wake_at_ms = due_ms - self.skew_ms
            self.network.schedule(self._wake_at_ms, self._timer_due)

    def _timer_due(self) -> None:
        if self.network.now_ms >= self._wake_at_ms:
            self._wake_at_ms = math.inf
        self.wake()

    def set_paused(self, paused: bool) -> None:
        """Stop the process as SIGSTOP does, or continue it."""
        self.paused = paused
        self._selector.interrupted = not paused
        self.wake()

    def advance_clock(self, by_ms: float) -> None:
        """Set the machine's wall clock ahead."""
        self.skew_ms += by_ms
        self.wake()

    def end_process(self, kill: bool = False) -> None:
        """Close all sockets of the process; a kill resets those with unread data."""
        self.ended = True
        if self.name in self.network.disks:
            self.network.disks[self.name].end_process()
        self.network.runnable.pop(self, None)
        for sock in list(self.sockets):
            sock.close(kill)
