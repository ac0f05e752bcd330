"""Lifeguard's suspicion timeouts: the time for which members stay suspect before they are declared dead.

The module does no I/O; times are ms on a monotonic clock. The timeout of a suspicion shrinks with the number
of nodes that confirm it independently.
"""

from __future__ import annotations

import math

from spindlerelay.membership.local_health import LocalHealth
from spindlerelay.membership.member_table import Member, MemberTable
from spindlerelay.membership.messages import SUSPECT

MIN_SUSPICION_MS = 700.0
MAX_SUSPICION_MS = 2500.0  # long enough that a process stopped for 1 s is not declared dead
MAX_CONFIRMATIONS = 3  # this many confirmations reduce the timeout to the minimum


class SuspicionTimers:
    """Tracks the suspicions of members and their timeouts."""

    def __init__(self, table: MemberTable, health: LocalHealth) -> None:
        self._table = table
        self._health = health
        self._names: dict[str, None] = {}  # suspected members, in the order in which the suspicions began

    def start(self, member: Member, accuser: str) -> None:
        """Start the suspicion timeout of a member."""
        member.accusers = {accuser}
        self._names[member.name] = None

    def confirm(self, member: Member, accuser: str) -> bool:
        """Add an accuser and return whether it shortens the timeout.

        A known accuser, or one beyond ``MAX_CONFIRMATIONS``, does not.
        """
        if accuser in member.accusers or len(member.accusers) > MAX_CONFIRMATIONS:
            return False
        member.accusers.add(accuser)
        return True

    def postpone(self, duration_ms: float) -> None:
        """Extend the timeouts of all suspicions by the duration of a stall of this process."""
        for name in self._names:
            self._table.members[name].status_since_ms += duration_ms

    def take_expired(self, now_ms: float) -> list[Member]:
        """Remove the expired suspicions, and return the members to declare dead now.

        A suspicion received long after it began expires at once, and the member may be removed from the table
        in the same step.
        """
        expired = []
        for name in list(self._names):
            member = self._table.members[name]
            if member.status is not SUSPECT:
                del self._names[name]
            elif now_ms - member.status_since_ms >= self._timeout_ms(member):
                del self._names[name]
                expired.append(member)
        return expired

    def _timeout_ms(self, member: Member) -> float:
        confirmed = min(1.0, math.log(len(member.accusers)) / math.log(1 + MAX_CONFIRMATIONS))
        timeout_ms = MAX_SUSPICION_MS - (MAX_SUSPICION_MS - MIN_SUSPICION_MS) * confirmed
        return timeout_ms * self._health.timeout_factor()
