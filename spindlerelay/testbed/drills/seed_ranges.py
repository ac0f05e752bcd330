"""Jobs of the drills that play seeds in virtual time: ranges of seeds, many to a process."""

from __future__ import annotations

from typing import NamedTuple


class SeedRange(NamedTuple):
    """``seeds`` seeds from ``first`` on."""

    first: int
    seeds: int


def seed_ranges(block: int, seeds: int, seeds_per_job: int) -> list[SeedRange]:
    """Return the jobs for a block of ``seeds`` seeds; ``block`` counts such blocks from 1."""
    first = (block - 1) * seeds
    end = first + seeds
    return [SeedRange(start, min(seeds_per_job, end - start)) for start in range(first, end, seeds_per_job)]
