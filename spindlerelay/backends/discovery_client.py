"""Reports to the announce service: one datagram per report, without a response.

Owns the schedule of the reports and the wire format. Must not depend on the conditions under which a node
accepts requests.
"""

from __future__ import annotations

import contextlib

from spindlerelay.transport.event_loop import EventLoop

REPORT_INTERVAL_MS = 250.0  # a node's entry expires 3 s after the last report
# A change is reported three times at this interval, since a datagram may get lost.
CHANGE_REPEAT_INTERVAL_MS = 20.0


def encode(name: str, accepting: bool) -> bytes:
    """Return the datagram that reports whether the node accepts requests."""
    return f"announce {name} {'true' if accepting else 'false'}".encode()


class DiscoveryClient:
    """Reports from ``start`` on, at each change and often enough that the node's entry does not expire.

    The first report is sent after a random part of one interval. Otherwise nodes whose interpreters start at
    the same time would send all their reports at the same times. The entry is valid from the first report on.
    """

    def __init__(self, loop: EventLoop, address: tuple[str, int], name: str) -> None:
        self.loop = loop
        self.address = address
        self.name = name
        self.accepting = True
        self.reporting = False
        self._socket = loop.system.datagram_socket()

    def start(self) -> None:
        """Start to report; a second call has no effect."""
        if not self.reporting:
            self.reporting = True
            self.loop.call_later(self.loop.random.uniform(0.0, REPORT_INTERVAL_MS), self._report_periodically)

    def set_accepting(self, accepting: bool) -> None:
        """Set whether the node accepts requests; a change is reported at once."""
        if accepting != self.accepting:
            self.accepting = accepting
            self._report_change()

    def change_address(self, address: tuple[str, int]) -> None:
        """Send the next and all later reports to another address.

        No extra report is sent, since a whole fleet may be reconfigured at the same time.
        """
        self.address = address

    def stop(self) -> None:
        """Stop the reports, when another process takes over the node's name."""
        self.reporting = False

    def _report_change(self) -> None:
        if self.reporting:
            self._report()
            self.loop.call_later(CHANGE_REPEAT_INTERVAL_MS, self._report)
            self.loop.call_later(2 * CHANGE_REPEAT_INTERVAL_MS, self._report)

    def _report_periodically(self) -> None:
        if self.reporting:
            self.loop.call_later(REPORT_INTERVAL_MS, self._report_periodically)
        self._report()

    def _report(self) -> None:
        if not self.reporting:
            return
        with contextlib.suppress(OSError):  # entries do not expire while the service is down
            self._socket.sendto(encode(self.name, self.accepting), self.address)
