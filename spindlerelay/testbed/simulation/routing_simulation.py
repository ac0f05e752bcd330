"""Callers that balance load by ``spindlerelay.routing`` among nodes in virtual time, with faults.

A node is two workers and a queue; nothing of the product but the load balancer runs, so a seed takes a
fraction of a second. Checked: a healthy listed node is tried again within ``STARVED_MS`` after the last
fault; no caller believes that there is no node; a node that fails everything at once draws no more than
``MAX_FAILING_NODE_LOAD`` of an even distribution, unless more nodes fail than may be ejected.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from spindlerelay.routing.load_balancer import EMPTY_LIST_GRACE_MS, CallerPosition, LoadBalancer
from spindlerelay.routing.outlier_detection import MAX_EJECTED_FRACTION
from spindlerelay.testbed.simulation.virtual_clock import EventQueue

CALLERS = 6
REQUESTS_PER_S_PER_CALLER = 4.0
SUBSET_SIZE = 5
RUN_MS = 300.0
WORKERS_PER_NODE = 2
QUEUE_LENGTH = 4
SLOWDOWN = 5.0  # of a node with the fault "slow"
FAILURE_RESPONSE_MS = 2.0
REJECTION_RESPONSE_MS = 1.0
MAX_ATTEMPTS = 3
STARVED_MS = 12_000.0  # after the last fault: the longest ejection, and a slow start
# Relative to an even distribution. Includes each caller's first failures and its probes after an ejection.
MAX_FAILING_NODE_LOAD = 0.75
MIN_EXPECTED_ATTEMPTS = 25.0  # of a failing node; with fewer, the callers' first failures dominate
FAILURE_NOTICED_MS = 3000.0
SETTLE_MS = 45_000.0  # from the end of the last fault to the end of the run
ENDPOINT_LIST_MARGIN_MS = 5000.0  # by which a fault ends before an empty endpoint list is believed


class RoutingFault(NamedTuple):
    """A fault of some nodes or of the endpoint list.

    ``fail``: the nodes answer at once with an error. ``slow``: they take five times as long. ``half``: they
    are missing in the endpoint list. ``empty``: the endpoint list is empty.
    """

    at_ms: float
    kind: str
    nodes: tuple[int, ...]
    duration_ms: float


class RoutingSimulation(EventQueue):
    """One run. ``make_balancer`` may plant a fault in a load balancer."""

    def __init__(
        self,
        node_count: int,
        seed: int,
        faults: tuple[RoutingFault, ...],
        length_ms: float,
        make_balancer: Callable[[random.Random, CallerPosition], LoadBalancer] = LoadBalancer,
    ) -> None:
        super().__init__()
        self.length_ms = length_ms
        self.names = [f"n{number}" for number in range(node_count)]
        self.violations: list[str] = []
        self._random = random.Random(f"choices {seed}")
        self._balancers = [
            make_balancer(random.Random(self._random.random()), CallerPosition(number, CALLERS, SUBSET_SIZE))
            for number in range(CALLERS)
        ]
        self._faults = faults
        self._failing: Counter[str] = Counter()
        self._slow: Counter[str] = Counter()
        self._in_flight: Counter[str] = Counter()
        self._listed = set(self.names)
        self._min_listed = node_count
        self._last_attempt_ms = dict.fromkeys(self.names, 0.0)
        self._attempts_on_failing: Counter[str] = Counter()  # of nodes whose failures were noticeable
        self._attempts_during_failures = 0
        self._failing_since_ms: dict[str, float] = {}

    def run(self) -> tuple[str, ...]:
        """Run to the end and return the violations."""
        self._publish_endpoints()
        for fault in self._faults:
            self.schedule(fault.at_ms, partial(self._apply, fault, 1))
            self.schedule(fault.at_ms + fault.duration_ms, partial(self._apply, fault, -1))
        for balancer in self._balancers:
            self.schedule(self._random.uniform(0.0, 500.0), partial(self._send_request, balancer))
        self.run_until(self.length_ms)
        self._check()
        return tuple(self.violations)

    def _publish_endpoints(self) -> None:
        for balancer in self._balancers:
            balancer.update_endpoints(self.now_ms, {name: 1.0 for name in self.names if name in self._listed})

    def _apply(self, fault: RoutingFault, change: int) -> None:
        """Begin a fault (``change`` is 1) or end it (-1)."""
        names = [self.names[number] for number in fault.nodes]
        match fault.kind:
            case "fail":
                for name in names:
                    self._failing[name] += change
                    self._failing_since_ms[name] = self.now_ms
            case "slow":
                for name in names:
                    self._slow[name] += change
            case _:
                missing = set(self.names) if fault.kind == "empty" else set(names)
                self._listed = self._listed - missing if change > 0 else self._listed | missing
                # An empty list is not believed.
                self._min_listed = min(self._min_listed, len(self._listed) or self._min_listed)
                self._publish_endpoints()

    def _send_request(self, balancer: LoadBalancer) -> None:
        interval_ms = self._random.expovariate(REQUESTS_PER_S_PER_CALLER) * 1000.0
        self.schedule(self.now_ms + interval_ms, partial(self._send_request, balancer))
        self._attempt(balancer, set())

    def _attempt(self, balancer: LoadBalancer, attempted: set[str]) -> None:
        name = balancer.choose(self.now_ms, attempted)
        if name is None:
            if not balancer.weights:  # else all nodes have rejected the request or are ejected
                self.violations.append(f"at {self.now_ms:.0f} ms a caller knew nobody to try")
            return
        attempted.add(name)
        balancer.note_sent(self.now_ms, name)
        self._last_attempt_ms[name] = self.now_ms
        if self._failing[name] > 0:
            self._attempts_on_failing[name] += self._failure_noticeable(name)
            self._respond_after(FAILURE_RESPONSE_MS, balancer, name, "failed")
        elif self._in_flight[name] >= WORKERS_PER_NODE + QUEUE_LENGTH:
            self._respond_after(REJECTION_RESPONSE_MS, balancer, name, "refused")
            if len(attempted) < MAX_ATTEMPTS:
                retry_ms = self.now_ms + REJECTION_RESPONSE_MS
                self.schedule(retry_ms, partial(self._attempt, balancer, attempted))
        else:
            self._in_flight[name] += 1
            queueing = max(0, self._in_flight[name] - WORKERS_PER_NODE) / WORKERS_PER_NODE + 1.0
            slowdown = SLOWDOWN if self._slow[name] > 0 else 1.0
            latency_ms = RUN_MS * queueing * slowdown * self._random.uniform(0.5, 1.5)
            self._respond_after(latency_ms, balancer, name, "served")
        self._attempts_during_failures += any(
            count > 0 and self._failure_noticeable(each) for each, count in self._failing.items()
        )

    def _failure_noticeable(self, name: str) -> bool:
        return self.now_ms - self._failing_since_ms[name] > FAILURE_NOTICED_MS

    def _respond_after(self, latency_ms: float, balancer: LoadBalancer, name: str, outcome: str) -> None:
        def respond() -> None:
            self._in_flight[name] -= outcome == "served"
            balancer.note_end(self.now_ms, name, latency_ms, outcome)

        self.schedule(self.now_ms + latency_ms, respond)

    def _check(self) -> None:
        for name in self.names:
            if self.length_ms - self._last_attempt_ms[name] > STARVED_MS:
                self.violations.append(
                    f"{name} is well, and nobody has tried it for {STARVED_MS / 1000:.0f} s"
                )
        if len(self._failing_since_ms) > MAX_EJECTED_FRACTION * self._min_listed:
            return  # more than may be ejected at once
        expected = self._attempts_during_failures / self._min_listed
        for name, count in self._attempts_on_failing.items():
            if expected >= MIN_EXPECTED_ATTEMPTS and count > MAX_FAILING_NODE_LOAD * expected:
                self.violations.append(
                    f"{name} failed everything, and drew {count / expected:.2f} of its share"
                )


def draw(seed: int) -> tuple[int, tuple[RoutingFault, ...], float]:
    """Return node count, faults and length in ms of a seed: the same on every machine."""
    rng = random.Random(f"troubles of choices {seed}")
    node_count = rng.randint(8, 16)
    faults = []
    last_end_ms = 0.0
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(("fail", "fail", "slow", "empty", "half"))
        fraction = {"fail": 0.2, "slow": 0.4, "half": 0.5, "empty": 0.0}[kind]
        nodes = tuple(rng.sample(range(node_count), max(1, int(fraction * node_count))))
        if rng.random() < 0.15 and kind == "fail":
            nodes = tuple(range(node_count - 1))  # all but one
        duration_ms = min(rng.uniform(2000.0, 15_000.0), EMPTY_LIST_GRACE_MS - ENDPOINT_LIST_MARGIN_MS)
        faults.append(RoutingFault(rng.uniform(1000.0, 6000.0), kind, nodes, duration_ms))
        last_end_ms = max(last_end_ms, faults[-1].at_ms + duration_ms)
    return node_count, tuple(faults), last_end_ms + SETTLE_MS


def play(
    seed: int, make_balancer: Callable[[random.Random, CallerPosition], LoadBalancer] = LoadBalancer
) -> tuple[str, ...]:
    """Return the violations of one seed."""
    node_count, faults, length_ms = draw(seed)
    return RoutingSimulation(node_count, seed, faults, length_ms, make_balancer).run()
