"""The parsers and tables of the network code, by cases."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest

from spindlerelay.api import Outcome
from spindlerelay.backends import (
    discovery_client,
    interpreter_protocol,
    store_protocol,
)
from spindlerelay.backends.interpreter_protocol import (
    CallRequested,
    CommandRejected,
    GaugesReported,
    InterpreterStarted,
    RunFinished,
    TraceNotice,
)
from spindlerelay.frontends import msgpack_rpc_codec
from spindlerelay.frontends.msgpack_rpc_codec import RequestSchema
from spindlerelay.node.frontend import Failure, Rejection, Success
from spindlerelay.transport import line_protocol

FIELDS = {
    "call": "9b1f03aa5c7e2d41",
    "recv": "1764576000123",
    "src": "4",
    "org": "acme",
    "ttl": "480",
    "heap": "24.5",
    "crit": "0.6250",
    "dedupe": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
    "row": "7f3a9c21e0b4d655",
}


def frame(*params: Any, msgid: int = 7) -> bytes:
    packed: bytes = msgpack.packb([0, msgid, "checkout", list(params)])
    return packed


FEEDS = [
    ([frame(1)], 1, ""),
    ([frame(1)[:5], frame(1)[5:] + frame(2)], 2, ""),
    ([msgpack.packb([2, "odd", []]) + frame(1)], 1, ""),
    ([frame(1) + b"\xc1" + frame(2)], 1, "."),
    ([frame(b"x" * 2049)], 0, "2049"),
    ([frame(*[b"x" * 2000] * 9)], 0, "oversized"),
    ([b"\x94\x00\x01\xdb\x7f\xff\xff\xff", b"x" * 16384], 0, "oversized"),
    ([msgpack.packb([1, 7, None, True])], 0, "response"),
    ([msgpack.packb([0, -7, "ping", []])], 0, "message id"),
    ([msgpack.packb([0, 7, b"ping", []])], 0, "method"),
    ([msgpack.packb({"a": 1})], 0, "not a message"),
    ([b"\x91" * 2000], 0, "."),
]


@pytest.mark.parametrize(("chunks", "count", "broken"), FEEDS)
def test_frames_of_balancers(chunks: list[bytes], count: int, broken: str) -> None:
    decoder = msgpack_rpc_codec.Decoder()
    assert len([call for chunk in chunks for call in decoder.feed(chunk)]) == count
    assert bool(decoder.error) == bool(broken) and broken.strip(".") in decoder.error


def test_a_frame_that_comes_byte_by_byte_is_unpacked_once_it_is_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All its fields so far were made anew at each read: hundreds of slow writers took the core."""
    unpacked = list[int]()

    class CountingUnpacker(msgpack.Unpacker):
        def __next__(self) -> Any:
            unpacked.append(1)
            return super().__next__()

    monkeypatch.setattr(msgpack, "Unpacker", CountingUnpacker)
    decoder, whole = msgpack_rpc_codec.Decoder(), frame({f"f{n}": "" for n in range(50)}, b"page")
    monkeypatch.setattr(msgpack_rpc_codec.Decoder, "_shared_unpacker", msgpack_rpc_codec._new_unpacker())
    calls = [call for byte in whole for call in decoder.feed(bytes([byte]))]
    assert len(calls) == 1 and not decoder.error
    assert len(unpacked) <= 4  # at the first byte and at the last, and each time once in vain


@pytest.mark.parametrize(
    ("params", "expected"),
    [([7], [msgpack_rpc_codec.Withdrawal(7)]), ([True], []), ([[7]], []), ([], []), ([7, 8], []), (7, [])],
)
def test_a_withdrawal_names_one_request_and_anything_else_is_passed_over(params: Any, expected: Any) -> None:
    decoder = msgpack_rpc_codec.Decoder()
    assert decoder.feed(msgpack.packb([2, "abort", params]) + frame(1))[:-1] == expected
    assert not decoder.error


def test_connections_share_an_unpacker_and_keep_their_own_halves() -> None:
    """An unpacker for each connection took 44 KB."""
    whole, first, second = frame(1), msgpack_rpc_codec.Decoder(), msgpack_rpc_codec.Decoder()
    assert first.feed(whole[:9]) == second.feed(whole[:4]) == [] and first.partial_frame == whole[:9]
    assert [len(first.feed(whole[9:])), len(second.feed(whole[4:] + whole)), first.partial_frame] == [
        1,
        2,
        b"",
    ]
    assert first.feed(b"\xc1") == [] and first.error and len(second.feed(whole)) == 1


def test_fields_of_a_request() -> None:
    ask = msgpack_rpc_codec.decode_request(
        [FIELDS | {"rep": "1"}, b"\x00\xff"], RequestSchema(2, keyed=False), {"globex": 0, "acme": 1}
    )
    assert (ask.call_id, ask.class_index, ask.received_at_ms, ask.due_at_ms) == (
        "9b1f03aa5c7e2d41",
        2,
        1764576000123.0,
        1764576000603.0,
    )
    assert (ask.tenant_index, ask.caller_id, ask.is_retry, ask.queued_memory_kb, ask.criticality) == (
        1,
        4,
        True,
        24.5,
        0.625,
    )
    assert (ask.resource_key, ask.idempotency_key, ask.body) == (0x7F3A9C21E0B4D655, "", b"\x00\xff")
    keyed = msgpack_rpc_codec.decode_request([FIELDS, b""], KEYED_SCHEMA, {})
    assert (keyed.idempotency_key, keyed.resource_key, keyed.is_retry) == (FIELDS["dedupe"], 0, False)


KEYED_SCHEMA = RequestSchema(0, keyed=True)
BAD = [
    ("call", "9b1f"),
    ("call", "zz1f03aa5c7e2d41"),
    ("recv", "soon"),
    ("recv", ""),
    ("org", "nobody"),
    ("ttl", "1e9"),
    ("ttl", "-5"),
    ("heap", "2000"),
    ("heap", "0"),
    ("heap", "inf"),
    ("crit", "1"),
    ("dedupe", "5c0f"),
    ("src", "\u0664"),
    ("recv", 5),
    ("org", ["acme"]),
]


@pytest.mark.parametrize(("name", "value"), BAD)
def test_bad_fields_are_named(name: str, value: Any) -> None:
    with pytest.raises(msgpack_rpc_codec.InvalidFieldError, match=name):
        msgpack_rpc_codec.decode_request([FIELDS | {name: value}, b""], KEYED_SCHEMA, {"acme": 1})


@pytest.mark.parametrize("params", [[], [FIELDS], [FIELDS, "text"], [b"", b""], [FIELDS, b"", 3]])
def test_a_request_needs_fields_and_a_body(params: list[Any]) -> None:
    with pytest.raises(msgpack_rpc_codec.InvalidParametersError):
        msgpack_rpc_codec.decode_request(params, KEYED_SCHEMA, {})


ANSWERS = [
    (Success(b"\xff"), None, [1, 7, None, [b"\xff", {}]]),
    (Success(b""), 0.25, [1, 7, None, [b"", {"load": "0.2500"}]]),
    (Rejection(249.6, True), 0.0, [1, 7, ["Busy", {"load": "0.0000", "pushback": "250", "stop": "1"}], None]),
    (Rejection(0.2), None, [1, 7, ["Busy", {}], None]),
    (Failure(), None, [1, 7, ["Failed", {}], None]),
]


@pytest.mark.parametrize(("outcome", "load", "expected"), ANSWERS)
def test_answers(outcome: Success | Rejection | Failure, load: float | None, expected: list[Any]) -> None:
    assert msgpack.unpackb(msgpack_rpc_codec.encode_response(7, outcome, load)) == expected


NOTICES = [
    (b"BANNER starting 12\r\n", InterpreterStarted("starting", 12.0)),
    (b"VALUE 3 9b1f fine 18.5 4\r\n\r\n\x00\xff\r\n", RunFinished(3, "9b1f", "fine", 18.5, b"\r\n\x00\xff")),
    (b"VALUE 4 9b1f broken_off 0 0\r\n\r\n", RunFinished(4, "9b1f", "broken_off", 0.0, b"")),
    (b"AWAIT 5 9b1f 2\r\nab\r\n", CallRequested(5, "9b1f", b"ab")),
    (b"TOPS t1-7 0.5 3 0.1 12\r\n", GaugesReported("t1-7", (0.5, 3.0, 0.1, 12.0))),
    (b"ERROR APPLY 9b1f\r\n", CommandRejected("APPLY", "9b1f")),
    (b"TRACE 6 any words at all\r\n", TraceNotice(6)),
]


@pytest.mark.parametrize(("data", "expected"), NOTICES)
def test_notices_of_the_interpreter_whole_and_byte_by_byte(
    data: bytes, expected: interpreter_protocol.Notice
) -> None:
    decoder = line_protocol.LineDecoder(interpreter_protocol.block_length)
    seen = [message for at in range(len(data)) for message in decoder.feed(data[at : at + 1])]
    assert [interpreter_protocol.decode(*message) for message in [*seen, *decoder.feed(data)]] == [
        expected
    ] * 2


MALFORMED = [
    b"HELLO\r\n",
    b"\r\n",
    b"VALUE 3 9b1f fine 18.5 -4\r\n",
    b"VALUE 3 9b1f well 18.5 0\r\n\r\n",
    b"VALUE x 9b1f fine 18.5 0\r\n\r\n",
    b"VALUE 3 9b1f fine nan 0\r\n\r\n",
    b"AWAIT 5 9b1f 2\r\nabcd",
    b"AWAIT 5 9b1f 99999999\r\n",
    b"TOPS t 1 two\r\n",
    b"BANNER up\r\n",
    b"\xff\xfe\r\n",
    b"x" * 2000,
]


@pytest.mark.parametrize("data", MALFORMED)
def test_malformed_lines_of_the_interpreter(data: bytes) -> None:
    with pytest.raises(line_protocol.LineProtocolError):
        for words, block in line_protocol.LineDecoder(interpreter_protocol.block_length).feed(data):
            interpreter_protocol.decode(words, block)


REPLIES = [
    (b"9b1f OK 3\r\na\r\n\r\n", Outcome.OK, b"a\r\n"),
    (b"9b1f BUSY\r\n", Outcome.OVERLOADED, b""),
    (b"9b1f ERR\r\n", Outcome.ERROR, b""),
    (b"9b1f LATE\r\n", Outcome.TIMEOUT, b""),
    (b"9b1f VOID\r\n", Outcome.NEVER_STARTED, b""),
]


@pytest.mark.parametrize(("data", "outcome", "body"), REPLIES)
def test_replies_of_the_store(data: bytes, outcome: Outcome, body: bytes) -> None:
    (message,) = line_protocol.LineDecoder(store_protocol.block_length).feed(data)
    assert store_protocol.decode(*message) == store_protocol.StoreReply("9b1f", outcome, body)


@pytest.mark.parametrize("data", [b"9b1f\r\n", b"9b1f OK\r\n", b"9b1f FINE\r\n", b"9b1f BUSY 3\r\n", b"\r\n"])
def test_malformed_replies_of_the_store(data: bytes) -> None:
    with pytest.raises(line_protocol.LineProtocolError):
        for words, block in line_protocol.LineDecoder(store_protocol.block_length).feed(data):
            store_protocol.decode(words, block)


def test_what_we_write_to_peers() -> None:
    assert (
        line_protocol.encode_message("APPLY", "9b1f", "order", block=b"a\r\n")
        == b"APPLY 9b1f order 3\r\na\r\n\r\n"
    )
    assert line_protocol.encode_message("CALL", "9b1f", 250, block=b"") == b"CALL 9b1f 250 0\r\n\r\n"
    assert line_protocol.encode_message("STUB", "9b1f", 4) == b"STUB 9b1f 4\r\n"
    assert discovery_client.encode("n3", False) == b"announce n3 false"
