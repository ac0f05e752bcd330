"""Prevents a second run of a request with an effect in this process, a concurrent one or an earlier one.

A keyed request is known by its idempotency key, one that must not be repeated by its call id. This module
owns the idempotency table, the call ids of the latter, the claims shared with other processes of this node
and the records on disk. It does not decide which request runs; it only forbids duplicate runs.
"""

from __future__ import annotations

from collections import OrderedDict

from spindlerelay import api
from spindlerelay.node.idempotency import IdempotencyRecord, IdempotencyTable
from spindlerelay.node.protocols import Persistence
from spindlerelay.node.request import RequestContext
from spindlerelay.storage.idempotency_claims import ClaimTimes, IdempotencyClaims

RETENTION_MARGIN_MS = 6000.0  # records outlast the last attempt that can be answered in time by so much


class DuplicateRunGuard:
    """Records of requests with an effect that ran in any process of this node."""

    def __init__(self, memory_mb: float, settings: api.Settings) -> None:
        self.table = IdempotencyTable(memory_mb)
        self.claims: IdempotencyClaims | None = None  # shared with the other process during a handover
        self.persistence: Persistence | None = None
        self._retention_ms = 0.0
        self._unrepeatable_classes: frozenset[int] = frozenset()
        # Calls of these classes that ran, with the time until which each is remembered, in order of run.
        self._ran_calls: OrderedDict[str, float] = OrderedDict()
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Keep records and claims for longer after their window than an attempt in it may wait to run.

        Such an attempt may be read late, and is then held until its deadline at most.
        """
        longest_deadline_ms = max(spec.deadline_ms for spec in settings.classes)
        self._retention_ms = RETENTION_MARGIN_MS + longest_deadline_ms
        self.table.retention_ms = self._retention_ms
        self._unrepeatable_classes = frozenset(
            index
            for index, spec in enumerate(settings.classes)
            if spec.idempotency is api.Idempotency.NON_IDEMPOTENT
        )

    def _claim_key(self, request: RequestContext) -> str | None:
        """Return the key under which the request is claimed, None if it may run more than once."""
        if isinstance(request.key, str):
            return request.key
        return f"call {request.incoming.call_id}" if self._is_unrepeatable(request) else None

    def _is_unrepeatable(self, request: RequestContext) -> bool:
        return request.incoming.class_index in self._unrepeatable_classes

    def find_run(self, request: RequestContext) -> IdempotencyRecord | None:
        """Return the record of the run in this process that answers this attempt, None if there is none."""
        if not isinstance(request.key, str):
            return None
        return self.table.find_run(request.key, request.incoming.received_at_ms)

    def _may_be_forgotten(self, request: RequestContext, now_ms: float) -> bool:
        """Return whether a run that forbids this attempt may have been forgotten."""
        return now_ms - request.incoming.received_at_ms > self._retention_ms

    def may_have_run(self, request: RequestContext, now_ms: float) -> bool:
        """Return whether a request with an effect may have run in any process of this node."""
        claim_key = self._claim_key(request)
        if claim_key is None:
            return False
        if self.find_run(request) or request.incoming.call_id in self._ran_calls:
            return True
        if self._may_be_forgotten(request, now_ms):
            return True
        return self.claims is not None and self.claims.is_claimed(claim_key, request.incoming.received_at_ms)

    def may_run(self, request: RequestContext, now_ms: float) -> bool:
        """Return whether the records of this process allow this attempt to run."""
        if self._claim_key(request) is None:
            return True
        if self._may_be_forgotten(request, now_ms):
            return False
        if not isinstance(request.key, str):
            is_full = len(self._ran_calls) >= self.table.max_records
            return not is_full and request.incoming.call_id not in self._ran_calls
        return self.table.may_run(request.id, request.key, request.incoming.received_at_ms)

    def claim(self, request: RequestContext, now_ms: float, window_end_ms: float) -> bool:
        """Claim a request for this process; return False if another process may have run it.

        The claim is kept from the later of now and the end of the window, since an attempt whose window has
        ended may have waited itself.
        """
        claim_key = self._claim_key(request)
        if self.claims is None or claim_key is None:
            return True
        if self._is_unrepeatable(request):
            window_end_ms = request.incoming.received_at_ms + self._retention_ms
        expires_at_ms = max(now_ms, window_end_ms) + self._retention_ms
        times = ClaimTimes(window_end_ms, expires_at_ms)
        return self.claims.claim(claim_key, request.incoming.received_at_ms, times)

    def record_run(self, request: RequestContext, window_end_ms: float) -> None:
        """Record that this attempt runs now; no other attempt received until ``window_end_ms`` may run."""
        if self._is_unrepeatable(request):
            # An attempt received within the retention time may be decided as long after that.
            known_until_ms = request.incoming.received_at_ms + 2 * self._retention_ms
            self._ran_calls[request.incoming.call_id] = known_until_ms
        if not isinstance(request.key, str):
            return
        self.table.record_run(request.id, window_end_ms)
        if self.persistence is not None:
            self.persistence.record_run(request.key, request.incoming.content_hash(), window_end_ms)

    def revoke_run(self, request: RequestContext) -> None:
        """Record that this attempt, recorded as run, never started."""
        self.table.revoke_run(request.id)
        self._ran_calls.pop(request.incoming.call_id, None)
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
        while self._ran_calls and next(iter(self._ran_calls.values())) <= now_ms:
            self._ran_calls.popitem(last=False)
        if self.claims is not None:
            self.claims.remove_expired(now_ms, self._retention_ms)
