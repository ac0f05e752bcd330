"""Group membership in the view of one node: a SWIM failure detector with Lifeguard's refinements.

The module does no I/O: a step takes a time and the received messages, and returns actions. Times are ms on a
monotonic clock. The protocol follows SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey
2018). The status of a member changes as follows:

| status | becomes | when |
| --- | --- | --- |
| alive | suspect | the direct and the indirect probes got no ack, or another node suspects the member |
| suspect | alive | the member raised its incarnation, or sent a report after the suspicion began |
| suspect | dead | the suspicion timed out; the timeout shrinks with the number of nodes that confirm it |
| dead | alive | the member raised its incarnation, or sent a report after the suspicion began |
| any | left | the member announced its departure |

Rules of the protocol:

1. Members are probed one at a time in a shuffled order, so the cost does not grow with the size of the group.
2. Updates are piggybacked on probes and acks, the least transmitted updates first. The remaining space of a
   message carries node reports.
3. A report that is later than the start of a suspicion ends the suspicion, or the dead status that followed
   from it, without a refutation. Messages carry ages instead of times, so clocks are never compared.
4. After a stall of its own process, a node extends its timeouts by the duration of the stall and adds that
   duration to the ages of received updates. A node whose probes fail, or that is suspected itself, allows all
   other nodes longer timeouts (``LocalHealth``).
5. Dead members and seeds are pinged periodically, one at a time, so that the parts of a partitioned group
   find one another. A node that joins, or becomes alive after it was dead, is sent the whole member table.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from spindlerelay.membership.actions import Action, MemberStatusChanged, SendMessage
from spindlerelay.membership.dissemination import STATUS_CHANGE_PRIORITY, GossipQueue
from spindlerelay.membership.local_health import LocalHealth
from spindlerelay.membership.member_table import STATUS_TRANSITIONS, Member, MemberTable
from spindlerelay.membership.messages import (
    ACK,
    ALIVE,
    DEAD,
    GOSSIP,
    LEFT,
    PING,
    PING_REQUEST,
    SUSPECT,
    TABLE_REQUEST,
    Address,
    GossipUpdate,
    MemberStatus,
    Message,
    MessageKind,
    NodeReport,
)
from spindlerelay.membership.probing import PROBE_TIMEOUT_MS, IndirectProbeDue, Probe, ProbeFailed, Prober
from spindlerelay.membership.state_sync import StateSync
from spindlerelay.membership.suspicion import SuspicionTimers

STEP_INTERVAL_MS = 100.0  # resolution of all timeouts of the protocol
STALL_THRESHOLD_MS = 200.0  # a step that is later than this means that the process stalled
INDIRECT_PROBES = 3
ANNOUNCEMENT_FANOUT = 2 * INDIRECT_PROBES
MAX_INTRODUCTION_AGE_MS = 30_000.0  # an unknown member is not added from an older update
EARLY_PROBE_AGE_MS = 3000.0  # a new member is probed next if the update about it is older


class FailureDetector:
    """Maintains one node's view of the group, and sends the node's own report to the other nodes."""

    def __init__(
        self, name: str, address: Address, seeds: Sequence[Address], rng: random.Random, incarnation: int = 0
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.own_report = NodeReport()
        self.local_health = LocalHealth()
        self.name_conflicts = 0  # messages received from another node that uses this node's name
        self._random = rng
        self._table = MemberTable()
        self._prober = Prober(rng, self._table, self.local_health)
        self._suspicions = SuspicionTimers(self._table, self.local_health)
        self._gossip = GossipQueue(rng, self._table)
        self._state_sync = StateSync(rng, self._table, [seed for seed in seeds if seed != address])
        self._actions: list[Action] = []
        self._left = False
        self._now_ms = -math.inf
        self._next_step_ms = -math.inf

    @property
    def members(self) -> dict[str, Member]:
        """Return all known nodes except this one, by name, including dead nodes and nodes that left."""
        return self._table.members

    def active_members(self) -> list[Member]:
        """Return the members that are alive or suspect."""
        return [self.members[name] for name in self._table.active_names]

    def step(self, now_ms: float, received: Sequence[Message] = ()) -> list[Action]:
        """Process the received messages, then start the probes and apply the timeouts that are due.

        The caller invokes this every ``STEP_INTERVAL_MS``, and whenever messages have been received.
        """
        self._actions = []
        stall_ms = now_ms - self._next_step_ms if self._next_step_ms > -math.inf else 0.0
        stall_ms = stall_ms if stall_ms > STALL_THRESHOLD_MS else 0.0
        if stall_ms:
            self._compensate_stall(stall_ms)
        self._now_ms = now_ms
        self._next_step_ms = now_ms + STEP_INTERVAL_MS
        for message in received:
            self._receive(message, stall_ms)
        if stall_ms > PROBE_TIMEOUT_MS:
            self._announce_self()  # lets nodes that suspect this one learn sooner that it is alive
        if not self._left:
            self._probe()
            self._expire_suspicions()
            self._reconnect()
            self._request_table()
            self._forget_old_members()
        return self._actions

    def leave(self, now_ms: float) -> list[Action]:
        """Announce the node's departure to a few members, which gossip it to the group."""
        self._now_ms = now_ms
        self._actions = []
        self._left = True
        self._announce_self()
        return self._actions

    # Received messages

    def _receive(self, message: Message, stall_ms: float) -> None:
        sender = message.sender
        if sender.name == self.name:
            if sender.address != self.address:
                self.name_conflicts += 1
            return
        existing_member = self.members.get(sender.name)
        newly_active = existing_member is None or not existing_member.active
        self._apply(sender._replace(age_ms=stall_ms), True)
        for update in message.updates:
            self._apply(update._replace(age_ms=update.age_ms + stall_ms), False)
        self._respond(message)
        if newly_active and sender.status is ALIVE:
            self._send_table(sender.address, sender.name)
            if existing_member is not None:
                self._state_sync.request_soon(self._now_ms)

    def _respond(self, message: Message) -> None:
        sender = message.sender
        kind = message.kind
        if kind is PING:
            if message.target in ("", self.name):
                self._send(sender.address, ACK, message.sequence, sender.name)
        elif kind is ACK:
            self._acknowledge(message)
        elif kind is TABLE_REQUEST:
            self._send_table(sender.address, sender.name)
        elif kind is PING_REQUEST and (target := self.members.get(message.target)) is not None:
            sequence = self._prober.relay(self._now_ms, sender.address, message.sequence, target.name)
            self._send(target.address, PING, sequence, target.name)

    def _acknowledge(self, message: Message) -> None:
        probe = self._prober.acknowledge(message.sequence)
        if isinstance(probe, Probe):
            self.local_health.improve()
            if (member := self.members.get(probe.name)) and message.sender.name != probe.name:
                self._note_alive(member, self._now_ms)  # a relay's ack for an indirect probe
        elif probe is not None:
            self._send(probe.requester, ACK, probe.requester_sequence, probe.target)

    def _apply(self, update: GossipUpdate, direct: bool) -> None:
        """Apply an update to the member table; ``direct`` tells whether the updated node itself sent it."""
        if update.name == self.name:
            self._refute(update)
            return
        member = self.members.get(update.name)
        if member is None:
            self._introduce(update)
            return
        if update.incarnation < member.incarnation:
            return
        newer = update.incarnation > member.incarnation
        at_ms = self._now_ms - update.age_ms
        if update.status is ALIVE:
            self._apply_alive(member, update, newer, at_ms, direct)
        elif update.status is LEFT:
            self._deactivate(member, LEFT, update.incarnation, at_ms)
        elif newer or at_ms > member.last_report_ms:  # otherwise a later report outdates the update
            if update.status is DEAD:
                self._deactivate(member, DEAD, update.incarnation, at_ms)
            else:
                self._suspect(member, update.accuser, update.incarnation, at_ms)

    def _introduce(self, update: GossipUpdate) -> None:
        # Only the age of an alive update tells when the node last reported; a suspicion's age does not.
        recent = update.status is ALIVE and update.age_ms < MAX_INTRODUCTION_AGE_MS
        if not recent or self._table.full:
            return
        member = self._table.add(update, self._now_ms)
        self._prober.insert(member.name)
        if update.age_ms > EARLY_PROBE_AGE_MS:
            # An update that declares the member dead may have arrived earlier, while the member was unknown.
            self._prober.insert_next(member.name)
        self._publish(member, priority=0)

    def _apply_alive(
        self, member: Member, update: GossipUpdate, newer: bool, at_ms: float, direct: bool
    ) -> None:
        if newer or direct:
            member.address = update.address
        if newer:
            member.incarnation = update.incarnation
            self._revive(member)
        if at_ms > member.last_report_ms or newer:
            member.report = update.report or member.report
            self._note_alive(member, at_ms)

    def _refute(self, update: GossipUpdate) -> None:
        """Override an update that is wrong or is about an earlier process of this node.

        A higher incarnation overrides the update.
        """
        if self._left:
            return
        accused = update.status is not ALIVE and update.incarnation >= self.incarnation
        if accused or update.incarnation > self.incarnation:
            self.incarnation = update.incarnation + 1
            self.local_health.degrade(int(accused))
            self._announce_self()

    # Changes of status

    def _note_alive(self, member: Member, at_ms: float) -> None:
        """Record that a member was alive at ``at_ms``, which ends an earlier suspect or dead status."""
        member.last_report_ms = max(member.last_report_ms, at_ms)
        refutable = member.status in (SUSPECT, DEAD)
        if refutable and at_ms > member.status_since_ms:
            self._revive(member)

    def _revive(self, member: Member) -> None:
        member.accusers.clear()
        if member.status is ALIVE:
            return
        self._activate(member, ALIVE, self._now_ms)
        self._publish(member)

    def _suspect(self, member: Member, accuser: str, incarnation: int, at_ms: float) -> None:
        if not member.active and incarnation <= member.incarnation:
            return
        member.incarnation = incarnation
        if member.status is not SUSPECT:
            self._activate(member, SUSPECT, at_ms)
            self._suspicions.start(member, accuser)
            self._publish(member)
        elif self._suspicions.confirm(member, accuser):
            self._gossip.enqueue(member.name, STATUS_CHANGE_PRIORITY)

    def _activate(self, member: Member, status: MemberStatus, since_ms: float) -> None:
        if self._table.change_status(member, status, since_ms):
            self._prober.insert(member.name)

    def _deactivate(self, member: Member, status: MemberStatus, incarnation: int, at_ms: float) -> None:
        if member.status is status:
            member.incarnation = max(member.incarnation, incarnation)
        elif status in STATUS_TRANSITIONS[member.status]:
            member.incarnation = incarnation
            member.accusers.clear()
            self._table.change_status(member, status, at_ms)
            self._publish(member)

    def _publish(self, member: Member, priority: int = STATUS_CHANGE_PRIORITY) -> None:
        """Add a member's changed status to the actions of this step, and queue it for gossip."""
        self._gossip.enqueue(member.name, priority)
        report_age_ms = max(0.0, self._now_ms - member.last_report_ms)
        self._actions.append(
            MemberStatusChanged(member.name, member.status, member.incarnation, report_age_ms)
        )

    # Probes and timeouts

    def _compensate_stall(self, stall_ms: float) -> None:
        self._prober.postpone(stall_ms)
        self._suspicions.postpone(stall_ms)
        self.local_health.degrade()

    def _probe(self) -> None:
        for due in self._prober.take_due(self._now_ms):
            match due:
                case ProbeFailed(probe):
                    self._fail_probe(probe)
                case IndirectProbeDue(sequence, name):
                    for relay_name in self._sample(INDIRECT_PROBES, name):
                        address = self.members[relay_name].address
                        self._send(address, PING_REQUEST, sequence, name)
        if (started := self._prober.start_next(self._now_ms)) is not None:
            sequence, member = started
            self._send(member.address, PING, sequence, member.name)

    def _fail_probe(self, probe: Probe) -> None:
        member = self.members.get(probe.name)
        if member is None or not member.active or member.last_report_ms > probe.sent_ms:
            return
        self.local_health.degrade()
        self._suspect(member, self.name, member.incarnation, self._now_ms)

    def _expire_suspicions(self) -> None:
        for member in self._suspicions.take_expired(self._now_ms):
            self._deactivate(member, DEAD, member.incarnation, member.status_since_ms)

    def _reconnect(self) -> None:
        if (target := self._state_sync.reconnect_target(self._now_ms)) is not None:
            address, name = target
            self._send(address, PING, self._prober.next_sequence(), name)

    def _request_table(self) -> None:
        if self._state_sync.request_due(self._now_ms):
            for name in self._sample(1):
                self._send(self.members[name].address, TABLE_REQUEST, 0, name)

    def _forget_old_members(self) -> None:
        for name in self._table.sweep(self._now_ms):
            self._gossip.discard(name)

    # Sending

    def _announce_self(self) -> None:
        for name in self._sample(ANNOUNCEMENT_FANOUT):
            self._send(self.members[name].address, GOSSIP, 0, name)

    def _send_table(self, address: Address, name: str) -> None:
        for updates in self._state_sync.table_messages(self._now_ms, name):
            message = Message(GOSSIP, 0, name, self._own_update(), updates)
            self._actions.append(SendMessage(address, message))

    def _send(self, address: Address, kind: MessageKind, sequence: int, target: str) -> None:
        updates = self._gossip.select(self._now_ms, target)
        message = Message(kind, sequence, target, self._own_update(), updates)
        self._actions.append(SendMessage(address, message))

    def _own_update(self) -> GossipUpdate:
        status = LEFT if self._left else ALIVE
        return GossipUpdate(self.name, self.address, status, self.incarnation, 0.0, "", self.own_report)

    def _sample(self, count: int, excluded: str = "") -> list[str]:
        """Return the names of up to ``count`` alive members, drawn at random."""
        names = self._table.alive_names(excluded)
        return self._random.sample(names, min(count, len(names)))
