"""Actions that a step of the failure detector returns, as immutable values."""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay.membership.messages import Address, MemberStatus, Message


class SendMessage(NamedTuple):
    """Send a message as one datagram."""

    address: Address
    message: Message


class MemberStatusChanged(NamedTuple):
    """Report that a member's status has changed.

    Attributes:
        report_age_ms: time since the member's latest report of its own state.
    """

    name: str
    status: MemberStatus
    incarnation: int
    report_age_ms: float


Action = SendMessage | MemberStatusChanged
