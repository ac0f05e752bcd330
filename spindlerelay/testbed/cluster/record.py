"""Results of a run in several processes: the result of each shard and the record of the run.

The functions do no I/O. Drills and tests evaluate ``RunRecord``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

import numpy as np

from spindlerelay.testbed.cluster import observations
from spindlerelay.testbed.cluster.observations import FleetObservation
from spindlerelay.testbed.cluster.spec import ClusterSpec
from spindlerelay.testbed.load_generation import outcomes
from spindlerelay.testbed.load_generation.outcomes import Rows

MAX_VIOLATIONS = 20  # violations with details; the counts include all violations
ATTEMPT_COLUMNS = ("<f8", "<u2", "<u2")  # data types of time, balancer and node


class ShardResult(TypedDict):
    """The result of one shard, as sent to the coordinator.

    Attributes:
        rows: outcomes of requests in the format of ``load_generation.outcomes``.
        violation_counts: number of violations by rule.
        violations: rule, node and detail of the first violations.
        refusals: attempts that did not succeed, by reason.
        names: names of the shard's nodes.
        load_sums: the rows of a ``LoadSums``.
        rejections: lists of node, second and number of rejections.
        attempts: one packed array for each of ``ATTEMPT_COLUMNS``.
        journal: entries of the fault journal.
        max_send_delay_ms: longest delay of a request between its scheduled and its actual time.
        refused_at: times in Unix ms of connections to links that refused them.
        beliefs: status changes as lists of time in ms since the first request, observer, subject and status.
        believed: names of the nodes that each node considers alive at the end of the run.
    """

    rows: bytes
    violation_counts: dict[str, int]
    violations: list[list[Any]]
    refusals: dict[str, int]
    names: list[str]
    load_sums: dict[int, list[list[float]]]
    rejections: list[list[Any]]
    attempts: list[bytes]
    journal: list[list[Any]]
    max_send_delay_ms: float
    refused_at: list[float]
    beliefs: list[list[Any]]
    believed: dict[str, list[str]]


class RunRecord(NamedTuple):
    """The record of a run. Times are in ms since the first request.

    Attributes:
        rows: outcome of each request.
        goodput: goodput of the run, by ``load_generation.outcomes.goodput``.
        violation_counts: number of violations by rule.
        violations: the first violations as text.
        observation: load, busy fraction and rejections by node and second.
        hot_fraction: fraction of node-seconds with a load far above the fleet's mean.
        idle_fraction: fraction of node-seconds with a load far below the fleet's mean while a node rejects.
        herding_ratio: herd size relative to random node selection.
        failures: attempts that did not succeed, by reason.
        journal: entries of the fault journal, by time.
        report_times: arrival times of load reports at the announce service.
        interpreters_connected_at: time at which all interpreters came up together, in a synchronized start.
        refused_connection_times: times of connections to links that refused them.
        max_delay_ms: longest delay of a tick of a shard or of a request.
        void_reasons: sentences that state why the run is void; empty for a valid run.
        status_changes: lists of time, observer, subject and status, in clusters with membership.
        alive_views: names of the nodes that each node considers alive at the end of the run.
        weight_changes: time, node and new weight of each change in the catalogue.
    """

    rows: Rows
    goodput: float
    violation_counts: Counter[str]
    violations: list[str]
    observation: FleetObservation
    hot_fraction: float
    idle_fraction: float
    herding_ratio: float
    failures: Counter[str]
    journal: list[list[Any]]
    report_times: list[float]
    interpreters_connected_at: float
    refused_connection_times: list[float]
    max_delay_ms: float
    void_reasons: list[str]
    status_changes: list[list[Any]]
    alive_views: dict[str, list[str]]
    weight_changes: list[tuple[float, str, int]]


class RunTimes(NamedTuple):
    """Times that the coordinator recorded, in Unix ms.

    Attributes:
        started_at: time of the first request.
        interpreters_connected_at: time at which all interpreters came up together, in a synchronized start.
        report_times: arrival times of load reports at the announce service.
        weight_changes: time, node and new weight of each change in the catalogue.
        max_tick_delay_ms: longest delay of a tick of a shard.
    """

    started_at: float
    interpreters_connected_at: float
    report_times: list[float]
    weight_changes: Iterable[tuple[float, str, int]]
    max_tick_delay_ms: float


def merge(
    spec: ClusterSpec, request_count: int, length_ms: float, results: list[ShardResult], times: RunTimes
) -> RunRecord:
    """Merge the results of the shards into the record of the run.

    ``void_reasons`` states the number of requests that were never sent, if there are any.
    """
    rows = outcomes.join_rows([outcomes.parse_rows(result["rows"]) for result in results])
    violation_counts, refusals = Counter[str](), Counter[str]()
    for result in results:
        violation_counts.update(result["violation_counts"])
        refusals.update(result["refusals"])
    observation = _observation(spec, length_ms, results)
    violations = [
        f"{rule} at {node}: {detail}" for result in results for rule, node, detail in result["violations"]
    ]
    missing = request_count - len(rows)
    return RunRecord(
        rows,
        outcomes.goodput(rows, spec.classes),
        violation_counts,
        violations[:MAX_VIOLATIONS],
        observation,
        observations.hot_fraction(observation),
        observations.idle_fraction(observation),
        _herding(spec, results),
        refusals,
        sorted(list(entry) for result in results for entry in result["journal"]),
        [at - times.started_at for at in times.report_times],
        times.interpreters_connected_at - times.started_at,
        [at - times.started_at for result in results for at in result["refused_at"]],
        max([times.max_tick_delay_ms, *(result["max_send_delay_ms"] for result in results)]),
        [f"{missing} requests were never sent"] if missing else [],
        [change for result in results for change in result["beliefs"]],
        {name: alive for result in results for name, alive in result["believed"].items()},
        [(at - times.started_at, name, weight) for at, name, weight in times.weight_changes],
    )


def _observation(spec: ClusterSpec, length_ms: float, results: list[ShardResult]) -> FleetObservation:
    rejections = {(name, second): count for result in results for name, second, count in result["rejections"]}
    seconds = int(length_ms / observations.SECOND_MS)
    sums = [(result["names"], result["load_sums"]) for result in results]
    return observations.merge_samples(spec.node_names(), seconds, sums, rejections)


def _herding(spec: ClusterSpec, results: list[ShardResult]) -> float:
    times_ms, balancers, nodes = (
        np.concatenate(
            [np.frombuffer(result["attempts"][column], dtype) for result in results] or [np.empty(0)]
        )
        for column, dtype in enumerate(ATTEMPT_COLUMNS)
    )
    return observations.herding_ratio(
        times_ms, balancers.astype(np.int64), nodes.astype(np.int64), len(spec.nodes), spec.seed
    )
