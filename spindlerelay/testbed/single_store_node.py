"""A node whose dependencies share one plain pool: the baseline of the dependency drill.

One limit for all calls, first come first served, one timeout, and no fallback but skipping a call where the
table allows it. Started like the product's command line, with
``python -m spindlerelay.testbed.single_store_node run --operator FILE``.
"""

from __future__ import annotations

import sys
from collections import Counter, deque

from spindlerelay.api import Outcome, Settings
from spindlerelay.dependencies import call_events
from spindlerelay.dependencies.routing_table import RoutingTable
from spindlerelay.process.operator_features import run_node

CALL_TIMEOUT_MS = 2000.0  # of every dependency


class SharedPoolScheduler:
    """The baseline scheduler, with the events and actions of ``dependencies.call_scheduler``."""

    def __init__(self, table: RoutingTable, settings: Settings, seed: int = 0) -> None:
        self.table = table
        self.settings = settings
        self._max_calls = sum(spec.max_concurrency for spec in table.specs)
        self.counts: dict[str, Counter[str]] = {spec.name: Counter() for spec in table.specs}
        self._in_flight: dict[str, int] = {}  # call to the number of its dependency
        self._queue: deque[call_events.CallRequested] = deque()
        self._initial_actions: list[call_events.Action] = [
            call_events.OpenConnection(number, spec.address) for number, spec in enumerate(table.specs)
        ]

    def step(self, now_ms: float, events: list[call_events.Event]) -> list[call_events.Action]:
        """Take events and return the actions to carry out."""
        actions = self._initial_actions
        self._initial_actions = []
        for event in events:
            match event:
                case call_events.CallRequested():
                    self._queue.append(event)
                case call_events.CallCompleted(number, call, outcome, body):
                    if self._in_flight.pop(call, None) is not None:
                        self.counts[self.table.specs[number].name][outcome.value] += 1
                        reported = Outcome.OK if outcome is Outcome.OK else Outcome.ERROR
                        actions.append(call_events.DeliverResult(call, reported, body))
                case call_events.CallAbandoned(call):
                    self._queue = deque(queued for queued in self._queue if queued.call_id != call)
                    if (dependency := self._in_flight.pop(call, None)) is not None:
                        actions.append(call_events.CancelCall(dependency, call))
        self._send_queued(actions)
        return actions

    def _send_queued(self, actions: list[call_events.Action]) -> None:
        while self._queue and len(self._in_flight) < self._max_calls:
            request = self._queue.popleft()
            spec = self.table.route(self.settings.classes[request.class_index].name, request.body)
            assert spec
            number = self.table.specs.index(spec)
            self._in_flight[request.call_id] = number
            self.counts[spec.name]["sent"] += 1
            actions.append(call_events.SendCall(number, request.call_id, CALL_TIMEOUT_MS, request.body))

    def has_queued_calls(self) -> bool:
        """Return False: it needs no timer."""
        return False

    def metrics(self) -> list[call_events.DependencyMetrics]:
        """Return the state of each dependency."""
        in_flight = Counter(self._in_flight.values())
        return [
            call_events.DependencyMetrics(
                spec.name,
                "none",
                in_flight[number],
                self._max_calls,
                len(self._queue),
                0.0,
                0.0,
                dict(self.counts[spec.name]),
            )
            for number, spec in enumerate(self.table.specs)
        ]

    def count_partial_response(self, class_name: str, body: bytes) -> None:
        """Count a call that the node answered without."""
        if spec := self.table.route(class_name, body):
            self.counts[spec.name]["partial"] += 1


def main() -> int:
    """Run the node; return the exit code, 2 for a wrong command line."""
    words = sys.argv[1:]
    if words[:2] != ["run", "--operator"] or len(words) != 3:
        print("spindlerelay.testbed.single_store_node: run --operator FILE", file=sys.stderr)
        return 2
    return run_node(words[2], None, SharedPoolScheduler)


if __name__ == "__main__":
    sys.exit(main())
