"""Exponential decay of a learned state by its age at a restart. Pure functions; times are Unix ms.

The weight of a learned state halves every ``HALF_LIFE_MS``. A restored value lies between the value of a cold
start and the learned value, and never exceeds the bounds of the settings. Nothing is restored if the
fingerprint differs, which means other settings or another processor model. This module maps the stored keys
of the record to ``LearnedState``.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import Any

from spindlerelay.api import LearnedState, Settings

HALF_LIFE_MS = 120_000.0
MIN_WEIGHT = 0.03  # at a lower weight a cold start is as good
MAX_COUNT = 1e6  # upper bound of decayed request counts, whose window is a few seconds
MAX_HALF_LIVES = 1000.0


class DiscardReason(Enum):
    """Why a stored learned state is discarded."""

    OTHER_SETTINGS = "other settings"
    TOO_OLD = "too old"
    FROM_THE_FUTURE = "from the future"
    MALFORMED = "malformed"


def weight(age_ms: float) -> float:
    """Return the weight, from 0 to 1, of a learned state of this age.

    The weight is 0 at a negative age: the clock has been set back, so the real age is unknown.
    """
    if not age_ms >= 0.0:
        return 0.0
    decayed_weight = 0.5 ** min(MAX_HALF_LIVES, age_ms / HALF_LIFE_MS)
    return decayed_weight if decayed_weight >= MIN_WEIGHT else 0.0


def to_record(learned: LearnedState, saved_at_ms: float, fingerprint: str) -> dict[str, Any]:
    """Return the stored form of a learned state."""
    return {
        "at": saved_at_ms,
        "of": fingerprint,
        "limit": learned.concurrency_limit,
        "call_ms": learned.mean_call_ms,
        "asked": list(learned.requests_by_tenant),
        "figures": [list(row) for row in learned.class_statistics],
    }


def age_ms(record: dict[str, Any], now_ms: float) -> float:
    """Return the age in ms of a record that ``from_record`` has accepted."""
    saved_at_ms: float = record["at"]
    return now_ms - saved_at_ms


def from_record(
    record: dict[str, Any], now_ms: float, fingerprint: str, settings: Settings, statistics_per_class: int
) -> LearnedState | DiscardReason:
    """Return the decayed learned state of a record, or the reason why it is discarded.

    ``statistics_per_class`` is the number of statistics stored for each class.
    """
    try:
        if record["of"] != fingerprint:
            return DiscardReason.OTHER_SETTINGS
        age = now_ms - float(record["at"])
        decayed_weight = weight(age)
        if not decayed_weight:
            return DiscardReason.FROM_THE_FUTURE if age < 0 else DiscardReason.TOO_OLD
        max_duration_ms = max(spec.deadline_ms for spec in settings.classes)
        cores = float(settings.cores)
        max_limit = settings.cores * max(1.0, settings.max_concurrency_per_core or math.inf)
        limit = min(max(float(record["limit"]), cores), max_limit)
        call_ms = min(float(record["call_ms"]), max_duration_ms)
        requests_by_tenant = _bounded_numbers(
            record["asked"], max(1, len(settings.tenant_quotas_per_s)), MAX_COUNT
        )
        max_statistic = MAX_COUNT * max_duration_ms
        rows = [_bounded_numbers(row, statistics_per_class, max_statistic) for row in record["figures"]]
    except (KeyError, TypeError, ValueError, OverflowError):
        return DiscardReason.MALFORMED
    is_finite = math.isfinite(limit) and math.isfinite(call_ms)
    if len(rows) != len(settings.classes) or not is_finite or call_ms < 0:
        return DiscardReason.MALFORMED
    return LearnedState(
        cores + (limit - cores) * decayed_weight,
        call_ms * decayed_weight,
        tuple(count * decayed_weight for count in requests_by_tenant),
        tuple(tuple(value * decayed_weight for value in row) for row in rows),
    )


def _bounded_numbers(values: Any, count: int, maximum: float) -> tuple[float, ...]:
    numbers = tuple(float(value) for value in values)
    if len(numbers) != count or not all(0.0 <= number <= maximum for number in numbers):
        raise ValueError("stored statistics are out of bounds")
    return numbers
