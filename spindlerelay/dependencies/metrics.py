"""Publication of the dependencies' metrics to a ``MetricsSink``, by default the structured log.

Another metrics library is connected by another implementation of ``MetricsSink``; the published names stay
the same. The log gets one line per dependency and publication interval, never one per request.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from loguru import logger

from spindlerelay.dependencies.call_counters import CallCounter
from spindlerelay.dependencies.call_events import DependencyMetrics

# Published name of each gauge, and the field of ``DependencyMetrics`` that holds the value.
PUBLISHED_GAUGES = {
    "in_hand": "in_flight",
    "limit": "limit",
    "waiting": "queued",
    "call_ms": "mean_call_ms",
    "retry_tokens": "retry_tokens",
}
PUBLISHED_COUNTS = tuple(counter.value for counter in CallCounter)


class MetricsSink(Protocol):
    """A destination for metrics of dependencies."""

    def publish(
        self, name: str, breaker_state: str, gauges: dict[str, float], counts: dict[str, int]
    ) -> None:
        """Publish the current gauges of the dependency ``name``, and its counters since the start."""
        ...


class LogSink:
    """Logs metrics as text and structured fields; counters appear as increments since the last line."""

    def __init__(self) -> None:
        self._published_counts: dict[str, dict[str, int]] = {}

    def publish(
        self, name: str, breaker_state: str, gauges: dict[str, float], counts: dict[str, int]
    ) -> None:
        """Write one log line with the metrics of a dependency."""
        before = self._published_counts.get(name, {})
        self._published_counts[name] = counts
        shown = {key: round(value, 1) for key, value in gauges.items()}
        increments = {key: count - before.get(key, 0) for key, count in counts.items()}
        shown |= {key: increment for key, increment in increments.items() if increment}
        fields = {"dependency": name, "breaker": breaker_state, **shown}
        text = " ".join(f"{key}={value:g}" for key, value in shown.items())
        logger.bind(**fields).info("dependency: {} {} {}", name, breaker_state, text)


def publish(metrics: Iterable[DependencyMetrics], sink: MetricsSink) -> None:
    """Publish the metrics of each dependency."""
    for dependency in metrics:
        gauges = {key: float(getattr(dependency, field)) for key, field in PUBLISHED_GAUGES.items()}
        sink.publish(dependency.name, dependency.breaker_state, gauges, dict(dependency.counts))
