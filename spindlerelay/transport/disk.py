"""Interface to the file system, so that storage can also run on a simulated disk.

A simulated disk can fill up, report a sync that did not happen, or lose power. This module contains the calls
to the kernel and does not know the stored data. All implementations raise the OSErrors of the kernel.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """The file operations that storage needs. Descriptors are integers; the caller owns and closes them."""

    def lock(self, directory: str, path: str) -> int:
        """Create the directory, lock it with the file ``path``, and return the lock's descriptor.

        Raises:
            BlockingIOError: Another process holds the lock.
        """
        ...

    def list_names(self, directory: str) -> list[str]:
        """Return the names of the directory's files."""
        ...

    def read(self, path: str, max_bytes: int) -> bytes:
        """Return the first ``max_bytes`` bytes of a file."""
        ...

    def create(self, path: str, exclusive: bool) -> int:
        """Open a file for writing and return its descriptor.

        With ``exclusive`` the file must not exist yet, and each write appends to it. Otherwise an existing
        file is truncated.
        """
        ...

    def write(self, fd: int, data: memoryview) -> int:
        """Write a part of ``data`` and return the number of bytes written."""
        ...

    def sync(self, fd: int, data_only: bool) -> None:
        """Return once the file is on stable storage; ``data_only`` leaves out metadata such as times."""
        ...

    def truncate(self, fd: int, size: int) -> None:
        """Cut the file to ``size`` bytes."""
        ...

    def sync_directory(self, directory: str) -> None:
        """Return once the directory's entries are on stable storage."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""
        ...

    def remove(self, path: str) -> None:
        """Remove a file."""
        ...

    def size(self, path: str) -> int:
        """Return the size of a file in bytes."""
        ...

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        ...


class HostDisk:
    """The file system of this machine."""

    def lock(self, directory: str, path: str) -> int:
        """Create the directory with mode 0700 and lock it by ``flock`` on the file ``path``."""
        Path(directory).mkdir(mode=0o700, parents=True, exist_ok=True)
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise BlockingIOError("locked") from None
        return fd

    def list_names(self, directory: str) -> list[str]:
        """Return the names of the directory's files, in no particular order."""
        return os.listdir(directory)

    def read(self, path: str, max_bytes: int) -> bytes:
        """Return the first ``max_bytes`` bytes of a file."""
        with Path(path).open("rb") as file:
            return file.read(max_bytes)

    def create(self, path: str, exclusive: bool) -> int:
        """Open a file of mode 0600 for writing: exclusively and for appending, or truncated."""
        flags = os.O_EXCL | os.O_APPEND if exclusive else os.O_TRUNC
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | flags, 0o600)

    def write(self, fd: int, data: memoryview) -> int:
        """Write a part of ``data`` and return the number of bytes written."""
        return os.write(fd, data)

    def sync(self, fd: int, data_only: bool) -> None:
        """Call ``fdatasync`` or ``fsync``."""
        (os.fdatasync if data_only else os.fsync)(fd)

    def truncate(self, fd: int, size: int) -> None:
        """Cut the file to ``size`` bytes."""
        os.ftruncate(fd, size)

    def sync_directory(self, directory: str) -> None:
        """Call ``fsync`` on the directory."""
        fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically."""
        Path(old).rename(new)

    def remove(self, path: str) -> None:
        """Unlink a file."""
        Path(path).unlink()

    def size(self, path: str) -> int:
        """Return the size of a file in bytes."""
        return Path(path).stat().st_size

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        os.close(fd)


HOST_DISK = HostDisk()
