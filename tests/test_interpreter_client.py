"""Commands to the interpreter as a connection breaks or moves: which are sent again, and which never."""

from __future__ import annotations

import contextlib
import select
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from spindlerelay.backends import interpreter_client
from spindlerelay.backends.interpreter_client import InterpreterClient
from spindlerelay.transport.event_loop import EventLoop
from tests.peers import Program, listener

A, B = "a" * 16, "b" * 16


class ClientBench:
    """A client on a loop that tests turn by hand, and the interpreter's end of its newest connection."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.notices: list[Any] = []
        self.unconfirmed: list[str] = []
        self.server = listener()
        self.client = InterpreterClient(
            self.loop,
            self.server.getsockname(),
            self.notices.append,
            lambda banner: None,
            self.unconfirmed.append,
        )
        self.peer = self.server
        self.received = bytearray()

    def run_until(self, condition: Callable[[], Any]) -> None:
        while not condition():
            self.loop.call_later(1.0, lambda: None)
            self.loop.run_once(lambda: None)
            self._receive()

    def _receive(self) -> None:
        with contextlib.suppress(OSError):
            self.received += self.peer.recv(65536)

    def accept(self, server: socket.socket | None = None) -> bytes:
        """Take the next connection and return the command that opens it."""
        waiting = server or self.server
        self.run_until(lambda: select.select([waiting], [], [], 0.0)[0])
        self.peer, _ = waiting.accept()
        self.peer.setblocking(False)
        self.received.clear()
        self.run_until(lambda: b"CONNECT" in self.received)
        return bytes(self.received)

    def replay(self, notices: bytes = b"") -> None:
        """Send the banner, the notices and the gauges that end the replay."""
        self.peer.sendall(b"BANNER running 1\r\n" + notices)
        self.run_until(lambda: b"-sync\r\n" in self.received)
        self.received.clear()
        self.answer_gauges(b"t%d-sync" % self.client._connection_number)
        self.run_until(lambda: self.client.unavailable_ms() == 0.0)

    def answer_gauges(self, tag: bytes) -> None:
        self.peer.sendall(b"TOPS %b 0 0 0 0\r\n" % tag)

    def request_call(self, sequence_number: int, call_id: str = A) -> None:
        """Let a run reach a dependency call."""
        self.peer.sendall(b"AWAIT %d %b 1\r\nq\r\n" % (sequence_number, call_id.encode()))
        self.run_until(lambda: self.notices and self.notices[-1].sequence_number == sequence_number)

    def commands(self) -> list[bytes]:
        """Return the verbs and call ids of the commands on the newest connection, without gauges requests."""
        for _ in range(20):
            self.loop.call_later(1.0, lambda: None)
            self.loop.run_once(lambda: None)
            self._receive()
        lines = self.received.split(b"\r\n")
        verbs = (b"APPLY", b"RESOLVE", b"STUB", b"BREAK")
        return [b" ".join(line.split()[:2]) for line in lines if line.startswith(verbs)]


@pytest.fixture
def bench() -> ClientBench:
    bench = ClientBench()
    assert bench.accept().startswith(b"CONNECT 0\r\n")
    bench.replay()
    return bench


RESOLVE_A = b"RESOLVE " + A.encode()


def test_response_read_before_a_break_is_not_taken_for_that_of_the_next_call(bench: ClientBench) -> None:
    """The response was sent again after the replay, and the run had reached its next call by then."""
    bench.request_call(1)
    bench.client.deliver_call_response(A, b"first")
    assert bench.commands() == [RESOLVE_A]
    bench.peer.close()
    assert bench.accept().startswith(b"CONNECT 1\r\n")
    bench.replay()  # the run reaches its next call only after this
    assert bench.commands() == [] and bench.unconfirmed == [A]
    bench.request_call(2)
    bench.client.deliver_call_response(A, b"second")
    assert bench.commands() == [RESOLVE_A] and bench.received.endswith(b"second\r\n")


def test_response_that_a_replayed_notice_proves_is_not_unconfirmed(bench: ClientBench) -> None:
    bench.request_call(1)
    bench.client.deliver_call_response(A, b"first")
    assert bench.commands() == [RESOLVE_A]
    bench.peer.close()
    bench.accept()
    bench.replay(b"AWAIT 2 %b 1\r\nq\r\n" % A.encode())
    assert bench.commands() == [] and bench.unconfirmed == []


def test_response_that_came_while_disconnected_is_sent_once(bench: ClientBench) -> None:
    """It has been on no connection, so the run still waits for it."""
    bench.request_call(1)
    bench.peer.close()
    bench.run_until(lambda: bench.client.unavailable_ms() > 0.0)
    bench.client.deliver_call_response(A, b"first")
    bench.accept()
    bench.replay()
    assert bench.commands() == [RESOLVE_A] and bench.unconfirmed == []
    bench.peer.close()
    bench.accept()
    bench.replay()
    assert bench.commands() == [] and bench.unconfirmed == [A]


def test_commands_are_confirmed_on_the_old_connection_before_the_address_moves(bench: ClientBench) -> None:
    """A move dropped the connection over a response, which was then sent again."""
    bench.request_call(1)
    bench.client.deliver_call_response(A, b"first")
    assert bench.commands() == [RESOLVE_A]
    moved = listener()
    bench.client.change_address(moved.getsockname())
    bench.client.deliver_call_response(B, b"other")  # not sent on a connection that is about to go
    assert bench.commands() == [RESOLVE_A] and not select.select([moved], [], [], 0.0)[0]
    bench.answer_gauges(b"t1-1")
    assert bench.accept(moved).startswith(b"CONNECT 1\r\n")
    bench.replay()
    assert bench.commands() == [b"RESOLVE " + B.encode()] and bench.unconfirmed == []


@pytest.mark.parametrize("closes", [False, True])
def test_address_moves_though_the_old_connection_confirms_nothing(
    bench: ClientBench, closes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(interpreter_client, "CONFIRMATION_TIMEOUT_MS", 50.0)
    bench.request_call(1)
    bench.client.deliver_call_response(A, b"first")
    assert bench.commands() == [RESOLVE_A]
    moved = listener()
    bench.client.change_address(listener().getsockname())
    bench.client.change_address(moved.getsockname())
    if closes:
        bench.peer.close()
    assert bench.accept(moved).startswith(b"CONNECT 1\r\n")
    bench.replay()
    assert bench.commands() == [] and bench.unconfirmed == [A]


@pytest.mark.parametrize("repeatable", [False, True])
def test_start_of_a_run_is_sent_again_only_if_it_may_run_twice(bench: ClientBench, repeatable: bool) -> None:
    """An order that was read, and ended after the replay, would have been run again."""
    bench.client.start_run(A, "order", b"body", repeatable)
    assert bench.commands() == [b"APPLY " + A.encode()]
    bench.peer.close()
    bench.accept()
    bench.replay()
    assert bench.commands() == ([b"APPLY " + A.encode()] if repeatable else [])
    assert bench.unconfirmed == ([] if repeatable else [A])


def test_order_that_ends_after_the_replay_is_not_run_again_and_answered(tmp_path: Path) -> None:
    """The order was sent again before its end had arrived, and the interpreter ran it twice."""
    with Program(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request(A, "order")
        node.interpreter.expect("APPLY", A)
        node.interpreter.cut()
        node.interpreter.expect("CONNECT", "0")
        while not node.interpreter.last_gauges_tag.startswith("t2"):  # the end of the replay
            time.sleep(0.01)
        node.interpreter.value(A, b"receipt")
        assert balancer.response(asked) == b"receipt"
        node.interpreter.cut()
        assert node.interpreter.expect("CONNECT")[1] == b"1"  # no APPLY before it


@pytest.mark.parametrize(("cls", "skipped"), [("preview", True), ("order", False)])
def test_run_whose_response_may_be_lost_goes_on_without_it_where_the_settings_allow(
    tmp_path: Path, cls: str, skipped: bool
) -> None:
    """The run took the reply to its first call for that of its second, and its page was served."""
    with Program(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request(A, cls)
        node.interpreter.expect("APPLY", A)
        node.interpreter.note("AWAIT", A, b"query 1")
        node.store.expect("CALL", A)
        node.store.send(f"{A} OK", b"reply 1")
        assert node.interpreter.expect("RESOLVE", A)[-1] == b"reply 1"
        node.interpreter.cut()
        node.interpreter.expect("CONNECT", "1")
        while not node.interpreter.last_gauges_tag.startswith("t2"):  # the end of the replay
            time.sleep(0.01)
        if skipped:
            assert node.interpreter.expect("STUB", A)[2] == b"1"  # names the first call
        node.interpreter.note("AWAIT", A, b"query 2")
        node.store.expect("CALL", A)
        node.store.send(f"{A} OK", b"reply 2")
        assert node.interpreter.expect("RESOLVE", A)[-1] == b"reply 2"
        node.interpreter.value(A, b"page")
        assert balancer.response(asked) == b"page"
