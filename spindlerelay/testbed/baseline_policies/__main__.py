"""Start a node with a baseline policy: ``python -m spindlerelay.testbed.baseline_policies pool``.

Policy names are module (the product's own controller), pool, gradient and codel. With the suffix
``+lossy0.05``, a policy also rejects 5% of the requests with the notice not to retry.
"""

from __future__ import annotations

import signal
import sys

# As in ``spindlerelay.__main__``: SIGHUP must not end the process before its handler is installed.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

# ruff: noqa: E402
from spindlerelay.admission.controller import AdmissionController
from spindlerelay.api import Settings
from spindlerelay.node.protocols import AdmissionPolicy
from spindlerelay.process.operator_features import run_node
from spindlerelay.testbed.baseline_policies import MODULE, NAME_PATTERN, NAMES, is_known
from spindlerelay.testbed.baseline_policies.fixed_queue import FixedQueuePolicy, LossyPolicy
from spindlerelay.testbed.baseline_policies.limits import LIMITS

NAME_ONLY_ARGUMENT_COUNT = 1  # arguments of NAME
RUN_ARGUMENT_COUNT = 4  # arguments of NAME run --operator FILE


def create_policy(name: str, settings: Settings, seed: int) -> AdmissionPolicy:
    """Return the admission policy with a valid policy name."""
    match = NAME_PATTERN.fullmatch(name)
    assert match
    policy: AdmissionPolicy
    if match[1] == MODULE:
        policy = AdmissionController(settings, seed)
    else:
        shortest_objective_ms = min(cls.latency_objective_ms for cls in settings.classes)
        policy = FixedQueuePolicy(settings, LIMITS[match[1]](settings.cores, shortest_objective_ms))
    return LossyPolicy(policy, float(match[2]), seed) if match[2] else policy


def main() -> int:
    """Run the node; return the exit code, which is 2 for an invalid command line."""
    arguments = sys.argv[1:]
    valid = bool(arguments) and is_known(arguments[0]) and arguments[1:2] in ([], ["run"])
    if not valid or len(arguments) not in (NAME_ONLY_ARGUMENT_COUNT, RUN_ARGUMENT_COUNT):
        usage = f"NAME [run --operator FILE], NAME of {', '.join(NAMES)}"
        print(f"spindlerelay.testbed.baseline_policies: {usage}", file=sys.stderr)
        return 2
    operator = arguments[3] if len(arguments) == RUN_ARGUMENT_COUNT else None
    return run_node(
        operator, None, make_controller=lambda settings, seed: create_policy(arguments[0], settings, seed)
    )


if __name__ == "__main__":
    sys.exit(main())
