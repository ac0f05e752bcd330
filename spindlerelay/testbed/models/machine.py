"""Model of the machine of a node: its cores, the runs on the cores, and its crashes.

All active tasks share the cores: requests that are being parsed (at most one per core) and runs that do not
wait for a dependency call. Each task gets at most one core. Above a number of runs per core, the runs slow
each other down. A cold machine starts at a fraction of its speed and warms up linearly. A machine crashes
when its cores are overloaded for some time, or when requests and runs need more memory than it has.

The model has no I/O and no clock; times are ms.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

WORK_EPSILON_MS = 1e-6  # a task with at most this much remaining work has ended
MIN_STEP_MS = 0.01  # much shorter steps get lost in the resolution of Unix times in ms as floats
MAX_STEP_MS = 50.0  # a step assumes a constant speed, but the speed changes during the warm-up
BUSY_WINDOW_MS = 200.0  # window of the moving average of busy cores
IDLE_BUSY_FRACTION = 0.005  # a machine without tasks counts as idle below this mean busy fraction


class MachineSpec(NamedTuple):
    """Size and behaviour of a machine; times are ms, and speeds are relative to the reference core."""

    kind: str = "old-six"
    cores: int = 6
    speed: float = 0.72
    cold_speed_fraction: float = 0.28
    warm_up_ms: float = 17_000.0
    contention_threshold: float = 1.35
    contention_penalty: float = 0.7
    max_concurrency_per_core: float = 8.0
    overload_window_ms: float = 1500.0
    memory_kb: float = 60_000.0
    run_memory_factor: float = 8.0


class RunPlan(NamedTuple):
    """The work of a run: parts in core-ms, with a dependency call between consecutive parts."""

    work_parts_ms: tuple[float, ...]
    memory_kb: float = 30.0


class RequestParsed(NamedTuple):
    """A request has been parsed and can be passed to the node."""

    id: str


class RunWaiting(NamedTuple):
    """A run waits for its dependency call ``call_number``, counted from 1."""

    id: str
    call_number: int


class RunEnded(NamedTuple):
    """A run has ended; its duration is in ms."""

    id: str
    duration_ms: float


class MachineCrashed(NamedTuple):
    """The machine has crashed, and all of its tasks have stopped."""

    reason: str


MachineEvent = RequestParsed | RunWaiting | RunEnded | MachineCrashed


class _Run:
    __slots__ = ("plan", "part", "remaining_ms", "started_at", "waiting")

    def __init__(self, plan: RunPlan, now: float) -> None:
        self.plan = plan
        self.part = 0
        self.remaining_ms = plan.work_parts_ms[0]
        self.started_at = now
        self.waiting = False


class Machine:
    """The state of one machine since its start."""

    def __init__(self, spec: MachineSpec, now: float, cold: bool = True) -> None:
        self.spec = spec
        self.started_at = now
        self.now = now
        self.cold = cold
        self.slowdown = 1.0  # slowdown factor of a fault
        self.crashed = False
        self.request_memory_kb: dict[str, float] = {}  # memory of each request at the node, set by the driver
        self._parsing_ms: dict[str, float] = {}  # remaining work of each request that is being parsed
        self._unparsed: deque[tuple[str, float]] = deque()  # queued requests, with their parsing work
        self._runs: dict[str, _Run] = {}
        self._mean_running = 0.0  # moving average of the runs on the cores, over the overload window
        self._busy = 0.0  # moving average of the busy fraction of the cores

    def speed_fraction(self, now: float) -> float:
        """Return the fraction of the full speed that the warm-up has reached."""
        if not self.cold or self.spec.warm_up_ms <= 0:
            return 1.0
        start = self.spec.cold_speed_fraction
        return min(1.0, start + (1.0 - start) * (now - self.started_at) / self.spec.warm_up_ms)

    def receive_request(self, now: float, request_id: str, work: float) -> list[MachineEvent]:
        """Queue a request that takes ``work`` core-ms to parse; return the events up to now."""
        events = self.advance(now)
        self._unparsed.append((request_id, work))
        self._start_parsing()
        return events

    def enqueue_while_paused(self, request_id: str, work: float) -> None:
        """Queue a request while the machine is paused."""
        self._unparsed.append((request_id, work))

    def start_run(self, now: float, request_id: str, plan: RunPlan) -> list[MachineEvent]:
        """Start a run if no run with this id exists; return the events up to now."""
        events = self.advance(now)
        if request_id not in self._runs:
            self._runs[request_id] = _Run(plan, now)
        return events

    def resume_run(self, now: float, request_id: str) -> list[MachineEvent]:
        """Continue a run whose dependency call has ended or is skipped; return the events up to now."""
        events = self.advance(now)
        run = self._runs.get(request_id)
        if run and run.waiting:
            run.waiting = False
            run.part += 1
            run.remaining_ms = run.plan.work_parts_ms[run.part]
        return events

    def cancel_waiting_run(self, now: float, request_id: str) -> float | None:
        """Cancel a run that waits for a call; return its duration in ms, or None if it does not wait."""
        run = self._runs.get(request_id)
        if run is None or not run.waiting:
            return None
        del self._runs[request_id]
        return now - run.started_at

    def outstanding(self) -> int:
        """Return the number of unparsed requests, requests queued at the node and runs on the cores."""
        queued = len(self.request_memory_kb) - len(self._runs)
        return len(self._unparsed) + len(self._parsing_ms) + max(0, queued) + self.running_count()

    def active_tasks(self) -> int:
        """Return the number of tasks on the cores."""
        return len(self._parsing_ms) + self.running_count()

    def running_count(self) -> int:
        """Return the number of runs on the cores."""
        count = 0
        for run in self._runs.values():
            count += not run.waiting
        return count

    def run_ids(self) -> set[str]:
        """Return the ids of all runs, including waiting runs."""
        return set(self._runs)

    def is_idle(self) -> bool:
        """Return whether there are no tasks and the gauges have decayed, so that steps can be far apart."""
        return not (self._parsing_ms or self._unparsed or self._runs) and self._busy < IDLE_BUSY_FRACTION

    def gauges(self) -> tuple[float, float, float, float]:
        """Return the busy fraction of the cores, tasks on the cores, used memory fraction, and sockets."""
        return (
            min(1.0, self._busy),
            float(self.active_tasks()),
            min(1.0, self.memory_in_use_kb() / self.spec.memory_kb),
            0.0,
        )

    def memory_in_use_kb(self) -> float:
        """Return the memory in use in KB; a run needs a multiple of the memory of its request."""
        runs_kb = sum(run.plan.memory_kb for run in self._runs.values())
        return sum(self.request_memory_kb.values()) + runs_kb * self.spec.run_memory_factor

    def _rate(self, now: float, running: int) -> float:
        """Return the core-ms per ms of each active task, with ``running`` runs on the cores."""
        active = len(self._parsing_ms) + running
        spec = self.spec
        if not active or self.crashed:
            return 0.0
        excess = running / (spec.contention_threshold * spec.cores) - 1.0
        core_fraction = min(1.0, spec.cores / active) / (1.0 + spec.contention_penalty * max(0.0, excess))
        return core_fraction * spec.speed * self.speed_fraction(now) / self.slowdown

    def _least_remaining_ms(self) -> float:
        """Return the least remaining work of the tasks on the cores; infinite if there is no task."""
        least = min(self._parsing_ms.values()) if self._parsing_ms else math.inf
        for run in self._runs.values():
            if run.remaining_ms < least and not run.waiting:
                least = run.remaining_ms
        return least

    def next_event_at(self) -> float | None:
        """Return when the next event is due if nothing changes, or None if no event is due."""
        rate = self._rate(self.now, self.running_count())
        return self.now + max(0.0, self._least_remaining_ms()) / rate if rate > 0 else None

    def advance(self, now: float) -> list[MachineEvent]:
        """Advance the machine to ``now`` and return the events up to then."""
        events: list[MachineEvent] = []
        while self.now < now and not self.crashed:
            rate = self._rate(self.now, self.running_count())
            least = self._least_remaining_ms() if rate > 0 else math.inf
            due = self.now + max(0.0, least) / rate if rate > 0 else now
            until = max(min(now, due, self.now + MAX_STEP_MS), self.now + MIN_STEP_MS)
            done = rate * (until - self.now)
            if done:
                self._reduce_remaining_work(done)
            if least - done <= WORK_EPSILON_MS:
                self._end_finished_tasks(events)
            self._update_means(until)
            if reason := self._crash_reason():
                self.crashed = True
                events.append(MachineCrashed(reason))
        self.now = max(self.now, now)
        return events

    def _reduce_remaining_work(self, done: float) -> None:
        for request_id in self._parsing_ms:
            self._parsing_ms[request_id] -= done
        for run in self._runs.values():
            if not run.waiting:
                run.remaining_ms -= done

    def _end_finished_tasks(self, events: list[MachineEvent]) -> None:
        """Append the events of all tasks without remaining work."""
        for request_id in [
            request_id for request_id, left in self._parsing_ms.items() if left <= WORK_EPSILON_MS
        ]:
            del self._parsing_ms[request_id]
            events.append(RequestParsed(request_id))
        for request_id, run in list(self._runs.items()):
            if run.waiting or run.remaining_ms > WORK_EPSILON_MS:
                continue
            if run.part + 1 < len(run.plan.work_parts_ms):
                run.waiting = True
                events.append(RunWaiting(request_id, run.part + 1))
            else:
                del self._runs[request_id]
                events.append(RunEnded(request_id, self.now - run.started_at))
        self._start_parsing()

    def _update_means(self, until: float) -> None:
        step_ms = until - self.now
        running = self.running_count()
        self._mean_running += (running - self._mean_running) * min(
            1.0, step_ms / self.spec.overload_window_ms
        )
        active = len(self._parsing_ms) + running
        busy = min(1.0, active / self.spec.cores)
        self._busy += (busy - self._busy) * min(1.0, step_ms / BUSY_WINDOW_MS)
        self.now = until

    def _crash_reason(self) -> str:
        """Return why the machine crashes now, or an empty text if it does not crash."""
        spec = self.spec
        if self._mean_running > spec.cores:  # even a cold machine survives one run per core
            limit = (1.0 + (spec.max_concurrency_per_core - 1.0) * self.speed_fraction(self.now)) * spec.cores
            if self._mean_running > limit:
                return f"{self._mean_running:.1f} runs on the cores, {limit:.1f} are survived"
        if (self._runs or self.request_memory_kb) and (memory := self.memory_in_use_kb()) > spec.memory_kb:
            return f"{memory:.0f} of {spec.memory_kb:.0f} KB"
        return ""

    def _start_parsing(self) -> None:
        while self._unparsed and len(self._parsing_ms) < self.spec.cores:
            request_id, work = self._unparsed.popleft()
            self._parsing_ms[request_id] = work
