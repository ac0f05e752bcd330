"""The drill of the simulation: seeds played in virtual time, every violation with what replays it.

Each seed forces one pair of a fault and a node's state, so as many seeds as there are pairs reach them all. A
part of the seeds is played again in another process with another PYTHONHASHSEED. Claims:

1. no seed breaks a rule, logs a fault in the program, forgets a request, or does not recover;
2. a seed played again is the same, event for event.
"""

from __future__ import annotations

import os
import subprocess
import sys
from typing import Any

from spindlerelay.testbed.drills.seed_ranges import SeedRange, seed_ranges
from spindlerelay.testbed.simulation import fault_schedule, scenario_player
from spindlerelay.testbed.simulation.scenario_player import Outcome

CORES_EACH = 1.0
NODES = 2  # each seed draws its own number, 2 or 3
RUNS = 1
SEEDS = 100
SEEDS_PER_JOB = 10
REPLAY_INTERVAL = 25  # one seed in so many is played again
MAX_VIOLATIONS_REPORTED = 3
EVENTS_PER_VIOLATION = 12
HASH_SEEDS = 1000


def plan(seed: int, runs: int, nodes: int, wide: bool, seeds: int = SEEDS) -> list[SeedRange]:  # noqa: ARG001 - a hook
    """Return jobs for ``seeds`` seeds; ``seed`` counts blocks of so many, from 1."""
    return seed_ranges(seed, seeds, SEEDS_PER_JOB)


def _digest_of_replay(seed: int) -> str:
    """Return the digest of a seed played in a process of its own."""
    code = "from spindlerelay.testbed.simulation import fault_schedule, scenario_player; "
    code += f"print(scenario_player.play(fault_schedule.draw({seed})).digest)"
    env = os.environ | {"PYTHONHASHSEED": str(seed % HASH_SEEDS + 1)}
    return subprocess.run(
        [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=False
    ).stdout.strip()


def _violation_report(seed: int, outcome: Outcome) -> str:
    last_events = "\n    ".join(outcome.recent_events[-EVENTS_PER_VIOLATION:])
    summary = f"seed {seed}: {outcome.violations[0]} ({outcome.schedule.summary()})"
    return f"{summary}; again by: spindlerelay simulate {seed}\n    {last_events}"


def run(job: SeedRange) -> dict[str, Any]:
    """Return the figures of a job."""
    figures: dict[str, Any] = {"seeds": 0, "virtual_seconds": 0.0, "real_seconds": 0.0, "requests": 0}
    violations = list[str]()
    reached = set[str]()
    replayed = 0
    identical = 0
    for seed in range(job.first, job.first + job.seeds):
        outcome = scenario_player.play(fault_schedule.draw(seed))
        figures["seeds"] += 1
        figures["virtual_seconds"] += outcome.virtual_s
        figures["real_seconds"] += outcome.cpu_s
        figures["requests"] += outcome.requests
        reached |= outcome.reached
        if outcome.violations:
            violations.append(_violation_report(seed, outcome))
        if seed % REPLAY_INTERVAL == 0:
            replayed += 1
            identical += _digest_of_replay(seed) == outcome.digest
    return figures | {"violations": violations, "reached": reached, "again": replayed, "same": identical}


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all jobs."""
    reached = set[str]().union(*(each["reached"] for each in results))
    pairs = {f"{kind}/{state}" for kind, state in fault_schedule.FAULT_STATE_PAIRS}
    violations = [text for each in results for text in each["violations"]]
    replayed, identical = (sum(each[key] for each in results) for key in ("again", "same"))
    totals = {key: sum(each[key] for each in results) for key in ("seeds", "requests")}
    virtual_s, cpu_s = (sum(each[key] for each in results) for key in ("virtual_seconds", "real_seconds"))
    return totals | {
        "violations": len(violations),
        "violated": violations[:MAX_VIOLATIONS_REPORTED],
        "virtual_seconds": round(virtual_s),
        "real_seconds": round(cpu_s, 1),
        "reached": len(reached & pairs),
        "unreached": sorted(pairs - reached),
        "log lines met": sorted(reached - pairs),
        "replayed": replayed,
        "replay_identical": replayed == identical,
    }


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = [f"no seed breaks a rule: {text}" for text in figures["violated"]]
    if not figures["replay_identical"]:
        claims.append("a seed played again is the same, event for event")
    return claims
