"""Interfaces of the components that are passed to a node.

This module must not import an implementation of these interfaces.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from spindlerelay import api
from spindlerelay.node.frontend import IncomingRequest


class AdmissionPolicy(Protocol):
    """Decides which requests run, wait or are rejected. Pure: it reads no clock and does no I/O."""

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Process ``events`` and return the actions that the node must carry out, in order."""
        ...

    def status(self) -> api.ControllerStatus:
        """Return the controller statistics that health reports publish."""
        ...


class DependencyCalls(Protocol):
    """Calls to several dependencies, used instead of the single store.

    The implementation chooses the dependency of a call, whether the call is sent and how often it is retried.
    """

    def start_call(self, request: IncomingRequest, remaining_ms: float, body: bytes) -> None:
        """Start the dependency call that the request's run waits for, to complete within ``remaining_ms``."""
        ...

    def cancel(self, call_id: str) -> None:
        """Cancel the dependency call of the request with this call id."""
        ...

    def run_ended(self, call_id: str) -> None:
        """Record that the run of the request with this call id has ended."""
        ...

    def call_skipped(self, request: IncomingRequest, body: bytes) -> None:
        """Record that a run continues without its dependency call."""
        ...

    def weight_without_call(self, request: IncomingRequest, body: bytes) -> float:
        """Return the priority weight of a response without this call, 0 if it must not be skipped."""
        ...

    def unavailable_ms(self) -> float:
        """Return for how many ms all dependencies have been refusing connections."""
        ...


class RejectionGate(Protocol):
    """Delays rejections until service discovery has published that this node has no capacity."""

    def hold(self, send: Callable[[], None], due_at_ms: float) -> bool:
        """Hold a rejection back, to call ``send`` later but before ``due_at_ms``.

        Returns:
            False if the gate does not hold it back: the caller must send the rejection at once.
        """
        ...


class Persistence(Protocol):
    """Stores on disk which keyed requests ran, and their results, for later processes of this node."""

    def record_run(self, key: str, content_hash: int, window_end_ms: float) -> None:
        """Record that a run of this key starts; its window ends at ``window_end_ms``, a Unix time in ms."""
        ...

    def record_result(self, key: str, result: bytes) -> None:
        """Record the result of the run of this key."""
        ...

    def revoke_run(self, key: str) -> None:
        """Record that the run of this key, recorded before, never started."""
        ...

    def commit(self) -> None:
        """Write the records of this turn to disk."""
        ...
