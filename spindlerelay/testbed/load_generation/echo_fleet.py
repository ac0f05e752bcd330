"""Echo nodes in separate processes, for load runs that measure the load generator itself."""

from __future__ import annotations

import multiprocessing
import socket
import time
from collections.abc import Sequence
from contextlib import suppress

from spindlerelay.testbed.load_generation.errors import StartError
from spindlerelay.testbed.load_generation.sender import Target
from spindlerelay.testbed.servers import echo_node

START_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 1.0
CONNECT_INTERVAL_S = 0.02

spawn_context = multiprocessing.get_context("spawn")


class EchoFleet:
    """Echo nodes that all stall at the given times after the start of the run.

    ``started_at`` shares the start of the run with the processes, in ms of the monotonic clock; it is 0 until
    the run starts.
    """

    def __init__(self, count: int, stalls: Sequence[echo_node.PlannedStall], ports: Sequence[int]) -> None:
        self.started_at = spawn_context.Value("d", 0.0)
        self.targets = tuple(Target(f"echo{i + 1}", ("127.0.0.1", ports[i])) for i in range(count))
        self._processes = [
            spawn_context.Process(
                target=echo_node.serve, args=(port, tuple(stalls), self.started_at), daemon=True
            )
            for port in ports[:count]
        ]
        for process in self._processes:
            process.start()

    def close(self) -> None:
        """Kill the processes."""
        for process in self._processes:
            process.kill()
            process.join()


def wait_until_reachable(targets: Sequence[Target]) -> None:
    """Wait until every target accepts connections.

    Raises:
        StartError: a target does not accept connections within ``START_TIMEOUT_S``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    for target in targets:
        while True:
            with suppress(OSError), socket.create_connection(target.address, CONNECT_TIMEOUT_S):
                break
            if time.monotonic() > deadline:
                raise StartError(target.name)
            time.sleep(CONNECT_INTERVAL_S)
