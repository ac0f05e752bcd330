"""Reports to the announce service: one datagram a report, no answer."""

from __future__ import annotations

import contextlib
import socket

from spindlerelay.net.loop import Loop

EVERY_MS = 750.0  # an entry lapses 3 s after its last report: three may get lost


def encode(name: str, accepting: bool) -> bytes:
    return f"announce {name} {'true' if accepting else 'false'}".encode()


class Announcer:
    """Reports from ``start`` on, at every change and again before the entry lapses."""

    def __init__(self, loop: Loop, address: tuple[str, int], name: str) -> None:
        self.loop, self.address, self.name = loop, address, name
        self.accepting, self.started = True, False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def start(self) -> None:
        if not self.started:
            self.started = True
            self._again()

    def tell(self, accepting: bool) -> None:
        if accepting != self.accepting:
            self.accepting = accepting
            if self.started:
                self._report()

    def _again(self) -> None:
        self.loop.after(EVERY_MS, self._again)
        self._report()

    def _report(self) -> None:
        with contextlib.suppress(OSError):  # the service may be down; no entry lapses meanwhile
            self._socket.sendto(encode(self.name, self.accepting), self.address)
