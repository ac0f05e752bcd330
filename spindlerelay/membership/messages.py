"""Value types of the messages that nodes exchange.

``gossip_codec`` encodes messages, and ``udp_transport`` sends them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

MAX_UPDATES_PER_MESSAGE = 10  # does not count the sender's own update

Address = tuple[str, int]


class MemberStatus(StrEnum):
    """Status of a member in the view of another node; the value is the published name."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# These aliases exist for speed: every update reads a status, and in Python 3.11 reading an attribute of an
# enum takes ten times as long as reading a global variable.
ALIVE = MemberStatus.ALIVE
SUSPECT = MemberStatus.SUSPECT
DEAD = MemberStatus.DEAD
LEFT = MemberStatus.LEFT


class MessageKind(StrEnum):
    """Type of a message of the SWIM protocol."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping request"  # asks the receiver to probe the target
    TABLE_REQUEST = "table request"  # asks for the receiver's whole member table
    GOSSIP = "gossip"  # carries updates; the receiver sends no response


PING = MessageKind.PING
ACK = MessageKind.ACK
PING_REQUEST = MessageKind.PING_REQUEST
TABLE_REQUEST = MessageKind.TABLE_REQUEST
GOSSIP = MessageKind.GOSSIP


class NodeReport(NamedTuple):
    """A node's report of its own state.

    Attributes:
        cpu_utilization: fraction of the node's cores in use, from 0 to 1.
        runs_per_second: number of runs that the cores can complete per second; 0 until a run has completed.
        state: a ``ReportedState`` value, or another text if the node runs another version.
        version: version of the node's program.
        weight: requested traffic relative to an average node, whose weight is 1.
    """

    cpu_utilization: float = 0.0
    runs_per_second: float = 0.0
    state: str = ""
    site: str = ""
    version: str = ""
    weight: float = 1.0


class GossipUpdate(NamedTuple):
    """The state of one node in the view of the sender of a message.

    Attributes:
        age_ms: age of the report for an alive node, and age of the status for any other node.
        accuser: name of a node that suspects the node, or empty.
        report: latest report of an alive node; None if the update carries no report.
    """

    name: str
    address: Address
    status: MemberStatus
    incarnation: int
    age_ms: float = 0.0
    accuser: str = ""
    report: NodeReport | None = None


class Message(NamedTuple):
    """The content of one datagram.

    Attributes:
        target: name of the node that a ping is addressed to, that a ping request asks to probe, or that an
            ack proves to be alive.
    """

    kind: MessageKind
    sequence: int
    target: str
    sender: GossipUpdate
    updates: tuple[GossipUpdate, ...] = ()
