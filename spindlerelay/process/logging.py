"""Logging to standard error. Imports no other module of the node."""

from __future__ import annotations

import sys

from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}"


def log_to_stderr(log_format: str = "text", level: str = "INFO") -> None:
    """Write log lines of this level and above to standard error.

    ``log_format`` is ``text``, or ``json`` for one object per line.
    """
    logger.remove()
    logger.add(
        sys.stderr,
        format=TEXT_FORMAT,
        level=level,
        serialize=log_format == "json",
        backtrace=False,
        diagnose=False,
    )
