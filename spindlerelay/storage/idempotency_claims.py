"""Claims on keyed requests that all processes of one node share: a request runs once across a handover.

While an old and a new process accept from one listening socket, either process may receive an attempt of a
keyed request. Before an attempt runs, the process claims its key: it creates a file exclusively in a
directory that both processes share (in ``$TMPDIR``, which a handover does not empty). The file's modification
time is the time at which the claim expires. The process that created the file runs the request. Until the
claim expires, no other process may run the request or report that it never ran.

This module knows only a request's key and a time. Times are Unix ms, as on the node's clock. Paths are
strings rather than ``Path`` objects, since a sweep visits thousands of files.
"""

# ruff: noqa: PTH103, PTH104, PTH108, PTH116, PTH118

from __future__ import annotations

import contextlib
import hashlib
import os

PRIVATE_PREFIX = "of-"  # marks a file of one process: a claim not yet published, or a claim being removed
EXPIRED_SUFFIX = ".lapsed"
ABANDONED_AFTER_MS = 60_000.0  # a private file that expired this long ago was left by a killed process
MAX_FILES = 50_000  # further claims are refused: rejecting a run is better than filling the disk
KEY_DIGEST_BYTES = 16
CLAIM_ATTEMPTS = 2


class IdempotencyClaims:
    """The directory of claims.

    When the disk fails, a key counts as claimed by another process: this process then neither runs the
    request nor reports that it never ran.
    """

    def __init__(self, directory: str) -> None:
        self._directory = directory
        os.makedirs(directory, mode=0o700, exist_ok=True)
        self._private_path = os.path.join(directory, f"{PRIVATE_PREFIX}{os.getpid()}-{id(self):x}")
        self._expired_path = self._private_path + EXPIRED_SUFFIX
        # A killed process with the same PID may have left this file, linked as a claim.
        with contextlib.suppress(OSError):
            os.unlink(self._private_path)
        self._file_count = 0  # files found by the last sweep, plus claims created since

    def claim(self, key: str, now_ms: float, expires_at_ms: float) -> bool:
        """Return whether this process may run the request: True once per key until the claim expires.

        The file's modification time is set before the file is linked under the key's name, and linking fails
        if the name exists. If the file were created under that name first, another process could see it
        before its time is set and treat the claim as expired.
        """
        if self._file_count >= MAX_FILES:
            return False
        path = self._path(key)
        try:
            self._create_private_file(expires_at_ms)
            return self._link_claim(path, now_ms)
        except OSError:
            return False
        finally:
            with contextlib.suppress(OSError):
                os.unlink(self._private_path)

    def is_claimed(self, key: str, now_ms: float) -> bool:
        """Return whether any process holds a claim on the key and may have run the request."""
        try:
            return _modified_ms(self._path(key)) >= now_ms
        except FileNotFoundError:
            return False
        except OSError:
            return True

    def remove_expired(self, now_ms: float) -> None:
        """Remove all expired claims, including those of other processes."""
        count = 0
        with contextlib.suppress(OSError), os.scandir(self._directory) as entries:
            for entry in entries:
                grace_ms = ABANDONED_AFTER_MS if entry.name.startswith(PRIVATE_PREFIX) else 0.0
                count += not self._remove_expired(entry.path, now_ms - grace_ms)
        self._file_count = count

    def _path(self, key: str) -> str:
        digest = hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES)
        return os.path.join(self._directory, digest.hexdigest())

    def _create_private_file(self, expires_at_ms: float) -> None:
        os.close(os.open(self._private_path, os.O_CREAT | os.O_WRONLY, 0o600))
        os.utime(self._private_path, (expires_at_ms / 1000.0, expires_at_ms / 1000.0))

    def _link_claim(self, path: str, now_ms: float) -> bool:
        for _ in range(CLAIM_ATTEMPTS):
            try:
                os.link(self._private_path, path)
            except FileExistsError:
                if not self._remove_expired(path, now_ms):
                    return False
                continue
            self._file_count += 1
            return True
        return False

    def _remove_expired(self, path: str, now_ms: float) -> bool:
        """Remove a claim if it has expired; return whether the file no longer exists.

        The file is renamed before its time is checked again, since another process may have replaced the
        expired claim by a new one. A new claim is linked back under its name.
        """
        moved_path = self._expired_path
        try:
            if _modified_ms(path) >= now_ms:
                return False
            os.rename(path, moved_path)
            if _modified_ms(moved_path) >= now_ms:
                with contextlib.suppress(FileExistsError):
                    os.link(moved_path, path)
                return False
        except FileNotFoundError:
            pass
        except OSError:
            return False
        finally:
            with contextlib.suppress(OSError):
                os.unlink(moved_path)
        return True


def _modified_ms(path: str) -> float:
    return os.stat(path).st_mtime * 1000.0
