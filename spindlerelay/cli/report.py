"""The command ``report``: writes an HTML page about a recorded run or an experiment."""

from __future__ import annotations

from pathlib import Path

import click

from spindlerelay.cli import CommandError
from spindlerelay.testbed.experiments.results import Results, ResultsError
from spindlerelay.testbed.reports import fleet
from spindlerelay.testbed.reports import report as reports
from spindlerelay.testbed.scripted_run import Recording


@click.command()
@click.argument("source", type=click.Path())
@click.option("--out", default="report.html", show_default=True, type=click.Path(dir_okay=False))
@click.option("--experiment", help="Name of the experiment; needed if the database holds several.")
@click.option(
    "--csv", "folder", type=click.Path(file_okay=False), help="Also write the tables to this folder, as CSV."
)
@click.option(
    "--json", "path", type=click.Path(dir_okay=False), help="Also write the tables to this file, as JSON."
)
@click.option(
    "--plots", type=click.Path(file_okay=False), help="Also write the plots to this folder, as PNG."
)
def report(
    source: str, out: str, experiment: str | None, folder: str | None, path: str | None, plots: str | None
) -> int:
    """Write an HTML report of SOURCE.

    SOURCE is a recording of 'load --record', a database of 'experiment', or the file that
    'drill processes --course' writes.
    """
    try:
        created_report = _create_report(source, experiment)
        created_report.write(out, folder or "", path or "", plots or "")
    except (ResultsError, ValueError) as error:
        raise CommandError(str(error)) from None
    except OSError as error:
        raise CommandError(f"{error.filename}: {error.strerror}") from None
    for line in created_report.verdicts:
        click.echo(line)
    click.echo(out)
    return 0


def _create_report(source: str, experiment: str | None) -> reports.Report:
    head = Path(source).read_bytes()[:16]
    if head.startswith(b"{"):
        try:
            return fleet.report_on_course(
                f"Drill {Path(source).stem}", Path(source).read_text(encoding="utf-8")
            )
        except ValueError as error:
            raise CommandError(f"{source}: {error}") from None
    if not head.startswith(b"SQLite format 3"):
        try:
            recording = Recording.from_bytes(Path(source).read_bytes())
        except ValueError:
            raise CommandError(f"{source}: neither a recording of 'load --record' nor a database") from None
        return reports.report_on_recording(f"Run {Path(source).stem}", recording)
    results = Results(source, must_exist=True)
    names = results.experiments()
    if experiment is None and len(names) != 1:
        raise CommandError(
            f"{source}: give --experiment; the database holds {', '.join(names) or 'no experiment'}"
        )
    name = experiment or names[0]
    if name not in names:
        raise CommandError(f"{source}: no experiment {name!r}; known: {', '.join(names)}")
    return reports.report_on_experiment(results, name)
