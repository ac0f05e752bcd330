"""Proxy for the datagrams of one link, which delivers, delays or drops every datagram.

The proxy owns one socket. It decides which datagrams to drop by the active conditions and the source address.
"""

from __future__ import annotations

import random
import selectors
from collections.abc import Callable
from functools import partial

from spindlerelay.testbed.fault_injection.link_direction import ActiveConditions
from spindlerelay.transport.event_loop import EventLoop

Address = tuple[str, int]
LOOPBACK = ("127.0.0.1", 0)
MAX_DATAGRAM_BYTES = 4096


class DatagramProxy:
    """Proxy for datagrams from a node to one target, or from other nodes to a node.

    With the default ``listen_address``, the proxy carries the outward datagrams of a node; with any other
    address, the inward ones. If ``is_source_denied`` is set, datagrams from source addresses for which it
    returns True are dropped, too.
    """

    def __init__(
        self, loop: EventLoop, target: Address, rng: random.Random, listen_address: Address = LOOPBACK
    ) -> None:
        self.loop = loop
        self.target = target
        self.inward_conditions = ActiveConditions()
        self.outward_conditions = ActiveConditions()
        self.is_source_denied: Callable[[str, int], bool] | None = None
        self._rng = rng
        self._conditions = self.outward_conditions if listen_address == LOOPBACK else self.inward_conditions
        self._sock = loop.system.datagram_socket(listen_address)
        self.address: Address = self._sock.getsockname()
        loop.register(self._sock, selectors.EVENT_READ, self)

    def on_ready(self, mask: int) -> None:
        """Read and forward every datagram that has arrived."""
        try:
            while True:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                condition = self._conditions.combined
                if self.is_source_denied is not None and self.is_source_denied(*source):
                    continue
                if condition.blocked or (
                    condition.drop_probability and self._rng.random() < condition.drop_probability
                ):
                    continue
                if condition.delay_ms:
                    self.loop.call_later(condition.delay_ms, partial(self._send, data))
                else:
                    self._send(data)
        except BlockingIOError:
            pass

    def _send(self, data: bytes) -> None:
        self._sock.sendto(data, self.target)

    def on_handler_error(self) -> None:
        """Ignore the event loop's error notice, since only ``close`` closes the socket."""

    def tick(self, now: float) -> None:
        """Do nothing, since timers send the delayed datagrams."""

    def close(self) -> None:
        """Close the socket."""
        self.loop.unregister(self._sock)
        self._sock.close()
