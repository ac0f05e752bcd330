"""What a node's log shows of faults in the program. Pure but for reading the file."""

from __future__ import annotations

from pathlib import Path

# How the lines of internal errors begin, whatever the form of the log (docs/on-call.md).
INTERNAL_ERROR_TEXTS = ("a fault in the program: ", "the admission controller failed: ", "an action failed: ")
TRACEBACK = "Traceback (most recent call last)"  # of an exception that ended the process
MAX_LINE_CHARACTERS = 300


def internal_errors(log: Path) -> list[str]:
    """Return the log's lines about unexpected exceptions; none where there is no file."""
    if not log.exists():
        return []
    markers = (*INTERNAL_ERROR_TEXTS, TRACEBACK)
    return [
        line.strip()[:MAX_LINE_CHARACTERS]
        for line in log.read_text(errors="replace").splitlines()
        if any(marker in line for marker in markers)
    ]
