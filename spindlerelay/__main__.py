"""Entry point of ``python -m spindlerelay``.

Without arguments it starts a node as the platform does, and imports neither the command line, the testbed nor
the optional features. With arguments it runs the command line.
"""

from __future__ import annotations

import time

from spindlerelay.process.signal_mask import SIGNAL_MASK

# A signal must not end the process before its handler is installed: it stays pending until then.
SIGNAL_MASK.block(time.time() * 1000.0)

# ruff: noqa: E402
import os
import sys

from spindlerelay.config.platform import ConfigError, read_config
from spindlerelay.process.logging import log_to_stderr
from spindlerelay.process.service import Service

EXIT_INVALID_CONFIGURATION = 2


def main() -> int:
    """Return exit status 0 after an orderly shutdown, 2 for an invalid configuration."""
    if len(sys.argv) > 1:
        from spindlerelay.cli import main as run_command_line

        if sys.argv[1] != "run":
            SIGNAL_MASK.unblock()
        return run_command_line()
    log_to_stderr()
    try:
        Service(read_config(dict(os.environ))).run()
    except ConfigError as error:
        print(f"spindlerelay: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    except OSError as error:
        print(f"spindlerelay: cannot start: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
