"""Figures of a process from procfs, see proc(5)."""

from __future__ import annotations

import os
from pathlib import Path

USER_TIME_FIELD = 11  # of /proc/PID/stat, counted after the command's closing bracket
SYSTEM_TIME_FIELD = 12


def cpu_ms(pid: int) -> float:
    """Return the user and system time of a process so far; OSError where it is gone."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks * 1000.0 / os.sysconf("SC_CLK_TCK")


def memory_kb(pid: int) -> int:
    """Return the resident memory of a process; OSError where it is gone."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))
