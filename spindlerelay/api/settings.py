"""Settings of one server: request classes, tenants, limits and costs.

This module owns the types only; ``settings_parser`` parses them from the external format. Times are in
milliseconds and sizes in kilobytes; weights and fractions have no unit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Defines whether a request may be run again.

    Attributes:
        IDEMPOTENT: the request may be run again at any time.
        KEYED: repeats carry an idempotency key and are answered with the result of the first run.
        NON_IDEMPOTENT: the request must not be run again.
    """

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DependencyTopology(Enum):
    """Kind of dependency that a run may call.

    Attributes:
        NONE: runs call no dependency.
        SHARED: runs call a dependency that all servers share, within a budget.
        TIER: runs call servers of the next tier, which limit their own load.
    """

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


class CancellationMode(Enum):
    """Effect of a cancellation on a run.

    Attributes:
        NONE: runs cannot be cancelled.
        DROP: the progress of the run is lost.
        PAUSE: the progress of the run is kept, and the run can be resumed.
    """

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class LoadSignal(Enum):
    """Meaning of the published load value for callers.

    Attributes:
        NONE: no load value is published.
        LEVEL: callers do not send requests whose criticality is below the value to this server.
        CREDIT: the value is the number of requests that one caller may have open at this server.
        WEIGHT: the value is the probability with which a caller does not skip this server.
    """

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class ClassSettings(NamedTuple):
    """Settings of one request class.

    Attributes:
        latency_objective_ms: time from the first attempt of a request, after which a response is late.
        deadline_ms: time for which the client waits for a response, over all attempts.
        priority_weight: value of a response in time.
        late_response_weight: value of a late response, as a fraction of ``priority_weight``.
        idempotency: whether a request may be run again.
        idempotency_window_ms: time from the arrival of a keyed request for which its repeats are recognised.
        calls_dependency: whether runs of the class may call the dependency.
        partial_response_weight: value of a response without the dependency call, as a fraction of the value
            of a full response.
        latency_objective_stretch: milliseconds added to the latency objective for each millisecond of the
            cost hint of a request.
        name: name of the class; empty if it has none.
    """

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_response_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_window_ms: float = 0.0
    calls_dependency: bool = False
    partial_response_weight: float = 0.0
    latency_objective_stretch: float = 0.0
    name: str = ""


@dataclass(frozen=True)
class Settings:
    """Settings of a server at its start. A setting that is left at its default has no effect.

    Attributes:
        cores: number of cores of this server, at least 1.
        classes: request classes; events refer to a class by its index.
        tenant_names: names of the tenants, by tenant index.
        tenant_quotas_per_s: quotas in requests per second for all servers together, by tenant index.
        over_quota_weight: factor on the priority weight of requests over their tenant's quota.
        server_count: number of servers of the fleet.
        caller_count: number of callers of this server.
        weighted_by_work: whether a priority weight is a value per unit of work instead of per request.
        memory_kb: memory for all requests; 0 if unbounded.
        run_memory_factor: memory of a running request, divided by the memory of the same request when queued.
        idempotency_entry_kb: memory of one cached result.
        cache_ttl_ms: time for which the result of a read is fresh; 0 if results of reads are not shared.
        cancellation: effect of a cancellation on a run.
        load_signal: meaning of the published load value.
        caller_idle_timeout_ms: time after which callers close an unused connection; 0 if unknown.
        dependency_topology: kind of dependency that runs may call.
        dependency_call_budget: this server's part of the mean number of concurrent calls that the dependency
            survives.
        dependency_call_window_ms: time over which the number of concurrent calls is averaged.
        abandoned_call_ms: longest time for which an abandoned call stays open at the dependency.
        cold_start: whether the server has just started and runs below its full speed.
        cold_speed_fraction: minimum speed at the start, as a fraction of the full speed.
        warm_up_ms: longest time from the start to full speed.
        max_concurrency_per_core: number of concurrent runs per core that the server survives; 0 if unbounded.
        drain_grace_ms: time for which a draining server still admits requests.
        max_retry_after_ms: longest wait that a rejection may advise; 0 if rejections give no such advice.
        tick_ms: minimum time between two steps.
        gauges: names of the gauges in ``TimerFired.gauges``, in the same order.
    """

    cores: int
    classes: tuple[ClassSettings, ...]
    tenant_names: tuple[str, ...] = ()
    tenant_quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    server_count: int = 1
    caller_count: int = 1
    weighted_by_work: bool = False
    memory_kb: float = 0.0
    run_memory_factor: float = 1.0
    idempotency_entry_kb: float = 0.0
    cache_ttl_ms: float = 0.0
    cancellation: CancellationMode = CancellationMode.NONE
    load_signal: LoadSignal = LoadSignal.NONE
    caller_idle_timeout_ms: float = 0.0
    dependency_topology: DependencyTopology = DependencyTopology.NONE
    dependency_call_budget: float = 0.0
    dependency_call_window_ms: float = 0.0
    abandoned_call_ms: float = 0.0
    cold_start: bool = False
    cold_speed_fraction: float = 1.0
    warm_up_ms: float = 0.0
    max_concurrency_per_core: float = 0.0
    drain_grace_ms: float = 0.0
    max_retry_after_ms: float = 0.0
    tick_ms: float = 0.0
    gauges: tuple[str, ...] = ()
