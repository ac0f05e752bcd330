"""Entry point of ``python -m spindlerelay.simhost``; ``simulator.host`` describes the process."""

import sys

from spindlerelay.simulator.host import main

if __name__ == "__main__":
    sys.exit(main())
