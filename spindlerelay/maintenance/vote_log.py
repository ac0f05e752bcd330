"""Durable record of a voter: a vote is on disk before its reply is sent.

The module must not depend on other nodes or on a clock. A voter's directory has two files:

    LOCK    locked by the only process that votes with the directory
    vote    the complete record: a line of JSON, preceded by its CRC-32; replaced, never modified

The identity of a directory is drawn at random when the directory is created, so a node that returns with an
empty directory is another voter. A record that cannot be read must not be treated as an empty record, since
the voter would break its promises.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from collections.abc import Callable
from typing import Any

import ujson
from loguru import logger

from spindlerelay.errors import SpindlerelayError
from spindlerelay.maintenance.lease_ledger import LeaseLedger, MaintenanceLease, Voter
from spindlerelay.maintenance.quorum import Ballot, Reply, Request, VoterState, respond
from spindlerelay.storage.disk import write_all
from spindlerelay.storage.records import UnusableStorageError
from spindlerelay.transport.disk import HOST_DISK, Disk

LAYOUT_VERSION = 1
FOLDER_ID_BYTES = 8
MAX_RECORD_BYTES = 1 << 20  # a record with 4,096 leases takes a quarter of this
LOCK_NAME = "LOCK"
RECORD_NAME = "vote"
TEMPORARY_SUFFIX = ".tmp"
REMEDY = "if it cannot be restored, remove the folder and admit this node as a new voter"


class InvalidRecordError(SpindlerelayError, ValueError):
    """Raised for data that is not a complete record of the supported layout."""


def encode(voter: Voter, state: VoterState) -> bytes:
    """Return the stored form of a voter's record."""
    ledger = state.ledger
    text = ujson.dumps(
        [
            LAYOUT_VERSION,
            list(voter),
            list(state.promised),
            list(state.accepted),
            [
                ledger.version,
                ledger.last_lease_number,
                [list(other) for other in ledger.voters],
                [list(lease) for lease in ledger.leases],
                ledger.hold_reason,
            ],
        ]
    ).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode(data: bytes) -> tuple[Voter, VoterState]:
    """Return the voter and its state from a stored record.

    Raises:
        InvalidRecordError: the record is damaged or has another layout.
        ValueError, TypeError, IndexError: the record does not have the expected structure.
    """
    checksum, _, text = data.partition(b" ")
    text = text.removesuffix(b"\n")
    if checksum != b"%08x" % zlib.crc32(text):
        raise InvalidRecordError("damaged")
    tree: Any = ujson.loads(text)
    if tree[0] != LAYOUT_VERSION:
        raise InvalidRecordError(f"of layout {tree[0]}, expected layout {LAYOUT_VERSION}")
    _, voter, promised, accepted, (version, last_number, voters, leases, hold_reason) = tree
    ledger = LeaseLedger(
        version,
        last_number,
        tuple(Voter(*fields) for fields in voters),
        tuple(MaintenanceLease(*fields) for fields in leases),
        hold_reason,
    )
    return Voter(*voter), VoterState(Ballot(*promised), Ballot(*accepted), ledger)


def random_folder_id() -> str:
    """Return a random identity for a new directory."""
    return os.urandom(FOLDER_ID_BYTES).hex()


class VoteLog:
    """A voter's directory, locked from construction to ``close``.

    Args:
        path: path of the directory.
        name: name of the node.
        folder_id: returns the identity of a new directory.
        disk: the disk operations to use.

    Raises:
        UnusableStorageError: another process uses the directory, or the record is damaged or belongs to
            another node.
        OSError: a disk operation failed.
    """

    def __init__(
        self, path: str, name: str, folder_id: Callable[[], str] = random_folder_id, disk: Disk = HOST_DISK
    ) -> None:
        self.path = path
        self.disk = disk
        self.unanswered_requests = 0  # requests without a reply since the disk began to fail
        self.voter: Voter
        self.state: VoterState
        try:
            self._lock_fd = disk.lock(path, self._path_of(LOCK_NAME))
        except BlockingIOError:
            raise UnusableStorageError("in use by another process", "name another folder", path) from None
        try:
            self._open(name, folder_id)
        except (OSError, UnusableStorageError):
            disk.close(self._lock_fd)
            raise

    def answer(self, request: Request) -> Reply | None:
        """Record the vote on disk and return the reply; return None if the write failed.

        A proposer treats a missing reply like a reply that the network lost.
        """
        state, reply = respond(self.voter, self.state, request)
        if state == self.state:
            return reply
        try:
            self._write(state)
        except OSError as error:
            if not self.unanswered_requests:
                logger.error(
                    "maintenance: voting suspended, cannot write to {}: {}", self.path, error.strerror
                )
            self.unanswered_requests += 1
            return None
        if self.unanswered_requests:
            logger.info(
                "maintenance: voting resumed, {} requests were not answered", self.unanswered_requests
            )
            self.unanswered_requests = 0
        self.state = state
        return reply

    def close(self) -> None:
        """Release the lock."""
        with contextlib.suppress(OSError):
            self.disk.close(self._lock_fd)

    def _open(self, name: str, folder_id: Callable[[], str]) -> None:
        path = self._path_of(RECORD_NAME)
        if RECORD_NAME not in self.disk.list_names(self.path):
            self.voter = Voter(name, folder_id())
            self.state = VoterState()
            self._write(self.state)
            return
        try:
            self.voter, self.state = decode(self.disk.read(path, MAX_RECORD_BYTES))
        except (ValueError, TypeError, IndexError) as error:
            raise UnusableStorageError(str(error), REMEDY, path, separator="; ") from None
        if self.voter.node_name != name:
            problem = f"of the node {self.voter.node_name}, not {name}"
            raise UnusableStorageError(problem, "name another folder", path)

    def _write(self, state: VoterState) -> None:
        """Replace the record, and return once it is complete on stable storage under its name."""
        path = self._path_of(RECORD_NAME)
        temporary_path = path + TEMPORARY_SUFFIX
        fd = self.disk.create(temporary_path, False)
        try:
            write_all(self.disk, fd, encode(self.voter, state))
            self.disk.sync(fd, False)
        finally:
            self.disk.close(fd)
        self.disk.rename(temporary_path, path)
        self.disk.sync_directory(self.path)

    def _path_of(self, name: str) -> str:
        return os.path.join(self.path, name)  # noqa: PTH118 (Path would normalize what the user wrote)
