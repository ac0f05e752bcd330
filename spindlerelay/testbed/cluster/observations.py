"""Tables of a fleet by node and second, and the figures that are read from them.

Pure. Load is the attempts at hand at a node (unread, queued and on its cores) over what its cores can do, the
mean of a second. It has no upper bound, so that overload shows.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy.stats import chi2, poisson

SECOND_MS = 1000.0
SAMPLE_MS = 100.0  # between samples of the nodes
MIN_SAMPLES = SECOND_MS / SAMPLE_MS / 2.0  # of a second in which a node counts as up
HOT_FACTOR = 1.5  # of the fleet's mean load
IDLE_FACTOR = 1.0 / 3.0
HERD_WINDOW_MS = 50.0
RANDOM_ASSIGNMENTS = 5  # that a herd is compared with

Table = NDArray[np.float64]
Counts = NDArray[np.int64]


class FleetObservation(NamedTuple):
    """Tables by node and second. ``load`` and ``busy`` are not a number where the node was not up."""

    load: Table
    busy: Table
    rejections: Table


class LoadSums:
    """Samples of one pool's nodes, added up by second."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.rows: dict[int, list[list[float]]] = {}  # second: for each node samples, load, busy

    def add(self, at: float, values: list[tuple[float, float] | None]) -> None:
        """Add load and busy fraction of each node, None where it is down.

        ``at`` is in ms since the first request.
        """
        second = self.rows.setdefault(int(at // SECOND_MS), [[0.0, 0.0, 0.0] for _ in self.names])
        for row, value in zip(second, values, strict=True):
            if value is not None:
                row[0] += 1.0
                row[1] += value[0]
                row[2] += value[1]


def merge_samples(
    nodes: list[str],
    seconds: int,
    sums: list[tuple[list[str], dict[int, list[list[float]]]]],
    refused: dict[tuple[str, int], int],
) -> FleetObservation:
    """Return one table of what all pools sampled in the first ``seconds`` whole seconds.

    ``sums`` are names and rows of each ``Sums``; ``refused`` are rejections by node and second.
    """
    shape = (len(nodes), seconds)
    row_of = {name: row for row, name in enumerate(nodes)}
    load, busy = np.full(shape, np.nan), np.full(shape, np.nan)
    rejections = np.zeros(shape)
    samples = (
        (name, second, sample)
        for names, rows in sums
        for second, values in rows.items()
        for name, sample in zip(names, values, strict=True)
    )
    for name, second, (count, load_sum, busy_sum) in samples:
        if second < seconds and count >= MIN_SAMPLES:
            load[row_of[name], second] = load_sum / count
            busy[row_of[name], second] = busy_sum / count
    for (name, second), count in refused.items():
        if second < seconds:
            rejections[row_of[name], second] = count
    return FleetObservation(load, busy, rejections)


def hot_fraction(observation: FleetObservation) -> float:
    """Return the fraction of node-seconds over ``HOT_FACTOR`` times the fleet's mean load of the second."""
    return _fraction(observation.load > HOT_FACTOR * _mean_load(observation), observation)


def idle_fraction(observation: FleetObservation) -> float:
    """Return the fraction of node-seconds under ``IDLE_FACTOR`` of the mean load while any node rejects."""
    rejecting = observation.rejections.sum(axis=0) > 0
    return _fraction((observation.load < IDLE_FACTOR * _mean_load(observation)) & rejecting, observation)


def _mean_load(observation: FleetObservation) -> Table:
    up = ~np.isnan(observation.load)
    mean: Table = np.where(up, observation.load, 0.0).sum(axis=0) / np.maximum(1, up.sum(axis=0))
    return mean


def _fraction(selected: NDArray[np.bool_], observation: FleetObservation) -> float:
    up = ~np.isnan(observation.load)
    return float((selected & up).sum() / max(1, up.sum()))


def herd_size(at: Table, by: NDArray[np.int64], to: NDArray[np.int64]) -> int:
    """Return the largest number of balancers that turn to one node within one ``HERD_WINDOW_MS``.

    The arrays are time in ms, balancer and node of each attempt.
    """
    if not len(at):
        return 0
    windows = (at // HERD_WINDOW_MS).astype(np.int64)
    distinct = np.unique(np.stack([windows, to, by]), axis=1)
    _, counts = np.unique(distinct[:2], axis=1, return_counts=True)
    return int(counts.max())


def herding_ratio(at: Table, by: NDArray[np.int64], to: NDArray[np.int64], nodes: int, seed: int) -> float:
    """Return the herd size over that of the same attempts at random nodes, the mean of several draws."""
    rng = np.random.default_rng(seed)
    random_sizes = [herd_size(at, by, rng.integers(0, nodes, len(to))) for _ in range(RANDOM_ASSIGNMENTS)]
    return herd_size(at, by, to) / max(1.0, float(np.mean(random_sizes)))


def event_counts(at: list[float], span_ms: float, start: float, end: float) -> Counts:
    """Return the number of events in each span between two times."""
    times = np.array([each for each in at if start <= each < end])
    counts: Counts = np.histogram(times, np.arange(start, end + span_ms / 2.0, span_ms))[0]
    return counts


def peak_ratio(counts: Counts) -> float:
    """Return the largest count over the mean; 0 without events."""
    return float(counts.max() / counts.mean()) if counts.any() else 0.0


def peak_bound(mean: float, spans: int, probability: float) -> float:
    """Return the ratio of peak to mean that independent senders stay under with a probability.

    Their events in a span are a Poisson number; the busiest of ``spans`` spans holds at most ``k`` with the
    probability of one span to the power of ``spans``. 0 without events.
    """
    if not mean:
        return 0.0
    return float(poisson.ppf(probability ** (1.0 / spans), mean) / mean)


def dispersion(counts: Counts) -> float:
    """Return the variance of the counts over their mean: about 1 for independent senders, 0 without any."""
    return float(counts.var() / counts.mean()) if counts.any() else 0.0


def dispersion_bound(independent_spans: int, probability: float) -> float:
    """Return the dispersion that independent senders stay under with a probability.

    Where each sender repeats itself after a period, only the spans of one period are independent.
    """
    freedom = independent_spans - 1
    return float(chi2.ppf(probability, freedom) / freedom)


def peak_to_mean(at: list[float], span_ms: float, start: float, end: float) -> float:
    """Return the most events in one span over the mean of all spans between two times; 0 without events."""
    return peak_ratio(event_counts(at, span_ms, start, end))
