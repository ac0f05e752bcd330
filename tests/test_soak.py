"""The soak of process ends: seeds on the node as it is, and planted faults that it must find."""

from __future__ import annotations

import pytest

from spindlerelay.testbed.soak import player, scenario
from spindlerelay.testbed.soak.scenario import SignalKind

# In CI: crowds, handovers, broken backends, pauses and series of SIGTERM among them.
SEEDS = (2, 3, 5, 7, 9, 12, 15, 21)
# The first seed that finds each planted fault, and the rule that it breaks.
FOUND_BY = {
    "dropped_response": (1, "lost"),
    "second_run": (1, "duplicate"),
    "late_run": (1, "drain"),
    "second_sigterm": (1, "status"),
}


def test_scenario_follows_from_the_seed_alone() -> None:
    drawn = [scenario.draw(seed) for seed in range(1, 301)]
    assert drawn == [scenario.draw(seed) for seed in range(1, 301)]
    assert sum(each.handover for each in drawn) == 60
    assert sum(bool(each.bursts) for each in drawn) == sum(bool(each.backend_faults) for each in drawn) == 100
    assert {step.kind for each in drawn for step in each.signals} == set(SignalKind)


@pytest.mark.parametrize("seed", SEEDS)
def test_process_ends_break_no_rule(seed: int) -> None:
    outcome = player.play(scenario.draw(seed))
    assert outcome.is_void or not outcome.violations, outcome.report


@pytest.mark.parametrize("fault", FOUND_BY)
def test_soak_finds_a_planted_fault(fault: str) -> None:
    seed, rule = FOUND_BY[fault]
    outcome = player.play(scenario.draw(seed), ("-m", "tests.soak_faults", fault))
    assert rule in {violation.rule for violation in outcome.violations}
