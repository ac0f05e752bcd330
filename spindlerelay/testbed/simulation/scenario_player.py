"""Plays one seed in virtual time: faults carried out, all traffic checked, and the outcome.

Besides the rules that the cluster's checker reads from the traffic: no fault in the program is logged, no
request is forgotten, requests are served again after the last fault, and virtual time advances. A violation
comes with its time and the last events; ``shrink`` removes faults while it remains. Must not depend on how an
outcome is reported.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from loguru import logger

from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.testbed.simulation import fault_schedule
from spindlerelay.testbed.simulation.fault_player import FaultPlayer
from spindlerelay.testbed.simulation.fault_schedule import Schedule
from spindlerelay.testbed.simulation.virtual_clock import HangError
from spindlerelay.testbed.simulation.virtual_network import START_MS, VirtualNetwork
from spindlerelay.testbed.simulation.virtual_workspace import VirtualWorkspace
from spindlerelay.testbed.tally import OutcomeTally

WARM_UP_MS = 1500.0
DISK_ERROR_PREFIX = "storage: "  # of a node's log lines about a disk that is full or lied
MAX_LOGGED_ERROR_CHARS = 600
RECOVERY_WINDOW_MS = 2000.0  # the last part of the run, past every fault
MIN_RECOVERY_REQUESTS = 20  # fewer in the window decide nothing
MIN_RECOVERED_FRACTION = 0.03  # cold successors of a whole fleet serve no more at first
STORAGE_CONFIG = """[storage]
path = "/disk/{name}"
durability = "power"
compact_mb = 0.01
"""


class Outcome(NamedTuple):
    """The outcome of a seed. ``violations`` are texts with the node's name, ``trace`` the last events."""

    schedule: Schedule
    violations: tuple[str, ...]
    digest: str
    virtual_s: float
    cpu_s: float  # CPU time
    requests: int
    weighted_success_ratio: float
    reached: frozenset[str]
    recent_events: tuple[str, ...]


@contextmanager
def capture_logged_errors(errors: list[str]) -> Iterator[None]:
    """Append to ``errors`` what nodes log as errors while the context lasts."""
    logger.remove()
    sink = logger.add(
        lambda line: errors.append(str(line).strip()[:MAX_LOGGED_ERROR_CHARS]),
        level="ERROR",
        format="{message}",
    )
    try:
        yield
    finally:
        logger.remove(sink)


def _cluster_spec(schedule: Schedule) -> ClusterSpec:
    return ClusterSpec(
        seed=schedule.seed,
        nodes=fleet(schedule.node_count, WARM_UP_MS),
        cold_start=schedule.cold_start,
        stop_timeout_ms=fault_schedule.STOP_TIMEOUT_MS,
        phases=(Phase(fault_schedule.RUN_LENGTH_MS, schedule.load, schedule.load),),
        balancers=tuple(BALANCER_PROFILES[name] for name in schedule.balancer_names),
        uses_catalogue=schedule.catalogue,
        operator_config=STORAGE_CONFIG if schedule.storage else "",
    )


def play(schedule: Schedule) -> Outcome:
    """Return the outcome of a schedule: equal for the same schedule, event for event."""
    started_s = time.process_time()
    network = VirtualNetwork(schedule.seed)
    skews_ms = {f"n{number}": skew for number, skew in enumerate(schedule.clock_skews_ms, 1)}
    workspace = VirtualWorkspace(network, skews_ms)
    player = FaultPlayer(workspace, schedule.faults)
    logged_errors = list[str]()
    violations = list[str]()
    spec = _cluster_spec(schedule)
    with capture_logged_errors(logged_errors):
        try:
            player.keys_survive_restarts = schedule.storage
            cluster = player.play(spec, workspace)
        except (HangError, RuntimeError) as error:
            violations.append(f"hang: {error!r}")
            cluster = player.cluster
    violations += _violations_after_run(schedule, cluster, player, workspace, logged_errors)
    worth = cluster.tally.value_fraction()
    if not violations and not _recovered(cluster.tally, fault_schedule.RUN_LENGTH_MS):
        violations.append("liveness: nothing was served again after the last fault")
    trace = [f"{at_ms - START_MS:10.3f} {text}" for at_ms, text in network.log.recent] if violations else []
    return Outcome(
        schedule=schedule,
        violations=tuple(violations),
        digest=network.log.digest(),
        virtual_s=(network.now_ms - START_MS) / 1000.0,
        cpu_s=time.process_time() - started_s,
        requests=len(cluster.requests),
        weighted_success_ratio=worth,
        reached=frozenset(player.reached | {f"line {kind}" for _, kind in workspace.logged_warnings}),
        recent_events=tuple(trace),
    )


def _violations_after_run(
    schedule: Schedule,
    cluster: Cluster,
    player: FaultPlayer,
    workspace: VirtualWorkspace,
    logged_errors: list[str],
) -> list[str]:
    """Return the violations of the checker, then logged errors, then forgotten requests and runs."""
    violations = [f"{each.rule}: {each.node}: {each.detail}" for each in cluster.checker.violations]
    violations += [
        f"error: {line}"
        for line in logged_errors
        if not (schedule.storage and line.startswith(DISK_ERROR_PREFIX))
    ]
    return violations + _forgotten_requests(workspace) + player.orphaned_run_errors


def _recovered(tally: OutcomeTally, length_ms: float) -> bool:
    requested = 0
    complete = 0
    for name in tally.rows_by_class:
        window = tally.between(name, length_ms - RECOVERY_WINDOW_MS, length_ms)
        requested += window.requests
        complete += window.complete
    return requested < MIN_RECOVERY_REQUESTS or complete >= MIN_RECOVERED_FRACTION * requested


def _forgotten_requests(workspace: VirtualWorkspace) -> list[str]:
    """Return a text for each node with open requests although all are answered or past their deadlines."""
    violations = []
    for name, processes in workspace.processes.items():
        if processes[-1].returncode is None and (count := processes[-1].service.node.outstanding()):
            violations.append(f"forgotten: {name}: {count} requests are still open at the end")
    return violations


def shrink(schedule: Schedule) -> Schedule:
    """Return the schedule without the faults that a violation of the same rule does not need."""
    violations = play(schedule).violations
    rule = violations[0].partition(":")[0] if violations else ""
    index = 0
    while rule and index < len(schedule.faults):
        without = schedule._replace(faults=schedule.faults[:index] + schedule.faults[index + 1 :])
        if any(text.startswith(rule) for text in play(without).violations):
            schedule = without
        else:
            index += 1
    return schedule
