"""What a front and the node say to each other: requests, final answers, and the part of each."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple, Protocol


@dataclass(slots=True, eq=False)
class Ask:
    """A request as a balancer sent it. Times are Unix milliseconds."""

    call: str
    cls: int
    recv: float
    due: float
    body: bytes
    tenant: int = 0
    caller: int = 0
    retry: bool = False
    held_kb: float = 0.0
    rank: float = 0.0
    dedupe: str = ""  # in keyed classes: the same for all tries of one request
    row: int = 0  # what a read is about

    def content(self) -> int:
        """The same for all tries of one request, in every process: who sends something else under its key is
        not its client. Never 0."""
        head = f"{self.cls} {self.tenant} {self.dedupe} {self.row} ".encode()
        return int.from_bytes(blake2b(head + self.body, digest_size=8).digest(), "little") or 1


class Served(NamedTuple):
    """The result of a run, unchanged."""

    result: bytes


class Refused(NamedTuple):
    """This try never ran."""

    pushback_ms: float = 0.0
    last: bool = False


class Failed(NamedTuple):
    """An error, with no assurance attached."""

    reason: str = "Failed"


Outcome = Served | Refused | Failed


class Front(Protocol):
    """A protocol that balancers speak. It hands every ``Ask`` to the node and sends each answer once."""

    def answer(self, ask: Ask, outcome: Outcome) -> None: ...

    def reachable(self, ask: Ask) -> bool: ...

    def release(self, ask: Ask) -> None: ...

    def close_idle(self, for_ms: float) -> None: ...

    def drain(self) -> None: ...

    def quiet(self) -> bool: ...

    def stop(self) -> None: ...

    def end(self, now_or_never: bool = False) -> None: ...

    def over(self) -> bool: ...


class Receiver(Protocol):
    """The node as a front sees it: it takes requests, and says what answers and health checks tell."""

    load: float | None
    healthy: bool

    def take(self, front: Front, ask: Ask) -> None: ...

    def gone(self, ask: Ask, withdrawn: bool = False) -> None: ...
