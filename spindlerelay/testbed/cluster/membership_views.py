"""Membership views of nodes, parsed from their logs, and the failure detection quality that they show.

The functions do no I/O: they take log texts and fault journals, and return figures.
"""

from __future__ import annotations

import re
from datetime import datetime
from typing import Any, NamedTuple

STATUS_LINE = re.compile(r"^(\S+ \S+) DEBUG membership: (\S+) is (\w+),", re.MULTILINE)
START_LINE = re.compile(r"^\S+ \S+ INFO \S+ listens on ", re.MULTILINE)
TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
ALIVE_STATUSES = ("alive", "suspect")


class StatusChange(NamedTuple):
    """A status that a node has assigned to another node. ``at`` is in ms since the first request."""

    at: float
    subject: str
    status: str


class LoggedView(NamedTuple):
    """The membership view in a node's log.

    Attributes:
        changes: status changes since the first request.
        alive: names of the nodes that the last process of the node considers alive at the end of the log.
    """

    changes: list[StatusChange]
    alive: list[str]


def read_view(log: str, run_started_at: float) -> LoggedView:
    """Parse the membership view in a node's log.

    ``run_started_at`` is the time of the first request in Unix ms. A restart of the node clears its view.
    """
    start_positions = [match.start() for match in START_LINE.finditer(log)]
    alive: dict[str, bool] = {}
    changes = []
    for match in STATUS_LINE.finditer(log):
        while start_positions and match.start() > start_positions[0]:
            start_positions.pop(0)
            alive.clear()
        time, subject, status = match.groups()
        alive[subject] = status in ALIVE_STATUSES
        at = datetime.strptime(time, TIME_FORMAT).timestamp() * 1000.0 - run_started_at
        if at >= 0.0:
            changes.append(StatusChange(at, subject, status))
    if start_positions:  # the node has restarted since the last status change
        alive.clear()
    return LoggedView(changes, sorted(name for name, is_alive in alive.items() if is_alive))


class DetectionQuality(NamedTuple):
    """Quality of the nodes' failure detection.

    Attributes:
        detection_delays_ms: time to detection for each pair of a node that was never killed and a node that
            was killed and not restarted.
        missed: number of these pairs without a detection.
        false_death_durations_ms: duration of each false death, counted from the end of its subject's pause if
            there was one.
        wrong_fraction: fraction of the ordered pairs of living nodes in which the first node does not
            consider the second node alive at the end of the run.
    """

    detection_delays_ms: list[float]
    missed: int
    false_death_durations_ms: list[float]
    wrong_fraction: float


class _NodeFaults(NamedTuple):
    """Faults of the nodes by name of the node. Times in ms since the first request.

    Attributes:
        killed_at: time of the last kill.
        dead_since: time of the last kill, for nodes that were killed and not restarted.
        paused_until: end of the last pause.
    """

    killed_at: dict[str, float]
    dead_since: dict[str, float]
    paused_until: dict[str, float]


def _faults_by_node(journal: list[list[Any]], end_ms: float) -> _NodeFaults:
    killed_at: dict[str, float] = {}
    restarted: set[str] = set()
    paused_until: dict[str, float] = {}
    for at, kind, node, _, _, started, _ in sorted(journal):
        if kind == "kill" and started:
            killed_at[node] = at
        elif kind == "kill":
            restarted.add(node)
        elif kind == "pause":
            paused_until[node] = end_ms if started else at
    dead_since = {node: at for node, at in killed_at.items() if node not in restarted}
    return _NodeFaults(killed_at, dead_since, paused_until)


def detection_quality(
    journal: list[list[Any]], changes: list[list[Any]], alive_views: dict[str, list[str]], end_ms: float
) -> DetectionQuality:
    """Compare membership views with the faults that were injected.

    Args:
        journal: the journal of a ``FaultPlayer``.
        changes: status changes as lists of time, observer, subject and status.
        alive_views: names of the nodes that each node considers alive at the end of the run.
        end_ms: end of the run in ms since the first request.
    """
    faults = _faults_by_node(journal, end_ms)
    living = [name for name in alive_views if name not in faults.dead_since]
    delay_by_pair, false_death_durations_ms = _detections(faults, changes, end_ms)
    pairs = [(observer, subject) for observer in living for subject in living if observer != subject]
    wrong_count = sum(subject not in set(alive_views[observer]) for observer, subject in pairs)
    # A node that was restarted may never have learned of nodes that died before its restart.
    never_killed = [name for name in living if name not in faults.killed_at]
    detection_delays_ms = [
        delay_ms for (observer, _), delay_ms in delay_by_pair.items() if observer in never_killed
    ]
    missed = len(faults.dead_since) * len(never_killed) - len(detection_delays_ms)
    return DetectionQuality(
        detection_delays_ms, missed, false_death_durations_ms, wrong_count / max(1, len(pairs))
    )


def _detections(
    faults: _NodeFaults, changes: list[list[Any]], end_ms: float
) -> tuple[dict[tuple[str, str], float], list[float]]:
    """Return the detection delay of each death by observer and subject, and the durations of false deaths."""
    delay_by_pair: dict[tuple[str, str], float] = {}
    falsely_dead_since: dict[tuple[str, str], float] = {}
    false_death_durations_ms: list[float] = []
    # Changes of the same time keep the order of the log.
    for at, observer, subject, status in sorted(changes, key=lambda change: change[0]):
        pair = (observer, subject)
        if subject in faults.dead_since:
            if status == "dead" and at >= faults.dead_since[subject]:
                delay_by_pair.setdefault(pair, at - faults.dead_since[subject])
        elif status == "dead" and subject not in faults.killed_at and observer not in faults.killed_at:
            falsely_dead_since[pair] = at
        elif status == "alive" and pair in falsely_dead_since:
            false_since = max(falsely_dead_since.pop(pair), faults.paused_until.get(subject, 0.0))
            false_death_durations_ms.append(max(0.0, at - false_since))
    false_death_durations_ms += [end_ms - at for at in falsely_dead_since.values()]
    return delay_by_pair, false_death_durations_ms
