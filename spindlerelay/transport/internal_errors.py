"""Counts of unexpected exceptions that were caught so that the process goes on.

Owns the counts. Each is a fault in the program: it costs one peer, timer, step or action, and is logged by
whoever caught it. Must not depend on what raised the exception.
"""

from __future__ import annotations

from enum import StrEnum


class ErrorPlace(StrEnum):
    """Where an unexpected exception was caught; the value is the published name."""

    SOCKET = "socket"  # a handler of a ready descriptor
    TIMER = "timer"
    OUTPUT = "output"  # sending what is queued
    SIGNAL = "signal"
    TURN = "turn"  # the processing of a turn's events as a whole
    CONTROLLER = "controller"  # a step of the admission controller
    ACTION = "action"  # one action of the admission controller


class InternalErrors:
    """Counts by place since the start of the process; a place without an error is missing."""

    def __init__(self) -> None:
        self.counts: dict[ErrorPlace, int] = {}

    def record(self, place: ErrorPlace) -> None:
        """Count one exception."""
        self.counts[place] = self.counts.get(place, 0) + 1
