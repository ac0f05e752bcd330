"""An experiment's file, and the runs that it describes.

Every error in a file is reported before anything runs. A cell is a story at a size, a load and a seed; each
variant plays it once. Runs of one cell have the same stream, request for request: they are a pair. The fields
of the tables are the keys of files.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, Any, NamedTuple

import ujson
from pydantic import Field, ValidationError

from spindlerelay.config import schema
from spindlerelay.config.operator import Duration
from spindlerelay.config.schema import FileError, Table
from spindlerelay.testbed import baseline_policies
from spindlerelay.testbed.baseline_policies import MODULE
from spindlerelay.testbed.load_generation import arrival_process
from spindlerelay.testbed.models import fault_script
from spindlerelay.testbed.models.balancer import parse_profile_mix
from spindlerelay.testbed.models.fault_script import FaultEvent
from spindlerelay.testbed.scripted_run import Emulation

MAX_RUNS = 20_000
MAX_NODES = 64
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,40}$")]


class ExperimentError(FileError):
    """An experiment's file that cannot be played. ``lines`` has one text for each error."""


class TroubleTable(Table):
    """One event of a story, with times in a file's units."""

    kind: str
    at: Duration
    lasts: Annotated[Duration, Field(alias="for")] = 2000.0
    node: Annotated[int, Field(ge=0, le=MAX_NODES)] = 0
    times: Annotated[float, Field(ge=0.0, le=100.0, strict=False)] = 0.0

    def event(self) -> FaultEvent:
        """Return the event of a script."""
        return FaultEvent(self.kind, self.at, self.lasts, self.node, self.times)


class StoryTable(Table):
    """Events by script, and so many more drawn from each run's seed."""

    name: Name
    trouble: Annotated[list[TroubleTable], Field(max_length=50)] = []
    drawn: Annotated[int, Field(ge=0, le=20)] = 0


class VariantTable(Table):
    """What is compared: another policy, another revision, or other settings."""

    name: Name
    policy: str = MODULE
    revision: Annotated[str, Field(max_length=80)] = ""
    operator: Annotated[str, Field(max_length=20_000)] = ""
    habits: str = ""


class Experiment(Table):
    """The whole file. Loads are fractions of the fleet's capacity."""

    name: Name
    seconds: Annotated[float, Field(ge=2.0, le=3600.0, strict=False)] = 20.0
    seeds: Annotated[list[Annotated[int, Field(ge=1, le=2**31)]], Field(min_length=1, max_length=1000)] = [1]
    nodes: Annotated[list[Annotated[int, Field(ge=1, le=MAX_NODES)]], Field(min_length=1)] = [3]
    loads: Annotated[
        list[Annotated[float, Field(gt=0.0, le=5.0, strict=False)]], Field(min_length=1, max_length=50)
    ] = [0.7]
    habits: str = "steady,least,deaf"
    arrivals: str = "poisson"
    curve: str = "steady"
    to_load: Annotated[float, Field(ge=0.0, le=5.0, strict=False)] = 0.0
    catalogue: bool = False
    at_once: Annotated[int, Field(ge=0, le=64)] = 0
    variant: Annotated[list[VariantTable], Field(min_length=1, max_length=20)]
    story: Annotated[list[StoryTable], Field(min_length=1, max_length=50)] = [StoryTable(name="none")]


class Cell(NamedTuple):
    """What the runs of a pair have in common."""

    story: str
    nodes: int
    load: float
    seed: int


class Run(NamedTuple):
    """One run of the matrix. ``revision`` is empty for the present code."""

    variant: str
    cell: Cell
    revision: str
    spec: Emulation

    def key(self) -> str:
        """Return the key under which the run is stored: a hash of its values by position."""
        values = ujson.dumps([self.variant, self.cell, self.revision, self.spec], sort_keys=True)
        return hashlib.blake2b(values.encode(), digest_size=12).hexdigest()


def read_experiment(path: str) -> Experiment:
    """Return the experiment in a TOML file.

    Raises:
        ExperimentError: with a line for every error in it.
    """
    tree = schema.read_toml(path, ExperimentError)
    try:
        experiment = Experiment.model_validate(tree)
    except ValidationError as error:
        raise ExperimentError(schema.validation_errors(path, error, _unknown_key_hint)) from None
    if errors := [f"{path}: {line}" for line in faults(experiment)]:
        raise ExperimentError(errors)
    return experiment


def _unknown_key_hint(_location: tuple[Any, ...]) -> str:
    return "docs/experiments.md lists them"


def faults(experiment: Experiment) -> list[str]:
    """Return, in a line each, the errors that the schema does not find.

    These are unknown names, names that stand twice, and times outside of the run.
    """
    errors = []
    if experiment.arrivals not in arrival_process.SPACINGS:
        errors.append(_unexpected("arrivals", experiment.arrivals, arrival_process.SPACINGS))
    if experiment.curve not in arrival_process.CURVES:
        errors.append(_unexpected("curve", experiment.curve, arrival_process.CURVES))
    errors += _habit_errors(experiment)
    names = {
        "variant": [variant.name for variant in experiment.variant],
        "story": [story.name for story in experiment.story],
    }
    for kind, given in names.items():
        errors += [f"{kind}: {name!r} stands twice; names should differ" for name in _duplicates(given)]
    for i, variant in enumerate(experiment.variant):
        if not baseline_policies.is_known(variant.policy):
            errors.append(_unexpected(f"variant.{i}.policy", variant.policy, baseline_policies.NAMES))
    errors += _event_errors(experiment)
    count = len(experiment.variant) * len(cells(experiment))
    if count > MAX_RUNS:
        errors.append(f"{count} runs in all; at most {MAX_RUNS} are played")
    return errors


def _habit_errors(experiment: Experiment) -> list[str]:
    mixes = [("habits", experiment.habits)]
    mixes += [
        (f"variant.{i}.habits", variant.habits)
        for i, variant in enumerate(experiment.variant)
        if variant.habits
    ]
    errors = []
    for key, habits in mixes:
        try:
            parse_profile_mix(habits)
        except ValueError as error:
            errors.append(f"{key}: {error}")
    return errors


def _event_errors(experiment: Experiment) -> list[str]:
    fewest_nodes, length_ms = min(experiment.nodes), experiment.seconds * 1000.0
    return [
        f"story.{i}.trouble.{j}.{line}"
        for i, story in enumerate(experiment.story)
        for j, trouble in enumerate(story.trouble)
        for line in fault_script.validation_errors(trouble.event(), fewest_nodes, length_ms)
    ]


def _unexpected(key: str, value: str, known: tuple[str, ...]) -> str:
    return f"{key}: {value!r} stands there; expected one of {', '.join(known)}"


def _duplicates(names: list[str]) -> list[str]:
    return sorted({name for name in names if names.count(name) > 1})


def cells(experiment: Experiment) -> list[Cell]:
    """Return all cells: the seeds of one size together, so that an experiment has complete pairs early."""
    return [
        Cell(story.name, nodes, load, seed)
        for nodes in experiment.nodes
        for load in experiment.loads
        for story in experiment.story
        for seed in experiment.seeds
    ]


def runs(experiment: Experiment) -> list[Run]:
    """Return the whole matrix in the order of playing: the variants of a cell next to each other."""
    stories = {story.name: story for story in experiment.story}
    return [
        Run(variant.name, cell, variant.revision, _emulation(experiment, variant, stories[cell.story], cell))
        for cell in cells(experiment)
        for variant in experiment.variant
    ]


def _emulation(experiment: Experiment, variant: VariantTable, story: StoryTable, cell: Cell) -> Emulation:
    events = [trouble.event() for trouble in story.trouble]
    events += fault_script.draw_events(cell.seed, story.drawn, cell.nodes, experiment.seconds * 1000.0)
    return Emulation(
        cell.seed,
        cell.nodes,
        experiment.seconds,
        cell.load,
        experiment.to_load,
        experiment.arrivals,
        experiment.curve,
        variant.habits or experiment.habits,
        variant.policy,
        tuple(events),
        experiment.catalogue,
        variant.operator,
    )
