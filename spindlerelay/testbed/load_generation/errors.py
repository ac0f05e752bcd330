"""Exceptions of the load generator; every class also derives from a built-in exception."""

from __future__ import annotations

from collections.abc import Sequence

from spindlerelay.errors import SpindlerelayError


class UnknownNameError(SpindlerelayError, ValueError):
    """A name is not one of the known names.

    Attributes:
        kind: kind of thing that the name refers to, such as ``curve``.
        name: unknown name.
        known: known names.
    """

    def __init__(self, kind: str, name: str, known: Sequence[str]) -> None:
        super().__init__(kind, name, known)
        self.kind = kind
        self.name = name
        self.known = tuple(known)

    def __str__(self) -> str:
        return f"no such {self.kind}: {self.name!r}; known: {', '.join(self.known)}"


class StreamSizeError(SpindlerelayError, ValueError):
    """A stream is empty or too long to be sent."""


class StartError(SpindlerelayError, RuntimeError):
    """A process of a load run did not start in time.

    Attributes:
        process: name of the process.
    """

    def __init__(self, process: str) -> None:
        super().__init__(process)
        self.process = process

    def __str__(self) -> str:
        return f"{self.process} did not start in time"
