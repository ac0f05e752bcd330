"""Schema of the operator's TOML file, which is validated completely before the node starts.

This module maps the file's keys to internal names. All errors are reported at once, each in one line with the
file, the key, the value found and the expected value. A feature without a table in the file is off.
"""

from __future__ import annotations

import difflib
import re
import socket
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, ValidationError

from spindlerelay.api import Settings
from spindlerelay.config import schema
from spindlerelay.config.schema import FileError, Table
from spindlerelay.dependencies import routing_table as dependencies

UNITS_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
MIN_DEREGISTER_AFTER_MS = 60_000.0  # minimum of DeregisterCriticalServiceAfter in the Consul agent API
MAX_PREFIX_BYTES = 200  # leading bytes of a call's body that a route may compare
MAX_DEPENDENCIES = 16
MAX_CALL_BUDGET = 512  # concurrent calls from one node to one dependency
MAX_REPORTED_ERRORS = 50


def parse_address(value: Any) -> tuple[str, int]:
    """Return the host and port; the text of a ValueError is the expected form."""
    host, _, port = str(value).rpartition(":")
    try:
        socket.inet_aton(host)  # names are not resolved
    except OSError:
        host = ""
    if not host or host.count(".") != 3 or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('an IPv4 address with a port, such as "127.0.0.1:8500"')
    return host, int(port)


def parse_duration(value: Any) -> float:
    """Return the milliseconds of a time with a unit; the text of a ValueError is the expected form."""
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)", value) if isinstance(value, str) else None
    if not match:
        raise ValueError('a time with its unit, such as "90s" or "2m"')
    return float(match[1]) * UNITS_MS[match[2]]


def _parse_deregister_after(value: Any) -> float:
    ms = parse_duration(value)
    if ms < MIN_DEREGISTER_AFTER_MS:
        raise ValueError('at least "1m", the minimum of the Consul agent')
    return ms


def _parse_prefix(value: Any) -> str:
    if not isinstance(value, str) or len(value.encode()) > MAX_PREFIX_BYTES:
        raise ValueError(f"text of at most {MAX_PREFIX_BYTES} bytes")
    return value


Prefix = Annotated[str, BeforeValidator(_parse_prefix)]
Duration = Annotated[float, BeforeValidator(parse_duration)]
Address = Annotated[tuple[str, int], BeforeValidator(parse_address)]
DeregisterAfter = Annotated[float, BeforeValidator(_parse_deregister_after)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,126}$")]
Text = Annotated[str, Field(max_length=512)]


class LogTable(Table):
    """How the log is written."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class ConsulTable(Table):
    """The node's service in a Consul catalogue."""

    address: Address
    service: Name
    id: Name | None = None
    tags: Annotated[list[Text], Field(max_length=64)] = []
    meta: Annotated[
        dict[Annotated[str, Field(pattern=r"^[A-Za-z0-9_-]{1,128}$")], Text], Field(max_length=60)
    ] = {}
    token_file: Text = ""
    ttl_ms: Annotated[float, Field(ge=1000.0, le=3_600_000.0, strict=False)] = 10_000.0
    deregister_after: DeregisterAfter = 60_000.0


class RouteTable(Table):
    """A route to a dependency, for calls of one class whose body begins with the prefix."""

    cls: Annotated[Text, Field(alias="class", min_length=1)]
    prefix: Prefix = ""


Fraction = Annotated[float, Field(ge=0.0, le=1.0, strict=False)]


class DependencyTable(Table):
    """One dependency; times have a unit in the file."""

    name: Name
    address: Address
    protocol: Literal["store"] = "store"
    routes: Annotated[list[RouteTable], Field(max_length=64)] = []
    budget: Annotated[int, Field(ge=1, le=MAX_CALL_BUDGET)] = 8
    capacity: Annotated[float, Field(ge=0.0, le=1e6, strict=False)] = 0.0
    time_share: Annotated[float, Field(ge=0.05, le=1.0, strict=False)] = 0.8
    timeout: Duration = 0.0
    limit: Literal["aimd", "vegas", "gradient"] = "vegas"
    fallback: Annotated[list[Text], Field(max_length=8)] = []
    partial: Annotated[dict[Text, Fraction], Field(max_length=64)] = {}
    kept_for: Duration = 0.0
    guest_share: Fraction = 0.25
    retry_share: Fraction = 0.1
    slow_after: Duration = 0.0
    open_for: Annotated[float, BeforeValidator(parse_duration), Field(ge=50.0, le=60_000.0)] = 700.0

    def dependency_spec(self) -> dependencies.DependencySpec:
        """Return the specification that the call scheduler uses."""
        routes = tuple(dependencies.Route(route.cls, route.prefix.encode()) for route in self.routes)
        return dependencies.DependencySpec(
            self.name,
            self.address,
            routes,
            self.budget,
            self.capacity,
            self.time_share,
            self.timeout,
            self.limit,
            tuple(self.fallback),
            tuple(sorted(self.partial.items())),
            self.kept_for,
            self.guest_share,
            self.retry_share,
            self.slow_after,
            self.open_for,
        )


class MetricsTable(Table):
    """How often metrics are logged."""

    every: Annotated[float, BeforeValidator(parse_duration), Field(ge=100.0, le=3_600_000.0)] = 10_000.0


class CaptureTable(Table):
    """A trace of the requests that the node reads."""

    path: Annotated[Text, Field(min_length=1)]
    max_mb: Annotated[float, Field(gt=0.0, le=4096.0, strict=False)] = 64.0
    max_requests: Annotated[int, Field(ge=1, le=5_000_000)] = 200_000


class StorageTable(Table):
    """Storage of keyed requests that ran, their results, and the learned state."""

    path: Annotated[Text, Field(min_length=1)]
    durability: Literal["process", "power"] = "process"
    results_mb: Annotated[float, Field(ge=0.0, le=1024.0, strict=False)] = 16.0
    compact_mb: Annotated[float, Field(ge=0.01, le=512.0, strict=False)] = 4.0


class MembershipTable(Table):
    """Gossip between nodes, for failure detection and for load weights from node reports."""

    listen: Address
    advertise: Address | None = None
    seeds: Annotated[list[Address], Field(max_length=64)] = []
    cluster: Name
    site: Annotated[str, Field(max_length=64)] = ""
    weigh: bool = True


class OperatorConfig(Table):
    """The operator's file."""

    log: LogTable = LogTable()
    metrics: MetricsTable = MetricsTable()
    consul: ConsulTable | None = None
    capture: CaptureTable | None = None
    storage: StorageTable | None = None
    membership: MembershipTable | None = None
    dependency: Annotated[list[DependencyTable], Field(max_length=MAX_DEPENDENCIES)] = []

    def routing_table(self) -> dependencies.RoutingTable:
        """Return all dependencies as one routing table."""
        return dependencies.RoutingTable(
            tuple(dependency.dependency_spec() for dependency in self.dependency)
        )


class OperatorError(FileError):
    """All errors of the operator's file."""


def read_operator_file(path: str) -> OperatorConfig:
    """Return the content of the operator's file, with relative paths resolved from its folder.

    Raises:
        OperatorError: The file is invalid; the text has one line for each error.
    """
    tree = schema.read_toml(path, OperatorError)
    try:
        config = OperatorConfig.model_validate(tree)
    except ValidationError as error:
        lines = schema.validation_errors(path, error, _suggest_key)
        raise OperatorError(lines[:MAX_REPORTED_ERRORS]) from None
    _raise_if_any(path, dependencies.validate_table(config.routing_table()))
    folder = Path(path).resolve().parent
    return _resolve_paths(_resolve_token_file(path, config, folder), folder)


def _resolve_token_file(path: str, config: OperatorConfig, folder: Path) -> OperatorConfig:
    """Return the configuration with an absolute path of the token file, once the file is readable."""
    table = config.consul
    if not table or not table.token_file:
        return config
    from spindlerelay.consul.agent_client import TokenError, read_token

    token_file = str(folder / table.token_file)
    try:
        read_token(token_file)
    except TokenError as error:
        raise OperatorError([f"{path}: consul.token_file: {error}"]) from None
    return config.model_copy(update={"consul": table.model_copy(update={"token_file": token_file})})


def _resolve_paths(config: OperatorConfig, folder: Path) -> OperatorConfig:
    for name, table in (("capture", config.capture), ("storage", config.storage)):
        if table:
            resolved = table.model_copy(update={"path": str(folder / table.path)})
            config = config.model_copy(update={name: resolved})
    return config


def check_node(path: str, operator: OperatorConfig, settings: Settings) -> None:
    """Check the dependencies against a node's settings.

    Raises:
        OperatorError: The dependencies do not fit the node's classes or its share of calls.
    """
    if operator.dependency:
        _raise_if_any(path, dependencies.validate_for_node(operator.routing_table(), settings))


def _raise_if_any(path: str, errors: list[tuple[str, str]]) -> None:
    if errors:
        raise OperatorError([f"{path}: {key}: {text}" for key, text in errors[:MAX_REPORTED_ERRORS]])


def _suggest_key(location: tuple[Any, ...]) -> str:
    """Return a hint for an unknown key: the closest known key, or all known keys."""
    names = _known_keys(location[:-1])
    close_matches = difflib.get_close_matches(str(location[-1]), names, 1)
    return f"did you mean {close_matches[0]}?" if close_matches else f"known here: {', '.join(names)}"


def _known_keys(location: tuple[Any, ...]) -> list[str]:
    """Return the known keys of the table at a location."""
    model: Any = OperatorConfig
    for part in location:
        if isinstance(part, int):  # an index into a list of tables
            continue
        field = model.model_fields.get(part) if hasattr(model, "model_fields") else None
        types = getattr(field.annotation, "__args__", (field.annotation,)) if field else ()
        model = next(
            (
                candidate
                for candidate in types
                if isinstance(candidate, type) and issubclass(candidate, Table)
            ),
            None,
        )
    return schema.table_keys(model) if model else []
