"""Reports and their commands: self-contained pages, verdicts, and errors of one line."""

from __future__ import annotations

import csv
import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

from spindlerelay.testbed.experiments.matrix import Cell
from spindlerelay.testbed.experiments.pairs import PlayedRun
from spindlerelay.testbed.experiments.results import ResultEntry, Results
from spindlerelay.testbed.load_generation import capacity_analysis, outcomes
from spindlerelay.testbed.load_generation.outcomes import Outcome
from spindlerelay.testbed.models.traffic import CLASSES
from spindlerelay.testbed.reports import report
from spindlerelay.testbed.scripted_run import Recording

ROOT = Path(__file__).parent.parent
SAMPLES = {
    "at_ms": [0, 250, 500, 750],
    "n1 state": ["well", "down", "cold", "well"],
    "n1 cores": [0.2, 0.0, 0.9, 1.0],
    "n1 loop": [0.1, 0.1, 0.2, 0.1],
    "store state": ["well", "well", "troubled", "well"],
    "store hand": [0, 1, 2, 1],
    "store slots": [4, 4, 4, 4],
    "links": [3, 3, 3, 3],
    "generator": [0.1, 0.2, 0.2, 0.1],
}


def recording(worth: float = 1.0, **told: object) -> Recording:
    """A hundred requests, of which a share is served."""
    data = b"".join(
        Outcome(
            number * 10.0,
            0.3,
            number,
            40.0 + number,
            1,
            1,
            number % 4,
            "served" if number < 100 * worth else "refused",
            "" if number < 100 * worth else "told to wait",
        ).to_row()
        for number in range(100)
    )
    base = {
        "faults": [],
        "intended": 100,
        "sent": 100,
        "late_p99_ms": 0.3,
        "rules": {},
        "sample_ms": 250.0,
        "samples": SAMPLES,
        "events": [["crash n1", 250.0, 500.0]],
        "refusals": {"busy": 3},
        "load": 0.7,
        "nodes": 1,
        "departments": ["acqua", "rifiuti", "anagrafe", "tributi"],
    }
    return Recording(outcomes.parse_rows(data), base | told)


def database(path: Path) -> Results:
    results = Results(str(path))
    results.set_variants("try", ["module", "pool"])
    for seed in range(1, 7):
        for variant, worth in (("module", 0.9), ("pool", 0.8 - 0.01 * seed)):
            made = recording(worth)
            got = outcomes.goodput(made.rows, CLASSES)
            played = PlayedRun(variant, Cell("none", 1, 0.7, seed), {"worth": got, "rules_broken": 0})
            results.add("try", "code", ResultEntry(f"{variant}{seed}", played, made.to_bytes()))
    void = PlayedRun("pool", Cell("none", 1, 0.7, 9), {}, "the sender was late: <1 s>")
    results.add("try", "code", ResultEntry("void", void, b""))
    return results


def test_page_is_self_contained_and_shows_every_section() -> None:
    page = report.report_on_recording("Run <x>", recording()).page()
    assert not re.findall(r'(?:src|href)="(?!#|data:)[^"]*"', page) and "@import" not in page
    assert "Run &lt;x&gt;" in page and page.count("<svg") == 2
    for words in ("Percentiles", "Over time", "By class", "By department", "By outcome", "crash n1", "cold"):
        assert words in page


def test_report_names_reasons_of_void_run_and_violations() -> None:
    made = report.report_on_recording(
        "r", recording(faults=["the sender was late"], broken=["lost at n1: x"])
    )
    assert made.voids == ["This run is void: the sender was late.", "Rule broken: lost at n1: x"]


def test_experiment_report_states_verdict_with_interval_and_names_void_runs(tmp_path: Path) -> None:
    made = report.report_on_experiment(database(tmp_path / "r.db"), "try")
    assert len(made.verdicts) == 1 and "pool serves less worth than module" in made.verdicts[0]
    assert "95% interval -0.1" in made.verdicts[0] and "6 pairs" in made.verdicts[0]
    assert len(made.voids) == 1 and "the sender was late: <1 s>" in made.voids[0]
    assert "&lt;1 s&gt;" in made.page()
    row = made.tables()["comparison"][0]
    assert row["differs"] == "yes" and row["low"] < row["difference"] < row["high"] < 0


def test_draws_worth_by_load_only_with_several_loads(tmp_path: Path) -> None:
    results = database(tmp_path / "r.db")
    assert "Worth by load" not in report.report_on_experiment(results, "try").page()
    more = PlayedRun("module", Cell("none", 1, 0.9, 1), {"worth": 0.7, "rules_broken": 0})
    results.add("try", "code", ResultEntry("more", more, recording(0.7).to_bytes()))
    assert "Worth by load" in report.report_on_experiment(results, "try").page()


def run(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "spindlerelay", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=100)


def test_command_writes_consistent_page_csv_and_json(tmp_path: Path) -> None:
    database(tmp_path / "r.db").close()
    page, folder, told = (str(tmp_path / name) for name in ("r.html", "csv", "r.json"))
    done = run("report", str(tmp_path / "r.db"), "--out", page, "--csv", folder, "--json", told)
    assert done.returncode == 0 and "pool serves less worth" in done.stdout, done.stderr
    with (Path(folder) / "by_class.csv").open() as source:
        rows = list(csv.DictReader(source))
    tables = json.loads(Path(told).read_text())
    assert [row["asked"] for row in rows] == [str(row["asked"]) for row in tables["by_class"]]
    assert "<svg" in Path(page).read_text()


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("report", "nowhere.db"), "nowhere.db: No such file"),
        (("report", "README.md"), "README.md: neither a recording"),
        (("load",), "one of --target, --emulator and --echo"),
        (("load", "--echo", "1"), "--rate: a number of requests a second"),
        (("load", "--echo", "1", "--rate", "5", "--stall", "2s"), "--stall 2s: expected a length and a time"),
        (("load", "--target", "node:1", "--rate", "5"), "--target node:1: expected an IPv4 address"),
        (("load", "--emulator", "2", "--trouble", "crash:9@1s"), "crash:9@1s: node: 9 stands there"),
        (("load", "--emulator", "2", "--trouble", "crash"), "--trouble crash: expected KIND:NODE@BEGIN"),
        (("load", "--emulator", "2", "--policy", "tub"), "--policy tub: expected one of module"),
        (("load", "--echo", "1", "--rate", "5", "--habits", "x"), "'x' is not a balancer profile"),
        (("load", "--echo", "1", "--replay", "nowhere"), "nowhere: No such file"),
        (("load", "--echo", "1", "--rate", "1e9"), "a lower rate or a shorter run"),
        (("experiment", "nowhere.toml"), "nowhere.toml: No such file"),
        (("trace", "show", "README.md"), "README.md:1: not JSON"),
        (("trace", "import", "README.md", "--out", "x"), "README.md: unknown file name suffix"),
    ],
)
def test_bad_input_exits_with_one_line_and_status_2(words: tuple[str, ...], told: str) -> None:
    done = run(*words)
    assert done.returncode == 2 and told in done.stderr and "Traceback" not in done.stderr, done.stderr
    assert len(done.stderr.strip().splitlines()) == 1


def test_command_sends_captures_and_replays(tmp_path: Path) -> None:
    trace, first, second = (tmp_path / name for name in ("t.jsonl", "a.json", "b.json"))
    base = ("load", "--echo", "1", "--late-bound", "1000")
    done = run(*base, "--rate", "200", "--seconds", "1", "--capture", str(trace), "--json", str(first))
    assert done.returncode == 0, done.stdout + done.stderr
    assert run("trace", "show", str(trace)).returncode == 0
    done = run(*base, "--replay", str(trace), "--speed", "2", "--json", str(second))
    one, two = (json.loads(path.read_text()) for path in (first, second))
    assert one["sent"] == two["sent"] == one["all_in_aim"] > 150
    trace.write_bytes(trace.read_bytes()[:-30])
    cut = run("trace", "show", str(trace))
    assert cut.returncode == 1 and "cut off after" in cut.stdout


# Capacity analysis


def at(load: float, worth: float = 1.0, **parts: float) -> capacity_analysis.Utilization:
    return capacity_analysis.Utilization(load, 4, worth, {"generator": 0.1, "store": 0.2, **parts})


def test_names_part_that_saturates_at_lowest_load() -> None:
    runs = [at(1.2, store=1.4, cores=1.1), at(0.6, cores=0.6), at(0.9, 0.97, cores=1.0)]
    assert capacity_analysis.first_saturated(runs) == ("cores", 0.9)
    assert capacity_analysis.nearest_to_bound(runs) == ("store", 1.4)
    assert capacity_analysis.first_saturated([at(0.6), at(0.9)]) is None
    assert capacity_analysis.noticeable_load([at(0.6), at(0.9, 0.97), at(1.2, 0.8)]) == 1.2
    assert capacity_analysis.noticeable_load([at(0.6)]) is None


def test_utilization_of_each_part_is_relative_to_its_bound() -> None:
    told = recording(late_p99_ms=150.0).details
    found = capacity_analysis.utilization_of(told, 0.9, 100.0)
    assert found.parts["generator"] == 1.5 and found.parts["cores"] > 0.9 and found.parts["store"] < 0.6
    assert found.parts["links"] == pytest.approx(3 / 480) and found.load == 0.7
