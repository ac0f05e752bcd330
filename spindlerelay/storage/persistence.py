"""Persistence across restarts: the link between node, admission controller and journal, on the node's loop.

The runs of a turn are recorded in one write at the end of its step, before their commands leave. Whatever the
disk does, the node goes on serving: it logs the failure once and retries with a whole new snapshot, which
holds everything that was missed.

Owns the schedule of writes and compactions. Must not know the layout of files.
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
DISCARD_TEXTS = {
    DiscardReason.OTHER_SETTINGS: "of other settings or cores",
    DiscardReason.TOO_OLD: "too old",
    DiscardReason.FROM_THE_FUTURE: "from the future",
    DiscardReason.MALFORMED: "without sense",
}


class Options(NamedTuple):
    """The operator's options."""

    compact_bytes: int  # a smaller journal is not compacted
    results_bytes: int  # the most that a snapshot holds of results
    processor_model: str = ""  # of the processor


class StoredRun(Protocol):
    """A keyed request that has run."""

    content_hash: int
    window_end_ms: float
    result: bytes | None


class RunTable(Protocol):
    """What is stored and restored of the node's idempotency table."""

    max_records: int

    def keys(self) -> Sequence[Hashable]:
        """Return all keys, oldest first."""
        ...

    def restore(self, key: str, content: int, bound_until: float, result: bytes | None) -> None:
        """Take back a request that ran in an earlier process."""
        ...

    def find_run(self, key: Any) -> StoredRun | None:
        """Return the run under a key, None where there was none."""
        ...


class Learner(Protocol):
    """What is stored and restored of the admission controller."""

    def learned_state(self) -> LearnedState:
        """Return what may outlive the process."""
        ...

    def restore(self, learned: LearnedState) -> None:
        """Take back what an earlier process learned."""
        ...


class WriteState(Enum):
    """Whether records reach the disk."""

    HEALTHY = "healthy"
    FAILED = "failed"  # nothing is written until a compaction begins
    RECOVERING = "recovering"  # records are written again; those missed will be in the snapshot


TRANSITIONS: dict[WriteState, frozenset[WriteState]] = {
    WriteState.HEALTHY: frozenset({WriteState.FAILED}),
    WriteState.FAILED: frozenset({WriteState.RECOVERING}),
    WriteState.RECOVERING: frozenset({WriteState.HEALTHY, WriteState.FAILED}),
}


@contextlib.contextmanager
def garbage_collection_disabled() -> Iterator[None]:
    """Suspend the cyclic garbage collector, for work that creates many objects and drops few."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class PersistenceFeature:
    """A feature of the service, and the node's recorder of keyed runs.

    Construction restores what earlier processes left; UnusableError or OSError where the directory cannot be
    used.
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
        self.missed_records = 0  # since the first failed write
        self._runs: list[list[Any]] = []
        self._results: list[list[Any]] = []
        self._voids: list[str] = []
        self._learned_record: dict[str, Any] | None = None
        self._compaction_steps: Iterator[None] | None = None
        self._snapshot_bytes = 0
        with garbage_collection_disabled():
            self._restore()
        directory.remove_incomplete_snapshots()
        self._begin_journal()
        loop.call_later(LEARNED_STATE_INTERVAL_MS, self._record_learned_state_periodically)

    # Recorder of the node

    def record_run(self, key: str, content_hash: int, window_end_ms: float) -> None:
        """Record that a run starts, and binds its key until a time in Unix ms."""
        self._runs.append([key, content_hash, window_end_ms])

    def record_result(self, key: str, result: bytes) -> None:
        """Record the result of a run."""
        self._results.append([key, result])

    def revoke_run(self, key: str) -> None:
        """Record that a run never happened."""
        self._voids.append(key)

    def commit(self) -> None:
        """Write all that a step has recorded, before any of its commands leaves the process."""
        if not (self._runs or self._results or self._voids):
            return
        sync = bool(self._runs)
        entries = list[tuple[int, Any]]()
        if self._runs:
            entries.append((RecordKind.RUNS_STARTED, self._runs))
        if self._results:
            entries.append((RecordKind.RESULTS, self._results))
        if self._voids:
            entries.append((RecordKind.RUNS_VOIDED, self._voids))
        self._append(entries, sync)
        self._runs = []
        self._results = []
        self._voids = []

    # Feature of the service

    def start_shutdown(self) -> None:
        """Go on: runs continue while the node drains, and are recorded."""

    def reload(self) -> None:
        """Go on with the same directory and options until the process ends."""

    def close(self) -> None:
        """Write what is left and release the directory."""
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
        place = self.directory.path
        logger.info("storage: {} orders bound, {} with a result, from {}", len(newest), results, place)
        self._log_recovery(report, beyond_window)
        self._restore_learned_state(state.learned_record, now_ms)

    def _log_recovery(self, report: RecoveryReport, beyond_window: int) -> None:
        unreadable = report.damaged_records + report.malformed_records
        if report.torn_bytes:
            logger.warning("storage: torn record at the end of a file: {} bytes ignored", report.torn_bytes)
        if unreadable:
            logger.error("storage: {} damaged records ignored", unreadable)
        if report.migrated_files:
            logger.info("storage: {} files of an older layout migrated", report.migrated_files)
        if beyond_window:
            logger.warning(
                "storage: the clock has gone back: {} bindings cut to one window from now", beyond_window
            )

    def _restore_learned_state(self, record: dict[str, Any] | None, now_ms: float) -> None:
        if record is None or self.learner is None:
            return
        class_width = len(self.learner.learned_state().class_statistics[0])
        restored = learned_state_decay.from_record(
            record, now_ms, self.fingerprint, self.settings, class_width
        )
        if isinstance(restored, DiscardReason):
            logger.info("storage: learned state discarded, {}: cold start", DISCARD_TEXTS[restored])
            return
        self.learner.restore(restored)
        self._learned_record = record
        age_s = learned_state_decay.age_ms(record, now_ms) / 1000.0
        logger.info("storage: learned state of {:.0f} s ago restored", age_s)

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
        """Serve on; until a snapshot succeeds, no binding outlives the process."""
        if self.write_state is WriteState.HEALTHY:
            logger.error("storage: write failed, the node goes on serving: {}", error.strerror)
        self._enter(WriteState.FAILED)
        self._compaction_steps = None
        self.loop.call_later(RETRY_INTERVAL_MS, self._begin_compaction)

    def _enter(self, state: WriteState) -> None:
        """Change the state; nothing happens where the current one has no such transition."""
        if state in TRANSITIONS[self.write_state]:
            self.write_state = state

    # Compaction, one step per timer

    def _begin_compaction(self) -> None:
        """Begin a compaction; from its first step on, with its new journal, records are written again."""
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
            self._enter(WriteState.RECOVERING)
            self.loop.call_later(COMPACTION_STEP_INTERVAL_MS, self._continue_compaction)
        except OSError as error:
            self._on_failure(error)

    def _continue_compaction(self) -> None:
        if self._compaction_steps is None:  # a write has failed meanwhile
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
                "storage: writes succeed again, the snapshot holds {} missed records", self.missed_records
            )
        self._enter(WriteState.HEALTHY)
        self.missed_records = 0
        with contextlib.suppress(OSError):
            self._snapshot_bytes = self.directory.total_bytes() - self.directory.journal_bytes

    def _completed_request(self, key: Hashable) -> CompletedRequest | None:
        run = self.run_table.find_run(key) if isinstance(key, str) else None  # other keys only share results
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
