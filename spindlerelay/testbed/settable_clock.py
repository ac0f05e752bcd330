"""Start a node whose clock can be set: ``python -m spindlerelay.testbed.settable_clock MODULE [WORDS]``.

SIGUSR1 sets the process's view of the system clock ahead by ``SPINDLERELAY_STEP_MS`` (default 2000), a second
one back. Nothing outside of the process changes.
"""

from __future__ import annotations

import os
import runpy
import signal
import sys
import time

DEFAULT_STEP_MS = 2000.0


class SettableClock:
    """The system's clock plus an offset."""

    def __init__(self, step_s: float) -> None:
        self.system_time = time.time
        self._step_s = step_s
        self._offset_s = 0.0

    def time(self) -> float:
        """Return the time in seconds, as ``time.time``."""
        return self.system_time() + self._offset_s

    def toggle(self) -> None:
        """Set the clock ahead by one step, or back."""
        self._offset_s = 0.0 if self._offset_s else self._step_s


def main() -> None:
    """Run the module that the command line names under the settable clock."""
    clock = SettableClock(float(os.environ.get("SPINDLERELAY_STEP_MS", DEFAULT_STEP_MS)) / 1000.0)
    signal.signal(signal.SIGUSR1, lambda *_: clock.toggle())
    time.time = clock.time
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
