"""The idempotency table: the original attempt of each request, the attempt that ran, and its result.

The table prevents duplicate runs within one process whatever the admission controller decides, and bounds its
own memory. Pure: the caller passes the time. Ids are the node's ids of attempts; times are in Unix
milliseconds. The run of an attempt forbids a run of every attempt received within the idempotency window,
which is counted from the ``received_at_ms`` of the attempt that ran. Attempts may be read late, and in
another order than they were received, so the record of a run is kept for some time after its window, also
while a later attempt has the key.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass, field

PROCESS_MEMORY_MB = 32.0  # memory of the process without results, with all connections in use
RESULTS_MEMORY_FRACTION = 0.25  # share of the remaining memory that cached results may take
RECORDS_PER_MB = 250  # a record takes about 0.5 KB
MIN_EXPIRATIONS_LIMIT = 128  # the heap of expiry times holds so many entries, or twice those in use
EXPIRY_RETRY_MS = 1000.0  # delay of the next check of an expired record whose run has not ended
DEFAULT_RETENTION_MS = 6000.0  # a record of a run is kept this long after its window
# While a run is unfinished, attempts received this long after its window still wait for it.
COALESCING_AFTER_WINDOW_MS = 6000.0

# An idempotency key, or for reads that share a result the indices of class and resource.
Key = str | tuple[int, int]


@dataclass(slots=True, eq=False)
class IdempotencyRecord:
    """The record of one request.

    Attributes:
        key: key that all attempts of the request share.
        original_id: id of the attempt that later attempts are linked to.
        content_hash: hash of the content that all attempts have in common, 0 if unknown.
        reserved_until_ms: end of the reservation by the admission controller, 0 if there is none.
        run_id: id of the attempt that ran, 0 if none has.
        window_end_ms: end of the idempotency window; no other attempt received before it may run.
        finished: whether the original attempt has ended.
        result: cached result of the run.
        coalesced_ids: ids of the attempts that wait for the result.
    """

    key: Key
    original_id: int
    content_hash: int
    reserved_until_ms: float = 0.0
    run_id: int = 0
    window_end_ms: float = 0.0
    finished: bool = False
    result: bytes | None = None
    coalesced_ids: list[int] = field(default_factory=list)

    def expires_at_ms(self, retention_ms: float) -> float:
        """Return the time from which the record may be removed."""
        return max(self.reserved_until_ms, self.window_end_ms + retention_ms if self.run_id else 0.0)


class IdempotencyTable:
    """Records of requests by key.

    A batch is the set of attempts of one step. A record that is neither reserved nor run lives for one batch,
    to link the attempts in it.
    """

    def __init__(self, memory_mb: float = 192.0) -> None:
        self.max_result_bytes = int(
            max(1.0, (memory_mb - PROCESS_MEMORY_MB) * RESULTS_MEMORY_FRACTION) * (1 << 20)
        )
        self.max_records = int(memory_mb * RECORDS_PER_MB)
        self.retention_ms = DEFAULT_RETENTION_MS
        self.result_bytes = 0
        self._records: dict[Key, IdempotencyRecord] = {}
        # Records of runs whose key an attempt received after the window has, the newest of each key.
        self._superseded: dict[Key, IdempotencyRecord] = {}
        self._by_original_id: dict[int, IdempotencyRecord] = {}
        self._batch: list[IdempotencyRecord] = []
        self._records_with_result: OrderedDict[IdempotencyRecord, None] = OrderedDict()
        # Heap with entries for the records that are or were reserved, or were restored. Entries of removed
        # records stay until they expire, or until the heap reaches its limit.
        self._expiration_heap: list[tuple[float, int, IdempotencyRecord]] = []
        self._max_expirations = MIN_EXPIRATIONS_LIMIT
        self._sequence_numbers = itertools.count()
        self._last_restored_id = 0

    def __len__(self) -> int:
        return len(self._records) + len(self._superseded)

    def matches(self, key: Key, content_hash: int) -> bool:
        """Return whether an attempt with this key and content may belong to the recorded request."""
        record = self._records.get(key)
        return record is None or record.content_hash == content_hash or not record.content_hash

    def link(
        self, key: Key, request_id: int, received_at_ms: float, now_ms: float, content_hash: int = 0
    ) -> int:
        """Return the id of the original attempt that this one repeats, 0 if this is the original."""
        if superseded := self._superseded_run(key, received_at_ms):
            return superseded.original_id
        record = self._records.get(key)
        if record:
            # While the first run is unfinished, an attempt received after the window is linked to it, too: a
            # concurrent second run would serve no caller.
            linkable_until_ms = record.window_end_ms + (
                0.0 if record.finished else COALESCING_AFTER_WINDOW_MS
            )
            is_current = record.reserved_until_ms >= min(received_at_ms, now_ms) or (
                record.run_id and received_at_ms <= linkable_until_ms
            )
            if is_current or record in self._batch:
                return record.original_id
            self._release_key(record)
        record = self._add_record(key, request_id, content_hash)
        self._batch.append(record)
        return 0

    def end_batch(self) -> None:
        """Remove the records of this batch that were neither reserved nor run."""
        batch = self._batch
        self._batch = []
        for record in batch:
            if not record.reserved_until_ms and not record.run_id:
                self._remove(record)

    def reserve(self, request_id: int, key: Key, until_ms: float, content_hash: int = 0) -> None:
        """Reserve the key for an attempt, or extend its reservation.

        A full table makes no new reservation; an attempt without one must not run.
        """
        record = self._records.get(key)
        if record is None:
            record = self._add_record(key, request_id, content_hash)
        if not record.reserved_until_ms and len(self) > self.max_records:
            return
        if record.original_id != request_id and not record.run_id:
            self._by_original_id.pop(record.original_id, None)
            record.original_id = request_id
            self._by_original_id[request_id] = record
        if not record.reserved_until_ms:
            self._expire_at(until_ms, record)
        record.reserved_until_ms = max(record.reserved_until_ms, until_ms)

    def evict(self, request_id: int) -> None:
        """End the reservation of an attempt. The record of a run is kept, to prevent a second run."""
        record = self._by_original_id.get(request_id)
        if record:
            record.reserved_until_ms = 0.0
            if not record.run_id:
                self._remove(record)

    def may_run(self, request_id: int, key: Key, received_at_ms: float = math.inf) -> bool:
        """Return whether the attempt is reserved and no attempt has run within the window."""
        if self._superseded_run(key, received_at_ms):
            return False
        record = self._records.get(key)
        return (
            record is not None
            and record.original_id == request_id
            and not record.run_id
            and record.reserved_until_ms > 0
        )

    def record_run(self, request_id: int, window_end_ms: float) -> None:
        """Record that this attempt runs now."""
        record = self._by_original_id.get(request_id)
        if record:
            record.run_id = request_id
            record.window_end_ms = window_end_ms

    def revoke_run(self, request_id: int) -> None:
        """Record that the attempt, recorded as run, never started: another attempt may run."""
        record = self._by_original_id.get(request_id)
        if record and record.run_id == request_id:
            record.run_id = 0
            record.window_end_ms = 0.0

    def has_coalesced(self, request_id: int) -> bool:
        """Return whether other attempts wait for the result of this one."""
        record = self._by_original_id.get(request_id)
        return record is not None and bool(record.coalesced_ids)

    def keys(self) -> list[Key]:
        """Return the keys of all records, oldest first."""
        return list(self._records)

    def restore(self, key: str, content_hash: int, window_end_ms: float, result: bytes | None) -> None:
        """Add a request that ran in an earlier process, under a negative id, which no attempt has."""
        if key in self._records:
            return
        self._last_restored_id -= 1
        record = self._add_record(key, self._last_restored_id, content_hash)
        record.run_id = record.original_id
        record.window_end_ms = window_end_ms
        record.finished = True
        self._expire_at(window_end_ms + self.retention_ms, record)
        if result is not None:
            self._store_result(record, result)

    def find_run(self, key: Key, received_at_ms: float = math.inf) -> IdempotencyRecord | None:
        """Return the record of a run here, None if there was none.

        An attempt received within the window of an earlier run gets the record of that run.
        """
        if superseded := self._superseded_run(key, received_at_ms):
            return superseded
        record = self._records.get(key)
        return record if record and record.run_id else None

    def coalesce(self, original_id: int, request_id: int) -> IdempotencyRecord | None:
        """Coalesce an attempt with its original, and return the original's record, None if it was removed.

        If the original is unfinished, ``finish`` will return this attempt's id.
        """
        record = self._by_original_id.get(original_id)
        if record and not record.finished:
            record.coalesced_ids.append(request_id)
        return record

    def detach(self, original_id: int, request_id: int) -> None:
        """Remove the attempt from those that wait for the original."""
        record = self._by_original_id.get(original_id)
        if record and request_id in record.coalesced_ids:
            record.coalesced_ids.remove(request_id)

    def finish(self, request_id: int, result: bytes | None) -> list[int]:
        """Record the end of an attempt, and return the ids of the attempts that share its result."""
        record = self._by_original_id.get(request_id)
        if record is None or record.finished:
            return []
        coalesced_ids = record.coalesced_ids
        record.coalesced_ids = []
        record.finished = True
        if result is not None:
            self._store_result(record, result)
        if not record.run_id and record not in self._batch:
            self._remove(record)
        return coalesced_ids

    def expire(self, now_ms: float) -> None:
        """Remove the expired records of requests that are not running."""
        while self._expiration_heap and self._expiration_heap[0][0] <= now_ms:
            _, sequence_number, record = heapq.heappop(self._expiration_heap)
            if not self._holds(record):
                continue
            is_inactive = (record.finished or not record.run_id) and record not in self._batch
            expires_at_ms = record.expires_at_ms(self.retention_ms)
            if expires_at_ms <= now_ms and is_inactive:
                self._remove(record)
            else:
                retry_at_ms = max(expires_at_ms, now_ms + EXPIRY_RETRY_MS)
                heapq.heappush(self._expiration_heap, (retry_at_ms, sequence_number, record))

    def _expire_at(self, time_ms: float, record: IdempotencyRecord) -> None:
        heapq.heappush(self._expiration_heap, (time_ms, next(self._sequence_numbers), record))
        if len(self._expiration_heap) > self._max_expirations:
            in_use = {entry[2]: entry for entry in self._expiration_heap if self._holds(entry[2])}
            self._expiration_heap = list(in_use.values())
            heapq.heapify(self._expiration_heap)
            self._max_expirations = max(MIN_EXPIRATIONS_LIMIT, 2 * len(in_use))

    def _holds(self, record: IdempotencyRecord) -> bool:
        return self._records.get(record.key) is record or self._superseded.get(record.key) is record

    def _superseded_run(self, key: Key, received_at_ms: float) -> IdempotencyRecord | None:
        """Return the superseded run that forbids a run of an attempt received at this time."""
        record = self._superseded.get(key)
        return record if record is not None and received_at_ms <= record.window_end_ms else None

    def _release_key(self, record: IdempotencyRecord) -> None:
        """Free the key of a record for a later attempt; a run stays known to attempts in its window.

        Its window ends after the windows of all earlier runs of the key, so it stands for them, too.
        """
        if not record.run_id:
            self._remove(record)
            return
        if earlier := self._superseded.get(record.key):
            self._remove(earlier)
        del self._records[record.key]
        self._superseded[record.key] = record

    def _add_record(self, key: Key, original_id: int, content_hash: int) -> IdempotencyRecord:
        record = IdempotencyRecord(key, original_id, content_hash)
        self._records[key] = record
        self._by_original_id[original_id] = record
        return record

    def _store_result(self, record: IdempotencyRecord, result: bytes) -> None:
        record.result = result
        self._records_with_result[record] = None
        self.result_bytes += len(result)
        # Evicts results only, oldest first: without the record of its run a request could run again.
        while self.result_bytes > self.max_result_bytes:
            self._drop_result(next(iter(self._records_with_result)))

    def _drop_result(self, record: IdempotencyRecord) -> None:
        if record.result is not None:
            self._records_with_result.pop(record, None)
            self.result_bytes -= len(record.result)
            record.result = None

    def _remove(self, record: IdempotencyRecord) -> None:
        self._drop_result(record)
        for records in (self._records, self._superseded):
            if records.get(record.key) is record:
                del records[record.key]
        self._by_original_id.pop(record.original_id, None)
