"""Encoding of the management page ``/control/members``: a node's view of the group as JSON.

The names of the fields are an interface that scripts read. Ages are in ms.
"""

from __future__ import annotations

from typing import Any

import ujson

from spindlerelay.membership.failure_detector import FailureDetector
from spindlerelay.membership.member_table import Member
from spindlerelay.membership.messages import Address, NodeReport


class TransportCounts:
    """Counts the datagrams that a transport has sent and received since its start."""

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.rejected: dict[str, int] = {}  # number of rejected datagrams by reason

    def count_sent(self, size: int) -> None:
        """Count a datagram that was sent."""
        self.sent += 1
        self.sent_bytes += size

    def count_rejected(self, reason: str) -> None:
        """Count a received datagram that was rejected."""
        self.rejected[reason] = self.rejected.get(reason, 0) + 1


def encode_page(
    now: float, cluster: str, detector: FailureDetector, counts: TransportCounts, weight_changes: int
) -> bytes:
    """Return the page as JSON that ends with a newline."""
    members = sorted(detector.members.values(), key=lambda member: member.name)
    page = {
        "name": detector.name,
        "address": _address_text(detector.address),
        "cluster": cluster,
        "incarnation": detector.incarnation,
        "patience": detector.local_health.multiplier,
        **_report_fields(detector.own_report),
        "sent": counts.sent,
        "sent_bytes": counts.sent_bytes,
        "received": counts.received,
        "refused": counts.rejected,
        "conflicts": detector.name_conflicts,
        "weight_changes": weight_changes,
        "members": [_member_fields(now, member) for member in members],
    }
    return ujson.dumps(page, escape_forward_slashes=False).encode() + b"\n"


def _member_fields(now: float, member: Member) -> dict[str, Any]:
    return {
        "name": member.name,
        "address": _address_text(member.address),
        "status": member.status.value,
        "for_ms": round(now - member.status_since_ms),
        "age_ms": round(now - member.last_report_ms),
        "incarnation": member.incarnation,
        **_report_fields(member.report),
    }


def _report_fields(report: NodeReport) -> dict[str, Any]:
    return {
        "busy": report.cpu_utilization,
        "power": report.runs_per_second,
        "state": report.state,
        "site": report.site,
        "version": report.version,
        "weight": report.weight,
    }


def _address_text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
