"""The attempts of a request at its balancer: each profile, and that a request ends exactly once."""

from __future__ import annotations

import random

import pytest

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES, Balancer, BalancerProfile
from spindlerelay.testbed.models.retry_path import NextStep, Response, RetryPath, failure_reason

BUSY = Response("refused", retry_after_ms=300.0)
REFUSED = Response("refused")
NODES = ("a", "b", "c")


def retry_path(profile: BalancerProfile, keyed: bool = False, due: float = 5000.0) -> RetryPath:
    balancer = Balancer(profile, random.Random(1))
    balancer.update_nodes([Instance(name, ("127.0.0.1", 1), "passing", 100) for name in NODES])
    return RetryPath(balancer, due, 0.5, keyed)


def tried(step: NextStep) -> str:
    assert step.kind == "try" and step.node
    return step.node.id


def refused_all(path: RetryPath, now: float, response: Response = REFUSED) -> tuple[list[str], NextStep]:
    """Refuse each attempt; return the nodes tried, and the first step that is no attempt."""
    nodes = list[str]()
    follows = path.next_attempt(now)
    while follows.kind == "try" and len(nodes) < 50:
        nodes.append(tried(follows))
        follows = path.on_response(now, nodes[-1], response)
    return nodes, follows


def test_limited_profile_tries_distinct_nodes_and_ends() -> None:
    nodes, follows = refused_all(retry_path(BalancerProfile(max_attempts=2)), 0.0)
    assert len(set(nodes)) == 2 and (follows.kind, follows.outcome, follows.reason) == (
        "end",
        "refused",
        "busy",
    )


def test_unlimited_profile_retries_all_nodes_until_its_deadline() -> None:
    path = retry_path(BALANCER_PROFILES["storm"])
    nodes, follows = refused_all(path, 0.0)
    assert sorted(nodes) == list(NODES) and follows.kind == "pause" and follows.delay_ms > 0
    assert sorted(refused_all(path, 100.0)[0]) == list(NODES) and path.attempts == 6
    assert path.next_attempt(4900.0).outcome == "refused"  # too little is left for a try


def test_retry_after_is_honoured_only_by_profiles_that_honour_it() -> None:
    path = retry_path(BalancerProfile(max_attempts=9))
    refused_all(path, 0.0, BUSY)
    assert path.balancer.select_node(100.0, 0.5, set()) is None and path.balancer.select_node(
        400.0, 0.5, set()
    )
    deaf = retry_path(BalancerProfile(max_attempts=9, honours_backpressure=False))
    refused_all(deaf, 0.0, BUSY)
    assert deaf.balancer.select_node(100.0, 0.5, set())


def test_response_with_stop_ends_the_request() -> None:
    path = retry_path(BALANCER_PROFILES["storm"])
    follows = path.on_response(0.0, tried(path.next_attempt(0.0)), Response("refused", do_not_retry=True))
    assert (follows.kind, follows.reason) == ("end", "told to stop")


@pytest.mark.parametrize("kind", ["failed", "broken"])
def test_keyed_request_that_may_have_run_is_not_retried_elsewhere(kind: str) -> None:
    for keyed, expected in ((True, "end"), (False, "try")):
        path = retry_path(BalancerProfile(), keyed)
        assert path.on_response(0.0, tried(path.next_attempt(0.0)), Response(kind)).kind == expected


def test_hedged_request_is_sent_once_and_first_result_counts() -> None:
    path = retry_path(BALANCER_PROFILES["copies"])
    first = tried(path.next_attempt(0.0))
    assert path.next_attempt_delay_ms() == 700.0
    second = tried(path.next_attempt(700.0))
    assert second != first and path.next_attempt_delay_ms() == 0.0
    assert path.on_response(800.0, second, Response("refused")).kind == "wait"  # the first may still bring it
    assert path.on_response(900.0, first, Response("served")).outcome == "served"
    assert path.finished and sum(path.balancer.open_attempts.values()) == 0


def test_finished_request_ignores_later_responses() -> None:
    path = retry_path(BALANCER_PROFILES["copies"])
    first, second = tried(path.next_attempt(0.0)), tried(path.next_attempt(700.0))
    assert path.expire().outcome == "lost" and path.expire().kind == "wait"
    assert path.on_response(6000.0, first, Response("served")).kind == "wait"
    assert path.on_response(6000.0, second, Response("refused")).kind == "wait"
    assert path.next_attempt(6000.0).kind == "wait" and sum(path.balancer.open_attempts.values()) == 0


def test_keyed_request_is_not_hedged() -> None:
    for profile in (BALANCER_PROFILES["copies"], BALANCER_PROFILES["hasty"]):
        keyed, idempotent = retry_path(profile, keyed=True), retry_path(profile)
        keyed.next_attempt(0.0)
        idempotent.next_attempt(0.0)
        assert keyed.next_attempt_delay_ms() == 0.0 < idempotent.next_attempt_delay_ms()


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (Response("served"), ""),
        (BUSY, "told to wait"),
        (Response("refused"), "busy"),
        (Response("failed", reason="Late"), "failed late"),
        (Response("failed", reason="BadRequest: x"), "bad request"),
        (Response("failed", reason="Failed"), "failed"),
        (Response("broken"), "broken"),
    ],
    ids=["served", "retry_after", "busy", "late", "bad_request", "failed", "broken"],
)
def test_response_has_failure_reason(answer: Response, reason: str) -> None:
    assert failure_reason(answer) == reason
