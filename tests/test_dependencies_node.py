"""A node process with dependencies: routes, faults and reload on sockets; the testbed's dependencies."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Any

import pytest

from spindlerelay.api import Outcome
from spindlerelay.dependencies.call_events import (
    CallAbandoned,
    CallCompleted,
    CallRequested,
    DeliverResult,
    Event,
    SendCall,
)
from spindlerelay.testbed.drills import dependencies as drill
from spindlerelay.testbed.models.dependency_faults import (
    FAULT_KINDS,
    HEALTHY,
    DependencyFault,
    combined_condition,
)
from spindlerelay.testbed.models.store import SharedStore, StoreSpec
from spindlerelay.testbed.single_store_node import SharedPoolScheduler
from tests.peers import OperatedProgram, Store
from tests.scheduler_driver import PLAIN, SETTINGS

ORDER, PREVIEW = "00000000000000a1", "00000000000000b2"


class Dependent(OperatedProgram):
    """A node with an archive and a tariff service of its own; the platform's store is a third."""

    def __init__(self, folder: Path, **more: Any) -> None:
        self.archive, self.tariff = Store(), Store()
        super().__init__(folder, self.table(), **more)

    def table(self, **more: str) -> str:
        address = {"archive": self.archive.address, "tariff": self.tariff.address} | more
        return f"""
[metrics]
every = "200ms"
[[dependency]]
name = "archive"
address = "{address["archive"]}"
routes = [{{ class = "order" }}, {{ class = "preview" }}]
[[dependency]]
name = "tariff"
address = "{address["tariff"]}"
routes = [{{ class = "preview", prefix = "tariff " }}]
fallback = ["skip"]
partial = {{ preview = 0.5 }}
retry_share = 0.0
"""

    def __exit__(self, *more: Any) -> None:
        super().__exit__(*more)
        self.archive.close()
        self.tariff.close()


def test_calls_are_routed_to_their_dependencies_and_none_to_the_platform_store(tmp_path: Path) -> None:
    with Dependent(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request(ORDER, "order"), balancer.send_request(PREVIEW)
        for _ in range(2):
            node.interpreter.expect("APPLY")
        node.interpreter.note("AWAIT", ORDER, b"page 1")
        node.interpreter.note("AWAIT", PREVIEW, b"tariff zone 1")
        call = node.archive.expect("CALL", ORDER)
        assert call[3] == b"6" and 0 < int(call[2]) <= 4900 and call[4] == b"page 1"
        assert node.tariff.expect("CALL", PREVIEW)[4] == b"tariff zone 1"
        node.archive.send(f"{ORDER} OK", b"row")
        assert node.interpreter.expect("RESOLVE", ORDER)[3] == b"row"
        node.tariff.send(f"{PREVIEW} ERR")
        assert node.interpreter.expect("STUB", PREVIEW)[2] == b"2"  # the preview goes on in part
        for call_id, msgid in ((ORDER, asked[0]), (PREVIEW, asked[1])):
            node.interpreter.value(call_id, b"done")
            assert balancer.response(msgid) == b"done"
        assert node.store.links == 0
        node.wait_for_log("dependency: tariff closed")


def test_order_whose_call_may_have_run_fails_without_a_partial_response(tmp_path: Path) -> None:
    with Dependent(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request(ORDER, "order")
        node.interpreter.expect("APPLY")
        node.interpreter.note("AWAIT", ORDER, b"page 1")
        node.archive.expect("CALL", ORDER)
        node.archive.cut()
        assert balancer.response(asked) == "Failed"
        assert all(words == [] for words in list(node.archive.seen.queue))  # nothing more but closed links
        assert not [words for words in list(node.interpreter.seen.queue) if words[0] in (b"STUB", b"RESOLVE")]


def test_reload_takes_a_valid_table_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    with Dependent(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer, other = node.balancer(), Store()
        asked = balancer.send_request(ORDER, "order")
        node.interpreter.expect("APPLY")
        node.interpreter.note("AWAIT", ORDER, b"page 1")
        node.archive.expect("CALL", ORDER)
        node.operator.write_text(node.table(archive="nowhere"))
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("dependencies not applied, the previous table stays in use")
        assert "'nowhere' stands there" in node.log.read_text()
        node.operator.write_text(node.table(archive=other.address))
        node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("dependencies reloaded: archive, tariff")
        node.archive.send(f"{ORDER} OK", b"row")  # the call in hand ends where it was made
        node.interpreter.expect("RESOLVE", ORDER)
        node.wait_for_log("dependency: connection 1 closed")
        node.interpreter.value(ORDER, b"done")
        assert balancer.response(asked) == b"done"
        second = balancer.send_request(PREVIEW)
        node.interpreter.expect("APPLY")
        node.interpreter.note("AWAIT", PREVIEW, b"page 2")
        other.expect("CALL", PREVIEW)
        other.send(f"{PREVIEW} OK", b"row")
        node.interpreter.expect("RESOLVE", PREVIEW)
        node.interpreter.value(PREVIEW, b"done")
        assert balancer.response(second) == b"done"
        other.close()


def test_start_fails_with_a_line_for_each_fault_of_the_table(tmp_path: Path) -> None:
    node = Dependent(tmp_path)
    node.process.kill()
    bad = node.table().replace('class = "order"', 'class = "orders"').replace("preview = 0.5", "order = 0.5")
    node.operator.write_text(bad)
    with pytest.raises(AssertionError, match="did not start") as caught:
        Dependent.__enter__(Renewed(node))
    told = str(caught.value)
    assert "dependency.0.routes: unknown class 'orders'; expected one of: order, preview" in told
    assert "dependency.1.partial: class 'order' is not idempotent" in told and "Traceback" not in told
    node.__exit__(None, None, None)


class Renewed(Dependent):
    """The same files in a new process."""

    def __init__(self, node: Dependent) -> None:
        import os
        import subprocess

        from tests.peers import ROOT

        self.__dict__ = dict(node.__dict__)
        with self.log.open("wb") as sink:
            self.process = subprocess.Popen(
                self.command(), env=os.environ | {"LB_CONFIG": str(self.path)}, cwd=ROOT, stderr=sink
            )


# The testbed


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_dependency_fault_lasts_from_its_start_to_its_end(kind: str) -> None:
    trouble = DependencyFault(kind, 1000.0, 3000.0)
    inside = [trouble.condition_at(1000.0 + 20.0 * i) for i in range(100)]
    assert any(each != HEALTHY for each in inside)
    assert trouble.condition_at(999.0) == trouble.condition_at(3000.0) == HEALTHY
    with pytest.raises(ValueError, match="known: dead"):
        DependencyFault("tired", 0.0, 1.0).condition_at(0.5)


def test_simultaneous_faults_combine_to_the_worst_of_each() -> None:
    both = combined_condition([DependencyFault("slow", 0.0, 10.0), DependencyFault("errors", 5.0, 10.0)], 6.0)
    assert (both.slowdown, both.outcome, both.affected_fraction, both.up) == (10.0, "error", 0.3, True)
    assert not combined_condition(
        [DependencyFault("dead", 0.0, 9.0), DependencyFault("slow", 0.0, 9.0)], 1.0
    ).up


def test_crowded_store_is_free_again_after_the_fault() -> None:
    store = SharedStore(StoreSpec(slots=2, call_ms=50.0, contention_penalty=0.0), 0.0)
    store.set_condition(0.0, DependencyFault("crowded", 0.0, 1e9).condition_at(1.0))
    store.start_call(0.0, "ours", 50.0)
    assert "ours" not in store.set_condition(60.0, DependencyFault("crowded", 0.0, 1e9).condition_at(1.0))
    store.set_condition(61.0, HEALTHY)
    assert store.advance(120.0) == ["ours"]


def test_baseline_serves_all_calls_from_one_pool_in_order_of_arrival() -> None:
    plain, sent, results = SharedPoolScheduler(PLAIN, SETTINGS), [], []

    def do(*events: Event) -> None:
        for action in plain.step(0.0, list(events)):
            if isinstance(action, SendCall):
                sent.append(action.call_id)
            elif isinstance(action, DeliverResult):
                results.append((action.call_id, action.outcome))

    do(
        *(CallRequested(f"c{i}", 0, b"tariff 1", 1000.0) for i in range(8)),
        CallRequested("order", 1, b"o", 1000.0),
    )
    assert sent == [f"c{i}" for i in range(8)]  # the order waits behind a full pool
    do(CallCompleted(1, "c0", Outcome.TIMEOUT))
    assert sent[-1] == "order" and results == [("c0", Outcome.ERROR)]
    do(CallAbandoned("c1"), CallCompleted(1, "c1", Outcome.OK))
    assert len(results) == 1


def test_drill_with_a_dead_dependency_breaks_no_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dead tariff service: previews get partial responses, orders complete ones, within the budget."""
    monkeypatch.setattr(drill, "FROM_MS", 500.0)
    monkeypatch.setattr(drill, "TO_MS", 2500.0)
    monkeypatch.setattr(drill, "LENGTH_MS", 3000.0)
    done = drill.run(drill.Job(3, 2, 0.8, (("tariff", "dead"),), False))
    assert done["rules"] == {} and done["over_budget"] == done["partial_orders"] == 0, done
    assert done["partial"] > 5 and drill.worth_fraction([done]) > 0.5


def test_drill_reports_a_failure_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    """An error in the event loop must end the run instead of stalling it."""

    def fail(self: SharedStore, now: float) -> list[str]:
        raise OSError("planted")

    monkeypatch.setattr(SharedStore, "advance", fail)
    done = drill.run(drill.Job(3, 2, 0.8, (), False))
    assert "planted" in done["failed"]


def test_drill_reports_each_failed_claim() -> None:
    good = dict.fromkeys(
        (
            "lost",
            "duplicates",
            "drain_broken",
            "fell_over",
            "partial_orders",
            "over_budget",
            "recovery_ms",
            "failed_runs",
        ),
        0,
    ) | {"unrelated_worth": 1.0, "slow_ratio": 1.6, "slow_previews": 0.4}
    assert drill.failed(good) == []
    for key, bad in (("over_budget", 1), ("slow_ratio", 1.2), ("recovery_ms", 2500.0)):
        told = drill.failed(good | {key: bad})
        assert len(told) == 1 and key in told[0]
    assert json.dumps(drill.plan(1, 2, 2, False)[0].story) == '"none"'
    assert len(drill.plan(1, 1, 2, True)) == 2 * (1 + 9 + 9 + 36 + 1)
