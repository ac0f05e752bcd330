"""Comparison of pairs of runs: differences of worth on the same stream, with a confidence interval.

Pure. Worth is the earned fraction of priority weight, as in ``load_generation.outcomes``.
"""

from __future__ import annotations

import math
import warnings
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import numpy as np

from spindlerelay.testbed.experiments.matrix import Cell

CONFIDENCE = 0.95
RESAMPLES = 9999
MIN_PAIRS = 5  # of an interval


class Interval(NamedTuple):
    """The mean difference B less A, its bounds (None with too few pairs), and the number of pairs."""

    mean: float
    low: float | None
    high: float | None
    pairs: int

    def differs(self) -> bool:
        """Return whether the interval excludes a difference of 0."""
        return self.low is not None and self.high is not None and not self.low <= 0.0 <= self.high

    def describe(self, one: str, other: str) -> str:
        """Return the verdict on variants ``one`` (A) and ``other`` (B) as a sentence."""
        if self.low is None or self.high is None:
            return f"{self.pairs} pairs of {other} and {one}: too few to tell (at least {MIN_PAIRS})"
        bounds = f"{self.low:+.4f} to {self.high:+.4f}"
        difference = f"{self.mean:+.4f} of worth, 95% interval {bounds}, {self.pairs} pairs"
        if not self.differs():
            return f"No difference shown between {other} and {one}: {difference}."
        return f"{other} serves {'more' if self.mean > 0 else 'less'} worth than {one}: {difference}."


def confidence_interval(differences: Sequence[float], seed: int = 1) -> Interval:
    """Return the confidence interval of the mean difference: the same for the same differences.

    It is the bias-corrected and accelerated bootstrap interval (Efron 1987), or Student's where that reaches
    further: the bootstrap of few pairs is too narrow (bench.pair_intervals has its coverage).
    """
    count = len(differences)
    mean = float(np.mean(differences)) if count else 0.0
    if count < MIN_PAIRS:
        return Interval(mean, None, None, count)
    if max(differences) == min(differences):  # nothing to resample
        return Interval(mean, mean, mean, count)
    from scipy.stats import bootstrap, ttest_1samp  # noqa: PLC0415 (slow to import)

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # a degenerate sample shows in its bounds, below
        bca = bootstrap(
            (np.asarray(differences),),
            np.mean,
            n_resamples=RESAMPLES,
            confidence_level=CONFIDENCE,
            method="BCa",
            rng=np.random.default_rng(seed),
        ).confidence_interval
    student = ttest_1samp(differences, 0.0).confidence_interval(CONFIDENCE)
    low, high = float(student.low), float(student.high)
    if not math.isnan(bca.low) and not math.isnan(bca.high):
        low, high = min(low, float(bca.low)), max(high, float(bca.high))
    return Interval(mean, low, high, count)


class PlayedRun(NamedTuple):
    """A run that was played. ``void`` says why it does not count; empty where it does."""

    variant: str
    cell: Cell
    figures: Mapping[str, Any]
    void_reason: str = ""


def differences(played: Sequence[PlayedRun], one: str, other: str, key: str = "worth") -> dict[Cell, float]:
    """Return B less A by cell, of pairs that both count; A is ``one``, B is ``other``."""
    values = {(each.variant, each.cell): float(each.figures[key]) for each in played if not each.void_reason}
    return {
        cell: values[other, cell] - value
        for (variant, cell), value in values.items()
        if variant == one and (other, cell) in values
    }


class Comparison(NamedTuple):
    """A variant compared with the first one, over the seeds of a story at a size and load.

    The row over all has an empty story and 0 for size and load. ``base`` is the first variant's worth.
    """

    story: str
    nodes: int
    load: float
    variant: str
    worth: float
    base: float
    interval: Interval

    @property
    def where(self) -> str:
        """Return story, size and load in words; empty for the row over all."""
        return f"{self.story}, {self.nodes} nodes, load {self.load:g}" if self.story else ""


def compare(played: Sequence[PlayedRun], variants: Sequence[str]) -> list[Comparison]:
    """Compare each variant with the first: over all, then by story, size and load."""
    base = variants[0]
    rows = list[Comparison]()
    worths = {
        (each.variant, each.cell): float(each.figures["worth"]) for each in played if not each.void_reason
    }
    for variant in variants[1:]:
        by_cell = differences(played, base, variant)
        groups: dict[tuple[str, int, float], list[Cell]] = {("", 0, 0.0): sorted(by_cell)}
        for cell in sorted(by_cell):
            groups.setdefault((cell.story, cell.nodes, cell.load), []).append(cell)
        if len(groups) == 2:  # the only group is the same as all
            groups.pop(("", 0, 0.0))
        for (story, nodes, load), cells in groups.items():
            if not cells:
                continue
            rows.append(
                Comparison(
                    story,
                    nodes,
                    load,
                    variant,
                    float(np.mean([worths[variant, cell] for cell in cells])),
                    float(np.mean([worths[base, cell] for cell in cells])),
                    confidence_interval([by_cell[cell] for cell in cells]),
                )
            )
    return rows
