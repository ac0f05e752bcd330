"""Which faults a run in virtual time gets, drawn from a seed. Pure.

Every seed is forced to bring one pair of a fault and a node's state; the pairs follow each other by the seed,
so that states that chance would not reach are reached too. The other faults are drawn by weight, and often
close to one another. Times in ms since the first request.

Kinds that processes can meet too are described in ``testbed.fault_injection.fault_schedule``; the others
exist in virtual time alone.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from spindlerelay.testbed.fault_injection.fault_schedule import (
    DIRECTIONS,
    LINK_KINDS,
    LINKS,
    TIMED_KINDS,
    Fault,
)
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES

NODE_STATES = ("well", "cold", "slow", "leaving", "down", "paused")
FAULT_WEIGHTS = {
    "kill": 3,
    "replace": 3,
    "pause": 2,
    "cut_interpreter": 3,
    "cut_balancers": 2,
    "slow": 2,
    "store_down": 2,
    "store_cut": 2,
    "pieces": 2,
    "datagrams": 1,
    "clock": 1,
    "reload": 1,
    "repeat": 4,
    "late_list": 2,
    "cut": 3,
    "drop": 1,
    "delay": 2,
    "limit": 1,
    "reset": 2,
    "refuse": 1,
    "half_open": 2,
    "power": 3,
    "disk_full": 2,
    "disk_lies": 1,
    "agent_down": 1,
}
FAULT_KINDS = tuple(FAULT_WEIGHTS)
STORAGE_FAULTS = frozenset({"power", "disk_full", "disk_lies"})  # a seed with one keeps orders on disk
IMPOSSIBLE_PAIRS = {
    ("kill", "down"),
    ("replace", "down"),
    ("pause", "down"),
    ("cut_interpreter", "down"),
    ("cut_balancers", "down"),
    ("slow", "down"),
    ("clock", "down"),
    ("reload", "down"),
    ("repeat", "down"),
    ("power", "down"),
    ("reset", "down"),
    ("half_open", "down"),
    ("replace", "leaving"),
    ("replace", "paused"),
    ("pause", "paused"),
}
FAULT_STATE_PAIRS = tuple(
    (kind, state) for kind in FAULT_KINDS for state in NODE_STATES if (kind, state) not in IMPOSSIBLE_PAIRS
)
RUN_LENGTH_MS = 8500.0  # in which requests are sent
LAST_FAULT_MS = 3500.0  # draining, restart and a stale endpoint list still leave a second of service after it
STOP_TIMEOUT_MS = 4000.0
OVERLAP_PROBABILITY = 0.5  # that a fault begins within MAX_OVERLAP_DISTANCE_MS of another one
MAX_OVERLAP_DISTANCE_MS = 30.0
NORMAL_LOAD = (0.35, 1.15)  # fractions of the capacity
OVERLOAD = (1.2, 2.2)
OVERLOAD_PROBABILITY = 0.2
COLD_START_PROBABILITY = 0.25
STORAGE_PROBABILITY = 0.1
SKEW_PROBABILITY = 0.3
MAX_SKEW_MS = 15.0
BALANCERS = 2
BALANCER_NAMES = ("steady", "least", "deaf", "hasty", "storm", "once")


class Schedule(NamedTuple):
    """Everything that a seed decides, except for the delays that the network draws."""

    seed: int
    node_count: int
    load: float  # fraction of the capacity
    cold_start: bool
    balancer_names: tuple[str, ...]
    faults: tuple[Fault, ...]
    clock_skews_ms: tuple[float, ...]  # by node
    storage: bool = False  # every node keeps its orders on a disk, through a loss of power
    catalogue: bool = False  # every node has an entry in a catalogue, beside the endpoint list

    def summary(self) -> str:
        """Return a summary on one line."""
        faults = ", ".join(fault.describe() for fault in self.faults) or "calm"
        return f"{self.node_count} nodes, load {self.load:.2f}, {faults}"


# Ranges of a fault's size, whose meaning depends on its kind.
SIZE_RANGES = {
    "kill": (200.0, 1500.0),
    "replace": (0.0, 0.0),
    "pause": (20.0, 900.0),
    "cut_interpreter": (0.0, 0.0),
    "cut_balancers": (0.0, 0.0),
    "slow": (2.0, 9.0),
    "store_down": (200.0, 1500.0),
    "store_cut": (100.0, 1500.0),
    "pieces": (300.0, 2000.0),
    "datagrams": (300.0, 2000.0),
    "clock": (5.0, 400.0),
    "reload": (0.0, 0.0),
    "repeat": (4.0, 40.0),
    "late_list": (500.0, 3000.0),
    "cut": (50.0, 3000.0),
    "drop": (0.2, 1.0),
    "delay": (1.0, 60.0),
    "limit": (2000.0, 200_000.0),
    "reset": (0.0, 0.0),
    "refuse": (50.0, 1500.0),
    "half_open": (50.0, 3000.0),
    "power": (200.0, 1500.0),
    "disk_full": (300.0, 3000.0),
    "disk_lies": (500.0, 4000.0),
    "agent_down": (100.0, 2000.0),
}
DURATION_RANGE_MS = (300.0, 2500.0)  # of kinds whose size is not a duration
FIXED_DURATION_FAULTS = frozenset({"slow", "late_list"})


def _draw_fault(rng: random.Random, kind: str, at_ms: float, node: int) -> Fault:
    fault = Fault(round(max(0.0, at_ms), 3), kind, node, round(rng.uniform(*SIZE_RANGES[kind]), 3))
    if kind in TIMED_KINDS and kind not in FIXED_DURATION_FAULTS:
        fault = fault._replace(duration_ms=round(rng.uniform(*DURATION_RANGE_MS), 3))
    if kind not in LINK_KINDS:
        return fault
    links = ("announce",) if kind == "drop" else LINKS[:3] if kind != "cut" else LINKS
    return fault._replace(link=rng.choice(links), direction=rng.choice(DIRECTIONS))


def _bring_into_state(
    rng: random.Random, state: str, node: int, cold_start: bool
) -> tuple[list[Fault], float]:
    """Return the faults that bring a node into a state, and a time at which it is in it."""
    at_ms = rng.uniform(600.0, 2200.0)
    match state:
        case "slow":
            return [_draw_fault(rng, "slow", at_ms, node)], at_ms + rng.uniform(20.0, 900.0)
        case "leaving":
            return [_draw_fault(rng, "replace", at_ms, node)], at_ms + rng.uniform(1.0, 2600.0)
        case "down":
            kill = _draw_fault(rng, "kill", at_ms, node)
            return [kill], at_ms + rng.uniform(0.1, 0.9) * kill.magnitude
        case "paused":
            pause = _draw_fault(rng, "pause", at_ms, node)
            return [pause], at_ms + rng.uniform(0.1, 0.9) * pause.magnitude
        case "cold" if cold_start:
            return [], rng.uniform(50.0, 900.0)
        case "cold":
            kill = _draw_fault(rng, "kill", at_ms, node)
            return [kill], at_ms + kill.magnitude + rng.uniform(30.0, 800.0)
    return [], at_ms


def _draw_faults(rng: random.Random, seed: int, node_count: int, cold_start: bool) -> list[Fault]:
    kind, state = FAULT_STATE_PAIRS[seed % len(FAULT_STATE_PAIRS)]
    node = rng.randrange(node_count)
    faults, at_ms = _bring_into_state(rng, state, node, cold_start)
    faults.append(_draw_fault(rng, kind, at_ms, node))
    for _ in range(rng.choice((0, 1, 1, 2, 3))):
        kind = rng.choices(FAULT_KINDS, list(FAULT_WEIGHTS.values()))[0]
        if rng.random() < OVERLAP_PROBABILITY:
            distance_ms = MAX_OVERLAP_DISTANCE_MS
            at_ms = rng.choice(faults).at_ms + rng.uniform(-distance_ms, distance_ms)
        else:
            at_ms = rng.uniform(0.0, LAST_FAULT_MS)
        faults.append(_draw_fault(rng, kind, min(at_ms, LAST_FAULT_MS), rng.randrange(node_count)))
    return faults


def _draw_skew_ms(rng: random.Random) -> float:
    return round(rng.uniform(-MAX_SKEW_MS, MAX_SKEW_MS), 3) if rng.random() < SKEW_PROBABILITY else 0.0


def draw(seed: int) -> Schedule:
    """Return the schedule of a seed: the same on every machine."""
    rng = random.Random(f"schedule {seed}")
    node_count = rng.choice((2, 2, 3))
    cold_start = rng.random() < COLD_START_PROBABILITY
    faults = _draw_faults(rng, seed, node_count, cold_start)
    balancer_names = tuple(rng.choice(BALANCER_NAMES) for _ in range(BALANCERS))
    clock_skews_ms = tuple(_draw_skew_ms(rng) for _ in range(node_count))
    load = round(rng.uniform(*(OVERLOAD if rng.random() < OVERLOAD_PROBABILITY else NORMAL_LOAD)), 3)
    assert all(name in BALANCER_PROFILES for name in balancer_names)
    kinds = {fault.kind for fault in faults}
    return Schedule(
        seed=seed,
        node_count=node_count,
        load=load,
        cold_start=cold_start,
        balancer_names=balancer_names,
        faults=tuple(sorted(faults)),
        clock_skews_ms=clock_skews_ms,
        storage=bool(kinds & STORAGE_FAULTS) or rng.random() < STORAGE_PROBABILITY,
        catalogue="agent_down" in kinds,
    )
