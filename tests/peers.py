"""Small scripted peers on loopback sockets, and the program itself as a process between them."""

from __future__ import annotations

import contextlib
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgpack

from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.testbed.cluster.workspace import free_port

TIMEOUT_S = 20.0  # s: how long a peer waits for what must come; no test depends on how fast it comes
ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "preview", "deadline-ms": 3600.0, "goal-time-ms": 1400.0, "effect": "free", "value": 1.0},
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
        "calls-out": 9.0,
        "calls-over-ms": 5000.0,
        "class-calls": [True, True],
        "class-skip-worth": [0.5, 0.0],
        "heap-kb": 13740.0,
        "key-kb": 20.0,
        "n-cores": 2,
        "run-mem-factor": 8.0,
        "say": "min_rank",
        "caller-idle-ms": 30000.0,
        "linger-ms": 200.0,
        "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "halt": "none",
    },
    "obligations": {"drain-grace-ms": 2500.0, "fall-multiple": 8.0},
    "policy-limits": {"retry-after": True, "max-retry-after-ms": 1000.0},
    "tenants": [{"name": "acqua", "quota-per-s": 47.0}],
    "servers": 1,
    "resolution-ms": 5.0,
}


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(TIMEOUT_S)
    return sock


def port(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


class LinePeer:
    """A listening peer that speaks lines: what it reads goes to ``seen``; the test writes."""

    sized: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.address = "127.0.0.1:0"
        self.seen: queue.Queue[list[bytes]] = queue.Queue()
        self.links = 0
        self.sock: socket.socket | None = None  # the newest connection
        self.socks: list[socket.socket] = []
        self.listen()

    def listen(self) -> None:
        """Take connections; again at the same address after ``close``."""
        self.listener = socket.create_server(("127.0.0.1", int(self.address.rpartition(":")[2])))
        self.address = port(self.listener)
        threading.Thread(target=self._serve, args=(self.listener,), daemon=True).start()

    def _serve(self, server: socket.socket) -> None:
        while True:
            try:
                self.sock, _ = server.accept()
            except OSError:
                return
            self.links += 1
            self.socks.append(self.sock)
            threading.Thread(target=self._read, args=(self.sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as file:
            try:
                while head := file.readline():
                    words = head.split()
                    if words and words[0].decode() in self.sized:
                        words.append(file.read(int(words[-1]) + 2)[:-2])
                    self.take(words)
                self.ended()
            except (OSError, ValueError):
                return

    def take(self, words: list[bytes]) -> None:
        self.seen.put(words)

    def ended(self) -> None:
        """The node has closed a connection."""

    def send(self, text: str | bytes, block: bytes | None = None) -> None:
        assert self.sock
        head = text.encode() if isinstance(text, str) else text
        if block is not None:
            head += b" %d\r\n%b" % (len(block), block)
        self.sock.sendall(head + b"\r\n")

    def expect(self, verb: str, call: str = "") -> list[bytes]:
        """The next message, which must be this one."""
        while not (words := self.seen.get(timeout=TIMEOUT_S)):
            pass  # the end of another connection
        assert words[0].decode() == verb and (not call or words[1].decode() == call), words
        return words

    def cut(self) -> None:
        assert self.sock
        self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits for connections
        self.listener.close()


class Interpreter(LinePeer):
    """Greets links and tells the gauges by itself; notices are numbered and kept as the protocol says."""

    sized = ("APPLY", "RESOLVE")

    def __init__(self, late: bool = False) -> None:
        self.running = not late
        self.last = 0
        self.last_gauges_tag = ""  # tag of the newest gauges
        self.notices: list[tuple[str, bytes | None]] = []
        super().__init__()

    def take(self, words: list[bytes]) -> None:
        match words:
            case [b"CONNECT", last]:
                self.last = int(last)
                self.seen.put(words)
                if self.running:
                    self.greet()
            case _ if not self.running:
                pass  # what comes ahead of the banner is dropped, as by the real one
            case [b"TOP", tag]:
                self.send(f"TOPS {tag.decode()} 0.5 1 0.1 3")
                self.last_gauges_tag = tag.decode()
            case _:
                self.seen.put(words)

    def greet(self) -> None:
        """The interpreter is up: banner and replay."""
        self.running = True
        self.send("BANNER running 5000")
        for text, block in self.notices[self.last :]:
            self.send(text, block)

    def note(self, verb: str, rest: str, block: bytes | None = None, quiet: bool = False) -> None:
        """The next notice; kept but not sent where ``quiet``."""
        text = f"{verb} {len(self.notices) + 1} {rest}"
        self.notices.append((text, block))
        if not quiet:
            self.send(text, block)

    def value(self, call: str, result: bytes = b"", end: str = "fine", quiet: bool = False) -> None:
        self.note("VALUE", f"{call} {end} 12.5", result, quiet)


class Store(LinePeer):
    """What it has seen ends in an empty entry where a connection was closed in good order."""

    sized = ("CALL",)

    def ended(self) -> None:
        self.seen.put([])


class Balancer:
    """One connection of a balancer."""

    def __init__(self, address: str) -> None:
        host, _, number = address.rpartition(":")
        self.sock = socket.create_connection((host, int(number)), TIMEOUT_S)
        self.unpacker = msgpack.Unpacker(raw=False)
        self.last = 0

    def send_request(self, call: str, cls: str = "preview", body: bytes = b"page", **more: str | None) -> int:
        fields = {
            "call": call,
            "recv": str(int(time.time() * 1000)),
            "src": "4",
            "org": "acqua",
            "ttl": "4500",
            "heap": "24.5",
            "crit": "0.6250",
        }
        if cls == "order":
            fields["dedupe"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        sent = {name: value for name, value in (fields | more).items() if value is not None}
        return self.call(cls, [sent, body])

    def call(self, method: str, params: list[Any]) -> int:
        self.last += 1
        self.sock.sendall(msgpack.packb([0, self.last, method, params]))
        return self.last

    def withdraw(self, msgid: int) -> None:
        self.sock.sendall(msgpack.packb([2, "abort", [msgid]]))

    def read(self) -> Any:
        """The next message, or None at the end of the connection."""
        while True:
            for message in self.unpacker:
                return message
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                data = b""
            if not data:
                return None
            self.unpacker.feed(data)

    def response(self, msgid: int) -> Any:
        """Error and result of the next answer, which must be for this request."""
        kind, answered, error, result = self.read()
        assert (kind, answered) == (1, msgid)
        return error[0] if error else result[0]


class Program:
    """The render node as a process, with a scripted interpreter, store and announce service round it."""

    def __init__(
        self,
        folder: Path,
        late: bool = False,
        env: dict[str, str] | None = None,
        fds: tuple[int, ...] = (),
        **config: Any,
    ) -> None:
        self.interpreter, self.store = Interpreter(late), Store()
        self.discovery = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.discovery.bind(("127.0.0.1", 0))
        self.discovery.settimeout(TIMEOUT_S)
        self.address = f"127.0.0.1:{free_port()}"  # one that the kernel gives to no connection meanwhile
        self.path = folder / "config.json"
        self.config: dict[str, Any] = {
            "name": "n3",
            "listen": self.address,
            "vm": self.interpreter.address,
            "store": self.store.address,
            "announce": port(self.discovery),
            "seed": "8c1f30d27a5be964",
            "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
        } | config
        self.path.write_text(json.dumps(self.config))
        self.log = folder / "log"
        with self.log.open("wb") as sink:
            self.process = subprocess.Popen(
                self.command(),
                env=os.environ | {"LB_CONFIG": str(self.path)} | (env or {}),
                cwd=ROOT,
                stderr=sink,
                pass_fds=fds,
            )

    def command(self) -> list[str]:
        return [sys.executable, "-m", "spindlerelay"]

    def __enter__(self) -> Self:
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            if "listens on" in self.log.read_text():
                return self
            time.sleep(0.02)
        raise AssertionError(f"the program did not start: {self.log.read_text()}")

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.wait()
        self.interpreter.close()
        self.store.close()
        self.discovery.close()
        assert kind or not internal_errors(self.log), internal_errors(self.log)

    def balancer(self) -> Balancer:
        return Balancer(self.address)

    def reload(self, text: str = "", **config: Any) -> None:
        """Replace the file, by a text or by some new values, and tell the program."""
        self.path.write_text(text or json.dumps(self.config | config))
        self.process.send_signal(signal.SIGHUP)

    def wait_for_log(self, text: str, count: int = 1) -> None:
        """Wait until the log holds a text so many times."""
        end = time.monotonic() + TIMEOUT_S
        while self.log.read_text().count(text) < count:
            assert time.monotonic() < end and self.process.poll() is None, self.log.read_text()
            time.sleep(0.02)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


class OperatedProgram(Program):
    """The render node started by ``run --operator``, with a file of this text."""

    def __init__(self, folder: Path, text: str, **config: Any) -> None:
        self.operator = folder / "operator.toml"
        self.operator.write_text(text)
        super().__init__(folder, **config)

    def command(self) -> list[str]:
        return [*super().command(), "run", "--operator", str(self.operator)]
