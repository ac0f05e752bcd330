"""A small simulator of one machine, which plays one instance of the adapter (`sim`) on the real clock.

The machine has cores that reads and runs share equally; each core reads one request at a time, and what is
not read waits in the order of arrival. Times are in ms on the clock of the batches, which is the real one.
"""

from __future__ import annotations

import random
import struct
import subprocess
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from standins_2.peers import ROOT, Record

SIM_COMMAND = "exec .venv/bin/python -m spindlerelay.simhost"  # `sim` in the deploy file
OK, CANCELLED, MOOT, ERROR, TIMEOUT = 100, 306, 307, 301, 303
RESULT_NAMES = {OK: "ok", CANCELLED: "cancelled", MOOT: "moot", ERROR: "error"}


@dataclass(slots=True, eq=False)
class Try:
    """One try of a request."""

    id: int
    class_index: int
    key: int
    rank: float
    budget_ms: float
    client_until: float  # when the client gives up
    kb: float
    work_ms: float  # of the run, on a standard core
    calls: int
    arrived: float
    read_left: float = 0.0  # work of reading that is left
    read_at: float = 0.0
    state: str = "unread"  # then held, running, waiting, calling, joined, over
    run_left: float = 0.0
    call_at: float = 0.0  # work left at which the next call comes
    called_at: float = 0.0
    call_ends: float = 0.0
    started: float = 0.0
    original: int = 0
    answer: str = ""
    result: int = 0
    joined: list[Try] = field(default_factory=list)
    given_up: bool = False


class Adapter:
    """The adapter's process and its pipe."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", SIM_COMMAND], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )

    def batch(self, now: float, records: list[bytes]) -> list[tuple[int, bytes]]:
        """Send a batch and return the actions of its reply, as pairs of code and fields."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        payload = struct.pack("<d", now) + b"".join(records)
        self.process.stdin.write(struct.pack("<II", len(records), len(payload)) + payload)
        self.process.stdin.flush()
        header = self.process.stdout.read(8)
        if len(header) < 8:
            raise ChildProcessError("the adapter has ended")
        count, size = struct.unpack("<II", header)
        data = self.process.stdout.read(size)
        actions = []
        position = 0
        for _ in range(count):
            code, length = struct.unpack_from("<BI", data, position)
            actions.append((code, data[position + 5 : position + 5 + length]))
            position += 5 + length
        return actions

    def close(self) -> None:
        """End the process by the end of its input."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(5.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def event(code: int, layout: str, *values: Any) -> bytes:
    """Return the record of an event for instance 1."""
    fields = struct.pack("<I" + layout, 1, *values)
    return struct.pack("<BI", code, len(fields)) + fields


class Machine:
    """The machine, its requests and its table of keys.

    Args:
        settings: lines of the first message.
        record: takes what happens.
        guarded: index of the guarded class.
        window_ms: window of the guarded class.
    """

    def __init__(self, settings: str, record: Record, guarded: int, window_ms: float) -> None:
        self.record = record
        self.adapter = Adapter()
        self.cores = 6
        self.speed = 0.6
        self.slow_factor = 1.0
        self.call_ms = 60.0
        self.guarded = guarded
        self.window_ms = window_ms
        self.unread: deque[Try] = deque()
        self.reading: list[Try] = []
        self.tries: dict[int, Try] = {}
        self.entries: dict[int, tuple[int, float]] = {}  # by key: the try that holds it, and its end
        self.ran: dict[int, list[Try]] = {}  # by key
        self.healthy = True
        self.min_rank = 0.0
        self.broken: list[str] = []
        self.mean_ms = 330.0
        self._timers: list[tuple[float, int]] = []
        self._next_id = random.Random(1).randrange(1 << 40)
        self._last = self.now()
        text = settings.encode()
        launch = struct.pack("<IQI", 1, random.Random(2).randrange(1 << 60), len(text)) + text
        self._events = [struct.pack("<BI", 5, len(launch)) + launch]

    def now(self) -> float:
        """Return the clock of the batches."""
        return time.monotonic() * 1000.0

    def arrive(self, request: Try) -> None:
        """Let a try come to the machine."""
        self._next_id += 1
        request.id = self._next_id
        request.read_left = 0.28 * self.mean_ms
        self.tries[request.id] = request
        self.unread.append(request)
        self.record.add("arrive", id=request.id, cls=request.class_index, key=request.key)

    def step(self) -> None:
        """Let the time since the last step pass, and exchange a batch if anything happened."""
        now = self.now()
        self._advance(now)
        due = [timer for timer in self._timers if timer[0] <= now]
        self._timers = [timer for timer in self._timers if timer[0] > now]
        runnable = self._runnable()
        for _, handle in due:
            gauges = (min(1.0, runnable / self.cores), float(runnable), 0.3, 10.0)
            self._events.append(event(3, "QB4f", handle, 4, *gauges))
        if not self._events:
            return
        events = self._events
        self._events = []
        for code, fields in self.adapter.batch(now, events):
            self._act(now, code, fields)

    def _runnable(self) -> int:
        return len(self.reading) + sum(request.state == "running" for request in self.tries.values())

    def _advance(self, now: float) -> None:
        while self.unread and len(self.reading) < self.cores:
            self.reading.append(self.unread.popleft())
        elapsed = now - self._last
        self._last = now
        on_cores = [request for request in self.tries.values() if request.state == "running"]
        share = min(1.0, self.cores / max(1, len(on_cores) + len(self.reading)))
        work = elapsed * share * self.speed / self.slow_factor
        for request in list(self.reading):
            request.read_left -= work
            if request.read_left <= 0.0:
                self.reading.remove(request)
                self._read(now, request)
        for request in on_cores:
            request.run_left -= work
            if request.calls and request.run_left <= request.call_at:
                self._reach_call(request)
            elif request.run_left <= 0.0:
                self._end_run(now, request, OK)
        for request in [one for one in self.tries.values() if one.state == "calling"]:
            if now >= request.call_ends:
                request.calls -= 1
                request.state = "running"
                request.call_at = request.run_left / 2.0
                spent = now - request.called_at
                self._events.append(event(1, "QHd", request.id, OK, spent))

    def _read(self, now: float, request: Try) -> None:
        request.read_at = now
        request.state = "held"
        request.original = self._original(now, request)
        left = max(0.0, request.arrived + request.budget_ms - now)
        values = (request.id, 6 if request.class_index == self.guarded else 0, now - request.arrived, 0)
        more = (request.class_index, left, request.rank, request.original, request.kb, 0, 0.0, 3)
        self._events.append(event(2, "QBdQBdfQfIdI", *values, *more))
        self.record.add("read", id=request.id, lay=round(now - request.arrived), original=request.original)

    def _original(self, now: float, request: Try) -> int:
        """Return the try that holds the entry, or the one that ran if the entry ran out since the arrival."""
        holder, end = self.entries.get(request.key, (0, 0.0))
        if request.class_index != self.guarded or not holder or end < request.arrived:
            return 0
        if end >= now:
            return holder
        return self.ran[request.key][-1].id if self.ran.get(request.key) else 0

    def _reach_call(self, request: Try) -> None:
        if request.answer:
            self._end_run(self.now(), request, CANCELLED)
            return
        request.state = "waiting"
        self._events.append(event(8, "Q", request.id))

    def _end_run(self, now: float, request: Try, result: int) -> None:
        request.state = "over"
        request.result = result
        if not request.answer and result in (OK, ERROR):
            self._answer(request, "served" if result == OK else "failed")
        self.record.add("over", id=request.id, result=RESULT_NAMES[result])
        self._events.append(event(4, "QHd", request.id, result, now - request.started))
        for other in request.joined:
            if other.state == "joined":
                self._end_joined(other, OK if result == OK else ERROR)

    def _end_joined(self, request: Try, result: int) -> None:
        request.state = "over"
        request.result = result
        if not request.answer:
            self._answer(request, "served" if result == OK else "failed")
        self._events.append(event(4, "QHd", request.id, result, 1.0))

    def _answer(self, request: Try, text: str) -> None:
        request.answer = text
        self.record.add("answer", id=request.id, key=request.key, text=text)

    def _act(self, now: float, code: int, fields: bytes) -> None:
        if code == 2:
            _, delay, handle = struct.unpack("<IdQ", fields)
            self._timers.append((now + delay, handle))
        elif code == 12:
            self.healthy = bool(fields[4])
            self.record.add("health", on=self.healthy)
        elif code == 13:
            self.min_rank = struct.unpack("<If", fields)[1]
        elif code in (0, 3, 4, 6, 7, 9, 11, 14):
            self._act_on_request(now, code, fields, self.tries[struct.unpack_from("<IQ", fields)[1]])

    def _act_on_request(self, now: float, code: int, fields: bytes, request: Try) -> None:
        match code:
            case 4:
                self._dispatch(now, request)
            case 3 if request.class_index == self.guarded:
                self.entries[request.key] = (request.id, now + struct.unpack("<IQd", fields)[2])
            case 9 if self.entries.get(request.key, (0, 0.0))[0] == request.id:
                del self.entries[request.key]
            case 6 if request.state == "waiting":
                request.state = "calling"
                request.called_at = now
                request.call_ends = now + self.call_ms
            case 0 if request.state == "waiting":
                request.calls -= 1
                request.state = "running"
            case 7 if request.state == "held":
                self._join(request)
            case 11:
                self._turn_away(request)
            case 14:
                self._fail(now, request)

    def _dispatch(self, now: float, request: Try) -> None:
        if request.state != "held":
            self._events.append(event(4, "QHd", request.id, MOOT, 0.0))
            return
        if request.class_index == self.guarded:
            for other in self.ran.get(request.key, []):
                if request.arrived - other.arrived < self.window_ms:
                    self.broken.append(f"key {request.key} is run twice")
            self.ran.setdefault(request.key, []).append(request)
        request.state = "running"
        request.started = now
        request.run_left = request.work_ms
        request.call_at = request.work_ms / 2.0
        self.record.add("run", id=request.id, key=request.key)

    def _join(self, request: Try) -> None:
        original = self.tries[request.original]
        if original.state == "over":
            self._end_joined(request, OK if original.result == OK else ERROR)
        else:
            request.state = "joined"
            original.joined.append(request)

    def _turn_away(self, request: Try) -> None:
        if request.answer:
            return
        for other in self.ran.get(request.key, []):
            since = request.arrived - other.arrived
            if request.class_index == self.guarded and since < self.window_ms:
                lay = request.read_at - request.arrived
                text = (
                    f"key {request.key} is turned away though it ran: the try came {since:.0f} ms after the"
                )
                self.broken.append(f"{text} one that ran, and was read {lay:.0f} ms later")
        self._answer(request, "turned-away")
        self._drop(request)

    def _fail(self, now: float, request: Try) -> None:
        if not request.answer:
            self._answer(request, "failed")
        if request.state in ("waiting", "calling"):
            self._end_run(now, request, CANCELLED)
        else:
            self._drop(request)

    def _drop(self, request: Try) -> None:
        """End a try that has not run; others that wait for its result fail."""
        if request.state in ("held", "joined"):
            request.state = "over"
            request.result = ERROR
            for other in request.joined:
                if other.state == "joined":
                    self._end_joined(other, ERROR)
