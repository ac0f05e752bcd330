"""The drill of even load: who chooses how, with hundreds of nodes that gossip and faults between them.

Every run is real node processes on a cluster of several processes, at 0.85 of the capacity. In the stories of
``fault_injection.fault_schedule`` the same stream is played by balancers of mixed policies on the endpoint
list (``mixed``, as the fleet is today), by ``spindlerelay.routing`` on the same list (``routed``), by
balancers that follow the catalogue's weights alone, which the nodes settle by gossip (``weights``), by each
plain policy, by a random one and by one that knows all states at once. Three more stories, at a load of
``BELIEF_LOAD``, are about what nodes believe: a twentieth killed for good (``deaths``), a twentieth stopped
for 1 s with 5% of all datagrams lost (``stops``), and halves cut off (``halves``). Claims:

1. no request is lost, no keyed request runs twice, no node falls over, no run is void;
2. with ``routed``: idle and hot at most ``MAX_UNEVEN`` without faults and ``MAX_UNEVEN_WITH_FAULTS`` with
   all, worth within ``MAX_BELOW_KNOWING`` of the one that knows all, herd under ``MAX_HERD``;
3. with ``weights``: idle and hot at most half of ``mixed``;
4. 99% of the living know of a death within ``MAX_DETECTION_MS``; no false death lasts over
   ``MAX_FALSE_DEATH_MS``; in the end nobody living is taken for dead.
"""

from __future__ import annotations

import os
from typing import Any, NamedTuple

import numpy as np

from spindlerelay.testbed.cluster import coordinator, membership_views
from spindlerelay.testbed.cluster.spec import ClusterSpec, small_fleet
from spindlerelay.testbed.drills import processes
from spindlerelay.testbed.drills.processes import (
    CORES_OF_SMALL_RUN,
    LOAD,
    MIN_NODES_OF_LARGE_RUN,
    MIXED_BALANCERS,
    WARM_UP_MS,
    shard_count,
)
from spindlerelay.testbed.fault_injection import fault_schedule
from spindlerelay.testbed.fault_injection.fault_schedule import MEMBERSHIP_LINK, Fault
from spindlerelay.testbed.models.traffic import Phase

RUNS = 1
NODES = 200
SEEDS = 3  # the first nodes, whose addresses every node is given
LARGE_RUN_MS = 14_000.0
SMALL_RUN_MS = 7000.0
PLAIN_BALANCERS = ("steady", "least", "two")
BOUNDS = ("knowing", "chance")
BY_WEIGHTS = "weights"  # who goes by the catalogue, where nodes settle their weights
MAX_CATALOGUE_NODES = 100  # with more, eight cores do not carry agent, gossip and load
BELIEF_STORIES = ("deaths", "stops", "halves")
BELIEF_LOAD = 0.25  # hundreds of nodes that gossip need the cores
AFFECTED_ONE_IN = 20  # nodes
FAULT_AT_MS = 2500.0
STOP_MS = 1000.0
LOSS_AT_MS = FAULT_AT_MS - 1000.0
LOSS_MS = 4000.0
LOSS_PROBABILITY = 0.05
SPLIT_MS = 3000.0
DEAF_MS = 2500.0
KILLED_FOR_GOOD_MS = 600_000.0
MAX_UNEVEN = 0.02
MAX_UNEVEN_WITH_FAULTS = 0.04
MAX_BELOW_KNOWING = 0.03
MAX_HERD = 2.0
MAX_DETECTION_MS = 3000.0
MAX_FALSE_DEATH_MS = 2000.0
UNKNOWN_MS = 1e9  # stands for a death that somebody never learned of


class Job(NamedTuple):
    """One run: a story, and who chooses; ``few`` is ``mixed`` with as many nodes as ``weights`` has.

    The fields are keys of the results.
    """

    seed: int
    nodes: int
    story: str
    who: str


def CORES_EACH(jobs: list[Job]) -> float:  # noqa: N802 - a constant in other drills
    """Return the cores that each of the jobs takes."""
    large = max(job.nodes for job in jobs) >= MIN_NODES_OF_LARGE_RUN
    return float(os.cpu_count() or 1) if large else CORES_OF_SMALL_RUN


def plan(seed: int, runs: int, nodes: int, wide: bool) -> list[Job]:
    """Return all stories for each seed; ``wide`` adds the plain policies and the other series of faults."""
    return [job for run_seed in range(seed, seed + runs) for job in _plan_seed(run_seed, nodes, wide)]


def _plan_seed(seed: int, nodes: int, wide: bool) -> list[Job]:
    catalogue_nodes = min(nodes, MAX_CATALOGUE_NODES)
    balancers = ("mixed", "routed", BY_WEIGHTS, *BOUNDS, *(PLAIN_BALANCERS if wide else ()))
    jobs = [
        Job(seed, catalogue_nodes if who == BY_WEIGHTS else nodes, story, who)
        for story in ("none", "all")
        for who in balancers
    ]
    if nodes > MAX_CATALOGUE_NODES:
        jobs += [Job(seed, MAX_CATALOGUE_NODES, story, "few") for story in ("none", "all")]
    series = [story for story in fault_schedule.SERIES if story not in ("none", "all")] if wide else []
    jobs += [Job(seed, nodes, story, "routed") for story in (*series, *BELIEF_STORIES[:-1])]
    # Reading the 40,000 log lines of 200 nodes that are cut in halves would take all cores.
    jobs.append(Job(seed, catalogue_nodes, BELIEF_STORIES[-1], "routed"))
    return jobs


def faults_of(job: Job, length_ms: float) -> tuple[Fault, ...]:
    """Return the faults of a story. With all faults at once, a twentieth of the nodes is deaf, too."""
    affected = max(1, job.nodes // AFFECTED_ONE_IN)
    match job.story:
        case "deaths":
            faults = [
                Fault(FAULT_AT_MS, "kill", node, KILLED_FOR_GOOD_MS)
                for node in range(SEEDS, SEEDS + affected)
            ]
        case "stops":
            faults = [Fault(FAULT_AT_MS, "pause", node, STOP_MS) for node in range(SEEDS, SEEDS + affected)]
            faults += [
                Fault(LOSS_AT_MS, "drop", node, LOSS_PROBABILITY, LOSS_MS, MEMBERSHIP_LINK, "in")
                for node in range(job.nodes)
            ]
        case "halves":
            faults = [Fault(FAULT_AT_MS, "split", 0, float(job.nodes // 2), SPLIT_MS)]
        case _:
            faults = list(fault_schedule.draw_series(job.story, job.seed, job.nodes, length_ms))
            if job.story == "all" and gossips(job):
                faulty = {fault.node for fault in faults}
                healthy = [node for node in range(job.nodes) if node not in faulty]
                faults += [
                    Fault(FAULT_AT_MS, "cut", node, DEAF_MS, 0.0, MEMBERSHIP_LINK, "in")
                    for node in healthy[:affected]
                ]
    return fault_schedule.validate(faults, job.nodes)


def gossips(job: Job) -> bool:
    """Return whether nodes have a ``[membership]`` table."""
    return job.who == BY_WEIGHTS or job.story in BELIEF_STORIES


def spec_of(job: Job) -> ClusterSpec:
    """Return the cluster of a job."""
    length_ms = LARGE_RUN_MS if job.nodes >= MIN_NODES_OF_LARGE_RUN else SMALL_RUN_MS
    by_weights = job.who == BY_WEIGHTS
    names: tuple[str, ...] = (job.who,)
    if by_weights:
        names = ("turns",)
    elif job.who in ("mixed", "few"):
        names = MIXED_BALANCERS
    load = BELIEF_LOAD if job.story in BELIEF_STORIES else LOAD
    return ClusterSpec(
        seed=job.seed,
        nodes=small_fleet(job.nodes, WARM_UP_MS),
        phases=(Phase(length_ms, load, load),),
        balancers=processes.balancers_of(job.nodes, names),
        faults=faults_of(job, length_ms),
        uses_membership=gossips(job),
        uses_catalogue=by_weights,
        endpoint_source="catalogue" if by_weights else "announce",
    )


def run(job: Job) -> dict[str, Any]:
    """Return the figures and the course of one run."""
    spec = spec_of(job)
    shards = shard_count(job.nodes)
    record = coordinator.run_cluster(spec, shards)
    length_ms = spec.phases[0].length_ms
    views = membership_views.detection_quality(
        record.journal, record.status_changes, record.alive_views, length_ms
    )
    return (
        processes.figures_of_record(job._asdict(), shards, record)
        | {
            "requests": len(record.rows),
            "members_wrong": views.wrong_fraction,
            "known": views.detection_delays_ms,
            "unknown": views.missed,
            "false_ms": max(views.false_death_durations_ms, default=0.0),
            "false": len(views.false_death_durations_ms),
            "weights": [list(each) for each in record.weight_changes],
            "swing": weight_oscillation(record.weight_changes),
            "weight_changes": sum(at_ms >= 0.0 for at_ms, _, _ in record.weight_changes) / job.nodes,
            "journal": record.journal,
            "course": [],
        }
        | processes.load_course(record)
    )


def weight_oscillation(weights: list[tuple[float, str, int]]) -> float:
    """Return how far weights went back and forth: 0 if every weight went one way.

    It is the mean over the nodes of what a node's weight moved, less its change from first to last, as a
    fraction of its mean.
    """
    by_node: dict[str, list[int]] = {}
    for _, name, weight in sorted(weights):
        by_node.setdefault(name, []).append(weight)
    oscillations = []
    for values in by_node.values():
        distance = sum(abs(after - before) for before, after in zip(values, values[1:], strict=False))
        change = abs(values[-1] - values[0])
        oscillations.append((distance - change) / max(1.0, sum(values) / len(values)))
    return sum(oscillations) / len(oscillations) if oscillations else 0.0


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all runs."""
    figures: dict[str, Any] = {
        "nodes": max(each["job"]["nodes"] for each in results),
        "processes": max(each["processes"] for each in results),
    }
    groups = processes.group_by_story(results)
    for (story, who), runs in groups.items():
        if story in BELIEF_STORIES:
            continue
        suffix = f"_{who}" + ("" if story == "all" else f"_{story}")
        for key in ("worth", "hot", "idle", "herd"):
            figures[key + suffix] = processes.mean_of(runs, key)
        if who == BY_WEIGHTS:
            for key in ("weight_changes", "swing", "members_wrong"):
                figures[key + suffix] = processes.mean_of(runs, key)
    for story in ("none", "all"):
        figures[f"worth_under_knowing_{story}"] = processes.difference_in_worth(
            groups[story, "knowing"], groups[story, "routed"]
        )
    figures |= _belief_figures(groups[BELIEF_STORIES[0], "routed"], groups[BELIEF_STORIES[1], "routed"])
    figures["members_wrong"] = round(max(each["members_wrong"] for each in results), 4)
    figures |= processes.rule_violations(results) | processes.void_runs(results)
    return figures


def _belief_figures(deaths: list[dict[str, Any]], stops: list[dict[str, Any]]) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    detection_ms = [each_ms for run in deaths for each_ms in run["known"]]
    unknown = sum(run["unknown"] for run in deaths)
    if detection_ms:
        with_unknown = sorted(detection_ms) + [float("inf")] * unknown
        figures["known_ms"] = round(float(np.median(detection_ms)))
        figures["known_99_ms"] = round(min(UNKNOWN_MS, with_unknown[int(0.99 * (len(with_unknown) - 1))]))
        figures["known_worst_ms"] = round(max(detection_ms))
    figures["unknown"] = unknown
    figures["false_deaths"] = sum(run["false"] for run in stops)
    figures["false_longest_ms"] = round(max(run["false_ms"] for run in stops))
    return figures


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = processes.failed_rules(figures)
    for story, suffix, max_uneven in (("none", "_none", MAX_UNEVEN), ("all", "", MAX_UNEVEN_WITH_FAULTS)):
        for key in ("idle", "hot"):
            if figures[f"{key}_routed{suffix}"] > max_uneven:
                claims.append(f"routed, {story}: {key} is at most {max_uneven:g}")
        if figures[f"worth_under_knowing_{story}"][0] > MAX_BELOW_KNOWING:
            claims.append(f"routed, {story}: worth within {MAX_BELOW_KNOWING:g} of the one that knows all")
        if figures[f"herd_routed{suffix}"] > MAX_HERD:
            claims.append(f"routed, {story}: herd is under {MAX_HERD:g}")
        for key in ("idle", "hot"):
            mixed = figures.get(f"{key}_few{suffix}", figures[f"{key}_mixed{suffix}"])
            if figures[f"{key}_weights{suffix}"] > mixed / 2.0:
                claims.append(f"weights, {story}: {key} is at most half of the mixed balancers'")
    if figures.get("known_99_ms", UNKNOWN_MS) > MAX_DETECTION_MS or figures["unknown"]:
        claims.append(f"99% of the living know of a death within {MAX_DETECTION_MS:g} ms")
    if figures["false_longest_ms"] > MAX_FALSE_DEATH_MS:
        claims.append(f"no false death lasts over {MAX_FALSE_DEATH_MS:g} ms")
    if figures["members_wrong"]:
        claims.append("in the end nobody living is taken for dead")
    return claims


def course(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return what ``report`` draws, as for the drill of processes."""
    return {"kind": "processes", "bin_ms": processes.BIN_MS, "runs": results}
