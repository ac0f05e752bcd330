"""Format of request traces: one JSON object per line, documented in docs/traces.md. Pure.

This module maps ``TraceRecord`` to the stored field names. The first line (header) names the format and its
version; the last line (footer) counts the records, so a trace without a footer is truncated. Request bodies
and keys appear only as salted hashes, by which readers can recognise equal bodies and keys.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

import ujson

FORMAT = "spindlerelay-trace"
VERSION = 1
DIGEST_BYTES = 8  # digest size for request bodies
KEY_BYTES = 16  # digest size for idempotency keys
MAX_SALT_BYTES = 64  # maximum key length of BLAKE2b


class TraceRecord(NamedTuple):
    """One received request.

    ``at_ms`` is the time since the first request of the trace. ``remaining_ms`` is the time that the caller
    waits, 0 for the default of the class. ``body_digest`` and ``key_digest`` are hex digits; they are empty
    if the body is unknown or the request has no key.
    """

    at_ms: float
    class_name: str
    tenant: str = ""
    criticality: float = 0.5
    queued_memory_kb: float = 30.0
    remaining_ms: float = 0.0
    body_bytes: int = 100
    body_digest: str = ""
    key_digest: str = ""
    is_retry: bool = False


def digest(salt: bytes, data: bytes, size: int = DIGEST_BYTES) -> str:
    """Return the BLAKE2b digest keyed by the salt (RFC 7693), ``size`` bytes in hex digits."""
    return hashlib.blake2b(data, digest_size=size, key=salt[:MAX_SALT_BYTES]).hexdigest()


def encode_header(note: str = "") -> bytes:
    """Return the first line of a trace, with an optional note on its origin."""
    header: dict[str, Any] = {"format": FORMAT, "version": VERSION}
    if note:
        header["note"] = note
    return _line(header)


def encode_record(record: TraceRecord) -> bytes:
    """Return the line of a record; most fields with an empty value are left out."""
    stored: dict[str, Any] = {"at": round(record.at_ms, 3), "class": record.class_name}
    if record.tenant:
        stored["department"] = record.tenant
    stored["rank"] = round(record.criticality, 4)
    stored["heap"] = round(record.queued_memory_kb, 1)
    if record.remaining_ms:
        stored["ttl"] = round(record.remaining_ms, 1)
    stored["bytes"] = record.body_bytes
    if record.body_digest:
        stored["body"] = record.body_digest
    if record.key_digest:
        stored["key"] = record.key_digest
    if record.is_retry:
        stored["retry"] = True
    return _line(stored)


def encode_footer(count: int, missed: int = 0) -> bytes:
    """Return the last line; ``missed`` is the number of requests beyond the limits of the capture."""
    footer = {"end": count}
    if missed:
        footer["missed"] = missed
    return _line(footer)


def _line(stored: dict[str, Any]) -> bytes:
    return ujson.dumps(stored, escape_forward_slashes=False).encode() + b"\n"
