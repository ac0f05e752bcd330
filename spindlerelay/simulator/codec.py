"""Codec of the binary frames of the simulator protocol. The codec makes no decisions.

A frame starts with a header, which holds the number of records and the size of the payload. The payload holds
the records, each with a code, a size and its fields. In a batch, the clock precedes the records. All numbers
are little-endian. The comment beside a code is the protocol's name of the record. This module depends only on
the types of ``spindlerelay.api``.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, BinaryIO, NamedTuple

from spindlerelay import api
from spindlerelay.errors import SpindlerelayError

MAX_TEXT_BYTES = 65535  # longer log lines and fault texts are truncated


class MalformedFrameError(SpindlerelayError):
    """A frame does not follow the protocol."""


class UnknownCodeError(MalformedFrameError):
    """A code is not defined by the protocol.

    Attributes:
        kind: name of what the code identifies, such as ``outcome``.
        code: code that was received.
    """

    def __init__(self, kind: str, code: int) -> None:
        super().__init__(f"unknown {kind} {code}")
        self.kind = kind
        self.code = code


class RecordSizeError(MalformedFrameError):
    """The fields of a record do not have the size that its code requires.

    Attributes:
        received: size of the received fields in bytes.
        expected: size that the code requires in bytes.
    """

    def __init__(self, received: int, expected: int) -> None:
        super().__init__(f"record has {received} bytes of fields, expected {expected}")
        self.received = received
        self.expected = expected


class InstanceStarted(NamedTuple):
    """The process of an instance starts.

    Attributes:
        seed: seed of the admission controller.
        settings_text: settings in lines of ``key=value``.
    """

    seed: int
    settings_text: str


class InstanceCrashed(NamedTuple):
    """The process of an instance has crashed. All state of the instance is lost."""


WireEvent = InstanceStarted | InstanceCrashed | api.Event


class Batch(NamedTuple):
    """One frame of input.

    Attributes:
        now_ms: time of the simulator's clock.
        events: pairs of an instance number and an event of that instance.
    """

    now_ms: float
    events: list[tuple[int, WireEvent]]


OUTCOMES = {
    100: api.Outcome.OK,
    301: api.Outcome.ERROR,
    302: api.Outcome.OVERLOADED,
    303: api.Outcome.TIMEOUT,
    304: api.Outcome.CONNECT_FAILED,
    305: api.Outcome.RESET,
    306: api.Outcome.CANCELLED,
    307: api.Outcome.NEVER_STARTED,
}
_HEADER = struct.Struct("<II")  # number of records, size of the payload
_CLOCK = struct.Struct("<d")
_RECORD = struct.Struct("<BI")  # code, size of the fields
_INSTANCE = struct.Struct("<I")
_REQUEST_ID = struct.Struct("<IQ")
_REQUEST = struct.Struct("<IQBdQBdfQfIdI")
_COMPLETED = struct.Struct("<IQHd")
_DRAIN = struct.Struct("<Id")
_TIMER = struct.Struct("<IQB")  # gauges follow
_START = struct.Struct("<IQI")  # settings follow
_TEXT = struct.Struct("<IH")  # text follows
_HAS_COST_HINT = 1
_IS_RETRY = 2
_IS_WRITE = 4


def _unpack(layout: struct.Struct, body: bytes) -> tuple[Any, ...]:
    if len(body) != layout.size:
        raise RecordSizeError(len(body), layout.size)
    return layout.unpack(body)


def _outcome(code: int) -> api.Outcome:
    if code not in OUTCOMES:
        raise UnknownCodeError("outcome", code)
    return OUTCOMES[code]


def _decode_drain(body: bytes) -> tuple[int, WireEvent]:
    instance, remaining_ms = _unpack(_DRAIN, body)
    return instance, api.DrainStarted(remaining_ms)


def _decode_call_completed(body: bytes) -> tuple[int, WireEvent]:
    instance, request_id, code, duration_ms = _unpack(_COMPLETED, body)
    return instance, api.DependencyCallCompleted(request_id, _outcome(code), duration_ms)


def _decode_run_completed(body: bytes) -> tuple[int, WireEvent]:
    instance, request_id, code, duration_ms = _unpack(_COMPLETED, body)
    return instance, api.RunCompleted(request_id, _outcome(code), duration_ms)


def _decode_request(body: bytes) -> tuple[int, WireEvent]:
    (
        instance,
        request_id,
        flags,
        read_delay_ms,
        resource_key,
        class_index,
        remaining_ms,
        criticality,
        original_id,
        queued_memory_kb,
        tenant_index,
        cost_ms,
        caller_id,
    ) = _unpack(_REQUEST, body)
    return instance, api.RequestReceived(
        request_id,
        class_index,
        read_delay_ms,
        remaining_ms,
        resource_key,
        original_id,
        criticality,
        queued_memory_kb,
        tenant_index,
        cost_ms if flags & _HAS_COST_HINT else 0.0,
        bool(flags & _IS_RETRY),
        bool(flags & _IS_WRITE),
        caller_id,
    )


def _decode_timer(body: bytes) -> tuple[int, WireEvent]:
    if len(body) < _TIMER.size:
        raise MalformedFrameError(f"timer record has {len(body)} bytes, expected at least {_TIMER.size}")
    instance, token, count = _TIMER.unpack_from(body)
    if len(body) != _TIMER.size + 4 * count:
        raise MalformedFrameError(f"timer record has {len(body)} bytes, which does not match {count} gauges")
    return instance, api.TimerFired(token, struct.unpack_from(f"<{count}f", body, _TIMER.size))


def _decode_start(body: bytes) -> tuple[int, WireEvent]:
    if len(body) < _START.size:
        raise MalformedFrameError(f"launch record has {len(body)} bytes, expected at least {_START.size}")
    instance, seed, size = _START.unpack_from(body)
    if len(body) != _START.size + size:
        raise MalformedFrameError(
            f"launch record has {len(body)} bytes, which does not match {size} bytes of settings"
        )
    try:
        return instance, InstanceStarted(seed, body[_START.size :].decode("utf-8"))
    except UnicodeDecodeError:
        raise MalformedFrameError("settings of a launch record are not valid UTF-8") from None


def _decode_crash(body: bytes) -> tuple[int, WireEvent]:
    return _unpack(_INSTANCE, body)[0], InstanceCrashed()


def _decode_disconnect(body: bytes) -> tuple[int, WireEvent]:
    instance, request_id = _unpack(_REQUEST_ID, body)
    return instance, api.CallerDisconnected(request_id)


def _decode_call_request(body: bytes) -> tuple[int, WireEvent]:
    instance, request_id = _unpack(_REQUEST_ID, body)
    return instance, api.DependencyCallRequested(request_id)


_DECODERS: dict[int, Callable[[bytes], tuple[int, WireEvent]]] = {
    0: _decode_drain,  # sigterm
    1: _decode_call_completed,  # call_result
    2: _decode_request,  # demand
    3: _decode_timer,  # elapsed
    4: _decode_run_completed,  # run_over
    5: _decode_start,  # launch
    6: _decode_crash,  # crash_now
    7: _decode_disconnect,  # abandoned
    8: _decode_call_request,  # awaiting
}


def decode_batch(count: int, payload: bytes) -> Batch:
    """Decode the payload of a batch of ``count`` records.

    Raises:
        MalformedFrameError: the payload does not follow the protocol.
    """
    if len(payload) < _CLOCK.size:
        raise MalformedFrameError(
            f"batch has {len(payload)} bytes, expected at least {_CLOCK.size} for the clock"
        )
    (now_ms,) = _CLOCK.unpack_from(payload)
    events = []
    position = _CLOCK.size
    end = len(payload)
    for _ in range(count):
        if position + _RECORD.size > end:
            raise MalformedFrameError("batch ends inside a record header")
        code, size = _RECORD.unpack_from(payload, position)
        position += _RECORD.size
        if position + size > end:
            raise MalformedFrameError(f"record of {size} bytes extends past the end of its batch")
        decode = _DECODERS.get(code)
        if decode is None:
            raise UnknownCodeError("event code", code)
        events.append(decode(payload[position : position + size]))
        position += size
    if position != end:
        raise MalformedFrameError(f"{end - position} bytes follow the last record of a batch")
    return Batch(now_ms, events)


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read the next batch, or return None at the end of input.

    Raises:
        MalformedFrameError: the input does not follow the protocol.
    """
    header = _read_up_to(stream, _HEADER.size)
    if not header:
        return None
    if len(header) < _HEADER.size:
        raise MalformedFrameError("input ends inside a batch header")
    count, size = _HEADER.unpack(header)
    if size < _CLOCK.size + count * _RECORD.size:
        raise MalformedFrameError(f"a batch of {size} bytes cannot hold {count} records")
    payload = _read_up_to(stream, size)
    if len(payload) < size:
        raise MalformedFrameError("input ends inside a batch")
    return decode_batch(count, payload)


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Read ``size`` bytes, or fewer if the input ends."""
    chunks = []
    while size:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _RECORD.pack(code, _TEXT.size + len(data)) + _TEXT.pack(instance, len(data)) + data


def _encoder(code: int, field_formats: str) -> Callable[[int, Any], bytes]:
    """Return the encoder of an action that is sent with its fields in the order of the tuple."""
    layout = struct.Struct("<I" + field_formats)
    record_header = _RECORD.pack(code, layout.size)
    return lambda instance, action: record_header + layout.pack(instance, *action)


_FAULT_CODE = 1  # internal_error
_LOG_CODE = 5  # trace
_ENCODERS: dict[type, Callable[[int, Any], bytes]] = {
    api.SkipDependencyCall: _encoder(0, "Q"),  # do_without
    api.SetTimer: _encoder(2, "dQ"),  # set_alarm
    api.CacheResult: _encoder(3, "Qd"),  # retain
    api.Run: _encoder(4, "Q"),  # dispatch
    api.Log: lambda instance, action: _encode_text(_LOG_CODE, instance, action.text),
    api.CallDependency: _encoder(6, "Qd"),  # ask_below
    api.RespondFromCache: _encoder(7, "Q"),  # reuse
    api.SetIdleTimeout: _encoder(8, "d"),  # idle
    api.EvictResult: _encoder(9, "Q"),  # unpin
    api.CancelRun: _encoder(10, "Q"),  # abort_work
    api.Reject: _encoder(11, "QdB"),  # turn_away
    api.SetHealth: _encoder(12, "BB"),  # set_health
    api.PublishLoad: _encoder(13, "f"),  # publish
    api.Fail: _encoder(14, "Q"),  # report_failure
}


def encode_fault(instance: int, text: str) -> bytes:
    """Encode the record that reports a failure of the admission controller of an instance."""
    return _encode_text(_FAULT_CODE, instance, text)


def encode_action(instance: int, action: api.Action) -> bytes:
    """Encode the record of an action."""
    return _ENCODERS[type(action)](instance, action)


def encode_reply(records: list[bytes]) -> bytes:
    """Encode the frame of a reply from its encoded records."""
    payload = b"".join(records)
    return _HEADER.pack(len(records), len(payload)) + payload
