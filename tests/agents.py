"""Helpers for tests around the stand-in agent: a loop that is spun until something is true, or in a
thread."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from spindlerelay.api import ClassSettings, Settings
from spindlerelay.consul.agent_client import AgentClient, Options
from spindlerelay.node.health import NodeStatus
from spindlerelay.node.protocols import RejectionGate
from spindlerelay.testbed.models.catalogue import ConsulCatalogue
from spindlerelay.testbed.servers.catalogue import AgentServer
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import unix_time_ms

WAIT_S = 20.0  # no test depends on how fast things come
SETTINGS = Settings(cores=6, classes=(ClassSettings(1400.0, 3600.0),))


class FakeNode:
    """Vitals as the test sets them."""

    def __init__(self) -> None:
        self.told = NodeStatus(started=True)
        self.maintained: list[bool] = []

    def status(self) -> NodeStatus:
        return self.told

    def set_maintenance(self, on: bool) -> None:
        self.maintained.append(on)

    def set_rejection_gate(self, gate: RejectionGate) -> None:
        pass


class Site:
    """An agent on loopback and nodes' links to it, all on one loop."""

    def __init__(self, token: str = "", up: bool = True) -> None:
        self.loop = EventLoop()
        self.model = ConsulCatalogue(unix_time_ms(), token)
        self.server = AgentServer(self.loop, ("127.0.0.1", 0), self.model)
        if not up:
            self.server.stop()

    def node(
        self, sid: str = "n1", port: int = 4100, seed: int = 1, token_file: str = "", ttl_ms: float = 2000.0
    ) -> tuple[FakeNode, AgentClient]:
        fake = FakeNode()
        options = Options(self.server.address, "render", sid, token_file=token_file, ttl_ms=ttl_ms)
        return fake, AgentClient(self.loop, options, SETTINGS, ("127.0.0.1", port), fake, seed)

    def until(self, true: Callable[[], bool]) -> None:
        end = time.monotonic() + WAIT_S
        while not true():
            assert time.monotonic() < end, self.model.history
            self.loop.call_later(5.0, lambda: None)
            self.loop.run_once(lambda: None)

    def spin(self, ms: float) -> None:
        end = unix_time_ms() + ms
        self.until(lambda: unix_time_ms() >= end)

    def states(self, sid: str = "n1") -> list[str]:
        return [state for _, each, state in self.model.history if each == sid]


class Threaded:
    """The agent in a thread, for clients that block and for nodes that are processes."""

    def __init__(self, token: str = "") -> None:
        self.site = Site(token)
        self.address = self.site.server.address
        self.thread = threading.Thread(target=self.site.loop.run, args=(lambda: None,), daemon=True)
        self.site.loop.call_later(5.0, self._beat)
        self.thread.start()

    def _beat(self) -> None:
        self.site.loop.call_later(5.0, self._beat)

    def until(self, true: Callable[[], bool]) -> None:
        end = time.monotonic() + WAIT_S
        while not true():
            assert time.monotonic() < end, self.site.model.history
            time.sleep(0.01)

    def close(self) -> None:
        self.site.loop.running = False
        self.thread.join(WAIT_S)
        self.site.server.stop()
