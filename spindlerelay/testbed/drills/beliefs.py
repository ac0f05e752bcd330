"""The drill of beliefs and choices: failure detectors and load balancers in virtual time, with faults.

Claim: no seed leaves a belief wrong (nobody living is dead for good, nobody dead stays alive), a healthy node
without callers, a caller without a node, or a node that fails everything with more than its part of the load.
"""

from __future__ import annotations

import time
from typing import Any

from spindlerelay.testbed.drills.seed_ranges import SeedRange, seed_ranges
from spindlerelay.testbed.simulation import membership_simulation, routing_simulation

CORES_EACH = 1.0
NODES = 9  # at most: each seed draws its own number
RUNS = 1
SEEDS = 200
SEEDS_PER_JOB = 25
MAX_VIOLATIONS_REPORTED = 5


def plan(seed: int, runs: int, nodes: int, wide: bool, seeds: int = SEEDS) -> list[SeedRange]:  # noqa: ARG001 - a hook
    """Return jobs for ``seeds`` seeds; ``seed`` counts blocks of so many, from 1."""
    return seed_ranges(seed, seeds, SEEDS_PER_JOB)


def run(job: SeedRange) -> dict[str, Any]:
    """Return the figures of a job, with the first violation of each seed and simulation."""
    started_s = time.process_time()
    violations = list[str]()
    false_deaths = 0
    for seed in range(job.first, job.first + job.seeds):
        outcome = membership_simulation.play(seed)
        false_deaths += outcome.false_deaths
        violations += [f"members {seed}: {text}" for text in outcome.violations[:1]]
        violations += [f"choices {seed}: {text}" for text in routing_simulation.play(seed)[:1]]
    return {
        "seeds": job.seeds,
        "told": violations,
        "false_deaths": false_deaths,
        "cpu_s": time.process_time() - started_s,
    }


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all jobs."""
    violations = [text for each in results for text in each["told"]]
    return {
        "seeds": sum(each["seeds"] for each in results),
        "violations": len(violations),
        "violated": violations[:MAX_VIOLATIONS_REPORTED],
        "false_deaths": sum(each["false_deaths"] for each in results),
        "cpu_s": round(sum(each["cpu_s"] for each in results), 1),
    }


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    return [f"no seed leaves a belief wrong or a node alone: {text}" for text in figures["violated"]]
