"""Errors of cluster runs."""

from __future__ import annotations

from spindlerelay.errors import SpindlerelayError


class ClusterError(SpindlerelayError, RuntimeError):
    """A cluster run did not start, or the testbed itself failed. The message states the cause."""
