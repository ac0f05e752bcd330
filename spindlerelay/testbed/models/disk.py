"""Simulated disk with the durability rules for the end of a process and for a power loss.

A write reaches the page cache, which outlives the process. ``sync`` makes a file durable, unless the disk
ignores syncs. After a power loss, each file has its durable bytes and a random prefix of its unsynced bytes
(a torn write). A full disk accepts the first half of a write, and fails a
write that is too short to halve. The module has no I/O and no clock.
"""

from __future__ import annotations

import errno
import random


class _File:
    __slots__ = ("data", "durable_bytes")

    def __init__(self) -> None:
        self.data = bytearray()
        self.durable_bytes = 0


class SimulatedDisk:
    """Substitute for ``storage.disk.Disk`` that raises the same errors as the system calls.

    File names are durable immediately, as on a journalling file system.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, _File] = {}
        self.is_full = False
        self.ignores_sync = False
        self._open_files: dict[int, _File] = {}
        self._locked_paths: dict[int, str] = {}
        self._last_descriptor = 2

    def _allocate_descriptor(self, file: _File) -> int:
        self._last_descriptor += 1
        self._open_files[self._last_descriptor] = file
        return self._last_descriptor

    def _lookup(self, path: str) -> _File:
        if path not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return self.files[path]

    def lock(self, folder: str, path: str) -> int:
        """Create and lock a file, and return its descriptor; raise BlockingIOError if it is locked."""
        if path in self._locked_paths.values():
            raise BlockingIOError("locked")
        descriptor = self._allocate_descriptor(self.files.setdefault(path, _File()))
        self._locked_paths[descriptor] = path
        return descriptor

    def list_names(self, folder: str) -> list[str]:
        """Return the names of the files in a folder."""
        return [path.rpartition("/")[2] for path in self.files if path.startswith(folder + "/")]

    def read(self, path: str, most: int) -> bytes:
        """Return at most ``most`` bytes from the start of a file."""
        return bytes(self._lookup(path).data[:most])

    def create(self, path: str, fresh: bool) -> int:
        """Create or empty a file; with ``fresh``, raise FileExistsError if it exists."""
        if fresh and path in self.files:
            raise FileExistsError(errno.EEXIST, "File exists", path)
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device", path)
        self.files[path] = _File()
        return self._allocate_descriptor(self.files[path])

    def write(self, descriptor: int, data: memoryview) -> int:
        """Append data and return the number of bytes written; raise OSError (ENOSPC) on a full disk."""
        if self.is_full:
            half = len(data) // 2
            if not half:
                raise OSError(errno.ENOSPC, "No space left on device")
            data = data[:half]
        self._open_files[descriptor].data += data
        return len(data)

    def sync(self, descriptor: int, data_only: bool) -> None:
        """Make the file durable, unless the disk ignores syncs."""
        if not self.ignores_sync:
            self._open_files[descriptor].durable_bytes = len(self._open_files[descriptor].data)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        file = self._open_files[descriptor]
        del file.data[size:]
        file.durable_bytes = min(file.durable_bytes, size)

    def sync_directory(self, folder: str) -> None:
        """Do nothing, since file names are durable immediately."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing file of the new name."""
        self.files[new] = self._lookup(old)
        del self.files[old]

    def remove(self, path: str) -> None:
        """Delete a file; raise FileNotFoundError if it does not exist."""
        self._lookup(path)
        del self.files[path]

    def size(self, path: str) -> int:
        """Return the size of a file in bytes."""
        return len(self._lookup(path).data)

    def close(self, descriptor: int) -> None:
        """Close a descriptor and release its lock."""
        self._open_files.pop(descriptor, None)
        self._locked_paths.pop(descriptor, None)

    def end_process(self) -> None:
        """Close all descriptors, as the kernel does at the end of a process."""
        self._open_files.clear()
        self._locked_paths.clear()

    def lose_power(self) -> None:
        """End the process, and drop the unsynced bytes of each file except for a random prefix of them."""
        self.end_process()
        for file in self.files.values():
            remaining = self.rng.randint(file.durable_bytes, len(file.data))
            del file.data[remaining:]
            file.durable_bytes = len(file.data)
