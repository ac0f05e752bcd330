"""A cluster's workspace in virtual time: nodes are started as ``SimulatedNode`` from the same files.

A node's process is ``process.service.Service`` on a virtual machine. SIGTERM, SIGHUP, SIGSTOP and SIGKILL
have the effect that they have on a process. Must not depend on what the cluster does with its nodes.
"""

from __future__ import annotations

import gc
import signal
from pathlib import Path

from spindlerelay.admission.controller import AdmissionController
from spindlerelay.config.operator import read_operator_file
from spindlerelay.config.platform import read_config
from spindlerelay.process.operator_features import enable_features
from spindlerelay.process.service import Service
from spindlerelay.testbed.cluster.spec import ClusterSpec
from spindlerelay.testbed.simulation.virtual_machine import VirtualMachine
from spindlerelay.testbed.simulation.virtual_network import VirtualNetwork
from spindlerelay.transport.event_loop import EventLoop

CLUSTER_MACHINE_NAME = "stage"
# Thresholds of the garbage collector during a run: hundreds of nodes stay alive, and walking them at the
# default pace costs a fifth of the time.
GC_THRESHOLDS = (20_000, 20, 100)


class SimulatedNode:
    """A node's process on a virtual machine, with the interface of a ``subprocess.Popen``."""

    pid = 0

    def __init__(self, network: VirtualNetwork, machine: VirtualMachine, service: Service, name: str) -> None:
        self.network = network
        self.machine = machine
        self.service = service
        self.name = name
        self.returncode: int | None = None
        self._pending_signals: list[int] = []
        machine.run(self._turn)

    def _turn(self) -> float | None:
        pending = self._pending_signals
        self._pending_signals = []
        for signal_number in pending:
            if signal_number == signal.SIGTERM:
                self.service.shut_down()
            elif signal_number == signal.SIGHUP:
                self.service.reload_configuration()
        loop = self.service.loop
        loop.run_once(self.service.node.process_events)
        if not loop.running:
            loop.flush()
            for feature in self.service.features:
                feature.close()
            self._exit(0)
        return loop.timers.next_due_ms()

    def _exit(self, status: int, kill: bool = False) -> None:
        self.returncode = status
        self.network.record_event(f"{self.name} over with {status}")
        self.machine.end_process(kill)

    def poll(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self.returncode

    def wait(self) -> int:
        """Return the exit status of a process that is over; does not wait."""
        return self.returncode or 0

    def kill(self) -> None:
        """End the process as SIGKILL does."""
        if self.returncode is None:
            self._exit(-signal.SIGKILL, kill=True)

    def send_signal(self, sig: int) -> None:
        """Pause or continue the process, or hand it a signal in its next turn."""
        if self.returncode is not None:
            return
        self.network.record_event(f"{self.name} signal {int(sig)}")
        if sig in (signal.SIGSTOP, signal.SIGCONT):
            self.machine.set_paused(sig == signal.SIGSTOP)
        else:
            self._pending_signals.append(sig)
            self.machine.wake()


class VirtualWorkspace:
    """Where a cluster runs in virtual time. ``processes`` lists every process of every node."""

    def __init__(self, network: VirtualNetwork, clock_skews_ms: dict[str, float] | None = None) -> None:
        self.network = network
        self.clock_skews_ms = clock_skews_ms or {}
        self.system = VirtualMachine(network, CLUSTER_MACHINE_NAME)
        self.processes: dict[str, list[SimulatedNode]] = {}
        self.logged_warnings: set[tuple[str, str]] = set()  # node name and kind

    def port(self) -> int:
        """Return a free port."""
        return self.network.allocate_port()

    def launch(
        self, name: str, spec: ClusterSpec, config: Path, operator: Path | None, log: Path
    ) -> SimulatedNode:
        """Start a node. The start takes no virtual time; its connections take the network's."""
        environ = {"LB_CONFIG": str(config)}
        machine = VirtualMachine(self.network, name, self.clock_skews_ms.get(name, 0.0))
        platform_config = read_config(environ)
        service = Service(
            platform_config, system=machine, environ=environ, make_controller=AdmissionController
        )
        if operator is not None:
            enable_features(service, platform_config, str(operator), read_operator_file(str(operator)))
        service.loop.warnings.observer = lambda kind: self.logged_warnings.add((name, kind))
        process = SimulatedNode(self.network, machine, service, name)
        self.processes.setdefault(name, []).append(process)
        self.network.record_event(f"{name} starts")
        return process

    def drive(self, loop: EventLoop) -> None:
        """Run virtual time until the cluster's event loop stops."""

        def turn() -> float | None:
            loop.run_once(lambda: None)
            return loop.timers.next_due_ms()

        self.system.run(turn)
        previous_thresholds = gc.get_threshold()
        gc.set_threshold(*GC_THRESHOLDS)
        try:
            self.network.run_while_not(lambda: not loop.running)
        finally:
            gc.set_threshold(*previous_thresholds)
