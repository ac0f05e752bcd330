"""Table of the members that one node knows, and the state machine of their status.

The module does no I/O; times are ms on a monotonic clock. It tracks which members are active (alive or
suspect) and for how long inactive members are retained. The failure detector decides when a status changes.
"""

from __future__ import annotations

import math

from spindlerelay.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    GossipUpdate,
    MemberStatus,
    NodeReport,
)

MAX_MEMBERS = 4096
MEMBER_RETENTION_MS = 600_000.0  # time for which dead members and members that left are retained
SWEEP_INTERVAL_MS = 5000.0

STATUS_TRANSITIONS: dict[MemberStatus, frozenset[MemberStatus]] = {
    ALIVE: frozenset({SUSPECT, DEAD, LEFT}),
    SUSPECT: frozenset({ALIVE, DEAD, LEFT}),
    DEAD: frozenset({ALIVE, SUSPECT, LEFT}),
    LEFT: frozenset({ALIVE, SUSPECT}),
}
INACTIVE = frozenset({DEAD, LEFT})


class Member:
    """Holds this node's view of another node.

    Attributes:
        last_report_ms: time of the member's latest report of its own state.
        status_since_ms: time at which the present status began; for a dead member, the start of the
            suspicion.
        accusers: names of the nodes that suspect the member.
    """

    __slots__ = (
        "name",
        "address",
        "status",
        "incarnation",
        "report",
        "last_report_ms",
        "status_since_ms",
        "accusers",
    )

    def __init__(self, update: GossipUpdate, now_ms: float) -> None:
        self.name = update.name
        self.address = update.address
        self.incarnation = update.incarnation
        self.status = ALIVE
        self.report = update.report or NodeReport()
        self.last_report_ms = now_ms - update.age_ms
        self.status_since_ms = now_ms
        self.accusers: set[str] = set()

    @property
    def active(self) -> bool:
        """Return whether the member is alive or suspect."""
        return self.status not in INACTIVE

    def to_update(self, now_ms: float) -> GossipUpdate:
        """Return the member's state as an update for other nodes."""
        name = self.name
        address = self.address
        incarnation = self.incarnation
        if self.status is ALIVE:
            age_ms = now_ms - self.last_report_ms
            accuser = min(self.accusers, default="")
            return GossipUpdate(name, address, ALIVE, incarnation, age_ms, accuser, self.report)
        age_ms = now_ms - self.status_since_ms
        return GossipUpdate(name, address, self.status, incarnation, age_ms, min(self.accusers, default=""))


class MemberTable:
    """Holds all known members by name; ``active_names`` lists the active ones in the order of activation."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.active_names: list[str] = []
        self._next_sweep_ms = -math.inf

    @property
    def full(self) -> bool:
        """Return whether the table has reached ``MAX_MEMBERS``."""
        return len(self.members) >= MAX_MEMBERS

    def add(self, update: GossipUpdate, now_ms: float) -> Member:
        """Add a member with the status alive."""
        member = self.members[update.name] = Member(update, now_ms)
        self.active_names.append(member.name)
        return member

    def alive_names(self, excluded: str = "") -> list[str]:
        """Return the names of the members that are alive, except ``excluded``."""
        members = self.members
        return [name for name in self.active_names if name != excluded and members[name].status is ALIVE]

    def change_status(self, member: Member, status: MemberStatus, since_ms: float) -> bool:
        """Change a member's status and return whether the change made the member active."""
        was_active = member.active
        member.status = status
        member.status_since_ms = since_ms
        if was_active and not member.active:
            self.active_names.remove(member.name)
        elif member.active and not was_active:
            self.active_names.append(member.name)
        return member.active and not was_active

    def sweep(self, now_ms: float) -> list[str]:
        """Remove members that have been inactive for ``MEMBER_RETENTION_MS``, and return their names."""
        if now_ms < self._next_sweep_ms:
            return []
        self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        forgotten = [
            name
            for name, member in self.members.items()
            if not member.active and now_ms - member.status_since_ms > MEMBER_RETENTION_MS
        ]
        for name in forgotten:
            del self.members[name]
        return forgotten
