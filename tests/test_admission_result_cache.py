"""Cached and coalesced requests, by scripted streams."""

from __future__ import annotations

import pytest

from spindlerelay import api
from spindlerelay.admission import request_state
from tests.driver import KEYED, PLAIN, Driver, of, settings


def test_keyed_request_is_cached_before_it_runs_and_a_repeat_is_answered_from_it() -> None:
    driver = Driver(settings(KEYED, memory_kb=1000.0, idempotency_entry_kb=10.0))
    first = driver.send(api.RequestReceived(1, 0), api.RequestReceived(2, 0, original_id=1))
    kinds = [type(a) for a in first]
    assert kinds.index(api.CacheResult) < kinds.index(api.Run)
    assert api.RespondFromCache(2) in first
    assert [a.id for a in of(api.Run, first)] == [1]
    driver.send(api.RunCompleted(1, api.Outcome.OK), api.RunCompleted(2, api.Outcome.OK))
    assert of(api.RespondFromCache, driver.send(api.RequestReceived(3, 0, original_id=1))) == [
        api.RespondFromCache(3)
    ]


def test_keyed_request_is_rejected_where_memory_is_short_for_its_entry() -> None:
    driver = Driver(settings(KEYED, memory_kb=15.0, idempotency_entry_kb=10.0))
    driver.send(api.RequestReceived(1, 0), api.RequestReceived(2, 0))
    assert [a.id for a in driver.all(api.Reject)] == [2]
    assert [a.id for a in driver.all(api.Run)] == [1]


READS = {"cache_ttl_ms": 1000.0, "memory_kb": 1000.0, "idempotency_entry_kb": 2.0}


def test_reads_of_one_resource_share_a_result_while_it_is_made_and_while_fresh() -> None:
    driver = Driver(settings(PLAIN, **READS))
    first = driver.send(api.RequestReceived(1, 0, resource_key=7))
    assert of(api.CacheResult, first)[0].id == 1
    driver.now += 100
    assert api.RespondFromCache(2) in driver.send(api.RequestReceived(2, 0, resource_key=7, original_id=1))
    driver.now += 100
    driver.send(api.RunCompleted(1, api.Outcome.OK), api.RunCompleted(2, api.Outcome.OK))
    driver.to(1000.0)
    assert api.RespondFromCache(3) in driver.send(api.RequestReceived(3, 0, resource_key=7, original_id=1))
    driver.to(1500.0)
    assert driver.all(api.EvictResult) == [api.EvictResult(1)]
    assert api.Run(4) in driver.send(api.RequestReceived(4, 0, resource_key=7))


def test_writes_and_reads_beyond_half_of_the_memory_run_uncached() -> None:
    driver = Driver(settings(PLAIN, **READS))
    assert [type(a) for a in driver.send(api.RequestReceived(1, 0, resource_key=7, is_write=True))][
        -1
    ] is api.Run
    assert not driver.all(api.CacheResult)
    driver.send(api.RequestReceived(2, 0, resource_key=8, queued_memory_kb=600.0))
    assert not driver.all(api.CacheResult) and api.Run(2) in driver.all(api.Run)


def test_read_with_unknown_original_runs_and_a_keyed_repeat_does_not() -> None:
    driver = Driver(settings(PLAIN, KEYED, **READS))
    assert api.Run(2) in driver.send(api.RequestReceived(2, 0, resource_key=7, original_id=1))
    assert not of(api.Run, driver.send(api.RequestReceived(3, 1, original_id=1)))


def test_original_stays_useful_as_long_as_its_repeats_but_not_past_its_due_time() -> None:
    driver = Driver(settings(PLAIN, **READS))
    driver.send(api.RequestReceived(1, 0, resource_key=7))
    driver.to(1500.0)
    driver.send(api.RequestReceived(2, 0, resource_key=7, original_id=1))
    driver.to(2500.0)
    assert not driver.all(api.Fail)
    driver.to(3500.0)
    assert {a.id for a in driver.all(api.Fail)} == {1, 2}


def test_original_with_repeats_is_shed_last() -> None:
    driver = Driver(settings(PLAIN, cores=1, **READS))
    driver.send(*(api.RequestReceived(i, 0, resource_key=i) for i in range(1, 4)))
    driver.send(
        api.RequestReceived(90, 0, resource_key=3, original_id=3),
        api.RequestReceived(91, 0, resource_key=3, original_id=3),
    )
    driver.to(400.0)
    driver.send(*(api.RequestReceived(i, 0, resource_key=i) for i in range(4, 30)))
    refused = {a.id for a in driver.all(api.Reject)}
    assert len(refused) > 10 and not refused & {3, 90, 91}


@pytest.mark.parametrize("read_delay_ms", [100.0, 600.0, 20_000.0])
def test_repeat_from_within_the_window_is_not_rejected_when_read_after_its_end(read_delay_ms: float) -> None:
    """The repeat was rejected though it had run, first at once, then if it was read 6 s after the end."""
    driver = Driver(settings(KEYED))
    assert api.Run(1) in driver.send(api.RequestReceived(1, 0))
    driver.send(api.RunCompleted(1, api.Outcome.OK))
    driver.to(KEYED.idempotency_window_ms - 100.0 + read_delay_ms)
    driver.to(max(driver.now, KEYED.idempotency_window_ms + 400.0))  # the entry has expired
    actions = driver.send(api.RequestReceived(2, 0, read_delay_ms=read_delay_ms, original_id=1))
    assert of(api.Fail, actions) == [api.Fail(2)]
    assert not of(api.Reject, actions) and not of(api.Run, actions)


def test_repeat_of_a_request_that_was_rejected_may_go_elsewhere() -> None:
    """Two attempts of one batch are linked before either has run."""
    driver = Driver(settings(KEYED, memory_kb=1.0, idempotency_entry_kb=20.0))
    actions = driver.send(api.RequestReceived(1, 0), api.RequestReceived(2, 0, original_id=1))
    assert [action.id for action in of(api.Reject, actions)] == [1, 2]


def test_entries_of_a_flood_under_new_keys_leave_memory_for_the_runs_of_others() -> None:
    """They filled the memory for the length of a window, in which nothing else could run."""
    driver = Driver(
        settings(KEYED, PLAIN, memory_kb=2000.0, idempotency_entry_kb=50.0, run_memory_factor=8.0)
    )
    for number in range(1, 201):
        for action in driver.send(api.RequestReceived(number, 0, queued_memory_kb=20.0)):
            if isinstance(action, api.Run):
                driver.send(api.RunCompleted(action.id, api.Outcome.OK))
        driver.to(driver.now + 10.0)
    assert 20 < len(driver.all(api.Run)) < 200
    actions = driver.send(api.RequestReceived(500, 1, queued_memory_kb=20.0))
    assert of(api.Run, actions) == [api.Run(500)]


def test_ids_of_rejected_requests_are_bounded_and_a_forgotten_one_counts_as_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_state, "MAX_ENDED_UNRUN", 10)
    driver = Driver(settings(KEYED, memory_kb=1.0, idempotency_entry_kb=20.0))
    driver.send(*(api.RequestReceived(number, 0) for number in range(1, 101)))
    assert len(driver.controller.requests._ended_unrun) == 10
    actions = driver.send(
        api.RequestReceived(101, 0, original_id=90), api.RequestReceived(102, 0, original_id=92)
    )
    assert of(api.Fail, actions) == [api.Fail(101)]
    assert [action.id for action in of(api.Reject, actions)] == [102]
