"""Commands to the interpreter that are not yet known to have been read. Pure.

Commands have no number on the wire. A command is stored until a notice about its request, or the response to
a later gauges request, proves that the interpreter has read the command.

If the connection breaks first, the interpreter may or may not have executed the command. Such a command may
be sent again only if a second execution has no effect.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple


class Command(NamedTuple):
    """An encoded command about a request.

    Attributes:
        number: position among all commands.
        call_id: call id of the request.
        data: the command as it is sent.
        repeatable: whether it has no effect if the interpreter has executed it before.
    """

    number: int
    call_id: str
    data: bytes
    repeatable: bool


class UnacknowledgedCommands:
    """Commands to send again on a new connection, by request; order matters only within a request."""

    def __init__(self) -> None:
        self.last_number = 0  # number of the newest command
        self._last_written_number = 0  # number of the newest command that was written to a connection
        self._by_request: dict[str, list[Command]] = {}

    def add(self, call_id: str, data: bytes, repeatable: bool) -> None:
        """Store a command about a request."""
        self.last_number += 1
        command = Command(self.last_number, call_id, data, repeatable)
        self._by_request.setdefault(call_id, []).append(command)

    def mark_written(self) -> None:
        """Record that all commands have been written to a connection, so that they may be executed."""
        self._last_written_number = self.last_number

    def acknowledge_request(self, call_id: str) -> None:
        """Drop the commands about a request: a notice about it proves that they were read or are void."""
        self._by_request.pop(call_id, None)

    def acknowledge_up_to(self, number: int) -> None:
        """Drop all commands up to and including ``number``."""
        self._keep([command for command in self if command.number > number])

    def remove_unrepeatable(self) -> list[Command]:
        """Drop and return the commands that may have been executed and must not be sent again."""
        removed = [command for command in self if self._must_not_repeat(command)]
        self._keep([command for command in self if not self._must_not_repeat(command)])
        return removed

    def _must_not_repeat(self, command: Command) -> bool:
        return command.number <= self._last_written_number and not command.repeatable

    def _keep(self, commands: list[Command]) -> None:
        self._by_request = {}
        for command in commands:
            self._by_request.setdefault(command.call_id, []).append(command)

    def clear(self) -> None:
        """Drop all commands."""
        self._by_request.clear()

    def __bool__(self) -> bool:
        """Return whether any command is stored."""
        return bool(self._by_request)

    def __iter__(self) -> Iterator[Command]:
        """Iterate over the commands, in order within each request."""
        for commands in self._by_request.values():
            yield from commands
