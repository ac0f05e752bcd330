"""How long members stay suspected before they are declared dead, after Lifeguard.

Pure: times are ms on a steady clock. A suspicion lasts the shorter, the more nodes confirm it independently.
"""

from __future__ import annotations

import math

from spindlerelay.membership.local_health import LocalHealth
from spindlerelay.membership.member_table import Member, MemberTable
from spindlerelay.membership.messages import SUSPECT

MIN_SUSPICION_MS = 700.0
MAX_SUSPICION_MS = 2500.0  # a process stopped for 1 s resumes before it is declared dead
MAX_CONFIRMATIONS = 3  # that shorten a suspicion; with these it lasts the minimum


class SuspicionTimers:
    """The members under suspicion."""

    def __init__(self, table: MemberTable, health: LocalHealth) -> None:
        self._table = table
        self._health = health
        self._names: dict[str, None] = {}  # in the order in which suspicions began

    def start(self, member: Member, accuser: str) -> None:
        """Begin a suspicion."""
        member.accusers = {accuser}
        self._names[member.name] = None

    def confirm(self, member: Member, accuser: str) -> bool:
        """Note another accuser; return False where it is known or changes nothing any more."""
        if accuser in member.accusers or len(member.accusers) > MAX_CONFIRMATIONS:
            return False
        member.accusers.add(accuser)
        return True

    def postpone(self, duration_ms: float) -> None:
        """Extend all suspicions by the time for which this process stalled."""
        for name in self._names:
            self._table.members[name].status_since_ms += duration_ms

    def take_expired(self, now_ms: float) -> list[Member]:
        """End the suspicions that are over, and return the members to declare dead now.

        A suspicion that was told of late ends at once, and its member may be forgotten in the same step.
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
