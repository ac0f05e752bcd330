"""A node's process as the soak starts it, stops it and looks at it.

Owns the process, its files and the node's view of its peers. It sends no request.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

from spindlerelay.testbed import procfs
from spindlerelay.testbed.models.traffic import node_settings
from spindlerelay.testbed.revisions import REPOSITORY_ROOT
from spindlerelay.testbed.soak.scenario import Scenario, SignalKind

MEMORY_MB = 192
STORE_SLOTS = 12
CAPACITY_PER_S = 100.0  # of the tenants' quotas
INVALID_CONFIG = '{"name": 7}'


class Peers(NamedTuple):
    """Addresses of a process's peers, as text."""

    listen: str
    interpreter: str
    store: str
    announce: str


class NodeProcess:
    """One process of the node under test; ``listener`` is inherited in a handover."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        name: str,
        peers: Peers,
        launcher: tuple[str, ...],
        listener: socket.socket | None = None,
    ) -> None:
        self.log = folder / f"{name}.log"
        self.max_memory_kb = 0
        self.max_descriptors = 0
        self._config_path = folder / f"{name}.json"
        self._config = json.dumps(_platform_config(scenario, peers))
        self._config_path.write_text(self._config)
        environ = os.environ | {"LB_CONFIG": str(self._config_path), "TMPDIR": str(folder)}
        descriptors: tuple[int, ...] = ()
        if listener is not None:
            environ["LB_ACCEPT_FD"] = str(listener.fileno())
            descriptors = (listener.fileno(),)
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, *launcher],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=REPOSITORY_ROOT,
                pass_fds=descriptors,
            )

    def listens(self) -> bool:
        """Return whether the process has logged that it listens."""
        return "listens on" in self.log.read_text(errors="replace")

    def status(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._process.poll()

    def send(self, kind: SignalKind) -> None:
        """Send a signal, after writing the file that it is about."""
        if kind is SignalKind.RELOAD:
            self._config_path.write_text(self._config)
        elif kind is SignalKind.RELOAD_INVALID:
            self._config_path.write_text(INVALID_CONFIG)
        elif kind is SignalKind.RELOAD_HALF_WRITTEN:
            self._config_path.write_text(self._config[: len(self._config) // 2])
        numbers = {
            SignalKind.TERMINATE: signal.SIGTERM,
            SignalKind.PAUSE: signal.SIGSTOP,
            SignalKind.RESUME: signal.SIGCONT,
        }
        if self.status() is None:
            self._process.send_signal(numbers.get(kind, signal.SIGHUP))

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self._process.kill()
        self._process.wait()

    def sample(self) -> None:
        """Note memory and descriptors at this moment."""
        with contextlib.suppress(OSError, StopIteration):
            self.max_memory_kb = max(self.max_memory_kb, procfs.memory_kb(self._process.pid))
            descriptors = len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))
            self.max_descriptors = max(self.max_descriptors, descriptors)


def _platform_config(scenario: Scenario, peers: Peers) -> dict[str, Any]:
    settings = node_settings(scenario.machine, 1, 1, CAPACITY_PER_S, STORE_SLOTS, scenario.classes)
    settings["obligations"]["drain-grace-ms"] = scenario.grace_ms
    settings["family-info"]["cold"] = False
    return {
        "name": "n1",
        "listen": peers.listen,
        "vm": peers.interpreter,
        "store": peers.store,
        "announce": peers.announce,
        "seed": f"{scenario.seed:016x}",
        "stop_ms": scenario.stop_ms,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": scenario.sockets},
        "settings": settings,
    }
