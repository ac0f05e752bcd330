"""The render node as a process: a node under a configuration that may be reloaded.

Owns the loop, the node, its front ends and the operator's features. What a feature is, it does not know; the
platform's start loads none.
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
from spindlerelay.process.signals import SignalDispatcher, block_signals
from spindlerelay.storage.idempotency_claims import IdempotencyClaims
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import HOST_SYSTEM, System

if TYPE_CHECKING:
    from spindlerelay.frontends.management_server import ManagementServer

MAX_HANDOVER_WAIT_MS = 3000.0  # the platform waits for the longest deadline, but no more than this
HANDOVER_MARGIN_MS = 700.0  # and so much after it, before the old process is killed
CLAIMS_DIRECTORY_PREFIX = "spindlerelay-claims-"


class Feature(Protocol):
    """Something that the operator has switched on, beside the node."""

    def start_shutdown(self) -> None:
        """Note that the process shuts down; called before the node drains."""
        ...

    def reload(self) -> None:
        """Read its files again, at SIGHUP."""
        ...

    def close(self) -> None:
        """Close what it holds, as the process ends."""
        ...


class ConfigEntry(NamedTuple):
    """An entry of the platform's file, for log lines on what a reload changed."""

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
    """Return a text for each entry that differs; the settings are described by themselves."""
    changes = []
    for key, value, reloadable in CONFIG_ENTRIES:
        new_value = value(new)
        if new_value != value(old):
            changes.append(f"{key} is {_format(new_value)}" if reloadable else f"{key} needs a restart")
    return changes


def _format(value: object) -> str:
    return "{}:{}".format(*value) if isinstance(value, tuple) else str(value)


def _backend_addresses(config: Config) -> BackendAddresses:
    return BackendAddresses(config.vm, config.store, config.announce)


class Service:
    """The node under a configuration that may be replaced while it runs.

    Args:
        config: The platform's configuration.
        override_settings: Returns the settings that the admission controller gets, where a feature takes
            over a part of its work.
        module: Makes the admission controller of its settings and a seed.
        system: Clock, sockets and disk. On the machine's own, signals are handled; on another the simulation
            calls ``shut_down`` and ``reload_configuration``.
        environ: Where a reload finds the configuration; the process's own environment by default.
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
            # Processes of one node share the socket, and $TMPDIR with it: keyed requests are claimed there.
            # The platform's start does not load pathlib.
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
                    signal.SIGHUP: self.reload_configuration,
                },
            )

    def _start_management_server(self) -> ManagementServer | None:
        if self.config.management is None:
            return None
        # Imported here, as httptools is loaded only where the address is configured.
        from spindlerelay.frontends.management_server import ManagementServer

        return ManagementServer(self.loop, self.config.management, self.node.ready, self._render_counters)

    def _controller_settings(self, settings: Settings) -> Settings:
        return self._override_settings(settings) if self._override_settings else settings

    def _render_counters(self) -> bytes:
        return self.node.metrics.lines(self.node.outstanding(), self.loop.internal_errors.counts)

    def shut_down(self) -> None:
        """Carry out SIGTERM: the features hear of it before the drain begins."""
        for feature in self.features:
            feature.start_shutdown()
        if self.config.accept_fd is None:
            self.node.drain(self.config.stop_ms)
            return
        # The platform holds the listening socket: SIGTERM means that a newer process has taken over, and the
        # kill follows the longest deadline and HANDOVER_MARGIN_MS, whatever stop_ms says.
        longest_ms = max(spec.deadline_ms for spec in self.config.settings.classes)
        wait_ms = min(MAX_HANDOVER_WAIT_MS, longest_ms)
        self.node.drain(min(self.config.stop_ms, wait_ms + HANDOVER_MARGIN_MS), handover=True)

    def reload_configuration(self) -> None:
        """Carry out SIGHUP: the file is read whole, and if it is invalid nothing changes."""
        for feature in self.features:
            feature.reload()
        try:
            new = read_config(self._environ)
        except ConfigError as error:
            self.node.metrics.sighup_rejected += 1
            logger.error("configuration not applied, the old one stays: {}", error)
            return
        self.node.metrics.sighup_applied += 1
        changes = _describe_changes(self.config, new)
        self.config = self.config._replace(
            vm=new.vm, store=new.store, announce=new.announce, stop_ms=new.stop_ms
        )
        self.node.set_backend_addresses(_backend_addresses(new))
        changes += self._apply_settings(new.settings)
        logger.info("configuration reloaded: {}", ", ".join(changes) or "nothing has changed")

    def _apply_settings(self, new: Settings) -> list[str]:
        """Accept the new classes at once; open requests keep theirs, other settings need a restart."""
        old = self.config.settings
        union = with_updated_classes(old, new)
        accepted_classes = {spec.name for spec in new.classes}
        changes = []
        if union != old or accepted_classes != set(self.balancer_server.schemas):
            self.config = self.config._replace(settings=union)
            self.node.apply_settings(union, self._controller_settings(union))
            self.balancer_server.apply_settings(union, accepted_classes)
            changes.append("classes are " + " ".join(spec.name for spec in new.classes))
        if dataclasses.replace(new, classes=()) != dataclasses.replace(old, classes=()):
            changes.append("other settings need a restart")
        return changes

    def run(self) -> None:
        """Serve until the notice to stop has been carried out."""
        logger.info("{} listens on {}:{}", self.config.name, *self.config.listen)
        gc.collect()
        gc.freeze()  # what is loaded by now stays: collections need not walk it
        self.loop.run(self.node.process_events)
        self.loop.flush()
        if self.management is not None:
            self.management.close()
        for feature in self.features:
            feature.close()
        block_signals()  # the interpreter's end restores the default handlers: a further SIGTERM would kill
