"""States of the maintenance lease search, and the invariants that every state has to satisfy.

A search hashes states some million times. A state therefore holds numbers that stand for the values in
``StateValues``. The module has no I/O.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from spindlerelay.maintenance.lease_ledger import LeaseLedger, MaintenanceLease
from spindlerelay.maintenance.quorum import Attempt, Ballot, Reply, Request, VoterState
from spindlerelay.testbed.model_checking.lease_scenarios import LeaseScenario

T = TypeVar("T")

Decision = tuple[Ballot, LeaseLedger]
UNKNOWN_LEASE = -1  # lease number of a proposer whose granted lease is not in the ledger


class Proposer(NamedTuple):
    """State of a proposer."""

    step: int = 0  # number of completed steps
    attempts: int = 0  # number of attempts for the current step
    lease_number: int = 0  # lease that the proposer believes to hold, 0 for none
    attempt: Attempt | None = None


class State(NamedTuple):
    """All state that determines the possible transitions. The numbers are keys of ``StateValues``."""

    votes: tuple[int, ...]  # vote on the disk of each voter
    disk_losses: tuple[int, ...]  # number of disk losses of each voter
    proposers: tuple[int, ...]
    requests: frozenset[int]  # requests that may still arrive at a voter
    replies: frozenset[int]  # replies that may still arrive at a proposer
    decisions: int  # number of the tuple of all decided ledgers, sorted by ballot


class Interned(Generic[T]):
    """Interning table that assigns one number to equal values."""

    def __init__(self) -> None:
        self.values = list[T]()
        self._numbers = dict[T, int]()

    def __call__(self, value: T) -> int:
        """Return the number of a value; assign a new number to a new value."""
        number = self._numbers.setdefault(value, len(self.values))
        if number == len(self.values):
            self.values.append(value)
        return number


class StateValues:
    """The values behind the numbers of a search's states."""

    def __init__(self) -> None:
        self.votes = Interned[VoterState]()
        self.proposers = Interned[Proposer]()
        self.requests = Interned[Request]()
        self.replies = Interned[Reply]()
        self.decisions = Interned[tuple[Decision, ...]]()


def violation(scenario: LeaseScenario, values: StateValues, state: State) -> str:
    """Return the invariant that a state violates, or an empty text if it violates none.

    The number of nodes in maintenance under a lease never exceeds the budget, and no two of them use the same
    lease number. The decided ledgers form one history: ordered by ballot, ledger versions and lease numbers
    never decrease, and two ledgers of the same version are equal.
    """
    proposers = [values.proposers.values[number] for number in state.proposers]
    leases = [_lease_in_use(scenario, index, proposer) for index, proposer in enumerate(proposers)]
    leases = [number for number in leases if number]
    if len(leases) > scenario.budget:
        return f"{len(leases)} nodes are in maintenance, but the budget is {scenario.budget}"
    if len(set(leases)) < len(leases) or UNKNOWN_LEASE in leases:
        return f"two leases have the same number, or a granted lease is not in the ledger: {leases}"
    return _history_violation(values.decisions.values[state.decisions])


def _lease_in_use(scenario: LeaseScenario, proposer_index: int, proposer: Proposer) -> int:
    """Return the lease under which a node is in maintenance, 0 for none.

    A node starts to release its lease only once it serves again, so a releasing node is not in maintenance.
    """
    steps = scenario.steps[proposer_index]
    releasing = proposer.attempts and proposer.step < len(steps) and steps[proposer.step] == "release"
    return 0 if releasing else proposer.lease_number


def _history_violation(decisions: tuple[Decision, ...]) -> str:
    by_number = dict[int, MaintenanceLease]()
    previous = LeaseLedger()
    for _, ledger in decisions:
        if ledger.version < previous.version or ledger.last_lease_number < previous.last_lease_number:
            return f"an older ledger was decided: {ledger} after {previous}"
        if previous.voters and ledger.version == previous.version and ledger != previous:
            return f"two ledgers of one version: {previous} and {ledger}"
        for lease in ledger.leases:
            if by_number.setdefault(lease.number, lease) != lease:
                return f"lease number {lease.number} was used again"
        previous = ledger
    return ""
