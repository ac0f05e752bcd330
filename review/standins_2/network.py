"""A balancer's lasting connection, and a proxy for the network between a balancer and a node."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from typing import Any

import msgpack

from standins_2.peers import Record, Request

PIECES = 15  # of a request that is written slowly


class Link:
    """A lasting connection of one balancer, which carries up to 32 open requests at once."""

    def __init__(self, requests: dict[str, Request], record: Record, port: int, number: int) -> None:
        self.requests = requests
        self.record = record
        self.port = port
        self.number = number
        self.open: dict[int, Request] = {}
        self.leaving = False  # a goaway has come
        self._last = 0
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._task = asyncio.create_task(self._read(reader))

    async def send(
        self,
        class_name: str,
        ttl_ms: int,
        key: str = "",
        body: bytes = b"page",
        again: bool = False,
        seconds: float = 0.0,
    ) -> Request:
        """Write a request, in pieces over so many seconds; its answer is read in the background.

        A goaway is followed by a new connection.
        """
        if self._writer is None or self.leaving or len(self.open) >= 32 or self._writer.is_closing():
            self.leaving = False
            await self.connect()
        assert self._writer is not None
        received_ms = int(time.time() * 1000.0)
        request = Request(os.urandom(8).hex(), class_name, body, key)
        request.due_at = (received_ms + ttl_ms) / 1000.0
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
        if again:
            fields["rep"] = "1"
        self._last += 1
        self.open[self._last] = request
        self.requests[request.call] = request
        data = msgpack.packb([0, self._last, class_name, [fields, body]])
        if seconds:
            await self._write_slowly(self._writer, data, seconds)
        else:
            self._writer.write(data)
        request.written_at = time.time()
        self.record.add(
            "send", balancer=self.number, call=request.call, cls=class_name, ttl=ttl_ms, key=key or "-"
        )
        return request

    async def _write_slowly(self, writer: asyncio.StreamWriter, data: bytes, seconds: float) -> None:
        size = len(data) // PIECES + 1
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        for index, piece in enumerate(pieces):
            if index:
                await asyncio.sleep(seconds / (len(pieces) - 1))
            writer.write(piece)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        writer = self._writer
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self._take(message, writer)
                if self.leaving and not self.open and writer is not None and writer is self._writer:
                    writer.close()
        if writer is not None:
            writer.close()
        if writer is self._writer:
            self.leaving = True
            for request in self.open.values():
                request.ended = "connection ended"
                self.record.add("no-answer", call=request.call)
            self.open.clear()

    def _take(self, message: list[Any], writer: asyncio.StreamWriter | None) -> None:
        if message[0] == 2 and message[1] == "goaway" and writer is self._writer:
            self.leaving = True
        elif message[0] == 1 and message[1] in self.open:
            request = self.open.pop(message[1])
            request.answered_at = time.time()
            error = message[2]
            if error:
                request.answer = "refused" if error[0] == "Busy" else f"failed:{error[0]}"
            else:
                request.answer = "served"
            self.record.add("answer", call=request.call, text=request.answer.replace(" ", "_"))


class Network:
    """The way from a balancer to a node; while it is ``cut``, what is written waits and comes later."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.port = 0
        self._whole = asyncio.Event()
        self._whole.set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Take connections on a free port and lead each to the node."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Hold back all bytes from now on."""
        self._whole.clear()

    def heal(self) -> None:
        """Deliver what was held back."""
        self._whole.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            node_reader, node_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, node_writer), (node_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                await self._whole.wait()
                sink.write(data)
        await self._whole.wait()
        sink.close()
