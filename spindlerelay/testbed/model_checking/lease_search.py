"""Breadth-first search of all message orders between the voters and proposers of maintenance leases.

    python -m spindlerelay.testbed.model_checking.lease_search [--story NAME] [--depth N] [--states N]

Every state is checked against the invariants of ``lease_states.violation``. The search has to find the faults
in ``PLANTED_FAULTS``. The module must not depend on the network or on time, except to report the duration of
a search.
"""

from __future__ import annotations

import sys
import time
from typing import NamedTuple

import click

from spindlerelay.testbed.model_checking.lease_scenarios import (
    SCENARIOS,
    LeaseScenario,
)
from spindlerelay.testbed.model_checking.lease_states import State, violation
from spindlerelay.testbed.model_checking.lease_transitions import LeaseTransitions

MAX_STATES = 10_000_000

Predecessors = dict[State, tuple[State, str] | None]


class SearchResult(NamedTuple):
    """The result of a search."""

    states: int
    depth: int
    complete: bool  # whether every reachable state was explored
    seconds: float  # CPU time of the search
    violation: str = ""
    shortest_path: tuple[str, ...] = ()  # transitions of a shortest path to the violation


class LeaseSearch:
    """Searches one scenario."""

    def __init__(self, scenario: LeaseScenario) -> None:
        self.scenario = scenario
        self._transitions = LeaseTransitions(scenario)

    def run(self, max_depth: int, max_states: int = MAX_STATES) -> SearchResult:
        """Search until a violation, until all states are reached, or up to a depth or number of states."""
        started_s = time.process_time()
        initial = self._transitions.initial
        predecessors: Predecessors = {initial: None}
        frontier = [initial]
        depth = 0
        while frontier and depth < max_depth:
            depth += 1
            reached = list[State]()
            for state in frontier:
                for description, successor in self._transitions.successors(state):
                    if successor in predecessors:
                        continue
                    predecessors[successor] = (state, description)
                    if broken_rule := violation(self.scenario, self._transitions.values, successor):
                        seconds = time.process_time() - started_s
                        path = _path_to(predecessors, successor)
                        return SearchResult(len(predecessors), depth, False, seconds, broken_rule, path)
                    reached.append(successor)
                if len(predecessors) >= max_states:
                    return SearchResult(len(predecessors), depth - 1, False, time.process_time() - started_s)
            frontier = reached
        return SearchResult(len(predecessors), depth, not frontier, time.process_time() - started_s)


def _path_to(predecessors: Predecessors, state: State) -> tuple[str, ...]:
    descriptions = list[str]()
    while (step := predecessors[state]) is not None:
        state, description = step
        descriptions.append(description)
    return tuple(reversed(descriptions))


@click.command()
@click.option("--story", type=click.Choice([*SCENARIOS]), help="Search only this scenario.")
@click.option("--depth", default=40, type=click.IntRange(1, 200))
@click.option(
    "--states",
    default=2_000_000,
    type=click.IntRange(1000, 100_000_000),
    help="Maximum number of states of a scenario.",
)
def main(story: str | None, depth: int, states: int) -> None:
    """Search each scenario, and print its states, depth and time.

    If a violation is found, print a shortest path to it and exit with status 1.
    """
    any_violation = False
    for name in [story] if story else SCENARIOS:
        result = LeaseSearch(SCENARIOS[name]).run(depth, states)
        extent = "all of them" if result.complete else f"to depth {result.depth}"
        verdict = result.violation or "no violation"
        click.echo(f"{name}: {result.states} states, {extent}, {result.seconds:.1f} s: {verdict}")
        for description in result.shortest_path:
            click.echo(f"    {description}")
        any_violation = any_violation or bool(result.violation)
    sys.exit(int(any_violation))


if __name__ == "__main__":
    main()
