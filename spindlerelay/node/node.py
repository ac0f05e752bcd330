"""The node: wiring of its parts, and its public surface.

It gives the admission controller what has happened, and carries out what that decides. It knows no protocol
of balancers. Whatever the controller or a backend does, it guarantees one final response for each request, in
time and once; no second run of a keyed request; no run past the drain's grace.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from spindlerelay import api
from spindlerelay.backends.interpreter_protocol import InterpreterStarted
from spindlerelay.node.action_executor import ActionExecutor
from spindlerelay.node.backend_links import BackendAddresses, Notice
from spindlerelay.node.context import NodeContext
from spindlerelay.node.controller_timers import ControllerTimers
from spindlerelay.node.deadline_guard import DeadlineGuard
from spindlerelay.node.duplicate_run_guard import DuplicateRunGuard
from spindlerelay.node.frontend import FrontEnd, IncomingRequest
from spindlerelay.node.graceful_shutdown import GracefulShutdown, Phase
from spindlerelay.node.health import HealthMonitor, NodeStatus
from spindlerelay.node.idempotency import IdempotencyTable
from spindlerelay.node.metrics import NodeMetrics
from spindlerelay.node.protocols import AdmissionPolicy, DependencyCalls, Persistence, RejectionGate
from spindlerelay.node.request_intake import RequestIntake
from spindlerelay.node.responder import Responder
from spindlerelay.node.run_tracker import RunTracker
from spindlerelay.storage.idempotency_claims import IdempotencyClaims
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.internal_errors import ErrorPlace

WATCHDOG_INTERVAL_MS = 250.0  # a controller without a timer gets a step all the same
EXPIRY_INTERVAL_MS = 1000.0  # between looks at the idempotency table


class Node:
    """Between the front ends, the admission controller and the backends."""

    def __init__(
        self, loop: EventLoop, settings: api.Settings, admission: AdmissionPolicy, memory_mb: float = 192.0
    ) -> None:
        context = NodeContext(loop, settings, admission, DuplicateRunGuard(memory_mb))
        responder = Responder(context)
        deadlines = DeadlineGuard(context, responder)
        self.context = context
        self.health = HealthMonitor(context)
        self.intake = RequestIntake(context, responder, deadlines)
        self.runs = RunTracker(context, responder)
        self.shutdown = GracefulShutdown(context, self.health, responder, deadlines)
        self._timers = ControllerTimers(context)
        self._executor = ActionExecutor(context, responder, self.health, self._timers, self.shutdown)

    @property
    def admission(self) -> AdmissionPolicy:
        """The admission controller."""
        return self.context.admission

    @property
    def settings(self) -> api.Settings:
        """The current settings; open requests keep the indices of their classes in them."""
        return self.context.settings

    @property
    def metrics(self) -> NodeMetrics:
        """The counters published at the management address."""
        return self.context.metrics

    @property
    def idempotency(self) -> IdempotencyTable:
        """What is known of requests that may be sent again."""
        return self.context.duplicates.table

    @property
    def persistence(self) -> Persistence | None:
        """What outlives the process, None where nothing does."""
        return self.context.duplicates.persistence

    @persistence.setter
    def persistence(self, persistence: Persistence | None) -> None:
        self.context.duplicates.persistence = persistence

    @property
    def published_load(self) -> float | None:
        """The load that responses tell, None for none."""
        return self.health.published_load

    @property
    def healthy(self) -> bool:
        """What health checks tell."""
        return self.health.healthy

    def add_frontend(self, front_end: FrontEnd) -> None:
        """Add a front end that hands requests to this node."""
        self.context.front_ends.append(front_end)

    def use_dependencies(self, dependencies: DependencyCalls) -> None:
        """Send all dependency calls there instead of to the one store."""
        self.context.backends.dependencies = dependencies

    def set_claims(self, claims: IdempotencyClaims) -> None:
        """Claim keyed requests against other processes of this node before they run."""
        self.context.duplicates.claims = claims

    def set_rejection_gate(self, gate: RejectionGate) -> None:
        """Have the gate decide when a rejection is sent."""
        self.context.rejection_gate = gate

    def observe_requests(self, observer: Callable[[IncomingRequest], None]) -> None:
        """Call the observer with every request read."""
        self.intake.observer = observer

    def start(self, addresses: BackendAddresses, name: str) -> None:
        """Open the links to the backends; requests run once the interpreter is up."""
        context = self.context
        context.backends.connect(
            context.loop,
            addresses,
            name,
            self.on_interpreter_notice,
            self.on_interpreter_up,
            self.runs.on_reply,
        )
        context.loop.call_later(WATCHDOG_INTERVAL_MS, self._watchdog)
        context.loop.call_later(EXPIRY_INTERVAL_MS, self._expire)

    def on_interpreter_notice(self, notice: Notice) -> None:
        """Handle what the interpreter reports of a run."""
        self.runs.on_notice(notice)

    def on_interpreter_up(self, _banner: InterpreterStarted) -> None:
        """Start the node's work with the interpreter's first start."""
        if not self.context.started:
            self.context.started = True
            self._timers.fire_now()
            self.context.backends.discovery.start()

    def set_backend_addresses(self, addresses: BackendAddresses) -> None:
        """Move the links whose address has changed."""
        self.context.backends.set_addresses(addresses)

    def apply_settings(self, settings: api.Settings, controller_settings: api.Settings) -> None:
        """Replace the settings, whose classes keep their indices (``settings_parser.retuned``).

        The admission controller gets ``controller_settings``, which differ where a feature takes a part over.
        """
        self.context.settings = settings
        self.context.pending_events.append(api.SettingsChanged(controller_settings))

    def drain(self, remaining_ms: float, handover: bool = False) -> None:
        """Carry out the notice to stop: end when all requests are responded to, within ``remaining_ms``.

        In a ``handover`` a newer process of the same name takes the shared listening socket: this one stops
        accepting at once and reports no more to the endpoint list, which follows the reports of both, instead
        of reporting that the node accepts no work.
        """
        self.shutdown.start(remaining_ms, handover)

    def admit(self, front_end: FrontEnd, request: IncomingRequest) -> None:
        """Accept a request that has been read; ``front_end`` sends its final response."""
        self.intake.admit(front_end, request)

    def caller_disconnected(self, request: IncomingRequest, withdrawn: bool = False) -> None:
        """Note that nobody waits for the response any more (``RequestIntake.caller_disconnected``)."""
        self.intake.caller_disconnected(request, withdrawn)

    def process_events(self) -> None:
        """Give the controller all that a turn has brought in one step, then carry out its actions."""
        context = self.context
        if not context.pending_events or not context.started:
            return
        events = context.pending_events.copy()
        context.pending_events.clear()
        now_ms = context.loop.now()
        actions: list[api.Action] = []
        try:
            actions = context.admission.step(now_ms, events)
        except Exception as error:  # a fault in one decision must not cost the other requests their responses
            context.loop.internal_errors.record(ErrorPlace.CONTROLLER)
            logger.opt(exception=True).error("the admission controller failed: {!r}", error)
        self._executor.execute(actions)
        duplicates = context.duplicates
        duplicates.table.end_batch()
        if duplicates.persistence is not None:  # on disk before a command or a response of this turn is sent
            duplicates.persistence.commit()

    def ready(self) -> bool:
        """Return whether this process serves: its interpreter is up, and it has no notice to stop."""
        return self.context.started and self.shutdown.phase is Phase.SERVING

    def outstanding(self) -> int:
        """Return the number of requests without a final response."""
        return self.context.requests.outstanding()

    def running_calls(self) -> list[str]:
        """Return the call ids of unfinished runs."""
        return self.context.requests.running_call_ids()

    def set_maintenance(self, enabled: bool) -> None:
        """Accept no new work while an operator's maintenance lasts."""
        self.health.set_maintenance(enabled)

    def add_published_load(self, fraction: float) -> None:
        """Publish so much more load than the controller does, as a fraction."""
        self.health.add_load(fraction)

    def status(self) -> NodeStatus:
        """Return what the node knows of itself."""
        return self.health.status()

    def _watchdog(self) -> None:
        self.context.loop.call_later(WATCHDOG_INTERVAL_MS, self._watchdog)
        self.health.check_interpreter()
        self._timers.fire_without_timer()

    def _expire(self) -> None:
        self.context.loop.call_later(EXPIRY_INTERVAL_MS, self._expire)
        self.context.duplicates.expire(self.context.loop.now())
