"""Fingerprint of the settings under which a state was learned. Pure.

The fingerprint is stored with the learned state. It is the hash of a textual form of the settings that uses
the field names of the first version. Those names are part of the stored format; this module maps today's
fields and enum members to them.
"""

from __future__ import annotations

import dataclasses
from enum import Enum
from hashlib import blake2b
from typing import Any

from spindlerelay.api import (
    CancellationMode,
    ClassSettings,
    DependencyTopology,
    Idempotency,
    LoadSignal,
    Settings,
)

DIGEST_BYTES = 8
STORED_CLASS_FIELDS = (
    "aim_ms",
    "deadline_ms",
    "worth",
    "late_share",
    "effect",
    "key_window_ms",
    "calls",
    "skip_worth",
    "aim_stretch",
    "name",
)
STORED_FIELDS = (
    "cores",
    "classes",
    "tenant_names",
    "tenant_quotas_per_s",
    "over_share_worth",
    "servers",
    "callers",
    "counted_by_work",
    "memory_kb",
    "run_memory_factor",
    "key_kb",
    "fresh_ms",
    "halt",
    "say",
    "caller_idle_ms",
    "below",
    "calls_out",
    "calls_over_ms",
    "linger_ms",
    "cold",
    "cold_share",
    "warm_up_ms",
    "crowd_per_core",
    "drain_grace_ms",
    "advice_max_ms",
    "tick_ms",
    "gauges",
)
STORED_MEMBERS: dict[Enum, str] = {
    Idempotency.IDEMPOTENT: "Effect.SAFE",
    Idempotency.KEYED: "Effect.KEYED",
    Idempotency.NON_IDEMPOTENT: "Effect.UNSAFE",
    DependencyTopology.NONE: "Below.NONE",
    DependencyTopology.SHARED: "Below.SHARED",
    DependencyTopology.TIER: "Below.TIER",
    CancellationMode.NONE: "HaltKind.NONE",
    CancellationMode.DROP: "HaltKind.DROP",
    CancellationMode.PAUSE: "HaltKind.PAUSE",
    LoadSignal.NONE: "SayKind.NONE",
    LoadSignal.LEVEL: "SayKind.LEVEL",
    LoadSignal.CREDIT: "SayKind.CREDIT",
    LoadSignal.WEIGHT: "SayKind.WEIGHT",
}


def fingerprint(settings: Settings, processor_model: str) -> str:
    """Return the hex digest of the settings and the processor's model name."""
    return blake2b(
        f"{_stored_text(settings)} {processor_model}".encode(), digest_size=DIGEST_BYTES
    ).hexdigest()


def _stored_text(value: Any) -> str:
    if isinstance(value, Settings):
        values = [getattr(value, field.name) for field in dataclasses.fields(value)]
        return _format_record("Settings", STORED_FIELDS, values)
    if isinstance(value, ClassSettings):
        return _format_record("ClassSettings", STORED_CLASS_FIELDS, list(value))
    if isinstance(value, Enum):
        return f"<{STORED_MEMBERS[value]}: {value.value!r}>"
    if isinstance(value, tuple):
        items = ", ".join(map(_stored_text, value))
        return f"({items},)" if len(value) == 1 else f"({items})"
    return repr(value)


def _format_record(name: str, fields: tuple[str, ...], values: list[Any]) -> str:
    assignments = (f"{field}={_stored_text(value)}" for field, value in zip(fields, values, strict=True))
    return f"{name}({', '.join(assignments)})"
