"""Plays the missing runs of an experiment, several at once, each in a process of its own."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from typing import Any

from spindlerelay.process.logging import log_to_stderr
from spindlerelay.testbed import revisions
from spindlerelay.testbed.experiments.matrix import Experiment, Run, runs
from spindlerelay.testbed.experiments.pairs import PlayedRun
from spindlerelay.testbed.experiments.results import ResultEntry, Results
from spindlerelay.testbed.load_generation import outcomes
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.scripted_run import Recording, emulate

CORES_PER_NODE = 0.16  # of the node and its share of the cluster around it
MIN_CORES_PER_RUN = 0.25
MAX_ERROR_CHARACTERS = 300
POLL_INTERVAL_S = 0.5


def figures(recording: Recording) -> dict[str, Any]:
    """Return a run's figures by the names under which results store them."""
    rows, details = recording.rows, recording.details
    table = {row["class"]: row for row in outcomes.table(rows, traffic.CLASSES, details["departments"])}
    flat: dict[str, Any] = {"worth": round(outcomes.goodput(rows, traffic.CLASSES), 5)}
    for name, row in table.items():
        flat[f"{name}_worth"] = row["worth"]
        flat |= {f"{name}_{key}": row[key] for key in ("p50_ms", "p99_ms", "p99_9_ms") if key in row}
    flat |= {"asked": len(rows), "tries": table["all"]["tries"], "late_p99_ms": details["late_p99_ms"]}
    flat |= {"rules_broken": sum(details["rules"].values()), "digest": details["digest"]}
    return flat


def play_run(run: Run, premises: str = "") -> ResultEntry:
    """Play one run, with nodes of the working tree ``premises``; a failure makes the run void."""
    log_to_stderr(level="CRITICAL")
    try:
        recording = emulate(run.spec._replace(working_tree=premises))
    except (RuntimeError, ValueError, OSError) as error:
        reason = str(error)[:MAX_ERROR_CHARACTERS] or "failed"
        return ResultEntry(run.key(), PlayedRun(run.variant, run.cell, {}, reason), b"")
    void = "; ".join(recording.void_reasons())
    return ResultEntry(
        run.key(), PlayedRun(run.variant, run.cell, figures(recording), void), recording.to_bytes()
    )


def concurrent_runs(experiment: Experiment) -> int:
    """Return how many runs at once this machine has cores for, unless the experiment says so."""
    cores_per_run = max(MIN_CORES_PER_RUN, CORES_PER_NODE * max(experiment.nodes))
    return experiment.at_once or max(1, int((os.cpu_count() or 1) / cores_per_run))


def resolved(experiment: Experiment) -> Experiment:
    """Return the experiment with commits in place of the names of revisions, which may move on.

    Raises:
        RevisionError: where a revision does not exist.
    """
    variants = [
        variant.model_copy(update={"revision": revisions.commit_of(variant.revision)})
        if variant.revision
        else variant
        for variant in experiment.variant
    ]
    return experiment.model_copy(update={"variant": variants})


def missing(experiment: Experiment, results: Results) -> list[Run]:
    """Return the runs that are not in the database, did not count, or were played by other code."""
    known = results.counted_keys(revisions.code_version())
    return [run for run in runs(experiment) if run.key() not in known]


def play_missing(
    experiment: Experiment,
    results: Results,
    on_run_completed: Callable[[ResultEntry], None],
    max_runs: int = 0,
) -> Iterator[None]:
    """Play the missing runs, at most ``most`` if it is above 0.

    ``ended`` is called with each run once it is stored. Yields regularly, so that a caller may stop.

    Raises:
        RevisionError: where a revision does not exist.
    """
    experiment = resolved(experiment)
    results.set_variants(experiment.name, [variant.name for variant in experiment.variant])
    pending = missing(experiment, results)
    pending = pending[:max_runs] if max_runs else pending
    code = revisions.code_version()
    with revisions.checked_out([run.revision for run in pending if run.revision]) as directories:
        pool = ProcessPoolExecutor(concurrent_runs(experiment))
        try:
            futures: set[Future[ResultEntry]] = {
                pool.submit(play_run, run, directories.get(run.revision, "")) for run in pending
            }
            while futures:
                completed, futures = wait(futures, timeout=POLL_INTERVAL_S, return_when=FIRST_COMPLETED)
                for future in completed:
                    results.add(experiment.name, code, future.result())
                    on_run_completed(future.result())
                yield
        finally:
            pool.shutdown(wait=True, cancel_futures=True)
