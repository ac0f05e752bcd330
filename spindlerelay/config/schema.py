"""Validation of the TOML files that users write, with pydantic.

Tables reject unknown keys. Each error is one line with the file, the key, the value found and the expected
value.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from spindlerelay.config.platform import ConfigError


class Table(BaseModel):
    """Base of all tables: rejects unknown keys and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class FileError(ConfigError):
    """All errors of one file; ``lines`` has one line for each error."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def read_toml(path: str, error_type: type[FileError]) -> dict[str, Any]:
    """Return the content of a TOML file; raise ``error_type`` if the file cannot be read or parsed."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise error_type([f"{path}: {error.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise error_type([f"{path}: not TOML: {error}"]) from None


def validation_errors(
    path: str, error: ValidationError, suggest_key: Callable[[tuple[Any, ...]], str]
) -> list[str]:
    """Return one line for each validation error; each line begins with ``path``.

    ``suggest_key`` returns a hint for an unknown key at a location.
    """
    return [_error_line(path, dict(details), suggest_key) for details in error.errors(include_url=False)]


def _error_line(path: str, problem: dict[str, Any], suggest_key: Callable[[tuple[Any, ...]], str]) -> str:
    location, kind = problem["loc"], str(problem["type"])
    key = ".".join(str(part) for part in location if part != "[key]")
    if kind == "missing":
        return f"{path}: {key}: missing; it must be set"
    if kind == "extra_forbidden":
        return f"{path}: {key}: no such key; {suggest_key(location)}"
    return f"{path}: {key}: {repr(problem['input'])[:60]} stands there; expected {_expected(kind, problem)}"


def _expected(kind: str, problem: dict[str, Any]) -> str:
    """Return a description of the expected value for one of pydantic's error types."""
    context = problem.get("ctx", {})
    if kind == "value_error":
        return str(context.get("error", problem["msg"]))
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
    return str(problem["msg"]).removeprefix("Input should be ").lower()


def table_keys(model: type[BaseModel]) -> list[str]:
    """Return the keys of a table as they appear in the file."""
    return sorted(field.alias or name for name, field in model.model_fields.items())
