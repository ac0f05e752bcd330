"""The drill of the catalogue, with balancers that choose through it.

A ramp to overload, a slow node, a kill and cold restart, an outage of the agent, and a rolling drain of all
nodes. The claims are checked from the stand-in agent's own history and from the responses on the sockets:

1. every node is critical in the catalogue before its first rejection is read, of those that it sends while
   the catalogue has an entry of it (an agent that is down, or came back empty, shows none);
2. every node that still answers after SIGTERM is out of the catalogue before its last response is read;
   responses within 50 ms of the signal, which cross it, do not count;
3. no status changes twice in the same way within one fault;
4. no request is lost, no keyed request runs twice.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import Any, NamedTuple

from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.node_host import Incarnation
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.cluster.workspace import Workspace
from spindlerelay.testbed.models.balancer import BalancerProfile
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.testbed.scenario import Scenario

CORES_EACH = 3.0  # that a run with a handful of nodes needs to send in time
NODES = 4
RUNS = 1
WARM_UP_MS = 4000.0
BASE_LOAD = 0.35  # fractions of the capacity
OVERLOAD = 1.35
RAMP_AT_MS = 3000.0
RAMP_MS = 7000.0
OVERLOAD_MS = 2000.0
SLOW_AT_MS = 25_000.0
SLOW_MS = 5000.0
SLOWDOWN = 5.0
KILL_AT_MS = 26_000.0
RESTART_AT_MS = 28_500.0
OUTAGE_AT_MS = 36_000.0
OUTAGE_MS = 2500.0
DRAIN_AT_MS = 41_000.0
ROLLING_DRAIN_MS = 9000.0  # in which the drains of all nodes begin
LENGTH_MS = 54_000.0
CROSSING_MS = 50.0  # as in the protocol: a response so soon after the signal crossed it
MAX_FLAPS_REPORTED = 5
BALANCERS = (
    BalancerProfile("weighted"),
    BalancerProfile("weighted"),
    BalancerProfile("weighted", honours_backpressure=False),
)


class FaultWindow(NamedTuple):
    """A fault, from its begin to the begin of the next: its recovery counts."""

    name: str
    start_ms: float
    end_ms: float


FAULT_WINDOWS = (
    FaultWindow("ramp", RAMP_AT_MS, SLOW_AT_MS),
    FaultWindow("slow and kill", SLOW_AT_MS, OUTAGE_AT_MS),
    FaultWindow("outage", OUTAGE_AT_MS, DRAIN_AT_MS),
    FaultWindow("drain", DRAIN_AT_MS, math.inf),
)
PHASES = (
    Phase(RAMP_AT_MS, BASE_LOAD, BASE_LOAD),
    Phase(RAMP_MS, BASE_LOAD, OVERLOAD),
    Phase(OVERLOAD_MS, OVERLOAD, OVERLOAD),
    Phase(LENGTH_MS - RAMP_AT_MS - RAMP_MS - OVERLOAD_MS, BASE_LOAD, BASE_LOAD),
)


class CatalogueScenario(Scenario):
    """Plays the faults at their times."""

    def tick(self, at: float) -> None:
        """Begin and end what is due; ``at`` is ms since the first request."""
        assert self.cluster.agent
        hosts = list(self.cluster.hosts.values())
        self.slow(hosts[0], at, SLOW_AT_MS, SLOW_AT_MS + SLOW_MS, SLOWDOWN)
        self.crash(hosts[1], at, KILL_AT_MS, RESTART_AT_MS)
        if self.once("outage", at >= OUTAGE_AT_MS):
            self.cluster.agent.stop()
        if self.once("outage is over", at >= OUTAGE_AT_MS + OUTAGE_MS):
            self.cluster.catalogue.reset()  # the agent comes back with no registrations
            self.cluster.agent.listen()
        for number, host in enumerate(hosts):
            self.replace(host, at, DRAIN_AT_MS + ROLLING_DRAIN_MS * number / len(hosts))


def play(seed: int, nodes: int, workspace: Workspace | None = None) -> Cluster:
    """Return the cluster after one run of the drill, on loopback by default."""
    return CatalogueScenario().play(
        ClusterSpec(
            seed=seed,
            nodes=fleet(nodes, WARM_UP_MS),
            phases=PHASES,
            balancers=BALANCERS,
            uses_catalogue=True,
            endpoint_source="catalogue",
        ),
        workspace,
    )


def flaps(cluster: Cluster) -> list[str]:
    """Return a text for each status change that a process repeated within one fault.

    A registration, which starts critical, is no change, and neither is what the entry of an earlier process
    did before this one's first status.
    """
    found: list[str] = []
    for name, host in cluster.hosts.items():
        previous = "absent"
        just_registered = False
        changes = Counter[tuple[str, int, str, str]]()
        reported = set[int]()  # incarnations that have set a status
        for at_ms, service_id, status in cluster.catalogue.history:
            if service_id != name:
                continue
            window = _window_at(at_ms - cluster.started_at)
            incarnation = sum(at_ms >= life.started_at for life in host.incarnations)
            if "absent" not in (previous, status) and not just_registered and incarnation in reported:
                changes[window, incarnation, previous, status] += 1
            if status in ("passing", "warning"):
                reported.add(incarnation)
            just_registered = previous == "absent" and status == "critical"
            previous = status
        found += [
            f"{name}: {before} to {after} {count} times in {window}"
            for (window, _, before, after), count in changes.items()
            if window and count > 1
        ]
    return found


def _window_at(at_ms: float) -> str:
    return next((window.name for window in FAULT_WINDOWS if window.start_ms <= at_ms < window.end_ms), "")


def _statuses(cluster: Cluster, name: str, life: Incarnation) -> list[tuple[float, str]]:
    """Return the statuses of an incarnation's entry in the catalogue, each with its time."""
    return [
        (at_ms, status)
        for at_ms, service_id, status in cluster.catalogue.history
        if service_id == name and life.started_at <= at_ms
    ]


def _status_at(cluster: Cluster, name: str, life: Incarnation, time_ms: float) -> str:
    """Return the status of an incarnation's entry at a time, ``absent`` where it has none."""
    statuses = reversed(_statuses(cluster, name, life))
    return next((status for at_ms, status in statuses if at_ms <= time_ms), "absent")


def _first_listed_rejection(cluster: Cluster, name: str, life: Incarnation) -> float | None:
    """Return when the first rejection was read that was sent while the catalogue had an entry of the node."""
    listed = (at_ms for at_ms in life.rejections_at if _status_at(cluster, name, life, at_ms) != "absent")
    return next(listed, None)


def _critical_before(cluster: Cluster, name: str, life: Incarnation, rejected_at: float) -> bool:
    """Return whether the catalogue had this incarnation as critical before a rejection.

    An entry starts critical, which is no warning of an overload: that one does not count.
    """
    statuses = _statuses(cluster, name, life)[1:]
    return any(at_ms <= rejected_at and status == "critical" for at_ms, status in statuses)


def _removed_ahead_ms(cluster: Cluster, name: str, life: Incarnation) -> float | None:
    """Return by how much the removal came ahead of the last response, None if none came after SIGTERM.

    Responses that cross the signal were on their way when it was sent and do not count. An entry that the
    agent had lost by SIGTERM counts as removed then.
    """
    if life.last_answer_at < life.terminated_at + CROSSING_MS:
        return None
    if _status_at(cluster, name, life, life.terminated_at) == "absent":
        return life.last_answer_at - life.terminated_at
    removals_ms = (
        at_ms
        for at_ms, service_id, status in cluster.catalogue.history
        if service_id == name and status == "absent" and life.terminated_at <= at_ms
    )
    return life.last_answer_at - next(removals_ms, math.inf)


class Job(NamedTuple):
    """One run."""

    seed: int
    nodes: int


def plan(seed: int, runs: int, nodes: int, wide: bool) -> list[Job]:  # noqa: ARG001 - a hook
    """Return a job for each seed; ``wide`` adds nothing."""
    return [Job(seed + number, nodes) for number in range(runs)]


def run(job: Job) -> dict[str, Any]:
    """Return the figures of one run; ``merge`` adds those of several."""
    return figures_of(play(job.seed, job.nodes), job.nodes)


def figures_of(cluster: Cluster, nodes: int) -> dict[str, Any]:
    """Return the figures of a cluster that has played the drill."""
    lives = [(name, life) for name, host in cluster.hosts.items() for life in host.incarnations]
    rejecting = [
        (name, life, rejected_at)
        for name, life in lives
        if (rejected_at := _first_listed_rejection(cluster, name, life)) is not None
    ]
    drained = [(name, life) for name, life in lives if life.terminated_at]
    removed_ahead_ms = [
        ahead_ms for name, life in drained if (ahead_ms := _removed_ahead_ms(cluster, name, life)) is not None
    ]
    flapped = flaps(cluster)
    rules = cluster.checker.counts
    return {
        "nodes": nodes,
        "seeds": 1,
        "asked": len(cluster.requests),
        "unhealthy_before_refusal": sum(
            _critical_before(cluster, name, life, rejected_at) for name, life, rejected_at in rejecting
        ),
        "refusing_lives": len(rejecting),
        "removed_before_last_answer": sum(ahead_ms > 0 for ahead_ms in removed_ahead_ms),
        "answering_drains": len(removed_ahead_ms),
        "removed_ahead_ms": round(min(removed_ahead_ms, default=0.0), 1),
        "drained_lives": len(drained),
        "clean_ends": sum(life.exit_status == 0 for _, life in drained),
        "flaps": len(flapped),
        "flapped": "; ".join(flapped[:MAX_FLAPS_REPORTED]),
        "lost": rules["lost"],
        "duplicates": rules["duplicate"],
        "drain_broken": rules["drain"],
        "fell_over": rules["fall_over"],
        "worth": round(cluster.tally.value_fraction(), 4),
        "orders_in_aim": round(cluster.tally.objective_met_fraction("order"), 4),
        "late_sending_ms": round(cluster.max_send_delay_ms, 1),
    }


AVERAGED = ("worth", "orders_in_aim")
MAXIMUM = ("late_sending_ms",)
MINIMUM = ("removed_ahead_ms",)
EQUAL = ("nodes",)


def merge(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all runs: sums, except for means, extremes and what is equal in all."""
    merged: dict[str, Any] = {}
    for key, first in runs[0].items():
        values = [run[key] for run in runs]
        if key in AVERAGED:
            merged[key] = round(sum(values) / len(values), 4)
        elif key in MAXIMUM:
            merged[key] = max(values)
        elif key in MINIMUM:
            merged[key] = min(values)
        elif isinstance(first, str):
            merged[key] = "; ".join(value for value in values if value)
        else:
            merged[key] = first if key in EQUAL else sum(values)
    return merged


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    required = {
        "unhealthy_before_refusal": figures["refusing_lives"],
        "removed_before_last_answer": figures["answering_drains"],
        "clean_ends": figures["drained_lives"],
        "flaps": 0,
        "lost": 0,
        "duplicates": 0,
        "drain_broken": 0,
        "fell_over": 0,
    }
    return [
        f"{key} is {figures[key]}, not {value}" for key, value in required.items() if figures[key] != value
    ]
