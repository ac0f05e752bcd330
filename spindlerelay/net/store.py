"""The store that all render nodes share: codec of its replies, and the one connection that carries our calls.

Each call comes to the outcome that its end proves. Only a refused connection, BUSY and VOID prove that a call
never ran; a connection that breaks after a call was written proves nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from spindlerelay.interface import Outcome
from spindlerelay.net import lines
from spindlerelay.net.lines import LineError
from spindlerelay.net.loop import Connection, Loop, clock, connect
from spindlerelay.net.wheel import Timer

IDLE_MS = 8000.0  # we close first: the store closes at 10 s, and that could cross a call
REFUSED_MS, REFUSED_MOST_MS = 20.0, 320.0
ENDS = {
    "OK": Outcome.OK,
    "BUSY": Outcome.FULL,
    "ERR": Outcome.ERROR,
    "LATE": Outcome.TIMEOUT,
    "VOID": Outcome.MOOT,
}


class Reply(NamedTuple):
    call: str
    outcome: Outcome
    body: bytes


def sized(words: list[str]) -> int | None:
    return lines.length(words[2]) if len(words) == 3 and words[1] == "OK" else None


def decode(words: list[str], block: bytes) -> Reply:
    """One reply of the store."""
    if len(words) != (3 if words[1:2] == ["OK"] else 2) or words[1] not in ENDS:
        raise LineError(f"not a reply: {' '.join(words)[:60]!r}")
    return Reply(words[0], ENDS[words[1]], block)


class Pending(NamedTuple):
    """A call that has no outcome yet."""

    written: bool
    timer: Timer
    data: bytes


class Store:
    """``on_outcome`` gets the outcome of each call once."""

    def __init__(self, loop: Loop, address: tuple[str, int], on_outcome: Callable[[Reply], None]) -> None:
        self.loop, self.address, self.on_outcome = loop, address, on_outcome
        self._connection: Connection | None = None
        self._decoder = lines.LineDecoder(sized)
        self._calls: dict[str, Pending] = {}
        self._used = 0.0
        self._backoff = lines.Backoff(REFUSED_MS, REFUSED_MOST_MS)
        self._shut_until = 0.0
        loop.after(IDLE_MS / 8, self._sweep)

    def call(self, call: str, timeout_ms: float, body: bytes) -> None:
        """Make a call; at the end of its time it is given up here, since the store holds no limit for us."""
        self.drop(call)
        timer = self.loop.after(timeout_ms, lambda: self._late(call))
        data = lines.line("CALL", call, max(1, round(timeout_ms)), block=body)
        ready = self._connection is not None and not self._connection.opening
        self._calls[call] = Pending(ready, timer, data)
        self._used = clock()
        if ready and self._connection:
            self._connection.write(data)
        elif self._connection is None:
            # Not sooner than the backoff: a store that is down is not to be knocked at by every call.
            self.loop.after(max(0.0, self._shut_until - self._used), self._connect)

    def drop(self, call: str) -> None:
        """Give a call up without an outcome."""
        if pending := self._calls.pop(call, None):
            pending.timer.cancel()
            if pending.written and self._connection:
                self._connection.write(lines.line("DROP", call))

    def _late(self, call: str) -> None:
        pending = self._calls.get(call)
        self.drop(call)
        if pending:  # what was never written cannot have run
            outcome = Outcome.TIMEOUT if pending.written else Outcome.CONNECT_FAILED
            self.on_outcome(Reply(call, outcome, b""))

    def _connect(self) -> None:
        if self._connection is None and self._calls:
            self._decoder = lines.LineDecoder(sized)
            self._connection = connect(self.loop, self.address, self._data, self._closed, self._opened)

    def _opened(self) -> None:
        self._backoff.reset()
        self._shut_until = 0.0
        for call, pending in self._calls.items():
            self._calls[call] = pending._replace(written=True)
            if self._connection:
                self._connection.write(pending.data)

    def _closed(self, opened: bool) -> None:
        self._connection = None
        calls, self._calls = self._calls, {}
        if not opened:
            self._shut_until = clock() + self._backoff.wait()
            self.loop.warnings.warn("store refused a connection", f"{len(calls)} calls never ran")
        elif calls:
            self.loop.warnings.warn("store connection broke", f"{len(calls)} calls may have run")
        for call, pending in calls.items():
            pending.timer.cancel()
            outcome = Outcome.RESET if pending.written else Outcome.CONNECT_FAILED
            self.on_outcome(Reply(call, outcome, b""))

    def _data(self, data: bytes) -> None:
        try:
            for words, block in self._decoder.feed(data):
                self._reply(decode(words, block))
        except LineError as error:
            self.loop.warnings.warn("malformed line from the store", str(error))
            self._shut_until = clock() + self._backoff.wait()
            if self._connection:
                self._connection.close()

    def _reply(self, reply: Reply) -> None:
        if pending := self._calls.pop(reply.call, None):  # else given up meanwhile
            pending.timer.cancel()
            self._used = clock()
            self.on_outcome(reply)

    def _sweep(self) -> None:
        self.loop.after(IDLE_MS / 8, self._sweep)
        if self._connection and not self._calls and clock() - self._used > IDLE_MS:
            self._connection.close()
