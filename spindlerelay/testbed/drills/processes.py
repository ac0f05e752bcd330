"""The drill of many processes: hundreds of nodes with faults between them, and how even their load is.

Every story is a run of real node processes on a cluster of several processes, at 0.85 of the capacity, behind
balancers of mixed policies: round robin, least used, the less used of two, and one in four that ignores all
reports. The stories are the series of ``fault_injection.fault_schedule``, the same stream in each. Without
faults and with all at once the same is played by a balancer that knows the true states, and by a random one;
and, if ``--before`` names a revision, by nodes of that revision. In one more story, ``march``, all
interpreters come up at one instant, and later all stores refuse: whether nodes act in step. Claims:

1. no request is lost, no keyed request runs twice, no node falls over, and no run is void;
2. reports to the endpoint list and redials to the store come as from independent senders: the busiest 10 ms,
   and the variance over the mean, stay under what such senders at the same rate and size stay under with
   ``INDEPENDENT_PROBABILITY``.
"""

from __future__ import annotations

import os
from contextlib import nullcontext
from typing import Any, NamedTuple

from spindlerelay.testbed.cluster import coordinator, observations
from spindlerelay.testbed.cluster.record import RunRecord
from spindlerelay.testbed.cluster.spec import ClusterSpec, small_fleet
from spindlerelay.testbed.experiments.pairs import confidence_interval
from spindlerelay.testbed.fault_injection import fault_schedule
from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.load_generation import outcomes
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES
from spindlerelay.testbed.models.traffic import CLASSES, Phase
from spindlerelay.testbed.revisions import checked_out

RUNS = 1
NODES = 200
BEFORE = ""  # a revision
LOAD = 0.85  # fraction of the capacity
MIN_NODES_OF_LARGE_RUN = 60  # from which on a run takes all cores
LARGE_RUN_MS = 12_000.0
SMALL_RUN_MS = 6000.0
CORES_OF_SMALL_RUN = 2.0
WARM_UP_MS = 4000.0
MIXED_BALANCERS = ("steady", "least", "two", "deaf")
NODES_PER_BALANCER = 4
MIN_BALANCERS = 4
MARCH = "march"
MARCH_NODES = 100  # with fewer, an interval of 10 ms holds hardly any event
MARCH_RUN_MS = 8000.0
REFUSED_AT_MS = 3000.0
REFUSED_MS = 4000.0
PEAK_INTERVAL_MS = 10.0
INDEPENDENT_PROBABILITY = 0.999  # with which independent senders keep each bound
REPORT_PERIOD_MS = 250.0
REDIAL_PERIOD_MS = 320.0  # the longest backoff
BIN_MS = 500.0
MAX_TEXTS_REPORTED = 5


class Job(NamedTuple):
    """One run: a story, and who chooses or whose nodes they are.

    ``who`` is ``mixed``, ``knowing``, ``chance`` or ``before``. The fields are keys of the results.
    """

    seed: int
    nodes: int
    story: str
    who: str = "mixed"
    before: str = ""


def CORES_EACH(jobs: list[Job]) -> float:  # noqa: N802 - a constant in other drills
    """Return the cores that each of the jobs takes."""
    nodes = max(job.nodes for job in jobs if job.story != MARCH)
    return float(os.cpu_count() or 1) if nodes >= MIN_NODES_OF_LARGE_RUN else CORES_OF_SMALL_RUN


def plan(
    seed: int,
    runs: int,
    nodes: int,
    wide: bool,  # noqa: ARG001 - a hook
    before: str = BEFORE,
) -> list[Job]:
    """Return all stories for each seed; ``before`` adds those with nodes of a revision."""
    jobs = []
    for run_seed in range(seed, seed + runs):
        jobs.append(Job(run_seed, MARCH_NODES, MARCH))
        jobs += [Job(run_seed, nodes, story) for story in fault_schedule.SERIES]
        jobs += [
            Job(run_seed, nodes, story, who) for story in ("none", "all") for who in ("knowing", "chance")
        ]
        if before:
            jobs += [Job(run_seed, nodes, story, "before", before) for story in ("none", "all")]
            jobs.append(Job(run_seed, MARCH_NODES, MARCH, "before", before))
    return jobs


def shard_count(nodes: int) -> int:
    """Return the number of the cluster's processes besides the coordinator."""
    return max(2, min(6, nodes // 8))


def balancers_of(nodes: int, names: tuple[str, ...]) -> tuple[Any, ...]:
    """Return the balancers for a number of nodes, the named kinds in turn."""
    count = max(MIN_BALANCERS, nodes // NODES_PER_BALANCER)
    return tuple(BALANCER_PROFILES[names[number % len(names)]] for number in range(count))


def cluster_spec(job: Job, premises: str) -> ClusterSpec:
    """Return the cluster of a job; ``premises`` is the folder of another revision, or empty."""
    length_ms = LARGE_RUN_MS if job.nodes >= MIN_NODES_OF_LARGE_RUN else SMALL_RUN_MS
    if job.story == MARCH:
        length_ms = MARCH_RUN_MS
        faults = tuple(
            Fault(REFUSED_AT_MS, "refuse", node, REFUSED_MS, 0.0, "store") for node in range(job.nodes)
        )
    else:
        faults = fault_schedule.draw_series(job.story, job.seed, job.nodes, length_ms)
    names = MIXED_BALANCERS if job.who in ("mixed", "before") else (job.who,)
    return ClusterSpec(
        seed=job.seed,
        nodes=small_fleet(job.nodes, WARM_UP_MS),
        phases=(Phase(length_ms, LOAD, LOAD),),
        balancers=balancers_of(job.nodes, names),
        faults=faults,
        working_tree=premises,
        synchronized_start=job.story == MARCH,
    )


def figures_of_record(job: dict[str, Any], shards: int, record: RunRecord) -> dict[str, Any]:
    """Return the figures that the drills of many processes share."""
    return {
        "job": job,
        "processes": job["nodes"] + shards + 1,
        "worth": record.goodput,
        "hot": record.hot_fraction,
        "idle": record.idle_fraction,
        "herd": record.herding_ratio,
        "rules": dict(record.violation_counts),
        "broken": record.violations,
        "void": record.void_reasons,
        "late_ms": record.max_delay_ms,
    }


def load_course(record: RunRecord) -> dict[str, Any]:
    """Return each node's load and rejections over time, for plots."""
    return {
        "load": [
            [None if value != value else round(value, 2) for value in row]  # noqa: PLR0124 - NaN
            for row in record.observation.load.tolist()
        ],
        "refused": [[int(count) for count in row] for row in record.observation.rejections],
    }


def run(job: Job) -> dict[str, Any]:
    """Return the figures and the course of one run."""
    with checked_out([job.before]) if job.before else nullcontext({}) as folders:
        shards = shard_count(job.nodes)
        record = coordinator.run_cluster(cluster_spec(job, folders.get(job.before, "")), shards)
    synchrony_figures = synchrony_of_record(record) if job.story == MARCH else {}
    return (
        figures_of_record(job._asdict(), shards, record)
        | synchrony_figures
        | {
            "redials": len(record.refused_connection_times),
            "requests": len(record.rows),
            "journal": record.journal,
        }
        | load_course(record)
        | {"course": outcomes.over_time(record.rows, CLASSES, BIN_MS)["worth"]}
    )


def synchrony(name: str, counts: observations.Counts, period_ms: float) -> dict[str, float]:
    """Return by how much senders act in step: peak and dispersion, each with its bound.

    ``counts`` are events in each ``PEAK_INTERVAL_MS``; a sender repeats itself after ``period_ms``.
    """
    mean = float(counts.mean()) if len(counts) else 0.0
    period_spans = round(period_ms / PEAK_INTERVAL_MS)
    return {
        f"{name}_peak": observations.peak_ratio(counts),
        f"{name}_peak_bound": observations.peak_bound(mean, len(counts), INDEPENDENT_PROBABILITY),
        f"{name}_dispersion": observations.dispersion(counts),
        f"{name}_dispersion_bound": observations.dispersion_bound(period_spans, INDEPENDENT_PROBABILITY),
    }


def synchrony_of_record(record: RunRecord) -> dict[str, float]:
    """Return the figures of ``synchrony`` for the reports and redials of a run of the story ``march``."""
    reports = observations.event_counts(
        record.report_times, PEAK_INTERVAL_MS, record.interpreters_connected_at, MARCH_RUN_MS
    )
    redials = observations.event_counts(
        record.refused_connection_times, PEAK_INTERVAL_MS, REFUSED_AT_MS, REFUSED_AT_MS + REFUSED_MS
    )
    return synchrony("reports", reports, REPORT_PERIOD_MS) | synchrony("redials", redials, REDIAL_PERIOD_MS)


def group_by_story(results: list[dict[str, Any]]) -> dict[tuple[str, str], list[dict[str, Any]]]:
    """Return the results by story and by who chooses."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for result in results:
        groups.setdefault((result["job"]["story"], result["job"]["who"]), []).append(result)
    return groups


def mean_of(results: list[dict[str, Any]], key: str) -> float:
    """Return the mean of a figure, to four digits."""
    values: list[float] = [result[key] for result in results]
    return round(sum(values) / len(values), 4)


def difference_in_worth(one: list[dict[str, Any]], other: list[dict[str, Any]]) -> list[float | None]:
    """Return mean, lower and upper bound and number of the paired differences in ``worth``."""
    pairs = zip(one, other, strict=True)
    difference = confidence_interval([first["worth"] - second["worth"] for first, second in pairs])
    return [
        None if value is None else round(value, 4)
        for value in (difference.mean, difference.low, difference.high, difference.pairs)
    ]


SYNCHRONY_KEYS = ("reports_peak", "reports_dispersion", "redials_peak", "redials_dispersion")
SUFFIXES = {"mixed": "", "knowing": "_all_knowing", "chance": "_by_chance", "before": "_before"}


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all runs."""
    figures: dict[str, Any] = {
        "nodes": max(each["job"]["nodes"] for each in results if each["job"]["story"] != MARCH),
        "processes": max(each["processes"] for each in results),
    }
    groups = group_by_story(results)
    for (story, who), runs in groups.items():
        if story == MARCH:
            worst = max(
                runs, key=lambda each: max(each[key] - each[f"{key}_bound"] for key in SYNCHRONY_KEYS)
            )
            for key in (*SYNCHRONY_KEYS, *(f"{key}_bound" for key in SYNCHRONY_KEYS), "redials"):
                figures[key + SUFFIXES[who]] = round(worst[key], 2)
            continue
        story_suffix = "" if story == "all" else f"_{story}"
        for key in ("worth", "hot", "idle", "herd"):
            figures[key + SUFFIXES[who] + story_suffix] = mean_of(runs, key)
        if who == "before":
            figures["gained" + story_suffix] = difference_in_worth(groups[story, "mixed"], runs)
    ours = [each for each in results if each["job"]["who"] != "before"]
    figures |= rule_violations(ours)
    figures["lost_before"] = sum(sum(each["rules"].values()) for each in results if each not in ours)
    figures |= void_runs(results)
    return figures


def rule_violations(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return how often each rule was broken."""
    names = (
        ("lost", "lost"),
        ("ran_twice", "duplicate"),
        ("fell_over", "fall_over"),
        ("internal_errors", "internal_error"),
    )
    return {key: sum(each["rules"].get(rule, 0) for each in results) for key, rule in names}


def void_runs(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return how many runs do not count, and the first texts about them and about broken rules."""
    texts = [text for each in results for text in (*each["void"], *each["broken"])]
    return {
        "void": sum(bool(each["void"]) for each in results),
        "late_ms": round(max(each["late_ms"] for each in results), 1),
        "told": texts[:MAX_TEXTS_REPORTED],
    }


def failed_rules(figures: dict[str, Any]) -> list[str]:
    """Return the claim that every drill of many processes makes, if it does not hold."""
    if any(figures[key] for key in ("lost", "ran_twice", "fell_over", "internal_errors", "void")):
        claim = "no request is lost or runs twice, no node falls or logs an internal error, no run is void"
        return [f"{claim}: {figures['told']}"]
    return []


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = failed_rules(figures)
    claims += [
        f"{key} is {figures[key]}: independent senders stay under {figures[f'{key}_bound']}"
        for key in SYNCHRONY_KEYS
        if figures[key] > figures[f"{key}_bound"]
    ]
    return claims


def course(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return what ``report`` draws."""
    return {"kind": "processes", "bin_ms": BIN_MS, "runs": results}
