"""Events and actions of the registration's state machine, as immutable values."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from spindlerelay.consul.health_policy import HealthVerdict

NO_WEIGHTS = (0, 0)


class Operation(Enum):
    """Operations of the agent's API. The values appear in log lines."""

    READ = "look"
    REGISTER = "register"
    UPDATE = "update"
    DEREGISTER = "deregister"


class Result(Enum):
    """Outcomes of a request to the agent. The values appear in log lines."""

    OK = "ok"
    ABSENT = "absent"  # status 404, or a response that the agent does not know the service
    DENIED = "denied"  # status 401 or 403
    BUSY = "busy"
    ERROR = "error"  # any other status
    MALFORMED = "garbled"  # invalid HTTP, or a response without the documented structure
    REFUSED = "refused"
    TIMEOUT = "timeout"
    BROKEN = "broken"  # the connection ended before the end of the response
    TOO_LARGE = "too_large"


class RegisteredService(NamedTuple):
    """The service as it is registered with the agent."""

    instance_id: str
    address: str
    status: str
    maintenance: bool


# Events


class HealthChanged(NamedTuple):
    """The health policy of the node has produced a new verdict."""

    verdict: HealthVerdict


class RequestCompleted(NamedTuple):
    """The pending request has ended.

    Attributes:
        detail: description of a failure, for the log.
        service: the service that a read has found; None if there is none, or for other operations.
    """

    operation: Operation
    result: Result
    detail: str = ""
    service: RegisteredService | None = None


class ShutdownStarted(NamedTuple):
    """The node has started its drain, so the service must be deregistered."""


class TokenReloaded(NamedTuple):
    """The ACL token was read again, so a request that was denied may now succeed."""


Event = HealthChanged | RequestCompleted | ShutdownStarted | TokenReloaded


# Actions


class AgentRequest(NamedTuple):
    """Send a request to the agent.

    Attributes:
        status: status of the check, for an update.
        output: output of the check, for an update.
        weights: weight while the check is passing, and weight while the check is not passing.
    """

    operation: Operation
    timeout_ms: float
    status: str = ""
    output: str = ""
    weights: tuple[int, int] = NO_WEIGHTS


class CancelRequest(NamedTuple):
    """Cancel the pending request, which the agent may nevertheless have executed."""


class ScheduleStep(NamedTuple):
    """Step again at this time, unless an event causes an earlier step."""

    at_ms: float


class LogMessage(NamedTuple):
    """Log one line for the operator."""

    level: str
    text: str


class MaintenanceChanged(NamedTuple):
    """Turn the node's maintenance mode on or off, as the operator has set it at the agent."""

    enabled: bool


Action = AgentRequest | CancelRequest | ScheduleStep | LogMessage | MaintenanceChanged
