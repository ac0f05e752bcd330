"""Model of one direction of a proxied connection under faults: blocking, delay and bandwidth limit.

Several faults, identified by numbers, can affect a direction at the same time. The direction is blocked while
any fault blocks it, its delay is the sum of all delays, and its bandwidth is the lowest limit. Bytes keep
their order, and only a reset loses bytes. The module has no I/O and no clock.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple


class LinkCondition(NamedTuple):
    """The effect of one fault, or of all faults combined, on one direction of a link.

    ``drop_probability`` applies to datagrams only.
    """

    blocked: bool = False
    delay_ms: float = 0.0
    bytes_per_s: float = math.inf
    drop_probability: float = 0.0


UNIMPAIRED = LinkCondition()


class ActiveConditions:
    """The active conditions of one direction of a link, shared by all connections of the link."""

    def __init__(self) -> None:
        self._by_fault: dict[int, LinkCondition] = {}
        self.combined = UNIMPAIRED

    def begin(self, fault: int, condition: LinkCondition) -> None:
        """Add the condition of the fault with this number."""
        self._by_fault[fault] = condition
        self._combine()

    def end(self, fault: int) -> None:
        """Remove the condition of a fault; unknown numbers are ignored."""
        self._by_fault.pop(fault, None)
        self._combine()

    def _combine(self) -> None:
        conditions = self._by_fault.values()
        delivery_probability = math.prod(1.0 - condition.drop_probability for condition in conditions)
        self.combined = LinkCondition(
            any(condition.blocked for condition in conditions),
            sum(condition.delay_ms for condition in conditions),
            min((condition.bytes_per_s for condition in conditions), default=math.inf),
            1.0 - delivery_probability,
        )


class ByteChannel:
    """The bytes in transit in one direction of one connection.

    ``send`` and ``receive_due`` apply the conditions that are active at the call. Times are ms on the
    caller's clock.
    """

    def __init__(self, conditions: ActiveConditions, now: float) -> None:
        self.conditions = conditions
        self.buffered_bytes = 0
        self._pending: deque[tuple[float, bytes]] = deque()  # time due and bytes of every pending write
        self._credit_bytes = 0.0
        self._credited_at = now

    def send(self, now: float, data: bytes) -> bytes:
        """Accept bytes that one end wrote, and return the bytes that reach the other end immediately."""
        condition = self.conditions.combined
        if (
            not self._pending
            and not condition.blocked
            and not condition.delay_ms
            and condition.bytes_per_s == math.inf
        ):
            return data
        self._pending.append((now + condition.delay_ms, data))
        self.buffered_bytes += len(data)
        return b""

    def receive_due(self, now: float) -> bytes:
        """Return the buffered bytes that reach the other end by ``now``."""
        condition = self.conditions.combined
        delivered = bytearray()
        elapsed_ms = now - self._credited_at
        self._credited_at = now
        limited = condition.bytes_per_s < math.inf
        earned = condition.bytes_per_s * elapsed_ms / 1000.0 if limited else 0.0
        self._credit_bytes = min(condition.bytes_per_s, self._credit_bytes + earned) if limited else 0.0
        while self._pending and not condition.blocked and self._pending[0][0] <= now:
            due_at, data = self._pending.popleft()
            if limited and len(data) > self._credit_bytes:
                allowed = int(self._credit_bytes)
                delivered += data[:allowed]
                self._credit_bytes -= allowed
                self._pending.appendleft((due_at, data[allowed:]))
                break
            delivered += data
            self._credit_bytes -= len(data) if limited else 0
        self.buffered_bytes -= len(delivered)
        return bytes(delivered)
