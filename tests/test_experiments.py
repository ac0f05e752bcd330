"""Experiments: the matrix, pairs and their intervals, and results that survive an interruption."""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path

import numpy as np
import pytest

from spindlerelay.testbed import revisions
from spindlerelay.testbed.experiments import matrix, pairs, results, runner
from spindlerelay.testbed.experiments.matrix import Cell, ExperimentError
from spindlerelay.testbed.experiments.pairs import PlayedRun
from spindlerelay.testbed.experiments.results import ResultEntry, Results, ResultsError

GOOD = """
name = "try"
seconds = 3
seeds = [1, 2]
nodes = [2]
loads = [0.5, 0.9]
[[variant]]
name = "module"
[[variant]]
name = "pool"
policy = "pool"
"""


def read(tmp_path: Path, text: str) -> matrix.Experiment:
    path = tmp_path / "x.toml"
    path.write_text(text)
    return matrix.read_experiment(str(path))


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("seconds = 3", "seconds = 0", "seconds: 0 stands there; expected a number of at least 2"),
        ("seconds = 3", "second = 3", "second: no such key"),
        ("seeds = [1, 2]", "seeds = []", "seeds: [] stands there"),
        ("seeds = [1, 2]", "seeds = [0]", "seeds.0: 0 stands there; expected a number of at least 1"),
        ("loads = [0.5, 0.9]", 'loads = ["all"]', "loads.0: 'all' stands there; expected a valid number"),
        ("loads = [0.5, 0.9]", 'curve = "hill"', "curve: 'hill' stands there; expected one of steady, ramp"),
        ("loads = [0.5, 0.9]", 'arrivals = "even"', "arrivals: 'even' stands there; expected one of poisson"),
        (
            "loads = [0.5, 0.9]",
            'habits = "strom"',
            "habits: 'strom' is not a balancer profile; known: steady",
        ),
        ('policy = "pool"', 'policy = "tub"', "variant.1.policy: 'tub' stands there; expected one of module"),
        ('policy = "pool"', 'policy = "pool+lossy5"', "variant.1.policy: 'pool+lossy5' stands there"),
        ('policy = "pool"', 'habits = "once:0"', "variant.1.habits: '0' is not a valid weight of once"),
        ('name = "pool"', 'name = "module"', "variant: 'module' stands twice"),
        ('name = "try"', "", "name: missing"),
        ("seeds = [1, 2]", f"seeds = {[1] * 900}\nnodes = {[2] * 20}", "72000 runs in all; at most 20000"),
    ],
)
def test_error_in_file_names_its_key(tmp_path: Path, old: str, new: str, words: str) -> None:
    text = GOOD.replace("nodes = [2]\n", "") if "nodes" in new else GOOD
    with pytest.raises(ExperimentError) as caught:
        read(tmp_path, text.replace(old, new, 1))
    assert any(str(tmp_path) in line and words in line for line in caught.value.lines), caught.value.lines


def test_errors_in_events_are_reported_before_anything_runs(tmp_path: Path) -> None:
    story = '[[story]]\nname = "s"\ntrouble = [{ kind = "crash", node = 5, at = "1s" }, '
    story += '{ kind = "flood", at = "9s" }]\n'
    with pytest.raises(ExperimentError) as caught:
        read(tmp_path, GOOD + story)
    told = "\n".join(caught.value.lines)
    assert "story.0.trouble.0.node: 5 stands there" in told and "story.0.trouble.1.kind: 'flood'" in told


def test_variants_of_cell_share_stream_and_every_run_has_its_own_key(tmp_path: Path) -> None:
    found = matrix.runs(read(tmp_path, GOOD + '[[story]]\nname = "drawn"\ndrawn = 2\n'))
    assert len(found) == 8 == len({run.key() for run in found})
    for one, other in zip(found[::2], found[1::2], strict=True):
        assert one.cell == other.cell and one.spec == other.spec._replace(policy="module")
        assert one.spec.events
    assert [run.key() for run in matrix.runs(read(tmp_path, GOOD))] == [
        run.key() for run in matrix.runs(read(tmp_path, GOOD))
    ]


# Intervals


def test_shows_no_difference_between_equal_variants() -> None:
    rng = random.Random(4)
    false = sum(
        pairs.confidence_interval([rng.gauss(0.0, 0.01) for _ in range(10)]).differs() for _ in range(100)
    )
    assert false <= 10  # 95%; the bench has the coverage to three figures


def test_finds_loss_of_a_few_standard_errors() -> None:
    rng = random.Random(5)
    found = pairs.confidence_interval([rng.gauss(-0.04, 0.02) for _ in range(10)])
    assert found.differs() and found.low is not None and found.low < -0.04 < (found.high or 0.0) < 0.0
    assert "lossy serves less worth than module" in found.describe("module", "lossy")
    assert "No difference shown" in pairs.confidence_interval([-0.01, 0.02, 0.0, -0.02, 0.01]).describe(
        "a", "b"
    )


@pytest.mark.parametrize(
    ("values", "low"), [([], None), ([0.1] * 4, None), ([0.25] * 6, 0.25), ([0.0] * 9, 0.0)]
)
def test_interval_of_too_few_or_equal_differences(values: list[float], low: float | None) -> None:
    found = pairs.confidence_interval(values)
    assert found.low == low and found.differs() == bool(low)
    assert ("too few" in found.describe("a", "b")) == (low is None)


def played(variant: str, seed: int, worth: float, void: str = "", story: str = "none") -> PlayedRun:
    return PlayedRun(variant, Cell(story, 2, 0.7, seed), {"worth": worth, "rules_broken": 0}, void)


def test_pairs_exclude_void_and_unpaired_runs() -> None:
    runs = [played("a", seed, 0.9) for seed in range(1, 9)]
    runs += [played("b", seed, 0.8 + 0.001 * seed, "late" if seed == 3 else "") for seed in range(1, 8)]
    (row,) = pairs.compare(runs, ["a", "b"])
    assert row.interval.pairs == 6 and row.interval.differs() and row.base == pytest.approx(0.9)


def test_compares_over_all_and_by_story() -> None:
    runs = [
        played(variant, seed, 0.9 - (variant == "b") * 0.01 * seed, "", story)
        for variant in "ab"
        for seed in range(1, 7)
        for story in ("x", "y")
    ]
    rows = pairs.compare(runs, ["a", "b"])
    assert [(row.story, row.interval.pairs) for row in rows] == [("", 12), ("x", 6), ("y", 6)]


# Results


def entry(key: str, of: PlayedRun) -> ResultEntry:
    return ResultEntry(key, of, b"recording")


def test_results_are_durable_and_separated_by_code(tmp_path: Path) -> None:
    path = str(tmp_path / "r.db")
    first = Results(path)
    first.set_variants("try", ["b", "a"])
    first.add("try", "one", entry("k1", played("a", 1, 0.5)))
    first.add("try", "one", entry("k2", played("a", 2, 0.5, "the sender was late")))
    first.close()
    again = Results(path)
    assert again.counted_keys("one") == {"k1"} and again.counted_keys("two") == set()
    assert again.variants("try") == ["b", "a"] and len(again.played("try")) == 2
    again.add("try", "two", entry("k1", played("a", 1, 0.7)))
    assert [each.figures["worth"] for each in again.played("try")] == [0.7]
    assert again.recording("try", "a", Cell("none", 2, 0.7, 1)) == b"recording"
    assert again.recording("try", "a", Cell("none", 2, 0.7, 9)) == b""


def test_uncommitted_run_is_absent_after_crash(tmp_path: Path) -> None:
    path = tmp_path / "r.db"
    Results(str(path)).set_variants("try", ["a"])
    code = (
        "import os, sys\n"
        "from spindlerelay.testbed.experiments.results import Results\n"
        "db = Results(sys.argv[1])._db\n"
        "db.execute('BEGIN')\n"
        "db.execute(\"INSERT INTO runs VALUES ('k','c','try','a','s',1,0.5,1,'{}','',x'00',0.0)\")\n"
        "os._exit(9)\n"
    )
    command = [sys.executable, "-c", code, str(path)]
    completed = subprocess.run(command, cwd=revisions.REPOSITORY_ROOT, timeout=60, check=False)
    assert completed.returncode == 9  # it died inside the transaction
    assert Results(str(path)).played("try") == []


@pytest.mark.parametrize("kind", ["text", "newer", "missing"])
def test_rejects_foreign_file_with_one_line_error(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "r.db"
    if kind == "text":
        path.write_text("not a database at all, but long enough to be looked at as one" * 20)
    elif kind == "newer":
        results.Results(str(path))._db.execute("PRAGMA user_version=7")
    with pytest.raises(ResultsError, match="r.db: ") as caught:
        Results(str(path), must_exist=True)
    assert len(str(caught.value).splitlines()) == 1


def test_interrupted_experiment_plays_only_missing_and_void_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With stand-ins for the runs: what is there is not played again, what was void is."""
    monkeypatch.setattr(runner, "play_run", _stand_in)
    found, store = read(tmp_path, GOOD), Results(str(tmp_path / "r.db"))
    seen: list[ResultEntry] = []
    for _ in runner.play_missing(found, store, seen.append, max_runs=3):
        pass
    assert len(seen) == 3 and len(runner.missing(found, store)) == 5
    for _ in runner.play_missing(found, store, seen.append):
        pass
    assert len(seen) == 8 and not runner.missing(found, store)
    store.add(
        "try", revisions.code_version(), entry(matrix.runs(found)[0].key(), played("module", 1, 0.5, "late"))
    )
    assert [run.key() for run in runner.missing(found, store)] == [matrix.runs(found)[0].key()]
    assert len(pairs.compare(store.played("try"), store.variants("try"))) == 3


def _stand_in(run: matrix.Run, premises: str = "") -> ResultEntry:
    worth = 0.9 if run.variant == "module" else 0.8
    return entry(run.key(), PlayedRun(run.variant, run.cell, {"worth": worth, "rules_broken": 0}))


def test_checked_out_revision_is_removed_at_the_end() -> None:
    with revisions.checked_out(["HEAD"]) as folders:
        folder = Path(folders["HEAD"])
        assert (folder / "spindlerelay" / "__main__.py").is_file()
    words = ["git", "worktree", "list"]
    listed = subprocess.run(words, cwd=revisions.REPOSITORY_ROOT, capture_output=True, text=True, check=True)
    assert not folder.exists() and str(folder) not in listed.stdout


def test_unknown_revision_raises_revision_error() -> None:
    with pytest.raises(revisions.RevisionError):
        revisions.commit_of("no-such-revision")


def test_failed_cluster_makes_its_run_void_with_reason(tmp_path: Path) -> None:
    run = matrix.runs(read(tmp_path, GOOD))[0]
    broken = run._replace(spec=run.spec._replace(operator_config="[nonsense]\nx = 1\n", nodes=1))
    assert "nonsense: no such key" in runner.play_run(broken).played.void_reason


def test_mean_of_interval_is_mean_of_differences() -> None:
    values = np.random.default_rng(1).normal(0.0, 1.0, 30).tolist()
    assert pairs.confidence_interval(values).mean == pytest.approx(float(np.mean(values)))
