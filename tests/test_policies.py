"""The baseline policies do what they are known for, and keep the rules."""

from __future__ import annotations

from typing import Any

import pytest

from spindlerelay import api
from spindlerelay.testbed.baseline_policies.fixed_queue import FixedQueuePolicy, LossyPolicy
from spindlerelay.testbed.baseline_policies.limits import CoDelLimit, FixedLimit, GradientLimit
from spindlerelay.testbed.load_generation import outcomes
from spindlerelay.testbed.scripted_run import Emulation, emulate
from tests.driver import KEYED, PLAIN, settings

CONFIG = settings(PLAIN, KEYED)


def plain(limit: FixedLimit | None = None) -> FixedQueuePolicy:
    return FixedQueuePolicy(CONFIG, limit or FixedLimit(1, 2000.0))  # two workers, eight places


def kinds(actions: list[api.Action], kind: type) -> list[int]:
    found: list[Any] = [action for action in actions if isinstance(action, kind)]
    return [action.id for action in found]


def requests(*ids: int, cls: int = 0, **more: float) -> list[api.Event]:
    return [api.RequestReceived(number, cls, remaining_ms=6000.0, **more) for number in ids]  # type: ignore[arg-type]


def test_pool_runs_its_workers_queues_some_and_rejects_the_rest() -> None:
    module = plain()
    actions = module.step(0.0, requests(*range(1, 13)))
    assert kinds(actions, api.Run) == [1, 2]
    assert kinds(actions, api.Reject) == [9, 10, 11, 12]
    assert kinds(module.step(10.0, [api.RunCompleted(1, api.Outcome.OK, 10.0)]), api.Run) == [3]


def test_queued_request_is_rejected_when_it_is_due() -> None:
    module = plain()
    module.step(0.0, requests(1, 2, 3))
    assert kinds(module.step(5995.0, []), api.Reject) == [3]


def test_keyed_request_is_cached_before_it_runs_and_its_repeat_is_answered_from_it() -> None:
    module = plain()
    actions = module.step(0.0, requests(1, cls=1))
    order = [type(action) for action in actions if isinstance(action, api.CacheResult | api.Run)]
    assert order == [api.CacheResult, api.Run]
    repeat = [api.RequestReceived(2, 1, remaining_ms=6000.0, original_id=1)]
    assert kinds(module.step(1.0, list(repeat)), api.RespondFromCache) == [2]
    module.step(2.0, [api.RunCompleted(1, api.Outcome.OK), api.RunCompleted(2, api.Outcome.OK)])
    again = [api.RequestReceived(3, 1, remaining_ms=6000.0, original_id=1)]
    assert kinds(module.step(3.0, list(again)), api.RespondFromCache) == [3]  # within its window
    late = [api.RequestReceived(4, 1, remaining_ms=6000.0, original_id=1)]
    assert kinds(module.step(20_000.0, [api.TimerFired(0)]), api.Run) == []
    assert kinds(module.step(20_100.0, list(late)), api.Reject) == [4]


def test_rejects_request_after_drain_grace() -> None:
    module = plain()
    assert api.SetHealth(False, True) in module.step(0.0, [api.DrainStarted(4000.0)])
    assert kinds(module.step(1000.0, requests(1)), api.Run) == [1]
    assert kinds(module.step(3000.0, requests(2)), api.Reject) == [2]


@pytest.mark.parametrize(
    "end",
    [api.DependencyCallCompleted(1, api.Outcome.ERROR), api.RunUnconfirmed(1, at_call=True)],
    ids=["failed", "unconfirmed"],
)
def test_call_gets_the_remaining_time_and_its_failure_fails_the_request(end: api.Event) -> None:
    module = plain()
    module.step(0.0, requests(1, cls=1))
    call = next(
        action
        for action in module.step(1000.0, [api.DependencyCallRequested(1)])
        if isinstance(action, api.CallDependency)
    )
    assert 4900.0 < call.timeout_ms < 5000.0
    assert kinds(module.step(1100.0, [end]), api.Fail) == [1]


def test_gradient_limit_falls_with_slow_runs_and_recovers() -> None:
    limit = GradientLimit(4, 2000.0)
    for _ in range(300):
        limit.run_ended(0.0, 100.0, limit.max_concurrency())
    normal = limit.max_concurrency()
    for _ in range(30):
        limit.run_ended(0.0, 900.0, limit.max_concurrency())
    slow = limit.max_concurrency()
    for _ in range(600):
        limit.run_ended(0.0, 100.0, limit.max_concurrency())
    assert (
        slow < 0.75 * normal
        and limit.max_concurrency() > 0.9 * normal
        and limit.max_concurrency() <= limit.max_limit
    )


def test_gradient_limit_is_unchanged_while_it_does_not_bind() -> None:
    limit = GradientLimit(4, 2000.0)
    initial = limit.current_limit
    for _ in range(100):
        limit.run_ended(0.0, 100.0, 1)
    assert limit.current_limit == initial


def test_codel_passes_short_waits_and_drops_ever_faster_from_a_standing_queue() -> None:
    limit = CoDelLimit(4, 1000.0)
    assert not any(limit.drops_head(at, 50.0, 9) for at in range(0, 5000, 10))
    dropped = [at for at in range(5000, 12_000, 10) if limit.drops_head(at, 400.0, 9)]
    assert 5990 <= dropped[0] <= 6010  # not before it stood for a whole interval
    gaps = [b - a for a, b in zip(dropped, dropped[1:], strict=False)]
    assert gaps == sorted(gaps, reverse=True) and gaps[-1] < gaps[0] / 2
    assert not limit.drops_head(12_000, 50.0, 9) and not limit.is_dropping


def test_codel_never_drops_the_last_request() -> None:
    limit = CoDelLimit(4, 1000.0)
    assert not any(limit.drops_head(at, 4000.0, 1) for at in range(0, 9000, 10))


def test_planted_loss_rejects_its_fraction_for_good_and_no_repeat() -> None:
    module = LossyPolicy(plain(FixedLimit(2000, 2000.0)), 0.05, 1)
    actions = module.step(0.0, requests(*range(1, 2001)))
    lost = [action for action in actions if isinstance(action, api.Reject)]
    assert 70 <= len(lost) <= 130 and all(action.do_not_retry for action in lost)
    assert len(lost) + len(kinds(actions, api.Run)) == 2000
    repeats: list[api.Event] = [
        api.RequestReceived(5000 + i, 1, remaining_ms=6000.0, original_id=1) for i in range(200)
    ]
    assert not any(
        action.do_not_retry for action in module.step(1.0, repeats) if isinstance(action, api.Reject)
    )


@pytest.mark.parametrize("policy", ["codel", "module+lossy0.5"])
def test_node_keeps_the_rules_under_a_policy(policy: str) -> None:
    found = emulate(Emulation(nodes=2, seconds=2.0, load=0.6, policy=policy))
    assert not found.details["rules"] and len(found.rows) == found.details["intended"] > 20
    assert ("told to stop" in outcomes.count_reasons(found.rows)) == ("lossy" in policy)


@pytest.mark.parametrize("event", [api.CallerDisconnected(1), api.RunCompleted(1, api.Outcome.OK)])
def test_request_that_is_over_leaves_no_state(event: api.Event) -> None:
    module = plain()
    module.step(0.0, requests(1))
    module.step(1.0, [event, api.RunCompleted(1, api.Outcome.OK)])
    assert not module.requests and module.running_count == 0
