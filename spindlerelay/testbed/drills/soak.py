"""The soak of process ends: many seeds of ``testbed.soak``, each a real node process or two.

Claims: no seed breaks a rule of the platform, ends with another status than 0, logs an internal error or goes
over its memory or descriptors; and at most a tenth of the seeds is void, as their driver was late.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from spindlerelay.testbed.soak import player, scenario

CORES_EACH = 1.5
NODES = 2  # processes at most; the drill knows no other number
RUNS = 1
SEEDS = 50
FIRST = 1
MAX_REPORTS = 5
MAX_VOID_FRACTION = 0.1


class Job(NamedTuple):
    """One seed."""

    seed: int


def plan(
    seed: int,  # noqa: ARG001 - a hook
    runs: int,  # noqa: ARG001 - a hook
    nodes: int,  # noqa: ARG001 - a hook
    wide: bool,  # noqa: ARG001 - a hook
    seeds: int = SEEDS,
    first: int = FIRST,
) -> list[Job]:
    """Return a job for each of ``seeds`` seeds from ``first`` on."""
    return [Job(number) for number in range(first, first + seeds)]


def run(job: Job) -> dict[str, Any]:
    """Return the figures of one seed."""
    drawn = scenario.draw(job.seed)
    outcome = player.play(drawn)
    return outcome._asdict() | {
        "void": outcome.is_void,
        "crowd": bool(drawn.bursts),
        "violations": [f"{each.rule}: {each.detail}" for each in outcome.violations],
    }


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all seeds. Violations of a void seed do not count, and are reported as void."""
    counted = [each for each in results if not each["void"]]
    broken = [each for each in counted if each["violations"]]
    return {
        "seeds": len(results),
        "crowds": sum(each["crowd"] for each in results),
        "void": len(results) - len(counted),
        "void_seeds": [each["seed"] for each in results if each["void"]],
        "broken": len(broken),
        "broken_seeds": {each["seed"]: each["violations"][0] for each in broken},
        "requests": sum(each["requests"] for each in results),
        "responses": sum(each["responses"] for each in results),
        "late_ms": max(each["lateness_ms"] for each in results),
        "exit_ahead_ms": min((each["exited_before_kill_ms"] for each in counted), default=0.0),
        "max_memory_kb": max(each["max_memory_kb"] for each in results),
        "max_descriptors": max(each["max_descriptors"] for each in results),
        "reports": [each["report"] for each in broken[:MAX_REPORTS]],
    }


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = [f"no seed breaks a rule: seed {seed}: {text}" for seed, text in figures["broken_seeds"].items()]
    if figures["void"] > MAX_VOID_FRACTION * figures["seeds"]:
        claims.append(f"at most a tenth of the seeds is void: {figures['void']} of {figures['seeds']}")
    return claims
