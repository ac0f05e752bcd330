"""Internal errors in the log of a node."""

from __future__ import annotations

from pathlib import Path

# Beginnings of the messages of internal errors, in each log format (docs/on-call.md).
INTERNAL_ERROR_TEXTS = ("a fault in the program: ", "the admission controller failed: ", "an action failed: ")
TRACEBACK_TEXT = "Traceback (most recent call last)"  # an unhandled exception that ended the process
MAX_LINE_CHARACTERS = 300


def internal_errors(log: Path) -> list[str]:
    """Return the lines of a log that report unexpected exceptions; empty if the log does not exist."""
    if not log.exists():
        return []
    markers = (*INTERNAL_ERROR_TEXTS, TRACEBACK_TEXT)
    return [
        line.strip()[:MAX_LINE_CHARACTERS]
        for line in log.read_text(errors="replace").splitlines()
        if any(marker in line for marker in markers)
    ]
