"""Counters that a node publishes at its management address, as StatsD lines.

Counts begin with the process (``lb.results.preview.succeeded:812|c``, ``lb.outstanding:14|g``). Pure: the
node counts, the management server sends; neither the clock nor a socket is known here.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from spindlerelay.transport.internal_errors import ErrorPlace

RESERVED = re.compile(r"[\s:|@#]")  # in a StatsD name


class ResponseKind(IntEnum):
    """Kinds of final responses: the index of each one's counter."""

    SUCCEEDED = 0
    REJECTED = 1
    FAILED = 2


INTERNAL_ERRORS_NAME = "spindlerelay_internal_errors_total"
PUBLISHED_NAMES = ("succeeded", "declined", "aborted")  # of the kinds, in their order


@dataclass(slots=True)
class NodeMetrics:
    """Counts by class name; a class dropped at SIGHUP keeps its lines, as counters never decrease."""

    results: dict[str, list[int]] = field(default_factory=dict)
    forwards: int = 0  # runs handed to the interpreter
    sighup_applied: int = 0
    sighup_rejected: int = 0

    def count_response(self, class_name: str, kind: int) -> None:
        """Count one final response; ``kind`` is a ``ResponseKind``."""
        counts = self.results.get(class_name)
        if counts is None:
            counts = self.results[class_name] = [0] * len(PUBLISHED_NAMES)
        counts[kind] += 1

    def lines(self, outstanding: int, internal_errors: Mapping[ErrorPlace, int] | None = None) -> bytes:
        """Return all lines.

        ``outstanding`` is the number of requests without a response. ``internal_errors`` are counts by place;
        a place without an error has no line.
        """
        rendered = [
            f"lb.results.{RESERVED.sub('_', class_name)}.{name}:{count}|c"
            for class_name, counts in self.results.items()
            for name, count in zip(PUBLISHED_NAMES, counts, strict=True)
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
