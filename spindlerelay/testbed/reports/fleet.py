"""The report of the processes drill: load by node and second, worth over time, and the faults.

Reads what ``drill processes --course FILE`` wrote; the keys are those of that file.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import numpy as np
import ujson
from matplotlib.figure import Figure

from spindlerelay.errors import SpindlerelayError
from spindlerelay.testbed.reports.figures import COLOURS, WIDTH_INCHES
from spindlerelay.testbed.reports.report import Report, Section

KIND = "processes"
HEIGHT_INCHES = 3.6
MAX_COLOUR_LOAD = 6.0  # higher loads have the same colour
KIND_COLOURS = {
    "kill": "#c8553d",
    "pause": "#7b5ea7",
    "slow": "#e9c46a",
    "cut": "#1f6f8b",
    "refuse": "#1f6f8b",
    "replace": "#6a994e",
}
FIGURES = ("worth", "hot", "idle", "herd", "late_ms", "processes")
JOURNAL_COLUMNS = ("at_ms", "kind", "node", "link", "way", "began", "state")
LOAD_NOTE = (
    "Tries at hand over what the cores can do, by node (heaviest above) and second; white: "
    "not up. Marks are faults as they were done."
)


class CourseError(SpindlerelayError, ValueError):
    """A text that is no course of the drill."""


def report_on_course(title: str, text: str) -> Report:
    """Return the report of a course file's text.

    Raises:
        CourseError: where the text is no course of the drill.
    """
    try:
        course = ujson.loads(text)
        if course["kind"] != KIND:
            raise KeyError(KIND)
        runs, bin_ms = course["runs"], float(course["bin_ms"])
    except (ValueError, KeyError, TypeError):
        raise CourseError("not a course of 'drill processes --course'") from None
    rows = [{**_identity(run), **{key: round(run[key], 4) for key in FIGURES}} for run in runs]
    voids = [f"Void: {_title(run)}: {reason}" for run in runs for reason in run["void"]]
    worth_curves = _worth_curves(runs, bin_ms)
    parts = [Section("Runs", rows=rows), Section("Worth over time", "By the time of asking.", worth_curves)]
    for run in runs:
        parts.append(Section(f"Load {_title(run)}", LOAD_NOTE, heat_map(run)))
        if run["journal"]:
            entries = [dict(zip(JOURNAL_COLUMNS, entry, strict=True)) for entry in run["journal"]]
            parts.append(Section(f"Faults {_title(run)}", rows=entries))
    violations = sum(sum(run["rules"].values()) for run in runs)
    return Report(title, [f"{len(runs)} runs, rules broken in them: {violations}."], voids, [], parts)


def _identity(run: dict[str, Any]) -> dict[str, Any]:
    job = run["job"]
    return {"story": job["story"], "who": job["who"], "seed": job["seed"], "nodes": job["nodes"]}


def _title(run: dict[str, Any]) -> str:
    identity = _identity(run)
    return f"{identity['story']} {identity['who']} seed {identity['seed']}"


def heat_map(run: dict[str, Any]) -> Figure:
    """Draw the load of every node in every second, and the faults at their nodes and times."""
    load = np.array(run["load"], dtype=float)
    order = np.argsort(-np.nan_to_num(load).mean(axis=1), kind="stable")
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axis = figure.subplots()
    visible = np.ma.masked_invalid(load[order])
    mesh = axis.pcolormesh(visible, cmap="viridis", vmin=0.0, vmax=MAX_COLOUR_LOAD, rasterized=True)
    figure.colorbar(mesh, ax=axis, label="load")
    row_of = {f"n{node + 1}": row + 0.5 for row, node in enumerate(order)}
    for kind, colour in KIND_COLOURS.items():
        marks = [entry for entry in run["journal"] if entry[1] == kind and entry[5]]
        if marks:
            at, rows = [entry[0] / 1000.0 for entry in marks], [row_of[entry[2]] for entry in marks]
            axis.scatter(at, rows, s=9, color=colour, edgecolors="white", linewidths=0.4, label=kind)
    axis.set(xlabel="s from the first request", ylabel="nodes", ylim=(len(order), 0))
    if axis.get_legend_handles_labels()[0]:
        axis.legend(fontsize=7, loc="upper right")
    return figure


def _worth_curves(runs: Sequence[dict[str, Any]], bin_ms: float) -> Figure:
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axis = figure.subplots()
    for number, run in enumerate(runs):
        worth = [np.nan if value is None else value for value in run["course"]]
        at = [(i + 0.5) * bin_ms / 1000.0 for i in range(len(worth))]
        style = ("-", "--", ":")[number // len(COLOURS) % 3]
        axis.plot(at, worth, style, color=COLOURS[number % len(COLOURS)], linewidth=1.2, label=_title(run))
    axis.set(xlabel="s from the first request", ylabel="worth got / asked", ylim=(0.0, 1.05))
    axis.grid(alpha=0.25)
    axis.legend(fontsize=6, ncols=3, loc="lower left")
    return figure
