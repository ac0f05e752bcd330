"""Events that the admission controller receives, and the state that it reports.

This module holds values only. Times are in milliseconds, sizes in kilobytes. ``id`` is the identifier of a
request.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from spindlerelay.api.settings import Settings


class Outcome(Enum):
    """Outcome of a run or a dependency call.

    OVERLOADED, CONNECT_FAILED and NEVER_STARTED prove that the run or call had no effect. After ERROR,
    TIMEOUT, RESET and CANCELLED it is unknown whether there was an effect.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_STARTED = "moot"


OUTCOMES_WITHOUT_EFFECT = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NEVER_STARTED})


class RequestReceived(NamedTuple):
    """A request has been read. It is queued until an action decides on it.

    Attributes:
        id: identifier of the request.
        class_index: index of the request class in ``Settings.classes``.
        read_delay_ms: time between the arrival of the request and its reading.
        remaining_ms: time for which the caller still waits; 0 if unknown.
        resource_key: key of the requested resource, equal for all requests for it; 0 if there is none.
        original_id: identifier of the request that this one repeats or whose result it may share; 0 if none.
        criticality: number from 0 to below 1 that callers compare with the load value of LoadSignal.LEVEL.
        queued_memory_kb: memory that the request takes while it is queued.
        tenant_index: index of the tenant in ``Settings.tenant_names``.
        cost_hint_ms: expected core time on a standard core; 0 if unknown.
        is_retry: whether the request is marked as a retry.
        is_write: whether the request is a write.
        caller_id: identifier of the caller that sent the request.
    """

    id: int
    class_index: int
    read_delay_ms: float = 0.0
    remaining_ms: float = 0.0
    resource_key: int = 0
    original_id: int = 0
    criticality: float = 0.0
    queued_memory_kb: float = 0.0
    tenant_index: int = 0
    cost_hint_ms: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    caller_id: int = 0


class RunCompleted(NamedTuple):
    """A run, or a response from the cache, has ended after ``duration_ms``."""

    id: int
    outcome: Outcome
    duration_ms: float = 0.0


class RunUnconfirmed(NamedTuple):
    """It is unknown whether a run proceeds: a command that it needs may be lost, and cannot be sent again.

    Attributes:
        id: identifier of the request.
        at_call: whether the command is the response of a dependency call. A run without it waits for
            ``SkipDependencyCall`` or ``Fail``. Otherwise the command is the start of the run.
    """

    id: int
    at_call: bool


class CallerDisconnected(NamedTuple):
    """The caller of a request has stopped waiting for the response."""

    id: int


class DependencyCallRequested(NamedTuple):
    """A run needs a dependency call and waits for ``CallDependency``, ``SkipDependencyCall`` or ``Fail``.

    Attributes:
        id: identifier of the request.
        partial_response_weight: value of a response without this call, as a fraction of the value of a full
            response; negative if the fraction of the class applies.
    """

    id: int
    partial_response_weight: float = -1.0


class DependencyCallCompleted(NamedTuple):
    """The dependency call of a run has ended after ``duration_ms``."""

    id: int
    outcome: Outcome
    duration_ms: float = 0.0


class DrainStarted(NamedTuple):
    """The server starts to drain. Its process is stopped after ``remaining_ms``.

    Attributes:
        remaining_ms: time from now to the stop of the process.
        elapsed_ms: time since the notice to stop came; the drain grace counts from the notice.
    """

    remaining_ms: float
    elapsed_ms: float = 0.0


class TimerFired(NamedTuple):
    """A timer has fired. ``gauges`` are the current values, in the order of ``Settings.gauges``."""

    token: int
    gauges: tuple[float, ...] = ()


class SettingsChanged(NamedTuple):
    """The request classes have changed. Existing classes keep their index, new classes follow them.

    All other settings are unchanged.
    """

    settings: Settings


Event = (
    RequestReceived
    | RunCompleted
    | RunUnconfirmed
    | CallerDisconnected
    | DependencyCallRequested
    | DependencyCallCompleted
    | DrainStarted
    | TimerFired
    | SettingsChanged
)


class ControllerStatus(NamedTuple):
    """Measurements of the controller for health reports.

    Attributes:
        queue_utilization: fraction of the allowed waiting time that the queue takes, for the class that
            allows the shortest wait; at 1 the next request of that class is rejected.
        mean_core_ms: mean core time of a run; 0 before enough runs have ended for a mean.
        self_ejected: whether the server has removed itself from the endpoint list.
    """

    queue_utilization: float = 0.0
    mean_core_ms: float = 0.0
    self_ejected: bool = False


class LearnedState(NamedTuple):
    """State that a controller has learned and that may outlive its process.

    The code that stores and restores the state decays it by its age and limits it to valid ranges.

    Attributes:
        concurrency_limit: limit of concurrent runs.
        mean_call_ms: mean time of dependency calls.
        requests_by_tenant: decaying request counts, by tenant index.
        class_statistics: values of the decaying windows, by class index and in the order that the controller
            defines.
    """

    concurrency_limit: float
    mean_call_ms: float
    requests_by_tenant: tuple[float, ...]
    class_statistics: tuple[tuple[float, ...], ...]
