"""The command ``state``: shows, verifies or compacts a storage directory without a running node."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

import click
import ujson

from spindlerelay.cli import CommandError
from spindlerelay.storage import journal_directory as journals
from spindlerelay.storage import records
from spindlerelay.storage.journal_directory import JournalDirectory
from spindlerelay.storage.records import UnusableStorageError

T = TypeVar("T")
NO_BINDING_LIMIT_MS = 1e15
NO_RESULT_LIMIT_BYTES = 1 << 40
node_option = click.option(
    "--node", required=True, help="The node's name, as in the platform's configuration."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@click.group()
def state() -> None:
    """Show, verify or compact the folder that [storage] names."""


def _print_rows(rows: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(ujson.dumps(rows, indent=1))
        return
    for key, value in rows.items():
        click.echo(f"{key:22} {value}")


def _with_reported_errors(path: str, operation: Callable[[], T]) -> T:
    try:
        return operation()
    except UnusableStorageError as error:
        raise CommandError(str(error) if str(error).startswith(path) else f"{path}: {error}") from None
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None


@state.command()
@folder_argument
@node_option
@json_option
def show(folder: str, node: str, as_json: bool) -> int:
    """Show the contents of the folder: keyed requests, results and the learned state."""
    now_ms = time.time() * 1000.0
    replayed_state = _with_reported_errors(
        folder, lambda: JournalDirectory(folder, node, lock=False).load()[0]
    )
    bound_requests, _ = replayed_state.bound_requests(now_ms, NO_BINDING_LIMIT_MS)
    learned_record = replayed_state.learned_record or {}
    _print_rows(
        {
            "orders": len(replayed_state.completed_requests),
            "orders bound": len(bound_requests),
            "with a result": sum(request.result is not None for request in bound_requests.values()),
            "result bytes": sum(len(request.result or b"") for request in bound_requests.values()),
            "last bound for s": round(
                max((request.bound_until_ms - now_ms for request in bound_requests.values()), default=0.0)
                / 1000.0,
                1,
            ),
            "learnt s ago": round((now_ms - learned_record["at"]) / 1000.0, 1)
            if "at" in learned_record
            else "never",
            "running limit": learned_record.get("limit", "none"),
            "call ms": learned_record.get("call_ms", "none"),
            "fingerprint": learned_record.get("of", "none"),
        },
        as_json,
    )
    return 0


@state.command()
@folder_argument
@node_option
@json_option
def verify(folder: str, node: str, as_json: bool) -> int:
    """Read every file; exit status 1 if a record is damaged.

    A torn last record, as a killed process leaves it, does not count as damaged.
    """
    directory = JournalDirectory(folder, node, lock=False)
    rows: dict[str, Any] = {}
    damaged = 0
    for kind, generation in _with_reported_errors(folder, directory.files):
        contents = _with_reported_errors(folder, partial(directory.read, kind, generation))
        is_complete = kind == records.FileKind.JOURNAL or contents.is_complete
        damaged += (
            contents.damaged_records
            + (not is_complete)
            + (contents.header is None and contents.torn_bytes > 0)
        )
        name = f"{'journal' if kind == records.FileKind.JOURNAL else 'snapshot'} {generation}"
        rows[name] = (f"layout {contents.header.version}, " if contents.header else "no header, ") + (
            f"{len(contents.records)} records, {contents.damaged_records} damaged, "
            f"{contents.torn_bytes} bytes torn" + ("" if is_complete else ", not whole")
        )
    _print_rows(rows or {"files": 0}, as_json)
    return 1 if damaged else 0


@state.command()
@folder_argument
@node_option
@json_option
def compact(folder: str, node: str, as_json: bool) -> int:
    """Replace all files by one snapshot of the keys that are still bound. The node must not be running."""

    def compact_folder() -> dict[str, Any]:
        directory = JournalDirectory(folder, node)
        now_ms = time.time() * 1000.0
        try:
            bytes_before = directory.total_bytes()
            replayed_state, _ = directory.load()
            bound_requests, _ = replayed_state.bound_requests(now_ms, NO_BINDING_LIMIT_MS)
            snapshot = journals.snapshot_records(
                list(bound_requests),
                bound_requests.get,
                lambda: replayed_state.learned_record,
                NO_RESULT_LIMIT_BYTES,
            )
            for _step in directory.compact(snapshot, now_ms):
                pass
            return {
                "bytes before": bytes_before,
                "bytes after": directory.total_bytes(),
                "orders": len(bound_requests),
            }
        finally:
            directory.close()

    _print_rows(_with_reported_errors(folder, compact_folder), as_json)
    return 0
