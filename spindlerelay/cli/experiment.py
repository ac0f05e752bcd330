"""The command ``experiment``: runs a matrix of variants and compares them in pairs."""

from __future__ import annotations

import click
from rich.console import Console
from rich.progress import (
    BarColumn,
    MofNCompleteColumn,
    Progress,
    TextColumn,
    TimeElapsedColumn,
    TimeRemainingColumn,
)

from spindlerelay.cli import CommandError, combine_errors
from spindlerelay.testbed.experiments import matrix, runner
from spindlerelay.testbed.experiments.pairs import compare
from spindlerelay.testbed.experiments.results import ResultEntry, Results, ResultsError
from spindlerelay.testbed.revisions import RevisionError


@click.command()
@click.argument("path", type=click.Path())
@click.option(
    "--db", type=click.Path(dir_okay=False), help="Database of the results; by default PATH with suffix .db."
)
@click.option(
    "--most", default=0, type=click.IntRange(0), help="Stop after this number of runs; 0 for no limit."
)
@click.option("--dry", is_flag=True, help="Only print how many runs are completed.")
def experiment(path: str, db: str | None, most: int, dry: bool) -> int:
    """Run the missing part of an experiment; exit status 1 if a run is void or violated a rule.

    PATH is the experiment's TOML file.
    """
    try:
        definition = matrix.read_experiment(path)
        results = Results(db or path.removesuffix(".toml") + ".db")
        missing = runner.missing(runner.resolved(definition), results)
    except matrix.ExperimentError as error:
        raise combine_errors(error.lines) from None
    except (ResultsError, RevisionError) as error:
        raise CommandError(str(error)) from None
    console = Console()
    total = len(matrix.runs(definition))
    concurrent_runs = runner.concurrent_runs(definition)
    console.print(
        f"{definition.name}: {total} runs, {total - len(missing)} completed, {concurrent_runs} in parallel"
    )
    if dry:
        return 0
    try:
        problems = _play(definition, results, console, min(len(missing), most or len(missing)), most)
    except KeyboardInterrupt:
        console.print("stopped; completed runs are kept, and the same command continues from there")
        return 130
    except RevisionError as error:
        raise CommandError(str(error)) from None
    for line in problems:
        console.print(line)
    for row in compare(results.played(definition.name), results.variants(definition.name)):
        console.print(
            f"{row.where or 'overall'}: " + row.interval.describe(definition.variant[0].name, row.variant)
        )
    results.close()
    return 1 if problems else 0


def _play(
    definition: matrix.Experiment, results: Results, console: Console, total: int, most: int
) -> list[str]:
    """Run the missing runs with a progress bar, and return a line for each void run or rule violation."""
    problems: list[str] = []
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        TextColumn("remaining"),
        TimeRemainingColumn(),
    )
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task(definition.name, total=total)

        def run_completed(entry: ResultEntry) -> None:
            progress.advance(task)
            played = entry.played
            if played.void_reason:
                problems.append(f"void: {played.variant} {played.cell}: {played.void_reason}")
            elif played.figures["rules_broken"]:
                problems.append(f"rules violated: {played.variant} {played.cell}")

        for _ in runner.play_missing(definition, results, run_completed, most):
            pass
    return problems
