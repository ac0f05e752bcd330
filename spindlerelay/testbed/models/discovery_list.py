"""Model of the discovery service's endpoint list: entries expire, and balancers see changes with a delay.

The model has no I/O and no clock; times are ms.
"""

from __future__ import annotations

ENTRY_TTL_MS = 3000.0  # the protocol's lifetime of an entry after its last report
REPORT_WORDS = 3  # words of a report: announce NAME true|false


class DelayedDiscoveryList:
    """The listed nodes, visible to balancers ``propagation_delay_ms`` after each change."""

    def __init__(self, propagation_delay_ms: float = 1500.0) -> None:
        self.propagation_delay_ms = propagation_delay_ms
        self._last_reports: dict[str, float] = {}
        self._accepting: dict[str, bool] = {}
        self._history: list[tuple[float, frozenset[str]]] = [(0.0, frozenset())]
        # Time of the earliest possible expiry: a report is handled in constant time for any fleet size.
        self._next_expiry = 0.0

    def receive_report(self, now: float, datagram: bytes) -> None:
        """Process one datagram; drop it if it is not a report."""
        words = datagram.decode("utf-8", "replace").split()
        if len(words) != REPORT_WORDS or words[0] != "announce" or words[2] not in ("true", "false"):
            return
        name = words[1]
        accepting = words[2] == "true"
        previous = self._accepting.get(name)
        self._last_reports[name] = now
        self._accepting[name] = accepting
        if accepting != previous or accepting != (name in self._history[-1][1]):
            self._update(now)

    def tick(self, now: float) -> None:
        """Remove expired entries."""
        if now >= self._next_expiry:
            self._update(now)

    def _update(self, now: float) -> None:
        listed = frozenset(
            name
            for name, reported_at in self._last_reports.items()
            if now - reported_at <= ENTRY_TTL_MS and self._accepting[name]
        )
        oldest = min((self._last_reports[name] for name in listed), default=now)
        self._next_expiry = max(now + 1.0, oldest + ENTRY_TTL_MS)
        if listed != self._history[-1][1]:
            self._history.append((now, listed))

    def visible_nodes(self, now: float) -> frozenset[str]:
        """Return the nodes that balancers see at time ``now``, which must not decrease from call to call."""
        while len(self._history) > 1 and self._history[1][0] <= now - self.propagation_delay_ms:
            self._history.pop(0)
        return self._history[0][1]
