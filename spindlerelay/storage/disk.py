"""What a folder stands on: files as one interface, so that storage also runs on a disk of a world's making,
which fills up, lies and loses power. ``OS`` is the machine's. All raise OSError as the kernel does."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol


class Disk(Protocol):
    """As much of a disk as a folder asks for. Descriptors are numbers."""

    def lock(self, folder: str, path: str) -> int:
        """Make the folder, and hold its lock by a descriptor. BlockingIOError where another process does."""
        ...

    def names(self, folder: str) -> list[str]: ...

    def read(self, path: str, most: int) -> bytes: ...

    def create(self, path: str, fresh: bool) -> int:
        """For writing: ``fresh`` where it must not be there yet, and is appended to; else emptied."""
        ...

    def write(self, fd: int, data: memoryview) -> int: ...

    def sync(self, fd: int, data_only: bool) -> None:
        """On stable storage before this returns."""
        ...

    def truncate(self, fd: int, size: int) -> None: ...

    def sync_folder(self, folder: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, path: str) -> None: ...

    def size(self, path: str) -> int: ...

    def close(self, fd: int) -> None: ...


class OsDisk:
    """The kernel's files."""

    def lock(self, folder: str, path: str) -> int:
        os.makedirs(folder, mode=0o700, exist_ok=True)
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise BlockingIOError("locked") from None
        return fd

    def names(self, folder: str) -> list[str]:
        return os.listdir(folder)

    def read(self, path: str, most: int) -> bytes:
        with open(path, "rb") as file:
            return file.read(most)

    def create(self, path: str, fresh: bool) -> int:
        how = os.O_EXCL | os.O_APPEND if fresh else os.O_TRUNC
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | how, 0o600)

    def write(self, fd: int, data: memoryview) -> int:
        return os.write(fd, data)

    def sync(self, fd: int, data_only: bool) -> None:
        (os.fdatasync if data_only else os.fsync)(fd)

    def truncate(self, fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    def sync_folder(self, folder: str) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def size(self, path: str) -> int:
        return os.stat(path).st_size

    def close(self, fd: int) -> None:
        os.close(fd)


def write_all(disk: Disk, fd: int, data: bytes) -> None:
    """In as many writes as the disk takes it in. OSError with a part of it written."""
    view = memoryview(data)
    while view:
        view = view[disk.write(fd, view) :]


OS = OsDisk()
