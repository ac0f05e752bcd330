"""What is still owed when a balancer's connection ends, on real connections."""

from __future__ import annotations

import contextlib
import socket
import time
from typing import Any

import msgpack
import pytest

from spindlerelay import api
from spindlerelay.frontends import balancer_connection, balancer_server, msgpack_rpc_codec
from spindlerelay.frontends.balancer_server import SWEEP_INTERVAL_MS
from spindlerelay.frontends.read_limit import MAX_MESSAGES_PER_READ, MIN_READ_BYTES, ReadLimit
from spindlerelay.transport.connection import MAX_READ_BYTES
from tests.node_harness import (
    NodeHarness,
    NonBlockingBalancer,
    client_with_unread_response,
    send_during_close,
)

PARTITION_MS = 3000.0
MANY_MESSAGES = 3000
MANY_REQUESTS = 600  # take many reads


@pytest.fixture
def harness() -> NodeHarness:
    return NodeHarness()


def test_a_request_that_comes_as_a_connection_is_ended_is_heard_first(harness: NodeHarness) -> None:
    """A connection that was asked to go was closed over it."""
    harness.balancer_server.max_request_ms = 100.0
    client = harness.served_client()
    next(iter(harness.balancer_server.connections)).go_away()
    send_during_close(harness, client, client.encode_request())
    assert harness.run_until(lambda: client.responded_ids() == [1, 2]) and not client.closed_by


def test_what_comes_after_the_end_of_our_side_is_not_run(harness: NodeHarness) -> None:
    """It could not be answered: the balancer sends it again, and it would run twice."""
    client = harness.client()
    link = next(iter(harness.balancer_server.connections))
    link.close_idle()
    harness.runs_requests = True
    client.send(client.encode_request())
    harness.run_until(for_s=0.1)
    assert not harness.started_calls()
    client.receive()
    assert client.closed_by == "end"


def test_an_unread_answer_is_not_lost_with_a_connection_that_is_ended_over_half_a_request(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its next bytes lay unread as a connection that was asked to go was closed: a reset took its answer."""
    monkeypatch.setattr(harness.balancer_server, "max_request_ms", 100.0)
    client = client_with_unread_response(harness)
    link = next(iter(harness.balancer_server.connections))
    link.go_away()
    send_during_close(harness, client, client.encode_request()[:30])
    harness.run_until(for_s=0.6)  # the connection has been ended by now, and nothing of the answer been read
    assert harness.run_until(lambda: (client.receive(100), client.closed_by)[1])
    assert client.responded_ids() == [1] and client.closed_by == "end"


def test_a_balancer_that_ended_its_own_side_still_gets_its_answer(harness: NodeHarness) -> None:
    """The end of what it writes was taken for the end of what it reads."""
    client = harness.client()
    harness.runs_requests = True
    client.send(client.encode_request())
    client.sock.shutdown(socket.SHUT_WR)
    assert harness.run_until(harness.node.outstanding)
    harness.run_until(for_s=0.1)
    harness.finish_run(next(iter(harness.node.context.requests.by_call_id)), b"done")
    assert harness.run_until(client.is_closed)
    assert (
        client.responded_ids() == [1]
        and client.closed_by == "end"
        and not harness.balancer_server.connections
    )


def test_a_balancer_that_is_gone_is_told_from_one_that_ended_its_side(harness: NodeHarness) -> None:
    """Else what it asked for would be run for nobody."""
    client = harness.client()
    harness.process_events = harness.node.process_events  # type: ignore[method-assign]
    client.send(client.encode_request())
    assert harness.run_until(harness.node.outstanding)
    client.sock.close()
    assert harness.run_until(
        lambda: any(isinstance(each, api.CallerDisconnected) for each in harness.controller.events)
    )
    assert not harness.balancer_server.connections and not harness.node.outstanding()


def test_a_request_sent_again_on_a_new_connection_is_answered_there_and_runs_once(
    harness: NodeHarness,
) -> None:
    first, second = harness.client(), harness.client()
    harness.runs_requests = True
    call = "abcdefabcdefabcd"
    recv = str(int(time.time() * 1000))
    first.send(first.encode_request(call=call, recv=recv))
    first.sock.shutdown(socket.SHUT_WR)
    assert harness.run_until(harness.node.outstanding)
    assert harness.run_until(
        lambda: not all(link.connection.read_side_open for link in harness.balancer_server.connections)
    )
    second.send(second.encode_request(call=call, recv=recv))
    harness.run_until(for_s=0.1)
    harness.finish_run(call, b"done")
    assert harness.run_until(lambda: second.responded_ids() == [1])
    assert harness.started_calls() == [call]
    assert first.responded_ids() == [] and first.closed_by == "end"


def test_requests_of_a_client_that_reset_its_connection_before_they_were_read_do_not_run(
    harness: NodeHarness,
) -> None:
    """What lay unread was run, though no answer could arrive, and ran again when the client sent it again."""
    client = harness.served_client()
    harness.runs_requests = True
    client.send(b"".join(client.encode_request() for _ in range(5)))
    client.reset()
    assert harness.run_until(lambda: not harness.balancer_server.connections)
    assert harness.started_calls() == []


def test_requests_of_a_client_that_left_are_not_read_on_once_its_answers_cannot_be_written(
    harness: NodeHarness,
) -> None:
    """All that it had written was read to the end, and run as earlier requests made room."""
    client = harness.client()
    harness.runs_requests = True
    client.send(b"".join(client.encode_request() for _ in range(MANY_REQUESTS)))
    client.sock.close()

    def finish_all() -> bool:
        for call in harness.started_calls():
            harness.finish_run(call, b"done")
        return not harness.balancer_server.connections

    assert harness.run_until(finish_all)
    assert len(harness.started_calls()) <= balancer_connection.MAX_OPEN_REQUESTS


def test_a_slow_writer_is_heard_out_while_its_bytes_come(
    harness: NodeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection went deaf so long after the first byte, however many had come since."""
    monkeypatch.setattr(balancer_connection, "PARTIAL_REQUEST_TIMEOUT_MS", 150.0)
    client = harness.client()
    frame = client.encode_request()
    for byte in frame[:-1]:
        client.send(bytes([byte]))
        harness.run_until(for_s=0.01)  # 150 bytes and more: ten times the limit
    client.send(frame[-1:])
    assert harness.run_until(lambda: client.responded_ids() == [1])


@pytest.mark.parametrize("draining", [False, True], ids=["serving", "in a handover"])
def test_the_rest_of_a_request_that_a_partition_holds_back_is_answered(
    harness: NodeHarness, draining: bool
) -> None:
    """1.5 s after the last byte the part was dropped, and its connection ended."""
    client = harness.served_client()
    frame = client.encode_request()
    client.send(frame[:30])
    assert harness.run_until(harness.partial_requests)
    harness.step_clock()
    if draining:
        harness.node.drain(3700.0, handover=True)
    harness.run_for_clock_ms(PARTITION_MS)
    client.send(frame[30:])
    assert harness.run_until(lambda: client.responded_ids() == [1, 2])


def test_a_request_that_a_partition_holds_back_as_its_connection_gets_a_goaway_is_answered(
    harness: NodeHarness,
) -> None:
    """The connection was ended 0.1 s after the goaway, which the balancer had not read."""
    client = harness.served_client()
    harness.step_clock()
    harness.balancer_server.set_idle_timeout(100.0)
    assert harness.run_until(lambda: client.receive()[-1] == [2, "goaway", []])
    harness.run_for_clock_ms(PARTITION_MS)
    client.send(client.encode_request())
    assert harness.run_until(lambda: client.responded_ids() == [1, 2])


@pytest.mark.parametrize(
    ("count", "after_ms"), [(1, 7000.0), (31, 100.0)], ids=["after the longest deadline", "near capacity"]
)
def test_a_connection_that_its_balancer_keeps_after_a_goaway_is_ended(count: int, after_ms: float) -> None:
    harness = NodeHarness(sockets=balancer_server.RESERVED_SOCKETS + 32)
    crowd = [harness.served_client() for _ in range(count)]
    harness.step_clock()
    for link in harness.balancer_server.connections:
        link.go_away()
    harness.run_for_clock_ms(after_ms - SWEEP_INTERVAL_MS)
    assert not any(client.is_closed() for client in crowd)
    harness.run_for_clock_ms(3 * SWEEP_INTERVAL_MS)
    assert harness.run_until(lambda: all(client.is_closed() for client in crowd))


def test_half_a_request_is_dropped_once_no_deadline_can_still_be_ahead(harness: NodeHarness) -> None:
    client = harness.served_client()
    client.send(client.encode_request()[:30])
    assert harness.run_until(harness.partial_requests)
    harness.step_clock()
    harness.run_for_clock_ms(harness.balancer_server.max_request_ms + 2 * SWEEP_INTERVAL_MS)
    assert harness.run_until(client.is_closed)
    assert client.closed_by == "end"


@pytest.mark.parametrize("before", [b"", msgpack.packb([0, 9, "poster", []])], ids=["nothing", "invalid"])
def test_half_a_request_of_a_client_without_a_valid_one_is_dropped_soon(
    harness: NodeHarness, before: bytes
) -> None:
    """Such a client is owed its end 3 s after it connected."""
    client = harness.client()
    client.send(before + client.encode_request()[:30])
    assert harness.run_until(harness.partial_requests)
    harness.step_clock()
    harness.run_for_clock_ms(balancer_connection.PARTIAL_REQUEST_TIMEOUT_MS + 2 * SWEEP_INTERVAL_MS)
    assert harness.run_until(client.is_closed)


@pytest.mark.parametrize("goes_on", [False, True], ids=["stopped", "byte by byte"])
def test_half_requests_on_all_connections_do_not_keep_a_balancer_out(goes_on: bool) -> None:
    """The bound on descriptors holds for clients that sent a valid request first, too.

    Those that went on byte by byte kept their connections for the longest deadline.
    """
    harness = NodeHarness(sockets=64)
    crowd = [harness.served_client() for _ in range(harness.balancer_server._max_connections)]
    frames = [client.encode_request(note="x" * 1000) for client in crowd]
    for client, frame in zip(crowd, frames, strict=True):
        client.send(frame[:30])
    harness.step_clock()
    good = NonBlockingBalancer(harness.address)
    good.send(good.encode_request())
    end_ms = harness.now() + balancer_connection.PARTIAL_REQUEST_TIMEOUT_MS + 4 * SWEEP_INTERVAL_MS
    for position in range(30, 1000):
        harness.run_for_clock_ms(SWEEP_INTERVAL_MS / 5)
        if good.responded_ids() or harness.now() > end_ms:
            break
        for client, frame in zip(crowd if goes_on else [], frames, strict=False):
            with contextlib.suppress(OSError):
                client.send(frame[position : position + 1])
    assert good.responded_ids() == [1]
    assert len(harness.balancer_server.connections) > len(crowd) // 2  # no more are ended than needed


@pytest.mark.parametrize(
    "message",
    [[0, 1, "ping", []], [2, "abort", [1]], [2, "unknown", []]],
    ids=["health checks", "withdrawals", "notifications"],
)
def test_a_turn_handles_a_bounded_number_of_short_messages_from_one_client(
    harness: NodeHarness, message: list[Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """One read held 1,800 of them, and all other clients waited for each turn's worth."""
    counts, feed = list[int](), msgpack_rpc_codec.Decoder.feed

    def counted(self: msgpack_rpc_codec.Decoder, data: bytes) -> list[Any]:
        messages = feed(self, data)
        counts.append(self.frame_count)
        return messages

    monkeypatch.setattr(msgpack_rpc_codec.Decoder, "feed", counted)
    client = harness.client()
    client.send(msgpack.packb(message) * MANY_MESSAGES)
    assert harness.run_until(lambda: client.receive() is not None and sum(counts) == MANY_MESSAGES)
    assert max(counts[1:]) <= MAX_MESSAGES_PER_READ + 1  # one may have begun in the read before
    assert counts[0] <= 2 * MAX_MESSAGES_PER_READ
    expected_responses = MANY_MESSAGES if message[0] == 0 else 0
    assert harness.run_until(lambda: len(client.receive()) == expected_responses)


def test_reads_grow_to_their_limit_with_long_messages_and_shrink_again() -> None:
    limit = ReadLimit()
    for _ in range(10):
        limit.update(limit.read_bytes, limit.read_bytes // 300)
    assert limit.read_bytes == MAX_READ_BYTES
    limit.update(900, 3)  # all that there was
    assert limit.read_bytes == MAX_READ_BYTES
    limit.update(MAX_READ_BYTES, MAX_READ_BYTES // 2)
    assert limit.read_bytes == MIN_READ_BYTES
    limit.update(MIN_READ_BYTES, 1)
    assert limit.read_bytes == 2 * MIN_READ_BYTES


def test_input_that_is_dropped_is_read_in_large_pieces(harness: NodeHarness) -> None:
    """In small ones the end of the client was reached late, and closing connections piled up."""
    client = harness.client()
    (link,) = harness.balancer_server.connections
    assert link.connection.max_read_bytes < MAX_READ_BYTES
    client.send(b"\xc1" * 2000)
    assert harness.run_until(lambda: link.closing)
    assert link.connection.max_read_bytes == MAX_READ_BYTES


def test_a_client_that_sends_on_after_a_goaway_for_bad_requests_is_read_no_more(harness: NodeHarness) -> None:
    """Its bad requests were answered without end. A balancer has at most 32 requests on their way then."""
    client = harness.client()
    bad = msgpack.packb([0, 1, "poster", []])
    client.send(bad * MANY_REQUESTS)
    assert harness.run_until(client.is_closed)
    assert client.closed_by == "end"
    answered = len(client.responded_ids())
    assert answered == balancer_connection.MAX_BAD_REQUESTS + 1 + balancer_connection.MAX_OPEN_REQUESTS


def test_a_flood_of_connections_and_of_bad_requests_leaves_a_balancer_served() -> None:
    harness = NodeHarness(sockets=64)
    crowd = [NonBlockingBalancer(harness.address) for _ in range(200)]
    for number, client in enumerate(crowd):
        kind = number % 3
        client.send((b"", b"\x94\x00", msgpack.packb([0, 1, "poster", []]) * 200)[kind])
    good = NonBlockingBalancer(harness.address)
    good.send(good.encode_request())
    assert harness.run_until(lambda: good.responded_ids() == [1])
    assert len(harness.balancer_server.connections) <= harness.balancer_server._max_connections
