"""Model of a shared store with slots, which slows down under contention and crashes under lasting overload.

The model has no I/O and no clock; times are ms.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from spindlerelay.testbed.models.dependency_faults import HEALTHY, DependencyCondition

MIN_STEP_MS = 0.01  # much shorter steps get lost in the resolution of Unix times in ms as floats
MAX_STEP_MS = 100.0
WORK_EPSILON_MS = 1e-6  # a call with at most this much remaining work has ended
FOREIGN_CALL_PREFIX = "other-"  # prefix of the ids of calls by other clients


class StoreSpec(NamedTuple):
    """Size and behaviour of a store; times are ms, and ``crash_multiple`` is relative to the slots."""

    slots: int = 6
    call_ms: float = 60.0
    contention_penalty: float = 0.4
    crash_multiple: float = 5.0
    overload_window_ms: float = 5000.0
    crash_downtime_ms: float = 4000.0


class SharedStore:
    """A store that processes concurrent calls, and predicts when the next call ends."""

    def __init__(self, spec: StoreSpec, now: float, seed: int = 0) -> None:
        self.spec = spec
        self.now = now
        self.condition = HEALTHY
        self.rng = random.Random(seed)
        self._foreign_calls_started = 0
        self.down_until = 0.0
        self.crashes = 0
        self.peak_calls = 0
        self._remaining_work_ms: dict[str, float] = {}
        self._mean_calls = 0.0  # moving average of the calls in progress, over the overload window

    def start_call(self, now: float, call_id: str, work: float) -> list[str]:
        """Start a call that takes ``work`` ms in an idle store; return the ids of calls ended by now."""
        ended = self.advance(now)
        self._remaining_work_ms[call_id] = work
        self.peak_calls = max(self.peak_calls, len(self._remaining_work_ms))
        return ended

    def next_call_outcome(self) -> str:
        """Draw the outcome of the next call: ``take``, or the outcome of the present condition."""
        condition = self.condition
        return (
            condition.outcome
            if condition.affected_fraction and self.rng.random() < condition.affected_fraction
            else "take"
        )

    def set_condition(self, now: float, condition: DependencyCondition) -> list[str]:
        """Set the condition, start or end foreign calls; return the ids of calls that have ended by now."""
        ended = self.advance(now)
        if self.condition.up and not condition.up:
            self._remaining_work_ms.clear()
        self.condition = condition
        foreign = [call_id for call_id in self._remaining_work_ms if call_id.startswith(FOREIGN_CALL_PREFIX)]
        for _ in range(round(condition.foreign_load * self.spec.slots) - len(foreign)):
            self._foreign_calls_started += 1
            foreign_id = f"{FOREIGN_CALL_PREFIX}{self._foreign_calls_started}"
            self._remaining_work_ms[foreign_id] = self.spec.call_ms
        if not condition.foreign_load:
            for call_id in foreign:
                del self._remaining_work_ms[call_id]
        return ended

    def cancel_call(self, call_id: str) -> None:
        """Cancel a call if it is in progress."""
        self._remaining_work_ms.pop(call_id, None)

    def crash(self, now: float, ms: float) -> None:
        """Crash: lose all calls and stay down for ``ms``."""
        self.down_until = now + ms
        self._mean_calls = 0.0
        self._remaining_work_ms.clear()

    def is_up(self, now: float) -> bool:
        """Return whether the store accepts connections."""
        return self.condition.up and now >= self.down_until

    def _rate(self) -> float:
        """Return the progress of each call, in ms of work per ms."""
        utilization = len(self._remaining_work_ms) / self.spec.slots
        return (
            min(1.0, 1.0 / max(utilization, 1e-9))
            / (1.0 + self.spec.contention_penalty * max(0.0, utilization - 1.0))
            / self.condition.slowdown
        )

    def next_end_at(self) -> float | None:
        """Return when the next call ends if nothing changes, or None if no call is in progress."""
        if not self._remaining_work_ms:
            return None
        return self.now + max(0.0, min(self._remaining_work_ms.values())) / self._rate()

    def advance(self, now: float) -> list[str]:
        """Return the ids of calls that have ended by ``now``; calls lost in a crash are not among them."""
        ended: list[str] = []
        remaining = self._remaining_work_ms
        while self.now < now:
            due = self.next_end_at()
            until = max(
                min(now, due if due is not None else now, self.now + MAX_STEP_MS), self.now + MIN_STEP_MS
            )
            done = self._rate() * (until - self.now) if remaining else 0.0
            step_ms = until - self.now
            self._mean_calls += (len(remaining) - self._mean_calls) * min(
                1.0, step_ms / self.spec.overload_window_ms
            )
            self.now = until
            for call_id in list(remaining):
                remaining[call_id] -= done
                if remaining[call_id] <= WORK_EPSILON_MS:
                    del remaining[call_id]
                    ended.append(call_id)
            if self._mean_calls > self.spec.crash_multiple * self.spec.slots:
                self.crashes += 1
                self.crash(self.now, self.spec.crash_downtime_ms)
        return ended
