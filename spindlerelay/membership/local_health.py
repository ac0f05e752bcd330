"""Lifeguard's local health multiplier: a node that is slow itself allows other nodes longer timeouts."""

from __future__ import annotations

MAX_LOCAL_HEALTH_MULTIPLIER = 8


class LocalHealth:
    """Estimates how unhealthy this node itself is; ``multiplier`` is 0 for a healthy node."""

    def __init__(self) -> None:
        self.multiplier = 0

    def degrade(self, by: int = 1) -> None:
        """Raise the multiplier after a failed probe, a suspicion of this node, or a stall of its process."""
        self.multiplier = min(MAX_LOCAL_HEALTH_MULTIPLIER, self.multiplier + by)

    def improve(self) -> None:
        """Lower the multiplier after a probe that was acknowledged in time."""
        self.multiplier = max(0, self.multiplier - 1)

    def timeout_factor(self) -> float:
        """Return the factor, from 1 to 2, by which timeouts of probes and suspicions are multiplied."""
        return 1.0 + self.multiplier / MAX_LOCAL_HEALTH_MULTIPLIER
