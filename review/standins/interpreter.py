"""A stand-in of the interpreter: it runs requests for the time that the case plans, and keeps its notices."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.record import Record, Run, Try, now_ms

KEPT_NOTICES = 4000
UPTIME_MS = 600_000


class _ActiveRun:
    def __init__(self, call: str, parts_ms: list[float]) -> None:
        self.call = call
        self.parts_ms = parts_ms
        self.part = 0
        self.waiting_for = 0  # number of the notice that asks for the call, 0 while the run is on a core
        self.began_ms = now_ms()
        self.replies: list[bytes] = []


class Interpreter:
    """One address of the interpreter.

    Args:
        record: what the case sees.
        name: name in the record.
        cores: cores, for the gauges.
        plan: returns the parts of a run in ms; it calls the store between two parts.
        end: returns how a run ends: ``fine`` or ``fault``.
        piece_share: share of the notices that arrive in two pieces.
        piece_gap_ms: longest time between the two pieces.
        seed: seed of the places at which notices are cut.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        cores: int,
        plan: Callable[[Try], list[float]],
        end: Callable[[Try], str] = lambda _: "fine",
        piece_share: float = 0.0,
        piece_gap_ms: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.record = record
        self.name = name
        self.cores = cores
        self.plan = plan
        self.end = end
        self.piece_share = piece_share
        self.piece_gap_ms = piece_gap_ms
        self.random = random.Random(seed)
        self.address = ""
        self.links = 0
        self.active: dict[str, _ActiveRun] = {}
        self.ended: set[str] = set()
        # Called with the call and the number of the store's reply, when a reply has reached its run.
        self.on_resolved: Callable[[str, int], None] = lambda _call, _number: None
        self.wrong_replies: dict[str, str] = {}  # what a run was given for another call's reply, by call
        self._notices: list[tuple[int, bytes]] = []
        self._last_number = 0
        self._output: asyncio.Queue[bytes] | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def break_link(self) -> None:
        """Reset the link; what the node wrote and this side has not read is lost with it."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
            self._output = None

    def remark(self, text: str) -> None:
        """Send a remark, which is a numbered notice without a block."""
        self._last_number += 1
        self._keep(f"TRACE {self._last_number} {text}\r\n".encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        output: asyncio.Queue[bytes] = asyncio.Queue()
        sender = asyncio.create_task(self._send(output, writer))
        try:
            while True:
                words = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
                block = b""
                if words[0] in ("APPLY", "RESOLVE"):
                    block = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == "CONNECT":
                    self._connect(int(words[1]), output, writer)
                elif self._output is output:
                    self._command(words, block)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            sender.cancel()
            if self._output is output:
                self._output = None
                self._writer = None
            writer.close()

    async def _send(self, output: asyncio.Queue[bytes], writer: asyncio.StreamWriter) -> None:
        while True:
            data = await output.get()
            if self.random.random() < self.piece_share:
                cut = self.random.randrange(1, len(data))
                writer.write(data[:cut])
                await asyncio.sleep(self.random.uniform(0.0, self.piece_gap_ms) / 1000.0)
                data = data[cut:]
            writer.write(data)

    def _connect(self, last: int, output: asyncio.Queue[bytes], writer: asyncio.StreamWriter) -> None:
        if self._writer is not None:
            self._writer.close()  # a new link replaces the previous one
        self.links += 1
        self._writer = writer
        self._output = output
        self._write(b"BANNER running %d\r\n" % UPTIME_MS)
        for number, data in self._notices:
            if number > last:
                self._write(data)

    def _write(self, data: bytes) -> None:
        if self._output is not None:
            self._output.put_nowait(data)

    def _notify(self, verb: str, rest: str, block: bytes) -> None:
        self._last_number += 1
        data = f"{verb} {self._last_number} {rest} {len(block)}\r\n".encode() + block + b"\r\n"
        self._keep(data)

    def _keep(self, data: bytes) -> None:
        self._notices = [*self._notices[-KEPT_NOTICES + 1 :], (self._last_number, data)]
        self._write(data)

    def _command(self, words: list[str], block: bytes) -> None:
        match words:
            case ["TOP", tag]:
                running = sum(not run.waiting_for for run in self.active.values())
                busy = min(1.0, running / self.cores)
                self._write(f"TOPS {tag} {busy:.3f} {running} 0.2 5\r\n".encode())
            case ["APPLY", call, cls, _]:
                self._apply(call, cls, block)
            case ["RESOLVE", call, _]:
                self._resolve(call, block)
            case ["STUB", call, number]:
                run = self.active.get(call)
                if run is not None and run.waiting_for == int(number):
                    self._go_on(run)
            case _:
                raise OSError("not a command")  # the interpreter closes the link

    def _apply(self, call: str, cls: str, body: bytes) -> None:
        one = self.record.tries.get(call)
        if one is None or one.cls != cls or one.body != body:
            self.record.broken.append(f"lost: {call} reached {self.name} with another class or body")
            self._write(f"ERROR APPLY {call}\r\n".encode())
        elif call in self.active:
            self.record.note(f"{self.name}: APPLY {call} ({one.label}) came again, it runs already")
        elif one.is_over() or call in self.ended:
            self._notify("VALUE", f"{call} late 0", b"")
        else:
            self.record.runs.append(Run(now_ms(), self.name, call))
            self.record.note(f"{self.name}: run of {call} ({one.label}) begins")
            run = self.active[call] = _ActiveRun(call, self.plan(one))
            self._schedule(run)

    def _resolve(self, call: str, reply: bytes) -> None:
        run = self.active.get(call)
        if run is None or not run.waiting_for:
            self.record.note(f"{self.name}: RESOLVE {call} ignored, its run waits for no call")
            return
        expected = b"reply to " + self._call_body(run)
        if reply != expected:
            text = f"its run waits for {expected.decode()!r} and was given {reply.decode()!r}"
            self.wrong_replies[call] = text
            self.record.note(f"{self.name}: wrong reply to {call}: {text}")
        run.replies.append(reply)
        self._go_on(run)
        self.on_resolved(call, run.part)

    def _call_body(self, run: _ActiveRun) -> bytes:
        return b"query %d of %s" % (run.part + 1, run.call.encode())

    def _go_on(self, run: _ActiveRun) -> None:
        run.waiting_for = 0
        run.part += 1
        self._schedule(run)

    def _schedule(self, run: _ActiveRun) -> None:
        asyncio.get_running_loop().call_later(run.parts_ms[run.part] / 1000.0, self._part_done, run)

    def _part_done(self, run: _ActiveRun) -> None:
        one = self.record.tries[run.call]
        if run.part + 1 < len(run.parts_ms):
            if one.is_over():
                self._end(run, "broken_off", b"")
            else:
                run.waiting_for = self._last_number + 1
                self._notify("AWAIT", run.call, self._call_body(run))
            return
        end = self.end(one)
        result = b""
        if end == "fine":
            result = b"page of %s with %s" % (run.call.encode(), b", ".join(run.replies))
            self.record.results.setdefault(run.call, []).append(result)
        self._end(run, end, result)

    def _end(self, run: _ActiveRun, end: str, result: bytes) -> None:
        del self.active[run.call]
        self.ended.add(run.call)
        self.record.note(f"{self.name}: run of {run.call} ends: {end}")
        self._notify("VALUE", f"{run.call} {end} {now_ms() - run.began_ms:.1f}", result)

    def request_over(self, call: str) -> None:
        """End the run of a request that is over, if it waits at a call."""
        run = self.active.get(call)
        if run is not None and run.waiting_for:
            self._end(run, "broken_off", b"")
