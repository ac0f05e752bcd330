"""Tables of a fleet by node and second, and statistics of load balance and synchronization.

The functions do no I/O. The load of a node in a second is the mean number of its outstanding attempts
(unread, queued or on its cores) divided by the capacity of its cores. It has no upper bound, so that overload
is visible.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy.stats import chi2, poisson

SECOND_MS = 1000.0
SAMPLE_MS = 100.0  # interval between samples of the nodes
MIN_SAMPLES = SECOND_MS / SAMPLE_MS / 2.0  # a node counts as up in a second with this many samples
HOT_FACTOR = 1.5  # a node is hot above this multiple of the fleet's mean load
IDLE_FACTOR = 1.0 / 3.0  # a node is idle below this fraction of the fleet's mean load
HERD_WINDOW_MS = 50.0
RANDOM_ASSIGNMENTS = 5  # random assignments whose mean herd size is the reference

Table = NDArray[np.float64]
Counts = NDArray[np.int64]


class FleetObservation(NamedTuple):
    """Tables with one row per node and one column per second.

    Attributes:
        load: mean load; NaN where the node was not up.
        busy: mean busy fraction of the cores; NaN where the node was not up.
        rejections: number of rejections.
    """

    load: Table
    busy: Table
    rejections: Table


class LoadSums:
    """Sums of the samples of one pool's nodes.

    Attributes:
        names: names of the nodes.
        rows: by second, one list per node with the number of samples, the sum of load and the sum of busy
            fractions.
    """

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.rows: dict[int, list[list[float]]] = {}

    def add(self, at: float, values: list[tuple[float, float] | None]) -> None:
        """Add a sample of load and busy fraction for each node; None for a node that is down.

        ``at`` is in ms since the first request.
        """
        second = self.rows.setdefault(int(at // SECOND_MS), [[0.0, 0.0, 0.0] for _ in self.names])
        for row, value in zip(second, values, strict=True):
            if value is not None:
                row[0] += 1.0
                row[1] += value[0]
                row[2] += value[1]


def merge_samples(
    node_names: list[str],
    seconds: int,
    sums: list[tuple[list[str], dict[int, list[list[float]]]]],
    rejection_counts: dict[tuple[str, int], int],
) -> FleetObservation:
    """Merge the samples of all pools in the first ``seconds`` whole seconds.

    ``sums`` has the names and rows of each ``LoadSums``; ``rejection_counts`` has the number of rejections by
    node and second.
    """
    shape = (len(node_names), seconds)
    row_of = {name: row for row, name in enumerate(node_names)}
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
    for (name, second), count in rejection_counts.items():
        if second < seconds:
            rejections[row_of[name], second] = count
    return FleetObservation(load, busy, rejections)


def hot_fraction(observation: FleetObservation) -> float:
    """Return the fraction of node-seconds above ``HOT_FACTOR`` times the fleet's mean load of the second."""
    return _fraction(observation.load > HOT_FACTOR * _mean_load(observation), observation)


def idle_fraction(observation: FleetObservation) -> float:
    """Return the fraction of node-seconds below ``IDLE_FACTOR`` of the mean load while any node rejects."""
    rejecting = observation.rejections.sum(axis=0) > 0
    return _fraction((observation.load < IDLE_FACTOR * _mean_load(observation)) & rejecting, observation)


def _mean_load(observation: FleetObservation) -> Table:
    up = ~np.isnan(observation.load)
    mean: Table = np.where(up, observation.load, 0.0).sum(axis=0) / np.maximum(1, up.sum(axis=0))
    return mean


def _fraction(selected: NDArray[np.bool_], observation: FleetObservation) -> float:
    up = ~np.isnan(observation.load)
    return float((selected & up).sum() / max(1, up.sum()))


def herd_size(times_ms: Table, balancers: NDArray[np.int64], nodes: NDArray[np.int64]) -> int:
    """Return the largest number of balancers that send to the same node within one ``HERD_WINDOW_MS``.

    The arrays have the time in ms, the balancer and the node of each attempt.
    """
    if not len(times_ms):
        return 0
    windows = (times_ms // HERD_WINDOW_MS).astype(np.int64)
    distinct = np.unique(np.stack([windows, nodes, balancers]), axis=1)
    _, counts = np.unique(distinct[:2], axis=1, return_counts=True)
    return int(counts.max())


def herding_ratio(
    times_ms: Table, balancers: NDArray[np.int64], nodes: NDArray[np.int64], node_count: int, seed: int
) -> float:
    """Return the herd size divided by the mean herd size of the same attempts at randomly drawn nodes."""
    rng = np.random.default_rng(seed)
    random_sizes = [
        herd_size(times_ms, balancers, rng.integers(0, node_count, len(nodes)))
        for _ in range(RANDOM_ASSIGNMENTS)
    ]
    return herd_size(times_ms, balancers, nodes) / max(1.0, float(np.mean(random_sizes)))


def event_counts(times_ms: list[float], span_ms: float, start: float, end: float) -> Counts:
    """Return the number of events in each interval of ``span_ms`` between two times."""
    selected_times_ms = np.array([time_ms for time_ms in times_ms if start <= time_ms < end])
    counts: Counts = np.histogram(selected_times_ms, np.arange(start, end + span_ms / 2.0, span_ms))[0]
    return counts


def peak_ratio(counts: Counts) -> float:
    """Return the largest count divided by the mean count; 0 without events."""
    return float(counts.max() / counts.mean()) if counts.any() else 0.0


def peak_bound(mean: float, spans: int, probability: float) -> float:
    """Return the peak-to-mean ratio that independent senders do not exceed with the given probability.

    The number of their events in an interval has a Poisson distribution. The probability that the busiest of
    ``spans`` intervals has at most k events is the probability for one interval to the power of ``spans``.
    Returns 0 without events.
    """
    if not mean:
        return 0.0
    return float(poisson.ppf(probability ** (1.0 / spans), mean) / mean)


def dispersion(counts: Counts) -> float:
    """Return the variance-to-mean ratio of the counts: about 1 for independent senders, 0 without events."""
    return float(counts.var() / counts.mean()) if counts.any() else 0.0


def dispersion_bound(independent_spans: int, probability: float) -> float:
    """Return the dispersion that independent senders do not exceed with the given probability.

    If each sender is periodic, only the intervals of one period are independent.
    """
    degrees_of_freedom = independent_spans - 1
    return float(chi2.ppf(probability, degrees_of_freedom) / degrees_of_freedom)


def peak_to_mean(times_ms: list[float], span_ms: float, start: float, end: float) -> float:
    """Return the peak-to-mean ratio of the events per interval between two times; 0 without events."""
    return peak_ratio(event_counts(times_ms, span_ms, start, end))
