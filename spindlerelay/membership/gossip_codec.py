"""Codec of the gossip protocol's datagrams: MessagePack, validated completely on receipt.

The module does no I/O and defines only the wire format. Message kinds and statuses are encoded as numbers:

    [version, cluster, kind, sequence, target, sender, updates]

An update is ``[name, host, port, status, incarnation, age, accuser, report]``. The age is in ms at the time
when the datagram was sent, so clocks are never compared. An invalid datagram raises ``DatagramError``.
"""

from __future__ import annotations

from enum import StrEnum
from functools import lru_cache
from typing import Any, NamedTuple

import msgpack

from spindlerelay.errors import SpindlerelayError
from spindlerelay.membership.messages import (
    MAX_UPDATES_PER_MESSAGE,
    Address,
    GossipUpdate,
    MemberStatus,
    Message,
    MessageKind,
    NodeReport,
)

VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # fits in one packet on any network in use
MAX_NAME_LENGTH = 127
MAX_TEXT_LENGTH = 64
MAX_AGE_MS = 86_400_000.0
MAX_INTEGER = 1 << 53
MAX_RUNS_PER_SECOND = 1e6
MAX_WEIGHT = 100.0
CACHE_SIZE = 4096

# The index of a value is its number on the wire.
WIRE_KINDS = (
    MessageKind.PING,
    MessageKind.ACK,
    MessageKind.PING_REQUEST,
    MessageKind.TABLE_REQUEST,
    MessageKind.GOSSIP,
)
WIRE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT)
KIND_NUMBERS = {kind: number for number, kind in enumerate(WIRE_KINDS)}
STATUS_NUMBERS = {status: number for number, status in enumerate(WIRE_STATUSES)}


class RejectionReason(StrEnum):
    """Reasons to reject a datagram. A value is the name of the reason's counter on the members page."""

    NOT_MESSAGEPACK = "not MessagePack"
    MALFORMED = "malformed"
    OTHER_VERSION = "another version"
    OTHER_CLUSTER = "another cluster"


class DatagramError(SpindlerelayError, ValueError):
    """Raised for a rejected datagram; the message is the value of ``reason``."""

    def __init__(self, reason: RejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class _Identity(NamedTuple):
    """The fields of an update that are equal in most datagrams about a node."""

    address: Address
    status: MemberStatus


def encode(cluster: str, message: Message) -> bytes:
    """Return a message as one datagram, without the last updates if they exceed the size limit."""
    header = [VERSION, cluster, KIND_NUMBERS[message.kind], message.sequence, message.target]
    sender = _encode_update(message.sender)
    updates = [_encode_update(update) for update in message.updates[:MAX_UPDATES_PER_MESSAGE]]
    while True:
        data: bytes = msgpack.packb([*header, sender, updates])
        if len(data) <= MAX_DATAGRAM_BYTES or not updates:
            return data
        updates.pop()


def _encode_update(update: GossipUpdate) -> list[Any]:
    name, address, status, incarnation, age_ms, accuser, report = update
    encoded_report = None if report is None else _encode_report(report)
    age = int(min(max(0.0, age_ms), MAX_AGE_MS))
    return [name, *address, STATUS_NUMBERS[status], incarnation, age, accuser, encoded_report]


@lru_cache(maxsize=CACHE_SIZE)
def _encode_report(report: NodeReport) -> tuple[float | str, ...]:
    cpu_utilization, runs_per_second, state, site, version, weight = report
    return round(cpu_utilization, 3), round(runs_per_second, 3), state, site, version, round(weight, 3)


def decode(cluster: str, data: bytes) -> Message:
    """Return the message that a datagram carries.

    Raises:
        DatagramError: the datagram is malformed, or has another protocol version or cluster.
    """
    try:
        fields = msgpack.unpackb(data, raw=False, max_array_len=64, max_str_len=256, max_map_len=0)
    except Exception:  # msgpack raises a dozen exception types for invalid input
        raise DatagramError(RejectionReason.NOT_MESSAGEPACK) from None
    if not isinstance(fields, list) or not fields:
        raise DatagramError(RejectionReason.MALFORMED)
    if fields[0] != VERSION:
        raise DatagramError(RejectionReason.OTHER_VERSION)
    if len(fields) != 7:
        raise DatagramError(RejectionReason.MALFORMED)
    if fields[1] != cluster:
        raise DatagramError(RejectionReason.OTHER_CLUSTER)
    _, _, kind, sequence, target, sender, updates = fields
    valid = (
        _is_integer(kind, len(WIRE_KINDS) - 1)
        and _is_integer(sequence, MAX_INTEGER)
        and _is_text(target, MAX_NAME_LENGTH)
        and isinstance(updates, list)
        and len(updates) <= MAX_UPDATES_PER_MESSAGE
    )
    if not valid:
        raise DatagramError(RejectionReason.MALFORMED)
    decoded = tuple(map(_decode_update, updates))
    return Message(WIRE_KINDS[kind], sequence, target, _decode_update(sender), decoded)


def _decode_update(fields: Any) -> GossipUpdate:
    try:
        name, host, port, status_number, incarnation, age, accuser, report_fields = fields
        report = None if report_fields is None else _decode_report(tuple(report_fields))
        address, status = _decode_identity(name, host, port, status_number, incarnation, accuser)
    except (TypeError, ValueError):  # a wrong number of fields, or a list in place of a string
        raise DatagramError(RejectionReason.MALFORMED) from None
    if not _is_number(age, MAX_AGE_MS):
        raise DatagramError(RejectionReason.MALFORMED)
    return GossipUpdate(name, address, status, incarnation, float(age), accuser, report)


# The next two functions are cached: the same fields arrive from many members, and validation is most of the
# cost of decoding.


@lru_cache(maxsize=CACHE_SIZE)
def _decode_identity(
    name: Any, host: Any, port: Any, status_number: Any, incarnation: Any, accuser: Any
) -> _Identity:
    valid = (
        _is_text(name, MAX_NAME_LENGTH)
        and name
        and _is_ipv4_address(host)
        and _is_integer(port, 65535)
        and port
        and _is_integer(status_number, len(WIRE_STATUSES) - 1)
        and _is_integer(incarnation, MAX_INTEGER)
        and _is_text(accuser, MAX_NAME_LENGTH)
    )
    if not valid:
        raise DatagramError(RejectionReason.MALFORMED)
    return _Identity((host, port), WIRE_STATUSES[status_number])


@lru_cache(maxsize=CACHE_SIZE)
def _decode_report(fields: tuple[Any, ...]) -> NodeReport:
    if len(fields) != 6:
        raise DatagramError(RejectionReason.MALFORMED)
    cpu_utilization, runs_per_second, state, site, version, weight = fields
    valid = (
        _is_number(cpu_utilization, 1.0)
        and _is_number(runs_per_second, MAX_RUNS_PER_SECOND)
        and _is_number(weight, MAX_WEIGHT)
        and all(_is_text(text, MAX_TEXT_LENGTH) for text in (state, site, version))
    )
    if not valid:
        raise DatagramError(RejectionReason.MALFORMED)
    return NodeReport(float(cpu_utilization), float(runs_per_second), state, site, version, float(weight))


def _is_integer(value: Any, maximum: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= maximum


def _is_number(value: Any, maximum: float) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value <= maximum


def _is_text(value: Any, max_length: int) -> bool:
    return isinstance(value, str) and len(value) <= max_length and value.isprintable()


def _is_ipv4_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    parts = value.split(".")
    return len(parts) == 4 and all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts)
