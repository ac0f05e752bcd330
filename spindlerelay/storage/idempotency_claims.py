"""Claims on keyed requests that all processes of one node share: a request runs once across a handover.

While an old and a new process accept from one listening socket, either process may receive an attempt of a
keyed request. Before an attempt runs, the process claims its key: it creates a file exclusively in a
directory that both processes share (in ``$TMPDIR``, which a handover does not empty). The process that
created the file runs the request. Until the claim expires, no other process may run an attempt received in
the window of that run, or report that the request never ran.

The file is empty, and its times hold the claim:

- access time: the end of the idempotency window of the attempt that ran;
- modification time: the time at which the claim expires. It lies after the window, since an attempt received
  within the window may be read late and may wait before it runs.

Earlier versions set both to the end of the window and remove a claim by its modification time. A sweep
postpones the expiry of such claims, so that an earlier version keeps them, too.

This module knows only a request's key and times. Times are Unix ms, as on the node's clock. Paths are
strings rather than ``Path`` objects, since a sweep visits thousands of files.
"""

# ruff: noqa: PTH103, PTH104, PTH108, PTH116, PTH118, PTH119

from __future__ import annotations

import contextlib
import hashlib
import os
from collections.abc import Iterator
from typing import NamedTuple

PRIVATE_PREFIX = "of-"  # marks a file that is no claim: one not yet published, or a lock
LOCK_SUFFIX = ".lock"
ABANDONED_AFTER_MS = 60_000.0  # a private file that expired this long ago was left by a killed process
MAX_FILES = 50_000  # further claims are refused: rejecting a run is better than filling the disk
KEY_DIGEST_BYTES = 16


class ClaimTimes(NamedTuple):
    """The times of a claim.

    Attributes:
        window_end_ms: no attempt received until this time may run.
        expires_at_ms: the claim may be removed after this time.
    """

    window_end_ms: float
    expires_at_ms: float

    @classmethod
    def of(cls, status: os.stat_result) -> ClaimTimes:
        """Return the times of a claim from the status of its file."""
        return cls(status.st_atime * 1000.0, status.st_mtime * 1000.0)

    def as_file_times(self) -> tuple[float, float]:
        """Return access and modification time in s, as ``os.utime`` takes them."""
        return self.window_end_ms / 1000.0, self.expires_at_ms / 1000.0

    def made_by_earlier_version(self) -> bool:
        """Return whether the claim expires with the window."""
        return self.expires_at_ms <= self.window_end_ms


class IdempotencyClaims:
    """The directory of claims.

    When the disk fails, a key counts as claimed by another process: this process then neither runs the
    request nor reports that it never ran.
    """

    def __init__(self, directory: str) -> None:
        self._directory = directory
        os.makedirs(directory, mode=0o700, exist_ok=True)
        self._private_path = os.path.join(directory, f"{PRIVATE_PREFIX}{os.getpid()}-{id(self):x}")
        # A killed process with the same PID may have left this file, linked as a claim.
        with contextlib.suppress(OSError):
            os.unlink(self._private_path)
        self._file_count = 0  # files found by the last sweep, plus claims created since

    def claim(self, key: str, received_at_ms: float, times: ClaimTimes) -> bool:
        """Return whether this process may run an attempt received at ``received_at_ms``.

        True once per key, until an attempt comes that was received after the window of the one that ran.

        The file's times are set before the file is linked under the key's name, and linking fails if the
        name exists. If the file were created under that name first, another process could see it before its
        times are set and treat the claim as one whose window has ended.
        """
        if self._file_count >= MAX_FILES:
            return False
        path = self._path(key)
        try:
            self._create_private_file(times)
            return self._publish(path) or self._replace(path, received_at_ms)
        except OSError:
            return False
        finally:
            with contextlib.suppress(OSError):
                os.unlink(self._private_path)

    def is_claimed(self, key: str, received_at_ms: float) -> bool:
        """Return whether any process may have run an attempt whose window covers this time."""
        try:
            return ClaimTimes.of(os.stat(self._path(key))).window_end_ms >= received_at_ms
        except FileNotFoundError:
            return False
        except OSError:
            return True

    def remove_expired(self, now_ms: float, retention_ms: float) -> None:
        """Remove all expired claims, including those of other processes.

        A claim of an earlier version is kept for ``retention_ms`` after its window.
        """
        count = 0
        with contextlib.suppress(OSError), os.scandir(self._directory) as entries:
            for entry in entries:
                try:
                    removed = self._sweep(entry, now_ms, retention_ms)
                except FileNotFoundError:
                    removed = True
                except OSError:
                    removed = False
                count += not removed
        self._file_count = count

    def _path(self, key: str) -> str:
        digest = hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES)
        return os.path.join(self._directory, digest.hexdigest())

    def _create_private_file(self, times: ClaimTimes) -> None:
        os.close(os.open(self._private_path, os.O_CREAT | os.O_WRONLY, 0o600))
        os.utime(self._private_path, times.as_file_times())

    def _publish(self, path: str) -> bool:
        """Link the private file as a claim; return False if the key has a claim already."""
        try:
            os.link(self._private_path, path)
        except FileExistsError:
            return False
        self._file_count += 1
        return True

    def _replace(self, path: str, received_at_ms: float) -> bool:
        """Replace the claim by the private file, if its window had ended when the attempt was received.

        The file is renamed over the claim. If the claim were removed first, another process could create its
        own in between, for an attempt received within the window that this claim protects.
        """
        with self._locked(path) as locked:
            if not locked:
                return False
            try:
                times = ClaimTimes.of(os.stat(path))
            except FileNotFoundError:  # removed since: it has expired
                return self._publish(path)
            if times.window_end_ms >= received_at_ms:
                return False
            os.rename(self._private_path, path)
            return True

    def _sweep(self, entry: os.DirEntry[str], now_ms: float, retention_ms: float) -> bool:
        """Remove a file if it has expired; return whether it was removed."""
        times = ClaimTimes.of(entry.stat())
        if entry.name.startswith(PRIVATE_PREFIX):
            if times.expires_at_ms >= now_ms - ABANDONED_AFTER_MS:
                return False
            os.unlink(entry.path)
            return True
        if times.made_by_earlier_version():
            _postpone_expiry(entry.path, retention_ms)
            return False
        return times.expires_at_ms < now_ms and self._remove_claim(entry.path, now_ms)

    def _remove_claim(self, path: str, now_ms: float) -> bool:
        """Remove a claim, unless another process has replaced it by one that has not expired."""
        with self._locked(path) as locked:
            if not locked or ClaimTimes.of(os.stat(path)).expires_at_ms >= now_ms:
                return False
            os.unlink(path)
            return True

    @contextlib.contextmanager
    def _locked(self, path: str) -> Iterator[bool]:
        """Prevent other processes from replacing or removing a claim; yield False if one of them does so now.

        The lock of a killed process is removed like its other private files. Until then, its claim stays.
        """
        name = f"{PRIVATE_PREFIX}{os.path.basename(path)}{LOCK_SUFFIX}"
        lock_path = os.path.join(self._directory, name)
        try:
            os.close(os.open(lock_path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600))
        except FileExistsError:
            yield False
            return
        try:
            yield True
        finally:
            with contextlib.suppress(OSError):
                os.unlink(lock_path)


def _postpone_expiry(path: str, retention_ms: float) -> None:
    """Keep a claim of an earlier version for some time after its window.

    The times are set on the opened file, since the earlier version may replace the claim meanwhile.
    """
    descriptor = os.open(path, os.O_RDONLY)
    try:
        times = ClaimTimes.of(os.fstat(descriptor))
        if times.made_by_earlier_version():
            postponed = times._replace(expires_at_ms=times.window_end_ms + retention_ms)
            os.utime(descriptor, postponed.as_file_times())
    finally:
        os.close(descriptor)
