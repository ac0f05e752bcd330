"""Failure detectors of many nodes in virtual time, with faults between them: who believes what of whom, when.

No node runs here, only what ``spindlerelay.membership`` decides: a thousand detectors fit one process, and a
seed takes a fraction of a second. Datagrams take ``DELAY_RANGE_MS``, get lost by chance, and pass no
partition. Every belief is compared with the truth; a violation is one that stays wrong.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from spindlerelay.membership.actions import MemberStatusChanged, SendMessage
from spindlerelay.membership.failure_detector import STEP_INTERVAL_MS, FailureDetector
from spindlerelay.membership.gossip_codec import encode
from spindlerelay.membership.messages import ALIVE, DEAD, LEFT, SUSPECT, Message, NodeReport
from spindlerelay.testbed.simulation.virtual_clock import EventQueue

DELAY_RANGE_MS = (0.1, 3.0)
CONVERGENCE_MS = 8000.0  # after the last fault, until every belief must be right
CHECK_INTERVAL_MS = 100.0
MAX_RECEIVED_WHILE_PAUSED = 500  # messages, as a kernel's buffer takes
SEED_NODES = 3
CLUSTER_NAME = "lab"
MAX_WRONG_BELIEFS_REPORTED = 3


class MembershipFault(NamedTuple):
    """A fault of some nodes.

    ``kill``, ``pause``, ``cut`` (a partition of the nodes from the rest), ``deaf`` and ``mute`` nodes,
    ``loss`` of a fraction of all datagrams. A killed node comes back after ``duration_ms`` with an
    incarnation of 0; it stays away if that is 0.
    """

    at_ms: float
    kind: str
    nodes: tuple[int, ...] = ()
    duration_ms: float = 0.0
    loss_probability: float = 0.0


class Outcome(NamedTuple):
    """The outcome of a run. Times in ms."""

    violations: tuple[str, ...]
    detection_times_ms: tuple[float, ...]  # from each kill until each living node knew of it
    false_deaths: int
    longest_false_death_ms: float  # of a false death, pauses and partitions left out
    convergence_ms: float  # from the end of the last partition until all beliefs were right; 0 without one
    messages_per_s: float  # sent by a node
    bytes_per_s: float


class _SimulatedMember:
    """One node: its detector, and its faults."""

    def __init__(self, number: int) -> None:
        self.name = f"n{number}"
        self.address = ("10.0.0.1", 1000 + number)
        self.detector: FailureDetector | None = None
        self.running = False
        self.paused_until_ms = 0.0
        self.received: list[Message] = []


class MembershipSimulation(EventQueue):
    """One run of ``count`` nodes. ``make`` may plant a fault in a detector."""

    def __init__(
        self,
        count: int,
        seed: int,
        troubles: tuple[MembershipFault, ...] = (),
        length_ms: float = 20_000.0,
        make: Callable[..., FailureDetector] = FailureDetector,
        measure_from: float = math.inf,
    ) -> None:
        super().__init__()
        self._random = random.Random(f"members {seed}")
        self._make_detector = make
        self._measure_from_ms = measure_from
        self._length_ms = length_ms
        self._members = [_SimulatedMember(number) for number in range(count)]
        self._by_address = {member.address: member for member in self._members}
        self._numbers = {member.name: number for number, member in enumerate(self._members)}
        self._faults = sorted(troubles)
        self._partition: dict[int, int] = {}  # node to side
        self._deaf: Counter[int] = Counter()
        self._mute: Counter[int] = Counter()
        self._loss_probability = 0.0
        self._sent_messages = 0
        self._sent_bytes = 0
        self._detection_ms: list[float] = []
        self._false_since_ms: dict[tuple[str, str], float] = {}  # observer and subject
        self._false_deaths = 0
        self._longest_false_ms = 0.0
        self._undetected_since_ms: dict[tuple[str, str], float] = {}  # observer and dead subject
        self._partition_healed_ms = 0.0
        self._converged_ms = 0.0

    def run(self) -> Outcome:
        """Run to the end and return the outcome."""
        for member in self._members:
            self.schedule(self._random.uniform(0.0, 300.0), partial(self._start, member, 1))
        for fault in self._faults:
            self.schedule(fault.at_ms, partial(self._apply, fault))
        self.schedule(CHECK_INTERVAL_MS, self._check_convergence)
        self.run_until(self._length_ms)
        violations = self._wrong_beliefs()[:MAX_WRONG_BELIEFS_REPORTED]
        running = sum(member.running for member in self._members) or 1
        node_seconds = max(1.0, self._length_ms - self._measure_from_ms) / 1000.0 * running
        healed_ms = self._partition_healed_ms
        return Outcome(
            violations=tuple(violations),
            detection_times_ms=tuple(self._detection_ms),
            false_deaths=self._false_deaths,
            longest_false_death_ms=self._longest_false_ms,
            convergence_ms=max(0.0, self._converged_ms - healed_ms) if healed_ms else 0.0,
            messages_per_s=self._sent_messages / node_seconds,
            bytes_per_s=self._sent_bytes / node_seconds,
        )

    # Nodes

    def _start(self, member: _SimulatedMember, incarnation: int) -> None:
        seeds = [each.address for each in self._members[:SEED_NODES]]
        rng = random.Random(self._random.random())
        detector = self._make_detector(member.name, member.address, seeds, rng, incarnation)
        detector.own_report = NodeReport(0.5, 4.0, "passing")
        member.detector = detector
        member.running = True
        member.paused_until_ms = 0.0
        member.received.clear()
        self._tick(member, detector)

    def _tick(self, member: _SimulatedMember, detector: FailureDetector) -> None:
        """Step one incarnation of a node and schedule its next tick."""
        if member.detector is not detector or not member.running:
            return
        if self.now_ms < member.paused_until_ms:
            self.schedule(member.paused_until_ms, partial(self._tick, member, detector))
            return
        received = member.received
        member.received = []
        self._execute(member, detector.step(self.now_ms, received))
        self.schedule(self.now_ms + STEP_INTERVAL_MS, partial(self._tick, member, detector))

    def _receive(self, member: _SimulatedMember, message: Message) -> None:
        if not member.running or member.detector is None:
            return
        if self.now_ms < member.paused_until_ms:
            if len(member.received) < MAX_RECEIVED_WHILE_PAUSED:
                member.received.append(message)
            return
        self._execute(member, member.detector.step(self.now_ms, [message]))

    def _execute(self, member: _SimulatedMember, actions: list[SendMessage | MemberStatusChanged]) -> None:
        impaired = bool(self._partition or self._mute or self._deaf)
        number = self._numbers[member.name]
        for action in actions:
            if isinstance(action, MemberStatusChanged):
                self._belief_changed(member, action)
                continue
            if self.now_ms >= self._measure_from_ms:
                self._sent_messages += 1
                self._sent_bytes += len(encode(CLUSTER_NAME, action.message))
            target = self._by_address.get(action.address)
            if target is None or (impaired and not self._passes(number, target)):
                continue
            if self._loss_probability and self._random.random() < self._loss_probability:
                continue
            delay_ms = self._random.uniform(*DELAY_RANGE_MS)
            self.schedule(self.now_ms + delay_ms, partial(self._receive, target, action.message))

    def _passes(self, source: int, target: _SimulatedMember) -> bool:
        number = self._numbers[target.name]
        if self._mute[source] or self._deaf[number]:
            return False
        return self._partition.get(source, 0) == self._partition.get(number, 0)

    # Faults

    def _apply(self, fault: MembershipFault) -> None:
        members = [self._members[number] for number in fault.nodes]
        end_ms = self.now_ms + fault.duration_ms
        match fault.kind:
            case "kill":
                for member in members:
                    self._kill(member)
                    if fault.duration_ms:
                        self.schedule(end_ms, partial(self._start, member, 0))
            case "pause":
                for member in members:
                    member.paused_until_ms = max(member.paused_until_ms, end_ms)
            case "cut":
                self._partition.update(dict.fromkeys(fault.nodes, 1))
                self.schedule(end_ms, self._heal_partition)
            case "deaf" | "mute":
                counter = self._deaf if fault.kind == "deaf" else self._mute
                counter.update(fault.nodes)
                self.schedule(end_ms, lambda: counter.subtract(fault.nodes))
            case "loss":
                self._loss_probability = fault.loss_probability
                self.schedule(end_ms, self._end_loss)

    def _heal_partition(self) -> None:
        self._partition.clear()
        self._partition_healed_ms = self.now_ms
        self._converged_ms = self.now_ms

    def _end_loss(self) -> None:
        self._loss_probability = 0.0

    def _kill(self, member: _SimulatedMember) -> None:
        if not member.running:
            return
        member.running = False
        member.detector = None
        for observer in self._members:
            self._false_since_ms.pop((member.name, observer.name), None)
            self._false_since_ms.pop((observer.name, member.name), None)
            if observer.running and observer.detector and member.name in observer.detector.members:
                belief = observer.detector.members[member.name]
                if belief.status in (ALIVE, SUSPECT):
                    self._undetected_since_ms[observer.name, member.name] = self.now_ms

    # Beliefs

    def _belief_changed(self, observer: _SimulatedMember, change: MemberStatusChanged) -> None:
        subject = self._members[int(change.name[1:])]
        pair = (observer.name, change.name)
        if change.status in (DEAD, LEFT):
            if since_ms := self._undetected_since_ms.pop(pair, 0.0):
                self._detection_ms.append(self.now_ms - since_ms)
            elif subject.running and change.status == DEAD:
                self._false_deaths += 1
                self._false_since_ms[pair] = self.now_ms
        elif change.status == ALIVE:
            self._false_death_corrected(pair, subject)

    def _false_death_corrected(self, pair: tuple[str, str], subject: _SimulatedMember) -> None:
        since_ms = self._false_since_ms.pop(pair, 0.0)
        if since_ms and self.now_ms >= subject.paused_until_ms and not self._partition_healed_ms:
            self._longest_false_ms = max(self._longest_false_ms, self.now_ms - since_ms)

    def _wrong_beliefs(self) -> list[str]:
        """Return a text for each belief that is not true now."""
        wrong = []
        for observer in self._members:
            if not observer.running or observer.detector is None:
                continue
            beliefs = observer.detector.members
            for subject in self._members:
                if subject is observer:
                    continue
                belief = beliefs.get(subject.name)
                believed_running = belief is not None and belief.status in (ALIVE, SUSPECT)
                if believed_running != subject.running:
                    status = belief.status if belief else "unknown"
                    truth = "up" if subject.running else "gone"
                    wrong.append(f"{observer.name} takes {subject.name} for {status}, which is {truth}")
        return wrong

    def _check_convergence(self) -> None:
        self.schedule(self.now_ms + CHECK_INTERVAL_MS, self._check_convergence)
        if self._partition_healed_ms and (self._partition or self._wrong_beliefs()):
            self._converged_ms = self.now_ms


def draw(seed: int) -> tuple[int, tuple[MembershipFault, ...], float]:
    """Return node count, faults and length in ms of a seed: the same on every machine."""
    rng = random.Random(f"troubles {seed}")
    count = rng.randint(5, 9)
    last_end_ms = 3000.0
    faults = []
    for _ in range(rng.randint(1, 4)):
        at_ms = rng.uniform(3000.0, 7000.0)
        kind = rng.choice(("kill", "kill", "pause", "pause", "cut", "deaf", "mute", "loss"))
        duration_ms = rng.uniform(300.0, 6000.0)
        nodes: tuple[int, ...] = (rng.randrange(count),)
        if kind == "cut":
            nodes = tuple(rng.sample(range(count), rng.randint(1, count - 1)))
        if kind == "kill" and rng.random() < 0.4:
            duration_ms = 0.0  # stays away
        faults.append(MembershipFault(at_ms, kind, nodes, duration_ms, rng.uniform(0.05, 0.4)))
        last_end_ms = max(last_end_ms, at_ms + duration_ms)
    return count, tuple(faults), last_end_ms + CONVERGENCE_MS


def play(seed: int, make: Callable[..., FailureDetector] = FailureDetector) -> Outcome:
    """Return the outcome of one seed; its violations are the beliefs that are wrong in the end."""
    count, faults, length_ms = draw(seed)
    return MembershipSimulation(count, seed, faults, length_ms, make).run()
