"""The command ``trace``: imports, checks and describes request traces."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import click

from spindlerelay.cli import CommandError, combine_errors
from spindlerelay.testbed.load_generation import trace_replay


@click.group()
def trace() -> None:
    """Import, check and describe request traces; docs/traces.md documents the format."""


@trace.command("import")
@click.argument("source", type=click.Path())
@click.option(
    "--format",
    "file_format",
    type=click.Choice(["csv", "jsonl"]),
    help="Format of SOURCE; by default from the suffix of its name.",
)
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="The trace file to write.")
def import_trace(source: str, file_format: str | None, out: str) -> int:
    """Convert a CSV file with a header line, or a file of JSON lines, to a trace."""
    file_format = file_format or {".csv": "csv", ".jsonl": "jsonl", ".json": "jsonl"}.get(Path(source).suffix)
    if file_format is None:
        raise CommandError(f"{source}: unknown file name suffix; give --format csv or --format jsonl")
    try:
        imported = trace_replay.import_trace(source, file_format)
        Path(out).write_bytes(
            trace_replay.encode_trace(imported.records, f"imported from {Path(source).name}")
        )
    except trace_replay.TraceError as error:
        raise combine_errors(error.lines) from None
    except OSError as error:
        raise CommandError(f"{out}: {error.strerror}") from None
    click.echo(f"{len(imported.records)} requests in {out}")
    return 0


@trace.command()
@click.argument("source", type=click.Path())
def show(source: str) -> int:
    """Describe a trace; exit status 1 if it is truncated."""
    try:
        loaded = trace_replay.read_trace(source)
    except trace_replay.TraceError as error:
        raise combine_errors(error.lines) from None
    records, duration_s = loaded.records, loaded.records[-1].at_ms / 1000.0
    rate = f"{len(records) / duration_s:.1f} per second" if duration_s else "all at once"
    click.echo(f"{len(records)} requests in {duration_s:.1f} s, {rate}")
    for grouping, counts in (
        ("class", Counter(record.class_name for record in records)),
        ("department", Counter(record.tenant or "(none)" for record in records)),
    ):
        click.echo(f"by {grouping}: " + ", ".join(f"{key} {count}" for key, count in counts.most_common(20)))
    keys = Counter(record.key_digest for record in records if record.key_digest)
    retry_count = sum(record.is_retry for record in records)
    click.echo(
        f"keys: {len(keys)}, {sum(keys.values()) - len(keys)} repeated uses; {retry_count} marked retries"
    )
    if loaded.missed_count:
        click.echo(
            f"{loaded.missed_count} requests exceeded the limits of the capture and are not in the trace"
        )
    if loaded.truncation:
        click.echo(loaded.truncation)
    return 1 if loaded.truncation else 0
