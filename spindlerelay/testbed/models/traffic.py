"""The requests of an emulated workload: classes, tenants and arrivals, drawn from a seed.

The same seed draws the same requests, independent of the responses. The module has no I/O and no clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import Any, NamedTuple

from spindlerelay.testbed.models.machine import MachineSpec, RunPlan

PARSE_WORK_FRACTION = 0.25  # work of parsing a request, as a fraction of the mean work


class ClassSpec(NamedTuple):
    """One request class; times are ms.

    The work, in core-ms of the reference core, has a lognormal distribution; ``work_variation`` is its
    coefficient of variation.
    """

    name: str
    traffic_fraction: float
    mean_work_ms: float
    work_variation: float
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_response_weight: float
    has_idempotency_key: bool
    mean_calls: float
    partial_response_weight: float


CLASSES = (
    ClassSpec("preview", 0.35, 240.0, 0.8, 1400.0, 3600.0, 1.0, 0.0, False, 1.4, 0.5),
    ClassSpec("proof", 0.33, 330.0, 0.9, 1900.0, 4900.0, 2.0, 0.2, False, 0.0, 0.0),
    ClassSpec("order", 0.32, 330.0, 0.9, 1900.0, 4900.0, 5.0, 0.2, True, 1.0, 0.0),
)
TENANTS = (("acqua", 0.28), ("rifiuti", 0.28), ("anagrafe", 0.26), ("tributi", 0.18))
TENANT_NAMES = tuple(name for name, _ in TENANTS)
TENANT_INDEX = {name: index for index, name in enumerate(TENANT_NAMES)}
CLASS_INDEX = {spec.name: index for index, spec in enumerate(CLASSES)}
MEAN_WORK_MS = sum(spec.traffic_fraction * spec.mean_work_ms for spec in CLASSES)
IDEMPOTENCY_WINDOW_MS = 14_841.0


class Request(NamedTuple):
    """One request; the arrival time is ms from the start of the run."""

    arrival_ms: float
    number: int
    cls: ClassSpec
    tenant: str
    criticality: float
    idempotency_key: str
    body: bytes
    memory_kb: float
    plan: RunPlan
    call_work: tuple[float, ...]  # work of each dependency call, relative to a mean call


class Phase(NamedTuple):
    """Load relative to the fleet's capacity, linear from ``start`` to ``end`` over ``length_ms``."""

    length_ms: float
    start: float
    end: float


def fleet_capacity_per_s(specs: list[MachineSpec]) -> float:
    """Return the number of requests per second that the cores of warm machines can serve."""
    return (
        sum(spec.cores * spec.speed for spec in specs) * 1000.0 / (MEAN_WORK_MS * (1.0 + PARSE_WORK_FRACTION))
    )


def load_fraction_at(phases: tuple[Phase, ...], at: float) -> float:
    """Return the load at a time in ms, relative to the capacity; 0 after the last phase."""
    for phase in phases:
        if at < phase.length_ms:
            return phase.start + (phase.end - phase.start) * at / phase.length_ms
        at -= phase.length_ms
    return 0.0


def draw_requests(
    seed: int, phases: tuple[Phase, ...], capacity_per_s: float, classes: tuple[ClassSpec, ...] = CLASSES
) -> list[Request]:
    """Return Poisson arrivals whose rate follows the phases, relative to the capacity ``capacity_per_s``."""
    rng = random.Random(seed)
    max_rate_per_ms = max(max(phase.start, phase.end) for phase in phases) * capacity_per_s / 1000.0
    length_ms = sum(phase.length_ms for phase in phases)
    requests: list[Request] = []
    at = 0.0
    # Thinning: candidates arrive at the highest rate and are accepted in proportion to the current rate.
    while True:
        at += rng.expovariate(max_rate_per_ms)
        if at >= length_ms:
            return requests
        accepted = rng.random() * max_rate_per_ms <= load_fraction_at(phases, at) * capacity_per_s / 1000.0
        # Rejected candidates are drawn, too, so that the random numbers keep their order at any rate.
        request = draw_request(rng, at, len(requests), classes)
        if accepted:
            requests.append(request)


def requests_at(seed: int, times: Iterable[float], classes: tuple[ClassSpec, ...] = CLASSES) -> list[Request]:
    """Return a request for each arrival time in ms."""
    rng = random.Random(seed)
    return [draw_request(rng, at, number, classes) for number, at in enumerate(times)]


def draw_request(
    rng: random.Random, at: float, number: int, classes: tuple[ClassSpec, ...], cls: ClassSpec | None = None
) -> Request:
    """Draw one request, of a random class if ``cls`` is None."""
    cls = cls or rng.choices(classes, [spec.traffic_fraction for spec in classes])[0]
    tenant = rng.choices(TENANTS, [fraction for _, fraction in TENANTS])[0][0]
    sigma = math.sqrt(math.log(1.0 + cls.work_variation**2))
    work_ms = cls.mean_work_ms * math.exp(sigma * rng.gauss(0.0, 1.0) - sigma**2 / 2.0)
    call_count = int(cls.mean_calls) + (rng.random() < cls.mean_calls - int(cls.mean_calls))
    cuts = sorted(rng.random() for _ in range(call_count))
    parts = tuple(work_ms * (end - start) for start, end in zip([0.0, *cuts], [*cuts, 1.0], strict=True))
    key = f"{rng.getrandbits(128):032x}" if cls.has_idempotency_key else ""
    body = rng.randbytes(rng.randrange(20, 200))
    memory_kb = rng.uniform(11.0, 62.0)
    return Request(
        at,
        number,
        cls,
        tenant,
        rng.random(),
        key,
        body,
        memory_kb,
        RunPlan(parts, memory_kb),
        tuple(rng.uniform(0.5, 1.5) for _ in range(call_count)),
    )


def node_settings(
    spec: MachineSpec,
    nodes: int,
    balancers: int,
    capacity_per_s: float,
    slots: int,
    classes: tuple[ClassSpec, ...] = CLASSES,
) -> dict[str, Any]:
    """Return the platform's settings object for a node of the emulated fleet, in the form of its protocol."""
    return {
        "classes": [_class_settings(cls) for cls in classes],
        "family-info": _family_settings(spec, nodes, balancers, slots, classes),
        "obligations": {
            "drain-grace-ms": 2500.0,
            "fall-multiple": spec.max_concurrency_per_core,
            "cold-share": spec.cold_speed_fraction,
            "ramp-time-ms": spec.warm_up_ms,
        },
        "policy-limits": {"retry-after": True, "max-retry-after-ms": 1000.0},
        "tenants": [{"name": name, "quota-per-s": fraction * capacity_per_s} for name, fraction in TENANTS],
        "over-share-worth": 0.1,
        "servers": nodes,
        "resolution-ms": 5.0,
    }


def _class_settings(cls: ClassSpec) -> dict[str, Any]:
    return {
        "name": cls.name,
        "deadline-ms": cls.deadline_ms,
        "goal-time-ms": cls.latency_objective_ms,
        "value": cls.priority_weight,
        "effect": "guarded" if cls.has_idempotency_key else "free",
        "late-share": cls.late_response_weight,
        **({"key-ttl-ms": IDEMPOTENCY_WINDOW_MS} if cls.has_idempotency_key else {}),
    }


def _family_settings(
    spec: MachineSpec, nodes: int, balancers: int, slots: int, classes: tuple[ClassSpec, ...]
) -> dict[str, Any]:
    return {
        "below": "common",
        "calls-out": 5.0 * slots / nodes,
        "calls-over-ms": 5000.0,
        "class-calls": [cls.mean_calls > 0 for cls in classes],
        "class-skip-worth": [cls.partial_response_weight for cls in classes],
        "heap-kb": spec.memory_kb,
        "key-kb": 20.0,
        "n-cores": spec.cores,
        "callers": balancers,
        "run-mem-factor": spec.run_memory_factor,
        "say": "min_rank",
        "caller-idle-ms": 30_000.0,
        "linger-ms": 200.0,
        "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "halt": "none",
        "cold": True,
    }
