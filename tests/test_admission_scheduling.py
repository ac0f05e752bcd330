"""When requests run, expire and end, by scripted streams."""

from __future__ import annotations

import pytest

from spindlerelay import api
from tests.driver import PLAIN, UNSAFE, Driver, of, settings

NEAR = PLAIN._replace(latency_objective_ms=1400.0)  # the tick is 50 ms and the window 5 s


def test_runs_requests_of_a_class_in_order_of_arrival() -> None:
    driver = Driver(settings(PLAIN, cores=1))
    driver.send(*(api.RequestReceived(i, 0) for i in range(1, 4)))
    driver.now += 1
    assert of(api.Run, driver.send(api.RunCompleted(1, api.Outcome.OK)))[0].id == 2
    driver.now += 1
    assert of(api.Run, driver.send(api.RunCompleted(2, api.Outcome.OK)))[0].id == 3


def test_runs_the_class_with_the_smaller_priority_value_first() -> None:
    slow, quick = PLAIN, PLAIN._replace(latency_objective_ms=300.0)
    driver = Driver(settings(slow, quick, cores=1))
    driver.send(api.RequestReceived(1, 0))
    driver.send(api.RequestReceived(2, 0))
    driver.send(api.RequestReceived(3, 1))
    assert of(api.Run, driver.send(api.RunCompleted(1, api.Outcome.OK)))[0].id == 3


def test_limit_starts_at_the_cores_grows_while_they_idle_and_is_cut_by_a_late_completion() -> None:
    driver = Driver(settings(NEAR))
    assert len(of(api.Run, driver.send(*(api.RequestReceived(i, 0) for i in range(8))))) == 2
    driver.gauges = (0.5, 0.0, 0.1, 0.0)
    assert len(of(api.Run, driver.to(120.0))) == 2
    grown = driver.controller.concurrency.value
    driver.gauges = (1.0, 3.0, 0.1, 0.0)
    driver.to(1390.0)
    assert driver.controller.concurrency.value == grown
    driver.to(1500.0)
    driver.send(api.RunCompleted(0, api.Outcome.OK))
    assert driver.controller.concurrency.value == max(2.0, grown * 0.8)


def test_late_head_is_refused_unrun() -> None:
    driver = Driver(settings(PLAIN, cores=1))
    driver.send(api.RequestReceived(1, 0))
    driver.to(900.0)
    driver.send(api.RunCompleted(1, api.Outcome.OK))
    driver.send(api.RequestReceived(2, 0))
    driver.to(960.0)
    driver.send(api.RequestReceived(3, 0, read_delay_ms=1800.0))
    driver.to(1000.0)
    assert [r.id for r in driver.all(api.Reject)] == [3]


def test_every_request_has_an_answer_before_it_is_due_even_while_running() -> None:
    driver = Driver(settings(UNSAFE))
    driver.send(*(api.RequestReceived(i, 0) for i in range(5)))
    driver.to(6000.0)
    answered = {a.id for a in driver.all(api.Fail)} | {a.id for a in driver.all(api.Reject)}
    assert answered == set(range(5))
    ran = {a.id for a in driver.all(api.Run)}
    assert not ran & {a.id for a in driver.all(api.Reject)}
    assert not driver.all(api.CancelRun)


def test_idempotent_run_past_its_useful_time_is_failed_and_cancelled() -> None:
    driver = Driver(settings(PLAIN))
    driver.send(api.RequestReceived(1, 0))
    driver.to(2000.0)
    assert driver.all(api.Fail) == [api.Fail(1)]
    assert api.CancelRun(1) in driver.all(api.CancelRun)


def test_starts_no_run_that_exceeds_the_memory() -> None:
    driver = Driver(settings(PLAIN, memory_kb=100.0, run_memory_factor=8.0))
    driver.send(*(api.RequestReceived(i, 0, queued_memory_kb=7.0) for i in range(4)))
    assert len(driver.all(api.Run)) == 1


def test_open_runs_stay_below_the_ceiling_of_a_server_that_warms_up() -> None:
    driver = Driver(
        settings(
            PLAIN, cold_start=True, cold_speed_fraction=0.2, warm_up_ms=10_000.0, max_concurrency_per_core=5.0
        )
    )
    driver.gauges = (0.2, 0.0, 0.1, 0.0)
    driver.send(*(api.RequestReceived(i, 0) for i in range(60)))
    driver.to(1500.0)
    survived = (1 + 4 * (0.2 + 0.8 * 0.15)) * 2
    assert 2 <= len(driver.all(api.Run)) < survived


def test_drain_fails_health_and_rejects_what_arrives_after_the_grace() -> None:
    driver = Driver(settings(PLAIN, UNSAFE))
    driver.send(api.RequestReceived(1, 1))
    driver.send(api.DrainStarted(4000.0))
    assert api.SetHealth(False, True) in driver.all(api.SetHealth)
    driver.to(2500.0)
    driver.send(api.RequestReceived(2, 0))
    assert [a.id for a in driver.all(api.Reject)] == [2]
    driver.to(4000.0)
    assert driver.all(api.Fail) == [api.Fail(1)]


def test_the_grace_of_a_drain_counts_from_the_notice() -> None:
    driver = Driver(settings(PLAIN))
    driver.to(1500.0)
    driver.send(api.DrainStarted(2500.0, elapsed_ms=1500.0))
    driver.to(2100.0)
    driver.send(api.RequestReceived(1, 0), api.RequestReceived(2, 0, read_delay_ms=200.0))
    assert [action.id for action in driver.all(api.Reject)] == [1]


@pytest.mark.parametrize("scale", [1.0, 0.25])
def test_timer_scales_with_the_shortest_latency_objective(scale: float) -> None:
    driver = Driver(settings(PLAIN._replace(latency_objective_ms=1400.0 * scale)))
    assert of(api.SetTimer, driver.send(api.RequestReceived(1, 0)))[0].delay_ms == 50.0 * scale


def test_events_for_requests_that_are_over_have_no_effect() -> None:
    driver = Driver(settings(PLAIN))
    driver.send(api.RequestReceived(1, 0))
    driver.send(api.RunCompleted(1, api.Outcome.OK))
    late: list[api.Event] = [
        api.RunCompleted(1, api.Outcome.NEVER_STARTED),
        api.CallerDisconnected(1),
        api.DependencyCallRequested(1),
    ]
    late.append(api.DependencyCallCompleted(1, api.Outcome.OK))
    assert not [a for a in driver.send(*late) if not isinstance(a, api.SetTimer)]


def test_idle_server_sets_few_timers() -> None:
    driver = Driver(settings(NEAR))
    driver.send()
    driver.to(10_000.0)
    assert len(driver.all(api.SetTimer)) <= 51
    driver.send(api.RequestReceived(1, 0))
    driver.to(10_500.0)
    assert len(driver.all(api.SetTimer)) >= 59  # while there is work it looks each tick


def test_starts_fewer_runs_while_requests_lie_unread() -> None:
    config = settings(PLAIN, cores=4)
    fresh, stale = Driver(config), Driver(config)
    fresh.send(*(api.RequestReceived(i, 0) for i in range(1, 9)))
    stale.send(*(api.RequestReceived(i, 0, read_delay_ms=1800.0) for i in range(1, 9)))
    assert len(fresh.all(api.Run)) == 4
    assert len(stale.all(api.Run)) == 2


def test_open_runs_stay_below_the_ceiling_even_if_all_return_from_calls_at_once() -> None:
    config = settings(
        PLAIN._replace(calls_dependency=True),
        cores=2,
        dependency_topology=api.DependencyTopology.TIER,
        max_concurrency_per_core=4.0,
    )
    driver = Driver(config)
    for i in range(1, 13):
        driver.now += 1.0
        if of(api.Run, driver.send(api.RequestReceived(i, 0))):
            driver.send(api.DependencyCallRequested(i))
    assert 4 <= len(driver.all(api.CallDependency)) <= 8


def test_hopeless_requests_are_answered_in_the_step_that_decides_it() -> None:
    """Hopeless heads, failed calls and leaders past all use are told in the step that decides it."""
    below = {
        "dependency_topology": api.DependencyTopology.SHARED,
        "dependency_call_budget": 9.0,
        "cancellation": api.CancellationMode.NONE,
    }
    driver = Driver(settings(PLAIN._replace(calls_dependency=True), cores=1, **below))
    driver.send(api.RequestReceived(1, 0))
    driver.to(600.0)
    assert api.Run(2) in driver.send(api.RunCompleted(1, api.Outcome.OK), api.RequestReceived(2, 0))
    driver.send(api.DependencyCallRequested(2))
    assert api.Fail(2) in driver.send(api.DependencyCallCompleted(2, api.Outcome.ERROR))
    driver.send(api.RunCompleted(2, api.Outcome.CANCELLED))
    driver.send(api.RequestReceived(3, 0))
    refused = of(api.Reject, driver.send(api.RequestReceived(4, 0, read_delay_ms=1700.0)))
    assert [a.id for a in refused] == [4] and refused[0].retry_after_ms > 0
    driver.send(*(api.RequestReceived(i, 0) for i in range(5, 40)))
    left = driver.controller.requests.by_id.values()
    assert all(request.useful_until_ms - driver.now > 0 for request in left) and len(left) < 6
