"""The node's connections to interpreter, store, dependencies and announce service.

Owns the clients and the choice between the single store and configured dependencies. It makes no decisions
about requests.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from spindlerelay.backends.discovery_client import DiscoveryClient
from spindlerelay.backends.interpreter_client import InterpreterClient
from spindlerelay.backends.interpreter_protocol import (
    CallRequested,
    CommandRejected,
    InterpreterStarted,
    RunFinished,
)
from spindlerelay.backends.store_client import StoreClient
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.node.protocols import DependencyCalls
from spindlerelay.node.request import RequestContext
from spindlerelay.transport.event_loop import EventLoop

RunNotice = RunFinished | CallRequested | CommandRejected
REQUIRED_CALL_WEIGHT = -1.0  # not positive: a call to the single store must not be skipped


class BackendAddresses(NamedTuple):
    """Host and port of each backend."""

    interpreter: tuple[str, int]
    store: tuple[str, int]
    discovery: tuple[str, int]


class BackendLinks:
    """The clients of all backends. If ``dependencies`` is set, all calls go there instead of to the store."""

    interpreter: InterpreterClient
    store: StoreClient
    discovery: DiscoveryClient

    def __init__(self) -> None:
        self.dependencies: DependencyCalls | None = None

    def connect(
        self,
        loop: EventLoop,
        addresses: BackendAddresses,
        node_name: str,
        on_notice: Callable[[RunNotice], None],
        on_started: Callable[[InterpreterStarted], None],
        on_reply: Callable[[StoreReply], None],
        on_unconfirmed: Callable[[str], None],
    ) -> None:
        """Create the clients of all backends.

        Args:
            loop: event loop of the connections.
            addresses: host and port of each backend.
            node_name: name under which the announce service lists this node.
            on_notice: called with each notice of the interpreter about a run.
            on_started: called with the banner that the interpreter sends on each new connection.
            on_reply: called with the result of each dependency call.
            on_unconfirmed: called with the call id of a run if it is not known whether the interpreter has
                executed a command about it.
        """
        self.interpreter = InterpreterClient(
            loop, addresses.interpreter, on_notice, on_started, on_unconfirmed
        )
        self.store = StoreClient(loop, addresses.store, on_reply)
        self.discovery = DiscoveryClient(loop, addresses.discovery, node_name)

    def set_addresses(self, addresses: BackendAddresses) -> None:
        """Reconnect the clients whose address has changed; requests, runs and results are not affected."""
        if addresses.interpreter != self.interpreter.address:
            self.interpreter.change_address(addresses.interpreter)
        if addresses.store != self.store.address:
            self.store.change_address(addresses.store)
        if addresses.discovery != self.discovery.address:
            self.discovery.change_address(addresses.discovery)

    def call_dependency(self, request: RequestContext, timeout_ms: float) -> None:
        """Start the dependency call that the request's run waits for."""
        if self.dependencies is None:
            self.store.call(request.incoming.call_id, timeout_ms, request.call_body)
        else:
            self.dependencies.start_call(request.incoming, timeout_ms, request.call_body)

    def cancel_call(self, request: RequestContext) -> None:
        """Cancel the dependency call that the request's run waits for."""
        request.call_number = 0
        if self.dependencies is None:
            self.store.cancel(request.incoming.call_id)
        else:
            self.dependencies.cancel(request.incoming.call_id)

    def weight_without_call(self, request: RequestContext) -> float:
        """Return the priority weight of a response without this call, 0 or less if it must not be skipped."""
        if self.dependencies is None:
            return REQUIRED_CALL_WEIGHT
        return self.dependencies.weight_without_call(request.incoming, request.call_body)

    def dependency_down_ms(self) -> float:
        """Return for how many ms no dependency has accepted connections."""
        return (self.store if self.dependencies is None else self.dependencies).unavailable_ms()
