"""The render node as a process: a node with a configuration that may be reloaded.

``Service`` owns the event loop, the node, its front ends and the optional features. It knows features only by
the ``Feature`` protocol; the platform's start loads none.
"""

from __future__ import annotations

import dataclasses
import gc
import os
import signal
import tempfile
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from loguru import logger

from spindlerelay.admission.controller import AdmissionController
from spindlerelay.api import Settings
from spindlerelay.api.settings_parser import with_updated_classes
from spindlerelay.config.platform import Config, ConfigError, read_config
from spindlerelay.frontends.balancer_server import BalancerServer
from spindlerelay.node.backend_links import BackendAddresses
from spindlerelay.node.node import Node
from spindlerelay.node.protocols import AdmissionPolicy
from spindlerelay.process.signal_mask import SIGNAL_MASK
from spindlerelay.process.signals import SignalDispatcher
from spindlerelay.storage.idempotency_claims import IdempotencyClaims
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import HOST_SYSTEM, System

if TYPE_CHECKING:
    from spindlerelay.frontends.management_server import ManagementServer

# After a handover the platform waits for the longest deadline, at most MAX_HANDOVER_WAIT_MS, and another
# HANDOVER_MARGIN_MS before it kills the old process.
MAX_HANDOVER_WAIT_MS = 3000.0
HANDOVER_MARGIN_MS = 700.0
CLAIMS_DIRECTORY_PREFIX = "spindlerelay-claims-"


class Feature(Protocol):
    """An optional part of the process that the operator has enabled."""

    def start_shutdown(self) -> None:
        """Prepare for the shutdown; called before the node drains."""
        ...

    def reload(self) -> None:
        """Read the feature's files again; called at SIGHUP."""
        ...

    def close(self) -> None:
        """Release the feature's resources; called when the process ends."""
        ...


class ConfigEntry(NamedTuple):
    """An entry of the platform's file, for the log line about the changes of a reload.

    Attributes:
        key: key of the entry in the file.
        value: returns the entry's value in a configuration.
        reloadable: whether a reload applies a change without a restart.
    """

    key: str
    value: Callable[[Config], object]
    reloadable: bool = False


CONFIG_ENTRIES = (
    ConfigEntry("name", lambda config: config.name),
    ConfigEntry("listen", lambda config: config.listen),
    ConfigEntry("vm", lambda config: config.vm, reloadable=True),
    ConfigEntry("store", lambda config: config.store, reloadable=True),
    ConfigEntry("announce", lambda config: config.announce, reloadable=True),
    ConfigEntry("seed", lambda config: config.seed),
    ConfigEntry("stop_ms", lambda config: config.stop_ms, reloadable=True),
    ConfigEntry("sockets", lambda config: config.sockets),
    ConfigEntry("memory_mb", lambda config: config.memory_mb),
    ConfigEntry("accept_fd", lambda config: config.accept_fd),
    ConfigEntry("management", lambda config: config.management),
)


def _describe_changes(old: Config, new: Config) -> list[str]:
    """Return a text for each entry that differs; changes of the settings are described separately."""
    changes = []
    for key, value, reloadable in CONFIG_ENTRIES:
        new_value = value(new)
        if new_value != value(old):
            changes.append(f"{key} is {_format_value(new_value)}" if reloadable else f"{key} needs a restart")
    return changes


def _format_value(value: object) -> str:
    return "{}:{}".format(*value) if isinstance(value, tuple) else str(value)


def _backend_addresses(config: Config) -> BackendAddresses:
    return BackendAddresses(config.vm, config.store, config.announce)


class Service:
    """The node with a configuration that may be replaced while it runs.

    Args:
        config: the platform's configuration.
        override_settings: returns the settings for the admission controller, if a feature takes over a part
            of its work.
        make_controller: creates the admission controller from its settings and a seed.
        system: clock, sockets and disk. Signals are handled only on the host system; on a simulated system
            the simulation calls ``shut_down`` and ``reload_configuration``.
        environ: environment variables from which a reload finds the configuration; by default those of the
            process.
    """

    def __init__(
        self,
        config: Config,
        override_settings: Callable[[Settings], Settings] | None = None,
        make_controller: Callable[[Settings, int], AdmissionPolicy] = AdmissionController,
        system: System = HOST_SYSTEM,
        environ: dict[str, str] | None = None,
    ) -> None:
        self.config = config
        self._override_settings = override_settings
        self._environ = dict(os.environ) if environ is None else environ
        self.loop = EventLoop(system=system, seed=f"{config.name} {config.seed:x}")
        controller = make_controller(self._controller_settings(config.settings), config.seed)
        self.node = Node(self.loop, config.settings, controller, config.memory_mb)
        self.node.start(_backend_addresses(config), config.name)
        self.balancer_server = BalancerServer(
            self.loop, config.listen, config.settings, config.sockets, self.node, config.accept_fd
        )
        self.node.add_frontend(self.balancer_server)
        if config.accept_fd is not None:
            # The processes of one node share the listening socket and $TMPDIR, where they claim keyed
            # requests. os.path is used because the platform's start does not load pathlib.
            name = f"{CLAIMS_DIRECTORY_PREFIX}{config.name}"
            directory = os.path.join(tempfile.gettempdir(), name)  # noqa: PTH118
            self.node.set_claims(IdempotencyClaims(directory))
        self.management = self._start_management_server()
        self.features: list[Feature] = []
        if system is HOST_SYSTEM:
            SignalDispatcher(
                self.loop,
                {
                    signal.SIGTERM: self.shut_down,
                    signal.SIGINT: self.shut_down,
                    signal.SIGHUP: lambda _came_at_ms: self.reload_configuration(),
                },
            )

    def _start_management_server(self) -> ManagementServer | None:
        if self.config.management is None:
            return None
        # Imported here, so that httptools is loaded only if a management address is configured.
        from spindlerelay.frontends.management_server import ManagementServer

        return ManagementServer(self.loop, self.config.management, self.node.ready, self._render_counters)

    def _controller_settings(self, settings: Settings) -> Settings:
        return self._override_settings(settings) if self._override_settings else settings

    def _render_counters(self) -> bytes:
        return self.node.metrics.lines(self.node.outstanding(), self.loop.internal_errors.counts)

    def shut_down(self, notified_at_ms: float | None = None) -> None:
        """Shut down, as SIGTERM requests: notify the features, then drain the node.

        Args:
            notified_at_ms: Unix time in ms at which the notice came; now if it is left out.
        """
        for feature in self.features:
            feature.start_shutdown()
        if self.config.accept_fd is None:
            self.node.drain(self.config.stop_ms, notified_at_ms=notified_at_ms)
            return
        # The platform holds the listening socket, so SIGTERM means that a newer process has taken over. The
        # platform kills this process HANDOVER_MARGIN_MS after the longest deadline, regardless of stop_ms.
        longest_deadline_ms = max(spec.deadline_ms for spec in self.config.settings.classes)
        wait_ms = min(MAX_HANDOVER_WAIT_MS, longest_deadline_ms)
        stop_ms = min(self.config.stop_ms, wait_ms + HANDOVER_MARGIN_MS)
        self.node.drain(stop_ms, handover=True, notified_at_ms=notified_at_ms)

    def reload_configuration(self) -> None:
        """Reload the configuration, as SIGHUP requests; if the file is invalid, nothing changes."""
        for feature in self.features:
            feature.reload()
        try:
            new_config = read_config(self._environ)
        except ConfigError as error:
            self.node.metrics.sighup_rejected += 1
            logger.error("configuration not applied, the previous one stays in use: {}", error)
            return
        self.node.metrics.sighup_applied += 1
        changes = _describe_changes(self.config, new_config)
        self.config = self.config._replace(
            vm=new_config.vm, store=new_config.store, announce=new_config.announce, stop_ms=new_config.stop_ms
        )
        self.node.set_backend_addresses(_backend_addresses(new_config))
        changes += self._apply_settings(new_config.settings)
        logger.info("configuration reloaded: {}", ", ".join(changes) or "nothing has changed")

    def _apply_settings(self, new_settings: Settings) -> list[str]:
        """Apply the new classes at once; open requests keep their old classes.

        Changes of other settings need a restart.
        """
        old_settings = self.config.settings
        merged_settings = with_updated_classes(old_settings, new_settings)
        accepted_classes = {spec.name for spec in new_settings.classes}
        changes = []
        if merged_settings != old_settings or accepted_classes != set(self.balancer_server.schemas):
            self.config = self.config._replace(settings=merged_settings)
            self.node.apply_settings(merged_settings, self._controller_settings(merged_settings))
            self.balancer_server.apply_settings(merged_settings, accepted_classes)
            changes.append("classes are " + " ".join(spec.name for spec in new_settings.classes))
        if dataclasses.replace(new_settings, classes=()) != dataclasses.replace(old_settings, classes=()):
            changes.append("other settings need a restart")
        return changes

    def run(self) -> None:
        """Serve until the node has drained after a request to shut down."""
        logger.info("{} listens on {}:{}", self.config.name, *self.config.listen)
        gc.collect()
        gc.freeze()  # the objects created so far stay alive, so collections can skip them
        self.loop.run(self.node.process_events)
        self.loop.flush()
        if self.management is not None:
            self.management.close()
        for feature in self.features:
            feature.close()
        # Python's shutdown restores the default handlers, so another SIGTERM would kill
        SIGNAL_MASK.block(self.loop.now())
