"""The interpreter of one process under the soak, and the store that all processes share.

Owns the runs and what the checker hears of them.
"""

from __future__ import annotations

from collections.abc import Callable

from spindlerelay.testbed.checker import RuleChecker
from spindlerelay.testbed.models.machine import Machine, MachineCrashed, MachineEvent, RunEnded, RunWaiting
from spindlerelay.testbed.models.store import SharedStore, StoreSpec
from spindlerelay.testbed.models.traffic import Request
from spindlerelay.testbed.servers.interpreter import EmulatedInterpreter
from spindlerelay.testbed.servers.store import StoreServer
from spindlerelay.testbed.soak.scenario import Scenario
from spindlerelay.transport.event_loop import EventLoop

LOOPBACK = ("127.0.0.1", 0)
NODE = "n1"
STORE_CALL_MS = 15.0
UPTIME_MS = 600_000.0  # of the interpreter at the start: long past any warm-up


class SoakInterpreter:
    """One process's interpreter over the model of a machine.

    ``request_of`` finds a request by its call id; ``ended`` tells whether its balancer has its answer.
    ``on_run`` is called with each run that is asked for.
    """

    def __init__(
        self,
        loop: EventLoop,
        scenario: Scenario,
        checker: RuleChecker,
        request_of: Callable[[str], Request | None],
        ended: Callable[[str], bool],
        on_run: Callable[[str], None],
    ) -> None:
        now_ms = loop.now()
        self._loop = loop
        self._checker = checker
        self._request_of = request_of
        self._ended = ended
        self._on_run = on_run
        self._machine = Machine(scenario.machine, now_ms - UPTIME_MS, cold=False)
        self._machine.now = now_ms
        self._server = EmulatedInterpreter(loop, LOOPBACK, self._apply, self._resume)
        self._server.restart(self._machine)

    @property
    def address(self) -> tuple[str, int]:
        """The address that the process connects to."""
        return self._server.address

    @property
    def connected(self) -> bool:
        """Whether the process has connected."""
        return self._server.connected

    def break_off(self) -> None:
        """Break the connection; runs go on."""
        self._server.break_connection()

    def book_memory(self, call: str, memory_kb: float) -> None:
        """Book the memory of a request that was written to the process."""
        self._machine.request_memory_kb[call] = memory_kb

    def release_memory(self, call: str) -> None:
        """End the booking, and a run that waits at a dependency call."""
        self._machine.request_memory_kb.pop(call, None)
        took_ms = self._machine.cancel_waiting_run(self._loop.now(), call)
        if took_ms is not None:
            self._server.send_run_ended(call, "broken_off", took_ms, b"")

    def skip_to(self, now_ms: float) -> None:
        """Go on after a pause, in which nothing ran."""
        self._machine.now = now_ms

    def tick(self, now_ms: float) -> None:
        """Let the runs go on."""
        self._handle(self._machine.advance(now_ms))

    def close(self) -> None:
        """Close the sockets."""
        self._server.close()

    def _apply(self, call: str, cls: str, body: bytes) -> None:
        self._checker.run_started(call, NODE, cls, body)
        self._on_run(call)
        request = self._request_of(call)
        if request is None or self._ended(call):
            self._server.send_run_ended(call, "late", 0.0, b"")
            return
        self._handle(self._machine.start_run(self._loop.now(), call, request.plan))

    def _resume(self, call: str, _reply: bytes | None) -> None:
        self._handle(self._machine.resume_run(self._loop.now(), call))

    def _handle(self, events: list[MachineEvent]) -> None:
        for event in events:
            match event:
                case RunWaiting(call, number):
                    self._server.send_run_waiting(call, b"row %d of %b" % (number, call.encode()))
                    if self._ended(call):
                        self.release_memory(call)
                case RunEnded(call, took_ms):
                    result = b"page of " + call.encode()
                    self._checker.run_ended(call, NODE, result)
                    self._server.send_run_ended(call, "fine", took_ms, result)
                case MachineCrashed(reason):
                    self._checker.machine_crashed(NODE, reason)


class SoakStore:
    """The shared store; each call takes about ``STORE_CALL_MS``."""

    def __init__(self, loop: EventLoop, slots: int) -> None:
        model = SharedStore(StoreSpec(slots=slots, call_ms=STORE_CALL_MS), loop.now())
        self._server = StoreServer(loop, LOOPBACK, model, lambda _call, _body: STORE_CALL_MS)

    @property
    def address(self) -> tuple[str, int]:
        """The address that processes connect to."""
        return self._server.address

    def break_off(self) -> None:
        """Break all connections; calls on them are given up."""
        self._server.break_connections()

    def tick(self, now_ms: float) -> None:
        """Let the calls go on."""
        self._server.tick(now_ms)

    def close(self) -> None:
        """Close the sockets."""
        self._server.close()
