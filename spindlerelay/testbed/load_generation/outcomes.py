"""The outcome of each request as a row of a table, and the statistics of such a table.

Pure. Latency counts from the intended send time, which avoids coordinated omission; the send delay has its
own column. Percentiles are computed from complete histograms, and no statistic is a mean of means. Files
store the columns and the texts of ``ENDS``, ``REASONS`` and ``OUTCOMES``.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

from spindlerelay.testbed.load_generation.errors import UnknownNameError
from spindlerelay.testbed.models.traffic import ClassSpec

ENDS = ("served", "refused", "failed", "lost", "unsent")
REASONS = (
    "",
    "told to wait",
    "told to stop",
    "busy",
    "no node to try",
    "out of time",
    "unreached",
    "broken",
    "failed late",
    "failed",
    "bad request",
    "no answer",
    "worker lost",
)
OUTCOMES = ("in_aim", "late", "refused", "failed", "lost", "unsent")
SERVED = ENDS.index("served")
UNSENT = ENDS.index("unsent")
MAX_LATENCY_US = 120_000_000  # longer latencies are recorded as this value
SIGNIFICANT_FIGURES = 3  # precision of the histograms
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
GROUPINGS = ("class", "department", "outcome")

ROW = struct.Struct("<dfIIIBBBBB3x")
COLUMNS = np.dtype(
    [
        ("at_ms", "<f8"),
        ("late_ms", "<f4"),
        ("number", "<u4"),
        ("took_us", "<u4"),
        ("tries", "<u4"),
        ("cls", "u1"),
        ("department", "u1"),
        ("end", "u1"),
        ("reason", "u1"),
        ("poorer", "u1"),
        ("spare", "V3"),
    ]
)
Rows = NDArray[Any]


class Outcome(NamedTuple):
    """The outcome of one request.

    ``at_ms`` is the intended send time in ms from the start of the run, and ``latency_ms`` counts from it.
    ``cls`` and ``tenant`` are indices into the tables of classes and tenants that the request was drawn from.
    """

    at_ms: float
    send_delay_ms: float
    number: int
    latency_ms: float
    attempts: int
    cls: int
    tenant: int
    end: str
    reason: str = ""
    is_partial: bool = False

    def to_row(self) -> bytes:
        """Return the outcome as one packed row of ``COLUMNS``."""
        return ROW.pack(
            self.at_ms,
            self.send_delay_ms,
            self.number,
            min(MAX_LATENCY_US, max(0, round(self.latency_ms * 1000.0))),
            self.attempts,
            self.cls,
            self.tenant,
            ENDS.index(self.end),
            REASONS.index(self.reason),
            self.is_partial,
        )


def parse_rows(data: bytes | bytearray) -> Rows:
    """Return packed rows as a table, without an incomplete row at the end."""
    complete = len(data) - len(data) % ROW.size
    return np.frombuffer(bytes(data[:complete]), dtype=COLUMNS)


def join_rows(parts: Sequence[Rows]) -> Rows:
    """Return the rows of several workers as one table in the order of the stream."""
    rows = np.concatenate([np.empty(0, COLUMNS), *parts])
    return rows[np.argsort(rows["number"], kind="stable")]


def outcome_indices(rows: Rows, classes: Sequence[ClassSpec]) -> NDArray[np.uint8]:
    """Return the index in ``OUTCOMES`` for each row."""
    latency_objective_us = np.array([cls.latency_objective_ms for cls in classes])[rows["cls"]] * 1000.0
    served = rows["end"] == SERVED
    late = served & (rows["took_us"] > latency_objective_us)
    return np.where(served, np.where(late, 1, 0), rows["end"].astype(np.uint8) + 1).astype(np.uint8)


def earned_weights(
    rows: Rows, classes: Sequence[ClassSpec]
) -> tuple[NDArray[np.float64], NDArray[np.float64]]:
    """Return the priority weight of each row, and the part of the weight that its response earned."""
    weight = np.array([cls.priority_weight for cls in classes])[rows["cls"]]
    late_weight = np.array([cls.late_response_weight for cls in classes])[rows["cls"]]
    partial_weight = np.array([cls.partial_response_weight for cls in classes])[rows["cls"]]
    outcome = outcome_indices(rows, classes)
    earned = np.where(outcome == 0, weight, np.where(outcome == 1, weight * late_weight, 0.0))
    return weight, earned * np.where(rows["poorer"] > 0, partial_weight, 1.0)


def goodput(rows: Rows, classes: Sequence[ClassSpec]) -> float:
    """Return the earned fraction of the total priority weight, or 0 if there are no rows."""
    weight, earned = earned_weights(rows, classes)
    return float(earned.sum() / weight.sum()) if weight.size else 0.0


def histogram(took_us: NDArray[Any]) -> HdrHistogram:
    """Return a histogram of latencies in microseconds."""
    latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    values, counts = np.unique(np.maximum(1, took_us), return_counts=True)
    for value, count in zip(values.tolist(), counts.tolist(), strict=True):
        latencies.record_value(value, count)
    return latencies


def percentiles(took_us: NDArray[Any]) -> dict[str, float]:
    """Return the percentiles in ms by name, such as ``p99_9_ms``; empty if there are no latencies."""
    if not took_us.size:
        return {}
    latencies = histogram(took_us)
    return {
        f"p{percentile:g}_ms".replace(".", "_"): latencies.get_value_at_percentile(percentile) / 1000.0
        for percentile in PERCENTILES
    }


class SendDelay(NamedTuple):
    """How closely the send times of a run followed the schedule of ``intended`` requests."""

    intended: int
    sent: int
    p99_ms: float
    max_ms: float
    bound_ms: float

    @property
    def sent_fraction(self) -> float:
        """Return the fraction of the intended requests that were sent."""
        return self.sent / self.intended if self.intended else 1.0

    def void_reasons(self) -> list[str]:
        """Return the reasons why the run is void; the list is empty for a valid run."""
        reasons = []
        if self.sent < self.intended:
            reasons.append(f"{self.intended - self.sent} of {self.intended} requests were never sent")
        if self.p99_ms > self.bound_ms:
            reasons.append(f"the sender was late: p99 {self.p99_ms:.1f} ms, bound {self.bound_ms:g} ms")
        return reasons


def send_delay_of(rows: Rows, intended: int, bound_ms: float) -> SendDelay:
    """Return the send delay of a run that should have sent ``intended`` requests."""
    sent = rows[rows["end"] != UNSENT]
    if not sent.size:
        return SendDelay(intended, 0, 0.0, 0.0, bound_ms)
    delays = histogram(np.maximum(1, sent["late_ms"] * 1000.0).astype(np.int64))
    p99 = delays.get_value_at_percentile(99.0) / 1000.0
    return SendDelay(intended, int(sent.size), p99, float(sent["late_ms"].max()), bound_ms)


def unsent_rows(rows: Rows, schedule: Sequence[tuple[float, int, int]]) -> Rows:
    """Return a row with the reason "worker lost" for every request that has no row.

    ``schedule`` contains the intended send time, class index and tenant index of each request of the stream.
    """
    recorded_numbers = set(rows["number"].tolist())
    data = b"".join(
        Outcome(at, 0.0, number, 0.0, 0, cls, tenant, "unsent", "worker lost").to_row()
        for number, (at, cls, tenant) in enumerate(schedule)
        if number not in recorded_numbers
    )
    return parse_rows(data)


def table(
    rows: Rows, classes: Sequence[ClassSpec], tenant_names: Sequence[str], by: str = "class"
) -> list[dict[str, Any]]:
    """Return one row for all requests and one row for each class, tenant or outcome.

    A row contains the counts by outcome, the earned fraction of the priority weight, the mean number of
    attempts, and the latency percentiles of the requests that were sent.

    Raises:
        UnknownNameError: ``by`` is not one of ``GROUPINGS``.
    """
    outcome = outcome_indices(rows, classes)
    weight, earned = earned_weights(rows, classes)
    table_rows = []
    for name, selected in _groups(rows, outcome, classes, tenant_names, by).items():
        if by == "outcome" and not selected.any():
            continue
        counts = {kind: int(np.sum(outcome[selected] == i)) for i, kind in enumerate(OUTCOMES)}
        total = float(weight[selected].sum())
        answered = selected & (rows["end"] < UNSENT)
        table_rows.append(
            {
                by: name,
                "asked": int(selected.sum()),
                **counts,
                "worth": round(float(earned[selected].sum()) / total, 4) if total else 0.0,
                "tries": round(float(rows["tries"][selected].mean()), 3) if selected.any() else 0.0,
                **percentiles(rows["took_us"][answered]),
            }
        )
    return table_rows


def _groups(
    rows: Rows,
    outcome: NDArray[np.uint8],
    classes: Sequence[ClassSpec],
    tenant_names: Sequence[str],
    by: str,
) -> dict[str, NDArray[np.bool_]]:
    """Return a row mask for each group by name; the first group contains all rows."""
    groups: dict[str, NDArray[np.bool_]] = {"all": np.ones(len(rows), bool)}
    if by == "class":
        groups |= {cls.name: rows["cls"] == i for i, cls in enumerate(classes)}
    elif by == "department":
        groups |= {name: rows["department"] == i for i, name in enumerate(tenant_names)}
    elif by == "outcome":
        groups |= {name: outcome == i for i, name in enumerate(OUTCOMES)}
    else:
        raise UnknownNameError("grouping", by, GROUPINGS)
    return groups


def over_time(rows: Rows, classes: Sequence[ClassSpec], bin_ms: float) -> dict[str, list[float | None]]:
    """Return the earned fraction of priority weight and the request rate, by bins of intended send time."""
    if not rows.size:
        return {"worth": [], "per_s": []}
    weight, earned = earned_weights(rows, classes)
    bin_indices = (rows["at_ms"] // bin_ms).astype(int)
    bins = int(bin_indices.max()) + 1
    weight_by_bin, earned_by_bin = (
        np.bincount(bin_indices, weight, bins),
        np.bincount(bin_indices, earned, bins),
    )
    counts = np.bincount(bin_indices, minlength=bins)
    fractions = [
        float(earned_weight / total) if total else None
        for total, earned_weight in zip(weight_by_bin, earned_by_bin, strict=True)
    ]
    return {"worth": fractions, "per_s": [float(count) * 1000.0 / bin_ms for count in counts]}


def latency_heat_map(
    rows: Rows, bin_ms: float, steps: int = 24
) -> tuple[NDArray[np.int64], NDArray[np.float64]]:
    """Return counts of requests by intended send time and latency, and the edges of the latency bins in ms.

    The edges are evenly spaced on a logarithmic scale.
    """
    latencies_ms = np.maximum(1.0, rows["took_us"] / 1000.0)
    edges = np.geomspace(1.0, max(10.0, float(latencies_ms.max(initial=10.0)) * 1.001), steps + 1)
    columns = int(rows["at_ms"].max(initial=0.0) // bin_ms) + 1
    counts, _, _ = np.histogram2d(rows["at_ms"], latencies_ms, bins=[np.arange(columns + 1) * bin_ms, edges])
    return counts.astype(np.int64), edges


def count_reasons(rows: Rows) -> dict[str, int]:
    """Return counts of unsuccessful requests by reason, the most frequent reason first."""
    counts = Counter(REASONS[number] for number in rows["reason"].tolist())
    counts.pop("", None)
    return dict(counts.most_common())
