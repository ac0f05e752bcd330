"""One node of a cluster across its restarts: its machine, its interpreter and its process.

A host reaches its cluster through ``HostContext`` and does not depend on the node pool.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from spindlerelay.testbed.checker import RuleChecker
from spindlerelay.testbed.cluster.attempts import AttemptRegistry
from spindlerelay.testbed.cluster.node_configuration import NodeConfiguration, NodeIdentity
from spindlerelay.testbed.cluster.spec import LOOPBACK, ClusterSpec
from spindlerelay.testbed.cluster.workspace import Process, Workspace
from spindlerelay.testbed.models.machine import (
    Machine,
    MachineCrashed,
    MachineEvent,
    MachineSpec,
    RequestParsed,
    RunEnded,
    RunWaiting,
)
from spindlerelay.testbed.servers.interpreter import EmulatedInterpreter
from spindlerelay.testbed.servers.store import response_to
from spindlerelay.testbed.tally import MAX_LATENCY_MS
from spindlerelay.transport.event_loop import EventLoop

WARM_UPS_BEFORE_START = 10  # uptime of a machine that starts warm, in warm-up times
WARM_MARGIN_MS = 1000.0  # further uptime of a machine that starts warm


class Incarnation:
    """One process of a node, as seen from outside. Times are in Unix ms, and 0 before the event has happened.

    Attributes:
        started_at: time of the start.
        terminated_at: time of the SIGTERM.
        last_answer_at: time of the last response.
        rejections_at: time of each rejection that a balancer read.
        exited_at: time at which the exit was noticed.
        exit_status: exit status of the process; None before.
        answer_count: number of responses.
        latency: histogram of the time in ms from the sending of an attempt to its successful response.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.terminated_at = 0.0
        self.last_answer_at = 0.0
        self.rejections_at: list[float] = []
        self.exited_at = 0.0
        self.exit_status: int | None = None
        self.answer_count = 0
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)

    @property
    def first_rejection_at(self) -> float:
        """Return the time at which the first rejection was read; 0 before."""
        return self.rejections_at[0] if self.rejections_at else 0.0


class HostContext(NamedTuple):
    """Services and callbacks of the cluster that a host uses.

    Attributes:
        loop: the event loop.
        workspace: starts processes and allocates ports.
        spec: the specification of the run.
        folder: directory of the node's configuration files and log.
        checker: checks the node's behaviour against the protocol's rules.
        attempts: the attempts of the host's pool.
        configuration: creates the node's configuration.
        on_read: called with the call identifier when the host's machine has read an attempt.
        on_killed: called with the node's name when its process was killed.
        disconnect_balancers: called with the node's name; breaks the balancers' connections to the node.
    """

    loop: EventLoop
    workspace: Workspace
    spec: ClusterSpec
    folder: Path
    checker: RuleChecker
    attempts: AttemptRegistry
    configuration: NodeConfiguration
    on_read: Callable[[str], None]
    on_killed: Callable[[str], None]
    disconnect_balancers: Callable[[str], None]


class NodeHost:
    """One node.

    Attributes:
        listen_address: address that the node listens on.
        address: address that balancers connect to: ``listen_address`` or the address of a proxy.
        machine: the model of the machine; None while the node is down.
        process: the last process; None before the first start.
        incarnations: all processes of the node, oldest first.
        paused_at: time in Unix ms up to which the pause has been excluded from the checker's limits; 0 if the
            node is not paused.
        next_event_at: time in Unix ms of the machine's next event, if no further input arrives.
        interpreter: the emulated interpreter.
        log: the log file of the node's processes.
    """

    def __init__(self, context: HostContext, name: str, spec: MachineSpec) -> None:
        self.name = name
        self.spec = spec
        self.listen_address = ("127.0.0.1", context.workspace.port())
        self.address = self.listen_address
        self.machine: Machine | None = None
        self.process: Process | None = None
        self.incarnations: list[Incarnation] = []
        self.paused_at = 0.0
        self.next_event_at = 0.0
        self.interpreter = EmulatedInterpreter(
            context.loop, LOOPBACK, self._run_requested, self._call_replied
        )
        self.log = context.folder / f"{name}.log"
        self._context = context
        self._identity = NodeIdentity(name, spec, self.listen_address, self.interpreter.address)

    def start(self, cold: bool) -> None:
        """Start a new process on a new machine, which is cold or warmed up."""
        context = self._context
        now = context.loop.now()
        self.incarnations.append(Incarnation(now))
        warm_since = now - WARM_UPS_BEFORE_START * self.spec.warm_up_ms - WARM_MARGIN_MS
        self.machine = Machine(self.spec, now if cold else warm_since)
        self.machine.now = now
        self.interpreter.restart(self.machine)
        context.checker.node_restarted(self.name)
        self.address = context.configuration.balancer_address(self._identity)
        config = context.folder / f"{self.name}.json"
        config.write_text(json.dumps(context.configuration.platform_config(self._identity)))
        operator_config: Path | None = None
        if text := context.configuration.operator_config(self._identity):
            operator_config = context.folder / f"{self.name}.toml"
            operator_config.write_text(text)
        self.process = context.workspace.launch(self.name, context.spec, config, operator_config, self.log)

    def _is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def _send_signal(self, number: int) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM, at which the node shuts down gracefully."""
        if self._is_running():
            self.incarnations[-1].terminated_at = self._context.loop.now()
            self._context.checker.drain_started(self.incarnations[-1].terminated_at, self.name)
            self._send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP, at which the node reloads its configuration."""
        self._send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stop the process and the machine, so that no request is read, run or answered."""
        if self._is_running() and self.machine and not self.paused_at:
            self._send_signal(signal.SIGSTOP)
            self.paused_at = self._context.loop.now()

    def proceed(self) -> None:
        """Resume a paused node. The duration of the pause is excluded from the checker's time limits."""
        if not self.paused_at:
            return
        now = self._context.loop.now()
        self.exclude_pause(now)
        self.paused_at = 0.0
        if self.machine:
            self.machine.now = now  # the machine did no work during the pause
        self._send_signal(signal.SIGCONT)

    def exclude_pause(self, now: float) -> None:
        """Exclude the time of the pause up to ``now`` from the checker's time limits."""
        self._context.checker.extend_due_times(now - self.paused_at, self.name)
        self.paused_at = now

    def step_clock(self) -> None:
        """Step the process's clock; has an effect only with the launcher ``testbed.settable_clock``."""
        self._send_signal(signal.SIGUSR1)

    def disconnect(self) -> None:
        """Break the connections to the interpreter and the balancers, as a network failure does."""
        self.interpreter.break_connection()
        self.disconnect_balancers()

    def disconnect_balancers(self) -> None:
        """Break the balancers' connections to the node."""
        self._context.disconnect_balancers(self.name)

    def state(self, now: float) -> str:
        """Return the state for reports: ``down``, ``paused``, ``leaving``, ``cold``, ``slow`` or ``well``."""
        if self.machine is None:
            return "down"
        if self.paused_at:
            return "paused"
        if self.incarnations[-1].terminated_at:
            return "leaving"
        if self.machine.speed_fraction(now) < 1.0:
            return "cold"
        return "slow" if self.machine.slowdown > 1.0 else "well"

    def kill(self) -> None:
        """Kill the process and stop the interpreter immediately."""
        self.paused_at = 0.0
        self._kill_process()
        self.machine = None
        self.interpreter.restart(None)
        self._context.checker.node_killed(self.name)
        self._context.on_killed(self.name)

    def _kill_process(self) -> None:
        if self.process:
            self.process.kill()
            self.process.wait()

    def has_exited(self) -> bool:
        """Return whether the process has exited; the exit status is recorded in the last incarnation."""
        if self.process is None or self.process.poll() is None:
            return False
        incarnation = self.incarnations[-1]
        if not incarnation.exited_at:
            incarnation.exited_at = self._context.loop.now()
            incarnation.exit_status = self.process.returncode
            self.machine = None
            self.interpreter.restart(None)
        return True

    def close(self) -> None:
        """Kill the process and close the interpreter's socket."""
        self._kill_process()
        self.interpreter.close()

    def handle_machine_events(self, events: list[MachineEvent]) -> None:
        """Pass events of the machine on to the node and the interpreter."""
        self.next_event_at = 0.0
        attempts = self._context.attempts
        for event in events:
            match event:
                case RequestParsed(call_id):
                    self._context.on_read(call_id)
                case RunWaiting(call_id, number):
                    self.interpreter.send_run_waiting(call_id, attempts.call_body(call_id, number))
                    attempts.waiting_calls[call_id] = number
                    if call_id not in attempts.open:
                        self.end_request(call_id)
                case RunEnded(call_id, duration_ms):
                    self._complete_run(call_id, duration_ms)
                case MachineCrashed(reason):
                    self._context.checker.machine_crashed(self.name, reason)
                    self.kill()

    def end_request(self, call_id: str) -> None:
        """Cancel the run of a request that has ended, if the run waits for a dependency call.

        The protocol can cancel a run only at a dependency call; a run that does not wait continues to its
        end.
        """
        duration_ms = (
            self.machine.cancel_waiting_run(self._context.loop.now(), call_id) if self.machine else None
        )
        if duration_ms is not None:
            self.interpreter.send_run_ended(call_id, "broken_off", duration_ms, b"")
            self._context.attempts.end_run(call_id)

    def _complete_run(self, call_id: str, duration_ms: float) -> None:
        result = b"page of " + call_id.encode()
        self._context.checker.run_ended(call_id, self.name, result)
        self.interpreter.send_run_ended(call_id, "fine", duration_ms, result)
        self._context.attempts.end_run(call_id)

    def _run_requested(self, call_id: str, cls: str, body: bytes) -> None:
        context = self._context
        context.checker.run_started(call_id, self.name, cls, body)
        pending = context.attempts.open.get(call_id)
        if self.machine is None:
            return
        if pending is None:  # the request has ended
            self.interpreter.send_run_ended(call_id, "late", 0.0, b"")
            return
        context.attempts.running[call_id] = pending
        self.handle_machine_events(self.machine.start_run(context.loop.now(), call_id, pending.request.plan))

    def _call_replied(self, call_id: str, reply: bytes | None) -> None:
        context = self._context
        number = context.attempts.waiting_calls.pop(call_id, 0)
        if not number or self.machine is None:
            return
        if reply is None:
            context.attempts.skip_call(call_id)
        elif reply != response_to(context.attempts.call_body(call_id, number)):
            context.checker.record_violation(
                "lost", self.name, f"{call_id}: the reply to dependency call {number} was altered in transit"
            )
        self.handle_machine_events(self.machine.resume_run(context.loop.now(), call_id))
