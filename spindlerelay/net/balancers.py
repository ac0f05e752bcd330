"""The front that balancers connect to: connections, message ids and answers of MessagePack-RPC."""

from __future__ import annotations

import socket

from spindlerelay import interface as api
from spindlerelay.net import msgpackrpc
from spindlerelay.net.exchange import Ask, Failed, Outcome, Receiver
from spindlerelay.net.loop import Connection, Listener, Loop, clock

CROSSING_MS = 50.0  # by the protocol: a request may cross a goaway for so long
SWEEP_MS = 100.0  # between looks for idle connections
OWN_SOCKETS = 32  # descriptors kept for our own links, log and listener
MOST_OPEN = 32  # requests open on one connection, by the protocol
STUCK_MS = 15000.0  # an answer that no byte of which was taken for so long: the peer is gone
BROKEN_MS = 6000.0  # the longest that a connection without intake may wait for its last answers


class Link:
    """One balancer's connection."""

    def __init__(self, front: Balancers, sock: socket.socket) -> None:
        self.front = front
        self.decoder = msgpackrpc.Decoder()
        self.open: dict[int, Ask] = {}
        self.used = self.moved = clock()
        self.unsent = 0
        self.leaving = 0.0  # when goaway was sent
        self.deaf = False  # intake has ended
        self.connection = Connection(front.loop, sock, self._data, self._closed)

    def _data(self, data: bytes) -> None:
        self.used = clock()
        if self.deaf:
            return  # read and dropped: see Connection.end
        for call in self.decoder.feed(data):
            self._call(call)
        if self.decoder.broken:
            # A stream that lost its framing cannot be trusted again, but what was read is owed an answer.
            self.deaf = True
            self.leaving = self.leaving or self.used
            self.front.loop.warnings.warn("bad input from a balancer", self.decoder.broken)
            self._end_if_over()
        elif len(self.open) >= MOST_OPEN:
            self.connection.pause(True)

    def _call(self, call: msgpackrpc.Call) -> None:
        node, write = self.front.node, self.connection.write
        if call.method == "ping":
            write(msgpackrpc.encode_health(call.msgid, node.healthy, node.load))
            return
        cls = self.front.classes.get(call.method)
        try:
            if cls is None:
                raise msgpackrpc.FieldError(f"unknown method {call.method[:40]}")
            if call.msgid in self.open:
                raise msgpackrpc.FieldError("message id is in use")
            ask = msgpackrpc.parse_ask(cls, self.front.keyed[cls], self.front.tenants, call.params)
        except msgpackrpc.FieldError as error:
            self.front.loop.warnings.warn("bad request from a balancer", str(error))
            write(msgpackrpc.encode_answer(call.msgid, Failed(f"BadRequest: {error}"), node.load))
            return
        self.open[call.msgid] = ask
        self.front.places[ask] = (self, call.msgid)
        self.front.node.take(self.front, ask)

    def answer(self, msgid: int, outcome: Outcome) -> None:
        if self.open.pop(msgid, None) is None:
            return
        self.used = clock()
        self.connection.write(msgpackrpc.encode_answer(msgid, outcome, self.front.node.load))
        if self.deaf:
            self._end_if_over()
        elif len(self.open) < MOST_OPEN:
            self.connection.pause(False)

    def go_away(self) -> None:
        if not self.leaving:
            self.leaving = clock()
            self.connection.write(msgpackrpc.GOAWAY)

    def _end_if_over(self) -> None:
        if not self.open:
            self.connection.end()

    def _closed(self, opened: bool) -> None:
        for ask in self.open.values():
            self.front.places.pop(ask, None)
        self.open.clear()
        self.front.left(self)

    def sweep(self, now: float, idle_ms: float) -> None:
        """Close what lies idle, what said goodbye and what takes nothing of its answers."""
        unsent = len(self.connection.out)
        if unsent != self.unsent or not unsent:
            self.unsent, self.moved = unsent, now
        if now - self.moved > STUCK_MS or (self.deaf and now - self.leaving > BROKEN_MS):
            self.connection.close()
        elif self.open:
            return
        elif self.leaving:
            # A request that crossed the goaway would be lost by a close at once.
            if now - max(self.leaving, self.used) > 2 * CROSSING_MS and not unsent:
                self.connection.close()
        elif now - self.used >= idle_ms:
            self.go_away()


class Balancers:
    """The listening socket and all connections of balancers."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        settings: api.Settings,
        sockets: int,
        node: Receiver,
    ) -> None:
        self.loop, self.node = loop, node
        self.classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.keyed = [spec.effect is api.Effect.KEYED for spec in settings.classes]
        self.tenants = {name: index for index, name in enumerate(settings.tenant_names)}
        self.most = max(8, sockets - OWN_SOCKETS)
        self.idle_ms = float("inf")
        self.draining = False
        self.links: dict[Link, None] = {}
        self.places: dict[Ask, tuple[Link, int]] = {}
        self.listener = Listener(loop, address, self._accept)
        loop.after(SWEEP_MS, self._sweep)

    def _accept(self, sock: socket.socket) -> None:
        link = Link(self, sock)
        self.links[link] = None
        if self.draining:
            link.go_away()
        if len(self.links) >= self.most:
            self.loop.warnings.warn("all sockets for balancers are taken", str(len(self.links)))
            self.listener.hold(True)

    def left(self, link: Link) -> None:
        self.links.pop(link, None)
        if len(self.links) < self.most:
            self.listener.hold(False)

    def _sweep(self) -> None:
        self.loop.after(SWEEP_MS, self._sweep)
        now = clock()
        # A full table lets nobody in: then the idle ones go first, however short they lay.
        idle_ms = min(self.idle_ms, 1000.0) if self.listener.held else self.idle_ms
        for link in list(self.links):
            link.sweep(now, idle_ms)

    def answer(self, ask: Ask, outcome: Outcome) -> None:
        """Send the final answer, unless the balancer's connection has ended."""
        link, msgid = self.places.pop(ask, (None, 0))
        if link:
            link.answer(msgid, outcome)

    def reachable(self, ask: Ask) -> bool:
        """Whether an answer would still reach its balancer."""
        return ask in self.places

    def close_idle(self, for_ms: float) -> None:
        self.idle_ms = for_ms

    def drain(self) -> None:
        """Ask all balancers to leave; those that still come are served and asked, too."""
        self.draining = True
        for link in self.links:
            link.go_away()

    def quiet(self) -> bool:
        """No request is open and all answers are sent."""
        return not self.places and not any(link.connection.out for link in self.links)

    def stop(self) -> None:
        """Take nobody any more, not leaving unread those whom the kernel has let in."""
        self.listener.ready(0)
        self.listener.close()
