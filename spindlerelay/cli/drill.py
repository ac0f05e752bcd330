"""The command ``drill``: injects a failure on the emulator and checks the claims about it."""

from __future__ import annotations

import importlib
import json
import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from spindlerelay.process.logging import log_to_stderr

DRILLS = (
    "beliefs",
    "consul",
    "dependencies",
    "handover",
    "load",
    "processes",
    "restarts",
    "simulation",
    "soak",
    "spread",
)


def _cores_per_job(module: Any, jobs: list[Any]) -> float:
    """Return the number of cores that each job uses, as the drill's module declares it."""
    cores = module.CORES_EACH
    return float(cores(jobs) if callable(cores) else cores)


@click.command()
@click.argument("name", type=click.Choice(sorted(DRILLS)))
@click.option(
    "--json", "path", type=click.Path(dir_okay=False), help="Write the figures to this file, under flat keys."
)
@click.option(
    "--course",
    type=click.Path(dir_okay=False),
    help="Write the course of each scenario to this file, for plots.",
)
@click.option("--seed", default=1, show_default=True, type=click.IntRange(1), help="Seed of the first run.")
@click.option("--runs", type=click.IntRange(1, 50), help="Number of runs; each drill has its own default.")
@click.option(
    "--nodes", type=click.IntRange(2, 400), help="Number of render nodes; each drill has its own default."
)
@click.option("--wide", is_flag=True, help="Run all scenarios of the drill; takes some minutes per seed.")
@click.option(
    "--kills", type=click.IntRange(1, 100_000), help="Number of writer kills; only for the drill restarts."
)
@click.option(
    "--seeds",
    type=click.IntRange(1, 1_000_000),
    help="Number of seeds; only for the drills beliefs, simulation and soak.",
)
@click.option("--first", type=click.IntRange(1), help="First seed; only for the drill soak.")
@click.option(
    "--before", help="Revision whose nodes run beside the current ones; only for the drill processes."
)
@click.option(
    "--at-once",
    type=click.IntRange(1, 64),
    help="Number of parallel runs; by default as many as the cores allow.",
)
def drill(  # noqa: PLR0913 - one parameter for each option
    name: str,
    path: str | None,
    course: str | None,
    seed: int,
    runs: int | None,
    nodes: int | None,
    wide: bool,
    kills: int | None,
    seeds: int | None,
    first: int | None,
    before: str | None,
    at_once: int | None,
) -> int:
    """Run the drill NAME; exit status 1 if one of its claims fails."""
    log_to_stderr(level="ERROR")
    console, module = Console(), importlib.import_module(f"spindlerelay.testbed.drills.{name}")
    options = (("kills", kills), ("seeds", seeds), ("first", first), ("before", before))
    plan_arguments = {option: value for option, value in options if value}
    for option in plan_arguments:
        if not hasattr(module, option.upper()):
            raise click.UsageError(f"the drill {name} does not take the option --{option}")
    jobs = module.plan(seed, runs or module.RUNS, nodes or module.NODES, wide, **plan_arguments)
    parallel_jobs = at_once or max(
        1, min(len(jobs), int((os.cpu_count() or 1) / _cores_per_job(module, jobs)))
    )
    results = []
    with ProcessPoolExecutor(parallel_jobs) as pool, Progress(console=console, transient=True) as progress:
        for result in progress.track(
            pool.map(module.run, jobs), total=len(jobs), description=f"drill {name}"
        ):
            results.append(result)
    figures = module.merge(results)
    table = Table(title=f"drill {name}")
    table.add_column("figure")
    table.add_column("value", justify="right")
    for key, value in figures.items():
        table.add_row(key, str(value))
    console.print(table)
    claims = module.failed(figures)
    for claim in claims:
        console.print(f"claim failed: {claim}")
    if path:
        Path(path).write_text(json.dumps(figures, indent=1) + "\n")
    if course and hasattr(module, "course"):
        Path(course).write_text(json.dumps(module.course(results)) + "\n")
    return 1 if claims else 0
