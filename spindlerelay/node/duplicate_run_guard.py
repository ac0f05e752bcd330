"""Prevents a second run of a keyed request, after a run in this process, a concurrent one or an earlier one.

Owns the idempotency table, the claims shared with other processes of this node and the records on disk. It
does not decide which request runs; it only forbids duplicate runs.
"""

from __future__ import annotations

from spindlerelay import api
from spindlerelay.node.idempotency import IdempotencyRecord, IdempotencyTable
from spindlerelay.node.protocols import Persistence
from spindlerelay.node.request import RequestContext
from spindlerelay.storage.idempotency_claims import ClaimTimes, IdempotencyClaims

RETENTION_MARGIN_MS = 6000.0  # records outlast the last attempt that can be answered in time by so much


class DuplicateRunGuard:
    """Records of keyed requests that ran in any process of this node."""

    def __init__(self, memory_mb: float, settings: api.Settings) -> None:
        self.table = IdempotencyTable(memory_mb)
        self.claims: IdempotencyClaims | None = None  # shared with the other process during a handover
        self.persistence: Persistence | None = None
        self._retention_ms = 0.0
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Keep records and claims for longer after their window than an attempt in it may wait to run.

        Such an attempt may be read late, and is then held until its deadline at most.
        """
        longest_deadline_ms = max(spec.deadline_ms for spec in settings.classes)
        self._retention_ms = RETENTION_MARGIN_MS + longest_deadline_ms
        self.table.retention_ms = self._retention_ms

    def find_run(self, request: RequestContext) -> IdempotencyRecord | None:
        """Return the record of the run in this process that answers this attempt, None if there is none."""
        if not isinstance(request.key, str):
            return None
        return self.table.find_run(request.key, request.incoming.received_at_ms)

    def _may_be_forgotten(self, request: RequestContext, now_ms: float) -> bool:
        """Return whether a run that forbids this attempt may have been forgotten."""
        return now_ms - request.incoming.received_at_ms > self._retention_ms

    def may_have_run(self, request: RequestContext, now_ms: float) -> bool:
        """Return whether a keyed request may have run, here or in another process of this node."""
        if not isinstance(request.key, str):
            return False
        if self.find_run(request) or self._may_be_forgotten(request, now_ms):
            return True
        return self.claims is not None and self.claims.is_claimed(
            request.key, request.incoming.received_at_ms
        )

    def may_run(self, request: RequestContext, now_ms: float) -> bool:
        """Return whether the table allows this attempt to run."""
        if not isinstance(request.key, str):
            return True
        if self._may_be_forgotten(request, now_ms):
            return False
        return self.table.may_run(request.id, request.key, request.incoming.received_at_ms)

    def claim(self, request: RequestContext, now_ms: float, window_end_ms: float) -> bool:
        """Claim a keyed request for this process; return False if another process may have run it.

        The claim is kept from the later of now and the end of the window, since an attempt whose window has
        ended may have waited itself.
        """
        if self.claims is None or not isinstance(request.key, str):
            return True
        expires_at_ms = max(now_ms, window_end_ms) + self._retention_ms
        times = ClaimTimes(window_end_ms, expires_at_ms)
        return self.claims.claim(request.key, request.incoming.received_at_ms, times)

    def record_run(self, request: RequestContext, window_end_ms: float) -> None:
        """Record that this attempt runs now; no other attempt received until ``window_end_ms`` may run."""
        if not isinstance(request.key, str):
            return
        self.table.record_run(request.id, window_end_ms)
        if self.persistence is not None:
            self.persistence.record_run(request.key, request.incoming.content_hash(), window_end_ms)

    def revoke_run(self, request: RequestContext) -> None:
        """Record that this attempt, recorded as run, never started."""
        self.table.revoke_run(request.id)
        if self.persistence is not None and isinstance(request.key, str):
            self.persistence.revoke_run(request.key)

    def finish_run(self, request: RequestContext, result: bytes | None) -> list[int]:
        """Record the end of a run, and return the ids of the attempts that share its result."""
        coalesced_ids = self.table.finish(request.id, result) if request.key is not None else []
        if self.persistence is not None and result is not None and isinstance(request.key, str):
            self.persistence.record_result(request.key, result)
        return coalesced_ids

    def expire(self, now_ms: float) -> None:
        """Remove expired records and claims."""
        self.table.expire(now_ms)
        if self.claims is not None:
            self.claims.remove_expired(now_ms, self._retention_ms)
