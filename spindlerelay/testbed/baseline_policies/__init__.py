"""Baseline admission policies that replace the product's admission controller for comparison.

The package defines the policy names that the command line and experiments accept.
"""

from __future__ import annotations

import re

from spindlerelay.testbed.baseline_policies.limits import LIMITS

MODULE = "module"  # the product's own admission controller
NAMES = (MODULE, *LIMITS)
NAME_PATTERN = re.compile(r"(\w+)(?:\+lossy(0?\.[0-9]+))?")


def is_known(name: str) -> bool:
    """Return whether a policy name is valid: one of ``NAMES``, optionally with ``+lossy`` and a fraction."""
    match = NAME_PATTERN.fullmatch(name)
    return match is not None and match[1] in NAMES
