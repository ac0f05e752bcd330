"""The call budget, retries and skipped calls, by scripted streams."""

from __future__ import annotations

from typing import Any

import pytest

from spindlerelay import api
from tests.driver import KEYED, PLAIN, UNSAFE, Driver, of, settings


def test_call_is_retried_only_on_proof_that_it_had_no_effect() -> None:
    config = settings(UNSAFE._replace(calls_dependency=True), dependency_topology=api.DependencyTopology.TIER)
    driver = Driver(config)
    driver.send(api.RequestReceived(1, 0))
    assert len(of(api.CallDependency, driver.send(api.DependencyCallRequested(1)))) == 1
    driver.send(api.DependencyCallCompleted(1, api.Outcome.OVERLOADED))
    assert len(of(api.CallDependency, driver.to(400.0))) == 1
    driver.send(api.DependencyCallCompleted(1, api.Outcome.TIMEOUT))
    assert not of(api.CallDependency, driver.to(1500.0))
    assert driver.all(api.Fail) == [api.Fail(1)]


@pytest.mark.parametrize(
    ("spec", "retries"),
    [(PLAIN, 1), (KEYED, 0), (UNSAFE, 0)],
    ids=["idempotent", "keyed", "non-idempotent"],
)
def test_reset_call_is_retried_only_in_an_idempotent_class(spec: api.ClassSettings, retries: int) -> None:
    driver = Driver(
        settings(spec._replace(calls_dependency=True), dependency_topology=api.DependencyTopology.TIER)
    )
    driver.send(api.RequestReceived(1, 0))
    driver.send(api.DependencyCallRequested(1))
    driver.send(api.DependencyCallCompleted(1, api.Outcome.RESET))
    assert len(of(api.CallDependency, driver.to(400.0))) == retries
    assert len(driver.all(api.Fail)) == 1 - retries


SLOW_DEPENDENCY: dict[str, Any] = {
    "dependency_topology": api.DependencyTopology.SHARED,
    "dependency_call_budget": 5.0,
    "dependency_call_window_ms": 5000.0,
    "cores": 8,
}


def test_calls_with_most_at_stake_go_first_and_those_that_would_end_too_late_are_skipped() -> None:
    """Calls of a slow dependency that end too late would have no use."""
    thin = PLAIN._replace(calls_dependency=True, priority_weight=1.0, partial_response_weight=0.5)
    driver = Driver(settings(thin, KEYED._replace(calls_dependency=True), **SLOW_DEPENDENCY))
    driver.send(*(api.RequestReceived(i, int(i > 6)) for i in range(1, 9)))
    assert {
        a.id
        for a in of(api.CallDependency, driver.send(*(api.DependencyCallRequested(i) for i in range(1, 9))))
    } == {1, 7, 8}
    driver.now = 900.0
    driver.send(api.DependencyCallCompleted(7, api.Outcome.OK, 1500.0), api.RunCompleted(7, api.Outcome.OK))
    assert {2, 3, 4, 5, 6} == {
        a.id for a in driver.all(api.SkipDependencyCall)
    }  # 1100 ms are left, 2250 wanted
    assert driver.all(api.CallDependency)[-1].id in (1, 7, 8) and not driver.all(api.Fail)
    driver.send(*(api.RunCompleted(i, api.Outcome.OK) for i in range(1, 9)))
    driver.to(3900.0)
    assert of(
        api.CallDependency, driver.send(api.RequestReceived(9, 0), api.DependencyCallRequested(9))
    )  # the jam fades from memory


def test_partial_response_is_made_at_once_behind_a_long_queue_of_calls() -> None:
    """Runs that wait for calls would fill the ceiling of open runs while cores idle."""
    page = PLAIN._replace(calls_dependency=True, partial_response_weight=0.5)
    config = settings(
        page,
        cores=8,
        dependency_topology=api.DependencyTopology.SHARED,
        dependency_call_budget=2.0,
        dependency_call_window_ms=5000.0,
    )
    driver = Driver(config)
    driver.send(*(api.RequestReceived(i, 0) for i in range(1, 9)))
    driver.send(api.DependencyCallRequested(1))
    driver.to(400.0)
    driver.send(api.DependencyCallCompleted(1, api.Outcome.OK, 400.0))
    driver.send(*(api.DependencyCallRequested(i) for i in range(1, 9)))
    skipped = [skip.id for skip in driver.all(api.SkipDependencyCall)]
    assert skipped == [5, 6, 7, 8]  # one call in hand, and no more wait than can still be made


def test_calls_in_flight_stay_within_the_budget() -> None:
    shared = {
        "dependency_topology": api.DependencyTopology.SHARED,
        "dependency_call_budget": 5.0,
        "dependency_call_window_ms": 5000.0,
    }
    config = settings(PLAIN._replace(calls_dependency=True), cores=8, **shared)
    driver = Driver(config)
    driver.send(*(api.RequestReceived(i, 0) for i in range(8)))
    driver.send(*(api.DependencyCallRequested(i) for i in range(8)))
    assert 1 <= len(driver.all(api.CallDependency)) < 5


def test_budget_below_one_call_bounds_each_call_by_the_accumulated_time() -> None:
    """Else one long call at every server exceeds what the dependency survives."""
    shared = {
        "dependency_topology": api.DependencyTopology.SHARED,
        "dependency_call_budget": 0.4,
        "dependency_call_window_ms": 5000.0,
        "abandoned_call_ms": 200.0,
    }
    driver = Driver(settings(PLAIN._replace(calls_dependency=True), **shared))
    in_hand = 0.0
    for i in range(100):
        if of(api.Run, driver.send(api.RequestReceived(i, 0))):
            driver.send(api.DependencyCallRequested(i))
        for at, action in list(driver.log):
            if isinstance(action, api.CallDependency) and at + action.timeout_ms <= driver.now:
                driver.log.remove((at, action))
                in_hand += action.timeout_ms + 200.0
                driver.send(api.DependencyCallCompleted(action.id, api.Outcome.TIMEOUT))
                driver.send(api.RunCompleted(action.id, api.Outcome.CANCELLED))
        driver.to(driver.now + 50.0)
    assert 0.0 < in_hand <= 0.4 * 5000.0 + 50.0


@pytest.mark.parametrize(
    ("spec", "decision"),
    [
        (PLAIN._replace(partial_response_weight=0.5), api.SkipDependencyCall(1)),
        (KEYED._replace(partial_response_weight=0.5), api.SkipDependencyCall(1)),
        (PLAIN, api.Fail(1)),
        (KEYED, None),
        (UNSAFE, None),
    ],
    ids=["partial", "keyed-partial", "idempotent", "keyed", "non-idempotent"],
)
def test_run_whose_response_may_be_lost_proceeds_without_it_or_keeps_its_time(
    spec: api.ClassSettings, decision: api.Action | None
) -> None:
    """It kept a place among the running ones until its deadline, though it used no core."""
    driver = Driver(settings(spec._replace(calls_dependency=True), cores=1))
    driver.send(api.RequestReceived(1, 0))
    driver.send(api.DependencyCallRequested(1))
    driver.send(api.DependencyCallCompleted(1, api.Outcome.OK))
    assert not of(api.Run, driver.send(api.RequestReceived(2, 0)))
    actions = driver.send(api.RunUnconfirmed(1, at_call=True))
    assert [each for each in actions if isinstance(each, api.SkipDependencyCall | api.Fail)] == (
        [decision] if decision else []
    )
    if decision is None:
        assert of(api.Run, actions) == [api.Run(2)]
        driver.send(api.DependencyCallRequested(1))  # the run has received the response after all
        assert driver.all(api.CallDependency)[-1].id == 1


def test_unconfirmed_response_of_an_answered_request_or_a_waiting_run_decides_nothing() -> None:
    driver = Driver(settings(PLAIN._replace(calls_dependency=True)))
    driver.send(api.RequestReceived(1, 0))
    driver.send(api.DependencyCallRequested(1))
    driver.send(api.RunUnconfirmed(1, at_call=True))  # the run waits for its next call
    driver.send(api.DependencyCallCompleted(1, api.Outcome.OK), api.CallerDisconnected(1))
    driver.send(api.RunUnconfirmed(1, at_call=True))
    assert not driver.all(api.Fail) and not driver.all(api.SkipDependencyCall)


@pytest.mark.parametrize(
    "spec", [KEYED, KEYED._replace(partial_response_weight=0.5)], ids=["whole", "partial"]
)
def test_run_whose_start_may_be_lost_keeps_its_time_and_no_place_among_the_running(
    spec: api.ClassSettings,
) -> None:
    driver = Driver(settings(spec, cores=1))
    driver.send(api.RequestReceived(1, 0))
    assert not of(api.Run, driver.send(api.RequestReceived(2, 0)))
    actions = driver.send(api.RunUnconfirmed(1, at_call=False))
    assert of(api.Run, actions) == [api.Run(2)]
    assert not driver.all(api.Fail) and not driver.all(api.SkipDependencyCall)
    driver.to(driver.now + spec.deadline_ms)
    assert api.Fail(1) in driver.all(api.Fail)
