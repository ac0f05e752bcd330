"""Base class of the exceptions of this package."""

from __future__ import annotations


class SpindlerelayError(Exception):
    """Base class. The text is one line that names the wrong value and the expected one."""
