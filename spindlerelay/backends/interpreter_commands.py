"""Commands to the interpreter that are not yet known to have been read. Pure.

Commands have no number on the wire. A command is stored until a notice about its request, or the response to
a later gauges request, proves that the interpreter has read the command.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple


class Command(NamedTuple):
    """An encoded command about a request; ``number`` is its position among all commands."""

    number: int
    data: bytes


class UnacknowledgedCommands:
    """Commands to send again on a new connection, by request; order matters only within a request."""

    def __init__(self) -> None:
        self.last_number = 0  # number of the newest command
        self._by_request: dict[str, list[Command]] = {}

    def add(self, call_id: str, data: bytes) -> None:
        """Store a command about a request."""
        self.last_number += 1
        self._by_request.setdefault(call_id, []).append(Command(self.last_number, data))

    def acknowledge_request(self, call_id: str) -> None:
        """Drop the commands about a request: a notice about it proves that they were read or are void."""
        self._by_request.pop(call_id, None)

    def acknowledge_up_to(self, number: int) -> None:
        """Drop all commands up to and including ``number``."""
        remaining = {
            call_id: [command for command in commands if command.number > number]
            for call_id, commands in self._by_request.items()
        }
        self._by_request = {call_id: commands for call_id, commands in remaining.items() if commands}

    def clear(self) -> None:
        """Drop all commands."""
        self._by_request.clear()

    def __bool__(self) -> bool:
        """Return whether any command is stored."""
        return bool(self._by_request)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the encoded commands, in order within each request."""
        for commands in self._by_request.values():
            for command in commands:
                yield command.data
