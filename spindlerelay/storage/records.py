"""Codec of journals and snapshots. Pure; docs/storage-design.md describes the layout.

A file consists of a header and records. The checksum of a record also covers the file's generation and the
record's offset, so that stale disk blocks are not read as current records. Decoding a damaged file raises no
error: the result counts the damage. Files that this node must not use raise UnusableStorageError.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from hashlib import blake2b
from typing import Any, NamedTuple

import msgpack

from spindlerelay.errors import SpindlerelayError

MAGIC = b"SPRY"
LAYOUT_VERSION = 2  # layout 1 stores runs without a content hash
NODE_ID_BYTES = 8
HEADER_LAYOUT = struct.Struct("<4sHBx8sQdI")  # magic, version, kind, node, generation, created at, checksum
RECORD_HEAD_LAYOUT = struct.Struct("<IB")  # length of the payload, kind
POSITION_LAYOUT = struct.Struct("<QQ")  # generation, offset
CHECKSUM_LAYOUT = struct.Struct("<I")
MAX_PAYLOAD_BYTES = 1 << 20


class FileKind(IntEnum):
    """Whether a file is a journal or a snapshot; the values are stored."""

    JOURNAL = 1
    SNAPSHOT = 2


class RecordKind(IntEnum):
    """Type of a record; the values are stored."""

    RUNS_STARTED = 1  # body: a list of [key, content hash, end of the binding in Unix ms]
    RESULTS = 2  # body: a list of [key, result]
    RUNS_VOIDED = 3  # body: a list of keys whose runs never happened
    LEARNED_STATE = 4  # body: a map, see learned_state_decay
    SNAPSHOT_END = 5  # body: the number of keys in the snapshot


class UnusableStorageError(SpindlerelayError):
    """A file or directory that this node must neither read nor overwrite; the message ends with a remedy."""

    def __init__(self, problem: str, remedy: str, path: str = "", separator: str = ": ") -> None:
        self.problem = problem
        self.remedy = remedy
        self.path = path
        text = f"{problem}{separator}{remedy}"
        super().__init__(f"{path}: {text}" if path else text)


class Header(NamedTuple):
    """The header of a file; ``created_at_ms`` is in Unix ms."""

    version: int
    kind: int
    generation: int
    created_at_ms: float


class Record(NamedTuple):
    """A record as read; neither its kind nor the shape of its body has been checked."""

    kind: int
    body: Any


class FileContents(NamedTuple):
    """The intact records of a file, and its damage.

    Attributes:
        header: header of the file, None if it is torn or damaged.
        records: intact records, in the order of the file.
        damaged_records: number of records with a wrong checksum or an undecodable body, a torn last record
            excepted.
        torn_bytes: bytes of a last record whose write was not completed.
        is_complete: whether the end record of a snapshot was read.
    """

    header: Header | None
    records: list[Record]
    damaged_records: int = 0
    torn_bytes: int = 0
    is_complete: bool = False


def node_id(name: str) -> bytes:
    """Return the hash of a node's name that identifies the node in its files."""
    return blake2b(name.encode(), digest_size=NODE_ID_BYTES).digest()


def encode_header(kind: FileKind | int, name: str, generation: int, created_at_ms: float) -> bytes:
    """Return the header of a file of the node ``name``."""
    fields = (MAGIC, LAYOUT_VERSION, kind, node_id(name), generation, created_at_ms, 0)
    head = HEADER_LAYOUT.pack(*fields)[: -CHECKSUM_LAYOUT.size]
    return head + CHECKSUM_LAYOUT.pack(zlib.crc32(head))


def encode_record(kind: RecordKind | int, body: Any, generation: int, offset: int) -> bytes:
    """Return the bytes of a record at ``offset`` in a file of this generation."""
    payload: bytes = msgpack.packb(body)
    framed = RECORD_HEAD_LAYOUT.pack(len(payload), kind) + payload
    position_checksum = zlib.crc32(POSITION_LAYOUT.pack(generation, offset))
    return framed + CHECKSUM_LAYOUT.pack(zlib.crc32(framed, position_checksum))


def decode_header(data: bytes, name: str) -> Header | None:
    """Return the header, or None if it is torn or damaged.

    Raises:
        UnusableStorageError: A newer version or another node wrote the file.
    """
    if len(data) < HEADER_LAYOUT.size or not data.startswith(MAGIC):
        return None
    _, version, kind, node, generation, created_at_ms, checksum = HEADER_LAYOUT.unpack_from(data)
    if zlib.crc32(data[: HEADER_LAYOUT.size - CHECKSUM_LAYOUT.size]) != checksum:
        return None
    if version > LAYOUT_VERSION:
        raise UnusableStorageError(
            f"written by a newer version (layout {version}, this one reads up to {LAYOUT_VERSION})",
            "start that version, or move the folder away",
        )
    if node != node_id(name):
        raise UnusableStorageError("written by another node", "give each node a folder of its own")
    return Header(version, kind, generation, created_at_ms)


def decode_file(data: bytes, name: str) -> FileContents:
    """Return all intact records of a file.

    A damaged record is skipped if its length field leads to a following record. The loop calls no functions
    of this module, because it decodes every record before the node starts.
    """
    header = decode_header(data, name)
    if header is None:
        return FileContents(None, [], torn_bytes=len(data))
    records = list[Record]()
    damaged = 0
    start = HEADER_LAYOUT.size
    file_end = len(data)
    view = memoryview(data)
    generation = header.generation
    crc = zlib.crc32
    unpack = msgpack.unpackb
    end_kind = int(RecordKind.SNAPSHOT_END)
    while start < file_end:
        body_start = start + RECORD_HEAD_LAYOUT.size
        if body_start > file_end:
            break
        length, kind = RECORD_HEAD_LAYOUT.unpack_from(data, start)
        body_end = body_start + length
        record_end = body_end + CHECKSUM_LAYOUT.size
        if length > MAX_PAYLOAD_BYTES or record_end > file_end:
            break  # without a valid length the next record cannot be located
        expected = crc(view[start:body_end], crc(POSITION_LAYOUT.pack(generation, start)))
        if expected != CHECKSUM_LAYOUT.unpack_from(data, body_end)[0]:
            if record_end == file_end:
                break  # a bad last record is torn: its write was not completed
            damaged += 1
        elif kind == end_kind:
            return FileContents(header, records, damaged, is_complete=True)
        else:
            try:
                records.append(Record(kind, unpack(view[body_start:body_end], strict_map_key=False)))
            except (ValueError, msgpack.UnpackException):
                damaged += 1
        start = record_end
    return FileContents(header, records, damaged, torn_bytes=file_end - start)
