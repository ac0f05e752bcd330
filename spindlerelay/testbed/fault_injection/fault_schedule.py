"""Fault schedules: the faults of a fleet with their times and nodes, drawn from a seed or read from a file.

The cluster plays a schedule on real processes, and the simulation plays the same schedule in virtual time.
Times are ms since the first request. Only ``load_schedule`` does I/O: it reads one file.

| kind | effect |
| --- | --- |
| kill | the process and its interpreter are killed, and restart cold after ``size`` ms |
| pause | the process is stopped by SIGSTOP for ``size`` ms |
| replace | the process gets SIGTERM, and a cold successor starts once the process has ended |
| slow | the machine is ``size`` times slower for ``for_ms`` |
| cut | a link is blocked for ``size`` ms: streams catch up afterwards, datagrams are lost |
| drop | a fraction ``size`` of the datagrams of a link is lost for ``for_ms`` |
| delay | data on a link arrives ``size`` ms later for ``for_ms`` |
| limit | a link carries at most ``size`` bytes per second for ``for_ms`` |
| reset | every connection of a link is reset after it has carried ``size`` more bytes |
| refuse | a link accepts connections and resets them immediately, for ``size`` ms |
| half_open | the far ends of a link's connections are closed, the near ends are notified ``size`` ms later |
| late_list | the endpoint list that balancers see is delayed by ``size`` ms for ``for_ms`` |
| split | the first ``size`` nodes are partitioned from all other nodes for ``for_ms`` |

The link ``members`` carries the membership datagrams that other nodes send to the node (direction ``in``).
The key ``way`` is the direction from the node's point of view: in, out, or both.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from spindlerelay.errors import SpindlerelayError

LINKS = ("balancers", "interpreter", "store", "announce")
MEMBERSHIP_LINK = "members"
DIRECTIONS = ("both", "in", "out")
PROCESS_KINDS = ("kill", "pause", "replace", "slow")
LINK_KINDS = ("cut", "drop", "delay", "limit", "reset", "refuse", "half_open")
FLEET_KINDS = ("late_list", "split")
DATAGRAM_KINDS = ("cut", "drop", "delay")
KINDS = (*PROCESS_KINDS, *LINK_KINDS, *FLEET_KINDS)
# Kinds that last for ``for_ms``.
TIMED_KINDS = frozenset({"slow", "drop", "delay", "limit", "late_list", "split"})
INSTANTANEOUS_KINDS = ("reset", "replace")

SERIES = ("none", "slow", "stalls", "kills", "cuts", "late_lists", "all")
# Start and duration of drawn faults, as fractions of the run's length.
EARLIEST_START_FRACTION = 0.15
LATEST_START_FRACTION = 0.55
SLOW_DURATION_FRACTION = 0.6
LATE_LIST_DURATION_FRACTION = 0.5
SLOWDOWN_FACTOR = 5.0
PAUSE_MS = 2000.0
DOWNTIME_MS = 2500.0
CUT_MS = 2500.0
LIST_DELAY_MS = 2000.0
# Number of nodes per affected node, by series.
NODES_PER_FAULT = (("slow", 8), ("stalls", 20), ("kills", 10), ("cuts", 10))

FIELD_DEFAULTS: dict[str, Any] = {
    "at_ms": 0.0,
    "kind": "",
    "node": "n1",
    "size": 0.0,
    "for_ms": 0.0,
    "link": "",
    "way": "both",
}


class Fault(NamedTuple):
    """One fault. ``node`` counts from 0; the meaning of ``magnitude`` depends on the kind."""

    at_ms: float
    kind: str
    node: int
    magnitude: float
    duration_ms: float = 0.0
    link: str = ""
    direction: str = "both"

    @property
    def effective_duration_ms(self) -> float:
        """Return the duration of the fault in ms; 0 for an instantaneous fault."""
        if self.kind in TIMED_KINDS:
            return self.duration_ms
        return 0.0 if self.kind in INSTANTANEOUS_KINDS else self.magnitude

    def describe(self) -> str:
        """Return the fault as one word, such as ``cut@900:n2:500:store:both``."""
        link = f":{self.link}:{self.direction}" if self.link else ""
        return f"{self.kind}@{self.at_ms:.0f}:n{self.node + 1}:{self.magnitude:.0f}{link}"


class ScheduleError(SpindlerelayError):
    """A fault schedule cannot be read or is invalid.

    Attributes:
        location: path of the file, or path and number of the fault.
        problem: description of the invalid value and of the expected value.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(location, problem)
        self.location = location
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.location}: {self.problem}"


def validate(faults: Sequence[Fault], nodes: int, location: str = "faults") -> tuple[Fault, ...]:
    """Return the faults sorted by time.

    Raises:
        ScheduleError: If a fault is invalid for a fleet of ``nodes`` nodes; the first such fault is reported.
    """
    for number, fault in enumerate(faults, 1):
        if problem := _problem(fault, nodes):
            raise ScheduleError(f"{location}: fault {number}", problem)
    return tuple(sorted(faults))


def _problem(fault: Fault, nodes: int) -> str:
    return _target_problem(fault, nodes) or _value_problem(fault)


def _target_problem(fault: Fault, nodes: int) -> str:
    if fault.kind not in KINDS:
        return f"kind: {fault.kind!r} stands there; expected one of {', '.join(KINDS)}"
    if fault.kind not in FLEET_KINDS and not 0 <= fault.node < nodes:
        return f"node: n{fault.node + 1} stands there; the nodes are n1 to n{nodes}"
    if fault.kind in LINK_KINDS and fault.link not in (*LINKS, MEMBERSHIP_LINK):
        return f"link: {fault.link!r} stands there; expected one of {', '.join((*LINKS, MEMBERSHIP_LINK))}"
    if fault.link == MEMBERSHIP_LINK and (fault.kind not in DATAGRAM_KINDS or fault.direction != "in"):
        return f"link: members stands there; expected kind {', '.join(DATAGRAM_KINDS)} and way in"
    return ""


def _value_problem(fault: Fault) -> str:
    if fault.direction not in DIRECTIONS:
        return f"way: {fault.direction!r} stands there; expected one of {', '.join(DIRECTIONS)}"
    if fault.at_ms < 0.0 or fault.magnitude < 0.0 or fault.duration_ms < 0.0:
        return "at_ms, size and for_ms: a number below 0 stands there; expected at least 0"
    if fault.kind in TIMED_KINDS and not fault.duration_ms:
        return f"for_ms: 0 stands there; expected a number above 0 for kind {fault.kind}"
    return ""


def load_schedule(path: str, nodes: int) -> tuple[Fault, ...]:
    """Return the ``[[fault]]`` tables of a TOML file.

    Raises:
        ScheduleError: If the file cannot be read, or its schedule is invalid for ``nodes`` nodes.
    """
    try:
        with Path(path).open("rb") as file:
            tables = tomllib.load(file).get("fault", [])
    except OSError as error:
        raise ScheduleError(path, str(error.strerror)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScheduleError(path, f"not TOML: {error}") from None
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        raise ScheduleError(path, "fault: expected tables that each begin with [[fault]]")
    return validate(
        [_parse_fault(path, number, table) for number, table in enumerate(tables, 1)], nodes, path
    )


def _parse_fault(path: str, number: int, table: dict[str, Any]) -> Fault:
    location = f"{path}: fault {number}"
    if unknown := sorted(set(table) - set(FIELD_DEFAULTS)):
        raise ScheduleError(location, f"{unknown[0]}: no such key; known: {', '.join(FIELD_DEFAULTS)}")
    for key, default in FIELD_DEFAULTS.items():
        value = table.get(key, default)
        valid = isinstance(value, str) if isinstance(default, str) else isinstance(value, int | float)
        if not valid or isinstance(value, bool):
            expected = "text" if isinstance(default, str) else "a number"
            raise ScheduleError(location, f"{key}: {value!r} stands there; expected {expected}")
    values = FIELD_DEFAULTS | table
    node = str(values["node"])
    if not node.startswith("n") or not node[1:].isascii() or not node[1:].isdigit():
        raise ScheduleError(location, f"node: {node!r} stands there; expected a name like n3")
    return Fault(
        float(values["at_ms"]),
        values["kind"],
        int(node[1:]) - 1,
        float(values["size"]),
        float(values["for_ms"]),
        values["link"],
        values["way"],
    )


def draw_series(name: str, seed: int, nodes: int, length_ms: float) -> tuple[Fault, ...]:
    """Return the faults of one of ``SERIES`` for a run of ``length_ms``.

    In the series, an eighth of the nodes is slow, a twentieth is paused, a tenth is killed, a tenth has a
    link cut, or the endpoint list is delayed; the series ``all`` has all of these faults. No node has more
    than one fault.
    """
    rng = random.Random(f"series {seed}")
    remaining = list(range(nodes))
    rng.shuffle(remaining)
    faults: list[Fault] = []
    for kind, nodes_per_fault in NODES_PER_FAULT:
        count = max(1, nodes // nodes_per_fault)
        affected, remaining = remaining[:count], remaining[count:]
        if name in (kind, "all"):
            faults += [_draw_fault(rng, kind, node, length_ms, index) for index, node in enumerate(affected)]
    if name in ("late_lists", "all"):
        start, duration = EARLIEST_START_FRACTION * length_ms, LATE_LIST_DURATION_FRACTION * length_ms
        faults.append(Fault(start, "late_list", 0, LIST_DELAY_MS, duration))
    return validate(faults, nodes)


def _draw_fault(rng: random.Random, kind: str, node: int, length_ms: float, index: int) -> Fault:
    starts_at = round(rng.uniform(EARLIEST_START_FRACTION, LATEST_START_FRACTION) * length_ms, 3)
    match kind:
        case "slow":
            start, duration = EARLIEST_START_FRACTION * length_ms, SLOW_DURATION_FRACTION * length_ms
            return Fault(start, "slow", node, SLOWDOWN_FACTOR, duration)
        case "stalls":
            return Fault(starts_at, "pause", node, PAUSE_MS)
        case "kills":
            return Fault(starts_at, "kill", node, DOWNTIME_MS)
    link = LINKS[index % len(LINKS)]
    direction = DIRECTIONS[index // len(LINKS) % len(DIRECTIONS)]
    return Fault(starts_at, "cut", node, CUT_MS, 0.0, link, direction)


def faulted_links(faults: Sequence[Fault], nodes: int = 0) -> frozenset[tuple[int, str]]:
    """Return the links, as pairs of node and link, that a schedule affects; only they need a proxy."""
    links = {(fault.node, fault.link) for fault in faults if fault.kind in LINK_KINDS}
    if any(fault.kind == "split" for fault in faults):
        links |= {(node, MEMBERSHIP_LINK) for node in range(nodes)}
    return frozenset(links)
