"""The catalogue shows a node as critical before it sends a rejection for want of capacity."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from spindlerelay.consul.rejection_gate import MAX_HOLD_MS, RejectionGate
from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.drills import consul as drill
from spindlerelay.testbed.models.balancer import BalancerProfile
from spindlerelay.testbed.models.traffic import requests_at
from spindlerelay.testbed.simulation.virtual_network import VirtualNetwork
from spindlerelay.testbed.simulation.virtual_workspace import VirtualWorkspace
from spindlerelay.transport.event_loop import EventLoop

BURST_MS = 1500.0
BURST = 60  # requests: several times what one node may queue


def play(arrivals_ms: list[float], agent_fails: bool = False) -> Cluster:
    """Return a cluster of one node after these requests, in virtual time."""

    def tick(at_ms: float) -> None:
        if agent_fails and at_ms > BURST_MS - 100.0 and cluster.agent:
            cluster.catalogue.fault = "silent"

    spec = ClusterSpec(
        seed=3,
        nodes=fleet(1, 0.0),
        balancers=(BalancerProfile(),),
        requests=tuple(requests_at(3, arrivals_ms)),
        uses_catalogue=True,
        endpoint_source="catalogue",
    )
    cluster = Cluster(spec, tick, VirtualWorkspace(VirtualNetwork(3)))
    cluster.run()
    return cluster


def first_critical_ms(cluster: Cluster) -> float:
    """Return when the node's status became critical, its registration left aside."""
    statuses = [(at_ms, status) for at_ms, _, status in cluster.catalogue.history]
    return next(at_ms for at_ms, status in statuses[1:] if status == "critical")


@pytest.mark.parametrize("spread_ms", [0.0, 10.0, 40.0], ids=["one_instant", "10_ms", "40_ms"])
def test_burst_that_fills_the_queue_at_once_is_critical_before_its_first_rejection(spread_ms: float) -> None:
    """The burst filled the queue between two looks at the health, and the rejections left first."""
    cluster = play([BURST_MS + spread_ms * number / BURST for number in range(BURST)])
    life = cluster.hosts["n1"].incarnations[0]
    assert life.first_rejection_at and not cluster.checker.violations
    assert first_critical_ms(cluster) <= life.first_rejection_at


def test_silent_agent_delays_rejections_by_no_more_than_the_bound() -> None:
    cluster = play([BURST_MS] * BURST, agent_fails=True)
    life = cluster.hosts["n1"].incarnations[0]
    assert life.first_rejection_at and not cluster.checker.violations
    read_ms = 2000.0  # of all that came at one instant, at most
    assert life.first_rejection_at < cluster.started_at + BURST_MS + read_ms + MAX_HOLD_MS


@pytest.mark.parametrize("seed", [3, 9])
def test_every_node_of_the_drill_is_critical_before_its_first_rejection(seed: int) -> None:
    """A retry without time left is rejected by a node with an empty queue: its update left only after it."""
    cluster = drill.play(seed, drill.NODES, VirtualWorkspace(VirtualNetwork(seed)))
    figures = drill.figures_of(cluster, drill.NODES)
    assert figures["unhealthy_before_refusal"] == figures["refusing_lives"] > 0
    assert not cluster.checker.violations


@pytest.fixture
def sent() -> list[str]:
    return []


def sender(sent: list[str], text: str) -> Callable[[], None]:
    return lambda: sent.append(text)


def test_held_rejections_are_released_in_order(sent: list[str]) -> None:
    gate = RejectionGate(EventLoop(lambda: 0.0))
    assert gate.hold(sender(sent, "first"), 1000.0) and gate.hold(sender(sent, "second"), 1000.0)
    assert sent == []
    gate.release()
    assert sent == ["first", "second"]


def test_rejection_that_is_nearly_due_is_not_held(sent: list[str]) -> None:
    gate = RejectionGate(EventLoop(lambda: 0.0))
    assert not gate.hold(sender(sent, "late"), MAX_HOLD_MS)


def test_wait_in_vain_ends_and_holds_nothing_until_the_agent_answers(sent: list[str]) -> None:
    now_ms = 0.0
    loop = EventLoop(lambda: now_ms)
    gate = RejectionGate(loop)
    assert gate.hold(sender(sent, "held"), 1000.0)
    now_ms = MAX_HOLD_MS + 10.0
    for timer in loop.timers.pop_due(now_ms):
        timer.action()
    assert sent == ["held"] and not gate.hold(sender(sent, "next"), 1000.0)
    gate.confirmed()
    assert gate.hold(sender(sent, "again"), 1000.0)
