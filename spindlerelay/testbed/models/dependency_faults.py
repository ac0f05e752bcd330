"""Scheduled faults of a dependency, and their effect on its calls at a given time.

A fault is an immutable value. Overlapping faults are combined by taking the worst value of each effect. Times
are ms from the start of the run. The module has no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from spindlerelay.errors import SpindlerelayError

SLOWDOWN = 10.0
ERROR_FRACTION = 0.3  # fraction of the calls that fail
# A flapping dependency is down and up for this long in turn; the time equals the first open interval of the
# node's circuit breaker.
FLAP_PERIOD_MS = 700.0
FOREIGN_LOAD = 3.0  # concurrent calls of other clients, as a multiple of the slots
COLD_SLOWDOWN = 8.0  # slowdown right after a cold restart; it falls linearly to 1
COLD_DOWN_FRACTION = 0.4  # fraction of a cold restart's duration during which the dependency is down


class UnknownFaultKindError(SpindlerelayError, ValueError):
    """The kind of a fault is not a kind of dependency fault."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"unknown dependency fault {kind!r}; known: {', '.join(FAULT_KINDS)}")
        self.kind = kind


class DependencyCondition(NamedTuple):
    """Condition of a dependency at one time.

    ``outcome`` applies to the affected fraction of the calls. It is ``take`` (the call is processed),
    ``busy``, ``error``, ``silent`` (no response) or ``spoilt`` (a malformed response).
    """

    up: bool = True
    slowdown: float = 1.0
    outcome: str = "take"
    affected_fraction: float = 0.0
    foreign_load: float = 0.0


HEALTHY = DependencyCondition()
CONSTANT_CONDITIONS = {
    "dead": DependencyCondition(up=False),
    "refusing": DependencyCondition(outcome="busy", affected_fraction=1.0),
    "silent": DependencyCondition(outcome="silent", affected_fraction=1.0),
    "slow": DependencyCondition(slowdown=SLOWDOWN),
    "errors": DependencyCondition(outcome="error", affected_fraction=ERROR_FRACTION),
    "spoilt": DependencyCondition(outcome="spoilt", affected_fraction=1.0),
    "crowded": DependencyCondition(foreign_load=FOREIGN_LOAD),
}


class DependencyFault(NamedTuple):
    """One fault of a dependency, in effect from ``start_ms`` to ``end_ms``."""

    kind: str
    start_ms: float
    end_ms: float

    def condition_at(self, at: float) -> DependencyCondition:
        """Return the fault's condition at a time; raise UnknownFaultKindError for an unknown kind."""
        if not self.start_ms <= at < self.end_ms:
            return HEALTHY
        elapsed = at - self.start_ms
        duration = self.end_ms - self.start_ms
        match self.kind:
            case "flapping":
                return DependencyCondition(up=int(elapsed // FLAP_PERIOD_MS) % 2 == 1)
            case "cold":
                if elapsed < COLD_DOWN_FRACTION * duration:
                    return DependencyCondition(up=False)
                recovered = (elapsed - COLD_DOWN_FRACTION * duration) / (
                    (1.0 - COLD_DOWN_FRACTION) * duration
                )
                return DependencyCondition(slowdown=COLD_SLOWDOWN + (1.0 - COLD_SLOWDOWN) * recovered)
        if self.kind in CONSTANT_CONDITIONS:
            return CONSTANT_CONDITIONS[self.kind]
        raise UnknownFaultKindError(self.kind)


FAULT_KINDS = ("dead", "refusing", "silent", "slow", "errors", "spoilt", "flapping", "crowded", "cold")


def combined_condition(faults: Iterable[DependencyFault], at: float) -> DependencyCondition:
    """Return the condition of one dependency under all of its faults."""
    worst = HEALTHY
    for fault in faults:
        current = fault.condition_at(at)
        dominant = current if current.affected_fraction >= worst.affected_fraction else worst
        worst = DependencyCondition(
            worst.up and current.up,
            max(worst.slowdown, current.slowdown),
            dominant.outcome,
            dominant.affected_fraction,
            max(worst.foreign_load, current.foreign_load),
        )
    return worst
