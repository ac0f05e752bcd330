"""Counts of unexpected exceptions that were caught to keep the process running.

Each exception is a fault in the program. It costs one peer, timer, step or action, and the code that catches
it also logs it.
"""

from __future__ import annotations

from enum import StrEnum


class ErrorPlace(StrEnum):
    """Where an unexpected exception was caught; the value is a metric label."""

    SOCKET = "socket"  # the handler of a ready descriptor
    TIMER = "timer"
    OUTPUT = "output"  # sending of queued output
    SIGNAL = "signal"
    TURN = "turn"  # processing of all events of a turn
    CONTROLLER = "controller"  # a step of the admission controller
    ACTION = "action"  # one action of the admission controller


class InternalErrors:
    """Counts of exceptions by place since the start of the process; places without errors have no entry."""

    def __init__(self) -> None:
        self.counts: dict[ErrorPlace, int] = {}

    def record(self, place: ErrorPlace) -> None:
        """Count one exception."""
        self.counts[place] = self.counts.get(place, 0) + 1
