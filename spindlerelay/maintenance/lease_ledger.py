"""The ledger of maintenance leases: the value that the voters agree on, and the changes to the ledger.

A ledger is immutable. A change returns a new ledger, or the reason why the change is denied. The module does
no I/O. Rules:

1. Every lease has a number that is higher than the numbers of all earlier leases (a fencing token). A lease
   with a lower number is therefore outdated.
2. Leases do not expire. The holder of a lease counts as out of service until the lease is released, either
   by the holder once it is healthy again or by an operator. An expiry would be wrong for a process that was
   stopped for longer than any timeout, since the process may still be out of service.
3. The number of leases never exceeds the budget, and the number of leases of a site never exceeds the site's
   budget. Nodes that are dead or warming up count as out of service.
4. Voters are added or removed one at a time, so that any majority before the change and any majority after
   the change have a voter in common. Before such a change, a majority of the ledger's own voters must have
   accepted the ledger (``quorum.py``).
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum
from typing import NamedTuple

MAX_VOTERS = 9  # more voters cost writes and round trips without tolerating more failures that matter
MAX_LISTED_NODES = 3  # limits the length of an explanation


class Voter(NamedTuple):
    """Identity of a voter: a directory of a node. A new directory of the same node is another voter."""

    node_name: str
    folder_id: str


class MaintenanceLease(NamedTuple):
    """Permission of a node to be out of service.

    Attributes:
        number: fencing token, higher than the numbers of all earlier leases.
    """

    number: int
    node_name: str
    site: str = ""


class Budget(NamedTuple):
    """Maximum number of nodes that may be out of service at once, in total and per site."""

    max_leases: int = 1
    max_leases_per_site: int = 1


class LeaseLedger(NamedTuple):
    """The leases and the voters.

    Attributes:
        version: number of changes since the empty ledger.
        last_lease_number: number of the newest lease.
        hold_reason: an operator's reason to grant no new leases; empty while leases may be granted.
    """

    version: int = 0
    last_lease_number: int = 0
    voters: tuple[Voter, ...] = ()
    leases: tuple[MaintenanceLease, ...] = ()
    hold_reason: str = ""

    def lease_of(self, name: str) -> MaintenanceLease | None:
        """Return a node's lease, or None if the node has no lease."""
        return next((lease for lease in self.leases if lease.node_name == name), None)


class DenialReason(Enum):
    """Reasons to deny a change."""

    HELD = "held"
    BUDGET = "budget"
    SITE_BUDGET = "site"
    UNKNOWN_LEASE = "number"
    VOTERS = "voters"


class Denied(NamedTuple):
    """Result of a denied change, with an explanation of one line for the operator."""

    reason: DenialReason
    explanation: str


Change = Callable[[LeaseLedger], LeaseLedger | Denied]


def grant(
    ledger: LeaseLedger, name: str, site: str, budget: Budget, unavailable: Collection[tuple[str, str]] = ()
) -> LeaseLedger | Denied:
    """Grant a lease to a node, or return the ledger unchanged if the node already has a lease.

    Args:
        ledger: the current ledger.
        name: name of the node.
        site: site of the node.
        budget: limits of nodes out of service.
        unavailable: names and sites of the nodes that are out of service without a lease, because they are
            dead, warming up or shutting down.
    """
    if ledger.lease_of(name):
        return ledger
    if ledger.hold_reason:
        return Denied(DenialReason.HELD, f"held by an operator: {ledger.hold_reason}")
    sites_by_node = {other: other_site for other, other_site in unavailable if other != name}
    # A lease counts for the site that it was granted for, even if its holder now reports another site.
    sites_by_node |= {lease.node_name: lease.site for lease in ledger.leases}
    if len(sites_by_node) >= budget.max_leases:
        explanation = (
            f"{len(sites_by_node)} nodes are out of service, the maximum is {budget.max_leases}: "
            f"{_format_names(sites_by_node)}"
        )
        return Denied(DenialReason.BUDGET, explanation)
    same_site = [other for other, other_site in sites_by_node.items() if other_site == site]
    if len(same_site) >= budget.max_leases_per_site:
        site_description = f"site {site}" if site else "no site"
        explanation = (
            f"{len(same_site)} nodes of {site_description} are out of service, "
            f"the maximum is {budget.max_leases_per_site}: {_format_names(same_site)}"
        )
        return Denied(DenialReason.SITE_BUDGET, explanation)
    lease = MaintenanceLease(ledger.last_lease_number + 1, name, site)
    return ledger._replace(
        version=ledger.version + 1, last_lease_number=lease.number, leases=(*ledger.leases, lease)
    )


def release(ledger: LeaseLedger, name: str, number: int) -> LeaseLedger | Denied:
    """Release a node's lease only if it has this number, since a newer lease may have been granted."""
    lease = ledger.lease_of(name)
    if lease is None or lease.number > number:
        return ledger  # the lease with this number has been released
    if lease.number < number:
        return Denied(DenialReason.UNKNOWN_LEASE, f"{name} holds lease {lease.number}, not {number}")
    remaining = tuple(other for other in ledger.leases if other != lease)
    return ledger._replace(version=ledger.version + 1, leases=remaining)


def set_hold(ledger: LeaseLedger, reason: str) -> LeaseLedger | Denied:
    """Stop granting leases while ``reason`` is not empty; granted leases remain."""
    return (
        ledger
        if ledger.hold_reason == reason
        else ledger._replace(version=ledger.version + 1, hold_reason=reason)
    )


def add_voter(ledger: LeaseLedger, voter: Voter) -> LeaseLedger | Denied:
    """Add a voter. A node has one vote, so a voter with an older directory of it must be removed first."""
    if voter in ledger.voters:
        return ledger
    if any(other.node_name == voter.node_name for other in ledger.voters):
        explanation = f"{voter.node_name} votes with another directory: remove that voter first"
        return Denied(DenialReason.VOTERS, explanation)
    if len(ledger.voters) >= MAX_VOTERS:
        return Denied(DenialReason.VOTERS, f"at most {MAX_VOTERS} voters are allowed: remove one first")
    return ledger._replace(version=ledger.version + 1, voters=tuple(sorted((*ledger.voters, voter))))


def remove_voter(ledger: LeaseLedger, voter: Voter) -> LeaseLedger | Denied:
    """Remove a voter, unless it is the last voter."""
    if voter not in ledger.voters:
        return ledger
    if len(ledger.voters) == 1:
        return Denied(DenialReason.VOTERS, "the last voter cannot be removed")
    remaining = tuple(other for other in ledger.voters if other != voter)
    return ledger._replace(version=ledger.version + 1, voters=remaining)


def _format_names(names: Collection[str]) -> str:
    listed = ", ".join(sorted(names)[:MAX_LISTED_NODES])
    return f"{listed} and others" if len(names) > MAX_LISTED_NODES else listed
