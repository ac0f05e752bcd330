"""The operator's table of dependencies with their routes, and the validation of the whole table.

Pure. Defines the options of a dependency and the combinations of options that are invalid. Does not depend on
a file format: it receives values and returns errors, each with the key in the operator's file. Times are in
ms.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from spindlerelay.api import Idempotency, Settings

# Keywords of the operator's file for the two fallbacks that are not the name of a dependency.
USE_CACHE = "kept"  # use a cached response
SKIP_CALL = "skip"  # continue the run without the call
FALLBACK_KEYWORDS = (USE_CACHE, SKIP_CALL)


class Route(NamedTuple):
    """Selects calls of a class whose body begins with a prefix; the longest matching prefix applies."""

    class_name: str
    prefix: bytes = b""


class DependencySpec(NamedTuple):
    """The configuration of one dependency.

    Attributes:
        name: unique name of the dependency.
        address: host and port.
        routes: calls that have this dependency as their primary one.
        max_concurrency: most calls in flight from this node.
        fleet_capacity: concurrent calls that the dependency can serve for all nodes; 0 if unknown.
        time_fraction: part of a request's time left, less the expected rest of the run, that a call may take.
        timeout_ms: upper bound on the timeout of a call; with 0, only ``time_fraction`` bounds it.
        limit_algorithm: algorithm of the concurrency limit, a key of ``LIMIT_ALGORITHMS``.
        fallbacks: fallbacks in order: names of other dependencies, and ``FALLBACK_KEYWORDS``.
        partial_response_weights: class names, each with the weight of its response without a call.
        cache_max_age_ms: greatest age of a cached response; 0 if responses are not cached.
        fallback_quota: fraction of the limit that fallback calls of other dependencies may use.
        retry_ratio: long-term maximum of retries per first attempt.
        slow_call_ms: duration above which a successful call counts as a failure; 0 if it never does.
        breaker_open_ms: first wait of an open circuit breaker, before jitter and growth.
    """

    name: str
    address: tuple[str, int]
    routes: tuple[Route, ...] = ()
    max_concurrency: int = 8
    fleet_capacity: float = 0.0
    time_fraction: float = 0.8
    timeout_ms: float = 0.0
    limit_algorithm: str = "vegas"
    fallbacks: tuple[str, ...] = ()
    partial_response_weights: tuple[tuple[str, float], ...] = ()
    cache_max_age_ms: float = 0.0
    fallback_quota: float = 0.25
    retry_ratio: float = 0.1
    slow_call_ms: float = 0.0
    breaker_open_ms: float = 700.0


class InvalidValue(NamedTuple):
    """An error in the table: the key in the operator's file, and a message of one line."""

    key: str
    text: str


class RoutingTable(NamedTuple):
    """The dependencies of a node."""

    specs: tuple[DependencySpec, ...]

    def find(self, name: str) -> DependencySpec | None:
        """Return the dependency with this name, or None if there is none."""
        return next((spec for spec in self.specs if spec.name == name), None)

    def route(self, class_name: str, body: bytes) -> DependencySpec | None:
        """Return the dependency to which a call is routed, or None if no route matches."""
        best, longest = None, -1
        for spec in self.specs:
            for route in spec.routes:
                matches = route.class_name == class_name and body.startswith(route.prefix)
                if matches and len(route.prefix) > longest:
                    best, longest = spec, len(route.prefix)
        return best

    def partial_response_weight(self, spec: DependencySpec, class_name: str) -> float:
        """Return the weight of a response without a call to this dependency; 0 if calls are required."""
        return (
            dict(spec.partial_response_weights).get(class_name, 0.0) if SKIP_CALL in spec.fallbacks else 0.0
        )


def validate_table(table: RoutingTable) -> list[tuple[str, str]]:
    """Return the errors of the table that do not depend on a node's settings, as ``InvalidValue`` values."""
    errors: list[tuple[str, str]] = []
    indexes: dict[str, int] = {}
    routes: dict[Route, str] = {}
    for index, spec in enumerate(table.specs):
        path = f"dependency.{index}"
        if spec.name in indexes:
            text = f"duplicate name {spec.name!r}; each dependency needs a unique name"
            errors.append(InvalidValue(f"{path}.name", text))
        if spec.name in FALLBACK_KEYWORDS:
            text = f"{spec.name!r} is a reserved word of fallback; choose another name"
            errors.append(InvalidValue(f"{path}.name", text))
        indexes[spec.name] = index
        for route in spec.routes:
            if route in routes:
                text = f"class {route.class_name!r} with prefix {route.prefix.decode()!r}"
                text += f" is already routed to {routes[route]!r}; remove one of the two routes"
                errors.append(InvalidValue(f"{path}.routes", text))
            routes[route] = spec.name
        errors += [InvalidValue(f"{path}.{key}", text) for key, text in _validate_fallbacks(spec, table)]
    errors += _validate_fallback_cycles(table, indexes)
    return errors


def _validate_fallbacks(spec: DependencySpec, table: RoutingTable) -> Iterator[InvalidValue]:
    for fallback in spec.fallbacks:
        if fallback not in FALLBACK_KEYWORDS and table.find(fallback) is None:
            names = [other.name for other in table.specs if other.name != spec.name]
            known_names = ", ".join([*FALLBACK_KEYWORDS, *names])
            yield InvalidValue("fallback", f"unknown dependency {fallback!r}; expected one of: {known_names}")
    if len(set(spec.fallbacks)) < len(spec.fallbacks):
        yield InvalidValue("fallback", "duplicate fallback; each fallback is tried once, list it once")
    if SKIP_CALL in spec.fallbacks[:-1]:
        yield InvalidValue("fallback", "'skip' must be the last fallback: nothing is tried after it")
    if (SKIP_CALL in spec.fallbacks) != bool(spec.partial_response_weights):
        yield InvalidValue(
            "partial", "'skip' in fallback and classes in partial require each other; set both or neither"
        )
    if (USE_CACHE in spec.fallbacks) != (spec.cache_max_age_ms > 0):
        yield InvalidValue(
            "kept_for", "'kept' in fallback and kept_for require each other; set both or neither"
        )


def _validate_fallback_cycles(table: RoutingTable, indexes: dict[str, int]) -> Iterator[InvalidValue]:
    """Yield an error for each cycle of fallbacks.

    A call is never passed on to a third dependency, so a cycle has no effect at run time. It is rejected
    because its author expects calls to be passed on.
    """
    for spec in table.specs:
        path = [spec.name]
        current = spec
        while True:
            candidates = [
                table.find(fallback) for fallback in current.fallbacks if fallback not in FALLBACK_KEYWORDS
            ]
            next_spec = next((candidate for candidate in candidates if candidate is not None), None)
            if next_spec is None or next_spec.name in path[1:]:
                break
            path.append(next_spec.name)
            if next_spec.name == spec.name:
                cycle = " to ".join(path)
                key = f"dependency.{indexes[spec.name]}.fallback"
                yield InvalidValue(
                    key, f"fallback cycle: {cycle}; a fallback must not lead back to its dependency"
                )
                break
            current = next_spec


def validate_for_node(table: RoutingTable, settings: Settings) -> list[tuple[str, str]]:
    """Return all errors of the table on a node with these settings, as ``InvalidValue`` values."""
    errors = validate_table(table)
    for index, spec in enumerate(table.specs):
        errors += [
            InvalidValue(f"dependency.{index}.{key}", text)
            for key, text in (*_validate_classes(spec, settings), *_validate_capacity(spec, settings))
        ]
    for class_settings in settings.classes:
        if class_settings.calls_dependency and table.route(class_settings.name, b"") is None:
            text = f"class {class_settings.name!r} makes calls, but has no route without a prefix; add one"
            errors.append(InvalidValue("dependency", text))
    return errors


def _validate_classes(spec: DependencySpec, settings: Settings) -> Iterator[InvalidValue]:
    classes = {class_settings.name: class_settings for class_settings in settings.classes}
    known_names = ", ".join(sorted(classes))
    for route in spec.routes:
        name = route.class_name
        if name not in classes:
            yield InvalidValue("routes", f"unknown class {name!r}; expected one of: {known_names}")
        elif not classes[name].calls_dependency:
            yield InvalidValue("routes", f"class {name!r} makes no calls; remove its route")
    for name, weight in spec.partial_response_weights:
        if name not in classes:
            yield InvalidValue("partial", f"unknown class {name!r}; expected one of: {known_names}")
        elif classes[name].idempotency is not Idempotency.IDEMPOTENT:
            text = f"class {name!r} is not idempotent, so it cannot have partial responses; remove it"
            yield InvalidValue("partial", text)
        elif weight <= 0:
            yield InvalidValue(
                "partial", f"weight of class {name!r} must be above 0; set it or remove the class"
            )


def _validate_capacity(spec: DependencySpec, settings: Settings) -> Iterator[InvalidValue]:
    node_quota = spec.fleet_capacity / max(1, settings.server_count)
    if spec.fleet_capacity and spec.max_concurrency > node_quota:
        text = f"{spec.max_concurrency} exceeds this node's share of {node_quota:g}"
        text += f" ({spec.fleet_capacity:g} concurrent calls for {settings.server_count} nodes)"
        yield InvalidValue("budget", text)
