"""What the node guarantees whatever the admission controller does; it is scripted, backends are recorded."""

from __future__ import annotations

import socket
from collections import Counter
from typing import Any

import pytest

from spindlerelay import api
from spindlerelay.backends.discovery_client import (
    CHANGE_REPEAT_INTERVAL_MS,
    REPORT_INTERVAL_MS,
    DiscoveryClient,
)
from spindlerelay.backends.interpreter_protocol import (
    CallRequested,
    CommandRejected,
    InterpreterStarted,
    RunFinished,
)
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.node.frontend import Failure, FinalResponse, IncomingRequest, Rejection, Success
from spindlerelay.node.node import Node
from spindlerelay.node.run_tracker import REQUEST_OVER_MARGIN_MS
from spindlerelay.transport.backoff import Backoff
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import unix_time_ms
from tests.driver import KEYED, PLAIN, settings

A, B, C = "a" * 16, "b" * 16, "c" * 16


class ScriptedController:
    """An admission controller that returns scripted actions."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.next_actions: list[Any] = []

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        self.events += events
        actions, self.next_actions = self.next_actions, []
        if None in actions:
            raise ValueError("scripted fault")
        return actions

    def status(self) -> api.ControllerStatus:
        return api.ControllerStatus()


class RecordingBackend:
    """Stands for every backend and for the front end: records each call as a tuple."""

    gauges, gauges_tag, interpreter_started_at_ms = (0.5, 1.0), "", 0.0
    down = 0.0

    def unavailable_ms(self) -> float:
        return self.down

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.calls.append((name, *args))


class NodeBench:
    def __init__(self) -> None:
        self.loop, self.controller, self.backends = EventLoop(), ScriptedController(), RecordingBackend()
        self.responses: list[tuple[str, FinalResponse]] = []
        self.reachable = True
        self.node = Node(
            self.loop, settings(PLAIN._replace(name="page"), KEYED._replace(name="order")), self.controller
        )
        backends = self.node.context.backends
        backends.interpreter = backends.store = backends.discovery = self.backends  # type: ignore[assignment]
        self.node.on_interpreter_started(InterpreterStarted("running", 0.0))

    def respond(self, ask: IncomingRequest, outcome: FinalResponse) -> None:
        self.responses.append((ask.call_id, outcome))

    def is_reachable(self, ask: IncomingRequest) -> bool:
        return self.reachable

    def make_request(
        self, call: str, cls: int = 0, ago: float = 0.0, ttl: float = 60_000.0, body: bytes = b"body"
    ) -> IncomingRequest:
        recv = unix_time_ms() - ago
        return IncomingRequest(call, cls, recv, recv + ttl, body, idempotency_key="d" * 32 if cls else "")

    def admit(self, call: str, cls: int = 0, ago: float = 0.0, ttl: float = 60_000.0) -> int:
        self.node.admit(self, self.make_request(call, cls, ago, ttl))  # type: ignore[arg-type]
        return self.node.context.requests.last_id

    def execute(self, *actions: Any) -> None:
        self.controller.next_actions = list(actions)
        self.node.context.pending_events.append(api.TimerFired(0))
        self.node.process_events()

    def calls_of(self, verb: str) -> list[tuple[Any, ...]]:
        return [entry for entry in self.backends.calls if entry[0] == verb]


@pytest.fixture
def bench() -> NodeBench:
    return NodeBench()


def test_a_request_gets_one_answer_however_often_the_module_and_the_interpreter_speak(
    bench: NodeBench,
) -> None:
    rid = bench.admit(A)
    bench.execute(api.Run(rid), api.Run(rid), api.Fail(rid), api.Fail(rid), api.Reject(rid))
    bench.node.run_tracker.on_notice(RunFinished(1, A, "fine", 5.0, b"late"))
    bench.node.run_tracker.on_notice(RunFinished(2, A, "fine", 5.0, b"again"))
    assert bench.responses == [(A, Failure())]
    assert len(bench.calls_of("start_run")) == 1


def test_a_request_that_the_module_forgets_is_failed_when_due_and_not_run_after(bench: NodeBench) -> None:
    rid = bench.admit(A, ttl=10.0)
    while not bench.responses:
        bench.loop.run_once(bench.node.process_events)
    assert bench.responses == [(A, Failure("Late"))]
    bench.execute(api.Run(rid))
    assert api.CallerDisconnected(rid) in bench.controller.events and not bench.calls_of("start_run")


def test_a_fault_in_the_module_costs_a_step_and_no_answer(bench: NodeBench) -> None:
    rid = bench.admit(A, ttl=30.0)
    bench.execute(None)
    other = bench.admit(B)
    bench.execute("not an action", api.Run(other))
    bench.node.run_tracker.on_notice(RunFinished(1, B, "fine", 5.0, b"r"))
    while len(bench.responses) < 2:
        bench.loop.run_once(bench.node.process_events)
    assert rid and sorted(bench.responses) == [(A, Failure("Late")), (B, Success(b"r"))]


def test_a_keyed_try_never_runs_twice_nor_without_its_entry(bench: NodeBench) -> None:
    first, second = bench.admit(A, 1), bench.admit(B, 1)
    bench.execute(api.CacheResult(first, 9000.0), api.Run(first), api.Run(second))
    assert [entry[1] for entry in bench.calls_of("start_run")] == [A]
    assert bench.responses == [(B, Failure())]  # not 'never ran': its request has begun
    bench.execute(api.EvictResult(first))
    third = bench.admit(C, 1)
    bench.execute(api.CacheResult(third, 9000.0), api.Run(third))
    assert len(bench.calls_of("start_run")) == 1


def test_a_request_that_has_run_is_not_turned_away_but_served_from_its_result(bench: NodeBench) -> None:
    first = bench.admit(A, 1)
    bench.execute(api.CacheResult(first, 9000.0), api.Run(first))
    bench.node.run_tracker.on_notice(RunFinished(1, A, "fine", 5.0, b"receipt"))
    second = bench.admit(B, 1)
    bench.execute(api.Reject(second, 100.0))
    assert bench.responses == [(A, Success(b"receipt")), (B, Success(b"receipt"))]


def test_nothing_that_arrived_past_the_grace_is_run(bench: NodeBench) -> None:
    bench.node.drain(9000.0)
    late, early = bench.admit(A, ago=-2100.0), bench.admit(B, ago=-1900.0)
    bench.execute(api.Run(late), api.Run(early))
    assert bench.responses == [(A, Rejection())]
    assert [entry[1] for entry in bench.calls_of("start_run")] == [B]
    assert ("set_accepting", False) in bench.backends.calls and not bench.node.healthy


def test_the_grace_counts_from_a_notice_that_is_handled_late(bench: NodeBench) -> None:
    """A notice during the start or a long turn counted from its handling."""
    bench.node.drain(9000.0, notified_at_ms=unix_time_ms() - 1500.0)
    late, early = bench.admit(A, ago=-600.0), bench.admit(B, ago=-400.0)
    bench.execute(api.Run(late), api.Run(early))
    assert bench.responses == [(A, Rejection())]
    assert [entry[1] for entry in bench.calls_of("start_run")] == [B]
    drain = next(event for event in bench.controller.events if isinstance(event, api.DrainStarted))
    assert drain.elapsed_ms >= 1500.0 and drain.remaining_ms <= 7500.0


def test_a_drain_before_the_interpreter_is_reached_is_reported_with_the_time_since_the_notice(
    bench: NodeBench,
) -> None:
    """The event waited for the first step, and its times counted from there."""
    bench.node.context.started = False
    bench.node.drain(9000.0)
    bench.loop.now = lambda: unix_time_ms() + 1500.0
    bench.node.on_interpreter_started(InterpreterStarted("running", 0.0))
    bench.execute()
    drains = [event for event in bench.controller.events if isinstance(event, api.DrainStarted)]
    assert len(drains) == 1 and drains[0].elapsed_ms >= 1500.0 and drains[0].remaining_ms <= 7500.0


def test_what_is_read_past_the_grace_is_not_run_though_its_recv_looks_older(bench: NodeBench) -> None:
    """As by a clock that was set ahead before the notice: all that comes looks as if it had lain unread."""
    bench.node.drain(9000.0)
    bench.loop.now = lambda: unix_time_ms() + 2100.0
    rid = bench.admit(A, ago=-1873.0)
    bench.execute(api.Run(rid))
    assert bench.responses == [(A, Rejection())] and not bench.calls_of("start_run")


def test_followers_of_a_leader_that_is_dropped_unrun_fail_with_it(bench: NodeBench) -> None:
    first, second = bench.admit(A, 1), bench.admit(B, 1)
    bench.execute(
        api.CacheResult(first, 9000.0),
        api.RespondFromCache(second),
        api.Reject(first, 50.0, True),
        api.EvictResult(first),
    )
    assert bench.responses == [(B, Failure()), (A, Rejection(50.0, True))]
    bench.execute()
    assert api.RunCompleted(second, api.Outcome.ERROR) in [
        event._replace(duration_ms=0.0)
        for event in bench.controller.events
        if isinstance(event, api.RunCompleted)
    ]


def test_a_call_is_made_resolved_and_given_up_with_its_request(bench: NodeBench) -> None:
    rid, other = bench.admit(A), bench.admit(B)
    bench.execute(api.Run(rid), api.Run(other))
    bench.node.run_tracker.on_notice(CallRequested(1, A, b"q"))
    bench.node.run_tracker.on_notice(CallRequested(2, B, b"q"))
    bench.execute(api.CallDependency(rid, 250.0), api.CallDependency(other, 250.0), api.Fail(other))
    assert bench.calls_of("call") == [("call", A, 250.0, b"q"), ("call", B, 250.0, b"q")]
    assert ("cancel", B) in bench.backends.calls
    bench.node.run_tracker.on_reply(StoreReply(A, api.Outcome.OK, b"r"))
    bench.node.run_tracker.on_reply(StoreReply(B, api.Outcome.OK, b"r"))
    assert bench.calls_of("deliver_call_response") == [("deliver_call_response", A, b"r")]


def test_unconfirmed_response_is_skipped_by_the_number_of_its_call(bench: NodeBench) -> None:
    rid = bench.admit(A)
    bench.execute(api.Run(rid))
    bench.node.run_tracker.on_notice(CallRequested(1, A, b"q"))
    bench.execute(api.CallDependency(rid, 250.0))
    bench.node.run_tracker.on_reply(StoreReply(A, api.Outcome.OK, b"r"))
    bench.node.run_tracker.on_unconfirmed(A)
    bench.execute(api.SkipDependencyCall(rid))
    assert bench.calls_of("skip_call") == [("skip_call", A, 1)]
    reports = [event for event in bench.controller.events if isinstance(event, api.RunUnconfirmed)]
    assert reports == [api.RunUnconfirmed(rid, at_call=True)]


@pytest.mark.parametrize("decision", [api.Fail, api.Reject])
def test_repeat_that_the_controller_gives_up_gets_the_result_of_its_request(
    bench: NodeBench, decision: type[api.Fail | api.Reject]
) -> None:
    rid = bench.admit(A, 1)
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))
    bench.node.run_tracker.on_notice(RunFinished(1, A, "fine", 5.0, b"receipt"))
    bench.execute(decision(bench.admit(B, 1)))
    assert bench.responses == [(A, Success(b"receipt")), (B, Success(b"receipt"))]


def test_run_whose_start_was_lost_is_ended_once_its_request_is_over(bench: NodeBench) -> None:
    """Nothing ever ended such a run: it held its memory in the books for good."""
    rid = bench.admit(A, 1, ttl=20.0)
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))
    bench.node.run_tracker.on_unconfirmed(A)
    began_ms = bench.loop.now()
    while len(bench.calls_of("start_run")) < 2:
        bench.loop.run_once(bench.node.process_events)
    assert bench.loop.now() - began_ms > 20.0 and bench.responses == [(A, Failure("Late"))]
    bench.node.run_tracker.on_notice(RunFinished(1, A, "late", 0.0, b""))
    assert bench.node.running_calls() == []


def test_run_whose_start_proves_read_is_not_started_again(bench: NodeBench) -> None:
    rid = bench.admit(A, 1, ttl=20.0)
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))
    bench.node.run_tracker.on_unconfirmed(A)
    bench.node.run_tracker.on_notice(CallRequested(1, A, b"q"))
    end_ms = bench.loop.now() + 20.0 + 2 * REQUEST_OVER_MARGIN_MS
    while bench.loop.now() < end_ms:
        bench.loop.call_later(10.0, lambda: None)
        bench.loop.run_once(bench.node.process_events)
    assert len(bench.calls_of("start_run")) == 1


def test_unconfirmed_response_does_not_skip_the_next_call_that_proves_it(bench: NodeBench) -> None:
    """Report and next call came in one turn, and the decision on the report was carried out on the call."""
    rid = bench.admit(A)
    bench.execute(api.Run(rid))
    bench.node.run_tracker.on_notice(CallRequested(1, A, b"q"))
    bench.execute(api.CallDependency(rid, 250.0))
    bench.node.run_tracker.on_reply(StoreReply(A, api.Outcome.OK, b"r"))
    bench.node.process_events()
    bench.node.run_tracker.on_unconfirmed(A)
    bench.node.run_tracker.on_notice(CallRequested(2, A, b"q"))
    bench.node.process_events()
    assert not [event for event in bench.controller.events if isinstance(event, api.RunUnconfirmed)]
    assert isinstance(bench.controller.events[-1], api.DependencyCallRequested)


def test_a_keyed_try_that_found_no_room_in_the_table_is_turned_away_unrun(bench: NodeBench) -> None:
    bench.node.idempotency.max_records = 0
    rid = bench.admit(A, 1)
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))
    assert bench.responses == [(A, Rejection())] and not bench.calls_of("start_run")


def test_a_change_of_health_is_reported_three_times_since_any_report_may_get_lost() -> None:
    loop, service = EventLoop(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    service.bind(("127.0.0.1", 0))
    service.settimeout(5.0)
    announcer = DiscoveryClient(loop, service.getsockname(), "n3")
    announcer.start()
    loop.call_later(REPORT_INTERVAL_MS, lambda: announcer.set_accepting(False))
    loop.call_later(
        REPORT_INTERVAL_MS + 3 * CHANGE_REPEAT_INTERVAL_MS, lambda: setattr(loop, "running", False)
    )
    loop.run(lambda: None)
    told = [service.recv(100) for _ in range(4)]
    assert told == [b"announce n3 true"] + 3 * [b"announce n3 false"]


def test_nodes_whose_interpreters_come_up_at_one_instant_would_report_in_step_for_ever() -> None:
    now = [1000.0]
    loops = [EventLoop(now=lambda: now[0], seed=f"n{i} 0") for i in range(100)]
    service = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    service.bind(("127.0.0.1", 0))
    told: list[float] = []
    for i, loop in enumerate(loops):
        announcer = DiscoveryClient(loop, service.getsockname(), f"n{i}")
        announcer._report = lambda: told.append(now[0])  # type: ignore[method-assign]
        announcer.start()
    while now[0] < 5000.0:
        now[0] += 5.0
        for loop in loops:
            for timer in loop.timers.pop_due(now[0]):
                timer.action()
    bins = Counter(int(at / 10.0) for at in told)
    assert len(told) >= 100 * 15
    assert max(bins.values()) <= 3.0 * len(told) * 10.0 / 4000.0  # 18.8 times the mean without the spread


def test_waits_without_jitter_would_bring_a_fleet_back_to_a_lost_peer_in_step() -> None:
    firsts = [Backoff(20.0, 320.0, EventLoop(seed=f"n{i} 0").random).next_delay_ms() for i in range(100)]
    assert max(Counter(int(wait / 2.0) for wait in firsts).values()) <= 30 and max(firsts) <= 20.0
    waits = Backoff(20.0, 320.0, EventLoop(seed="n1 0").random)
    grown = [waits.next_delay_ms() for _ in range(400)][-300:]
    assert max(grown) <= 320.0 and 120.0 < sum(grown) / len(grown) < 200.0
    waits.reset()
    assert waits.next_delay_ms() <= 20.0


def test_nothing_raises_through_the_loop(bench: NodeBench) -> None:
    def fault() -> None:
        raise KeyError("scripted fault")

    bench.loop.call_later(0.0, fault)
    bench.loop.call_later(5.0, lambda: setattr(bench.loop, "running", False))
    bench.loop.run(fault)
    assert not bench.loop.running


def test_a_refused_command_ends_its_request(bench: NodeBench) -> None:
    rid = bench.admit(A)
    bench.execute(api.Run(rid))
    bench.node.run_tracker.on_notice(CommandRejected("APPLY", A))
    assert bench.responses == [(A, Failure())]
    keyed = bench.admit(B, 1)
    bench.execute(api.CacheResult(keyed, 9000.0), api.Run(keyed))
    bench.node.run_tracker.on_notice(CommandRejected("APPLY", B))
    later = bench.admit(C, 1)
    bench.execute(api.CacheResult(later, 9000.0), api.Run(later))
    assert [entry[1] for entry in bench.calls_of("start_run")] == [
        A,
        B,
        C,
    ]  # nothing had run: the key was free
    ends = [event.outcome for event in bench.controller.events if isinstance(event, api.RunCompleted)]
    assert ends == [api.Outcome.NEVER_STARTED, api.Outcome.NEVER_STARTED]  # no run times to learn from


def test_what_nobody_waits_for_is_given_up_unless_it_runs_and_then_its_result_is_kept(
    bench: NodeBench,
) -> None:
    held = bench.make_request(A, 1)
    bench.node.admit(bench, held)  # type: ignore[arg-type]
    rid = bench.node.context.requests.last_id
    bench.execute(api.CacheResult(rid, 9000.0))
    bench.node.caller_disconnected(held)
    bench.execute(api.EvictResult(rid))
    assert api.CallerDisconnected(rid) in bench.controller.events
    running = bench.make_request(B, 1)
    bench.node.admit(bench, running)  # type: ignore[arg-type]
    rid = bench.node.context.requests.last_id
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))  # the key was freed
    bench.node.caller_disconnected(running)
    bench.node.run_tracker.on_notice(RunFinished(1, B, "fine", 5.0, b"receipt"))
    bench.execute(api.RespondFromCache(bench.admit(C, 1)))
    assert (
        bench.responses[-1] == (C, Success(b"receipt"))
        and api.CallerDisconnected(rid) not in bench.controller.events
    )


def test_a_refused_stop_leaves_the_run_to_its_own_end(bench: NodeBench) -> None:
    """It ended the request as failed, and the result that came after was nobody's."""
    rid = bench.admit(A)
    bench.execute(api.Run(rid))
    bench.execute(api.CancelRun(rid))
    assert bench.calls_of("cancel_run") == [("cancel_run", A)]
    bench.node.run_tracker.on_notice(CommandRejected("BREAK", A))
    bench.node.run_tracker.on_notice(RunFinished(1, A, "fine", 5.0, b"page"))
    assert bench.responses == [(A, Success(b"page"))]
    bench.execute(api.CancelRun(rid))
    assert len(bench.calls_of("cancel_run")) == 1  # over: nothing to stop


def test_a_withdrawn_order_keeps_its_result_and_one_that_others_wait_for_goes_on(bench: NodeBench) -> None:
    ask = bench.make_request(A, 1)
    bench.node.admit(bench, ask)  # type: ignore[arg-type]
    rid = bench.node.context.requests.last_id
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))
    bench.node.caller_disconnected(ask, withdrawn=True)
    bench.execute(api.RespondFromCache(bench.admit(B, 1)))
    bench.node.run_tracker.on_notice(RunFinished(1, A, "fine", 5.0, b"receipt"))
    assert bench.responses == [(A, Failure("Withdrawn")), (B, Success(b"receipt"))]


def test_a_key_or_an_id_with_another_body_gets_an_error_and_no_result(bench: NodeBench) -> None:
    rid = bench.admit(A, 1)
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))
    bench.reachable = False
    bench.node.admit(bench, bench.make_request(A, 1, body=b"other"))  # type: ignore[arg-type]
    bench.node.admit(bench, bench.make_request(B, 1, body=b"other"))  # type: ignore[arg-type]
    bench.node.run_tracker.on_notice(RunFinished(1, A, "fine", 5.0, b"receipt"))
    bench.node.admit(bench, bench.make_request(C, 1, body=b"other"))  # type: ignore[arg-type]
    assert [type(outcome) for _, outcome in bench.responses] == [Failure, Failure, Success, Failure]
    assert bench.responses[2] == (A, Success(b"receipt"))
