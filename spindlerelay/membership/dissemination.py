"""Selection of the gossip updates that are piggybacked on the next message.

The module does no I/O: times are ms on a monotonic clock, and randomness comes from the caller's generator.
Members whose state has changed are selected first, in ascending order of their number of transmissions. The
remaining space carries recent node reports in a shuffled order.
"""

from __future__ import annotations

import math
import random

from spindlerelay.membership.member_table import MemberTable
from spindlerelay.membership.messages import ALIVE, MAX_UPDATES_PER_MESSAGE, GossipUpdate

TRANSMISSION_FACTOR = 3.0  # an update is transmitted this many times log2 of the group size
STATUS_CHANGE_PRIORITY = 4  # number of transmissions of a status change that precede those of a new member
MAX_FORWARDED_REPORT_AGE_MS = 10_000.0


class GossipQueue:
    """Queues the members whose state is to be gossiped, and limits the transmissions of an update."""

    def __init__(self, rng: random.Random, table: MemberTable) -> None:
        self._random = rng
        self._table = table
        # Number of transmissions by member name. A prioritized update starts below zero.
        self._transmissions: dict[str, int] = {}
        self._report_order: list[str] = []  # members whose reports are forwarded next, from the end

    def enqueue(self, name: str, priority: int) -> None:
        """Queue a member's state for transmission.

        The state is transmitted ``priority`` times before it competes with that of a new member.
        """
        self._transmissions[name] = -priority

    def discard(self, name: str) -> None:
        """Stop transmitting a member's state."""
        self._transmissions.pop(name, None)

    def select(self, now_ms: float, target: str) -> tuple[GossipUpdate, ...]:
        """Return the updates for a message to ``target`` and count them as transmitted.

        The update about the target itself comes first, so that the target can refute a wrong suspicion.
        """
        members = self._table.members
        selected: dict[str, GossipUpdate] = {}
        if (member := members.get(target)) is not None:
            selected[target] = member.to_update(now_ms)
        self._add_changed_members(selected, now_ms)
        self._add_reports(selected, now_ms)
        return tuple(selected.values())

    def _add_changed_members(self, selected: dict[str, GossipUpdate], now_ms: float) -> None:
        transmissions = self._transmissions
        limit = math.ceil(TRANSMISSION_FACTOR * math.log2(len(self._table.active_names) + 2))
        least_transmitted = sorted(transmissions, key=transmissions.__getitem__)
        for name in least_transmitted[: MAX_UPDATES_PER_MESSAGE - len(selected)]:
            transmissions[name] += 1
            if transmissions[name] >= limit:
                del transmissions[name]
            if name in self._table.members:
                selected[name] = self._table.members[name].to_update(now_ms)

    def _add_reports(self, selected: dict[str, GossipUpdate], now_ms: float) -> None:
        active = self._table.active_names
        members = self._table.members
        for _ in range(min(len(active), MAX_UPDATES_PER_MESSAGE - len(selected))):
            if not self._report_order:
                self._report_order = self._random.sample(active, len(active))
            member = members.get(self._report_order.pop())
            if member is None or member.status is not ALIVE:
                continue
            if now_ms - member.last_report_ms < MAX_FORWARDED_REPORT_AGE_MS:
                selected.setdefault(member.name, member.to_update(now_ms))
