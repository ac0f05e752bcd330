"""Faults by script and by seed, and that the cluster plays each of them."""

from __future__ import annotations

import signal
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from spindlerelay.testbed.experiments import matrix, runner
from spindlerelay.testbed.models import fault_script
from spindlerelay.testbed.models.fault_script import FaultEvent
from spindlerelay.testbed.scripted_run import (
    SEND_DELAY_BOUND_MS,
    Emulation,
    Recording,
    cluster_spec,
    emulate,
    launcher_of,
)
from spindlerelay.testbed.settable_clock import SettableClock
from tests.peers import Program


@pytest.mark.parametrize(
    ("event", "words"),
    [
        (FaultEvent("earthquake", 10.0), "kind: 'earthquake'"),
        (FaultEvent("crash", 10.0), "node: 0 stands there; expected a number from 1 to 3"),
        (FaultEvent("slow", 10.0, 100.0, 4), "node: 4"),
        (FaultEvent("burst", 9000.0), "at: 9000 ms stands there; expected a time in the run's 5000 ms"),
        (FaultEvent("pause", 10.0, 0.0, 1), "for: 0 ms"),
        (FaultEvent("slow", 10.0, 100.0, 1, 0.5), "times: 0.5"),
    ],
    ids=["kind", "missing_node", "node", "at", "for", "times"],
)
def test_invalid_fault_is_reported_by_its_key(event: FaultEvent, words: str) -> None:
    assert words in fault_script.validation_errors(event, 3, 5000.0)[0]


def test_drawn_faults_are_valid_of_all_kinds_and_do_not_interfere() -> None:
    kinds = Counter[str]()
    for seed in range(1, 200):
        events = fault_script.draw_events(seed, 4, 3, 20_000.0)
        assert events == fault_script.draw_events(seed, 4, 3, 20_000.0) and len(events) >= 1
        assert not [line for event in events for line in fault_script.validation_errors(event, 3, 20_000.0)]
        kinds.update(event.kind for event in events)
        for one in events:
            for other in events:
                if one is not other and one.node and one.node == other.node:
                    assert one.end_ms <= other.at_ms or other.end_ms <= one.at_ms
        if any(event.kind == "deploy" for event in events):  # it replaces every node
            assert not any(event.node for event in events)
    assert set(kinds) == set(fault_script.FAULT_KINDS)


def test_burst_multiplies_arrivals_within_its_interval() -> None:
    calm, burst = (
        cluster_spec(Emulation(seconds=4.0, nodes=2, spacing="paced", events=events)).requests
        for events in ((), (FaultEvent("burst", 1000.0, 1000.0, factor=3.0),))
    )
    inside = [sum(1000.0 <= order.arrival_ms < 2000.0 for order in orders) for orders in (calm, burst)]
    assert inside[1] == pytest.approx(3 * inside[0], abs=2)


def test_settable_clock_toggles_an_offset_of_its_own_process() -> None:
    clock = SettableClock(2.0)
    clock.system_time = lambda: 100.0
    clock.toggle()
    assert clock.time() == 102.0
    clock.toggle()
    assert clock.time() == 100.0
    assert (
        launcher_of(Emulation(events=(FaultEvent("clock", 1.0, node=1),)))[0]
        == "spindlerelay.testbed.settable_clock"
    )


class Stepped(Program):
    """A node whose clock can be set."""

    def command(self) -> list[str]:
        return [sys.executable, "-m", "spindlerelay.testbed.settable_clock", "spindlerelay"]


def test_node_answers_every_request_across_clock_steps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("SPINDLERELAY_STEP_MS", "600")
    with Stepped(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        for number in range(3):  # as it should be, 0.6 s ahead, and right again
            call = f"{number:016x}"
            asked = balancer.send_request(call, "order", ttl="4900", dedupe=call * 2)
            node.interpreter.expect("APPLY", call)
            node.interpreter.value(call, b"done")
            assert balancer.response(asked) == b"done"
            node.process.send_signal(signal.SIGUSR1)
            time.sleep(0.4)
        node.wait_for_log("process stalled: the clock jumped or a timer fired late")
        assert "a fault in the program" not in node.log.read_text()  # of a signal that is not the node's own


def test_22_nodes_on_few_cores_are_all_played_or_the_run_is_declared_void(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    found = emulate(Emulation(nodes=22, seconds=2.0, load=0.6, balancers="storm:0.3,copies:0.7"))
    late = found.details["late_p99_ms"] > SEND_DELAY_BOUND_MS
    assert len(found.rows) == found.details["intended"] > 250 and bool(found.void_reasons()) == late
    assert late or not found.details["rules"], found.details["broken"]
    monkeypatch.setattr("os.cpu_count", lambda: 8)
    wide = matrix.Experiment(name="x", nodes=[3, 22], variant=[matrix.VariantTable(name="a")])
    assert runner.concurrent_runs(wide) == 2  # 8 cores bear no more of them


def states(recording: Recording, node: str) -> list[str]:
    found: list[str] = recording.details["samples"][f"{node} state"]
    return found


def test_every_fault_kind_is_played_and_recorded_without_violation() -> None:
    events = (
        FaultEvent("slow", 500.0, 1000.0, 1),
        FaultEvent("crash", 1000.0, 1500.0, 2),
        FaultEvent("pause", 2000.0, 700.0, 3),
        FaultEvent("link", 3000.0, 0.0, 1),
        FaultEvent("store", 3200.0, 1000.0),
        FaultEvent("catalogue", 3400.0, 800.0),
        FaultEvent("deploy", 5000.0, 600.0),
    )
    found = emulate(Emulation(nodes=3, seconds=7.0, load=0.5, events=events, uses_catalogue=True))
    assert not found.details["rules"], found.details["broken"]
    assert "slow" in states(found, "n1") and "paused" in states(found, "n3")
    assert "down" in states(found, "n2") and "cold" in states(found, "n2")
    assert "troubled" in found.details["samples"]["store state"]
    assert all("leaving" in states(found, name) for name in ("n1", "n2", "n3"))
    assert len(found.rows) == found.details["intended"] == found.details["sent"]
    again = Recording.from_bytes(found.to_bytes())
    assert again.details == found.details and again.rows.tobytes() == found.rows.tobytes()
    with pytest.raises(ValueError, match="not a recording"):
        Recording.from_bytes(b"PK nonsense")
