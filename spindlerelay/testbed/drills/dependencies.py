"""The drill of the dependencies: each fault in turn, and in pairs, at 90 to 110% load.

Every story is played twice on the same stream: by the product, and by nodes with one shared pool and plain
timeouts (``testbed.single_store_node``). Two dependencies stand below: the archive, which every order needs
and some previews ask, and the tariff service, which every preview and every proof asks first. Claims:

1. no request is lost, no keyed request runs twice, no order is answered in part;
2. no dependency has more calls in flight from a node than its budget, counted at the stand-in;
3. with the tariff service ten times slower, the classes that do not use it keep 0.98 of their worth without
   the fault, all worth together is 1.5 times the baseline's, and previews go on at half their worth;
4. full service is back within 2 s of a fault's end.

Worth is the sum of priority weights that responses earned, as a fraction of what the requests would earn in
their latency objectives, for the requests sent from the fault's begin to 2 s past its end: what a fault
leaves behind is a part of its damage. Figures with ``in_fault`` count the fault alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import combinations
from typing import Any, NamedTuple

from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.models.dependency_faults import FAULT_KINDS, DependencyFault
from spindlerelay.testbed.models.dependents import (
    ARCHIVE,
    CALL_BUDGET,
    PRICED_CLASSES,
    TARIFF,
    archive_and_tariff,
    classes_with_prices,
)
from spindlerelay.testbed.models.traffic import CLASSES, Phase
from spindlerelay.testbed.scenario import Scenario
from spindlerelay.testbed.tally import BIN_MS, Bin

CORES_EACH = 0.2  # two nodes and their surroundings
RUNS = 5  # one seed of a story varies by more than the claims leave room for
NODES = 2
WARM_UP_MS = 4000.0
FROM_MS = 2500.0  # of the fault
TO_MS = 8500.0
LENGTH_MS = 12_000.0  # of the stream
RECOVERY_MS = 2000.0  # past the fault's end, within which full service is to be back
LOADS = (0.9, 0.95, 1.0, 1.05, 1.1)  # by seed in turn, fractions of the capacity
SAMPLE_MS = 100.0
NO_FAULT = "none"
FULL_SERVICE_FRACTION = 0.9  # of the complete responses without a fault
RECOVERY_WINDOW_BINS = 4  # single bins hold a handful of requests
MAX_BROKEN_REPORTED = 3
MAX_BROKEN_CHARS = 400
MAX_ERROR_CHARS = 300
SLOW_TARIFF = f"{TARIFF} slow"
PRIORITY_WEIGHTS = {cls.name: cls.priority_weight for cls in CLASSES}
CLASSES_WITHOUT_TARIFF = ("order",)

FaultName = tuple[str, str]  # a dependency and a kind of fault


class Job(NamedTuple):
    """One run. ``faults`` is empty for the story without a fault; ``plain`` is the baseline."""

    seed: int
    nodes: int
    load: float
    faults: tuple[FaultName, ...]
    plain: bool
    priced: tuple[str, ...] = PRICED_CLASSES

    @property
    def story(self) -> str:
        """The name of the story, the same for the product and the baseline."""
        faults = " + ".join(f"{name} {kind}" for name, kind in self.faults) or NO_FAULT
        return faults if self.priced == PRICED_CLASSES else f"{faults} for {' '.join(self.priced)}s"


def plan(seed: int, runs: int, nodes: int, wide: bool) -> list[Job]:
    """Return every fault of the tariff service; ``wide`` adds those of the archive, and pairs of both."""
    faults: list[tuple[FaultName, ...]] = [(), *(((TARIFF, kind),) for kind in FAULT_KINDS)]
    if wide:
        faults += [((ARCHIVE, kind),) for kind in FAULT_KINDS]
        faults += [((TARIFF, one), (ARCHIVE, other)) for one, other in combinations(FAULT_KINDS, 2)]
    stories: list[tuple[tuple[FaultName, ...], tuple[str, ...]]] = [(each, PRICED_CLASSES) for each in faults]
    if wide:
        stories.append((((TARIFF, "slow"),), ("preview",)))
    return [
        Job(seed + number, nodes, LOADS[(seed + number - 1) % len(LOADS)], story, plain, priced)
        for number in range(runs)
        for story, priced in stories
        for plain in (False, True)
    ]


class InFlightSampler(Scenario):
    """Samples how many calls are in flight at each stand-in of a dependency."""

    def __init__(self) -> None:
        super().__init__()
        self.samples: list[dict[str, int]] = []

    def tick(self, at: float) -> None:
        """Take a sample if one is due; ``at`` is ms since the first request."""
        if at >= len(self.samples) * SAMPLE_MS:
            self.samples.append(
                {name: store.calls_in_flight.total() for name, store in self.cluster.stores.items()}
            )


def run(job: Job) -> dict[str, Any]:
    """Return the results of one run; ``failed`` says why there are none."""
    try:
        return _play(job)
    except RuntimeError as error:
        return {"job": job, "failed": str(error)[:MAX_ERROR_CHARS]}


def _play(job: Job) -> dict[str, Any]:
    sampler = InFlightSampler()
    cluster = sampler.play(
        ClusterSpec(
            seed=job.seed,
            nodes=fleet(job.nodes, WARM_UP_MS),
            phases=(Phase(LENGTH_MS, job.load, job.load),),
            dependencies=archive_and_tariff(job.nodes, job.priced),
            classes=classes_with_prices(job.priced),
            launcher=("spindlerelay.testbed.single_store_node",) if job.plain else ("spindlerelay",),
            dependency_faults=tuple(
                (name, DependencyFault(kind, FROM_MS, TO_MS)) for name, kind in job.faults
            ),
        )
    )
    return {"job": job, **_results(cluster), "hand": sampler.samples}


def _results(cluster: Cluster) -> dict[str, Any]:
    max_in_flight = [count for store in cluster.stores.values() for count in store.peak_calls.values()]
    bins = {
        name: [
            (each.requests, each.value, each.complete, each.objective_met) for each in _bins(cluster, name)
        ]
        for name in cluster.tally.rows_by_class
    }
    return {
        "bins": bins,
        "over_budget": sum(max(0, count - CALL_BUDGET) for count in max_in_flight),
        "partial": cluster.skipped_calls.total(),
        "partial_orders": cluster.skipped_calls["order"],
        "rules": dict(cluster.checker.counts),
        "late_ms": round(cluster.max_send_delay_ms, 1),
        "broken": [
            f"{each.rule} at {each.node}: {each.detail}"
            for each in cluster.checker.violations[:MAX_BROKEN_REPORTED]
        ],
    }


def _bins(cluster: Cluster, name: str) -> list[Bin]:
    return [
        cluster.tally.between(name, number * BIN_MS, (number + 1) * BIN_MS)
        for number in range(int(LENGTH_MS / BIN_MS))
    ]


# Figures of many runs


class _Totals(NamedTuple):
    """Sums over the requests of some classes that were sent in an interval."""

    requested_worth: float = 0.0
    worth: float = 0.0
    requested: float = 0.0
    complete: float = 0.0
    in_objective: float = 0.0


def _totals(
    runs: Iterable[dict[str, Any]], class_names: Sequence[str], start_ms: float, end_ms: float
) -> _Totals:
    sums = [0.0] * len(_Totals._fields)
    for result in runs:
        for name in class_names:
            bins = result["bins"][name][int(start_ms / BIN_MS) : int(end_ms / BIN_MS)]
            for requested, worth, complete, in_objective in bins:
                parts = (requested * PRIORITY_WEIGHTS[name], worth, requested, complete, in_objective)
                sums = [a + b for a, b in zip(sums, parts, strict=True)]
    return _Totals(*sums)


def worth_fraction(
    runs: list[dict[str, Any]],
    class_names: Sequence[str] = tuple(PRIORITY_WEIGHTS),
    recovery_ms: float = RECOVERY_MS,
) -> float:
    """Return earned over requested worth, of requests sent in the fault and for a while past its end."""
    totals = _totals(runs, class_names, FROM_MS, TO_MS + recovery_ms)
    return totals.worth / totals.requested_worth if totals.requested_worth else 0.0


def recovery_time_ms(
    runs: list[dict[str, Any]], faultless_runs: list[dict[str, Any]], class_names: Sequence[str]
) -> float:
    """Return the time from the fault's end until complete responses are about as many as without a fault."""
    window_ms = RECOVERY_WINDOW_BINS * BIN_MS
    last_start_ms = LENGTH_MS - window_ms
    start_ms = TO_MS
    while start_ms <= last_start_ms:
        totals = _totals(runs, class_names, start_ms, start_ms + window_ms)
        normal = _totals(faultless_runs, class_names, start_ms, start_ms + window_ms)
        if totals.requested and normal.requested:
            required = FULL_SERVICE_FRACTION * normal.complete / normal.requested
            if totals.complete / totals.requested >= required:
                return start_ms - TO_MS
        start_ms += BIN_MS
    return last_start_ms - TO_MS + BIN_MS


def merge(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures: of all stories, then of each by its name."""
    failed_runs = [each for each in runs if "failed" in each]
    runs = [each for each in runs if "failed" not in each]
    groups = _group_by_story(runs)
    ours = [each for each in runs if not each["job"].plain]
    stories = [story for story, plain in groups if not plain and story != NO_FAULT]
    worth = {story: worth_fraction(groups[story, False]) for story in stories}
    baseline = {story: worth_fraction(groups[story, True]) for story in stories}
    recovery_ms = {
        story: recovery_time_ms(groups[story, False], groups[NO_FAULT, False], _affected_classes(story))
        for story in stories
    }
    figures: dict[str, Any] = {
        "seeds": len({each["job"].seed for each in runs}),
        "runs": len(runs),
        "failed_runs": len(failed_runs),
        "stories": len(stories),
        "worth_kept": round(sum(worth.values()) / len(worth), 4),
        "worth_baseline": round(sum(baseline.values()) / len(baseline), 4),
        "orders_in_aim": _orders_in_objective(ours),
        "partial_answers": sum(each["partial"] for each in ours),
        "partial_orders": sum(each["partial_orders"] for each in ours),
        "over_budget": sum(each["over_budget"] for each in ours),
        "over_budget_baseline": sum(each["over_budget"] for each in runs if each["job"].plain),
        "recovery_ms": max(recovery_ms.values()),
    }
    figures |= _slow_tariff_figures(groups, worth[SLOW_TARIFF], baseline[SLOW_TARIFF])
    figures |= _rule_figures(ours)
    figures["late_sending_ms"] = max(each["late_ms"] for each in runs)
    figures["broken"] = "; ".join(text for each in ours for text in each["broken"])[:MAX_BROKEN_CHARS]
    for story in stories:
        key = story.replace(" + ", "_and_").replace(" ", "_")
        figures[f"{key}_worth"] = round(worth[story], 4)
        figures[f"{key}_baseline"] = round(baseline[story], 4)
        figures[f"{key}_recovery_ms"] = recovery_ms[story]
    return figures


def _group_by_story(runs: list[dict[str, Any]]) -> dict[tuple[str, bool], list[dict[str, Any]]]:
    """Return the runs by story and by whether they are the baseline's."""
    groups: dict[tuple[str, bool], list[dict[str, Any]]] = {}
    for each in runs:
        groups.setdefault((each["job"].story, each["job"].plain), []).append(each)
    return groups


def _rule_figures(ours: list[dict[str, Any]]) -> dict[str, int]:
    rules: Counter[str] = sum((Counter(each["rules"]) for each in ours), Counter())
    return {
        "lost": rules["lost"],
        "duplicates": rules["duplicate"],
        "drain_broken": rules["drain"],
        "fell_over": rules["fall_over"],
    }


def _orders_in_objective(ours: list[dict[str, Any]]) -> float:
    """Return the fraction of orders in their latency objective, with a fault of the tariff service alone."""
    runs = [each for each in ours if len(each["job"].faults) == 1 and each["job"].faults[0][0] == TARIFF]
    totals = _totals(runs, ("order",), FROM_MS, TO_MS + RECOVERY_MS)
    return round(totals.in_objective / max(1.0, totals.requested), 4)


def _ratio(value: float, base: float) -> float:
    return value / max(1e-9, base)


def _slow_tariff_figures(
    groups: dict[tuple[str, bool], list[dict[str, Any]]], worth: float, baseline: float
) -> dict[str, Any]:
    """Return what a slow tariff service does to the product and to the baseline."""
    slow = groups[SLOW_TARIFF, False]
    slow_baseline = groups[SLOW_TARIFF, True]
    normal = groups[NO_FAULT, False]
    normal_baseline = groups[NO_FAULT, True]
    unrelated = _ratio(
        worth_fraction(slow, CLASSES_WITHOUT_TARIFF), worth_fraction(normal, CLASSES_WITHOUT_TARIFF)
    )
    unrelated_baseline = _ratio(
        worth_fraction(slow_baseline, CLASSES_WITHOUT_TARIFF),
        worth_fraction(normal_baseline, CLASSES_WITHOUT_TARIFF),
    )
    in_fault = _ratio(worth_fraction(slow, recovery_ms=0.0), worth_fraction(slow_baseline, recovery_ms=0.0))
    return {
        "unrelated_worth": round(unrelated, 4),
        "unrelated_baseline": round(unrelated_baseline, 4),
        "slow_ratio": round(_ratio(worth, baseline), 3),
        "slow_ratio_in_fault": round(in_fault, 3),
        "slow_previews": round(worth_fraction(slow, ("preview",)), 4),
        "slow_previews_baseline": round(worth_fraction(slow_baseline, ("preview",)), 4),
        "none_worth": round(worth_fraction(normal), 4),
        "none_baseline": round(worth_fraction(normal_baseline), 4),
    }


def _affected_classes(story: str) -> tuple[str, ...]:
    """Return the classes whose complete responses a story can take away."""
    return ("preview", "order", "proof") if ARCHIVE in story else PRICED_CLASSES


def course(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the course of each story and policy over time, for plots: means over the seeds."""
    groups: dict[str, dict[str, list[dict[str, Any]]]] = {}
    for each in runs:
        if "failed" not in each:
            policy = "baseline" if each["job"].plain else "product"
            groups.setdefault(each["job"].story, {}).setdefault(policy, []).append(each)
    return {
        "bin_ms": BIN_MS,
        "sample_ms": SAMPLE_MS,
        "from_ms": FROM_MS,
        "to_ms": TO_MS,
        "stories": {
            story: {policy: _mean_course(group) for policy, group in policies.items()}
            for story, policies in groups.items()
        },
    }


def _mean_course(runs: list[dict[str, Any]]) -> dict[str, Any]:
    worth: list[float | None] = []
    for number in range(int(LENGTH_MS / BIN_MS)):
        totals = _totals(runs, tuple(PRIORITY_WEIGHTS), number * BIN_MS, (number + 1) * BIN_MS)
        worth.append(totals.worth / totals.requested_worth if totals.requested_worth else None)
    samples = min(len(each["hand"]) for each in runs)
    in_flight = {
        name: [sum(each["hand"][i][name] for each in runs) / len(runs) for i in range(samples)]
        for name in (ARCHIVE, TARIFF)
    }
    return {"worth": worth, "hand": in_flight}


ZERO_FIGURES = (
    "lost",
    "duplicates",
    "drain_broken",
    "fell_over",
    "partial_orders",
    "over_budget",
    "failed_runs",
)
MINIMUM = {"unrelated_worth": 0.98, "slow_ratio": 1.5, "slow_previews": 0.3}


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = [f"{key} is {figures[key]}, not 0" for key in ZERO_FIGURES if figures[key]]
    claims += [
        f"{key} is {figures[key]}, under {minimum}"
        for key, minimum in MINIMUM.items()
        if figures[key] < minimum
    ]
    if figures["recovery_ms"] > RECOVERY_MS:
        claims.append(f"recovery_ms is {figures['recovery_ms']:.0f}, over {RECOVERY_MS:.0f}")
    return claims
