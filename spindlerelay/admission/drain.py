"""The drain of the server: when its process stops, and until when arriving requests are admitted.

Pure. Points in time are on the clock that ``AdmissionController.step`` receives.
"""

from __future__ import annotations

import math

from spindlerelay import api

# All traffic is discouraged in this last part of the grace. No replacement for the server is ready earlier.
WARNING_FRACTION = 0.5


class DrainState:
    """Whether the server drains, and the points in time that follow from the notice to stop.

    Attributes:
        active: whether the notice has come.
        stop_ms: the stop of the process, infinite while the server does not drain.
        admission_end_ms: requests that arrive later are rejected; infinite while the server does not drain.
    """

    def __init__(self, grace_ms: float) -> None:
        self._grace_ms = grace_ms
        self.active = False
        self.stop_ms = math.inf
        self.admission_end_ms = math.inf

    def start(self, now_ms: float, event: api.DrainStarted) -> None:
        """Start the drain. The grace counts from the notice, which may have come before ``now_ms``."""
        self.active = True
        self.stop_ms = now_ms + event.remaining_ms
        self.admission_end_ms = now_ms - event.elapsed_ms + self._grace_ms

    def discourages_callers(self, now_ms: float) -> bool:
        """Return whether the end of admission is so near that callers should send nothing more."""
        return now_ms > self.admission_end_ms - WARNING_FRACTION * self._grace_ms
