"""Model of a load balancer: node selection, and how it reacts to load reports and Retry-After.

The model holds the knowledge of one balancer about the nodes: the endpoint list, its own open attempts, and
the load reports and Retry-After values of responses. It has no I/O and no clock.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from spindlerelay.consul.api_codec import ServiceInstance as Instance
from spindlerelay.errors import SpindlerelayError
from spindlerelay.routing.load_balancer import CallerPosition, LoadBalancer, weights_by_health
from spindlerelay.routing.weighted_round_robin import WeightedRoundRobin, draw_by_weight

GOLDEN_RATIO_FRACTION = 0.6180339887498949
MAX_MIX_WEIGHT = 1e6


class InvalidProfileMixError(SpindlerelayError, ValueError):
    """A part of a profile mix names an unknown profile or has an invalid weight."""

    def __init__(self, part: str, problem: str) -> None:
        super().__init__(problem)
        self.part = part


class BalancerProfile(NamedTuple):
    """How a balancer selects nodes, retries and reacts to backpressure.

    ``selection`` is one of ``round`` (round robin), ``least`` (fewest open attempts), ``weighted`` (random by
    weight), ``turns`` (smooth weighted round robin), ``two`` (of two random nodes the one with fewer open
    attempts), ``chance`` (uniformly random), ``routed`` (the load balancer of ``spindlerelay.routing``) and
    ``knowing`` (the node with the least true load: an upper bound that no real balancer reaches).
    """

    selection: str = "round"
    max_attempts: int = 3  # attempts per request; 0 means no limit
    # Whether the balancer honours load reports and Retry-After. The protocol requires it to obey a goaway.
    honours_backpressure: bool = True
    marks_retries: bool = True  # whether retries carry the protocol's retry mark
    attempt_timeout_ms: float = 0.0  # time after which the next node is tried; 0 means no timeout
    # Delay before one hedged request, which is sent for idempotent requests only; 0 means no hedging.
    hedge_delay_ms: float = 0.0


# Keys are the profile names that the command line and the experiment files accept.
BALANCER_PROFILES = {
    "steady": BalancerProfile(),
    "least": BalancerProfile("least"),
    "weighted": BalancerProfile("weighted"),
    "turns": BalancerProfile("turns"),
    "deaf": BalancerProfile(honours_backpressure=False),
    "once": BalancerProfile(max_attempts=1),
    "unmarked": BalancerProfile(marks_retries=False),
    "hasty": BalancerProfile("least", attempt_timeout_ms=900.0),
    "copies": BalancerProfile("least", hedge_delay_ms=700.0),
    "storm": BalancerProfile(max_attempts=0, honours_backpressure=False),
    "two": BalancerProfile("two"),
    "chance": BalancerProfile("chance"),
    "knowing": BalancerProfile("knowing", honours_backpressure=False),
    "routed": BalancerProfile("routed"),
}


def parse_profile_mix(text: str) -> tuple[tuple[BalancerProfile, float], ...]:
    """Parse a mix of profiles such as ``storm:0.3,steady:0.7``.

    Return each profile with its weight; a name without a weight has weight 1. Raise InvalidProfileMixError if
    a name is unknown or a weight is invalid.
    """
    mix = []
    for part in text.split(","):
        name, _, weight_text = part.strip().partition(":")
        if name not in BALANCER_PROFILES:
            raise InvalidProfileMixError(
                part, f"{name!r} is not a balancer profile; known: {', '.join(BALANCER_PROFILES)}"
            )
        try:
            weight = float(weight_text or 1.0)
        except ValueError:
            weight = -1.0
        if not 0.0 < weight < MAX_MIX_WEIGHT:
            raise InvalidProfileMixError(
                part, f"{weight_text!r} is not a valid weight of {name}; expected a number above 0"
            )
        mix.append((BALANCER_PROFILES[name], weight))
    return tuple(mix)


def index_by_weight(weights: tuple[float, ...], number: int) -> int:
    """Return the index of the entry that request ``number`` is assigned to, in proportion to the weights.

    The assignment is deterministic and evenly interleaved: fractional parts of multiples of the golden ratio
    fill an interval more evenly than random numbers do.
    """
    position = (number * GOLDEN_RATIO_FRACTION) % 1.0 * sum(weights)
    for index, weight in enumerate(weights):
        position -= weight
        if position < 0.0:
            return index
    return len(weights) - 1


class Balancer:
    """One balancer: its knowledge about the nodes and its node selection.

    Times are ms on the caller's clock.
    """

    def __init__(
        self, profile: BalancerProfile, rng: random.Random, position: CallerPosition | None = None
    ) -> None:
        """Create a balancer; ``position`` is its position among all balancers, for subsetting."""
        self.profile = profile
        self.rng = rng
        self.nodes: dict[str, Instance] = {}
        self.weights: dict[str, float] = {}
        self.published_load: dict[str, float] = {}
        self.retry_after_until: dict[str, float] = {}  # end of each node's Retry-After period
        self.open_attempts: dict[str, int] = {}
        self.true_load: dict[str, float] = {}  # true load of each node, set by the driver for "knowing"
        self._round_robin_position = rng.randrange(1 << 16)
        self.load_balancer = LoadBalancer(rng, position) if profile.selection == "routed" else None
        self.round_robin = WeightedRoundRobin(rng, position) if profile.selection == "turns" else None

    def update_nodes(self, nodes: list[Instance], now: float = 0.0) -> None:
        """Replace the endpoint list; keep load reports and Retry-After periods of nodes that remain."""
        critical = {node.id for node in nodes if node.status == "critical"}
        self.weights = weights_by_health({node.id: float(node.weight) for node in nodes}, critical)
        if self.load_balancer:
            self.load_balancer.update_endpoints(now, self.weights)
        if self.round_robin:
            self.round_robin.update_endpoints(self.weights)
        self.nodes = {node.id: node for node in sorted(nodes)}
        self.published_load = {name: load for name, load in self.published_load.items() if name in self.nodes}
        self.retry_after_until = {
            name: until for name, until in self.retry_after_until.items() if name in self.nodes
        }

    def attempt_sent(self, now: float, node: str) -> None:
        """Count an attempt that is sent to a node."""
        self.open_attempts[node] = self.open_attempts.get(node, 0) + 1
        if self.load_balancer:
            self.load_balancer.note_sent(now, node)

    def attempt_ended(
        self, now: float, node: str, duration_ms: float, outcome: str, retry_after_ms: float
    ) -> None:
        """Stop counting an attempt that has ended or was abandoned."""
        self.open_attempts[node] -= 1
        if self.load_balancer:
            self.load_balancer.note_end(now, node, duration_ms, outcome, retry_after_ms)

    def record_load_report(self, now: float, node: str, load: float | None, retry_after_ms: float) -> None:
        """Record the load report and the Retry-After of a response."""
        if load is not None:
            self.published_load[node] = load
        if retry_after_ms > 0:
            self.retry_after_until[node] = now + retry_after_ms

    def select_node(self, now: float, criticality: float, tried: set[str]) -> Instance | None:
        """Return the node for the next attempt, or None if no node is eligible."""
        if self.load_balancer:
            above_criticality = {name for name, load in self.published_load.items() if load > criticality}
            name = self.load_balancer.choose(now, tried, above_criticality)
            return self.nodes.get(name) if name else None
        eligible = [node for node in self.nodes.values() if node.id not in tried]
        if self.profile.honours_backpressure:
            eligible = [
                node
                for node in eligible
                if self.retry_after_until.get(node.id, 0.0) <= now
                and self.published_load.get(node.id, 0.0) <= criticality
            ]
        return self._select(eligible) if eligible else None

    def _select(self, eligible: list[Instance]) -> Instance | None:
        if self.round_robin:
            name = self.round_robin.choose(excluded=self.nodes.keys() - {node.id for node in eligible})
            return self.nodes.get(name) if name else None
        match self.profile.selection:
            case "weighted":
                return self.nodes[
                    draw_by_weight(self.rng, {node.id: self.weights[node.id] for node in eligible})
                ]
            case "least":
                # Ties are broken in round-robin order, as real balancers do. Breaking ties by name
                # would make every balancer load the first nodes.
                self._round_robin_position += 1
                start = self._round_robin_position % len(eligible)
                return min(eligible[start:] + eligible[:start], key=self._open_attempts)
            case "knowing":
                return min(eligible, key=lambda node: (self.true_load.get(node.id, 0.0), self.rng.random()))
            case "chance":
                return self.rng.choice(eligible)
            case "two":
                return min(self.rng.sample(eligible, min(2, len(eligible))), key=self._open_attempts)
        self._round_robin_position += 1
        return eligible[self._round_robin_position % len(eligible)]

    def _open_attempts(self, node: Instance) -> int:
        return self.open_attempts.get(node.id, 0)
