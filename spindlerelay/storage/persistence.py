"""Persistence across restarts: stores the keyed requests and the learned state of a node.

All runs that a step starts are recorded in one write at the end of the step, before their commands leave the
process. The node goes on serving when the disk fails: it logs the failure once and retries with a complete
new snapshot, which contains every record that was missed.

This module owns the schedule of writes and compactions. It does not know the layout of the files.
"""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Hashable, Iterator, Sequence
from enum import Enum
from typing import Any, NamedTuple, Protocol

from loguru import logger

from spindlerelay.api import LearnedState, Settings
from spindlerelay.storage import journal_directory, learned_state_decay, settings_fingerprint
from spindlerelay.storage.journal_directory import RecoveryReport
from spindlerelay.storage.learned_state_decay import DiscardReason
from spindlerelay.storage.records import RecordKind
from spindlerelay.storage.replayed_state import GRACE_MS, CompletedRequest
from spindlerelay.transport.event_loop import EventLoop

LEARNED_STATE_INTERVAL_MS = 1000.0
COMPACTION_STEP_INTERVAL_MS = 5.0
RETRY_INTERVAL_MS = 2000.0
DISCARD_REASON_TEXTS = {
    DiscardReason.OTHER_SETTINGS: "it was learned under other settings or on another processor model",
    DiscardReason.TOO_OLD: "it is too old",
    DiscardReason.FROM_THE_FUTURE: "its time is in the future",
    DiscardReason.MALFORMED: "its record is malformed",
}


class Options(NamedTuple):
    """The operator's options.

    Attributes:
        compact_bytes: minimum size of the journal for a compaction.
        results_bytes: maximum total size of the results in a snapshot.
        processor_model: model name of the processor, a part of the fingerprint.
    """

    compact_bytes: int
    results_bytes: int
    processor_model: str = ""


class StoredRun(Protocol):
    """A keyed request that has run, as the node's idempotency table holds it."""

    content_hash: int
    window_end_ms: float
    result: bytes | None


class RunTable(Protocol):
    """The operations on the node's idempotency table that storing and restoring need."""

    max_records: int

    def keys(self) -> Sequence[Hashable]:
        """Return all keys, oldest first."""
        ...

    def restore(self, key: str, content_hash: int, window_end_ms: float, result: bytes | None) -> None:
        """Add a request that ran in an earlier process."""
        ...

    def find_run(self, key: Any) -> StoredRun | None:
        """Return the run of a key, or None if the key has not run."""
        ...


class Learner(Protocol):
    """The operations on the admission controller that storing and restoring need."""

    def learned_state(self) -> LearnedState:
        """Return the learned state to store."""
        ...

    def restore(self, learned: LearnedState) -> None:
        """Apply the learned state of an earlier process."""
        ...


class WriteState(Enum):
    """Whether records reach the disk."""

    HEALTHY = "healthy"
    FAILED = "failed"  # no record is written until a compaction begins
    RECOVERING = "recovering"  # records are written again; the snapshot in progress adds the missed records


WRITE_STATE_TRANSITIONS: dict[WriteState, frozenset[WriteState]] = {
    WriteState.HEALTHY: frozenset({WriteState.FAILED}),
    WriteState.FAILED: frozenset({WriteState.RECOVERING}),
    WriteState.RECOVERING: frozenset({WriteState.HEALTHY, WriteState.FAILED}),
}


@contextlib.contextmanager
def garbage_collection_disabled() -> Iterator[None]:
    """Suspend the cyclic garbage collector during work that allocates many objects and frees few."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class PersistenceFeature:
    """A feature of the service that records keyed runs and the learned state, and restores them.

    Construction restores the state that earlier processes stored.

    Raises:
        UnusableStorageError: The files belong to another node or a newer version.
        OSError: The directory cannot be read.
    """

    def __init__(
        self,
        loop: EventLoop,
        directory: journal_directory.JournalDirectory,
        options: Options,
        settings: Settings,
        run_table: RunTable,
        learner: Learner | None,
    ) -> None:
        self.loop = loop
        self.directory = directory
        self.options = options
        self.settings = settings
        self.run_table = run_table
        self.learner = learner
        self.fingerprint = settings_fingerprint.fingerprint(settings, options.processor_model)
        self.write_state = WriteState.HEALTHY
        self.missed_records = 0  # records not written since the first failed write
        self._runs: list[list[Any]] = []
        self._results: list[list[Any]] = []
        self._voided_keys: list[str] = []
        self._learned_record: dict[str, Any] | None = None
        self._compaction_steps: Iterator[None] | None = None
        self._snapshot_bytes = 0
        with garbage_collection_disabled():
            self._restore()
        directory.remove_incomplete_snapshots()
        self._begin_journal()
        loop.call_later(LEARNED_STATE_INTERVAL_MS, self._record_learned_state_periodically)

    # Called by the node

    def record_run(self, key: str, content_hash: int, window_end_ms: float) -> None:
        """Record that a run starts; its key stays bound to it until ``window_end_ms`` in Unix ms."""
        self._runs.append([key, content_hash, window_end_ms])

    def record_result(self, key: str, result: bytes) -> None:
        """Record the result of a run."""
        self._results.append([key, result])

    def revoke_run(self, key: str) -> None:
        """Record that a run never happened."""
        self._voided_keys.append(key)

    def commit(self) -> None:
        """Write all records of a step, before any command of the step leaves the process."""
        if not (self._runs or self._results or self._voided_keys):
            return
        sync = bool(self._runs)
        entries = list[tuple[int, Any]]()
        if self._runs:
            entries.append((RecordKind.RUNS_STARTED, self._runs))
        if self._results:
            entries.append((RecordKind.RESULTS, self._results))
        if self._voided_keys:
            entries.append((RecordKind.RUNS_VOIDED, self._voided_keys))
        self._append(entries, sync)
        self._runs = []
        self._results = []
        self._voided_keys = []

    # Called by the service

    def start_shutdown(self) -> None:
        """Do nothing: runs continue while the node drains, and are recorded."""

    def reload(self) -> None:
        """Do nothing: the directory and the options stay the same until the process ends."""

    def close(self) -> None:
        """Write the remaining records and the learned state, and release the directory."""
        self.commit()
        self._record_learned_state()
        self.directory.close()

    # Recovery

    def _max_binding_ms(self) -> float:
        return max(spec.idempotency_window_ms + spec.deadline_ms for spec in self.settings.classes)

    def _restore(self) -> None:
        now_ms = self.loop.now()
        state, report = self.directory.load()
        bound, beyond_window = state.bound_requests(now_ms, self._max_binding_ms())
        newest = sorted(bound.items(), key=lambda item: item[1].bound_until_ms)[-self.run_table.max_records :]
        for key, request in newest:
            self.run_table.restore(key, request.content_hash, request.bound_until_ms, request.result)
        results = sum(request.result is not None for _, request in newest)
        path = self.directory.path
        logger.info(
            "storage: {} keyed requests restored, {} with a result, from {}", len(newest), results, path
        )
        self._log_recovery(report, beyond_window)
        self._restore_learned_state(state.learned_record, now_ms)

    def _log_recovery(self, report: RecoveryReport, beyond_window: int) -> None:
        unreadable = report.damaged_records + report.malformed_records
        if report.torn_bytes:
            logger.warning("storage: torn record at the end of a file: {} bytes ignored", report.torn_bytes)
        if unreadable:
            logger.error("storage: {} damaged or malformed records ignored", unreadable)
        if report.migrated_files:
            logger.info("storage: {} files of an older layout migrated", report.migrated_files)
        if beyond_window:
            logger.warning(
                "storage: the clock was set back: {} keys stay bound for one idempotency window from now",
                beyond_window,
            )

    def _restore_learned_state(self, record: dict[str, Any] | None, now_ms: float) -> None:
        if record is None or self.learner is None:
            return
        statistics_per_class = len(self.learner.learned_state().class_statistics[0])
        restored = learned_state_decay.from_record(
            record, now_ms, self.fingerprint, self.settings, statistics_per_class
        )
        if isinstance(restored, DiscardReason):
            logger.info("storage: learned state discarded, {}: cold start", DISCARD_REASON_TEXTS[restored])
            return
        self.learner.restore(restored)
        self._learned_record = record
        age_s = learned_state_decay.age_ms(record, now_ms) / 1000.0
        logger.info("storage: learned state restored, {:.0f} s old", age_s)

    def _begin_journal(self) -> None:
        try:
            self.directory.begin_generation(self.loop.now())
        except OSError as error:
            self._on_failure(error)

    # Writes

    def _append(self, entries: list[tuple[int, Any]], sync: bool = False) -> None:
        if self.write_state is WriteState.FAILED:
            self.missed_records += len(entries)
            return
        try:
            self.directory.append(entries, sync)
        except OSError as error:
            self.missed_records += len(entries)
            self._on_failure(error)
            return
        if self.directory.journal_bytes > max(self.options.compact_bytes, 2 * self._snapshot_bytes):
            self._begin_compaction()

    def _on_failure(self, error: OSError) -> None:
        """Stop writing and schedule a compaction; until it completes, the missed runs are not stored."""
        if self.write_state is WriteState.HEALTHY:
            logger.error("storage: write failed, the node goes on serving: {}", error.strerror)
        self._transition_to(WriteState.FAILED)
        self._compaction_steps = None
        self.loop.call_later(RETRY_INTERVAL_MS, self._begin_compaction)

    def _transition_to(self, new_state: WriteState) -> None:
        """Change the write state; a transition that the current state does not allow is ignored."""
        if new_state in WRITE_STATE_TRANSITIONS[self.write_state]:
            self.write_state = new_state

    # Compaction, one step per timer call

    def _begin_compaction(self) -> None:
        """Begin a compaction; its first step opens a new journal, to which records are written again."""
        if self._compaction_steps is not None:
            return
        snapshot = journal_directory.snapshot_records(
            self.run_table.keys(),
            self._completed_request,
            lambda: self._learned_record,
            self.options.results_bytes,
        )
        self._compaction_steps = self.directory.compact(snapshot, self.loop.now())
        try:
            next(self._compaction_steps)
            self._transition_to(WriteState.RECOVERING)
            self.loop.call_later(COMPACTION_STEP_INTERVAL_MS, self._continue_compaction)
        except OSError as error:
            self._on_failure(error)

    def _continue_compaction(self) -> None:
        if self._compaction_steps is None:  # a write has failed since the last step and ended the compaction
            return
        try:
            next(self._compaction_steps)
            self.loop.call_later(COMPACTION_STEP_INTERVAL_MS, self._continue_compaction)
        except StopIteration:
            self._on_compacted()
        except OSError as error:
            self._on_failure(error)

    def _on_compacted(self) -> None:
        self._compaction_steps = None
        if self.write_state is WriteState.RECOVERING:
            logger.info(
                "storage: writes succeed again, the snapshot contains {} missed records", self.missed_records
            )
        self._transition_to(WriteState.HEALTHY)
        self.missed_records = 0
        with contextlib.suppress(OSError):
            self._snapshot_bytes = self.directory.total_bytes() - self.directory.journal_bytes

    def _completed_request(self, key: Hashable) -> CompletedRequest | None:
        # Keys that are not strings only share results; they bind no run.
        run = self.run_table.find_run(key) if isinstance(key, str) else None
        if run is None or run.window_end_ms + GRACE_MS <= self.loop.now():
            return None
        return CompletedRequest(run.content_hash, run.window_end_ms, run.result)

    # Learned state

    def _record_learned_state_periodically(self) -> None:
        self.loop.call_later(LEARNED_STATE_INTERVAL_MS, self._record_learned_state_periodically)
        self._record_learned_state()

    def _record_learned_state(self) -> None:
        if self.learner is not None:
            learned = self.learner.learned_state()
            self._learned_record = learned_state_decay.to_record(learned, self.loop.now(), self.fingerprint)
            self._append([(RecordKind.LEARNED_STATE, self._learned_record)])
