"""Stand-ins of the balancers, the store and the announce service, and the node as a process between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgpack

from standins.record import Record, Try, now_ms

ROOT = Path(__file__).resolve().parents[2]
READY_WAIT_S = 20.0
CALL_MS = 15.0  # of the store
ACCEPT_FD = 4  # the descriptor that the platform's page names

# A small deployment: the settings of the wire page, where an instance gets them in the first message.
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "preview",
            "deadline-ms": 3600.0,
            "goal-time-ms": 1400.0,
            "effect": "free",
            "key-ttl-ms": 5000.0,
            "late-share": 0.0,
            "value": 1.0,
        },
        {
            "name": "proof",
            "deadline-ms": 4900.0,
            "goal-time-ms": 1900.0,
            "effect": "free",
            "key-ttl-ms": 5000.0,
            "late-share": 0.2,
            "value": 2.0,
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
    "clients": {"marks-retry": True},
    "counted-by": "request",
    "family-info": {
        "below": "common",
        "caller-idle-ms": 30000.0,
        "callers": 3,
        "calls-out": 4.58,
        "calls-over-ms": 5000.0,
        "class-calls": [True, False, True],
        "class-skip-worth": [0.5, 0.0, 0.0],
        "cold": False,
        "deep-checks": False,
        "fresh-ms": 0.0,
        "halt": "none",
        "hangup-seen": False,
        "heap-kb": 13740.0,
        "heard-for-ms": 1000.0,
        "key-kb": 53.88,
        "linger-ms": 200.0,
        "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "n-cores": 6,
        "passes-deadline": True,
        "readiness": True,
        "run-mem-factor": 8.0,
        "say": "min_rank",
    },
    "obligations": {
        "answer-slack-ms": 60.0,
        "cold-share": 0.28,
        "drain-grace-ms": 2500.0,
        "fall-ms": 1500.0,
        "fall-multiple": 8.0,
        "ramp-time-ms": 17000.0,
    },
    "over-share-worth": 0.1,
    "policy-limits": {"max-retry-after-ms": 1000.0, "retry-after": True},
    "resolution-ms": 5.0,
    "servers": 1,
    "tenants": [
        {"name": "acqua", "fraction": 0.28, "quota-per-s": 47.0},
        {"name": "rifiuti", "fraction": 0.28, "quota-per-s": 47.0},
        {"name": "anagrafe", "fraction": 0.26, "quota-per-s": 44.0},
        {"name": "tributi", "fraction": 0.18, "quota-per-s": 30.0},
    ],
    "zones": ["via-roma", "zona-porto", "contrada-sud"],
}


class Store:
    """The shared store: each call takes about ``CALL_MS`` and its reply names the call's body."""

    def __init__(self) -> None:
        self.address = ""
        self.calls = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pending: dict[str, asyncio.TimerHandle] = {}

        def reply(call: str, body: bytes) -> None:
            pending.pop(call, None)
            text = b"reply to " + body
            writer.write(b"%s OK %d\r\n%s\r\n" % (call.encode(), len(text), text))

        try:
            while True:
                words = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
                if words[0] == "CALL":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls += 1
                    timer = asyncio.get_running_loop().call_later(CALL_MS / 1000.0, reply, words[1], body)
                    pending[words[1]] = timer
                elif timer_of := pending.pop(words[1], None):
                    timer_of.cancel()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            for timer in pending.values():
                timer.cancel()
            writer.close()


class Balancer:
    """A balancer: it writes requests on one connection at a time, and notes every answer."""

    def __init__(self, record: Record, number: int, address: str, seed: int) -> None:
        self.record = record
        self.number = number
        self.address = address
        self.random = random.Random(seed)
        self.on_answer: Callable[[Try], None] = lambda _: None
        self._writer: asyncio.StreamWriter | None = None
        self._last_id = 0
        self._open: dict[int, Try] = {}
        self._readers: set[asyncio.Task[None]] = set()

    async def send(self, cls: str, label: str, key: str = "", body: bytes = b"", **more: Any) -> Try:
        """Write one try and return it; ``more`` may hold ``ttl_ms`` and ``rep``."""
        if self._writer is None:
            await self._connect()
        assert self._writer is not None
        call = f"{self.random.getrandbits(64):016x}"
        body = body or f"page {call}".encode()
        recv_ms = float(int(now_ms()))
        one = Try(call, cls, body, key, recv_ms, float(more.get("ttl_ms", 4500.0)), label)
        self.record.tries[call] = one
        fields = {
            "call": call,
            "recv": str(int(recv_ms)),
            "src": str(self.number),
            "org": "acqua",
            "ttl": str(int(one.ttl_ms)),
            "heap": "24.5",
            "crit": "0.6250",
        }
        fields |= {"dedupe": key} if key else {}
        fields |= {"rep": "1"} if more.get("rep") else {}
        self._last_id += 1
        self._open[self._last_id] = one
        self.record.note(f"balancer {self.number}: sends {call} ({label})")
        self._writer.write(msgpack.packb([0, self._last_id, cls, [fields, body]]))
        return one

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writer = writer
        self._last_id = 0
        self._open = {}
        task = asyncio.create_task(self._read(reader, writer, self._open))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, waiting: dict[int, Try]
    ) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    if message[0] == 2 and self._writer is writer:
                        self._writer = None  # goaway: the next request goes on a new connection
                    elif message[0] == 1:
                        self._answered(waiting.pop(message[1], None), message)
                if self._writer is not writer and not waiting:
                    break
        if self._writer is writer:
            self._writer = None
        writer.close()

    def _answered(self, one: Try | None, message: list[Any]) -> None:
        if one is None:
            self.record.broken.append(f"duplicate: an answer to no open request: {message!r}")
            return
        error = message[2][0] if message[2] else ""
        kind = {"": "served", "Busy": "refused"}.get(error, "failed")
        one.answers.append((now_ms(), kind, message[3][0] if message[3] else b""))
        self.record.note(f"balancer {self.number}: {one.call} ({one.label}) is answered: {kind} {error}")
        self.on_answer(one)


class Node:
    """One process of the node, started by the deploy file's ``run``."""

    def __init__(
        self,
        folder: Path,
        name: str,
        config: dict[str, Any],
        listener: socket.socket | None = None,
    ) -> None:
        self.folder = folder
        self.name = name
        self.config = config
        self.log = folder / f"{name}.log"
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config))
        shared = folder / "tmp"
        shared.mkdir(exist_ok=True)
        environ = os.environ | {
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(shared),
        }
        descriptors: tuple[int, ...] = ()
        prepare = None
        if listener is not None:
            fd = listener.fileno()
            environ["LB_ACCEPT_FD"] = str(ACCEPT_FD)
            descriptors = (fd, ACCEPT_FD)

            def prepare() -> None:
                os.dup2(fd, ACCEPT_FD)

        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
                preexec_fn=prepare,  # noqa: PLW1509 - the driver has no threads
            )

    async def wait_listening(self) -> None:
        """Wait until the process listens."""
        end_ms = now_ms() + READY_WAIT_S * 1000.0
        while "listens on" not in self.log.read_text(errors="replace"):
            if now_ms() > end_ms or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} does not start: {self.log.read_text(errors='replace')}")
            await asyncio.sleep(0.02)

    async def wait_ready(self) -> None:
        """Ask the management address until it says that the process is ready to serve."""
        host, _, port = self.config["management"].rpartition(":")
        end_ms = now_ms() + READY_WAIT_S * 1000.0
        while now_ms() < end_ms and self.process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /control/ready HTTP/1.1\r\nHost: node\r\n\r\n")
                status = await reader.readuntil(b"\r\n")
                writer.close()
                if b" 200 " in status:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log.read_text(errors='replace')}")

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def free_address() -> str:
    """Return a loopback address whose port was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


@contextlib.contextmanager
def announce_service() -> Iterator[str]:
    """Take the reports to the announce service, which get no answer; yield its address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def config(listen: str, interpreter: str, store: str, announce: str, seed: str) -> dict[str, Any]:
    """Return the platform's file of one process, as on the deployment page."""
    return {
        "name": "n3",
        "listen": listen,
        "vm": interpreter,
        "store": store,
        "announce": announce,
        "seed": seed,
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "management": free_address(),
    }
