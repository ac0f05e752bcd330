"""SWIM's failure probes: the probing order, the outstanding probes, and the probes relayed for other nodes.

The module does no I/O: times are ms on a monotonic clock, and randomness comes from the caller's generator.
Due probes are returned as events, and the failure detector sends the messages.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from spindlerelay.membership.local_health import LocalHealth
from spindlerelay.membership.member_table import Member, MemberTable
from spindlerelay.membership.messages import Address

PROBE_INTERVAL_MS = 200.0
DIRECT_PROBE_TIMEOUT_MS = 150.0  # many times a round trip plus a turn of a busy node's event loop
PROBE_TIMEOUT_MS = 400.0  # covers the direct and the indirect probes


class Probe(NamedTuple):
    """An outstanding probe, which has no ack yet.

    Attributes:
        indirect: whether indirect probes have been requested.
    """

    name: str
    sent_ms: float
    indirect_at_ms: float
    expires_at_ms: float
    indirect: bool


class RelayedProbe(NamedTuple):
    """A probe made for another node, which receives the ack with the sequence number of its ping request."""

    requester: Address
    requester_sequence: int
    target: str
    expires_at_ms: float


class IndirectProbeDue(NamedTuple):
    """A direct probe got no ack in time: relays must probe the member with this sequence number."""

    sequence: int
    name: str


class ProbeFailed(NamedTuple):
    """Neither a direct nor an indirect probe got an ack in time."""

    probe: Probe


class Prober:
    """Probes members one at a time, in an order that is shuffled for each round."""

    def __init__(self, rng: random.Random, table: MemberTable, health: LocalHealth) -> None:
        self._random = rng
        self._table = table
        self._health = health
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._relayed: dict[int, RelayedProbe] = {}
        self._order: list[str] = []  # members left in this round; the last one is probed next
        self._next_probe_ms = -math.inf

    def next_sequence(self) -> int:
        """Return a new sequence number."""
        self._sequence += 1
        return self._sequence

    def insert(self, name: str) -> None:
        """Insert a member at a random position of the current probing round."""
        index = self._random.randint(0, len(self._order))
        self._order.insert(index, name)

    def insert_next(self, name: str) -> None:
        """Schedule a member as the next to be probed."""
        self._order.append(name)

    def postpone(self, duration_ms: float) -> None:
        """Extend the timeouts of all outstanding probes by the duration of a stall of this process."""
        self._probes = {
            sequence: probe._replace(
                indirect_at_ms=probe.indirect_at_ms + duration_ms,
                expires_at_ms=probe.expires_at_ms + duration_ms,
            )
            for sequence, probe in self._probes.items()
        }

    def take_due(self, now_ms: float) -> list[IndirectProbeDue | ProbeFailed]:
        """Return the indirect probes and failures that are due, and remove failed and expired probes."""
        due: list[IndirectProbeDue | ProbeFailed] = []
        for sequence, probe in list(self._probes.items()):
            if now_ms >= probe.expires_at_ms:
                del self._probes[sequence]
                due.append(ProbeFailed(probe))
            elif now_ms >= probe.indirect_at_ms and not probe.indirect:
                self._probes[sequence] = probe._replace(indirect=True)
                due.append(IndirectProbeDue(sequence, probe.name))
        expired = [sequence for sequence, relayed in self._relayed.items() if now_ms >= relayed.expires_at_ms]
        for sequence in expired:
            del self._relayed[sequence]
        return due

    def start_next(self, now_ms: float) -> tuple[int, Member] | None:
        """Begin a probe if one is due; return its sequence number and the member to ping."""
        if now_ms < self._next_probe_ms:
            return None
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        active = self._table.active_names
        while self._order or active:
            if not self._order:
                self._order = self._random.sample(active, len(active))
            member = self._table.members.get(self._order.pop())
            if member is None or not member.active:
                continue
            sequence = self.next_sequence()
            factor = self._health.timeout_factor()
            self._probes[sequence] = Probe(
                member.name,
                now_ms,
                now_ms + DIRECT_PROBE_TIMEOUT_MS * factor,
                now_ms + PROBE_TIMEOUT_MS * factor,
                False,
            )
            return sequence, member
        return None

    def relay(self, now_ms: float, requester: Address, requester_sequence: int, target: str) -> int:
        """Begin a probe for another node and return the sequence number of the ping to send."""
        sequence = self.next_sequence()
        expires_at_ms = now_ms + PROBE_TIMEOUT_MS
        self._relayed[sequence] = RelayedProbe(requester, requester_sequence, target, expires_at_ms)
        return sequence

    def acknowledge(self, sequence: int) -> Probe | RelayedProbe | None:
        """Remove and return the probe that an ack completes; return None for a late or unknown ack."""
        return self._probes.pop(sequence, None) or self._relayed.pop(sequence, None)
