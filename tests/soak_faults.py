"""Faults that are planted in a node's process, to show that the soak sees them.

python -m tests.soak_faults NAME     runs the node with that fault, in place of ``python -m spindlerelay``
"""

from __future__ import annotations

import os
import runpy
import sys
from collections.abc import Callable
from typing import Any

from spindlerelay.node.frontend import FinalResponse, FrontEnd, IncomingRequest
from spindlerelay.node.graceful_shutdown import GracefulShutdown
from spindlerelay.node.idempotency import IdempotencyTable
from spindlerelay.node.responder import Responder
from spindlerelay.process.service import Service

DROP_INTERVAL = 5  # one response in so many, once the node drains


def drop_responses_in_the_drain() -> None:
    """Forget responses while the node drains."""
    send = Responder.send
    sent = [0]

    def dropping(
        self: Responder, front_end: FrontEnd, request: IncomingRequest, response: FinalResponse
    ) -> None:
        sent[0] += 1
        draining = getattr(front_end, "_draining", False)
        if not (draining and sent[0] % DROP_INTERVAL == 0):
            send(self, front_end, request, response)

    Responder.send = dropping  # type: ignore[method-assign]


def run_twice() -> None:
    """Forget that a keyed request ran."""
    IdempotencyTable.link = lambda *_args, **_more: 0  # type: ignore[method-assign]
    IdempotencyTable.may_run = lambda *_: True  # type: ignore[method-assign]


def run_past_the_grace() -> None:
    """Run what came past the drain's grace."""
    from spindlerelay.admission.controller import AdmissionController
    from spindlerelay.api import DrainStarted

    start, handle = GracefulShutdown.start, AdmissionController._handle

    def endless(self: GracefulShutdown, notified_at_ms: float, stop_after_ms: float, handover: bool) -> None:
        start(self, notified_at_ms, stop_after_ms, handover)
        self.run_cutoff_ms = float("inf")

    def without_drain(self: AdmissionController, event: Any) -> None:
        if not isinstance(event, DrainStarted):
            handle(self, event)

    GracefulShutdown.start = endless  # type: ignore[method-assign]
    AdmissionController._handle = without_drain  # type: ignore[method-assign]


def crash_at_the_second_sigterm() -> None:
    """End at once with status 1 at a further SIGTERM."""
    shut_down = Service.shut_down
    calls = [0]

    def once(self: Service, notified_at_ms: float | None = None) -> None:
        calls[0] += 1
        if calls[0] > 1:
            os._exit(1)
        shut_down(self, notified_at_ms)

    Service.shut_down = once  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    "dropped_response": drop_responses_in_the_drain,
    "second_run": run_twice,
    "late_run": run_past_the_grace,
    "second_sigterm": crash_at_the_second_sigterm,
}

if __name__ == "__main__":
    FAULTS[sys.argv.pop()]()
    runpy.run_module("spindlerelay", run_name="__main__")
