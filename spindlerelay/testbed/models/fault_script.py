"""Scheduled faults of an emulated fleet, written as a script or drawn from a seed.

A fault is an immutable value with a time. The driver of the fleet carries it out. The module has no I/O and
no clock.
"""

from __future__ import annotations

import random
from typing import NamedTuple

FAULT_KINDS = ("slow", "crash", "burst", "deploy", "pause", "link", "store", "catalogue", "clock")
DEFAULT_SLOWDOWN = 4.0  # default slowdown factor of a machine
DEFAULT_BURST_FACTOR = 1.8  # default multiple of the request rate
STORE_FAULT_KIND = "crowded"  # the dependency fault that a "store" event causes
MIN_DRAWN_MS = 1000.0  # shortest drawn event, and the least distance between drawn events
MAX_DRAWN_MS = 4000.0  # longest drawn event
MAX_DRAWN_FRACTION = 0.2  # longest drawn event, as a fraction of the run
FIRST_DRAWN_FRACTION = 0.1  # earliest start of a drawn event, as a fraction of the run
LAST_DRAWN_FRACTION = 0.8  # latest start of a drawn event, as a fraction of the run
# Draws per requested event: a draw that interferes with an earlier event is rejected.
ATTEMPTS_PER_EVENT = 8
SINGLE_NODE_KINDS = frozenset({"slow", "crash", "pause", "link", "clock"})
LASTING_KINDS = frozenset(FAULT_KINDS) - {"link"}


class FaultEvent(NamedTuple):
    """One fault of a fleet; times are ms from the first request.

    ``node`` counts from 1, and is 0 if the fault does not affect a single node. ``factor`` is the slowdown
    factor of a machine or the multiple of the request rate in a burst, and 0 for the default.
    """

    kind: str
    at_ms: float
    duration_ms: float = 2000.0
    node: int = 0
    factor: float = 0.0

    @property
    def end_ms(self) -> float:
        """Time at which the fault ends; for a fault without a duration, the time at which it happens."""
        return self.at_ms + (self.duration_ms if self.kind in LASTING_KINDS else 0.0)

    def label(self) -> str:
        """Return the label of the fault on the axis of a report."""
        where = f" n{self.node}" if self.node else ""
        return f"{self.kind}{where}"


def validation_errors(event: FaultEvent, nodes: int, length_ms: float) -> list[str]:
    """Return one line for each invalid field of an event; the list is empty for a valid event."""
    errors = []
    if event.kind not in FAULT_KINDS:
        return [f"kind: {event.kind!r} stands there; expected one of {', '.join(FAULT_KINDS)}"]
    if event.kind in SINGLE_NODE_KINDS and not 1 <= event.node <= nodes:
        errors.append(f"node: {event.node} stands there; expected a number from 1 to {nodes}")
    if not 0.0 <= event.at_ms < length_ms:
        errors.append(f"at: {event.at_ms:g} ms stands there; expected a time in the run's {length_ms:g} ms")
    if event.kind in LASTING_KINDS and event.duration_ms <= 0.0:
        errors.append(f"for: {event.duration_ms:g} ms stands there; expected a time above 0")
    if event.factor < 0.0 or (event.kind == "slow" and 0.0 < event.factor < 1.0):
        errors.append(f"times: {event.factor:g} stands there; expected a number of at least 1")
    return errors


def draw_events(
    seed: int, count: int, nodes: int, length_ms: float, kinds: tuple[str, ...] = FAULT_KINDS
) -> list[FaultEvent]:
    """Return up to ``count`` events, sorted by time, that do not interfere with one another.

    The same seed gives the same events. No event begins in the first tenth or the last fifth of the run,
    where its effect could not be seen.
    """
    rng = random.Random(f"script {seed}")
    events: list[FaultEvent] = []
    for _ in range(count * ATTEMPTS_PER_EVENT):
        if len(events) == count:
            break
        kind = rng.choice(kinds)
        at_ms = rng.uniform(FIRST_DRAWN_FRACTION, LAST_DRAWN_FRACTION) * length_ms
        duration_ms = min(rng.uniform(MIN_DRAWN_MS, MAX_DRAWN_MS), MAX_DRAWN_FRACTION * length_ms)
        node = rng.randint(1, nodes) if kind in SINGLE_NODE_KINDS else 0
        event = FaultEvent(kind, round(at_ms), round(duration_ms), node)
        if not any(_interfere(event, other) for other in events):
            events.append(event)
    return sorted(events, key=lambda event: event.at_ms)


def _interfere(first: FaultEvent, second: FaultEvent) -> bool:
    """Return whether two events would undo one another: same node, same kind, or a deploy of all nodes."""
    overlap = first.at_ms < second.end_ms + MIN_DRAWN_MS and second.at_ms < first.end_ms + MIN_DRAWN_MS
    if "deploy" in (first.kind, second.kind) and (first.node or second.node or first.kind == second.kind):
        return True  # a deploy has no fixed end: it takes as long as its drains
    return overlap and (first.kind == second.kind if not first.node else first.node == second.node)
