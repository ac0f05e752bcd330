"""Scenarios for the model checker of maintenance leases, and planted faults that test the checker.

The module has no I/O.
"""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from spindlerelay.maintenance import lease_ledger as ledgers
from spindlerelay.maintenance.lease_ledger import Budget, Change, Denied, LeaseLedger, MaintenanceLease, Voter

PLANTED_FAULTS = (
    "told before recorded",
    "number used again",
    "ended by time",
    "vote lost with the folder",
    "majority of the living",
    "voters changed by two",
)


class LeaseScenario(NamedTuple):
    """The events that are possible in one search. ``steps`` holds the steps of each proposer in order.

    A step is ``grant``, ``release``, ``admitN`` (add the spare voter N; N is 0 if omitted) or ``dismissN``
    (remove the founding voter N).
    """

    voters: int
    steps: tuple[tuple[str, ...], ...]
    max_attempts: int = 2  # most attempts of a proposer for one step
    budget: int = 1  # most leases at a time
    spare_voters: int = 0  # voters that may be added
    max_disk_losses: int = 0  # most restarts of voters with an empty disk
    planted_fault: str = ""  # one of PLANTED_FAULTS, or empty for none


SCENARIOS = {
    "three": LeaseScenario(3, (("grant", "release"), ("grant", "release"))),
    "five": LeaseScenario(5, (("grant",), ("grant",)), max_attempts=1),
    "three, three want": LeaseScenario(3, (("grant",), ("grant",), ("grant",)), max_attempts=1, budget=2),
    "three, a folder lost": LeaseScenario(3, (("grant",), ("grant",)), max_attempts=1, max_disk_losses=1),
    "three, then four": LeaseScenario(3, (("admit", "grant"), ("grant",)), max_attempts=2, spare_voters=1),
    "three, then two": LeaseScenario(3, (("dismiss0", "grant"), ("grant",)), max_attempts=2),
    "one, then two": LeaseScenario(1, (("admit", "grant"), ("grant",)), max_attempts=2, spare_voters=1),
}
# The smallest scenario in which the search finds the planted fault "voters changed by two".
TWO_VOTERS_ADMITTED_AT_ONCE = LeaseScenario(
    1, (("admit", "grant"), ("grant",)), max_attempts=1, spare_voters=2
)


class ScenarioVoters:
    """The voters of a scenario, and the ledger changes that its steps propose."""

    def __init__(self, scenario: LeaseScenario) -> None:
        self.scenario = scenario
        self.names = "abcdefghi"[: scenario.voters + scenario.spare_voters]
        self.founders = tuple(Voter(name, "0") for name in self.names[: scenario.voters])
        self.founding_ledger = LeaseLedger(voters=self.founders)
        self.budget = Budget(scenario.budget, scenario.budget)

    def step(self, proposer: int, step_index: int) -> str:
        """Return the proposer's step with this index, or an empty text after its last step."""
        steps = self.scenario.steps[proposer]
        return steps[step_index] if step_index < len(steps) else ""

    def change(self, proposer: int, step_index: int, lease_number: int) -> Change | None:
        """Return the ledger change that a proposer's step proposes, or None after its last step.

        ``lease_number`` is the lease that a ``release`` step returns.
        """
        planted_fault = self.scenario.planted_fault
        name = f"p{proposer}"
        match self.step(proposer, step_index):
            case "":
                return None
            case "grant" if planted_fault == "number used again":
                return partial(_grant_number_again, name=name, budget=self.budget)
            case "grant" if planted_fault == "ended by time":
                return partial(_grant_after_expiry, name=name, budget=self.budget)
            case "grant":
                return partial(ledgers.grant, name=name, site="", budget=self.budget)
            case "release":
                return partial(ledgers.release, name=name, number=lease_number)
            case "admit" if planted_fault == "voters changed by two":
                return partial(
                    _admit_all, spare=tuple(Voter(voter_name, "0") for voter_name in self.names[-2:])
                )
            case step if step.startswith("admit"):
                voter = Voter(self.names[self.scenario.voters + int(step[5:] or 0)], "0")
                return partial(ledgers.add_voter, voter=voter)
            case step if step.startswith("dismiss"):
                return partial(ledgers.remove_voter, voter=self.founders[int(step[7:])])
        raise AssertionError(self.scenario.steps)


# Planted faults


def _grant_number_again(ledger: LeaseLedger, name: str, budget: Budget) -> LeaseLedger | Denied:
    granted = ledgers.grant(ledger, name, "", budget)
    if isinstance(granted, Denied) or granted is ledger:
        return granted
    number = 1 + len(ledger.leases)
    return granted._replace(last_lease_number=number, leases=(*ledger.leases, MaintenanceLease(number, name)))


def _grant_after_expiry(ledger: LeaseLedger, name: str, budget: Budget) -> LeaseLedger | Denied:
    own_leases = tuple(lease for lease in ledger.leases if lease.node_name == name)
    return ledgers.grant(ledger._replace(leases=own_leases), name, "", budget)


def _admit_all(ledger: LeaseLedger, spare: tuple[Voter, ...]) -> LeaseLedger | Denied:
    for voter in spare:
        admitted = ledgers.add_voter(ledger, voter)
        if isinstance(admitted, Denied):
            return admitted
        ledger = admitted
    return ledger
