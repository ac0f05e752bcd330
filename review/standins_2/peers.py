"""Stand-ins for balancers, interpreter, store and announce service, on loopback sockets and the real clock.

They need the standard library and msgpack. Each follows the protocol page; where the page is silent, it
behaves like a sound peer. Times are Unix times in s unless a name says otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent.parent
RUN_COMMAND = "exec .venv/bin/python -m spindlerelay"  # `run` in the deploy file


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """The file ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start = time.time()

    def add(self, kind: str, **fields: Any) -> None:
        """Write one line: the time in ms since the start, the kind and the fields."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{(time.time() - self.start) * 1000.0:10.1f} {kind} {values}\n")
        self._file.flush()


@dataclass(slots=True)
class Request:
    """One try of a request, from its writing to its end."""

    call: str
    class_name: str
    body: bytes
    key: str = ""
    due_at: float = 0.0
    written_at: float = 0.0  # when its last byte was written; 0 before
    runs: list[float] = field(default_factory=list)  # times at which the interpreter started it
    run_over: bool = False
    answer: str = ""  # served, refused, failed: the text; empty while there is none
    answered_at: float = 0.0
    ended: str = ""  # how its connection ended without an answer
    notice: int = 0  # number of the notice that asked for the call that the run waits for
    resume: asyncio.Future[bytes] | None = None

    def over(self) -> bool:
        """Return whether nobody waits for the request any more."""
        return bool(self.answer or self.ended) or time.time() > self.due_at


class Interpreter:
    """The interpreter: runs what it is told, and numbers its notices.

    ``parts`` returns the work of a run in s: the parts between its calls.
    """

    def __init__(
        self, requests: dict[str, Request], record: Record, parts: Callable[[Request], list[float]]
    ) -> None:
        self.requests = requests
        self.record = record
        self.parts = parts
        self.port = 0
        self.notices: list[bytes] = []
        self.running = 0
        self._writer: asyncio.StreamWriter | None = None
        self._started_at = time.time()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                block = b""
                if words[0] in ("APPLY", "RESOLVE"):
                    block = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self._command(writer, words, block)
        writer.close()

    def _command(self, writer: asyncio.StreamWriter, words: list[str], block: bytes) -> None:
        if words[0] == "CONNECT":
            if self._writer is not None:
                self._writer.close()
            self._writer = writer
            uptime_ms = (time.time() - self._started_at) * 1000.0
            writer.write(b"BANNER running %d\r\n" % uptime_ms)
            for notice in self.notices[int(words[1]) :]:
                writer.write(notice)
        elif words[0] == "TOP":
            busy = min(1.0, self.running / 6.0)
            writer.write(f"TOPS {words[1]} {busy:.3f} {self.running} 0.1 3\r\n".encode())
        elif words[0] == "APPLY":
            self._apply(words[1], words[2], block)
        elif words[0] in ("RESOLVE", "STUB"):
            request = self.requests.get(words[1])
            current = words[0] == "RESOLVE" or (request is not None and request.notice == int(words[2]))
            if request is not None and request.resume and not request.resume.done() and current:
                request.resume.set_result(block)

    def _apply(self, call: str, class_name: str, body: bytes) -> None:
        request = self.requests.get(call)
        if request is None or request.class_name != class_name or request.body != body:
            self.record.add("ERROR", call=call)
            if self._writer:
                self._writer.write(f"ERROR APPLY {call}\r\n".encode())
        elif request.runs and not request.run_over:
            return
        elif request.over():
            self._tell(f"VALUE {{}} {call} late 0 0", b"")
        else:
            request.runs.append(time.time())
            request.run_over = False
            self.record.add("run", call=call, cls=class_name, key=request.key)
            task = asyncio.get_running_loop().create_task(self._run(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, request: Request) -> None:
        begin = time.time()
        parts = self.parts(request)
        end = "fine"
        self.running += 1
        for index, part in enumerate(parts):
            await asyncio.sleep(part)
            if index + 1 == len(parts):
                break
            if request.over():
                end = "broken_off"
                break
            request.resume = asyncio.get_running_loop().create_future()
            request.notice = len(self.notices) + 1
            self.running -= 1
            self._tell(f"AWAIT {{}} {request.call} 4", b"call")
            while not request.resume.done() and not request.over():
                await asyncio.wait([request.resume], timeout=0.05)
            self.running += 1
            if not request.resume.done():
                end = "broken_off"
                break
        self.running -= 1
        request.run_over = True
        result = b"result of " + request.call.encode() if end == "fine" else b""
        spent_ms = (time.time() - begin) * 1000.0
        self.record.add("over", call=request.call, end=end)
        self._tell(f"VALUE {{}} {request.call} {end} {spent_ms:.0f} {len(result)}", result)

    def _tell(self, text: str, block: bytes) -> None:
        notice = text.format(len(self.notices) + 1).encode() + b"\r\n" + block + b"\r\n"
        self.notices.append(notice)
        if self._writer is not None:
            self._writer.write(notice)


class Store:
    """The shared store: answers each call after ``latency`` s."""

    def __init__(self, record: Record, latency: float = 0.02) -> None:
        self.record = record
        self.latency = latency
        self.port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "CALL":
                    await reader.readexactly(int(words[3]) + 2)
                    self.record.add("call", call=words[1])
                    task = asyncio.get_running_loop().create_task(self._answer(writer, words[1]))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, call: str) -> None:
        await asyncio.sleep(self.latency)
        with contextlib.suppress(ConnectionError):
            writer.write(f"{call} OK 5\r\nreply\r\n".encode())


class AnnounceService(asyncio.DatagramProtocol):
    """Takes the reports of the node and records each change."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.last = ""

    async def start(self) -> None:
        """Take datagrams on a free port."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record a report that differs from the one before."""
        text = data.decode()
        if text != self.last:
            self.last = text
            self.record.add("report", text=text.replace(" ", "_"))


class Node:
    """One render node, started as the platform starts it."""

    def __init__(self, folder: Path, config: dict[str, Any], record: Record) -> None:
        self.config = config
        self.record = record
        path = folder / f"{config['name']}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.port = int(config["listen"].rpartition(":")[2])
        self._environment = os.environ | {
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(folder),
        }
        self._log = (folder / f"{config['name']}.log").open("wb")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN_COMMAND, cwd=ROOT, env=self._environment, stdout=self._log, stderr=self._log
        )
        self.record.add("start", node=self.config["name"])

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, unless it has ended."""
        assert self.process is not None
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
                self.record.add("signal", node=self.config["name"], name=signal.Signals(number).name)

    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def answers_health_check(self) -> bool:
        """Return whether the node answers a health check on a new connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(msgpack.packb([0, 1, "ping", [{}]]))
            data = await asyncio.wait_for(reader.read(1024), 2.0)
            writer.close()
            return bool(data)
        return False

    async def wait_ready(self, seconds: float = 30.0) -> bool:
        """Wait until the node answers a health check; return whether it did in time."""
        end = time.time() + seconds
        while time.time() < end and self.running():
            if await self.answers_health_check():
                return True
            await asyncio.sleep(0.02)
        return False


class Balancer:
    """Sends requests to a node, each on a connection of its own, and records the answers."""

    def __init__(self, requests: dict[str, Request], record: Record, port: int, number: int = 4) -> None:
        self.requests = requests
        self.record = record
        self.port = port
        self.number = number
        self._sent = 0

    async def send(self, class_name: str, ttl_ms: int, key: str = "", body: bytes = b"page") -> Request:
        """Send a request and wait for its answer or the end of its connection."""
        self._sent += 1
        request = Request(f"{os.urandom(8).hex()}", class_name, body, key)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            request.ended = "refused connection"
            self.record.add("refused-connection", call=request.call)
            return request
        received_ms = int(time.time() * 1000.0)
        fields = {
            "call": request.call,
            "recv": str(received_ms),
            "src": str(self.number),
            "org": "acqua",
            "ttl": str(ttl_ms),
            "heap": "24.5",
            "crit": "0.6250",
        }
        if key:
            fields["dedupe"] = key
        request.due_at = (received_ms + ttl_ms) / 1000.0
        self.requests[request.call] = request
        writer.write(msgpack.packb([0, 1, class_name, [fields, body]]))
        request.written_at = time.time()
        self.record.add("send", call=request.call, cls=class_name, ttl=ttl_ms, key=key)
        await self._read_answer(reader, request)
        writer.close()
        return request

    async def _read_answer(self, reader: asyncio.StreamReader, request: Request) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            if not data:
                request.ended = "connection ended"
                self.record.add("no-answer", call=request.call)
                return
            unpacker.feed(data)
            for message in unpacker:
                if message[0] == 1:
                    request.answered_at = time.time()
                    error = message[2]
                    words = {"Busy": "refused"}
                    request.answer = words.get(error[0], f"failed:{error[0]}") if error else "served"
                    self.record.add("answer", call=request.call, text=request.answer.replace(" ", "_"))
                    return


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment: one node of six cores, with previews and orders."""
    return {
        "classes": [
            {
                "name": "preview",
                "deadline-ms": 3600.0,
                "goal-time-ms": 1400.0,
                "effect": "free",
                "late-share": 0.0,
                "value": 1.0,
            },
            {
                "name": "order",
                "deadline-ms": 4900.0,
                "goal-time-ms": 1900.0,
                "effect": "guarded",
                "key-ttl-ms": 14841.0,
                "late-share": 0.2,
                "value": 5.0,
            },
        ],
        "family-info": {
            "below": "common",
            "calls-out": 4.58,
            "calls-over-ms": 5000.0,
            "class-calls": [True, True],
            "class-skip-worth": [0.5, 0.0],
            "cold": False,
            "heap-kb": 13740.0,
            "key-kb": 53.88,
            "n-cores": 6,
            "run-mem-factor": 8.0,
            "say": "min_rank",
            "caller-idle-ms": 30000.0,
            "linger-ms": 200.0,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "none",
            "readiness": True,
        },
        "obligations": {
            "answer-slack-ms": 60.0,
            "cold-share": 0.28,
            "ramp-time-ms": 17000.0,
            "drain-grace-ms": 2500.0,
            "fall-multiple": 8.0,
            "fall-ms": 1500.0,
        },
        "policy-limits": {"retry-after": True, "max-retry-after-ms": 1000.0},
        "tenants": [{"name": "acqua", "quota-per-s": 47.0, "fraction": 1.0}],
        "servers": 1,
        "resolution-ms": 5.0,
    }


def configuration(name: str, interpreter: int, store: int, announce: int, stop_ms: int) -> dict[str, Any]:
    """Return the platform's configuration of one node on a free port, with the ports of its peers."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "vm": f"127.0.0.1:{interpreter}",
        "store": f"127.0.0.1:{store}",
        "announce": f"127.0.0.1:{announce}",
        "seed": os.urandom(8).hex(),
        "stop_ms": stop_ms,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(),
    }
