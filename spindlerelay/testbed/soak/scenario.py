"""What one seed of the soak plays. Pure: everything is drawn from the seed.

Times are ms from the first request, unless a name says otherwise.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple

from spindlerelay.testbed.models.machine import MachineSpec
from spindlerelay.testbed.models.traffic import ClassSpec

STOP_AFTER_GRACE_MS = 300.0  # the platform's earliest kill, after the drain's grace
LATE_STOP_AFTER_GRACE_MS = 1500.0  # in a quarter of the seeds, so that requests come past the grace
LATE_STOP_INTERVAL = 4
HANDOVER_INTERVAL = 5  # one seed in so many is a handover
CROWD_INTERVAL = 3
BACKEND_FAULT_INTERVAL = 3
CROWD_RANGE = (150, 1000)
CROWD_FRACTION = 0.5  # of the descriptor limit that balancers open at most, by the protocol
OWN_CONNECTIONS = 64  # of all other clients together
MIN_SOCKETS = 256
GRACES_MS = (400.0, 1000.0, 1700.0, 2500.0)
DEADLINE_SCALES = (0.5, 1.0, 1.5)
LOAD_RANGE = (0.0, 2.0)  # relative to the capacity
TERM_RANGE_MS = (500.0, 1200.0)
FINAL_SERIES_PROBABILITY = 0.33  # of SIGTERM again and again up to the kill
FINAL_SERIES = 100
FINAL_SERIES_INTERVAL_MS = 2.0
MEAN_WORK_MS = 25.0
CLASSES = (
    ClassSpec("preview", 0.4, MEAN_WORK_MS, 0.8, 300.0, 1200.0, 1.0, 0.0, False, 1.0, 0.5),
    ClassSpec("proof", 0.2, MEAN_WORK_MS, 0.8, 400.0, 1600.0, 2.0, 0.2, False, 0.0, 0.0),
    ClassSpec("order", 0.4, MEAN_WORK_MS, 0.8, 400.0, 1600.0, 5.0, 0.2, True, 0.6, 0.0),
)


class SignalKind(StrEnum):
    """A step in a series of signals."""

    RELOAD = "SIGHUP with a good file"
    RELOAD_INVALID = "SIGHUP with an invalid file"
    RELOAD_HALF_WRITTEN = "SIGHUP with a half-written file"
    TERMINATE = "SIGTERM"
    PAUSE = "SIGSTOP"
    RESUME = "SIGCONT"


class SignalStep(NamedTuple):
    """One signal."""

    at_ms: float
    kind: SignalKind


class BackendFault(NamedTuple):
    """A backend, ``interpreter`` or ``store``, breaks its connections."""

    at_ms: float
    backend: str


class ConnectionBurst(NamedTuple):
    """So many connections with a request each, opened within ``spread_ms``."""

    at_ms: float
    connections: int
    spread_ms: float


class HalfRequest(NamedTuple):
    """A request of which half is written first, and the rest ``rest_after_ms`` later; 0 for never."""

    at_ms: float
    rest_after_ms: float


class SlowReader(NamedTuple):
    """A request whose balancer begins to read ``read_after_ms`` after it."""

    at_ms: float
    read_after_ms: float


class Scenario(NamedTuple):
    """All of one seed. ``kill_at_ms`` is when SIGKILL follows the first SIGTERM."""

    seed: int
    handover: bool
    machine: MachineSpec
    classes: tuple[ClassSpec, ...]
    grace_ms: float
    stop_ms: float
    sockets: int
    load: float
    retry_probability: float
    terminate_at_ms: float
    kill_at_ms: float
    signals: tuple[SignalStep, ...]
    bursts: tuple[ConnectionBurst, ...]
    half_requests: tuple[HalfRequest, ...]
    slow_readers: tuple[SlowReader, ...]
    backend_faults: tuple[BackendFault, ...]

    def describe(self) -> str:
        """Return the scenario on a few lines, for a report."""
        lines = [
            f"seed {self.seed}: load {self.load:.2f}, "
            f"grace {self.grace_ms:.0f} ms, stop {self.stop_ms:.0f} ms, "
            f"SIGTERM at {self.terminate_at_ms:.0f}, SIGKILL at {self.kill_at_ms:.0f}, "
            f"sockets {self.sockets}{', handover' if self.handover else ''}"
        ]
        lines += [f"{step.at_ms:8.1f} {step.kind.value}" for step in self.signals]
        lines += [f"{burst.at_ms:8.1f} {burst.connections} connections" for burst in self.bursts]
        lines += [f"{fault.at_ms:8.1f} {fault.backend} breaks off" for fault in self.backend_faults]
        return "\n".join(lines)


def draw(seed: int) -> Scenario:
    """Return the scenario of a seed."""
    rng = random.Random(f"soak {seed}")
    handover = seed % HANDOVER_INTERVAL == 0
    scale = rng.choice(DEADLINE_SCALES)
    classes = tuple(each._replace(deadline_ms=scale * each.deadline_ms) for each in CLASSES)
    grace_ms = rng.choice(GRACES_MS)
    late_stop = seed % LATE_STOP_INTERVAL == 1
    stop_ms = grace_ms + (LATE_STOP_AFTER_GRACE_MS if late_stop else STOP_AFTER_GRACE_MS)
    if handover:  # the platform's kill follows the longest deadline and 0.7 s
        stop_ms = max(each.deadline_ms for each in classes) + 700.0
    terminate_at_ms = rng.uniform(*TERM_RANGE_MS)
    kill_at_ms = terminate_at_ms + stop_ms
    crowd = rng.randint(*CROWD_RANGE) if seed % CROWD_INTERVAL == 0 else 0
    signals = _draw_signals(rng, terminate_at_ms, stop_ms)
    return Scenario(
        seed=seed,
        handover=handover,
        machine=MachineSpec(
            "soak", cores=rng.randint(2, 6), speed=1.0, memory_kb=rng.choice((13_000.0, 60_000.0))
        ),
        classes=classes,
        grace_ms=grace_ms,
        stop_ms=stop_ms,
        sockets=max(MIN_SOCKETS, int((crowd + OWN_CONNECTIONS) / CROWD_FRACTION)),
        load=rng.uniform(*LOAD_RANGE),
        retry_probability=rng.choice((0.1, 0.5)),
        terminate_at_ms=terminate_at_ms,
        kill_at_ms=kill_at_ms,
        signals=signals,
        bursts=_draw_bursts(rng, crowd, terminate_at_ms, stop_ms),
        half_requests=tuple(
            HalfRequest(rng.uniform(0.0, kill_at_ms), rng.choice((0.0, rng.uniform(20.0, 1200.0))))
            for _ in range(rng.randint(0, 4))
        ),
        slow_readers=tuple(
            SlowReader(rng.uniform(0.0, kill_at_ms), rng.uniform(50.0, 600.0))
            for _ in range(rng.randint(0, 4))
        ),
        backend_faults=_draw_backend_faults(rng, seed, kill_at_ms),
    )


def _draw_signals(rng: random.Random, terminate_at_ms: float, stop_ms: float) -> tuple[SignalStep, ...]:
    """Draw the first SIGTERM and what comes before, with and after it."""
    steps = [SignalStep(terminate_at_ms, SignalKind.TERMINATE)]
    reloads = (SignalKind.RELOAD, SignalKind.RELOAD_INVALID, SignalKind.RELOAD_HALF_WRITTEN)
    for _ in range(rng.choice((0, 1, 2))):
        steps.append(SignalStep(rng.uniform(0.0, terminate_at_ms), rng.choice(reloads)))
    for _ in range(rng.choice((0, 1, 2))):  # further SIGTERMs, at the same instant or apart
        after_ms = rng.choice((0.0, rng.uniform(0.0, stop_ms)))
        steps.append(SignalStep(terminate_at_ms + after_ms, SignalKind.TERMINATE))
    for _ in range(rng.choice((0, 1, 2))):
        after_ms = rng.choice((0.0, rng.uniform(0.0, stop_ms)))
        steps.append(SignalStep(terminate_at_ms + after_ms, rng.choice(reloads)))
    if rng.random() < 0.3:
        at_ms = terminate_at_ms + rng.uniform(-400.0, 0.5 * stop_ms)
        pause_ms = rng.uniform(10.0, 300.0)
        steps.append(SignalStep(at_ms, SignalKind.PAUSE))
        steps.append(SignalStep(at_ms + pause_ms, SignalKind.RESUME))
    if rng.random() < FINAL_SERIES_PROBABILITY:  # the last moments, in which the interpreter ends
        for number in range(FINAL_SERIES):
            at_ms = terminate_at_ms + stop_ms - FINAL_SERIES_INTERVAL_MS * (number + 1)
            steps.append(SignalStep(at_ms, SignalKind.TERMINATE))
    return tuple(sorted(steps, key=lambda step: step.at_ms))


def _draw_bursts(
    rng: random.Random, crowd: int, terminate_at_ms: float, stop_ms: float
) -> tuple[ConnectionBurst, ...]:
    """Draw the crowd: ahead of SIGTERM, around it, and shortly before the kill."""
    if not crowd:
        return ()
    early = rng.uniform(0.3, 0.7)
    at_ms = terminate_at_ms - rng.uniform(0.0, 300.0)
    late_at_ms = terminate_at_ms + rng.uniform(0.5, 0.95) * stop_ms
    return (
        ConnectionBurst(at_ms, int(early * crowd), 300.0),
        ConnectionBurst(late_at_ms, crowd - int(early * crowd), 200.0),
    )


def _draw_backend_faults(rng: random.Random, seed: int, kill_at_ms: float) -> tuple[BackendFault, ...]:
    if seed % BACKEND_FAULT_INTERVAL != 1:
        return ()
    return tuple(
        BackendFault(rng.uniform(0.0, kill_at_ms), rng.choice(("interpreter", "store")))
        for _ in range(rng.randint(1, 3))
    )
