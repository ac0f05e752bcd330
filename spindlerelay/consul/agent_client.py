"""I/O adapter of the registration: steps the health policy and the registration, and executes their actions.

The client never delays the processing of a request. It reads the node's status every
``HEALTH_CHECK_INTERVAL_MS``, sets the maintenance mode, and holds rejections for a bounded time. The ACL
token is read from its file and is used in one request header only.
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

HEALTH_CHECK_INTERVAL_MS = 25.0  # applies while requests are queued; doubled while the queue is empty
MAX_RESPONSE_BYTES = 256 << 10
MAX_TOKEN_BYTES = 4096


class Options(NamedTuple):
    """The ``[consul]`` table of the operator's file; times are in ms."""

    address: tuple[str, int]
    service: str
    id: str
    tags: tuple[str, ...] = ()
    meta: tuple[tuple[str, str], ...] = ()
    token_file: str = ""
    ttl_ms: float = 10_000.0
    deregister_after_ms: float = 60_000.0


class MonitoredNode(Protocol):
    """The interface of the node that this package uses."""

    def status(self) -> NodeStatus:
        """Return the node's load and health."""
        ...

    def set_maintenance(self, on: bool) -> None:
        """Turn the maintenance mode on or off; while it is on, the node accepts no new requests."""
        ...

    def set_rejection_gate(self, gate: protocols.RejectionGate) -> None:
        """Set the gate that decides when a rejection is sent."""
        ...


class TokenError(SpindlerelayError):
    """Raised for an unusable token file. The message names the file and the remedy, never the token."""


def read_token(path: str) -> str:
    """Return the ACL token from a file, or "" for an empty path.

    Raises:
        TokenError: the file cannot be read, or does not contain exactly one word.
    """
    if not path:
        return ""
    try:
        with Path(path).open(encoding="ascii") as file:
            token = file.read(MAX_TOKEN_BYTES + 1).strip()
    except OSError as error:
        raise TokenError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise TokenError(f"{path}: expected one ASCII word, the ACL token") from None
    if not token or len(token) > MAX_TOKEN_BYTES or not token.isprintable() or " " in token:
        raise TokenError(f"{path}: expected one word of at most {MAX_TOKEN_BYTES} characters, the ACL token")
    return token


class AgentClient:
    """Maintains the registration of the node's service with the agent, until the process ends.

    Args:
        loop: the node's event loop.
        options: the ``[consul]`` table.
        settings: the node's settings.
        listen: the address to register.
        node: the node whose health is reported.
        seed: seed of the jitter, which also gives the id of this process's instance.
        weight: returns the weight to publish, 1.0 for an average node; None publishes 1.0.

    Raises:
        TokenError: the token file is unusable.
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
        self._poll_health()

    def start_shutdown(self) -> None:
        """Deregister the service before the node drains."""
        self._step([events.ShutdownStarted()])

    def hold(self, send: Callable[[], None], due_at_ms: float) -> bool:
        """Hold a rejection until the agent has confirmed that the node is critical.

        Returns:
            Whether the rejection is held. It is not held if the agent has already confirmed, if the node is
            not critical, or if no confirmation is expected in time.
        """
        if self.registration.is_critical_confirmed():
            return False
        self._update_health(self.node.status())
        return self.registration.is_critical_pending() and self._gate.hold(send, due_at_ms)

    def close(self) -> None:
        """Do nothing: the service was deregistered during the drain."""

    def reload(self) -> None:
        """Read the token file again (SIGHUP). An unusable file leaves the previous token in use."""
        try:
            token = read_token(self.options.token_file)
        except TokenError as error:
            logger.error("consul: token not reloaded, the previous token stays in use: {}", error)
            return
        if token != self.token:
            logger.info("consul: token reloaded")
        self.token = token
        self._step([events.TokenReloaded()])

    def _poll_health(self) -> None:
        if self.registration.state is RegistrationState.DEREGISTERED:
            return
        status = self.node.status()
        interval = HEALTH_CHECK_INTERVAL_MS if status.queue_utilization else 2 * HEALTH_CHECK_INTERVAL_MS
        self.loop.call_later(interval, self._poll_health)
        self._update_health(status)

    def _update_health(self, status: NodeStatus) -> None:
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
        if not self.registration.is_critical_pending():
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
