"""Writes that are repeated until all data is written. ``spindlerelay.transport.disk`` defines ``Disk``."""

from __future__ import annotations

from spindlerelay.transport.disk import Disk


def write_all(disk: Disk, fd: int, data: bytes) -> None:
    """Write all of ``data``, in as many calls as the disk needs.

    Raises:
        OSError: A write failed; a part of ``data`` may have been written.
    """
    remaining = memoryview(data)
    while remaining:
        written = disk.write(fd, remaining)
        remaining = remaining[written:]
