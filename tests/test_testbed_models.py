"""The testbed's models, and its checker: each rule, violated on purpose, is reported."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable

import msgpack
import pytest

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.testbed.checker import RuleChecker
from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import Balancer, BalancerProfile
from spindlerelay.testbed.models.discovery_list import DelayedDiscoveryList
from spindlerelay.testbed.models.machine import (
    Machine,
    MachineCrashed,
    MachineEvent,
    MachineSpec,
    RequestParsed,
    RunEnded,
    RunPlan,
    RunWaiting,
)
from spindlerelay.testbed.models.retry_path import Response
from spindlerelay.testbed.models.store import SharedStore, StoreSpec
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.testbed.servers.balancer_connections import BalancerConnections
from spindlerelay.testbed.tally import OutcomeTally
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener

NOW = 1_700_000_000_000.0  # Unix ms: the models must not lose their steps in its few spare digits
SPEC = MachineSpec(
    cores=2,
    speed=1.0,
    warm_up_ms=1000.0,
    cold_speed_fraction=0.5,
    contention_threshold=2.0,
    contention_penalty=1.0,
)


def warm(**more: float) -> Machine:
    return Machine(SPEC._replace(**more), NOW, cold=False)  # type: ignore[arg-type]


def played(machine: Machine, ms: float) -> list[tuple[float, MachineEvent]]:
    """Events by the time of a step each 5 ms, as the cluster takes them."""
    events = list[tuple[float, MachineEvent]]()
    at = 0.0
    while at < ms:
        at += 5.0
        events += [(at, event) for event in machine.advance(NOW + at)]
    return events


def test_machine_divides_cores_among_runs_up_to_one_core_each() -> None:
    machine = warm()
    machine.start_run(NOW, "a", RunPlan((100.0,)))
    assert [at for at, _ in played(machine, 300)] == [100.0]
    machine = warm()
    for rid in "abcd":  # four runs on two cores: each at half speed
        machine.start_run(NOW, rid, RunPlan((100.0,)))
    assert [at for at, _ in played(machine, 300)] == [200.0] * 4


def test_machine_loses_throughput_past_contention_threshold() -> None:
    machine = warm()
    for rid in "abcdefgh":  # eight on two cores: a knee of four, so twice the crowd and half the yield
        machine.start_run(NOW, rid, RunPlan((100.0,)))
    assert [at for at, _ in played(machine, 1200)] == [800.0] * 8


def test_cold_machine_warms_up_linearly() -> None:
    machine = Machine(SPEC, NOW)
    assert (
        machine.speed_fraction(NOW),
        machine.speed_fraction(NOW + 500),
        machine.speed_fraction(NOW + 9000),
    ) == (0.5, 0.75, 1.0)
    machine.start_run(NOW, "a", RunPlan((100.0,)))
    assert 170.0 < played(machine, 400)[0][0] < 200.0


def test_machine_parses_one_request_per_core_and_runs_wait_for_calls() -> None:
    machine = warm()
    for rid in "abc":
        machine.receive_request(NOW, rid, 50.0)
    machine.start_run(NOW, "r", RunPlan((30.0, 30.0)))
    events = played(machine, 400)
    reads = [at for at, event in events if isinstance(event, RequestParsed)]
    assert len(reads) == 3 and reads[2] > reads[1] >= reads[0]
    assert [event for _, event in events if isinstance(event, RunWaiting)] == [RunWaiting("r", 1)]
    assert not [event for _, event in events if isinstance(event, RunEnded)]
    machine.resume_run(NOW + 400, "r")
    machine.now = NOW + 400
    assert isinstance(machine.advance(NOW + 500)[0], RunEnded)


def test_machine_cancels_run_only_while_it_waits_for_a_call() -> None:
    """Such runs used to wait for ever, and the node's mean of run times never recovered."""
    machine = warm()
    machine.start_run(NOW, "r", RunPlan((30.0, 30.0)))
    assert machine.cancel_waiting_run(NOW, "r") is None
    played(machine, 100)
    assert machine.cancel_waiting_run(NOW + 100, "r") == 100.0 and machine.active_tasks() == 0


@pytest.mark.parametrize(
    ("runs", "kb", "crashes"),
    [(10, 1.0, False), (40, 1.0, True), (2, 5000.0, True), (2, 100.0, False)],
    ids=["few_runs", "overload", "memory_exceeded", "memory_sufficient"],
)
def test_machine_crashes_under_concurrency_or_memory_overload(runs: int, kb: float, crashes: bool) -> None:
    machine = warm(memory_kb=50_000.0)
    for number in range(runs):
        machine.start_run(NOW, f"r{number}", RunPlan((1e6,), kb))
    assert any(isinstance(event, MachineCrashed) for _, event in played(machine, 6000)) is crashes


def test_store_slows_under_contention_and_crashes_under_lasting_overload() -> None:
    store = SharedStore(
        StoreSpec(slots=2, call_ms=50.0, contention_penalty=0.5, overload_window_ms=500.0), NOW
    )
    store.start_call(NOW, "a", 50.0)
    assert store.advance(NOW + 49) == [] and store.advance(NOW + 51) == ["a"]
    for number in range(4):  # twice its slots: half the rate, and half of that again lost
        store.start_call(NOW + 100, f"c{number}", 50.0)
    assert store.advance(NOW + 245) == [] and len(store.advance(NOW + 255)) == 4
    for number in range(40):
        store.start_call(NOW + 300, f"d{number}", 1e6)
    store.advance(NOW + 900)
    assert store.crashes == 1 and not store.is_up(NOW + 900) and store.is_up(NOW + 6000)


def test_discovery_list_is_delayed_and_entries_expire() -> None:
    roster = DelayedDiscoveryList(propagation_delay_ms=1500.0)
    roster.receive_report(NOW, b"announce n1 true")
    roster.receive_report(NOW, b"noise \xff")
    assert roster.visible_nodes(NOW + 1000) == frozenset() and roster.visible_nodes(NOW + 1500) == {"n1"}
    roster.tick(NOW + 3100)
    assert roster.visible_nodes(NOW + 4000) == {"n1"} and roster.visible_nodes(NOW + 4700) == frozenset()


def test_requests_are_reproducible_and_their_rate_follows_the_phases() -> None:
    phases = (traffic.Phase(20_000.0, 0.5, 0.5), traffic.Phase(20_000.0, 1.0, 1.0))
    first, again = (traffic.draw_requests(3, phases, 50.0) for _ in range(2))
    assert first == again and first != traffic.draw_requests(4, phases, 50.0)
    halves = [
        sum(order.arrival_ms < 20_000 for order in first),
        sum(order.arrival_ms >= 20_000 for order in first),
    ]
    assert 1.7 < halves[1] / halves[0] < 2.3 and 450 < halves[0] < 550
    assert all(len(order.idempotency_key) == 32 * order.cls.has_idempotency_key for order in first)
    assert all(len(order.plan.work_parts_ms) == len(order.call_work) + 1 for order in first)


def nodes(*names: str) -> list[Instance]:
    return [Instance(name, ("127.0.0.1", 1), "passing", 100) for name in names]


def test_balancer_honours_backpressure_only_if_its_profile_says_so() -> None:
    honouring, ignoring = (
        Balancer(BalancerProfile("round", honours_backpressure=heeds), random.Random(1))
        for heeds in (True, False)
    )
    for balancer in (honouring, ignoring):
        balancer.update_nodes(nodes("a", "b"))
        balancer.record_load_report(0.0, "a", None, 1000.0)
        balancer.record_load_report(0.0, "b", 0.5, 0.0)
    assert {honouring.select_node(1.0, 0.9, set()), honouring.select_node(2.0, 0.9, set())} == {
        honouring.nodes["b"]
    }
    assert honouring.select_node(1.0, 0.4, set()) is None  # too low a rank for b, too early for a
    assert honouring.select_node(1000.0, 0.4, set()) == honouring.nodes["a"]
    assert {ignoring.select_node(1.0, 0.4, set()), ignoring.select_node(1.0, 0.4, set())} == set(
        ignoring.nodes.values()
    )
    assert ignoring.select_node(1.0, 0.4, {"a", "b"}) is None
    least = Balancer(BalancerProfile("least"), random.Random(1))
    least.update_nodes(nodes("a", "b"))
    least.open_attempts = {"a": 3, "b": 1}
    assert least.select_node(0.0, 0.5, set()) == least.nodes["b"]


# The checker: a scenario of what passed on the sockets, and the rule that it violates

KEY = "k" * 32


def written(checker: RuleChecker, call: str = "c1", key: str = "", recv: float = NOW) -> None:
    checker.request_written(call, "n1", "order", key, b"body", recv, recv + 1000)


def served(checker: RuleChecker, call: str = "c1") -> None:
    checker.run_started(call, "n1", "order", b"body")
    checker.run_ended(call, "n1", b"page " + call.encode())
    checker.response_received(NOW + 100, call, "served", b"page " + call.encode())


def duplicate(at: float, kind: str) -> Callable[[RuleChecker], None]:
    """A keyed request that ran, and a duplicate that came later."""

    def scenario(checker: RuleChecker) -> None:
        written(checker, "c1", KEY)
        served(checker)
        written(checker, "c2", KEY, NOW + at)
        if kind == "run":
            checker.run_started("c2", "n1", "order", b"body")
        else:
            checker.response_received(NOW + at + 10, "c2", kind, b"page c1")

    return scenario


def drained(recv: float) -> Callable[[RuleChecker], None]:
    def scenario(checker: RuleChecker) -> None:
        checker.drain_started(NOW, "n1")
        written(checker, recv=NOW + recv)
        checker.run_started("c1", "n1", "order", b"body")

    return scenario


def restarted(checker: RuleChecker) -> None:
    written(checker, "c1", KEY)
    checker.run_started("c1", "n1", "order", b"body")
    checker.node_killed("n1")
    written(checker, "c2", KEY, NOW + 3000)
    served(checker, "c2")


Step = Callable[[RuleChecker], None]


def after(*steps: Step) -> Step:
    def scenario(checker: RuleChecker) -> None:
        for step in steps:
            step(checker)

    return scenario


SCENARIOS: list[tuple[str, str, Step]] = [
    ("served", "", after(written, served)),
    (
        "answered twice",
        "duplicate",
        after(written, served, lambda c: c.response_received(NOW, "c1", "failed")),
    ),
    ("never answered", "lost", after(written, lambda c: c.tick(NOW + 2000))),
    ("still in time", "", after(written, lambda c: c.tick(NOW + 1000))),
    ("answered late", "lost", after(written, lambda c: c.response_received(NOW + 1111, "c1", "failed"))),
    (
        "late while the observer stood still",
        "",
        after(
            written,
            lambda c: c.extend_due_times(50.0),
            lambda c: c.response_received(NOW + 1150, "c1", "failed"),
        ),
    ),
    ("connection ended", "lost", after(written, lambda c: c.connection_closed("c1"))),
    (
        "another's result",
        "lost",
        after(written, lambda c: c.response_received(NOW, "c1", "served", b"page c9")),
    ),
    ("changed body", "lost", after(written, lambda c: c.run_started("c1", "n1", "order", b"bodY"))),
    ("changed class", "lost", after(written, lambda c: c.run_started("c1", "n1", "proof", b"body"))),
    ("run unasked", "lost", lambda c: c.run_started("c7", "n1", "order", b"body")),
    ("run twice in its window", "duplicate", duplicate(5000.0, "run")),
    ("run again after its window", "", duplicate(15_000.0, "run")),
    ("refused after it ran", "duplicate", duplicate(5000.0, "refused")),
    ("a repeat gets the result", "", duplicate(5000.0, "served")),
    ("a repeat fails", "", duplicate(5000.0, "failed")),
    ("run past the grace", "drain", drained(2600.0)),
    ("run within the grace", "", drained(2500.0)),
    ("a killed node's window ends with it", "", restarted),
    ("fell over", "fall_over", lambda c: c.machine_crashed("n1", "crowd")),
]


@pytest.mark.parametrize(
    ("rule", "scenario"), [each[1:] for each in SCENARIOS], ids=[each[0] for each in SCENARIOS]
)
def test_checker_reports_exactly_the_violated_rule(
    rule: str, scenario: Callable[[RuleChecker], None]
) -> None:
    checker = RuleChecker(14_841.0)
    scenario(checker)
    assert [violation.rule for violation in checker.violations] == ([rule] if rule else [])


def test_tally_weighs_late_and_partial_responses() -> None:
    tally, (preview, proof, order) = OutcomeTally(), traffic.CLASSES
    ends = [
        (preview, "served", 100.0, True),
        (proof, "served", 2500.0, False),
        (order, "refused", 0.0, False),
    ]
    for cls, end, took, partial in ends:
        tally.request_arrived(cls, 0.0)
        tally.request_ended(cls, 0.0, end, took, partial)
    assert tally.value_fraction() == pytest.approx((0.5 + 2 * 0.2) / 8)
    assert [row["late"] for row in tally.table()] == [0, 1, 0]


def test_attempt_timeouts_end_each_request_once_without_violation() -> None:
    """Later attempts are answered, too: counted twice, a request would have two ends."""
    habits = (BalancerProfile("round", attempt_timeout_ms=150.0),)
    stage = Cluster(
        ClusterSpec(seed=2, nodes=fleet(2, 500.0), phases=(Phase(2500.0, 0.5, 0.5),), balancers=habits)
    )
    stage.run()
    ends = sum(sum(row.counts.values()) for row in stage.tally.rows_by_class.values())
    assert ends == len(stage.requests) > 20 and not stage.checker.violations
    assert len(stage.checker._answered_calls) > len(stage.requests)


def test_request_that_crossed_a_goaway_during_a_late_turn_is_resent() -> None:
    """The cluster reads late, so the goaway is old when the request is written: not the node's fault."""
    loop = EventLoop()
    answers, dropped = list[Response](), list[Connection]()

    def take(sock: socket.socket) -> None:
        def read(data: bytes) -> None:
            if len(dropped) == 1:  # the node asked it to go, waited, and closed
                made.write(msgpack.packb([2, "goaway", []]))
                loop.flush()
                made.close()
            else:
                made.write(msgpack.packb([1, 1, None, [b"page", {}]]))

        made = Connection(loop, sock, read, lambda _: None)
        dropped.append(made)

    server = Listener(loop, ("127.0.0.1", 0), take)
    lanes = BalancerConnections(loop, lambda _: server.sock.getsockname(), lambda _: None, lambda *_: None)

    def ask(late: float) -> str:
        dropped.clear()
        lanes.send_request("n1", "a1", "preview", {}, b"", answers.append)
        now = loop.now
        loop.now = lambda: now() + 120.0  # all that follows is read so much later
        lanes.record_late_turn(loop.now(), late)
        count = len(answers)
        for _ in range(200):
            loop.call_later(1.0, lambda: None)
            loop.run_once(lambda: None)
            if len(answers) > count:
                break
        loop.now = now
        lanes.break_connections("n1")
        return answers[-1].kind

    assert ask(0.0) == "broken"
    assert ask(100.0) == "served"
    server.close()
