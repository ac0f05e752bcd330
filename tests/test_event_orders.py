"""Collections of the node under events in any order: twice, late, after the end, and what 'cannot come'.

Each state machine keeps what must hold of one collection; hypothesis chooses the events. An exception that
the event loop would catch fails the test, too.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from spindlerelay import api
from spindlerelay.admission.controller import AdmissionController
from spindlerelay.backends.interpreter_protocol import (
    CallRequested,
    CommandRejected,
    InterpreterStarted,
    RunFinished,
)
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.dependencies import connection_pool
from spindlerelay.dependencies.call_counters import OUTCOME_COUNTERS
from spindlerelay.dependencies.call_scheduler import CallScheduler
from spindlerelay.dependencies.routing_table import RoutingTable
from spindlerelay.maintenance import lease_ledger
from spindlerelay.maintenance.lease_ledger import Budget, Denied, LeaseLedger, Voter
from spindlerelay.membership.failure_detector import FailureDetector
from spindlerelay.membership.member_table import INACTIVE
from spindlerelay.membership.messages import GossipUpdate, MemberStatus, Message, MessageKind, NodeReport
from spindlerelay.node.frontend import FinalResponse, IncomingRequest
from spindlerelay.node.idempotency import IdempotencyTable
from spindlerelay.node.node import Node
from spindlerelay.transport.event_loop import EventLoop
from tests import driver, scheduler_driver
from tests.test_guards import RecordingBackend

MACHINE_SETTINGS = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
NAMES = st.sampled_from(["n0", "n1", "n2", "n3"])  # n0 is the detector's own
INCARNATIONS = st.integers(0, 4)
STATUSES = st.sampled_from(list(MemberStatus))
AGES_MS = st.sampled_from([0.0, 50.0, 900.0, 40_000.0, 700_000.0])
SPANS_MS = st.sampled_from([0.0, 5.0, 100.0, 450.0, 3000.0, 20_000.0, 700_000.0])


class MembershipOrders(RuleBasedStateMachine):
    """A failure detector and its member table."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.detector = FailureDetector("n0", ("127.0.0.1", 7000), [("127.0.0.1", 7001)], random.Random(1), 2)

    def update(self, name: str, status: MemberStatus, incarnation: int, age_ms: float) -> GossipUpdate:
        report = NodeReport(0.5, 4.0, "passing") if status is MemberStatus.ALIVE else None
        address = ("127.0.0.1", 7000 + int(name[1]))
        return GossipUpdate(name, address, status, incarnation, age_ms, "n3", report)

    @rule(
        kind=st.sampled_from(list(MessageKind)),
        sequence=st.integers(0, 12),
        sender=NAMES,
        sender_status=STATUSES,
        incarnation=INCARNATIONS,
        subject=NAMES,
        updates=st.lists(st.tuples(NAMES, STATUSES, INCARNATIONS, AGES_MS), max_size=3),
    )
    def receive(
        self,
        kind: MessageKind,
        sequence: int,
        sender: str,
        sender_status: MemberStatus,
        incarnation: int,
        subject: str,
        updates: list[tuple[str, MemberStatus, int, float]],
    ) -> None:
        sender_update = self.update(sender, sender_status, incarnation, 0.0)
        received = tuple(self.update(*each) for each in updates)
        message = Message(kind, sequence, subject, sender_update, received)
        self.detector.step(self.now_ms, [message])

    @rule(span_ms=SPANS_MS)
    def wait(self, span_ms: float) -> None:
        self.now_ms += span_ms
        self.detector.step(self.now_ms)

    @rule()
    def leave(self) -> None:
        self.detector.leave(self.now_ms)

    @invariant()
    def active_names_are_those_of_active_members(self) -> None:
        active = [name for name, member in self.detector.members.items() if member.status not in INACTIVE]
        assert sorted(self.detector._table.active_names) == sorted(active)
        assert [member.name for member in self.detector.active_members()] == self.detector._table.active_names

    def teardown(self) -> None:
        for _ in range(3):
            self.now_ms += 100.0
            self.detector.step(self.now_ms)


class IdempotencyOrders(RuleBasedStateMachine):
    """The idempotency table, with attempts of three keys."""

    def __init__(self) -> None:
        super().__init__()
        self.table = IdempotencyTable(memory_mb=33.0)
        self.now_ms = 0.0
        self.keys: dict[int, str] = {}
        self.ran_until_ms: dict[str, float] = {}

    attempts = st.integers(1, 12)

    keys_drawn = st.sampled_from(["a", "b", "c"])

    @rule(key=keys_drawn, age_ms=st.sampled_from([0.0, 400.0]), content=st.integers(1, 2))
    def link(self, key: str, age_ms: float, content: int) -> None:
        attempt = len(self.keys) + 1
        self.keys[attempt] = key
        received_at_ms = self.now_ms - age_ms
        original = self.table.link(key, attempt, received_at_ms, self.now_ms, content)
        if received_at_ms <= self.ran_until_ms.get(key, -math.inf):
            assert original, "an attempt within the window of one that ran is a repeat"

    @rule(attempt=attempts, ttl_ms=st.sampled_from([0.001, 300.0, 9000.0]))
    def reserve(self, attempt: int, ttl_ms: float) -> None:
        if attempt in self.keys:
            self.table.reserve(attempt, self.keys[attempt], self.now_ms + ttl_ms)

    @rule(attempt=attempts)
    def run_if_allowed(self, attempt: int) -> None:
        key = self.keys.get(attempt)
        if key is None or not self.table.may_run(attempt, key):
            return
        assert self.now_ms > self.ran_until_ms.get(key, -math.inf), "a second run within the window"
        self.table.record_run(attempt, self.now_ms + 1000.0)
        self.ran_until_ms[key] = self.now_ms + 1000.0

    @rule(attempt=attempts)
    def revoke_run(self, attempt: int) -> None:
        key = self.keys.get(attempt)
        if key is not None and (record := self.table.find_run(key)) and record.run_id == attempt:
            self.ran_until_ms.pop(key, None)
        self.table.revoke_run(attempt)

    @rule(attempt=attempts, result=st.sampled_from([None, b"r" * 100, b"r" * 700_000]))
    def finish(self, attempt: int, result: bytes | None) -> None:
        self.table.finish(attempt, result)

    @rule(original=attempts, attempt=attempts)
    def coalesce(self, original: int, attempt: int) -> None:
        self.table.coalesce(original, attempt)

    @rule(original=attempts, attempt=attempts)
    def detach(self, original: int, attempt: int) -> None:
        self.table.detach(original, attempt)

    @rule(attempt=attempts)
    def evict(self, attempt: int) -> None:
        self.table.evict(attempt)

    @rule()
    def end_batch(self) -> None:
        self.table.end_batch()

    @rule(span_ms=st.sampled_from([1.0, 500.0, 3000.0, 20_000.0]))
    def wait(self, span_ms: float) -> None:
        self.table.end_batch()
        self.now_ms += span_ms
        self.table.expire(self.now_ms)

    @invariant()
    def indices_agree(self) -> None:
        table = self.table
        assert all(
            table._by_original_id.get(record.original_id) is record for record in table._records.values()
        )
        assert set(map(id, table._by_original_id.values())) == set(map(id, table._records.values()))
        cached = sum(len(record.result or b"") for record in table._records.values())
        assert table.result_bytes == cached <= table.max_result_bytes

    def teardown(self) -> None:
        """Once all attempts have ended and their windows are over, nothing is left."""
        self.table.end_batch()
        for attempt in self.keys:
            self.table.finish(attempt, None)
        for _ in range(4):
            self.now_ms += 60_000.0
            self.table.expire(self.now_ms)
        assert not len(self.table) and not self.table._by_original_id and not self.table.result_bytes


class LeaseOrders(RuleBasedStateMachine):
    """The lease ledger: budget, fencing tokens and voters."""

    BUDGET = Budget(2, 1)

    def __init__(self) -> None:
        super().__init__()
        self.ledger = LeaseLedger(voters=(Voter("n1", "f1"),))

    def take(self, changed: LeaseLedger | Denied) -> None:
        if isinstance(changed, Denied):
            assert changed.explanation and "\n" not in changed.explanation
            return
        assert changed == self.ledger or changed.version == self.ledger.version + 1
        assert changed.last_lease_number >= self.ledger.last_lease_number
        self.ledger = changed

    sites = st.sampled_from(["", "nord", "sud"])

    @rule(name=NAMES, site=sites, out=st.lists(st.tuples(NAMES, NAMES), max_size=2))
    def grant(self, name: str, site: str, out: list[tuple[str, str]]) -> None:
        self.take(lease_ledger.grant(self.ledger, name, site, self.BUDGET, out))

    @rule(name=NAMES, number=st.integers(0, 6))
    def release(self, name: str, number: int) -> None:
        before = self.ledger.lease_of(name)
        self.take(lease_ledger.release(self.ledger, name, number))
        assert self.ledger.lease_of(name) == (None if before and before.number == number else before)

    @rule(reason=st.sampled_from(["", "audit"]))
    def hold(self, reason: str) -> None:
        self.take(lease_ledger.set_hold(self.ledger, reason))

    @rule(name=NAMES, folder=st.sampled_from(["f1", "f2"]), add=st.booleans())
    def change_voter(self, name: str, folder: str, add: bool) -> None:
        change = lease_ledger.add_voter if add else lease_ledger.remove_voter
        self.take(change(self.ledger, Voter(name, folder)))

    @invariant()
    def budget_and_voters_hold(self) -> None:
        leases = self.ledger.leases
        assert len({lease.node_name for lease in leases}) == len(leases) <= self.BUDGET.max_leases
        assert max(Counter(lease.site for lease in leases).values(), default=0) <= 1
        assert all(lease.number <= self.ledger.last_lease_number for lease in leases)
        assert len({voter.node_name for voter in self.ledger.voters}) == len(self.ledger.voters) >= 1


class FakeStoreClient:
    """Stands for one dependency's connections; a call on a closed one is a fault."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], on_reply: Any) -> None:
        self.on_reply = on_reply
        self.closed = False

    def call(self, call_id: str, timeout_ms: float, body: bytes) -> None:
        assert not self.closed and timeout_ms > 0

    def cancel(self, call_id: str) -> None:
        assert not self.closed

    def unavailable_ms(self) -> float:
        return 0.0

    def close(self) -> None:
        assert not self.closed
        self.closed = True


TABLES = (
    scheduler_driver.PLAIN,
    RoutingTable((scheduler_driver.ARCHIVE,)),
    RoutingTable(
        (
            scheduler_driver.ARCHIVE._replace(address=("127.0.0.1", 9)),
            scheduler_driver.TARIFF._replace(fallbacks=("archive", "skip"), max_concurrency=1),
        )
    ),
)


class ConnectionPoolOrders(RuleBasedStateMachine):
    """The connection pool with its scheduler: calls, replies, abandonments and new routing tables."""

    calls = st.sampled_from([f"c{number}" for number in range(6)])

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1000.0
        self.results: Counter[str] = Counter()
        self.requested: Counter[str] = Counter()
        self.clients: list[FakeStoreClient] = []
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(connection_pool, "StoreClient", self.make_client)
        loop = EventLoop(lambda: self.now_ms)
        scheduler = CallScheduler(scheduler_driver.PLAIN, scheduler_driver.SETTINGS, 1)
        self.pool = connection_pool.ConnectionPool(loop, scheduler, scheduler_driver.SETTINGS, self.on_reply)

    def make_client(self, *args: Any) -> FakeStoreClient:
        self.clients.append(FakeStoreClient(*args))
        return self.clients[-1]

    def on_reply(self, reply: StoreReply) -> None:
        self.results[reply.call_id] += 1
        assert self.results[reply.call_id] <= self.requested[reply.call_id], "a second result"

    @rule(call=calls, cls=st.integers(0, 1), body=st.sampled_from([b"tariff 1", b"row"]))
    def start_call(self, call: str, cls: int, body: bytes) -> None:
        self.requested[call] += 1
        request = IncomingRequest(call, cls, self.now_ms, self.now_ms + 4000.0, b"body")
        self.pool.start_call(request, 900.0, body)

    @rule(call=calls, run_ended=st.booleans())
    def give_up(self, call: str, run_ended: bool) -> None:
        (self.pool.run_ended if run_ended else self.pool.cancel)(call)

    @rule(client=st.integers(0, 5), call=calls, outcome=st.sampled_from(list(OUTCOME_COUNTERS)))
    def reply(self, client: int, call: str, outcome: api.Outcome) -> None:
        self.clients[client % len(self.clients)].on_reply(StoreReply(call, outcome, b"row"))

    @rule(table=st.sampled_from(TABLES))
    def reload(self, table: RoutingTable) -> None:
        self.pool.reload(table)

    @rule(span_ms=st.sampled_from([1.0, 60.0, 500.0, 5000.0]))
    def wait(self, span_ms: float) -> None:
        self.now_ms += span_ms
        self.pool._process()

    @invariant()
    def connections_are_those_of_known_dependencies(self) -> None:
        assert set(self.pool._connections) == set(self.pool._scheduler._by_number)  # type: ignore[attr-defined]

    def teardown(self) -> None:
        self.patch.undo()


NODE_SETTINGS = driver.settings(
    driver.PLAIN._replace(name="page", calls_dependency=True, deadline_ms=1500.0, latency_objective_ms=700.0),
    driver.KEYED._replace(name="order", idempotency_window_ms=3000.0, deadline_ms=2000.0),
    driver.UNSAFE._replace(name="seal", deadline_ms=1000.0),
    drain_grace_ms=800.0,
    cache_ttl_ms=300.0,
    dependency_topology=api.DependencyTopology.SHARED,
    dependency_call_budget=4.0,
)


class NodeOrders(RuleBasedStateMachine):
    """The request table with the admission controller: the node between a front end and recorded backends."""

    calls = st.sampled_from([f"{number:016x}" for number in range(8)])

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1_000_000.0
        self.loop = EventLoop(lambda: self.now_ms)
        self.responses: Counter[int] = Counter()
        self.admitted: list[IncomingRequest] = []
        self.notices = 0
        self.node = Node(self.loop, NODE_SETTINGS, AdmissionController(NODE_SETTINGS, 1))
        backends = self.node.context.backends
        backends.interpreter = backends.store = backends.discovery = RecordingBackend()  # type: ignore[assignment]
        self.node.on_interpreter_started(InterpreterStarted("running", 0.0))
        self.loop.call_later(0.0, self.node._watchdog)
        self.loop.call_later(0.0, self.node._expire)

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        self.responses[id(request)] += 1
        assert self.responses[id(request)] == 1, "a second response"

    def is_reachable(self, request: IncomingRequest) -> bool:
        return self.admitted.index(request) % 2 == 0

    def release(self, request: IncomingRequest) -> None:
        self.responses[id(request)] += 1  # owed on another connection from now on

    def set_idle_timeout(self, timeout_ms: float) -> None:
        pass

    def start_draining(self) -> None:
        pass

    def is_idle(self) -> bool:
        return False

    def stop_accepting(self) -> None:
        pass

    def close_connections(self, skip_last_read: bool = False) -> None:
        pass

    def is_closed(self) -> bool:
        return True

    ages_ms = st.sampled_from([0.0, 300.0, 2500.0])

    @rule(call=calls, cls=st.integers(0, 2), key=st.integers(0, 1), age_ms=ages_ms)
    def admit(self, call: str, cls: int, key: int, age_ms: float) -> None:
        received_at_ms = self.now_ms - age_ms
        request = IncomingRequest(
            call,
            cls,
            received_at_ms,
            received_at_ms + 1800.0,
            b"body",
            queued_memory_kb=10.0,
            idempotency_key=f"{key:032x}" if cls == 1 else "",
            resource_key=key if cls == 0 else 0,
        )
        self.admitted.append(request)
        self.node.admit(self, request)

    @rule(call=calls, end=st.sampled_from(["fine", "fault", "broken_off", "late"]))
    def run_finished(self, call: str, end: str) -> None:
        self.notices += 1
        self.node.on_interpreter_notice(RunFinished(self.notices, call, end, 5.0, b"result"))

    @rule(call=calls)
    def call_requested(self, call: str) -> None:
        self.notices += 1
        self.node.on_interpreter_notice(CallRequested(self.notices, call, b"row"))

    @rule(call=calls, command=st.sampled_from(["APPLY", "RESOLVE", "STUB", "BREAK"]))
    def command_rejected(self, call: str, command: str) -> None:
        self.node.on_interpreter_notice(CommandRejected(command, call))

    @rule(call=calls)
    def command_unconfirmed(self, call: str) -> None:
        self.node.run_tracker.on_unconfirmed(call)

    @rule(call=calls, outcome=st.sampled_from(list(api.Outcome)))
    def store_replied(self, call: str, outcome: api.Outcome) -> None:
        self.node.run_tracker.on_reply(StoreReply(call, outcome, b"row"))

    @rule(which=st.integers(0, 40), withdrawn=st.booleans())
    def caller_disconnected(self, which: int, withdrawn: bool) -> None:
        if self.admitted:
            request = self.admitted[which % len(self.admitted)]
            self.node.caller_disconnected(request, withdrawn)

    @rule()
    def drain(self) -> None:
        self.node.drain(2500.0)

    @rule(span_ms=st.sampled_from([0.0, 5.0, 60.0, 400.0, 2500.0]))
    def wait(self, span_ms: float) -> None:
        self.now_ms += span_ms
        self.turn()

    def turn(self) -> None:
        for timer in self.loop.timers.pop_due(self.now_ms):
            timer.action()
        self.node.process_events()

    @invariant()
    def nothing_was_caught(self) -> None:
        assert not self.loop.internal_errors.counts

    @invariant()
    def tables_agree(self) -> None:
        requests = self.node.context.requests
        assert all(requests.by_call_id.get(each.incoming.call_id) is each for each in requests.by_id.values())
        assert len(requests.by_id) == len(requests.by_call_id)

    def teardown(self) -> None:
        """Past every due time each request has its one response."""
        for _ in range(60):
            self.now_ms += 50.0
            self.turn()
        self.nothing_was_caught()
        assert not self.node.outstanding()
        assert all(self.responses[id(request)] == 1 for request in self.admitted)


MACHINES = (
    MembershipOrders,
    IdempotencyOrders,
    LeaseOrders,
    ConnectionPoolOrders,
    NodeOrders,
)


@pytest.mark.parametrize("machine", MACHINES, ids=lambda machine: machine.__name__)
def test_events_in_any_order_leave_the_state_consistent(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)  # type: ignore[no-untyped-call]
