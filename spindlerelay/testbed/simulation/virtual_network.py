"""The network between virtual machines: its conditions, the listening addresses, and the machines that run.

A stream keeps its order and loses nothing, as TCP does, but arrives in segments cut at any byte, each with a
delay that the network condition draws. Datagrams get lost. Everything that happens is an action of one event
queue: the same seed gives the same run. Must not depend on nodes or on their protocols.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from spindlerelay.testbed.models.disk import SimulatedDisk
from spindlerelay.testbed.simulation.virtual_clock import EventLog, EventQueue, HangError

if TYPE_CHECKING:
    from spindlerelay.testbed.simulation.virtual_machine import VirtualMachine
    from spindlerelay.testbed.simulation.virtual_sockets import VirtualDatagramSocket, VirtualStream

START_MS = 1.75e12  # Unix ms at which virtual time starts
FIRST_EPHEMERAL_PORT = 20_000
MAX_TURNS_PER_INSTANT = 20_000  # of all event loops together, before a run counts as hung
DATAGRAM_PORT = 0  # stands for all datagrams in a Direction

Address = tuple[str, int]


class Direction(NamedTuple):
    """One way between two machines, for the connections of one listening port."""

    source: str
    target: str
    port: int = DATAGRAM_PORT


class NetworkCondition(NamedTuple):
    """Delays in ms and probabilities that hold for the whole network."""

    min_delay_ms: float = 0.1
    max_delay_ms: float = 0.6
    segment_split_probability: float = 0.1  # that a segment is cut once more
    datagram_loss_probability: float = 0.0


class LinkImpairment(NamedTuple):
    """What a fault adds to one direction."""

    delay_ms: float = 0.0
    bytes_per_s: float = math.inf


class VirtualNetwork(EventQueue):
    """Virtual time, and the machines, sockets and faults that share it."""

    def __init__(self, seed: int, condition: NetworkCondition | None = None) -> None:
        super().__init__(START_MS)
        self.random = random.Random(f"world {seed}")
        self.condition = condition or NetworkCondition()
        self.log = EventLog()
        self.listeners: dict[Address, VirtualStream] = {}
        self.datagram_sockets: dict[Address, VirtualDatagramSocket] = {}
        self.blocked_until_ms: dict[Direction, float] = {}
        self.impairments: dict[Direction, list[LinkImpairment]] = {}
        self.datagram_loss: dict[Direction, float] = {}  # probabilities
        self.resetting_until_ms: dict[Direction, float] = {}  # of the dialling side: connections are reset
        self.disks: dict[str, SimulatedDisk] = {}  # by machine: they outlive its processes
        self.runnable: dict[VirtualMachine, None] = {}
        self._last_port = FIRST_EPHEMERAL_PORT

    def record_event(self, text: str) -> None:
        """Add an event to the log at the current time."""
        self.log.append(self.now_ms, text)

    def allocate_port(self) -> int:
        """Return a port that nothing in this network has used."""
        self._last_port += 1
        return self._last_port

    def arrival_ms(self, direction: Direction) -> float:
        """Return when data that is sent now arrives at the earliest; blocked data waits."""
        condition = self.condition
        arrival_ms = self.now_ms + self.random.uniform(condition.min_delay_ms, condition.max_delay_ms)
        if self.impairments:
            arrival_ms += sum(each.delay_ms for each in self.impairments.get(direction, ()))
        return (
            max(arrival_ms, self.blocked_until_ms.get(direction, 0.0))
            if self.blocked_until_ms
            else arrival_ms
        )

    def bytes_per_ms(self, direction: Direction) -> float:
        """Return the bandwidth of a direction; infinite unless a fault limits it."""
        impairments = self.impairments.get(direction, ()) if self.impairments else ()
        return min((each.bytes_per_s for each in impairments), default=math.inf) / 1000.0

    def block(self, direction: Direction, until_ms: float) -> None:
        """Let nothing pass until then, or longer if the direction is blocked for longer already."""
        self.blocked_until_ms[direction] = max(until_ms, self.blocked_until_ms.get(direction, 0.0))

    def impair(self, direction: Direction, impairment: LinkImpairment, duration_ms: float) -> None:
        """Add an impairment to a direction for a while."""
        self.impairments.setdefault(direction, []).append(impairment)
        self.schedule(self.now_ms + duration_ms, lambda: self.impairments[direction].remove(impairment))

    def disk(self, machine_name: str) -> SimulatedDisk:
        """Return the disk of a machine; made at the first call."""
        if machine_name not in self.disks:
            self.disks[machine_name] = SimulatedDisk(
                random.Random(f"disk {machine_name} {self.random.random()}")
            )
        return self.disks[machine_name]

    def run_while_not(self, done: Callable[[], bool]) -> None:
        """Turn the event loops that have work, then go to the next scheduled action, until ``done``.

        Raises:
            HangError: Nothing is scheduled any more, or event loops wake one another without end.
        """
        turns = 0
        instant_ms = self.now_ms
        while not done():
            if self.runnable:
                machine = next(iter(self.runnable))
                del self.runnable[machine]
                turns = turns + 1 if self.now_ms == instant_ms else 0
                instant_ms = self.now_ms
                if turns > MAX_TURNS_PER_INSTANT:
                    raise HangError(f"{machine.name} and others wake one another for ever")
                machine.turn()
            elif not self.run_next():
                raise HangError("nothing is due any more")
