"""Client side of the protocols between balancers and nodes, without I/O.

Each class implements ``BalancerProtocol``: it encodes the requests and decodes the responses of one protocol.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

import msgpack

from spindlerelay.errors import SpindlerelayError
from spindlerelay.testbed.models.retry_path import Response
from spindlerelay.testbed.models.traffic import Request

MAX_BUFFER_BYTES = 1 << 20  # buffer for incomplete messages, per connection
NOTIFICATION = 2  # MessagePack-RPC message type; the only notification is goaway


class MalformedResponseError(SpindlerelayError, ValueError):
    """A received message is not a valid response or notification of the protocol."""

    def __init__(self, message: Any) -> None:
        super().__init__(f"malformed response: {str(message)[:80]}")
        self.message = message


class ReceivedMessage(NamedTuple):
    """A response to the request with message number ``number``.

    A number of None stands for a goaway: the node asks the client to end the connection.
    """

    number: int | None
    response: Response = Response("refused")


def request_fields(
    request: Request, call_id: str, balancer: int, received_at: float, remaining_ms: float, is_retry: bool
) -> dict[str, str]:
    """Return the fields of a request, as the protocol names them.

    ``received_at`` is the time in Unix ms at which the balancer received the request. ``remaining_ms`` is the
    time left until its deadline.
    """
    fields = {
        "call": call_id,
        "recv": f"{received_at:.0f}",
        "src": str(balancer),
        "org": request.tenant,
        "ttl": str(max(1, round(remaining_ms))),
        "heap": f"{request.memory_kb:.1f}",
        "crit": f"{request.criticality:.4f}",
    }
    if is_retry:
        fields["rep"] = "1"
    if request.idempotency_key:
        fields["dedupe"] = request.idempotency_key
    return fields


class BalancerProtocol(Protocol):
    """Codec of the client side of one connection; it may hold an incomplete message."""

    def request(self, number: int, method: str, fields: dict[str, str], body: bytes) -> bytes:
        """Encode a request."""

    def feed(self, data: bytes) -> list[ReceivedMessage]:
        """Return the messages that the received bytes complete.

        Raises:
            ValueError: a message is malformed.
        """


class MessagePackRpc:
    """The platform's protocol between balancers and nodes."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MAX_BUFFER_BYTES)

    def request(self, number: int, method: str, fields: dict[str, str], body: bytes) -> bytes:
        """Encode a request."""
        packed: bytes = msgpack.packb([0, number, method, [fields, body]])
        return packed

    def feed(self, data: bytes) -> list[ReceivedMessage]:
        """Return the messages that the received bytes complete.

        Raises:
            ValueError: a message is malformed.
        """
        self._unpacker.feed(data)
        return [_decode(message) for message in self._unpacker]


def _decode(message: Any) -> ReceivedMessage:
    try:
        if message[0] == NOTIFICATION:
            return ReceivedMessage(None)
        _, number, error, result = message
        content, fields = error or result
        load = float(fields["load"]) if "load" in fields else None
        if error is None:
            return ReceivedMessage(number, Response("served", content, load))
        if content == "Busy":
            retry_after_ms = float(fields.get("pushback", 0))
            return ReceivedMessage(
                number, Response("refused", b"", load, retry_after_ms, bool(fields.get("stop")))
            )
        return ReceivedMessage(number, Response("failed", b"", load, reason=str(content)))
    except (TypeError, KeyError, IndexError, ValueError) as error:
        raise MalformedResponseError(message) from error
