"""Weighted round robin, for callers that know only the weights of a list."""

from __future__ import annotations

import random
from collections import Counter

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.routing.load_balancer import CallerPosition
from spindlerelay.routing.weighted_round_robin import WeightedRoundRobin
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES, Balancer

NAMES = [f"n{number}" for number in range(12)]


def rotation_with(
    weights: dict[str, float], seed: int = 1, place: CallerPosition | None = None
) -> WeightedRoundRobin:
    rotation = WeightedRoundRobin(random.Random(seed), place)
    rotation.update_endpoints(weights)
    return rotation


def test_every_window_of_attempts_follows_the_weights() -> None:
    weights = {name: 2.0 if number < 4 else 1.0 for number, name in enumerate(NAMES)}
    rotation = rotation_with(weights)
    picked = [rotation.choose() for _ in range(1600)]
    for start in range(0, 1584, 7):
        counts = Counter(picked[start : start + 16])
        assert all(abs(counts[name] - weight) <= 1.0 for name, weight in weights.items())
    assert Counter(picked)["n0"] in (199, 200, 201) and Counter(picked)["n11"] in (99, 100, 101)


def test_callers_that_start_together_start_with_different_endpoints() -> None:
    first = Counter(rotation_with(dict.fromkeys(NAMES, 1.0), seed).choose() for seed in range(600))
    assert len(first) == 12 and max(first.values()) < 90


def test_excluded_endpoint_does_not_make_up_for_missed_turns() -> None:
    rotation = rotation_with(dict.fromkeys(NAMES, 1.0))
    without = [rotation.choose(excluded={"n3"}) for _ in range(240)]
    assert "n3" not in without
    assert [rotation.choose() for _ in range(24)].count("n3") <= 3


def test_changing_one_weight_leaves_the_turns_of_others_even() -> None:
    rotation, weights = rotation_with(dict.fromkeys(NAMES, 1.0)), dict.fromkeys(NAMES, 1.0)
    for _ in range(30):
        rotation.choose()
    counts = Counter[str | None]()
    for step in range(600):  # a new list for each attempt, with an alternating weight
        rotation.update_endpoints(weights | {"n5": 1.0 if step % 2 else 1.08})
        counts[rotation.choose()] += 1
    assert all(45 <= counts[name] <= 57 for name in NAMES)


def test_zero_weight_gets_nothing_unless_all_are_zero() -> None:
    rotation = rotation_with({"a": 1.0, "b": 0.0, "c": 1.0})
    assert Counter(rotation.choose() for _ in range(100)) == {"a": 50, "c": 50}
    assert rotation.choose(tried={"a", "c"}) == "b" and rotation.choose(tried={"a", "b", "c"}) is None
    rotation.update_endpoints({"a": 0.0, "b": 0.0})
    assert set(Counter(rotation.choose() for _ in range(100))) == {"a", "b"}
    rotation.update_endpoints({})
    assert rotation.choose() is None


def test_subsets_together_follow_the_weights_and_others_are_tried_past_them() -> None:
    weights = {name: 2.0 if number < 4 else 1.0 for number, name in enumerate(NAMES)}
    callers = [rotation_with(weights, number, CallerPosition(number, 8, 3)) for number in range(8)]
    assert all(len(caller.subset) <= 5 for caller in callers)
    counts = Counter(caller.choose() for _ in range(400) for caller in callers)
    assert all(abs(counts[name] - 200.0 * weight) < 16.0 for name, weight in weights.items())
    subset = callers[0].subset
    assert callers[0].choose(excluded=subset.keys()) not in subset


def test_balancer_model_by_turns_respects_retry_after() -> None:
    balancer = Balancer(BALANCER_PROFILES["turns"], random.Random(1), CallerPosition(0, 1))
    balancer.update_nodes([Instance(name, ("127.0.0.1", 1), "passing", 100) for name in "abc"])
    balancer.record_load_report(0.0, "b", None, 500.0)
    early = Counter(found.id for _ in range(30) if (found := balancer.select_node(100.0, 0.5, set())))
    assert early == {"a": 15, "c": 15}
    late = Counter(found.id for _ in range(30) if (found := balancer.select_node(600.0, 0.5, {"a"})))
    assert late["b"] > 10 and not late["a"]
