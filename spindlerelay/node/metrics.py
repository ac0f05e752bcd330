"""Counters that a node publishes at its management address, as StatsD lines.

Examples are ``lb.results.preview.succeeded:812|c`` and ``lb.outstanding:14|g``. Counters start at 0 with the
process. Pure: the node counts and the management server sends; this module uses no clock and no socket.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from spindlerelay.transport.internal_errors import ErrorPlace

STATSD_RESERVED_CHARACTER = re.compile(r"[\s:|@#]")  # not allowed in a StatsD name


class ResponseKind(IntEnum):
    """Kinds of final responses. The value is the index of the counter in ``NodeMetrics.results``."""

    SUCCEEDED = 0
    REJECTED = 1
    FAILED = 2


INTERNAL_ERRORS_NAME = "spindlerelay_internal_errors_total"
RESPONSE_KIND_METRIC_NAMES = ("succeeded", "declined", "aborted")  # indexed by ResponseKind


@dataclass(slots=True)
class NodeMetrics:
    """The counters of a node.

    A class that SIGHUP removes from the settings keeps its counters, as StatsD counters must never decrease.

    Attributes:
        results: final responses by class name and ``ResponseKind``.
        forwards: runs handed to the interpreter.
        sighup_applied: reloads of the settings that were applied.
        sighup_rejected: reloads of the settings that were rejected.
    """

    results: dict[str, list[int]] = field(default_factory=dict)
    forwards: int = 0
    sighup_applied: int = 0
    sighup_rejected: int = 0

    def count_response(self, class_name: str, kind: int) -> None:
        """Count one final response; ``kind`` is a ``ResponseKind``."""
        counts = self.results.get(class_name)
        if counts is None:
            counts = self.results[class_name] = [0] * len(RESPONSE_KIND_METRIC_NAMES)
        counts[kind] += 1

    def lines(self, outstanding: int, internal_errors: Mapping[ErrorPlace, int] | None = None) -> bytes:
        """Return all counters as StatsD lines.

        Args:
            outstanding: number of requests without a final response.
            internal_errors: counts by place; a place that is not in the mapping gets no line.
        """
        rendered = [
            f"lb.results.{STATSD_RESERVED_CHARACTER.sub('_', class_name)}.{name}:{count}|c"
            for class_name, counts in self.results.items()
            for name, count in zip(RESPONSE_KIND_METRIC_NAMES, counts, strict=True)
        ]
        rendered += [
            f"lb.forwards:{self.forwards}|c",
            f"lb.sighup_applied:{self.sighup_applied}|c",
            f"lb.sighup_rejected:{self.sighup_rejected}|c",
            f"lb.outstanding:{outstanding}|g",
        ]
        rendered += [
            f"{INTERNAL_ERRORS_NAME}.{place}:{count}|c" for place, count in (internal_errors or {}).items()
        ]
        return ("\n".join(rendered) + "\n").encode()
