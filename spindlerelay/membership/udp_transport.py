"""Membership on the event loop: one UDP socket, a periodic step, and updates of the node's own report.

The transport owns the socket. The failure detector decides the status of members, and the load weight
controller decides the weight. A rejected datagram is counted by its reason and gets no response.
"""

from __future__ import annotations

import contextlib
import selectors
from enum import StrEnum
from typing import NamedTuple, Protocol

from loguru import logger

from spindlerelay.api import Settings
from spindlerelay.membership.actions import Action, SendMessage
from spindlerelay.membership.failure_detector import STEP_INTERVAL_MS, FailureDetector
from spindlerelay.membership.gossip_codec import MAX_DATAGRAM_BYTES, DatagramError, decode, encode
from spindlerelay.membership.load_weights import LoadWeightController
from spindlerelay.membership.members_page import TransportCounts, encode_page
from spindlerelay.membership.messages import Address, Message, NodeReport
from spindlerelay.node.health import NodeStatus
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import Socket

MAX_DATAGRAMS_PER_TURN = 128
BIND_RETRY_INTERVAL_MS = 250.0
REPORT_INTERVAL_MS = 500.0
STATUS_CHANGE_LOG_FORMAT = "membership: {} is {}, incarnation {}, last heard of {:.0f} ms ago"


class ReportedState(StrEnum):
    """State of a node in its own report; the value is used on the wire and on the members page."""

    STARTING = "starting"
    PASSING = "passing"
    WARMING_UP = "cold"
    OVERLOADED = "full"
    UNHEALTHY = "sick"


class Options(NamedTuple):
    """The ``[membership]`` table of the operator's file.

    Attributes:
        advertised_address: the address that other nodes send to.
    """

    listen_address: Address
    advertised_address: Address
    seeds: tuple[Address, ...]
    cluster: str
    site: str = ""
    adjusts_weight: bool = True


class ObservedNode(Protocol):
    """The interface of the node that the transport uses."""

    def status(self) -> NodeStatus:
        """Return the node's load and health."""
        ...

    def ready(self) -> bool:
        """Return whether the node has started."""
        ...

    def add_published_load(self, share: float) -> None:
        """Add a fraction to the load that the node publishes with its responses."""
        ...


class GossipTransport:
    """Runs a node's membership from its start until the process ends.

    Args:
        loop: the event loop to run on.
        options: the ``[membership]`` table.
        settings: the node's settings.
        node: the node whose state is reported.
        name: name of the node in the group.
        version: version of the program.
        retry_bind: whether to retry while the address is in use, since an older process of this node may
            still hold it. Without it, an address in use raises OSError.
    """

    def __init__(
        self,
        loop: EventLoop,
        options: Options,
        settings: Settings,
        node: ObservedNode,
        name: str,
        version: str,
        retry_bind: bool = False,
    ) -> None:
        self.counts = TransportCounts()
        self.detector = FailureDetector(
            name, options.advertised_address, options.seeds, loop.random, int(loop.now() / 1000.0)
        )
        self.detector.own_report = NodeReport(
            state=ReportedState.STARTING.value, site=options.site, version=version
        )
        self.load_weights = LoadWeightController(loop.random)
        self._loop = loop
        self._options = options
        self._node = node
        self._cores = settings.cores
        self._now = loop.system.monotonic_ms
        self._socket: Socket = None
        self._reported_ms = 0.0
        self._left = False
        self._bind(retry_bind)
        self._run_periodic_step()

    @property
    def weight(self) -> float:
        """Return the requested traffic relative to an average node, whose weight is 1."""
        return self.load_weights.published.weight

    def _bind(self, retry: bool) -> None:
        if self._left:
            return
        try:
            self._socket = self._loop.system.datagram_socket(self._options.listen_address)
        except OSError as error:
            if not retry:
                raise
            self._loop.warnings.warn("membership address cannot be bound, retrying", str(error.strerror))
            self._loop.call_later(BIND_RETRY_INTERVAL_MS, lambda: self._bind(retry))
            return
        self._loop.register(self._socket, selectors.EVENT_READ, self)

    def start_shutdown(self) -> None:
        """Announce the departure and release the address for a newer process of this node."""
        if not self._left:
            self._left = True
            self._execute(self.detector.leave(self._now()))
            self.close()

    def reload(self) -> None:
        """Do nothing: the ``[membership]`` table is read only at the start."""

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._loop.unregister(self._socket)
            self._socket.close()
            self._socket = None

    def on_ready(self, mask: int) -> None:
        """Read the waiting datagrams and step the failure detector with their messages."""
        messages = self._receive()
        self.counts.received += len(messages)
        if messages and not self._left:
            self._execute(self.detector.step(self._now(), messages))

    def _receive(self) -> list[Message]:
        messages: list[Message] = []
        sock = self._socket
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = sock.recv(2 * MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # an ICMP error for an earlier datagram
            try:
                messages.append(decode(self._options.cluster, data))
            except DatagramError as error:
                self.counts.count_rejected(error.reason.value)
        return messages

    def on_handler_error(self) -> None:
        """Keep the socket open, since the next datagram may be valid."""

    def _run_periodic_step(self) -> None:
        if self._left:
            return
        self._loop.call_later(STEP_INTERVAL_MS, self._run_periodic_step)
        if self._socket is None:
            return
        now = self._now()
        if now - self._reported_ms >= REPORT_INTERVAL_MS:
            self._reported_ms = now
            self._update_report(now)
        self._execute(self.detector.step(now))

    def _update_report(self, now: float) -> None:
        status = self._node.status()
        load_weights = self.load_weights
        utilization = min(1.0, status.cpu_utilization)
        load_weights.observe(now, utilization, self._runs_per_second(status))
        if self._options.adjusts_weight:
            reports = (
                (member.report, now - member.last_report_ms) for member in self.detector.active_members()
            )
            self._node.add_published_load(load_weights.step(now, reports).load_increase)
        self.detector.own_report = self.detector.own_report._replace(
            cpu_utilization=min(1.0, max(0.0, load_weights.cpu_utilization)),
            runs_per_second=load_weights.runs_per_second,
            state=self._state(status).value,
            weight=load_weights.published.weight,
        )

    def _runs_per_second(self, status: NodeStatus) -> float:
        """Return the runs per second that the cores can complete, or 0 if unknown or during the warm-up."""
        known = status.mean_core_ms > 0.0 and not status.warm_up_remaining_ms
        return 1000.0 * self._cores / status.mean_core_ms if known else 0.0

    def _state(self, status: NodeStatus) -> ReportedState:
        if not self._node.ready():
            return ReportedState.STARTING
        if status.interpreter_down_ms > 0.0:
            return ReportedState.UNHEALTHY
        if status.queue_utilization >= 1.0:
            return ReportedState.OVERLOADED
        return ReportedState.WARMING_UP if status.warm_up_remaining_ms > 0.0 else ReportedState.PASSING

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                data = encode(self._options.cluster, action.message)
                self.counts.count_sent(len(data))
                with contextlib.suppress(OSError):  # the protocol tolerates lost datagrams
                    self._socket.sendto(data, action.address)
            else:
                logger.debug(
                    STATUS_CHANGE_LOG_FORMAT,
                    action.name,
                    action.status.value,
                    action.incarnation,
                    action.report_age_ms,
                )

    def members_page(self) -> bytes:
        """Return the page ``/control/members``."""
        return encode_page(
            self._now(),
            self._options.cluster,
            self.detector,
            self.counts,
            self.load_weights.weight_changes,
        )
