"""The endpoint list for balancers, from the announce service or from the Consul catalogue.

This module owns the announce service's socket and detects changes of the list; the caller distributes the
list.
"""

from __future__ import annotations

import selectors
from typing import NamedTuple

from spindlerelay.testbed.cluster.spec import LOOPBACK, SERVICE
from spindlerelay.testbed.models.catalogue import ConsulCatalogue
from spindlerelay.testbed.models.discovery_list import DelayedDiscoveryList
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import System

MAX_REPORT_BYTES = 200
DEFAULT_WEIGHT = 100


class AnnounceReceiver:
    """Receives the nodes' load reports as datagrams and passes them to the announce service's list.

    Attributes:
        received_at: arrival time of each report in ms of the event loop's clock.
        address: address of the socket.
    """

    def __init__(self, loop: EventLoop, system: System, announced_list: DelayedDiscoveryList) -> None:
        self.received_at: list[float] = []
        self._loop = loop
        self._announced_list = announced_list
        self._sock = system.datagram_socket(LOOPBACK)
        self.address: tuple[str, int] = self._sock.getsockname()
        loop.register(self._sock, selectors.EVENT_READ, self)

    def on_ready(self, mask: int) -> None:
        """Read every datagram that has arrived."""
        now = self._loop.now()
        try:
            while True:
                self._announced_list.receive_report(now, self._sock.recv(MAX_REPORT_BYTES))
                self.received_at.append(now)
        except BlockingIOError:
            pass

    def on_handler_error(self) -> None:
        """Keep the socket open after an error in ``on_ready``; only ``close`` closes it."""

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


class ListedEndpoint(NamedTuple):
    """One endpoint of the list that balancers receive."""

    name: str
    status: str
    weight: int


class WeightChange(NamedTuple):
    """A node's new weight in the catalogue. ``at`` is in ms of the event loop's clock."""

    at: float
    node: str
    weight: int


class CatalogueObserver:
    """Reads the endpoints of the catalogue and records every weight change."""

    def __init__(self, catalogue: ConsulCatalogue) -> None:
        self.endpoints: list[ListedEndpoint] = []
        self.weight_changes: list[WeightChange] = []
        self._catalogue = catalogue
        self._index = 0

    def observe(self, now: float) -> None:
        """Read the catalogue if its index has changed, as a blocking query would."""
        index = self._catalogue.service_index.get(SERVICE, 0)
        if index == self._index:
            return
        self._index = index
        previous_weights = {endpoint.name: endpoint.weight for endpoint in self.endpoints}
        self.endpoints = []
        statuses = self._catalogue.instance_states()
        for service in self._catalogue.services.values():
            status = statuses[service.id]
            # Most clients ignore critical instances and their weights.
            weight = service.weights[status == "warning"]
            status = "critical" if status == "maintenance" else status
            self.endpoints.append(ListedEndpoint(service.id, status, weight))
            if previous_weights.get(service.id) != weight:
                self.weight_changes.append(WeightChange(now, service.id, weight))


def announced_endpoints(announced_list: DelayedDiscoveryList, now: float) -> list[ListedEndpoint]:
    """Return the endpoints of the announce service, which has neither status nor weight."""
    return [
        ListedEndpoint(name, "passing", DEFAULT_WEIGHT) for name in sorted(announced_list.visible_nodes(now))
    ]
