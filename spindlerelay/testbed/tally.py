"""Outcomes of requests by class: counts, value served and histograms of latency."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from spindlerelay.testbed.models.traffic import CLASSES, ClassSpec

MAX_LATENCY_MS = 60_000  # the highest latency that is recorded; longer ones count as this
HISTOGRAM_DIGITS = 3
OUTCOMES = ("in_aim", "late", "refused", "failed", "lost")  # published names
COLUMNS = ("class", "asked", *OUTCOMES, "worth", "p50_ms", "p99_ms")  # published names
BIN_MS = 250.0  # of the time series of a run


@dataclass(slots=True)
class Bin:
    """A class's requests that arrived within one interval."""

    requests: int = 0
    value: float = 0.0
    complete: int = 0
    objective_met: int = 0


class _ClassRow:
    """The totals of one class."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(OUTCOMES, 0)
        self.requests = 0
        self.value = 0.0
        self.offered_value = 0.0
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, HISTOGRAM_DIGITS)


class OutcomeTally:
    """Outcomes of one run; latency counts from the intended time of sending, retries included."""

    def __init__(self, classes: tuple[ClassSpec, ...] = CLASSES) -> None:
        self.rows_by_class = {spec.name: _ClassRow() for spec in classes}
        self._bins: dict[tuple[str, int], Bin] = {}  # by class and number of the interval of the arrival

    def request_arrived(self, cls: ClassSpec, at: float) -> None:
        """Count a request that arrives at ``at`` ms."""
        row = self.rows_by_class[cls.name]
        row.requests += 1
        row.offered_value += cls.priority_weight
        self._bin(cls, at).requests += 1

    def _bin(self, cls: ClassSpec, at: float) -> Bin:
        return self._bins.setdefault((cls.name, int(at // BIN_MS)), Bin())

    def between(self, name: str, start: float, end: float) -> Bin:
        """Return the sum of a class's requests that arrived between two times, rounded to intervals."""
        total = Bin()
        for (cls, number), each in self._bins.items():
            if cls == name and start <= number * BIN_MS < end:
                total.requests += each.requests
                total.value += each.value
                total.complete += each.complete
                total.objective_met += each.objective_met
        return total

    def request_ended(
        self, cls: ClassSpec, at: float, outcome: str, latency_ms: float = 0.0, partial: bool = False
    ) -> None:
        """Count the end of a request that arrived at ``at`` ms.

        The end is ``served``, ``refused``, ``failed`` or ``lost``; a partial response has a lower value.
        """
        row = self.rows_by_class[cls.name]
        value = 0.0
        if outcome == "served":
            row.latency.record_value(max(1, min(MAX_LATENCY_MS, round(latency_ms))))
            outcome = "in_aim" if latency_ms <= cls.latency_objective_ms else "late"
            value = cls.priority_weight * (1.0 if outcome == "in_aim" else cls.late_response_weight)
            value *= cls.partial_response_weight if partial else 1.0
        row.counts[outcome] += 1
        row.value += value
        each = self._bin(cls, at)
        each.value += value
        each.objective_met += outcome == "in_aim"
        each.complete += outcome in ("in_aim", "late") and not partial

    def value_fraction(self) -> float:
        """Return the value served as a fraction of the value offered; 0 without requests."""
        offered = sum(row.offered_value for row in self.rows_by_class.values())
        return sum(row.value for row in self.rows_by_class.values()) / offered if offered else 0.0

    def table(self) -> list[dict[str, Any]]:
        """Return a row for each class by ``COLUMNS``; its "worth" is a fraction of the value offered."""
        return [
            {
                "class": name,
                "asked": row.requests,
                **row.counts,
                "worth": round(row.value / row.offered_value, 3) if row.offered_value else 0.0,
                "p50_ms": row.latency.get_value_at_percentile(50.0),
                "p99_ms": row.latency.get_value_at_percentile(99.0),
            }
            for name, row in self.rows_by_class.items()
        ]

    def objective_met_fraction(self, name: str) -> float:
        """Return the fraction of a class's requests within the latency objective; 1 without requests."""
        row = self.rows_by_class[name]
        return row.counts["in_aim"] / row.requests if row.requests else 1.0
