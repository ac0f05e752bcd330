"""The node: wiring of its components, and its public interface.

The node passes events to the admission controller and carries out the actions that it returns. It knows no
protocol of balancers. Whatever the controller or a backend does, the node guarantees that each request gets
exactly one final response by its deadline, that a keyed request does not run twice, and that no request
received after the drain grace runs.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from spindlerelay import api
from spindlerelay.backends.interpreter_protocol import InterpreterStarted
from spindlerelay.node.action_executor import ActionExecutor
from spindlerelay.node.backend_links import BackendAddresses, RunNotice
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

WATCHDOG_INTERVAL_MS = 250.0  # interval of steps for a controller that has set no timer
EXPIRY_INTERVAL_MS = 1000.0  # interval of the removal of expired idempotency records


class Node:
    """Connects front ends, admission controller and backends."""

    def __init__(
        self, loop: EventLoop, settings: api.Settings, admission: AdmissionPolicy, memory_mb: float = 192.0
    ) -> None:
        context = NodeContext(loop, settings, admission, DuplicateRunGuard(memory_mb, settings))
        responder = Responder(context)
        deadlines = DeadlineGuard(context, responder)
        self.context = context
        self.health = HealthMonitor(context)
        self.intake = RequestIntake(context, responder, deadlines)
        self.run_tracker = RunTracker(context, responder)
        self.shutdown = GracefulShutdown(context, self.health, responder, deadlines)
        self._timers = ControllerTimers(context)
        self._executor = ActionExecutor(context, responder, self.health, self._timers, self.shutdown)

    @property
    def admission(self) -> AdmissionPolicy:
        """The admission controller."""
        return self.context.admission

    @property
    def settings(self) -> api.Settings:
        """The current settings. A reload keeps the index of each class, as open requests refer to it."""
        return self.context.settings

    @property
    def metrics(self) -> NodeMetrics:
        """The counters published at the management address."""
        return self.context.metrics

    @property
    def idempotency(self) -> IdempotencyTable:
        """The table of requests that balancers may send again."""
        return self.context.duplicates.table

    @property
    def persistence(self) -> Persistence | None:
        """Storage of keyed runs on disk, None if they are not stored."""
        return self.context.duplicates.persistence

    @persistence.setter
    def persistence(self, persistence: Persistence | None) -> None:
        self.context.duplicates.persistence = persistence

    @property
    def published_load(self) -> float | None:
        """Load to publish in responses, None to publish none."""
        return self.health.published_load

    @property
    def healthy(self) -> bool:
        """Whether health checks report this node as healthy."""
        return self.health.healthy

    def add_frontend(self, front_end: FrontEnd) -> None:
        """Add a front end that hands requests to this node."""
        self.context.front_ends.append(front_end)

    def use_dependencies(self, dependencies: DependencyCalls) -> None:
        """Send all dependency calls to ``dependencies`` instead of to the single store."""
        self.context.backends.dependencies = dependencies

    def set_claims(self, claims: IdempotencyClaims) -> None:
        """Claim keyed requests against other processes of this node before they run."""
        self.context.duplicates.claims = claims
        self.context.duplicates.expire(self.context.loop.now())  # postpones the expiry of older claims

    def set_rejection_gate(self, gate: RejectionGate) -> None:
        """Have the gate decide when a rejection is sent."""
        self.context.rejection_gate = gate

    def observe_requests(self, observer: Callable[[IncomingRequest], None]) -> None:
        """Call ``observer`` with every request that is read."""
        self.intake.observer = observer

    def start(self, addresses: BackendAddresses, name: str) -> None:
        """Connect to the backends under the node's ``name``; requests run once the interpreter is reached."""
        context = self.context
        context.backends.connect(
            context.loop,
            addresses,
            name,
            self.on_interpreter_notice,
            self.on_interpreter_started,
            self.run_tracker.on_reply,
            self.run_tracker.on_unconfirmed,
        )
        context.loop.call_later(WATCHDOG_INTERVAL_MS, self._watchdog)
        context.loop.call_later(EXPIRY_INTERVAL_MS, self._expire)

    def on_interpreter_notice(self, notice: RunNotice) -> None:
        """Handle a notice of the interpreter about a run."""
        self.run_tracker.on_notice(notice)

    def on_interpreter_started(self, _banner: InterpreterStarted) -> None:
        """Start admission and discovery when the interpreter is reached for the first time."""
        if not self.context.started:
            self.context.started = True
            self._timers.fire_now()
            self.shutdown.report_to_controller()
            self.context.backends.discovery.start()

    def set_backend_addresses(self, addresses: BackendAddresses) -> None:
        """Reconnect to the backends whose address has changed."""
        self.context.backends.set_addresses(addresses)

    def apply_settings(self, settings: api.Settings, controller_settings: api.Settings) -> None:
        """Replace the settings. Each class must keep its index (``settings_parser.with_updated_classes``).

        The admission controller gets ``controller_settings``, which differ from ``settings`` where an
        optional feature replaces a part of the controller.
        """
        self.context.settings = settings
        self.context.duplicates.apply_settings(settings)
        self.context.pending_events.append(api.SettingsChanged(controller_settings))

    def drain(
        self, stop_after_ms: float, handover: bool = False, notified_at_ms: float | None = None
    ) -> None:
        """Stop when all requests have their responses, within ``stop_after_ms`` of the notice to stop.

        The notice came at ``notified_at_ms``, or comes now if that is left out. The drain grace counts from
        it, too.

        In a ``handover`` a newer process of the same name takes over the shared listening socket. This
        process stops accepting at once. It also stops its reports to the endpoint list, instead of reporting
        that the node accepts no work: the list follows the reports of both processes.
        """
        now_ms = self.context.loop.now()
        self.shutdown.start(now_ms if notified_at_ms is None else notified_at_ms, stop_after_ms, handover)

    def admit(self, front_end: FrontEnd, request: IncomingRequest) -> None:
        """Accept a request that has been read; ``front_end`` will send its final response."""
        self.intake.admit(front_end, request)

    def caller_disconnected(self, request: IncomingRequest, withdrawn: bool = False) -> None:
        """Handle the loss of a request's caller (``RequestIntake.caller_disconnected``)."""
        self.intake.caller_disconnected(request, withdrawn)

    def process_events(self) -> None:
        """Pass all events of this turn to the controller in one step, then carry out its actions."""
        context = self.context
        if not context.pending_events or not context.started:
            return
        events = context.pending_events.copy()
        context.pending_events.clear()
        now_ms = context.loop.now()
        actions: list[api.Action] = []
        try:
            actions = context.admission.step(now_ms, events)
        except Exception as error:  # one failed step must not cost other requests their responses
            context.loop.internal_errors.record(ErrorPlace.CONTROLLER)
            logger.opt(exception=True).error("the admission controller failed: {!r}", error)
        self._executor.execute(actions)
        duplicates = context.duplicates
        duplicates.table.end_batch()
        if duplicates.persistence is not None:  # written before commands and responses of this turn are sent
            duplicates.persistence.commit()

    def ready(self) -> bool:
        """Return whether this process serves: the interpreter was reached, and no notice to stop has come."""
        return self.context.started and self.shutdown.phase is Phase.SERVING

    def outstanding(self) -> int:
        """Return the number of requests without a final response."""
        return self.context.requests.outstanding()

    def running_calls(self) -> list[str]:
        """Return the call ids of unfinished runs."""
        return self.context.requests.running_call_ids()

    def set_maintenance(self, enabled: bool) -> None:
        """Publish that this node accepts no new work during maintenance by an operator."""
        self.health.set_maintenance(enabled)

    def add_published_load(self, fraction: float) -> None:
        """Publish more load than the controller reports, by this fraction."""
        self.health.add_load(fraction)

    def status(self) -> NodeStatus:
        """Return the current status of the node."""
        return self.health.status()

    def _watchdog(self) -> None:
        self.context.loop.call_later(WATCHDOG_INTERVAL_MS, self._watchdog)
        self.health.check_interpreter()
        self._timers.fire_if_no_timer_pending()

    def _expire(self) -> None:
        self.context.loop.call_later(EXPIRY_INTERVAL_MS, self._expire)
        self.context.duplicates.expire(self.context.loop.now())
