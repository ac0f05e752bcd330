"""The verdict of a case: the record, and the exit status that the review asks for."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

Play = Callable[[Record, Path, bool], Awaitable[list[str]]]


def main(case: Path, play: Play) -> int:
    """Play a case and return its exit status.

    ``play`` gets the record, a temporary folder and whether to cause the trouble, and returns the rules
    that were broken.
    """
    record = Record(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that the nodes are ended, too
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(play(record, Path(folder), trouble))  # type: ignore[arg-type]
    except Exception:  # whatever prevents the case from running
        record.write("the case could not run\n" + traceback.format_exc())
        traceback.print_exc()
        return COULD_NOT_RUN
    verdict = "BROKEN" if broken else "held"
    text = "\n".join([f"the rule is {verdict} ({'with' if trouble else 'without'} the disruption)", *broken])
    record.write(text)
    print(text)
    return BROKEN if broken else HELD


def exit_with(case: Path, play: Play) -> None:
    """Play a case and end the process with its status."""
    sys.exit(main(case, play))
