"""Nodes that gossip, as processes with faults between them, and what the drill of even load reports."""

from __future__ import annotations

import socket
import time

import pytest

from spindlerelay.testbed.cluster import membership_views
from spindlerelay.testbed.cluster.coordinator import Coordinator
from spindlerelay.testbed.cluster.record import RunRecord
from spindlerelay.testbed.cluster.spec import ClusterSpec, small_fleet
from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.testbed.drills import spread as drill
from spindlerelay.testbed.fault_injection import fault_schedule
from spindlerelay.testbed.fault_injection.fault_schedule import MEMBERSHIP_LINK, Fault, ScheduleError
from spindlerelay.testbed.fault_injection.link_proxy import LinkProxies
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.transport.event_loop import EventLoop

NAMES = [f"n{number}" for number in range(1, 10)]
FAST = ("n3", "n6", "n9")  # of those that run all the time
SLOW = ("n1", "n2", "n4", "n7")
FAULTS = (
    Fault(500.0, "cut", 5, 2500.0, 0.0, MEMBERSHIP_LINK, "in"),  # receives nothing, and is received
    Fault(1000.0, "kill", 4, 60_000.0),
    Fault(1500.0, "pause", 6, 900.0),
    Fault(2000.0, "kill", 7, 1500.0),  # back with no memory
    Fault(4500.0, "drop", 3, 0.3, 1500.0, MEMBERSHIP_LINK, "in"),
    Fault(6500.0, "split", 0, 4.0, 2500.0),
)


@pytest.fixture(scope="module")
def record() -> RunRecord:
    """Nine nodes on two shards that gossip, with a catalogue, its weights and faults.

    One in three is four times as fast: what a node has run in some seconds differs by twice from chance
    alone.
    """
    nodes = [each._replace(speed=2.9) if each.speed > 1.0 else each for each in small_fleet(9, 1000.0)]
    spec = ClusterSpec(
        seed=5,
        nodes=tuple(nodes),
        phases=(Phase(14_000.0, 0.4, 0.4),),
        balancers=(BALANCER_PROFILES["weighted"], BALANCER_PROFILES["routed"]),
        faults=fault_schedule.validate(FAULTS, 9),
        uses_membership=True,
        uses_catalogue=True,
        endpoint_source="catalogue",
    )
    return Coordinator(spec, 2).run()


def test_gossiping_processes_with_faults_break_no_rule(record: RunRecord) -> None:
    assert not record.violation_counts, record.violations
    assert not record.void_reasons and record.goodput > 0.5


def test_survivors_detect_deaths_and_rejoin_after_a_split(record: RunRecord) -> None:
    views = membership_views.detection_quality(
        record.journal, record.status_changes, record.alive_views, 14_000.0
    )
    assert (
        views.missed == 0
        and len(views.detection_delays_ms) == 7
        and sorted(views.detection_delays_ms)[4] < 5000.0
    )
    assert views.wrong_fraction == 0.0  # all the others are alive for each other again
    dead = {(each[1], each[2]) for each in record.status_changes if each[3] == "dead" and each[0] > 6500.0}
    sides = {(int(one[1:]) <= 4, int(other[1:]) <= 4) for one, other in dead if other != "n5"}
    assert sides >= {(True, False), (False, True)}  # each half took the other for dead


def test_catalogue_weights_follow_core_speed(record: RunRecord) -> None:
    """Compares the means of each speed, as single nodes differ by chance."""
    weights = {name: weight for _, name, weight in record.weight_changes}
    fast, slow = (sum(weights[name] for name in names) / len(names) for names in (FAST, SLOW))
    assert fast > 1.3 * slow


def test_log_of_beliefs_is_read_from_its_last_incarnation_on() -> None:
    stamp = "2026-12-02 10:00:0{}.000"
    lines = [
        f"{stamp.format(0)} INFO n1 listens on 127.0.0.1:1",
        f"{stamp.format(1)} DEBUG membership: n2 is alive, incarnation 1, last heard of 0 ms ago",
        f"{stamp.format(2)} DEBUG membership: n3 is alive, incarnation 1, last heard of 0 ms ago",
        f"{stamp.format(3)} DEBUG membership: n3 is dead, incarnation 1, last heard of 900 ms ago",
    ]
    start_ms = time.mktime(time.strptime("2026-12-02 10:00:02", "%Y-%m-%d %H:%M:%S")) * 1000.0
    changes, alive = membership_views.read_view("\n".join(lines), start_ms)
    assert changes == [(0.0, "n3", "alive"), (1000.0, "n3", "dead")] and alive == ["n2"]
    restarted = [*lines, f"{stamp.format(4)} INFO n1 listens on 127.0.0.1:1"]
    assert membership_views.read_view("\n".join(restarted), start_ms)[1] == []


def test_beliefs_are_compared_with_the_faults_that_were_played() -> None:
    journal = [
        [1000.0, "kill", "n3", "", "both", True, "well"],
        [1000.0, "pause", "n4", "", "both", True, "well"],
        [2000.0, "pause", "n4", "", "both", False, "paused"],
    ]
    changes = [
        [2500.0, "n1", "n3", "dead"],
        [1800.0, "n1", "n4", "dead"],
        [2600.0, "n1", "n4", "alive"],
        [3000.0, "n2", "n1", "dead"],
    ]
    believed = {"n1": ["n2", "n4"], "n2": ["n4"], "n4": ["n1", "n2"]}
    views = membership_views.detection_quality(journal, changes, believed, 5000.0)
    assert views.detection_delays_ms == [1500.0] and views.missed == 2
    assert views.false_death_durations_ms == [
        600.0,
        2000.0,
    ]  # the first past its subject's pause, the second to the end
    assert views.wrong_fraction == pytest.approx(1 / 6)


def test_member_link_is_cut_by_fault_and_split_by_sender() -> None:
    loop = EventLoop()
    ways = LinkProxies(loop, free_port)
    ways.set_proxied_links(frozenset({("n1", MEMBERSHIP_LINK)}))
    target, sender = (
        loop.system.datagram_socket(("127.0.0.1", 0)),
        loop.system.datagram_socket(("127.0.0.1", 0)),
    )
    public = ways.address("n1", MEMBERSHIP_LINK, target.getsockname(), ("127.0.0.1", free_port()))

    def passes() -> bool:
        sender.sendto(b"x", public)
        end = time.monotonic() + 0.3
        while time.monotonic() < end:
            loop.call_later(5.0, lambda: None)
            loop.run_once(lambda: None)
            try:
                return bool(target.recv(10))
            except BlockingIOError:
                continue
        return False

    assert passes()
    number = ways.begin_fault("n1", Fault(0.0, "cut", 0, 1000.0, 0.0, MEMBERSHIP_LINK, "in"))
    assert not passes()
    ways.end_fault(number)
    port = sender.getsockname()[1]
    ways.partition(lambda host, at: at == port, ["n1"])
    assert not passes()
    ways.partition(None, ["n1"])
    assert passes()
    ways.close()
    for sock in (target, sender):
        assert isinstance(sock, socket.socket)
        sock.close()


def test_member_link_rejects_a_cut_on_its_way_out() -> None:
    with pytest.raises(ScheduleError, match="fault 1: link: members .* way in"):
        fault_schedule.validate([Fault(0.0, "cut", 0, 100.0, 0.0, MEMBERSHIP_LINK, "out")], 3)


@pytest.mark.parametrize(
    ("weights", "oscillation"),
    [((100, 150, 100), 100.0 / (350.0 / 3.0)), ((100, 120, 150), 0.0)],
    ids=["back and forth", "one way"],
)
def test_weight_oscillation_counts_changes_that_are_undone(
    weights: tuple[int, ...], oscillation: float
) -> None:
    changes = [(float(at_ms), "n1", weight) for at_ms, weight in enumerate(weights)]
    assert drill.weight_oscillation(changes) == pytest.approx(oscillation, abs=0.0)


def test_drill_plans_no_more_catalogue_nodes_than_the_machine_carries() -> None:
    jobs = drill.plan(1, 1, 200, False)
    assert {job.nodes for job in jobs if job.who in ("weights", "few")} == {drill.MAX_CATALOGUE_NODES}


def test_drill_fails_exactly_the_claims_that_do_not_hold() -> None:
    jobs = drill.plan(1, 1, 200, False)
    keys = [(job.story, job.who) for job in jobs]
    results = [
        {
            "job": job._asdict(),
            "processes": 9,
            "worth": 0.9,
            "hot": 0.01,
            "idle": 0.01,
            "herd": 1.0,
            "rules": {},
            "broken": [],
            "void": [],
            "late_ms": 1.0,
            "members_wrong": 0.0,
            "known": [1500.0],
            "unknown": 0,
            "false_ms": 0.0,
            "false": 0,
            "weight_changes": 1.0,
            "swing": 0.0,
        }
        for job in jobs
    ]
    figures = drill.merge(results)
    failed = drill.failed(figures)  # weights are no better than mixed here
    assert len(failed) == 4 and all(text.startswith("weights") for text in failed)
    results[keys.index(("deaths", "routed"))]["unknown"] = 5
    results[keys.index(("all", "routed"))]["rules"] = {"duplicate": 1}
    worse = drill.failed(drill.merge(results))
    assert any("99%" in text for text in worse) and any("runs twice" in text for text in worse)
