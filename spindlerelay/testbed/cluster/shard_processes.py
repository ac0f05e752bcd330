"""The shard processes of a cluster and the coordinator's links to them.

This module starts and stops the processes and detects lost shards. It does not depend on what a run does.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from spindlerelay.testbed.cluster.record import ShardResult
from spindlerelay.testbed.cluster.shard_protocol import Message, MessageLink
from spindlerelay.testbed.cluster.spec import LOOPBACK
from spindlerelay.testbed.cluster.workspace import start_process
from spindlerelay.testbed.revisions import REPOSITORY_ROOT
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import Socket

SHARD_MODULE = "spindlerelay.testbed.cluster.shard"
HEARTBEAT_TIMEOUT_MS = 3000.0
START_HEARTBEAT_TIMEOUT_MS = 20_000.0  # hundreds of processes start at the same time on a few cores
EXIT_TIMEOUT_S = 5.0
LOG_TAIL_CHARACTERS = 300
MAX_LOG_TAILS = 3


class ShardProcess:
    """The process of one shard and the state that the shard has reported.

    Attributes:
        process: the process.
        link: link to the shard; None before the shard has connected.
        address: address on which the shard accepts links of other shards.
        up: whether all nodes of the shard are connected to their interpreters.
        finished: whether all requests of the shard's balancers have ended.
        result: the result of the shard; None before.
        last_message_at: time of the last message in Unix ms; 0 before.
    """

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process = process
        self.link: MessageLink | None = None
        self.address: list[Any] = []
        self.up = False
        self.finished = False
        self.result: ShardResult | None = None
        self.last_message_at = 0.0


class LostShard(NamedTuple):
    """A shard that can no longer complete the run, and the reason."""

    number: int
    reason: str


class ShardProcesses:
    """The shards of one run, which read their specification from ``directory``.

    ``on_linked`` is called once, when all shards have connected, with the addresses on which the shards
    accept links. ``on_heartbeat`` is called with a shard's number, the longest delay of its ticks since the
    last heartbeat and the longest delay of its requests, both in ms.
    """

    def __init__(
        self,
        loop: EventLoop,
        directory: Path,
        count: int,
        on_linked: Callable[[list[list[Any]]], None],
        on_heartbeat: Callable[[int, float, float], None],
    ) -> None:
        self._loop = loop
        self._directory = directory
        self._on_linked = on_linked
        self._on_heartbeat = on_heartbeat
        self._listener = Listener(loop, LOOPBACK, self._accept)
        self.shards = [ShardProcess(self._start(number)) for number in range(count)]

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        address = "{}:{}".format(*self._listener.sock.getsockname())
        command = [sys.executable, "-m", SHARD_MODULE, str(self._directory), str(number), address]
        return start_process(command, self._directory / f"shard{number}.log", REPOSITORY_ROOT)

    def _accept(self, sock: Socket) -> None:
        link = MessageLink(self._loop, lambda message: self._handle_hello(link, message), lambda: None)
        link.accept(sock)

    def _handle_hello(self, link: MessageLink, message: list[Any]) -> None:
        if message[0] != Message.HELLO or not 0 <= int(message[1]) < len(self.shards):
            link.close()
            return
        number, address = message[1], message[2]
        shard = self.shards[number]
        shard.link = link
        shard.address = address
        shard.last_message_at = self._loop.now()
        link.on_message = partial(self._handle_message, number, shard)
        if all(other.link for other in self.shards):
            self._on_linked([other.address for other in self.shards])

    def _handle_message(self, number: int, shard: ShardProcess, message: list[Any]) -> None:
        shard.last_message_at = self._loop.now()
        match message:
            case [Message.HEARTBEAT, tick_delay_ms, send_delay_ms]:
                self._on_heartbeat(number, tick_delay_ms, send_delay_ms)
            case [Message.NODES_UP]:
                shard.up = True
            case [Message.STREAM_FINISHED]:
                shard.finished = True
            case [Message.RESULT, result]:
                shard.result = result

    def broadcast(self, message: Message, *fields: Any) -> None:
        """Send a message to every shard that has connected."""
        for shard in self.shards:
            if shard.link:
                shard.link.send(message, *fields)

    def find_lost(self, now: float, heartbeat_timeout_ms: float) -> Iterator[LostShard]:
        """Yield the shards without a result that have exited or whose last message is older than the timeout.

        A shard that has not exited is killed.
        """
        for number, shard in enumerate(self.shards):
            if shard.result is not None:
                continue
            silence_ms = now - shard.last_message_at
            if shard.process.poll() is not None:
                yield LostShard(number, f"died with status {shard.process.returncode}")
            elif shard.last_message_at and silence_ms > heartbeat_timeout_ms:
                yield LostShard(number, f"sent no message for {silence_ms:.0f} ms")
                shard.process.kill()  # a stopped process would not notice that its link closes

    def log_tails(self, numbers: list[int]) -> str:
        """Return the last characters of the first non-empty logs of these shards and their nodes."""
        tails = []
        for number in numbers:
            shard = self._directory / f"shard{number}"
            for log in (shard.with_suffix(".log"), *shard.glob("*.log")):
                if text := log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:].strip():
                    tails.append(f"{log.stem}: {text}")
        return "; ".join(tails[:MAX_LOG_TAILS])

    def close(self) -> None:
        """Stop every shard and its nodes; a shard that does not exit in time is killed."""
        for shard in self.shards:
            if shard.link:
                shard.link.close()
            else:
                shard.process.kill()
        for shard in self.shards:
            try:
                shard.process.wait(EXIT_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                shard.process.kill()
                shard.process.wait()
        self._listener.close()
