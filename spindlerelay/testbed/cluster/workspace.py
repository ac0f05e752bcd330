"""The environment of a cluster: clock and sockets, free ports, and the start of node processes.

``LoopbackWorkspace`` uses this computer in real time; the simulation has a workspace in virtual time.
"""

from __future__ import annotations

import contextlib
import ctypes
import itertools
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Protocol

from spindlerelay.errors import SpindlerelayError
from spindlerelay.testbed.cluster.spec import ClusterSpec
from spindlerelay.testbed.revisions import REPOSITORY_ROOT
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import HOST_SYSTEM, System

# Ports 11,000 to 31,479, which lie below the kernel's ephemeral range.
FIRST_PORT = 11_000
PORTS_PER_PROCESS = 64
PORT_RANGES = 320
PR_SET_PDEATHSIG = 1  # prctl(2)

_port_offsets = itertools.count()
_libc = ctypes.CDLL(None)


class NoFreePortError(SpindlerelayError, OSError):
    """No port of this process's range is free.

    Attributes:
        first_port: lowest port of the ranges of all processes.
    """

    def __init__(self, first_port: int) -> None:
        super().__init__(first_port)
        self.first_port = first_port

    def __str__(self) -> str:
        return f"no port is free from {self.first_port} on"


def free_port() -> int:
    """Return a free port.

    The range depends on the process identifier, so that two processes rarely share a range.

    Raises:
        NoFreePortError: if no port of the range is free.
    """
    for _ in range(PORTS_PER_PROCESS):
        offset = next(_port_offsets) % PORTS_PER_PROCESS
        port = FIRST_PORT + PORTS_PER_PROCESS * (os.getpid() % PORT_RANGES) + offset
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            return port
    raise NoFreePortError(FIRST_PORT)


def _die_with_parent() -> None:
    """Have the kernel kill the calling process when its parent ends; called in a child before it executes."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start_process(
    command: list[str], log: Path, directory: Path | str, environ: dict[str, str] | None = None
) -> subprocess.Popen[bytes]:
    """Start a process that the kernel kills when this one ends.

    The process runs in ``directory``, with ``environ`` added to this process's environment, and appends its
    output to ``log``.
    """
    with log.open("ab") as output:
        return subprocess.Popen(
            command,
            env=os.environ | (environ or {}),
            stdin=subprocess.DEVNULL,
            cwd=directory,
            stdout=output,
            stderr=output,
            preexec_fn=_die_with_parent,  # noqa: PLW1509 (this process has one thread)
        )


class Process(Protocol):
    """A node's process, with the part of the interface of ``subprocess.Popen`` that a host uses."""

    returncode: int | None
    pid: int

    def poll(self) -> int | None:
        """Return the exit status; None while the process runs."""

    def kill(self) -> None:
        """Send SIGKILL."""

    def wait(self) -> int:
        """Wait for the process to exit and return the exit status."""

    def send_signal(self, sig: int) -> None:
        """Send a signal."""


class Workspace(Protocol):
    """The environment of a cluster."""

    @property
    def system(self) -> System:
        """Return the provider of clock and sockets."""

    def port(self) -> int:
        """Return a free port."""

    def launch(self, name: str, spec: ClusterSpec, config: Path, operator: Path | None, log: Path) -> Process:
        """Start a node's process with the given files; its output is appended to ``log``."""

    def drive(self, loop: EventLoop) -> None:
        """Run the loop until it stops."""


class LoopbackWorkspace:
    """An environment of processes on this computer's loopback interface, in real time."""

    system: System = HOST_SYSTEM

    def port(self) -> int:
        """Return a free port."""
        return free_port()

    def launch(self, name: str, spec: ClusterSpec, config: Path, operator: Path | None, log: Path) -> Process:
        """Start a node's process with the given files; its output is appended to ``log``."""
        command = [sys.executable, "-m", *spec.launcher]
        command += ["run", "--operator", str(operator)] if operator else []
        return start_process(command, log, spec.working_tree or REPOSITORY_ROOT, {"LB_CONFIG": str(config)})

    def drive(self, loop: EventLoop) -> None:
        """Run the loop until it stops."""
        loop.run(lambda: None)
