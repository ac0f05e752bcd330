"""Proxies for the links of a node pool, by node and link, and the active faults of the links.

A link that is not affected by the schedule has no proxy: its node uses the address of the target.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from spindlerelay.testbed.fault_injection.datagram_proxy import LOOPBACK, Address, DatagramProxy
from spindlerelay.testbed.fault_injection.fault_schedule import MEMBERSHIP_LINK, Fault
from spindlerelay.testbed.fault_injection.link_direction import ActiveConditions, LinkCondition
from spindlerelay.testbed.fault_injection.stream_proxy import StreamProxy
from spindlerelay.transport.event_loop import EventLoop

DATAGRAM_LINKS = ("announce", MEMBERSHIP_LINK)
MIN_BYTES_PER_S = 1.0


def _condition(fault: Fault) -> LinkCondition | None:
    """Return the fault's condition on a link's data, or None if the fault affects whole connections."""
    match fault.kind:
        case "cut":
            return LinkCondition(blocked=True)
        case "drop":
            return LinkCondition(drop_probability=fault.magnitude)
        case "delay":
            return LinkCondition(delay_ms=fault.magnitude)
        case "limit":
            return LinkCondition(bytes_per_s=max(MIN_BYTES_PER_S, fault.magnitude))
    return None


class LinkProxies:
    """The proxies of one pool. ``set_proxied_links`` selects the links that have a proxy."""

    def __init__(self, loop: EventLoop, allocate_port: Callable[[], int]) -> None:
        self.loop = loop
        self.proxied_links: frozenset[tuple[str, str]] = frozenset()
        self.proxies: dict[tuple[str, str], StreamProxy | DatagramProxy] = {}
        self._allocate_port = allocate_port
        self._last_fault_number = 0
        self._end_by_fault: dict[int, Callable[[], None]] = {}

    def set_proxied_links(self, links: frozenset[tuple[str, str]]) -> None:
        """Use proxies for these links, as pairs of node and link, of nodes that start from now on."""
        self.proxied_links = links

    def address(self, node: str, link: str, target: Address, listen_address: Address = LOOPBACK) -> Address:
        """Return the address of the link's proxy, or ``target`` if the link has no proxy.

        ``listen_address`` is the address to which other nodes send datagrams for the node.
        """
        if (node, link) not in self.proxied_links:
            return target
        proxy = self.proxies.get((node, link))
        if proxy is None:
            proxy = self.proxies[node, link] = self._open(node, link, target, listen_address)
        proxy.target = target
        return proxy.address

    def _open(
        self, node: str, link: str, target: Address, listen_address: Address
    ) -> StreamProxy | DatagramProxy:
        if link in DATAGRAM_LINKS:
            return DatagramProxy(self.loop, target, random.Random(f"{node} {link}"), listen_address)
        return StreamProxy(self.loop, ("127.0.0.1", self._allocate_port()), target, link == "balancers")

    def tick(self, now: float) -> None:
        """Deliver the bytes that are due by ``now``, in ms on the event loop's clock."""
        for proxy in self.proxies.values():
            proxy.tick(now)

    def begin_fault(self, node: str, fault: Fault) -> int:
        """Begin a fault on a node's link; return the number to pass to ``end_fault``.

        Raises:
            KeyError: If the link has no proxy.
        """
        proxy = self.proxies[node, fault.link]
        self._last_fault_number += 1
        number = self._last_fault_number
        if condition := _condition(fault):
            affected = self._affected_directions(proxy, fault.direction)
            for conditions in affected:
                conditions.begin(number, condition)
            self._end_by_fault[number] = partial(self._end_conditions, affected, number)
        elif isinstance(proxy, StreamProxy):
            self._end_by_fault[number] = self._begin_on_connections(proxy, fault)
        return number

    @staticmethod
    def _affected_directions(proxy: StreamProxy | DatagramProxy, direction: str) -> list[ActiveConditions]:
        inward = [proxy.inward_conditions] if direction != "out" else []
        outward = [proxy.outward_conditions] if direction != "in" else []
        return inward + outward

    @staticmethod
    def _end_conditions(affected: list[ActiveConditions], number: int) -> None:
        for conditions in affected:
            conditions.end(number)

    @staticmethod
    def _begin_on_connections(proxy: StreamProxy, fault: Fault) -> Callable[[], None]:
        match fault.kind:
            case "reset":
                proxy.reset(fault.magnitude)
            case "refuse":
                proxy.refuse(True)
                return partial(proxy.refuse, False)
            case "half_open":
                proxy.half_open(fault.direction)
                return proxy.close_half_open
        return lambda: None

    def reset_pending(self, node: str, link: str) -> bool:
        """Return whether a reset is pending on a connection of the link."""
        proxy = self.proxies.get((node, link))
        return isinstance(proxy, StreamProxy) and any(
            connection.bytes_until_reset > 0 for connection in proxy.connections
        )

    def refused_at(self) -> list[float]:
        """Return the arrival times of refused connections, in ms on the event loop's clock."""
        streams = [proxy for proxy in self.proxies.values() if isinstance(proxy, StreamProxy)]
        return [at for proxy in streams for at in proxy.refused_at]

    def partition(self, is_source_denied: Callable[[str, int], bool] | None, nodes: list[str]) -> None:
        """Drop membership datagrams to these nodes from source addresses that ``is_source_denied`` selects.

        None ends the partition.
        """
        for name in nodes:
            proxy = self.proxies.get((name, MEMBERSHIP_LINK))
            if isinstance(proxy, DatagramProxy):
                proxy.is_source_denied = is_source_denied

    def end_fault(self, number: int) -> None:
        """End the fault with this number; do nothing if it has ended already."""
        if end := self._end_by_fault.pop(number, None):
            end()

    def close(self) -> None:
        """Close all proxies and their connections."""
        for proxy in self.proxies.values():
            proxy.close()
