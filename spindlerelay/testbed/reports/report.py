"""Reports: a self-contained page, and the same tables as CSV and JSON.

Texts, titles and columns are published: people read and process them.
"""

from __future__ import annotations

import csv
from collections import Counter
from collections.abc import Sequence
from importlib.resources import files
from pathlib import Path
from typing import Any, NamedTuple

import jinja2
import numpy as np
import ujson
from matplotlib.figure import Figure

from spindlerelay.errors import SpindlerelayError
from spindlerelay.testbed.experiments.matrix import Cell
from spindlerelay.testbed.experiments.pairs import Comparison, PlayedRun, compare
from spindlerelay.testbed.experiments.results import Results
from spindlerelay.testbed.load_generation import outcomes
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.reports import figures
from spindlerelay.testbed.reports.figures import Series
from spindlerelay.testbed.scripted_run import Recording

DPI = 90  # of a picture as a file of its own
MAX_RECORDINGS = 60  # whose requests go into one curve: a page has to stay small
MAX_VOIDS = 20  # void runs that are named
GROUPINGS = ("class", "department", "outcome")


class NoRunsError(SpindlerelayError, ValueError):
    """An experiment of which no run counts yet.

    Attributes:
        experiment: its name.
    """

    def __init__(self, experiment: str) -> None:
        super().__init__(experiment)
        self.experiment = experiment

    def __str__(self) -> str:
        return f"no run of {self.experiment!r} counts yet; 'experiment' plays them"


class Section(NamedTuple):
    """A section: a picture, or a table whose rows have values by column."""

    title: str
    note: str = ""
    picture: Figure | None = None
    rows: Sequence[dict[str, Any]] = ()

    @property
    def columns(self) -> list[str]:
        """Return the table's columns in the order of their first use."""
        return list(dict.fromkeys(key for row in self.rows for key in row))

    @property
    def svg(self) -> str:
        """Return the picture as an SVG element, empty without one."""
        return figures.svg(self.picture) if self.picture else ""

    @property
    def name(self) -> str:
        """Return the name of the section's file, without an extension."""
        return "_".join("".join(c if c.isalnum() else " " for c in self.title.lower()).split())


class Report(NamedTuple):
    """A report. ``verdicts``, ``voids`` and ``notes`` are sentences; the page's template uses all fields."""

    title: str
    verdicts: list[str]
    voids: list[str]
    notes: list[str]
    parts: list[Section]

    def page(self) -> str:
        """Return the page as HTML."""
        source = files("spindlerelay.testbed.reports").joinpath("page.html").read_text(encoding="utf-8")
        template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(source)
        return template.render(self._asdict())

    def tables(self) -> dict[str, list[dict[str, Any]]]:
        """Return the rows of each table, by the section's name."""
        return {part.name: list(part.rows) for part in self.parts if part.rows}

    def write(self, page: str, csv_folder: str = "", json_file: str = "", plots: str = "") -> None:
        """Write the page, and where a path is given, tables as CSV or JSON and pictures as PNG.

        Raises:
            OSError: where a file cannot be written.
        """
        Path(page).write_text(self.page(), encoding="utf-8")
        if json_file:
            self._write_json(Path(json_file))
        if plots:
            self._write_pictures(Path(plots))
        if csv_folder:
            self._write_csv(Path(csv_folder))

    def _write_json(self, path: Path) -> None:
        content = {"title": self.title, "verdicts": self.verdicts, "voids": self.voids, **self.tables()}
        path.write_text(ujson.dumps(content, indent=1) + "\n", encoding="utf-8")

    def _write_pictures(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        for part in self.parts:
            if part.picture:
                part.picture.savefig(directory / f"{part.name}.png", dpi=DPI)

    def _write_csv(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        for part in self.parts:
            if part.rows:
                with (directory / f"{part.name}.csv").open("w", newline="") as file:
                    writer = csv.DictWriter(file, part.columns, restval="")
                    writer.writeheader()
                    writer.writerows(part.rows)


def report_on_recording(title: str, recording: Recording, name: str = "run") -> Report:
    """Return the report of one run, which has no verdict but whether it counts."""
    details, worth = recording.details, outcomes.goodput(recording.rows, traffic.CLASSES)
    series = [Series(name, recording.rows, details)]
    verdicts = [f"Worth {worth:.4f} of {len(recording.rows)} requests; {_sending(details)}."]
    voids = [f"This run is void: {reason}." for reason in details["faults"]]
    voids += [f"Rule broken: {violation}" for violation in details.get("broken", [])]
    return Report(title, verdicts, voids, list(details.get("notes", [])), _parts(series, series))


def _sending(details: dict[str, Any]) -> str:
    sent, intended = details["sent"], details["intended"]
    return f"{sent} of {intended} sent, p99 {details['late_p99_ms']} ms late"


def report_on_experiment(results: Results, experiment: str, cell: Cell | None = None) -> Report:
    """Return the report of an experiment: verdicts over all pairs, and pictures of one cell.

    The pictures are of the cell where the difference is widest, unless one is given.

    Raises:
        NoRunsError: where no run counts yet.
    """
    played, variants = results.played(experiment), results.variants(experiment)
    counted = [each for each in played if not each.void_reason]
    if not counted:
        raise NoRunsError(experiment)
    comparison = compare(played, variants)
    cell = cell or _widest(counted, variants)
    drawn = _series(results, experiment, variants, [cell])
    merged = _series(results, experiment, variants, sorted({each.cell for each in counted}))
    void = [each for each in played if each.void_reason]
    voids = [f"Void, not counted: {each.variant} at {_where(each.cell)}: {each.void_reason}" for each in void]
    violations = sum(int(each.figures["rules_broken"]) for each in counted)
    notes = [
        f"{len(counted)} runs count, {len(voids)} are void; rules broken in them: {violations}. "
        f"Pictures over time show {_where(cell)}.",
    ]
    return Report(
        f"Experiment {experiment}",
        [_verdict(row, variants[0]) for row in comparison],
        voids[:MAX_VOIDS],
        notes,
        _comparison_parts(comparison, counted, variants) + _parts(merged, drawn),
    )


def _comparison_parts(
    comparison: Sequence[Comparison], counted: Sequence[PlayedRun], variants: Sequence[str]
) -> list[Section]:
    parts = []
    if comparison:
        parts.append(Section("Comparison", rows=[_comparison_row(row, variants[0]) for row in comparison]))
    if len({each.cell.load for each in counted}) > 1:
        note = "Mean over stories and seeds; bars from the least to the most of the runs."
        parts.append(Section("Worth by load", note, figures.by_load(counted, variants)))
    return parts


def _where(cell: Cell) -> str:
    return f"story {cell.story}, {cell.nodes} nodes, load {cell.load:g}, seed {cell.seed}"


def _verdict(row: Comparison, base: str) -> str:
    where = f"Story {row.where}: " if row.where else "Over all: "
    return where + row.interval.describe(base, row.variant)


def _comparison_row(row: Comparison, base: str) -> dict[str, Any]:
    interval = row.interval
    return {
        "variant": row.variant,
        "story": row.story or "all",
        "nodes": row.nodes or "all",
        "load": f"{row.load:g}" if row.load else "all",
        "worth": round(row.worth, 4),
        f"worth of {base}": round(row.base, 4),
        "difference": round(interval.mean, 4),
        "low": "" if interval.low is None else round(interval.low, 4),
        "high": "" if interval.high is None else round(interval.high, 4),
        "pairs": interval.pairs,
        "differs": "yes" if interval.differs() else "no",
    }


def _widest(counted: Sequence[PlayedRun], variants: Sequence[str]) -> Cell:
    worths: dict[Cell, list[float]] = {}
    for each in counted:
        worths.setdefault(each.cell, []).append(float(each.figures["worth"]))
    complete = {cell: values for cell, values in worths.items() if len(values) == len(variants)} or worths
    return max(complete, key=lambda cell: (max(complete[cell]) - min(complete[cell]), cell))


def _series(
    results: Results, experiment: str, variants: Sequence[str], cells: Sequence[Cell]
) -> list[Series]:
    """Return the requests of each variant in these cells, with the details of its first recording."""
    series = []
    for variant in variants:
        packed = [results.recording(experiment, variant, cell) for cell in cells[:MAX_RECORDINGS]]
        recordings = [Recording.from_bytes(data) for data in packed if data]
        if recordings:
            rows = np.concatenate([each.rows for each in recordings])
            refusals: Counter[str] = Counter()
            for each in recordings:
                refusals.update(each.details.get("refusals", {}))
            series.append(Series(variant, rows, recordings[0].details | {"refusals": dict(refusals)}))
    return series


def _parts(merged: Sequence[Series], drawn: Sequence[Series]) -> list[Section]:
    """Return the sections that every report has; empty ones are left out."""
    parts = [
        Section(
            "Percentiles",
            "Latency of every request that was sent, from the time it was meant to be sent; refusals, "
            "failures and what was never answered count with the time they took.",
            figures.percentile_curves(merged),
        ),
        Section(
            "Over time",
            "Worth by the intended time, what was asked, latency as a heat map, and the states of nodes and "
            "stores; troubles are shaded.",
            figures.over_time(drawn, traffic.CLASSES),
        ),
        *(Section(f"By {by}", rows=_table(merged, by)) for by in GROUPINGS),
        Section("Reasons of requests that were not served", rows=_request_reasons(merged)),
        Section(
            "Reasons of single tries",
            "A request that was refused once may be served elsewhere.",
            rows=_attempt_reasons(merged),
        ),
    ]
    return [part for part in parts if part.picture or part.rows]


def _table(series: Sequence[Series], by: str) -> list[dict[str, Any]]:
    return [
        {"variant": each.name, **row}
        for each in series
        for row in outcomes.table(each.rows, traffic.CLASSES, traffic.TENANT_NAMES, by)
    ]


def _request_reasons(series: Sequence[Series]) -> list[dict[str, Any]]:
    return [
        {"variant": each.name, "reason": reason, "requests": count}
        for each in series
        for reason, count in outcomes.count_reasons(each.rows).items()
    ]


def _attempt_reasons(series: Sequence[Series]) -> list[dict[str, Any]]:
    return [
        {"variant": each.name, "reason": reason, "tries": count}
        for each in series
        for reason, count in sorted(each.told.get("refusals", {}).items(), key=lambda item: -item[1])
    ]
