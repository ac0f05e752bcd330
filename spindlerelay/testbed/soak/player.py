"""Plays one seed of the soak on loopback and judges it.

Owns the order of things in time: traffic, signals, faults of backends, and the kill at the platform's
earliest. The rules are checked by ``testbed.checker`` from what passed on the sockets; this module adds what
only the end of a process shows: its status, its log, its memory and its descriptors.
"""

from __future__ import annotations

import random
import socket
import tempfile
from functools import partial
from pathlib import Path
from typing import NamedTuple

from spindlerelay.testbed.checker import SOCKET_TOLERANCE_MS, RuleChecker, Violation
from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.testbed.models.traffic import IDEMPOTENCY_WINDOW_MS
from spindlerelay.testbed.soak.backends import LOOPBACK, NODE, SoakInterpreter, SoakStore
from spindlerelay.testbed.soak.clients import Clients
from spindlerelay.testbed.soak.process import MEMORY_MB, STORE_SLOTS, NodeProcess, Peers
from spindlerelay.testbed.soak.scenario import MEAN_WORK_MS, Scenario, SignalKind, SignalStep
from spindlerelay.transport.event_loop import EventLoop

TICK_MS = 5.0
LATENESS_OF_INTEREST_MS = 15.0  # of a tick; less is not excused
LATENESS_MEMORY_MS = 200.0
MAX_LATENESS_MS = 100.0  # of the driver's own loop: a seed whose driver was later is void
START_TIMEOUT_MS = 15_000.0
SAMPLE_INTERVAL_MS = 100.0
SETTLING_MS = 800.0  # after the kill, for slow readers
SUCCESSOR_MS = 300.0  # for which the newer process of a handover serves on
MAX_RUN_MS = 30_000.0
LOG_LINES_REPORTED = 60
LAUNCHER = ("-m", "spindlerelay")


class SeedOutcome(NamedTuple):
    """What came of one seed. ``report`` tells a broken seed: schedule, timeline of a request, log."""

    seed: int
    violations: tuple[Violation, ...]
    requests: int
    responses: int
    lateness_ms: float
    exited_before_kill_ms: float
    max_memory_kb: int
    max_descriptors: int
    report: str

    @property
    def is_void(self) -> bool:
        """Whether the driver was too late to judge the node."""
        return self.lateness_ms > MAX_LATENESS_MS


class SeedPlayer:
    """One seed: a node's process, or two in a handover, between peers on one event loop."""

    def __init__(self, scenario: Scenario, folder: Path, launcher: tuple[str, ...] = LAUNCHER) -> None:
        self._scenario = scenario
        self._folder = folder
        self._launcher = launcher
        self._random = random.Random(f"soak player {scenario.seed}")
        self._loop = EventLoop()
        self._checker = RuleChecker(IDEMPOTENCY_WINDOW_MS, scenario.grace_ms)
        self._store = SoakStore(self._loop, STORE_SLOTS)
        self._announce = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._announce.bind(LOOPBACK)
        self._listener = socket.create_server(LOOPBACK, backlog=1024) if scenario.handover else None
        self._address = self._listener.getsockname() if self._listener else _free_address()
        self._clients = Clients(
            self._loop, scenario, self._checker, self._address, self._book_memory, self._request_ended
        )
        self._interpreters: list[SoakInterpreter] = []
        self._processes: list[NodeProcess] = []
        self._began_ms = 0.0
        self._tick_due_ms = 0.0
        self._lateness_ms = 0.0
        self._late_at_ms = 0.0
        self._paused_at_ms = 0.0
        self._terminated_ms = 0.0
        self._kill_ms = 0.0
        self._exited_ms = 0.0
        self._exit_recorded = False
        self._traffic = False

    def play(self) -> SeedOutcome:
        """Play the seed to its end and return the outcome."""
        try:
            for number in range(2 if self._scenario.handover else 1):
                self._start_process(number)
            self._loop.call_later(0.0, self._tick)
            self._loop.call_later(0.0, self._wait_until_up)
            self._loop.call_later(MAX_RUN_MS, self._give_up)
            self._loop.run(lambda: None)
        finally:
            self._close()
        return self._outcome()

    # The beginning

    def _start_process(self, number: int) -> None:
        scenario = self._scenario
        on_run = partial(self._run_requested, number)
        interpreter = SoakInterpreter(
            self._loop, scenario, self._checker, self._clients.request_of, self._clients.ended, on_run
        )
        self._interpreters.append(interpreter)
        peers = Peers(
            _text(self._address),
            _text(interpreter.address),
            _text(self._store.address),
            _text(self._announce.getsockname()),
        )
        process = NodeProcess(
            scenario, self._folder, f"process{number + 1}", peers, self._launcher, self._listener
        )
        self._processes.append(process)

    def _wait_until_up(self) -> None:
        connected = all(each.connected for each in self._interpreters)
        if connected and all(each.listens() for each in self._processes):
            self._begin()
        else:
            self._loop.call_later(4 * TICK_MS, self._wait_until_up)

    def _begin(self) -> None:
        scenario = self._scenario
        self._began_ms = self._loop.now()
        self._lateness_ms = 0.0
        self._kill_ms = self._began_ms + scenario.kill_at_ms
        self._traffic = True
        later = self._loop.call_later
        for step in scenario.signals:
            later(step.at_ms, partial(self._signal, step))
        for burst in scenario.bursts:
            for _ in range(burst.connections):
                later(burst.at_ms + self._random.uniform(0.0, burst.spread_ms), partial(self._send, True))
        for half in scenario.half_requests:
            later(half.at_ms, partial(self._clients.send_in_halves, half.rest_after_ms))
        for slow in scenario.slow_readers:
            later(slow.at_ms, partial(self._clients.send_and_read_later, slow.read_after_ms))
        for fault in scenario.backend_faults:
            broken = self._interpreters[0] if fault.backend == "interpreter" else self._store
            later(fault.at_ms, broken.break_off)
        later(0.0, self._send_periodically)
        later(0.0, self._sample)
        later(scenario.kill_at_ms, self._kill_when_due)

    # Traffic

    def _send_periodically(self) -> None:
        if not self._traffic:
            return
        capacity_per_ms = self._scenario.machine.cores / MEAN_WORK_MS
        rate_per_ms = max(1e-4, self._scenario.load * capacity_per_ms)
        self._loop.call_later(self._random.expovariate(rate_per_ms), self._send_periodically)
        self._send(False)

    def _send(self, crowd: bool) -> None:
        if self._traffic and not self._paused_at_ms:  # nothing is written to a paused machine
            self._clients.send(crowd)

    def _request_ended(self, call: str) -> None:
        for interpreter in self._interpreters:
            interpreter.release_memory(call)

    def _book_memory(self, call: str, memory_kb: float) -> None:
        self._interpreters[0].book_memory(call, memory_kb)

    def _run_requested(self, number: int, call: str) -> None:
        self._clients.note(call, f"run by process {number + 1}")
        sent = self._clients.sent.get(call)
        if not (self._scenario.handover and number == 0 and self._terminated_ms and sent):
            return
        # In a handover the checker knows one node; the grace binds the older process alone.
        if sent.received_at_ms > self._terminated_ms + self._scenario.grace_ms + SOCKET_TOLERANCE_MS:
            self._checker.record_violation("drain", NODE, f"{call}: run, though it came past the grace")

    # Signals and the end

    def _signal(self, step: SignalStep) -> None:
        now_ms = self._loop.now()
        if step.kind is SignalKind.PAUSE:
            self._paused_at_ms = now_ms
        elif step.kind is SignalKind.RESUME:
            self._resume(now_ms)
        elif step.kind is SignalKind.TERMINATE and not self._terminated_ms:
            self._terminated_ms = now_ms
            self._kill_ms = now_ms + self._scenario.stop_ms
            self._set_drain_start()
        self._clients.note("", step.kind.value)
        self._processes[0].send(step.kind)

    def _set_drain_start(self) -> None:
        if not self._scenario.handover:
            self._checker.drain_started(self._terminated_ms, NODE)

    def _resume(self, now_ms: float) -> None:
        """End a pause: by the protocol its time does not count."""
        pause_ms = now_ms - self._paused_at_ms
        self._checker.extend_due_times(pause_ms)
        if self._terminated_ms:
            self._kill_ms += pause_ms
            self._terminated_ms += pause_ms
            self._set_drain_start()
        for interpreter in self._interpreters:
            interpreter.skip_to(now_ms)
        self._paused_at_ms = 0.0

    def _kill_when_due(self) -> None:
        now_ms = self._loop.now()
        if now_ms < self._kill_ms or self._paused_at_ms:
            self._loop.call_later(max(TICK_MS, self._kill_ms - now_ms), self._kill_when_due)
            return
        self._look_for_exit(now_ms)
        if not self._exit_recorded:
            self._checker.record_violation("status", NODE, "the process still ran at its kill")
        self._clients.note("", "SIGKILL")
        self._processes[0].kill()
        if self._scenario.handover:
            self._loop.call_later(SUCCESSOR_MS, self._end_traffic)
        else:
            self._end_traffic()

    def _end_traffic(self) -> None:
        self._traffic = False
        longest_ms = max(each.deadline_ms for each in self._scenario.classes)
        settling_ms = longest_ms + SETTLING_MS if self._scenario.handover else SETTLING_MS
        self._loop.call_later(settling_ms, self._stop)

    def _stop(self) -> None:
        self._loop.running = False

    def _give_up(self) -> None:
        self._checker.record_violation("status", NODE, "the run did not end")
        self._stop()

    def _look_for_exit(self, now_ms: float) -> None:
        status = self._processes[0].status()
        if status is None or self._exit_recorded:
            return
        self._exit_recorded = True
        self._exited_ms = now_ms
        self._clients.note("", f"exit with status {status}")
        if status != 0 or not self._terminated_ms:
            self._checker.record_violation("status", NODE, f"the process ended with status {status}")

    # Time

    def _tick(self) -> None:
        now_ms = self._loop.now()
        self._note_lateness(now_ms)
        self._tick_due_ms = now_ms + TICK_MS
        self._store.tick(now_ms)
        if not self._paused_at_ms:
            for interpreter in self._interpreters:
                interpreter.tick(now_ms)
        self._clients.tick(now_ms)
        if self._began_ms:
            self._checker.tick(now_ms - self._clients.lateness_ms)
            self._look_for_exit(now_ms)
        self._loop.timers.schedule(max(self._tick_due_ms, self._loop.now()), self._tick)

    def _note_lateness(self, now_ms: float) -> None:
        late_ms = now_ms - self._tick_due_ms if self._tick_due_ms else 0.0
        if now_ms - self._late_at_ms > LATENESS_MEMORY_MS:
            self._clients.lateness_ms = 0.0
        if late_ms > LATENESS_OF_INTEREST_MS:
            self._late_at_ms = now_ms
            self._clients.lateness_ms = max(self._clients.lateness_ms, late_ms)
        self._lateness_ms = max(self._lateness_ms, late_ms)

    def _sample(self) -> None:
        self._loop.call_later(SAMPLE_INTERVAL_MS, self._sample)
        for process in self._processes:
            if process.status() is None:
                process.sample()

    # The judgement

    def _close(self) -> None:
        self._checker.run_finished(self._loop.now())
        self._clients.close()
        for process in self._processes:
            process.kill()
        for interpreter in self._interpreters:
            interpreter.close()
        self._store.close()
        self._announce.close()
        if self._listener:
            self._listener.close()

    def _outcome(self) -> SeedOutcome:
        memory_kb = max(process.max_memory_kb for process in self._processes)
        descriptors = max(process.max_descriptors for process in self._processes)
        record = self._checker.record_violation
        for process in self._processes:
            for line in internal_errors(process.log):
                record("internal_error", NODE, line)
        if memory_kb > MEMORY_MB * 1000:
            record("limits", NODE, f"{memory_kb} KB of memory, {MEMORY_MB} MB are allowed")
        if descriptors > self._scenario.sockets:
            record("limits", NODE, f"{descriptors} descriptors, {self._scenario.sockets} are allowed")
        violations = tuple(self._checker.violations)
        return SeedOutcome(
            seed=self._scenario.seed,
            violations=violations,
            requests=len(self._clients.sent),
            responses=self._clients.responses,
            lateness_ms=round(self._lateness_ms, 1),
            exited_before_kill_ms=round(self._kill_ms - self._exited_ms, 1) if self._exit_recorded else 0.0,
            max_memory_kb=memory_kb,
            max_descriptors=descriptors,
            report=self._report(violations) if violations else "",
        )

    def _report(self, violations: tuple[Violation, ...]) -> str:
        """Return schedule, violations, the timeline of the first request at fault, and the log's end."""
        call = violations[0].detail.partition(":")[0]
        entries = [entry for entry in self._clients.timeline if entry.call in ("", call)]
        lines = [self._scenario.describe()]
        lines += [f"{each.rule}: {each.detail}" for each in violations]
        lines += [
            f"{entry.at_ms - self._began_ms:8.1f} {entry.call or 'process'} {entry.text}" for entry in entries
        ]
        for process in self._processes:
            lines += process.log.read_text(errors="replace").splitlines()[-LOG_LINES_REPORTED:]
        return "\n".join(lines)


def _free_address() -> tuple[str, int]:
    with socket.create_server(LOOPBACK) as probe:
        host, port = probe.getsockname()
    return host, port


def _text(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def play(scenario: Scenario, launcher: tuple[str, ...] = LAUNCHER) -> SeedOutcome:
    """Play one scenario in a folder of its own and return the outcome."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return SeedPlayer(scenario, Path(folder), launcher).play()
