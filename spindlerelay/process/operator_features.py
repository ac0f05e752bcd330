"""A node with the optional features of the operator's file, as ``spindlerelay run`` and the testbed start it.

Each feature is enabled by one function that also imports it, so that a feature that is off is not loaded.
"""

from __future__ import annotations

import contextlib
import dataclasses
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from spindlerelay.admission.controller import AdmissionController
from spindlerelay.api import DependencyTopology, Settings
from spindlerelay.config import operator as operators
from spindlerelay.config.platform import Config, ConfigError, read_config
from spindlerelay.node.protocols import AdmissionPolicy
from spindlerelay.process.logging import log_to_stderr
from spindlerelay.process.service import Service
from spindlerelay.process.signal_mask import SIGNAL_MASK
from spindlerelay.transport.system import HOST_SYSTEM

if TYPE_CHECKING:
    from spindlerelay.dependencies.connection_pool import ConnectionPool, SchedulerProtocol
    from spindlerelay.dependencies.routing_table import RoutingTable

EXIT_INVALID_CONFIGURATION = 2
BYTES_PER_MB = 1_000_000
CPU_INFO_PATH = "/proc/cpuinfo"
MEMBERS_PATH = "/control/members"  # path at the management address


class FeatureContext(NamedTuple):
    """The objects that features are built from.

    Attributes:
        service: the process's service.
        config: the platform's configuration.
        path: path of the operator's file, for error texts.
    """

    service: Service
    config: Config
    path: str

    def error(self, key: str, text: str) -> ConfigError:
        """Return an error that names the operator's file and the invalid key."""
        return ConfigError(f"{self.path}: {key}: {text}")


def run_node(
    operator_path: str | None,
    log_format: str | None,
    make_call_scheduler: Callable[[RoutingTable, Settings, int], SchedulerProtocol] | None = None,
    make_controller: Callable[[Settings, int], AdmissionPolicy] | None = None,
) -> int:
    """Run one node until it shuts down, and return the exit status.

    The status is 0 after an orderly shutdown and 2 for invalid files; each error is printed as one line on
    standard error.

    Args:
        operator_path: the operator's file; without it every optional feature is off.
        log_format: ``text`` or ``json``; overrides the entry of the operator's file.
        make_call_scheduler: creates a substitute for the scheduler of dependency calls.
        make_controller: creates a substitute for the admission controller.
    """
    SIGNAL_MASK.block(HOST_SYSTEM.unix_time_ms())
    try:
        options = operators.read_operator_file(operator_path) if operator_path else operators.OperatorConfig()
        log_to_stderr(log_format or options.log.format, options.log.level)
        config = read_config(dict(os.environ))
        if operator_path:
            operators.check_node(operator_path, options, config.settings)
        override_settings = without_dependency_limits if options.dependency else None
        service = Service(config, override_settings, make_controller or AdmissionController)
        if operator_path:
            enable_features(service, config, operator_path, options, make_call_scheduler)
        service.run()
    except (ConfigError, OSError) as error:
        prefix = "" if isinstance(error, ConfigError) else "cannot start: "
        for line in str(error).splitlines():
            print(f"spindlerelay: {prefix}{line}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return 0


def enable_features(
    service: Service,
    config: Config,
    operator_path: str,
    options: operators.OperatorConfig,
    make_call_scheduler: Callable[[RoutingTable, Settings, int], SchedulerProtocol] | None = None,
) -> None:
    """Enable the features of the operator's file.

    Raises:
        ConfigError: A feature cannot be enabled; the text names the invalid key of the file.
    """
    context = FeatureContext(service, config, operator_path)
    if options.dependency:
        _enable_dependencies(context, options, make_call_scheduler)
    own_weight = _enable_membership(context, options.membership) if options.membership else None
    if options.consul:
        _enable_consul(context, options.consul, own_weight)
    if options.storage:
        _enable_storage(context, options.storage)
    if options.capture:
        _enable_capture(context, options.capture)


def without_dependency_limits(settings: Settings) -> Settings:
    """Return settings without the admission controller's limit on calls, as each dependency has its own."""
    return dataclasses.replace(
        settings, dependency_topology=DependencyTopology.NONE, dependency_call_budget=0.0
    )


class DependenciesFeature:
    """The operator's dependencies as a feature of the service; SIGHUP reloads their table."""

    def __init__(self, pool: ConnectionPool, path: str, settings: Settings) -> None:
        self._pool = pool
        self._path = path
        self._settings = settings

    def start_shutdown(self) -> None:
        """Do nothing: runs continue during the drain, and so do the calls that they wait for."""

    def close(self) -> None:
        """Do nothing: the connections are closed when the process ends."""

    def reload(self) -> None:
        """Read the table again; if the file is invalid, the current table stays in use."""
        try:
            options = operators.read_operator_file(self._path)
            operators.check_node(self._path, options, self._settings)
            if not options.dependency:
                raise operators.OperatorError(
                    [f"{self._path}: dependency: removing all dependencies needs a restart"]
                )
        except ConfigError as error:
            errors = "; ".join(str(error).splitlines())
            logger.error("dependencies not applied, the previous table stays in use: {}", errors)
            return
        self._pool.reload(options.routing_table())
        logger.info(
            "dependencies reloaded: {}", ", ".join(dependency.name for dependency in options.dependency)
        )


def _enable_dependencies(
    context: FeatureContext,
    options: operators.OperatorConfig,
    make_call_scheduler: Callable[[RoutingTable, Settings, int], SchedulerProtocol] | None,
) -> None:
    """Route all calls by the operator's table; the store of the platform's configuration is not called."""
    from spindlerelay.dependencies.call_scheduler import CallScheduler
    from spindlerelay.dependencies.connection_pool import ConnectionPool

    service, config, path = context
    scheduler = (make_call_scheduler or CallScheduler)(options.routing_table(), config.settings, config.seed)
    pool = ConnectionPool(
        service.loop, scheduler, config.settings, service.node.run_tracker.on_reply, options.metrics.every
    )
    service.node.use_dependencies(pool)
    service.features.append(DependenciesFeature(pool, path, config.settings))


def _enable_capture(context: FeatureContext, table: operators.CaptureTable) -> None:
    """Write a trace of the requests that the node reads."""
    from spindlerelay.observability.request_capture import Options, RequestCapture

    service = context.service
    options = Options(table.path, int(table.max_mb * BYTES_PER_MB), table.max_requests)
    try:
        capture = RequestCapture(service.loop, options, context.config.settings)
    except FileExistsError:
        raise context.error("capture.path", f"{table.path} exists; name a new file") from None
    except OSError as error:
        raise context.error("capture.path", f"{table.path}: {error.strerror}") from None
    service.node.observe_requests(capture.observe)
    service.features.append(capture)


def _enable_storage(context: FeatureContext, table: operators.StorageTable) -> None:
    """Store keyed requests and learned state, and restore those of earlier processes of this node."""
    from spindlerelay.storage.journal_directory import JournalDirectory
    from spindlerelay.storage.persistence import Options, PersistenceFeature
    from spindlerelay.storage.records import UnusableStorageError

    service, config, _ = context
    options = Options(
        int(table.compact_mb * BYTES_PER_MB), int(table.results_mb * BYTES_PER_MB), processor_model()
    )
    controller = service.node.admission
    try:
        persistence = PersistenceFeature(
            service.loop,
            JournalDirectory(table.path, config.name, table.durability, disk=service.loop.system.disk()),
            options,
            config.settings,
            service.node.idempotency,
            controller if isinstance(controller, AdmissionController) else None,
        )
    except UnusableStorageError as error:
        raise context.error("storage.path", f"{table.path}: {error}") from None
    except OSError as error:
        remedy = "name a folder that this node may write to"
        raise context.error("storage.path", f"{table.path}: {error.strerror}; {remedy}") from None
    service.node.persistence = persistence
    service.features.append(persistence)


def processor_model() -> str:
    """Return the processor's model name as the kernel reports it, or an empty string."""
    with (
        contextlib.suppress(OSError),
        Path(CPU_INFO_PATH).open(encoding="utf-8", errors="replace") as file,
    ):
        for line in file:
            if line.startswith("model name"):
                return line.partition(":")[2].strip()
    return ""


def _enable_membership(context: FeatureContext, table: operators.MembershipTable) -> Callable[[], float]:
    """Exchange gossip with other nodes; return a function that returns the weight this node requests."""
    from spindlerelay import __version__
    from spindlerelay.membership.udp_transport import GossipTransport, Options

    service, config, _ = context
    if not config.name:
        raise context.error("membership", "the node has no name; set name in the platform's file")
    options = Options(
        table.listen,
        table.advertise or table.listen,
        tuple(table.seeds),
        table.cluster,
        table.site,
        table.weigh,
    )
    try:
        transport = GossipTransport(
            service.loop,
            options,
            config.settings,
            service.node,
            config.name,
            __version__,
            config.accept_fd is not None,
        )
    except OSError as error:
        address = "{}:{}".format(*table.listen)
        raise context.error("membership.listen", f"{address}: {error.strerror}") from None
    service.features.append(transport)
    if service.management is not None:
        service.management.add_page(MEMBERS_PATH, transport.members_page)
    return lambda: transport.weight


def _enable_consul(
    context: FeatureContext, table: operators.ConsulTable, own_weight: Callable[[], float] | None
) -> None:
    """Register the node with a Consul agent; ``own_weight`` returns its weight, 1 for an average node."""
    from spindlerelay.consul.agent_client import AgentClient, Options, TokenError

    service, config, _ = context
    service_id = table.id or config.name
    if not service_id:
        raise ConfigError("consul.id: missing, and the node has no name to use instead; set one of them")
    options = Options(
        table.address,
        table.service,
        service_id,
        tuple(table.tags),
        tuple(sorted(table.meta.items())),
        table.token_file,
        table.ttl_ms,
        table.deregister_after,
    )
    try:
        agent = AgentClient(
            service.loop,
            options,
            config.settings,
            config.listen,
            service.node,
            config.seed,
            own_weight,
        )
    except TokenError as error:
        raise ConfigError(f"consul.token_file: {error}") from None
    service.features.append(agent)
