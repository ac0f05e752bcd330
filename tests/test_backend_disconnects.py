"""Backends that disconnect: what their last bytes prove, and what is resent."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from spindlerelay.api import Outcome
from spindlerelay.backends.interpreter_client import InterpreterClient
from spindlerelay.backends.interpreter_protocol import RunFinished
from spindlerelay.backends.store_client import StoreClient
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.consul import endpoint_watcher
from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop
from tests.peers import listener


@pytest.mark.parametrize("whole", [False, True])
def test_a_run_that_ends_as_the_interpreter_breaks_off_is_told_once(whole: bool) -> None:
    loop, server, told = EventLoop(), listener(), list[Any]()
    link = InterpreterClient(
        loop, server.getsockname(), told.append, lambda banner: None, lambda call_id: None
    )

    def turn(until: Callable[[], Any]) -> None:
        while not until():
            loop.call_later(1.0, lambda: None)
            loop.run_once(lambda: None)

    def serve(more: bytes) -> socket.socket:
        turn(lambda: select.select([server], [], [], 0.0)[0])
        peer, _ = server.accept()
        peer.setblocking(False)
        seen = bytearray()

        def heard(end: bytes) -> bool:
            with contextlib.suppress(BlockingIOError):
                seen.extend(peer.recv(4096))
            return end in seen

        turn(lambda: heard(b"CONNECT 0\r\n"))
        peer.sendall(b"BANNER running 1\r\n" + more)
        turn(lambda: heard(b"-sync\r\n"))
        peer.sendall(b"TOPS %b 0 0 0 0\r\n" % seen.split()[-1])
        turn(lambda: link.unavailable_ms() == 0.0)
        return peer

    value = b"VALUE 1 " + b"a" * 16 + b" fine 2 4\r\ndone\r\n"
    peer = serve(b"")
    peer.sendall(value if whole else value[:-4])
    peer.close()
    turn(lambda: link.unavailable_ms() > 0.0)
    assert len(told) == whole
    if not whole:
        serve(value)
        turn(lambda: told)
    assert told == [RunFinished(1, "a" * 16, "fine", 2.0, b"done")]


@pytest.mark.parametrize(("whole", "outcome"), [(False, Outcome.RESET), (True, Outcome.OK)])
def test_a_store_that_breaks_off_within_a_reply_proves_nothing_and_after_it_costs_nothing(
    whole: bool, outcome: Outcome
) -> None:
    loop, server, replies = EventLoop(), listener(), list[StoreReply]()
    store, call = StoreClient(loop, server.getsockname(), replies.append), "a" * 16
    store.call(call, 60_000.0, b"q")
    while not all(channel.is_open for channel in store.channels):
        loop.run_once(lambda: None)
    peer, _ = server.accept()
    assert peer.recv(1000)
    reply = call.encode() + b" OK 4\r\ndone\r\n"
    peer.sendall(reply if whole else reply[:-4])
    peer.close()
    while not replies or store.channels:
        loop.run_once(lambda: None)
    assert replies == [StoreReply(call, outcome, b"done" if whole else b"")]


def test_a_roster_that_goes_quiet_without_a_close_is_asked_again_and_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(endpoint_watcher, "QUERY_WAIT_MS", 100.0)
    monkeypatch.setattr(endpoint_watcher, "QUERY_TIMEOUT_MARGIN_MS", 20.0)
    loop, server, heard = EventLoop(), listener(), list[Any]()
    watcher = endpoint_watcher.Watcher(loop, server.getsockname(), "render", heard.append)
    body = b'[{"Node": {}, "Service": {"ID": "n1", "Address": "10.0.0.1", "Port": 1}, "Checks": []}]'
    answer = b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    server.setblocking(False)
    links: list[socket.socket] = []
    while len(links) < 3:  # the second query's connection stands and says nothing, as does the third's
        loop.run_once(lambda: None)
        with contextlib.suppress(BlockingIOError):
            links.append(server.accept()[0])
            if len(links) == 1:
                assert links[0].recv(4096)
                links[0].sendall(answer)
    assert watcher.failure_count >= 1 and [node.id for node in watcher.endpoints.instances] == ["n1"]
    assert watcher.endpoints.index == 0 and len(heard) == 1
    watcher.stop()


def test_what_a_peer_wrote_before_it_broke_is_read_though_a_write_failed_first() -> None:
    """The write's failure closed the connection over the reply that had already come."""
    loop, server, got, closed = EventLoop(), listener(), list[bytes](), list[bool]()
    opened = list[bool]()
    made: Connection = connect(
        loop, server.getsockname(), got.append, closed.append, lambda: opened.append(True)
    )
    peer, _ = server.accept()
    while not opened:
        loop.run_once(lambda: None)
    made.write(b"first")
    loop.flush()
    peer.sendall(b"reply")
    peer.close()  # over what it has not read: a reset follows the reply
    for _ in range(3):
        made.write(b"second")
        made.flush()
    loop.call_later(0.0, lambda: None)
    while not closed:
        loop.run_once(lambda: None)
    assert got == [b"reply"] and closed == [True]


def test_a_new_call_does_not_break_off_those_in_hand_on_channels_that_take_nothing_new() -> None:
    """With all channels retired, as after a move, the one with the fewest calls was closed for it."""
    loop, old, new, replies = EventLoop(), listener(), listener(), list[StoreReply]()
    store = StoreClient(loop, old.getsockname(), replies.append)
    for number in range(16):
        store.call(f"{number:016x}", 60_000.0, b"q")
    while not all(channel.is_open for channel in store.channels):
        loop.run_once(lambda: None)
    store.change_address(new.getsockname())
    store.call("f" * 16, 60_000.0, b"q")
    for _ in range(5):
        loop.call_later(0.0, lambda: None)
        loop.run_once(lambda: None)
    assert replies == []
    peers = [old.accept()[0] for _ in range(16)]
    for peer in peers:
        call = peer.recv(1000).split()[1]
        peer.sendall(call + b" OK 1\r\nr\r\n")
    while len(replies) < 16:
        loop.run_once(lambda: None)
    assert {reply.outcome for reply in replies} == {Outcome.OK}
