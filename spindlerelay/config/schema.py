"""What all files that people write have in common: tables without unknown keys, and each fault told in one
line with file, key, what stands there and what would be right. Ranges are pydantic's; the words are ours."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from spindlerelay.config.platform import ConfigError


class Table(BaseModel):
    """A table takes no unknown key and is not changed after it was read."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class FileError(ConfigError):
    """All that is wrong with a file, a line each."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def toml(path: str, error: type[FileError]) -> dict[str, Any]:
    """The tree of a TOML file; raises ``error`` where there is none."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        raise error([f"{path}: {fault.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise error([f"{path}: not TOML: {fault}"]) from None


def told(where: str, error: ValidationError, unknown: Callable[[tuple[Any, ...]], str]) -> list[str]:
    """A line for every fault of a tree, each beginning with ``where``. ``unknown`` says what a key at a place
    should have been."""
    return [_line(where, dict(fault), unknown) for fault in error.errors(include_url=False)]


def _line(where: str, fault: dict[str, Any], unknown: Callable[[tuple[Any, ...]], str]) -> str:
    place, kind = fault["loc"], str(fault["type"])
    key = ".".join(str(part) for part in place if part != "[key]")
    if kind == "missing":
        return f"{where}: {key}: missing; it must be set"
    if kind == "extra_forbidden":
        return f"{where}: {key}: no such key; {unknown(place)}"
    return f"{where}: {key}: {repr(fault['input'])[:60]} stands there; expected {_wanted(kind, fault)}"


def _wanted(kind: str, fault: dict[str, Any]) -> str:
    """What would be right in place of a value, from pydantic's word for what is wrong with it."""
    context = fault.get("ctx", {})
    if kind == "value_error":
        return str(context.get("error", fault["msg"]))
    if kind == "greater_than_equal":
        return f"a number of at least {context['ge']:g}"
    if kind == "less_than_equal":
        return f"a number of at most {context['le']:g}"
    if kind == "greater_than":
        return f"a number above {context['gt']:g}"
    if kind == "less_than":
        return f"a number under {context['lt']:g}"
    if kind == "literal_error":
        return f"one of {context['expected']}"
    if kind == "string_pattern_mismatch":
        return f"text of the form {context['pattern']}"
    return str(fault["msg"]).removeprefix("Input should be ").lower()


def keys(model: type[BaseModel]) -> list[str]:
    """The keys of a table, as a file tells them."""
    return sorted(field.alias or name for name, field in model.model_fields.items())
