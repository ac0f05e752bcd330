"""Anti-entropy: exchange of whole member tables, and probes that reconnect the parts of a partitioned group.

The module does no I/O: times are ms on a monotonic clock, and randomness comes from the caller's generator.
It decides when an exchange is due and with which node; the failure detector sends the messages.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from spindlerelay.membership.member_table import MemberTable
from spindlerelay.membership.messages import DEAD, MAX_UPDATES_PER_MESSAGE, Address, GossipUpdate

RECONNECT_INTERVAL_MS = 1000.0
MIN_TABLE_INTERVAL_MS = 100.0  # limits how often the whole table is sent
MAX_TABLE_MESSAGES = 24
TABLE_REQUEST_INTERVAL_MS = 1000.0  # delay of the first request; doubles with every request
MAX_TABLE_REQUEST_INTERVAL_MS = 60_000.0


class StateSync:
    """Schedules reconnect probes, transmissions of the member table, and requests for a member table."""

    def __init__(self, rng: random.Random, table: MemberTable, seeds: Sequence[Address]) -> None:
        self._random = rng
        self._table = table
        self._seeds = list(seeds)
        self._next_reconnect_ms = -math.inf
        self._next_table_ms = -math.inf
        self._next_request_ms = math.inf
        self._request_interval_ms = TABLE_REQUEST_INTERVAL_MS

    def reconnect_target(self, now_ms: float) -> tuple[Address, str] | None:
        """Return address and name of a dead member or inactive seed to ping, or None if no ping is due."""
        if now_ms < self._next_reconnect_ms:
            return None
        self._next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS * self._random.uniform(0.75, 1.25)
        members = self._table.members
        active = {members[name].address for name in self._table.active_names}
        targets: list[tuple[Address, str]] = [
            (member.address, member.name) for member in members.values() if member.status is DEAD
        ]
        targets += [(seed, "") for seed in self._seeds if seed not in active]
        return self._random.choice(targets) if targets else None

    def table_messages(self, now_ms: float, receiver: str) -> list[tuple[GossipUpdate, ...]]:
        """Return updates about all active members, divided into messages.

        The result is empty within ``MIN_TABLE_INTERVAL_MS`` of the previous transmission.
        """
        if now_ms < self._next_table_ms:
            return []
        self._next_table_ms = now_ms + MIN_TABLE_INTERVAL_MS
        members = self._table.members
        updates = [members[name].to_update(now_ms) for name in self._table.active_names if name != receiver]
        self._random.shuffle(updates)
        end = min(len(updates), MAX_TABLE_MESSAGES * MAX_UPDATES_PER_MESSAGE)
        starts = range(0, end, MAX_UPDATES_PER_MESSAGE)
        return [tuple(updates[start : start + MAX_UPDATES_PER_MESSAGE]) for start in starts]

    def request_due(self, now_ms: float) -> bool:
        """Return whether to request a table now; if so, double the interval to the next request."""
        if self._next_request_ms == math.inf:
            self._next_request_ms = now_ms + self._request_interval_ms * self._random.uniform(0.5, 1.5)
        if now_ms < self._next_request_ms:
            return False
        self._request_interval_ms = min(MAX_TABLE_REQUEST_INTERVAL_MS, 2.0 * self._request_interval_ms)
        self._next_request_ms = now_ms + self._request_interval_ms * self._random.uniform(0.5, 1.5)
        return True

    def request_soon(self, now_ms: float) -> None:
        """Reset the backoff after a member became active again, since it may belong to a healed partition."""
        self._request_interval_ms = TABLE_REQUEST_INTERVAL_MS
        request_at_ms = now_ms + TABLE_REQUEST_INTERVAL_MS * self._random.uniform(0.5, 1.5)
        self._next_request_ms = min(self._next_request_ms, request_at_ms)
