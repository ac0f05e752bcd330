"""Subsetting: each caller uses few endpoints, and all endpoints have about the same number of callers.

Pure. Endpoints form a ring in the order of their hashes. A caller that knows its number among all callers
uses consecutive endpoints from its position on the ring. The numbers of callers of any two endpoints then
differ by at most one, and adding or removing an endpoint changes at most one endpoint of each subset
(deterministic aperture, as published with Finagle). A caller that does not know its number uses rendezvous
hashing, which is as stable, but only as even as a random choice.

If endpoints have different weights, the arc of an endpoint on the ring is as long as its weight, and the arcs
of callers begin at even distances. A caller uses the part of each endpoint that the caller's arc covers, so
the number of callers of an endpoint is proportional to its weight.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from functools import lru_cache
from hashlib import blake2b

from spindlerelay.errors import SpindlerelayError

MIN_COVERED_FRACTION = 1e-9  # part of the ring; a smaller overlap of two arcs is a rounding error


class UnknownCallerError(SpindlerelayError, ValueError):
    """A caller's number is negative, or not less than the number of callers."""

    def __init__(self, number: int, callers: int) -> None:
        super().__init__(f"caller {number} of {callers}: expected a number from 0 to {callers - 1}")
        self.number = number
        self.callers = callers


@lru_cache(maxsize=4096)
def _hash(*parts: str) -> bytes:
    return blake2b("\x1f".join(parts).encode(), digest_size=8).digest()


def _ring(names: Collection[str]) -> list[str]:
    return sorted(names, key=lambda name: (_hash(name), name))


def _check_caller(number: int, callers: int) -> None:
    if not 0 <= number < callers:
        raise UnknownCallerError(number, callers)


def subset_by_number(names: Collection[str], number: int, callers: int, size: int) -> list[str]:
    """Return the endpoints of caller ``number`` (from 0) of ``callers`` callers.

    Raises:
        UnknownCallerError: ``number`` is not from 0 to ``callers - 1``.
    """
    _check_caller(number, callers)
    ring = _ring(names)
    start = number * len(ring) // callers
    return [ring[(start + offset) % len(ring)] for offset in range(min(size, len(ring)))]


def subset_by_weight(weights: Mapping[str, float], number: int, callers: int, size: int) -> dict[str, float]:
    """Return the endpoints of caller ``number`` (from 0), with the parts of their weights assigned to it.

    The caller's arc of the ring is as long as ``size`` endpoints of mean weight.

    Raises:
        UnknownCallerError: ``number`` is not from 0 to ``callers - 1``.
    """
    _check_caller(number, callers)
    ring = _ring([name for name in weights if weights[name] > 0.0])
    ring_length = sum(weights[name] for name in ring)
    caller_arc_length = ring_length * min(1.0, size / max(1, len(ring)))
    caller_start = ring_length * number / callers
    subset: dict[str, float] = {}
    arc_end = 0.0
    for name in ring:
        arc_start = arc_end
        arc_end = arc_end + weights[name]
        # The part of the caller's arc past the end of the ring continues at the beginning of the ring.
        covered = _overlap(arc_start, arc_end, caller_start, caller_start + caller_arc_length)
        covered += _overlap(
            arc_start, arc_end, caller_start - ring_length, caller_start - ring_length + caller_arc_length
        )
        if covered > MIN_COVERED_FRACTION * ring_length:
            subset[name] = min(covered, weights[name])
    return subset


def _overlap(first_start: float, first_end: float, second_start: float, second_end: float) -> float:
    return max(0.0, min(first_end, second_end) - max(first_start, second_start))


def subset_by_name(names: Collection[str], caller: str, size: int) -> list[str]:
    """Return the endpoints of a caller that knows only its own name, by rendezvous hashing."""
    return sorted(names, key=lambda name: (_hash(caller, name), name))[:size]


def callers_by_endpoint(subsets: Sequence[Sequence[str]]) -> dict[str, int]:
    """Return the number of callers of each endpoint in ``subsets``."""
    counts: dict[str, int] = {}
    for subset in subsets:
        for name in subset:
            counts[name] = counts.get(name, 0) + 1
    return counts
