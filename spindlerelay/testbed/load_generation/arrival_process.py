"""Open-loop arrivals: the curve of the arrival rate, and the spacing of the arrivals along it.

Pure. A curve is a piecewise linear function of time. Arrivals are drawn with a mean gap of 1 and then mapped
onto the curve by the inverse of its integral. Every spacing therefore works with every curve, and the number
of arrivals follows the area under the curve (time rescaling: Daley and Vere-Jones, Point Processes, 7.4).
"""

from __future__ import annotations

import math
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from spindlerelay.testbed.load_generation.errors import UnknownNameError

Times = NDArray[np.float64]

SPACINGS = ("poisson", "paced", "bursty")
CURVES = ("steady", "ramp", "step", "burst", "daily")
BURSTY_VARIATION = 3.0  # coefficient of variation of the gamma-distributed gaps
BURST_COUNT = 4
BURST_FRACTION = 0.25  # fraction of each of the BURST_COUNT periods of a run that is a burst
STEP_COUNT = 4
# Arrival rate of each hour of the day, relative to the busiest hour; offices are open from 8 to 18.
RATE_BY_HOUR = (
    *(0.08, 0.06, 0.05, 0.05, 0.06, 0.10, 0.20, 0.42),
    *(0.75, 0.95, 1.00, 0.97, 0.85, 0.70, 0.72, 0.80),
    *(0.82, 0.74, 0.60, 0.48, 0.40, 0.32, 0.22, 0.13),
)


class Point(NamedTuple):
    """An arrival rate per second at a time in ms; two points with the same time form a jump."""

    at_ms: float
    per_s: float


Curve = tuple[Point, ...]


def curve(kind: str, per_s: float, to_per_s: float, length_ms: float) -> Curve:
    """Return a named curve.

    Args:
        kind: one of ``CURVES``.
        per_s: rate at the start, between bursts, or in the busiest hour of a day.
        to_per_s: rate at the end of a ramp, in the last step, or in a burst.
        length_ms: length of the whole curve.

    Raises:
        UnknownNameError: the kind is not one of ``CURVES``.
    """
    match kind:
        case "steady":
            return (Point(0.0, per_s), Point(length_ms, per_s))
        case "ramp":
            return (Point(0.0, per_s), Point(length_ms, to_per_s))
        case "step":
            rates = [per_s + (to_per_s - per_s) * i / (STEP_COUNT - 1) for i in range(STEP_COUNT)]
            return _step_curve([(length_ms / STEP_COUNT, rate) for rate in rates])
        case "burst":
            period_ms = length_ms / BURST_COUNT
            calm_ms = period_ms * (1.0 - BURST_FRACTION)
            return _step_curve([(calm_ms, per_s), (period_ms - calm_ms, to_per_s)] * BURST_COUNT)
        case "daily":
            rates = [*RATE_BY_HOUR, RATE_BY_HOUR[0]]
            hours = len(RATE_BY_HOUR)
            return tuple(Point(length_ms * i / hours, per_s * rate) for i, rate in enumerate(rates))
    raise UnknownNameError("curve", kind, CURVES)


def _step_curve(steps: list[tuple[float, float]]) -> Curve:
    """Return a curve of constant rates; a step is its length in ms and its rate per second."""
    points = list[Point]()
    at_ms = 0.0
    for length_ms, rate in steps:
        points += [Point(at_ms, rate), Point(at_ms + length_ms, rate)]
        at_ms += length_ms
    return tuple(points)


def burst(base: Curve, start_ms: float, end_ms: float, factor: float) -> Curve:
    """Return the curve with its rate multiplied by ``factor`` between two times."""
    burst_edges_ms = [start_ms, end_ms]
    boundaries_ms = sorted(
        {point.at_ms for point in base} | {at for at in burst_edges_ms if at < base[-1].at_ms}
    )
    points = list[Point]()
    for left, right in zip(boundaries_ms, boundaries_ms[1:], strict=False):
        interval_factor = factor if start_ms <= left and right <= end_ms else 1.0
        points += [
            Point(left, rate_at(base, left, True) * interval_factor),
            Point(right, rate_at(base, right, False) * interval_factor),
        ]
    return tuple(points)


def rate_at(rate_curve: Curve, at_ms: float, after: bool = True) -> float:
    """Return the rate per second at a time; ``after`` selects the rate after or before a jump."""
    for left, right in zip(rate_curve, rate_curve[1:], strict=False):
        if left.at_ms <= at_ms <= right.at_ms and left.at_ms < right.at_ms:
            if after and at_ms == right.at_ms and right is not rate_curve[-1]:
                continue
            return left.per_s + (right.per_s - left.per_s) * (at_ms - left.at_ms) / (right.at_ms - left.at_ms)
    return 0.0


def expected_arrivals(rate_curve: Curve) -> float:
    """Return the expected number of arrivals, which is the area under the curve."""
    return sum(
        (right.at_ms - left.at_ms) / 1000.0 * (left.per_s + right.per_s) / 2.0
        for left, right in zip(rate_curve, rate_curve[1:], strict=False)
    )


def draw_arrivals(seed: int, spacing: str, rate_curve: Curve) -> Times:
    """Return the arrival times in ms from the start, in ascending order.

    The same seed gives the same times on every machine (PCG64).

    Raises:
        UnknownNameError: the spacing is not one of ``SPACINGS``.
    """
    total = expected_arrivals(rate_curve)
    if spacing == "paced":
        arrivals = np.arange(math.floor(total + 1e-9), dtype=np.float64) + 0.5
    elif spacing in SPACINGS:
        rng = np.random.Generator(np.random.PCG64(seed))
        shape = 1.0 if spacing == "poisson" else 1.0 / BURSTY_VARIATION**2
        arrivals = np.empty(0)
        while not arrivals.size or arrivals[-1] < total:  # the first pass nearly always suffices
            gaps = rng.gamma(shape, 1.0 / shape, int(total * 1.1) + 64)
            arrivals = np.concatenate([arrivals, (arrivals[-1] if arrivals.size else 0.0) + np.cumsum(gaps)])
        arrivals = arrivals[arrivals < total]
    else:
        raise UnknownNameError("spacing", spacing, SPACINGS)
    return _rescale_to_curve(arrivals, rate_curve)


def _rescale_to_curve(arrivals: Times, rate_curve: Curve) -> Times:
    """Map arrivals of a unit-rate process to the times in ms at which the curve's integral reaches them."""
    at_s = np.array([point.at_ms for point in rate_curve]) / 1000.0
    rates = np.array([point.per_s for point in rate_curve])
    cumulative_arrivals = np.concatenate([[0.0], np.cumsum(np.diff(at_s) * (rates[1:] + rates[:-1]) / 2.0)])
    segment = np.clip(
        np.searchsorted(cumulative_arrivals, arrivals, side="right") - 1, 0, len(rate_curve) - 2
    )
    remaining = arrivals - cumulative_arrivals[segment]
    segment_length_s = np.diff(at_s)[segment]
    slopes = np.divide(
        np.diff(rates)[segment],
        segment_length_s,
        out=np.zeros_like(segment_length_s),
        where=segment_length_s > 0,
    )
    # Solves rate * x + slope * x^2 / 2 = remaining in the form that stays exact for a slope or a rate of 0.
    arrival_rates = np.sqrt(np.maximum(0.0, rates[segment] ** 2 + 2.0 * slopes * remaining))
    denominator = rates[segment] + arrival_rates
    offset_s = np.divide(2.0 * remaining, denominator, out=np.zeros_like(remaining), where=denominator > 0)
    return np.asarray((at_s[segment] + np.minimum(offset_s, segment_length_s)) * 1000.0, dtype=np.float64)
