"""Figures of a report: percentiles, worth over time, heat maps and states."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any, NamedTuple

import matplotlib
import numpy as np

matplotlib.use("Agg")  # no screen is needed

from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402
from matplotlib.patches import Patch  # noqa: E402

from spindlerelay.testbed.experiments.pairs import PlayedRun  # noqa: E402
from spindlerelay.testbed.load_generation import outcomes  # noqa: E402
from spindlerelay.testbed.load_generation.outcomes import Rows  # noqa: E402
from spindlerelay.testbed.models.traffic import ClassSpec  # noqa: E402

COLOURS = ("#1f6f8b", "#c8553d", "#6a994e", "#7b5ea7", "#c99700", "#4d4d4d")
STATES = {
    "well": "#6a994e",
    "cold": "#8ecae6",
    "slow": "#e9c46a",
    "leaving": "#b8b8b8",
    "paused": "#7b5ea7",
    "down": "#c8553d",
    "troubled": "#e9c46a",
}
BIN_MS = 500.0
WIDTH_INCHES = 9.0
MAX_TRACKS = 24  # nodes and stores whose states are drawn
QUANTILES = 1.0 - 10.0 ** -np.linspace(0.0, 4.0, 200)
QUANTILE_TOLERANCE = 1e-9
MIN_EVENT_MS = 60.0  # shorter events are drawn as long
LABEL_ROWS = 3
LABEL_ROW_HEIGHT = 0.09  # fraction of the axis


class Series(NamedTuple):
    """One variant's requests, of one run or of several, and the details of the run drawn over time."""

    name: str
    rows: Rows
    told: dict[str, Any]


def svg(figure: Figure) -> str:
    """Return the figure as an SVG element for a page."""
    sink = io.StringIO()
    style: Any = {"svg.fonttype": "none", "svg.hashsalt": "report", "font.family": "sans-serif"}
    with matplotlib.rc_context(style):
        figure.savefig(sink, format="svg", metadata={"Date": None, "Creator": None})
    text = sink.getvalue()
    return text[text.index("<svg") :]


def percentile_curves(series: Sequence[Series]) -> Figure:
    """Draw latency by quantile, the tail stretched: each step to the right is ten times rarer."""
    figure = Figure(figsize=(WIDTH_INCHES, 3.6), layout="constrained")
    axis = figure.subplots()
    for number, each in enumerate(series):
        took = each.rows["took_us"][each.rows["end"] < outcomes.UNSENT]
        if not took.size:
            continue
        latencies = outcomes.histogram(took)
        quantiles = QUANTILES[1.0 - 1.0 / took.size + QUANTILE_TOLERANCE >= QUANTILES]
        values = [latencies.get_value_at_percentile(100.0 * q) / 1000.0 for q in quantiles]
        colour = COLOURS[number % len(COLOURS)]
        axis.plot(1.0 / (1.0 - quantiles), values, color=colour, label=each.name)
    axis.set(xscale="log", yscale="log", xlabel="percentile", ylabel="ms from the intended time")
    ticks = [1.0, 2.0, 10.0, 100.0, 1000.0, 10_000.0]
    axis.set_xticks(ticks, ["0", "50", "90", "99", "99.9", "99.99"])
    axis.grid(alpha=0.25)
    axis.legend(fontsize=8)
    return figure


def by_load(played: Sequence[PlayedRun], variants: Sequence[str]) -> Figure:
    """Draw the mean worth of each variant by load, one axis for each size; bars span all runs."""
    sizes = sorted({each.cell.nodes for each in played})
    figure = Figure(figsize=(WIDTH_INCHES, 3.4), layout="constrained")
    axes = figure.subplots(1, len(sizes), sharey=True, squeeze=False)[0]
    for axis, size in zip(axes, sizes, strict=True):
        for number, variant in enumerate(variants):
            runs = [each for each in played if each.variant == variant and each.cell.nodes == size]
            _plot_by_load(axis, runs, variant, COLOURS[number % len(COLOURS)])
        axis.set(title=f"{size} nodes", xlabel="load, of the capacity", ylim=(0.0, 1.02))
        axis.grid(alpha=0.25)
    axes[0].set_ylabel("worth got / asked")
    axes[0].legend(fontsize=8, loc="lower left")
    return figure


def _plot_by_load(axis: Axes, runs: Sequence[PlayedRun], variant: str, colour: str) -> None:
    worths: dict[float, list[float]] = {}
    for each in runs:
        worths.setdefault(each.cell.load, []).append(float(each.figures["worth"]))
    loads = sorted(worths)
    means = [float(np.mean(worths[load])) for load in loads]
    below = [mean - min(worths[load]) for mean, load in zip(means, loads, strict=True)]
    above = [max(worths[load]) - mean for mean, load in zip(means, loads, strict=True)]
    axis.errorbar(loads, means, [below, above], color=colour, marker="o", capsize=3, label=variant)


def over_time(series: Sequence[Series], classes: Sequence[ClassSpec]) -> Figure:
    """Draw worth, a heat map for each variant, and the states of nodes and stores, on one axis of time."""
    with_states = [each for each in series if _tracks(each)]
    heights = [2.0, 1.0] + [1.6] * len(series) + [0.25 + 0.13 * len(_tracks(each)) for each in with_states]
    figure = Figure(figsize=(WIDTH_INCHES, sum(heights) + 0.6), layout="constrained")
    axes = list(figure.subplots(len(heights), 1, sharex=True, height_ratios=heights))
    for number, each in enumerate(series):
        _plot_over_time(axes[0], axes[1], each, classes, COLOURS[number % len(COLOURS)])
    axes[0].set(ylabel="worth got / asked", ylim=(0.0, 1.05))
    axes[0].legend(fontsize=8, loc="lower left")
    axes[1].set(ylabel="asked / s")
    axes[1].set_ylim(bottom=0.0)
    for axis, each in zip(axes[2:], series, strict=False):
        _draw_heat_map(axis, each)
    for axis, each in zip(axes[2 + len(series) :], with_states, strict=True):
        _draw_states(axis, each)
    for axis in axes[: 2 + len(series)]:
        _shade_events(axis, series[0], axis is axes[0])
        axis.grid(alpha=0.2)
    axes[-1].set_xlabel("s from the first request")
    _add_state_legend(figure, with_states)
    return figure


def _plot_over_time(
    worth_axis: Axes, rate_axis: Axes, series: Series, classes: Sequence[ClassSpec], colour: str
) -> None:
    values = outcomes.over_time(series.rows, classes, BIN_MS)
    at = [(i + 0.5) * BIN_MS / 1000.0 for i in range(len(values["worth"]))]
    worth = [np.nan if value is None else value for value in values["worth"]]
    worth_axis.plot(at, worth, color=colour, label=series.name)
    rate_axis.plot(at, [value or 0.0 for value in values["per_s"]], color=colour, linewidth=1.0)


def _add_state_legend(figure: Figure, series: Sequence[Series]) -> None:
    used = {state for each in series for _, states in _tracks(each) for state in states if state}
    if used:
        patches = [Patch(color=colour, label=state) for state, colour in STATES.items() if state in used]
        figure.legend(handles=patches, fontsize=7, ncols=len(patches), loc="outside lower center")


def _draw_heat_map(axis: Axes, series: Series) -> None:
    counts, edges = outcomes.latency_heat_map(series.rows, BIN_MS)
    times = np.arange(counts.shape[0] + 1) * BIN_MS / 1000.0
    visible = np.ma.masked_equal(counts.T, 0)
    axis.pcolormesh(times, edges, visible, cmap="viridis", norm="log", rasterized=True)
    axis.set(yscale="log", ylabel=f"{series.name}\nms")


def _tracks(series: Series) -> list[tuple[str, list[str | None]]]:
    """Return names and states over time, of nodes and stores."""
    samples = series.told.get("samples", {})
    names = [key for key in samples if key.endswith(" state")]
    return [(name.removesuffix(" state"), samples[name]) for name in names][:MAX_TRACKS]


def _draw_states(axis: Axes, series: Series) -> None:
    step_s, tracks = series.told["sample_ms"] / 1000.0, _tracks(series)
    for row, (_, states) in enumerate(tracks):
        for begin, length, state in _spans(states):
            span = (begin * step_s, length * step_s)
            axis.broken_barh([span], (row - 0.4, 0.8), color=STATES.get(state, "#ffffff"))
    axis.set_yticks(range(len(tracks)), [name for name, _ in tracks], fontsize=6)
    axis.set_ylim(len(tracks) - 0.5, -0.5)
    axis.set_ylabel(series.name)


def _spans(states: Sequence[str | None]) -> list[tuple[int, int, str]]:
    """Return begin, length and state of each run of equal samples."""
    spans: list[tuple[int, int, str]] = []
    for index, state in enumerate(states):
        if spans and spans[-1][2] == state:
            begin, length, _ = spans[-1]
            spans[-1] = (begin, length + 1, state)
        elif state:
            spans.append((index, 1, state))
    return spans


def _shade_events(axis: Axes, series: Series, labelled: bool) -> None:
    for number, (label, start, end) in enumerate(series.told.get("events", [])):
        end_s = max(end, start + MIN_EVENT_MS) / 1000.0
        axis.axvspan(start / 1000.0, end_s, color="#00000018", linewidth=0)
        if labelled:
            height = 1.0 - LABEL_ROW_HEIGHT * (number % LABEL_ROWS)
            position = (start / 1000.0, height)
            axis.annotate(label, position, xycoords=("data", "axes fraction"), fontsize=7, va="top")
