"""Finds from recordings the part of a system that saturates first as the load or the number of nodes grows.

Pure. The utilization of every part has the same scale: above its bound of 1, the part no longer provides what
other parts depend on. The parts are:

- generator: utilization of its one core, or its send delay relative to the bound of a valid run;
- links: connections relative to the number that the nodes' socket limits leave for balancers;
- node loop: utilization of its one core;
- store: calls in progress relative to the store's slots;
- cores: fraction of the cores that is busy.

The weighted goodput shows whether users would notice the saturation.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import numpy as np

SOCKETS_FOR_BALANCERS = 480  # sockets per node that are left for balancers; the limit of a node is 512
SAMPLE_PERCENTILE = 95.0  # the maximum would be a single noisy sample, and a mean would hide peaks
SATURATED = 1.0  # utilization at which a part is saturated
NOTICEABLE_FRACTION = 0.95  # users notice a goodput below this fraction of the goodput at the lowest load


class Utilization(NamedTuple):
    """The utilization of each part in one run; 1 is the bound of a part."""

    load: float
    nodes: int
    goodput: float
    parts: dict[str, float]


def _sample_percentile(samples: Mapping[str, Sequence[Any]], suffix: str) -> float:
    values = [
        float(value or 0.0) for key, series in samples.items() if key.endswith(suffix) for value in series
    ]
    return float(np.percentile(values, SAMPLE_PERCENTILE)) if values else 0.0


def utilization_of(details: Mapping[str, Any], goodput: float, send_delay_bound_ms: float) -> Utilization:
    """Return the utilization of each part from the details of one recording."""
    samples = details["samples"]
    calls, slots = samples.get("store hand", [0]), samples.get("store slots", [1])
    store = [
        float(call_count or 0) / max(1.0, float(slot_count or 1))
        for call_count, slot_count in zip(calls, slots, strict=True)
    ]
    return Utilization(
        float(details["load"]),
        int(details["nodes"]),
        goodput,
        {
            "generator": max(
                _sample_percentile(samples, "generator"), float(details["late_p99_ms"]) / send_delay_bound_ms
            ),
            "links": _sample_percentile(samples, "links") / (SOCKETS_FOR_BALANCERS * int(details["nodes"])),
            "node loop": _sample_percentile(samples, " loop"),
            "store": float(np.percentile(store, SAMPLE_PERCENTILE)),
            "cores": _sample_percentile(samples, " cores"),
        },
    )


def first_saturated(runs: Sequence[Utilization]) -> tuple[str, float] | None:
    """Return the part that saturates at the lowest load, and that load, or None if no part saturates.

    If several parts saturate at that load, return the part with the highest utilization.
    """
    for run in sorted(runs, key=lambda run: run.load):
        saturated = {part: value for part, value in run.parts.items() if value >= SATURATED}
        if saturated:
            return max(saturated, key=lambda part: saturated[part]), run.load
    return None


def noticeable_load(runs: Sequence[Utilization]) -> float | None:
    """Return the lowest load at which users notice a lower goodput, or None if they notice it at no load."""
    by_load = sorted(runs, key=lambda run: run.load)
    return next((run.load for run in by_load if run.goodput < NOTICEABLE_FRACTION * by_load[0].goodput), None)


def nearest_to_bound(runs: Sequence[Utilization]) -> tuple[str, float]:
    """Return the part with the highest utilization at the highest load, and its utilization."""
    highest_load_run = max(runs, key=lambda run: run.load)
    part = max(highest_load_run.parts, key=lambda name: highest_load_run.parts[name])
    return part, highest_load_run.parts[part]
