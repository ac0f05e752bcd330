"""Codec of the balancers' protocol, MessagePack-RPC: decodes calls and encodes responses.

Only this module knows the field and method names of the protocol. Pure: no sockets, no clock, no decisions.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgpack

from spindlerelay.errors import SpindlerelayError
from spindlerelay.node.frontend import Failure, FinalResponse, IncomingRequest, Rejection, Success

METHOD_HEALTH_CHECK = "ping"
METHOD_WITHDRAW = "abort"
METHOD_GOAWAY = "goaway"

FIELD_CALL_ID = "call"
FIELD_RECEIVED_AT = "recv"
FIELD_TIME_TO_LIVE = "ttl"
FIELD_TENANT = "org"
FIELD_CALLER_ID = "src"
FIELD_IS_RETRY = "rep"
FIELD_QUEUED_MEMORY = "heap"
FIELD_CRITICALITY = "crit"
FIELD_IDEMPOTENCY_KEY = "dedupe"
FIELD_RESOURCE_KEY = "row"
FIELD_LOAD = "load"
FIELD_RETRY_AFTER = "pushback"
FIELD_DO_NOT_RETRY = "stop"
TRUE = "1"
ERROR_REJECTED = "Busy"

MESSAGE_REQUEST = 0
MESSAGE_RESPONSE = 1
MESSAGE_NOTIFICATION = 2

MAX_BODY_BYTES = 2048  # protocol limit
MAX_FRAME_BYTES = 8192  # enough for the body and a dozen short fields, with a wide margin
MAX_ITEMS = 64  # limit for one array or map; a valid frame has about a dozen items
MAX_MESSAGE_ID = 2**32
MAX_TIME_TO_LIVE_MS = 1e6  # limit for classes that set none
MAX_QUEUED_MEMORY_KB = 2000.0
CALLER_ID_MASK = 0xFFFFFFFF
MAX_SHOWN_METHOD_CHARS = 40  # longer names of unknown methods are cut in the error text

HEX_16_DIGITS = re.compile(r"[0-9a-fA-F]{16}\Z")
HEX_32_DIGITS = re.compile(r"[0-9a-fA-F]{32}\Z")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?(e-?[0-9]{1,2})?\Z")
GOAWAY: bytes = msgpack.packb([MESSAGE_NOTIFICATION, METHOD_GOAWAY, []])


class Call(NamedTuple):
    """A request whose frame is valid; its parameters may still be invalid."""

    msgid: int
    method: str
    params: list[Any]


class Withdrawal(NamedTuple):
    """A notification that the balancer no longer waits for the request with this message id."""

    msgid: int


class RequestSchema(NamedTuple):
    """Properties of a request class that are needed to decode its requests."""

    class_index: int
    keyed: bool
    max_ttl_ms: float = MAX_TIME_TO_LIVE_MS


class InvalidFrameError(SpindlerelayError):
    """Bytes that are not a valid frame; the rest of the stream is unreadable."""


class InvalidRequestError(SpindlerelayError):
    """A request in a valid frame that cannot be accepted. The error text is sent to the balancer."""


class InvalidFieldError(InvalidRequestError):
    """A request field that is missing or out of range."""

    def __init__(self, field: str) -> None:
        super().__init__(f"bad field {field}")
        self.field = field


class InvalidParametersError(InvalidRequestError):
    """Parameters other than a map of fields and a binary body."""

    def __init__(self) -> None:
        super().__init__("a request needs fields and a body")


class UnknownMethodError(InvalidRequestError):
    """A method that is not the name of a request class of this node."""

    def __init__(self, method: str) -> None:
        super().__init__(f"unknown method {method[:MAX_SHOWN_METHOD_CHARS]}")
        self.method = method


class MessageIdInUseError(InvalidRequestError):
    """A second open request with the same message id on one connection."""

    def __init__(self, msgid: int) -> None:
        super().__init__("message id is in use")
        self.msgid = msgid


class TooManyRequestsError(InvalidRequestError):
    """More open requests on one connection than the protocol allows."""

    def __init__(self, limit: int) -> None:
        super().__init__("too many open requests")
        self.limit = limit


def _new_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        raw=False,
        max_buffer_size=8 * MAX_FRAME_BYTES,
        max_str_len=MAX_FRAME_BYTES,
        max_bin_len=MAX_BODY_BYTES,
        max_array_len=MAX_ITEMS,
        max_map_len=MAX_ITEMS,
        max_ext_len=0,
        read_size=4096,
    )


class Decoder:
    """Decodes the frames of one connection. Once ``error`` is set, no more frames can be decoded.

    All decoders share one unpacker, since an unpacker takes 44 KB. It holds no data between two chunks,
    because each decoder keeps the incomplete frame at the end of a chunk in ``partial_frame``.
    """

    _shared_unpacker = _new_unpacker()

    def __init__(self) -> None:
        self.error = ""
        self.partial_frame = b""
        self.frame_count = 0  # whole frames in the last chunk, also those without a message

    def feed(self, data: bytes) -> list[Call | Withdrawal]:
        """Return the messages that ``data`` completes, including the ones ahead of an invalid frame."""
        messages: list[Call | Withdrawal] = []
        self.frame_count = 0
        if self.partial_frame:
            data = self.partial_frame + data
            if len(data) <= MAX_FRAME_BYTES and not _begins_with_whole_frame(data):
                self.partial_frame = data
                return messages
        unpacker = Decoder._shared_unpacker
        start = frame_end = unpacker.tell()
        try:
            unpacker.feed(data)
            for frame in unpacker:
                frame_start = frame_end
                frame_end = unpacker.tell()
                self.frame_count += 1
                if frame_end - frame_start > MAX_FRAME_BYTES:
                    raise InvalidFrameError("oversized frame")
                if message := _decode_frame(frame):
                    messages.append(message)
            self.partial_frame = data[frame_end - start :]
            if len(self.partial_frame) > MAX_FRAME_BYTES:
                raise InvalidFrameError("oversized frame")
        except Exception as error:  # msgpack raises many types; all mean an unreadable stream
            self.error = str(error) or type(error).__name__
            self.partial_frame = b""
        if self.partial_frame or self.error:
            Decoder._shared_unpacker = _new_unpacker()  # the old one still buffers the incomplete frame
        return messages


def _begins_with_whole_frame(data: bytes) -> bool:
    """Return whether ``data`` begins with a whole frame, or with bytes that can't be one.

    This creates no objects, so it costs little where a frame comes in many pieces.
    """
    unpacker = _new_unpacker()
    unpacker.feed(data)
    try:
        unpacker.skip()
    except msgpack.OutOfData:
        return False
    except Exception:  # as in ``Decoder.feed``, which reports the error
        return True
    return True


def _decode_frame(frame: Any) -> Call | Withdrawal | None:
    """Return the decoded frame, or None for an unknown notification, which needs no response."""
    if not isinstance(frame, list) or not frame:
        raise InvalidFrameError("not a message")
    if frame[0] == MESSAGE_NOTIFICATION and len(frame) == 3:
        _, method, params = frame
        is_withdrawal = method == METHOD_WITHDRAW and isinstance(params, list) and len(params) == 1
        return Withdrawal(params[0]) if is_withdrawal and type(params[0]) is int else None
    if frame[0] == MESSAGE_RESPONSE:
        raise InvalidFrameError("a response where a request belongs")
    if type(frame[0]) is not int or frame[0] != MESSAGE_REQUEST or len(frame) != 4:
        raise InvalidFrameError("not a request")
    _, msgid, method, params = frame
    if type(msgid) is not int or not 0 <= msgid < MAX_MESSAGE_ID:
        raise InvalidFrameError("bad message id")
    if not isinstance(method, str) or not isinstance(params, list):
        raise InvalidFrameError("bad method or parameters")
    return Call(msgid, method, params)


def _matching_field(fields: Mapping[str, Any], name: str, pattern: re.Pattern[str]) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not pattern.match(value):
        raise InvalidFieldError(name)
    return value


def _number_field(fields: Mapping[str, Any], name: str, minimum: float, upper_bound: float) -> float:
    value = float(_matching_field(fields, name, DECIMAL))
    if not minimum <= value < upper_bound:
        raise InvalidFieldError(name)
    return value


def _tenant_index(fields: Mapping[str, Any], tenants: Mapping[str, int]) -> int:
    if not tenants:
        return 0
    tenant = fields.get(FIELD_TENANT, "")
    index = tenants.get(tenant) if isinstance(tenant, str) else None
    if index is None:
        raise InvalidFieldError(FIELD_TENANT)
    return index


def decode_request(params: list[Any], schema: RequestSchema, tenants: Mapping[str, int]) -> IncomingRequest:
    """Return the request in the parameters of a call.

    Args:
        params: parameters of the call: a map of fields and the body.
        schema: properties of the request's class.
        tenants: indices of the tenants by name; empty if the settings have no tenants.

    Raises:
        InvalidRequestError: if a parameter or a field is invalid; the text names the field.
    """
    if len(params) != 2 or not isinstance(params[0], dict) or not isinstance(params[1], bytes):
        raise InvalidParametersError
    fields, body = params
    received_at_ms = float(_matching_field(fields, FIELD_RECEIVED_AT, DIGITS))
    tenant_index = _tenant_index(fields, tenants)
    queued_memory_kb = _number_field(fields, FIELD_QUEUED_MEMORY, 0.0, MAX_QUEUED_MEMORY_KB)
    if not queued_memory_kb:
        raise InvalidFieldError(FIELD_QUEUED_MEMORY)
    keyed = schema.keyed
    has_resource = FIELD_RESOURCE_KEY in fields and not keyed
    return IncomingRequest(
        call_id=_matching_field(fields, FIELD_CALL_ID, HEX_16_DIGITS).lower(),
        class_index=schema.class_index,
        received_at_ms=received_at_ms,
        due_at_ms=received_at_ms + _number_field(fields, FIELD_TIME_TO_LIVE, 0.0, schema.max_ttl_ms),
        body=body,
        tenant_index=tenant_index,
        caller_id=int(_matching_field(fields, FIELD_CALLER_ID, DIGITS)) & CALLER_ID_MASK,
        is_retry=fields.get(FIELD_IS_RETRY) == TRUE,
        queued_memory_kb=queued_memory_kb,
        criticality=_number_field(fields, FIELD_CRITICALITY, 0.0, 1.0),
        idempotency_key=_matching_field(fields, FIELD_IDEMPOTENCY_KEY, HEX_32_DIGITS) if keyed else "",
        resource_key=int(_matching_field(fields, FIELD_RESOURCE_KEY, HEX_16_DIGITS), 16)
        if has_resource
        else 0,
    )


def _load_fields(load: float | None) -> dict[str, str]:
    return {} if load is None else {FIELD_LOAD: f"{load:.4f}"}


def _retry_fields(rejection: Rejection) -> dict[str, str]:
    fields = {}
    retry_after_ms = round(rejection.retry_after_ms)
    if retry_after_ms > 0:
        fields[FIELD_RETRY_AFTER] = str(retry_after_ms)
    if rejection.do_not_retry:
        fields[FIELD_DO_NOT_RETRY] = TRUE
    return fields


def encode_response(msgid: int, response: FinalResponse, load: float | None) -> bytes:
    """Return the frame of a final response; no load is published if ``load`` is None."""
    fields = _load_fields(load)
    frame: list[Any]
    if isinstance(response, Success):
        frame = [MESSAGE_RESPONSE, msgid, None, [response.result, fields]]
    elif isinstance(response, Failure):
        frame = [MESSAGE_RESPONSE, msgid, [response.reason, fields], None]
    else:
        frame = [MESSAGE_RESPONSE, msgid, [ERROR_REJECTED, fields | _retry_fields(response)], None]
    packed: bytes = msgpack.packb(frame)
    return packed


def encode_health(msgid: int, healthy: bool, load: float | None) -> bytes:
    """Return the frame of the response to a health check; no load is published if ``load`` is None."""
    packed: bytes = msgpack.packb([MESSAGE_RESPONSE, msgid, None, [healthy, _load_fields(load)]])
    return packed
