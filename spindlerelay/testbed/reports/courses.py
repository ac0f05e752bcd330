"""Plots of the dependencies drill: worth and calls in flight over time, both policies on one axis.

Reads what ``drill dependencies --course FILE`` wrote, and draws one picture for each story:

    python -m spindlerelay.testbed.reports.courses FILE DIRECTORY
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import matplotlib

matplotlib.use("Agg")  # no screen is needed

from matplotlib.figure import Figure  # noqa: E402

SIZE_INCHES = (7.2, 4.6)
DPI = 80
COLOURS = {"product": "#1f6f8b", "baseline": "#c8553d"}
STYLES = ("-", "--")
SMOOTHING_BINS = 3  # that a point of worth is the mean of


def smoothed(values: list[float | None]) -> list[float | None]:
    """Return each value as the mean of its neighbourhood; None where that holds no request."""
    means: list[float | None] = []
    reach = SMOOTHING_BINS // 2
    for index in range(len(values)):
        neighbours = [v for v in values[max(0, index - reach) : index + reach + 1] if v is not None]
        means.append(sum(neighbours) / len(neighbours) if neighbours else None)
    return means


def draw(story: str, policies: dict[str, Any], course: dict[str, Any]) -> Figure:
    """Draw worth above and calls in flight at the dependencies below; the fault is shaded."""
    figure = Figure(figsize=SIZE_INCHES, dpi=DPI, layout="constrained")
    worth, hand = figure.subplots(2, 1, sharex=True)
    for policy, entry in sorted(policies.items(), reverse=True):
        colour = COLOURS[policy]
        times = [(i + 0.5) * course["bin_ms"] / 1000.0 for i in range(len(entry["worth"]))]
        worth.plot(times, smoothed(entry["worth"]), color=colour, label=policy)
        for style, (name, values) in zip(STYLES, sorted(entry["hand"].items(), reverse=True), strict=True):
            at = [i * course["sample_ms"] / 1000.0 for i in range(len(values))]
            hand.plot(at, values, style, color=colour, linewidth=1.0, label=f"{policy}, {name}")
    for axis in (worth, hand):
        axis.axvspan(course["from_ms"] / 1000.0, course["to_ms"] / 1000.0, color="#00000014", linewidth=0)
        axis.grid(alpha=0.25)
        axis.legend(fontsize=8, loc="best")
    worth.set(title=story, ylabel="worth got / asked for", ylim=(0.0, 1.05))
    hand.set(ylabel="calls in hand", xlabel="s from the first request")
    hand.set_ylim(bottom=0.0)
    return figure


@click.command()
@click.argument("source", type=click.Path(exists=True, dir_okay=False))
@click.argument("directory", type=click.Path(file_okay=False))
def main(source: str, directory: str) -> None:
    """Draw a picture of every story in SOURCE into DIRECTORY."""
    course = json.loads(Path(source).read_text())
    Path(directory).mkdir(parents=True, exist_ok=True)
    for story, policies in course["stories"].items():
        name = story.replace(" + ", "_and_").replace(" ", "_")
        draw(story, policies, course).savefig(Path(directory) / f"{name}.png")
        click.echo(f"{directory}/{name}.png")


if __name__ == "__main__":
    main()
