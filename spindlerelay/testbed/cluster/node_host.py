"""One node of a cluster through its restarts: its machine, its interpreter and its process.

What a host needs of its surroundings stands in ``HostContext``; it knows nothing of the pool that it is in.
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

WARM_UPS_BEFORE_START = 10  # a machine that starts warm has been up for so many warm-up times
WARM_MARGIN_MS = 1000.0


class Incarnation:
    """One process of a node, as seen from outside. Times in Unix ms, 0 where it has not happened."""

    def __init__(self, began: float) -> None:
        self.started_at = began
        self.terminated_at = 0.0  # SIGTERM
        self.last_answer_at = 0.0
        self.rejections_at: list[float] = []  # when each rejection was read
        self.exited_at = 0.0
        self.exit_status: int | None = None
        self.answer_count = 0
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)  # ms from receipt to a successful answer

    @property
    def first_rejection_at(self) -> float:
        """When the first rejection was read, 0 before."""
        return self.rejections_at[0] if self.rejections_at else 0.0


class HostContext(NamedTuple):
    """What a host uses of its cluster.

    ``on_read`` is called when its machine has read an attempt, ``on_killed`` when its process was killed, and
    ``disconnect_balancers`` breaks the balancers' connections to it, each with the call or the node's name.
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
    """One node. ``listen`` is its own address, ``address`` the one that balancers use, maybe a proxy's."""

    def __init__(self, context: HostContext, name: str, spec: MachineSpec) -> None:
        self.name = name
        self.spec = spec
        self.listen_address = ("127.0.0.1", context.workspace.port())
        self.address = self.listen_address
        self.machine: Machine | None = None
        self.process: Process | None = None
        self.incarnations: list[Incarnation] = []
        self.paused_at = 0.0  # 0 where it is not paused
        self.next_event_at = 0.0  # when something happens on the machine, if nothing else comes
        self.interpreter = EmulatedInterpreter(
            context.loop, LOOPBACK, self._run_requested, self._call_replied
        )
        self.log = context.folder / f"{name}.log"
        self._context = context
        self._identity = NodeIdentity(name, spec, self.listen_address, self.interpreter.address)

    def start(self, cold: bool) -> None:
        """Start a new process on a new machine, cold or warmed up."""
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
        operator: Path | None = None
        if text := context.configuration.operator_config(self._identity):
            operator = context.folder / f"{self.name}.toml"
            operator.write_text(text)
        self.process = context.workspace.launch(self.name, context.spec, config, operator, self.log)

    def _process_runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def _signal(self, number: int) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM: the node shuts down gracefully."""
        if self._process_runs():
            self.incarnations[-1].terminated_at = self._context.loop.now()
            self._context.checker.drain_started(self.incarnations[-1].terminated_at, self.name)
            self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP: the node reads its configuration again."""
        self._signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stop process and machine: nothing is read, run or answered."""
        if self._process_runs() and self.machine and not self.paused_at:
            self._signal(signal.SIGSTOP)
            self.paused_at = self._context.loop.now()

    def proceed(self) -> None:
        """End a pause. Its time is excluded from the checker's time limits."""
        if not self.paused_at:
            return
        now = self._context.loop.now()
        self.excuse_pause(now)
        self.paused_at = 0.0
        if self.machine:
            self.machine.now = now  # it did nothing in between
        self._signal(signal.SIGCONT)

    def excuse_pause(self, now: float) -> None:
        """Exclude the time of the pause up to ``now`` from the checker's time limits."""
        self._context.checker.extend_due_times(now - self.paused_at, self.name)
        self.paused_at = now

    def step_clock(self) -> None:
        """Step the process's clock, where its launcher is ``testbed.settable_clock``."""
        self._signal(signal.SIGUSR1)

    def disconnect(self) -> None:
        """Break the connections to interpreter and balancers, as a network would."""
        self.interpreter.break_connection()
        self.disconnect_balancers()

    def disconnect_balancers(self) -> None:
        """Break the balancers' connections to the node."""
        self._context.disconnect_balancers(self.name)

    def state(self, now: float) -> str:
        """Return the state for reports: down, paused, leaving, cold, slow or well."""
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
        """Kill process and interpreter at once."""
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
        """Return whether the process has ended by itself; its exit status is in its life."""
        if self.process is None or self.process.poll() is None:
            return False
        life = self.incarnations[-1]
        if not life.exited_at:
            life.exited_at = self._context.loop.now()
            life.exit_status = self.process.returncode
            self.machine = None
            self.interpreter.restart(None)
        return True

    def close(self) -> None:
        """End the process and close the interpreter's socket."""
        self._kill_process()
        self.interpreter.close()

    def handle_machine_events(self, events: list[MachineEvent]) -> None:
        """Carry what the machine has done to node and interpreter."""
        self.next_event_at = 0.0
        attempts = self._context.attempts
        for event in events:
            match event:
                case RequestParsed(call):
                    self._context.on_read(call)
                case RunWaiting(call, number):
                    self.interpreter.send_run_waiting(call, attempts.call_body(call, number))
                    attempts.waiting_calls[call] = number
                    if call not in attempts.open:
                        self.end_request(call)
                case RunEnded(call, took):
                    self._complete_run(call, took)
                case MachineCrashed(why):
                    self._context.checker.machine_crashed(self.name, why)
                    self.kill()

    def end_request(self, call: str) -> None:
        """End a run that waits for a dependency call: its request is over.

        The protocol ends a run at its call only; a run that does not wait goes on to its end.
        """
        took = self.machine.cancel_waiting_run(self._context.loop.now(), call) if self.machine else None
        if took is not None:
            self.interpreter.send_run_ended(call, "broken_off", took, b"")
            self._context.attempts.end_run(call)

    def _complete_run(self, call: str, took: float) -> None:
        result = b"page of " + call.encode()
        self._context.checker.run_ended(call, self.name, result)
        self.interpreter.send_run_ended(call, "fine", took, result)
        self._context.attempts.end_run(call)

    def _run_requested(self, call: str, cls: str, body: bytes) -> None:
        context = self._context
        context.checker.run_started(call, self.name, cls, body)
        attempt = context.attempts.open.get(call)
        if self.machine is None:
            return
        if attempt is None:  # its request is over: nothing is started
            self.interpreter.send_run_ended(call, "late", 0.0, b"")
            return
        context.attempts.running[call] = attempt
        self.handle_machine_events(self.machine.start_run(context.loop.now(), call, attempt.order.plan))

    def _call_replied(self, call: str, reply: bytes | None) -> None:
        context = self._context
        number = context.attempts.waiting_calls.pop(call, 0)
        if not number or self.machine is None:
            return
        if reply is None:
            context.attempts.skip_call(call)
        elif reply != response_to(context.attempts.call_body(call, number)):
            context.checker.record_violation(
                "lost", self.name, f"{call}: a reply to a call changed on its way"
            )
        self.handle_machine_events(self.machine.resume_run(context.loop.now(), call))
