"""Reads, imports and replays traces of requests.

``observability.trace_format`` defines the file format. Every error in a file names the file, and the line if
the error concerns one line.
"""

from __future__ import annotations

import csv
import io
import random
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import ujson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from spindlerelay.config import schema
from spindlerelay.config.schema import FileError
from spindlerelay.observability import trace_format
from spindlerelay.observability.trace_format import TraceRecord
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.machine import RunPlan
from spindlerelay.testbed.models.traffic import ClassSpec, Request

MAX_ERRORS = 20  # maximum number of errors that are reported for one file
MAX_RECORDS = 5_000_000
DAY_MS = 86_400_000.0


class TraceError(FileError):
    """A trace cannot be read, imported or replayed; ``lines`` contains one text per error."""


class Trace(NamedTuple):
    """The requests of a trace.

    Attributes:
        records: requests sorted by time.
        truncation: description of where a truncated file ends; empty for a complete file.
        missed_count: number of requests that exceeded the limits of the capture.
    """

    records: list[TraceRecord]
    truncation: str = ""
    missed_count: int = 0


class _Line(BaseModel):
    """A record with the keys of the file format; texts of a CSV file are converted to numbers."""

    model_config = ConfigDict(extra="forbid")

    at: Annotated[float, Field(ge=0.0, le=7 * DAY_MS, allow_inf_nan=False)]
    cls: Annotated[str, Field(alias="class", min_length=1, max_length=64)]
    department: Annotated[str, Field(max_length=64)] = ""
    rank: Annotated[float, Field(ge=0.0, lt=1.0)] = 0.5
    heap: Annotated[float, Field(gt=0.0, lt=2000.0)] = 30.0
    ttl: Annotated[float, Field(ge=0.0, le=1e6)] = 0.0
    size: Annotated[int, Field(alias="bytes", ge=0, le=2048)] = 100
    body: Annotated[str, Field(pattern=r"^[0-9a-f]{0,64}$")] = ""
    key: Annotated[str, Field(pattern=r"^([0-9a-f]{32})?$")] = ""
    retry: bool = False


def _record(fields: dict[str, Any]) -> TraceRecord:
    line = _Line.model_validate(fields)
    return TraceRecord(
        line.at,
        line.cls,
        line.department,
        line.rank,
        line.heap,
        line.ttl,
        line.size,
        line.body,
        line.key,
        line.retry,
    )


def _known_keys(_location: tuple[Any, ...]) -> str:
    return f"known here: {', '.join(schema.table_keys(_Line))}"


class _RecordCollector:
    """Collects the records and errors of a file, up to a limit for each."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.records: list[TraceRecord] = []
        self.errors: list[str] = []

    def add(self, number: int, fields: dict[str, Any]) -> None:
        """Add the record of a line, or the validation errors of the line."""
        try:
            record = _record(fields)
        except ValidationError as error:
            self.errors += schema.validation_errors(f"{self.path}:{number}", error, _known_keys)
            return
        self.records.append(record)

    def is_full(self) -> bool:
        """Return whether a limit is reached; add an error if the file has too many records."""
        if len(self.records) > MAX_RECORDS:
            self.errors.append(f"{self.path}: more than {MAX_RECORDS} records; split the file")
        return len(self.errors) >= MAX_ERRORS or len(self.records) > MAX_RECORDS

    def finish(self) -> list[TraceRecord]:
        """Return the records.

        Raises:
            TraceError: the file contains an error or no record.
        """
        if not self.errors and not self.records:
            self.errors.append(f"{self.path}: no request in it; expected one request per line")
        if self.errors:
            raise TraceError(self.errors[:MAX_ERRORS])
        return self.records


def _read_bytes(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise TraceError([f"{path}: {error.strerror}"]) from None


def _parse_object(path: str, number: int, data: bytes) -> dict[str, Any]:
    try:
        value = ujson.loads(data.decode())
    except ValueError as error:
        raise TraceError([f"{path}:{number}: not JSON: {str(error)[:80]}"]) from None
    if not isinstance(value, dict):
        raise TraceError([f"{path}:{number}: {str(value)[:40]!r} stands there; expected one JSON object"])
    return value


def read_trace(path: str) -> Trace:
    """Return the trace in a file of the format of ``trace_format``.

    A truncated file, even one that ends within a line, is read up to its end; the trace's ``truncation`` then
    describes where the file ends.

    Raises:
        TraceError: the file cannot be read or is invalid apart from a truncation.
    """
    lines = _read_bytes(path).split(b"\n")
    incomplete_line = lines.pop()  # empty if the last line is complete
    _check_header(path, lines)
    collector = _RecordCollector(path)
    footer = _collect(path, lines, collector)
    records = collector.finish()
    if footer is None:
        truncation = f"{path}: cut off after {len(records)} requests"
        truncation += f", {len(incomplete_line)} bytes into a line" if incomplete_line else ""
        return Trace(_sorted(records), truncation)
    if footer["end"] != len(records):
        raise TraceError(
            [f"{path}: {len(records)} records, {footer['end']} by its last line: lines are missing"]
        )
    return Trace(_sorted(records), "", int(footer.get("missed", 0)))


def _check_header(path: str, lines: list[bytes]) -> None:
    if not lines:
        raise TraceError([f"{path}:1: not a trace: the first line should name format and version"])
    header = _parse_object(path, 1, lines[0])
    if header.get("format") != trace_format.FORMAT:
        problem = (
            f"not a trace: format should be {trace_format.FORMAT!r}; 'trace import' converts other files"
        )
        raise TraceError([f"{path}:1: {problem}"])
    version = header.get("version")
    if version != trace_format.VERSION:
        problem = f"version {version!r}; this program reads version {trace_format.VERSION}"
        raise TraceError([f"{path}:1: {problem}"])


def _collect(path: str, lines: list[bytes], collector: _RecordCollector) -> dict[str, Any] | None:
    """Collect the records after the header, and return the footer, or None if the file has no footer."""
    footer: dict[str, Any] | None = None
    for number, data in enumerate(lines[1:], 2):
        if footer is not None:
            collector.errors.append(f"{path}:{number}: a line after the end of the trace; remove it")
        try:
            line = _parse_object(path, number, data)
        except TraceError as error:
            collector.errors += error.lines
            continue
        if "end" in line:
            footer = line
        else:
            collector.add(number, line)
        if collector.is_full():
            break
    return footer


def _sorted(records: list[TraceRecord]) -> list[TraceRecord]:
    """Return the records sorted by time, with times that start at 0.

    A capture may be slightly out of order, since requests arrive on several connections.
    """
    first = min(record.at_ms for record in records)
    return sorted(
        (record._replace(at_ms=record.at_ms - first) for record in records), key=lambda record: record.at_ms
    )


def import_trace(path: str, file_format: str) -> Trace:
    """Return a trace from a file of another program.

    The format is ``csv``, with a header line, or otherwise JSON lines.

    Raises:
        TraceError: the file is invalid; the error lists every invalid line, up to ``MAX_ERRORS``.
    """
    data = _read_bytes(path)
    collector = _RecordCollector(path)
    try:
        rows = _csv(path, data) if file_format == "csv" else _json_lines(path, data, collector)
        for number, fields in rows:
            collector.add(number, fields)
            if collector.is_full():
                break
    except UnicodeDecodeError:
        raise TraceError([f"{path}: not UTF-8 text"]) from None
    except csv.Error as error:
        raise TraceError([f"{path}: not CSV: {error}"]) from None
    return Trace(_sorted(collector.finish()))


def _csv(path: str, data: bytes) -> Iterator[tuple[int, dict[str, Any]]]:
    reader = csv.DictReader(io.StringIO(data.decode("utf-8-sig")), strict=True)
    if not reader.fieldnames or not {"at", "class"} <= set(reader.fieldnames):
        raise TraceError([f"{path}:1: the header line should name the columns, including at and class"])
    for row in reader:
        fields = {key: value for key, value in row.items() if value not in (None, "")}
        yield reader.line_num, {str(key or "(past the last column)"): value for key, value in fields.items()}


def _json_lines(path: str, data: bytes, collector: _RecordCollector) -> Iterator[tuple[int, dict[str, Any]]]:
    for number, line in enumerate(data.splitlines(), 1):
        if not line.strip():
            continue
        try:
            fields = _parse_object(path, number, line)
        except TraceError as error:
            collector.errors += error.lines
            continue
        yield number, fields


def encode_trace(records: Iterable[TraceRecord], note: str = "") -> bytes:
    """Return a complete trace file."""
    parts = [trace_format.encode_record(record) for record in records]
    return b"".join([trace_format.encode_header(note), *parts, trace_format.encode_footer(len(parts))])


def record_of(request: Request, salt: bytes) -> TraceRecord:
    """Return the record that a capture would contain for a request of the load generator."""
    key = (
        trace_format.digest(salt, request.idempotency_key.encode(), trace_format.KEY_BYTES)
        if request.idempotency_key
        else ""
    )
    body = trace_format.digest(salt, request.body)
    return TraceRecord(
        request.arrival_ms,
        request.cls.name,
        request.tenant,
        request.criticality,
        request.memory_kb,
        request.cls.deadline_ms,
        len(request.body),
        body,
        key,
    )


def replay(
    trace: Trace,
    speed: float,
    seed: int,
    classes: tuple[ClassSpec, ...] = traffic.CLASSES,
    retries: bool = False,
) -> list[Request]:
    """Return the requests of a trace, replayed ``speed`` times as fast.

    Marked retries are left out unless ``retries`` is set, since the balancers of the replay make their own
    retries. A body is generated from its hash, so that equal bodies stay equal. The cost of a run is drawn
    from the seed and depends on the class of the request.

    Raises:
        TraceError: the trace contains a class that is not one of ``classes``.
    """
    by_name = {cls.name: cls for cls in classes}
    if unknown := sorted({record.class_name for record in trace.records} - set(by_name)):
        raise TraceError([f"class {unknown[0]!r} is not known here; known: {', '.join(by_name)}"])
    requests: list[Request] = []
    for record in trace.records:
        if record.is_retry and not retries:
            continue
        cls, number = by_name[record.class_name], len(requests)
        rng = random.Random(f"{seed} {record.body_digest or number} {number}")
        drawn = traffic.draw_request(rng, record.at_ms / speed, number, classes, cls)
        body = bytes.fromhex(record.body_digest or f"{number:016x}")
        repeated_body = (body * (record.body_bytes // max(1, len(body)) + 1))[: record.body_bytes]
        is_known = record.tenant in traffic.TENANT_INDEX
        tenant_name = record.tenant if is_known else drawn.tenant
        requests.append(
            drawn._replace(
                tenant=tenant_name,
                criticality=record.criticality,
                memory_kb=record.queued_memory_kb,
                body=repeated_body,
                plan=RunPlan(drawn.plan.work_parts_ms, record.queued_memory_kb),
                idempotency_key=record.key_digest
                if cls.has_idempotency_key and record.key_digest
                else drawn.idempotency_key,
            )
        )
    return requests
