"""What a case sent, what was answered and what ran; and the rules, judged from that alone.

Times are Unix milliseconds, from the clock that balancers stamp ``recv`` with.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path

ANSWER_SLACK_MS = 60.0  # obligations.answer-slack-ms of the settings
SOCKET_SLACK_MS = 50.0  # "every time limit is 50 ms longer"


def now_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000.0


@dataclass
class Try:
    """One try of a request as a balancer wrote it, and its answers."""

    call: str
    cls: str
    body: bytes
    key: str
    recv_ms: float
    ttl_ms: float
    label: str
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)
    excused: bool = False  # its connection was reset by the balancer's side

    def is_over(self) -> bool:
        """Return whether the request is answered or its balancer has stopped waiting."""
        return bool(self.answers) or now_ms() > self.recv_ms + self.ttl_ms


@dataclass
class Run:
    """One run that an interpreter began."""

    at_ms: float
    interpreter: str
    call: str


class Record:
    """Everything that a case saw, in order."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began_ms = now_ms()
        self.tries: dict[str, Try] = {}
        self.runs: list[Run] = []
        self.results: dict[str, list[bytes]] = {}  # results that runs made, by call
        self.broken: list[str] = []  # rules broken, found while the case ran
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line with its time."""
        self.lines.append(f"{now_ms() - self.began_ms:10.1f} ms  {text}")

    def write(self, verdict: str) -> None:
        """Write the record with the verdict at its top."""
        self.path.write_text("\n".join([verdict, "", *self.lines]) + "\n")

    def runs_twice(self, window_ms: float) -> list[str]:
        """Return the runs that the rule on duplicates forbids.

        A try runs at most once; a try of a keyed request that was written within the window, counted from
        ``recv`` of the try that ran, does not run.
        """
        found = []
        for position, run in enumerate(self.runs):
            one = self.tries[run.call]
            for earlier in self.runs[:position]:
                first = self.tries[earlier.call]
                age_ms = one.recv_ms - first.recv_ms
                if one.call == first.call:
                    found.append(f"{one.label}: the one try {one.call} was run twice")
                elif one.key and one.key == first.key and age_ms <= window_ms:
                    found.append(
                        f"{one.label}: try {one.call} was run; try {first.call} of the same request had run, "
                        f"and was received {age_ms:.0f} ms before (window {window_ms:.0f} ms)"
                    )
        return found

    def answers_wrong(self) -> list[str]:
        """Return the tries without exactly one answer in their time, or served with what no run made."""
        found = []
        for one in self.tries.values():
            due_ms = one.recv_ms + one.ttl_ms + ANSWER_SLACK_MS + SOCKET_SLACK_MS
            if len(one.answers) > 1:
                found.append(f"{one.label}: {one.call} has {len(one.answers)} answers")
            if not one.answers:
                if not one.excused:
                    found.append(f"{one.label}: {one.call} has no answer")
                continue
            at_ms, kind, result = one.answers[0]
            if at_ms > due_ms:
                found.append(f"{one.label}: {one.call} answered {at_ms - due_ms:.0f} ms late")
            if kind == "served" and not self._was_made(one, result):
                found.append(f"{one.label}: {one.call} served with something that no run made for it")
        return found

    def _was_made(self, one: Try, result: bytes) -> bool:
        same = [one.call]
        if one.key:
            same = [other.call for other in self.tries.values() if other.key == one.key]
        return any(result in self.results.get(call, []) for call in same)
