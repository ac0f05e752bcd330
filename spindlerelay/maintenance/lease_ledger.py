"""The ledger of maintenance leases: the one value that the voters agree on, and the changes to it. Pure.

A ledger is a value; a change returns the next one, or why it is denied. Rules:

1. A lease has a number of its own, higher than any before it: whoever is shown a lower one is shown an old
   one.
2. No lease expires. Its holder counts as out of service until it is released, by the holder once it is
   healthy again or by an operator: a process that was stopped past every timeout may still be out.
3. There are never more leases than the budget at once, nor more for a site than the site's budget, and nodes
   that are dead or warming up count as out of service.
4. Voters change by one at a time: then any majority before and any majority after have a voter in common. A
   ledger that is changed so must have been accepted by a majority of its own voters (``quorum.py``).
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum
from typing import NamedTuple

MAX_VOTERS = 9  # more cost writes and round trips, and tolerate no more failures that matter
MAX_LISTED_NODES = 3  # in an explanation


class Voter(NamedTuple):
    """A directory that votes: an empty one is another voter, whatever the node's name."""

    node_name: str
    folder_id: str


class MaintenanceLease(NamedTuple):
    """One node's lease to be out of service. ``number`` grows over all leases (a fencing token)."""

    number: int
    node_name: str
    site: str = ""


class Budget(NamedTuple):
    """The most nodes that may be out of service at once, in all and of one site."""

    max_leases: int = 1
    max_leases_per_site: int = 1


class LeaseLedger(NamedTuple):
    """The leases and the voters; ``version`` counts the changes."""

    version: int = 0
    last_lease_number: int = 0  # number of the newest lease
    voters: tuple[Voter, ...] = ()
    leases: tuple[MaintenanceLease, ...] = ()
    hold_reason: str = ""  # why an operator holds new leases back; empty where none does

    def lease_of(self, name: str) -> MaintenanceLease | None:
        """Return a node's lease, None where it has none."""
        return next((lease for lease in self.leases if lease.node_name == name), None)


class DenialReason(Enum):
    """Why a change is denied."""

    HELD = "held"
    BUDGET = "budget"
    SITE_BUDGET = "site"
    UNKNOWN_LEASE = "number"
    VOTERS = "voters"


class Denied(NamedTuple):
    """A change that is not made, with an explanation of one line for people."""

    reason: DenialReason
    explanation: str


Change = Callable[[LeaseLedger], LeaseLedger | Denied]


def grant(
    ledger: LeaseLedger, name: str, site: str, budget: Budget, unavailable: Collection[tuple[str, str]] = ()
) -> LeaseLedger | Denied:
    """Grant a lease to a node of a site; a node that has one keeps it.

    ``unavailable`` are name and site of nodes that are out of service without a lease: dead, warming up or
    shutting down.
    """
    if ledger.lease_of(name):
        return ledger
    if ledger.hold_reason:
        return Denied(DenialReason.HELD, f"held by an operator: {ledger.hold_reason}")
    sites_by_node = {other: other_site for other, other_site in unavailable if other != name}
    # A lease counts for the site that it was granted for, whatever is reported of its holder.
    sites_by_node |= {lease.node_name: lease.site for lease in ledger.leases}
    if len(sites_by_node) >= budget.max_leases:
        explanation = f"{len(sites_by_node)} of {budget.max_leases} are out: {_listed(sites_by_node)}"
        return Denied(DenialReason.BUDGET, explanation)
    same_site = [other for other, other_site in sites_by_node.items() if other_site == site]
    if len(same_site) >= budget.max_leases_per_site:
        place = f"site {site}" if site else "no site"
        explanation = (
            f"{len(same_site)} of {budget.max_leases_per_site} of {place} are out: {_listed(same_site)}"
        )
        return Denied(DenialReason.SITE_BUDGET, explanation)
    lease = MaintenanceLease(ledger.last_lease_number + 1, name, site)
    return ledger._replace(
        version=ledger.version + 1, last_lease_number=lease.number, leases=(*ledger.leases, lease)
    )


def release(ledger: LeaseLedger, name: str, number: int) -> LeaseLedger | Denied:
    """Release the node's lease of this number alone, since the node may have been granted a newer one."""
    lease = ledger.lease_of(name)
    if lease is None or lease.number > number:
        return ledger  # released already
    if lease.number < number:
        return Denied(DenialReason.UNKNOWN_LEASE, f"{name} holds permit {lease.number}, not {number}")
    remaining = tuple(other for other in ledger.leases if other != lease)
    return ledger._replace(version=ledger.version + 1, leases=remaining)


def set_hold(ledger: LeaseLedger, reason: str) -> LeaseLedger | Denied:
    """Grant no more leases until ``reason`` is empty again; those granted stay."""
    return (
        ledger
        if ledger.hold_reason == reason
        else ledger._replace(version=ledger.version + 1, hold_reason=reason)
    )


def add_voter(ledger: LeaseLedger, voter: Voter) -> LeaseLedger | Denied:
    """Add a voter. A node has one vote: its older directory has to be removed first."""
    if voter in ledger.voters:
        return ledger
    if any(other.node_name == voter.node_name for other in ledger.voters):
        explanation = f"{voter.node_name} votes with another folder: dismiss that one first"
        return Denied(DenialReason.VOTERS, explanation)
    if len(ledger.voters) >= MAX_VOTERS:
        return Denied(DenialReason.VOTERS, f"{MAX_VOTERS} voters at most")
    return ledger._replace(version=ledger.version + 1, voters=tuple(sorted((*ledger.voters, voter))))


def remove_voter(ledger: LeaseLedger, voter: Voter) -> LeaseLedger | Denied:
    """Remove a voter; the last one stays."""
    if voter not in ledger.voters:
        return ledger
    if len(ledger.voters) == 1:
        return Denied(DenialReason.VOTERS, "the last voter stays")
    remaining = tuple(other for other in ledger.voters if other != voter)
    return ledger._replace(version=ledger.version + 1, voters=remaining)


def _listed(names: Collection[str]) -> str:
    listed = ", ".join(sorted(names)[:MAX_LISTED_NODES])
    return f"{listed} and others" if len(names) > MAX_LISTED_NODES else listed
