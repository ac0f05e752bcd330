"""Parser of ``api.Settings`` from the external format.

The key-value lines of the simulator and the nested JSON of the platform are converted to the same mapping
from dotted keys to texts, which is then parsed. This module owns the external keys and values; the other
modules of the package do not depend on them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from spindlerelay import api
from spindlerelay.errors import SpindlerelayError

# Maximum number of classes and of tenants, far above the numbers of any site.
MAX_LIST_LENGTH = 10_000
# Maximum number of characters of an invalid value that an error message quotes.
MAX_QUOTED_LENGTH = 60

T = TypeVar("T")


class InvalidSettingError(SpindlerelayError, ValueError):
    """A setting has an invalid value.

    Attributes:
        key: dotted key of the setting.
        problem: description of the error and of valid values.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"setting {key}: {problem}")
        self.key = key
        self.problem = problem


def pairs_from_lines(text: str) -> dict[str, str]:
    """Return the settings in lines of ``key=value`` as a mapping."""
    lines = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {key.strip(): value.strip() for key, _, value in lines}


def pairs_from_json(tree: dict[str, Any]) -> dict[str, str]:
    """Return the settings in nested JSON as the mapping that the same settings in lines would give."""
    return dict(_flatten("", tree))


def _flatten(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for name, child in value.items():
            yield from _flatten(f"{path}.{name}" if path else str(name), child)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from _flatten(f"{path}.{index}", item)
    elif isinstance(value, list):
        yield path, ",".join(_as_text(item).replace(",", "_") for item in value)
    else:
        yield path, _as_text(value)


def _as_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _parse_flag(text: str) -> bool:
    return text.lower() in ("true", "yes", "1")


def _parse_number(key: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        quoted = repr(text[:MAX_QUOTED_LENGTH])
        raise InvalidSettingError(key, f"{quoted} is not a number: 0 or more") from None
    if not 0 <= value < float("inf"):
        raise InvalidSettingError(key, f"{text} makes no sense: a number of 0 or more is wanted")
    return value


class _SettingsReader:
    """Reads typed values from a mapping of dotted keys. An absent or empty text gives the default."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def text(self, key: str) -> str:
        """Return the unparsed text of a setting; empty if it is absent."""
        return self._values.get(key, "")

    def number(self, key: str, default: float) -> float:
        """Return a number of 0 or more."""
        text = self.text(key)
        return _parse_number(key, text) if text else default

    def flag(self, key: str) -> bool:
        """Return a flag. Every text other than ``true``, ``yes`` and ``1`` is false."""
        return _parse_flag(self.text(key))

    def choice(self, key: str, choices: Mapping[str, T], default: T) -> T:
        """Return the value that ``choices`` assigns to the text of a setting."""
        text = self.text(key)
        if not text:
            return default
        if text not in choices:
            quoted = repr(text[:MAX_QUOTED_LENGTH])
            raise InvalidSettingError(key, f"{quoted} is not known: one of {', '.join(choices)}")
        return choices[text]

    def items(self, key: str) -> list[str]:
        """Return the items of a comma-separated list."""
        text = self.text(key)
        return text.split(",") if text else []

    def item(self, key: str, index: int) -> str:
        """Return one item of a comma-separated list; empty if the list has no such item."""
        items = self.items(key)
        return items[index] if index < len(items) else ""


IDEMPOTENCY_CHOICES = {
    "free": api.Idempotency.IDEMPOTENT,
    "guarded": api.Idempotency.KEYED,
    "single_shot": api.Idempotency.NON_IDEMPOTENT,
}
TOPOLOGY_CHOICES = {
    "none": api.DependencyTopology.NONE,
    "common": api.DependencyTopology.SHARED,
    "next_hop": api.DependencyTopology.TIER,
}
CANCELLATION_CHOICES = {
    "none": api.CancellationMode.NONE,
    "drop": api.CancellationMode.DROP,
    "pause": api.CancellationMode.PAUSE,
}
LOAD_SIGNAL_CHOICES = {
    "none": api.LoadSignal.NONE,
    "min_rank": api.LoadSignal.LEVEL,
    "tokens": api.LoadSignal.CREDIT,
    "bias": api.LoadSignal.WEIGHT,
}
WEIGHT_UNIT_CHOICES = {"work": True, "request": False}
GAUGE_NAMES = {"cpu_busy": "cpu", "runnable": "runq", "mem_used": "memory", "sockets": "conns"}


def with_updated_classes(old: api.Settings, new: api.Settings) -> api.Settings:
    """Return the settings that apply after a reload of ``new`` while ``old`` is in force.

    Classes of the same name take their new values and keep their index. Removed classes keep their index and
    values, because requests of them may still be open. New classes follow at the end. All other settings stay
    as in ``old``, because the controller was created with them.
    """
    new_by_name = {spec.name: spec for spec in new.classes}
    updated = tuple(new_by_name.pop(spec.name, spec) for spec in old.classes)
    return dataclasses.replace(old, classes=updated + tuple(new_by_name.values()))


def parse(values: dict[str, str]) -> api.Settings:
    """Return the settings of a mapping from dotted keys to texts.

    Raises:
        InvalidSettingError: a value is invalid.
    """
    reader = _SettingsReader(values)
    number = reader.number
    cores = int(number("family-info.n-cores", 0))
    class_count = _class_count(reader, cores)
    tenant_indices = range(_tenant_count(reader))
    _check_names(reader, class_count)
    return api.Settings(
        cores=cores,
        classes=tuple(_parse_class(reader, index) for index in range(class_count)),
        tenant_names=tuple(reader.text(f"tenants.{index}.name") for index in tenant_indices),
        tenant_quotas_per_s=tuple(number(f"tenants.{index}.quota-per-s", 0.0) for index in tenant_indices),
        over_quota_weight=number("over-share-worth", 1.0),
        server_count=max(1, int(number("servers", 1))),
        caller_count=max(1, int(number("family-info.callers", 1))),
        weighted_by_work=reader.choice("counted-by", WEIGHT_UNIT_CHOICES, False),
        memory_kb=number("family-info.heap-kb", 0.0),
        run_memory_factor=number("family-info.run-mem-factor", 1.0),
        idempotency_entry_kb=number("family-info.key-kb", 0.0),
        cache_ttl_ms=number("family-info.fresh-ms", 0.0),
        cancellation=reader.choice("family-info.halt", CANCELLATION_CHOICES, api.CancellationMode.NONE),
        load_signal=reader.choice("family-info.say", LOAD_SIGNAL_CHOICES, api.LoadSignal.NONE),
        caller_idle_timeout_ms=number("family-info.caller-idle-ms", 0.0),
        dependency_topology=reader.choice("family-info.below", TOPOLOGY_CHOICES, api.DependencyTopology.NONE),
        dependency_call_budget=number("family-info.calls-out", 0.0),
        dependency_call_window_ms=number("family-info.calls-over-ms", 0.0),
        abandoned_call_ms=number("family-info.linger-ms", 0.0),
        cold_start=reader.flag("family-info.cold"),
        cold_speed_fraction=number("obligations.cold-share", 1.0),
        warm_up_ms=number("obligations.ramp-time-ms", 0.0),
        max_concurrency_per_core=number("obligations.fall-multiple", 0.0),
        drain_grace_ms=number("obligations.drain-grace-ms", 0.0),
        max_retry_after_ms=_max_retry_after_ms(reader),
        tick_ms=number("resolution-ms", 0.0),
        gauges=tuple(GAUGE_NAMES.get(name, name) for name in reader.items("family-info.meters")),
    )


def _class_count(reader: _SettingsReader, cores: int) -> int:
    count = int(reader.number("classes.count", 0))
    if cores < 1:
        raise InvalidSettingError("family-info.n-cores", "a server needs at least one core")
    if not 1 <= count <= MAX_LIST_LENGTH:
        raise InvalidSettingError("classes.count", f"a list of 1 to {MAX_LIST_LENGTH} classes is needed")
    return count


def _tenant_count(reader: _SettingsReader) -> int:
    count = reader.number("tenants.count", 0)
    if count > MAX_LIST_LENGTH:
        raise InvalidSettingError("tenants.count", f"{MAX_LIST_LENGTH} tenants at most")
    return int(count)


def _check_names(reader: _SettingsReader, class_count: int) -> None:
    names = [reader.text(f"classes.{index}.name") for index in range(class_count)]
    if duplicates := {name for name in names if name and names.count(name) > 1}:
        problem = f"{min(duplicates)!r} names two classes: each needs a name of its own"
        raise InvalidSettingError("classes", problem)


def _max_retry_after_ms(reader: _SettingsReader) -> float:
    if not reader.flag("policy-limits.retry-after"):
        return 0.0
    return reader.number("policy-limits.max-retry-after-ms", 0.0)


def _parse_class(reader: _SettingsReader, index: int) -> api.ClassSettings:
    path = f"classes.{index}"
    objective_ms = reader.number(f"{path}.goal-time-ms", 0.0)
    deadline_ms = reader.number(f"{path}.deadline-ms", objective_ms)
    partial_weight_key = "family-info.class-skip-worth"
    if deadline_ms <= 0:
        raise InvalidSettingError(f"{path}.deadline-ms", "a class needs a time above 0, in ms")
    return api.ClassSettings(
        latency_objective_ms=objective_ms or deadline_ms,
        deadline_ms=deadline_ms,
        priority_weight=reader.number(f"{path}.value", 1.0),
        late_response_weight=reader.number(f"{path}.late-share", 0.0),
        idempotency=reader.choice(f"{path}.effect", IDEMPOTENCY_CHOICES, api.Idempotency.IDEMPOTENT),
        idempotency_window_ms=reader.number(f"{path}.key-ttl-ms", 0.0),
        calls_dependency=_parse_flag(reader.item("family-info.class-calls", index)),
        partial_response_weight=_parse_number(
            partial_weight_key, reader.item(partial_weight_key, index) or "0"
        ),
        latency_objective_stretch=reader.number(f"{path}.aim-stretch", 0.0),
        name=reader.text(f"{path}.name"),
    )
