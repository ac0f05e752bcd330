"""The directory of journal and snapshots, from which a node recovers its state after a restart.

    LOCK                       lock file, held by the one process that uses the directory
    journal-0000000000000007   records appended since snapshot 7
    snapshot-0000000000000007  the whole state at the time when journal 7 began

Each start begins a new generation, so that no record is ever appended after a torn one. A snapshot is written
in slices under a temporary name while the journal goes on, and is renamed once it is complete; only then are
the older files removed. At any time the newest complete snapshot and the journals from its generation on hold
the whole state.

This module owns the descriptors of the lock and the journal. It reads no clock and does not interpret
records.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Literal, NamedTuple, TypeVar

from spindlerelay.storage import records
from spindlerelay.storage.disk import write_all
from spindlerelay.storage.records import FileKind, RecordKind, UnusableStorageError
from spindlerelay.storage.replayed_state import CompletedRequest, ReplayedState
from spindlerelay.transport.disk import HOST_DISK, Disk

Key = TypeVar("Key")
# Whether an appended record survives only the end of the process, or also a power loss.
Durability = Literal["process", "power"]
FILE_NAME = re.compile(r"(journal|snapshot)-([0-9]{16})\Z")
KIND_NAMES = {FileKind.JOURNAL: "journal", FileKind.SNAPSHOT: "snapshot"}
KINDS_BY_NAME = {name: kind for kind, name in KIND_NAMES.items()}
LOCK_NAME = "LOCK"
TEMPORARY_SUFFIX = ".tmp"
KEYS_PER_RECORD = 200  # a snapshot record of this many keys takes about 10 KB
RESULT_BYTES_PER_RECORD = 64 << 10
MAX_FILE_BYTES = 1 << 30
CLOSED = -1


class RecoveryReport(NamedTuple):
    """What ``load`` found in the files.

    Attributes:
        files: number of journals and snapshots.
        damaged_records: number of records with a wrong checksum or an undecodable body.
        torn_bytes: bytes of last records whose write was not completed.
        malformed_records: number of records of an unknown kind or shape.
        migrated_files: number of files in an older layout.
    """

    files: int
    damaged_records: int
    torn_bytes: int
    malformed_records: int
    migrated_files: int


class JournalDirectory:
    """A directory of journals and snapshots, locked from construction to ``close``.

    Without ``lock`` the directory must only be read. All methods raise the disk's OSErrors.

    Raises:
        UnusableStorageError: Another process holds the lock.
    """

    def __init__(
        self,
        path: str,
        name: str,
        durability: Durability = "process",
        lock: bool = True,
        disk: Disk = HOST_DISK,
    ) -> None:
        self.path = path
        self.name = name
        self.durability = durability
        self.disk = disk
        self.generation = 0
        self.journal_bytes = 0  # size of the journal up to the end of its last complete record
        self.journal_fd = CLOSED
        self._lock_fd = CLOSED
        if lock:
            try:
                self._lock_fd = disk.lock(path, self._path_of(LOCK_NAME))
            except BlockingIOError:
                problem = "in use by another process"
                raise UnusableStorageError(problem, "stop that process, or name another folder") from None

    def files(self) -> list[tuple[int, int]]:
        """Return the kind and generation of each file, in the order in which the files are replayed."""
        matches = (FILE_NAME.match(entry) for entry in self.disk.list_names(self.path))
        files = [(int(match[2]), KINDS_BY_NAME[match[1]]) for match in matches if match]
        files.sort(key=lambda file: (file[0], -file[1]))  # a snapshot precedes the journal of its generation
        return [(kind, generation) for generation, kind in files]

    def read(self, kind: int, generation: int) -> records.FileContents:
        """Return the contents of one file; an UnusableStorageError names the file."""
        path = self._file_path(kind, generation)
        data = self.disk.read(path, MAX_FILE_BYTES)
        try:
            return records.decode_file(data, self.name)
        except UnusableStorageError as error:
            raise UnusableStorageError(error.problem, error.remedy, path) from None

    def load(self) -> tuple[ReplayedState, RecoveryReport]:
        """Return the state of the newest complete snapshot and the later journals, and a report."""
        state = ReplayedState()
        damaged = 0
        torn = 0
        migrated = 0
        contents_by_file = {file: self.read(*file) for file in self.files()}
        complete = (
            generation
            for (kind, generation), contents in contents_by_file.items()
            if kind == FileKind.SNAPSHOT and contents.is_complete
        )
        first_generation = max(complete, default=0)
        for (kind, generation), contents in contents_by_file.items():
            self.generation = max(self.generation, generation)
            if generation < first_generation or (kind == FileKind.SNAPSHOT and not contents.is_complete):
                continue
            for record in contents.records:
                state.add(record)
            damaged += contents.damaged_records
            torn += contents.torn_bytes
            migrated += contents.header is not None and contents.header.version < records.LAYOUT_VERSION
        return state, RecoveryReport(len(contents_by_file), damaged, torn, state.malformed_records, migrated)

    def begin_generation(self, now_ms: float) -> None:
        """Create the journal of a new generation; later records are appended to it."""
        generation = self.generation + 1
        path = self._file_path(FileKind.JOURNAL, generation)
        fd = self.disk.create(path, True)
        try:
            header = records.encode_header(FileKind.JOURNAL, self.name, generation, now_ms)
            write_all(self.disk, fd, header)
            if self.durability == "power":
                self.disk.sync(fd, False)
                self.disk.sync_directory(self.path)
        except OSError:
            self.disk.close(fd)
            with contextlib.suppress(OSError):
                self.disk.remove(path)
            raise
        if self.journal_fd != CLOSED:
            self.disk.close(self.journal_fd)
        self.journal_fd = fd
        self.journal_bytes = len(header)
        self.generation = generation

    def append(self, entries: list[tuple[int, Any]], sync: bool) -> None:
        """Append records, given as pairs of kind and body, in one write.

        With ``sync`` and durability ``power`` the records are on stable storage when this returns. After an
        OSError the journal is truncated to its previous size, since no record may follow a torn one.
        """
        data = b""
        for kind, body in entries:
            data += records.encode_record(kind, body, self.generation, self.journal_bytes + len(data))
        try:
            write_all(self.disk, self.journal_fd, data)
            if sync and self.durability == "power":
                self.disk.sync(self.journal_fd, True)
        except OSError:
            with contextlib.suppress(OSError):
                self.disk.truncate(self.journal_fd, self.journal_bytes)
            raise
        self.journal_bytes += len(data)

    def compact(self, snapshot: Iterator[tuple[int, Any]], now_ms: float) -> Iterator[None]:
        """Replace all files by a new journal and a snapshot, in short steps.

        Records appended between the steps go to the new journal. Each step takes one record from
        ``snapshot``; the record may already contain changes that the new journal repeats, which is harmless
        because all records are idempotent. If the compaction stops after any step, the directory still holds
        the whole state.
        """
        self.begin_generation(now_ms)
        yield
        generation = self.generation
        path = self._file_path(FileKind.SNAPSHOT, generation)
        yield from self._write_snapshot(path + TEMPORARY_SUFFIX, generation, snapshot, now_ms)
        yield
        self.disk.rename(path + TEMPORARY_SUFFIX, path)
        if self.durability == "power":
            self.disk.sync_directory(self.path)
        yield
        for kind, old_generation in self.files():
            if old_generation < generation:
                self.disk.remove(self._file_path(kind, old_generation))
                yield

    def remove_incomplete_snapshots(self) -> None:
        """Remove the temporary files of snapshots that were never completed."""
        for entry in self.disk.list_names(self.path):
            if entry.endswith(TEMPORARY_SUFFIX) and FILE_NAME.match(entry.removesuffix(TEMPORARY_SUFFIX)):
                self.disk.remove(self._path_of(entry))

    def total_bytes(self) -> int:
        """Return the size of all files in bytes."""
        return sum(self.disk.size(self._file_path(*file)) for file in self.files())

    def close(self) -> None:
        """Close the journal and release the lock. Further calls have no effect."""
        for fd in (self.journal_fd, self._lock_fd):
            if fd != CLOSED:
                self.disk.close(fd)
        self.journal_fd = CLOSED
        self._lock_fd = CLOSED

    def _write_snapshot(
        self, path: str, generation: int, snapshot: Iterator[tuple[int, Any]], now_ms: float
    ) -> Iterator[None]:
        fd = self.disk.create(path, False)
        try:
            data = records.encode_header(FileKind.SNAPSHOT, self.name, generation, now_ms)
            write_all(self.disk, fd, data)
            size = len(data)
            for kind, body in snapshot:
                data = records.encode_record(kind, body, generation, size)
                write_all(self.disk, fd, data)
                size += len(data)
                if self.durability == "power":
                    self.disk.sync(fd, True)  # one sync per slice leaves little for the final sync
                yield
            if self.durability == "power":
                self.disk.sync(fd, False)
        finally:
            self.disk.close(fd)

    def _path_of(self, name: str) -> str:
        return os.path.join(self.path, name)  # noqa: PTH118 (Path would normalize the operator's path)

    def _file_path(self, kind: int, generation: int) -> str:
        return self._path_of(f"{KIND_NAMES[FileKind(kind)]}-{generation:016d}")


def snapshot_records(
    keys: Sequence[Key],
    find: Callable[[Key], CompletedRequest | None],
    get_learned_record: Callable[[], dict[str, Any] | None],
    results_bytes: int,
) -> Iterator[tuple[int, Any]]:
    """Yield the records of a snapshot as pairs of kind and body.

    Each record is looked up only when it is requested. The order is: the keys, oldest first; the results,
    newest first, up to ``results_bytes`` in total; the learned state; the end record.
    """
    for start in range(0, len(keys), KEYS_PER_RECORD):
        keyed_requests = ((key, find(key)) for key in keys[start : start + KEYS_PER_RECORD])
        if run_rows := [
            [key, request.content_hash, request.bound_until_ms] for key, request in keyed_requests if request
        ]:
            yield RecordKind.RUNS_STARTED, run_rows
    yield from _result_records(keys, find, results_bytes)
    learned_record = get_learned_record()
    if learned_record is not None:
        yield RecordKind.LEARNED_STATE, learned_record
    yield RecordKind.SNAPSHOT_END, len(keys)


def _result_records(
    keys: Sequence[Key], find: Callable[[Key], CompletedRequest | None], results_bytes: int
) -> Iterator[tuple[int, Any]]:
    results = list[list[Any]]()
    size = 0
    total = 0
    for key in reversed(keys):
        request = find(key)
        if request is None or request.result is None:
            continue
        total += len(request.result)
        if total > results_bytes:
            break
        results.append([key, request.result])
        size += len(request.result)
        if size >= RESULT_BYTES_PER_RECORD:
            yield RecordKind.RESULTS, results
            results = []
            size = 0
    if results:
        yield RecordKind.RESULTS, results
