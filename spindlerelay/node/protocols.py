"""The parts that a node is given, as far as the node knows them.

Owns interfaces only. It must not import an implementation of one of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from spindlerelay import api
from spindlerelay.node.frontend import IncomingRequest


class AdmissionPolicy(Protocol):
    """Decides on requests; pure, with neither a clock nor I/O of its own."""

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Return the actions to carry out, in order, after these events."""
        ...

    def status(self) -> api.ControllerStatus:
        """Return what health reports publish of it."""
        ...


class DependencyCalls(Protocol):
    """Several dependencies in place of the one store; it decides where, whether and how often a call goes."""

    def start_call(self, request: IncomingRequest, remaining_ms: float, body: bytes) -> None:
        """Make the call that the run of this request waits for, within ``remaining_ms``."""
        ...

    def cancel(self, call_id: str) -> None:
        """Cancel the call that this call id waits for."""
        ...

    def run_ended(self, call_id: str) -> None:
        """Note that the run with this call id has ended."""
        ...

    def call_skipped(self, request: IncomingRequest, body: bytes) -> None:
        """Note that a run goes on without its call."""
        ...

    def weight_without_call(self, request: IncomingRequest, body: bytes) -> float:
        """Return the priority weight of a response without this call, 0 where it must not be skipped."""
        ...

    def unavailable_ms(self) -> float:
        """Return for how many ms every dependency has refused connections."""
        ...


class RejectionGate(Protocol):
    """Keeps rejections back until it is published that this node has no capacity."""

    def hold(self, send: Callable[[], None], due_at_ms: float) -> bool:
        """Return whether ``send`` will be called later, ahead of ``due_at_ms``; at False send at once."""
        ...


class Persistence(Protocol):
    """Stores on disk which keyed requests ran, and their results, for later processes of this node."""

    def record_run(self, key: str, content_hash: int, bound_until_ms: float) -> None:
        """Record that a run of this key starts; it binds until this Unix time in ms."""
        ...

    def record_result(self, key: str, result: bytes) -> None:
        """Record the result of the key's run."""
        ...

    def revoke_run(self, key: str) -> None:
        """Record that the key's run never started after all."""
        ...

    def commit(self) -> None:
        """Write what was recorded in this turn."""
        ...
