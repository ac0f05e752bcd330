"""I/O adapter of the registration: steps health policy and registration, and carries out their actions.

It never delays a request: all it shares with the node is its status every ``HEALTH_CHECK_INTERVAL_MS`` and
the maintenance mode. The ACL token is read from its file, goes into one header and nowhere else.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol

from loguru import logger

from spindlerelay.api import Settings
from spindlerelay.consul import api_codec
from spindlerelay.consul import registration_events as events
from spindlerelay.consul.health_policy import FULL_WEIGHT, HealthPolicy, HealthState, HealthVerdict
from spindlerelay.consul.registration import Registration, RegistrationState
from spindlerelay.consul.rejection_gate import RejectionGate
from spindlerelay.errors import SpindlerelayError
from spindlerelay.node import protocols
from spindlerelay.node.health import NodeStatus
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.http_client import HttpClient, HttpFailure, HttpResponse
from spindlerelay.transport.timer_wheel import TICK_MS, Timer

HEALTH_CHECK_INTERVAL_MS = 25.0  # while requests are queued; twice that otherwise
MAX_RESPONSE_BYTES = 256 << 10
MAX_TOKEN_BYTES = 4096


class Options(NamedTuple):
    """The ``[consul]`` table of the operator's file. Times in ms."""

    address: tuple[str, int]
    service: str
    id: str
    tags: tuple[str, ...] = ()
    meta: tuple[tuple[str, str], ...] = ()
    token_file: str = ""
    ttl_ms: float = 10_000.0
    deregister_after_ms: float = 60_000.0


class MonitoredNode(Protocol):
    """The node, as far as this package uses it."""

    def status(self) -> NodeStatus:
        """Return what the node knows of itself."""
        ...

    def set_maintenance(self, on: bool) -> None:
        """Accept no new work while ``on``."""
        ...

    def set_rejection_gate(self, gate: protocols.RejectionGate) -> None:
        """Have the gate decide when a rejection is sent."""
        ...


class TokenError(SpindlerelayError):
    """The token file cannot be used. The text names file and remedy, never the token."""


def read_token(path: str) -> str:
    """Return the token in a file, "" where no file is named.

    Raises:
        TokenError: the file cannot be read, or does not hold one word.
    """
    if not path:
        return ""
    try:
        with Path(path).open(encoding="ascii") as file:
            token = file.read(MAX_TOKEN_BYTES + 1).strip()
    except OSError as error:
        raise TokenError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise TokenError(f"{path}: a token is plain ASCII text") from None
    if not token or len(token) > MAX_TOKEN_BYTES or not token.isprintable() or " " in token:
        raise TokenError(f"{path}: expected one word, the ACL token")
    return token


class AgentClient:
    """Keeps the node's service in the agent's catalogue, from the start until the process ends.

    Args:
        loop: the node's event loop.
        options: the operator's table.
        settings: the node's settings.
        listen: the address that is registered.
        node: whose health is reported.
        seed: of the jitter, and the mark of this process.
        weight: returns the weight to publish, 1.0 for an average node; None for always 1.0.

    Raises:
        TokenError: the token file cannot be used.
    """

    def __init__(
        self,
        loop: EventLoop,
        options: Options,
        settings: Settings,
        listen: tuple[str, int],
        node: MonitoredNode,
        seed: int,
        weight: Callable[[], float] | None = None,
    ) -> None:
        self.loop = loop
        self.options = options
        self.node = node
        self.weight = weight
        self.token = read_token(options.token_file)
        host, port = listen
        instance_id = f"{seed & (1 << 64) - 1:016x}"
        self.service = api_codec.ServiceDefinition(
            options.service,
            options.id,
            host,
            port,
            instance_id,
            options.ttl_ms,
            options.deregister_after_ms,
            options.tags,
            options.meta,
        )
        self.health_policy = HealthPolicy(settings)
        self.registration = Registration(seed, instance_id, f"{host}:{port}", options.ttl_ms)
        self._client = HttpClient(loop, options.address, MAX_RESPONSE_BYTES)
        self._step_timer: Timer | None = None
        self._last_verdict: HealthVerdict | None = None
        self._logged_state: HealthState | None = None
        self._gate = RejectionGate(loop)
        node.set_rejection_gate(self)
        self._check_health()

    def start_shutdown(self) -> None:
        """Deregister the service, ahead of the node's own drain."""
        self._step([events.ShutdownStarted()])

    def hold(self, send: Callable[[], None], due_at_ms: float) -> bool:
        """Hold a rejection until the agent has confirmed that the node is critical.

        Returns False where it has, where the node's health does not ask for that, or where no confirmation
        is to be expected.
        """
        if self.registration.shows_critical():
            return False
        self._look_at_health(self.node.status())
        return self.registration.publishes_critical() and self._gate.hold(send, due_at_ms)

    def close(self) -> None:
        """Do nothing: the service was deregistered during the drain."""

    def reload(self) -> None:
        """Read the token file again (SIGHUP). A bad one leaves the old token in use."""
        try:
            token = read_token(self.options.token_file)
        except TokenError as error:
            logger.error("consul: token not taken, the old one stays: {}", error)
            return
        if token != self.token:
            logger.info("consul: token read again")
        self.token = token
        self._step([events.TokenReloaded()])

    def _check_health(self) -> None:
        if self.registration.state is RegistrationState.DEREGISTERED:
            return
        status = self.node.status()
        interval = HEALTH_CHECK_INTERVAL_MS if status.queue_utilization else 2 * HEALTH_CHECK_INTERVAL_MS
        self.loop.call_later(interval, self._check_health)
        self._look_at_health(status)

    def _look_at_health(self, status: NodeStatus) -> None:
        verdict = self.health_policy.step(self.loop.now(), status)
        if self.weight is not None:
            verdict = verdict._replace(full_weight=max(1, round(FULL_WEIGHT * self.weight())))
        if verdict == self._last_verdict:
            return
        self._last_verdict = verdict
        if verdict.state is not self._logged_state:
            self._logged_state = verdict.state
            logger.info("consul: health is {}: {}", verdict.state.value, verdict.reason)
        self._step([events.HealthChanged(verdict)])

    def _step(self, received: list[events.Event]) -> None:
        for action in self.registration.step(self.loop.now(), received):
            self._execute(action)
        if not self.registration.publishes_critical():
            self._gate.release()

    def _execute(self, action: events.Action) -> None:
        match action:
            case events.AgentRequest():
                request = api_codec.encode_request(action, self.service, self.token)
                self._client.request(
                    request, action.timeout_ms, lambda response: self._request_completed(action, response)
                )
            case events.CancelRequest():
                self._client.cancel()
            case events.ScheduleStep(at_ms):
                self._schedule_step(at_ms)
            case events.MaintenanceChanged(enabled):
                self.node.set_maintenance(enabled)
            case events.LogMessage(level, text):
                logger.log(level.upper(), "{}", text)

    def _request_completed(self, request: events.AgentRequest, response: HttpResponse | HttpFailure) -> None:
        completed = api_codec.decode_response(request, response)
        if completed.result is events.Result.OK:
            self._gate.confirmed()
        self._step([completed])

    def _schedule_step(self, at_ms: float) -> None:
        if self._step_timer:
            self._step_timer.cancel()
        earliest = self.loop.now() + TICK_MS
        self._step_timer = self.loop.timers.schedule(max(at_ms, earliest), lambda: self._step([]))
