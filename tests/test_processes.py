"""Clusters of several processes with faults between them, and what is observed of a fleet."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import numpy as np
import pytest

from spindlerelay.testbed.cluster import observations
from spindlerelay.testbed.cluster.coordinator import Coordinator
from spindlerelay.testbed.cluster.record import RunRecord
from spindlerelay.testbed.cluster.spec import ClusterSpec, small_fleet
from spindlerelay.testbed.drills import processes as drill
from spindlerelay.testbed.fault_injection import fault_schedule
from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.testbed.servers.interpreter import EmulatedInterpreter
from spindlerelay.transport.event_loop import EventLoop

HERE = ("127.0.0.1", 0)


def spec_of(nodes: int, seconds: float, *faults: Fault, load: float = 0.6) -> ClusterSpec:
    habits = tuple(BALANCER_PROFILES[name] for name in ("steady", "least", "two", "deaf"))
    return ClusterSpec(
        seed=3,
        nodes=small_fleet(nodes, 1000.0),
        phases=(Phase(seconds * 1000.0, load, load),),
        balancers=habits,
        faults=fault_schedule.validate(faults, nodes),
    )


@pytest.fixture(scope="module")
def faulty() -> RunRecord:
    """Eight nodes on two shards, with a fault of every kind between them."""
    faults = (
        Fault(500.0, "cut", 0, 6000.0, link="interpreter", direction="in"),  # longer than every time limit
        Fault(800.0, "cut", 1, 2500.0, link="balancers"),
        Fault(1200.0, "pause", 1, 1500.0),  # stopped while a link of it is cut
        Fault(700.0, "half_open", 2, 3000.0, link="interpreter", direction="in"),
        Fault(1000.0, "kill", 2, 800.0),  # the end that stayed wakes up after the restart
        Fault(
            600.0, "cut", 3, 5500.0, link="store", direction="in"
        ),  # replies come after their runs have ended
        Fault(1500.0, "reset", 4, 40.0, link="balancers"),  # inside a frame
        Fault(1000.0, "delay", 5, 60.0, 2000.0, link="interpreter"),
        Fault(1500.0, "limit", 5, 3000.0, 1500.0, link="interpreter"),  # two at once on one link
        Fault(2000.0, "refuse", 6, 1500.0, link="store"),
        Fault(2500.0, "drop", 6, 1.0, 2000.0, link="announce"),
        Fault(1000.0, "slow", 7, 5.0, 2000.0),
        Fault(3000.0, "replace", 7, 0.0),
        Fault(1000.0, "late_list", 0, 1500.0, 3000.0),
    )
    return Coordinator(spec_of(8, 8.0, *faults), 2).run()


def test_no_rule_is_broken_under_faults_of_every_kind(faulty: RunRecord) -> None:
    assert not faulty.void_reasons and not faulty.violation_counts, (faulty.void_reasons, faulty.violations)
    assert 0.3 < faulty.goodput < 1.0 and len(faulty.rows) > 150


def test_journal_records_begin_end_and_state_of_each_fault(faulty: RunRecord) -> None:
    done = {(kind, node, began) for _, kind, node, _, _, began, _ in faulty.journal}
    assert {("cut", "n1", True), ("cut", "n1", False), ("pause", "n2", True), ("kill", "n3", False)} <= done
    states = {(kind, node): state for _, kind, node, _, _, began, state in faulty.journal if began}
    assert states["kill", "n3"] == "well" and states["replace", "n8"] == "well"
    ended = {(kind, node): state for _, kind, node, _, _, began, state in faulty.journal if not began}
    assert ended["kill", "n3"] == "down" and ended["pause", "n2"] == "paused"


def test_record_has_one_row_for_each_request(faulty: RunRecord) -> None:
    numbers = faulty.rows["number"]
    assert sorted(numbers) == list(range(len(numbers)))
    assert faulty.observation.load.shape == (8, 8) and np.isnan(faulty.observation.load).sum() >= 0


@pytest.mark.parametrize(
    ("sig", "words"), [(signal.SIGKILL, "died with status -9"), (signal.SIGSTOP, "sent no message for")]
)
def test_run_is_void_when_shard_dies_or_falls_silent(sig: int, words: str) -> None:
    coordinator = Coordinator(spec_of(4, 6.0), 2, 800.0)

    def strike() -> None:
        if coordinator.started_at and coordinator.loop.now() > coordinator.started_at + 300.0:
            coordinator.shards[1].process.send_signal(sig)
        else:
            coordinator.loop.call_later(50.0, strike)

    coordinator.loop.call_later(50.0, strike)
    record = coordinator.run()
    assert [text.startswith("shard 1 " + words) for text in record.void_reasons] == [True]


def _below(pid: int) -> set[int]:
    found = {int(each) for each in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()}
    return found.union(*(_below(each) for each in found))


def _alive(pids: set[int]) -> set[int]:
    return {
        pid
        for pid in pids
        if Path(f"/proc/{pid}/stat").exists()
        and Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    }


def test_no_process_survives_death_of_coordinator() -> None:
    code = "from tests.test_processes import *; Coordinator(spec_of(4, 60.0), 2).run()"
    process = subprocess.Popen([sys.executable, "-c", code], cwd=Path(__file__).parents[1])
    end, found = time.monotonic() + 20.0, set[int]()
    while len(found) < 6 and time.monotonic() < end:
        time.sleep(0.1)
        found = _below(process.pid)
    assert len(found) == 6
    shards = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    for pid in (process.pid, int(shards[0])):  # one shard has no time to clean up after itself, either
        os.kill(pid, signal.SIGKILL)
    process.wait()
    while _alive(found) and time.monotonic() < end + 10.0:
        time.sleep(0.05)
    assert not _alive(found)


# An interpreter


def test_interpreter_sends_banner_only_once_it_is_up() -> None:
    loop = EventLoop()
    peer = EmulatedInterpreter(loop, HERE, lambda *_: None, lambda *_: None)
    from spindlerelay.testbed.models.machine import Machine, MachineSpec

    peer.restart(Machine(MachineSpec(), loop.now(), cold=False))
    peer.banner_delayed = True
    node = socket.create_connection(peer.address, 5.0)
    node.sendall(b"CONNECT 0\r\n")
    node.settimeout(0.1)
    for _ in range(10):
        loop.call_later(5.0, lambda: None)
        loop.run_once(lambda: None)
    with pytest.raises(TimeoutError):
        node.recv(10)
    peer.release_banner()
    loop.flush()
    assert node.recv(100).startswith(b"BANNER running ")


# Observations


def test_hot_and_idle_fractions_compare_with_mean_of_nodes_that_are_up() -> None:
    load = np.array([[1.0, 1.0], [1.0, 0.2], [4.0, 1.0], [np.nan, 1.0]])
    refused = np.array([[0.0, 0.0], [0.0, 0.0], [0.0, 3.0], [0.0, 0.0]])
    table = observations.FleetObservation(load, load, refused)
    assert observations.hot_fraction(table) == pytest.approx(1 / 7)  # 4.0 of a mean of 2.0
    assert observations.idle_fraction(table) == pytest.approx(1 / 7)  # 0.2 while another refuses
    assert observations.idle_fraction(table._replace(rejections=np.zeros((4, 2)))) == 0.0


def test_samples_of_several_pools_make_one_table() -> None:
    one, other = observations.LoadSums(["n1"]), observations.LoadSums(["n2"])
    for sample in range(20):
        one.add(sample * 100.0, [(1.0 + sample // 10, 0.5)])
        other.add(sample * 100.0, [(3.0, 1.0) if sample < 12 else None])
    found = observations.merge_samples(
        ["n1", "n2"], 2, [(one.names, one.rows), (other.names, other.rows)], {("n2", 1): 4}
    )
    assert found.load[0].tolist() == [1.0, 2.0] and found.load[1][0] == 3.0 and np.isnan(found.load[1][1])
    assert found.rejections.tolist() == [[0.0, 0.0], [0.0, 4.0]]


def test_herding_ratio_is_high_for_synchronized_and_near_one_for_random_choice() -> None:
    at = np.repeat(np.arange(40) * 50.0, 20)
    by = np.tile(np.arange(20), 40)
    rng = np.random.default_rng(1)
    together = np.repeat(rng.integers(0, 100, 40), 20)
    assert observations.herding_ratio(at, by, together, 100, 1) > 5.0
    assert 0.6 < observations.herding_ratio(at, by, rng.integers(0, 100, 800), 100, 1) < 1.5
    assert observations.herd_size(at[:0], by[:0], together[:0]) == 0


def test_busiest_span_is_relative_to_mean() -> None:
    even = [float(at) for at in range(0, 1000, 2)]
    assert observations.peak_to_mean(even, 10.0, 0.0, 1000.0) == 1.0
    assert observations.peak_to_mean([5.0] * 10 + even, 10.0, 0.0, 1000.0) == pytest.approx(15 / 5.1)
    assert observations.peak_to_mean([], 10.0, 0.0, 1000.0) == 0.0


# The drill


EVEN = np.full(400, 4)


def test_drill_figures_cover_its_claims() -> None:
    jobs = drill.plan(1, 1, 24, False, "HEAD")
    stories = {(job.story, job.who) for job in jobs}
    assert stories >= {("all", "before"), ("march", "mixed"), ("none", "chance")}
    assert drill.cluster_spec(jobs[0], "").synchronized_start and drill.shard_count(200) == 6
    done = [
        {
            "job": job._asdict(),
            "processes": 27,
            "worth": 0.8 + 0.05 * (job.who == "mixed"),
            "hot": 0.1,
            "idle": 0.1,
            "herd": 1.0,
            "rules": {},
            "broken": [],
            "void": [],
            "late_ms": 10.0,
            **drill.synchrony("reports", EVEN, 250.0),
            **drill.synchrony("redials", EVEN, 320.0),
            "redials": 100,
        }
        for job in jobs
    ]
    figures = drill.merge(done)
    keys = {
        "nodes",
        "processes",
        "worth",
        "worth_before",
        "worth_all_knowing",
        "worth_by_chance",
        "hot",
        "idle",
        "herd",
        "lost",
        "ran_twice",
        "void",
        *drill.SYNCHRONY_KEYS,
    }
    assert keys <= set(figures) and figures["nodes"] == 24 and not drill.failed(figures)
    assert figures["gained"][0] == pytest.approx(0.05)
    for key in ("lost", "ran_twice", "void", *drill.SYNCHRONY_KEYS):
        assert drill.failed(figures | {key: 20})


def periodic_counts(senders: int, in_step: int, seed: int) -> observations.Counts:
    """Return events in each 10 ms of 8 s; ``in_step`` of the senders have one phase, the others their own."""
    rng = np.random.default_rng(seed)
    phases = np.concatenate([np.full(in_step, 40.0), rng.uniform(0.0, 250.0, senders - in_step)])
    times = (phases[:, None] + np.arange(32) * 250.0 + rng.uniform(0.0, 5.0, (senders, 32))).ravel()
    return observations.event_counts(list(times), 10.0, 0.0, 8000.0)


def exceeds_a_bound(counts: observations.Counts) -> bool:
    figures = drill.synchrony("reports", counts, 250.0)
    kinds = ("reports_peak", "reports_dispersion")
    return any(figures[kind] > figures[f"{kind}_bound"] for kind in kinds)


@pytest.mark.parametrize("senders", [24, 100, 1000])
def test_bounds_of_synchrony_hold_for_independent_senders_at_each_size(senders: int) -> None:
    """Three times the mean was the bound at each size: chance alone exceeds it where events are few."""
    assert sum(exceeds_a_bound(periodic_counts(senders, 0, seed)) for seed in range(200)) <= 2


@pytest.mark.parametrize(("senders", "in_step"), [(24, 12), (100, 25), (1000, 100)])
def test_bounds_of_synchrony_catch_a_fleet_of_which_a_part_acts_in_step(senders: int, in_step: int) -> None:
    assert all(exceeds_a_bound(periodic_counts(senders, in_step, seed)) for seed in range(50))
